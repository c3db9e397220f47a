//! Tests of fleet membership of senders that the platform configures: they exchange datagrams only if the
//! settings allow it, and each finds the others by its own list of addresses.
use nickelshed_testkit::*;
use serde_json::{json, Value};
use std::net::{SocketAddr, UdpSocket};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");

/// An address that was free when it was picked.
fn free_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Starts the sender with this number, its index in `peers`. Its settings name two senders, and hold
/// `peers_allowed` as the permission to send datagrams to others.
fn start_sender(
    discovery: &Discovery,
    number: usize,
    peers: &Value,
    listen: SocketAddr,
    peers_allowed: &Value,
) -> SenderProcess {
    SenderProcess::start_with(PROGRAM, discovery, json!([]), |config| {
        config["name"] = json!(format!("n{number}"));
        config["settings"]["NInstances"] = json!(2);
        config["settings"]["Limits"]["Peers"] = peers_allowed.clone();
        config["peers"] = peers.clone();
        config["peer_listen"] = json!(listen.to_string());
    })
}

/// Whether the sender has logged a membership view with both senders.
fn sees_both_senders(sender: &SenderProcess) -> bool {
    sender
        .log()
        .lines()
        .any(|line| line.contains("view of the fleet has changed") && line.contains("present=2"))
}

#[test]
fn two_senders_find_each_other_by_their_lists_of_addresses() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let addresses = [free_address(), free_address()];
    let peers = json!(addresses.map(|a| a.to_string()));
    let mut senders: Vec<SenderProcess> =
        (0..2).map(|n| start_sender(&discovery, n, &peers, addresses[n], &json!(true))).collect();
    senders[0].wait_until("the first sender sees both", || sees_both_senders(&senders[0]));
    senders[1].wait_until("the second sender sees both", || sees_both_senders(&senders[1]));
    // A killed sender returns with a higher start number, which is persisted in its state folder.
    senders[1].kill();
    senders[1].discard_log();
    senders[1].restart();
    senders[1].wait_until("the second sender sees both again", || sees_both_senders(&senders[1]));
    assert!(senders[1].log().contains("start=2"), "{}", senders[1].log());
    for (number, sender) in senders.iter().enumerate() {
        let id = format!("m{number}");
        assert_eq!(sender.submit("order", &id, 7, 16_000, b"x"), 202);
        assert_eq!(endpoint.wait_for_message(&id, 1).len(), 1);
    }
}

/// If the settings do not allow datagrams to other senders, or the list of addresses is invalid, the sender
/// opens no socket for them and sends none. It still starts and delivers.
#[test]
fn no_fleet_socket_is_opened_without_permission_or_with_an_invalid_list() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let (own, other) = (free_address(), free_address());
    let both = json!([own.to_string(), other.to_string()]);
    let cases = [
        // No permission: false, absent, or not a boolean.
        (&both, 0, json!(false)),
        (&both, 0, json!(null)),
        (&both, 0, json!("yes")),
        // The list has no entry at the sender's index.
        (&both, 2, json!(true)),
        // The list has no other sender, has an invalid address, or is not a list.
        (&json!([own.to_string()]), 0, json!(true)),
        (&json!([own.to_string(), "nowhere"]), 0, json!(true)),
        (&json!({"n0": own.to_string()}), 0, json!(true)),
    ];
    for (case, (peers, number, peers_allowed)) in cases.into_iter().enumerate() {
        let sender = start_sender(&discovery, number, peers, own, &peers_allowed);
        let id = format!("m{case}");
        assert_eq!(sender.submit("order", &id, 7, 16_000, b"x"), 202);
        assert_eq!(endpoint.wait_for_message(&id, 1).len(), 1);
        assert!(!sender.log().contains("member of the fleet"), "case {case}: {}", sender.log());
        UdpSocket::bind(own).unwrap_or_else(|e| panic!("case {case}: {e}"));
    }
}

//! Notes between senders in the platform's form: only where the settings allow them, each by its own list of the others.
use nickelshed_testkit::*;
use serde_json::{json, Value};
use std::net::{SocketAddr, UdpSocket};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");

fn free() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A sender of that number, whose settings name two senders.
fn start_sender(
    discovery: &Discovery,
    number: usize,
    peers: &Value,
    listen: SocketAddr,
    allowed: &Value,
) -> SenderProcess {
    SenderProcess::start_with(PROGRAM, discovery, json!([]), |c| {
        c["name"] = json!(format!("n{number}"));
        c["settings"]["NInstances"] = json!(2);
        c["settings"]["Limits"]["Peers"] = allowed.clone();
        c["peers"] = peers.clone();
        c["peer_listen"] = json!(listen.to_string());
    })
}

fn meets(sender: &SenderProcess) -> bool {
    sender
        .log()
        .lines()
        .any(|line| line.contains("view of the fleet has changed") && line.contains("present=2"))
}

#[test]
fn two_senders_find_one_another_by_the_lists_that_they_are_told() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let at = [free(), free()];
    let peers = json!(at.map(|a| a.to_string()));
    let mut senders: Vec<SenderProcess> =
        (0..2).map(|n| start_sender(&discovery, n, &peers, at[n], &json!(true))).collect();
    senders[0].wait_until("both are seen by the first", || meets(&senders[0]));
    senders[1].wait_until("both are seen by the second", || meets(&senders[1]));
    // One that is killed comes back under a later start, which the folder has kept.
    senders[1].kill();
    senders[1].discard_log();
    senders[1].restart();
    senders[1].wait_until("the second is back", || meets(&senders[1]));
    assert!(senders[1].log().contains("start=2"), "{}", senders[1].log());
    for (number, sender) in senders.iter().enumerate() {
        let id = format!("m{number}");
        assert_eq!(sender.submit("order", &id, 7, 16_000, b"x"), 202);
        assert_eq!(endpoint.wait_for_message(&id, 1).len(), 1);
    }
}

/// Nothing is opened and nothing is said where the settings do not allow notes, or what they name makes no fleet; the sender
/// starts and delivers all the same.
#[test]
fn without_leave_or_with_a_list_that_makes_no_fleet_no_socket_is_opened() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let (own, other) = (free(), free());
    let both = json!([own.to_string(), other.to_string()]);
    let rows = [
        (&both, 0, json!(false)),
        (&both, 0, json!(null)),
        (&both, 0, json!("yes")),
        (&both, 2, json!(true)),
        (&json!([own.to_string()]), 0, json!(true)),
        (&json!([own.to_string(), "nowhere"]), 0, json!(true)),
        (&json!({"n0": own.to_string()}), 0, json!(true)),
    ];
    for (row, (peers, number, allowed)) in rows.into_iter().enumerate() {
        let sender = start_sender(&discovery, number, peers, own, &allowed);
        let id = format!("m{row}");
        assert_eq!(sender.submit("order", &id, 7, 16_000, b"x"), 202);
        assert_eq!(endpoint.wait_for_message(&id, 1).len(), 1);
        assert!(!sender.log().contains("member of the fleet"), "row {row}: {}", sender.log());
        UdpSocket::bind(own).unwrap_or_else(|e| panic!("row {row}: {e}"));
    }
}

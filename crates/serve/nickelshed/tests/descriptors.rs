//! Idle clients that open as many connections as they can must leave the file descriptors that discovery,
//! calls, notices and the journal need.
use nickelshed_testkit::*;
use serde_json::json;
use std::cell::Cell;
use std::net::TcpStream;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");
const DESCRIPTOR_LIMIT: usize = 64;

#[test]
fn discovery_calls_and_notices_work_while_idle_clients_use_all_client_descriptors() {
    let (old_endpoint, new_endpoint) = (FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply()));
    let discovery = Discovery::new(json!([ready_instance("e-1", old_endpoint.address, 7)]));
    let sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
        config["limits"]["sockets"] = json!(DESCRIPTOR_LIMIT)
    });
    assert_eq!(sender.submit("alert", "first", 7, 16_000, b"x"), 202);
    old_endpoint.wait_for_message("first", 1);
    discovery.stop_answering();
    let idle: Vec<TcpStream> =
        (0..2 * DESCRIPTOR_LIMIT).map(|_| TcpStream::connect(sender.address).unwrap()).collect();
    sender.wait_until("clients are rejected", || {
        sender.try_submit("alert", "early", 7, 16_000, b"x").is_none_or(|status| status == 503)
    });
    assert!(sender.open_descriptors() <= DESCRIPTOR_LIMIT, "{} open", sender.open_descriptors());

    // Discovery answers again, with another endpoint for the destination, while all idle clients stay
    // connected.
    discovery.set_instances(json!([terminating_instance(8), ready_instance("e-2", new_endpoint.address, 7)]));
    discovery.resume_answering();
    let number = Cell::new(0);
    sender.wait_until("a message arrives at the new endpoint", || {
        number.set(number.get() + 1);
        let _ = sender.try_submit("alert", &format!("later-{}", number.get()), 7, 16_000, b"x");
        new_endpoint.received().iter().any(|call| call.message_id().starts_with("later-"))
    });
    let count_before = old_endpoint.received().len();
    sender.wait_until("one more message is accepted", || {
        sender.try_submit("alert", "last", 7, 16_000, b"x") == Some(202)
    });
    new_endpoint.wait_for_message("last", 1);
    assert_eq!(old_endpoint.received().len(), count_before, "no calls go to the removed endpoint");
    sender.wait_until("a message for a destination without endpoints is accepted", || {
        sender.try_submit("alert", "nowhere", 8, 500, b"x") == Some(202)
    });
    assert_eq!(discovery.wait_for_notice("nowhere")["outcome"], "handed_back");
    assert!(sender.open_descriptors() <= DESCRIPTOR_LIMIT, "{} open", sender.open_descriptors());
    drop(idle);
}

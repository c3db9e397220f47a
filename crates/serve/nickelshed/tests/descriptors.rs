//! Idle clients that take every descriptor they can get leave those of discovery, calls, notices and the journal.
use nickelshed_testkit::*;
use serde_json::json;
use std::cell::Cell;
use std::net::TcpStream;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");
const DESCRIPTORS: usize = 64;

#[test]
fn with_all_clients_descriptors_taken_news_calls_and_notices_still_find_theirs() {
    let (before, after) = (FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply()));
    let discovery = Discovery::new(json!([ready_instance("e-1", before.address, 7)]));
    let sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |c| {
        c["limits"]["sockets"] = json!(DESCRIPTORS)
    });
    assert_eq!(sender.submit("alert", "first", 7, 16_000, b"x"), 202);
    before.wait_for_message("first", 1);
    discovery.stop_answering();
    let idle: Vec<TcpStream> =
        (0..2 * DESCRIPTORS).map(|_| TcpStream::connect(sender.address).unwrap()).collect();
    sender.wait_until("clients are turned away", || {
        sender.try_submit("alert", "early", 7, 16_000, b"x").is_none_or(|status| status == 503)
    });
    assert!(sender.open_descriptors() <= DESCRIPTORS, "{} open", sender.open_descriptors());

    // Discovery comes back with another endpoint for it, while all of those clients stay.
    discovery.set_instances(json!([terminating_instance(8), ready_instance("e-2", after.address, 7)]));
    discovery.resume_answering();
    let number = Cell::new(0);
    sender.wait_until("a message comes to the new endpoint", || {
        number.set(number.get() + 1);
        let _ = sender.try_submit("alert", &format!("later-{}", number.get()), 7, 16_000, b"x");
        after.received().iter().any(|call| call.message_id().starts_with("later-"))
    });
    let had = before.received().len();
    sender.wait_until("one more is taken on", || {
        sender.try_submit("alert", "last", 7, 16_000, b"x") == Some(202)
    });
    after.wait_for_message("last", 1);
    assert_eq!(before.received().len(), had, "nothing new to the endpoint that is gone");
    sender.wait_until("one is taken on for what takes nothing", || {
        sender.try_submit("alert", "nowhere", 8, 500, b"x") == Some(202)
    });
    assert_eq!(discovery.wait_for_notice("nowhere")["outcome"], "handed_back");
    assert!(sender.open_descriptors() <= DESCRIPTORS, "{} open", sender.open_descriptors());
    drop(idle);
}

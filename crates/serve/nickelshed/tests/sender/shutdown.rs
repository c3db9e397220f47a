//! The end of a process after SIGTERM.
use crate::common::*;
use nickelshed_testkit::*;
use serde_json::json;
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

#[test]
fn on_sigterm_calls_finish_clients_are_answered_and_queued_messages_are_left_to_the_next_process() {
    let (release, released) = std::sync::mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let arrived = Arc::new(AtomicUsize::new(0));
    let counter = arrived.clone();
    let endpoint = FakeServer::new(move |_| {
        counter.fetch_add(1, Ordering::SeqCst);
        let _ = released.lock().unwrap().recv_timeout(WAIT_TIMEOUT);
        ok_reply()
    });
    let discovery =
        Discovery::new(json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(9)]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(sender.submit("order", "in-flight", 7, 16_000, b"x"), 202);
    assert_eq!(sender.submit("order", "queued", 9, 16_000, b"x"), 202);
    sender.wait_until("the call is in flight", || arrived.load(Ordering::SeqCst) == 1);
    sender.terminate();
    // For a while after SIGTERM new connections are still accepted and served.
    assert_eq!(sender.submit("order", "late", 9, 16_000, b"x"), 202);
    release.send(()).unwrap();
    endpoint.wait_for_message("in-flight", 1);
    assert!(sender.wait_for_exit().success(), "{}", sender.log());
    discovery.set_instances(json!([
        ready_instance("e-1", endpoint.address, 7),
        ready_instance("e-2", endpoint.address, 9)
    ]));
    drop(release);
    sender.restart();
    endpoint.wait_for_message("queued", 1);
    endpoint.wait_for_message("late", 1);
    wait_until_settled(&sender, &endpoint);
    assert_eq!(endpoint.wait_for_message("in-flight", 1).len(), 1);
    assert!(discovery.notices().is_empty(), "{:?}", discovery.notices());
}

#[test]
fn sigterm_does_not_wait_for_a_hanging_call_and_the_next_process_fails_its_message() {
    let endpoint = first_then_ok(|| Reply::Hang);
    let (discovery, mut sender) = start_with_one_endpoint(&endpoint);
    assert_eq!(sender.submit("order", "hangs", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("hangs", 1);
    sender.terminate();
    assert!(sender.wait_for_exit().success());
    sender.restart();
    assert_eq!(discovery.wait_for_notice("hangs")["outcome"], "given_up");
}

#[test]
fn an_idle_sender_exits_after_sigterm() {
    let discovery = Discovery::new(json!([]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    // An idle client connection must not delay the exit.
    let _idle = TcpStream::connect(sender.address).unwrap();
    sender.terminate();
    assert!(sender.wait_for_exit().success());
}

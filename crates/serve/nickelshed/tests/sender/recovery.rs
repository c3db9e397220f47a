//! Messages that the next process takes over after a kill.
use crate::common::*;
use nickelshed_testkit::*;
use serde_json::json;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

#[test]
fn a_message_without_an_attempt_is_delivered_by_the_next_process_after_a_kill() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(sender.submit("order", "m", 7, 16_000, b"body"), 202);
    sender.kill();
    discovery.set_instances(json!([ready_instance("e-1", endpoint.address, 7)]));
    sender.restart();
    let calls = endpoint.wait_for_message("m", 1);
    assert_eq!(calls[0].body, b"body");
    assert!(discovery.notices().is_empty());
}

#[test]
fn after_a_kill_during_an_attempt_an_unsafe_message_fails_and_a_keyed_one_is_retried_with_its_key() {
    let endpoint = first_then_ok(|| Reply::Hang);
    let (discovery, mut sender) = start_with_one_endpoint(&endpoint);
    assert_eq!(sender.submit("order", "unsafe", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("unsafe", 1);
    sender.kill();
    sender.restart();
    assert_eq!(discovery.wait_for_notice("unsafe")["outcome"], "given_up");
    wait_until_settled(&sender, &endpoint);
    assert_eq!(endpoint.wait_for_message("unsafe", 1).len(), 1);

    let endpoint = first_then_ok(|| Reply::Hang);
    let (discovery, mut sender) = start_with_one_endpoint(&endpoint);
    assert_eq!(sender.submit("alert", "keyed", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("keyed", 1);
    sender.kill();
    sender.restart();
    let calls = endpoint.wait_for_message("keyed", 2);
    assert_eq!(calls[1].headers["idempotency-key"], "key-keyed");
    assert!(discovery.notices().is_empty());
}

#[test]
fn the_repeat_window_of_a_key_counts_from_the_first_attempt_across_a_restart() {
    let endpoint = first_then_ok(|| Reply::Hang);
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let mut sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
        config["settings"]["Services"][0]["WindowNs"] = json!(300_000_000);
    });
    assert_eq!(sender.submit("alert", "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("m", 1);
    sender.kill();
    std::thread::sleep(Duration::from_millis(400));
    sender.restart();
    discovery.wait_for_notice("m");
    wait_until_settled(&sender, &endpoint);
    assert_eq!(endpoint.wait_for_message("m", 1).len(), 1);
}

#[test]
fn a_delivered_message_is_not_sent_again_after_a_kill() {
    assert_finished_by_one_call(&FakeServer::new(|_| ok_reply()), "order");
}

#[test]
fn a_message_that_expired_during_downtime_is_returned_at_once_and_its_notice_is_repeated_until_acknowledged()
{
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(sender.submit("order", "m", 7, 300, b"x"), 202);
    sender.kill();
    std::thread::sleep(Duration::from_millis(400));
    sender.restart();
    assert_eq!(discovery.wait_for_notice("m")["outcome"], "handed_back");

    // This platform closes the connection on the first notice, answers the second with an error and accepts
    // the third.
    let calls = AtomicUsize::new(0);
    let list = json!({"generation": 1, "reset": true, "instances": [terminating_instance(7)]}).to_string();
    let platform = FakeServer::new(move |request| {
        match (request.start_line.starts_with("POST"), calls.load(Ordering::SeqCst)) {
            (false, _) => http_reply("200 OK", "", &list),
            (true, tries) => {
                calls.fetch_add(1, Ordering::SeqCst);
                match tries {
                    0 => Reply::Close,
                    1 => http_reply("500 Error", "", ""),
                    _ => http_reply("204 No Content", "", ""),
                }
            }
        }
    });
    let discovery = Discovery { server: platform, ..discovery };
    let sender = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(sender.submit("order", "n", 7, 300, b"x"), 202);
    let posts =
        |requests: &[HttpMessage]| requests.iter().filter(|r| r.start_line.starts_with("POST")).count();
    discovery.server.wait_until("the notice three times", |requests| posts(requests) == 3);
    assert!(discovery.notices().iter().all(|n| n["message"] == "n"));
}

/// With durability `machine` the effects of an iteration of the event loop wait for a sync of the journal.
#[test]
fn with_durability_machine_messages_are_accepted_delivered_and_recovered_after_a_kill() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery =
        Discovery::new(json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(9)]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    let file = sender.folder.join("operator.toml");
    std::fs::write(&file, "[journal]\ndurability = \"machine\"\n").unwrap();
    sender.set_arguments(&["--operator", file.to_str().unwrap()]);
    sender.kill();
    sender.restart();
    for i in 0..20 {
        assert_eq!(sender.submit("order", &format!("m{i}"), 7, 16_000, b"x"), 202);
        assert_eq!(sender.submit("order", &format!("queued{i}"), 9, 16_000, b"y"), 202);
    }
    (0..20).for_each(|i| _ = endpoint.wait_for_message(&format!("m{i}"), 1));
    wait_until_settled(&sender, &endpoint);
    sender.kill();
    discovery.set_instances(json!([
        ready_instance("e-1", endpoint.address, 7),
        ready_instance("e-2", endpoint.address, 9)
    ]));
    sender.restart();
    for i in 0..20 {
        assert_eq!(endpoint.wait_for_message(&format!("queued{i}"), 1)[0].body, b"y");
    }
    assert_eq!(sender.submit("order", "short", 7, 600, b"x"), 202);
    endpoint.wait_for_message("short", 1);
    let received = endpoint.received();
    assert!((0..20).all(|i| received.iter().filter(|r| r.message_id() == format!("m{i}")).count() == 1));
    assert!(discovery.notices().is_empty(), "{:?}", discovery.notices());
    sender.terminate();
    assert!(sender.wait_for_exit().success(), "{}", sender.log());
}

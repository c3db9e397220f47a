//! End-to-end tests of one sender process with fake servers over loopback. Every check waits for an event,
//! none for a fixed time.
use base64::Engine;
use nickelshed_testkit::*;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");
/// Longer than a connection must be silent before it is reused.
const REST_BEFORE_REUSE: Duration = Duration::from_millis(400);

/// A server that replies with `first_reply` to the first call and with 200 to all others.
fn first_then_ok(first_reply: impl Fn() -> Reply + Send + Sync + 'static) -> FakeServer {
    let calls = AtomicUsize::new(0);
    FakeServer::new(
        move |_| if calls.fetch_add(1, Ordering::SeqCst) == 0 { first_reply() } else { ok_reply() },
    )
}

fn start_with_one_endpoint(endpoint: &FakeServer) -> (Discovery, SenderProcess) {
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let sender = SenderProcess::start(PROGRAM, &discovery);
    (discovery, sender)
}

fn start_with_dial_timeout(discovery: &Discovery, dial_timeout: Duration) -> SenderProcess {
    SenderProcess::start_with(PROGRAM, discovery, json!([]), |config| {
        config["settings"]["Limits"]["DialTimeoutNs"] = json!(dial_timeout.as_nanos() as u64);
    })
}

/// Delivers one more message. Calls that the sender would still have made for earlier messages have been made
/// by then.
fn wait_until_settled(sender: &SenderProcess, endpoint: &FakeServer) {
    assert_eq!(sender.submit("alert", "settle", 7, 16_000, b"."), 202);
    endpoint.wait_for_message("settle", 1);
}

/// Checks that a message is finished by its first call: a restarted process neither sends it again nor posts
/// a notice.
fn assert_finished_by_one_call(endpoint: &FakeServer, class: &str) {
    let (discovery, mut sender) = start_with_one_endpoint(endpoint);
    assert_eq!(sender.submit(class, "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("m", 1);
    wait_until_settled(&sender, endpoint);
    sender.kill();
    sender.restart();
    assert_eq!(sender.submit("alert", "last", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("last", 1);
    assert_eq!(endpoint.wait_for_message("m", 1).len(), 1);
    assert!(discovery.notices().is_empty());
}

#[test]
fn accepts_messages_and_delivers_them_unchanged_over_one_reused_connection() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let (discovery, sender) = start_with_one_endpoint(&endpoint);
    let body: Vec<u8> = (0..=255).collect();
    for id in ["a", "b", "c"] {
        assert_eq!(sender.submit("alert", id, 7, 9_000, &body), 202);
        let call = endpoint.wait_for_message(id, 1).remove(0);
        assert_eq!(call.start_line, "POST /v1/messages HTTP/1.1");
        assert_eq!(call.headers["idempotency-key"], format!("key-{id}"));
        assert_eq!(call.body, body);
        let time_left: u64 = call.headers["x-expires-in-ms"].parse().unwrap();
        assert!((1..=9_000).contains(&time_left), "{time_left}");
        std::thread::sleep(REST_BEFORE_REUSE);
    }
    assert_eq!(endpoint.connection_count(), 1);
    assert!(discovery.notices().is_empty());
}

#[test]
fn an_attempt_that_was_not_executed_is_retried_even_for_an_unsafe_message() {
    let cases: [ReplyCase; 4] = [
        ("503", || http_reply("503 Full", "", "")),
        ("line busy", || http_reply("503 Busy", "X-Line-Busy: 1\r\n", "")),
        ("504", || http_reply("504 Used up", "", "")),
        ("429", || http_reply("429 Wait", "Retry-After: 0.05\r\n", "")),
    ];
    for (case, reply) in cases {
        let endpoint = first_then_ok(reply);
        let (discovery, sender) = start_with_one_endpoint(&endpoint);
        assert_eq!(sender.submit("order", "m", 7, 16_000, b"x"), 202);
        endpoint.wait_for_message("m", 2);
        assert!(discovery.notices().is_empty(), "{case}");
    }
}

#[test]
fn an_attempt_that_may_have_been_executed_is_retried_only_for_a_keyed_message() {
    let cases: [ReplyCase; 3] = [
        ("500", || http_reply("500 Error", "", "")),
        ("unknown", || http_reply("418 Teapot", "", "")),
        ("reset", || Reply::Close),
    ];
    for (case, reply) in cases {
        let endpoint = first_then_ok(reply);
        let (discovery, sender) = start_with_one_endpoint(&endpoint);
        assert_eq!(sender.submit("order", "unsafe", 7, 16_000, b"x"), 202);
        assert_eq!(discovery.wait_for_notice("unsafe")["outcome"], "given_up", "{case}");
        wait_until_settled(&sender, &endpoint);
        assert_eq!(endpoint.wait_for_message("unsafe", 1).len(), 1, "{case}");

        let endpoint = first_then_ok(reply);
        let (discovery, sender) = start_with_one_endpoint(&endpoint);
        assert_eq!(sender.submit("alert", "keyed", 7, 16_000, b"x"), 202);
        let calls = endpoint.wait_for_message("keyed", 2);
        assert_eq!(calls[0].headers["idempotency-key"], calls[1].headers["idempotency-key"]);
        assert!(discovery.notices().is_empty(), "{case}");
    }
}

#[test]
fn a_message_answered_with_410_is_finished_without_a_notice() {
    assert_finished_by_one_call(&first_then_ok(|| http_reply("410 Gone", "", "")), "alert");
}

#[test]
fn an_unanswered_unsafe_message_fails_at_its_deadline_and_a_keyed_one_is_retried_on_a_new_connection() {
    let endpoint = first_then_ok(|| Reply::Hang);
    let (discovery, sender) = start_with_one_endpoint(&endpoint);
    assert_eq!(sender.submit("order", "unsafe", 7, 600, b"x"), 202);
    assert_eq!(discovery.wait_for_notice("unsafe")["outcome"], "given_up");

    let endpoint = first_then_ok(|| Reply::Hang);
    let (_discovery, sender) = start_with_one_endpoint(&endpoint);
    assert_eq!(sender.submit("alert", "keyed", 7, 16_000, b"x"), 202);
    let calls = endpoint.wait_for_message("keyed", 2);
    assert_ne!(calls[0].connection, calls[1].connection);
    sender
        .wait_until("the first connection is closed", || endpoint.is_connection_closed(calls[0].connection));
}

#[test]
fn a_message_whose_connection_is_refused_is_returned_unexecuted() {
    let refusing_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let discovery = Discovery::new(json!([ready_instance("e-1", refusing_address, 7)]));
    let sender = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(sender.submit("order", "m", 7, 1_000, b"x"), 202);
    assert_eq!(discovery.wait_for_notice("m")["outcome"], "handed_back");
}

#[test]
fn retry_after_applies_to_every_message_of_the_destination() {
    let endpoint = first_then_ok(|| http_reply("429 Wait", "Retry-After: 1.2\r\n", ""));
    let (_discovery, sender) = start_with_one_endpoint(&endpoint);
    assert_eq!(sender.submit("alert", "limited", 7, 16_000, b"x"), 202);
    let limited_at = endpoint.wait_for_message("limited", 1).remove(0).received_at;
    assert_eq!(sender.submit("alert", "other", 7, 16_000, b"x"), 202);
    let (retried_at, other_at) = (
        endpoint.wait_for_message("limited", 2).remove(1).received_at,
        endpoint.wait_for_message("other", 1).remove(0).received_at,
    );
    assert!(retried_at.min(other_at) - limited_at >= Duration::from_millis(1_200));
}

/// Messages queued during a retry-after wait are sent in one call, and each finishes as the response says.
#[test]
fn each_message_of_a_batch_finishes_by_its_own_state() {
    let calls = Arc::new(AtomicUsize::new(0));
    let endpoint = FakeServer::new(move |request| {
        if calls.fetch_add(1, Ordering::SeqCst) == 0 {
            return http_reply("429 Wait", "Retry-After: 1.5\r\n", "");
        }
        if !request.start_line.contains(":batch") {
            return ok_reply();
        }
        let results: Vec<Value> = serde_json::from_slice::<Vec<Value>>(&request.body)
            .unwrap()
            .iter()
            .map(|m| {
                let id = m["id"].as_str().unwrap();
                let state = id.split('.').next().unwrap();
                // Messages whose id starts with "again" are reported as busy.
                let state = if id.starts_with("again") { "busy" } else { state };
                json!({"id": id, "state": state})
            })
            .collect();
        http_reply("200 OK", "", &json!(results).to_string())
    });
    let discovery = Discovery::new(json!([instance("e-1", endpoint.address, 7, "many", "Ready")]));
    let sender = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(sender.submit("alert", "done.first", 7, 16_000, b"0"), 202);
    endpoint.wait_for_message("done.first", 1);
    for id in ["done.1", "failed.2", "void.3", "busy.4", "used_up.5"] {
        assert_eq!(sender.submit("order", id, 7, 6_000, id.as_bytes()), 202);
    }
    let batches = |received: &[HttpMessage]| -> Vec<Vec<Value>> {
        let batch = received.iter().filter(|r| r.start_line.contains(":batch"));
        batch.map(|r| serde_json::from_slice(&r.body).unwrap()).collect()
    };
    let received = endpoint.wait_until("a batch", |requests| !batches(requests).is_empty());
    let batch = batches(&received).remove(0);
    let failed = batch.iter().find(|m| m["id"] == "failed.2").expect("all queued messages are in one call");
    let body = base64::engine::general_purpose::STANDARD.encode("failed.2");
    assert_eq!((&failed["body"], &failed["key"]), (&json!(body), &json!("key-failed.2")));
    assert_eq!(discovery.wait_for_notice("failed.2")["outcome"], "given_up");
    let count = |received: &[HttpMessage], id: &str| {
        let in_batches = batches(received).iter().flatten().filter(|m| m["id"] == id).count();
        in_batches + received.iter().filter(|r| r.message_id() == id).count()
    };
    let received = endpoint
        .wait_until("the second call for the two messages that were not executed", |requests| {
            count(requests, "busy.4") > 1 && count(requests, "used_up.5") > 1
        });
    for id in ["done.1", "failed.2", "void.3"] {
        assert_eq!(count(&received, id), 1, "{id}");
    }
    assert_eq!(discovery.notices().iter().filter(|n| n["outcome"] == "given_up").count(), 1);
}

/// Body of the response to a batch that reports every message as done; `None` if the request is not a batch.
fn all_done_body(request: &HttpMessage) -> Option<String> {
    let is_batch = request.start_line.contains(":batch");
    let messages: Vec<Value> =
        if is_batch { serde_json::from_slice(&request.body).unwrap() } else { Vec::new() };
    let results: Vec<Value> = messages.iter().map(|m| json!({"id": m["id"], "state": "done"})).collect();
    is_batch.then(|| json!(results).to_string())
}

#[test]
fn a_batch_too_large_for_one_body_is_sent_in_several_requests() {
    let endpoint = first_then_ok(|| http_reply("429 Wait", "Retry-After: 1.5\r\n", ""));
    endpoint.prepend_script(|request| all_done_body(request).map(|body| http_reply("200 OK", "", &body)));
    let discovery = Discovery::new(json!([instance("e-1", endpoint.address, 7, "many", "Ready")]));
    let sender = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(sender.submit("order", "0", 7, 16_000, b"0"), 202);
    endpoint.wait_for_message("0", 1);
    for id in ["1", "2", "3", "4"] {
        assert_eq!(sender.submit("order", id, 7, 16_000, &[7; 20_000]), 202);
    }
    let delivered = |received: &[HttpMessage], id: &str| {
        let entry = format!("\"id\":\"{id}\"");
        let batches = received.iter().filter(|r| r.start_line.contains(":batch"));
        let in_batches = batches.filter(|r| String::from_utf8_lossy(&r.body).contains(&entry)).count();
        in_batches + received.iter().filter(|r| r.message_id() == id).count()
    };
    let all = |requests: &[HttpMessage]| ["1", "2", "3", "4"].iter().all(|id| delivered(requests, id) == 1);
    let received = endpoint.wait_until("all four", all);
    assert!(received.iter().all(|r| r.body.len() <= 64 << 10));
    assert!(discovery.notices().is_empty());
}

/// Two large messages go in one call as two requests. The first request hangs until after the deadline of the
/// second message.
#[test]
fn a_message_that_expires_while_another_request_of_its_call_is_in_flight_is_returned_at_once() {
    let endpoint = FakeServer::new(|_| Reply::Hang);
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let sender = SenderProcess::start(PROGRAM, &discovery);
    let body = vec![b'x'; 40_000];
    for (id, expires) in [("long", 16_000), ("short", 2_000)] {
        assert_eq!(sender.submit("order", id, 7, expires, &body), 202);
    }
    discovery.set_instances(json!([instance("e-1", endpoint.address, 7, "many", "Ready")]));
    endpoint.wait_for_message("long", 1);
    assert_eq!(discovery.wait_for_notice("short")["outcome"], "handed_back");
    assert_eq!(
        discovery.notices().len(),
        1,
        "the other message is still in flight: {:?}",
        discovery.notices()
    );
}

#[test]
fn a_message_submitted_again_while_it_is_queued_is_accepted_once() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let sender = SenderProcess::start(PROGRAM, &discovery);
    for _ in 0..2 {
        assert_eq!(sender.submit("order", "m", 7, 16_000, b"x"), 202);
    }
    discovery.set_instances(json!([ready_instance("e-1", endpoint.address, 7)]));
    endpoint.wait_for_message("m", 1);
    wait_until_settled(&sender, &endpoint);
    assert_eq!(endpoint.wait_for_message("m", 1).len(), 1);
}

#[test]
fn over_the_limit_more_valuable_messages_displace_queued_ones_and_others_are_shed_with_retry_after() {
    let endpoint = FakeServer::new(|_| Reply::Hang);
    let discovery =
        Discovery::new(json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(8)]));
    let sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
        config["settings"]["Limits"]["MaxOpen"] = json!(30);
        config["settings"]["FamilyInfo"]["CallsOut"] = json!(4);
        config["settings"]["Services"][0]["Worth"] = json!(5);
    });
    let mut shed_headers = None;
    for i in 0..200 {
        let (status, headers) = sender.submit_with_headers("order", &format!("m{i}"), 7, 16_000, b"x");
        if status == 503 {
            shed_headers = Some(headers);
            break;
        }
        assert_eq!(status, 202);
    }
    let retry_after: f64 = shed_headers.expect("a limit on open messages")["retry-after"].parse().unwrap();
    assert!(retry_after > 0.0);
    assert!(
        discovery.notices().is_empty(),
        "accepted messages are not displaced by others of the same value"
    );
    assert_eq!(sender.submit("alert", "more-valuable", 8, 16_000, b"x"), 202);
    let received = discovery.server.wait_until("a notice of a returned message", |requests| {
        requests.iter().any(|r| r.start_line.contains("/reports"))
    });
    assert!(!received.is_empty());
    let notices = discovery.notices();
    assert!(notices.iter().all(|n| n["outcome"] == "handed_back"), "{notices:?}");
    assert!(notices.iter().all(|n| n["retry_in_ms"].as_u64().is_some_and(|ms| ms > 0)), "{notices:?}");
    assert!(notices.iter().all(|n| n["message"] != "more-valuable"), "{notices:?}");
}

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

#[test]
fn a_misspelt_key_in_the_operator_file_fails_the_start_and_is_named() {
    let discovery = Discovery::new(json!([]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    let file = sender.folder.join("operator.toml");
    std::fs::write(&file, "[journal]\ndurabilty = \"machine\"\n").unwrap();
    sender.kill();
    sender.set_arguments(&["--operator", file.to_str().unwrap()]);
    let (success, log) = sender.run_second();
    assert!(!success && log.contains("durabilty") && log.contains("durability"), "{log}");
}

#[test]
fn a_torn_write_at_the_end_of_the_journal_is_cut_off_and_earlier_records_survive() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    for id in ["intact", "torn"] {
        assert_eq!(sender.submit("order", id, 7, 16_000, &[7; 300]), 202);
    }
    sender.kill();
    let path = sender.segments().pop().unwrap();
    let bytes = std::fs::read(&path).unwrap();
    std::fs::write(&path, &bytes[..bytes.len() - 5]).unwrap();
    discovery.set_instances(json!([ready_instance("e-1", endpoint.address, 7)]));
    sender.restart();
    endpoint.wait_for_message("intact", 1);
    wait_until_settled(&sender, &endpoint);
    assert!(!endpoint.received().iter().any(|r| r.message_id() == "torn"));
    // Records that are written after the cut can be read again.
    discovery.set_instances(json!([terminating_instance(7)]));
    let count_before = discovery.server.received().len();
    discovery
        .server
        .wait_until("requests after the change of the list", |requests| requests.len() >= count_before + 3);
    assert_eq!(sender.submit("order", "later", 7, 16_000, b"x"), 202);
    sender.kill();
    discovery.set_instances(json!([ready_instance("e-1", endpoint.address, 7)]));
    sender.restart();
    endpoint.wait_for_message("later", 1);
    assert_eq!(endpoint.wait_for_message("intact", 1).len(), 1);
}

/// An attempt record in the middle of the journal is corrupted. The journal assumes that the attempt was
/// made: an unsafe message fails and is not sent again, and the records after the damage survive.
#[test]
fn a_corrupted_attempt_record_does_not_let_an_unsafe_message_run_twice() {
    let endpoint = first_then_ok(|| Reply::Hang);
    let discovery = Discovery::new(json!([terminating_instance(7), terminating_instance(9)]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(sender.submit("order", "m", 7, 16_000, b"x"), 202);
    let journal_length =
        |sender: &SenderProcess| std::fs::metadata(sender.segments().pop().unwrap()).unwrap().len() as usize;
    let length_before_attempt = journal_length(&sender);
    discovery.set_instances(json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(9)]));
    endpoint.wait_for_message("m", 1);
    assert!(journal_length(&sender) > length_before_attempt, "the attempt is recorded before it is made");
    assert_eq!(sender.submit("order", "behind", 9, 16_000, b"y"), 202);
    sender.kill();
    let path = sender.segments().pop().unwrap();
    let mut bytes = std::fs::read(&path).unwrap();
    // Offset 26 is past the header of the frame that holds the attempt record.
    bytes[length_before_attempt + 26] ^= 1;
    std::fs::write(&path, bytes).unwrap();
    discovery.set_instances(json!([
        ready_instance("e-1", endpoint.address, 7),
        ready_instance("e-2", endpoint.address, 9)
    ]));
    sender.restart();
    assert_eq!(discovery.wait_for_notice("m")["outcome"], "given_up");
    assert_eq!(endpoint.wait_for_message("behind", 1)[0].body, b"y");
    wait_until_settled(&sender, &endpoint);
    assert_eq!(endpoint.wait_for_message("m", 1).len(), 1);
    assert!(sender.log().contains("the journal is damaged"), "{}", sender.log());
    assert!(sender.state_folder().join("damaged-0000000000000001").exists());
}

#[test]
fn a_damaged_journal_does_not_prevent_the_start() {
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    sender.kill();
    let noise: Vec<u8> = (0..5_000u32).map(|i| (i.wrapping_mul(2_654_435_761) >> 13) as u8).collect();
    for name in ["journal", "segment-0000000000000001", "segment-0000000000000007"] {
        std::fs::write(sender.state_folder().join(name), &noise).unwrap();
    }
    sender.restart();
    assert_eq!(sender.submit("order", "m", 7, 16_000, b"x"), 202);
}

#[test]
fn the_journal_is_compacted_within_its_limit_and_messages_that_do_not_fit_are_shed() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery =
        Discovery::new(json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(9)]));
    let limit = 400_000;
    let mut sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
        config["limits"]["disk_mb"] = json!(0.4)
    });
    // Together they are far larger than the limit, which is kept only if compaction drops the records of
    // finished messages.
    for i in 0..60 {
        let id = format!("m{i}");
        assert_eq!(sender.submit("alert", &id, 7, 16_000, &[1; 20_000]), 202);
        endpoint.wait_for_message(&id, 1);
        assert!(sender.disk_usage() <= limit, "{}", sender.disk_usage());
    }
    // Open messages are not dropped: these wait until the list has an endpoint for their destination.
    let mut queued = Vec::new();
    loop {
        let id = format!("queued{}", queued.len());
        match sender.submit("order", &id, 9, 16_000, &[2; 20_000]) {
            202 => queued.push(id),
            status => break assert_eq!(status, 503),
        }
        assert!(sender.disk_usage() <= limit && queued.len() < 50, "{}", sender.disk_usage());
    }
    assert!(queued.len() >= 3, "{}", queued.len());
    sender.kill();
    let both =
        json!([ready_instance("e-1", endpoint.address, 7), ready_instance("e-2", endpoint.address, 9)]);
    discovery.set_instances(both);
    sender.restart();
    for id in &queued {
        assert_eq!(endpoint.wait_for_message(id, 1)[0].body, [2; 20_000]);
    }
    assert_eq!(sender.submit("order", "after-restart", 7, 16_000, b"x"), 202);
    assert!(sender.disk_usage() <= limit);
}

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
fn clients_over_the_socket_limit_get_503_until_connections_are_closed() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
        config["limits"]["sockets"] = json!(64)
    });
    // Of 64 sockets, 40 are available for connections: 15 for calls, 23 for clients, and 2 for further
    // clients that only get a 503.
    let occupied: Vec<TcpStream> = (0..23).map(|_| TcpStream::connect(sender.address).unwrap()).collect();
    let (status, headers) = sender.submit_with_headers("alert", "one more", 7, 16_000, b"x");
    assert_eq!((status, headers.get("connection").map(String::as_str)), (503, Some("close")), "{headers:?}");
    assert!(headers.contains_key("retry-after"));
    drop(occupied);
    sender.wait_until("a connection is free again", || {
        sender.submit("alert", "settle", 7, 16_000, b"x") == 202
    });
    endpoint.wait_for_message("settle", 1);
}

#[test]
fn a_client_that_disconnects_within_a_request_has_no_effect() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let (discovery, sender) = start_with_one_endpoint(&endpoint);
    for part in
        ["PO", "POST /alert HTTP/1.1\r\nHost: x\r\n", "POST /alert HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"]
    {
        let mut client = TcpStream::connect(sender.address).unwrap();
        client.write_all(part.as_bytes()).unwrap();
    }
    wait_until_settled(&sender, &endpoint);
    assert_eq!(endpoint.received().len(), 1);
    assert!(discovery.notices().is_empty());
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

/// A listener whose backlog is full, so that new connections to its address hang until `accept_connections`.
struct HangingListener {
    runtime: tokio::runtime::Runtime,
    listener: tokio::net::TcpListener,
    address: SocketAddr,
    backlog: Vec<TcpStream>,
}

impl HangingListener {
    fn new() -> HangingListener {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let listener = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().unwrap();
            socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
            socket.listen(1).unwrap()
        });
        let address = listener.local_addr().unwrap();
        let mut backlog = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
            backlog.push(stream);
            assert!(backlog.len() < 20, "the backlog does not fill");
        }
        HangingListener { runtime, listener, address, backlog }
    }

    /// Accepts the connections of the backlog, closes them, and serves later connections like a fake server.
    fn accept_connections(self) -> FakeServer {
        let HangingListener { runtime, listener, backlog, .. } = self;
        for _ in &backlog {
            runtime.block_on(listener.accept()).unwrap();
        }
        drop(backlog);
        let _runtime_guard = runtime.enter();
        let listener = listener.into_std().unwrap();
        listener.set_nonblocking(false).unwrap();
        FakeServer::with_listener(listener, |_| ok_reply())
    }
}

#[test]
fn a_drain_notified_while_connecting_moves_the_message_to_another_endpoint() {
    let (hanging, other) = (HangingListener::new(), FakeServer::new(|_| ok_reply()));
    let discovery = Discovery::new(json!([ready_instance("e-1", hanging.address, 7)]));
    let sender = start_with_dial_timeout(&discovery, Duration::from_secs(20));
    let address = hanging.address;
    assert_eq!(sender.submit("order", "m", 7, 16_000, b"x"), 202);
    discovery.set_instances(json!([
        instance("e-1", address, 7, "plain", "Terminating"),
        ready_instance("e-2", other.address, 7)
    ]));
    // The sender has processed the change once it watches from generation 2. The message can now only go to
    // e-2.
    discovery.server.wait_until("the watch to continue", |requests| {
        requests.iter().any(|r| r.start_line.contains("index=2"))
    });
    let hanging = hanging.accept_connections();
    sender.wait_until("the connection is established", || hanging.connection_count() > 0);
    other.wait_for_message("m", 1);
    assert!(hanging.received().is_empty(), "{:?}", hanging.received());
}

/// Guards against work at a server that has taken the place of the one that it was meant for.
#[test]
fn an_endpoint_that_changes_while_connecting_gets_no_message_of_the_destination_before() {
    for keeps_address in [false, true] {
        let (hanging, other) = (HangingListener::new(), FakeServer::new(|_| ok_reply()));
        let discovery = Discovery::new(json!([ready_instance("e-1", hanging.address, 7)]));
        let sender = start_with_dial_timeout(&discovery, Duration::from_secs(20));
        assert_eq!(sender.submit("order", "m", 7, 16_000, b"x"), 202);
        let address = hanging.address;
        discovery.set_instances(if keeps_address {
            json!([ready_instance("e-1", address, 9), ready_instance("e-2", other.address, 7)])
        } else {
            json!([ready_instance("e-1", other.address, 7), ready_instance("e-2", address, 9)])
        });
        discovery.server.wait_until("the watch to continue", |requests| {
            requests.iter().any(|r| r.start_line.contains("index=2"))
        });
        let hanging = hanging.accept_connections();
        sender.wait_until("the connection is established", || hanging.connection_count() > 0);
        other.wait_for_message("m", 1);
        assert!(hanging.received().is_empty(), "{keeps_address}: {:?}", hanging.received());
    }
}

/// A call with several messages waits for its connection. A message that expires meanwhile is returned at its
/// deadline and not when the connection is established.
#[test]
fn a_message_that_expires_while_its_call_is_connecting_is_returned_at_once() {
    let hanging = HangingListener::new();
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let sender = start_with_dial_timeout(&discovery, Duration::from_secs(60));
    for (id, expires) in [("short", 2_000), ("long", 16_000), ("other", 16_000)] {
        assert_eq!(sender.submit("order", id, 7, expires, b"x"), 202);
    }
    discovery.set_instances(json!([instance("e-1", hanging.address, 7, "many", "Ready")]));
    assert_eq!(discovery.wait_for_notice("short")["outcome"], "handed_back");
    let hanging = hanging.accept_connections();
    let received = hanging.wait_until("the batch with the other messages", |requests| {
        requests.iter().any(|r| r.start_line.contains(":batch"))
    });
    let list: Vec<Value> = serde_json::from_slice(&received[0].body).unwrap();
    let mut ids: Vec<&str> = list.iter().filter_map(|m| m["id"].as_str()).collect();
    ids.sort();
    assert_eq!(ids, ["long", "other"], "in one call, without the expired message");
}

#[test]
fn a_retry_after_received_while_connecting_delays_the_call() {
    let (hanging, other) =
        (HangingListener::new(), first_then_ok(|| http_reply("429 Wait", "Retry-After: 3\r\n", "")));
    let discovery = Discovery::new(json!([
        ready_instance("e-1", hanging.address, 7),
        ready_instance("e-2", other.address, 7)
    ]));
    let sender = start_with_dial_timeout(&discovery, Duration::from_secs(20));
    assert_eq!(sender.submit("order", "connecting", 7, 16_000, b"x"), 202);
    assert_eq!(sender.submit("order", "limited", 7, 16_000, b"x"), 202);
    let limited_at = other.wait_for_message("limited", 1).remove(0).received_at;
    let hanging = hanging.accept_connections();
    sender.wait_until("the connection is established", || hanging.connection_count() > 0);
    let call_times = |id: &str| {
        let all = hanging.received().into_iter().chain(other.received());
        all.filter(|r| r.message_id() == id).map(|r| r.received_at).collect::<Vec<_>>()
    };
    sender.wait_until("both are delivered", || {
        call_times("connecting").len() == 1 && call_times("limited").len() == 2
    });
    assert!(call_times("connecting")[0] - limited_at >= Duration::from_secs(3));
}

#[test]
fn while_discovery_does_not_answer_the_known_list_stays_in_effect() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([]));
    discovery.stop_answering();
    let known = json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(8),
        {"instanceId": "unreadable"}]);
    let mut sender = SenderProcess::start_with(PROGRAM, &discovery, known, |_| {});
    assert_eq!(sender.submit("alert", "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("m", 1);
    // A destination without an endpoint never uses the endpoint of another one.
    assert_eq!(sender.submit("alert", "elsewhere", 8, 500, b"x"), 202);
    assert_eq!(discovery.wait_for_notice("elsewhere")["outcome"], "handed_back");
    assert_eq!(endpoint.received().len(), 1);
    assert!(sender.is_running());
}

#[test]
fn malformed_requests_are_rejected_and_have_no_effect() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let (_discovery, sender) = start_with_one_endpoint(&endpoint);
    let valid_headers = [
        ("X-Trace-Id", "t"),
        ("X-Qos", "alert"),
        ("X-Customer", "acme"),
        ("X-Expires-In-Ms", "9000"),
        ("X-Consignee", "dest=7"),
        ("Idempotency-Key", "k"),
    ];
    let status_of = |request_line: &str, change: (&str, Option<&str>), body_length: usize| {
        let mut text = format!("{request_line} HTTP/1.1\r\nHost: x\r\nContent-Length: {body_length}\r\n");
        for (name, value) in valid_headers {
            let value = if name == change.0 { change.1 } else { Some(value) };
            if let Some(value) = value {
                text += &format!("{name}: {value}\r\n");
            }
        }
        let mut bytes = (text + "\r\n").into_bytes();
        bytes.resize(bytes.len() + body_length, b'x');
        let response =
            sender.send_request(&bytes).unwrap_or_else(|| panic!("no response to {request_line} {change:?}"));
        response.start_line.split(' ').nth(1).unwrap().parse::<u16>().unwrap()
    };
    for (name, value) in [
        ("X-Trace-Id", None),
        ("X-Trace-Id", Some("")),
        ("X-Qos", Some("other")),
        ("X-Customer", None),
        ("X-Customer", Some("nobody")),
        ("X-Expires-In-Ms", None),
        ("X-Expires-In-Ms", Some("-5")),
        ("X-Expires-In-Ms", Some("99999999999999999999")),
        ("X-Consignee", None),
        ("X-Consignee", Some("dest=")),
        ("X-Consignee", Some("dest=-1")),
        ("X-Consignee", Some("dest=1e9")),
        ("X-Consignee", Some("dest=99999999999999999999999")),
        ("Idempotency-Key", None),
    ] {
        assert_eq!(status_of("POST /alert", (name, value), 1), 400, "{name}: {value:?}");
    }
    assert_eq!(status_of("POST /nosuch", ("", None), 1), 404);
    assert_eq!(status_of("POST /", ("", None), 1), 404);
    assert_eq!(status_of("GET /alert", ("", None), 0), 405);
    assert_eq!(status_of("POST /healthz", ("", None), 0), 405);
    assert_eq!(status_of("POST /alert", ("", None), (64 << 10) + 1), 413);
    assert_eq!(status_of("POST /alert", ("X-Consignee", Some("dest=18446744073709551615")), 1), 404);
    assert_eq!(status_of("POST /alert", ("X-Trace-Id", Some("largest")), 64 << 10), 202);
    assert_eq!(endpoint.wait_for_message("largest", 1)[0].body.len(), 64 << 10);
    wait_until_settled(&sender, &endpoint);
}

#[test]
fn a_reloaded_discovery_address_applies_to_watches_and_notices_and_survives_a_restart() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let old = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(8)]));
    let mut sender = SenderProcess::start(PROGRAM, &old);
    // The old platform receives a notice and never answers it.
    old.server.prepend_script(|r| r.start_line.starts_with("POST").then_some(Reply::Hang));
    assert_eq!(sender.submit("order", "unanswered", 8, 300, b"x"), 202);
    old.wait_for_notice("unanswered");

    // A file that cannot be parsed, or has no discovery address, changes nothing.
    sender.reload("{");
    sender.wait_until("the bad file is logged", || sender.log().contains("the old configuration is kept"));
    assert_eq!(sender.submit("order", "as before", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("as before", 1);

    let new = Discovery::new(json!([]));
    new.stop_answering();
    sender.config["discovery"] = json!(new.server.address.to_string());
    sender.reload(&sender.config.to_string());
    let full_list_requests = |requests: &[HttpMessage]| {
        requests.iter().filter(|r| r.start_line == "GET /v1/servers HTTP/1.1").count()
    };
    new.server.wait_until("a request for the full list at the new address", |requests| {
        full_list_requests(requests) > 0
    });
    // The new address has sent no list yet: the old list stays in effect.
    assert_eq!(sender.submit("order", "old list", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("old list", 1);
    assert_eq!(new.wait_for_notice("unanswered")["outcome"], "handed_back");
    new.set_instances(json!([
        ready_instance("e-1", endpoint.address, 7),
        ready_instance("e-2", endpoint.address, 9)
    ]));
    new.resume_answering();
    sender.wait_until("the new list is in effect", || {
        sender.submit("order", "new list", 9, 16_000, b"x") == 202
    });
    endpoint.wait_for_message("new list", 1);

    // The environment variable still has the old address: the configuration file takes precedence.
    sender.kill();
    let (connections_before, requests_before) =
        (old.server.connection_count(), full_list_requests(&new.server.received()));
    sender.restart();
    new.server.wait_until("a request for the full list after the restart", |requests| {
        full_list_requests(requests) > requests_before
    });
    assert_eq!(old.server.connection_count(), connections_before);
}

/// Sends bytes on a new connection and returns everything that the sender writes until it closes the
/// connection. Returns `None` if it does not close it in time.
fn read_until_closed(sender: &SenderProcess, bytes: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect(sender.address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut response = Vec::new();
    let result = stream.read_to_end(&mut response);
    // A reset counts as closed, too.
    let closed = result.map_or_else(|e| e.kind() == std::io::ErrorKind::ConnectionReset, |_| true);
    closed.then(|| String::from_utf8_lossy(&response).into_owned())
}

fn message_request(id: &str, length_headers: &str) -> String {
    format!(
        "POST /alert HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {id}\r\nX-Customer: acme\r\nX-Expires-In-Ms: 9000\r\n\
         X-Consignee: dest=7\r\nIdempotency-Key: {id}\r\n{length_headers}\r\n"
    )
}

/// Request smuggling: if the length of a request is ambiguous, the bytes after it must not be read as another
/// request.
#[test]
fn a_request_smuggled_in_the_body_of_another_is_never_forwarded() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let (_discovery, sender) = start_with_one_endpoint(&endpoint);
    let smuggled = message_request("hidden", "Content-Length: 1\r\n") + "h";
    let (length, chunked) =
        (format!("Content-Length: {}\r\n", smuggled.len() + 5), "Transfer-Encoding: chunked\r\n");
    let two_lengths = "Content-Length: 1\r\nContent-Length: 90\r\n".to_string();
    for length_headers in
        [length.clone() + chunked, chunked.to_string() + &length, chunked.to_string(), two_lengths]
    {
        let bytes = message_request("outer", &length_headers) + "0\r\n\r\n" + &smuggled;
        let response = read_until_closed(&sender, bytes.as_bytes()).expect("closed");
        assert!(
            response.starts_with("HTTP/1.1 4") && response.matches("HTTP/1.1").count() == 1,
            "{length_headers}: {response}"
        );
    }
    // This request is rejected before its body is read.
    let bytes = message_request("outer", "Content-Length: 70000\r\n") + &smuggled;
    assert!(read_until_closed(&sender, bytes.as_bytes()).expect("closed").starts_with("HTTP/1.1 413"));
    wait_until_settled(&sender, &endpoint);
    assert_eq!(endpoint.received().len(), 1);
}

#[test]
fn connections_with_incomplete_or_endless_requests_are_closed() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let (_discovery, sender) = start_with_one_endpoint(&endpoint);
    let endless = "POST /alert HTTP/1.1\r\n".to_string() + &"X-More: x\r\n".repeat(9_000);
    for bytes in ["", "PO", &message_request("m", "Content-Length: 9\r\n"), &endless, &"x".repeat(100_000)] {
        assert!(read_until_closed(&sender, bytes.as_bytes()).is_some(), "{}", &bytes[..bytes.len().min(40)]);
    }
    wait_until_settled(&sender, &endpoint);
    assert_eq!(endpoint.received().len(), 1);
}

/// Clients that send one request and leave their connection open must not use up the connections for other
/// clients.
#[test]
fn idle_client_connections_do_not_keep_new_clients_out() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    // This allows 23 client connections. While more than three quarters of them are in use, the sender closes
    // each connection after its response.
    let sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
        config["limits"]["sockets"] = json!(64)
    });
    let idle: Vec<TcpStream> = (0..17)
        .map(|i| {
            let mut stream = TcpStream::connect(sender.address).unwrap();
            stream
                .write_all((message_request(&format!("m{i}"), "Content-Length: 1\r\n") + "x").as_bytes())
                .unwrap();
            endpoint.wait_for_message(&format!("m{i}"), 1);
            stream
        })
        .collect();
    for i in 0..20 {
        let (status, headers) = sender.submit_with_headers("alert", &format!("n{i}"), 7, 16_000, b"x");
        assert_eq!((status, headers.get("connection").map(String::as_str)), (202, Some("close")));
    }
    // Connections without a request use up all that are left: the sender closes the one that has been idle
    // longest.
    let _silent: Vec<TcpStream> = (0..6).map(|_| TcpStream::connect(sender.address).unwrap()).collect();
    sender.wait_until("a connection is free", || sender.submit("alert", "settle", 7, 16_000, b"x") == 202);
    let mut last = &idle[16];
    last.write_all((message_request("again", "Content-Length: 1\r\nConnection: close\r\n") + "x").as_bytes())
        .unwrap();
    endpoint.wait_for_message("again", 1);
    assert_eq!(read_to_end(last).matches("HTTP/1.1 202").count(), 2);
}

fn read_to_end(mut stream: &TcpStream) -> String {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

/// A submission with the id of an open message and other contents is another message: it gets 409, and the
/// open message is not affected.
#[test]
fn an_open_id_with_other_contents_is_a_conflict_and_a_deadline_is_capped_by_its_class() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
        config["settings"]["Services"][1]["DeadlineNs"] = json!(300_000_000u64);
    });
    assert_eq!(sender.submit("alert", "m", 7, 16_000, b"mine"), 202);
    assert_eq!(sender.submit("alert", "m", 7, 16_000, b"other"), 409);
    assert_eq!(sender.submit("order", "m", 7, 16_000, b"mine"), 409);
    assert_eq!(sender.submit("alert", "m", 7, 16_000, b"mine"), 202);
    assert_eq!(sender.submit("order", "long", 7, 4_000_000_000, b"x"), 202);
    assert_eq!(discovery.wait_for_notice("long")["outcome"], "handed_back");
    discovery.set_instances(json!([ready_instance("e-1", endpoint.address, 7)]));
    assert_eq!(endpoint.wait_for_message("m", 1)[0].body, b"mine");
    wait_until_settled(&sender, &endpoint);
    assert_eq!(endpoint.wait_for_message("m", 1).len(), 1);
}

/// The memory limit bounds the bodies of open messages. Large bodies that fill it must not keep small
/// messages out.
#[test]
fn bodies_are_limited_by_the_memory_budget() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
        config["limits"]["memory_mb"] = json!(5)
    });
    let submit_large =
        |i: u32| sender.submit_with_headers("alert", &format!("large{i}"), 7, 16_000, &[1; 60_000]);
    let shed = (0..40).map(submit_large).find(|(status, _)| *status != 202).expect("a limit on bodies");
    assert_eq!(shed.0, 503);
    assert!(shed.1.contains_key("retry-after"));
    assert_eq!(sender.submit("alert", "small", 7, 16_000, b"x"), 202);
    discovery.set_instances(json!([ready_instance("e-1", endpoint.address, 7)]));
    endpoint.wait_for_message("small", 1);
    // Finished messages release their bytes.
    sender.wait_until("there is memory for a large body again", || submit_large(99).0 == 202);
}

/// A message that was sent alone in its call counts as delivered if the status line says 200, whatever
/// follows. After any other corrupted response the message may have been executed.
#[test]
fn a_corrupted_response_is_a_failure_unless_its_status_line_says_200() {
    let cases = [
        ("HTTP/1.1 200 OK\r\n\u{1}\u{2} noise \r\n\r\n", true),
        ("HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n", true),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on", true),
        ("HTTP/1.1 200 OK\r\nX-More: without an end", true),
        ("HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: nine\r\n\r\n", true),
        ("HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 500 Error\r\nContent-Length: nine\r\n\r\n", false),
        ("HTTP/1.1 20", false),
        ("noise without end", false),
        ("\u{0}\u{1}\u{2}\r\n\r\n", false),
    ];
    for (text, delivered) in cases {
        let endpoint = first_then_ok(move || Reply::Bytes(text.to_string()));
        let (discovery, sender) = start_with_one_endpoint(&endpoint);
        assert_eq!(sender.submit("order", "m", 7, 16_000, b"x"), 202);
        if delivered {
            endpoint.wait_for_message("m", 1);
        } else {
            assert_eq!(discovery.wait_for_notice("m")["outcome"], "given_up", "{text}");
        }
        // The connection must not be reused.
        sender.wait_until("the connection is closed", || endpoint.is_connection_closed(0));
        wait_until_settled(&sender, &endpoint);
        assert_eq!(endpoint.wait_for_message("m", 1).len(), 1, "{text}");
        assert_eq!(discovery.notices().len(), usize::from(!delivered), "{text}");
    }
}

#[test]
fn bytes_after_a_complete_response_are_never_taken_as_the_next_response() {
    let complete = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for extra in [complete, "noise", "HTTP/1.1 200 OK\r\n"] {
        let endpoint = FakeServer::new(|_| ok_reply());
        endpoint.prepend_script(move |request| {
            (request.message_id() == "first").then(|| Reply::Bytes(complete.to_string() + extra))
        });
        let (discovery, sender) = start_with_one_endpoint(&endpoint);
        let calls = AtomicUsize::new(0);
        endpoint.prepend_script(move |request| {
            let is_rejected = request.message_id() == "second" && calls.fetch_add(1, Ordering::SeqCst) == 0;
            is_rejected.then(|| http_reply("503 Full", "", ""))
        });
        assert_eq!(sender.submit("order", "first", 7, 16_000, b"x"), 202);
        endpoint.wait_for_message("first", 1);
        assert_eq!(sender.submit("order", "second", 7, 16_000, b"x"), 202);
        let calls = endpoint.wait_for_message("second", 2);
        assert_ne!(calls[0].connection, 0, "{extra}");
        assert!(discovery.notices().is_empty(), "{extra}");
    }
}

#[test]
fn only_a_complete_response_to_a_batch_counts() {
    let endpoint = first_then_ok(|| http_reply("429 Wait", "Retry-After: 1.5\r\n", ""));
    endpoint.prepend_script(|request| {
        let truncated = |body: String| {
            let headers = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len() + 1);
            Reply::Bytes(headers + &body)
        };
        all_done_body(request).map(truncated)
    });
    let discovery = Discovery::new(json!([instance("e-1", endpoint.address, 7, "many", "Ready")]));
    let sender = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(sender.submit("order", "0", 7, 16_000, b"0"), 202);
    endpoint.wait_for_message("0", 1);
    for id in ["1", "2"] {
        assert_eq!(sender.submit("order", id, 7, 16_000, b"x"), 202);
    }
    endpoint.wait_until("a batch", |received| received.iter().any(|r| r.start_line.contains(":batch")));
    for id in ["1", "2"] {
        assert_eq!(discovery.wait_for_notice(id)["outcome"], "given_up");
    }
}

#[test]
fn invalid_load_reports_are_ignored_and_a_long_retry_after_is_obeyed() {
    let reports = ["x0=NaN, x1=inf", "x0=-1, x1=-5", "x0=0.5", "x1=", "x0=0.5, x1=1e999", "\u{7f}"];
    let calls = AtomicUsize::new(0);
    let endpoint = FakeServer::new(move |request| {
        let report = reports[calls.fetch_add(1, Ordering::SeqCst) % reports.len()];
        match request.message_id() {
            "long" => http_reply("429 Wait", "Retry-After: 90000000000\r\n", ""),
            _ => http_reply(
                "200 OK",
                &format!("Retry-After: NaN\r\nEndpoint-Load-Metrics: TEXT {report}\r\n"),
                "",
            ),
        }
    });
    let (discovery, mut sender) = start_with_one_endpoint(&endpoint);
    for i in 0..2 * reports.len() {
        let id = format!("m{i}");
        assert_eq!(sender.submit("alert", &id, 7, 16_000, b"x"), 202);
        endpoint.wait_for_message(&id, 1);
    }
    assert_eq!(sender.submit("alert", "long", 7, 1_000, b"x"), 202);
    endpoint.wait_for_message("long", 1);
    assert_eq!(sender.submit("alert", "after", 7, 1_000, b"x"), 202);
    for id in ["long", "after"] {
        assert_eq!(discovery.wait_for_notice(id)["outcome"], "handed_back");
    }
    assert!(!endpoint.received().iter().any(|r| r.message_id() == "after"));
    assert!(sender.is_running());
}

/// An endpoint that closes a reused connection without a response is still available: the message is retried
/// over a new connection.
#[test]
fn resets_of_reused_connections_are_not_an_outage() {
    let used_connections = std::sync::Mutex::new(std::collections::HashSet::new());
    let endpoint = FakeServer::new(move |r| {
        if used_connections.lock().unwrap().insert(r.connection) {
            ok_reply()
        } else {
            Reply::Close
        }
    });
    let (discovery, sender) = start_with_one_endpoint(&endpoint);
    for i in 0..8 {
        let id = format!("m{i}");
        assert_eq!(sender.submit("alert", &id, 7, 16_000, b"x"), 202);
        // The first request on a connection is the one that is answered.
        let is_first_on_connection = |received: &[HttpMessage], r: &HttpMessage| {
            !received
                .iter()
                .any(|other| other.connection == r.connection && other.received_at < r.received_at)
        };
        endpoint.wait_until(&id, |received| {
            received.iter().any(|r| r.message_id() == id && is_first_on_connection(received, r))
        });
        let mut connections: Vec<_> =
            endpoint.wait_for_message(&id, 1).iter().map(|r| r.connection).collect();
        let calls = connections.len();
        connections.dedup();
        assert_eq!(connections.len(), calls);
    }
    assert!(discovery.notices().is_empty());
}

//! The real sender against small peers over loopback: every verdict waits for an event, none for a clock.
use base64::Engine;
use nickelshed_testkit::*;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");

/// The first call gets `first`, all others 200.
fn first_then_ok(first: impl Fn() -> Reply + Send + Sync + 'static) -> FakeServer {
    let calls = AtomicUsize::new(0);
    FakeServer::new(move |_| if calls.fetch_add(1, Ordering::SeqCst) == 0 { first() } else { ok_reply() })
}

fn one_endpoint(endpoint: &FakeServer) -> (Discovery, SenderProcess) {
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let node = SenderProcess::start(PROGRAM, &discovery);
    (discovery, node)
}

/// Hands in one more and waits for it: what the sender would have done before has been done by then.
fn settle(node: &SenderProcess, endpoint: &FakeServer) {
    assert_eq!(node.submit("alert", "settle", 7, 16_000, b"."), 202);
    endpoint.wait_for_message("settle", 1);
}

/// A message is over once it was called for, and the next process owes nothing for it.
fn one_call_ends_it_for_good(endpoint: &FakeServer, class: &str) {
    let (discovery, mut node) = one_endpoint(endpoint);
    assert_eq!(node.submit(class, "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("m", 1);
    settle(&node, endpoint);
    node.kill();
    node.restart();
    assert_eq!(node.submit("alert", "last", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("last", 1);
    assert_eq!(endpoint.wait_for_message("m", 1).len(), 1);
    assert!(discovery.notices().is_empty());
}

#[test]
fn takes_on_and_delivers_unchanged_over_one_kept_connection() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let (discovery, node) = one_endpoint(&endpoint);
    let body: Vec<u8> = (0..=255).collect();
    for id in ["a", "b", "c"] {
        assert_eq!(node.submit("alert", id, 7, 9_000, &body), 202);
        let call = endpoint.wait_for_message(id, 1).remove(0);
        assert_eq!(call.start_line, "POST /v1/messages HTTP/1.1");
        assert_eq!(call.headers["idempotency-key"], format!("key-{id}"));
        assert_eq!(call.body, body);
        let wait: u64 = call.headers["x-expires-in-ms"].parse().unwrap();
        assert!((1..=9_000).contains(&wait), "{wait}");
    }
    assert_eq!(endpoint.connection_count(), 1);
    assert!(discovery.notices().is_empty());
}

#[test]
fn what_never_ran_goes_again_even_if_unsafe() {
    let rows: [ReplyCase; 4] = [
        ("503", || http_reply("503 Full", "", "")),
        ("line busy", || http_reply("503 Busy", "X-Line-Busy: 1\r\n", "")),
        ("504", || http_reply("504 Used up", "", "")),
        ("429", || http_reply("429 Wait", "Retry-After: 0.05\r\n", "")),
    ];
    for (row, reply) in rows {
        let endpoint = first_then_ok(reply);
        let (discovery, node) = one_endpoint(&endpoint);
        assert_eq!(node.submit("order", "m", 7, 16_000, b"x"), 202);
        endpoint.wait_for_message("m", 2);
        assert!(discovery.notices().is_empty(), "{row}");
    }
}

#[test]
fn what_may_have_run_goes_again_only_if_keyed() {
    let rows: [ReplyCase; 3] = [
        ("500", || http_reply("500 Error", "", "")),
        ("unknown", || http_reply("418 Teapot", "", "")),
        ("reset", || Reply::Close),
    ];
    for (row, reply) in rows {
        let endpoint = first_then_ok(reply);
        let (discovery, node) = one_endpoint(&endpoint);
        assert_eq!(node.submit("order", "unsafe", 7, 16_000, b"x"), 202);
        assert_eq!(discovery.wait_for_notice("unsafe")["outcome"], "given_up", "{row}");
        settle(&node, &endpoint);
        assert_eq!(endpoint.wait_for_message("unsafe", 1).len(), 1, "{row}");

        let endpoint = first_then_ok(reply);
        let (discovery, node) = one_endpoint(&endpoint);
        assert_eq!(node.submit("alert", "keyed", 7, 16_000, b"x"), 202);
        let calls = endpoint.wait_for_message("keyed", 2);
        assert_eq!(calls[0].headers["idempotency-key"], calls[1].headers["idempotency-key"]);
        assert!(discovery.notices().is_empty(), "{row}");
    }
}

#[test]
fn a_withdrawn_message_is_over_without_a_notice() {
    one_call_ends_it_for_good(&first_then_ok(|| http_reply("410 Gone", "", "")), "alert");
}

#[test]
fn silence_ends_an_unsafe_message_at_its_time_and_closes_the_connection_of_a_keyed_one_before_it_goes_again()
{
    let endpoint = first_then_ok(|| Reply::Hang);
    let (discovery, node) = one_endpoint(&endpoint);
    assert_eq!(node.submit("order", "unsafe", 7, 600, b"x"), 202);
    assert_eq!(discovery.wait_for_notice("unsafe")["outcome"], "given_up");

    let endpoint = first_then_ok(|| Reply::Hang);
    let (_discovery, node) = one_endpoint(&endpoint);
    assert_eq!(node.submit("alert", "keyed", 7, 16_000, b"x"), 202);
    let calls = endpoint.wait_for_message("keyed", 2);
    assert_ne!(calls[0].connection, calls[1].connection);
    node.wait_until("the first connection is closed", || endpoint.is_connection_closed(calls[0].connection));
}

#[test]
fn a_refused_connection_never_ran_so_the_message_is_handed_back() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let discovery = Discovery::new(json!([ready_instance("e-1", closed, 7)]));
    let node = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(node.submit("order", "m", 7, 1_000, b"x"), 202);
    assert_eq!(discovery.wait_for_notice("m")["outcome"], "handed_back");
}

#[test]
fn a_told_wait_binds_every_message_of_the_destination() {
    let endpoint = first_then_ok(|| http_reply("429 Wait", "Retry-After: 1.2\r\n", ""));
    let (_discovery, node) = one_endpoint(&endpoint);
    assert_eq!(node.submit("alert", "told", 7, 16_000, b"x"), 202);
    let told = endpoint.wait_for_message("told", 1).remove(0).received_at;
    assert_eq!(node.submit("alert", "other", 7, 16_000, b"x"), 202);
    let (again, other) = (
        endpoint.wait_for_message("told", 2).remove(1).received_at,
        endpoint.wait_for_message("other", 1).remove(0).received_at,
    );
    assert!(again.min(other) - told >= Duration::from_millis(1_200));
}

/// Messages held during a wait leave in one call; each of them ends as the answer says.
#[test]
fn a_batch_ends_each_message_by_its_own_state() {
    let calls = Arc::new(AtomicUsize::new(0));
    let endpoint = FakeServer::new(move |request| {
        if calls.fetch_add(1, Ordering::SeqCst) == 0 {
            return http_reply("429 Wait", "Retry-After: 1.5\r\n", "");
        }
        if !request.start_line.contains(":batch") {
            return ok_reply();
        }
        let ends: Vec<Value> = serde_json::from_slice::<Vec<Value>>(&request.body)
            .unwrap()
            .iter()
            .map(|m| {
                let id = m["id"].as_str().unwrap();
                let state = id.split('.').next().unwrap();
                // Those that come again are done then.
                let state = if id.starts_with("again") { "busy" } else { state };
                json!({"id": id, "state": state})
            })
            .collect();
        http_reply("200 OK", "", &json!(ends).to_string())
    });
    let discovery = Discovery::new(json!([instance("e-1", endpoint.address, 7, "many", "Ready")]));
    let node = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(node.submit("alert", "done.first", 7, 16_000, b"0"), 202);
    endpoint.wait_for_message("done.first", 1);
    for id in ["done.1", "failed.2", "void.3", "busy.4", "used_up.5"] {
        assert_eq!(node.submit("order", id, 7, 6_000, id.as_bytes()), 202);
    }
    let batches = |seen: &[HttpMessage]| -> Vec<Vec<Value>> {
        let batch = seen.iter().filter(|r| r.start_line.contains(":batch"));
        batch.map(|r| serde_json::from_slice(&r.body).unwrap()).collect()
    };
    let seen = endpoint.wait_until("a batch", |s| !batches(s).is_empty());
    let batch = batches(&seen).remove(0);
    let failed = batch.iter().find(|m| m["id"] == "failed.2").expect("all that were held are in one call");
    let body = base64::engine::general_purpose::STANDARD.encode("failed.2");
    assert_eq!((&failed["body"], &failed["key"]), (&json!(body), &json!("key-failed.2")));
    assert_eq!(discovery.wait_for_notice("failed.2")["outcome"], "given_up");
    let count = |seen: &[HttpMessage], id: &str| {
        let inside = batches(seen).iter().flatten().filter(|m| m["id"] == id).count();
        inside + seen.iter().filter(|r| r.message_id() == id).count()
    };
    let seen = endpoint
        .wait_until("the two that never ran", |s| count(s, "busy.4") > 1 && count(s, "used_up.5") > 1);
    for id in ["done.1", "failed.2", "void.3"] {
        assert_eq!(count(&seen, id), 1, "{id}");
    }
    assert_eq!(discovery.notices().iter().filter(|n| n["outcome"] == "given_up").count(), 1);
}

/// The answer to a batch of which every message is done.
fn all_done(request: &HttpMessage) -> Option<String> {
    let many = request.start_line.contains(":batch");
    let list: Vec<Value> = if many { serde_json::from_slice(&request.body).unwrap() } else { Vec::new() };
    let ends: Vec<Value> = list.iter().map(|m| json!({"id": m["id"], "state": "done"})).collect();
    many.then(|| json!(ends).to_string())
}

#[test]
fn what_is_too_much_for_one_body_goes_in_parts() {
    let endpoint = first_then_ok(|| http_reply("429 Wait", "Retry-After: 1.5\r\n", ""));
    endpoint.prepend_script(|request| all_done(request).map(|ends| http_reply("200 OK", "", &ends)));
    let discovery = Discovery::new(json!([instance("e-1", endpoint.address, 7, "many", "Ready")]));
    let node = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(node.submit("order", "0", 7, 16_000, b"0"), 202);
    endpoint.wait_for_message("0", 1);
    for id in ["1", "2", "3", "4"] {
        assert_eq!(node.submit("order", id, 7, 16_000, &[7; 20_000]), 202);
    }
    let delivered = |seen: &[HttpMessage], id: &str| {
        let named = format!("\"id\":\"{id}\"");
        let batches = seen.iter().filter(|r| r.start_line.contains(":batch"));
        let inside = batches.filter(|r| String::from_utf8_lossy(&r.body).contains(&named)).count();
        inside + seen.iter().filter(|r| r.message_id() == id).count()
    };
    let all = |s: &[HttpMessage]| ["1", "2", "3", "4"].iter().all(|id| delivered(s, id) == 1);
    let seen = endpoint.wait_until("all four", all);
    assert!(seen.iter().all(|r| r.body.len() <= 64 << 10));
    assert!(discovery.notices().is_empty());
}

/// The first part hangs for longer than the second one's message has.
#[test]
fn a_message_whose_time_is_up_while_another_part_of_its_call_is_out_is_told_at_once() {
    let endpoint = FakeServer::new(|_| Reply::Hang);
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let node = SenderProcess::start(PROGRAM, &discovery);
    let body = vec![b'x'; 40_000];
    for (id, expires) in [("long", 16_000), ("short", 2_000)] {
        assert_eq!(node.submit("order", id, 7, expires, &body), 202);
    }
    discovery.set_instances(json!([instance("e-1", endpoint.address, 7, "many", "Ready")]));
    endpoint.wait_for_message("long", 1);
    assert_eq!(discovery.wait_for_notice("short")["outcome"], "handed_back");
    assert_eq!(discovery.notices().len(), 1, "the other one is still out: {:?}", discovery.notices());
}

#[test]
fn the_same_message_handed_in_again_while_it_is_held_is_taken_on_once() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let node = SenderProcess::start(PROGRAM, &discovery);
    for _ in 0..2 {
        assert_eq!(node.submit("order", "m", 7, 16_000, b"x"), 202);
    }
    discovery.set_instances(json!([ready_instance("e-1", endpoint.address, 7)]));
    endpoint.wait_for_message("m", 1);
    settle(&node, &endpoint);
    assert_eq!(endpoint.wait_for_message("m", 1).len(), 1);
}

#[test]
fn past_the_bound_what_waited_is_handed_back_with_a_time_for_what_is_worth_more_and_the_rest_refused() {
    let endpoint = FakeServer::new(|_| Reply::Hang);
    let discovery =
        Discovery::new(json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(8)]));
    let node = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |c| {
        c["settings"]["Limits"]["MaxOpen"] = json!(30);
        c["settings"]["FamilyInfo"]["CallsOut"] = json!(4);
        c["settings"]["Services"][0]["Worth"] = json!(5);
    });
    let mut refused = None;
    for i in 0..200 {
        let (status, headers) = node.submit_with_headers("order", &format!("m{i}"), 7, 16_000, b"x");
        if status == 503 {
            refused = Some(headers);
            break;
        }
        assert_eq!(status, 202);
    }
    let after: f64 = refused.expect("a bound on what is held")["retry-after"].parse().unwrap();
    assert!(after > 0.0);
    assert!(discovery.notices().is_empty(), "nothing that was taken on made room for more of the same");
    assert_eq!(node.submit("alert", "worth-more", 8, 16_000, b"x"), 202);
    let seen = discovery
        .server
        .wait_until("a message handed back", |s| s.iter().any(|r| r.start_line.contains("/reports")));
    assert!(!seen.is_empty());
    let notices = discovery.notices();
    assert!(notices.iter().all(|n| n["outcome"] == "handed_back"), "{notices:?}");
    assert!(notices.iter().all(|n| n["retry_in_ms"].as_u64().is_some_and(|ms| ms > 0)), "{notices:?}");
    assert!(notices.iter().all(|n| n["message"] != "worth-more"), "{notices:?}");
}

#[test]
fn a_kill_before_any_attempt_leaves_the_message_to_the_next_process() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let mut node = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(node.submit("order", "m", 7, 16_000, b"body"), 202);
    node.kill();
    discovery.set_instances(json!([ready_instance("e-1", endpoint.address, 7)]));
    node.restart();
    let calls = endpoint.wait_for_message("m", 1);
    assert_eq!(calls[0].body, b"body");
    assert!(discovery.notices().is_empty());
}

#[test]
fn a_kill_during_an_attempt_ends_an_unsafe_message_and_repeats_a_keyed_one_under_its_key() {
    let endpoint = first_then_ok(|| Reply::Hang);
    let (discovery, mut node) = one_endpoint(&endpoint);
    assert_eq!(node.submit("order", "unsafe", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("unsafe", 1);
    node.kill();
    node.restart();
    assert_eq!(discovery.wait_for_notice("unsafe")["outcome"], "given_up");
    settle(&node, &endpoint);
    assert_eq!(endpoint.wait_for_message("unsafe", 1).len(), 1);

    let endpoint = first_then_ok(|| Reply::Hang);
    let (discovery, mut node) = one_endpoint(&endpoint);
    assert_eq!(node.submit("alert", "keyed", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("keyed", 1);
    node.kill();
    node.restart();
    let calls = endpoint.wait_for_message("keyed", 2);
    assert_eq!(calls[1].headers["idempotency-key"], "key-keyed");
    assert!(discovery.notices().is_empty());
}

#[test]
fn the_window_of_a_key_counts_from_the_first_attempt_over_a_restart() {
    let endpoint = first_then_ok(|| Reply::Hang);
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let mut node = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |c| {
        c["settings"]["Services"][0]["WindowNs"] = json!(300_000_000);
    });
    assert_eq!(node.submit("alert", "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("m", 1);
    node.kill();
    std::thread::sleep(Duration::from_millis(400));
    node.restart();
    discovery.wait_for_notice("m");
    settle(&node, &endpoint);
    assert_eq!(endpoint.wait_for_message("m", 1).len(), 1);
}

#[test]
fn a_kill_after_the_delivery_does_not_repeat_it() {
    one_call_ends_it_for_good(&FakeServer::new(|_| ok_reply()), "order");
}

#[test]
fn what_ran_out_of_time_while_the_sender_was_down_ends_at_once_and_a_notice_is_repeated_until_it_is_answered()
{
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let mut node = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(node.submit("order", "m", 7, 300, b"x"), 202);
    node.kill();
    std::thread::sleep(Duration::from_millis(400));
    node.restart();
    assert_eq!(discovery.wait_for_notice("m")["outcome"], "handed_back");

    // This platform takes notices badly: closed once, then an error, then as it should be.
    let calls = AtomicUsize::new(0);
    let list = json!({"generation": 1, "reset": true, "instances": [terminating_instance(7)]}).to_string();
    let platform =
        FakeServer::new(move |r| match (r.start_line.starts_with("POST"), calls.load(Ordering::SeqCst)) {
            (false, _) => http_reply("200 OK", "", &list),
            (true, tries) => {
                calls.fetch_add(1, Ordering::SeqCst);
                match tries {
                    0 => Reply::Close,
                    1 => http_reply("500 Error", "", ""),
                    _ => http_reply("204 No Content", "", ""),
                }
            }
        });
    let discovery = Discovery { server: platform, ..discovery };
    let node = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(node.submit("order", "n", 7, 300, b"x"), 202);
    let posts = |s: &[HttpMessage]| s.iter().filter(|r| r.start_line.starts_with("POST")).count();
    discovery.server.wait_until("the notice three times", |s| posts(s) == 3);
    assert!(discovery.notices().iter().all(|n| n["message"] == "n"));
}

/// With durability `machine` everything that a round decided waits for a sync, and then happens as ever.
#[test]
fn with_durability_machine_messages_are_taken_on_delivered_and_held_over_a_kill() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery =
        Discovery::new(json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(9)]));
    let mut node = SenderProcess::start(PROGRAM, &discovery);
    let file = node.folder.join("operator.toml");
    std::fs::write(&file, "[journal]\ndurability = \"machine\"\n").unwrap();
    node.set_arguments(&["--operator", file.to_str().unwrap()]);
    node.kill();
    node.restart();
    for i in 0..20 {
        assert_eq!(node.submit("order", &format!("m{i}"), 7, 16_000, b"x"), 202);
        assert_eq!(node.submit("order", &format!("held{i}"), 9, 16_000, b"y"), 202);
    }
    (0..20).for_each(|i| _ = endpoint.wait_for_message(&format!("m{i}"), 1));
    settle(&node, &endpoint);
    node.kill();
    discovery.set_instances(json!([
        ready_instance("e-1", endpoint.address, 7),
        ready_instance("e-2", endpoint.address, 9)
    ]));
    node.restart();
    for i in 0..20 {
        assert_eq!(endpoint.wait_for_message(&format!("held{i}"), 1)[0].body, b"y");
    }
    assert_eq!(node.submit("order", "short", 7, 600, b"x"), 202);
    endpoint.wait_for_message("short", 1);
    let seen = endpoint.received();
    assert!((0..20).all(|i| seen.iter().filter(|r| r.message_id() == format!("m{i}")).count() == 1));
    assert!(discovery.notices().is_empty(), "{:?}", discovery.notices());
    node.terminate();
    assert!(node.wait_exit().success(), "{}", node.log());
}

#[test]
fn a_misspelt_key_in_the_operators_file_stops_the_start_and_is_named() {
    let discovery = Discovery::new(json!([]));
    let mut node = SenderProcess::start(PROGRAM, &discovery);
    let file = node.folder.join("operator.toml");
    std::fs::write(&file, "[journal]\ndurabilty = \"machine\"\n").unwrap();
    node.kill();
    node.set_arguments(&["--operator", file.to_str().unwrap()]);
    let (success, log) = node.run_second();
    assert!(!success && log.contains("durabilty") && log.contains("durability"), "{log}");
}

#[test]
fn a_torn_tail_is_cut_and_what_is_before_it_lives() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let mut node = SenderProcess::start(PROGRAM, &discovery);
    for id in ["whole", "torn"] {
        assert_eq!(node.submit("order", id, 7, 16_000, &[7; 300]), 202);
    }
    node.kill();
    let path = node.segments().pop().unwrap();
    let bytes = std::fs::read(&path).unwrap();
    std::fs::write(&path, &bytes[..bytes.len() - 5]).unwrap();
    discovery.set_instances(json!([ready_instance("e-1", endpoint.address, 7)]));
    node.restart();
    endpoint.wait_for_message("whole", 1);
    settle(&node, &endpoint);
    assert!(!endpoint.received().iter().any(|r| r.message_id() == "torn"));
    // What is written after the cut can be read again.
    discovery.set_instances(json!([terminating_instance(7)]));
    let seen = discovery.server.received().len();
    discovery.server.wait_until("the change to be told", |s| s.len() >= seen + 3);
    assert_eq!(node.submit("order", "later", 7, 16_000, b"x"), 202);
    node.kill();
    discovery.set_instances(json!([ready_instance("e-1", endpoint.address, 7)]));
    node.restart();
    endpoint.wait_for_message("later", 1);
    assert_eq!(endpoint.wait_for_message("whole", 1).len(), 1);
}

/// The record of an attempt is spoilt, with good records behind it: the attempt is supposed, so an unsafe message is
/// given up and not sent again, and what stands behind the damage lives.
#[test]
fn a_spoilt_record_of_an_attempt_does_not_let_an_unsafe_message_run_twice() {
    let endpoint = first_then_ok(|| Reply::Hang);
    let discovery = Discovery::new(json!([terminating_instance(7), terminating_instance(9)]));
    let mut node = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(node.submit("order", "m", 7, 16_000, b"x"), 202);
    let at = |node: &SenderProcess| std::fs::metadata(node.segments().pop().unwrap()).unwrap().len() as usize;
    let begun = at(&node);
    discovery.set_instances(json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(9)]));
    endpoint.wait_for_message("m", 1);
    assert!(at(&node) > begun, "the attempt is written down before it is made");
    assert_eq!(node.submit("order", "behind", 9, 16_000, b"y"), 202);
    node.kill();
    let path = node.segments().pop().unwrap();
    let mut bytes = std::fs::read(&path).unwrap();
    // Behind the head of the frame that holds the attempt.
    bytes[begun + 26] ^= 1;
    std::fs::write(&path, bytes).unwrap();
    discovery.set_instances(json!([
        ready_instance("e-1", endpoint.address, 7),
        ready_instance("e-2", endpoint.address, 9)
    ]));
    node.restart();
    assert_eq!(discovery.wait_for_notice("m")["outcome"], "given_up");
    assert_eq!(endpoint.wait_for_message("behind", 1)[0].body, b"y");
    settle(&node, &endpoint);
    assert_eq!(endpoint.wait_for_message("m", 1).len(), 1);
    assert!(node.log().contains("the journal is damaged"), "{}", node.log());
    assert!(node.state_folder().join("damaged-0000000000000001").exists());
}

#[test]
fn a_damaged_journal_is_never_fatal() {
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let mut node = SenderProcess::start(PROGRAM, &discovery);
    node.kill();
    let noise: Vec<u8> = (0..5_000u32).map(|i| (i.wrapping_mul(2_654_435_761) >> 13) as u8).collect();
    for name in ["journal", "segment-0000000000000001", "segment-0000000000000007"] {
        std::fs::write(node.state_folder().join(name), &noise).unwrap();
    }
    node.restart();
    assert_eq!(node.submit("order", "m", 7, 16_000, b"x"), 202);
}

#[test]
fn the_journal_is_rewritten_within_its_limit_and_refuses_what_does_not_fit() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery =
        Discovery::new(json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(9)]));
    let limit = 400_000;
    let mut node =
        SenderProcess::start_with(PROGRAM, &discovery, json!([]), |c| c["limits"]["disk_mb"] = json!(0.4));
    // Far more than fits, were nothing dropped.
    for i in 0..60 {
        let id = format!("m{i}");
        assert_eq!(node.submit("alert", &id, 7, 16_000, &[1; 20_000]), 202);
        endpoint.wait_for_message(&id, 1);
        assert!(node.disk_usage() <= limit, "{}", node.disk_usage());
    }
    // And nothing that lives is dropped: these wait for a list that names their destination.
    let mut held = Vec::new();
    loop {
        let id = format!("held{}", held.len());
        match node.submit("order", &id, 9, 16_000, &[2; 20_000]) {
            202 => held.push(id),
            status => break assert_eq!(status, 503),
        }
        assert!(node.disk_usage() <= limit && held.len() < 50, "{}", node.disk_usage());
    }
    assert!(held.len() >= 3, "{}", held.len());
    node.kill();
    let both =
        json!([ready_instance("e-1", endpoint.address, 7), ready_instance("e-2", endpoint.address, 9)]);
    discovery.set_instances(both);
    node.restart();
    for id in &held {
        assert_eq!(endpoint.wait_for_message(id, 1)[0].body, [2; 20_000]);
    }
    assert_eq!(node.submit("order", "room again", 7, 16_000, b"x"), 202);
    assert!(node.disk_usage() <= limit);
}

#[test]
fn sigterm_finishes_calls_answers_clients_and_leaves_the_rest_to_the_next_process() {
    let (release, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let arrived = Arc::new(AtomicUsize::new(0));
    let count = arrived.clone();
    let endpoint = FakeServer::new(move |_| {
        count.fetch_add(1, Ordering::SeqCst);
        let _ = gate.lock().unwrap().recv_timeout(WAIT_TIMEOUT);
        ok_reply()
    });
    let discovery =
        Discovery::new(json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(9)]));
    let mut node = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(node.submit("order", "out", 7, 16_000, b"x"), 202);
    assert_eq!(node.submit("order", "held", 9, 16_000, b"x"), 202);
    node.wait_until("the call is out", || arrived.load(Ordering::SeqCst) == 1);
    node.terminate();
    // New connections go on coming for a while and are served.
    assert_eq!(node.submit("order", "late", 9, 16_000, b"x"), 202);
    release.send(()).unwrap();
    endpoint.wait_for_message("out", 1);
    assert!(node.wait_exit().success(), "{}", node.log());
    discovery.set_instances(json!([
        ready_instance("e-1", endpoint.address, 7),
        ready_instance("e-2", endpoint.address, 9)
    ]));
    drop(release);
    node.restart();
    endpoint.wait_for_message("held", 1);
    endpoint.wait_for_message("late", 1);
    settle(&node, &endpoint);
    assert_eq!(endpoint.wait_for_message("out", 1).len(), 1);
    assert!(discovery.notices().is_empty(), "{:?}", discovery.notices());
}

#[test]
fn sigterm_does_not_wait_for_a_call_that_hangs_and_the_next_process_goes_on() {
    let endpoint = first_then_ok(|| Reply::Hang);
    let (discovery, mut node) = one_endpoint(&endpoint);
    assert_eq!(node.submit("order", "hangs", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("hangs", 1);
    node.terminate();
    assert!(node.wait_exit().success());
    node.restart();
    assert_eq!(discovery.wait_for_notice("hangs")["outcome"], "given_up");
}

#[test]
fn out_of_sockets_it_turns_clients_away_and_goes_on() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let node =
        SenderProcess::start_with(PROGRAM, &discovery, json!([]), |c| c["limits"]["sockets"] = json!(64));
    // 40 are left to share: 15 for calls, 23 for clients, two more that are only told to come again.
    let full: Vec<TcpStream> = (0..23).map(|_| TcpStream::connect(node.address).unwrap()).collect();
    let (status, headers) = node.submit_with_headers("alert", "one more", 7, 16_000, b"x");
    assert_eq!((status, headers.get("connection").map(String::as_str)), (503, Some("close")), "{headers:?}");
    assert!(headers.contains_key("retry-after"));
    drop(full);
    node.wait_until("there is room again", || node.submit("alert", "settle", 7, 16_000, b"x") == 202);
    endpoint.wait_for_message("settle", 1);
}

#[test]
fn a_client_that_leaves_in_the_middle_harms_nothing() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let (discovery, node) = one_endpoint(&endpoint);
    for part in
        ["PO", "POST /alert HTTP/1.1\r\nHost: x\r\n", "POST /alert HTTP/1.1\r\nContent-Length: 9\r\n\r\nx"]
    {
        let mut client = TcpStream::connect(node.address).unwrap();
        client.write_all(part.as_bytes()).unwrap();
    }
    settle(&node, &endpoint);
    assert_eq!(endpoint.received().len(), 1);
    assert!(discovery.notices().is_empty());
}

#[test]
fn an_idle_sender_ends_after_sigterm() {
    let discovery = Discovery::new(json!([]));
    let mut node = SenderProcess::start(PROGRAM, &discovery);
    // A client's idle connection must not hold it up.
    let _idle = TcpStream::connect(node.address).unwrap();
    node.terminate();
    assert!(node.wait_exit().success());
}

/// An address where connections hang: its backlog is full until `open` takes what waits.
struct Slow {
    runtime: tokio::runtime::Runtime,
    listener: tokio::net::TcpListener,
    address: SocketAddr,
    fill: Vec<TcpStream>,
}

impl Slow {
    fn new() -> Slow {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let listener = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().unwrap();
            socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
            socket.listen(1).unwrap()
        });
        let address = listener.local_addr().unwrap();
        let mut fill = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
            fill.push(stream);
            assert!(fill.len() < 20, "the backlog does not fill");
        }
        Slow { runtime, listener, address, fill }
    }

    /// Serves from now on, and remembers what is written.
    fn open(self) -> FakeServer {
        let Slow { runtime, listener, fill, .. } = self;
        for _ in &fill {
            runtime.block_on(listener.accept()).unwrap();
        }
        drop(fill);
        let _inside = runtime.enter();
        let listener = listener.into_std().unwrap();
        listener.set_nonblocking(false).unwrap();
        FakeServer::with_listener(listener, |_| ok_reply())
    }
}

#[test]
fn a_drain_met_while_connecting_stops_the_call() {
    let (slow, other) = (Slow::new(), FakeServer::new(|_| ok_reply()));
    let discovery = Discovery::new(json!([ready_instance("e-1", slow.address, 7)]));
    let patient = |c: &mut Value| c["settings"]["Limits"]["DialTimeoutNs"] = json!(20_000_000_000u64);
    let node = SenderProcess::start_with(PROGRAM, &discovery, json!([]), patient);
    let address = slow.address;
    assert_eq!(node.submit("order", "m", 7, 16_000, b"x"), 202);
    discovery.set_instances(json!([
        instance("e-1", address, 7, "plain", "Terminating"),
        ready_instance("e-2", other.address, 7)
    ]));
    // The change has been told once the sender watches on from it; this message can only go to the new one.
    discovery.server.wait_until("the watch to go on", |s| s.iter().any(|r| r.start_line.contains("index=2")));
    let slow = slow.open();
    node.wait_until("the connection comes up", || slow.connection_count() > 0);
    other.wait_for_message("m", 1);
    assert!(slow.received().is_empty(), "{:?}", slow.received());
}

/// Of a call with several messages whose connection comes up late, one whose time runs out before hears so when it is due.
#[test]
fn a_message_whose_time_is_up_while_its_call_is_connecting_is_told_at_once() {
    let slow = Slow::new();
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let patient = |c: &mut Value| c["settings"]["Limits"]["DialTimeoutNs"] = json!(60_000_000_000u64);
    let node = SenderProcess::start_with(PROGRAM, &discovery, json!([]), patient);
    for (id, expires) in [("short", 2_000), ("long", 16_000), ("other", 16_000)] {
        assert_eq!(node.submit("order", id, 7, expires, b"x"), 202);
    }
    discovery.set_instances(json!([instance("e-1", slow.address, 7, "many", "Ready")]));
    assert_eq!(discovery.wait_for_notice("short")["outcome"], "handed_back");
    let slow = slow.open();
    let seen = slow.wait_until("the others", |s| s.iter().any(|r| r.start_line.contains(":batch")));
    let list: Vec<Value> = serde_json::from_slice(&seen[0].body).unwrap();
    let mut ids: Vec<&str> = list.iter().filter_map(|m| m["id"].as_str()).collect();
    ids.sort();
    assert_eq!(ids, ["long", "other"], "in one call, the third has left it");
}

#[test]
fn a_wait_met_while_connecting_holds_the_call() {
    let (slow, other) = (Slow::new(), first_then_ok(|| http_reply("429 Wait", "Retry-After: 3\r\n", "")));
    let discovery = Discovery::new(json!([
        ready_instance("e-1", slow.address, 7),
        ready_instance("e-2", other.address, 7)
    ]));
    let patient = |c: &mut Value| c["settings"]["Limits"]["DialTimeoutNs"] = json!(20_000_000_000u64);
    let node = SenderProcess::start_with(PROGRAM, &discovery, json!([]), patient);
    assert_eq!(node.submit("order", "connecting", 7, 16_000, b"x"), 202);
    assert_eq!(node.submit("order", "told", 7, 16_000, b"x"), 202);
    let told = other.wait_for_message("told", 1).remove(0).received_at;
    let slow = slow.open();
    node.wait_until("the connection comes up", || slow.connection_count() > 0);
    let calls = |id: &str| {
        let all = slow.received().into_iter().chain(other.received());
        all.filter(|r| r.message_id() == id).map(|r| r.received_at).collect::<Vec<_>>()
    };
    node.wait_until("both are delivered", || calls("connecting").len() == 1 && calls("told").len() == 2);
    assert!(calls("connecting")[0] - told >= Duration::from_secs(3));
}

#[test]
fn a_silent_discovery_leaves_the_old_list_in_force() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([]));
    discovery.stop_answering();
    let known = json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(8), {"instanceId": "unreadable"}]);
    let mut node = SenderProcess::start_with(PROGRAM, &discovery, known, |_| {});
    assert_eq!(node.submit("alert", "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("m", 1);
    // Another destination's endpoint is none of this one's, however few there are.
    assert_eq!(node.submit("alert", "elsewhere", 8, 500, b"x"), 202);
    assert_eq!(discovery.wait_for_notice("elsewhere")["outcome"], "handed_back");
    assert_eq!(endpoint.received().len(), 1);
    assert!(node.is_running());
}

#[test]
fn malformed_input_is_answered_and_harms_nothing() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let (_discovery, node) = one_endpoint(&endpoint);
    let full = [
        ("X-Trace-Id", "t"),
        ("X-Qos", "alert"),
        ("X-Customer", "acme"),
        ("X-Expires-In-Ms", "9000"),
        ("X-Consignee", "dest=7"),
        ("Idempotency-Key", "k"),
    ];
    let ask = |first: &str, change: (&str, Option<&str>), length: usize| {
        let mut text = format!("{first} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n");
        for (name, value) in full {
            let value = if name == change.0 { change.1 } else { Some(value) };
            if let Some(value) = value {
                text += &format!("{name}: {value}\r\n");
            }
        }
        let mut bytes = (text + "\r\n").into_bytes();
        bytes.resize(bytes.len() + length, b'x');
        let answer = node.send_request(&bytes).unwrap_or_else(|| panic!("no answer to {first} {change:?}"));
        answer.start_line.split(' ').nth(1).unwrap().parse::<u16>().unwrap()
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
        assert_eq!(ask("POST /alert", (name, value), 1), 400, "{name}: {value:?}");
    }
    assert_eq!(ask("POST /nosuch", ("", None), 1), 404);
    assert_eq!(ask("POST /", ("", None), 1), 404);
    assert_eq!(ask("GET /alert", ("", None), 0), 405);
    assert_eq!(ask("POST /healthz", ("", None), 0), 405);
    assert_eq!(ask("POST /alert", ("", None), (64 << 10) + 1), 413);
    assert_eq!(ask("POST /alert", ("X-Consignee", Some("dest=18446744073709551615")), 1), 404);
    assert_eq!(ask("POST /alert", ("X-Trace-Id", Some("largest")), 64 << 10), 202);
    assert_eq!(endpoint.wait_for_message("largest", 1)[0].body.len(), 64 << 10);
    settle(&node, &endpoint);
}

#[test]
fn a_new_configuration_moves_watch_and_notices_and_holds_over_a_restart() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let old = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(8)]));
    let mut node = SenderProcess::start(PROGRAM, &old);
    // The old platform reads a notice and never answers it.
    old.server.prepend_script(|r| r.start_line.starts_with("POST").then_some(Reply::Hang));
    assert_eq!(node.submit("order", "unanswered", 8, 300, b"x"), 202);
    old.wait_for_notice("unanswered");

    // A file that can't be read, or names no address, changes nothing.
    node.reload("{");
    node.wait_until("the bad file is logged", || node.log().contains("the old configuration is kept"));
    assert_eq!(node.submit("order", "as before", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("as before", 1);

    let new = Discovery::new(json!([]));
    new.stop_answering();
    node.config["discovery"] = json!(new.server.address.to_string());
    node.reload(&node.config.to_string());
    let whole = |s: &[HttpMessage]| s.iter().filter(|r| r.start_line == "GET /v1/servers HTTP/1.1").count();
    new.server.wait_until("a whole list asked for at the new address", |s| whole(s) > 0);
    // No list has come from there yet: the old one holds.
    assert_eq!(node.submit("order", "old list", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("old list", 1);
    assert_eq!(new.wait_for_notice("unanswered")["outcome"], "handed_back");
    new.set_instances(json!([
        ready_instance("e-1", endpoint.address, 7),
        ready_instance("e-2", endpoint.address, 9)
    ]));
    new.resume_answering();
    node.wait_until("the new list is told", || node.submit("order", "new list", 9, 16_000, b"x") == 202);
    endpoint.wait_for_message("new list", 1);

    // The environment still names the old address.
    node.kill();
    let (before, asked) = (old.server.connection_count(), whole(&new.server.received()));
    node.restart();
    new.server.wait_until("a whole list after the restart", |s| whole(s) > asked);
    assert_eq!(old.server.connection_count(), before);
}

/// What the sender sends back on a new connection until it closes it; None if that does not come.
fn all_of(node: &SenderProcess, bytes: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut answer = Vec::new();
    let end = stream.read_to_end(&mut answer);
    // A reset is a close too.
    let closed = end.map_or_else(|e| e.kind() == std::io::ErrorKind::ConnectionReset, |_| true);
    closed.then(|| String::from_utf8_lossy(&answer).into_owned())
}

fn message(id: &str, lengths: &str) -> String {
    format!(
        "POST /alert HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {id}\r\nX-Customer: acme\r\nX-Expires-In-Ms: 9000\r\n\
         X-Consignee: dest=7\r\nIdempotency-Key: {id}\r\n{lengths}\r\n"
    )
}

/// No byte behind a request whose length is in doubt may be read as another request.
#[test]
fn a_request_hidden_in_another_is_never_sent_on() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let (_discovery, node) = one_endpoint(&endpoint);
    let hidden = message("hidden", "Content-Length: 1\r\n") + "h";
    let (length, chunks) =
        (format!("Content-Length: {}\r\n", hidden.len() + 5), "Transfer-Encoding: chunked\r\n");
    let twice = "Content-Length: 1\r\nContent-Length: 90\r\n".to_string();
    for lengths in [length.clone() + chunks, chunks.to_string() + &length, chunks.to_string(), twice] {
        let bytes = message("outer", &lengths) + "0\r\n\r\n" + &hidden;
        let answer = all_of(&node, bytes.as_bytes()).expect("closed");
        assert!(
            answer.starts_with("HTTP/1.1 4") && answer.matches("HTTP/1.1").count() == 1,
            "{lengths}: {answer}"
        );
    }
    // Refused before its body is read.
    let bytes = message("outer", "Content-Length: 70000\r\n") + &hidden;
    assert!(all_of(&node, bytes.as_bytes()).expect("closed").starts_with("HTTP/1.1 413"));
    settle(&node, &endpoint);
    assert_eq!(endpoint.received().len(), 1);
}

#[test]
fn what_is_silent_or_never_ends_is_closed() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let (_discovery, node) = one_endpoint(&endpoint);
    let endless = "POST /alert HTTP/1.1\r\n".to_string() + &"X-More: x\r\n".repeat(9_000);
    for bytes in ["", "PO", &message("m", "Content-Length: 9\r\n"), &endless, &"x".repeat(100_000)] {
        assert!(all_of(&node, bytes.as_bytes()).is_some(), "{}", &bytes[..bytes.len().min(40)]);
    }
    settle(&node, &endpoint);
    assert_eq!(endpoint.received().len(), 1);
}

/// Clients that ask once and keep their connections don't keep others out.
#[test]
fn connections_that_ask_once_and_stay_take_no_place_from_others() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    // 23 places for clients; past three quarters of them an answer ends its connection.
    let node =
        SenderProcess::start_with(PROGRAM, &discovery, json!([]), |c| c["limits"]["sockets"] = json!(64));
    let kept: Vec<TcpStream> = (0..17)
        .map(|i| {
            let mut stream = TcpStream::connect(node.address).unwrap();
            stream.write_all((message(&format!("m{i}"), "Content-Length: 1\r\n") + "x").as_bytes()).unwrap();
            endpoint.wait_for_message(&format!("m{i}"), 1);
            stream
        })
        .collect();
    for i in 0..20 {
        let (status, headers) = node.submit_with_headers("alert", &format!("n{i}"), 7, 16_000, b"x");
        assert_eq!((status, headers.get("connection").map(String::as_str)), (202, Some("close")));
    }
    // Silent ones take all places: the one that has stood longest without a request goes.
    let _silent: Vec<TcpStream> = (0..6).map(|_| TcpStream::connect(node.address).unwrap()).collect();
    node.wait_until("there is a place", || node.submit("alert", "settle", 7, 16_000, b"x") == 202);
    let mut last = &kept[16];
    last.write_all((message("again", "Content-Length: 1\r\nConnection: close\r\n") + "x").as_bytes())
        .unwrap();
    endpoint.wait_for_message("again", 1);
    assert_eq!(all_read(last).matches("HTTP/1.1 202").count(), 2);
}

fn all_read(mut stream: &TcpStream) -> String {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

/// The id of an open message with other contents is another message: neither is disturbed.
#[test]
fn an_open_id_from_another_client_is_a_conflict_and_a_deadline_is_held_to_its_class() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let node = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |c| {
        c["settings"]["Services"][1]["DeadlineNs"] = json!(300_000_000u64);
    });
    assert_eq!(node.submit("alert", "m", 7, 16_000, b"mine"), 202);
    assert_eq!(node.submit("alert", "m", 7, 16_000, b"other"), 409);
    assert_eq!(node.submit("order", "m", 7, 16_000, b"mine"), 409);
    assert_eq!(node.submit("alert", "m", 7, 16_000, b"mine"), 202);
    assert_eq!(node.submit("order", "long", 7, 4_000_000_000, b"x"), 202);
    assert_eq!(discovery.wait_for_notice("long")["outcome"], "handed_back");
    discovery.set_instances(json!([ready_instance("e-1", endpoint.address, 7)]));
    assert_eq!(endpoint.wait_for_message("m", 1)[0].body, b"mine");
    settle(&node, &endpoint);
    assert_eq!(endpoint.wait_for_message("m", 1).len(), 1);
}

/// Large bodies are bounded by the memory limit, and never keep the usual messages out.
#[test]
fn bodies_are_held_to_a_budget_of_memory() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let node =
        SenderProcess::start_with(PROGRAM, &discovery, json!([]), |c| c["limits"]["memory_mb"] = json!(5));
    let large = |i: u32| node.submit_with_headers("alert", &format!("large{i}"), 7, 16_000, &[1; 60_000]);
    let refused = (0..40).map(large).find(|(status, _)| *status != 202).expect("a bound");
    assert_eq!(refused.0, 503);
    assert!(refused.1.contains_key("retry-after"));
    assert_eq!(node.submit("alert", "small", 7, 16_000, b"x"), 202);
    discovery.set_instances(json!([ready_instance("e-1", endpoint.address, 7)]));
    endpoint.wait_for_message("small", 1);
    // What ends gives its bytes back.
    node.wait_until("there is room again", || large(99).0 == 202);
}

/// A first line with 200 is true for a call with one message, whatever follows; else it may have run.
#[test]
fn a_spoilt_answer_is_a_failure_unless_its_first_line_says_200() {
    let rows = [
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
    for (text, delivered) in rows {
        let endpoint = first_then_ok(move || Reply::Bytes(text.to_string()));
        let (discovery, node) = one_endpoint(&endpoint);
        assert_eq!(node.submit("order", "m", 7, 16_000, b"x"), 202);
        if delivered {
            endpoint.wait_for_message("m", 1);
        } else {
            assert_eq!(discovery.wait_for_notice("m")["outcome"], "given_up", "{text}");
        }
        // The connection is of no further use.
        node.wait_until("it is closed", || endpoint.is_connection_closed(0));
        settle(&node, &endpoint);
        assert_eq!(endpoint.wait_for_message("m", 1).len(), 1, "{text}");
        assert_eq!(discovery.notices().len(), usize::from(!delivered), "{text}");
    }
}

#[test]
fn what_comes_behind_a_good_answer_is_never_the_answer_to_the_next_call() {
    let good = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for more in [good, "noise", "HTTP/1.1 200 OK\r\n"] {
        let endpoint = FakeServer::new(|_| ok_reply());
        endpoint.prepend_script(move |r| {
            (r.message_id() == "first").then(|| Reply::Bytes(good.to_string() + more))
        });
        let (discovery, node) = one_endpoint(&endpoint);
        let calls = AtomicUsize::new(0);
        endpoint.prepend_script(move |r| {
            let busy = r.message_id() == "second" && calls.fetch_add(1, Ordering::SeqCst) == 0;
            busy.then(|| http_reply("503 Full", "", ""))
        });
        assert_eq!(node.submit("order", "first", 7, 16_000, b"x"), 202);
        endpoint.wait_for_message("first", 1);
        assert_eq!(node.submit("order", "second", 7, 16_000, b"x"), 202);
        let calls = endpoint.wait_for_message("second", 2);
        assert_ne!(calls[0].connection, 0, "{more}");
        assert!(discovery.notices().is_empty(), "{more}");
    }
}

#[test]
fn of_a_batch_only_a_whole_answer_counts() {
    let endpoint = first_then_ok(|| http_reply("429 Wait", "Retry-After: 1.5\r\n", ""));
    endpoint.prepend_script(|request| {
        let cut = |ends: String| {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", ends.len() + 1);
            Reply::Bytes(head + &ends)
        };
        all_done(request).map(cut)
    });
    let discovery = Discovery::new(json!([instance("e-1", endpoint.address, 7, "many", "Ready")]));
    let node = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(node.submit("order", "0", 7, 16_000, b"0"), 202);
    endpoint.wait_for_message("0", 1);
    for id in ["1", "2"] {
        assert_eq!(node.submit("order", id, 7, 16_000, b"x"), 202);
    }
    endpoint.wait_until("a batch", |seen| seen.iter().any(|r| r.start_line.contains(":batch")));
    for id in ["1", "2"] {
        assert_eq!(discovery.wait_for_notice(id)["outcome"], "given_up");
    }
}

#[test]
fn reports_that_make_no_sense_are_ignored_and_a_long_wait_binds() {
    let reports = ["x0=NaN, x1=inf", "x0=-1, x1=-5", "x0=0.5", "x1=", "x0=0.5, x1=1e999", "\u{7f}"];
    let calls = AtomicUsize::new(0);
    let endpoint = FakeServer::new(move |r| {
        let report = reports[calls.fetch_add(1, Ordering::SeqCst) % reports.len()];
        match r.message_id() {
            "long" => http_reply("429 Wait", "Retry-After: 90000000000\r\n", ""),
            _ => http_reply(
                "200 OK",
                &format!("Retry-After: NaN\r\nEndpoint-Load-Metrics: TEXT {report}\r\n"),
                "",
            ),
        }
    });
    let (discovery, mut node) = one_endpoint(&endpoint);
    for i in 0..2 * reports.len() {
        let id = format!("m{i}");
        assert_eq!(node.submit("alert", &id, 7, 16_000, b"x"), 202);
        endpoint.wait_for_message(&id, 1);
    }
    assert_eq!(node.submit("alert", "long", 7, 1_000, b"x"), 202);
    endpoint.wait_for_message("long", 1);
    assert_eq!(node.submit("alert", "after", 7, 1_000, b"x"), 202);
    for id in ["long", "after"] {
        assert_eq!(discovery.wait_for_notice(id)["outcome"], "handed_back");
    }
    assert!(!endpoint.received().iter().any(|r| r.message_id() == "after"));
    assert!(node.is_running());
}

/// An endpoint that closes kept connections without a word is not down: the message goes again over a new one.
#[test]
fn resets_of_kept_connections_are_no_outage() {
    let used = std::sync::Mutex::new(std::collections::HashSet::new());
    let endpoint =
        FakeServer::new(
            move |r| if used.lock().unwrap().insert(r.connection) { ok_reply() } else { Reply::Close },
        );
    let (discovery, node) = one_endpoint(&endpoint);
    for i in 0..8 {
        let id = format!("m{i}");
        assert_eq!(node.submit("alert", &id, 7, 16_000, b"x"), 202);
        // The first request on a connection is the one that is answered.
        let fresh = |seen: &[HttpMessage], r: &HttpMessage| {
            !seen.iter().any(|o| o.connection == r.connection && o.received_at < r.received_at)
        };
        endpoint.wait_until(&id, |seen| seen.iter().any(|r| r.message_id() == id && fresh(seen, r)));
        let mut connections: Vec<_> =
            endpoint.wait_for_message(&id, 1).iter().map(|r| r.connection).collect();
        let calls = connections.len();
        connections.dedup();
        assert_eq!(connections.len(), calls);
    }
    assert!(discovery.notices().is_empty());
}

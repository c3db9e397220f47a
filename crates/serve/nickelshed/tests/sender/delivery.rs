//! Delivery of single messages: attempts, retries and their ends.
use crate::common::*;
use nickelshed_testkit::*;
use serde_json::json;
use std::net::TcpListener;
use std::time::Duration;

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

//! Which submissions are accepted, refused or shed.
use crate::common::*;
use nickelshed_testkit::*;
use serde_json::json;

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

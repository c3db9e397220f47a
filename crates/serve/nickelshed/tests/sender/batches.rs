//! Calls that carry several messages.
use crate::common::*;
use base64::Engine;
use nickelshed_testkit::*;
use serde_json::json;
use serde_json::Value;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

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

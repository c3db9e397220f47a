//! Answers of endpoints that are corrupted, incomplete or absurd.
use crate::common::*;
use nickelshed_testkit::*;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

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

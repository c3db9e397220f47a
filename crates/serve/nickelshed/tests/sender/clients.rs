//! Clients that are malformed, slow, idle or too many.
use crate::common::*;
use nickelshed_testkit::*;
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;

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

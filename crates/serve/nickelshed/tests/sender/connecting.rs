//! What happens while a connection to an endpoint is being established.
use crate::common::*;
use nickelshed_testkit::*;
use serde_json::json;
use serde_json::Value;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

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

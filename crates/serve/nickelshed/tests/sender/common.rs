//! What the tests of several files share.
use nickelshed_testkit::*;
use serde_json::json;
use serde_json::Value;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");

/// Longer than a connection must be silent before it is reused.
pub const REST_BEFORE_REUSE: Duration = Duration::from_millis(400);

/// A server that replies with `first_reply` to the first call and with 200 to all others.
pub fn first_then_ok(first_reply: impl Fn() -> Reply + Send + Sync + 'static) -> FakeServer {
    let calls = AtomicUsize::new(0);
    FakeServer::new(
        move |_| if calls.fetch_add(1, Ordering::SeqCst) == 0 { first_reply() } else { ok_reply() },
    )
}

pub fn start_with_one_endpoint(endpoint: &FakeServer) -> (Discovery, SenderProcess) {
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let sender = SenderProcess::start(PROGRAM, &discovery);
    (discovery, sender)
}

pub fn start_with_dial_timeout(discovery: &Discovery, dial_timeout: Duration) -> SenderProcess {
    SenderProcess::start_with(PROGRAM, discovery, json!([]), |config| {
        config["settings"]["Limits"]["DialTimeoutNs"] = json!(dial_timeout.as_nanos() as u64);
    })
}

/// Delivers one more message. Calls that the sender would still have made for earlier messages have been made
/// by then.
pub fn wait_until_settled(sender: &SenderProcess, endpoint: &FakeServer) {
    assert_eq!(sender.submit("alert", "settle", 7, 16_000, b"."), 202);
    endpoint.wait_for_message("settle", 1);
}

/// Checks that a message is finished by its first call: a restarted process neither sends it again nor posts
/// a notice.
pub fn assert_finished_by_one_call(endpoint: &FakeServer, class: &str) {
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

/// Body of the response to a batch that reports every message as done; `None` if the request is not a batch.
pub fn all_done_body(request: &HttpMessage) -> Option<String> {
    let is_batch = request.start_line.contains(":batch");
    let messages: Vec<Value> =
        if is_batch { serde_json::from_slice(&request.body).unwrap() } else { Vec::new() };
    let results: Vec<Value> = messages.iter().map(|m| json!({"id": m["id"], "state": "done"})).collect();
    is_batch.then(|| json!(results).to_string())
}

/// Sends bytes on a new connection and returns everything that the sender writes until it closes the
/// connection. Returns `None` if it does not close it in time.
pub fn read_until_closed(sender: &SenderProcess, bytes: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect(sender.address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut response = Vec::new();
    let result = stream.read_to_end(&mut response);
    // A reset counts as closed, too.
    let closed = result.map_or_else(|e| e.kind() == std::io::ErrorKind::ConnectionReset, |_| true);
    closed.then(|| String::from_utf8_lossy(&response).into_owned())
}

pub fn message_request(id: &str, length_headers: &str) -> String {
    format!(
        "POST /alert HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {id}\r\nX-Customer: acme\r\nX-Expires-In-Ms: 9000\r\n\
         X-Consignee: dest=7\r\nIdempotency-Key: {id}\r\n{length_headers}\r\n"
    )
}

pub fn read_to_end(mut stream: &TcpStream) -> String {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

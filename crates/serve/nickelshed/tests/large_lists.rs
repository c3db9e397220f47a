//! Tests of long lists from discovery: they are read to their end, whatever their form and the time they take.
use nickelshed_testkit::*;
use serde_json::{json, Value};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");
const ENDPOINTS: usize = 10_000;

fn idle_entries() -> Vec<Value> {
    idle_entries_of(ENDPOINTS)
}

fn idle_entries_of(count: usize) -> Vec<Value> {
    let entry = |number: usize| {
        let address = format!("127.9.{}.{}:5000", number / 250, 1 + number % 250).parse().unwrap();
        ready_instance(&format!("endpoint-{number}"), address, 100 + number as u64)
    };
    (0..count).map(entry).collect()
}

fn indented(text: &str, spaces: usize) -> String {
    text.replace("{\"", &format!("\n{}{{\n\"", " ".repeat(spaces)))
        .replace(",\"", &format!(",\n{}\"", " ".repeat(spaces)))
}

/// Guards against a list that is never read after discovery has moved, so that messages go to the address of
/// an endpoint that now belongs to another destination.
#[test]
fn list_of_any_length_and_form_from_a_new_discovery_takes_effect() {
    for (spaces, memory_mb) in [(0, 192), (8, 192), (400, 48)] {
        let (old, new) = (FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply()));
        let first = Discovery::new(json!([ready_instance("e-old", old.address, 7)]));
        let sender = SenderProcess::start_with(PROGRAM, &first, json!([]), |config| {
            config["limits"]["memory_mb"] = json!(memory_mb);
        });
        assert_eq!(sender.submit("order", "before", 7, 16_000, b"x"), 202);
        old.wait_for_message("before", 1);

        let mut entries = idle_entries();
        entries.push(ready_instance("e-new", new.address, 7));
        entries.push(ready_instance("e-other", old.address, 9));
        let second = Discovery::new(json!([]));
        let body = json!({"generation": 8, "reset": true, "instances": entries}).to_string();
        let body = indented(&body, spaces);
        assert!(body.len() > 1 << 20, "{} bytes", body.len());
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        second.server.prepend_script(move |request| {
            request.start_line.starts_with("GET /v1/servers ").then(|| Reply::Bytes(answer.clone()))
        });
        let mut config = sender.config.clone();
        config["discovery"] = json!(second.server.address.to_string());
        sender.reload(&config.to_string());
        second.server.wait_until("a watch after the list", |requests| {
            requests.iter().any(|request| request.start_line.contains("index=8"))
        });
        assert_eq!(sender.submit("order", "after", 7, 16_000, b"x"), 202);
        assert_eq!(new.wait_for_message("after", 1).len(), 1, "indented by {spaces}");
        assert!(old.received().iter().all(|request| request.message_id() != "after"));
    }
}

/// Guards against giving up a list that is still arriving, which would be requested again without end.
#[test]
fn list_that_arrives_slowly_takes_effect() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([]));
    let mut entries = idle_entries();
    entries.push(ready_instance("e-1", endpoint.address, 7));
    let body = json!({"generation": 8, "reset": true, "instances": entries}).to_string();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let server = discovery.server.clone();
    discovery.server.prepend_script(move |request| {
        let is_full = request.start_line.starts_with("GET /v1/servers ");
        is_full.then(|| {
            let (server, connection, body) = (server.clone(), request.connection, body.clone());
            std::thread::spawn(move || {
                for piece in body.as_bytes().chunks(body.len() / 12) {
                    std::thread::sleep(Duration::from_millis(300));
                    server.write_to(connection, std::str::from_utf8(piece).unwrap());
                }
            });
            Reply::Bytes(head.clone())
        })
    });
    let sender = SenderProcess::start(PROGRAM, &discovery);
    discovery.server.wait_until("a watch after the list", |requests| {
        requests.iter().any(|request| request.start_line.contains("index=8"))
    });
    assert_eq!(sender.submit("order", "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("m", 1);
}

/// Guards against large lists that arrive beside one another and take the memory of one list several times.
#[test]
fn lists_that_arrive_beside_one_another_share_the_memory_of_one() {
    const MEMORY_MB: u64 = 48;
    let discovery = Discovery::new(json!([]));
    let sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
        config["limits"]["memory_mb"] = json!(MEMORY_MB);
    });
    let memory_before = sender.anonymous_memory();
    let body = json!({"generation": 8, "reset": true, "instances": idle_entries_of(15_000)}).to_string();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let second = Discovery::new(json!([]));
    let (server, begun) = (second.server.clone(), body[..body.len() * 2 / 3].to_string());
    second.server.prepend_script(move |request| {
        let (server, connection, begun) = (server.clone(), request.connection, begun.clone());
        // The connection's socket takes the rest only as far as the sender reads it.
        std::thread::spawn(move || server.write_to(connection, &begun));
        request.start_line.starts_with("GET /v1/servers ").then(|| Reply::Bytes(head.clone()))
    });
    let mut config = sender.config.clone();
    config["discovery"] = json!(second.server.address.to_string());
    sender.reload(&config.to_string());
    second.server.wait_until("several requests for the list", |requests| requests.len() >= 5);
    std::thread::sleep(Duration::from_millis(500));
    let growth = sender.anonymous_memory().saturating_sub(memory_before);
    // The memory of one list, and of five small parts of it; two thirds of a list take some 2.3 MB.
    assert!(growth < MEMORY_MB * 1_000_000 / 8 * 13 / 8, "{growth} bytes");
}

//! One client that sends as fast as it can must not keep others waiting or make memory grow.
use nickelshed_testkit::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");
const FLOOD_TIME: Duration = Duration::from_secs(4);
/// Clients wait this long for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(400);
const MEMORY_MB: u64 = 32;
/// Requests that are written at once.
const REQUESTS_AT_ONCE: usize = 64;

/// The bytes of one request; `number` is different for each.
type FloodRequest = fn(number: usize) -> Vec<u8>;

const HEALTH: FloodRequest = |_| b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n".to_vec();
const VALID: FloodRequest = |number| submission_request("alert", &format!("flood-{number}"), 7, 16_000, b"x");
const NEW_DESTINATIONS: FloodRequest =
    |number| submission_request("alert", &format!("new-{number}"), 1_000 + number as u64, 16_000, b"x");
const NEW_CLASSES: FloodRequest = |number| {
    format!("POST /class-{number} HTTP/1.1\r\nHost: a\r\nX-New-{number}: 1\r\nContent-Length: 0\r\n\r\n")
        .into()
};
const UNSOUND: FloodRequest = |number| format!("\x01{number}\r\n\r\n").into();
const SHORT_FIELDS: FloodRequest = |number| {
    let fields: String = (0..4_000).map(|field| format!("a{field}:\r\n")).collect();
    format!("POST /alert HTTP/1.1\r\nX-Trace-Id: {number}\r\n{fields}\r\n").into()
};

/// Sends requests until `is_over`, on one connection for as long as it stays open.
fn flood(sender: &SenderProcess, request: FloodRequest, is_over: &AtomicBool) {
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(sender.address) else { continue };
        let mut reader = stream.try_clone().unwrap();
        let answers = std::thread::spawn(move || {
            let mut buffer = [0; 65_536];
            while reader.read(&mut buffer).is_ok_and(|count| count > 0) {}
        });
        while !is_over.load(Ordering::SeqCst) {
            let bytes: Vec<u8> = (number..number + REQUESTS_AT_ONCE).flat_map(request).collect();
            number += REQUESTS_AT_ONCE;
            if stream.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        answers.join().unwrap();
    }
}

fn assert_others_are_served(name: &str, request: FloodRequest) {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([
        ready_instance("e-1", endpoint.address, 7),
        ready_instance("e-2", endpoint.address, 8)
    ]));
    let sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
        config["limits"]["memory_mb"] = json!(MEMORY_MB);
    });
    let is_over = AtomicBool::new(false);
    let (mut slowest, mut peak, mut unanswered, mut tried) = (Duration::ZERO, 0, 0, 0);
    std::thread::scope(|scope| {
        scope.spawn(|| flood(&sender, request, &is_over));
        let begin = Instant::now();
        while begin.elapsed() < FLOOD_TIME {
            tried += 1;
            let submitted_at = Instant::now();
            let answer = sender.try_submit("alert", &format!("usual-{tried}"), 8, 16_000, b"x");
            unanswered += usize::from(answer.is_none());
            slowest = slowest.max(submitted_at.elapsed());
            peak = peak.max(sender.anonymous_memory() + sender.disk_usage());
            std::thread::sleep(Duration::from_millis(20));
        }
        is_over.store(true, Ordering::SeqCst);
    });
    println!("{name}: {tried} submitted, {unanswered} unanswered, slowest {slowest:?}, at most {peak} bytes");
    assert_eq!(unanswered, 0, "{name}");
    assert!(slowest < ANSWER_TIME, "{name}: an answer came after {slowest:?}");
    assert!(peak < MEMORY_MB * 1_000_000, "{name}: {peak} bytes");
}

/// Guards against other clients that get their answers late, and against tables that grow with each new name.
#[test]
fn a_client_that_floods_one_connection_keeps_no_other_client_waiting() {
    assert_others_are_served("health checks", HEALTH);
    assert_others_are_served("valid requests", VALID);
    assert_others_are_served("ever new destinations", NEW_DESTINATIONS);
    assert_others_are_served("ever new classes", NEW_CLASSES);
    assert_others_are_served("unsound requests", UNSOUND);
    assert_others_are_served("heads of very many short fields", SHORT_FIELDS);
}

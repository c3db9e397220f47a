//! The sender is held up for 0.14 s. In that time a slow destination answers its calls with 200, and the time that the
//! sender gives these calls ends. Messages that are delivered must not be sent again.
use review_standins::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Instant;

const MESSAGES: usize = 8;
/// The sender gives a first call twice its class's target, 3 s; the settings say so in no other way.
const CALL_TIME_MS: u64 = 6_000;
const STOP_AT_MS: u64 = CALL_TIME_MS - 75;
const ANSWER_AT_MS: u64 = CALL_TIME_MS - 45;
const STOP_FOR_MS: u64 = 140;
/// A call this long after its message was answered with 200 is sent again: the longest hold-up of 150 ms, and 100 ms.
const AGAIN_MS: u128 = 250;

#[derive(Default)]
struct Seen {
    /// By message: when its calls' last bytes came.
    calls: BTreeMap<String, Vec<Instant>>,
    /// By message: when its first 200 had been written.
    delivered: BTreeMap<String, Instant>,
    is_answering: bool,
}

fn main() {
    let record = Record::from_args();
    let seen: Arc<(Mutex<Seen>, Condvar)> = Arc::default();
    let (shared, noted) = (seen.clone(), record.clone());
    let server = endpoint_with_end(move |call, write| {
        let id = call.header("x-trace-id").unwrap_or("?").to_string();
        let mut state = shared.0.lock().unwrap();
        let calls = state.calls.entry(id.clone()).or_default();
        calls.push(Instant::now());
        noted.line(format!("endpoint ran {id}, call {}", calls.len()));
        while !state.is_answering {
            state = shared.1.wait(state).unwrap();
        }
        if write(&answer(200, "", b"")) {
            noted.line(format!("endpoint answered {id} 200"));
            state.delivered.entry(id).or_insert_with(Instant::now);
        }
    });
    let mut entry = Entry::ready("s-5be2a07c", server, 7);
    entry.weight = 1.0;
    let discovery = Discovery::start(&record, vec![entry], 0);
    let settings = Settings { report: false, ..Default::default() };
    let config = settings
        .config("{\"generation\":0,\"reset\":true,\"instances\":[]}")
        .replace("\"Weights\":\"rough\"", "\"Weights\":\"silent\"");
    let mut sender = Sender::new(discovery.address, &config);
    if !sender.start() {
        cannot_run(&format!("the sender does not get ready: {}", sender.log()));
    }
    sleep(500);
    let ids: Vec<String> = (0..MESSAGES).map(|n| format!("m{n}")).collect();
    for id in &ids {
        let status = hand_in(sender.address, &submission("alert-prognozy", id, &format!("key-{id}"), 7, 16_000, "rolnictwo", b"frost"));
        record.line(format!("client handed in {id}, answered {status:?}"));
        if status != Some(202) {
            cannot_run("a message is not taken on");
        }
    }
    sleep(200);
    let first = seen.0.lock().unwrap().calls.values().map(|calls| calls[0]).min().unwrap_or_else(|| cannot_run("no call came"));
    let sleep_until = |millis: u64| std::thread::sleep((first + ms(millis)).saturating_duration_since(Instant::now()));
    sleep_until(STOP_AT_MS);
    if trouble() {
        sender.signal("STOP");
        record.line("the sender is held up");
    }
    sleep_until(ANSWER_AT_MS);
    seen.0.lock().unwrap().is_answering = true;
    seen.1.notify_all();
    sleep_until(STOP_AT_MS + STOP_FOR_MS);
    if trouble() {
        sender.signal("CONT");
        record.line("the sender goes on");
    }
    sleep(12_000);
    let state = seen.0.lock().unwrap();
    let delivered = ids.iter().filter(|id| state.delivered.contains_key(*id)).count();
    let mut again = Vec::new();
    for id in &ids {
        let Some(at) = state.delivered.get(id) else { continue };
        let later: Vec<u128> =
            state.calls[id].iter().filter_map(|call| Some(call.checked_duration_since(*at)?.as_millis())).collect();
        let is_again = later.iter().any(|late| *late > AGAIN_MS);
        if !later.is_empty() {
            record.line(format!("{id} was called {later:?} ms after its 200; notice {:?}", discovery.notice(id).map(|n| n.1)));
        }
        if is_again {
            again.push(id.clone());
        }
    }
    let text = format!("{delivered} messages were answered with 200; {} of them were sent again more than {AGAIN_MS} ms later", again.len());
    sender.log().lines().take(20).for_each(|l| record.line(format!("sender's log: {l}")));
    drop(sender);
    std::process::exit(record.verdict(!again.is_empty(), &text));
}

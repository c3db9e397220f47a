//! A shared discovery refuses one call, and is well otherwise. Meanwhile destination 7 has got a new endpoint, and the
//! address of its old one belongs to an endpoint of destination 9.
use review_standins::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// "At the latest 6 s after discovery had it and could be reached", then 1 s of grace and 50 ms of slack.
const TOLD_MS: u64 = 6_000 + 1_000 + 50;
const SENDERS: u64 = 300;
const MESSAGES: u32 = 60;

/// By message: the servers that were called for it, and when, in milliseconds of the record.
type Calls = Arc<Mutex<BTreeMap<String, Vec<(char, u64)>>>>;

fn server(name: char, record: &Record, calls: &Calls) -> std::net::SocketAddr {
    let (record, calls) = (record.clone(), calls.clone());
    endpoint(move |call| {
        let id = call.header("x-trace-id").unwrap_or("?").to_string();
        record.line(format!("server {name} ran {id} and answered 200"));
        calls.lock().unwrap().entry(id).or_default().push((name, record.elapsed_ms()));
        Reaction::Answer(answer(200, "Endpoint-Load-Metrics: TEXT x0=0.9, x1=600\r\n", b""))
    })
}

fn main() {
    let record = Record::from_args();
    let calls: Calls = Arc::default();
    let (a, b, c) = (server('A', &record, &calls), server('B', &record, &calls), server('C', &record, &calls));
    record.line(format!("server A {a}, server B {b}, server C {c}"));
    let mut entries = vec![Entry::ready("s-5be2a07c", a, 7), Entry::ready("s-5be2a07d", c, 9)];
    entries.iter_mut().for_each(|e| e.weight = 600.0);
    let discovery = Discovery::start(&record, entries.clone(), 0);
    let settings = Settings { senders: SENDERS, ..Default::default() };
    let config = settings
        .config("{\"generation\":0,\"reset\":true,\"instances\":[]}")
        .replace("\"Discovery\":\"automatic\"", "\"Discovery\":\"subscribe\"");
    let mut sender = Sender::new(discovery.address, &config);
    if !sender.start() {
        cannot_run(&format!("the sender does not get ready: {}", sender.log()));
    }
    let hand = |sender: &Sender, id: &str, dest: u64| {
        let status = hand_in(sender.address, &submission("alert-prognozy", id, &format!("key-{id}"), dest, 8_000, "rolnictwo", b"frost"));
        record.line(format!("client handed in {id} for destination {dest}, answered {status:?}"));
        status
    };
    let served = |id: &str, by: char| calls.lock().unwrap().get(id).is_some_and(|c| c.iter().any(|(s, _)| *s == by));
    sleep(500);
    if hand(&sender, "before", 7) != Some(202) {
        cannot_run("the first message is not taken on");
    }
    sleep(1500);
    if !served("before", 'A') {
        cannot_run("the first message is not delivered");
    }
    if trouble() {
        discovery.refuse_watches();
        sleep(100);
    }
    let mut old = entries[0].clone();
    old.lifecycle = "Gone";
    let mut new = [Entry::ready("s-5be2a07e", b, 7), Entry::ready("s-5be2a07f", a, 9)];
    new.iter_mut().for_each(|e| e.weight = 600.0);
    discovery.change(vec![old, new[0].clone(), new[1].clone()]);
    record.line("discovery has the change: destination 7 is at B, and A belongs to destination 9");
    let told_from = record.elapsed_ms() + TOLD_MS;
    sleep(TOLD_MS + 450);
    let mut taken = Vec::new();
    for n in 0..MESSAGES {
        let id = format!("after-{n}");
        if hand(&sender, &id, 7) == Some(202) {
            taken.push(id);
        }
        sleep(300);
    }
    sleep(8_500);
    let calls = calls.lock().unwrap();
    let foreign = taken
        .iter()
        .filter(|id| calls.get(*id).is_some_and(|c| c.iter().any(|(s, at)| *s != 'B' && *at > told_from)))
        .count();
    if taken.is_empty() {
        cannot_run("no message was taken on");
    }
    sender.log().lines().filter(|l| l.contains("discovery")).for_each(|l| record.line(format!("sender's log: {l}")));
    let text = format!(
        "{} messages for destination 7 taken on after its new endpoint counted as told; {foreign} of them ran at \
         destination 9's server",
        taken.len()
    );
    drop(sender);
    std::process::exit(record.verdict(foreign > 0, &text));
}

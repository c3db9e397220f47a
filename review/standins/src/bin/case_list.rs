//! A new configuration moves discovery; the first list from the new address describes 3,200 endpoints and comes
//! indented. Afterwards messages for destination 7 must go to its new endpoint, not to the address that now belongs
//! to an endpoint of destination 9.
use review_standins::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

const ENDPOINTS: u32 = 3_200;
const INDENT: usize = 4;
/// "What discovery has to tell counts as told 4 s after SIGHUP", then 1 s of grace and 50 ms of slack.
const TOLD_MS: u64 = 4_000 + 1_000 + 50;
const MESSAGES: u32 = 20;

/// By message: the servers that were called for it, and when, in milliseconds of the record.
type Calls = Arc<Mutex<BTreeMap<String, Vec<(char, u64)>>>>;

fn server(name: char, record: &Record, calls: &Calls) -> std::net::SocketAddr {
    let (record, calls) = (record.clone(), calls.clone());
    endpoint(move |call| {
        let id = call.header("x-trace-id").unwrap_or("?").to_string();
        record.line(format!("server {name} ran {id} and answered 200"));
        calls.lock().unwrap().entry(id).or_default().push((name, record.elapsed_ms()));
        Reaction::Answer(answer(200, "Endpoint-Load-Metrics: TEXT x0=0.9, x1=60\r\n", b""))
    })
}

fn main() {
    let record = Record::from_args();
    let indent = if std::env::var("COMPACT").is_ok() { 0 } else { INDENT };
    let calls: Calls = Arc::default();
    let (a, b, c) = (server('A', &record, &calls), server('B', &record, &calls), server('C', &record, &calls));
    record.line(format!("server A {a}, server B {b}, server C {c}"));
    // Two endpoints for each destination. Nobody listens at the addresses of the others, and no message goes there.
    let mut entries: Vec<Entry> = (0..ENDPOINTS)
        .map(|n| {
            let word: String = (0..7).map(|k| (b'a' + ((n >> (2 * k)) as u8 * 7 + k as u8 * 5) % 26) as char).collect();
            let address = format!("127.{}.{}.{}:5000", 10 + n % 80, 100 + n / 80, 100 + n % 100).parse().unwrap();
            let mut entry = Entry::ready(&format!("endpoint-{word}{n:04}"), address, 100 + u64::from(n / 2));
            entry.kind = if n % 3 == 0 { "duzi-odbiorcy" } else { "mali-odbiorcy" }.into();
            entry.weight = 1.8 + f64::from(n % 97) / 7.0;
            entry.started_at_ms = 1_796_000_000_000 + u64::from(n) * 1_000;
            entry
        })
        .collect();
    entries[0] = Entry::ready("endpoint-dest7old", a, 7);
    entries[1] = Entry::ready("endpoint-dest9old", c, 9);
    let known = list_json(1, true, &entries, 0);
    let first = Discovery::start(&record, entries.clone(), indent);
    let settings = Settings { memory_mb: 192, sockets: 1024, ..Default::default() };
    let mut sender = Sender::new(first.address, &settings.config(&known));
    if !sender.start() {
        cannot_run(&format!("the sender does not get ready: {}", sender.log()));
    }
    let hand = |sender: &Sender, id: &str, dest: u64| {
        let status = hand_in(sender.address, &submission("alert-prognozy", id, &format!("key-{id}"), dest, 8_000, "rolnictwo", b"frost"));
        record.line(format!("client handed in {id} for destination {dest}, answered {status:?}"));
        status
    };
    let served = |id: &str, by: char| calls.lock().unwrap().get(id).is_some_and(|c| c.iter().any(|(s, _)| *s == by));
    if hand(&sender, "before", 7) != Some(202) {
        cannot_run("the first message is not taken on");
    }
    // SIGHUP never comes in the first second of a sender.
    sleep(2_000);
    if !served("before", 'A') {
        cannot_run("the first message is not delivered");
    }
    // Destination 7 gets a new endpoint at B, its old one is gone, and A is now the address of destination 9.
    let mut old = entries[0].clone();
    old.lifecycle = "Gone";
    let changed = vec![old, Entry::ready("endpoint-dest7new", b, 7), Entry::ready("endpoint-dest9new", a, 9)];
    let second = if trouble() {
        let second = Discovery::start(&record, entries.clone(), indent);
        second.change(changed);
        sender.discovery = second.address;
        sender.write_config();
        sender.signal("HUP");
        first.retire();
        record.line(format!("new configuration: discovery {}, SIGHUP; A now belongs to destination 9", second.address));
        second
    } else {
        first.change(changed);
        record.line("discovery tells the same change to the open watch; A now belongs to destination 9");
        first.clone()
    };
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
    let foreign: Vec<&String> = taken
        .iter()
        .filter(|id| calls.get(*id).is_some_and(|c| c.iter().any(|(s, at)| *s != 'B' && *at > told_from)))
        .collect();
    let at_home = taken.iter().filter(|id| calls.get(*id).is_some_and(|c| c.iter().any(|(s, _)| *s == 'B'))).count();
    let lost = taken
        .iter()
        .filter(|id| !calls.get(*id).is_some_and(|c| c.iter().any(|(s, _)| *s == 'B')) && second.notice(id).is_none())
        .count();
    record.line(format!("requests for lists at the discovery in force: {}", second.requests()));
    let log: Vec<String> = sender.log().lines().filter(|l| l.contains("discovery")).take(5).map(String::from).collect();
    log.iter().for_each(|line| record.line(format!("sender's log: {line}")));
    if taken.is_empty() {
        cannot_run("no message was taken on");
    }
    let text = format!(
        "{} messages for destination 7 taken on after its new endpoint counted as told; {} of them ran at destination 9's \
         server, {at_home} at destination 7's; {lost} never reached destination 7 and got no notice",
        taken.len(),
        foreign.len()
    );
    let broken = !foreign.is_empty() || lost > 0;
    drop(sender);
    std::process::exit(record.verdict(broken, &text));
}

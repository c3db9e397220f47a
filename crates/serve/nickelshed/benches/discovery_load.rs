//! Measures what a fleet of senders costs the discovery service that they share: requests, connections and bytes
//! of answers while it is fast, slow, silent or rejects. Run with
//! `cargo bench -p nickelshed --bench discovery_load [SENDERS]`. If NICKELSHED_OTHER is the path of another build
//! of the sender, both are measured one after the other.
use nickelshed_testkit::{http_reply, ready_instance, Discovery, Reply, SenderProcess, SlowPart};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");
const SENDER_COUNT: usize = 300;
const ENDPOINT_COUNT: usize = 200;
/// Time for the senders to notice a condition, before anything is counted.
const SETTLE_TIME: Duration = Duration::from_secs(12);
/// The list changes at the end of each of the periods that are counted, but the last.
const PERIOD: Duration = Duration::from_secs(8);
const PERIOD_COUNT: u32 = 3;

/// How discovery treats its requests.
#[derive(Clone, Copy, Debug)]
enum Condition {
    Answers { late: Duration },
    Rejects { late: Duration },
    Silent,
}

fn entries(first_port: u16) -> Value {
    let address = |number: usize| SocketAddr::from(([127, 0, 9, 1], first_port + number as u16));
    (0..ENDPOINT_COUNT).map(|n| ready_instance(&format!("e-{n}"), address(n), n as u64)).collect()
}

fn start_discovery(condition: Condition) -> Discovery {
    let discovery = Discovery::new(entries(10_000));
    match condition {
        Condition::Answers { late } => discovery.slow_down(SlowPart::Answer, late),
        Condition::Silent => discovery.stop_answering(),
        Condition::Rejects { late } => {
            let server = discovery.server.clone();
            discovery.server.prepend_script(move |request| {
                let Reply::Bytes(rejection) = http_reply("503 Crowded", "", "") else { return None };
                let (server, connection) = (server.clone(), request.connection);
                std::thread::spawn(move || {
                    std::thread::sleep(late);
                    server.write_to(connection, &rejection);
                });
                Some(Reply::Hang)
            });
        }
    }
    discovery
}

fn start_senders(program: &str, discovery: &Discovery, count: usize) -> Vec<SenderProcess> {
    let start = |number: usize| {
        SenderProcess::start_with(program, discovery, entries(10_000), |config| {
            config["seed"] = json!(format!("{:x}", 7_919 * (number + 1)));
            config["settings"]["Discovery"] = json!("subscribe");
            config["settings"]["NInstances"] = json!(count);
        })
    };
    (0..count).map(start).collect()
}

fn measure(program: &str, condition: Condition, count: usize) {
    let discovery = start_discovery(condition);
    let senders = start_senders(program, &discovery, count);
    std::thread::sleep(SETTLE_TIME);
    let server = &discovery.server;
    let totals = || (server.received().len(), server.connection_count(), server.bytes_written());
    let before = totals();
    for period in 1..=PERIOD_COUNT {
        std::thread::sleep(PERIOD);
        if period < PERIOD_COUNT {
            discovery.set_instances(entries(10_000 + period as u16));
        }
    }
    let after = totals();
    let seconds = (PERIOD * PERIOD_COUNT).as_secs_f64();
    println!(
        "{condition:?}: {:.1} requests a second, {:.1} connections a second, {:.0} bytes a second",
        (after.0 - before.0) as f64 / seconds,
        (after.1 - before.1) as f64 / seconds,
        (after.2 - before.2) as f64 / seconds,
    );
    drop(senders);
}

fn main() {
    let count = std::env::args().find_map(|argument| argument.parse().ok()).unwrap_or(SENDER_COUNT);
    let other = std::env::var("NICKELSHED_OTHER").ok();
    let answers = [0, 300, 2_500, 3_500].map(Duration::from_millis);
    let rejections = [0, 2_000].map(Duration::from_millis);
    let conditions = answers.map(|late| Condition::Answers { late }).into_iter();
    let conditions = conditions.chain(rejections.map(|late| Condition::Rejects { late }));
    for condition in conditions.chain([Condition::Silent]) {
        for (name, program) in [("this build", Some(PROGRAM)), ("the other build", other.as_deref())] {
            let Some(program) = program else { continue };
            print!("{count} senders, {name}, ");
            measure(program, condition, count);
        }
    }
}

//! Discovery is slow: from some time on each of its answers comes three and a half seconds late. An endpoint is replaced,
//! and its address goes to an endpoint of another destination.
use crate::http;
use crate::platform::{Clients, Discovery, Entry, Sender, Submission};
use crate::record::Record;
use crate::{Run, Verdict};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const DELAY: Duration = Duration::from_millis(3_500);
/// With `PUSHED=1` in the environment lists are pushed and the sender's own agent is slow: not part of the case, since
/// an agent "answers at once".
const AGENT_DELAY: Duration = Duration::from_millis(1_200);
/// A change counts as told 6 s after discovery had it; the grace of drains is 1 s, and 50 ms longer on sockets.
const TOLD_AND_GRACE: Duration = Duration::from_millis(7_050);
const LIMITS: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}"#;
const SETTINGS: &str = r#"{"NInstances":3,"Position":0,"Tier":0,"TickNs":5000000,"Zone":0,"Family":"deliver",
"Kinds":["duzi-odbiorcy","mali-odbiorcy"],"Localities":["z"],"Weights":"rough","Discovery":"subscribe",
"Realms":[{"Name":"rolnictwo","Fraction":1.0,"QuotaPerS":22.0}],"OverShareWorth":0.05,"WorthBy":"request",
"Feedback":{"Source":"piggyback","Fields":["x0","x1"]},
"FamilyInfo":{"CallsOut":14,"Decay":"halves","KindBatch":[10,1],"SeparateRoutes":[false,false],"RefusalCost":0.03},
"Limits":{"Cancel":true,"DialTimeoutNs":1000000000,"IdleCloseNs":5000000000,"MaxAttempts":8,"MaxOpen":340,
"MaxRetryAfterNs":3000000000,"MayDuplicate":false,"Peers":false,"Probes":true,"RetryAfter":true,"StreamsPerConn":1},
"Safety":{"AnswerSlackNs":20000000,"AskWithinNs":10000000000,"ColdNs":9500000000,"FallMultiple":1.5,
"OverloadForNs":2000000000,"StartCapacity":0.26,"StopSendingWithinNs":1000000000},
"Services":[{"Name":"alert-prognozy","PromiseNs":3000000000,"DeadlineNs":16000000000,"Effect":"keyed",
"DedupScope":"all","WindowNs":15000000000,"Worth":1.0,"LateWorth":0.3,"Streamed":false}]}"#;

/// The calls that reached a server: the message and when.
type Calls = Arc<Mutex<Vec<(String, Instant)>>>;

/// A server that answers each call with 200 after 0.1 s.
fn start_server(name: &'static str, record: Record) -> (SocketAddr, Calls) {
    let calls = Calls::default();
    let arrived = calls.clone();
    let address = http::serve(move |request, _| {
        let id = request.header("x-trace-id").unwrap_or_default().to_string();
        arrived.lock().unwrap().push((id.clone(), Instant::now()));
        record.note(format!("server {name} runs {id}"));
        sleep(Duration::from_millis(100));
        http::answer("200 OK")
    });
    (address, calls)
}

fn entry(id: &str, address: SocketAddr, cell: u64) -> Entry {
    Entry { id: id.into(), address, kind: "mali-odbiorcy", cell, weight: 30.0 }
}

pub fn run(run: Run) -> Result<Verdict, String> {
    let (server_a, calls_a) = start_server("A", run.record.clone());
    let (server_b, calls_b) = start_server("B", run.record.clone());
    let before = vec![entry("s-5be2a07c", server_a, 7)];
    // Destination 7 has moved to server B, and server A belongs to destination 9.
    let after = vec![entry("s-91d0c3b8", server_b, 7), entry("s-7724fe10", server_a, 9)];
    let discovery = Discovery::start(before, run.record.clone());
    let is_pushed = std::env::var("PUSHED").is_ok_and(|value| value == "1");
    let (mode, delay) = if is_pushed { ("automatic", AGENT_DELAY) } else { ("subscribe", DELAY) };
    let settings = SETTINGS.replace("subscribe", mode);
    let mut sender = Sender::start("n0", &run.folder, &discovery, LIMITS, &settings)?;
    let clients = Clients::new(&sender, run.record.clone());
    sleep(Duration::from_secs(2));
    if run.trouble {
        run.record.note("discovery is slow from now on");
        discovery.set_delay(delay);
    }
    let start = Instant::now();
    let mut changed_at = None;
    let mut late_ids = Vec::new();
    for number in 0.. {
        let now = start.elapsed();
        if now >= Duration::from_secs(15) && changed_at.is_none() {
            run.record.note("the list has changed: destination 7 is at server B, server A at destination 9");
            discovery.set_entries(after.clone());
            changed_at = Some(Instant::now());
        }
        if now >= Duration::from_secs(45) {
            break;
        }
        let (id, clients) = (format!("n0-{number:04}"), clients.clone());
        let is_late = changed_at.is_some_and(|at| at.elapsed() > TOLD_AND_GRACE);
        if is_late {
            late_ids.push(id.clone());
        }
        std::thread::spawn(move || {
            let (class, tenant, expires_ms) = ("alert-prognozy", "rolnictwo", 16_000);
            clients.submit(&Submission { id, class, tenant, dest: 7, expires_ms })
        });
        sleep(Duration::from_millis(250));
    }
    if !sender.is_running() {
        return Err("the sender has ended".into());
    }
    let count = |calls: &Calls| calls.lock().unwrap().iter().filter(|(id, _)| late_ids.contains(id)).count();
    let (at_a, at_b) = (count(&calls_a), count(&calls_b));
    let seen = format!(
        "of {} messages for destination 7 that were handed in more than 7.05 s after discovery had the change, {at_a} ran \
         at the server that now belongs to destination 9 and {at_b} at their own",
        late_ids.len()
    );
    Ok(Verdict { held: at_a == 0, seen })
}

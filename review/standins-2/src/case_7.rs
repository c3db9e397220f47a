//! A destination fails for ten seconds and returns cold, while seven in ten of thirty senders, all of which have seen
//! it fail, are killed at once and started again.
use crate::customer::{judge, Customer, Model, Outage};
use crate::platform::{Clients, Discovery, Entry, Sender, Submission};
use crate::{Run, Verdict};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const SENDERS: usize = 30;
const KILLED: usize = 21;
const DEST: u64 = 7;
const LIMITS: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":3}"#;
const SETTINGS: &str = r#"{"NInstances":30,"Position":0,"Tier":0,"TickNs":5000000,"Zone":0,"Family":"deliver",
"Kinds":["duzi-odbiorcy","mali-odbiorcy"],"Localities":["z"],"Weights":"rough","Discovery":"automatic",
"Realms":[{"Name":"rolnictwo","Fraction":1.0,"QuotaPerS":22.0}],"OverShareWorth":0.05,"WorthBy":"request",
"Feedback":{"Source":"piggyback","Fields":["x0","x1"]},
"FamilyInfo":{"CallsOut":4,"Decay":"halves","KindBatch":[10,1],"SeparateRoutes":[false,false],"RefusalCost":0.03},
"Limits":{"Cancel":true,"DialTimeoutNs":1000000000,"IdleCloseNs":5000000000,"MaxAttempts":8,"MaxOpen":34,
"MaxRetryAfterNs":3000000000,"MayDuplicate":false,"Peers":false,"Probes":true,"RetryAfter":true,"StreamsPerConn":1},
"Safety":{"AnswerSlackNs":20000000,"AskWithinNs":10000000000,"ColdNs":9500000000,"FallMultiple":1.5,
"OverloadForNs":2000000000,"StartCapacity":0.26,"StopSendingWithinNs":1000000000},
"Services":[{"Name":"alert-prognozy","PromiseNs":3000000000,"DeadlineNs":16000000000,"Effect":"keyed",
"DedupScope":"all","WindowNs":15000000000,"Worth":1.0,"LateWorth":0.3,"Streamed":false}]}"#;

/// Hands in messages to all senders in turn, so many a second, for this time.
fn send_for(clients: &[(String, Arc<Clients>)], rate: f64, time: Duration, next: &mut usize) {
    let start = Instant::now();
    let mut count = 0;
    while start.elapsed() < time {
        let (name, clients) = &clients[*next % clients.len()];
        let (id, clients) = (format!("{name}-{next:05}"), clients.clone());
        let (class, tenant, expires_ms) = ("alert-prognozy", "rolnictwo", 16_000);
        std::thread::spawn(move || clients.submit(&Submission { id, class, tenant, dest: DEST, expires_ms }));
        (*next, count) = (*next + 1, count + 1);
        let due = start + Duration::from_secs_f64(f64::from(count) / rate);
        sleep(due.saturating_duration_since(Instant::now()));
    }
}

pub fn run(run: Run) -> Result<Verdict, String> {
    // Six calls and two thirds a second when warm.
    let model = Model {
        workers: 1,
        work: Duration::from_millis(150),
        queue: 8,
        start_capacity: 0.26,
        warm_up: Duration::from_millis(9_500),
        fall_multiple: 1.5,
        fall_window: Duration::from_secs(2),
        tells_one_in: usize::MAX,
    };
    let customer = Customer::start(model, run.record.clone());
    let (id, weight) = ("s-5be2a07c".to_string(), model.capacity());
    let entry = Entry { id, address: customer.address, kind: "mali-odbiorcy", cell: DEST, weight };
    let discovery = Discovery::start(vec![entry], run.record.clone());
    let mut senders = Vec::new();
    for number in 0..SENDERS {
        senders.push(Sender::start(&format!("n{number}"), &run.folder, &discovery, LIMITS, SETTINGS)?);
    }
    let clients: Vec<(String, Arc<Clients>)> =
        senders.iter().map(|s| (s.name.clone(), Clients::new(s, run.record.clone()))).collect();
    let (mut next, rate) = (0, 0.8 * model.capacity());
    send_for(&clients, rate, Duration::from_secs(3), &mut next);
    if run.trouble {
        customer.begin_outage(Outage::Failing);
    }
    send_for(&clients, rate, Duration::from_millis(9_700), &mut next);
    if run.trouble {
        run.record.note("21 of 30 senders are killed");
        senders[..KILLED].iter_mut().for_each(Sender::kill);
        sleep(Duration::from_millis(300));
        customer.end_outage();
        sleep(Duration::from_millis(350));
        let started: Vec<Result<(), String>> = std::thread::scope(|scope| {
            let starts: Vec<_> =
                senders[..KILLED].iter_mut().map(|sender| scope.spawn(|| sender.restart())).collect();
            starts.into_iter().map(|start| start.join().unwrap_or(Err("no start".into()))).collect()
        });
        run.record.note("they are ready again");
        started.into_iter().collect::<Result<(), String>>()?;
    }
    send_for(&clients, rate, Duration::from_secs(5), &mut next);
    if senders.iter_mut().any(|sender| !sender.is_running()) {
        return Err("a sender has ended".into());
    }
    let accepted: Vec<String> = clients.iter().flat_map(|(_, c)| c.accepted(DEST)).collect();
    Ok(judge(&customer, &accepted))
}

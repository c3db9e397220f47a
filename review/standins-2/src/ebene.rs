//! A small deployment like the second customer's: three senders, a partner under test, and another one with the usual
//! traffic.
use crate::customer::{judge, Customer, Model};
use crate::platform::{Clients, Discovery, Entry, Sender, Submission};
use crate::{Run, Verdict};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const SENDERS: usize = 3;
/// The partner under test, and the other one.
const DEST: u64 = 7;
const OTHER_DEST: u64 = 8;
/// Messages a second for the other one.
const OTHER_RATE: f64 = 12.0;
const LIMITS: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}"#;
const SETTINGS: &str = r#"{"NInstances":3,"Position":0,"Tier":0,"TickNs":5000000,"Zone":0,"Family":"deliver",
"Kinds":["bulk-carriers","host-hooks","venue-systems"],"Localities":["z"],"Weights":"silent","Discovery":"automatic",
"Realms":[{"Name":"moka-club","Fraction":1.0,"QuotaPerS":60.0}],"OverShareWorth":0.2,"WorthBy":"request",
"Feedback":{"Source":"piggyback","Fields":["x0","x1"]},
"FamilyInfo":{"CallsOut":14,"Decay":"line","KindBatch":[5,1,1],"SeparateRoutes":[true,false,false],"RefusalCost":0.0},
"Limits":{"Cancel":true,"DialTimeoutNs":1000000000,"IdleCloseNs":5000000000,"MaxAttempts":8,"MaxOpen":200,
"MaxRetryAfterNs":3000000000,"MayDuplicate":false,"Peers":false,"Probes":false,"RetryAfter":true,"StreamsPerConn":1},
"Safety":{"AnswerSlackNs":20000000,"AskWithinNs":10000000000,"ColdNs":14000000000,"FallMultiple":2.0,
"OverloadForNs":1500000000,"StartCapacity":0.19,"StopSendingWithinNs":2000000000},
"Services":[{"Name":"rsvp-forward","PromiseNs":2500000000,"DeadlineNs":28000000000,"Effect":"keyed",
"DedupScope":"zone","WindowNs":15000000000,"Worth":2.0,"LateWorth":0.5,"Streamed":false},
{"Name":"guest-status","PromiseNs":1500000000,"DeadlineNs":5000000000,"Effect":"safe","Worth":1.0,"LateWorth":0.1,
"Streamed":false},
{"Name":"ticket-charge","PromiseNs":2500000000,"DeadlineNs":24000000000,"Effect":"unsafe","Worth":4.0,
"LateWorth":0.5,"Streamed":false}]}"#;

/// A class and how long its messages may be delivered.
pub type Class = (&'static str, u64);
pub const RSVP_FORWARD: Class = ("rsvp-forward", 28_000);
pub const GUEST_STATUS: Class = ("guest-status", 5_000);
pub const TICKET_CHARGE: Class = ("ticket-charge", 24_000);

pub struct Deployment {
    pub partner: Customer,
    senders: Vec<Sender>,
    clients: Vec<(String, Arc<Clients>)>,
    is_over: Arc<AtomicBool>,
    _discovery: Discovery,
    _other: Customer,
}

impl Deployment {
    /// Starts the senders.
    pub fn start(run: &Run, kind: &'static str, tells_one_in: usize) -> Result<Deployment, String> {
        // Ten calls a second when warm. No limit but its capacity, so its answers carry no report.
        let model = Model {
            workers: 2,
            work: Duration::from_millis(200),
            queue: 6,
            start_capacity: 0.19,
            warm_up: Duration::from_secs(14),
            fall_multiple: 2.0,
            fall_window: Duration::from_millis(1_500),
            tells_one_in,
        };
        let partner = Customer::start(model, run.record.clone());
        let other = Customer::start(Model { workers: 8, queue: 24, ..model }, run.record.clone());
        let entry = |id: &str, customer: &Customer, cell| {
            let id = id.to_string();
            Entry { id, address: customer.address, kind, cell, weight: 1.0 }
        };
        let entries = vec![entry("s-5be2a07c", &partner, DEST), entry("s-0c7d91fe", &other, OTHER_DEST)];
        let discovery = Discovery::start(entries, run.record.clone());
        let mut senders = Vec::new();
        for number in 0..SENDERS {
            senders.push(Sender::start(&format!("n{number}"), &run.folder, &discovery, LIMITS, SETTINGS)?);
        }
        let clients: Vec<(String, Arc<Clients>)> =
            senders.iter().map(|s| (s.name.clone(), Clients::new(s, run.record.clone()))).collect();
        let is_over = Arc::new(AtomicBool::new(false));
        Ok(Deployment { partner, senders, clients, is_over, _discovery: discovery, _other: other })
    }

    /// Begins the traffic of the other partner.
    pub fn begin_other_traffic(&self) {
        let (over, others) = (self.is_over.clone(), self.clients.clone());
        std::thread::spawn(move || {
            let start = Instant::now();
            let mut number = 0;
            while !over.load(Ordering::Relaxed) {
                submit(&others[number % SENDERS], "other", number, RSVP_FORWARD, OTHER_DEST);
                number += 1;
                let due = start + Duration::from_secs_f64(number as f64 / OTHER_RATE);
                sleep(due.saturating_duration_since(Instant::now()));
            }
        });
    }

    /// SIGKILL for all senders, and a new start 0.6 s later.
    pub fn kill_and_restart(&mut self) -> Result<(), String> {
        self.senders.iter_mut().for_each(Sender::kill);
        sleep(Duration::from_millis(600));
        self.senders.iter_mut().try_for_each(Sender::restart)
    }

    /// Hands in messages for the partner under test to all senders in turn.
    pub fn submit(&self, label: &str, count: usize, class: Class) {
        for number in 0..count {
            submit(&self.clients[number % SENDERS], label, number, class, DEST);
        }
    }

    /// Ends the run with the verdict on the rule.
    pub fn judge(mut self) -> Result<Verdict, String> {
        self.is_over.store(true, Ordering::Relaxed);
        if self.senders.iter_mut().any(|sender| !sender.is_running()) {
            return Err("a sender has ended".into());
        }
        let accepted: Vec<String> = self.clients.iter().flat_map(|(_, c)| c.accepted(DEST)).collect();
        Ok(judge(&self.partner, &accepted))
    }
}

fn submit(to: &(String, Arc<Clients>), label: &str, number: usize, class: Class, dest: u64) {
    let (name, clients) = to;
    let (id, clients) = (format!("{name}-{label}-{number:03}"), clients.clone());
    let (class, expires_ms) = class;
    std::thread::spawn(move || {
        clients.submit(&Submission { id, class, tenant: "moka-club", dest, expires_ms })
    });
}

//! A soak test of one real sender process on loopback: clients submit messages, endpoints answer with injected
//! faults, the disk fails, the process is stopped and killed. What clients, endpoints and the platform see is
//! recorded and checked against the delivery rules; nothing that the sender says about itself is used.
//!
//! A seed gives the same plan of faults. The order of events is that of the machine, so two runs of a seed differ.
mod answer;
mod client;
mod endpoint;
mod history;
mod plan;

pub use plan::{ProcessFault, SoakPlan, TimedFault};

use client::{run_client, Target};
use endpoint::SoakEndpoint;
use history::History;
use nickelshed_judge::{judge, EventKind, Rule, RuleParameters, Violation};
use nickelshed_testkit::{http_reply, ready_instance, Discovery, SenderProcess};
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Destinations 1 to this number, each with one endpoint.
const DESTINATIONS: u64 = 4;
const CLIENTS: usize = 6;
/// After the last submission all messages end within this time: their lifetime, and the rule's grace.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// From SIGKILL to the start of the next process.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// From SIGTERM to SIGKILL.
const TERMINATION_TIME: Duration = Duration::from_millis(3_700);

/// The outcome of a run.
pub struct SoakReport {
    /// Violations of the six delivery rules.
    pub violations: Vec<Violation>,
    /// Findings of the check of recovered messages. It counts all that got no call, however little time they had
    /// left, and most messages of a soak expire while their faulty destination is given little load.
    pub untried: Vec<Violation>,
    /// What was observed of each message in a violation, one line an event.
    pub stories: Vec<String>,
    pub submitted: usize,
    pub accepted: usize,
    pub calls: usize,
    pub notices: usize,
    /// A line for each process that ended by itself or did not become ready.
    pub crashes: Vec<String>,
    pub log: String,
}

/// Runs the plan with the sender program at this path.
pub fn run(program: &str, plan: &SoakPlan) -> SoakReport {
    let history = History::new();
    let endpoints: Vec<SoakEndpoint> = (1..=DESTINATIONS)
        .map(|dest| SoakEndpoint::start(dest, plan.seed, plan.faulty_answers, history.clone()))
        .collect();
    let instances: Vec<Value> =
        endpoints.iter().map(|e| ready_instance(&format!("e-{}", e.dest), e.address, e.dest)).collect();
    let discovery = Discovery::new(json!(instances));
    record_notices(&discovery, &history);
    let mut sender = SenderProcess::start(program, &discovery);
    sender.kill();
    sender.prepare_for_file_size_limit();
    sender.restart();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let target = Target { address: sender.address, destinations: DESTINATIONS };
            let (history, is_over, seed) = (history.clone(), is_over.clone(), plan.seed);
            std::thread::spawn(move || run_client(number, seed, target, &history, &is_over))
        })
        .collect();
    let crashes = inject_faults(&mut sender, plan, &history);
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client does not panic"));
    std::thread::sleep(DRAIN_TIME);
    let log = sender.log();
    drop(sender);
    report(&history, crashes, log)
}

fn record_notices(discovery: &Discovery, history: &History) {
    let history = history.clone();
    discovery.server.prepend_script(move |request| {
        if !request.start_line.starts_with("POST /reports") {
            return None;
        }
        for line in String::from_utf8_lossy(&request.body).lines() {
            let notice: Value = serde_json::from_str(line).unwrap_or_default();
            let id = notice["message"].as_str().unwrap_or_default().to_string();
            history.record(EventKind::Notice { sender: 0, id, returned: notice["outcome"] == "handed_back" });
        }
        Some(http_reply("204 No Content", "", ""))
    });
}

/// Carries out the faults of the plan at their times. Returns a line for each unexpected end of a process.
fn inject_faults(sender: &mut SenderProcess, plan: &SoakPlan, history: &History) -> Vec<String> {
    let started_at = Instant::now();
    let mut crashes = Vec::new();
    for TimedFault { at, fault } in &plan.faults {
        std::thread::sleep((started_at + *at).saturating_duration_since(Instant::now()));
        if !sender.is_running() {
            crashes.push(format!("the process had ended by itself at {at:?}: {}", sender.wait_for_exit()));
            restart(sender, history, &mut crashes);
        }
        match fault {
            ProcessFault::Kill => {
                history.record(EventKind::Going { sender: 0 });
                sender.kill();
                history.record(EventKind::Ended { sender: 0 });
                std::thread::sleep(RESTART_DELAY);
                restart(sender, history, &mut crashes);
            }
            ProcessFault::Terminate => {
                history.record(EventKind::Going { sender: 0 });
                sender.terminate();
                std::thread::sleep(TERMINATION_TIME);
                sender.kill();
                history.record(EventKind::Ended { sender: 0 });
                std::thread::sleep(RESTART_DELAY);
                restart(sender, history, &mut crashes);
            }
            ProcessFault::Pause(duration) => {
                let duration_us = duration.as_micros() as u64;
                history.record(EventKind::Stopped { sender: 0, duration: duration_us });
                sender.pause();
                std::thread::sleep(*duration);
                sender.resume();
            }
            ProcessFault::FailDisk(duration) => {
                sender.limit_file_size(Some(0));
                std::thread::sleep(*duration);
                sender.limit_file_size(None);
            }
        }
    }
    std::thread::sleep((started_at + plan.duration).saturating_duration_since(Instant::now()));
    if !sender.is_running() {
        crashes.push("the process had ended by itself before the end".into());
    }
    crashes
}

fn restart(sender: &mut SenderProcess, history: &History, crashes: &mut Vec<String>) {
    if sender.try_start() {
        history.record(EventKind::Up { sender: 0 });
    } else {
        crashes.push("a process ended before it was ready".into());
    }
}

fn report(history: &History, crashes: Vec<String>, log: String) -> SoakReport {
    let events = history.sorted_events();
    let parameters = RuleParameters { dedup_window: 15_000_000, ..RuleParameters::default() };
    let (untried, violations): (Vec<Violation>, Vec<Violation>) =
        judge(&events, parameters).into_iter().partition(|violation| violation.rule == Rule::Untried);
    let stories =
        violations.iter().flat_map(|violation| history::story(&events, &violation.description)).collect();
    let count = |is_counted: fn(&EventKind) -> bool| events.iter().filter(|e| is_counted(&e.kind)).count();
    SoakReport {
        violations,
        untried,
        stories,
        submitted: count(|kind| matches!(kind, EventKind::HandedIn { .. })),
        accepted: count(|kind| matches!(kind, EventKind::Heard { status: 202, .. })),
        calls: count(|kind| matches!(kind, EventKind::Call { .. })),
        notices: count(|kind| matches!(kind, EventKind::Notice { .. })),
        crashes,
        log,
    }
}

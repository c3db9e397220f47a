//! Looking for what nobody thought of: random days on all cores, and each find cut down to what matters.
use crate::{run_scenario, ScenarioRun};
use nickelshed_config::units::{Percent, Period};
use nickelshed_judge::Rule;
use nickelshed_model::Scenario;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Days that are tried at most while a find is cut down.
const CUTS: usize = 300;

/// What is wrong with a day, coarsely enough that a smaller day can show the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    Violation(Rule),
    Crash,
}

impl Failure {
    pub fn name(self) -> String {
        match self {
            Failure::Violation(rule) => format!("{rule:?}").to_lowercase(),
            Failure::Crash => "crash".into(),
        }
    }
}

/// Every kind of fault of a day, with the words of the first one of each.
pub fn failures(day: &ScenarioRun) -> BTreeMap<Failure, String> {
    let mut out = BTreeMap::new();
    for broken in &day.violations {
        let words = || format!("at {} ms: {}", broken.at / 1_000, broken.words);
        out.entry(Failure::Violation(broken.rule)).or_insert_with(words);
    }
    if let Some(crash) = day.crashes.first() {
        out.insert(Failure::Crash, crash.clone());
    }
    out
}

/// A day that showed a fault, cut down.
#[derive(Clone, Debug)]
pub struct FailingCase {
    pub failure: Failure,
    pub description: String,
    pub seed: u64,
    pub scenario: Scenario,
}

#[derive(Clone, Debug, Default)]
pub struct Exploration {
    pub runs: u64,
    pub simulated_time: Duration,
    /// Processor time, near enough: of all threads together.
    pub thread_time: Duration,
    /// The seeds whose days showed each fault, with its words, in the order of the seeds.
    pub failures: BTreeMap<Failure, Vec<(u64, String)>>,
}

/// The day of a seed.
pub type ScenarioGenerator = fn(u64) -> Scenario;

/// Plays the days of these seeds on so many threads, until they are all played or the time is up.
pub fn explore(
    draw: ScenarioGenerator,
    seeds: std::ops::Range<u64>,
    jobs: usize,
    time: Duration,
) -> Exploration {
    let next = AtomicU64::new(seeds.start);
    let from = Instant::now();
    let all = Mutex::new(Exploration::default());
    let work = || loop {
        let seed = next.fetch_add(1, Ordering::SeqCst);
        if seed >= seeds.end || from.elapsed() >= time {
            return;
        }
        let begun = Instant::now();
        let Ok(day) = run_scenario(&draw(seed), seed) else { continue };
        let found = failures(&day);
        let mut explored = all.lock().unwrap_or_else(|e| e.into_inner());
        explored.runs += 1;
        explored.simulated_time += day.length;
        explored.thread_time += begun.elapsed();
        for (fault, words) in found {
            explored.failures.entry(fault).or_default().push((seed, words));
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(work);
        }
    });
    let mut explored = all.into_inner().unwrap_or_else(|e| e.into_inner());
    explored.failures.values_mut().for_each(|days| days.sort());
    explored
}

impl Exploration {
    /// The first day of each fault, cut down.
    pub fn minimized(&self, draw: ScenarioGenerator) -> Vec<FailingCase> {
        let first = self.failures.iter().filter_map(|(fault, days)| Some((*fault, days.first()?.0)));
        first.map(|(fault, seed)| minimize(fault, seed, draw(seed))).collect()
    }
}

/// Cuts a day down as long as it still shows the fault.
pub fn minimize(fault: Failure, seed: u64, scenario: Scenario) -> FailingCase {
    let shows = |s: &Scenario| run_scenario(s, seed).ok().and_then(|day| failures(&day).remove(&fault));
    let mut best = scenario;
    let mut words = shows(&best).unwrap_or_default();
    let mut tried = 0;
    loop {
        let smaller = smaller(&best);
        let found = smaller.into_iter().find_map(|s| {
            tried += 1;
            if tried > CUTS {
                return None;
            }
            shows(&s).map(|words| (s, words))
        });
        match found {
            Some((s, w)) => (best, words) = (s, w),
            None => {
                return FailingCase {
                    failure: fault,
                    description: words,
                    seed,
                    scenario: Scenario { seed: Some(seed), ..best },
                }
            }
        }
    }
}

/// Days that are smaller in one respect, the boldest cuts first.
fn smaller(s: &Scenario) -> Vec<Scenario> {
    let mut out = Vec::new();
    for i in 0..s.troubles.len() {
        let mut less = s.clone();
        less.troubles.remove(i);
        out.push(less);
    }
    let mut with = |change: &dyn Fn(&mut Scenario)| {
        let mut less = s.clone();
        change(&mut less);
        if less != *s {
            out.push(less);
        }
    };
    with(&|s| s.senders = (s.senders / 2).max(1));
    with(&|s| s.destinations = (s.destinations / 2).max(1));
    with(&|s| s.length = Period::ms((s.length.0.as_millis() as u64 / 2).max(1_000)));
    with(&|s| s.length = Period::ms((s.length.0.as_millis() as u64 * 4 / 5).max(1_000)));
    with(&|s| s.endpoints = 1);
    with(&|s| s.routes_apart = false);
    with(&|s| s.rooms = 1);
    with(&|s| s.batch = 1);
    with(&|s| s.list_tells_rates = true);
    with(&|s| _ = s.classes.pop());
    with(&|s| s.retries = 0);
    with(&|s| s.spoilt = Percent(0.0));
    with(&|s| s.clumps = Percent(0.0));
    with(&|s| s.limit = 0.0);
    with(&|s| s.told_wait = Period::ms(0));
    with(&|s| s.rate = (s.rate / 2.0).max(1.0));
    with(&|s| s.discovery_late = Period::ms(0));
    with(&|s| s.latency = Period::ms(0));
    out
}

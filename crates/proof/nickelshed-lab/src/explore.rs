//! Looking for what nobody thought of: random days on all cores, and each find cut down to what matters.
use crate::{play, Day};
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
pub enum Fault {
    Broken(Rule),
    Crash,
}

impl Fault {
    pub fn name(self) -> String {
        match self {
            Fault::Broken(rule) => format!("{rule:?}").to_lowercase(),
            Fault::Crash => "crash".into(),
        }
    }
}

/// Every kind of fault of a day, with the words of the first one of each.
pub fn faults(day: &Day) -> BTreeMap<Fault, String> {
    let mut out = BTreeMap::new();
    for broken in &day.broken {
        let words = || format!("at {} ms: {}", broken.at / 1_000, broken.description);
        out.entry(Fault::Broken(broken.rule)).or_insert_with(words);
    }
    if let Some(crash) = day.crashes.first() {
        out.insert(Fault::Crash, crash.clone());
    }
    out
}

/// A day that showed a fault, cut down.
#[derive(Clone, Debug)]
pub struct Find {
    pub fault: Fault,
    pub words: String,
    pub seed: u64,
    pub scenario: Scenario,
}

#[derive(Clone, Debug, Default)]
pub struct Explored {
    pub days: u64,
    pub simulated: Duration,
    /// Processor time, near enough: of all threads together.
    pub spent: Duration,
    /// The seeds whose days showed each fault, with its words, in the order of the seeds.
    pub faults: BTreeMap<Fault, Vec<(u64, String)>>,
}

/// The day of a seed.
pub type Draw = fn(u64) -> Scenario;

/// Plays the days of these seeds on so many threads, until they are all played or the time is up.
pub fn explore(draw: Draw, seeds: std::ops::Range<u64>, jobs: usize, time: Duration) -> Explored {
    let next = AtomicU64::new(seeds.start);
    let from = Instant::now();
    let all = Mutex::new(Explored::default());
    let work = || loop {
        let seed = next.fetch_add(1, Ordering::SeqCst);
        if seed >= seeds.end || from.elapsed() >= time {
            return;
        }
        let begun = Instant::now();
        let Ok(day) = play(&draw(seed), seed) else { continue };
        let found = faults(&day);
        let mut explored = all.lock().unwrap_or_else(|e| e.into_inner());
        explored.days += 1;
        explored.simulated += day.length;
        explored.spent += begun.elapsed();
        for (fault, words) in found {
            explored.faults.entry(fault).or_default().push((seed, words));
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(work);
        }
    });
    let mut explored = all.into_inner().unwrap_or_else(|e| e.into_inner());
    explored.faults.values_mut().for_each(|days| days.sort());
    explored
}

impl Explored {
    /// The first day of each fault, cut down.
    pub fn cut_down(&self, draw: Draw) -> Vec<Find> {
        let first = self.faults.iter().filter_map(|(fault, days)| Some((*fault, days.first()?.0)));
        first.map(|(fault, seed)| cut(fault, seed, draw(seed))).collect()
    }
}

/// Cuts a day down as long as it still shows the fault.
pub fn cut(fault: Fault, seed: u64, scenario: Scenario) -> Find {
    let shows = |s: &Scenario| play(s, seed).ok().and_then(|day| faults(&day).remove(&fault));
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
            None => return Find { fault, words, seed, scenario: Scenario { seed: Some(seed), ..best } },
        }
    }
}

/// Days that are smaller in one respect, the boldest cuts first.
fn smaller(s: &Scenario) -> Vec<Scenario> {
    let mut out = Vec::new();
    for i in 0..s.faults.len() {
        let mut less = s.clone();
        less.faults.remove(i);
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
    with(&|s| s.separate_routes = false);
    with(&|s| s.sites = 1);
    with(&|s| s.batch = 1);
    with(&|s| s.discovery_reports_rates = true);
    with(&|s| _ = s.classes.pop());
    with(&|s| s.client_retries = 0);
    with(&|s| s.corrupted = Percent(0.0));
    with(&|s| s.clumps = Percent(0.0));
    with(&|s| s.limit_multiple = 0.0);
    with(&|s| s.retry_after = Period::ms(0));
    with(&|s| s.rate = (s.rate / 2.0).max(1.0));
    with(&|s| s.discovery_delay = Period::ms(0));
    with(&|s| s.latency = Period::ms(0));
    out
}

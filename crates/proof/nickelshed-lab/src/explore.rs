//! Searches for failures with randomly drawn scenarios on all cores, and minimizes each failing case.
use crate::{run_scenario, ScenarioRun};
use nickelshed_config::units::{Percent, Period};
use nickelshed_judge::Rule;
use nickelshed_model::Scenario;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Maximum number of runs while one failing case is minimized.
const MAX_MINIMIZATION_RUNS: usize = 300;

/// The kind of a failure. It has no details, so that a smaller scenario can show the same failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    Violation(Rule),
    Crash,
}

impl Failure {
    /// Returns the name of the rule in lower case, or `crash`.
    pub fn name(self) -> String {
        match self {
            Failure::Violation(rule) => format!("{rule:?}").to_lowercase(),
            Failure::Crash => "crash".into(),
        }
    }
}

/// Returns each kind of failure of a run with the description of its first occurrence.
pub fn failures(run: &ScenarioRun) -> BTreeMap<Failure, String> {
    let mut out = BTreeMap::new();
    for violation in &run.violations {
        let description = || format!("at {} ms: {}", violation.at / 1_000, violation.description);
        out.entry(Failure::Violation(violation.rule)).or_insert_with(description);
    }
    if let Some(crash) = run.crashes.first() {
        out.insert(Failure::Crash, crash.clone());
    }
    out
}

/// A scenario and seed that show a failure, minimized.
#[derive(Clone, Debug)]
pub struct FailingCase {
    pub failure: Failure,
    pub description: String,
    pub seed: u64,
    pub scenario: Scenario,
}

/// The result of an exploration.
#[derive(Clone, Debug, Default)]
pub struct Exploration {
    pub runs: u64,
    pub simulated_time: Duration,
    /// Wall-clock time spent in runs, summed over all threads; approximately the processor time.
    pub thread_time: Duration,
    /// For each failure the seeds that showed it, in order, with its description.
    pub failures: BTreeMap<Failure, Vec<(u64, String)>>,
}

/// Draws the scenario of a seed.
pub type ScenarioGenerator = fn(u64) -> Scenario;

/// Runs the scenarios of these seeds on `jobs` threads, until all have been run or `time_limit` has passed.
/// Runs in progress at that time are completed.
pub fn explore(
    generate: ScenarioGenerator,
    seeds: std::ops::Range<u64>,
    jobs: usize,
    time_limit: Duration,
) -> Exploration {
    let next = AtomicU64::new(seeds.start);
    let started = Instant::now();
    let shared = Mutex::new(Exploration::default());
    let worker = || loop {
        let seed = next.fetch_add(1, Ordering::SeqCst);
        if seed >= seeds.end || started.elapsed() >= time_limit {
            return;
        }
        let run_started = Instant::now();
        let Ok(run) = run_scenario(&generate(seed), seed) else { continue };
        let run_failures = failures(&run);
        let mut explored = shared.lock().unwrap_or_else(|e| e.into_inner());
        explored.runs += 1;
        explored.simulated_time += run.length;
        explored.thread_time += run_started.elapsed();
        for (failure, description) in run_failures {
            explored.failures.entry(failure).or_default().push((seed, description));
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(worker);
        }
    });
    let mut explored = shared.into_inner().unwrap_or_else(|e| e.into_inner());
    explored.failures.values_mut().for_each(|cases| cases.sort());
    explored
}

impl Exploration {
    /// Minimizes the first failing case of each failure.
    pub fn minimized(&self, generate: ScenarioGenerator) -> Vec<FailingCase> {
        let first_cases =
            self.failures.iter().filter_map(|(failure, cases)| Some((*failure, cases.first()?.0)));
        first_cases.map(|(failure, seed)| minimize(failure, seed, generate(seed))).collect()
    }
}

/// Reduces a scenario step by step for as long as it still shows the failure. A scenario that does not show
/// it is returned unchanged with an empty description.
pub fn minimize(failure: Failure, seed: u64, scenario: Scenario) -> FailingCase {
    let shown = |s: &Scenario| run_scenario(s, seed).ok().and_then(|run| failures(&run).remove(&failure));
    let mut smallest = scenario;
    let mut description = shown(&smallest).unwrap_or_default();
    let mut attempts = 0;
    loop {
        let candidates = reductions(&smallest);
        let smaller = candidates.into_iter().find_map(|s| {
            attempts += 1;
            if attempts > MAX_MINIMIZATION_RUNS {
                return None;
            }
            shown(&s).map(|description| (s, description))
        });
        match smaller {
            Some((s, d)) => (smallest, description) = (s, d),
            None => {
                return FailingCase {
                    failure,
                    description,
                    seed,
                    scenario: Scenario { seed: Some(seed), ..smallest },
                }
            }
        }
    }
}

/// Returns scenarios that are smaller in one respect, roughly the largest reductions first.
fn reductions(s: &Scenario) -> Vec<Scenario> {
    let mut out = Vec::new();
    for i in 0..s.faults.len() {
        let mut reduced = s.clone();
        reduced.faults.remove(i);
        out.push(reduced);
    }
    let mut reduce = |change: &dyn Fn(&mut Scenario)| {
        let mut reduced = s.clone();
        change(&mut reduced);
        if reduced != *s {
            out.push(reduced);
        }
    };
    reduce(&|s| s.senders = (s.senders / 2).max(1));
    reduce(&|s| s.destinations = (s.destinations / 2).max(1));
    reduce(&|s| s.length = Period::ms((s.length.0.as_millis() as u64 / 2).max(1_000)));
    reduce(&|s| s.length = Period::ms((s.length.0.as_millis() as u64 * 4 / 5).max(1_000)));
    reduce(&|s| s.endpoints = 1);
    reduce(&|s| s.separate_routes = false);
    reduce(&|s| s.sites = 1);
    reduce(&|s| s.batch = 1);
    reduce(&|s| s.discovery_reports_rates = true);
    reduce(&|s| _ = s.classes.pop());
    reduce(&|s| s.client_retries = 0);
    reduce(&|s| s.corrupted = Percent(0.0));
    reduce(&|s| s.clumps = Percent(0.0));
    reduce(&|s| s.limit_multiple = 0.0);
    reduce(&|s| s.retry_after = Period::ms(0));
    reduce(&|s| s.rate = (s.rate / 2.0).max(1.0));
    reduce(&|s| s.discovery_delay = Period::ms(0));
    reduce(&|s| s.latency = Period::ms(0));
    out
}

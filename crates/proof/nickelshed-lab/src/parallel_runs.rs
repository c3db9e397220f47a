//! Runs scenarios in parallel, and repeats one scenario with a variation at each of many points.
use crate::{failures, run_scenario_with, RunOptions, ScenarioRun};
use nickelshed_model::Scenario;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Applies `act` to each item on `jobs` threads. Returns the results in the order of the items.
pub fn parallel_map<T: Sync, R: Send>(items: &[T], jobs: usize, act: impl Fn(&T) -> R + Sync) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::with_capacity(items.len()));
    let worker = || loop {
        let index = next.fetch_add(1, Ordering::SeqCst);
        let Some(item) = items.get(index) else { return };
        let result = act(item);
        results.lock().unwrap_or_else(|e| e.into_inner()).push((index, result));
    };
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(worker);
        }
    });
    let mut results = results.into_inner().unwrap_or_else(|e| e.into_inner());
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}

/// Runs the scenario without a variation. `variation` names what the other runs have, for the error message.
///
/// # Errors
/// If the scenario cannot be run, or the run fails.
pub(crate) fn baseline_run(scenario: &Scenario, seed: u64, variation: &str) -> Result<ScenarioRun, String> {
    let baseline = run_scenario_with(scenario, seed, RunOptions::default())?;
    match failures(&baseline).into_values().next() {
        Some(description) => Err(format!("the run fails even without a {variation}: {description}")),
        None => Ok(baseline),
    }
}

/// Runs the scenario once for each point. Returns the points at which a rule was violated, a sender crashed
/// or the scenario could not be run, in their order, each with the description of its first failure.
pub(crate) fn failures_at_each<P: Copy + Sync>(
    scenario: &Scenario,
    seed: u64,
    points: &[P],
    options_for: impl Fn(P) -> RunOptions + Sync,
    jobs: usize,
) -> Vec<(P, String)> {
    let descriptions =
        parallel_map(points, jobs, |point| match run_scenario_with(scenario, seed, options_for(*point)) {
            Ok(run) => failures(&run).into_values().next(),
            Err(error) => Some(error),
        });
    points
        .iter()
        .copied()
        .zip(descriptions)
        .filter_map(|(point, description)| Some((point, description?)))
        .collect()
}

//! Many days on all threads, and one day at each of many points: what is wrong at which of them.
use crate::{failures, run_scenario_with, Manner, ScenarioRun};
use nickelshed_model::Scenario;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Does the same to each, on so many threads; what came of them, in their order.
pub fn parallel_map<T: Sync, R: Send>(items: &[T], jobs: usize, act: impl Fn(&T) -> R + Sync) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let out = Mutex::new(Vec::with_capacity(items.len()));
    let work = || loop {
        let at = next.fetch_add(1, Ordering::SeqCst);
        let Some(item) = items.get(at) else { return };
        let done = act(item);
        out.lock().unwrap_or_else(|e| e.into_inner()).push((at, done));
    };
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(work);
        }
    });
    let mut out = out.into_inner().unwrap_or_else(|e| e.into_inner());
    out.sort_by_key(|(at, _)| *at);
    out.into_iter().map(|(_, done)| done).collect()
}

/// The day by itself, in which points are then looked for.
///
/// # Errors
/// If the scenario can't be played, or is not clean without a `what`.
pub(crate) fn baseline_run(scenario: &Scenario, seed: u64, what: &str) -> Result<ScenarioRun, String> {
    let whole = run_scenario_with(scenario, seed, Manner::default())?;
    match failures(&whole).into_values().next() {
        Some(words) => Err(format!("the day is not clean without a {what}: {words}")),
        None => Ok(whole),
    }
}

/// Plays the day once for each point. The points at which a rule was broken, a sender crashed or the day could not be played,
/// in their order, with the first words of each.
pub(crate) fn failures_at_each<P: Copy + Sync>(
    scenario: &Scenario,
    seed: u64,
    points: &[P],
    manner: impl Fn(P) -> Manner + Sync,
    jobs: usize,
) -> Vec<(P, String)> {
    let words = parallel_map(points, jobs, |point| match run_scenario_with(scenario, seed, manner(*point)) {
        Ok(day) => failures(&day).into_values().next(),
        Err(error) => Some(error),
    });
    points.iter().copied().zip(words).filter_map(|(point, words)| Some((point, words?))).collect()
}

//! A day killed everywhere: in each operation on the disk, and at each byte that a sender sends.
use crate::everywhere::{baseline_run, failures_at_each};
use crate::{Kill, KillPoint, Manner, ScenarioRun};
use nickelshed_model::Scenario;

/// Which of the points are played: each so-manieth.
#[derive(Clone, Copy, Debug)]
pub struct Stride {
    pub operations: u64,
    pub bytes: u64,
}

/// What a day came to that was killed at each of its points.
#[derive(Clone, Debug, Default)]
pub struct KillReport {
    pub operations: u64,
    pub bytes: u64,
    /// The points at which a rule was broken or a sender crashed, with the first words of each.
    pub failures: Vec<(Kill, String)>,
}

/// The points of a day that did so much, in their order.
fn points(run: &ScenarioRun, every: Stride) -> Vec<Kill> {
    let mut out = Vec::new();
    for (sender, done) in run.counters.iter().enumerate() {
        let operations = (0..done.operations).step_by(every.operations.max(1) as usize);
        // Nothing, half, and all of a write has been done, by turns.
        let parts = [0, 128, 256];
        out.extend(
            operations
                .enumerate()
                .map(|(i, at)| Kill { sender, cut: KillPoint::Operation(at, parts[i % 3]) }),
        );
        let bytes = (1..=done.bytes).step_by(every.bytes.max(1) as usize);
        out.extend(bytes.map(|at| Kill { sender, cut: KillPoint::Byte(at) }));
    }
    out
}

/// Plays a day once for each point, on so many threads.
///
/// # Errors
/// If the scenario can't be played, or is not clean without a kill.
pub fn run_kill_points(
    scenario: &Scenario,
    seed: u64,
    every: Stride,
    jobs: usize,
) -> Result<KillReport, String> {
    let whole = baseline_run(scenario, seed, "kill")?;
    let points = points(&whole, every);
    let manner = |kill| Manner { kill: Some(kill), ..Manner::default() };
    let failures = failures_at_each(scenario, seed, &points, manner, jobs);
    let operations = points.iter().filter(|k| matches!(k.cut, KillPoint::Operation(..))).count() as u64;
    Ok(KillReport { operations, bytes: points.len() as u64 - operations, failures })
}

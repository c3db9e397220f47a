//! Repeats a scenario run with one sender killed at each kill point: in each disk operation and at each byte
//! sent.
use crate::parallel_runs::{baseline_run, failures_at_each};
use crate::{Kill, KillPoint, RunOptions, ScenarioRun};
use nickelshed_model::Scenario;

/// Which kill points are run: every n-th operation and every n-th byte, counted within each sender.
#[derive(Clone, Copy, Debug)]
pub struct Stride {
    pub operations: u64,
    pub bytes: u64,
}

/// The result of the runs at all kill points.
#[derive(Clone, Debug, Default)]
pub struct KillReport {
    /// Runs with a kill in a disk operation.
    pub operations: u64,
    /// Runs with a kill at a byte sent.
    pub bytes: u64,
    /// The kill points at which a run failed, each with the description of its first failure.
    pub failures: Vec<(Kill, String)>,
}

/// Lists the kill points of a run, by sender.
fn kill_points(run: &ScenarioRun, stride: Stride) -> Vec<Kill> {
    let mut out = Vec::new();
    for (sender, counters) in run.counters.iter().enumerate() {
        let operations = (0..counters.operations).step_by(stride.operations.max(1) as usize);
        // In 256ths: of successive operations, a write is not done, half done or fully done in turn. Any
        // operation other than a write is done only at 256.
        let write_parts = [0, 128, 256];
        out.extend(
            operations
                .enumerate()
                .map(|(i, at)| Kill { sender, point: KillPoint::Operation(at, write_parts[i % 3]) }),
        );
        let bytes = (1..=counters.bytes).step_by(stride.bytes.max(1) as usize);
        out.extend(bytes.map(|at| Kill { sender, point: KillPoint::Byte(at) }));
    }
    out
}

/// Runs the scenario once for each kill point, on `jobs` threads.
///
/// # Errors
/// If the scenario cannot be run, or its run without a kill fails.
pub fn run_kill_points(
    scenario: &Scenario,
    seed: u64,
    stride: Stride,
    jobs: usize,
) -> Result<KillReport, String> {
    let baseline = baseline_run(scenario, seed, "kill")?;
    let points = kill_points(&baseline, stride);
    let options_for = |kill| RunOptions { kill: Some(kill), ..RunOptions::default() };
    let failures = failures_at_each(scenario, seed, &points, options_for, jobs);
    let operations = points.iter().filter(|k| matches!(k.point, KillPoint::Operation(..))).count() as u64;
    Ok(KillReport { operations, bytes: points.len() as u64 - operations, failures })
}

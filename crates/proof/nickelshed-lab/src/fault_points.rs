//! Repeats a short scenario run with one fault injected at each fault point: just before or just after each
//! interaction of a sender with its host. The process affects its surroundings and is affected by them only
//! in these interactions, so a fault that arrives between any two statements of the sender takes effect at
//! one of these points.
use crate::parallel_runs::{baseline_run, failures_at_each};
use crate::process_run::FaultPoint;
use crate::{RunOptions, ScenarioRun};
use nickelshed_model::Scenario;

/// The fault that is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FaultPointAction {
    /// SIGTERM, then SIGKILL at the end of the termination grace period.
    Terminate,
    /// SIGKILL; the next process starts with the same state folder.
    Kill,
    /// SIGHUP, with a configuration that moves discovery to another address.
    Hangup,
    /// The process is suspended long enough for answers, retry-after waits and drains to arrive meanwhile.
    Pause,
    /// All clients that wait for an answer close their connections.
    ClientsLeave,
    /// All endpoints reset all their connections.
    Resets,
    /// All endpoints close their idle connections.
    IdleCloses,
    /// For one second all endpoints close each new connection as soon as they accept it.
    EndsNew,
    /// Discovery does not answer for four seconds.
    Mute,
    /// Half of the destinations drain an endpoint.
    Drain,
    /// Half of the destinations reject all calls for three seconds and then recover in slow start.
    Shut,
    /// Half of the destinations accept calls without answering for three seconds and then recover in slow
    /// start.
    Silent,
}

impl FaultPointAction {
    pub const ALL: [FaultPointAction; 12] = [
        FaultPointAction::Terminate,
        FaultPointAction::Kill,
        FaultPointAction::Hangup,
        FaultPointAction::Pause,
        FaultPointAction::ClientsLeave,
        FaultPointAction::Resets,
        FaultPointAction::IdleCloses,
        FaultPointAction::EndsNew,
        FaultPointAction::Mute,
        FaultPointAction::Drain,
        FaultPointAction::Shut,
        FaultPointAction::Silent,
    ];
}

/// A fault injected just before or just after a step of one sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultInjection {
    pub sender: usize,
    /// Number of the step, counted over all processes of the sender from 0.
    pub step: u64,
    /// Whether the fault is injected just after the step instead of just before it.
    pub after: bool,
    pub fault: FaultPointAction,
}

impl FaultInjection {
    pub(crate) fn fault_point(&self) -> FaultPoint {
        FaultPoint { step: self.step, after: self.after, kills_process: self.fault == FaultPointAction::Kill }
    }
}

/// The result of the runs with injected faults.
#[derive(Clone, Debug, Default)]
pub struct FaultPointReport {
    /// Steps of all senders in the run without an injected fault.
    pub steps: u64,
    /// Runs with an injected fault.
    pub runs: usize,
    /// The injections that made a run fail, each with the description of its first failure.
    pub failures: Vec<(FaultInjection, String)>,
}

/// Lists every fault at every fault point of a run, keeping each `every`th from the index `first` on.
fn list_injections(run: &ScenarioRun, every: usize, first: usize) -> Vec<FaultInjection> {
    let mut out = Vec::new();
    for (sender, counters) in run.counters.iter().enumerate() {
        for step in 0..counters.steps {
            for after in [false, true] {
                out.extend(FaultPointAction::ALL.map(|fault| FaultInjection { sender, step, after, fault }));
            }
        }
    }
    out.into_iter().skip(first).step_by(every.max(1)).collect()
}

/// Runs the scenario once for each fault at each fault point, or each `every`th of these from the index
/// `first` on, on `jobs` threads.
///
/// # Errors
/// If the scenario cannot be run, or its run without an injected fault fails.
pub fn run_fault_points(
    scenario: &Scenario,
    seed: u64,
    every: usize,
    first: usize,
    jobs: usize,
) -> Result<FaultPointReport, String> {
    let baseline = baseline_run(scenario, seed, "fault")?;
    let injections = list_injections(&baseline, every, first);
    let options_for = |injection| RunOptions { fault_point: Some(injection), ..RunOptions::default() };
    let failures = failures_at_each(scenario, seed, &injections, options_for, jobs);
    Ok(FaultPointReport {
        steps: baseline.counters.iter().map(|counters| counters.steps).sum(),
        runs: injections.len(),
        failures,
    })
}

//! A short day played once for each place at which a sender meets its host, with something happening just there: what comes
//! between two lines comes at one of these places, as nothing else of the process is seen or reached from outside.
use crate::everywhere::{baseline_run, failures_at_each};
use crate::life::FaultPoint;
use crate::{Manner, ScenarioRun};
use nickelshed_model::Scenario;

/// What happens there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InjectedFault {
    /// SIGTERM, and SIGKILL when it is due.
    Terminate,
    /// SIGKILL; the folder is there at the next start.
    Kill,
    /// SIGHUP, with discovery moved to another address.
    Hangup,
    /// The process stands still for so long that answers, waits and drains come meanwhile.
    Pause,
    /// Every client that waits for an answer closes its connection.
    ClientsLeave,
    /// All endpoints reset all their connections.
    Resets,
    /// All endpoints close the connections that stand idle.
    IdleCloses,
    /// For a second all endpoints end new connections as they take them.
    EndsNew,
    /// Discovery says nothing for some seconds.
    Mute,
    /// Half of the destinations drain an endpoint.
    Drain,
    /// Half of the destinations turn all away for three seconds, and come back cold.
    Shut,
    /// Half of the destinations take calls and say nothing for three seconds, and come back cold.
    Silent,
}

impl InjectedFault {
    pub const ALL: [InjectedFault; 12] = [
        InjectedFault::Terminate,
        InjectedFault::Kill,
        InjectedFault::Hangup,
        InjectedFault::Pause,
        InjectedFault::ClientsLeave,
        InjectedFault::Resets,
        InjectedFault::IdleCloses,
        InjectedFault::EndsNew,
        InjectedFault::Mute,
        InjectedFault::Drain,
        InjectedFault::Shut,
        InjectedFault::Silent,
    ];
}

/// A happening at a place of one sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultInjection {
    pub sender: usize,
    pub step: u64,
    pub after: bool,
    pub fault: InjectedFault,
}

impl FaultInjection {
    pub(crate) fn fault_point(&self) -> FaultPoint {
        FaultPoint { step: self.step, after: self.after, kills_process: self.fault == InjectedFault::Kill }
    }
}

/// What a day came to that was crossed at each of its places.
#[derive(Clone, Debug, Default)]
pub struct FaultPointReport {
    /// Steps of all senders in the day without a happening.
    pub steps: u64,
    pub runs: usize,
    /// Those in which a rule was broken or a sender crashed, with the first words of each.
    pub failures: Vec<(FaultInjection, String)>,
}

/// The places of a day that did so much: each so-manieth, from `first` on.
fn fault_points(run: &ScenarioRun, every: usize, first: usize) -> Vec<FaultInjection> {
    let mut out = Vec::new();
    for (sender, done) in run.counters.iter().enumerate() {
        for step in 0..done.steps {
            for after in [false, true] {
                out.extend(InjectedFault::ALL.map(|fault| FaultInjection { sender, step, after, fault }));
            }
        }
    }
    out.into_iter().skip(first).step_by(every.max(1)).collect()
}

/// Plays a day once for each of its places and happenings, or each so-manieth of them, on so many threads.
///
/// # Errors
/// If the scenario can't be played, or is not clean without a happening.
pub fn run_fault_points(
    scenario: &Scenario,
    seed: u64,
    every: usize,
    first: usize,
    jobs: usize,
) -> Result<FaultPointReport, String> {
    let baseline = baseline_run(scenario, seed, "happening")?;
    let points = fault_points(&baseline, every, first);
    let manner = |crossing| Manner { crossing: Some(crossing), ..Manner::default() };
    let failures = failures_at_each(scenario, seed, &points, manner, jobs);
    Ok(FaultPointReport {
        steps: baseline.counters.iter().map(|done| done.steps).sum(),
        runs: points.len(),
        failures,
    })
}

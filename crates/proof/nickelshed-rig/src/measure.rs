//! Computes the tables of `docs/design/membership.md`: how long views take to converge, what that costs, and
//! how many failures are declared falsely.
use crate::script::{Fault, FaultKind, MemberSet, Script};
use crate::simulation::{simulate, RunReport, SECOND};
use nickelshed_config::units::{Percent, Period};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// What happens to a running fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Join,
    Crash,
    /// Two halves are partitioned for 30 s; the time is measured from the end of the partition.
    Healed,
    NoFault,
}

/// Returns a script in which the event happens at 20 s. `loss` is the fraction of datagrams that is lost
/// throughout.
#[must_use]
pub fn single_event_script(members: usize, loss: f64, event: Event, seed: u64, length: Period) -> Script {
    let fault = |kind, targets: Vec<usize>, duration| Fault {
        kind,
        start: Period::ms(20_000),
        duration: Period::ms(duration),
        targets: MemberSet(targets),
        peers: None,
        one_way: false,
        loss: Percent(0.0),
        extra_delay: Period::ms(0),
        folder_lost: false,
    };
    let last = members - 1;
    let faults = match event {
        Event::Join => vec![fault(FaultKind::Join, vec![last], 0)],
        Event::Crash => vec![fault(FaultKind::Kill, vec![last], 0)],
        Event::Healed => vec![fault(FaultKind::Cut, (0..members / 2).collect(), 30_000)],
        Event::NoFault => Vec::new(),
    };
    Script { seed, members, sites: 2, length, loss: Percent(loss), faults, ..Script::default() }
}

/// Returns the seconds from the last start or end of a fault until all views matched the ground truth; `None`
/// if they did not before the end of the run.
#[must_use]
pub fn convergence_seconds(report: &RunReport) -> Option<f64> {
    report
        .convergence
        .last()
        .and_then(|(_, duration)| *duration)
        .map(|duration| duration as f64 / SECOND as f64)
}

/// Simulates the scripts of the seeds from 1 to `seeds` on `jobs` threads. Returns the reports in the order
/// of the seeds.
pub fn simulate_seeds(seeds: u64, jobs: usize, script_for: impl Fn(u64) -> Script + Sync) -> Vec<RunReport> {
    let (next, reports) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds {
                    return;
                }
                let report = simulate(&script_for(seed + 1));
                reports.lock().expect("no simulation panics while it holds the lock").push((seed, report));
            });
        }
    });
    let mut reports = reports.into_inner().expect("all threads have ended");
    reports.sort_by_key(|(seed, _)| *seed);
    reports.into_iter().map(|(_, report)| report).collect()
}

/// Returns the quantile `q`, from 0 to 1, of ascending values; NaN if there are none.
#[must_use]
pub fn quantile(sorted: &[f64], q: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((q * last as f64).ceil() as usize).copied().unwrap_or(f64::NAN)
}

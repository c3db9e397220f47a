//! The tables of `docs/design/membership.md`: how long views take to settle, what that costs, and what is said wrongly.
use crate::play::{simulate, RunReport, SECOND};
use crate::script::{Fault, FaultKind, MemberSet, Script};
use nickelshed_config::units::{Percent, Period};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// What befalls a fleet once it is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Join,
    Crash,
    /// Two halves, for half a minute; the time is that after they are healed.
    Healed,
    NoFault,
}

/// A script of one such event, at 20 s.
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

/// Seconds until all views were right after the last thing that happened; none if they never were.
#[must_use]
pub fn convergence_seconds(report: &RunReport) -> Option<f64> {
    report
        .convergence
        .last()
        .and_then(|(_, seconds)| *seconds)
        .map(|duration| duration as f64 / SECOND as f64)
}

/// Plays one script for each of so many seeds, on all cores; days in the order of their seeds.
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
                reports.lock().expect("no player panics while it holds it").push((seed, report));
            });
        }
    });
    let mut reports = reports.into_inner().expect("all players have ended");
    reports.sort_by_key(|(seed, _)| *seed);
    reports.into_iter().map(|(_, report)| report).collect()
}

/// The value below which this part of them lies.
#[must_use]
pub fn quantile(sorted: &[f64], q: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((q * last as f64).ceil() as usize).copied().unwrap_or(f64::NAN)
}

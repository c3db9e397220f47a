//! The tables of `docs/design/membership.md`: how long views take to settle, what that costs, and what is said wrongly.
use crate::play::{play, Day, SECOND};
use crate::script::{Fault, Kind, Script, Who};
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
    Nothing,
}

/// A script of one such event, at 20 s.
#[must_use]
pub fn script(members: usize, lost: f64, event: Event, seed: u64, length: Period) -> Script {
    let fault = |kind, who: Vec<usize>, lasts| Fault {
        kind,
        at: Period::ms(20_000),
        lasts: Period::ms(lasts),
        who: Who(who),
        to: None,
        one_way: false,
        part: Percent(0.0),
        by: Period::ms(0),
        folder_lost: false,
    };
    let last = members - 1;
    let faults = match event {
        Event::Join => vec![fault(Kind::Join, vec![last], 0)],
        Event::Crash => vec![fault(Kind::Kill, vec![last], 0)],
        Event::Healed => vec![fault(Kind::Cut, (0..members / 2).collect(), 30_000)],
        Event::Nothing => Vec::new(),
    };
    Script { seed, members, sites: 2, length, lost: Percent(lost), faults, ..Script::default() }
}

/// Seconds until all views were right after the last thing that happened; none if they never were.
#[must_use]
pub fn settled(day: &Day) -> Option<f64> {
    day.settled.last().and_then(|(_, took)| *took).map(|t| t as f64 / SECOND as f64)
}

/// Plays one script for each of so many seeds, on all cores; days in the order of their seeds.
pub fn many(seeds: u64, jobs: usize, make: impl Fn(u64) -> Script + Sync) -> Vec<Day> {
    let (next, days) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds {
                    return;
                }
                let day = play(&make(seed + 1));
                days.lock().expect("no player panics while it holds it").push((seed, day));
            });
        }
    });
    let mut days = days.into_inner().expect("all players have ended");
    days.sort_by_key(|(seed, _)| *seed);
    days.into_iter().map(|(_, day)| day).collect()
}

/// The value below which this part of them lies.
#[must_use]
pub fn quantile(sorted: &[f64], part: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((part * last as f64).ceil() as usize).copied().unwrap_or(f64::NAN)
}

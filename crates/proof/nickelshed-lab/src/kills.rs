//! A day killed everywhere: in each operation on the disk, and at each byte that a sender sends.
use crate::{play_so, Cut, Day, Kill, Manner};
use nickelshed_model::Scenario;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Which of the points are played: each so-manieth.
#[derive(Clone, Copy, Debug)]
pub struct Every {
    pub operations: u64,
    pub bytes: u64,
}

/// What a day came to that was killed at each of its points.
#[derive(Clone, Debug, Default)]
pub struct Killed {
    pub operations: u64,
    pub bytes: u64,
    /// The points at which a rule was broken or a sender crashed, with the first words of each.
    pub finds: Vec<(Kill, String)>,
}

/// The points of a day that did so much, in their order.
fn points(day: &Day, every: Every) -> Vec<Kill> {
    let mut out = Vec::new();
    for (sender, done) in day.done.iter().enumerate() {
        let operations = (0..done.operations).step_by(every.operations.max(1) as usize);
        // Nothing, half, and all of a write has been done, by turns.
        let parts = [0, 128, 256];
        out.extend(
            operations.enumerate().map(|(i, at)| Kill { sender, cut: Cut::Operation(at, parts[i % 3]) }),
        );
        let bytes = (1..=done.bytes).step_by(every.bytes.max(1) as usize);
        out.extend(bytes.map(|at| Kill { sender, cut: Cut::Byte(at) }));
    }
    out
}

/// Plays a day once for each point, on so many threads.
///
/// # Errors
/// If the scenario can't be played, or is not clean without a kill.
pub fn kills(scenario: &Scenario, seed: u64, every: Every, jobs: usize) -> Result<Killed, String> {
    let whole = play_so(scenario, seed, Manner::default())?;
    if let Some(words) = crate::faults(&whole).into_values().next() {
        return Err(format!("the day is not clean without a kill: {words}"));
    }
    let points = points(&whole, every);
    let next = AtomicUsize::new(0);
    let finds = Mutex::new(Vec::new());
    let work = || loop {
        let at = next.fetch_add(1, Ordering::SeqCst);
        let Some(kill) = points.get(at) else { return };
        let manner = Manner { kill: Some(*kill), ..Manner::default() };
        let words = match play_so(scenario, seed, manner) {
            Ok(day) => crate::faults(&day).into_values().next(),
            Err(error) => Some(error),
        };
        if let Some(words) = words {
            finds.lock().unwrap_or_else(|e| e.into_inner()).push((at, *kill, words));
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(work);
        }
    });
    let mut finds = finds.into_inner().unwrap_or_else(|e| e.into_inner());
    finds.sort_by_key(|(at, ..)| *at);
    let operations = points.iter().filter(|k| matches!(k.cut, Cut::Operation(..))).count() as u64;
    Ok(Killed {
        operations,
        bytes: points.len() as u64 - operations,
        finds: finds.into_iter().map(|(_, kill, words)| (kill, words)).collect(),
    })
}

//! A day killed everywhere: in each operation on the disk, and at each byte that a sender sends.
use crate::everywhere::{clean, everywhere};
use crate::{Cut, Day, Kill, RunOptions};
use nickelshed_model::Scenario;

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
            operations.enumerate().map(|(i, at)| Kill { sender, point: Cut::Operation(at, parts[i % 3]) }),
        );
        let bytes = (1..=done.bytes).step_by(every.bytes.max(1) as usize);
        out.extend(bytes.map(|at| Kill { sender, point: Cut::Byte(at) }));
    }
    out
}

/// Plays a day once for each point, on so many threads.
///
/// # Errors
/// If the scenario can't be played, or is not clean without a kill.
pub fn kills(scenario: &Scenario, seed: u64, every: Every, jobs: usize) -> Result<Killed, String> {
    let whole = clean(scenario, seed, "kill")?;
    let points = points(&whole, every);
    let manner = |kill| RunOptions { kill: Some(kill), ..RunOptions::default() };
    let finds = everywhere(scenario, seed, &points, manner, jobs);
    let operations = points.iter().filter(|k| matches!(k.point, Cut::Operation(..))).count() as u64;
    Ok(Killed { operations, bytes: points.len() as u64 - operations, finds })
}

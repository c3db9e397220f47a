//! A short day played once for each place at which a sender meets its host, with something happening just there: what comes
//! between two lines comes at one of these places, as nothing else of the process is seen or reached from outside.
use crate::everywhere::{clean, everywhere};
use crate::life::Mark;
use crate::{Day, RunOptions};
use nickelshed_model::Scenario;

/// What happens there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Happening {
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

impl Happening {
    pub const ALL: [Happening; 12] = [
        Happening::Terminate,
        Happening::Kill,
        Happening::Hangup,
        Happening::Pause,
        Happening::ClientsLeave,
        Happening::Resets,
        Happening::IdleCloses,
        Happening::EndsNew,
        Happening::Mute,
        Happening::Drain,
        Happening::Shut,
        Happening::Silent,
    ];
}

/// A happening at a place of one sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crossing {
    pub sender: usize,
    pub step: u64,
    pub after: bool,
    pub happening: Happening,
}

impl Crossing {
    pub(crate) fn mark(&self) -> Mark {
        Mark { step: self.step, after: self.after, kills: self.happening == Happening::Kill }
    }
}

/// What a day came to that was crossed at each of its places.
#[derive(Clone, Debug, Default)]
pub struct Crossed {
    /// Steps of all senders in the day without a happening.
    pub steps: u64,
    pub played: usize,
    /// Those in which a rule was broken or a sender crashed, with the first words of each.
    pub finds: Vec<(Crossing, String)>,
}

/// The places of a day that did so much: each so-manieth, from `first` on.
fn places(day: &Day, every: usize, first: usize) -> Vec<Crossing> {
    let mut out = Vec::new();
    for (sender, done) in day.done.iter().enumerate() {
        for step in 0..done.steps {
            for after in [false, true] {
                out.extend(Happening::ALL.map(|happening| Crossing { sender, step, after, happening }));
            }
        }
    }
    out.into_iter().skip(first).step_by(every.max(1)).collect()
}

/// Plays a day once for each of its places and happenings, or each so-manieth of them, on so many threads.
///
/// # Errors
/// If the scenario can't be played, or is not clean without a happening.
pub fn crossings(
    scenario: &Scenario,
    seed: u64,
    every: usize,
    first: usize,
    jobs: usize,
) -> Result<Crossed, String> {
    let whole = clean(scenario, seed, "happening")?;
    let places = places(&whole, every, first);
    let manner = |crossing| RunOptions { fault_point: Some(crossing), ..RunOptions::default() };
    let finds = everywhere(scenario, seed, &places, manner, jobs);
    Ok(Crossed { steps: whole.done.iter().map(|done| done.steps).sum(), played: places.len(), finds })
}

//! When discovery is asked. No I/O: what became of an ask comes in, how long to leave discovery alone goes out.
//!
//! A sender's own agent answers at once, and what it has been sent counts as told: it is asked in the moment of the
//! start, and again soon after a failure, or the sender would go on by a list that it counts as knowing better than.
//!
//! A change counts as told 6 s after discovery had it and could be reached, whoever is asked and whatever failed before.
//! So an ask that was begun as discovery came back and is lost, the pause after it and the next answer take less than that.
//!
//! A discovery that all share, with more calls than it can answer, turns some away, and those cost it as much as the
//! others. One sender that asks on at once does no harm; a hundred keep it down for good. So the pauses are drawn between
//! nought and a ceiling that stands for the whole fleet: as many times `EACH` as there are senders, doubled with each
//! failure in a row, up to `MOST_SHARED`. Only one that many share and that turns this sender away is left alone for
//! longer: with so many, asks within six seconds are what keeps it down, and nobody would be told at all. A list that is
//! held already need not be asked for in the moment of the start either, when all the others start too.
use nickelshed_settings::DiscoveryMode;
use std::time::Duration;

/// Of the time in which the whole fleet asks a shared discovery once, each sender's part.
const EACH: Duration = Duration::from_millis(50);
const LONGEST_ROUND: Duration = Duration::from_secs(20);
/// The least ceiling after a failure, and the highest by who is asked: news count as told within seconds.
const LEAST: Duration = Duration::from_millis(100);
const MOST_SHARED: Duration = Duration::from_millis(2_800);
const MOST_AGENT: Duration = Duration::from_millis(400);
/// The ceiling after a shared discovery has turned this sender away, where a round of all takes longer than that: so many
/// rounds, and no longer than this.
const CROWDED_ROUNDS: u32 = 2;
const MOST_CROWDED: Duration = Duration::from_secs(40);
/// How long an answer may take beyond the wait that it was asked for. An agent's comes at once; a shared discovery
/// keeps calls that it will turn away for two seconds.
const GRACE: Duration = Duration::from_millis(3_000);
const GRACE_AGENT: Duration = Duration::from_millis(1_000);

/// The same for an ask of an agent that has fallen silent: what it gets when it is back counts at once, and an ask that was
/// begun in the silence may never be answered.
const GRACE_SILENT: Duration = Duration::from_millis(500);
/// The same for a watch of a shared discovery after a failure, and how long such a watch waits.
const GRACE_AGAIN: Duration = Duration::from_millis(2_000);
const WAIT_AGAIN: Duration = Duration::from_millis(1_000);
/// How long a watch waits. Not long: one that is open as discovery goes down may never be answered.
const WAIT: Duration = Duration::from_secs(5);
/// The longest that a shared discovery is left alone which answers watches early with nothing.
const EARLY: Duration = Duration::from_secs(5);

/// Why an ask had no list for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Discovery was reached, and answered with something else than a list.
    TurnedAway,
    /// It was silent, or not reached.
    Unreached,
}

/// What became of the last asks of one sender.
#[derive(Debug)]
pub struct Asking {
    lister: DiscoveryMode,
    /// The time in which the whole fleet asks once.
    round: Duration,
    /// In a row.
    failures: u32,
    random: fastrand::Rng,
}

impl Asking {
    pub fn new(lister: DiscoveryMode, senders: usize, seed: u64) -> Asking {
        let others = u32::try_from(senders.saturating_sub(1)).unwrap_or(u32::MAX);
        let round = match lister {
            DiscoveryMode::Agent => Duration::ZERO,
            DiscoveryMode::Shared => EACH.saturating_mul(others).min(LONGEST_ROUND),
        };
        Asking { lister, round, failures: 0, random: fastrand::Rng::with_seed(seed) }
    }

    /// How long after the start a sender that holds a list first asks what has changed since.
    pub fn first(&mut self) -> Duration {
        self.round.mul_f64(self.random.f64())
    }

    /// How much longer than it was asked to wait an answer may take before the ask has failed. The first one that is a
    /// `watch`: it was let in, so it is not one that a crowd has turned away, and one that says nothing when its wait is
    /// over is broken, whoever is asked. What it missed counts as told two seconds after that.
    pub fn grace(&self, watch: bool) -> Duration {
        match self.lister {
            DiscoveryMode::Agent if watch && self.failures > 0 => GRACE_SILENT,
            DiscoveryMode::Shared if watch && self.failures > 0 => GRACE_AGAIN,
            DiscoveryMode::Shared if !watch => GRACE,
            _ => GRACE_AGENT,
        }
    }

    /// How long the next watch is to wait for news. After a failure an agent is asked for what it has: it answers that at
    /// once and at no cost, or is silent still. A shared discovery is asked for a short watch, which goes on if answered.
    pub fn wait(&self) -> Duration {
        match self.lister {
            DiscoveryMode::Agent if self.failures > 0 => Duration::ZERO,
            DiscoveryMode::Shared if self.failures > 0 => WAIT_AGAIN,
            _ => WAIT,
        }
    }

    /// How long to leave discovery alone after a watch that fell silent: it is opened anew before what it missed counts.
    /// If that fails too, there is a crowd, or discovery is down: then as after any ask that failed.
    pub fn lost(&mut self) -> Duration {
        if self.failures > 0 {
            return self.failed(Failure::Unreached);
        }
        self.failures = 1;
        LEAST / 2 + self.round.clamp(LEAST, MOST_AGENT).mul_f64(self.random.f64())
    }

    /// How long to leave discovery alone after a watch that was answered long before its wait was over, with nothing: asked
    /// on at once it would be asked as fast as it can answer. At an agent the watch goes on (200 ms); who asks a shared one
    /// later begins a new watch, and what changed in between is told by that.
    pub fn early(&mut self) -> Duration {
        match self.lister {
            DiscoveryMode::Agent => LEAST,
            DiscoveryMode::Shared => LEAST + self.round.min(EARLY).mul_f64(self.random.f64()),
        }
    }

    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// How long to leave discovery alone after an ask that failed.
    pub fn failed(&mut self, failure: Failure) -> Duration {
        let doubled = self.round.max(LEAST).saturating_mul(1 << self.failures.min(16));
        let crowded = failure == Failure::TurnedAway && self.round > MOST_SHARED;
        let ceiling = match self.lister {
            DiscoveryMode::Agent => doubled.min(MOST_AGENT),
            DiscoveryMode::Shared if crowded => (CROWDED_ROUNDS * self.round).min(MOST_CROWDED),
            DiscoveryMode::Shared => doubled.min(MOST_SHARED),
        };
        self.failures = self.failures.saturating_add(1);
        // Never at once: an ask that fails in no time would be repeated as fast as the process can.
        LEAST / 2 + ceiling.mul_f64(self.random.f64())
    }
}

#[cfg(test)]
mod tests;

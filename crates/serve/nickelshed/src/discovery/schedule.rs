//! Decides when discovery is asked. It does no I/O: results of requests come in, pauses go out.
//!
//! A sender's own agent answers at once, and the sender is expected to know whatever the agent has been sent.
//! It is therefore asked immediately at startup and again soon after a failure; otherwise the sender would
//! act on an outdated list while it is expected to know better.
//!
//! A sender is expected to act on a change at the latest `MAX_UPDATE_DELAY` after discovery had the change and
//! could be reached, in either mode and whatever failed before. A pause and the answer that follows it must
//! take less than that together, so pauses are the shorter the later discovery's answers are.
//!
//! A shared discovery that gets more requests than it can answer rejects some, and rejected requests may cost
//! it as much work as the others. It can answer the whole fleet once in two to eight seconds, whatever the size
//! of the fleet. Pauses are therefore drawn at random, and their ceiling grows with the size of the fleet and
//! with each consecutive failure: `CYCLE_TIME_PER_SENDER` times the number of senders, doubled with each
//! failure. No pause may exceed what the six seconds leave, however many senders there are, because a rejection
//! says nothing about how long discovery will reject. Once the ceiling after a rejection has reached its
//! maximum, pauses are drawn from the upper quarter of their range, which is the lowest rate of requests that
//! keeps to the six seconds, and low enough to let an overloaded discovery recover. For the same reason a
//! sender that has a cached list does not ask right at startup, when all the others may be starting too.
use nickelshed_settings::DiscoveryMode;
use std::time::Duration;

/// The time that each sender adds to a polling cycle, in which the whole fleet asks a shared discovery once.
const CYCLE_TIME_PER_SENDER: Duration = Duration::from_millis(50);
/// The lowest backoff ceiling, and the highest in each mode. They are low because a sender is expected to
/// know an update within seconds.
const MIN_BACKOFF_CEILING: Duration = Duration::from_millis(100);
const MAX_BACKOFF_SHARED: Duration = Duration::from_millis(2_800);
const MAX_BACKOFF_AGENT: Duration = Duration::from_millis(400);
/// The lowest pause after a rejection, as a fraction of the ceiling, once that has reached its maximum.
const MIN_OVERLOAD_PAUSE_FRACTION: f64 = 0.75;

/// The longest time in which the sender must learn of a change, once discovery has it and can be reached.
pub const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);
/// What may pass in addition to pauses, waits and the time that discovery takes: the process may be held up for
/// 150 ms, and connecting takes time.
pub const PROCESSING_TIME: Duration = Duration::from_millis(250);
/// An overloaded discovery takes up to this long to answer a request or to reject it.
const OVERLOADED_ANSWER_TIME: Duration = Duration::from_secs(2);

/// How long a watch waits for changes. It is short because a watch that is open when discovery fails may
/// never be answered.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// The shortest wait of a watch that replaces one without an answer at a shared discovery. Waits are drawn at
/// random, so that the watches of the fleet do not stay aligned while discovery is silent.
const MIN_REPLACEMENT_WAIT: Duration = Duration::from_millis(3_500);
/// Bounds of the shortest wait of a watch at a discovery whose answers are late, which depends on the size of the
/// fleet. With shorter waits than the first one, watches would be abandoned for others before their answers come.
const MIN_SLOW_WATCH_WAIT: Duration = Duration::from_millis(1_250);
const MAX_SLOW_WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// The full list is requested again if it has not begun to arrive within this time, which depends on the size
/// of the fleet: a request that an overloaded discovery still holds is not to be doubled.
const MIN_FULL_LIST_INTERVAL: Duration = Duration::from_millis(1_000);
const MAX_FULL_LIST_INTERVAL: Duration = Duration::from_millis(2_100);

/// Why a request did not return a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Discovery answered with a status other than 200.
    Rejected,
    /// Discovery did not answer, could not be reached, or did not send a valid list.
    Unavailable,
    /// The list takes more memory than the sender may use for one.
    ListTooLarge,
}

/// The timing of one sender's requests, from the results of its last ones.
#[derive(Debug)]
pub struct RequestSchedule {
    mode: DiscoveryMode,
    /// The time in which the whole fleet asks discovery once; zero for an agent.
    polling_cycle: Duration,
    /// Consecutive failures.
    failures: u32,
    random: fastrand::Rng,
}

impl RequestSchedule {
    pub fn new(mode: DiscoveryMode, sender_count: usize, seed: u64) -> RequestSchedule {
        let others = u32::try_from(sender_count.saturating_sub(1)).unwrap_or(u32::MAX);
        let polling_cycle = match mode {
            DiscoveryMode::Agent => Duration::ZERO,
            DiscoveryMode::Shared => CYCLE_TIME_PER_SENDER.saturating_mul(others),
        };
        RequestSchedule { mode, polling_cycle, failures: 0, random: fastrand::Rng::with_seed(seed) }
    }

    pub fn mode(&self) -> DiscoveryMode {
        self.mode
    }

    /// Whether the last request failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// The delay after startup until a sender with a cached list first asks for changes.
    pub fn initial_delay(&mut self) -> Duration {
        self.polling_cycle.min(longest_pause(Duration::ZERO)).mul_f64(self.random.f64())
    }

    /// How long the next watch waits for changes, when discovery has been silent for `silence`.
    pub fn watch_wait(&mut self, silence: Duration) -> Duration {
        let is_replacement = self.is_failing() || silence > WATCH_WAIT;
        match self.mode {
            DiscoveryMode::Shared if is_replacement => self.replacement_wait(),
            _ => WATCH_WAIT,
        }
    }

    /// The shortest wait of a watch at a discovery whose answers are late. A large fleet would overload it with
    /// shorter ones.
    pub fn shortest_watch_wait(&self) -> Duration {
        self.polling_cycle.clamp(MIN_SLOW_WATCH_WAIT, MAX_SLOW_WATCH_WAIT)
    }

    fn replacement_wait(&mut self) -> Duration {
        MIN_REPLACEMENT_WAIT + (WATCH_WAIT - MIN_REPLACEMENT_WAIT).mul_f64(self.random.f64())
    }

    /// How long the full list may take to arrive before it is requested again. `is_repeated` tells whether an
    /// earlier request for it is outstanding.
    pub fn full_list_interval(&mut self, is_repeated: bool) -> Duration {
        match self.mode {
            DiscoveryMode::Agent => MIN_FULL_LIST_INTERVAL,
            DiscoveryMode::Shared if is_repeated => self.replacement_wait(),
            DiscoveryMode::Shared => self.polling_cycle.clamp(MIN_FULL_LIST_INTERVAL, MAX_FULL_LIST_INTERVAL),
        }
    }

    /// The pause after a poll of an agent got no answer.
    pub fn poll_pause(&mut self) -> Duration {
        self.shortest_pause() + MAX_BACKOFF_AGENT.mul_f64(self.random.f64())
    }

    /// The shortest pause of all. Never zero: a request that fails immediately would otherwise be repeated as
    /// fast as the process can.
    pub fn shortest_pause(&self) -> Duration {
        MIN_BACKOFF_CEILING / 2
    }

    /// The pause after a watch returned without changes long before the end of its wait. Without a pause,
    /// requests would follow one another as fast as discovery can answer them. After the pause at an agent
    /// (less than 200 ms) the next request still counts as the same watch. At a shared discovery it is a new
    /// watch, whose answer includes what changed in between. Answers come `answer_delay` late.
    pub fn premature_return(&mut self, answer_delay: Duration) -> Duration {
        match self.mode {
            DiscoveryMode::Agent => MIN_BACKOFF_CEILING,
            DiscoveryMode::Shared => {
                let longest = longest_pause(answer_delay).saturating_sub(MIN_BACKOFF_CEILING);
                MIN_BACKOFF_CEILING + self.polling_cycle.min(longest).mul_f64(self.random.f64())
            }
        }
    }

    /// Records that discovery sent a list.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// The pause after a failed request. Answers come `answer_delay` late; a rejection came `elapsed` after its
    /// request.
    pub fn failed(&mut self, failure: Failure, answer_delay: Duration, elapsed: Duration) -> Duration {
        // Discovery may have decided on a rejection when the request reached it, unless it is overloaded.
        let is_late = failure == Failure::Rejected && elapsed > OVERLOADED_ANSWER_TIME + PROCESSING_TIME;
        let rejection_delay = if is_late { elapsed } else { Duration::ZERO };
        let longest = longest_pause(answer_delay.max(rejection_delay)).saturating_sub(rejection_delay);
        let doubled = self.polling_cycle.max(MIN_BACKOFF_CEILING).saturating_mul(1 << self.failures.min(16));
        let ceiling = match self.mode {
            _ if failure == Failure::ListTooLarge => MAX_BACKOFF_SHARED,
            DiscoveryMode::Agent => doubled.min(MAX_BACKOFF_AGENT),
            DiscoveryMode::Shared if failure == Failure::Rejected => doubled,
            DiscoveryMode::Shared => doubled.min(MAX_BACKOFF_SHARED),
        };
        let ceiling = ceiling.min(longest);
        let is_overload = failure == Failure::Rejected && ceiling == longest;
        let lowest = if is_overload { MIN_OVERLOAD_PAUSE_FRACTION } else { 0.0 };
        self.failures = self.failures.saturating_add(1);
        self.shortest_pause() + ceiling.mul_f64(lowest + (1.0 - lowest) * self.random.f64())
    }
}

/// The longest delay of a request beyond the shortest pause, where answers come `answer_delay` late.
fn longest_pause(answer_delay: Duration) -> Duration {
    let answer_time = answer_delay.max(OVERLOADED_ANSWER_TIME);
    MAX_UPDATE_DELAY.saturating_sub(answer_time + PROCESSING_TIME + MIN_BACKOFF_CEILING / 2)
}

#[cfg(test)]
mod tests;

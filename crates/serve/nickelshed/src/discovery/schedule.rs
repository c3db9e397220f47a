//! Decides when discovery is asked. It does no I/O: results of requests come in, pauses go out.
//!
//! A sender's own agent answers at once, and the sender is expected to know whatever the agent has been sent.
//! It is therefore asked immediately at startup and again soon after a failure; otherwise the sender would
//! act on an outdated list while it is expected to know better.
//!
//! A sender is expected to act on a change at the latest 6 s after discovery had the change and could be
//! reached, in either mode and whatever failed before. Three steps together must take less than that: a
//! request that was sent as discovery recovered and is lost, the pause after it, and the next answer.
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
/// The longest delay of a request after startup with a cached list, after a premature answer, and after a
/// rejection. It leaves two seconds of the six for a slow answer.
const MAX_REQUEST_DELAY: Duration = Duration::from_millis(3_700);
/// The lowest pause after a rejection, as a fraction of the ceiling, once that is `MAX_REQUEST_DELAY`.
const MIN_OVERLOAD_PAUSE_FRACTION: f64 = 0.75;
/// How long an answer may take in addition to the requested wait. An agent answers at once; a shared
/// discovery holds requests for up to two seconds before it rejects them.
const ANSWER_TIMEOUT_SHARED: Duration = Duration::from_millis(3_000);
const ANSWER_TIMEOUT_AGENT: Duration = Duration::from_millis(1_000);

/// Answer timeout for a retried request to an agent. The sender is expected to know the agent's updates as
/// soon as the agent recovers, but a request that was sent during the outage may never be answered.
const RETRY_ANSWER_TIMEOUT_AGENT: Duration = Duration::from_millis(500);
/// Answer timeout of a watch retried at a shared discovery, and how long that watch waits for changes.
const RETRY_ANSWER_TIMEOUT_SHARED: Duration = Duration::from_millis(2_000);
const RETRY_WATCH_WAIT_SHARED: Duration = Duration::from_millis(1_000);
/// How long a watch waits for changes. It is short because a watch that is open when discovery fails may
/// never be answered.
const WATCH_WAIT: Duration = Duration::from_secs(5);

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

    /// The delay after startup until a sender with a cached list first asks for changes.
    pub fn initial_delay(&mut self) -> Duration {
        self.polling_cycle.min(MAX_REQUEST_DELAY).mul_f64(self.random.f64())
    }

    /// How long an answer may take in addition to the requested wait before the request has failed. A first
    /// watch without an answer at the end of its wait has failed in either mode: it had been admitted, so it
    /// is not one that an overloaded discovery rejects. The sender is expected to know what that watch missed
    /// two seconds later.
    pub fn answer_timeout(&self, is_watch: bool) -> Duration {
        match self.mode {
            DiscoveryMode::Agent if is_watch && self.failures > 0 => RETRY_ANSWER_TIMEOUT_AGENT,
            DiscoveryMode::Shared if is_watch && self.failures > 0 => RETRY_ANSWER_TIMEOUT_SHARED,
            DiscoveryMode::Shared if !is_watch => ANSWER_TIMEOUT_SHARED,
            _ => ANSWER_TIMEOUT_AGENT,
        }
    }

    /// How long the next watch waits for changes. After a failure, an agent is asked not to wait: it returns
    /// what it has at once and at no cost, or is still unavailable. A shared discovery is asked for a short
    /// watch, which continues normally once it is answered.
    pub fn watch_wait(&self) -> Duration {
        match self.mode {
            DiscoveryMode::Agent if self.failures > 0 => Duration::ZERO,
            DiscoveryMode::Shared if self.failures > 0 => RETRY_WATCH_WAIT_SHARED,
            _ => WATCH_WAIT,
        }
    }

    /// The pause after a watch timed out. It is short enough to open a new watch before the sender is
    /// expected to know what the lost one missed. If the new one fails too, discovery is overloaded or down,
    /// and the pause is that of any failed request.
    pub fn watch_lost(&mut self) -> Duration {
        if self.failures > 0 {
            return self.failed(Failure::Unavailable);
        }
        self.failures = 1;
        MIN_BACKOFF_CEILING / 2
            + self.polling_cycle.clamp(MIN_BACKOFF_CEILING, MAX_BACKOFF_AGENT).mul_f64(self.random.f64())
    }

    /// The pause after a watch returned without changes long before the end of its wait. Without a pause,
    /// requests would follow one another as fast as discovery can answer them. After the pause at an agent
    /// (less than 200 ms) the next request still counts as the same watch. At a shared discovery it is a new
    /// watch, whose answer includes what changed in between.
    pub fn premature_return(&mut self) -> Duration {
        match self.mode {
            DiscoveryMode::Agent => MIN_BACKOFF_CEILING,
            DiscoveryMode::Shared => {
                let spread = self.polling_cycle.min(MAX_REQUEST_DELAY - MIN_BACKOFF_CEILING);
                MIN_BACKOFF_CEILING + spread.mul_f64(self.random.f64())
            }
        }
    }

    /// Records that discovery sent a list.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// The pause after a failed request.
    pub fn failed(&mut self, failure: Failure) -> Duration {
        let doubled = self.polling_cycle.max(MIN_BACKOFF_CEILING).saturating_mul(1 << self.failures.min(16));
        let ceiling = match self.mode {
            _ if failure == Failure::ListTooLarge => MAX_BACKOFF_SHARED,
            DiscoveryMode::Agent => doubled.min(MAX_BACKOFF_AGENT),
            DiscoveryMode::Shared if failure == Failure::Rejected => doubled.min(MAX_REQUEST_DELAY),
            DiscoveryMode::Shared => doubled.min(MAX_BACKOFF_SHARED),
        };
        let lowest = if ceiling == MAX_REQUEST_DELAY { MIN_OVERLOAD_PAUSE_FRACTION } else { 0.0 };
        self.failures = self.failures.saturating_add(1);
        // Never zero: a request that fails immediately would otherwise be repeated as fast as the process
        // can.
        MIN_BACKOFF_CEILING / 2 + ceiling.mul_f64(lowest + (1.0 - lowest) * self.random.f64())
    }
}

#[cfg(test)]
mod tests;

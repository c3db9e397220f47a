//! Outage and slow start of a route.
//!
//! Invariant: in any window of `Settings::overload_window` after a recovery, the number of calls from all n
//! senders that saw the outage stays within N + 2 x sqrt(N) + 2, except by chance. N is the overload multiple
//! times the current capacity of the route, in calls a second, times the window in seconds. No sender sees
//! the calls of another, so each keeps to N / n by itself, beginning at a random time.

use crate::api::*;
use crate::state::Route;

/// A route becomes suspect after this many consecutive failures, or above this moving average of failures.
pub const SUSPECT_FAILURES: u32 = 3;
const SUSPECT_FAILURE_RATIO: f64 = 0.6;
/// Moving average of failures above which a route in slow start begins it anew.
const RESTART_FAILURE_RATIO: f64 = 0.5;
/// Fraction of N that the senders use on average. The sum of their calls then stays four standard deviations
/// below the bound.
const MARGIN: f64 = 0.7;
/// A failure that may be an isolated one is checked by one call, at a random time within this fraction of the
/// overload window.
const RECHECK_FRACTION: f64 = 0.25;
/// A retry-after of at least this length is due to an outage and not to a rate limit.
pub const OUTAGE_WAIT: Ns = 1_500 * MS;
/// Up to this many senders may all call at the same moment: N + 2 x sqrt(N) + 2 allows that many calls where
/// N is at least a half.
const SMALL_FLEET_MAX: usize = 4;
/// The shortest interval between probes, and the longest one in a small fleet.
const PROBE_INTERVAL_MIN: Ns = 500 * MS;
const SMALL_FLEET_PROBE_INTERVAL_MAX: Ns = 3 * SECOND;

/// A sign that a route may be unavailable.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureSignal {
    /// False for the end of a call that was already counted when it became overdue.
    pub is_new: bool,
    /// A call or probe failed or was rejected, and is not just overdue: this sender is now one of those that
    /// saw the outage.
    pub explicit: bool,
    /// When the route becomes available, if the rejection announced that (retry-after).
    pub ends_at: Option<Ns>,
    /// One call may soon check whether the failure was an isolated one.
    pub recheck: bool,
}

/// Returns how many senders share a limit: only this one, if the settings know of none.
pub fn sender_count(cfg: &Settings) -> f64 {
    cfg.sender_count.max(1) as f64
}

/// Returns the longest interval between probes. With it the whole fleet sends about one probe in an overload
/// window.
fn probe_interval_max(cfg: &Settings) -> Ns {
    let others = cfg.sender_count.max(1) as Ns - 1;
    cfg.overload_window.saturating_mul(others).max(SMALL_FLEET_PROBE_INTERVAL_MAX)
}

/// Returns whether there are so many senders that they can overload a route together even if each sends
/// little.
fn large_fleet(cfg: &Settings) -> bool {
    cfg.sender_count > SMALL_FLEET_MAX
}

impl Route {
    /// Returns this sender's fair share of the limit, in calls a second. If no limit is known, it is the rate
    /// that the route has served this sender: over all senders these rates add up to at most its capacity.
    fn fair_share(&self, cfg: &Settings, now: Ns) -> f64 {
        let known_limit = self.limit.filter(|&l| l > 0.0).unwrap_or(self.rate_hint);
        if known_limit > 0.0 {
            known_limit / sender_count(cfg)
        } else {
            self.proven_rate_now(now).max(1.0 / sender_count(cfg))
        }
    }

    /// Returns whether something was served since the last failure, or that failure announced the recovery.
    pub fn has_recovered(&self) -> bool {
        self.recovered_at >= self.last_failure
    }

    /// Returns when the route recovered from the outage that is known of, or will recover as announced;
    /// `Ns::MAX` if it has not, and None if no outage is known.
    pub fn known_recovery(&self) -> Option<Ns> {
        let is_known = self.suspect || self.in_slow_start;
        let has_recovered = self.has_recovered() && !self.suspect;
        is_known.then_some(if has_recovered { self.recovered_at } else { Ns::MAX })
    }

    /// Returns the calls a second that this sender may make in slow start. Until something is served, a large
    /// fleet stays at the initial rate; in a small one it rises from the last failure, as it probes often.
    pub fn slow_start_rate(&self, cfg: &Settings, now: Ns) -> f64 {
        let unconfirmed = if large_fleet(cfg) { now } else { self.last_failure };
        let recovered_at = if self.has_recovered() { self.recovered_at } else { unconfirmed };
        let elapsed = (now - recovered_at).max(0);
        let progress = (elapsed as f64 / cfg.slow_start_duration.max(1) as f64).min(1.0);
        let capacity = cfg.start_capacity + (1.0 - cfg.start_capacity) * progress;
        (MARGIN * cfg.overload_multiple * capacity * self.fair_share(cfg, now)).max(0.15 / sender_count(cfg))
    }

    /// Returns the time from one probe to the next: random, on average the interval between calls in slow
    /// start, and within the bounds above. `draw` is a random draw in [0, 1), here and below.
    pub fn probe_interval(&self, cfg: &Settings, now: Ns, draw: f64) -> Ns {
        let interval = (2e9 * draw / self.slow_start_rate(cfg, now)) as Ns;
        interval.clamp(PROBE_INTERVAL_MIN, probe_interval_max(cfg))
    }

    /// Returns the number of consecutive failures that begins slow start. In a large fleet it is half of
    /// those that this sender would see in an outage as long as the overload window, with `arrivals` messages
    /// a second: hundreds of senders that see only one failure each carry the whole load of the route
    /// together.
    pub fn slow_start_failures(&self, cfg: &Settings, now: Ns, arrivals: f64) -> u32 {
        if !large_fleet(cfg) {
            return SUSPECT_FAILURES;
        }
        let expected = self.fair_share(cfg, now).min(arrivals) * cfg.overload_window as f64 / 1e9;
        ((expected / 2.0) as u32).clamp(1, SUSPECT_FAILURES)
    }

    /// Records a failure signal. Enough of them make the route suspect: it then gets only single probes,
    /// spaced by `probe_interval`. An explicit signal of an outage also begins slow start, which lasts until
    /// the route has served again and warmed up. `arrivals`: messages a second for the destination.
    pub fn on_failure(&mut self, cfg: &Settings, now: Ns, signal: FailureSignal, arrivals: f64, draw: f64) {
        if signal.is_new {
            self.failures += 1;
            self.failure_ratio = self.failure_ratio * 0.7 + 0.3;
        }
        let suspect = self.failures >= SUSPECT_FAILURES || self.failure_ratio > SUSPECT_FAILURE_RATIO;
        if suspect {
            (self.suspect, self.last_failure) = (true, self.last_failure.max(now));
        }
        // A sender that was told when the outage ends gets no more signals until then. It needs none, as the
        // outage is certain.
        let announced = signal.ends_at.is_some_and(|at| large_fleet(cfg) || at - now >= OUTAGE_WAIT);
        let outage = suspect || announced || self.failures >= self.slow_start_failures(cfg, now, arrivals);
        // Single failures among successes must not begin slow start anew again and again.
        let restart = self.in_slow_start && self.failure_ratio > RESTART_FAILURE_RATIO;
        if !(signal.explicit && (outage || restart)) {
            return;
        }
        let entered = !std::mem::replace(&mut self.in_slow_start, true);
        self.isolated = entered && !suspect && signal.recheck;
        self.recheck_at =
            self.isolated.then_some(now + (draw * RECHECK_FRACTION * cfg.overload_window as f64) as Ns);
        self.last_failure = signal.ends_at.map_or(now, |at| at.max(now));
        if signal.ends_at.is_some() {
            self.recovered_at = self.last_failure;
        }
        // Senders that fail, or whose retry-after ends, at the same instant must not all call at once.
        if large_fleet(cfg) && (entered || signal.ends_at.is_some()) {
            self.tokens = draw;
            self.refilled_at = self.last_failure;
            self.next_probe_at = self.last_failure + self.probe_interval(cfg, now, draw);
        }
    }

    /// Records a call that was served `age` after it was sent.
    pub fn on_success(&mut self, cfg: &Settings, now: Ns, age: Ns, draw: f64) {
        // A probe that is served in less time than overdue calls had when they were cancelled shows that the
        // route hung and was not just slow.
        let cancelled_after = std::mem::take(&mut self.longest_cancelled);
        self.in_slow_start |= self.suspect && age < cancelled_after;
        if self.isolated && now - self.last_failure <= cfg.overload_window {
            self.in_slow_start = false;
        }
        if self.in_slow_start && !self.has_recovered() {
            // The route recovered at some time since the last failure: on average over many senders, half of
            // that time ago.
            let since = now - self.last_failure;
            let since = if large_fleet(cfg) { (since / 2).min(cfg.slow_start_duration / 2) } else { since };
            self.recovered_at = now - since.min(probe_interval_max(cfg));
        }
        if std::mem::take(&mut self.suspect) && large_fleet(cfg) {
            (self.tokens, self.refilled_at) = (draw, now);
        }
        (self.failures, self.isolated, self.recheck_at) = (0, false, None);
        self.failure_ratio *= 0.7;
    }

    /// Ends slow start once the route has warmed up, and a recheck that is no longer needed.
    pub fn update_slow_start(&mut self, cfg: &Settings, now: Ns) {
        // The real recovery may have been this much later than `recovered_at`.
        let uncertainty = probe_interval_max(cfg).min(cfg.slow_start_duration / 2);
        let warmed_up_at = self.recovered_at.saturating_add(cfg.slow_start_duration + uncertainty);
        if self.in_slow_start && !self.suspect && self.has_recovered() && now > warmed_up_at {
            self.in_slow_start = false;
        }
        if now - self.last_failure > cfg.overload_window {
            self.recheck_at = None;
        }
    }
}

//! Outage and slow start of a route.
//!
//! Invariant: in any window of `Settings::overload_window` after a recovery, the calls of all n senders that
//! saw the outage stay, but for chance, within N + 2 x sqrt(N) + 2; N is `overload_multiple` x the current
//! capacity of the route x the window. No sender sees another's calls: each keeps to N / n at a random phase.

use crate::api::*;
use crate::state::Route;

/// Consecutive failures, or moving average of failures, that make a route suspect.
pub const SUSPECT_FAILURES: u32 = 3;
const SUSPECT_FAILURE_RATIO: f64 = 0.6;
/// Moving average of failures that restarts the slow start of a route.
const RESTART_FAILURE_RATIO: f64 = 0.5;
/// Fraction of N that the senders use on average: their sum stays four standard deviations below the bound.
const MARGIN: f64 = 0.7;
/// An isolated failure is checked by one call at a random time within this fraction of the window.
const RECHECK_FRACTION: f64 = 0.25;
/// A retry-after of at least this length is due to an outage and not to a rate limit.
pub const OUTAGE_WAIT: Ns = 1_500 * MS;
/// Up to this many may all call at one moment: N + 2 x sqrt(N) + 2 allows that where N is at least a half.
const SMALL_FLEET_MAX: usize = 4;
/// The shortest interval between probes, and the longest one in a small fleet.
const PROBE_INTERVAL_MIN: Ns = 500 * MS;
const SMALL_FLEET_PROBE_INTERVAL_MAX: Ns = 3 * SECOND;

#[derive(Clone, Copy, Debug, Default)]
pub struct FailureSignal {
    /// False for a call that was already counted when it became overdue.
    pub is_new: bool,
    /// A call or probe failed or was rejected: this sender is now one of those that saw the outage.
    pub explicit: bool,
    /// When the route becomes available, if its rejection announced that.
    pub ends_at: Option<Ns>,
    /// One call may soon check whether the failure was an isolated one.
    pub recheck: bool,
}

/// Returns how many senders share a limit: only this one, if the settings know of none.
pub fn sender_count(cfg: &Settings) -> f64 {
    cfg.sender_count.max(1) as f64
}

/// Returns the longest interval between probes, at which the whole fleet sends about one probe in a window.
fn probe_interval_max(cfg: &Settings) -> Ns {
    let others = cfg.sender_count.max(1) as Ns - 1;
    cfg.overload_window.saturating_mul(others).max(SMALL_FLEET_PROBE_INTERVAL_MAX)
}

/// Returns whether there are so many senders that together they overload a route even if each sends little.
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

    /// Returns the time to the next probe, on average that of slow start; `draw` is random in [0, 1).
    pub fn probe_interval(&self, cfg: &Settings, now: Ns, draw: f64) -> Ns {
        let interval = (2e9 * draw / self.slow_start_rate(cfg, now)) as Ns;
        interval.clamp(PROBE_INTERVAL_MIN, probe_interval_max(cfg))
    }

    /// Returns the consecutive failures that begin slow start: half of those that this sender would see in an
    /// outage as long as the window at `arrivals` a second. Hundreds that see one each are the whole load.
    pub fn slow_start_failures(&self, cfg: &Settings, now: Ns, arrivals: f64) -> u32 {
        if !large_fleet(cfg) {
            return SUSPECT_FAILURES;
        }
        let expected = self.fair_share(cfg, now).min(arrivals) * cfg.overload_window as f64 / 1e9;
        ((expected / 2.0) as u32).clamp(1, SUSPECT_FAILURES)
    }

    /// Records a failure signal. Enough of them make the route suspect: it gets only single, spaced probes.
    /// An outage with an explicit signal starts slow start, until the route has served and warmed up.
    pub fn on_failure(&mut self, cfg: &Settings, now: Ns, signal: FailureSignal, arrivals: f64, draw: f64) {
        if signal.is_new {
            self.failures += 1;
            self.failure_ratio = self.failure_ratio * 0.7 + 0.3;
        }
        let suspect = self.failures >= SUSPECT_FAILURES || self.failure_ratio > SUSPECT_FAILURE_RATIO;
        if suspect {
            (self.suspect, self.last_failure) = (true, self.last_failure.max(now));
        }
        // A sender that knows when an outage ends gets no more signals until then, and it is certain.
        let announced = signal.ends_at.is_some_and(|at| large_fleet(cfg) || at - now >= OUTAGE_WAIT);
        let outage = suspect || announced || self.failures >= self.slow_start_failures(cfg, now, arrivals);
        // Single failures among successes must not restart slow start again and again.
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
        // A probe served sooner than overdue calls were cancelled shows that the route hung and was not slow.
        let cancelled_after = std::mem::take(&mut self.longest_cancelled);
        self.in_slow_start |= self.suspect && age < cancelled_after;
        if self.isolated && now - self.last_failure <= cfg.overload_window {
            self.in_slow_start = false;
        }
        if self.in_slow_start && !self.has_recovered() {
            // It recovered at some time since the last failure: on average of many senders, half of that ago.
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
        let warm_at = self.recovered_at.saturating_add(cfg.slow_start_duration + uncertainty);
        if self.in_slow_start && !self.suspect && self.has_recovered() && now > warm_at {
            self.in_slow_start = false;
        }
        if now - self.last_failure > cfg.overload_window {
            self.recheck_at = None;
        }
    }
}

//! Outage and slow start of a route.
//!
//! Invariant: in any window of `Settings::overload_window` after a recovery, the number of calls from all n
//! senders that saw one call or more fail in the outage stays within N + 2 x sqrt(N) + 2, except by chance.
//! N is the overload multiple times the current capacity of the route, in calls a second, times the window
//! in seconds. No sender sees the calls of another, so each keeps to N / n by itself. An outage shorter
//! than the window is told from an isolated failure only by a sender that saw several failures.

use crate::api::*;
use crate::state::{PossibleOutage, RecoveryState, Route, LONG_AGO};

/// A route becomes suspect after this many consecutive failures, or above this moving average of failures.
pub const SUSPECT_FAILURES: u32 = 3;
const SUSPECT_FAILURE_RATIO: f64 = 0.6;
/// After this many consecutive failures, one of which is explicit, there is an outage, however short.
const OUTAGE_FAILURES: u32 = 2;
/// The senders' calls in a window, on average, stay this many standard deviations of a random arrival process
/// below the bound.
const BOUND_DEVIATIONS: f64 = 4.0;
/// A retry-after of at least this length is due to an outage and not to a rate limit.
pub const OUTAGE_WAIT: Ns = 1_500 * MS;
/// The shortest interval between probes, and the longest one in a fleet of two.
const PROBE_INTERVAL_MIN: Ns = 500 * MS;
const PROBE_INTERVAL_MAX: Ns = 3 * SECOND;
/// A route for which messages wait is evaluated more often than this. After a longer time without an
/// evaluation, nothing has waited.
const IDLE_AFTER: Ns = 250 * MS;

/// A sign that a route may be unavailable.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureSignal {
    /// Counts towards the failures that make a route suspect. False for the end of a call that was already
    /// counted when it became overdue, and for failures that a limit or an idle connection may have caused.
    pub is_counted: bool,
    /// A call failed or was rejected, and is not just overdue.
    pub explicit: bool,
    /// When the call was sent.
    pub sent: Ns,
    /// When the route becomes available, if the rejection announced that (retry-after).
    pub ends_at: Option<Ns>,
    /// The call failed on a connection that had rested: until something else fails, the outage cannot have
    /// begun before this failure.
    pub is_stale_connection: bool,
}

/// Returns how many senders share a limit: only this one, if the settings know of none.
pub fn sender_count(cfg: &Settings) -> f64 {
    cfg.sender_count.max(1) as f64
}

/// Returns the longest interval between probes. With it the whole fleet sends about one probe in an overload
/// window.
fn probe_interval_max(cfg: &Settings) -> Ns {
    let others = cfg.sender_count.max(1) as Ns - 1;
    cfg.overload_window.saturating_mul(others).max(PROBE_INTERVAL_MAX)
}

fn window_seconds(cfg: &Settings) -> f64 {
    cfg.overload_window.max(MS) as f64 / SECOND as f64
}

/// Returns how many calls in a window make a recovering route collapse, where `allowed` is N.
fn overload_bound(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// Returns how many calls in a window all senders together may make on average, where `allowed` is N: m
/// such that m + `BOUND_DEVIATIONS` x sqrt(m) is the overload bound.
fn mean_calls(allowed: f64) -> f64 {
    let half = BOUND_DEVIATIONS / 2.0;
    ((half * half + overload_bound(allowed)).sqrt() - half).powi(2)
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
        let is_known = self.suspect || self.in_slow_start || self.possible_outage.is_some();
        let has_recovered = self.has_recovered() && !self.suspect && self.possible_outage.is_none();
        is_known.then_some(if has_recovered { self.recovered_at } else { Ns::MAX })
    }

    /// Returns whether calls are paced by `slow_start_rate`.
    pub fn is_paced(&self) -> bool {
        self.suspect || self.in_slow_start
    }

    /// Returns N, the calls in a window that the settings allow from all senders now. Until something is
    /// served, it is that of the moment of the recovery.
    fn allowed_calls(&self, cfg: &Settings, now: Ns) -> f64 {
        let elapsed = if self.has_recovered() { (now - self.recovered_at).max(0) } else { 0 };
        let progress = (elapsed as f64 / cfg.slow_start_duration.max(1) as f64).min(1.0);
        let capacity = cfg.start_capacity + (1.0 - cfg.start_capacity) * progress;
        let limit = self.fair_share(cfg, now) * sender_count(cfg);
        cfg.overload_multiple * capacity * limit * window_seconds(cfg)
    }

    /// Returns the calls a second that this sender may make in slow start.
    fn slow_start_rate(&self, cfg: &Settings, now: Ns) -> f64 {
        mean_calls(self.allowed_calls(cfg, now)) / window_seconds(cfg) / sender_count(cfg)
    }

    /// Returns the calls a second that this sender may make, in slow start or as probes.
    pub fn paced_rate(&self, cfg: &Settings, now: Ns) -> f64 {
        let rate = self.slow_start_rate(cfg, now);
        if !self.suspect {
            return rate;
        }
        let probes_per_s = |interval: Ns| SECOND as f64 / interval as f64;
        rate.clamp(probes_per_s(probe_interval_max(cfg)), probes_per_s(PROBE_INTERVAL_MIN))
    }

    /// Returns whether all senders may make this many calls each at the same moment, in addition to their
    /// rate.
    fn may_burst(&self, cfg: &Settings, now: Ns, calls_each: f64) -> bool {
        let allowed = self.allowed_calls(cfg, now);
        sender_count(cfg) * calls_each <= overload_bound(allowed) - mean_calls(allowed)
    }

    /// Returns whether `refill_paced` needs a random draw now. In a large fleet a call that was possible
    /// while nothing waited is not kept: otherwise all senders could use theirs at the same moment.
    pub fn needs_draw(&self, cfg: &Settings, now: Ns) -> bool {
        now - self.refilled_at > IDLE_AFTER && !self.may_burst(cfg, now, 1.0)
    }

    /// Refills the token bucket of a paced route at `rate`, in calls a second. With `draw`, a random number
    /// in [0, 1), the next call waits for an exponentially distributed time instead.
    pub fn refill_paced(&mut self, now: Ns, rate: f64, draw: Option<f64>) {
        let elapsed = (now - self.refilled_at).max(0) as f64 / SECOND as f64;
        self.tokens = match draw {
            Some(draw) => 1.0 + (1.0 - draw).ln(),
            None => (self.tokens + elapsed * rate).min(1.0),
        };
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Begins to pace calls with this many tokens, or where all senders together could not use as many at
    /// once, with the random draw that follows a long time without an evaluation.
    fn reset_tokens(&mut self, cfg: &Settings, now: Ns, tokens: f64) {
        self.tokens = tokens;
        self.refilled_at = if self.may_burst(cfg, now, 1.0) { now } else { LONG_AGO };
    }

    fn begin_slow_start(&mut self, cfg: &Settings, now: Ns) {
        if !std::mem::replace(&mut self.in_slow_start, true) {
            self.reset_tokens(cfg, now, 1.0);
        }
    }

    /// Records a failure signal. From the first one on there may be an outage, see `update_slow_start`.
    /// Enough of them make the route suspect: it then gets only single probes. If they are explicit, this
    /// is an outage however short it is.
    pub fn on_failure(&mut self, cfg: &Settings, now: Ns, signal: FailureSignal) {
        if signal.is_counted {
            self.failures += 1;
            self.failure_ratio = self.failure_ratio * 0.7 + 0.3;
        }
        let possible = self.add_to_possible_outage(now, signal);
        self.last_failure = signal.ends_at.map_or(now, |at| at.max(now));
        if signal.ends_at.is_some() {
            self.recovered_at = self.last_failure;
        }
        let is_suspect = self.failures >= SUSPECT_FAILURES || self.failure_ratio > SUSPECT_FAILURE_RATIO;
        if is_suspect && signal.is_counted && !std::mem::replace(&mut self.suspect, true) {
            // The first probe is spaced from the last call.
            self.reset_tokens(cfg, now, 0.0);
        }
        if self.suspect && possible.is_explicit {
            self.in_slow_start = true;
        }
        self.update_slow_start(cfg, now);
    }

    /// Adds a failure signal to the possible outage, or begins one with it, and returns the outage as it is
    /// then.
    fn add_to_possible_outage(&mut self, now: Ns, signal: FailureSignal) -> PossibleOutage {
        let served_before = if signal.is_stale_connection { now } else { self.served_at };
        let is_certain = signal.is_counted && (signal.ends_at.is_some() || self.failures >= OUTAGE_FAILURES);
        let before = RecoveryState {
            in_slow_start: self.in_slow_start,
            last_failure: self.last_failure,
            recovered_at: self.recovered_at,
        };
        let (latest_sent, is_explicit) = (signal.sent, signal.explicit);
        let new = PossibleOutage { served_before, latest_sent, is_explicit, is_certain, before };
        let possible = self.possible_outage.get_or_insert(new);
        possible.served_before = possible.served_before.min(served_before);
        possible.latest_sent = possible.latest_sent.max(latest_sent);
        possible.is_explicit |= is_explicit;
        possible.is_certain |= is_certain;
        *possible
    }

    /// Records a call that was served `age` after it was sent; `was_overdue`: it had given a failure signal.
    pub fn on_success(&mut self, cfg: &Settings, now: Ns, age: Ns, was_overdue: bool) {
        self.update_slow_start(cfg, now);
        // A probe that is served in less time than overdue calls had when they were cancelled shows that the
        // route hung and was not just slow.
        let cancelled_after = std::mem::take(&mut self.longest_cancelled);
        let has_hung = self.suspect && age < cancelled_after;
        if let Some(possible) = self.possible_outage {
            let was_slow = (was_overdue && age <= cfg.overload_window)
                || (cancelled_after > 0 && age >= cancelled_after);
            let was_brief = now - possible.served_before <= cfg.overload_window;
            let is_later = now - age >= possible.latest_sent;
            let is_certain = has_hung || (possible.is_explicit && possible.is_certain);
            let is_isolated = (!possible.is_explicit && was_slow) || (is_later && was_brief && !is_certain);
            if is_isolated {
                self.possible_outage = None;
                self.in_slow_start = possible.before.in_slow_start;
                self.last_failure = possible.before.last_failure;
                self.recovered_at = possible.before.recovered_at;
            } else if is_later {
                self.possible_outage = None;
                self.begin_slow_start(cfg, now);
            }
        }
        if self.in_slow_start && !self.has_recovered() && self.possible_outage.is_none() {
            // The recovery may have been earlier, but other senders may have seen as little of it.
            self.recovered_at = now;
        }
        (self.suspect, self.failures, self.served_at) = (false, 0, now);
        self.failure_ratio *= 0.7;
    }

    /// Begins slow start once a possible outage may have lasted for an overload window, and ends it once the
    /// route has warmed up.
    pub fn update_slow_start(&mut self, cfg: &Settings, now: Ns) {
        let has_warmed_up =
            self.has_recovered() && now > self.recovered_at.saturating_add(cfg.slow_start_duration);
        if has_warmed_up && !self.suspect {
            self.in_slow_start = false;
            // Until something is served only an announced recovery leads here.
            self.possible_outage = None;
        }
        if self.possible_outage.is_some_and(|possible| now - possible.served_before > cfg.overload_window) {
            self.begin_slow_start(cfg, now);
        }
    }

    /// Restores an outage that an earlier process of this sender saw. It may have ended unseen, so slow start
    /// can only count from when that process last saw it. `draw` is a random number in [0, 1).
    pub fn restore_outage(&mut self, cfg: &Settings, now: Ns, outage: &Outage, draw: f64) {
        (self.suspect, self.in_slow_start) = (outage.suspect, true);
        self.failures = if outage.suspect { SUSPECT_FAILURES } else { 0 };
        self.last_failure = outage.last_failure.min(now);
        self.recovered_at = if outage.suspect { LONG_AGO } else { self.last_failure };
        (self.proven_rate, self.proven_at) = (outage.proven_rate, now);
        // The earlier process may have made its call just before.
        let tokens = if self.may_burst(cfg, now, 2.0) { 1.0 } else { draw };
        self.reset_tokens(cfg, now, tokens);
    }
}

//! Outage and slow start of a route.
//!
//! Invariant: in any window of `Settings::overload_for` after a return, the calls of all n senders that saw
//! the outage stay within N + 2 x root of N + 2, but for chance; N is `fall_multiple` x what the route can do
//! then x the window. None sees another's calls: each keeps to its n-th part, first at a random phase.

use crate::api::*;
use crate::state::Route;

/// Failures without a success between, or share of failures (aged), that put a route in doubt.
pub const DOUBT_RUN: u32 = 3;
const DOUBT_SHARE: f64 = 0.6;
/// Share of failures that starts the slow start of a cold route anew.
const RELAPSE: f64 = 0.5;
/// Part of N that the senders' mean may use: their sum stays below the fall by four deviations.
const MARGIN: f64 = 0.7;
/// A lone failure is checked by one call at a random time in this part of the window.
const RECHECK: f64 = 0.25;
/// A told wait of this length is no limit's.
pub const SHUT_WAIT: Ns = 1_500 * MS;
/// So many senders may each call at one moment: N + 2 x root of N + 2 is no less where N is at least a half.
const FEW: usize = 4;
/// The shortest time from one probe to the next; the longest for few senders.
const LEAST_PROBE_WAIT: Ns = 500 * MS;
const FEW_PROBE_WAIT: Ns = 3 * SECOND;

/// A sign that a route may be out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Symptom {
    /// Not counted before, as an overdue call is when it is noticed.
    pub counts: bool,
    /// A call or probe failed or was refused: from now on this sender is one that saw the outage.
    pub told: bool,
    /// When the route opens, where its refusal told so.
    pub opens_at: Option<Ns>,
    /// One call may soon check whether the failure was a lone one.
    pub recheck: bool,
}

/// All that share a limit: this one, if the settings know of none.
pub fn senders(cfg: &Settings) -> f64 {
    cfg.sender_count.max(1) as f64
}

/// The longest time from one probe to the next: about one probe of the whole fleet in a window.
fn longest_probe_wait(cfg: &Settings) -> Ns {
    let others = cfg.sender_count.max(1) as Ns - 1;
    cfg.overload_window.saturating_mul(others).max(FEW_PROBE_WAIT)
}

/// Whether all senders together stand for too much even where each does little.
fn many(cfg: &Settings) -> bool {
    cfg.sender_count > FEW
}

impl Route {
    /// This sender's n-th part of what the route takes, in calls a second. Where no limit is told it is what
    /// the route has served this sender: the parts of all add up to no more than it could do.
    fn part(&self, cfg: &Settings, now: Ns) -> f64 {
        let told = self.limit.filter(|&l| l > 0.0).unwrap_or(self.hint);
        if told > 0.0 {
            told / senders(cfg)
        } else {
            self.proved_now(now).max(1.0 / senders(cfg))
        }
    }

    /// Something was served since the last failure, or that told when it opens.
    pub fn known_back(&self) -> bool {
        self.returned_at >= self.last_failure
    }

    /// Calls a second that this sender may make while the route is cold. Until something is served the rate
    /// of one of many stays that of the return; one of few has probed it lately.
    pub fn slow_start(&self, cfg: &Settings, now: Ns) -> f64 {
        let unknown = if many(cfg) { now } else { self.last_failure };
        let back = if self.known_back() { self.returned_at } else { unknown };
        let since = (now - back).max(0);
        let warm = (since as f64 / cfg.slow_start_duration.max(1) as f64).min(1.0);
        let able = cfg.start_capacity + (1.0 - cfg.start_capacity) * warm;
        (MARGIN * cfg.overload_multiple * able * self.part(cfg, now)).max(0.15 / senders(cfg))
    }

    /// Time from one probe to the next, in the mean that of the slow start; `draw` is uniform in 0 to 1.
    pub fn probe_wait(&self, cfg: &Settings, now: Ns, draw: f64) -> Ns {
        let wait = (2e9 * draw / self.slow_start(cfg, now)) as Ns;
        wait.clamp(LEAST_PROBE_WAIT, longest_probe_wait(cfg))
    }

    /// Failures in a row that make the route cold: half of what this sender would see in an outage as long as
    /// the window, at so many `arrivals` a second. Hundreds that see a single one are the whole load.
    pub fn enough(&self, cfg: &Settings, now: Ns, arrivals: f64) -> u32 {
        if !many(cfg) {
            return DOUBT_RUN;
        }
        let expected = self.part(cfg, now).min(arrivals) * cfg.overload_window as f64 / 1e9;
        ((expected / 2.0) as u32).clamp(1, DOUBT_RUN)
    }

    /// Books a symptom. Enough of them put the route in doubt: only single spaced probes. Once this sender
    /// was told of the outage the route is cold until it has served and warmed up.
    pub fn fail(&mut self, cfg: &Settings, now: Ns, symptom: Symptom, arrivals: f64, draw: f64) {
        if symptom.counts {
            self.failures += 1;
            self.failing = self.failing * 0.7 + 0.3;
        }
        let sick = self.failures >= DOUBT_RUN || self.failing > DOUBT_SHARE;
        if sick {
            (self.doubt, self.last_failure) = (true, self.last_failure.max(now));
        }
        // Who is told when it opens hears nothing more until then, and that it is shut is certain.
        let shut = symptom.opens_at.is_some_and(|at| many(cfg) || at - now >= SHUT_WAIT);
        let outage = sick || shut || self.failures >= self.enough(cfg, now, arrivals);
        // Single failures among answers must not start the slow start anew for ever.
        let relapse = self.cold && self.failing > RELAPSE;
        if !(symptom.told && (outage || relapse)) {
            return;
        }
        let entered = !std::mem::replace(&mut self.cold, true);
        self.lone = entered && !sick && symptom.recheck;
        self.recheck_at = self.lone.then_some(now + (draw * RECHECK * cfg.overload_window as f64) as Ns);
        self.last_failure = symptom.opens_at.map_or(now, |at| at.max(now));
        if symptom.opens_at.is_some() {
            self.returned_at = self.last_failure;
        }
        // Senders that fail, or whose waits end, in the same instant must not come back in one.
        if many(cfg) && (entered || symptom.opens_at.is_some()) {
            self.tokens = draw;
            self.filled_at = self.last_failure;
            self.next_probe = self.last_failure + self.probe_wait(cfg, now, draw);
        }
    }

    /// Books a call that was served `age` after it was sent.
    pub fn recover(&mut self, cfg: &Settings, now: Ns, age: Ns, draw: f64) {
        // A probe served sooner than overdue calls were called off tells that it was silent, and not slow.
        let given_up = std::mem::take(&mut self.called_off);
        self.cold |= self.doubt && age < given_up;
        if self.lone && now - self.last_failure <= cfg.overload_window {
            self.cold = false;
        }
        if self.cold && !self.known_back() {
            // It came back at some time since the last failure: half of that ago in the mean of many senders.
            let since = now - self.last_failure;
            let since = if many(cfg) { (since / 2).min(cfg.slow_start_duration / 2) } else { since };
            self.returned_at = now - since.min(longest_probe_wait(cfg));
        }
        if std::mem::take(&mut self.doubt) && many(cfg) {
            (self.tokens, self.filled_at) = (draw, now);
        }
        (self.failures, self.lone, self.recheck_at) = (0, false, None);
        self.failing *= 0.7;
    }

    /// Ends the slow start of a route that is warm.
    pub fn warm_up(&mut self, cfg: &Settings, now: Ns) {
        // It may have come back so much later than was taken for its return.
        let unsure = longest_probe_wait(cfg).min(cfg.slow_start_duration / 2);
        let warm_at = self.returned_at.saturating_add(cfg.slow_start_duration + unsure);
        if self.cold && !self.doubt && self.known_back() && now > warm_at {
            self.cold = false;
        }
        if now - self.last_failure > cfg.overload_window {
            self.recheck_at = None;
        }
    }
}

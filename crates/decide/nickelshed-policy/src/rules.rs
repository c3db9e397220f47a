//! The decisions of a sender. The interface (settings, events, actions) is `src/api.rs`.
//!
//! Normal operation follows the QoSmax paper. Every `CONTROL_PERIOD` each destination gets a cap on its calls
//! in flight. A level is a number of calls in flight; its score is the level times the fraction of arriving
//! messages whose class meets its target there, that is, whose mean latency plus one standard deviation is
//! below the target. The cap is the level with the highest score (`choose_cap`). Below the cap a message is
//! sent at once, otherwise it is queued. While more messages are open than `SHED_THRESHOLD` allows, those
//! that have been queued for longer than the admission wait are refused, the least valuable first
//! (`shed_load`).
//!
//! Three more parts surround this: token buckets that pace calls under a rate limit (`Sender::ready_at`); the
//! suspect state, probes and slow start of a route (`recovery.rs`); and the guards of the delivery rules
//! (`Sender::allows` and `Sender::is_next_of_key`).

use crate::api::*;
use crate::recovery::{sender_count, FailureSignal, OUTAGE_WAIT, SUSPECT_FAILURES};
use crate::stat::{rate_per_s, DecayingStat, MIN_WEIGHT};
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};

mod retention;

/// How often caps are chosen, queued messages checked and overdue calls detected (the paper's control rate).
const CONTROL_PERIOD: Ns = 100 * MS;
/// The paper's admission wait is this or 10% of the expected run time (here the mean latency of the
/// destination), whichever is longer.
const ADMISSION_WAIT_MIN: Ns = 100 * MS;
/// Fraction of `Settings::max_open` that may be open before messages past the admission wait are refused.
const SHED_THRESHOLD: f64 = 0.9;
/// Half-life of a route's proven rate. It is much longer than outages, so that the rate is still known after
/// one.
const PROVEN_RATE_HALF_LIFE_NS: f64 = 600e9;
/// Fraction of the slots that probes of all suspect routes may use together.
const PROBE_SLOT_FRACTION: f64 = 0.25;
/// Fraction of a rate hint that is used as the limit where hints are only estimates.
const ESTIMATED_RATE_TRUST: f64 = 0.6;
/// A call is overdue after the mean latency of its destination plus this many standard deviations, but not
/// before `OVERDUE_MIN`. After twice that time it times out, if its messages may then be retried.
const OVERDUE_DEVIATIONS: f64 = 3.0;
const OVERDUE_MIN: Ns = 400 * MS;

/// Added to the value of a recovered message without an attempt; greater than the value of any message. Such
/// messages are sent before new ones, the least time left first, and refused last: they were accepted before
/// the new ones, and a client that knows that its message is accepted does not submit it elsewhere.
const UNATTEMPTED_BONUS: f64 = 1e4;

/// By the terms of service, returning an accepted message that has not run, before `PREMATURE_AGE` of its
/// deadline has passed, costs `PREMATURE_RETURN_COST` of its value: its client has lost time in which it
/// could have submitted the message elsewhere. Both are fractions.
const PREMATURE_AGE: f64 = 0.7;
const PREMATURE_RETURN_COST: f64 = 0.3;

/// An endpoint that refuses a connection, and within this time serves a call, is not down: its connections
/// are exhausted. For `EXHAUSTED_TTL` this is then assumed of all endpoints of its kind.
const EXHAUSTED_EVIDENCE: Ns = 3 * SECOND;
const EXHAUSTED_TTL: Ns = 60 * SECOND;

/// A limit share stays as it is for this long after the last report on the use of the limit. Then it doubles
/// or halves with each further interval of this length until it is back at `base_limit_share`.
const SHARE_TTL: Ns = 5 * SECOND;

/// How many fair shares of a limit (the limit divided by the sender count) one sender may use while it has no
/// queued messages that need more.
const BASE_FAIR_SHARES: f64 = 1.4;
/// Few senders share the load less evenly, so this number divided by the sender count is added to
/// `BASE_FAIR_SHARES`.
const SMALL_FLEET_FAIR_SHARES: f64 = 4.0;

/// A reported limit that differs from the known one by more than this fraction is a new limit and not noise.
const REPORT_NOISE: f64 = 0.3;

/// What the end of a call says about an outage of its route.
#[derive(Clone, Copy, PartialEq)]
enum FailureSign {
    None,
    /// An outage, a limit, or connections that are in use.
    Ambiguous,
    /// An outage, or a connection that the other side had closed as idle.
    StaleConnection,
    Certain,
}

impl FailureSign {
    fn certain_if(is_certain: bool) -> FailureSign {
        if is_certain {
            FailureSign::Certain
        } else {
            FailureSign::Ambiguous
        }
    }
}

/// Each answer that reports headroom multiplies the limit share by the sender count to this power. The number
/// of answers that leads from a fair share to the whole limit is then the same for every fleet size.
const SHARE_GROWTH_EXPONENT: f64 = 0.045;

impl Route {
    /// Returns the limit share to use now. Without new reports it returns to `base_share`, because only
    /// reports show the calls of other senders.
    fn share_now(&self, now: Ns, base_share: f64) -> f64 {
        let decay = ((now - self.share_at - SHARE_TTL).max(0) as f64 / SHARE_TTL as f64).exp2();
        if self.limit_share > base_share {
            (self.limit_share / decay).max(base_share)
        } else {
            (self.limit_share * decay).min(base_share)
        }
    }

    /// Returns the proven rate, in calls a second, decayed to `now`.
    pub fn proven_rate_now(&self, now: Ns) -> f64 {
        self.proven_rate * (-((now - self.proven_at) as f64) / PROVEN_RATE_HALF_LIFE_NS).exp2()
    }
}

impl Dest {
    /// Returns the mean time between two messages of this sender that the destination serves, in nanoseconds;
    /// at most ten seconds.
    fn service_interval_ns(&self, now: Ns) -> f64 {
        1e9 / rate_per_s(self.served.weight_at(now)).max(0.1)
    }
}

/// The decision module of one sender: it receives events and returns actions.
#[derive(Default)]
pub struct Sender {
    cfg: Settings,
    rng: u64,
    /// Time of the current batch of events; it never goes back.
    now: Ns,
    messages: BTreeMap<MsgId, OpenMessage>,
    /// Messages in `messages` that have not finished.
    open_count: usize,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    routes: BTreeMap<RouteId, Route>,
    dests: BTreeMap<DestId, Dest>,
    /// Calls in flight, by a number that rises with each call.
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    /// Messages of classes in order, by their key.
    keys: BTreeMap<u64, KeyQueue>,
    /// Destinations with calls in flight or queued messages; the control period skips all others.
    active: BTreeSet<DestId>,
    /// Destinations with queued messages, by the time at which a call to them may become possible. An event
    /// that concerns a destination makes it due at once.
    agenda: BTreeSet<(Ns, DestId)>,
    probes_in_flight: usize,
    /// Endpoints whose calls ended in this batch.
    released: Vec<EndpointId>,
    /// When the connections to each kind of endpoint were last found exhausted.
    exhausted_at: BTreeMap<usize, Ns>,
    /// When the next queued message has too little time left for a call.
    expiry_at: Ns,
    /// See `Sender::outage_revision`.
    outage_revision: u64,
    /// When `prune` and `run_control_period` last ran.
    pruned_at: Ns,
    control_at: Ns,
    /// The earliest timer that the caller was asked for and that has not fired.
    timer_at: Option<Ns>,
}

impl Sender {
    /// Equal settings, seeds and events give equal actions.
    pub fn new(cfg: Settings, seed: u64) -> Sender {
        Sender { cfg, rng: seed, expiry_at: Ns::MAX, control_at: LONG_AGO, ..Sender::default() }
    }

    /// Processes all events of one batch, then decides and appends the actions to `actions`. A `now` before
    /// that of an earlier batch counts as that one.
    pub fn handle(&mut self, now: Ns, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        for event in events {
            match event {
                Event::List { full, entries } => self.apply_list(*full, entries),
                Event::Message(m) => self.add_message(*m),
                Event::Recovered { message, past } => self.recover_message(*message, past, actions),
                Event::Outage(o) => self.restore_outage(o),
                Event::AttemptEnd(e) => self.attempt_end(e, actions),
                Event::Withdrawn { id } => self.finish(*id),
                Event::Probed { .. } => {}
                Event::SenderCount(n) => self.set_sender_count((*n).max(1)),
                // The caller may round a time down, so a timer that is due within the tick has fired.
                Event::Timer => self.timer_at = self.timer_at.filter(|&at| at > self.now + self.cfg.tick),
            }
        }
        let periodic = self.now - self.control_at >= CONTROL_PERIOD;
        if periodic {
            self.control_at = self.now;
            self.run_control_period();
        }
        if periodic || self.expiry_at <= self.now {
            self.end_undeliverable(actions);
        }
        self.dispatch(periodic, actions);
        if periodic || self.open_count >= self.cfg.max_open {
            self.shed_load(actions);
        }
        self.close_idle_connections(actions);
        if !self.messages.is_empty() {
            let due = self.agenda.first().filter(|_| self.calls.len() < self.cfg.slots);
            let wake = due.map_or(Ns::MAX, |d| d.0).min(self.expiry_at).min(self.control_at + CONTROL_PERIOD);
            let wake = wake.max(self.now + self.cfg.tick.max(1));
            if self.timer_at.is_none_or(|at| at > wake) {
                self.timer_at = Some(wake);
                actions.push(Action::Timer { at: wake });
            }
        }
    }

    /// Returns the next random draw in [0, 1).
    fn random(&mut self) -> f64 {
        self.rng = self.rng.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        (self.rng >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Where connections to a kind of endpoint are exhausted, closes idle ones that are seldom used, so that
    /// other senders can connect: all senders together keep about as many idle connections as three senders
    /// do otherwise. This costs handshakes.
    fn close_idle_connections(&mut self, actions: &mut Vec<Action>) {
        let mut released = std::mem::take(&mut self.released);
        released.sort_unstable();
        released.dedup();
        let idle_max = 3 * self.cfg.idle_timeout / self.cfg.sender_count.max(3) as Ns;
        for id in released {
            let Some(e) = self.endpoints.get_mut(&id) else { continue };
            let exhausted = self.exhausted_at.get(&e.kind).is_some_and(|&at| self.now - at < EXHAUSTED_TTL);
            if exhausted && e.idle_time >= idle_max {
                e.conns = e.in_flight.div_ceil(self.cfg.streams_per_conn);
                actions.push(Action::CloseIdle { endpoint: id });
            }
        }
    }

    /// Detects overdue calls, chooses the caps, makes all destinations with queued messages due, and prunes
    /// every ten seconds.
    fn run_control_period(&mut self) {
        self.detect_overdue();
        let now = self.now;
        let dests = &mut self.dests;
        self.active.retain(|id| {
            let Some(dest) = dests.get_mut(id) else { return false };
            choose_cap(&self.cfg, dest, now);
            dest.in_flight > 0 || !dest.queue.is_empty()
        });
        for id in self.active.clone() {
            self.set_due(id, LONG_AGO);
        }
        if now - self.pruned_at >= 10 * SECOND {
            self.prune();
        }
    }

    /// Sets when a destination is evaluated next; it leaves the agenda while its queue is empty.
    fn set_due(&mut self, id: DestId, at: Ns) {
        let Some(dest) = self.dests.get_mut(&id) else { return };
        self.agenda.remove(&(dest.due_at, id));
        dest.due_at = at;
        if !dest.queue.is_empty() && at < Ns::MAX {
            self.agenda.insert((at, id));
        }
    }

    /// Adds a message to the queue of its destination, which is ordered by message id, and makes it due now.
    fn enqueue(&mut self, id: MsgId) {
        let open = &self.messages[&id];
        let (dest_id, latest_send) = (open.message.dest, self.latest_send(open));
        self.expiry_at = self.expiry_at.min(latest_send);
        let now = self.now;
        let was_idle = self.active.insert(dest_id);
        let dest = self.dests.get_mut(&dest_id).expect("a queued message's destination is known");
        if was_idle {
            choose_cap(&self.cfg, dest, now);
        }
        let position = dest.queue.partition_point(|&queued| queued < id);
        dest.queue.insert(position, id);
        self.set_due(dest_id, LONG_AGO);
    }

    /// Applies a list of endpoints. All events of a batch are processed before anything is sent, so a
    /// draining or gone endpoint gets nothing more, beginning with the batch that lists it as such.
    fn apply_list(&mut self, full: bool, entries: &[Entry]) {
        if full {
            self.endpoints.values_mut().for_each(|e| e.usable = false);
        }
        for entry in entries {
            let (dest, kind, zone) = (entry.dest, entry.kind, entry.zone);
            let (used_at, served_at, refused_at) = (LONG_AGO, LONG_AGO, LONG_AGO);
            let new = Endpoint { used_at, served_at, refused_at, idle_time: Ns::MAX, ..Endpoint::default() };
            let known = self.endpoints.entry(entry.endpoint).or_insert(new);
            (known.dest, known.kind, known.zone) = (dest, kind, zone);
            known.usable = entry.condition == Condition::Ready;
            let id = self.route_of(entry.endpoint);
            let trust = if self.cfg.estimated_hints { ESTIMATED_RATE_TRUST } else { 1.0 };
            let has_hint = self.cfg.rate_hints && entry.rate_hint.is_finite();
            self.route(id).rate_hint = if has_hint { entry.rate_hint.max(0.0) * trust } else { 0.0 };
            let dest = self.dest(entry.dest);
            if !dest.endpoints.contains(&entry.endpoint) {
                dest.endpoints.push(entry.endpoint);
                dest.endpoints.sort_unstable();
            }
            self.set_due(entry.dest, LONG_AGO);
        }
    }

    fn route(&mut self, id: RouteId) -> &mut Route {
        let (limit_share, now) = (1.0 / sender_count(&self.cfg), self.now);
        let new = || Route {
            limit_share,
            share_at: now,
            tokens: 1.0,
            refilled_at: now,
            served_at: LONG_AGO,
            ..Route::default()
        };
        self.routes.entry(id).or_insert_with(new)
    }

    fn dest(&mut self, id: DestId) -> &mut Dest {
        let cap_max = cap_max(&self.cfg);
        let classes = self.cfg.classes.len();
        self.dests.entry(id).or_insert_with(|| Dest {
            cap: cap_max,
            latency_by_level: vec![DecayingStat::default(); classes * (cap_max + 1)],
            arrivals: vec![DecayingStat::default(); classes],
            ..Dest::default()
        })
    }

    fn route_of(&self, endpoint: EndpointId) -> RouteId {
        let e = &self.endpoints[&endpoint];
        let separate = self.cfg.kinds.get(e.kind).is_some_and(|k| k.separate_routes);
        (e.dest, if separate { endpoint } else { EndpointId::MAX })
    }

    fn add_message(&mut self, message: Message) {
        if self.messages.contains_key(&message.id) || message.class >= self.cfg.classes.len() {
            return;
        }
        let now = self.now;
        let class = &self.cfg.classes[message.class];
        let time_left = message.time_left.clamp(0, class.deadline);
        let (submitted_at, expires_at) = (now - (class.deadline - time_left), now + time_left);
        let accepted = self.open_count < self.shed_threshold();
        let attempts = Vec::new();
        let open = OpenMessage {
            message,
            arrived: now,
            submitted_at,
            expires_at,
            attempts,
            finished: false,
            unattempted: false,
            accepted,
        };
        if let (true, Some(key)) = (class.in_order, message.key) {
            self.keys.entry(key).or_default().queue.push_back(message.id);
        }
        self.messages.insert(message.id, open);
        self.open_count += 1;
        self.dest(message.dest).arrivals[message.class].record(now, 1.0);
        self.enqueue(message.id);
    }

    /// Adds a message that an earlier process accepted. Its attempts so far count towards `max_attempts`, and
    /// one that was in flight when that process ended may have run.
    fn recover_message(&mut self, message: Message, past: &[PastAttempt], actions: &mut Vec<Action>) {
        self.add_message(message);
        let Some(open) = self.messages.get_mut(&message.id) else { return };
        let zone =
            |e: Option<EndpointId>| e.and_then(|e| self.endpoints.get(&e)).map_or(usize::MAX, |e| e.zone);
        // The only attempt may have been recorded and, as the process ended, not made.
        open.unattempted = past.len() <= 1 && past.iter().all(|p| p.may_have_run);
        open.accepted = true;
        open.attempts.extend(past.iter().map(|p| Attempt {
            endpoint: p.endpoint.unwrap_or(EndpointId::MAX),
            zone: zone(p.endpoint),
            call: u64::MAX,
            sent: p.sent,
            in_flight: false,
            may_have_run: p.may_have_run,
            was_unattempted: false,
        }));
        let class = &self.cfg.classes[message.class];
        if let (true, Some(key), true) = (class.in_order, message.key, past.iter().any(|p| p.may_have_run)) {
            self.keys.entry(key).or_default().hold_off_until = self.now + self.cfg.key_hold_off;
        }
        self.end_if_undeliverable(message.id, actions);
    }

    fn attempt_end(&mut self, e: &AttemptEnd, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(open) = self.messages.get_mut(&e.id) else { return };
        let Some(attempt) = open.attempts.get_mut(e.attempt as usize).filter(|a| a.in_flight) else { return };
        attempt.in_flight = false;
        attempt.may_have_run = !e.outcome.never_ran();
        // Nothing was called for a message whose connection was refused.
        open.unattempted |= attempt.was_unattempted && e.outcome == Outcome::NoConnection;
        let (call_id, message, finished) = (attempt.call, open.message, open.finished || e.finished);
        let class = &self.cfg.classes[message.class];
        if let (true, true, Some(key)) = (class.in_order, e.outcome.may_still_run(), message.key) {
            if let Some(key_queue) = self.keys.get_mut(&key) {
                key_queue.hold_off_until = now + self.cfg.key_hold_off;
            }
        }
        if let Some(call) = self.calls.get_mut(&call_id) {
            let is_first = !std::mem::replace(&mut call.evaluated, true);
            call.pending -= 1;
            let (level, sent, is_last, overdue) = (call.level, call.sent, call.pending == 0, call.overdue);
            let dest = self.dests.get_mut(&call.dest).expect("a call's destination is known");
            // Quick errors must not count as quick answers: all but a served call is recorded with the full
            // target, so that a class misses its target at this level once about half of its calls fail.
            let took = if e.outcome == Outcome::Served { e.took.max(0) } else { class.target };
            // An attempt says nothing about the load of the destination if it did not reach it, was
            // cancelled, or was lost on a reused connection, which the other side may have closed.
            let unmeasured =
                matches!(e.outcome, Outcome::NotSent | Outcome::CalledOff | Outcome::NoConnection);
            if !unmeasured && !e.reused_connection {
                let levels = dest.latency_by_level.len() / self.cfg.classes.len();
                dest.latency_by_level[message.class * levels + level].record(now, took as f64);
            }
            if e.outcome == Outcome::Served {
                dest.served.record(now, 1.0);
            }
            match e.outcome {
                // The latency is clipped, so that one answer from a heavy tail does not stretch all timeouts;
                // a slow period is still learned within a few answers. A call that timed out or was cancelled
                // counts with its age, as its latency is at least that.
                Outcome::Served | Outcome::NoAnswer | Outcome::CalledOff => {
                    let measured = dest.latency.weight_at(now) >= MIN_WEIGHT;
                    let clip = (1.5 * dest.latency.upper_bound(OVERDUE_DEVIATIONS)).max(OVERDUE_MIN as f64);
                    let took = (now - sent).max(e.took) as f64;
                    dest.latency.record(now, if measured { took.min(clip) } else { took });
                }
                _ => {}
            }
            let (dest_id, route_id) = (call.dest, call.route);
            if is_last {
                self.probes_in_flight -= call.probe as usize;
                self.calls.remove(&call_id);
                dest.in_flight -= 1;
            }
            self.set_due(dest_id, LONG_AGO);
            if let Some(route) = self.routes.get_mut(&route_id) {
                route.in_flight -= is_last as usize;
                // Messages of one call may end in several batches; the retry-after counts anew from each
                // batch.
                if e.retry_after > 0 {
                    route.retry_after_until = route.retry_after_until.max(now.saturating_add(e.retry_after));
                }
            }
            if let Some(endpoint) = self.endpoints.get_mut(&e.endpoint).filter(|_| is_last) {
                endpoint.in_flight -= 1;
                endpoint.used_at = now;
                self.released.push(e.endpoint);
            }
            if is_first {
                self.evaluate_call(e, route_id, now - sent, overdue);
            }
        }
        if finished {
            self.finish(e.id);
        } else if self.messages.get(&e.id).is_some_and(|m| !m.is_in_flight()) {
            self.enqueue(e.id);
            self.end_if_undeliverable(e.id, actions);
        }
    }

    /// Marks a message as finished. It is kept while attempts are in flight, as it still blocks its key.
    fn finish(&mut self, id: MsgId) {
        let Some(open) = self.messages.get_mut(&id) else { return };
        let message = open.message;
        if !std::mem::replace(&mut open.finished, true) {
            self.open_count -= 1;
            self.dest(message.dest).queue.retain(|&queued| queued != id);
        }
        if self.messages[&id].is_in_flight() {
            return;
        }
        self.messages.remove(&id);
        if let (true, Some(key)) = (self.cfg.classes[message.class].in_order, message.key) {
            if let Some(key_queue) = self.keys.get_mut(&key) {
                key_queue.queue.retain(|&queued| queued != id);
                if key_queue.queue.is_empty() && key_queue.hold_off_until <= self.now {
                    self.keys.remove(&key);
                }
            }
        }
    }

    /// Evaluates the outcome of a call for its route and endpoint: the reported limit and failure signals.
    /// Only the first attempt of a call to end is evaluated. `age`: time since the call was sent; `overdue`:
    /// the call was counted as overdue before.
    fn evaluate_call(&mut self, e: &AttemptEnd, route_id: RouteId, age: Ns, overdue: bool) {
        let now = self.now;
        let draw = self.random();
        let jitter = 0.5 + draw;
        let n = sender_count(&self.cfg);
        let base_share = self.base_limit_share();
        let has_queue = self.dests.get(&route_id.0).is_some_and(|d| !d.queue.is_empty());
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&e.endpoint) else { return };
        let mut remaining = None;
        if let Some(report) = e.report {
            if report.limit.is_finite() && report.limit >= 0.0 {
                // Reports are a little noisy, so they are smoothed. One that is far off means that the limit
                // has changed, and a sender that seldom calls the destination cannot wait for more of them.
                route.limit = Some(match route.limit {
                    Some(old) if (report.limit - old).abs() < REPORT_NOISE * old => {
                        old + 0.3 * (report.limit - old)
                    }
                    _ => report.limit,
                });
                remaining = (report.limit > 0.0).then_some(report.remaining);
            }
        }
        let sign = match e.outcome {
            Outcome::Served => {
                endpoint.served_at = now;
                endpoint.avoid_until = now;
                // An endpoint that is down refuses connections too, but one that serves soon after was up,
                // with its connections exhausted.
                if now - endpoint.refused_at < EXHAUSTED_EVIDENCE && !route.suspect {
                    self.exhausted_at.insert(endpoint.kind, now);
                }
                route.served.record(now, 1.0);
                route.proven_rate = route.proven_rate_now(now).max(rate_per_s(route.served.weight_at(now)));
                route.proven_at = now;
                route.rejections = 0;
                route.on_success(&self.cfg, now, age, overdue);
                // The share follows what remains of the allowance, the only sign of other senders' calls. A
                // share that has grown is not held for `SHARE_TTL`: it starts to return to the base share at
                // once.
                let share = route.share_now(now, base_share);
                (route.limit_share, route.share_at) = match remaining {
                    Some(fraction) if fraction > 0.5 => {
                        let share_max = if has_queue { 1.0 } else { share.max(base_share) };
                        ((share * n.powf(SHARE_GROWTH_EXPONENT)).min(share_max), now - SHARE_TTL)
                    }
                    Some(fraction) if fraction < 0.2 => ((share * 0.95).max(0.7 / n), now),
                    _ => (share, now),
                };
                FailureSign::None
            }
            // Answers may carry reports here, so a rejection without one may have been sent before the call
            // was read, because the connections of the endpoint are exhausted.
            Outcome::TurnedAway if self.cfg.limit_reports && e.report.is_none() && e.retry_after == 0 => {
                self.exhausted_at.insert(endpoint.kind, now);
                endpoint.avoid_until = now + SECOND;
                route.backoff_until = route.backoff_until.max(now + (CONTROL_PERIOD as f64 * jitter) as Ns);
                FailureSign::Ambiguous
            }
            Outcome::TurnedAway => {
                route.rejections += 1;
                route.limit_share = (route.share_now(now, base_share).min(1.0 / n) * 0.8).max(0.5 / n);
                // The share does not grow back during the pause before the next call. Otherwise the shares of
                // all rejected senders would, and their retries would use up the limit.
                let rate = route.limit.unwrap_or(route.rate_hint) * route.limit_share;
                route.share_at = now + if rate > 0.0 { (1e9 / rate).min(30e9) as Ns } else { 0 };
                route.tokens = route.tokens.min(0.0);
                let backoff = (CONTROL_PERIOD << (route.rejections - 1).min(4)) as f64 * jitter;
                route.backoff_until = route.backoff_until.max(now + backoff as Ns);
                // A report shows the cause: the limit if little of the allowance remains, an outage if much
                // does. Without one, a long retry-after or enough rejections in a row count as an outage.
                let may_be_limit = e.retry_after < OUTAGE_WAIT && route.rejections < SUSPECT_FAILURES;
                FailureSign::certain_if(remaining.map_or(!may_be_limit, |r| r > 0.4))
            }
            Outcome::NoConnection => {
                endpoint.refused_at = now;
                endpoint.avoid_until = now + SECOND;
                // If the endpoint served another call meanwhile, it is up and all its connections are in use.
                if endpoint.served_at < now.saturating_sub(e.took.max(self.cfg.tick)) {
                    FailureSign::Certain
                } else {
                    FailureSign::None
                }
            }
            // The endpoint may have closed an idle connection; a call on a new one will show whether it is
            // down. A closed connection shows at once, though. An overdue call met an outage, and the server
            // that resets it may have just recovered.
            Outcome::ConnectionLost if e.reused_connection && !overdue => FailureSign::StaleConnection,
            Outcome::ServerError | Outcome::NoAnswer | Outcome::ConnectionLost => {
                endpoint.avoid_until = now + SECOND;
                FailureSign::Certain
            }
            Outcome::CalledOff => {
                route.longest_cancelled = route.longest_cancelled.max(if overdue { age } else { 0 });
                FailureSign::None
            }
            Outcome::NotSent => {
                route.backoff_until = now + 4 * self.cfg.tick;
                FailureSign::None
            }
        };
        if sign != FailureSign::None {
            let is_repeated = overdue && e.outcome == Outcome::NoAnswer;
            let signal = FailureSignal {
                is_counted: sign == FailureSign::Certain && !is_repeated,
                explicit: true,
                sent: now - age,
                ends_at: (e.retry_after > 0).then(|| now.saturating_add(e.retry_after)),
                is_stale_connection: sign == FailureSign::StaleConnection,
            };
            self.on_signal(route_id, signal);
        }
    }

    /// Records a failure signal. All kinds are treated alike, so that unforeseen kinds of outage are covered
    /// too. If an overdue call is served after all, the route was only slow, and the success revokes the
    /// signal. This does harm where errors are common but the destination is otherwise healthy.
    fn on_signal(&mut self, id: RouteId, signal: FailureSignal) {
        if let Some(route) = self.routes.get_mut(&id) {
            let known_before = route.known_recovery();
            route.on_failure(&self.cfg, self.now, signal);
            self.outage_revision += u64::from(route.known_recovery() > known_before);
        }
    }

    /// Overdue calls are a failure signal before they time out, which calls with unsafe messages may never
    /// do. The endpoint of an overdue call is avoided. The call counts as a signal, once, if that endpoint
    /// has served nothing since the call was sent or for as long as the overdue threshold. The other
    /// endpoints of the destination are not considered: when one of two hangs, the other goes on serving.
    fn detect_overdue(&mut self) {
        let mut overdue_routes = Vec::new();
        for call in self.calls.values_mut() {
            let threshold = overdue_after(&self.cfg, &self.dests[&call.dest], self.now);
            let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { continue };
            if self.now - call.sent > threshold {
                endpoint.avoid_until = endpoint.avoid_until.max(self.now + SECOND);
                let silent = endpoint.served_at < call.sent || self.now - endpoint.served_at > threshold;
                if silent && !call.overdue {
                    call.overdue = true;
                    overdue_routes.push((call.route, call.sent));
                }
            }
        }
        for (route, sent) in overdue_routes {
            self.on_signal(route, FailureSignal { is_counted: true, sent, ..FailureSignal::default() });
        }
    }

    /// Sets how many senders share the limits. This sender's share of each limit changes in proportion at
    /// once.
    fn set_sender_count(&mut self, n: usize) {
        let before = sender_count(&self.cfg);
        self.cfg.sender_count = n;
        let change = before / sender_count(&self.cfg);
        self.routes.values_mut().for_each(|r| r.limit_share = (r.limit_share * change).min(1.0));
    }

    /// Returns the fraction of a limit that this sender may use without queued messages: a little more than a
    /// fair share (see `BASE_FAIR_SHARES`).
    fn base_limit_share(&self) -> f64 {
        let n = sender_count(&self.cfg);
        ((BASE_FAIR_SHARES + SMALL_FLEET_FAIR_SHARES / n) / n).min(1.0)
    }

    /// Returns when the route may next be called: at once if the time is not after now, and not before
    /// another event if it is `Ns::MAX`.
    fn ready_at(&mut self, id: RouteId) -> Ns {
        let now = self.now;
        let Some(route) = self.routes.get(&id) else {
            return Ns::MAX;
        };
        let blocked_until = route.retry_after_until.max(route.backoff_until);
        if blocked_until > now {
            return blocked_until;
        }
        let base_share = self.base_limit_share();
        let route = self.routes.get_mut(&id).expect("looked up above");
        route.update_slow_start(&self.cfg, now);
        if route.is_paced() {
            return self.paced_ready_at(id);
        }
        let limit = route.limit.unwrap_or(route.rate_hint);
        let rate = if limit > 0.0 { limit * route.share_now(now, base_share) } else { f64::INFINITY };
        let burst = (0.4 * rate).clamp(1.0, 4.0);
        if rate.is_infinite() {
            // Calls without a limit must not build up a token debt, which would block slow start for long
            // after an outage.
            (route.tokens, route.refilled_at) = (1.0, now);
            return now;
        }
        let elapsed = (now - route.refilled_at).max(0) as f64 / 1e9;
        route.tokens = (route.tokens + elapsed * rate).min(burst);
        route.refilled_at = route.refilled_at.max(now);
        if route.tokens >= 1.0 {
            now
        } else {
            now.max(route.refilled_at) + ((1.0 - route.tokens) / rate * 1e9) as Ns + 1
        }
    }

    /// Returns when a route that is suspect or in slow start may next be called, in the same form.
    fn paced_ready_at(&mut self, id: RouteId) -> Ns {
        let (now, base_share) = (self.now, self.base_limit_share());
        let needs_draw = self.routes.get(&id).is_some_and(|route| route.needs_draw(&self.cfg, now));
        let draw = needs_draw.then(|| self.random());
        let route = self.routes.get_mut(&id).expect("a paced route is known");
        if route.suspect && route.in_flight > 0 {
            return Ns::MAX;
        }
        let limit = route.limit.unwrap_or(route.rate_hint);
        let mut rate = route.paced_rate(&self.cfg, now);
        if limit > 0.0 && !route.suspect {
            rate = rate.min(limit * route.share_now(now, base_share));
        }
        route.refill_paced(now, rate, draw);
        if route.tokens >= 1.0 {
            now
        } else {
            now.saturating_add(((1.0 - route.tokens) / rate * 1e9) as Ns + 1)
        }
    }

    /// Returns whether a message may be sent to the endpoint `to`, or refused if `to` is `None`. Every send
    /// and every refusal passes this guard, so that no effect happens twice: a client may submit a refused
    /// message again.
    fn allows(&self, open: &OpenMessage, to: Option<EndpointId>) -> bool {
        let class = &self.cfg.classes[open.message.class];
        if to.is_some() {
            let no_attempts_left = open.attempts.len() >= self.cfg.max_attempts as usize;
            if open.finished || no_attempts_left || (open.is_in_flight() && !self.cfg.may_duplicate) {
                return false;
            }
        }
        let mut may_have_run = open.attempts.iter().filter(|a| a.in_flight || a.may_have_run).peekable();
        if may_have_run.peek().is_none() {
            return true;
        }
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed => match to {
                None => class.dedup_scope == DedupScope::All,
                Some(to) => may_have_run.all(|a| {
                    let in_scope = match class.dedup_scope {
                        DedupScope::All => true,
                        DedupScope::Zone => self.endpoints.get(&to).is_some_and(|e| e.zone == a.zone),
                        DedupScope::Endpoint => a.endpoint == to,
                    };
                    in_scope && self.now + self.cfg.tick < a.sent.saturating_add(class.dedup_window)
                }),
            },
        }
    }

    /// Returns whether the order of its key allows sending a message: only the oldest one of a key may be
    /// sent, and its first attempt waits for the hold-off after an attempt of the previous one that may still
    /// run.
    fn is_next_of_key(&self, open: &OpenMessage) -> bool {
        let (true, Some(key)) = (self.cfg.classes[open.message.class].in_order, open.message.key) else {
            return true;
        };
        self.keys.get(&key).is_some_and(|k| {
            k.queue.front() == Some(&open.message.id)
                && (k.hold_off_until <= self.now || !open.attempts.is_empty())
        })
    }

    /// Returns the value of a message if it is delivered at the time `at`; 0 after it expires.
    fn value_at(&self, open: &OpenMessage, at: Ns) -> f64 {
        let class = &self.cfg.classes[open.message.class];
        if at > open.expires_at {
            0.0
        } else {
            class.value_at(at - open.submitted_at, open.message.expected_work, self.cfg.exponential_decay)
        }
    }

    /// Makes all calls that are possible now, the one with the most value per time in a slot first. While all
    /// slots are in use, this runs only once per control period.
    fn dispatch(&mut self, periodic: bool, actions: &mut Vec<Action>) {
        if self.calls.len() >= self.cfg.slots && !periodic {
            return;
        }
        let due = self.agenda.range(..=(self.now, DestId::MAX));
        let mut to_evaluate: Vec<DestId> = due.map(|&(_, id)| id).collect();
        let mut candidates: Vec<Candidate> = Vec::new();
        loop {
            for id in to_evaluate.drain(..) {
                match self.candidate(id) {
                    Ok(candidate) => candidates.push(candidate),
                    Err(at) => self.set_due(id, at),
                }
            }
            let best = (0..candidates.len()).max_by(|&a, &b| candidates[a].3.total_cmp(&candidates[b].3));
            let Some(best) = best.filter(|_| self.calls.len() < self.cfg.slots) else { break };
            let (dest, endpoint, ids, _) = candidates.swap_remove(best);
            self.send(dest, endpoint, &ids, actions);
            to_evaluate.push(dest);
        }
        if self.cfg.may_cancel && !candidates.is_empty() && !self.calls.values().any(|c| c.cancelled) {
            // Overdue calls are detected first, because one that is cancelled before the next control period
            // would leave no failure signal.
            self.detect_overdue();
            self.cancel_overdue_call(actions);
        }
    }

    /// With all slots in use and messages waiting, cancels the oldest call that is overdue and whose messages
    /// may all be retried, or that has been in flight for three times the overdue threshold. An unsafe
    /// message of the latter fails, because its slot can serve many others. This guards against hung or lossy
    /// destinations that hold every slot. It would do harm where everything is slow or a message takes long
    /// by itself, so a message is cancelled at most once before that longer time.
    fn cancel_overdue_call(&mut self, actions: &mut Vec<Action>) {
        // Messages of the call whose attempts have ended do not count: a single one that hangs holds the
        // slot.
        let may_retry = |id: &MsgId| {
            self.messages.get(id).is_none_or(|open| {
                let possible_runs = open.attempts.iter().filter(|a| a.may_have_run).count();
                !open.is_in_flight() || possible_runs == 1 && self.now + SECOND < self.retry_until(open)
            })
        };
        let may_cancel = |c: &Call| {
            let (age, threshold) =
                (self.now - c.sent, overdue_after(&self.cfg, &self.dests[&c.dest], self.now));
            age > threshold && c.messages.iter().all(may_retry) || age > 3 * threshold
        };
        let Some(call_id) = self.calls.iter().find(|(_, c)| may_cancel(c)).map(|(&k, _)| k) else { return };
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.cancelled = true;
        for &id in &call.messages {
            let mut attempts = self.messages.get(&id).into_iter().flat_map(|open| open.attempts.iter());
            if let Some(attempt) = attempts.position(|a| a.call == call_id && a.in_flight) {
                actions.push(Action::Cancel { id, attempt: attempt as u32 });
            }
        }
    }

    /// Returns until when a message may be retried if all its attempts so far may have run; never for an
    /// unsafe one.
    fn retry_until(&self, open: &OpenMessage) -> Ns {
        let class = &self.cfg.classes[open.message.class];
        let first_sent = open.attempts.iter().find(|a| a.may_have_run).map_or(self.now, |a| a.sent);
        match class.effect {
            Effect::Safe => open.expires_at,
            Effect::Keyed => open.expires_at.min(first_sent.saturating_add(class.dedup_window)),
            Effect::Unsafe => Ns::MIN,
        }
    }

    /// Returns the best call that can be made to a destination now, or else when one may be possible
    /// (`Ns::MAX`: not before another event).
    fn candidate(&mut self, id: DestId) -> Result<Candidate, Ns> {
        let now = self.now;
        let dest = &self.dests[&id];
        if dest.queue.is_empty() || dest.in_flight >= dest.cap {
            return Err(Ns::MAX);
        }
        let mut best: Option<(bool, bool, usize, bool, Ns, EndpointId)> = None;
        let mut wake = Ns::MAX;
        for endpoint in dest.endpoints.clone() {
            if !self.endpoints.get(&endpoint).is_some_and(|e| e.dest == id && e.usable) {
                continue;
            }
            let route_id = self.route_of(endpoint);
            let at = self.ready_at(route_id);
            if at > now {
                wake = wake.min(at);
                continue;
            }
            if self.routes[&route_id].suspect
                && self.probes_in_flight >= ((self.cfg.slots as f64 * PROBE_SLOT_FRACTION) as usize).max(1)
            {
                continue;
            }
            let e = &self.endpoints[&endpoint];
            let conns = if now - e.used_at < self.cfg.idle_timeout { e.conns } else { e.in_flight };
            let needs_connection = e.in_flight >= conns * self.cfg.streams_per_conn;
            let costly_zone = self.cfg.price_cross_zone > 0.0 && e.zone != self.cfg.zone;
            // The load is compared before open connections: where one connection carries many calls, all
            // calls would go to the same endpoint otherwise.
            let key = (e.avoid_until > now, costly_zone, e.in_flight, needs_connection, e.used_at, endpoint);
            best = Some(best.map_or(key, |b| b.min(key)));
        }
        let Some((.., endpoint)) = best else { return Err(wake) };
        let dest = &self.dests[&id];
        let route = &self.routes[&self.route_of(endpoint)];
        // The urgency of a message is the value that is lost if it is sent last of the queue instead of now.
        // In a short queue that is little except for the oldest messages. In a long queue it is all of the
        // value, so that fresh messages go first and late ones get the remaining capacity.
        let batch = self.cfg.kinds.get(self.endpoints[&endpoint].kind).map_or(1, |k| k.batch.max(1));
        let delay = (dest.queue.len() as f64 * dest.service_interval_ns(now)) as Ns;
        let delay = delay.clamp(SECOND, 30 * SECOND);
        let latency = dest.latency.mean() as Ns;
        let mut by_urgency: Vec<(f64, MsgId)> = Vec::new();
        for &m in &dest.queue {
            let open = &self.messages[&m];
            if !self.allows(open, Some(endpoint)) || !self.is_next_of_key(open) {
                continue;
            }
            let mut urgency = self.value_at(open, now + latency) - self.value_at(open, now + latency + delay);
            // A probe may be lost, and an unsafe message could not be retried then, so it goes last.
            if route.suspect && self.cfg.classes[open.message.class].effect == Effect::Unsafe {
                urgency -= 1e6;
            }
            if open.unattempted {
                urgency += UNATTEMPTED_BONUS - ((open.expires_at - now) / SECOND) as f64;
            }
            by_urgency.push((urgency, m));
        }
        if by_urgency.is_empty() {
            return Err(wake);
        }
        by_urgency.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        by_urgency.truncate(batch);
        let gain = |open: &OpenMessage| {
            self.value_at(open, now + latency) + if open.unattempted { UNATTEMPTED_BONUS } else { 0.0 }
        };
        let gain: f64 = by_urgency.iter().map(|&(_, m)| gain(&self.messages[&m])).sum();
        // Destinations compete for slots by the value per time for which a call uses its slot.
        let slot_time = latency.max(CONTROL_PERIOD) as f64;
        Ok((id, endpoint, by_urgency.into_iter().map(|(_, m)| m).collect(), gain / slot_time))
    }

    /// Sends one call with these messages and updates all counters that depend on it.
    fn send(&mut self, id: DestId, endpoint: EndpointId, ids: &[MsgId], actions: &mut Vec<Action>) {
        let now = self.now;
        let route_id = self.route_of(endpoint);
        let route = self.routes.get_mut(&route_id).expect("a candidate's route is known");
        route.in_flight += 1;
        route.tokens -= 1.0;
        let probe = route.suspect;
        self.probes_in_flight += probe as usize;
        let state = self.endpoints.get_mut(&endpoint).expect("a candidate's endpoint is known");
        let zone = state.zone;
        state.idle_time = now.saturating_sub(state.used_at);
        if state.idle_time >= self.cfg.idle_timeout {
            state.conns = state.in_flight;
        }
        state.in_flight += 1;
        state.used_at = now;
        state.conns = state.conns.max(state.in_flight.div_ceil(self.cfg.streams_per_conn));
        let cap_max = cap_max(&self.cfg);
        let dest = self.dests.get_mut(&id).expect("a candidate's destination is known");
        dest.in_flight += 1;
        let level = dest.in_flight.min(cap_max);
        let call_timeout = 2 * overdue_after(&self.cfg, dest, now);
        dest.queue.retain(|queued| !ids.contains(queued));
        let (call, pending) = (self.next_call, ids.len());
        self.next_call += 1;
        let (route, messages) = (route_id, ids.to_vec());
        let new =
            Call { dest: id, endpoint, route, level, sent: now, pending, probe, messages, ..Call::default() };
        self.calls.insert(call, new);
        for &m in ids {
            // A repeat that a slow connection delays past the dedup window would not be dropped, but run
            // again.
            let open = &self.messages[&m];
            let is_repeat = open.attempts.iter().any(|a| a.may_have_run);
            let write_by = if is_repeat { self.retry_until(open) } else { open.expires_at };
            let open = self.messages.get_mut(&m).expect("queued messages are known");
            let was_unattempted = std::mem::replace(&mut open.unattempted, false);
            open.accepted = true;
            open.attempts.push(Attempt {
                endpoint,
                zone,
                call,
                sent: now,
                in_flight: true,
                may_have_run: true,
                was_unattempted,
            });
            // A timeout helps only where the message may then be retried.
            let retry_at = now + call_timeout + 2 * self.cfg.tick;
            let may_retry = retry_at < self.retry_until(&self.messages[&m]);
            let timeout = if may_retry { call_timeout } else { 0 };
            actions.push(Action::Send { id: m, endpoint, timeout, write_by });
        }
    }

    /// Returns when the time left of a message no longer covers a call.
    fn latest_send(&self, open: &OpenMessage) -> Ns {
        let latency = self.dests[&open.message.dest].latency.mean() as Ns;
        let target = self.cfg.classes[open.message.class].target;
        open.expires_at - (latency / 2).min(target / 4).max(2 * self.cfg.tick)
    }

    /// Ends all queued messages that have no time left or may not be retried, and finds when the next one has
    /// no time left.
    fn end_undeliverable(&mut self, actions: &mut Vec<Action>) {
        let queued = self.active.iter().flat_map(|d| self.dests[d].queue.iter().copied()).collect::<Vec<_>>();
        self.expiry_at =
            queued.into_iter().map(|id| self.end_if_undeliverable(id, actions)).min().unwrap_or(Ns::MAX);
    }

    /// Ends a queued message that has no time left or may not be retried. Only the endpoint of the first
    /// attempt is tested for a retry. Returns when the message has no time left.
    fn end_if_undeliverable(&mut self, id: MsgId, actions: &mut Vec<Action>) -> Ns {
        let open = &self.messages[&id];
        let stuck = open.attempts.first().is_some_and(|first| !self.allows(open, Some(first.endpoint)));
        let at = self.latest_send(open);
        if stuck || at <= self.now {
            self.refuse_or_fail(id, actions);
        }
        at
    }

    /// Ends a message: refuses it if its client may submit it again, fails it otherwise.
    fn refuse_or_fail(&mut self, id: MsgId, actions: &mut Vec<Action>) {
        let open = &self.messages[&id];
        actions.push(if self.allows(open, None) {
            Action::Refuse { id, backoff: self.backoff(open.message.dest) }
        } else {
            Action::Fail { id }
        });
        self.finish(id);
    }

    /// Returns how long a client should wait before it submits a refused message again: one service interval
    /// of the destination, after which it has capacity for one more message. It is at most
    /// `Settings::max_retry_after`, but at least 100 ms.
    pub fn backoff(&self, dest: DestId) -> Ns {
        let interval = self.dests.get(&dest).map_or(0.0, |d| d.service_interval_ns(self.now));
        (interval as Ns).min(self.cfg.max_retry_after).max(ADMISSION_WAIT_MIN)
    }

    /// Returns whether a message is accepted. One that is submitted above the shed threshold is accepted only
    /// once a call was made for it or the admission wait has passed. Until then its client has no answer, and
    /// it may be refused at no cost. A message that is not open any more counts as accepted.
    pub fn is_accepted(&self, id: MsgId) -> bool {
        self.messages.get(&id).is_none_or(|open| open.accepted)
    }

    /// Returns how many messages may be open before messages are shed.
    fn shed_threshold(&self) -> usize {
        (self.cfg.max_open as f64 * SHED_THRESHOLD) as usize
    }

    /// Returns what it costs to return a message, in addition to the value that it may still have.
    fn return_cost(&self, open: &OpenMessage) -> f64 {
        let class = &self.cfg.classes[open.message.class];
        let premature = ((self.now - open.submitted_at) as f64) < PREMATURE_AGE * class.deadline as f64;
        let may_have_run = open.attempts.iter().any(|a| a.in_flight || a.may_have_run);
        let no_attempts_left = open.attempts.len() >= self.cfg.max_attempts as usize;
        if open.accepted && premature && !may_have_run && !no_attempts_left {
            PREMATURE_RETURN_COST * class.value
        } else {
            0.0
        }
    }

    /// Above the shed threshold, refuses messages that are past the admission wait, those with the smallest
    /// loss of value first.
    fn shed_load(&mut self, actions: &mut Vec<Action>) {
        let mut excess = self.open_count.saturating_sub(self.shed_threshold());
        let mut by_loss: Vec<(f64, MsgId)> = Vec::new();
        let mut admitted = Vec::new();
        for dest in self.active.iter().map(|id| &self.dests[id]) {
            let wait = ADMISSION_WAIT_MIN.max((dest.latency.mean() / 10.0) as Ns);
            // A message counts with the value that it will have when it is served. Far back in a slow queue
            // that is little, whatever its value is now: the queue of a failing destination must not take the
            // space of the healthy ones.
            let interval = dest.service_interval_ns(self.now);
            for (position, &id) in dest.queue.iter().enumerate() {
                let open = &self.messages[&id];
                // A client that has no answer yet waits no longer than necessary.
                let waited = self.now - open.arrived > if open.accepted { wait } else { ADMISSION_WAIT_MIN };
                if waited && !open.accepted {
                    admitted.push(id);
                } else if !waited && !open.accepted {
                    // No message is shed in favor of one that may yet be refused itself.
                    excess = excess.saturating_sub(1);
                }
                if waited && self.allows(open, None) {
                    let served_at = self.now + ((position + 1) as f64 * interval) as Ns;
                    let bonus = if open.unattempted { UNATTEMPTED_BONUS } else { 0.0 };
                    by_loss.push((bonus + self.return_cost(open) + self.value_at(open, served_at), id));
                }
            }
        }
        by_loss.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, id) in by_loss.into_iter().take(excess) {
            self.refuse_or_fail(id, actions);
        }
        for id in admitted {
            if let Some(open) = self.messages.get_mut(&id) {
                open.accepted = true;
            }
        }
    }
}

/// Returns the greatest cap: caps run from one to three quarters of the slots.
fn cap_max(cfg: &Settings) -> usize {
    (cfg.slots * 3 / 4).max(1)
}

/// Returns how long a call may be in flight before it is overdue. Until the latency is measured, that is the
/// longest target of all classes, which is also the maximum.
fn overdue_after(cfg: &Settings, dest: &Dest, now: Ns) -> Ns {
    let target = cfg.classes.iter().map(|c| c.target).max().unwrap_or(SECOND).max(OVERDUE_MIN);
    if dest.latency.weight_at(now) < MIN_WEIGHT {
        return target;
    }
    (dest.latency.upper_bound(OVERDUE_DEVIATIONS) as Ns).clamp(OVERDUE_MIN, target)
}

/// Sets the cap by the paper's rule: the level with the highest score, where the score of a level is the
/// level times the fraction of arriving messages whose class meets its target there.
fn choose_cap(cfg: &Settings, dest: &mut Dest, now: Ns) {
    let cap_max = cap_max(cfg);
    let shares: Vec<f64> = dest.arrivals.iter().map(|a| a.weight_at(now)).collect();
    let mut scores = vec![0.0; cap_max + 1];
    for (class, settings) in cfg.classes.iter().enumerate() {
        let stats = &dest.latency_by_level[class * (cap_max + 1)..(class + 1) * (cap_max + 1)];
        let measured: Vec<usize> = (1..=cap_max).filter(|&l| stats[l].weight_at(now) >= MIN_WEIGHT).collect();
        for (level, score) in scores.iter_mut().enumerate().skip(1) {
            // A level without measurements uses those of the nearest level that has some. A class without any
            // is taken to meet its target up to the present cap.
            let meets = match measured.iter().min_by_key(|&&m| (m.abs_diff(level), m)) {
                Some(&nearest) => stats[nearest].upper_bound(1.0) < settings.target as f64,
                None => level <= dest.cap,
            };
            if meets {
                *score += level as f64 * shares[class];
            }
        }
    }
    let best = (1..=cap_max).max_by(|&a, &b| scores[a].total_cmp(&scores[b])).unwrap_or(1);
    if scores[best] <= 0.0 && shares.iter().sum::<f64>() > MIN_WEIGHT {
        // No class meets its target at any level, so the destination hangs. The paper would keep the cap;
        // here the slots go to other destinations.
        dest.cap = 1;
    } else if scores[best] > scores[dest.cap] * (1.0 + 1e-9) {
        dest.cap = best;
    }
}

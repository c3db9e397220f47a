//! The decisions of a sender. The interface (settings, events, actions) is `src/api.rs`.
//!
//! Normal operation follows the QoSmax paper: every `CONTROL_PERIOD` each destination gets a cap on its calls
//! in flight, the level with the highest score: level x share of classes whose mean latency + deviation is
//! under target. Below the cap a message is sent, else queued; above `SHED_THRESHOLD` what queued too long is
//! refused. Around this: pacing for rate limits, a suspect state per route, and guards of the delivery rules.

use crate::api::*;
use crate::recovery::{sender_count, FailureSignal, OUTAGE_WAIT};
use crate::stat::{rate_per_s, DecayingStat, MIN_WEIGHT};
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};

mod memory;

/// How often caps are chosen, queued messages checked and overdue calls detected (the paper's control rate).
const CONTROL_PERIOD: Ns = 100 * MS;
/// The paper's admission wait: this or 10% of the expected run time, whichever is longer.
const ADMISSION_WAIT_MIN: Ns = 100 * MS;
/// Fraction of `Settings::max_open` above which messages past the admission wait are refused.
const SHED_THRESHOLD: f64 = 0.9;
/// Half-life of a route's proven rate: much longer than outages, so that it is still known after one.
const PROVEN_RATE_HALF_LIFE_NS: f64 = 600e9;
/// Fraction of the slots that probes of all suspect routes may use together.
const PROBE_SLOT_FRACTION: f64 = 0.25;
const ESTIMATED_RATE_TRUST: f64 = 0.6;
/// A call is overdue after mean + this many deviations, and times out after twice that if it may be retried.
const OVERDUE_DEVIATIONS: f64 = 3.0;
const OVERDUE_MIN: Ns = 400 * MS;

/// More than any value: recovered messages without an attempt are sent before new ones, the least time left
/// first, and refused last. They were accepted first, and a client that knows this submits them nowhere else.
const UNATTEMPTED_BONUS: f64 = 1e4;

/// Returning an accepted message that has not run, before this fraction of its deadline, costs this fraction
/// of its value by the terms of service: its client has lost time in which to submit it elsewhere.
const PREMATURE_AGE: f64 = 0.7;
const PREMATURE_RETURN_COST: f64 = 0.3;

/// An endpoint that refuses a connection and serves a call within this time is up but has its connections
/// exhausted; all endpoints of its kind are then treated so for `EXHAUSTED_TTL`.
const EXHAUSTED_EVIDENCE: Ns = 3 * SECOND;
const EXHAUSTED_TTL: Ns = 60 * SECOND;

/// A limit share holds this long after a report on the use of the limit. Then it doubles or halves with each
/// further interval until it is back at `base_limit_share`.
const SHARE_TTL: Ns = 5 * SECOND;

/// Fair shares of a limit that one sender may use while none of its own work is queued for more.
const BASE_FAIR_SHARES: f64 = 1.4;
/// Load is less even over few senders: this, divided by their number, is added to the fair shares above.
const SMALL_FLEET_FAIR_SHARES: f64 = 4.0;

/// A reported limit that differs from the known one by more than this fraction is a new limit and not noise.
const REPORT_NOISE: f64 = 0.3;

/// Each answer that reports headroom multiplies the limit share by the sender count to this power: as many
/// answers then lead from a fair share to the whole limit, whatever the fleet size.
const SHARE_GROWTH_EXPONENT: f64 = 0.045;

impl Route {
    /// Without new reports the limit share returns to `base_share`, as other senders' calls are not seen.
    fn share_now(&self, now: Ns, base_share: f64) -> f64 {
        let decay = ((now - self.share_at - SHARE_TTL).max(0) as f64 / SHARE_TTL as f64).exp2();
        if self.limit_share > base_share {
            (self.limit_share / decay).max(base_share)
        } else {
            (self.limit_share * decay).min(base_share)
        }
    }

    pub fn proven_rate_now(&self, now: Ns) -> f64 {
        self.proven_rate * (-((now - self.proven_at) as f64) / PROVEN_RATE_HALF_LIFE_NS).exp2()
    }
}

impl Dest {
    fn service_interval_ns(&self, now: Ns) -> f64 {
        1e9 / rate_per_s(self.served.weight_at(now)).max(0.1)
    }
}

#[derive(Default)]
pub struct Sender {
    cfg: Settings,
    rng: u64,
    now: Ns,
    messages: BTreeMap<MsgId, OpenMessage>,
    open_count: usize,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    routes: BTreeMap<RouteId, Route>,
    dests: BTreeMap<DestId, Dest>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    keys: BTreeMap<u64, KeyQueue>,
    /// Destinations with calls in flight or queued messages; the others take no processing time.
    active: BTreeSet<DestId>,
    /// Those with queued messages, by when a call may be possible; an event makes its destination due now.
    agenda: BTreeSet<(Ns, DestId)>,
    probes_in_flight: usize,
    /// Endpoints whose calls ended in this batch, and when each kind last had its connections exhausted.
    released: Vec<EndpointId>,
    exhausted_at: BTreeMap<usize, Ns>,
    expiry_at: Ns,
    pruned_at: Ns,
    control_at: Ns,
    timer_at: Option<Ns>,
}

impl Sender {
    pub fn new(cfg: Settings, seed: u64) -> Sender {
        Sender { cfg, rng: seed, expiry_at: Ns::MAX, control_at: LONG_AGO, ..Sender::default() }
    }

    /// Processes all events of one batch, then decides.
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

    fn random(&mut self) -> f64 {
        self.rng = self.rng.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        (self.rng >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Where connections to a kind of endpoint are exhausted, closes idle ones that are seldom used, so that
    /// other senders can connect: all together keep about as many as three would. Costs handshakes.
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

    /// Applies a list. Draining and gone endpoints are unusable before anything of the batch is sent.
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
        let new = || Route { limit_share, share_at: now, tokens: 1.0, refilled_at: now, ..Route::default() };
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

    /// Adds a message of an earlier process. Its attempts count, and one then in flight may have run.
    fn recover_message(&mut self, message: Message, past: &[PastAttempt], actions: &mut Vec<Action>) {
        self.add_message(message);
        let Some(open) = self.messages.get_mut(&message.id) else { return };
        let zone =
            |e: Option<EndpointId>| e.and_then(|e| self.endpoints.get(&e)).map_or(usize::MAX, |e| e.zone);
        (open.unattempted, open.accepted) = (past.is_empty(), true);
        open.attempts.extend(past.iter().map(|p| Attempt {
            endpoint: p.endpoint.unwrap_or(EndpointId::MAX),
            zone: zone(p.endpoint),
            call: u64::MAX,
            sent: p.sent,
            in_flight: false,
            may_have_run: p.may_have_run,
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
            // What never reached it, and a reused connection that it had closed, say nothing about its load.
            let not_seen = matches!(e.outcome, Outcome::NotSent | Outcome::CalledOff | Outcome::NoConnection);
            if !not_seen && !e.reused_connection {
                let levels = dest.latency_by_level.len() / self.cfg.classes.len();
                dest.latency_by_level[message.class * levels + level].record(now, took as f64);
            }
            if e.outcome == Outcome::Served {
                dest.served.record(now, 1.0);
            }
            match e.outcome {
                // Clipped, so that one answer of a heavy tail does not stretch all timeouts; a slow period is
                // learned within a few answers. A timeout shows that the latency is longer still.
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
                // Messages of one call may end in several batches; a retry-after counts from each of these.
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

    /// Evaluates the first outcome of a call for its route: the reported limit and failure signals.
    fn evaluate_call(&mut self, e: &AttemptEnd, route_id: RouteId, age: Ns, overdue: bool) {
        let now = self.now;
        let draw = self.random();
        let jitter = 0.5 + draw;
        let n = sender_count(&self.cfg);
        let (base_share, arrivals) = (self.base_limit_share(), self.arrival_rate(route_id.0));
        let has_queue = self.dests.get(&route_id.0).is_some_and(|d| !d.queue.is_empty());
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&e.endpoint) else { return };
        let needed = route.slow_start_failures(&self.cfg, now, arrivals);
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
        let failed = match e.outcome {
            Outcome::Served => {
                endpoint.served_at = now;
                endpoint.avoid_until = now;
                // One that is down refuses too; if it serves soon after, its connections were exhausted.
                if now - endpoint.refused_at < EXHAUSTED_EVIDENCE && !route.suspect {
                    self.exhausted_at.insert(endpoint.kind, now);
                }
                route.served.record(now, 1.0);
                route.proven_rate = route.proven_rate_now(now).max(rate_per_s(route.served.weight_at(now)));
                route.proven_at = now;
                route.rejections = 0;
                route.on_success(&self.cfg, now, age, draw);
                // The share follows what remains of the allowance: others' calls are not seen otherwise.
                let share = route.share_now(now, base_share);
                (route.limit_share, route.share_at) = match remaining {
                    Some(fraction) if fraction > 0.5 => {
                        let share_max = if has_queue { 1.0 } else { share.max(base_share) };
                        ((share * n.powf(SHARE_GROWTH_EXPONENT)).min(share_max), now - SHARE_TTL)
                    }
                    Some(fraction) if fraction < 0.2 => ((share * 0.95).max(0.7 / n), now),
                    _ => (share, now),
                };
                false
            }
            // Without the report that answers carry here, it was rejected unread: connections are exhausted.
            Outcome::TurnedAway if self.cfg.limit_reports && e.report.is_none() && e.retry_after == 0 => {
                self.exhausted_at.insert(endpoint.kind, now);
                endpoint.avoid_until = now + SECOND;
                route.backoff_until = route.backoff_until.max(now + (CONTROL_PERIOD as f64 * jitter) as Ns);
                false
            }
            Outcome::TurnedAway => {
                route.rejections += 1;
                route.limit_share = (route.share_now(now, base_share).min(1.0 / n) * 0.8).max(0.5 / n);
                // The pause does not expire the share: else all grow back and use up the limit with retries.
                let rate = route.limit.unwrap_or(route.rate_hint) * route.limit_share;
                route.share_at = now + if rate > 0.0 { (1e9 / rate).min(30e9) as Ns } else { 0 };
                route.tokens = route.tokens.min(0.0);
                let backoff = (CONTROL_PERIOD << (route.rejections - 1).min(4)) as f64 * jitter;
                route.backoff_until = route.backoff_until.max(now + backoff as Ns);
                // Little remaining: the limit rejects. Outage: long wait, much remaining, or only rejections.
                remaining.map_or(e.retry_after >= OUTAGE_WAIT || route.rejections >= needed, |r| r > 0.4)
            }
            Outcome::NoConnection => {
                endpoint.refused_at = now;
                endpoint.avoid_until = now + SECOND;
                // If it answered another call meanwhile, it is up and all its connections are in use.
                endpoint.served_at < now.saturating_sub(e.took.max(self.cfg.tick))
            }
            // The endpoint may have closed an idle connection: a new one will show whether it is down. That
            // shows at once; an overdue call met an outage, and what resets it may have just recovered.
            Outcome::ConnectionLost if e.reused_connection && !overdue => false,
            Outcome::ServerError | Outcome::NoAnswer | Outcome::ConnectionLost => {
                endpoint.avoid_until = now + SECOND;
                true
            }
            Outcome::CalledOff => {
                route.longest_cancelled = route.longest_cancelled.max(if overdue { age } else { 0 });
                false
            }
            Outcome::NotSent => {
                route.backoff_until = now + 4 * self.cfg.tick;
                false
            }
        };
        if failed {
            let ends_at = (e.retry_after > 0).then(|| now.saturating_add(e.retry_after));
            // The reset of a long call may come with the recovery, which resets those of all senders at once.
            let recheck = ends_at.is_none() && !(age > OVERDUE_MIN && e.outcome == Outcome::ConnectionLost);
            let is_new = !(overdue && e.outcome == Outcome::NoAnswer);
            self.on_signal(route_id, FailureSignal { is_new, explicit: true, ends_at, recheck });
        }
    }

    /// Records a failure signal of any kind, also an unforeseen one. An overdue call that is then served was
    /// slow. Does harm where errors are common but the destination is otherwise healthy.
    fn on_signal(&mut self, id: RouteId, signal: FailureSignal) {
        let (draw, arrivals) = (self.random(), self.arrival_rate(id.0));
        if let Some(route) = self.routes.get_mut(&id) {
            route.on_failure(&self.cfg, self.now, signal, arrivals, draw);
        }
    }

    fn arrival_rate(&self, dest: DestId) -> f64 {
        let dest = self.dests.get(&dest);
        dest.map_or(0.0, |d| rate_per_s(d.arrivals.iter().map(|a| a.weight_at(self.now)).sum()))
    }

    /// Overdue calls are a failure signal before they time out, as unsafe ones may never do. Each counts once
    /// its endpoint has served nothing since it was sent, or for as long as a call may take (when one of two
    /// endpoints hangs, the other goes on serving); meanwhile its endpoint is avoided.
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
                    overdue_routes.push(call.route);
                }
            }
        }
        for route in overdue_routes {
            self.on_signal(route, FailureSignal { is_new: true, ..FailureSignal::default() });
        }
    }

    /// Sets how many senders share the limits: this sender's share of each changes at once.
    fn set_sender_count(&mut self, n: usize) {
        let before = sender_count(&self.cfg);
        self.cfg.sender_count = n;
        let change = before / sender_count(&self.cfg);
        self.routes.values_mut().for_each(|r| r.limit_share = (r.limit_share * change).min(1.0));
    }

    /// Returns the fraction of a limit that this sender uses without queued work: about a fair share.
    fn base_limit_share(&self) -> f64 {
        let n = sender_count(&self.cfg);
        ((BASE_FAIR_SHARES + SMALL_FLEET_FAIR_SHARES / n) / n).min(1.0)
    }

    /// Returns when the route may next be called; a time at or before now means that it may be called now.
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
        let slow_start_rate = route.slow_start_rate(&self.cfg, now);
        let route = self.routes.get_mut(&id).expect("looked up above");
        route.update_slow_start(&self.cfg, now);
        if route.suspect {
            return if route.in_flight > 0 { Ns::MAX } else { route.next_probe_at };
        }
        let recheck_at = route.recheck_at.unwrap_or(Ns::MAX);
        if recheck_at <= now {
            return now;
        }
        let limit = route.limit.unwrap_or(route.rate_hint);
        let mut rate = if limit > 0.0 { limit * route.share_now(now, base_share) } else { f64::INFINITY };
        let mut burst = (0.4 * rate).clamp(1.0, 4.0);
        if route.in_slow_start {
            (rate, burst) = (rate.min(slow_start_rate), 1.0);
        }
        if rate.is_infinite() {
            // No token debt from a time without a limit: it would block slow start long after an outage.
            (route.tokens, route.refilled_at) = (1.0, now);
            return now;
        }
        let elapsed = (now - route.refilled_at).max(0) as f64 / 1e9;
        route.tokens = (route.tokens + elapsed * rate).min(burst);
        route.refilled_at = route.refilled_at.max(now);
        if route.tokens >= 1.0 {
            now
        } else {
            recheck_at.min(now.max(route.refilled_at) + ((1.0 - route.tokens) / rate * 1e9) as Ns + 1)
        }
    }

    /// The one guard of every send (`to`) and refusal (`None`): no effect may happen twice.
    fn allows(&self, open: &OpenMessage, to: Option<EndpointId>) -> bool {
        let class = &self.cfg.classes[open.message.class];
        if to.is_some() {
            let spent = open.attempts.len() >= self.cfg.max_attempts as usize;
            if open.finished || spent || (open.is_in_flight() && !self.cfg.may_duplicate) {
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

    /// Only the oldest message of a key may be sent; its first attempt waits for the hold-off of the key.
    fn is_next_of_key(&self, open: &OpenMessage) -> bool {
        let (true, Some(key)) = (self.cfg.classes[open.message.class].in_order, open.message.key) else {
            return true;
        };
        self.keys.get(&key).is_some_and(|k| {
            k.queue.front() == Some(&open.message.id)
                && (k.hold_off_until <= self.now || !open.attempts.is_empty())
        })
    }

    fn value_at(&self, open: &OpenMessage, at: Ns) -> f64 {
        let class = &self.cfg.classes[open.message.class];
        if at > open.expires_at {
            0.0
        } else {
            class.value_at(at - open.submitted_at, open.message.expected_work, self.cfg.exponential_decay)
        }
    }

    /// Sends what may be sent now, the most valuable first. With all slots in use, it runs only periodically.
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
            // Detected first: a call cancelled before the next control period would leave no failure signal.
            self.detect_overdue();
            self.cancel_overdue_call(actions);
        }
    }

    /// With all slots in use and messages waiting, cancels the oldest overdue call if its messages may be
    /// retried, or after three times the threshold: an unsafe message then fails, as its slot serves others.
    /// Guards against hung or lossy destinations that hold every slot; would do harm where everything is slow
    /// or a message is heavy by itself, so each is cancelled at most once while it may be retried.
    fn cancel_overdue_call(&mut self, actions: &mut Vec<Action>) {
        // Messages of a call that have ended do not matter; one that hangs holds the slot for all.
        let may_retry = |id: &MsgId| {
            self.messages.get(id).is_none_or(|open| {
                let runs = open.attempts.iter().filter(|a| a.may_have_run).count();
                !open.is_in_flight() || runs == 1 && self.now + SECOND < self.retry_until(open)
            })
        };
        let may_cancel = |c: &Call| {
            let (age, bound) = (self.now - c.sent, overdue_after(&self.cfg, &self.dests[&c.dest], self.now));
            age > bound && c.messages.iter().all(may_retry) || age > 3 * bound
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

    /// Returns until when a message may be retried if all its attempts so far may have run.
    fn retry_until(&self, open: &OpenMessage) -> Ns {
        let class = &self.cfg.classes[open.message.class];
        let first_sent = open.attempts.iter().find(|a| a.may_have_run).map_or(self.now, |a| a.sent);
        match class.effect {
            Effect::Safe => open.expires_at,
            Effect::Keyed => open.expires_at.min(first_sent.saturating_add(class.dedup_window)),
            Effect::Unsafe => Ns::MIN,
        }
    }

    /// Returns the best call that can be made to a destination now, or else when one may be possible.
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
            let far = self.cfg.price_cross_zone > 0.0 && e.zone != self.cfg.zone;
            // Load before open connections: where one carries many calls, all would go to the same endpoint.
            let key = (e.avoid_until > now, far, e.in_flight, needs_connection, e.used_at, endpoint);
            best = Some(best.map_or(key, |b| b.min(key)));
        }
        let Some((.., endpoint)) = best else { return Err(wake) };
        let dest = &self.dests[&id];
        let route = &self.routes[&self.route_of(endpoint)];
        // Urgency is the value lost if sent last instead of now: in a short queue little but for the oldest,
        // in a long one all of it, so that fresh messages go first and late ones get the remaining capacity.
        let batch = self.cfg.kinds.get(self.endpoints[&endpoint].kind).map_or(1, |k| k.batch.max(1));
        let delay = (dest.queue.len() as f64 * dest.service_interval_ns(now)) as Ns;
        let delay = delay.clamp(SECOND, 30 * SECOND);
        let latency = dest.latency.mean() as Ns;
        let mut order: Vec<(f64, MsgId)> = Vec::new();
        for &m in &dest.queue {
            let open = &self.messages[&m];
            if !self.allows(open, Some(endpoint)) || !self.is_next_of_key(open) {
                continue;
            }
            let mut urgency = self.value_at(open, now + latency) - self.value_at(open, now + latency + delay);
            // A probe may be lost: an unsafe message could not be retried and goes last.
            if route.suspect && self.cfg.classes[open.message.class].effect == Effect::Unsafe {
                urgency -= 1e6;
            }
            if open.unattempted {
                urgency += UNATTEMPTED_BONUS - ((open.expires_at - now) / SECOND) as f64;
            }
            order.push((urgency, m));
        }
        if order.is_empty() {
            return Err(wake);
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        order.truncate(batch);
        let gain = |open: &OpenMessage| {
            self.value_at(open, now + latency) + if open.unattempted { UNATTEMPTED_BONUS } else { 0.0 }
        };
        let gain: f64 = order.iter().map(|&(_, m)| gain(&self.messages[&m])).sum();
        // Destinations compete for slots by value per time that the slot is held.
        let slot_time = latency.max(CONTROL_PERIOD) as f64;
        Ok((id, endpoint, order.into_iter().map(|(_, m)| m).collect(), gain / slot_time))
    }

    fn send(&mut self, id: DestId, endpoint: EndpointId, ids: &[MsgId], actions: &mut Vec<Action>) {
        let now = self.now;
        let route_id = self.route_of(endpoint);
        let draw = self.random();
        let probe_interval = self.routes[&route_id].probe_interval(&self.cfg, now, draw);
        let route = self.routes.get_mut(&route_id).expect("a candidate's route is known");
        route.in_flight += 1;
        route.tokens -= 1.0;
        route.next_probe_at = now + probe_interval;
        route.recheck_at = None;
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
            // A repeat that a slow connection delays past the dedup window would not be dropped as one.
            let open = &self.messages[&m];
            let is_repeat = open.attempts.iter().any(|a| a.may_have_run);
            let write_by = if is_repeat { self.retry_until(open) } else { open.expires_at };
            let o = self.messages.get_mut(&m).expect("queued messages are known");
            (o.unattempted, o.accepted) = (false, true);
            o.attempts.push(Attempt { endpoint, zone, call, sent: now, in_flight: true, may_have_run: true });
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

    fn end_undeliverable(&mut self, actions: &mut Vec<Action>) {
        let queued = self.active.iter().flat_map(|d| self.dests[d].queue.iter().copied()).collect::<Vec<_>>();
        self.expiry_at =
            queued.into_iter().map(|id| self.end_if_undeliverable(id, actions)).min().unwrap_or(Ns::MAX);
    }

    /// Ends a queued message that has no time left or may not be retried. Returns when its time runs out.
    fn end_if_undeliverable(&mut self, id: MsgId, actions: &mut Vec<Action>) -> Ns {
        let open = &self.messages[&id];
        let stuck = open.attempts.first().is_some_and(|first| !self.allows(open, Some(first.endpoint)));
        let at = self.latest_send(open);
        if stuck || at <= self.now {
            self.refuse_or_fail(id, actions);
        }
        at
    }

    fn refuse_or_fail(&mut self, id: MsgId, actions: &mut Vec<Action>) {
        let open = &self.messages[&id];
        actions.push(if self.allows(open, None) {
            Action::Refuse { id, backoff: self.backoff(open.message.dest) }
        } else {
            Action::Fail { id }
        });
        self.finish(id);
    }

    /// Returns when to submit a refused message again: capacity is free with the next service interval.
    pub fn backoff(&self, dest: DestId) -> Ns {
        let interval = self.dests.get(&dest).map_or(0.0, |d| d.service_interval_ns(self.now));
        (interval as Ns).min(self.cfg.max_retry_after).max(ADMISSION_WAIT_MIN)
    }

    /// Returns whether a message is accepted: above the shed threshold only once a call was made for it or it
    /// passed the admission wait. Until then its client has no answer, and it may be refused at no cost.
    pub fn is_accepted(&self, id: MsgId) -> bool {
        self.messages.get(&id).is_none_or(|open| open.accepted)
    }

    fn shed_threshold(&self) -> usize {
        (self.cfg.max_open as f64 * SHED_THRESHOLD) as usize
    }

    /// Returns what it costs to return a message, beside the value that it may still have.
    fn return_cost(&self, open: &OpenMessage) -> f64 {
        let class = &self.cfg.classes[open.message.class];
        let premature = ((self.now - open.submitted_at) as f64) < PREMATURE_AGE * class.deadline as f64;
        let may_have_run = open.attempts.iter().any(|a| a.in_flight || a.may_have_run);
        let spent = open.attempts.len() >= self.cfg.max_attempts as usize;
        if open.accepted && premature && !may_have_run && !spent {
            PREMATURE_RETURN_COST * class.value
        } else {
            0.0
        }
    }

    /// Above the shed threshold, refuses messages that are past the admission wait, the least loss first.
    fn shed_load(&mut self, actions: &mut Vec<Action>) {
        let mut excess = self.open_count.saturating_sub(self.shed_threshold());
        let mut order: Vec<(f64, MsgId)> = Vec::new();
        let mut admitted = Vec::new();
        for dest in self.active.iter().map(|id| &self.dests[id]) {
            let wait = ADMISSION_WAIT_MIN.max((dest.latency.mean() / 10.0) as Ns);
            // When it is served, a message far back in a slow queue has little value, whatever it has now: a
            // failing destination's queue must not take the space of the healthy ones.
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
                    order.push((bonus + self.return_cost(open) + self.value_at(open, served_at), id));
                }
            }
        }
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, id) in order.into_iter().take(excess) {
            self.refuse_or_fail(id, actions);
        }
        for id in admitted {
            if let Some(open) = self.messages.get_mut(&id) {
                open.accepted = true;
            }
        }
    }
}

fn cap_max(cfg: &Settings) -> usize {
    (cfg.slots * 3 / 4).max(1)
}

fn overdue_after(cfg: &Settings, dest: &Dest, now: Ns) -> Ns {
    let target = cfg.classes.iter().map(|c| c.target).max().unwrap_or(SECOND).max(OVERDUE_MIN);
    if dest.latency.weight_at(now) < MIN_WEIGHT {
        return target;
    }
    (dest.latency.upper_bound(OVERDUE_DEVIATIONS) as Ns).clamp(OVERDUE_MIN, target)
}

/// The paper's rule: the level with the highest score, level x share of classes that meet their target there.
fn choose_cap(cfg: &Settings, dest: &mut Dest, now: Ns) {
    let cap_max = cap_max(cfg);
    let shares: Vec<f64> = dest.arrivals.iter().map(|a| a.weight_at(now)).collect();
    let mut scores = vec![0.0; cap_max + 1];
    for (class, settings) in cfg.classes.iter().enumerate() {
        let stats = &dest.latency_by_level[class * (cap_max + 1)..(class + 1) * (cap_max + 1)];
        let measured: Vec<usize> = (1..=cap_max).filter(|&l| stats[l].weight_at(now) >= MIN_WEIGHT).collect();
        for (level, score) in scores.iter_mut().enumerate().skip(1) {
            // An unmeasured level uses the nearest one; an unmeasured class just meets its target at the cap.
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
        // Every class misses everywhere (hung): the paper would keep the cap; here others get the slots.
        dest.cap = 1;
    } else if scores[best] > scores[dest.cap] * (1.0 + 1e-9) {
        dest.cap = best;
    }
}

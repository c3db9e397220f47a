//! Every decision of a sender. The interface (settings, events, actions) is `src/api.rs`.
//!
//! Ordinary path, after the QoSmax paper: per destination a cap on calls in flight, chosen every `PERIOD`
//! as the level with the greatest level x share of classes whose mean + deviation is under their aim. Below
//! the cap a message goes, else it is held; what was held too long is refused once `ROOM` is used up.
//! Around it: a pace for rate limits, one state of doubt per route for outages, the guards of the six rules.

use crate::api::*;
use crate::recovery::{senders, Symptom, SHUT_WAIT};
use crate::stat::{per_second, Stat, MEASURED};
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};

mod memory;

/// How often caps are chosen, held messages swept and overdue calls noticed (the paper's control rate).
const PERIOD: Ns = 100 * MS;
/// The paper's admission wait: this or 10% of the expected run time, whichever is longer.
const ADMISSION: Ns = 100 * MS;
/// Share of the room that may be held before the admission wait counts.
const ROOM: f64 = 0.9;
/// Half-life of the most that a route has served: much longer than outages, so that none forgets it.
const PROVED: f64 = 600e9;
/// Share of the slots that calls to all routes in doubt may hold together.
const DOUBT_SLOTS: f64 = 0.25;
/// Part of a rough figure that is trusted.
const ROUGH: f64 = 0.6;
/// A call is overdue after mean + PATIENCE deviations, and timed out at twice that where it may go again.
const PATIENCE: f64 = 3.0;
const LEAST_PATIENCE: Ns = 400 * MS;

/// More than any worth: what a restart found untried goes before what is new, the least time first, and is
/// refused last. It was taken on first, and a client that was told so hands it in nowhere else.
const OWED: f64 = 1e4;

/// What has been taken on, has surely not run and is returned before this part of its time costs so much of
/// its worth, by the terms of service: its client has lost the time, and could have handed it in elsewhere.
const EARLY: f64 = 0.7;
const RETURNED: f64 = 0.3;

/// An endpoint that refuses a connection and serves within this is short of them, and not down; its kind is
/// then taken to be so for as long as `SCARCE`.
const SCARCE_SEEN: Ns = 3 * SECOND;
const SCARCE: Ns = 60 * SECOND;

/// What was told of a limit's use holds for so long; then the share used doubles each time, or halves, on its
/// way back to about an equal part.
const STALE: Ns = 5 * SECOND;

/// Equal parts of a limit that one sender may take while no work of its own waits for more.
const PARTS: f64 = 1.4;
/// Fewer senders carry less even parts: so many parts more, divided by their number.
const UNEVEN: f64 = 4.0;

/// A told limit that differs by more than this part from the one held is another limit, and no noise.
const CHANGED: f64 = 0.3;

/// Room left takes the share up by this power of the number of senders: as many answers lead from an equal
/// share to all, however many there are.
const RISE: f64 = 0.045;

impl Route {
    /// The share that may be used: what is not told again comes back to about an equal part, as others' calls
    /// are not seen.
    fn share_now(&self, now: Ns, parts: f64) -> f64 {
        let stale = ((now - self.share_at - STALE).max(0) as f64 / STALE as f64).exp2();
        if self.share > parts {
            (self.share / stale).max(parts)
        } else {
            (self.share * stale).min(parts)
        }
    }

    /// Calls a second that it was seen to serve this sender.
    pub fn proved_now(&self, now: Ns) -> f64 {
        self.proved * (-((now - self.proved_at) as f64) / PROVED).exp2()
    }
}

impl Dest {
    /// Time from one message served to the next, in nanoseconds.
    fn turn_every(&self, now: Ns) -> f64 {
        1e9 / per_second(self.served.aged(now)).max(0.1)
    }
}

#[derive(Default)]
pub struct Sender {
    cfg: Settings,
    random: u64,
    now: Ns,
    messages: BTreeMap<MsgId, Held>,
    open: usize,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    routes: BTreeMap<RouteId, Route>,
    dests: BTreeMap<DestId, Dest>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    keys: BTreeMap<u64, KeyTurn>,
    /// Destinations with calls out or work held; no other costs anything.
    active: BTreeSet<DestId>,
    /// Those with work held, by when a call may become possible: an event makes its destination due at once.
    agenda: BTreeSet<(Ns, DestId)>,
    probes: usize,
    /// Endpoints whose calls ended in this batch, and when each kind last took no connection.
    ended: Vec<EndpointId>,
    scarce_at: BTreeMap<usize, Ns>,
    next_end: Ns,
    forgot_at: Ns,
    decided_at: Ns,
    timer_at: Option<Ns>,
}

impl Sender {
    pub fn new(cfg: Settings, seed: u64) -> Sender {
        Sender { cfg, random: seed, next_end: Ns::MAX, decided_at: LONG_AGO, ..Sender::default() }
    }

    /// Takes all events of one batch, then decides.
    pub fn handle(&mut self, now: Ns, events: &[Event], out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        for event in events {
            match event {
                Event::List { full: whole, entries } => self.list(*whole, entries),
                Event::Message(m) => self.take(*m),
                Event::Recovered { message, past } => self.resume(*message, past, out),
                Event::Outage(o) => self.recall(o),
                Event::AttemptEnd(e) => self.attempt_end(e, out),
                Event::Withdrawn { id } => self.close(*id),
                Event::Probed { .. } => {}
                Event::SenderCount(n) => self.share_among((*n).max(1)),
                // The caller may round a time down: one that is due within the tick has come.
                Event::Timer => self.timer_at = self.timer_at.filter(|&at| at > self.now + self.cfg.tick),
            }
        }
        let periodic = self.now - self.decided_at >= PERIOD;
        if periodic {
            self.decided_at = self.now;
            self.sweep();
        }
        if periodic || self.next_end <= self.now {
            self.end_hopeless(out);
        }
        self.dispatch(periodic, out);
        if periodic || self.open >= self.cfg.max_open {
            self.make_room(out);
        }
        self.close_idle(out);
        if !self.messages.is_empty() {
            let due = self.agenda.first().filter(|_| self.calls.len() < self.cfg.slots);
            let wake = due.map_or(Ns::MAX, |d| d.0).min(self.next_end).min(self.decided_at + PERIOD);
            let wake = wake.max(self.now + self.cfg.tick.max(1));
            if self.timer_at.is_none_or(|at| at > wake) {
                self.timer_at = Some(wake);
                out.push(Action::Timer { at: wake });
            }
        }
    }

    fn random(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Where its kind was short of connections, closes idle ones that are seldom used, as others may need
    /// their place: all senders together keep about as many as three would. Costs handshakes.
    fn close_idle(&mut self, out: &mut Vec<Action>) {
        let mut ended = std::mem::take(&mut self.ended);
        ended.sort_unstable();
        ended.dedup();
        let brief = 3 * self.cfg.idle_timeout / self.cfg.sender_count.max(3) as Ns;
        for id in ended {
            let Some(place) = self.endpoints.get_mut(&id) else { continue };
            let scarce = self.scarce_at.get(&place.kind).is_some_and(|&at| self.now - at < SCARCE);
            if scarce && place.gap >= brief {
                place.warm = place.in_flight.div_ceil(self.cfg.streams_per_conn);
                out.push(Action::CloseIdle { endpoint: id });
            }
        }
    }

    /// The periodic part: overdue calls, caps, and all held work is due for a look.
    fn sweep(&mut self) {
        self.notice_overdue();
        let now = self.now;
        let dests = &mut self.dests;
        self.active.retain(|id| {
            let Some(dest) = dests.get_mut(id) else { return false };
            choose_cap(&self.cfg, dest, now);
            dest.in_flight > 0 || !dest.held.is_empty()
        });
        for id in self.active.clone() {
            self.due(id, LONG_AGO);
        }
        if now - self.forgot_at >= 10 * SECOND {
            self.forget();
        }
    }

    /// Sets when a destination is looked at next; it leaves the agenda while nothing is held for it.
    fn due(&mut self, id: DestId, at: Ns) {
        let Some(dest) = self.dests.get_mut(&id) else { return };
        self.agenda.remove(&(dest.look_at, id));
        dest.look_at = at;
        if !dest.held.is_empty() && at < Ns::MAX {
            self.agenda.insert((at, id));
        }
    }

    /// Holds a message until its turn.
    fn hold(&mut self, id: MsgId) {
        let held = &self.messages[&id];
        let (dest_id, end) = (held.message.dest, self.last_call(held));
        self.next_end = self.next_end.min(end);
        let now = self.now;
        let idle = self.active.insert(dest_id);
        let dest = self.dests.get_mut(&dest_id).expect("a held message's destination is known");
        if idle {
            choose_cap(&self.cfg, dest, now);
        }
        let at = dest.held.partition_point(|&h| h < id);
        dest.held.insert(at, id);
        self.due(dest_id, LONG_AGO);
    }

    /// Follows the list. Draining and gone endpoints are unusable before anything of the batch is sent.
    fn list(&mut self, whole: bool, entries: &[Entry]) {
        if whole {
            self.endpoints.values_mut().for_each(|e| e.usable = false);
        }
        for entry in entries {
            let (dest, kind, zone) = (entry.dest, entry.kind, entry.zone);
            let (used_at, served_at, refused_at) = (LONG_AGO, LONG_AGO, LONG_AGO);
            let new = Endpoint { used_at, served_at, refused_at, gap: Ns::MAX, ..Endpoint::default() };
            let known = self.endpoints.entry(entry.endpoint).or_insert(new);
            (known.dest, known.kind, known.zone) = (dest, kind, zone);
            known.usable = entry.condition == Condition::Ready;
            let id = self.route_of(entry.endpoint);
            let trust = if self.cfg.estimated_hints { ROUGH } else { 1.0 };
            let told = self.cfg.rate_hints && entry.rate_hint.is_finite();
            self.route(id).hint = if told { entry.rate_hint.max(0.0) * trust } else { 0.0 };
            let dest = self.dest(entry.dest);
            if !dest.places.contains(&entry.endpoint) {
                dest.places.push(entry.endpoint);
                dest.places.sort_unstable();
            }
            self.due(entry.dest, LONG_AGO);
        }
    }

    fn route(&mut self, id: RouteId) -> &mut Route {
        let (share, now) = (1.0 / senders(&self.cfg), self.now);
        let new = || Route { share, share_at: now, tokens: 1.0, filled_at: now, ..Route::default() };
        self.routes.entry(id).or_insert_with(new)
    }

    fn dest(&mut self, id: DestId) -> &mut Dest {
        let top = top(&self.cfg);
        let classes = self.cfg.classes.len();
        self.dests.entry(id).or_insert_with(|| Dest {
            cap: top,
            cells: vec![Stat::default(); classes * (top + 1)],
            arrivals: vec![Stat::default(); classes],
            ..Dest::default()
        })
    }

    fn route_of(&self, endpoint: EndpointId) -> RouteId {
        let e = &self.endpoints[&endpoint];
        let separate = self.cfg.kinds.get(e.kind).is_some_and(|k| k.separate_routes);
        (e.dest, if separate { endpoint } else { EndpointId::MAX })
    }

    fn take(&mut self, message: Message) {
        if self.messages.contains_key(&message.id) || message.class >= self.cfg.classes.len() {
            return;
        }
        let now = self.now;
        let class = &self.cfg.classes[message.class];
        let left = message.time_left.clamp(0, class.deadline);
        let (born, end) = (now - (class.deadline - left), now + left);
        let taken_on = self.open < self.bound();
        let attempts = Vec::new();
        let held = Held { message, arrived: now, born, end, attempts, over: false, owed: false, taken_on };
        if let (true, Some(key)) = (class.in_order, message.key) {
            self.keys.entry(key).or_default().queue.push_back(message.id);
        }
        self.messages.insert(message.id, held);
        self.open += 1;
        self.dest(message.dest).arrivals[message.class].book(now, 1.0);
        self.hold(message.id);
    }

    /// Takes up what an earlier process left: attempts used count on, and one that was out then may have run.
    fn resume(&mut self, message: Message, past: &[PastAttempt], out: &mut Vec<Action>) {
        self.take(message);
        let Some(held) = self.messages.get_mut(&message.id) else { return };
        let zone =
            |e: Option<EndpointId>| e.and_then(|e| self.endpoints.get(&e)).map_or(usize::MAX, |e| e.zone);
        (held.owed, held.taken_on) = (past.is_empty(), true);
        held.attempts.extend(past.iter().map(|p| Attempt {
            endpoint: p.endpoint.unwrap_or(EndpointId::MAX),
            zone: zone(p.endpoint),
            call: u64::MAX,
            sent: p.sent,
            out: false,
            may_have_run: p.may_have_run,
        }));
        let class = &self.cfg.classes[message.class];
        if let (true, Some(key), true) = (class.in_order, message.key, past.iter().any(|p| p.may_have_run)) {
            self.keys.entry(key).or_default().rest_until = self.now + self.cfg.key_hold_off;
        }
        self.end_if_hopeless(message.id, out);
    }

    fn attempt_end(&mut self, e: &AttemptEnd, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(held) = self.messages.get_mut(&e.id) else { return };
        let Some(attempt) = held.attempts.get_mut(e.attempt as usize).filter(|a| a.out) else { return };
        attempt.out = false;
        attempt.may_have_run = !e.outcome.never_ran();
        let (call_id, message, over) = (attempt.call, held.message, held.over || e.finished);
        let class = &self.cfg.classes[message.class];
        if let (true, true, Some(key)) = (class.in_order, e.outcome.may_still_run(), message.key) {
            if let Some(turn) = self.keys.get_mut(&key) {
                turn.rest_until = now + self.cfg.key_hold_off;
            }
        }
        if let Some(call) = self.calls.get_mut(&call_id) {
            let first = !std::mem::replace(&mut call.judged, true);
            call.left -= 1;
            let (level, sent, last, overdue) = (call.level, call.sent, call.left == 0, call.overdue);
            let dest = self.dests.get_mut(&call.dest).expect("a call's destination is known");
            // Quick errors would read as quick answers: all but a served call books the full aim, so that a
            // class misses there once about half of its calls fail.
            let took = if e.outcome == Outcome::Served { e.took.max(0) } else { class.target };
            // What never reached it, and a kept connection that it had closed, tell nothing of its load.
            let unseen = matches!(e.outcome, Outcome::NotSent | Outcome::CalledOff | Outcome::NoConnection);
            if !unseen && !e.reused_connection {
                let cells = dest.cells.len() / self.cfg.classes.len();
                dest.cells[message.class * cells + level].book(now, took as f64);
            }
            if e.outcome == Outcome::Served {
                dest.served.book(now, 1.0);
            }
            match e.outcome {
                // Clipped, so that one answer of a heavy tail does not stretch all time-outs; a slow spell is
                // learned within a few. A time-out tells that the latency is beyond it.
                Outcome::Served | Outcome::NoAnswer | Outcome::CalledOff => {
                    let known = dest.latency.aged(now) >= MEASURED;
                    let clip = (1.5 * dest.latency.bound(PATIENCE)).max(LEAST_PATIENCE as f64);
                    let took = (now - sent).max(e.took) as f64;
                    dest.latency.book(now, if known { took.min(clip) } else { took });
                }
                _ => {}
            }
            let (dest_id, route_id) = (call.dest, call.route);
            if last {
                self.probes -= call.probe as usize;
                self.calls.remove(&call_id);
                dest.in_flight -= 1;
            }
            self.due(dest_id, LONG_AGO);
            if let Some(route) = self.routes.get_mut(&route_id) {
                route.in_flight -= last as usize;
                // Members of one call may come back in several batches, and a wait runs from each of these.
                if e.retry_after > 0 {
                    route.wait_until = route.wait_until.max(now.saturating_add(e.retry_after));
                }
            }
            if let Some(place) = self.endpoints.get_mut(&e.endpoint).filter(|_| last) {
                place.in_flight -= 1;
                place.used_at = now;
                self.ended.push(e.endpoint);
            }
            if first {
                self.judge(e, route_id, now - sent, overdue);
            }
        }
        if over {
            self.close(e.id);
        } else if self.messages.get(&e.id).is_some_and(|m| !m.out()) {
            self.hold(e.id);
            self.end_if_hopeless(e.id, out);
        }
    }

    /// Ends the book on a message that is over; it stays while attempts are out, to hold its key's turn.
    fn close(&mut self, id: MsgId) {
        let Some(held) = self.messages.get_mut(&id) else { return };
        let message = held.message;
        if !std::mem::replace(&mut held.over, true) {
            self.open -= 1;
            self.dest(message.dest).held.retain(|&h| h != id);
        }
        if self.messages[&id].out() {
            return;
        }
        self.messages.remove(&id);
        if let (true, Some(key)) = (self.cfg.classes[message.class].in_order, message.key) {
            if let Some(turn) = self.keys.get_mut(&key) {
                turn.queue.retain(|&q| q != id);
                if turn.queue.is_empty() && turn.rest_until <= self.now {
                    self.keys.remove(&key);
                }
            }
        }
    }

    /// Reads one call's outcome for its route: the limit's reports and the symptoms of an outage.
    fn judge(&mut self, e: &AttemptEnd, route_id: RouteId, age: Ns, overdue: bool) {
        let now = self.now;
        let draw = self.random();
        let jitter = 0.5 + draw;
        let n = senders(&self.cfg);
        let (most, arrivals) = (self.most_share(), self.arrivals(route_id.0));
        let waits = self.dests.get(&route_id.0).is_some_and(|d| !d.held.is_empty());
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        let Some(place) = self.endpoints.get_mut(&e.endpoint) else { return };
        let enough = route.enough(&self.cfg, now, arrivals);
        let mut left = None;
        if let Some(report) = e.report {
            if report.limit.is_finite() && report.limit >= 0.0 {
                // Reports are a little noisy, so they are smoothed; one that is far off tells of a limit that
                // was changed, and a sender that meets the destination seldom can't wait for more of them.
                route.limit = Some(match route.limit {
                    Some(old) if (report.limit - old).abs() < CHANGED * old => {
                        old + 0.3 * (report.limit - old)
                    }
                    _ => report.limit,
                });
                left = (report.limit > 0.0).then_some(report.remaining);
            }
        }
        let failed = match e.outcome {
            Outcome::Served => {
                place.served_at = now;
                place.avoid_until = now;
                // What is down refuses connections too; they are short where it serves soon after.
                if now - place.refused_at < SCARCE_SEEN && !route.doubt {
                    self.scarce_at.insert(place.kind, now);
                }
                route.served.book(now, 1.0);
                route.proved = route.proved_now(now).max(per_second(route.served.aged(now)));
                route.proved_at = now;
                route.refusals = 0;
                route.recover(&self.cfg, now, age, draw);
                // The share follows what is left of the allowance: others' calls are not seen otherwise.
                let share = route.share_now(now, most);
                (route.share, route.share_at) = match left {
                    Some(l) if l > 0.5 => {
                        let top = if waits { 1.0 } else { share.max(most) };
                        ((share * n.powf(RISE)).min(top), now - STALE)
                    }
                    Some(l) if l < 0.2 => ((share * 0.95).max(0.7 / n), now),
                    _ => (share, now),
                };
                false
            }
            // Turned away before it was looked at: answers tell of the limit there, and this one does not.
            Outcome::TurnedAway if self.cfg.limit_reports && e.report.is_none() && e.retry_after == 0 => {
                self.scarce_at.insert(place.kind, now);
                place.avoid_until = now + SECOND;
                route.not_before = route.not_before.max(now + (PERIOD as f64 * jitter) as Ns);
                false
            }
            Outcome::TurnedAway => {
                route.refusals += 1;
                route.share = (route.share_now(now, most).min(1.0 / n) * 0.8).max(0.5 / n);
                // The pause is no staleness: else all would grow back in it and use up the limit by asking.
                let rate = route.limit.unwrap_or(route.hint) * route.share;
                route.share_at = now + if rate > 0.0 { (1e9 / rate).min(30e9) as Ns } else { 0 };
                route.tokens = route.tokens.min(0.0);
                let back = (PERIOD << (route.refusals - 1).min(4)) as f64 * jitter;
                route.not_before = route.not_before.max(now + back as Ns);
                // At the limit a refusal is the limit's. Shut: a long wait, plenty left, or refusals only.
                left.map_or(e.retry_after >= SHUT_WAIT || route.refusals >= enough, |l| l > 0.4)
            }
            Outcome::NoConnection => {
                place.refused_at = now;
                place.avoid_until = now + SECOND;
                // If it answered another call meanwhile its connections are all taken, and it is not down.
                place.served_at < now.saturating_sub(e.took.max(self.cfg.tick))
            }
            // The endpoint may have closed an idle connection: whether it is down a new one will tell. That
            // shows at once; a call out far too long met an outage, and what resets it may be back, cold.
            Outcome::ConnectionLost if e.reused_connection && !overdue => false,
            Outcome::ServerError | Outcome::NoAnswer | Outcome::ConnectionLost => {
                place.avoid_until = now + SECOND;
                true
            }
            Outcome::CalledOff => {
                route.called_off = route.called_off.max(if overdue { age } else { 0 });
                false
            }
            Outcome::NotSent => {
                route.not_before = now + 4 * self.cfg.tick;
                false
            }
        };
        if failed {
            let opens_at = (e.retry_after > 0).then(|| now.saturating_add(e.retry_after));
            // What resets a call that was out for long may be the return, and resets those of all at once.
            let recheck =
                opens_at.is_none() && !(age > LEAST_PATIENCE && e.outcome == Outcome::ConnectionLost);
            let counts = !(overdue && e.outcome == Outcome::NoAnswer);
            self.symptom(route_id, Symptom { counts, told: true, opens_at, recheck });
        }
    }

    /// One symptom of an outage, whatever its kind. An overdue call then served was slow.
    /// Should cover kinds not listed too; harms where errors are common but the rest is well.
    fn symptom(&mut self, id: RouteId, symptom: Symptom) {
        let (draw, arrivals) = (self.random(), self.arrivals(id.0));
        if let Some(route) = self.routes.get_mut(&id) {
            route.fail(&self.cfg, self.now, symptom, arrivals, draw);
        }
    }

    /// Messages a second for a destination.
    fn arrivals(&self, dest: DestId) -> f64 {
        let dest = self.dests.get(&dest);
        dest.map_or(0.0, |d| per_second(d.arrivals.iter().map(|a| a.aged(self.now)).sum()))
    }

    /// Calls out far longer than usual are a symptom before their time-out: unsafe ones may have none. Each
    /// counts once its endpoint has served nothing since it was sent, or for as long as a call may take (when
    /// one of two endpoints hangs, the other goes on serving); meanwhile its endpoint is avoided.
    fn notice_overdue(&mut self) {
        let mut seen = Vec::new();
        for call in self.calls.values_mut() {
            let patience = patience(&self.cfg, &self.dests[&call.dest], self.now);
            let Some(place) = self.endpoints.get_mut(&call.endpoint) else { continue };
            if self.now - call.sent > patience {
                place.avoid_until = place.avoid_until.max(self.now + SECOND);
                let silent = place.served_at < call.sent || self.now - place.served_at > patience;
                if silent && !call.overdue {
                    call.overdue = true;
                    seen.push(call.route);
                }
            }
        }
        for route in seen {
            self.symptom(route, Symptom { counts: true, ..Symptom::default() });
        }
    }

    /// Others share the limits now: this sender's part of each goes with their number at once.
    fn share_among(&mut self, n: usize) {
        let before = senders(&self.cfg);
        self.cfg.sender_count = n;
        let change = before / senders(&self.cfg);
        self.routes.values_mut().for_each(|r| r.share = (r.share * change).min(1.0));
    }

    /// As much of a limit as this sender takes unasked: about an equal part.
    fn most_share(&self) -> f64 {
        let n = senders(&self.cfg);
        ((PARTS + UNEVEN / n) / n).min(1.0)
    }

    /// When the route may next be called; at or before now means it may be called now.
    fn ready_at(&mut self, id: RouteId) -> Ns {
        let now = self.now;
        let Some(route) = self.routes.get(&id) else {
            return Ns::MAX;
        };
        let held_off = route.wait_until.max(route.not_before);
        if held_off > now {
            return held_off;
        }
        let most = self.most_share();
        let pace = route.slow_start(&self.cfg, now);
        let route = self.routes.get_mut(&id).expect("looked up above");
        route.warm_up(&self.cfg, now);
        if route.doubt {
            return if route.in_flight > 0 { Ns::MAX } else { route.next_probe };
        }
        let recheck = route.recheck_at.unwrap_or(Ns::MAX);
        if recheck <= now {
            return now;
        }
        let limit = route.limit.unwrap_or(route.hint);
        let mut rate = if limit > 0.0 { limit * route.share_now(now, most) } else { f64::INFINITY };
        let mut burst = (0.4 * rate).clamp(1.0, 4.0);
        if route.cold {
            (rate, burst) = (rate.min(pace), 1.0);
        }
        if rate.is_infinite() {
            // No debt from a time without a limit: it would keep a cold route closed long after its outage.
            (route.tokens, route.filled_at) = (1.0, now);
            return now;
        }
        let passed = (now - route.filled_at).max(0) as f64 / 1e9;
        route.tokens = (route.tokens + passed * rate).min(burst);
        route.filled_at = route.filled_at.max(now);
        if route.tokens >= 1.0 {
            now
        } else {
            recheck.min(now.max(route.filled_at) + ((1.0 - route.tokens) / rate * 1e9) as Ns + 1)
        }
    }

    /// The one guard of every further send (`to`) and refusal (`None`): no effect may happen twice.
    fn allows(&self, held: &Held, to: Option<EndpointId>) -> bool {
        let class = &self.cfg.classes[held.message.class];
        if to.is_some() {
            let spent = held.attempts.len() >= self.cfg.max_attempts as usize;
            if held.over || spent || (held.out() && !self.cfg.may_duplicate) {
                return false;
            }
        }
        let mut may_have_run = held.attempts.iter().filter(|a| a.out || a.may_have_run).peekable();
        if may_have_run.peek().is_none() {
            return true;
        }
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed => match to {
                None => class.dedup_scope == DedupScope::All,
                Some(to) => may_have_run.all(|a| {
                    let same = match class.dedup_scope {
                        DedupScope::All => true,
                        DedupScope::Zone => self.endpoints.get(&to).is_some_and(|p| p.zone == a.zone),
                        DedupScope::Endpoint => a.endpoint == to,
                    };
                    same && self.now + self.cfg.tick < a.sent.saturating_add(class.dedup_window)
                }),
            },
        }
    }

    /// Order by key: only the oldest of a key may go, and after one that may still run the key rests.
    fn has_turn(&self, held: &Held) -> bool {
        let (true, Some(key)) = (self.cfg.classes[held.message.class].in_order, held.message.key) else {
            return true;
        };
        self.keys.get(&key).is_some_and(|t| {
            t.queue.front() == Some(&held.message.id)
                && (t.rest_until <= self.now || !held.attempts.is_empty())
        })
    }

    /// Worth of a message if it were delivered at a time.
    fn worth(&self, held: &Held, at: Ns) -> f64 {
        let class = &self.cfg.classes[held.message.class];
        if at > held.end {
            0.0
        } else {
            class.value_at(at - held.born, held.message.expected_work, self.cfg.exponential_decay)
        }
    }

    /// Sends what may go now, the most urgent first. While all slots are taken only the period looks.
    fn dispatch(&mut self, periodic: bool, out: &mut Vec<Action>) {
        if self.calls.len() >= self.cfg.slots && !periodic {
            return;
        }
        let due = self.agenda.range(..=(self.now, DestId::MAX));
        let mut look: Vec<DestId> = due.map(|&(_, id)| id).collect();
        let mut sendable: Vec<Plan> = Vec::new();
        loop {
            for id in look.drain(..) {
                match self.candidate(id) {
                    Ok(plan) => sendable.push(plan),
                    Err(at) => self.due(id, at),
                }
            }
            let best = (0..sendable.len()).max_by(|&a, &b| sendable[a].3.total_cmp(&sendable[b].3));
            let Some(best) = best.filter(|_| self.calls.len() < self.cfg.slots) else { break };
            let (dest, endpoint, ids, _) = sendable.swap_remove(best);
            self.send(dest, endpoint, &ids, out);
            look.push(dest);
        }
        if self.cfg.may_cancel && !sendable.is_empty() && !self.calls.values().any(|c| c.cancelled) {
            // First, or a call that is called off before the period looks would tell nothing.
            self.notice_overdue();
            self.free_a_slot(out);
        }
    }

    /// All slots are taken while work waits: calls off the call longest overdue if its work may go again, or
    /// if it has had three times its time: an unsafe message then fails, as its slot serves many others.
    /// Guards against hung or lossy destinations that hold every slot; would harm where all is slow or a
    /// message is heavy by itself, so each is called off once at most while it may go on.
    fn free_a_slot(&mut self, out: &mut Vec<Action>) {
        // Members of a call that have come back don't matter; one that hangs holds the slot for all.
        let fresh = |id: &MsgId| {
            self.messages.get(id).is_none_or(|h| {
                let runs = h.attempts.iter().filter(|a| a.may_have_run).count();
                !h.out() || runs == 1 && self.now + SECOND < self.resend_until(h)
            })
        };
        let may_end = |c: &Call| {
            let (age, patience) = (self.now - c.sent, patience(&self.cfg, &self.dests[&c.dest], self.now));
            age > patience && c.messages.iter().all(fresh) || age > 3 * patience
        };
        let Some(number) = self.calls.iter().find(|(_, c)| may_end(c)).map(|(&k, _)| k) else { return };
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.cancelled = true;
        for &id in &call.messages {
            let mut attempts = self.messages.get(&id).into_iter().flat_map(|h| h.attempts.iter());
            if let Some(attempt) = attempts.position(|a| a.call == number && a.out) {
                out.push(Action::Cancel { id, attempt: attempt as u32 });
            }
        }
    }

    /// Until when a message may go again if its attempts so far may all have run.
    fn resend_until(&self, held: &Held) -> Ns {
        let class = &self.cfg.classes[held.message.class];
        let first = held.attempts.iter().find(|a| a.may_have_run).map_or(self.now, |a| a.sent);
        match class.effect {
            Effect::Safe => held.end,
            Effect::Keyed => held.end.min(first.saturating_add(class.dedup_window)),
            Effect::Unsafe => Ns::MIN,
        }
    }

    /// The next call to a destination: endpoint, messages and urgency; or when one may be possible.
    fn candidate(&mut self, id: DestId) -> Result<Plan, Ns> {
        let now = self.now;
        let dest = &self.dests[&id];
        if dest.held.is_empty() || dest.in_flight >= dest.cap {
            return Err(Ns::MAX);
        }
        let mut best: Option<(bool, bool, usize, bool, Ns, EndpointId)> = None;
        let mut wake = Ns::MAX;
        for place in dest.places.clone() {
            if !self.endpoints.get(&place).is_some_and(|e| e.dest == id && e.usable) {
                continue;
            }
            let route_id = self.route_of(place);
            let at = self.ready_at(route_id);
            if at > now {
                wake = wake.min(at);
                continue;
            }
            if self.routes[&route_id].doubt
                && self.probes >= ((self.cfg.slots as f64 * DOUBT_SLOTS) as usize).max(1)
            {
                continue;
            }
            let e = &self.endpoints[&place];
            let warm = if now - e.used_at < self.cfg.idle_timeout { e.warm } else { e.in_flight };
            let cold_conn = e.in_flight >= warm * self.cfg.streams_per_conn;
            let far = self.cfg.price_cross_zone > 0.0 && e.zone != self.cfg.zone;
            // Load before warm connections: where one carries many calls, all would take the same endpoint.
            let key = (e.avoid_until > now, far, e.in_flight, cold_conn, e.used_at, place);
            best = Some(best.map_or(key, |b| b.min(key)));
        }
        let Some((.., place)) = best else { return Err(wake) };
        let dest = &self.dests[&id];
        let route = &self.routes[&self.route_of(place)];
        // What going last instead of now would cost: in a short queue little but to the oldest, in a long one
        // all, so that fresh work goes first and late work takes what is left over.
        let batch = self.cfg.kinds.get(self.endpoints[&place].kind).map_or(1, |k| k.batch.max(1));
        let drain = (dest.held.len() as f64 * dest.turn_every(now)) as Ns;
        let drain = drain.clamp(SECOND, 30 * SECOND);
        let latency = dest.latency.mean() as Ns;
        let mut order: Vec<(f64, MsgId)> = Vec::new();
        for &m in &dest.held {
            let held = &self.messages[&m];
            if !self.allows(held, Some(place)) || !self.has_turn(held) {
                continue;
            }
            let mut urgency = self.worth(held, now + latency) - self.worth(held, now + latency + drain);
            // A probe may be lost: an unsafe message cannot be sent again and goes last.
            if route.doubt && self.cfg.classes[held.message.class].effect == Effect::Unsafe {
                urgency -= 1e6;
            }
            if held.owed {
                urgency += OWED - ((held.end - now) / SECOND) as f64;
            }
            order.push((urgency, m));
        }
        if order.is_empty() {
            return Err(wake);
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        order.truncate(batch);
        let gain = |held: &Held| self.worth(held, now + latency) + if held.owed { OWED } else { 0.0 };
        let gain: f64 = order.iter().map(|&(_, m)| gain(&self.messages[&m])).sum();
        // Where slots are scarce, worth for the time that a slot is held counts.
        let slot_time = latency.max(PERIOD) as f64;
        Ok((id, place, order.into_iter().map(|(_, m)| m).collect(), gain / slot_time))
    }

    fn send(&mut self, id: DestId, endpoint: EndpointId, ids: &[MsgId], out: &mut Vec<Action>) {
        let now = self.now;
        let route_id = self.route_of(endpoint);
        let draw = self.random();
        let wait = self.routes[&route_id].probe_wait(&self.cfg, now, draw);
        let route = self.routes.get_mut(&route_id).expect("a candidate's route is known");
        route.in_flight += 1;
        route.tokens -= 1.0;
        route.next_probe = now + wait;
        route.recheck_at = None;
        let probe = route.doubt;
        self.probes += probe as usize;
        let place = self.endpoints.get_mut(&endpoint).expect("a candidate's endpoint is known");
        let zone = place.zone;
        place.gap = now.saturating_sub(place.used_at);
        if place.gap >= self.cfg.idle_timeout {
            place.warm = place.in_flight;
        }
        place.in_flight += 1;
        place.used_at = now;
        place.warm = place.warm.max(place.in_flight.div_ceil(self.cfg.streams_per_conn));
        let top = top(&self.cfg);
        let dest = self.dests.get_mut(&id).expect("a candidate's destination is known");
        dest.in_flight += 1;
        let level = dest.in_flight.min(top);
        let patience = 2 * patience(&self.cfg, dest, now);
        dest.held.retain(|h| !ids.contains(h));
        let (call, left) = (self.next_call, ids.len());
        self.next_call += 1;
        let (route, messages) = (route_id, ids.to_vec());
        let new =
            Call { dest: id, endpoint, route, level, sent: now, left, probe, messages, ..Call::default() };
        self.calls.insert(call, new);
        for &m in ids {
            // A repeat that a slow connection carried past the window would not be dropped as one.
            let held = &self.messages[&m];
            let repeat = held.attempts.iter().any(|a| a.may_have_run);
            let by = if repeat { self.resend_until(held) } else { held.end };
            let held = self.messages.get_mut(&m).expect("held messages are known");
            (held.owed, held.taken_on) = (false, true);
            held.attempts.push(Attempt { endpoint, zone, call, sent: now, out: true, may_have_run: true });
            // Giving up early gains only where the message may then go again.
            let again = now + patience + 2 * self.cfg.tick;
            let useful = again < self.resend_until(&self.messages[&m]);
            let limit = if useful { patience } else { 0 };
            out.push(Action::Send { id: m, endpoint, timeout: limit, write_by: by });
        }
    }

    /// When a message's time left no longer covers a call.
    fn last_call(&self, held: &Held) -> Ns {
        let latency = self.dests[&held.message.dest].latency.mean() as Ns;
        let aim = self.cfg.classes[held.message.class].target;
        held.end - (latency / 2).min(aim / 4).max(2 * self.cfg.tick)
    }

    /// Looks through all held work for what has no time left.
    fn end_hopeless(&mut self, out: &mut Vec<Action>) {
        let held = self.active.iter().flat_map(|d| self.dests[d].held.iter().copied()).collect::<Vec<_>>();
        self.next_end = held.into_iter().map(|id| self.end_if_hopeless(id, out)).min().unwrap_or(Ns::MAX);
    }

    /// Ends a held message past that, or that may not go again; tells when it will be due.
    fn end_if_hopeless(&mut self, id: MsgId, out: &mut Vec<Action>) -> Ns {
        let held = &self.messages[&id];
        let stuck = held.attempts.first().is_some_and(|first| !self.allows(held, Some(first.endpoint)));
        let at = self.last_call(held);
        if stuck || at <= self.now {
            self.give_up(id, out);
        }
        at
    }

    fn give_up(&mut self, id: MsgId, out: &mut Vec<Action>) {
        let held = &self.messages[&id];
        out.push(if self.allows(held, None) {
            Action::Refuse { id, backoff: self.backoff(held.message.dest) }
        } else {
            Action::Fail { id }
        });
        self.close(id);
    }

    /// When to hand in again what is refused: room comes with the destination's next turn.
    pub fn backoff(&self, dest: DestId) -> Ns {
        let turn = self.dests.get(&dest).map_or(0.0, |d| d.turn_every(self.now));
        (turn as Ns).min(self.cfg.max_retry_after).max(ADMISSION)
    }

    /// Whether a message is this sender's by now. Past the bound its client is told so only once it is called
    /// for or has come through the admission wait: until then it may be turned away at no cost to anybody.
    pub fn is_accepted(&self, id: MsgId) -> bool {
        self.messages.get(&id).is_none_or(|held| held.taken_on)
    }

    fn bound(&self) -> usize {
        (self.cfg.max_open as f64 * ROOM) as usize
    }

    /// What returning a message costs beside the worth that it may still have.
    fn return_cost(&self, held: &Held) -> f64 {
        let class = &self.cfg.classes[held.message.class];
        let early = ((self.now - held.born) as f64) < EARLY * class.deadline as f64;
        let may_have_run = held.attempts.iter().any(|a| a.out || a.may_have_run);
        let spent = held.attempts.len() >= self.cfg.max_attempts as usize;
        if held.taken_on && early && !may_have_run && !spent {
            RETURNED * class.value
        } else {
            0.0
        }
    }

    /// Past a bound on what is held, refuses what waited longer than the admission wait, the least loss
    /// first.
    fn make_room(&mut self, out: &mut Vec<Action>) {
        let mut over = self.open.saturating_sub(self.bound());
        let mut order: Vec<(f64, MsgId)> = Vec::new();
        let mut through = Vec::new();
        for dest in self.active.iter().map(|id| &self.dests[id]) {
            let wait = ADMISSION.max((dest.latency.mean() / 10.0) as Ns);
            // By its turn, what is far back in a slow queue has little left, whatever its worth: a sick
            // destination's work must not keep the well ones' out of the room.
            let every = dest.turn_every(self.now);
            for (place, &id) in dest.held.iter().enumerate() {
                let held = &self.messages[&id];
                // A client that has no answer yet waits no longer than it must.
                let waited = self.now - held.arrived > if held.taken_on { wait } else { ADMISSION };
                if waited && !held.taken_on {
                    through.push(id);
                } else if !waited && !held.taken_on {
                    // Nothing makes room for what may yet be turned away itself.
                    over = over.saturating_sub(1);
                }
                if waited && self.allows(held, None) {
                    let turn = self.now + ((place + 1) as f64 * every) as Ns;
                    let owed = if held.owed { OWED } else { 0.0 };
                    order.push((owed + self.return_cost(held) + self.worth(held, turn), id));
                }
            }
        }
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, id) in order.into_iter().take(over) {
            self.give_up(id, out);
        }
        for id in through {
            if let Some(held) = self.messages.get_mut(&id) {
                held.taken_on = true;
            }
        }
    }
}

/// Caps run from one to three quarters of the slots.
fn top(cfg: &Settings) -> usize {
    (cfg.slots * 3 / 4).max(1)
}

/// How long a call may be out before it is overdue.
fn patience(cfg: &Settings, dest: &Dest, now: Ns) -> Ns {
    let aim = cfg.classes.iter().map(|c| c.target).max().unwrap_or(SECOND).max(LEAST_PATIENCE);
    if dest.latency.aged(now) < MEASURED {
        return aim;
    }
    (dest.latency.bound(PATIENCE) as Ns).clamp(LEAST_PATIENCE, aim)
}

/// The design's rule: the level with the best level x share of classes that meet their aim there.
fn choose_cap(cfg: &Settings, dest: &mut Dest, now: Ns) {
    let top = top(cfg);
    let shares: Vec<f64> = dest.arrivals.iter().map(|a| a.aged(now)).collect();
    let mut scores = vec![0.0; top + 1];
    for (class, settings) in cfg.classes.iter().enumerate() {
        let cells = &dest.cells[class * (top + 1)..(class + 1) * (top + 1)];
        let measured: Vec<usize> = (1..=top).filter(|&l| cells[l].aged(now) >= MEASURED).collect();
        for (level, score) in scores.iter_mut().enumerate().skip(1) {
            // An unmeasured level borrows the nearest; an unmeasured class just meets its aim at the cap.
            let meets = match measured.iter().min_by_key(|&&m| (m.abs_diff(level), m)) {
                Some(&nearest) => cells[nearest].bound(1.0) < settings.target as f64,
                None => level <= dest.cap,
            };
            if meets {
                *score += level as f64 * shares[class];
            }
        }
    }
    let best = (1..=top).max_by(|&a, &b| scores[a].total_cmp(&scores[b])).unwrap_or(1);
    if scores[best] <= 0.0 && shares.iter().sum::<f64>() > MEASURED {
        // Every class misses everywhere (hung): the paper would keep the cap; the slots are others' now.
        dest.cap = 1;
    } else if scores[best] > scores[dest.cap] * (1.0 + 1e-9) {
        dest.cap = best;
    }
}

//! The event loop that owns the policy and the journal. Each iteration collects inputs, lets the policy
//! decide, writes the journal once and then acts. The core makes no decisions of its own.
mod effects;
mod outages;
mod recovery;
mod unattempted;

use crate::calls::{self, Cancel, Client, Member};
use crate::config::Config;
use crate::inbox::{Input, Reply};
use crate::list::List;
use crate::notices::Notice;
use effects::Effects;
use nickelshed_host::Host;
use nickelshed_journal::{Begun, Claim, Ending, Journal, Record, Round as Mark, Storage, Sync, Taken};
use nickelshed_policy::api::*;
use nickelshed_policy::rules::Sender;
use nickelshed_settings::Around;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout, Instant};

/// A message that the policy has not finished.
struct Held {
    taken: Rc<Taken>,
    end: Ns,
    attempts: u32,
}

/// An endpoint that a list has named.
struct Known {
    name: String,
    kind: usize,
    /// Since when the endpoint has not been ready; None while it is.
    closed: Option<Instant>,
}

struct Offered {
    taken: Rc<Taken>,
    /// More than one if the same message was submitted again before it was decided on.
    replies: Vec<oneshot::Sender<Reply>>,
}

impl Offered {
    /// Returns false if no client is waiting for the reply any more.
    fn answer(self, reply: Reply) -> bool {
        self.replies.into_iter().filter_map(|r| r.send(reply).ok()).count() > 0
    }
}

/// The inputs of one iteration, collected before the policy decides.
struct Round {
    at: Instant,
    events: Vec<Event>,
    offered: BTreeMap<u64, Offered>,
    /// Journal space reserved for the messages of this iteration.
    claim: Claim,
}

pub struct Core<S: Storage, H: Host> {
    host: H,
    sender: Sender,
    settings: Settings,
    around: Around,
    journal: Journal<S>,
    /// Queue of the sync thread; None if records need not be synced.
    syncs: Option<std::sync::mpsc::Sender<Sync<S::File>>>,
    /// Iterations whose records are not durable yet, in order, with what they may do once they are.
    waiting: VecDeque<(Mark, Effects)>,
    client: Rc<Client<H>>,
    inbox: mpsc::Receiver<Input>,
    notices: mpsc::UnboundedSender<Notice>,
    start: Instant,
    names: HashMap<String, EndpointId>,
    endpoints: BTreeMap<EndpointId, Known>,
    /// Ids are never reused: calls and the policy may refer to an endpoint for longer than the list names it.
    next_endpoint: EndpointId,
    /// All destinations that a list has ever named. Their number is bounded by the number of partner systems.
    dests: HashSet<DestId>,
    held: BTreeMap<u64, Held>,
    traces: HashMap<String, u64>,
    noticing: HashSet<u64>,
    /// Submissions that the policy has neither accepted nor rejected yet. Their clients wait for a reply, and
    /// the journal has no record of them.
    undecided: BTreeMap<u64, Offered>,
    calls: HashMap<(u64, u32), (EndpointId, Rc<Cancel>)>,
    /// Events produced by the core itself, for the next iteration.
    next: Vec<Event>,
    timer: Option<Ns>,
    next_id: u64,
    wind: Option<Instant>,
    keeper: outages::Keeper,
    untried: unattempted::Untried,
    write_failed: bool,
    /// Where the remaining headroom of limits, as endpoints report it, is recorded for the fleet's limit
    /// quota; None outside a fleet.
    pub room: Option<Rc<crate::fleet::Room>>,
}

/// Start of the policy's clock. It is far above zero because attempts of earlier process runs lie before it.
const CLOCK_START: Ns = 1_000_000 * SECOND;
/// Limit of the inputs of one iteration, so that a flood of inputs does not delay the replies.
const ROUND: usize = 512;
/// How long an endpoint that is no longer ready is remembered, as long as by the policy. It has to be
/// forgotten at some time because endpoints are replaced all day.
const FORGET: Duration = Duration::from_secs(60);
/// Tolerance on each deadline: a request is under way for some time before the other side reads it, so the
/// two sides see a deadline pass at different times.
const SLACK: Ns = 50 * MS;
/// An unattempted message with less time left than this is counted as expired, not as returned.
const LEAST_TIME: Ns = 300 * MS;

impl<S: Storage, H: Host> Core<S, H> {
    pub fn new(
        host: H,
        config: Config,
        journal: Journal<S>,
        syncs: Option<std::sync::mpsc::Sender<Sync<S::File>>>,
        client: Rc<Client<H>>,
        inbox: mpsc::Receiver<Input>,
        notices: mpsc::UnboundedSender<Notice>,
    ) -> Core<S, H> {
        Core {
            host,
            sender: Sender::new(config.settings.clone(), config.seed),
            settings: config.settings,
            around: config.around,
            next_id: journal.next_id(),
            journal,
            syncs,
            waiting: VecDeque::new(),
            client,
            inbox,
            notices,
            start: Instant::now(),
            names: HashMap::new(),
            dests: HashSet::new(),
            endpoints: BTreeMap::new(),
            next_endpoint: 0,
            held: BTreeMap::new(),
            traces: HashMap::new(),
            noticing: HashSet::new(),
            undecided: BTreeMap::new(),
            calls: HashMap::new(),
            next: Vec::new(),
            timer: None,
            wind: None,
            keeper: outages::Keeper::default(),
            untried: unattempted::Untried::default(),
            write_failed: false,
            room: None,
        }
    }

    fn clock(&self, at: Instant) -> Ns {
        CLOCK_START + at.saturating_duration_since(self.start).as_nanos() as Ns
    }

    fn instant(&self, at: Ns) -> Instant {
        self.start + Duration::from_nanos((at - CLOCK_START).max(0) as u64)
    }

    pub async fn run(mut self) {
        let mut inputs = Vec::new();
        loop {
            if self.finished() {
                return;
            }
            let wake = self.timer.map(|at| self.instant(at));
            let wake = if self.next.is_empty() { wake } else { Some(Instant::now()) };
            let wake = [wake, self.wind].into_iter().flatten().filter(|&w| self.started_before(w)).min();
            tokio::select! {
                biased;
                count = self.inbox.recv_many(&mut inputs, ROUND) => if count == 0 { return },
                () = async { match wake { Some(at) => sleep_until(at).await, None => std::future::pending().await } } => {}
            }
            // Yields once, so that input from other sockets that are ready joins the same iteration.
            tokio::task::yield_now().await;
            while inputs.len() < ROUND {
                let Ok(input) = self.inbox.try_recv() else { break };
                inputs.push(input);
            }
            let mut events = std::mem::take(&mut self.next);
            let now = self.clock(Instant::now());
            if self.timer.is_some_and(|at| at <= now) {
                self.timer = None;
                events.push(Event::Timer);
            }
            self.round(std::mem::take(&mut inputs), events);
        }
    }

    /// After the shutdown deadline, wake-ups that were due by then no longer matter.
    fn started_before(&self, wake: Instant) -> bool {
        self.wind.is_none_or(|end| Instant::now() < end || wake > end)
    }

    fn winding(&self) -> bool {
        self.wind.is_some_and(|end| Instant::now() >= end)
    }

    fn finished(&self) -> bool {
        let calm = self.calls.is_empty() && self.noticing.is_empty() && self.waiting.is_empty();
        self.wind.is_some() && calm && (self.held.is_empty() || self.winding())
    }

    fn list(&mut self, list: List, whole: bool) -> Event {
        let now = Instant::now();
        if whole {
            self.client.pool.withdraw_all();
            self.endpoints.values_mut().for_each(|known| _ = known.closed.get_or_insert(now));
        }
        let mut entries = Vec::new();
        let shut = list.shut();
        for instance in list.instances {
            let condition = match instance.lifecycle.as_str() {
                "Ready" if shut.contains(&instance.name) => Condition::Draining,
                "Ready" => Condition::Ready,
                "Gone" => Condition::Gone,
                // An unknown state is treated like draining: the endpoint gets nothing new.
                _ => Condition::Draining,
            };
            let endpoint = *self.names.entry(instance.name.clone()).or_insert_with(|| {
                self.next_endpoint += 1;
                self.next_endpoint
            });
            let kind = position(&self.around.kinds, &instance.kind).unwrap_or(usize::MAX);
            let zone = position(&self.around.zones, &instance.zone).unwrap_or(usize::MAX);
            let separate = self.settings.kinds.get(kind).is_some_and(|k| k.separate_routes);
            let ready = condition == Condition::Ready;
            let new = || Known { name: instance.name.clone(), kind, closed: None };
            let known = self.endpoints.entry(endpoint).or_insert_with(new);
            known.kind = kind;
            known.closed = if ready { None } else { known.closed.or(Some(now)) };
            self.client.pool.place(endpoint, instance.address, instance.dest, separate, ready);
            let (dest, hint) = (instance.dest, instance.weight);
            self.dests.insert(dest);
            entries.push(Entry { endpoint, dest, kind, zone, condition, hint });
        }
        self.forget_endpoints(now);
        Event::List { whole, entries }
    }

    fn forget_endpoints(&mut self, now: Instant) {
        let pool = &self.client.pool;
        let busy: HashSet<EndpointId> = self.calls.values().map(|(endpoint, _)| *endpoint).collect();
        self.endpoints.retain(|id, known| {
            let keep = known.closed.is_none_or(|at| now - at < FORGET) || busy.contains(id);
            if keep || !pool.is_done_with(*id) {
                return true;
            }
            pool.forget(*id);
            self.names.remove(&known.name);
            false
        });
    }

    /// Runs one iteration: applies all inputs, lets the policy decide, writes the journal once, and acts on
    /// the result.
    fn round(&mut self, inputs: Vec<Input>, events: Vec<Event>) {
        let at = Instant::now();
        let (now, wall) = (self.clock(at), self.host.wall_ms());
        let mut records = Vec::new();
        let mut endings: Vec<(u64, Ending)> = Vec::new();
        let mut round = Round { at, events, offered: BTreeMap::new(), claim: Claim::default() };
        self.put_forward(&mut round, wall);
        for input in inputs {
            match input {
                Input::Offer { taken, end, reply } => self.offer(taken, end, reply, &mut round),
                Input::List(list) => {
                    let whole = list.reset;
                    round.events.push(self.list(list, whole));
                }
                Input::Ended(ends) => {
                    for end in ends {
                        let (ms, wait) = (end.took / MS, end.wait / MS);
                        let (left, limit) = end.report.map_or((-1.0, -1.0), |r| (r.left, r.limit));
                        tracing::debug!(
                            end.id, end.attempt, end.endpoint, ?end.outcome, ms, wait, left, limit, "attempt ended"
                        );
                        if let (Some(room), Some(report)) = (&self.room, &end.report) {
                            room.told(report.left);
                        }
                        let late = self.is_late(&end, now);
                        endings.extend(late.then_some((end.id, Ending::GivenUp)));
                        self.ended(&end, late, &mut records);
                        round.events.push(Event::AttemptEnd(end));
                    }
                }
                Input::Probed { endpoint, outcome, report } => {
                    round.events.push(Event::Probed { endpoint, outcome, report })
                }
                Input::Noticed(ids) => {
                    for id in ids {
                        self.noticing.remove(&id);
                        records.push(Record::Ended(id));
                    }
                }
                Input::Synced(synced) => {
                    self.journal.synced(synced, wall);
                    self.carry_out_kept();
                }
                Input::Senders(senders) => round.events.push(Event::Senders(senders)),
                Input::Start(start) => {
                    let kept = self.journal.keep_beside(crate::fleet::START, format!("{start}\n").as_bytes());
                    if let Err(error) = kept {
                        tracing::warn!(start, %error, "cannot persist the start number; members may confuse the next process run with this one");
                    }
                }
                Input::Wind(until) => self.wind = Some(until),
            }
        }
        let Round { events, mut offered, .. } = round;
        let mut actions = Vec::new();
        if !self.winding() {
            self.sender.handle(now, &events, &mut actions);
        }
        let mut calls: Vec<(EndpointId, Vec<Member>)> = Vec::new();
        let mut begun = Vec::new();
        let mut refused = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, endpoint, limit, by } => {
                    let known = self.endpoints.get(&endpoint);
                    let (Some(held), Some(known)) = (self.held.get_mut(&id), known) else { continue };
                    let (name, kind) = (known.name.clone(), known.kind);
                    let attempt = held.attempts;
                    let record = Begun { number: attempt, at: wall, endpoint: name, never_ran: false };
                    begun.push(Record::Begun(id, record));
                    held.attempts += 1;
                    let (taken, end) = (held.taken.clone(), held.end);
                    tracing::debug!(id, attempt, endpoint, dest = taken.dest, limit = limit / MS, "send");
                    let limit = if limit > 0 { (now + limit).min(end) } else { end };
                    let (end, limit, by) = (self.instant(end), self.instant(limit), self.instant(by));
                    let member = Member { attempt, taken, end, limit, by };
                    // Must group as the policy does: sends to one endpoint in one iteration share calls.
                    let batch = self.settings.kinds.get(kind).map_or(1, |k| k.batch.max(1));
                    match calls.iter_mut().rev().find(|(e, _)| *e == endpoint) {
                        Some((_, members)) if members.len() < batch => members.push(member),
                        _ => calls.push((endpoint, vec![member])),
                    }
                }
                Action::Refuse { id, backoff } => {
                    let backoff = (backoff > 0).then_some((backoff / MS) as u64);
                    match offered.remove(&id) {
                        Some(o) => refused.push((o, Reply::Refused(backoff.map(Duration::from_millis)))),
                        None => endings.push((id, Ending::HandedBack(backoff))),
                    }
                }
                Action::Fail { id } => match offered.remove(&id) {
                    Some(o) => refused.push((o, Reply::Failed)),
                    None => endings.push((id, Ending::GivenUp)),
                },
                Action::Cancel { id, attempt } => {
                    if let Some((_, cancel)) = self.calls.get(&(id, attempt)) {
                        cancel.set();
                    }
                }
                Action::Probe { endpoint } => {
                    tokio::task::spawn_local(self.client.clone().probe(endpoint));
                }
                Action::Close { endpoint } => self.client.pool.close_idle(endpoint),
                Action::Timer { at } => self.timer = Some(self.timer.map_or(at, |t| t.min(at))),
            }
        }
        for (o, reply) in refused {
            tracing::debug!(id = o.taken.id, dest = o.taken.dest, "rejected");
            self.forget(o.taken.id);
            o.answer(reply);
        }
        let (offered, undecided) = offered.into_iter().partition(|(id, _)| self.sender.takes_on(*id));
        self.undecided = undecided;
        let mut effects = Effects::default();
        for &(id, ending) in &endings {
            if let Some(held) = self.forget(id) {
                tracing::debug!(id, dest = held.taken.dest, attempts = held.attempts, ?ending, "given up");
                let has_time = held.end > now + LEAST_TIME;
                tell_untried(self.untried.ended(id, has_time));
                records.push(Record::Decided(id, ending));
                effects.notices.push(self.notice(&held.taken, ending));
            }
        }
        for (endpoint, members) in calls {
            let cancel = Rc::new(Cancel::default());
            for m in &members {
                self.calls.insert((m.taken.id, m.attempt), (endpoint, cancel.clone()));
                tell_untried(self.untried.called(m.taken.id));
            }
            effects.calls.push((endpoint, members, cancel));
        }
        let mut all: Vec<Record> = offered.values().map(|o| Record::Taken(o.taken.clone())).collect();
        all.extend(records.iter().chain(&begun).cloned());
        if self.write(&all) {
            effects.taken_on = offered;
        } else {
            self.go_on_without(offered, records, begun, &mut effects);
        }
        self.once_kept(effects);
        self.sync();
        self.keep_outages(now, wall);
    }

    /// Carries undecided submissions of earlier iterations over into this one, reserving journal space for
    /// them again. After the shutdown deadline the policy is no longer asked and could not accept them, so
    /// they are rejected.
    fn put_forward(&mut self, round: &mut Round, wall: i64) {
        for (id, o) in std::mem::take(&mut self.undecided) {
            if !self.winding() && self.journal.claim(&o.taken, &mut round.claim, wall) {
                round.offered.insert(id, o);
            } else {
                self.forget(id);
                round.events.push(Event::Expired { id });
                o.answer(Reply::Refused(Some(effects::FULL)));
            }
        }
    }

    fn offer(&mut self, mut taken: Taken, end: Instant, reply: oneshot::Sender<Reply>, round: &mut Round) {
        if let Some(id) = self.traces.get(&taken.trace) {
            // A message with the id of an open one: the same message has been accepted already, or gets the
            // same reply as the first submission. A different message under that id is told nothing about the
            // first one.
            match round.offered.get_mut(id) {
                _ if !self.held.get(id).is_some_and(|held| held.taken.is_same(&taken)) => {
                    _ = reply.send(Reply::Conflict)
                }
                Some(first) => first.replies.push(reply),
                // Accepted, but not durable yet: the reply waits for that too.
                None => match self.waiting.iter_mut().find_map(|(_, e)| e.taken_on.get_mut(id)) {
                    Some(first) => first.replies.push(reply),
                    None => _ = reply.send(Reply::TakenOn),
                },
            }
            return;
        }
        // No endpoint exists for it. Before the first list no destination is known, so the client is asked to
        // retry.
        if !self.dests.contains(&taken.dest) {
            let first = self.dests.is_empty();
            let _ = reply.send(if first { Reply::Refused(None) } else { Reply::NoDestination });
            return;
        }
        taken.id = self.next_id;
        let class = position(&self.around.classes, &taken.class);
        let class = class.filter(|_| self.held.len() < self.settings.max_open && self.wind.is_none());
        let class = class.filter(|_| self.journal.claim(&taken, &mut round.claim, self.host.wall_ms()));
        let Some(class) = class else {
            let after = Duration::from_nanos(self.sender.backoff(taken.dest).max(0) as u64);
            tracing::debug!(dest = taken.dest, held = self.held.len(), "no room");
            let _ = reply.send(Reply::Refused(Some(after)));
            return;
        };
        self.next_id += 1;
        let taken = Rc::new(taken);
        let left = end.saturating_duration_since(round.at).as_nanos() as Ns;
        tracing::debug!(
            taken.id,
            trace = taken.trace,
            dest = taken.dest,
            tenant = taken.tenant,
            left = left / MS,
            "taken"
        );
        let message = self.hold(taken.clone(), class, left, self.clock(end), 0);
        round.events.push(Event::Message(message));
        round.offered.insert(taken.id, Offered { taken, replies: vec![reply] });
    }

    /// Registers a message as open and builds the policy's description of it.
    fn hold(&mut self, taken: Rc<Taken>, class: usize, left: Ns, end: Ns, attempts: u32) -> Message {
        let (id, dest) = (taken.id, taken.dest);
        let tenant = position(&self.around.tenants, &taken.tenant).unwrap_or(0);
        self.traces.insert(taken.trace.clone(), id);
        self.held.insert(id, Held { taken, end, attempts });
        Message { id, class, dest, left, cost: 0, key: None, tenant }
    }

    /// Builds the notice of a message. It stays pending until every sink has received it.
    fn notice(&mut self, taken: &Taken, ending: Ending) -> Notice {
        self.noticing.insert(taken.id);
        let (trace, class) = (taken.trace.clone(), taken.class.clone());
        Notice { id: taken.id, trace, class, dest: taken.dest, ending, at: self.host.wall_ms() }
    }

    /// Whether the attempt succeeded only as the message expired. The answer may have been written after
    /// the deadline, and then the message does not count as delivered, so its client must get a notice. A
    /// notice for a message that was delivered in time does no harm.
    fn is_late(&self, end: &AttemptEnd, now: Ns) -> bool {
        end.outcome == Outcome::Served && self.held.get(&end.id).is_some_and(|held| held.end <= now + SLACK)
    }

    /// Records the end of an attempt. If it is `late`, the message is not finished here but with its notice,
    /// later in the iteration.
    fn ended(&mut self, end: &AttemptEnd, late: bool, records: &mut Vec<Record>) {
        self.calls.remove(&(end.id, end.attempt));
        if !self.held.contains_key(&end.id) {
            return;
        }
        if end.done {
            if !late {
                records.push(Record::Ended(end.id));
                self.forget(end.id);
            }
        } else if end.outcome.never_ran() {
            records.push(Record::NeverRan(end.id, end.attempt));
        }
    }

    fn forget(&mut self, id: u64) -> Option<Held> {
        let held = self.held.remove(&id)?;
        self.traces.remove(&held.taken.trace);
        Some(held)
    }
}

/// Logs the counts of the messages recovered unattempted, once the last of them has been attempted or
/// finished.
fn tell_untried(counts: Option<unattempted::Counts>) {
    if let Some(unattempted::Counts { found, called, late, ran_out, turned_away }) = counts {
        tracing::info!(
            found,
            called,
            late,
            ran_out,
            turned_away,
            "all that was resumed untried is called for or over"
        );
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

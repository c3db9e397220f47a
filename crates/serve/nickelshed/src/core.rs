//! The one owner of the module: events in, one round of decisions, actions out. It decides nothing itself.
mod effects;
mod outages;
mod resume;
mod untried;

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
use nickelshed_settings::DeploymentContext;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout, Instant};

/// A message that the module has not ended.
struct Held {
    taken: Rc<Taken>,
    end: Ns,
    attempts: u32,
}

/// An endpoint that a list has named.
struct Known {
    name: String,
    kind: usize,
    /// Since when it takes nothing new.
    closed: Option<Instant>,
}

struct Offered {
    taken: Rc<Taken>,
    /// More than one where the same message came twice in a round.
    replies: Vec<oneshot::Sender<Reply>>,
}

impl Offered {
    /// False if nobody is left to hear it.
    fn answer(self, reply: Reply) -> bool {
        self.replies.into_iter().filter_map(|r| r.send(reply).ok()).count() > 0
    }
}

/// What a round gathers before the module decides.
struct Round {
    at: Instant,
    events: Vec<Event>,
    offered: BTreeMap<u64, Offered>,
    /// Room in the journal for the messages of this round.
    claim: Claim,
}

pub struct Core<S: Storage, H: Host> {
    host: H,
    sender: Sender,
    settings: Settings,
    around: DeploymentContext,
    journal: Journal<S>,
    /// Where syncs are run, if rounds wait for them.
    syncs: Option<std::sync::mpsc::Sender<Sync<S::File>>>,
    /// Rounds whose records are not kept yet, in order.
    waiting: VecDeque<(Mark, Effects)>,
    client: Rc<Client<H>>,
    inbox: mpsc::Receiver<Input>,
    notices: mpsc::UnboundedSender<Notice>,
    start: Instant,
    names: HashMap<String, EndpointId>,
    endpoints: BTreeMap<EndpointId, Known>,
    /// Numbers are never used again: calls and the module may know an endpoint longer than the list.
    next_endpoint: EndpointId,
    /// All destinations that a list has named: as many as there are customers' systems.
    dests: HashSet<DestId>,
    held: BTreeMap<u64, Held>,
    traces: HashMap<String, u64>,
    noticing: HashSet<u64>,
    /// What the module has not taken on yet, nor turned away: its clients wait for their answer, and no record stands.
    undecided: BTreeMap<u64, Offered>,
    calls: HashMap<(u64, u32), (EndpointId, Rc<Cancel>)>,
    /// Events of the core's own making, for the next round.
    next: Vec<Event>,
    timer: Option<Ns>,
    next_id: u64,
    wind: Option<Instant>,
    keeper: outages::Keeper,
    untried: untried::Untried,
    write_failed: bool,
    /// Where what answers leave of a limit is told, in a fleet that goes by it.
    pub room: Option<Rc<crate::fleet::Room>>,
}

/// Where the module's clock starts: attempts of earlier processes lie before it.
const CLOCK_START: Ns = 1_000_000 * SECOND;
/// Events of one round at most, so that a flood of them does not hold up the answers.
const ROUND: usize = 512;
/// For so long after it was closed an endpoint is remembered, as long as the module does: new ones come all day.
const FORGET: Duration = Duration::from_secs(60);
/// Each time limit may be so much longer or shorter for the other side: a request is on its way before it is read.
const SLACK: Ns = 50 * MS;
/// With less left than this a message counts as one whose time ran out, and not as turned away.
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
            untried: untried::Untried::default(),
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
            // Whatever else is ready on the sockets comes into the same round.
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

    /// While winding down past its time, timers no longer matter.
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
                // Also what is not known: it gets nothing new.
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

    /// One round: all that has come, the module's answer to it, one write, then the actions.
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
                        tracing::warn!(start, %error, "cannot keep the start; others may hold an earlier life for this one");
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
                    // As the module counts: sends to one endpoint in one round share calls.
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
            tracing::debug!(id = o.taken.id, dest = o.taken.dest, "not taken on");
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

    /// What earlier rounds left undecided is part of this one, with room in the journal claimed for it anew. While
    /// winding down the module is not asked any more, so that nothing can be taken on.
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
            // The same message once more, while it is held: it is taken on already, or shares this round's fate.
            // Another one under its id is told nothing of either.
            match round.offered.get_mut(id) {
                _ if !self.held.get(id).is_some_and(|held| held.taken.is_same(&taken)) => {
                    _ = reply.send(Reply::Conflict)
                }
                Some(first) => first.replies.push(reply),
                // Or is not kept yet, and neither is its word.
                None => match self.waiting.iter_mut().find_map(|(_, e)| e.taken_on.get_mut(id)) {
                    Some(first) => first.replies.push(reply),
                    None => _ = reply.send(Reply::TakenOn),
                },
            }
            return;
        }
        // Nothing could ever be sent for it. Before the first list nothing is known of any destination.
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

    /// Enters a message that the module is about to be told of.
    fn hold(&mut self, taken: Rc<Taken>, class: usize, left: Ns, end: Ns, attempts: u32) -> Message {
        let (id, dest) = (taken.id, taken.dest);
        let tenant = position(&self.around.tenants, &taken.tenant).unwrap_or(0);
        self.traces.insert(taken.trace.clone(), id);
        self.held.insert(id, Held { taken, end, attempts });
        Message { id, class, dest, left, cost: 0, key: None, tenant }
    }

    /// Its notice, which is owed until the platform has answered it.
    fn notice(&mut self, taken: &Taken, ending: Ending) -> Notice {
        self.noticing.insert(taken.id);
        let (trace, class) = (taken.trace.clone(), taken.class.clone());
        Notice { id: taken.id, trace, class, dest: taken.dest, ending, at: self.host.wall_ms() }
    }

    /// Whether an answer came as the message's time ran out. It may have been written when that was over already, and then
    /// delivers nothing: the message's end is owed all the same, and a notice for one that is over does no harm.
    fn is_late(&self, end: &AttemptEnd, now: Ns) -> bool {
        end.outcome == Outcome::Served && self.held.get(&end.id).is_some_and(|held| held.end <= now + SLACK)
    }

    /// Books an attempt's end; of a `late` one the message is ended by its notice, later in the round.
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

/// What became of all that a start found untried, once the last one is called for or over.
fn tell_untried(counts: Option<untried::Counts>) {
    if let Some(untried::Counts { found, called, late, ran_out, turned_away }) = counts {
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

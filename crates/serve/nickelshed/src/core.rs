//! The event loop that owns the policy and the journal. Each iteration collects inputs, lets the policy
//! decide, writes the journal once and then acts. The core makes no decisions of its own.
mod effects;
mod ended_messages;
mod outages;
mod recovery;
mod retraction;
mod unattempted;
mod unwritten;

use crate::calls::{self, CallEntry, CallExecutor, CancelToken};
use crate::config::Config;
use crate::connections::CloseReason;
use crate::inbox::{Input, Reply};
use crate::list::EndpointList;
use crate::notices::Notice;
use crate::provisional::{AttemptId, ResolvedAnswer, Verdict};
use effects::Effects;
use ended_messages::EndedMessages;
use nickelshed_host::Host;
use nickelshed_journal::{
    AcceptedMessage, AttemptRecord, CommitSeq, Ending, Journal, Record, Reservation, Storage, SyncTask,
};
use nickelshed_policy::api::*;
use nickelshed_policy::rules::Sender;
use nickelshed_settings::DeploymentContext;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout, Instant};
use unwritten::{DueNotice, UnwrittenRecords};

/// A message that the policy has not finished.
struct OpenMessage {
    message: Rc<AcceptedMessage>,
    deadline: Ns,
    /// All attempts so far, by number, as the policy would need them to recover the message.
    attempts: Vec<PastAttempt>,
}

/// An endpoint that a list has named.
struct KnownEndpoint {
    name: String,
    kind: usize,
    /// Since when the endpoint has not been ready; None while it is.
    not_ready_since: Option<Instant>,
}

/// A submitted message whose clients have not been answered yet.
struct Submission {
    message: Rc<AcceptedMessage>,
    /// More than one if the same message was submitted again before it was decided on.
    replies: Vec<oneshot::Sender<Reply>>,
}

impl Submission {
    /// Returns false if no client is waiting for the reply any more.
    fn answer(self, reply: Reply) -> bool {
        self.replies.into_iter().filter_map(|reply_tx| reply_tx.send(reply).ok()).count() > 0
    }
}

/// The inputs of one iteration, collected before the policy decides.
struct Iteration {
    started_at: Instant,
    events: Vec<Event>,
    submissions: BTreeMap<u64, Submission>,
    /// Journal space reserved for the messages of this iteration.
    reservation: Reservation,
}

pub struct Core<S: Storage, H: Host> {
    host: H,
    policy: Sender,
    settings: Settings,
    context: DeploymentContext,
    journal: Journal<S>,
    /// Queue of the sync thread; None if records count as durable without a sync.
    sync_jobs: Option<std::sync::mpsc::Sender<SyncTask<S::File>>>,
    /// Iterations whose records are not durable yet, in order, with the effects to carry out once they are.
    uncommitted: VecDeque<(CommitSeq, Effects)>,
    executor: Rc<CallExecutor<H>>,
    inbox: mpsc::Receiver<Input>,
    notices: mpsc::UnboundedSender<Notice>,
    /// When the policy's clock was at `CLOCK_ORIGIN`.
    started_at: Instant,
    endpoint_ids: HashMap<String, EndpointId>,
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    /// Ids are never reused: calls and the policy may refer to an endpoint for longer than the list names it.
    next_endpoint_id: EndpointId,
    /// All destinations that a list has ever named. Their number is bounded by the number of partner systems.
    known_dests: HashSet<DestId>,
    open_messages: BTreeMap<u64, OpenMessage>,
    /// Ids of the open messages by the id that the client gave (`X-Trace-Id`).
    ids_by_trace: HashMap<String, u64>,
    ended_messages: EndedMessages,
    /// Ids of the messages whose notice has not reached every sink.
    undelivered_notices: HashSet<u64>,
    /// Messages that the policy has finished or returned on the strength of a provisional answer.
    provisional: retraction::ProvisionalMessages,
    /// Submissions that the policy has neither accepted nor rejected yet. Their clients wait for a reply, and
    /// the journal has no record of them.
    undecided: BTreeMap<u64, Submission>,
    /// By message id and attempt number: the endpoint, and the token that cancels the call.
    attempts_in_flight: HashMap<(u64, u32), (EndpointId, Rc<CancelToken>)>,
    /// Events produced by the core itself, for the next iteration.
    next_events: Vec<Event>,
    /// The time at which the policy wants its next timer event.
    timer: Option<Ns>,
    next_id: u64,
    /// Set during a shutdown: no call is started after this time.
    shutdown_deadline: Option<Instant>,
    outage_store: outages::OutageStore,
    unattempted: unattempted::UnattemptedMessages,
    unwritten: UnwrittenRecords,
    /// Whether the last journal write failed. Stays set until a write succeeds and the ballast exists again.
    is_write_failing: bool,
    /// Where the remaining headroom of limits, as endpoints report it, is recorded for the fleet's limit
    /// quota; None outside a fleet.
    pub headroom: Option<Rc<crate::fleet::Headroom>>,
}

/// Start of the policy's clock. It is far above zero so that the times of attempts in earlier process runs,
/// which lie before it, are still positive.
const CLOCK_ORIGIN: Ns = 1_000_000 * SECOND;
/// Maximum number of inputs in one iteration, so that a flood of inputs does not delay the replies.
const MAX_INPUTS_PER_ITERATION: usize = 512;
/// How long an endpoint that is no longer ready is remembered; the policy remembers it for as long. Endpoints
/// are replaced all day, so without a limit their number would grow with the age of the process.
const ENDPOINT_RETENTION: Duration = Duration::from_secs(60);
/// Tolerance on each deadline: a request is under way for some time before the other side reads it, so the
/// two sides see a deadline pass at different times.
const DEADLINE_TOLERANCE: Ns = 50 * MS;
/// An unattempted message with less time left than this is counted as expired, not as returned.
const MIN_TIME_FOR_ATTEMPT: Ns = 300 * MS;

impl<S: Storage, H: Host> Core<S, H> {
    pub fn new(
        host: H,
        config: Config,
        journal: Journal<S>,
        sync_jobs: Option<std::sync::mpsc::Sender<SyncTask<S::File>>>,
        executor: Rc<CallExecutor<H>>,
        inbox: mpsc::Receiver<Input>,
        notices: mpsc::UnboundedSender<Notice>,
    ) -> Core<S, H> {
        Core {
            host,
            policy: Sender::new(config.settings.clone(), config.seed),
            settings: config.settings,
            context: config.context,
            next_id: journal.next_id(),
            journal,
            sync_jobs,
            uncommitted: VecDeque::new(),
            executor,
            inbox,
            notices,
            started_at: Instant::now(),
            endpoint_ids: HashMap::new(),
            known_dests: HashSet::new(),
            endpoints: BTreeMap::new(),
            next_endpoint_id: 0,
            open_messages: BTreeMap::new(),
            ids_by_trace: HashMap::new(),
            ended_messages: EndedMessages::default(),
            undelivered_notices: HashSet::new(),
            provisional: retraction::ProvisionalMessages::default(),
            undecided: BTreeMap::new(),
            attempts_in_flight: HashMap::new(),
            next_events: Vec::new(),
            timer: None,
            shutdown_deadline: None,
            outage_store: outages::OutageStore::default(),
            unattempted: unattempted::UnattemptedMessages::default(),
            unwritten: UnwrittenRecords::default(),
            is_write_failing: false,
            headroom: None,
        }
    }

    fn to_ns(&self, at: Instant) -> Ns {
        CLOCK_ORIGIN + at.saturating_duration_since(self.started_at).as_nanos() as Ns
    }

    fn to_instant(&self, at: Ns) -> Instant {
        self.started_at + Duration::from_nanos((at - CLOCK_ORIGIN).max(0) as u64)
    }

    pub async fn run(mut self) {
        let mut inputs = Vec::new();
        loop {
            if self.is_finished() {
                return;
            }
            let wake = self.timer.map(|at| self.to_instant(at));
            let wake = if self.next_events.is_empty() { wake } else { Some(Instant::now()) };
            let unwritten_wake = self.unwritten.next_attempt(self.to_ns(Instant::now()));
            let unwritten_wake = unwritten_wake.map(|at| self.to_instant(at));
            let wake = [wake, self.shutdown_deadline, unwritten_wake, self.outage_store.wake_at()]
                .into_iter()
                .flatten()
                .filter(|&w| self.is_wake_needed(w))
                .min();
            tokio::select! {
                biased;
                count = self.inbox.recv_many(&mut inputs, MAX_INPUTS_PER_ITERATION) => {
                    if count == 0 { return }
                }
                () = async {
                    match wake { Some(at) => sleep_until(at).await, None => std::future::pending().await }
                } => {}
            }
            // Yields once, so that input from other sockets that are ready joins the same iteration.
            tokio::task::yield_now().await;
            while inputs.len() < MAX_INPUTS_PER_ITERATION {
                let Ok(input) = self.inbox.try_recv() else { break };
                inputs.push(input);
            }
            let mut events = std::mem::take(&mut self.next_events);
            let now = self.to_ns(Instant::now());
            if self.timer.is_some_and(|at| at <= now) {
                self.timer = None;
                events.push(Event::Timer);
            }
            self.run_iteration(std::mem::take(&mut inputs), events);
        }
    }

    /// After the shutdown deadline, wake-ups that were due by then no longer matter.
    fn is_wake_needed(&self, wake: Instant) -> bool {
        self.shutdown_deadline.is_none_or(|deadline| Instant::now() < deadline || wake > deadline)
    }

    fn is_past_shutdown_deadline(&self) -> bool {
        self.shutdown_deadline.is_some_and(|deadline| Instant::now() >= deadline)
    }

    fn is_finished(&self) -> bool {
        let nothing_in_flight = self.attempts_in_flight.is_empty()
            && self.undelivered_notices.is_empty()
            && self.uncommitted.is_empty()
            && self.unwritten.first_record().is_none();
        let nothing_open = self.open_messages.is_empty() && !self.provisional.has_endings();
        self.shutdown_deadline.is_some()
            && nothing_in_flight
            && (nothing_open || self.is_past_shutdown_deadline())
    }

    fn apply_list(&mut self, list: EndpointList, is_full: bool) -> Event {
        let now = Instant::now();
        if is_full {
            self.executor.pool.mark_all_unavailable();
            self.endpoints
                .values_mut()
                .for_each(|known_endpoint| _ = known_endpoint.not_ready_since.get_or_insert(now));
        }
        let mut entries = Vec::new();
        let not_ready = list.not_ready_names();
        for instance in list.instances {
            let condition = match instance.lifecycle.as_str() {
                "Ready" if not_ready.contains(&instance.name) => Condition::Draining,
                "Ready" => Condition::Ready,
                "Gone" => Condition::Gone,
                // An unknown state is treated like draining: the endpoint gets nothing new.
                _ => Condition::Draining,
            };
            let endpoint = *self.endpoint_ids.entry(instance.name.clone()).or_insert_with(|| {
                self.next_endpoint_id += 1;
                self.next_endpoint_id
            });
            let kind = position(&self.context.kinds, &instance.kind).unwrap_or(usize::MAX);
            let zone = position(&self.context.zones, &instance.zone).unwrap_or(usize::MAX);
            let separate_routes = self.settings.kinds.get(kind).is_some_and(|k| k.separate_routes);
            let is_ready = condition == Condition::Ready;
            let new = || KnownEndpoint { name: instance.name.clone(), kind, not_ready_since: None };
            let known_endpoint = self.endpoints.entry(endpoint).or_insert_with(new);
            known_endpoint.kind = kind;
            known_endpoint.not_ready_since =
                if is_ready { None } else { known_endpoint.not_ready_since.or(Some(now)) };
            self.executor.pool.update_endpoint(
                endpoint,
                instance.address,
                instance.dest,
                separate_routes,
                is_ready,
            );
            let (dest, hint) = (instance.dest, instance.weight);
            self.known_dests.insert(dest);
            entries.push(Entry { endpoint, dest, kind, zone, condition, rate_hint: hint });
        }
        self.forget_unready_endpoints(now);
        Event::List { full: is_full, entries }
    }

    /// Forgets the endpoints that have not been ready for `ENDPOINT_RETENTION` and that no call uses.
    fn forget_unready_endpoints(&mut self, now: Instant) {
        let pool = &self.executor.pool;
        let in_use: HashSet<EndpointId> =
            self.attempts_in_flight.values().map(|(endpoint, _)| *endpoint).collect();
        self.endpoints.retain(|id, known_endpoint| {
            let is_needed = known_endpoint.not_ready_since.is_none_or(|at| now - at < ENDPOINT_RETENTION)
                || in_use.contains(id);
            if is_needed || !pool.can_forget(*id) {
                return true;
            }
            pool.forget(*id);
            self.endpoint_ids.remove(&known_endpoint.name);
            false
        });
    }

    /// Runs one iteration: applies all inputs, lets the policy decide, writes the journal once, and acts on
    /// the result.
    fn run_iteration(&mut self, inputs: Vec<Input>, events: Vec<Event>) {
        let started_at = Instant::now();
        let (now, wall_ms) = (self.to_ns(started_at), self.host.wall_ms());
        let mut records = Vec::new();
        let mut endings: Vec<(u64, Ending)> = Vec::new();
        let mut iteration = Iteration {
            started_at,
            events,
            submissions: BTreeMap::new(),
            reservation: Reservation::default(),
        };
        self.resubmit_undecided(&mut iteration, wall_ms);
        for input in inputs {
            match input {
                Input::Submit { message, deadline, reply } => {
                    self.submit(message, deadline, reply, &mut iteration)
                }
                Input::EndpointList(list) => {
                    let is_full = list.reset;
                    iteration.events.push(self.apply_list(list, is_full));
                    iteration.events.extend(self.outages_of_new_list(now, wall_ms));
                }
                Input::AttemptsEnded { ends, is_provisional } => {
                    for end in ends {
                        let (ms, wait) = (end.took / MS, end.retry_after / MS);
                        let (left, limit) = end.report.map_or((-1.0, -1.0), |r| (r.remaining, r.limit));
                        let open = self.open_messages.get(&end.id);
                        let trace = open.map_or("", |open| open.message.trace.as_str());
                        tracing::debug!(
                            end.id, trace, end.attempt, end.endpoint, ?end.outcome, ms, wait, left, limit,
                            "attempt ended"
                        );
                        if let (Some(headroom), Some(report)) = (&self.headroom, &end.report) {
                            headroom.record(report.remaining);
                        }
                        let is_late = self.is_late_success(&end, now);
                        endings.extend(is_late.then_some((end.id, Ending::GivenUp)));
                        self.record_attempt_end(&end, is_late, is_provisional, &mut records);
                        let id = end.id;
                        iteration.events.push(Event::AttemptEnd(end));
                        self.settle_unconfirmed(id, &mut iteration, &mut endings);
                    }
                }
                Input::AnswersResolved(resolved) => {
                    self.apply_verdicts(&resolved, &mut iteration, &mut records, &mut endings);
                }
                Input::Probed { endpoint, outcome, report } => {
                    iteration.events.push(Event::Probed { endpoint, outcome, report })
                }
                Input::NoticesDelivered(ids) => {
                    for id in ids {
                        self.undelivered_notices.remove(&id);
                        records.push(Record::Finished(id));
                    }
                }
                Input::Synced(synced) => {
                    self.journal.finish_sync(synced, wall_ms);
                    self.run_durable_effects();
                }
                Input::SenderCount(count) => iteration.events.push(Event::SenderCount(count)),
                Input::StartNumber(start) => {
                    let persisted = self
                        .journal
                        .write_side_file(crate::fleet::START_FILE, format!("{start}\n").as_bytes());
                    if let Err(error) = persisted {
                        tracing::warn!(
                            start, %error,
                            "cannot persist the start number; members may confuse the next run with this one"
                        );
                    }
                }
                Input::Shutdown(deadline) => self.shutdown_deadline = Some(deadline),
            }
        }
        let Iteration { events, mut submissions, .. } = iteration;
        let mut actions = Vec::new();
        if !self.is_past_shutdown_deadline() {
            self.policy.handle(now, &events, &mut actions);
        }
        let mut calls: Vec<(EndpointId, Vec<CallEntry>)> = Vec::new();
        let mut attempt_records = Vec::new();
        let mut rejected = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout: limit, write_by: by } => {
                    let info = self.endpoints.get(&endpoint);
                    let (Some(open), Some(info)) = (self.open_messages.get_mut(&id), info) else { continue };
                    let (name, kind) = (info.name.clone(), info.kind);
                    let attempt = open.attempts.len() as u32;
                    let record = AttemptRecord {
                        number: attempt,
                        started_at_ms: wall_ms,
                        endpoint: name,
                        never_ran: false,
                    };
                    attempt_records.push(Record::AttemptStarted(id, record));
                    open.attempts.push(PastAttempt {
                        endpoint: Some(endpoint),
                        sent: now,
                        may_have_run: true,
                    });
                    let (message, deadline) = (open.message.clone(), open.deadline);
                    let (trace, dest) = (&message.trace, message.dest);
                    tracing::debug!(id, trace, attempt, endpoint, dest, limit = limit / MS, "send");
                    let attempt_deadline = if limit > 0 { (now + limit).min(deadline) } else { deadline };
                    let (deadline, attempt_deadline, send_by) =
                        (self.to_instant(deadline), self.to_instant(attempt_deadline), self.to_instant(by));
                    let call_entry = CallEntry { attempt, message, deadline, attempt_deadline, send_by };
                    // Must group as the policy does: sends to one endpoint in one iteration share calls.
                    let batch = self.settings.kinds.get(kind).map_or(1, |k| k.batch.max(1));
                    match calls.iter_mut().rev().find(|(e, _)| *e == endpoint) {
                        Some((_, entries)) if entries.len() < batch => entries.push(call_entry),
                        _ => calls.push((endpoint, vec![call_entry])),
                    }
                }
                Action::Refuse { id, backoff } => {
                    let backoff = (backoff > 0).then_some((backoff / MS) as u64);
                    match submissions.remove(&id) {
                        Some(submission) => {
                            rejected.push((submission, Reply::Rejected(backoff.map(Duration::from_millis))))
                        }
                        None => endings.push((id, Ending::HandedBack(backoff))),
                    }
                }
                Action::Fail { id } => match submissions.remove(&id) {
                    Some(submission) => rejected.push((submission, Reply::Failed)),
                    None => endings.push((id, Ending::GivenUp)),
                },
                Action::Cancel { id, attempt } => {
                    if let Some((_, cancel)) = self.attempts_in_flight.get(&(id, attempt)) {
                        cancel.cancel();
                    }
                }
                Action::Probe { endpoint } => {
                    tokio::task::spawn_local(self.executor.clone().probe(endpoint));
                }
                Action::CloseIdle { endpoint } => {
                    self.executor.pool.close_idle(endpoint, CloseReason::EndpointChanged)
                }
                Action::Timer { at } => self.timer = Some(self.timer.map_or(at, |t| t.min(at))),
            }
        }
        for (submission, reply) in rejected {
            let message = &submission.message;
            tracing::debug!(message.id, message.trace, message.dest, ?reply, "rejected");
            self.remove_message(submission.message.id);
            submission.answer(reply);
        }
        let (submissions, undecided) =
            submissions.into_iter().partition(|(id, _)| self.policy.is_accepted(*id));
        self.undecided = undecided;
        let mut effects = Effects::default();
        for &(id, ending) in &endings {
            if self.hold_ending(id, ending, now) {
                continue;
            }
            if let Some(open_message) = self.remove_ended(id) {
                tracing::debug!(
                    id,
                    trace = open_message.message.trace,
                    dest = open_message.message.dest,
                    attempts = open_message.attempts.len(),
                    ?ending,
                    "given up"
                );
                let has_time = open_message.deadline > now + MIN_TIME_FOR_ATTEMPT;
                log_unattempted(self.unattempted.finished(id, has_time));
                records.push(Record::EndingDecided(id, ending));
                if ending == Ending::GivenUp {
                    self.ended_messages.record(&open_message.message, started_at);
                }
                let unrecorded_ending = self.unrecorded_ending(&open_message, ending);
                let notice = self.make_notice(&open_message.message, ending);
                effects.notices.push(DueNotice {
                    notice,
                    deadline: open_message.deadline,
                    unrecorded_ending,
                });
            }
        }
        for (endpoint, entries) in calls {
            let cancel = Rc::new(CancelToken::default());
            for entry in &entries {
                self.attempts_in_flight.insert((entry.message.id, entry.attempt), (endpoint, cancel.clone()));
                log_unattempted(self.unattempted.attempted(entry.message.id));
            }
            effects.calls.push((endpoint, entries, cancel));
        }
        let mut all: Vec<Record> =
            submissions.values().map(|submission| Record::Accepted(submission.message.clone())).collect();
        all.extend(records.iter().chain(&attempt_records).cloned());
        if self.write_unwritten() && self.append(&all) {
            effects.accepted = submissions;
        } else {
            self.handle_write_failure(submissions, records, attempt_records, &mut effects);
        }
        effects.notices.extend(self.unwritten.take_notices(now));
        self.run_once_durable(effects);
        self.start_sync();
        self.persist_outages(now, wall_ms);
    }

    /// Carries undecided submissions of earlier iterations over into this one, reserving journal space for
    /// them again. They are rejected if there is no space, or after the shutdown deadline, when the policy is
    /// no longer asked and could not accept them.
    fn resubmit_undecided(&mut self, iteration: &mut Iteration, wall_ms: i64) {
        for (id, submission) in std::mem::take(&mut self.undecided) {
            if !self.is_past_shutdown_deadline()
                && self.journal.reserve(&submission.message, &mut iteration.reservation, wall_ms)
            {
                iteration.submissions.insert(id, submission);
            } else {
                self.remove_message(id);
                iteration.events.push(Event::Withdrawn { id });
                submission.answer(Reply::Rejected(Some(effects::DISK_FULL_RETRY_AFTER)));
            }
        }
    }

    fn submit(
        &mut self,
        mut message: AcceptedMessage,
        deadline: Instant,
        reply: oneshot::Sender<Reply>,
        iteration: &mut Iteration,
    ) {
        if let Some(id) = self.ids_by_trace.get(&message.trace) {
            // An open message has this id. A repeated submission of the same message gets the same reply as
            // the first one, or is answered as accepted if that has been decided. A different message with
            // this id gets a reply that does not depend on what became of the first one.
            match iteration.submissions.get_mut(id) {
                _ if !self
                    .open_messages
                    .get(id)
                    .is_some_and(|open_message| open_message.message.is_same_submission(&message)) =>
                {
                    _ = reply.send(Reply::Conflict)
                }
                Some(first) => first.replies.push(reply),
                // Accepted, but not durable yet: the reply waits for that too.
                None => match self.uncommitted.iter_mut().find_map(|(_, e)| e.accepted.get_mut(id)) {
                    Some(first) => first.replies.push(reply),
                    None => _ = reply.send(Reply::Accepted),
                },
            }
            return;
        }
        if self.ended_messages.contains(&message, iteration.started_at)
            || self.provisional.is_ending_held(&message.trace)
        {
            tracing::info!(trace = message.trace, "a message that has ended was submitted again");
            let _ = reply.send(Reply::Accepted);
            return;
        }
        // No list has named the destination. Before the first list no destination is known at all, so the
        // client is asked to retry.
        if !self.known_dests.contains(&message.dest) {
            let no_list_yet = self.known_dests.is_empty();
            let _ = reply.send(if no_list_yet { Reply::Rejected(None) } else { Reply::UnknownDestination });
            return;
        }
        message.id = self.next_id;
        let class = position(&self.context.classes, &message.class);
        let class = class.filter(|_| {
            self.open_messages.len() < self.settings.max_open && self.shutdown_deadline.is_none()
        });
        let class =
            class.filter(|_| self.journal.reserve(&message, &mut iteration.reservation, self.host.wall_ms()));
        let Some(class) = class else {
            let after = Duration::from_nanos(self.policy.backoff(message.dest).max(0) as u64);
            let is_shutting_down = self.shutdown_deadline.is_some();
            let held = self.open_messages.len();
            tracing::debug!(trace = message.trace, dest = message.dest, held, is_shutting_down, "no room");
            let _ = reply.send(Reply::Rejected(Some(after)));
            return;
        };
        self.next_id += 1;
        // The name of this variable is part of the log field `taken.id`.
        let taken = Rc::new(message);
        let time_left = deadline.saturating_duration_since(iteration.started_at).as_nanos() as Ns;
        tracing::debug!(
            taken.id,
            trace = taken.trace,
            dest = taken.dest,
            tenant = taken.tenant,
            left = time_left / MS,
            "taken"
        );
        let open =
            OpenMessage { message: taken.clone(), deadline: self.to_ns(deadline), attempts: Vec::new() };
        let policy_message = self.register_message(open, class, time_left);
        iteration.events.push(Event::Message(policy_message));
        iteration.submissions.insert(taken.id, Submission { message: taken, replies: vec![reply] });
    }

    /// Registers a message as open and builds the policy's description of it.
    fn register_message(&mut self, open: OpenMessage, class: usize, time_left: Ns) -> Message {
        let (id, dest) = (open.message.id, open.message.dest);
        let tenant = position(&self.context.tenants, &open.message.tenant).unwrap_or(0);
        self.ids_by_trace.insert(open.message.trace.clone(), id);
        self.open_messages.insert(id, open);
        Message { id, class, dest, time_left, expected_work: 0, key: None, tenant }
    }

    /// Builds the notice of a message. It stays pending until every sink has received it.
    fn make_notice(&mut self, message: &AcceptedMessage, ending: Ending) -> Notice {
        self.undelivered_notices.insert(message.id);
        let (trace, class) = (message.trace.clone(), message.class.clone());
        Notice { id: message.id, trace, class, dest: message.dest, ending, ended_at_ms: self.host.wall_ms() }
    }

    /// How the next process would end a message with what the journal holds of it now.
    fn unrecorded_ending(&self, open: &OpenMessage, ending: Ending) -> Ending {
        let recorded = self.journal.live().get(&open.message.id);
        let may_have_run =
            recorded.is_some_and(|live| live.attempts.iter().any(|attempt| !attempt.never_ran));
        if may_have_run && self.needs_proof_to_return(open) {
            Ending::GivenUp
        } else {
            ending
        }
    }

    /// Whether the attempt succeeded only as the message expired. The answer may have been written after
    /// the deadline, and then the message does not count as delivered, so its client must get a notice. A
    /// notice for a message that was delivered in time does no harm.
    fn is_late_success(&self, end: &AttemptEnd, now: Ns) -> bool {
        end.outcome == Outcome::Served
            && self
                .open_messages
                .get(&end.id)
                .is_some_and(|open_message| open_message.deadline <= now + DEADLINE_TOLERANCE)
    }

    /// Records the end of an attempt. If `is_late`, the message is not finished here but with its notice,
    /// later in the iteration. A message that a provisional answer has finished is kept for the verdict on it.
    fn record_attempt_end(
        &mut self,
        end: &AttemptEnd,
        is_late: bool,
        is_provisional: bool,
        records: &mut Vec<Record>,
    ) {
        self.attempts_in_flight.remove(&(end.id, end.attempt));
        let Some(open) = self.open_messages.get_mut(&end.id) else { return };
        if let Some(attempt) = open.attempts.get_mut(end.attempt as usize) {
            attempt.may_have_run = !end.outcome.never_ran();
        }
        if end.finished {
            if is_late {
                return;
            }
            if end.outcome == Outcome::NotSent {
                let trace = &open.message.trace;
                tracing::info!(
                    end.id,
                    trace,
                    end.attempt,
                    end.endpoint,
                    "the endpoint says that the message is over"
                );
            }
            records.push(Record::Finished(end.id));
            self.ended_messages.record(&open.message, Instant::now());
            let finished = self.remove_message(end.id).filter(|_| is_provisional);
            self.provisional.finished.extend(finished.map(|open| (end.id, open)));
        } else if end.outcome.never_ran() {
            records.push(Record::AttemptNeverRan(end.id, end.attempt));
        }
    }

    fn remove_message(&mut self, id: u64) -> Option<OpenMessage> {
        let open_message = self.open_messages.remove(&id)?;
        self.ids_by_trace.remove(&open_message.message.trace);
        Some(open_message)
    }
}

/// Logs the counts of the messages recovered unattempted, once the last of them has been attempted or
/// finished.
fn log_unattempted(counts: Option<unattempted::Counts>) {
    if let Some(unattempted::Counts {
        recovered: found,
        attempted: called,
        expired_at_start: late,
        expired: ran_out,
        returned: turned_away,
    }) = counts
    {
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

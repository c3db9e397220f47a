//! Simulates a fleet of decision modules that call one model server, in virtual time.
use nickelshed_policy::api::*;
use nickelshed_policy::rules::Sender;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

const ENDPOINT: EndpointId = 1;
const DESTINATION: DestId = 1;
/// Time until the server answers a call.
const SERVICE_TIME: Ns = 100 * MS;
/// Time until the server rejects or resets a call.
const REJECTION_TIME: Ns = 35 * MS;
/// Length of the traffic before the outage, from which the senders know the server.
const BEFORE_OUTAGE: Ns = 12 * SECOND;
/// How long a killed process takes to run again.
const RESTART_TIME: Ns = 600 * MS;
/// A call that has not been answered for this long shows its sender that there is an outage.
const UNANSWERED: Ns = 3 * SECOND;
/// The time after a recovery in which deliveries are counted, as the price of slow start.
const PRICED_TIME: Ns = 10 * SECOND;
/// Deadline of each message.
const DEADLINE: Ns = 12 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OutageKind {
    RefusesConnections,
    ResetsUnderCalls,
    Hangs {
        reset_at_recovery: bool,
    },
    Errors,
    /// Rejects calls, and announces in this percentage of them when it becomes available.
    Rejects {
        announced_percent: u32,
    },
}

/// When messages are submitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Traffic {
    /// All the time, at random.
    Steady,
    /// Each sender gets so many messages in the outage, and a clump of messages for all senders arrives
    /// `clump_after` its end, as many as the server takes in `clump_seconds`. Nothing else is submitted after the
    /// outage has begun, and before it only if `has_history`.
    Clump { in_outage: usize, clump_after: Ns, clump_seconds: f64, has_history: bool },
}

/// Processes that are killed and start again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Restarts {
    pub percent: u32,
    /// When they are killed, relative to the end of the outage.
    pub at: Ns,
}

/// Everything that differs from one simulated outage to the next.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub senders: usize,
    pub seed: u64,
    pub outage: OutageKind,
    pub duration: Ns,
    /// Calls a second from all senders that the server handles once it has warmed up.
    pub capacity: f64,
    /// Submitted messages, as a fraction of what the server's calls could carry.
    pub load: f64,
    pub batch: usize,
    pub reports_limit: bool,
    pub traffic: Traffic,
    pub restarts: Option<Restarts>,
    pub effect: Effect,
    pub start_capacity: f64,
    pub slow_start_duration: Ns,
    pub overload_multiple: f64,
    pub overload_window: Ns,
}

impl Scenario {
    pub fn new(senders: usize, seed: u64) -> Scenario {
        let mut random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(10_007).wrapping_add(senders as u64));
        let outage = match random.random_range(0..6) {
            0 => OutageKind::RefusesConnections,
            1 => OutageKind::ResetsUnderCalls,
            2 => OutageKind::Hangs { reset_at_recovery: random.random_bool(0.5) },
            3 => OutageKind::Errors,
            _ => OutageKind::Rejects { announced_percent: random.random_range(0..=100) },
        };
        let seconds =
            |random: &mut ChaCha8Rng, low: f64, high: f64| (random.random_range(low..high) * 1e9) as Ns;
        Scenario {
            senders,
            seed,
            outage,
            duration: (10f64.powf(random.random_range(-0.52..1.3)) * 1e9) as Ns,
            capacity: 10f64.powf(random.random_range(0.6..2.5)),
            load: random.random_range(0.2..1.1),
            batch: if random.random_bool(0.3) { 8 } else { 1 },
            reports_limit: random.random_bool(0.7),
            traffic: Traffic::Steady,
            restarts: None,
            effect: [Effect::Safe, Effect::Keyed, Effect::Unsafe][random.random_range(0..3)],
            start_capacity: random.random_range(0.19..0.37),
            slow_start_duration: seconds(&mut random, 7.4, 14.0),
            overload_multiple: random.random_range(1.5..2.0),
            overload_window: seconds(&mut random, 1.5, 2.5),
        }
    }

    /// Like `new`, with an outage that is longer than the overload window, mostly after a quiet time, and
    /// mostly with restarts about when the server returns.
    pub fn with_disruptions(senders: usize, seed: u64) -> Scenario {
        let mut scenario = Scenario::new(senders, seed);
        let mut random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(60_013).wrapping_add(senders as u64));
        let seconds =
            |random: &mut ChaCha8Rng, low: f64, high: f64| (random.random_range(low..high) * 1e9) as Ns;
        scenario.duration = scenario.overload_window + seconds(&mut random, 0.1, 20.0);
        if random.random_bool(0.7) {
            scenario.traffic = Traffic::Clump {
                in_outage: random.random_range(1..=4),
                clump_after: seconds(&mut random, 0.0, 3.0),
                clump_seconds: random.random_range(1.1..6.0),
                has_history: random.random_bool(0.5),
            };
        }
        if random.random_bool(0.6) {
            let percent = if random.random_bool(0.5) { 100 } else { random.random_range(10..100) };
            scenario.restarts = Some(Restarts { percent, at: seconds(&mut random, -2.0, 1.5) });
        }
        scenario
    }

    fn settings(&self) -> Settings {
        let class = Class {
            target: 3 * SECOND,
            target_stretch: 0.0,
            deadline: DEADLINE,
            effect: self.effect,
            dedup_scope: DedupScope::All,
            dedup_window: DEADLINE,
            value: 1.0,
            late_value: 0.3,
            in_order: false,
        };
        let message_share = self.capacity * self.batch as f64 / self.senders as f64;
        Settings {
            classes: vec![class],
            kinds: vec![Kind { batch: self.batch, separate_routes: false }],
            sender_count: self.senders,
            tick: MS,
            slots: ((message_share * 0.5) as usize).max(5),
            max_open: ((message_share * 12.0) as usize).max(20),
            max_attempts: 8,
            may_cancel: true,
            streams_per_conn: 1,
            idle_timeout: 5 * SECOND,
            dial_timeout: SECOND,
            limit_reports: self.reports_limit,
            start_capacity: self.start_capacity,
            slow_start_duration: self.slow_start_duration,
            overload_multiple: self.overload_multiple,
            overload_window: self.overload_window,
            key_hold_off: SECOND,
            ..Settings::default()
        }
    }
}

/// The result of one simulated recovery.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunResult {
    /// Most calls from senders that saw the outage in any overload window, as a fraction of the overload
    /// bound.
    pub informed_load: f64,
    /// The server collapsed, and over two thirds of the calls in that window were from senders that saw the
    /// outage.
    pub is_violation: bool,
    /// Messages served in slow start, as a fraction of those submitted in it.
    pub served_of_submitted: f64,
    /// Calls served in slow start, as a fraction of those that the server could serve.
    pub served_of_capacity: f64,
    /// Messages served within `PRICED_TIME` after the recovery.
    pub served_soon: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Submit {
        sender: usize,
    },
    /// One message, without a next one.
    SubmitOnce {
        sender: usize,
    },
    Kill {
        sender: usize,
    },
    Restart {
        sender: usize,
    },
    CallEnd {
        call: usize,
        result: CallResult,
    },
    Timer {
        sender: usize,
    },
    Recovery,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CallResult {
    Served,
    Error,
    Rejected { retry_after: Ns, remaining_percent: i64 },
    NoAnswer,
    NoConnection,
    Reset,
    Cancelled,
}

struct Call {
    sender: usize,
    sent: Ns,
    /// Message and number of its attempt.
    messages: Vec<(MsgId, u32)>,
    finished: bool,
}

struct OpenMessage {
    submitted_at: Ns,
    past: Vec<PastAttempt>,
}

struct Server {
    down_from: Ns,
    recovers_at: Ns,
    collapsed: bool,
    tokens: f64,
    refilled_at: Ns,
    /// Calls since the recovery that are in the window: when, and whether their sender had seen the outage.
    recent: VecDeque<(Ns, bool)>,
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    random: ChaCha8Rng,
    now: Ns,
    senders: Vec<Sender>,
    /// What each sender that is not running had in its folder when it was killed.
    folders: BTreeMap<usize, Vec<Outage>>,
    /// Messages of each sender that have not ended.
    open: Vec<BTreeMap<MsgId, OpenMessage>>,
    /// Whether each sender has seen the outage.
    informed: Vec<bool>,
    /// Messages a second that are submitted to each sender.
    demand: Vec<f64>,
    calls: Vec<Call>,
    server: Server,
    events: BinaryHeap<Reverse<(Ns, usize, SimEvent)>>,
    /// Orders events that are due at the same time.
    sequence: usize,
    next_message: MsgId,
    attempts: BTreeMap<MsgId, u32>,
    result: RunResult,
    submitted_after_recovery: usize,
    messages_served_after_recovery: usize,
    calls_served_after_recovery: usize,
}

/// Simulates one outage, and the recovery to the end of slow start.
pub fn run(scenario: &Scenario) -> RunResult {
    let mut fleet = Fleet::new(scenario);
    fleet.run();
    fleet.result
}

fn endpoint_list() -> Event {
    let (endpoint, dest, condition) = (ENDPOINT, DESTINATION, Condition::Ready);
    let entry = Entry { endpoint, dest, kind: 0, zone: 0, condition, rate_hint: 0.0 };
    Event::List { full: true, entries: vec![entry] }
}

fn message(id: MsgId, time_left: Ns) -> Message {
    Message { id, class: 0, dest: DESTINATION, time_left, expected_work: 0, key: None, tenant: 0 }
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario) -> Fleet<'a> {
        let mut random = ChaCha8Rng::seed_from_u64(scenario.seed ^ 0x5eed);
        let settings = scenario.settings();
        let senders: Vec<Sender> = (0..scenario.senders)
            .map(|i| {
                let mut sender = Sender::new(settings.clone(), scenario.seed ^ (i as u64) << 20);
                sender.handle(0, &[endpoint_list()], &mut Vec::new());
                sender
            })
            .collect();
        let distribution = LogNormal::new(0.0, 0.5).expect("a valid deviation");
        let weights: Vec<f64> = (0..scenario.senders).map(|_| distribution.sample(&mut random)).collect();
        let weight_sum: f64 = weights.iter().sum();
        let rate = scenario.load * scenario.capacity * if scenario.batch > 1 { 2.0 } else { 1.0 };
        let down_from = BEFORE_OUTAGE + (random.random_range(0.0..2.0) * 1e9) as Ns;
        Fleet {
            scenario,
            now: 0,
            folders: BTreeMap::new(),
            open: (0..scenario.senders).map(|_| BTreeMap::new()).collect(),
            informed: vec![false; scenario.senders],
            demand: weights.iter().map(|w| rate * w / weight_sum).collect(),
            senders,
            calls: Vec::new(),
            server: Server {
                down_from,
                recovers_at: down_from + scenario.duration,
                collapsed: false,
                tokens: scenario.capacity,
                refilled_at: 0,
                recent: VecDeque::new(),
            },
            events: BinaryHeap::new(),
            sequence: 0,
            next_message: 0,
            attempts: BTreeMap::new(),
            result: RunResult::default(),
            submitted_after_recovery: 0,
            messages_served_after_recovery: 0,
            calls_served_after_recovery: 0,
            random,
        }
    }

    fn run(&mut self) {
        for sender in 0..self.scenario.senders {
            self.schedule_submission(sender);
        }
        self.schedule_disruptions();
        self.schedule(self.server.recovers_at, SimEvent::Recovery);
        let until = self.server.recovers_at + self.scenario.slow_start_duration;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > until || self.server.collapsed {
                break;
            }
            self.now = at;
            self.process(event);
        }
        let servable_calls = self.scenario.capacity * (1.0 + self.scenario.start_capacity) / 2.0
            * self.scenario.slow_start_duration as f64
            / 1e9;
        self.result.served_of_submitted =
            self.messages_served_after_recovery as f64 / self.submitted_after_recovery.max(1) as f64;
        self.result.served_of_capacity = self.calls_served_after_recovery as f64 / servable_calls;
    }

    fn schedule(&mut self, at: Ns, event: SimEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn schedule_disruptions(&mut self) {
        let (down_from, recovers_at) = (self.server.down_from, self.server.recovers_at);
        if let Traffic::Clump { in_outage, clump_after, clump_seconds, .. } = self.scenario.traffic {
            for sender in 0..self.scenario.senders {
                for _ in 0..in_outage {
                    let at = self.random.random_range(down_from..recovers_at);
                    self.schedule(at, SimEvent::SubmitOnce { sender });
                }
            }
            let messages = self.scenario.capacity * self.scenario.batch as f64 * clump_seconds;
            for i in 0..messages as usize {
                let sender = i % self.scenario.senders;
                self.schedule(recovers_at + clump_after, SimEvent::SubmitOnce { sender });
            }
        }
        if let Some(Restarts { percent, at }) = self.scenario.restarts {
            for sender in 0..self.scenario.senders {
                if self.random.random_range(0..100) < percent {
                    self.schedule(recovers_at + at, SimEvent::Kill { sender });
                }
            }
        }
    }

    /// Whether messages are submitted at random now.
    fn has_steady_traffic(&self) -> bool {
        match self.scenario.traffic {
            Traffic::Steady => true,
            Traffic::Clump { has_history, .. } => {
                has_history && self.now < self.server.down_from - 2 * SECOND
            }
        }
    }

    fn schedule_submission(&mut self, sender: usize) {
        let gap = Exp::new(self.demand[sender]).expect("a valid rate").sample(&mut self.random);
        self.schedule(self.now + (gap * 1e9) as Ns, SimEvent::Submit { sender });
    }

    fn has_recovered(&self) -> bool {
        self.now >= self.server.recovers_at
    }

    fn process(&mut self, event: SimEvent) {
        match event {
            SimEvent::Submit { sender } => {
                self.schedule_submission(sender);
                if self.has_steady_traffic() {
                    self.submit(sender);
                }
            }
            SimEvent::SubmitOnce { sender } => self.submit(sender),
            SimEvent::Kill { sender } => {
                self.folders.insert(sender, self.senders[sender].outages().collect());
                self.calls
                    .iter_mut()
                    .filter(|call| call.sender == sender)
                    .for_each(|call| call.finished = true);
                self.schedule(self.now + RESTART_TIME, SimEvent::Restart { sender });
            }
            SimEvent::Restart { sender } => self.restart(sender),
            SimEvent::CallEnd { call, result } => self.end_call(call, result),
            SimEvent::Timer { sender } => self.handle_events(sender, &[Event::Timer]),
            SimEvent::Recovery => {
                self.inform_unanswered();
                if (self.scenario.outage == OutageKind::Hangs { reset_at_recovery: true }) {
                    for call in 0..self.calls.len() {
                        if !self.calls[call].finished && self.calls[call].sent >= self.server.down_from {
                            self.schedule(self.now, SimEvent::CallEnd { call, result: CallResult::Reset });
                        }
                    }
                }
            }
        }
    }

    fn submit(&mut self, sender: usize) {
        self.submitted_after_recovery += usize::from(self.has_recovered());
        self.next_message += 1;
        let id = self.next_message;
        self.open[sender].insert(id, OpenMessage { submitted_at: self.now, past: Vec::new() });
        self.handle_events(sender, &[Event::Message(message(id, DEADLINE))]);
    }

    /// Starts a new process of a sender with what the earlier one left in its folder.
    fn restart(&mut self, sender: usize) {
        let Some(outages) = self.folders.remove(&sender) else { return };
        let now = self.now;
        let seed = self.scenario.seed ^ (sender as u64) << 20 ^ now as u64;
        self.senders[sender] = Sender::new(self.scenario.settings(), seed);
        let mut events = vec![endpoint_list()];
        events.extend(outages.into_iter().map(Event::Outage));
        for (&id, open) in &self.open[sender] {
            let message = message(id, open.submitted_at + DEADLINE - now);
            let past =
                open.past.iter().map(|attempt| PastAttempt { may_have_run: true, ..*attempt }).collect();
            events.push(Event::Recovered { message, past });
        }
        self.handle_events(sender, &events);
    }

    /// Senders whose calls have been unanswered for long when the server recovers have seen the outage.
    fn inform_unanswered(&mut self) {
        for call in &self.calls {
            let is_unanswered = call.sent >= self.server.down_from && self.now - call.sent >= UNANSWERED;
            self.informed[call.sender] |= !call.finished && is_unanswered;
        }
    }

    fn handle_events(&mut self, sender: usize, events: &[Event]) {
        // A process that does not run takes nothing; its clients submit again later.
        if self.folders.contains_key(&sender) {
            return;
        }
        let mut actions = Vec::new();
        self.senders[sender].handle(self.now, events, &mut actions);
        let mut sent: Vec<(MsgId, u32, Ns)> = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, timeout, .. } => {
                    let attempt =
                        PastAttempt { endpoint: Some(ENDPOINT), sent: self.now, may_have_run: true };
                    if let Some(open) = self.open[sender].get_mut(&id) {
                        open.past.push(attempt);
                    }
                    sent.push((id, self.next_attempt(id), timeout));
                }
                Action::Refuse { id, .. } | Action::Fail { id } => _ = self.open[sender].remove(&id),
                Action::Timer { at } => self.schedule(at.max(self.now + 1), SimEvent::Timer { sender }),
                Action::Cancel { id, attempt } => {
                    let position =
                        self.calls.iter().rposition(|c| !c.finished && c.messages.contains(&(id, attempt)));
                    if let Some(call) = position {
                        self.schedule(self.now, SimEvent::CallEnd { call, result: CallResult::Cancelled });
                    }
                }
                _ => {}
            }
        }
        for messages in sent.chunks(self.scenario.batch) {
            self.receive_call(sender, messages);
        }
    }

    /// Attempts of a message count from 0.
    fn next_attempt(&mut self, id: MsgId) -> u32 {
        let next = self.attempts.entry(id).or_insert(0);
        *next += 1;
        *next - 1
    }

    /// A call arrives at the server.
    fn receive_call(&mut self, sender: usize, messages: &[(MsgId, u32, Ns)]) {
        let timeout = messages.iter().map(|m| m.2).max().unwrap_or(0);
        let messages = messages.iter().map(|m| (m.0, m.1)).collect();
        let call = self.calls.len();
        self.calls.push(Call { sender, sent: self.now, messages, finished: false });
        if self.now >= self.server.recovers_at {
            self.count_call(sender);
        }
        if let Some((at, result)) = self.call_end(if timeout > 0 { timeout } else { DEADLINE }) {
            self.schedule(at, SimEvent::CallEnd { call, result });
        }
    }

    /// Counts a call after the recovery against the overload bound at that time.
    fn count_call(&mut self, sender: usize) {
        let (scenario, now) = (self.scenario, self.now);
        let server = &mut self.server;
        server.recent.push_back((now, self.informed[sender]));
        while server.recent.front().is_some_and(|(at, _)| *at + scenario.overload_window < now) {
            server.recent.pop_front();
        }
        let progress = ((now - server.recovers_at) as f64 / scenario.slow_start_duration as f64).min(1.0);
        let capacity_fraction = scenario.start_capacity + (1.0 - scenario.start_capacity) * progress;
        let allowed = scenario.overload_multiple
            * capacity_fraction
            * scenario.capacity
            * scenario.overload_window as f64
            / 1e9;
        let overload_bound = allowed + 2.0 * allowed.sqrt() + 2.0;
        let all = server.recent.len() as f64;
        let informed = server.recent.iter().filter(|(_, informed)| *informed).count() as f64;
        self.result.informed_load = self.result.informed_load.max(informed / overload_bound);
        if all > overload_bound {
            server.collapsed = true;
            self.result.is_violation = informed > all * 2.0 / 3.0;
        }
    }

    /// Returns when and how a call that arrives now ends.
    fn call_end(&mut self, timeout: Ns) -> Option<(Ns, CallResult)> {
        let now = self.now;
        let is_down = (self.server.down_from..self.server.recovers_at).contains(&now);
        if !is_down {
            return Some(if self.within_limit() {
                (now + SERVICE_TIME, CallResult::Served)
            } else {
                (now + REJECTION_TIME, CallResult::Rejected { retry_after: 0, remaining_percent: 0 })
            });
        }
        Some(match self.scenario.outage {
            OutageKind::RefusesConnections => (now + MS, CallResult::NoConnection),
            OutageKind::ResetsUnderCalls => (now + REJECTION_TIME, CallResult::Reset),
            OutageKind::Hangs { .. } => (now + timeout, CallResult::NoAnswer),
            OutageKind::Errors => (now + SERVICE_TIME, CallResult::Error),
            OutageKind::Rejects { announced_percent } => {
                let is_announced = self.random.random_range(0..100) < announced_percent;
                let at = now + REJECTION_TIME;
                let retry_after = if is_announced { (self.server.recovers_at - at).max(0) } else { 0 };
                (at, CallResult::Rejected { retry_after, remaining_percent: 100 })
            }
        })
    }

    fn within_limit(&mut self) -> bool {
        let elapsed = (self.now - self.server.refilled_at) as f64 / 1e9;
        self.server.refilled_at = self.now;
        self.server.tokens =
            (self.server.tokens + elapsed * self.scenario.capacity).min(self.scenario.capacity.max(1.0));
        let within = self.server.tokens >= 1.0;
        self.server.tokens -= f64::from(u8::from(within));
        within
    }

    fn end_call(&mut self, call: usize, result: CallResult) {
        if std::mem::replace(&mut self.calls[call].finished, true) {
            return;
        }
        let (sender, sent) = (self.calls[call].sender, self.calls[call].sent);
        let messages = self.calls[call].messages.clone();
        let is_failure = !matches!(result, CallResult::Served | CallResult::Cancelled);
        if is_failure && (self.server.down_from..=self.server.recovers_at).contains(&self.now) {
            self.informed[sender] = true;
        }
        // A call that was cancelled in the outage was not answered there.
        self.informed[sender] |= result == CallResult::Cancelled
            && sent >= self.server.down_from
            && self.now <= self.server.recovers_at;
        if result == CallResult::Served {
            for (id, _) in &messages {
                self.open[sender].remove(id);
            }
            let is_soon = self.has_recovered() && self.now <= self.server.recovers_at + PRICED_TIME;
            self.result.served_soon += if is_soon { messages.len() } else { 0 };
        }
        if result == CallResult::Served && self.has_recovered() {
            self.calls_served_after_recovery += 1;
            self.messages_served_after_recovery += messages.len();
        }
        let (outcome, retry_after, remaining) = match result {
            CallResult::Served => (Outcome::Served, 0, Some(self.server.tokens / self.scenario.capacity)),
            CallResult::Error => (Outcome::ServerError, 0, None),
            CallResult::Rejected { retry_after, remaining_percent } => {
                (Outcome::TurnedAway, retry_after, Some(remaining_percent as f64 / 100.0))
            }
            CallResult::NoAnswer => (Outcome::NoAnswer, 0, None),
            CallResult::NoConnection => (Outcome::NoConnection, 0, None),
            CallResult::Reset => (Outcome::ConnectionLost, 0, None),
            CallResult::Cancelled => (Outcome::CalledOff, 0, None),
        };
        let limit = self.scenario.capacity;
        let report =
            remaining.filter(|_| self.scenario.reports_limit).map(|remaining| Report { remaining, limit });
        let took = self.now - sent;
        let ends: Vec<Event> = messages
            .into_iter()
            .map(|(id, attempt)| {
                let finished = result == CallResult::Served;
                Event::AttemptEnd(AttemptEnd {
                    id,
                    attempt,
                    endpoint: ENDPOINT,
                    outcome,
                    took,
                    finished,
                    retry_after,
                    report,
                    reused_connection: false,
                })
            })
            .collect();
        self.handle_events(sender, &ends);
    }
}

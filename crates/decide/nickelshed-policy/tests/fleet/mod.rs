//! A fleet of decision modules before one model server, in virtual time.
use nickelshed_policy::api::*;
use nickelshed_policy::rules::Sender;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

const ENDPOINT: EndpointId = 1;
const DESTINATION: DestId = 1;
const SERVED_IN: Ns = 100 * MS;
const REFUSED_IN: Ns = 35 * MS;
/// Traffic runs for so long before the outage, so that senders know the server.
const BEFORE: Ns = 12 * SECOND;
const DEADLINE: Ns = 12 * SECOND;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outage {
    RefusesConnections,
    ResetsUnderCalls,
    Hangs {
        reset_at_return: bool,
    },
    Errors,
    /// Answers that it is shut, and tells so many of a hundred senders' calls when it opens.
    Shut {
        tells: u32,
    },
}

/// Everything that differs from one return to the next.
#[derive(Clone, Debug)]
pub struct Draw {
    pub senders: usize,
    pub seed: u64,
    pub outage: Outage,
    pub lasts: Ns,
    /// Calls a second that the warm server takes from all.
    pub capacity: f64,
    /// Messages asked for, as a part of what its calls could carry.
    pub load: f64,
    pub batch: usize,
    pub limit_told: bool,
    pub effect: Effect,
    pub start_capacity: f64,
    pub cold: Ns,
    pub fall_multiple: f64,
    pub window: Ns,
}

impl Draw {
    pub fn new(senders: usize, seed: u64) -> Draw {
        let mut random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(10_007).wrapping_add(senders as u64));
        let outage = match random.random_range(0..6) {
            0 => Outage::RefusesConnections,
            1 => Outage::ResetsUnderCalls,
            2 => Outage::Hangs { reset_at_return: random.random_bool(0.5) },
            3 => Outage::Errors,
            _ => Outage::Shut { tells: random.random_range(0..=100) },
        };
        let seconds =
            |random: &mut ChaCha8Rng, low: f64, high: f64| (random.random_range(low..high) * 1e9) as Ns;
        Draw {
            senders,
            seed,
            outage,
            lasts: (10f64.powf(random.random_range(-0.52..1.3)) * 1e9) as Ns,
            capacity: 10f64.powf(random.random_range(0.6..2.5)),
            load: random.random_range(0.2..1.1),
            batch: if random.random_bool(0.3) { 8 } else { 1 },
            limit_told: random.random_bool(0.7),
            effect: [Effect::Safe, Effect::Keyed, Effect::Unsafe][random.random_range(0..3)],
            start_capacity: random.random_range(0.19..0.37),
            cold: seconds(&mut random, 7.4, 14.0),
            fall_multiple: random.random_range(1.5..2.0),
            window: seconds(&mut random, 1.5, 2.5),
        }
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
        let part = self.capacity * self.batch as f64 / self.senders as f64;
        Settings {
            classes: vec![class],
            kinds: vec![Kind { batch: self.batch, separate_routes: false }],
            sender_count: self.senders,
            tick: MS,
            slots: ((part * 0.5) as usize).max(5),
            max_open: ((part * 12.0) as usize).max(20),
            max_attempts: 8,
            may_cancel: true,
            streams_per_conn: 1,
            idle_timeout: 5 * SECOND,
            dial_timeout: SECOND,
            limit_reports: self.limit_told,
            start_capacity: self.start_capacity,
            slow_start_duration: self.cold,
            overload_multiple: self.fall_multiple,
            overload_window: self.window,
            key_hold_off: SECOND,
            ..Settings::default()
        }
    }
}

/// What became of one return.
#[derive(Clone, Copy, Debug, Default)]
pub struct Played {
    /// Greatest window of calls from senders that saw the outage, as a part of the fall.
    pub informed_load: f64,
    /// The server fell, and over two thirds of that window came from senders that saw the outage.
    pub broken: bool,
    /// Messages served while it was cold, of those handed in.
    pub served_of_asked: f64,
    /// Calls served while it was cold, of those that it could serve.
    pub served_of_able: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    HandIn { sender: usize },
    CallEnds { call: usize, how: How },
    Wake { sender: usize },
    Back,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum How {
    Served,
    Error,
    TurnedAway { wait: Ns, left_percent: i64 },
    NoAnswer,
    NoConnection,
    Reset,
    CalledOff,
}

struct Call {
    sender: usize,
    sent: Ns,
    /// Message and number of its attempt.
    messages: Vec<(MsgId, u32)>,
    over: bool,
}

struct Server {
    down_from: Ns,
    back_at: Ns,
    fallen: bool,
    tokens: f64,
    filled_at: Ns,
    /// Calls since the return that are in the window: when, and whether their sender had seen the outage.
    recent: VecDeque<(Ns, bool)>,
}

struct Fleet<'a> {
    draw: &'a Draw,
    random: ChaCha8Rng,
    now: Ns,
    senders: Vec<Sender>,
    informed: Vec<bool>,
    demand: Vec<f64>,
    calls: Vec<Call>,
    server: Server,
    agenda: BinaryHeap<Reverse<(Ns, usize, Happens)>>,
    sequence: usize,
    next_message: MsgId,
    attempts: BTreeMap<MsgId, u32>,
    played: Played,
    asked_cold: usize,
    served_messages_cold: usize,
    served_calls_cold: usize,
}

/// Plays one outage and its return to the end of the warm-up.
pub fn play(draw: &Draw) -> Played {
    let mut fleet = Fleet::new(draw);
    fleet.run();
    fleet.played
}

impl<'a> Fleet<'a> {
    fn new(draw: &'a Draw) -> Fleet<'a> {
        let mut random = ChaCha8Rng::seed_from_u64(draw.seed ^ 0x5eed);
        let settings = draw.settings();
        let entry = Entry {
            endpoint: ENDPOINT,
            dest: DESTINATION,
            kind: 0,
            zone: 0,
            condition: Condition::Ready,
            rate_hint: 0.0,
        };
        let mut senders: Vec<Sender> =
            (0..draw.senders).map(|i| Sender::new(settings.clone(), draw.seed ^ (i as u64) << 20)).collect();
        for sender in &mut senders {
            sender.handle(0, &[Event::List { full: true, entries: vec![entry] }], &mut Vec::new());
        }
        let uneven = LogNormal::new(0.0, 0.5).expect("a deviation");
        let weights: Vec<f64> = (0..draw.senders).map(|_| uneven.sample(&mut random)).collect();
        let all: f64 = weights.iter().sum();
        let rate = draw.load * draw.capacity * if draw.batch > 1 { 2.0 } else { 1.0 };
        let down_from = BEFORE + (random.random_range(0.0..2.0) * 1e9) as Ns;
        Fleet {
            draw,
            now: 0,
            informed: vec![false; draw.senders],
            demand: weights.iter().map(|w| rate * w / all).collect(),
            senders,
            calls: Vec::new(),
            server: Server {
                down_from,
                back_at: down_from + draw.lasts,
                fallen: false,
                tokens: draw.capacity,
                filled_at: 0,
                recent: VecDeque::new(),
            },
            agenda: BinaryHeap::new(),
            sequence: 0,
            next_message: 0,
            attempts: BTreeMap::new(),
            played: Played::default(),
            asked_cold: 0,
            served_messages_cold: 0,
            served_calls_cold: 0,
            random,
        }
    }

    fn run(&mut self) {
        for sender in 0..self.draw.senders {
            self.next_hand_in(sender);
        }
        self.at(self.server.back_at, Happens::Back);
        let until = self.server.back_at + self.draw.cold;
        while let Some(Reverse((at, _, happens))) = self.agenda.pop() {
            if at > until || self.server.fallen {
                break;
            }
            self.now = at;
            self.happen(happens);
        }
        let able = self.draw.capacity * (1.0 + self.draw.start_capacity) / 2.0 * self.draw.cold as f64 / 1e9;
        self.played.served_of_asked = self.served_messages_cold as f64 / self.asked_cold.max(1) as f64;
        self.played.served_of_able = self.served_calls_cold as f64 / able;
    }

    fn at(&mut self, at: Ns, happens: Happens) {
        self.sequence += 1;
        self.agenda.push(Reverse((at, self.sequence, happens)));
    }

    fn next_hand_in(&mut self, sender: usize) {
        let gap = Exp::new(self.demand[sender]).expect("a rate").sample(&mut self.random);
        self.at(self.now + (gap * 1e9) as Ns, Happens::HandIn { sender });
    }

    fn cold(&self) -> bool {
        self.now >= self.server.back_at
    }

    fn happen(&mut self, happens: Happens) {
        match happens {
            Happens::HandIn { sender } => {
                self.next_hand_in(sender);
                self.asked_cold += usize::from(self.cold());
                self.next_message += 1;
                let id = self.next_message;
                let message = Message {
                    id,
                    class: 0,
                    dest: DESTINATION,
                    time_left: DEADLINE,
                    expected_work: 0,
                    key: None,
                    tenant: 0,
                };
                self.give(sender, &[Event::Message(message)]);
            }
            Happens::CallEnds { call, how } => self.end_call(call, how),
            Happens::Wake { sender } => self.give(sender, &[Event::Timer]),
            Happens::Back => {
                if (self.draw.outage == Outage::Hangs { reset_at_return: true }) {
                    for call in 0..self.calls.len() {
                        if !self.calls[call].over && self.calls[call].sent >= self.server.down_from {
                            self.at(self.now, Happens::CallEnds { call, how: How::Reset });
                        }
                    }
                }
            }
        }
    }

    fn give(&mut self, sender: usize, events: &[Event]) {
        let mut actions = Vec::new();
        self.senders[sender].handle(self.now, events, &mut actions);
        let mut sent: Vec<(MsgId, u32, Ns)> = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, timeout: limit, .. } => sent.push((id, self.next_attempt(id), limit)),
                Action::Timer { at } => self.at(at.max(self.now + 1), Happens::Wake { sender }),
                Action::Cancel { id, attempt } => {
                    let found =
                        self.calls.iter().rposition(|c| !c.over && c.messages.contains(&(id, attempt)));
                    if let Some(call) = found {
                        self.at(self.now, Happens::CallEnds { call, how: How::CalledOff });
                    }
                }
                _ => {}
            }
        }
        for messages in sent.chunks(self.draw.batch) {
            self.arrive(sender, messages);
        }
    }

    /// Attempts of a message count from 0.
    fn next_attempt(&mut self, id: MsgId) -> u32 {
        let next = self.attempts.entry(id).or_insert(0);
        *next += 1;
        *next - 1
    }

    /// A call comes to the server.
    fn arrive(&mut self, sender: usize, messages: &[(MsgId, u32, Ns)]) {
        let limit = messages.iter().map(|m| m.2).max().unwrap_or(0);
        let messages = messages.iter().map(|m| (m.0, m.1)).collect();
        let call = self.calls.len();
        self.calls.push(Call { sender, sent: self.now, messages, over: false });
        if self.now >= self.server.back_at {
            self.bear(sender);
        }
        if let Some((at, how)) = self.fate(if limit > 0 { limit } else { DEADLINE }) {
            self.at(at, Happens::CallEnds { call, how });
        }
    }

    /// Counts a call after the return, against what the settings allow then.
    fn bear(&mut self, sender: usize) {
        let (draw, now) = (self.draw, self.now);
        let server = &mut self.server;
        server.recent.push_back((now, self.informed[sender]));
        while server.recent.front().is_some_and(|(at, _)| *at + draw.window < now) {
            server.recent.pop_front();
        }
        let warm = ((now - server.back_at) as f64 / draw.cold as f64).min(1.0);
        let able = draw.start_capacity + (1.0 - draw.start_capacity) * warm;
        let allowed = draw.fall_multiple * able * draw.capacity * draw.window as f64 / 1e9;
        let fall = allowed + 2.0 * allowed.sqrt() + 2.0;
        let all = server.recent.len() as f64;
        let informed = server.recent.iter().filter(|(_, informed)| *informed).count() as f64;
        self.played.informed_load = self.played.informed_load.max(informed / fall);
        if all > fall {
            server.fallen = true;
            self.played.broken = informed > all * 2.0 / 3.0;
        }
    }

    /// When and how a call that comes now ends; never, if it hangs longer than it is waited for.
    fn fate(&mut self, patience: Ns) -> Option<(Ns, How)> {
        let now = self.now;
        let down = (self.server.down_from..self.server.back_at).contains(&now);
        if !down {
            return Some(if self.within_limit() {
                (now + SERVED_IN, How::Served)
            } else {
                (now + REFUSED_IN, How::TurnedAway { wait: 0, left_percent: 0 })
            });
        }
        Some(match self.draw.outage {
            Outage::RefusesConnections => (now + MS, How::NoConnection),
            Outage::ResetsUnderCalls => (now + REFUSED_IN, How::Reset),
            Outage::Hangs { .. } => (now + patience, How::NoAnswer),
            Outage::Errors => (now + SERVED_IN, How::Error),
            Outage::Shut { tells } => {
                let told = self.random.random_range(0..100) < tells;
                let at = now + REFUSED_IN;
                let wait = if told { (self.server.back_at - at).max(0) } else { 0 };
                (at, How::TurnedAway { wait, left_percent: 100 })
            }
        })
    }

    fn within_limit(&mut self) -> bool {
        let passed = (self.now - self.server.filled_at) as f64 / 1e9;
        self.server.filled_at = self.now;
        self.server.tokens =
            (self.server.tokens + passed * self.draw.capacity).min(self.draw.capacity.max(1.0));
        let within = self.server.tokens >= 1.0;
        self.server.tokens -= f64::from(u8::from(within));
        within
    }

    fn end_call(&mut self, call: usize, how: How) {
        if std::mem::replace(&mut self.calls[call].over, true) {
            return;
        }
        let (sender, sent) = (self.calls[call].sender, self.calls[call].sent);
        let messages = self.calls[call].messages.clone();
        let saw = !matches!(how, How::Served | How::CalledOff);
        if saw && (self.server.down_from..=self.server.back_at).contains(&self.now) {
            self.informed[sender] = true;
        }
        if how == How::Served && self.cold() {
            self.served_calls_cold += 1;
            self.served_messages_cold += messages.len();
        }
        let (outcome, wait, left) = match how {
            How::Served => (Outcome::Served, 0, Some(self.server.tokens / self.draw.capacity)),
            How::Error => (Outcome::ServerError, 0, None),
            How::TurnedAway { wait, left_percent } => {
                (Outcome::TurnedAway, wait, Some(left_percent as f64 / 100.0))
            }
            How::NoAnswer => (Outcome::NoAnswer, 0, None),
            How::NoConnection => (Outcome::NoConnection, 0, None),
            How::Reset => (Outcome::ConnectionLost, 0, None),
            How::CalledOff => (Outcome::CalledOff, 0, None),
        };
        let limit = self.draw.capacity;
        let report = left.filter(|_| self.draw.limit_told).map(|left| Report { remaining: left, limit });
        let took = self.now - sent;
        let ends: Vec<Event> = messages
            .into_iter()
            .map(|(id, attempt)| {
                let done = how == How::Served;
                Event::AttemptEnd(AttemptEnd {
                    id,
                    attempt,
                    endpoint: ENDPOINT,
                    outcome,
                    took,
                    finished: done,
                    retry_after: wait,
                    report,
                    reused_connection: false,
                })
            })
            .collect();
        self.give(sender, &ends);
    }
}

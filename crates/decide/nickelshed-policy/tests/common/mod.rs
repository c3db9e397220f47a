//! Test harness for the decision module: settings, one sender, and the actions of its last batch.
#![allow(dead_code)]
use nickelshed_policy::api::*;
use nickelshed_policy::rules::Sender;

/// Time at which each test begins.
pub const T0: Ns = 1_000 * SECOND;

/// A class without order by key, and with a dedup window that ends long before the deadline.
pub fn class(effect: Effect) -> Class {
    Class {
        target: 2 * SECOND,
        target_stretch: 0.0,
        deadline: 16 * SECOND,
        effect,
        dedup_scope: DedupScope::All,
        dedup_window: 4 * SECOND,
        value: 1.0,
        late_value: 0.3,
        in_order: false,
    }
}

/// Classes 0 to 2: keyed, safe, unsafe. Kinds 0 to 2: plain, with separate routes, with calls of up to five
/// messages.
pub fn settings() -> Settings {
    Settings {
        classes: vec![class(Effect::Keyed), class(Effect::Safe), class(Effect::Unsafe)],
        kinds: vec![
            Kind { batch: 1, separate_routes: false },
            Kind { batch: 1, separate_routes: true },
            Kind { batch: 5, separate_routes: false },
        ],
        sender_count: 2,
        tick: 5 * MS,
        slots: 12,
        max_open: 100,
        max_attempts: 8,
        may_cancel: true,
        streams_per_conn: 1,
        idle_timeout: 10 * SECOND,
        dial_timeout: SECOND,
        start_capacity: 0.2,
        slow_start_duration: 10 * SECOND,
        overload_multiple: 2.0,
        overload_window: 3 * SECOND,
        key_hold_off: SECOND,
        ..Settings::default()
    }
}

pub fn entry(endpoint: EndpointId, dest: DestId, kind: usize) -> Entry {
    Entry { endpoint, dest, kind, zone: 0, condition: Condition::Ready, rate_hint: 0.0 }
}

pub fn message(id: MsgId, dest: DestId, class: usize) -> Message {
    let deadline = 16 * SECOND;
    Message { id, class, dest, time_left: deadline, expected_work: 0, key: None, tenant: 0 }
}

pub fn attempt_end(id: MsgId, attempt: u32, endpoint: EndpointId, outcome: Outcome) -> AttemptEnd {
    let took = 100 * MS;
    let is_served = outcome == Outcome::Served;
    AttemptEnd {
        id,
        attempt,
        endpoint,
        outcome,
        took,
        finished: is_served,
        retry_after: 0,
        report: None,
        reused_connection: false,
    }
}

/// One sender, the time, and the actions of its last batch.
pub struct Harness {
    pub sender: Sender,
    pub now: Ns,
    pub actions: Vec<Action>,
}

impl Harness {
    pub fn new(settings: Settings, entries: &[Entry]) -> Harness {
        let mut harness = Harness { sender: Sender::new(settings, 7), now: T0, actions: Vec::new() };
        harness.handle(vec![Event::List { full: true, entries: entries.to_vec() }]);
        harness
    }

    pub fn handle(&mut self, events: Vec<Event>) -> Vec<Action> {
        self.actions.clear();
        self.sender.handle(self.now, &events, &mut self.actions);
        self.actions.clone()
    }

    /// Advances the time in ticks and returns all actions with their times.
    pub fn advance(&mut self, duration: Ns) -> Vec<(Ns, Action)> {
        let until = self.now + duration;
        let mut all = Vec::new();
        while self.now < until {
            self.now += 5 * MS;
            let now = self.now;
            all.extend(self.handle(vec![Event::Timer]).into_iter().map(|a| (now, a)));
        }
        all
    }

    pub fn submit(&mut self, message: Message) -> Vec<Action> {
        self.handle(vec![Event::Message(message)])
    }

    pub fn end_attempt(&mut self, e: AttemptEnd) -> Vec<Action> {
        self.handle(vec![Event::AttemptEnd(e)])
    }
}

/// Message and endpoint of each `Action::Send`.
pub fn sends(actions: &[Action]) -> Vec<(MsgId, EndpointId)> {
    let send = |a: &Action| match a {
        Action::Send { id, endpoint, .. } => Some((*id, *endpoint)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// The actions that end a message.
pub fn final_actions(actions: &[Action]) -> Vec<Action> {
    actions.iter().copied().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail { .. })).collect()
}

pub fn without_times(timed: &[(Ns, Action)]) -> Vec<Action> {
    timed.iter().map(|&(_, a)| a).collect()
}

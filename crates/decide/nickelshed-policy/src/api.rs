//! The interface of the decision module: settings, events, actions. Data only, no decisions.

/// A point in time or a span, in nanoseconds. The clock starts anywhere and only rises.
pub type Ns = i64;
pub const MS: Ns = 1_000_000;
pub const SECOND: Ns = 1_000 * MS;

/// The caller's number for a message; never used again once the message has ended.
pub type MsgId = u64;
/// The caller's number for an endpoint; stays the same as long as the sender runs.
pub type EndpointId = u32;
/// Number of a destination (one partner's system).
pub type DestId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

/// Which endpoints of a destination drop repeats of a keyed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Endpoint,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Delivered within this time, a message earns its full worth.
    pub target: Ns,
    /// The aim grows by this multiple of the message's own expected work.
    pub target_stretch: f64,
    /// From when it was first handed in until it is given up.
    pub deadline: Ns,
    pub effect: Effect,
    pub dedup_scope: DedupScope,
    /// Keyed: how long repeats are dropped, from the first attempt that may have run.
    pub dedup_window: Ns,
    pub value: f64,
    /// Share of the worth left at the deadline.
    pub late_value: f64,
    pub in_order: bool,
}

impl Class {
    /// Worth of a message that is delivered at this age, of so much work. `halves`: see `Settings`.
    pub fn value_at(&self, age: Ns, cost: Ns, halves: bool) -> f64 {
        let aim = (self.target as f64 + self.target_stretch * cost as f64).min(self.deadline as f64);
        let age = age as f64;
        let share = if age <= aim {
            1.0
        } else if halves {
            (-((age - aim) / aim)).exp2().max(self.late_value)
        } else {
            1.0 - (1.0 - self.late_value) * (age - aim) / (self.deadline as f64 - aim).max(1.0)
        };
        self.value * share
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Kind {
    /// Messages in one call at most.
    pub batch: usize,
    /// Each endpoint has its own limit, pace and outages.
    pub separate_routes: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Messages a second over all senders that earn their full worth.
    pub quota_per_s: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub classes: Vec<Class>,
    pub kinds: Vec<Kind>,
    pub tenants: Vec<Tenant>,
    pub over_quota_value: f64,
    /// Worth halves with each further aim (else it falls evenly to the deadline).
    pub exponential_decay: bool,
    pub sender_count: usize,
    pub zone: usize,
    pub tick: Ns,
    /// Calls this sender may have out at once.
    pub slots: usize,
    /// Messages it may hold, sent or not.
    pub max_open: usize,
    pub max_attempts: u32,
    /// Clients heed no longer time than this to come again after.
    pub max_retry_after: Ns,
    pub may_duplicate: bool,
    pub may_probe: bool,
    pub may_cancel: bool,
    pub streams_per_conn: usize,
    pub idle_timeout: Ns,
    pub dial_timeout: Ns,
    /// The list's figure is a rate in calls a second, exact or rough.
    pub rate_hints: bool,
    /// Answers tell of the destination's limit.
    pub limit_reports: bool,
    pub estimated_hints: bool,
    pub start_capacity: f64,
    pub slow_start_duration: Ns,
    pub overload_multiple: f64,
    pub overload_window: Ns,
    pub key_hold_off: Ns,
    pub price_handshake: f64,
    pub price_cross_zone: f64,
    pub price_refused: f64,
    pub price_waste: f64,
    /// For each zone: points for a message that a separate route there takes on.
    pub route_fee: Vec<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub endpoint: EndpointId,
    pub dest: DestId,
    pub kind: usize,
    pub zone: usize,
    pub condition: Condition,
    /// Rate in calls a second where `Settings::hints` says so.
    pub rate_hint: f64,
}

#[derive(Clone, Copy, Debug)]
pub struct Message {
    pub id: MsgId,
    pub class: usize,
    pub dest: DestId,
    /// How long it may still be delivered.
    pub time_left: Ns,
    pub expected_work: Ns,
    pub key: Option<u64>,
    pub tenant: usize,
}

/// What an answer told of the destination's limit.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Share of the allowance that is left.
    pub remaining: f64,
    /// Calls a second from all senders; 0 where there is no limit.
    pub limit: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    ServerError,
    TurnedAway,
    NoAnswer,
    NoConnection,
    ConnectionLost,
    CalledOff,
    NotSent,
}

impl Outcome {
    /// It proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::TurnedAway | Outcome::NoConnection | Outcome::NotSent)
    }

    /// The attempt may run on after this outcome.
    pub fn may_still_run(self) -> bool {
        matches!(self, Outcome::NoAnswer | Outcome::ConnectionLost | Outcome::CalledOff)
    }
}

#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    pub id: MsgId,
    /// Attempts of a message count from 0.
    pub attempt: u32,
    pub endpoint: EndpointId,
    pub outcome: Outcome,
    pub took: Ns,
    /// The message has ended, by this or before.
    pub finished: bool,
    /// Told to send nothing to that destination (or route) for so long; 0 if not.
    pub retry_after: Ns,
    pub report: Option<Report>,
    /// It was lost without a word on a connection that had carried calls before: the other side may just have
    /// closed that one while it was idle.
    pub reused_connection: bool,
}

/// An attempt made by an earlier process, on this one's clock.
#[derive(Clone, Copy, Debug)]
pub struct PastAttempt {
    /// None once the list no longer names it.
    pub endpoint: Option<EndpointId>,
    pub sent: Ns,
    pub may_have_run: bool,
}

/// What is known of a route that is out, or not yet warm again: a process that starts again must know it, or it
/// would push over what comes back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    pub dest: DestId,
    /// Where the destination's endpoints are routes apart.
    pub endpoint: Option<EndpointId>,
    /// Nothing has been served there since.
    pub suspect: bool,
    pub last_failure: Ns,
    /// Calls a second that it was seen to serve this sender.
    pub proven_rate: f64,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// A list of endpoints. `whole`: what is missing from it is gone.
    List {
        full: bool,
        entries: Vec<Entry>,
    },
    Message(Message),
    /// A message that an earlier process of this sender took on; `past` are its attempts so far, all of them
    /// over with that process.
    Recovered {
        message: Message,
        past: Vec<PastAttempt>,
    },
    /// What an earlier process of this sender knew; its times on this one's clock.
    Outage(Outage),
    AttemptEnd(AttemptEnd),
    /// The client took the message back; nothing more is owed.
    Withdrawn {
        id: MsgId,
    },
    Probed {
        endpoint: EndpointId,
        outcome: Outcome,
        report: Option<Report>,
    },
    /// So many senders share each limit from now on, by the view of the fleet: each has one part of so many.
    SenderCount(usize),
    Timer,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Sends to one endpoint in one reply share a call, up to `Kind::batch`. `limit` 0: until the client gives up.
    Send {
        id: MsgId,
        endpoint: EndpointId,
        timeout: Ns,
        /// Its first byte must be written before this time, however long a connection takes.
        write_by: Ns,
    },
    /// Final: handing it in again is harmless.
    Refuse {
        id: MsgId,
        backoff: Ns,
    },
    /// Final: it may have taken effect.
    Fail {
        id: MsgId,
    },
    Cancel {
        id: MsgId,
        attempt: u32,
    },
    Probe {
        endpoint: EndpointId,
    },
    /// Closes this sender's idle connections there.
    CloseIdle {
        endpoint: EndpointId,
    },
    /// Ask for an `Event::Timer` at or after this time.
    Timer {
        at: Ns,
    },
}

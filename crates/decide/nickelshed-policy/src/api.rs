//! The interface of the decision module: settings, events and actions. Data only, no decisions.

/// A point in time or a duration, in nanoseconds. Times are monotonic and their origin is arbitrary.
pub type Ns = i64;
pub const MS: Ns = 1_000_000;
pub const SECOND: Ns = 1_000 * MS;

/// The caller's id for a message; it is not reused after the message has finished.
pub type MsgId = u64;
/// The caller's id for an endpoint; it stays the same for as long as the sender runs.
pub type EndpointId = u32;
/// The id of a destination (one partner's system).
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
    /// A message that is delivered within this time earns its full value.
    pub target: Ns,
    /// The target grows by this multiple of the message's own expected work.
    pub target_stretch: f64,
    /// Time from the first submission until the message expires.
    pub deadline: Ns,
    pub effect: Effect,
    pub dedup_scope: DedupScope,
    /// Keyed messages: how long repeats are dropped, counted from the first attempt that may have run.
    pub dedup_window: Ns,
    pub value: f64,
    /// Fraction of the value that is left at the deadline.
    pub late_value: f64,
    /// Messages with the same key are sent one at a time, in order of submission.
    pub in_order: bool,
}

impl Class {
    /// Returns the value of a message that is delivered at this age. `exponential_decay`: see `Settings`.
    pub fn value_at(&self, age: Ns, expected_work: Ns, exponential_decay: bool) -> f64 {
        let target =
            (self.target as f64 + self.target_stretch * expected_work as f64).min(self.deadline as f64);
        let age = age as f64;
        let fraction = if age <= target {
            1.0
        } else if exponential_decay {
            (-((age - target) / target)).exp2().max(self.late_value)
        } else {
            1.0 - (1.0 - self.late_value) * (age - target) / (self.deadline as f64 - target).max(1.0)
        };
        self.value * fraction
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Kind {
    /// Maximum number of messages in one call.
    pub batch: usize,
    /// Each endpoint has its own limit, pacing and outages.
    pub separate_routes: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Messages a second, over all senders, that earn their full value.
    pub quota_per_s: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub classes: Vec<Class>,
    pub kinds: Vec<Kind>,
    pub tenants: Vec<Tenant>,
    /// Fraction of its value that a message beyond its tenant's quota earns.
    pub over_quota_value: f64,
    /// The value halves with each further target time; otherwise it falls linearly until the deadline.
    pub exponential_decay: bool,
    /// How many senders share each limit, this one included.
    pub sender_count: usize,
    pub zone: usize,
    /// Resolution of the caller's clock and timers.
    pub tick: Ns,
    /// Maximum number of calls in flight from this sender.
    pub slots: usize,
    /// Maximum number of open messages, queued or in flight.
    pub max_open: usize,
    pub max_attempts: u32,
    /// Clients do not honor a longer backoff than this.
    pub max_retry_after: Ns,
    pub may_duplicate: bool,
    pub may_probe: bool,
    pub may_cancel: bool,
    pub streams_per_conn: usize,
    /// Connections that are idle for this long are closed.
    pub idle_timeout: Ns,
    pub dial_timeout: Ns,
    /// The list's figure for an endpoint is a rate in calls a second, exact or estimated.
    pub rate_hints: bool,
    /// Answers report the destination's limit.
    pub limit_reports: bool,
    pub estimated_hints: bool,
    /// Fraction of its capacity that a destination has right after an outage.
    pub start_capacity: f64,
    /// Time from the recovery of a destination until it has its full capacity.
    pub slow_start_duration: Ns,
    /// Load, as a multiple of its current capacity, at which a recovering destination collapses.
    pub overload_multiple: f64,
    /// How long the load must last for that.
    pub overload_window: Ns,
    /// Classes in order: how long a key is held off after an attempt that may still run.
    pub key_hold_off: Ns,
    pub price_handshake: f64,
    pub price_cross_zone: f64,
    pub price_refused: f64,
    pub price_waste: f64,
    /// For each zone: points for a message that a separate route there accepts.
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
    /// Rate in calls a second if `Settings::rate_hints` is set; otherwise without meaning.
    pub rate_hint: f64,
}

#[derive(Clone, Copy, Debug)]
pub struct Message {
    pub id: MsgId,
    pub class: usize,
    pub dest: DestId,
    /// Time left until it expires.
    pub time_left: Ns,
    /// How long the destination is expected to work on it; 0 if unknown.
    pub expected_work: Ns,
    pub key: Option<u64>,
    pub tenant: usize,
}

/// The destination's limit, as an answer reports it.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Fraction of the allowance that remains.
    pub remaining: f64,
    /// Calls a second from all senders; 0 if there is no limit.
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
    /// Returns whether the outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::TurnedAway | Outcome::NoConnection | Outcome::NotSent)
    }

    /// Returns whether the destination may still be working on the attempt.
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
    /// The message has finished, with this attempt or before.
    pub finished: bool,
    /// How long the destination (or route) asked not to be called; 0 if it did not.
    pub retry_after: Ns,
    pub report: Option<Report>,
    /// The connection was lost without an answer and had carried calls before: the other side may have closed
    /// it only because it was idle.
    pub reused_connection: bool,
}

/// An attempt made by an earlier process, with times on this one's clock.
#[derive(Clone, Copy, Debug)]
pub struct PastAttempt {
    /// None if the list no longer names it.
    pub endpoint: Option<EndpointId>,
    pub sent: Ns,
    pub may_have_run: bool,
}

/// A route that is unavailable or in slow start. A process that restarts must know it, or it would overload
/// the recovering destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    pub dest: DestId,
    /// Set where each endpoint of the destination is a route of its own.
    pub endpoint: Option<EndpointId>,
    /// Nothing has been served there since the last failure.
    pub suspect: bool,
    pub last_failure: Ns,
    /// Calls a second that it was seen to serve this sender.
    pub proven_rate: f64,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// A list of endpoints. An endpoint that is missing from a full list is gone.
    List {
        full: bool,
        entries: Vec<Entry>,
    },
    Message(Message),
    /// A message that an earlier process of this sender accepted. `past` are its attempts so far; all of them
    /// ended with that process.
    Recovered {
        message: Message,
        past: Vec<PastAttempt>,
    },
    /// An outage that an earlier process of this sender saw, with times on this one's clock.
    Outage(Outage),
    AttemptEnd(AttemptEnd),
    /// The caller withdrew the message, which needs no final action.
    Withdrawn {
        id: MsgId,
    },
    Probed {
        endpoint: EndpointId,
        outcome: Outcome,
        report: Option<Report>,
    },
    /// The number of senders that share each limit has changed, as fleet membership shows it.
    SenderCount(usize),
    Timer,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Sends to one endpoint that are returned together share calls of up to `Kind::batch` messages.
    Send {
        id: MsgId,
        endpoint: EndpointId,
        /// 0: no limit but the expiry of the message.
        timeout: Ns,
        /// Its first byte must be written before this time, however long it takes to connect.
        write_by: Ns,
    },
    /// Final: it is safe to submit the message again, after `backoff`.
    Refuse {
        id: MsgId,
        backoff: Ns,
    },
    /// Final: the message may have taken effect.
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
    /// Close this sender's idle connections to the endpoint.
    CloseIdle {
        endpoint: EndpointId,
    },
    /// Send an `Event::Timer` at or after this time.
    Timer {
        at: Ns,
    },
}

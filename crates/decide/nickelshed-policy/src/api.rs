//! The interface of the decision module: settings, events and actions. Data only, no decisions.

/// A point in time or a duration, in nanoseconds. Times are monotonic and their origin is arbitrary.
pub type Ns = i64;
pub const MS: Ns = 1_000_000;
pub const SECOND: Ns = 1_000 * MS;

/// The caller's id for a message; it is not reused after the message has finished. Messages are queued in the
/// order of their ids.
pub type MsgId = u64;
/// The caller's id for an endpoint; it stays the same for as long as the sender runs.
pub type EndpointId = u32;
/// The id of a destination (one partner's system).
pub type DestId = u64;

/// Whether a message may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A second run is harmless, so the message may be retried at any time.
    Safe,
    /// The message has an idempotency key: endpoints in `Class::dedup_scope` drop repeats for
    /// `Class::dedup_window`.
    Keyed,
    /// A second run does harm, so the message is retried only if no earlier attempt may have run.
    Unsafe,
}

/// Which endpoints of a destination drop repeats of a keyed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints of the destination.
    All,
    /// Those in the zone of the endpoint that got the earlier attempt.
    Zone,
    /// Only the endpoint that got the earlier attempt.
    Endpoint,
}

/// What the messages of one class have in common.
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
    /// Value of a message that is delivered within the target; messages of higher value are preferred.
    pub value: f64,
    /// Fraction of the value that is left at the deadline.
    pub late_value: f64,
    /// Messages with the same key are sent one at a time, in order of submission.
    pub in_order: bool,
}

impl Class {
    /// Whether a message may be returned only if no attempt of it can have run: its client may submit it again,
    /// to endpoints that would not drop the repeat.
    pub fn needs_proof_to_return(&self) -> bool {
        match self.effect {
            Effect::Safe => false,
            Effect::Keyed => self.dedup_scope != DedupScope::All,
            Effect::Unsafe => true,
        }
    }

    /// Returns the value of a message that is delivered at this age, counted from the first submission. After
    /// the deadline the result has no meaning. `exponential_decay`: see `Settings`.
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

/// What the endpoints of one kind have in common.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Kind {
    /// Maximum number of messages in one call; 0 counts as 1.
    pub batch: usize,
    /// Whether each endpoint has its own limit, pacing and outages. If not, a destination is one route.
    pub separate_routes: bool,
}

/// A tenant whose messages have a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Messages a second, over all senders, that earn their full value.
    pub quota_per_s: f64,
}

/// Settings of a sender. Classes, kinds, tenants and zones are numbered by their position. The present rules
/// do not read `tenants`, `over_quota_value`, `may_probe`, `route_fee` and the prices except
/// `price_cross_zone`.
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
    /// The zone of this sender.
    pub zone: usize,
    /// Resolution of the caller's clock and timers.
    pub tick: Ns,
    /// Maximum number of calls in flight from this sender.
    pub slots: usize,
    /// Maximum number of open messages, queued or in flight.
    pub max_open: usize,
    /// Maximum number of attempts of one message.
    pub max_attempts: u32,
    /// Clients do not honor a longer backoff than this.
    pub max_retry_after: Ns,
    /// Whether a message may be sent while another attempt of it is in flight.
    pub may_duplicate: bool,
    /// Whether `Action::Probe` may be used.
    pub may_probe: bool,
    /// Whether `Action::Cancel` may be used.
    pub may_cancel: bool,
    /// Calls that one connection carries at the same time.
    pub streams_per_conn: usize,
    /// Connections that are idle for this long are closed.
    pub idle_timeout: Ns,
    /// How long the caller tries to open a connection.
    pub dial_timeout: Ns,
    /// Whether `Entry::rate_hint` is a rate in calls a second, exact or estimated.
    pub rate_hints: bool,
    /// Whether answers report the destination's limit.
    pub limit_reports: bool,
    /// Whether rate hints are estimates.
    pub estimated_hints: bool,
    /// Fraction of its capacity that a destination has right after an outage.
    pub start_capacity: f64,
    /// Time from the recovery of a destination until it has its full capacity.
    pub slow_start_duration: Ns,
    /// Load, as a multiple of its current capacity, at which a recovering destination collapses.
    pub overload_multiple: f64,
    /// How long that load must last to make the destination collapse.
    pub overload_window: Ns,
    /// Classes in order: how long a key is held off after an attempt that may still run.
    pub key_hold_off: Ns,
    /// Cost of a new connection.
    pub price_handshake: f64,
    /// Cost of a call to another zone. If it is positive, endpoints in the zone of this sender are preferred.
    pub price_cross_zone: f64,
    /// Cost of a call that a destination rejects because it exceeds a limit.
    pub price_refused: f64,
    /// Cost of wasted work.
    pub price_waste: f64,
    /// For each zone: points for a message that a separate route there accepts.
    pub route_fee: Vec<f64>,
}

/// State of an endpoint by the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    Ready,
    /// Finishes its calls in flight; no new ones may be sent.
    Draining,
    Gone,
}

/// An endpoint as the list names it.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub endpoint: EndpointId,
    pub dest: DestId,
    /// Index into `Settings::kinds`.
    pub kind: usize,
    pub zone: usize,
    pub condition: Condition,
    /// Limit in calls a second if `Settings::rate_hints` is set; otherwise without meaning.
    pub rate_hint: f64,
}

/// A submitted message, without its body.
#[derive(Clone, Copy, Debug)]
pub struct Message {
    pub id: MsgId,
    /// Index into `Settings::classes`; a message with an unknown class is ignored.
    pub class: usize,
    pub dest: DestId,
    /// Time left until it expires; the deadline of its class if it is longer.
    pub time_left: Ns,
    /// How long the destination is expected to work on it; 0 if unknown.
    pub expected_work: Ns,
    /// Orders the messages of classes in order.
    pub key: Option<u64>,
    /// Index into `Settings::tenants`.
    pub tenant: usize,
}

/// The destination's limit, as an answer reports it.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Fraction of the allowance that remains, 0 to 1.
    pub remaining: f64,
    /// Calls a second from all senders; 0 if there is no limit.
    pub limit: f64,
}

/// How an attempt ended. Logs write the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The message was delivered.
    Served,
    /// Another answer; the attempt may have run.
    ServerError,
    /// Rejected without being run, at a limit or because the destination is unavailable.
    TurnedAway,
    /// No answer within the timeout.
    NoAnswer,
    /// No connection could be opened.
    NoConnection,
    /// The connection was lost before the answer was complete.
    ConnectionLost,
    /// Cancelled in flight by `Action::Cancel`.
    CalledOff,
    /// It certainly did not run, for a reason that says nothing about the destination, such as a call that
    /// was not written in time.
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

/// The end of an attempt of one message.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    pub id: MsgId,
    /// Attempts of a message count from 0.
    pub attempt: u32,
    pub endpoint: EndpointId,
    pub outcome: Outcome,
    /// Duration of the attempt.
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

/// An attempt made by an earlier process, with its time on the clock of this process.
#[derive(Clone, Copy, Debug)]
pub struct PastAttempt {
    /// `None` if the list no longer names it.
    pub endpoint: Option<EndpointId>,
    pub sent: Ns,
    pub may_have_run: bool,
}

/// A route that is unavailable or in slow start. A restarted process must know of it, or it would overload
/// the recovering destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    pub dest: DestId,
    /// `None` where all endpoints of the destination are one route.
    pub endpoint: Option<EndpointId>,
    /// Nothing has been served there since the last failure.
    pub suspect: bool,
    /// When the route last failed, or when it recovered if it has; in the future if it announced its
    /// recovery.
    pub last_failure: Ns,
    /// The highest rate, in calls a second, at which it has served this sender.
    pub proven_rate: f64,
}

/// Input of a sender.
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
    /// An outage that an earlier process of this sender saw, with its times on the clock of this process.
    Outage(Outage),
    AttemptEnd(AttemptEnd),
    /// The caller withdrew the message, which needs no final action.
    Withdrawn {
        id: MsgId,
    },
    /// The result of `Action::Probe`. Not used by the present rules.
    Probed {
        endpoint: EndpointId,
        outcome: Outcome,
        report: Option<Report>,
    },
    /// The number of senders that share each limit has changed, as fleet membership shows it.
    SenderCount(usize),
    /// The time of an `Action::Timer` has come.
    Timer,
}

/// Output of a sender: what the caller has to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send a message. Those that one `Sender::handle` returns for the same endpoint share calls of up to
    /// `Kind::batch` messages.
    Send {
        id: MsgId,
        endpoint: EndpointId,
        /// Longest time until the answer; 0 if only the expiry of the message limits it.
        timeout: Ns,
        /// The first byte of the call must be written before this time, however long it takes to connect.
        write_by: Ns,
    },
    /// Final: the message had no effect, or a repeat of it is harmless. Its client may submit it again, after
    /// `backoff`.
    Refuse { id: MsgId, backoff: Ns },
    /// Final: the message may have taken effect.
    Fail { id: MsgId },
    /// Cancel the call of an attempt in flight. The end of the attempt still follows as an event.
    Cancel { id: MsgId, attempt: u32 },
    /// Check the health of an endpoint without a message. Not used by the present rules.
    Probe { endpoint: EndpointId },
    /// Close this sender's idle connections to the endpoint.
    CloseIdle { endpoint: EndpointId },
    /// Send an `Event::Timer` at or after this time.
    Timer { at: Ns },
}

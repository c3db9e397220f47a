//! Events of a run as observed by clients, simulated destinations, discovery and the platform. No event is
//! reported by a sender about itself.
use serde::Serialize;

/// Microseconds since the start of the run.
pub type Us = u64;

/// How often a message of a class may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// May take effect more than once.
    Safe,
    /// Has a key by which the destination drops repeats.
    Keyed,
    /// Must not take effect twice, and the destination does not drop repeats.
    Unsafe,
}

/// The endpoints of a destination that recognise and drop a repeat of a keyed message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DedupScope {
    /// All endpoints of the destination.
    #[default]
    Everywhere,
    /// The endpoints at the same site.
    InTheRoom,
    /// Only the endpoint that executed the message.
    AtTheEndpoint,
}

/// How a call ended, as observed by its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallEnd {
    /// The status line of a response was written. `retry_after` is the wait that it requested, in
    /// microseconds, or 0.
    Answered {
        status: u16,
        #[serde(rename = "wait")]
        retry_after: Us,
    },
    /// The bytes written cannot be parsed as a response.
    Spoilt,
    /// Either side closed the connection. If the sender closed it, the event has the time at which the sender
    /// did so.
    Closed,
}

/// What was observed.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum EventKind {
    /// A client wrote the last byte of a submission. `id` is the id of this submission; `message` stays the
    /// same when the client submits the message again under another id.
    HandedIn {
        sender: usize,
        id: String,
        message: u64,
        /// Number of the class, an index into the `classes` that `score` and `account_time` take.
        class: usize,
        effect: Effect,
        dest: u64,
        /// Time from submission until the message expires.
        #[serde(rename = "expires")]
        lifetime: Us,
    },
    /// The client read the response; `status` is 0 if the connection ended without one.
    Heard { id: String, status: u16 },
    /// The client timed out and closed its connection.
    Left { id: String },
    /// The last byte of a call arrived at its endpoint. `first_byte` is the time at which the sender wrote
    /// the first byte.
    Call {
        call: u64,
        sender: usize,
        endpoint: usize,
        dest: u64,
        /// The endpoint, if each endpoint is a separate route; retry-after waits and recoveries then apply to
        /// this endpoint alone.
        #[serde(skip_serializing_if = "Option::is_none")]
        route: Option<usize>,
        #[serde(rename = "room")]
        site: usize,
        ids: Vec<String>,
        /// Cost to the endpoint in units of one single-message call. A batch costs less than its messages
        /// sent one by one.
        work: f64,
        first_byte: Us,
    },
    /// A call ended.
    Over {
        call: u64,
        #[serde(flatten)]
        end: CallEnd,
    },
    /// The sender's process has read the complete answer to a call. Recorded only where that is certain.
    AnswerRead { call: u64 },
    /// A message took effect. A repeat that the destination dropped has no such event.
    Ran { id: String, message: u64 },
    /// A sender's connection attempt to a destination was refused or found no listener.
    Unreached {
        sender: usize,
        dest: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        route: Option<usize>,
    },
    /// Discovery notified a sender whether an endpoint accepts new calls.
    Told {
        sender: usize,
        endpoint: usize,
        #[serde(rename = "open")]
        accepts_calls: bool,
    },
    /// A destination became unavailable.
    OutageBegan {
        dest: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        route: Option<usize>,
    },
    /// A destination recovered. `capacity` is the number of messages per second that it serves once warmed
    /// up.
    OutageEnded {
        dest: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        route: Option<usize>,
        capacity: f64,
    },
    /// A recovering destination was overloaded, collapsed, and stays unavailable.
    FellOver {
        dest: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        route: Option<usize>,
    },
    /// A sender reported the outcome of a message; `returned` is true if it was returned unexecuted.
    Notice {
        sender: usize,
        id: String,
        #[serde(rename = "handed_back")]
        returned: bool,
    },
    /// A sender received SIGTERM or SIGKILL.
    Going { sender: usize },
    /// The process of a sender exited. Retry-after waits reported to that process no longer apply.
    Ended { sender: usize },
    /// A sender's process is suspended for `duration`.
    Stopped {
        sender: usize,
        #[serde(rename = "time")]
        duration: Us,
    },
    /// A sender answered its health check as ready.
    Up { sender: usize },
}

/// An observation and its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Event {
    pub at: Us,
    #[serde(flatten)]
    pub kind: EventKind,
}

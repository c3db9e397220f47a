//! What is seen on the wire: by clients, customer systems, discovery and the platform. Nothing here is told by a sender
//! of itself.
use serde::Serialize;

/// Microseconds since the start of the day.
pub type Us = u64;

/// What a message's class lets happen twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

/// Which endpoints of a destination know a repeat of a keyed message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DedupScope {
    #[default]
    Everywhere,
    InTheRoom,
    AtTheEndpoint,
}

/// How a call ended, as its endpoint saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallEnd {
    /// The first line of an answer was written; a wait that it told, in microseconds.
    Answered {
        status: u16,
        #[serde(rename = "wait")]
        retry_after: Us,
    },
    /// What was written can't be read as an answer.
    Spoilt,
    /// The connection ended, by whichever side. When its sender ended it, at the time it did.
    Closed,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum EventKind {
    /// A client has written a request's last byte. `message` is the same when it hands in again.
    HandedIn {
        sender: usize,
        id: String,
        message: u64,
        /// Its class, by which worth is counted.
        class: usize,
        effect: Effect,
        dest: u64,
        #[serde(rename = "expires")]
        lifetime: Us,
    },
    /// The client has read its answer; 0 if the connection ended without one.
    Heard { id: String, status: u16 },
    /// The client has waited long enough and closed.
    Left { id: String },
    /// A call's last byte has come. `first_byte`: when its sender wrote the first.
    Call {
        call: u64,
        sender: usize,
        endpoint: usize,
        dest: u64,
        /// The endpoint, where a destination's endpoints are routes apart; then waits and returns count for it alone.
        #[serde(skip_serializing_if = "Option::is_none")]
        route: Option<usize>,
        #[serde(rename = "room")]
        site: usize,
        ids: Vec<String>,
        /// What it costs its endpoint, in messages that come alone: several in one call cost less than each by itself.
        work: f64,
        first_byte: Us,
    },
    Over {
        call: u64,
        #[serde(flatten)]
        end: CallEnd,
    },
    /// It took effect; a repeat that its destination dropped did not.
    Ran { id: String, message: u64 },
    /// A sender tried to reach a destination and was refused, or found nobody.
    Unreached {
        sender: usize,
        dest: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        route: Option<usize>,
    },
    /// Discovery has written to a sender whether an endpoint takes new work.
    Told {
        sender: usize,
        endpoint: usize,
        #[serde(rename = "open")]
        accepts_calls: bool,
    },
    OutageBegan {
        dest: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        route: Option<usize>,
    },
    /// `capacity`: messages a second that it takes once it is warm.
    OutageEnded {
        dest: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        route: Option<usize>,
        capacity: f64,
    },
    /// It was sent more than it could stand while cold, and stays down.
    FellOver {
        dest: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        route: Option<usize>,
    },
    Notice {
        sender: usize,
        id: String,
        #[serde(rename = "handed_back")]
        returned: bool,
    },
    /// A sender was told to end, or was killed.
    Going { sender: usize },
    /// Its process has ended, and what that was told with it.
    Ended { sender: usize },
    /// Its process stands still for so long.
    Stopped {
        sender: usize,
        #[serde(rename = "time")]
        duration: Us,
    },
    /// It has answered that it may be used.
    Up { sender: usize },
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Event {
    pub at: Us,
    #[serde(flatten)]
    pub kind: EventKind,
}

//! The records that are written for a message: its acceptance, its attempts, and its ending.
use bytes::Bytes;
use nickelshed_budget::MemoryReservation;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Maximum size of a message body in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Maximum size of an endpoint name in bytes. It bounds the record of an attempt, for which space is reserved
/// before the endpoint is known.
pub const MAX_ENDPOINT_NAME_BYTES: usize = 64;

/// A message as it was accepted, with everything that a call needs after a restart.
#[derive(Debug)]
pub struct AcceptedMessage {
    /// Assigned by the sender. Ids are not reused in a folder.
    pub id: u64,
    pub class: String,
    pub tenant: String,
    /// Number of the destination.
    pub dest: u64,
    /// Trace id, by which notices name the message.
    pub trace: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Unix time in milliseconds, or 0 if imported from the legacy format, which has no such field.
    pub accepted_at_ms: i64,
    /// Time at which the message expires. Unix time in milliseconds.
    pub deadline_ms: i64,
    pub body: Bytes,
    /// The memory budget used by the body, released when the message is dropped.
    pub memory_share: Option<MemoryReservation>,
}

impl AcceptedMessage {
    /// Whether `other`, a message with the same trace id, is a repeated submission of this one.
    pub fn is_same_submission(&self, other: &AcceptedMessage) -> bool {
        let (a, b) = (self, other);
        a.dest == b.dest && a.class == b.class && a.tenant == b.tenant && a.key == b.key && a.body == b.body
    }
}

/// An attempt, which is recorded before its call starts.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct AttemptRecord {
    /// Attempts of a message are numbered from 0.
    pub number: u32,
    /// Unix time in milliseconds.
    pub started_at_ms: i64,
    /// Empty for an attempt that is only assumed to have been made, because its record may be lost.
    pub endpoint: String,
    /// Whether the message is known not to have been executed by this attempt.
    pub never_ran: bool,
}

/// How a message ended without a successful answer, as its notice tells the client.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// Failed. An attempt may have taken effect.
    GivenUp,
    /// Returned to the client unexecuted, with the time in milliseconds after which it may be submitted
    /// again.
    HandedBack(Option<u64>),
}

/// A change of the state of one message, which is identified by its id.
#[derive(Clone, Debug)]
pub enum Record {
    Accepted(Rc<AcceptedMessage>),
    AttemptStarted(u64, AttemptRecord),
    /// The attempt with this number is known not to have run.
    AttemptNeverRan(u64, u32),
    /// The ending is chosen and its notice is about to be sent. This is written before the notice, so that
    /// after a restart the sender does not send a message that its client may already have submitted again.
    EndingDecided(u64, Ending),
    Finished(u64),
}

/// A message that has not finished.
#[derive(Clone, Debug)]
pub struct LiveMessage {
    pub message: Rc<AcceptedMessage>,
    pub attempts: Vec<AttemptRecord>,
    pub ending: Option<Ending>,
    /// The segment with the newest full record of this message. It must be kept until the message finishes or
    /// is copied.
    pub(crate) base_segment: u64,
}

impl LiveMessage {
    /// Returns the number of the next attempt: greater than all recorded numbers, which have gaps where a
    /// record could not be written, and not below the count of records.
    pub fn next_attempt_number(&self) -> u32 {
        let highest = self
            .attempts
            .iter()
            .filter(|attempt| attempt.number != UNKNOWN_ATTEMPT_NUMBER)
            .map(|attempt| attempt.number + 1)
            .max();
        highest.unwrap_or(0).max(self.attempts.len() as u32)
    }
}

/// The number of an attempt that is only assumed to have been made, or that another program version numbered.
pub(crate) const UNKNOWN_ATTEMPT_NUMBER: u32 = u32::MAX;

impl Ending {
    /// The outcome as named in notices.
    pub fn name(self) -> &'static str {
        match self {
            Ending::GivenUp => "given_up",
            Ending::HandedBack(_) => "handed_back",
        }
    }
}

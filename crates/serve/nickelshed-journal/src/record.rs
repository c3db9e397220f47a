//! What is written down of a message: that it was taken on, its attempts, and how it ended.
use bytes::Bytes;
use nickelshed_budget::MemoryReservation;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Bytes that a message's body holds at most.
pub const MAX_BODY: usize = 64 << 10;
/// Bytes in an endpoint's name at most: the room that an attempt may come to take is claimed before it is made.
pub const MAX_NAME: usize = 64;

/// A message as it was taken on: all that a call needs after a restart.
#[derive(Debug)]
pub struct Taken {
    /// The sender's number for it; not used again in this folder.
    pub id: u64,
    pub class: String,
    pub tenant: String,
    pub dest: u64,
    pub trace: String,
    pub key: Option<String>,
    /// When it was taken on, Unix time in milliseconds; 0 where the version before had not written it down.
    pub since: i64,
    /// Deadline, Unix time in milliseconds.
    pub end: i64,
    pub body: Bytes,
    /// Its part of the memory, given back with the message.
    pub share: Option<MemoryReservation>,
}

impl Taken {
    /// Whether it is the same message, handed in again.
    pub fn is_same(&self, other: &Taken) -> bool {
        let (a, b) = (self, other);
        a.dest == b.dest && a.class == b.class && a.tenant == b.tenant && a.key == b.key && a.body == b.body
    }
}

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Begun {
    /// Attempts of a message count from 0.
    pub number: u32,
    /// Unix time in milliseconds.
    pub at: i64,
    /// Empty where the record of an attempt may have been lost: then one must be supposed.
    pub endpoint: String,
    pub never_ran: bool,
}

#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    GivenUp,
    /// With the time after which to come again, in milliseconds.
    HandedBack(Option<u64>),
}

#[derive(Clone, Debug)]
pub enum Record {
    Taken(Rc<Taken>),
    Begun(u64, Begun),
    /// This attempt is known not to have run.
    NeverRan(u64, u32),
    /// Its notice is under way. Written before the notice, so that a message whose client may hand it in
    /// again is not sent by the next process too.
    Decided(u64, Ending),
    Ended(u64),
}

/// A message that has not ended.
#[derive(Clone, Debug)]
pub struct Live {
    pub taken: Rc<Taken>,
    pub attempts: Vec<Begun>,
    pub ending: Option<Ending>,
    /// The segment that holds its newest whole record, and needs to be kept for it.
    pub(crate) base: u64,
}

impl Live {
    /// The number of its next attempt. Higher than all that are written down, and than their count, as one that
    /// could not be written down leaves a gap.
    pub fn next_number(&self) -> u32 {
        let highest = self.attempts.iter().filter(|a| a.number != UNKNOWN).map(|a| a.number + 1).max();
        highest.unwrap_or(0).max(self.attempts.len() as u32)
    }
}

/// The number of an attempt that is only supposed.
pub(crate) const UNKNOWN: u32 = u32::MAX;

impl Ending {
    /// As the platform calls it.
    pub fn name(self) -> &'static str {
        match self {
            Ending::GivenUp => "given_up",
            Ending::HandedBack(_) => "handed_back",
        }
    }
}

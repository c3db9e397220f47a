//! Decides what the bytes on a connection prove about its provisional answers. It does no I/O.
//!
//! A copy of an answer is identical to it and comes on the same connection. An answer that differs from every earlier
//! one on its connection is therefore no copy. It may still be the late answer to the call before, if that call
//! was ended by a copy.
use super::Verdict;
use crate::answer_head::{complete_head, outcome_of_status, received_status};
use hyper::header::HeaderMap;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Most answers that are remembered for each connection. A connection rests between two calls, so these are
/// the answers of some seconds at least.
const MAX_REMEMBERED_ANSWERS: usize = 32;

/// What tells one answer from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerIdentity {
    /// Hash of the head; None if no complete head was received.
    fingerprint: Option<u64>,
    /// Whether it may be a copy of an earlier answer on its connection.
    pub is_repeat: bool,
}

impl AnswerIdentity {
    /// Of an answer that was not read.
    pub const UNKNOWN: AnswerIdentity = AnswerIdentity { fingerprint: None, is_repeat: true };
}

fn fingerprint(bytes: &[u8]) -> Option<u64> {
    let mut hasher = DefaultHasher::new();
    complete_head(bytes)?.hash(&mut hasher);
    Some(hasher.finish())
}

/// The answers that have come on one connection.
#[derive(Default)]
pub struct AnswerHistory {
    /// Oldest first.
    fingerprints: VecDeque<u64>,
}

impl AnswerHistory {
    /// Adds an answer that begins with these bytes.
    pub fn record(&mut self, bytes: &[u8]) -> AnswerIdentity {
        let identity = self.identify(bytes);
        self.fingerprints.extend(identity.fingerprint.filter(|_| !identity.is_repeat));
        if self.fingerprints.len() > MAX_REMEMBERED_ANSWERS {
            self.fingerprints.pop_front();
        }
        identity
    }

    fn identify(&self, bytes: &[u8]) -> AnswerIdentity {
        let fingerprint = fingerprint(bytes);
        let is_repeat = fingerprint.is_none_or(|fingerprint| self.fingerprints.contains(&fingerprint));
        AnswerIdentity { fingerprint, is_repeat }
    }
}

/// What came on a connection after the last answer that was read as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubsequentData {
    /// Nothing: the connection was reset or closed, or its next call was interrupted.
    Nothing,
    /// An answer with a complete head.
    Answer { status: u16, identity: AnswerIdentity },
    /// Data in which no complete head was found, and the status if its line is complete.
    Fragment { status: Option<u16> },
}

impl SubsequentData {
    pub fn new(unsolicited_data: Option<&[u8]>, history: &AnswerHistory) -> SubsequentData {
        let Some(bytes) = unsolicited_data else { return SubsequentData::Nothing };
        let identity = history.identify(bytes);
        match (received_status(bytes), identity.fingerprint) {
            (Some(status), Some(_)) => SubsequentData::Answer { status, identity },
            (status, _) => SubsequentData::Fragment { status },
        }
    }

    /// Whether it may be an answer that ends the messages of its call.
    fn may_end_messages(self) -> bool {
        match self {
            SubsequentData::Nothing => false,
            SubsequentData::Answer { status, .. } => ends_messages(status),
            SubsequentData::Fragment { status } => status.is_none_or(ends_messages),
        }
    }
}

fn ends_messages(status: u16) -> bool {
    outcome_of_status(status, &HeaderMap::new()).1
}

/// A provisional answer when its connection ends.
#[derive(Clone, Copy, Debug)]
pub struct DoubtfulAnswer {
    pub identity: AnswerIdentity,
    /// Whether the answer has finished the message.
    pub is_final: bool,
    /// Whether no provisional answer before it may be a copy.
    pub follows_certain_answers: bool,
    /// Whether all provisional answers on the connection belong to the same call.
    pub is_only_call: bool,
}

/// The verdict on a provisional answer after which `subsequent` came and the connection ended.
pub fn verdict(answer: DoubtfulAnswer, subsequent: SubsequentData) -> Verdict {
    let is_certain = answer.follows_certain_answers && !answer.identity.is_repeat;
    match subsequent {
        SubsequentData::Nothing if is_certain => Verdict::Confirmed,
        SubsequentData::Answer { identity, .. }
            if is_certain && identity.fingerprint == answer.identity.fingerprint =>
        {
            Verdict::Confirmed
        }
        // No answer before was like this one, so it is no copy: it is the real answer to the only call.
        SubsequentData::Answer { status, identity }
            if !is_certain && answer.is_only_call && !identity.is_repeat && !ends_messages(status) =>
        {
            Verdict::Retracted
        }
        _ if answer.is_final || subsequent.may_end_messages() => Verdict::InDoubt,
        _ => Verdict::Retracted,
    }
}

#[cfg(test)]
mod tests;

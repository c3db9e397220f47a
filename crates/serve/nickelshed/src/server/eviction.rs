//! Decides which client connection is closed when a new one needs its slot or its memory. It does no I/O.
use std::cmp::Reverse;
use std::time::Duration;

/// What a client connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing has arrived on it yet; `age` counts from when it was accepted.
    Silent,
    /// Its first bytes have arrived; they are not read before it gets memory.
    Waiting,
    /// A request is arriving; `age` counts from its first byte.
    Receiving,
    /// A complete request is being answered.
    Answering,
    /// Between two requests; `age` counts from the last answer.
    Idle,
}

/// One connection, as far as the decision needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub connection_id: u64,
    pub phase: Phase,
    pub age: Duration,
}

/// How long a connection may be idle once all slots are in use and a new one needs its slot or its memory.
const IDLE_TIMEOUT_AT_LIMIT: Duration = Duration::from_secs(2);
/// The same for a connection that has not sent a request yet. It is shorter because a client that has a
/// request sends it right after connecting.
const SILENT_TIMEOUT_AT_LIMIT: Duration = Duration::from_millis(500);
/// How long a request may take to arrive while others wait for memory. A client that sends its request in one
/// piece needs far less.
const RECEIVE_TIMEOUT_AT_LIMIT: Duration = Duration::from_millis(250);
/// How long a connection may be idle while others wait for memory and no older request is arriving.
const SHORT_IDLE_TIMEOUT_AT_LIMIT: Duration = Duration::from_millis(500);

/// The connection whose slot a new connection takes: the one that has been idle or silent longest, if that was
/// long enough.
pub fn evicted_for_slot(candidates: impl Iterator<Item = Candidate>) -> Option<u64> {
    oldest(candidates.filter(|candidate| match candidate.phase {
        Phase::Silent => candidate.age >= SILENT_TIMEOUT_AT_LIMIT,
        Phase::Idle => candidate.age >= IDLE_TIMEOUT_AT_LIMIT,
        Phase::Waiting | Phase::Receiving | Phase::Answering => false,
    }))
}

/// The connections, at most `count`, whose memory requests that arrive take. Closing one that is idle does no
/// harm; a request that has been arriving for long is refused; connections that were idle only briefly come
/// last.
pub fn evicted_for_memory(candidates: impl Iterator<Item = Candidate>, count: usize) -> Vec<u64> {
    let rank = |candidate: &Candidate| match candidate.phase {
        Phase::Idle if candidate.age >= IDLE_TIMEOUT_AT_LIMIT => Some(0),
        Phase::Receiving if candidate.age >= RECEIVE_TIMEOUT_AT_LIMIT => Some(1),
        Phase::Idle if candidate.age >= SHORT_IDLE_TIMEOUT_AT_LIMIT => Some(2),
        Phase::Silent | Phase::Waiting | Phase::Receiving | Phase::Answering | Phase::Idle => None,
    };
    let mut evicted: Vec<(u8, Candidate)> =
        candidates.filter_map(|candidate| Some((rank(&candidate)?, candidate))).collect();
    evicted.sort_by_key(|(rank, candidate)| (*rank, Reverse(candidate.age)));
    evicted.truncate(count);
    evicted.into_iter().map(|(_, candidate)| candidate.connection_id).collect()
}

fn oldest(candidates: impl Iterator<Item = Candidate>) -> Option<u64> {
    candidates.max_by_key(|candidate| candidate.age).map(|candidate| candidate.connection_id)
}

#[cfg(test)]
mod tests;

//! Records that a failing disk has not taken, and the notices that wait for them.
//!
//! Invariant: while a message's end is not recorded, the next process would take the message for open and send it
//! again. Its notice therefore waits until the end is recorded, at most until the deadline of the message, after
//! which no process sends it.
use crate::notices::Notice;
use nickelshed_journal::{Ending, Record};
use nickelshed_policy::api::{Ns, MS};
use std::collections::VecDeque;

/// How often a failed write is repeated while there is nothing else to do.
const RETRY_INTERVAL: Ns = 250 * MS;

/// A notice, and the time after which no process sends its message.
pub struct DueNotice {
    pub notice: Notice,
    pub deadline: Ns,
    /// How the next process would end the message as long as neither its end nor those of its attempts are
    /// recorded.
    pub unrecorded_ending: Ending,
}

/// What a failing disk holds up.
#[derive(Default)]
pub struct UnwrittenRecords {
    /// Oldest first.
    records: VecDeque<Record>,
    notices: Vec<DueNotice>,
}

impl UnwrittenRecords {
    /// Keeps the records of a failed write and the notices that depend on them.
    pub fn keep(&mut self, records: Vec<Record>, notices: Vec<DueNotice>) {
        self.records.extend(records);
        self.notices.extend(notices);
    }

    /// The record to be written next, before any others.
    pub fn first_record(&self) -> Option<&Record> {
        self.records.front()
    }

    /// Forgets the first record, which has been written.
    pub fn remove_first_record(&mut self) {
        self.records.pop_front();
    }

    /// Returns the notices that wait for no record any more: all of them once the records are written, otherwise
    /// those whose deadline has passed. The latter say what the next process would say.
    pub fn take_notices(&mut self, now: Ns) -> Vec<DueNotice> {
        if self.records.is_empty() {
            return std::mem::take(&mut self.notices);
        }
        let mut due: Vec<DueNotice> = self.notices.extract_if(.., |held| held.deadline <= now).collect();
        for DueNotice { notice, unrecorded_ending, .. } in &mut due {
            notice.ending = *unrecorded_ending;
            self.change_ending(notice.id, *unrecorded_ending);
        }
        due
    }

    /// Changes the ending in the unwritten record of a message.
    fn change_ending(&mut self, message: u64, new: Ending) {
        for record in &mut self.records {
            match record {
                Record::EndingDecided(id, ending) if *id == message => *ending = new,
                _ => {}
            }
        }
    }

    /// When the records are written again, or the next notice is due; None if nothing is held up.
    pub fn next_attempt(&self, now: Ns) -> Option<Ns> {
        let retry = (!self.records.is_empty()).then_some(now + RETRY_INTERVAL);
        let deadline = self.notices.iter().map(|held| held.deadline).min();
        retry.into_iter().chain(deadline).min()
    }
}

#[cfg(test)]
mod tests;

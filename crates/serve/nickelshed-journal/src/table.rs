//! The live messages, updated record by record both at run time and during replay. No I/O.
use crate::format::{bound, Entry};
use crate::record::{AcceptedMessage, AttemptRecord, LiveMessage, Record, UNKNOWN_ATTEMPT_NUMBER};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The live messages by id.
#[derive(Default, Clone, Debug)]
pub struct MessageTable {
    live: BTreeMap<u64, LiveMessage>,
    /// Upper bound of the size of all full records, in bytes.
    full_messages_bound: u64,
    next_id: u64,
}

fn full_message_bound(live: &LiveMessage) -> u64 {
    bound::accepted(&live.message) + live.attempts.iter().map(bound::attempt).sum::<u64>()
}

impl MessageTable {
    pub fn live(&self) -> &BTreeMap<u64, LiveMessage> {
        &self.live
    }

    /// Returns an upper bound of the size of all full records, in bytes.
    pub fn full_messages_bound(&self) -> u64 {
        self.full_messages_bound
    }

    /// Returns an upper bound of the size of this message's full record in bytes, or 0 if the message is not
    /// live.
    pub fn full_message_bound_of(&self, id: u64) -> u64 {
        self.live.get(&id).map_or(0, full_message_bound)
    }

    /// Adds a message whose acceptance record is in segment `segment_seq`.
    pub fn insert_accepted(&mut self, message: Rc<AcceptedMessage>, segment_seq: u64) {
        self.insert_live(LiveMessage {
            message,
            attempts: Vec::new(),
            ending: None,
            base_segment: segment_seq,
        });
    }

    /// Returns an id that no record uses.
    pub fn next_id(&self) -> u64 {
        self.next_id
    }

    fn insert_live(&mut self, live: LiveMessage) {
        self.next_id = self.next_id.max(live.message.id.saturating_add(1));
        self.full_messages_bound += full_message_bound(&live);
        if let Some(replaced) = self.live.insert(live.message.id, live) {
            self.full_messages_bound -= full_message_bound(&replaced);
        }
    }

    /// Applies a record that was written to segment `segment_seq`. A record other than an acceptance has no
    /// effect if its message is not live.
    pub fn apply(&mut self, record: &Record, segment_seq: u64) {
        match record {
            Record::Accepted(message) => self.insert_accepted(message.clone(), segment_seq),
            Record::AttemptStarted(id, attempt) => {
                if let Some(live) = self.live.get_mut(id) {
                    self.full_messages_bound += bound::attempt(attempt);
                    live.attempts.push(attempt.clone());
                }
            }
            Record::AttemptNeverRan(id, number) => {
                if let Some(live) = self.live.get_mut(id) {
                    live.attempts
                        .iter_mut()
                        .filter(|attempt| attempt.number == *number)
                        .for_each(|attempt| attempt.never_ran = true);
                }
            }
            Record::EndingDecided(id, ending) => {
                if let Some(live) = self.live.get_mut(id) {
                    live.ending = Some(*ending);
                }
            }
            Record::Finished(id) => {
                if let Some(live) = self.live.remove(id) {
                    self.full_messages_bound -= full_message_bound(&live);
                }
            }
        }
    }

    /// Applies an entry that was read from segment `segment_seq`.
    pub fn replay(&mut self, entry: Entry, segment_seq: u64) {
        match entry {
            Entry::Update(record) => self.apply(&record, segment_seq),
            Entry::FullMessage(message, attempts, ending) => {
                self.insert_live(LiveMessage { message, attempts, ending, base_segment: segment_seq })
            }
            // All messages that were live below the mark have been copied. Those still based there have
            // finished, and the record of that was in a segment that has been removed.
            Entry::LowWaterMark(low_water_mark) => {
                let finished: Vec<u64> = self
                    .live
                    .values()
                    .filter(|live| live.base_segment < low_water_mark)
                    .map(|live| live.message.id)
                    .collect();
                finished.into_iter().for_each(|id| self.apply(&Record::Finished(id), segment_seq));
            }
        }
    }

    pub(crate) fn live_mut(&mut self) -> impl Iterator<Item = &mut LiveMessage> {
        self.live.values_mut()
    }

    /// Records that the newest full record of a message is now in segment `segment_seq`.
    pub fn set_base_segment(&mut self, id: u64, segment_seq: u64) {
        if let Some(live) = self.live.get_mut(&id) {
            live.base_segment = segment_seq;
        }
    }

    pub(crate) fn into_live(self) -> Vec<LiveMessage> {
        self.live.into_values().collect()
    }

    /// Called where the replay reaches a gap whose records were written at `lost_since_ms` or later: they may
    /// include attempts of any message accepted so far. Assumes one attempt that may have run for each
    /// message, so that its class decides whether it may be sent again. Returns the number of messages newly
    /// marked.
    pub fn assume_attempts(&mut self, lost_since_ms: i64) -> usize {
        let mut newly_marked = 0;
        for live in self.live.values_mut() {
            if live.attempts.iter().any(|attempt| attempt.number == UNKNOWN_ATTEMPT_NUMBER) {
                continue;
            }
            let assumed = AttemptRecord {
                number: UNKNOWN_ATTEMPT_NUMBER,
                started_at_ms: lost_since_ms,
                endpoint: String::new(),
                never_ran: false,
            };
            self.full_messages_bound += bound::attempt(&assumed);
            live.attempts.push(assumed);
            newly_marked += 1;
        }
        newly_marked
    }
}

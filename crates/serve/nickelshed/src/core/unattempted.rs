//! Tracks the messages that recovery found accepted but never attempted, until each of them is attempted or
//! finished. The resulting counts show an operator that a restart did not cost any message its attempt.
use std::collections::BTreeMap;

/// How many messages were recovered unattempted, and how many of them ended in each way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub recovered: usize,
    pub attempted: usize,
    /// They had expired before the process started.
    pub expired_at_start: usize,
    /// They expired after the start.
    pub expired: usize,
    /// They were returned while they still had time left, or this process no longer knows them.
    pub returned: usize,
}

#[derive(Default)]
pub struct UnattemptedMessages {
    /// The messages not attempted yet, and whether each had expired at startup.
    pending: BTreeMap<u64, bool>,
    counts: Counts,
}

impl UnattemptedMessages {
    pub fn add(&mut self, id: u64, is_expired: bool) {
        self.pending.insert(id, is_expired);
        self.counts.recovered += 1;
    }

    /// Counts a message as attempted. Returns the final counts if it was the last pending one.
    pub fn attempted(&mut self, id: u64) -> Option<Counts> {
        self.pending.remove(&id)?;
        self.counts.attempted += 1;
        self.final_counts()
    }

    /// Counts a message as finished without an attempt; `has_time` says whether an attempt could still have
    /// been in time. Returns the final counts if it was the last pending one.
    pub fn finished(&mut self, id: u64, has_time: bool) -> Option<Counts> {
        let is_expired = self.pending.remove(&id)?;
        match (is_expired, has_time) {
            (true, _) => self.counts.expired_at_start += 1,
            (false, true) => self.counts.returned += 1,
            (false, false) => self.counts.expired += 1,
        }
        self.final_counts()
    }

    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    fn final_counts(&self) -> Option<Counts> {
        self.pending.is_empty().then_some(self.counts)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_message_is_counted_once_and_the_last_one_returns_the_counts() {
        let mut unattempted = UnattemptedMessages::default();
        (0..5).for_each(|id| unattempted.add(id, id == 4));
        assert_eq!(unattempted.attempted(0), None);
        assert_eq!(
            (unattempted.attempted(0), unattempted.attempted(9)),
            (None, None),
            "a second attempt, and an unknown id"
        );
        assert_eq!(unattempted.finished(1, true), None);
        assert_eq!(unattempted.finished(1, true), None);
        assert_eq!(unattempted.finished(2, false), None);
        assert_eq!(unattempted.finished(4, false), None);
        let counts = Counts { recovered: 5, attempted: 2, expired_at_start: 1, expired: 1, returned: 1 };
        assert_eq!(unattempted.attempted(3), Some(counts));
        assert_eq!(
            (unattempted.attempted(3), unattempted.finished(3, true)),
            (None, None),
            "the counts are returned once"
        );
    }
}

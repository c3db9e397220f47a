//! Tracks the messages that recovery found accepted but never attempted, until each of them is attempted or
//! finished. The resulting counts show an operator that a restart did not cost any message its attempt.
use std::collections::BTreeMap;

/// How many messages were recovered unattempted, and how many of them ended in each way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub found: usize,
    pub called: usize,
    /// They had expired before the process started.
    pub late: usize,
    /// They expired after the start.
    pub ran_out: usize,
    /// They were returned while they still had time left, or their destination is no longer known.
    pub turned_away: usize,
}

#[derive(Default)]
pub struct Untried {
    /// The messages not attempted yet, and whether each had expired at startup.
    waiting: BTreeMap<u64, bool>,
    counts: Counts,
}

impl Untried {
    pub fn found(&mut self, id: u64, is_late: bool) {
        self.waiting.insert(id, is_late);
        self.counts.found += 1;
    }

    /// Counts a message as attempted. Returns the final counts if it was the last pending one.
    pub fn called(&mut self, id: u64) -> Option<Counts> {
        self.waiting.remove(&id)?;
        self.counts.called += 1;
        self.told()
    }

    /// Counts a message as finished without an attempt; `has_time` says whether an attempt could still have
    /// been in time. Returns the final counts if it was the last pending one.
    pub fn ended(&mut self, id: u64, has_time: bool) -> Option<Counts> {
        let is_late = self.waiting.remove(&id)?;
        match (is_late, has_time) {
            (true, _) => self.counts.late += 1,
            (false, true) => self.counts.turned_away += 1,
            (false, false) => self.counts.ran_out += 1,
        }
        self.told()
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn told(&self) -> Option<Counts> {
        self.waiting.is_empty().then_some(self.counts)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_is_counted_once_and_told_with_the_last() {
        let mut untried = Untried::default();
        (0..5).for_each(|id| untried.found(id, id == 4));
        assert_eq!(untried.called(0), None);
        assert_eq!(
            (untried.called(0), untried.called(9)),
            (None, None),
            "a further call, and one that is none of them"
        );
        assert_eq!(untried.ended(1, true), None);
        assert_eq!(untried.ended(1, true), None);
        assert_eq!(untried.ended(2, false), None);
        assert_eq!(untried.ended(4, false), None);
        let counts = Counts { found: 5, called: 2, late: 1, ran_out: 1, turned_away: 1 };
        assert_eq!(untried.called(3), Some(counts));
        assert_eq!((untried.called(3), untried.ended(3, true)), (None, None), "told once");
    }
}

//! Local health score (Lifeguard, section IV.A): how far a member trusts its own failure detection, because
//! acks that it misses may be its own fault.
use crate::Ns;

/// Upper bound of the score. Each point lengthens probe intervals and timeouts by their base length.
const MAX_SCORE: u32 = 4;

#[derive(Clone, Copy, Debug, Default)]
pub struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Records a probe that was acked in time.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Records a sign that this member is at fault: a probe without an ack or nack, a suspicion or failure
    /// that it had to refute, or a stall.
    pub fn degrade(&mut self, points: u32) {
        self.score = (self.score + points).min(MAX_SCORE);
    }

    /// Returns the duration to use in place of `duration`, which applies at full health.
    #[must_use]
    pub fn scale(&self, duration: Ns) -> Ns {
        duration * Ns::from(self.score + 1)
    }
}

//! Estimates how late the answers of a peer are, from those that have come. It does no I/O.
use std::time::Duration;

/// How much later than it could an answer arrives. The estimate rises to a longer delay at once and halves the
/// distance to a shorter one with each answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerDelay {
    estimate: Duration,
}

impl AnswerDelay {
    pub fn estimate(self) -> Duration {
        self.estimate
    }

    /// Records the delay of one answer.
    pub fn measured(&mut self, delay: Duration) {
        self.estimate = delay.max((self.estimate + delay) / 2);
    }

    /// Records that the delay of one answer was at least this long. The rest of the time that it took may have
    /// been spent waiting for a change.
    pub fn at_least(&mut self, delay: Duration) {
        self.estimate = self.estimate.max(delay);
    }
}

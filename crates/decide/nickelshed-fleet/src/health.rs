//! How far a member trusts its own ears: what it misses may be its own fault (Lifeguard, section IV.A, local health).
use crate::Ns;

/// The worst score. Each point makes a probe wait as much longer again.
const MAX_SCORE: u32 = 4;

#[derive(Clone, Copy, Debug, Default)]
pub struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Somebody answered in time.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Nobody answered, nor did any who was asked for help; or it had to refute that it is gone itself.
    pub fn degrade(&mut self, points: u32) {
        self.score = (self.score + points).min(MAX_SCORE);
    }

    /// How long to wait where one in full health waits so long.
    #[must_use]
    pub fn scale(&self, duration: Ns) -> Ns {
        duration * Ns::from(self.score + 1)
    }
}

//! The one bound on what a member sends: bytes a second, whatever the fleet's size and whoever asks.
use crate::Ns;

const SECOND: f64 = 1e9;

/// What may be saved up, in seconds of the rate.
const SAVED: f64 = 1.0;

/// How much of what is saved up is left for what matters more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weight {
    /// An answer: without it one that is there is taken for gone.
    Answer,
    /// A question.
    Question,
    /// An exchange of what views lack, which comes again.
    Spare,
}

impl Weight {
    fn reserve(self) -> f64 {
        match self {
            Weight::Answer => 0.0,
            Weight::Question => 0.2,
            Weight::Spare => 0.5,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Budget {
    rate: f64,
    left: f64,
    at: Ns,
    /// Datagrams that were not sent for want of it.
    pub kept_back: u64,
}

impl Budget {
    /// `rate`: bytes a second.
    #[must_use]
    pub fn new(rate: u32, now: Ns) -> Budget {
        Budget { rate: f64::from(rate), left: f64::from(rate) * SAVED, at: now, kept_back: 0 }
    }

    /// Whether so many bytes may be sent now; they are then used up. What weighs less may only use what is left over.
    pub fn takes(&mut self, now: Ns, bytes: usize, weight: Weight) -> bool {
        let earned = (now - self.at).max(0) as f64 / SECOND * self.rate;
        self.left = (self.left + earned).min(self.rate * SAVED);
        self.at = self.at.max(now);
        let least = self.rate * SAVED * weight.reserve();
        let fits = self.left - bytes as f64 >= least;
        if fits {
            self.left -= bytes as f64;
        } else {
            self.kept_back += 1;
        }
        fits
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_is_answered_up_to_the_rate_and_leaves_room_for_what_is_vital() {
        let mut budget = Budget::new(4_000, 0);
        let mut sent = [0, 0];
        for ms in 0..10_000 {
            for (weight, sent) in [Weight::Spare, Weight::Answer].into_iter().zip(&mut sent) {
                *sent += usize::from(budget.takes(ms * 1_000_000, 200, weight)) * 200;
            }
        }
        assert!(sent[0] + sent[1] <= 44_000, "{sent:?}");
        assert!(sent[1] > 39_000, "{sent:?}");
    }
}

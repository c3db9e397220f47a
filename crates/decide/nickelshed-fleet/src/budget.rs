//! The one bound on what a member sends: bytes a second, whatever the fleet's size and whoever asks.
use crate::Ns;

const NS_PER_SECOND: f64 = 1e9;

/// What may be saved up, in seconds of the rate.
const BURST_SECONDS: f64 = 1.0;

/// How much of what is saved up is left for what matters more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// An answer: without it one that is there is taken for gone.
    Reply,
    /// A question.
    Request,
    /// An exchange of what views lack, which comes again.
    Background,
}

impl Priority {
    fn reserved_fraction(self) -> f64 {
        match self {
            Priority::Reply => 0.0,
            Priority::Request => 0.2,
            Priority::Background => 0.5,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Budget {
    bytes_per_s: f64,
    available: f64,
    refilled_at: Ns,
    /// Datagrams that were not sent for want of it.
    pub withheld: u64,
}

impl Budget {
    /// `rate`: bytes a second.
    #[must_use]
    pub fn new(bytes_per_s: u32, now: Ns) -> Budget {
        Budget {
            bytes_per_s: f64::from(bytes_per_s),
            available: f64::from(bytes_per_s) * BURST_SECONDS,
            refilled_at: now,
            withheld: 0,
        }
    }

    /// Whether so many bytes may be sent now; they are then used up. What weighs less may only use what is left over.
    pub fn try_spend(&mut self, now: Ns, bytes: usize, priority: Priority) -> bool {
        let refill = (now - self.refilled_at).max(0) as f64 / NS_PER_SECOND * self.bytes_per_s;
        self.available = (self.available + refill).min(self.bytes_per_s * BURST_SECONDS);
        self.refilled_at = self.refilled_at.max(now);
        let reserved = self.bytes_per_s * BURST_SECONDS * priority.reserved_fraction();
        let fits = self.available - bytes as f64 >= reserved;
        if fits {
            self.available -= bytes as f64;
        } else {
            self.withheld += 1;
        }
        fits
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn flood_is_limited_to_the_rate_and_leaves_capacity_for_replies() {
        let mut budget = Budget::new(4_000, 0);
        let mut sent = [0, 0];
        for ms in 0..10_000 {
            for (priority, sent) in [Priority::Background, Priority::Reply].into_iter().zip(&mut sent) {
                *sent += usize::from(budget.try_spend(ms * 1_000_000, 200, priority)) * 200;
            }
        }
        assert!(sent[0] + sent[1] <= 44_000, "{sent:?}");
        assert!(sent[1] > 39_000, "{sent:?}");
    }
}

//! Limits the bytes per second that a member sends, whatever the size of the fleet and the number of requests
//! it receives.
use crate::Ns;

const NS_PER_SECOND: f64 = 1e9;

/// Unused bytes are saved up for at most this many seconds of the rate.
const BURST_SECONDS: f64 = 1.0;

/// Importance of a datagram. The less important it is, the more saved bytes it has to leave for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// A reply to a probe. Without it a live member is declared failed.
    Reply,
    /// A probe, or a request for one.
    Request,
    /// Anti-entropy between views, which is repeated later anyway.
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

/// Token bucket of bytes.
#[derive(Clone, Debug)]
pub struct Budget {
    bytes_per_s: f64,
    available: f64,
    refilled_at: Ns,
    /// Datagrams that were not sent because the budget was used up.
    pub withheld: u64,
}

impl Budget {
    /// Starts with all bytes that can be saved up.
    #[must_use]
    pub fn new(bytes_per_s: u32, now: Ns) -> Budget {
        Budget {
            bytes_per_s: f64::from(bytes_per_s),
            available: f64::from(bytes_per_s) * BURST_SECONDS,
            refilled_at: now,
            withheld: 0,
        }
    }

    /// Spends `bytes` if that leaves the reserve of this priority, and returns whether it did.
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

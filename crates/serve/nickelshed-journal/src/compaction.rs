//! Space accounting and the size of compaction steps. No I/O.
//!
//! The log is a ring of segments: compaction empties the oldest one by copying its live messages to the end.
//! In one pass over the ring each message is copied at most once, and all bytes that were reclaimable at its
//! start are freed. Compaction runs only while the reclaimable bytes are at least a quarter of the live
//! bytes, so in the worst case a pass frees one byte for every four that it copies. However full the log is,
//! at most [`MAX_WRITE_AMPLIFICATION`] bytes are written for each appended byte.

/// Compaction is worthwhile once the reclaimable bytes reach this fraction (1/n) of the live bytes.
const WORTHWHILE_DIVISOR: u64 = 4;
/// Bytes written for each byte appended, in the worst case, averaged over passes of the ring.
pub const MAX_WRITE_AMPLIFICATION: u64 = 1 + WORTHWHILE_DIVISOR;
/// Maximum number of bytes copied in one step. The last message copied may exceed it.
pub const MAX_COMPACTION_STEP_BYTES: u64 = 96 << 10;

/// All values are in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpaceUsage {
    /// Limit of all segments together.
    pub log_limit: u64,
    /// Current size of all segments.
    pub log: u64,
    /// Bound of the size of all live messages.
    pub live: u64,
    /// Bound of the records that may still be written for the live messages. Space for them is kept free, so
    /// that they can be written without compaction.
    pub reserved: u64,
    /// Kept free so that a segment can be copied before it is removed.
    pub compaction_reserve: u64,
}

impl SpaceUsage {
    /// Returns the space available for new messages.
    pub fn free(&self) -> u64 {
        self.log_limit.saturating_sub(self.log + self.reserved + self.compaction_reserve)
    }

    /// Returns the part of the log that the live messages do not need, such as records of finished messages.
    pub fn reclaimable(&self) -> u64 {
        self.log.saturating_sub(self.live)
    }

    /// Whether the reclaimable bytes are enough to compact a segment.
    pub fn is_compaction_worthwhile(&self) -> bool {
        self.reclaimable() >= self.live / WORTHWHILE_DIVISOR + self.compaction_reserve / 2
    }

    /// Returns how many bytes to copy after a commit of `appended_bytes`; 0 if compaction should not run.
    pub fn compaction_step(&self, appended_bytes: u64) -> u64 {
        let third_of_limit = self.log_limit / 3;
        // Far more reclaimable than live bytes are cheap to reclaim even while space is left, and would slow
        // down the next start.
        let is_cheap = self.reclaimable() >= 2 * self.live + 4 * self.compaction_reserve;
        if !(self.is_compaction_worthwhile() && (is_cheap || self.free() < third_of_limit)) {
            return 0;
        }
        // On average, freeing one byte means copying live / reclaimable bytes. Copying at least twice that
        // much for each appended byte makes progress; the factor grows as free space shrinks.
        let urgency = 2 * third_of_limit / self.free().max(third_of_limit / 8).max(1);
        (appended_bytes * self.live / self.reclaimable().max(1) * urgency.max(2))
            .clamp(4 << 10, MAX_COMPACTION_STEP_BYTES)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn usage(log: u64, live: u64, reserved: u64) -> SpaceUsage {
        SpaceUsage { log_limit: 1_000_000, log, live, reserved, compaction_reserve: 50_000 }
    }

    #[test]
    fn nothing_is_compacted_while_space_is_free_or_when_not_worthwhile() {
        assert_eq!(usage(200_000, 10_000, 100_000).compaction_step(1_000), 0);
        assert!(usage(300_000, 10_000, 100_000).compaction_step(1_000) > 0);
        assert_eq!(usage(900_000, 800_000, 0).compaction_step(1_000), 0);
        assert!(usage(900_000, 600_000, 0).compaction_step(1_000) > 0);
    }

    #[test]
    fn the_compaction_step_grows_as_free_space_shrinks_up_to_its_maximum() {
        let step_with_more_space = usage(650_000, 400_000, 0).compaction_step(1_000);
        let step_with_less_space = usage(940_000, 400_000, 0).compaction_step(1_000);
        assert!(
            step_with_more_space <= step_with_less_space,
            "{step_with_more_space} {step_with_less_space}"
        );
        for log in (0..=1_000_000).step_by(10_000) {
            assert!(usage(log, log / 2, 0).compaction_step(u32::MAX.into()) <= MAX_COMPACTION_STEP_BYTES);
        }
    }
}

//! How much room there is, and how much is copied in a round. No I/O.
//!
//! The log is a ring of segments: the oldest is emptied by copying what still lives in it to the end. In one turn of
//! the ring each message is copied once at most, and all garbage that lay there at its start is freed. Copying
//! goes on only while the garbage is at least a quarter of what lives, so a turn frees a byte for each four that it
//! copies at the worst: [`AMPLIFICATION`] bytes are written for each byte that was appended, however full it is.

/// Garbage is worth collecting from this part of what lives on.
const WORTH: u64 = 4;
/// Bytes written for each byte appended, at the worst and on average over turns of the ring.
pub const AMPLIFICATION: u64 = 1 + WORTH;
/// Bytes copied in a round at most; one message more may pass it.
pub const STEP: u64 = 96 << 10;

/// Figures in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Room {
    /// What all segments together may take.
    pub total: u64,
    /// What they take now.
    pub log: u64,
    /// Of which this much lives.
    pub live: u64,
    /// What may still be written of the messages that are held, without any copying being done for it.
    pub owed: u64,
    /// Kept free so that a segment can be copied before it is removed.
    pub spare: u64,
}

impl Room {
    /// What new messages may claim.
    pub fn free(&self) -> u64 {
        self.total.saturating_sub(self.log + self.owed + self.spare)
    }

    pub fn garbage(&self) -> u64 {
        self.log.saturating_sub(self.live)
    }

    /// Whether emptying a segment pays.
    pub fn pays(&self) -> bool {
        self.garbage() >= self.live / WORTH + self.spare / 2
    }

    /// How much to copy after a round that appended so much.
    pub fn step(&self, appended: u64) -> u64 {
        let third = self.total / 3;
        // Also with room left, garbage that is far more than what lives is cheap to be rid of, and costs time at the
        // next start.
        let cheap = self.garbage() >= 2 * self.live + 4 * self.spare;
        if !(self.pays() && (cheap || self.free() < third)) {
            return 0;
        }
        // On average a byte is freed for each live / garbage bytes copied. Twice that makes headway, and more of
        // it the less is free.
        let urgency = 2 * third / self.free().max(third / 8).max(1);
        (appended * self.live / self.garbage().max(1) * urgency.max(2)).clamp(4 << 10, STEP)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn room(log: u64, live: u64, owed: u64) -> Room {
        Room { total: 1_000_000, log, live, owed, spare: 50_000 }
    }

    #[test]
    fn nothing_is_copied_while_there_is_room_or_where_it_would_not_pay() {
        assert_eq!(room(200_000, 10_000, 100_000).step(1_000), 0);
        assert!(room(300_000, 10_000, 100_000).step(1_000) > 0);
        assert_eq!(room(900_000, 800_000, 0).step(1_000), 0);
        assert!(room(900_000, 600_000, 0).step(1_000) > 0);
    }

    #[test]
    fn the_step_grows_as_room_gets_short_and_never_passes_its_bound() {
        let wide = room(650_000, 400_000, 0).step(1_000);
        let narrow = room(940_000, 400_000, 0).step(1_000);
        assert!(wide <= narrow, "{wide} {narrow}");
        for log in (0..=1_000_000).step_by(10_000) {
            assert!(room(log, log / 2, 0).step(u32::MAX.into()) <= STEP);
        }
    }
}

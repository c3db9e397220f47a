//! Decides how long the rest of an answer of discovery is awaited. A list of any length is read to its end as
//! long as it makes progress; an answer that stalls, or never ends, is given up. It does no I/O.
use std::time::Duration;
use tokio::time::Instant;

/// The body of an answer must grow by `MIN_PROGRESS_BYTES` in each period of this length.
pub const PROGRESS_PERIOD: Duration = Duration::from_secs(1);
const MIN_PROGRESS_BYTES: usize = 8 << 10;
/// The longest time for one body.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(30);

/// When the body of an answer is given up.
#[derive(Debug)]
pub struct TransferDeadline {
    /// Until then no progress is required.
    first_deadline: Instant,
    last_deadline: Instant,
    /// The end of the current period, and the bytes received in it so far.
    period_end: Instant,
    period_bytes: usize,
}

impl TransferDeadline {
    /// `first_deadline` is that of the whole request; `now` is when the head of its answer was read.
    pub fn new(first_deadline: Instant, now: Instant) -> TransferDeadline {
        TransferDeadline {
            first_deadline,
            last_deadline: now + MAX_TRANSFER_TIME,
            period_end: now + PROGRESS_PERIOD,
            period_bytes: 0,
        }
    }

    /// Records that bytes of the body have arrived. Returns whether they complete the progress of a period.
    pub fn received(&mut self, now: Instant, bytes: usize) -> bool {
        self.period_bytes = self.period_bytes.saturating_add(bytes);
        let has_progressed = self.period_bytes >= MIN_PROGRESS_BYTES;
        if has_progressed {
            self.period_bytes = 0;
            self.period_end = now + PROGRESS_PERIOD;
        }
        has_progressed
    }

    /// When to give up, unless more bytes arrive before that.
    pub fn deadline(&self) -> Instant {
        self.period_end.max(self.first_deadline).min(self.last_deadline.max(self.first_deadline))
    }
}

#[cfg(test)]
mod tests;

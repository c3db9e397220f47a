//! How long a suspect has time to refute: the shorter, the more members have reported it (Lifeguard, section
//! IV.B).
use crate::datagram::MAX_REPORTERS;
use crate::Ns;

const MS: Ns = 1_000_000;
/// Shortest timeout, once [`MAX_REPORTERS`] members report the suspect, per unit of the base-ten logarithm of
/// the fleet size.
const MIN_TIMEOUT_PER_LOG10: Ns = 650 * MS;
/// Longest timeout, with a single reporter, as a multiple of the shortest.
const MAX_TIMEOUT_MULTIPLE: f64 = 4.0;

/// The suspicion against one member in one incarnation.
#[derive(Clone, Debug)]
pub struct Suspicion {
    started_at: Ns,
    reporters: Vec<u32>,
    /// When another member reported the suspect failed although it was present here. It is probed once more
    /// before the report is accepted.
    pub failure_reported_at: Option<Ns>,
    /// Whether this member has probed it without an answer since it became a suspect.
    pub probed_locally: bool,
}

impl Suspicion {
    #[must_use]
    pub fn new(started_at: Ns) -> Suspicion {
        Suspicion { started_at, reporters: Vec::new(), failure_reported_at: None, probed_locally: false }
    }

    #[must_use]
    pub fn started_at(&self) -> Ns {
        self.started_at
    }

    /// Adds a reporter and returns whether that was a new one.
    pub fn add_reporter(&mut self, reporter: u32) -> bool {
        let is_new = self.reporters.len() < MAX_REPORTERS && !self.reporters.contains(&reporter);
        if is_new {
            self.reporters.push(reporter);
        }
        is_new
    }

    #[must_use]
    pub fn reporters(&self) -> &[u32] {
        &self.reporters
    }

    /// Returns when the suspect is declared failed, in a view with this many present members.
    #[must_use]
    pub fn deadline(&self, members: usize) -> Ns {
        let min_timeout = (MIN_TIMEOUT_PER_LOG10 as f64 * (members.max(10) as f64).log10()) as Ns;
        let max_timeout = min_timeout as f64 * MAX_TIMEOUT_MULTIPLE;
        // The first reporter only starts the suspicion; each further one confirms it.
        let confirmations = self.reporters.len().saturating_sub(1) as f64;
        let fraction = (confirmations + 1.0).ln() / (MAX_REPORTERS as f64).ln();
        self.started_at
            + ((max_timeout - (max_timeout - min_timeout as f64) * fraction) as Ns).max(min_timeout)
    }

    /// Starts the timeout anew, because a datagram of the suspect arrived.
    pub fn restart(&mut self, now: Ns) {
        *self = Suspicion { reporters: std::mem::take(&mut self.reporters), ..Suspicion::new(now) };
    }

    /// Moves the timeout by the time for which this member was stalled, as no refutation could reach it
    /// meanwhile.
    pub fn extend(&mut self, duration: Ns) {
        self.started_at += duration;
        self.failure_reported_at = self.failure_reported_at.map(|at| at + duration);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_reporter_shortens_the_timeout_to_the_minimum_and_duplicates_do_not() {
        let mut suspicion = Suspicion::new(0);
        suspicion.add_reporter(1);
        let mut previous = suspicion.deadline(50);
        assert_eq!(previous / MS, 4_417);
        for reporter in 2..=MAX_REPORTERS as u32 {
            assert!(suspicion.add_reporter(reporter) && !suspicion.add_reporter(reporter));
            assert!(suspicion.deadline(50) < previous);
            previous = suspicion.deadline(50);
        }
        assert_eq!(previous / MS, 1_104);
        assert!(!suspicion.add_reporter(99));
        suspicion.extend(7 * MS);
        assert_eq!(suspicion.deadline(50), previous + 7 * MS);
    }
}

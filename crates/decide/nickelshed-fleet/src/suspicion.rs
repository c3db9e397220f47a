//! How long a suspect has to say that it is there: less, the more members have asked it in vain (Lifeguard, section IV.B).
use crate::datagram::MAX_REPORTERS;
use crate::Ns;

const MS: Ns = 1_000_000;
/// Times the logarithm (base ten) of the fleet's size: the least time, once enough members accuse it.
const MIN_TIMEOUT_PER_LOG10: Ns = 650 * MS;
/// So many times the least, where one accuses it alone.
const MAX_TIMEOUT_MULTIPLE: f64 = 4.0;

/// What is known against one member in one incarnation.
#[derive(Clone, Debug)]
pub struct Suspicion {
    started_at: Ns,
    reporters: Vec<u32>,
    /// Another said that it is gone, though it was here lately: it is asked once more, and then believed.
    pub failure_reported_at: Option<Ns>,
    /// Whether this member has asked it in vain itself since.
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

    /// Whether that was new.
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

    /// When it is taken for gone, in a view of so many members.
    #[must_use]
    pub fn deadline(&self, members: usize) -> Ns {
        let min_timeout = (MIN_TIMEOUT_PER_LOG10 as f64 * (members.max(10) as f64).log10()) as Ns;
        let max_timeout = min_timeout as f64 * MAX_TIMEOUT_MULTIPLE;
        // The first accuser is the suspicion itself.
        let confirmations = self.reporters.len().saturating_sub(1) as f64;
        let fraction = (confirmations + 1.0).ln() / (MAX_REPORTERS as f64).ln();
        self.started_at
            + ((max_timeout - (max_timeout - min_timeout as f64) * fraction) as Ns).max(min_timeout)
    }

    /// The suspect was heard.
    pub fn restart(&mut self, now: Ns) {
        *self = Suspicion { reporters: std::mem::take(&mut self.reporters), ..Suspicion::new(now) };
    }

    /// The member that holds it stood still for so long: nobody could have told it otherwise meanwhile.
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

//! How long a suspect has to say that it is there: less, the more members have asked it in vain (Lifeguard, section IV.B).
use crate::datagram::MOST_ACCUSERS;
use crate::Ns;

const MS: Ns = 1_000_000;
/// Times the logarithm (base ten) of the fleet's size: the least time, once enough members accuse it.
const LEAST: Ns = 650 * MS;
/// So many times the least, where one accuses it alone.
const ALONE: f64 = 4.0;

/// What is known against one member in one incarnation.
#[derive(Clone, Debug)]
pub struct Suspicion {
    since: Ns,
    accusers: Vec<u32>,
    /// Another said that it is gone, though it was here lately: it is asked once more, and then believed.
    pub said_gone: Option<Ns>,
    /// Whether this member has asked it in vain itself since.
    pub asked: bool,
}

impl Suspicion {
    #[must_use]
    pub fn new(since: Ns) -> Suspicion {
        Suspicion { since, accusers: Vec::new(), said_gone: None, asked: false }
    }

    #[must_use]
    pub fn since(&self) -> Ns {
        self.since
    }

    /// Whether that was new.
    pub fn accuse(&mut self, by: u32) -> bool {
        let new = self.accusers.len() < MOST_ACCUSERS && !self.accusers.contains(&by);
        if new {
            self.accusers.push(by);
        }
        new
    }

    #[must_use]
    pub fn accusers(&self) -> &[u32] {
        &self.accusers
    }

    /// When it is taken for gone, in a view of so many members.
    #[must_use]
    pub fn ends(&self, members: usize) -> Ns {
        let least = (LEAST as f64 * (members.max(10) as f64).log10()) as Ns;
        let most = least as f64 * ALONE;
        // The first accuser is the suspicion itself.
        let others = self.accusers.len().saturating_sub(1) as f64;
        let part = (others + 1.0).ln() / (MOST_ACCUSERS as f64).ln();
        self.since + ((most - (most - least as f64) * part) as Ns).max(least)
    }

    /// The suspect was heard.
    pub fn begin_anew(&mut self, now: Ns) {
        *self = Suspicion { accusers: std::mem::take(&mut self.accusers), ..Suspicion::new(now) };
    }

    /// The member that holds it stood still for so long: nobody could have told it otherwise meanwhile.
    pub fn put_off(&mut self, time: Ns) {
        self.since += time;
        self.said_gone = self.said_gone.map(|at| at + time);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_accuser_shortens_it_down_to_the_least_and_the_same_one_twice_does_not() {
        let mut suspicion = Suspicion::new(0);
        suspicion.accuse(1);
        let mut before = suspicion.ends(50);
        assert_eq!(before / MS, 4_417);
        for by in 2..=MOST_ACCUSERS as u32 {
            assert!(suspicion.accuse(by) && !suspicion.accuse(by));
            assert!(suspicion.ends(50) < before);
            before = suspicion.ends(50);
        }
        assert_eq!(before / MS, 1_104);
        assert!(!suspicion.accuse(99));
        suspicion.put_off(7 * MS);
        assert_eq!(suspicion.ends(50), before + 7 * MS);
    }
}

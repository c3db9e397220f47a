//! Which sinks still owe which notices. No I/O.
use std::collections::HashMap;

/// Sinks are numbered from 0; there are 64 at most, and two so far.
pub struct Owed {
    all: u64,
    left: HashMap<u64, u64>,
}

impl Owed {
    pub fn new(sinks: usize) -> Owed {
        Owed { all: 1u64.checked_shl(sinks as u32).map_or(u64::MAX, |bit| bit - 1), left: HashMap::new() }
    }

    /// A notice that every sink owes.
    pub fn add(&mut self, id: u64) {
        self.left.insert(id, self.all);
    }

    /// A sink has written these. Those that every sink has now.
    pub fn taken(&mut self, sink: usize, ids: Vec<u64>) -> Vec<u64> {
        let mut over = ids;
        over.retain(|id| {
            let Some(left) = self.left.get_mut(id) else { return false };
            *left &= !(1 << sink);
            *left == 0
        });
        for id in &over {
            self.left.remove(id);
        }
        over
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// In whatever order sinks report, a notice is over at the report of the last one, and once.
    #[test]
    fn a_notice_is_over_once_every_sink_has_it() {
        let mut rng = fastrand::Rng::with_seed(3);
        for sinks in 1..=3 {
            let mut owed = Owed::new(sinks);
            let mut reports: Vec<(usize, u64)> =
                (0..200).flat_map(|id| (0..sinks).map(move |s| (s, id))).collect();
            (0..200).for_each(|id| owed.add(id));
            rng.shuffle(&mut reports);
            let mut seen: HashMap<u64, usize> = HashMap::new();
            for (sink, id) in reports {
                let count = seen.entry(id).or_default();
                *count += 1;
                assert_eq!(owed.taken(sink, vec![id]), if *count == sinks { vec![id] } else { vec![] });
                assert!(owed.taken(sink, vec![id]).is_empty(), "said again");
            }
            assert!(owed.left.is_empty());
        }
    }
}

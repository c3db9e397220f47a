//! Tracks which sinks have not yet received which notices. It does no I/O.
use std::collections::HashMap;

/// Sinks are numbered from 0. At most 64 are supported, one bit each; the configuration allows two.
pub struct Owed {
    all: u64,
    left: HashMap<u64, u64>,
}

impl Owed {
    pub fn new(sinks: usize) -> Owed {
        Owed { all: 1u64.checked_shl(sinks as u32).map_or(u64::MAX, |bit| bit - 1), left: HashMap::new() }
    }

    /// Adds a notice that no sink has received yet.
    pub fn add(&mut self, id: u64) {
        self.left.insert(id, self.all);
    }

    /// Records that a sink has received these notices. Returns those that every sink has received now.
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

    /// In any order of acknowledgements, a notice is finished with the last sink's one, and only once.
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

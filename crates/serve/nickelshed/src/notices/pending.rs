//! Tracks which sinks have not yet received which notices. It does no I/O.
use std::collections::HashMap;

/// Sinks are numbered from 0. At most 64 are supported, one bit each; the configuration allows two.
pub struct PendingNotices {
    all_sinks: u64,
    /// By notice id: a bit for each sink that has not received the notice.
    missing: HashMap<u64, u64>,
}

impl PendingNotices {
    pub fn new(sinks: usize) -> PendingNotices {
        PendingNotices {
            all_sinks: 1u64.checked_shl(sinks as u32).map_or(u64::MAX, |bit| bit - 1),
            missing: HashMap::new(),
        }
    }

    /// Adds a notice that no sink has received yet.
    pub fn add(&mut self, id: u64) {
        self.missing.insert(id, self.all_sinks);
    }

    /// Records that a sink has received these notices. Returns those that every sink has received now.
    pub fn acknowledge(&mut self, sink: usize, ids: Vec<u64>) -> Vec<u64> {
        let mut delivered = ids;
        delivered.retain(|id| {
            let Some(missing) = self.missing.get_mut(id) else { return false };
            *missing &= !(1 << sink);
            *missing == 0
        });
        for id in &delivered {
            self.missing.remove(id);
        }
        delivered
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Whatever the order of acknowledgements, the last sink's one completes a notice, and does so only once.
    #[test]
    fn notice_is_delivered_once_every_sink_has_it() {
        let mut rng = fastrand::Rng::with_seed(3);
        for sinks in 1..=3 {
            let mut pending = PendingNotices::new(sinks);
            let mut acknowledgements: Vec<(usize, u64)> =
                (0..200).flat_map(|id| (0..sinks).map(move |s| (s, id))).collect();
            (0..200).for_each(|id| pending.add(id));
            rng.shuffle(&mut acknowledgements);
            let mut seen: HashMap<u64, usize> = HashMap::new();
            for (sink, id) in acknowledgements {
                let count = seen.entry(id).or_default();
                *count += 1;
                assert_eq!(
                    pending.acknowledge(sink, vec![id]),
                    if *count == sinks { vec![id] } else { vec![] }
                );
                assert!(pending.acknowledge(sink, vec![id]).is_empty(), "acknowledged again");
            }
            assert!(pending.missing.is_empty());
        }
    }
}

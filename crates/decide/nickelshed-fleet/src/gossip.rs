//! Queue of status updates that are piggybacked on other datagrams, each a bounded number of times (SWIM,
//! section 4.1).
use crate::member::MemberId;
use std::collections::{BTreeMap, BTreeSet};

/// Each update is sent this many times the base-two logarithm of the fleet size. Few members miss it then;
/// the exchange of digests reaches those that do.
const RETRANSMIT_MULTIPLIER: u32 = 3;

/// Members that have a status update to be sent, those sent least often first.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    transmissions: BTreeMap<MemberId, u32>,
    by_transmissions: BTreeSet<(u32, MemberId)>,
    /// Members whose metadata is to be sent as well.
    with_info: BTreeSet<MemberId>,
}

impl GossipQueue {
    /// Queues an update of this member, with its metadata if `with_info`. Its count of transmissions starts
    /// anew.
    pub fn add(&mut self, id: MemberId, with_info: bool) {
        if with_info {
            self.with_info.insert(id);
        }
        if let Some(count) = self.transmissions.insert(id, 0) {
            self.by_transmissions.remove(&(count, id));
        }
        self.by_transmissions.insert((0, id));
    }

    pub fn remove(&mut self, id: MemberId) {
        if let Some(count) = self.transmissions.remove(&id) {
            self.by_transmissions.remove(&(count, id));
            self.with_info.remove(&id);
        }
    }

    /// Returns the members whose updates to send next, and whether with their metadata.
    pub fn candidates(&self) -> impl Iterator<Item = (MemberId, bool)> + '_ {
        self.by_transmissions.iter().map(|&(_, id)| (id, self.with_info.contains(&id)))
    }

    /// Counts one more transmission, in a fleet of this many members; removes the update after the last one.
    pub fn record_transmission(&mut self, id: MemberId, members: usize) {
        let Some(count) = self.transmissions.get_mut(&id) else { return };
        self.by_transmissions.remove(&(*count, id));
        *count += 1;
        if *count >= max_transmissions(members) {
            self.transmissions.remove(&id);
            self.with_info.remove(&id);
        } else {
            self.by_transmissions.insert((*count, id));
        }
    }
}

fn max_transmissions(members: usize) -> u32 {
    RETRANSMIT_MULTIPLIER * (usize::BITS - members.max(1).leading_zeros())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_update_is_sent_a_bounded_number_of_times_newest_first() {
        let mut gossip = GossipQueue::default();
        gossip.add(MemberId(1), false);
        for _ in 0..3 {
            gossip.record_transmission(MemberId(1), 50);
        }
        gossip.add(MemberId(2), true);
        assert_eq!(gossip.candidates().collect::<Vec<_>>(), [(MemberId(2), true), (MemberId(1), false)]);
        let mut total = 0;
        loop {
            let first = gossip.candidates().next();
            let Some((id, _)) = first else { break };
            gossip.record_transmission(id, 50);
            total += 1;
        }
        assert_eq!(total, 2 * max_transmissions(50) - 3);
    }
}

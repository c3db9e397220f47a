//! What is new, carried on other datagrams, each piece a bounded number of times (SWIM, section 4.1).
use crate::member::Id;
use std::collections::{BTreeMap, BTreeSet};

/// Each piece is carried so many times the logarithm (base two) of the fleet's size: enough that one who is not reached
/// is rare; that none is missed for good is for the exchange of digests.
const TIMES: u32 = 3;

/// Members that there is news of, those carried least often first.
#[derive(Clone, Debug, Default)]
pub struct Rumours {
    carried: BTreeMap<Id, u32>,
    order: BTreeSet<(u32, Id)>,
    /// Those whose facts are new as well.
    whole: BTreeSet<Id>,
}

impl Rumours {
    /// There is news of this member, of its facts too if `whole`; what was carried of it before is old.
    pub fn add(&mut self, id: Id, whole: bool) {
        if whole {
            self.whole.insert(id);
        }
        if let Some(times) = self.carried.insert(id, 0) {
            self.order.remove(&(times, id));
        }
        self.order.insert((0, id));
    }

    pub fn remove(&mut self, id: Id) {
        if let Some(times) = self.carried.remove(&id) {
            self.order.remove(&(times, id));
            self.whole.remove(&id);
        }
    }

    /// Those that should be carried next, and whether with their facts.
    pub fn next(&self) -> impl Iterator<Item = (Id, bool)> + '_ {
        self.order.iter().map(|&(_, id)| (id, self.whole.contains(&id)))
    }

    /// It was carried once more, in a fleet of so many.
    pub fn carried(&mut self, id: Id, members: usize) {
        let Some(times) = self.carried.get_mut(&id) else { return };
        self.order.remove(&(*times, id));
        *times += 1;
        if *times >= most(members) {
            self.carried.remove(&id);
            self.whole.remove(&id);
        } else {
            self.order.insert((*times, id));
        }
    }
}

fn most(members: usize) -> u32 {
    TIMES * (usize::BITS - members.max(1).leading_zeros())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_piece_is_carried_a_bounded_number_of_times_and_the_newest_first() {
        let mut rumours = Rumours::default();
        rumours.add(Id(1), false);
        for _ in 0..3 {
            rumours.carried(Id(1), 50);
        }
        rumours.add(Id(2), true);
        assert_eq!(rumours.next().collect::<Vec<_>>(), [(Id(2), true), (Id(1), false)]);
        let mut times = 0;
        loop {
            let first = rumours.next().next();
            let Some((id, _)) = first else { break };
            rumours.carried(id, 50);
            times += 1;
        }
        assert_eq!(times, 2 * most(50) - 3);
    }
}

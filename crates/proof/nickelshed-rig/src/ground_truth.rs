//! The actual state of a simulated fleet, regardless of the views of its members: which processes run, and
//! which members can reach one another.
use nickelshed_fleet::Ns;
use std::collections::{BTreeMap, BTreeSet};

/// Members that could reach one another for this long must not declare each other failed.
const STABLE_AFTER: Ns = 12_000_000_000;

#[derive(Debug, Default)]
pub struct GroundTruth {
    running: BTreeSet<usize>,
    stalled: BTreeSet<usize>,
    /// Pairs of sender and recipient whose datagrams are lost.
    cuts: BTreeSet<(usize, usize)>,
    /// Lowest number among the members that each running member can reach, also through others.
    component: BTreeMap<usize, usize>,
    /// When a member last started, stalled, resumed or changed its component.
    stable_since: BTreeMap<usize, Ns>,
}

impl GroundTruth {
    pub fn start(&mut self, number: usize, now: Ns) {
        self.running.insert(number);
        self.stalled.remove(&number);
        self.stable_since.insert(number, now);
        self.update_components(now);
    }

    pub fn end(&mut self, number: usize, now: Ns) {
        self.running.remove(&number);
        self.stalled.remove(&number);
        self.update_components(now);
    }

    pub fn stall(&mut self, number: usize, now: Ns) {
        self.stalled.insert(number);
        self.stable_since.insert(number, now);
        self.update_components(now);
    }

    pub fn resume(&mut self, number: usize, now: Ns) {
        self.stalled.remove(&number);
        self.stable_since.insert(number, now);
        self.update_components(now);
    }

    /// Sets the pairs of sender and recipient whose datagrams are lost.
    pub fn set_cuts(&mut self, cuts: BTreeSet<(usize, usize)>, now: Ns) {
        if cuts != self.cuts {
            self.cuts = cuts;
            self.update_components(now);
        }
    }

    #[must_use]
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// Returns whether a member receives from others but has a two-way connection to none of them. It may
    /// then list them as present or not.
    #[must_use]
    pub fn is_receive_only(&self, number: usize) -> bool {
        let is_alone = self
            .component
            .values()
            .filter(|component| self.component.get(&number) == Some(*component))
            .count()
            == 1;
        is_alone
            && self.component.keys().any(|&other| other != number && !self.cuts.contains(&(other, number)))
    }

    /// Returns all members that a member can reach, itself included; a stalled one reaches no other.
    pub fn reachable_from(&self, number: usize) -> impl Iterator<Item = usize> + '_ {
        let own_component = self.component.get(&number).copied();
        self.component
            .iter()
            .filter(move |(other, component)| Some(**component) == own_component || **other == number)
            .map(|(other, _)| *other)
    }

    /// Returns whether both members have run and reached each other for at least `STABLE_AFTER`, so that
    /// neither may declare the other failed.
    #[must_use]
    pub fn were_long_connected(&self, a: usize, b: usize, now: Ns) -> bool {
        let is_stable = |n: usize| self.stable_since.get(&n).is_some_and(|at| now - at >= STABLE_AFTER);
        let (of_a, of_b) = (self.component.get(&a), self.component.get(&b));
        of_a.is_some() && of_a == of_b && is_stable(a) && is_stable(b)
    }

    /// Recomputes which members reach one another in both directions, directly or through others.
    fn update_components(&mut self, now: Ns) {
        let responsive: Vec<usize> = self.running.difference(&self.stalled).copied().collect();
        let mut component: BTreeMap<usize, usize> = BTreeMap::new();
        for &first in &responsive {
            if component.contains_key(&first) {
                continue;
            }
            let mut pending = vec![first];
            component.insert(first, first);
            while let Some(from) = pending.pop() {
                for &to in &responsive {
                    let connected = !self.cuts.contains(&(from, to)) && !self.cuts.contains(&(to, from));
                    if connected && !component.contains_key(&to) {
                        component.insert(to, first);
                        pending.push(to);
                    }
                }
            }
        }
        for (&number, component_of) in &component {
            if self.component.get(&number) != Some(component_of) {
                self.stable_since.insert(number, now);
            }
        }
        self.component = component;
    }
}

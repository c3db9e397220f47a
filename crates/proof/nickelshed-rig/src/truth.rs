//! What is so, whatever members believe: who runs, and who can reach whom.
use nickelshed_fleet::Ns;
use std::collections::{BTreeMap, BTreeSet};

/// Two that could reach one another for so long have no reason to hold one another for gone.
const STABLE_AFTER: Ns = 12_000_000_000;

#[derive(Debug, Default)]
pub struct GroundTruth {
    running: BTreeSet<usize>,
    stalled: BTreeSet<usize>,
    cuts: BTreeSet<(usize, usize)>,
    /// The lowest number that each running member can reach, over helpers too.
    component: BTreeMap<usize, usize>,
    /// Since when a member is where it is.
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

    /// What one sends another is lost, for each of these pairs.
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

    /// Whether it hears others that do not hear it: it may hold them for present or not.
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

    /// All that a member can reach, itself too; one that stands still reaches nobody.
    pub fn reachable_from(&self, number: usize) -> impl Iterator<Item = usize> + '_ {
        let own_component = self.component.get(&number).copied();
        self.component
            .iter()
            .filter(move |(other, component)| Some(**component) == own_component || **other == number)
            .map(|(other, _)| *other)
    }

    /// Whether both ran within reach of one another for so long that neither may hold the other for gone.
    #[must_use]
    pub fn were_long_connected(&self, a: usize, b: usize, now: Ns) -> bool {
        let is_stable = |n: usize| self.stable_since.get(&n).is_some_and(|at| now - at >= STABLE_AFTER);
        let (of_a, of_b) = (self.component.get(&a), self.component.get(&b));
        of_a.is_some() && of_a == of_b && is_stable(a) && is_stable(b)
    }

    /// Those that reach one another both ways, directly or over others.
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

//! What is so, whatever members believe: who runs, and who can reach whom.
use nickelshed_fleet::Ns;
use std::collections::{BTreeMap, BTreeSet};

/// Two that could reach one another for so long have no reason to hold one another for gone.
const LONG: Ns = 12_000_000_000;

#[derive(Debug, Default)]
pub struct Truth {
    running: BTreeSet<usize>,
    stopped: BTreeSet<usize>,
    cut: BTreeSet<(usize, usize)>,
    /// The lowest number that each running member can reach, over helpers too.
    component: BTreeMap<usize, usize>,
    /// Since when a member is where it is.
    since: BTreeMap<usize, Ns>,
}

impl Truth {
    pub fn start(&mut self, number: usize, now: Ns) {
        self.running.insert(number);
        self.stopped.remove(&number);
        self.since.insert(number, now);
        self.join(now);
    }

    pub fn end(&mut self, number: usize, now: Ns) {
        self.running.remove(&number);
        self.stopped.remove(&number);
        self.join(now);
    }

    pub fn stop(&mut self, number: usize, now: Ns) {
        self.stopped.insert(number);
        self.since.insert(number, now);
        self.join(now);
    }

    pub fn resume(&mut self, number: usize, now: Ns) {
        self.stopped.remove(&number);
        self.since.insert(number, now);
        self.join(now);
    }

    /// What one sends another is lost, for each of these pairs.
    pub fn cut(&mut self, cut: BTreeSet<(usize, usize)>, now: Ns) {
        if cut != self.cut {
            self.cut = cut;
            self.join(now);
        }
    }

    #[must_use]
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.contains(&(from, to))
    }

    /// Whether it hears others that do not hear it: it may hold them for present or not.
    #[must_use]
    pub fn only_hears(&self, number: usize) -> bool {
        let alone = self.component.values().filter(|c| self.component.get(&number) == Some(*c)).count() == 1;
        alone && self.component.keys().any(|&n| n != number && !self.cut.contains(&(n, number)))
    }

    /// All that a member can reach, itself too; one that stands still reaches nobody.
    pub fn reached_by(&self, number: usize) -> impl Iterator<Item = usize> + '_ {
        let own = self.component.get(&number).copied();
        self.component.iter().filter(move |(n, c)| Some(**c) == own || **n == number).map(|(n, _)| *n)
    }

    /// Whether both ran within reach of one another for so long that neither may hold the other for gone.
    #[must_use]
    pub fn has_long_reached(&self, a: usize, b: usize, now: Ns) -> bool {
        let long = |n: usize| self.since.get(&n).is_some_and(|at| now - at >= LONG);
        let (of_a, of_b) = (self.component.get(&a), self.component.get(&b));
        of_a.is_some() && of_a == of_b && long(a) && long(b)
    }

    /// Those that reach one another both ways, directly or over others.
    fn join(&mut self, now: Ns) {
        let alive: Vec<usize> = self.running.difference(&self.stopped).copied().collect();
        let mut component: BTreeMap<usize, usize> = BTreeMap::new();
        for &first in &alive {
            if component.contains_key(&first) {
                continue;
            }
            let mut front = vec![first];
            component.insert(first, first);
            while let Some(a) = front.pop() {
                for &b in &alive {
                    let joined = !self.cut.contains(&(a, b)) && !self.cut.contains(&(b, a));
                    if joined && !component.contains_key(&b) {
                        component.insert(b, first);
                        front.push(b);
                    }
                }
            }
        }
        for (&number, of) in &component {
            if self.component.get(&number) != Some(of) {
                self.since.insert(number, now);
            }
        }
        self.component = component;
    }
}

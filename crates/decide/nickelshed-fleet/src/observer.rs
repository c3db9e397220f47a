//! One that looks at a fleet and counts nowhere in it: it asks a member for its view, piece by piece, and says nothing of
//! itself.
use crate::datagram::{read, Dropped, Kind, Part, Seal, Writer};
use crate::member::{Claim, Facts, Id};
use crate::random::Random;
use crate::view::{Member, View};

/// The view of one member, as far as it has been told.
pub struct Observer {
    seal: Seal,
    view: View,
    random: Random,
    /// The mark of the member's whole view when it last answered.
    root: Option<u64>,
}

/// What was told of one member.
#[derive(Clone, Debug)]
pub struct Told {
    pub claim: Claim,
    pub facts: Facts,
    /// For how many seconds it has been in its state, in the view that was asked for.
    pub age: u16,
}

impl Observer {
    #[must_use]
    pub fn new(seal: Seal, seed: u64) -> Observer {
        Observer { seal, view: View::default(), random: Random::new(seed), root: None }
    }

    /// Two datagrams: who answers there, and what is still missing of its view.
    pub fn ask(&mut self) -> [Vec<u8>; 2] {
        let mut ping = Writer::new(Kind::Ping);
        ping.target(Id::NOBODY);
        let mut marks = Writer::new(Kind::Sync);
        marks.marks(&self.view.marks(Part::default(), self.random.draw() as u32, None));
        [ping.end(&self.seal), marks.end(&self.seal)]
    }

    /// Takes an answer. A member that asks back for the marks of a part is answered by the next `ask`'s; so much of a large
    /// view is told at once.
    ///
    /// # Errors
    /// Why it is none of this fleet's.
    pub fn hear(&mut self, bytes: &[u8]) -> Result<Vec<Vec<u8>>, Dropped> {
        let d = read(bytes, &self.seal)?;
        for whole in &d.whole {
            let known = self.view.get(whole.claim.id).is_some_and(|m| m.claim >= whole.claim);
            if !known {
                let (claim, facts) = (whole.claim, whole.facts.clone());
                let since = -i64::from(whole.age);
                let (heard, load) = (None, 0);
                self.view.put(Member { claim, facts, since, heard, load, suspicion: None, faded: false });
            }
        }
        let mut wants = Writer::new(Kind::Sync);
        let mut any = false;
        for news in &d.news {
            match self.view.get(news.claim.id).cloned() {
                Some(m) if m.claim.incarnation.is_same_life(news.claim.incarnation) => {
                    if news.claim > m.claim {
                        self.view.put(Member { claim: news.claim, ..m });
                    }
                }
                _ => any |= wants.want(news.claim.id),
            }
        }
        // It has parted a part: its children are compared as a member would.
        for theirs in &d.marks {
            any |= wants.marks(&self.view.marks(theirs.part, theirs.salt, None));
        }
        self.root = d.root.or(self.root);
        Ok(if any { vec![wants.end(&self.seal)] } else { Vec::new() })
    }

    /// Whether all of the member's view has been told.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.root == Some(self.view.root())
    }

    /// The mark of the member's whole view, once it has answered.
    #[must_use]
    pub fn root(&self) -> Option<u64> {
        self.root
    }

    /// All that was told, by name.
    #[must_use]
    pub fn told(&self) -> Vec<Told> {
        let told = |m: &Member| Told { claim: m.claim, facts: m.facts.clone(), age: (-m.since) as u16 };
        let mut all: Vec<Told> = self.view.iter().map(told).collect();
        all.sort_by(|a, b| a.facts.name.cmp(&b.facts.name));
        all
    }
}

//! The records of all members, and what of them two views have to compare.
use crate::datagram::{Marks, Part, CHILDREN};
use crate::member::{mark, Claim, Facts, Id, State};
use crate::suspicion::Suspicion;
use crate::Ns;
use std::collections::BTreeMap;

/// What is held of one other member.
#[derive(Clone, Debug)]
pub struct Member {
    pub claim: Claim,
    pub facts: Facts,
    /// Since when it is in this state here.
    pub since: Ns,
    /// When a datagram of its own came last, and what it said of its load.
    pub heard: Option<Ns>,
    pub load: u8,
    pub suspicion: Option<Suspicion>,
    /// Gone for so long that others are no longer told of it.
    pub faded: bool,
}

impl Member {
    /// Whether it is part of what two views compare.
    #[must_use]
    pub fn is_told(&self) -> bool {
        !self.faded && self.claim.state != State::Left
    }

    fn mark(&self, salt: u64) -> u64 {
        if self.faded {
            0
        } else {
            mark(&self.claim, salt)
        }
    }
}

/// Members by id, with the mark of all that are told of kept as they change.
#[derive(Clone, Debug, Default)]
pub struct View {
    members: BTreeMap<Id, Member>,
    root: u64,
    present: usize,
}

impl View {
    #[must_use]
    pub fn get(&self, id: Id) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Everything but its claim, which only `put` changes.
    pub fn touch(&mut self, id: Id, change: impl FnOnce(&mut Member)) {
        if let Some(member) = self.members.get_mut(&id) {
            let claim = member.claim;
            change(member);
            member.claim = claim;
        }
    }

    pub fn put(&mut self, member: Member) {
        let claim = member.claim;
        self.leave(claim.id);
        self.root = self.root.wrapping_add(member.mark(0));
        self.present += usize::from(claim.state.is_present());
        self.members.insert(claim.id, member);
    }

    pub fn remove(&mut self, id: Id) {
        self.leave(id);
        self.members.remove(&id);
    }

    fn leave(&mut self, id: Id) {
        if let Some(old) = self.members.get(&id) {
            self.root = self.root.wrapping_sub(old.mark(0));
            self.present -= usize::from(old.claim.state.is_present());
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = &Member> + '_ {
        self.members.values()
    }

    /// How many are present.
    #[must_use]
    pub fn present(&self) -> usize {
        self.present
    }

    /// The mark of all that are told of; the holder adds its own.
    #[must_use]
    pub fn root(&self) -> u64 {
        self.root
    }

    /// Those of a part that are told of: present ones and gone ones.
    pub fn in_part(&self, part: Part) -> impl Iterator<Item = &Member> + '_ {
        self.members.values().filter(move |m| m.is_told() && part.holds(m.claim.id))
    }

    /// The marks of a part's children, with one claim more: the holder's own, if it is a member.
    #[must_use]
    pub fn marks(&self, part: Part, salt: u32, own: Option<&Claim>) -> Marks {
        let mut of = [0u32; CHILDREN];
        let claims = self.in_part(part).map(|m| &m.claim);
        for claim in claims.chain(own.filter(|c| part.holds(c.id))) {
            let mark = mark(claim, u64::from(salt) | 1 << 40);
            let child = &mut of[part.child_of(claim.id)];
            *child = child.wrapping_add((mark ^ mark >> 32) as u32);
        }
        Marks { part, salt, of }
    }
}

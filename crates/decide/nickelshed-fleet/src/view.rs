//! The records of all other members, and the digests by which two views are compared.
use crate::datagram::{ChildDigests, IdPrefix, CHILDREN_PER_PREFIX};
use crate::member::{digest, MemberId, MemberInfo, MemberStatus, State};
use crate::suspicion::Suspicion;
use crate::Ns;
use std::collections::BTreeMap;

/// Record of one other member.
#[derive(Clone, Debug)]
pub struct Member {
    pub status: MemberStatus,
    pub info: MemberInfo,
    /// When it entered its state in this view.
    pub state_since: Ns,
    /// When its last own datagram arrived; `None` if its process run has sent none to this member.
    pub last_contact: Option<Ns>,
    /// Load in 255ths of its capacity, as that datagram reported it; 0 before the first one.
    pub load: u8,
    pub suspicion: Option<Suspicion>,
    /// Not present for so long that it is no longer advertised to other members.
    pub expired: bool,
}

impl Member {
    /// Returns whether it is among the members that two views compare.
    #[must_use]
    pub fn is_advertised(&self) -> bool {
        !self.expired && self.status.state != State::Left
    }

    fn digest(&self, salt: u64) -> u64 {
        if self.expired {
            0
        } else {
            digest(&self.status, salt)
        }
    }
}

/// Members by id. The digest of all advertised members is kept up to date as they change.
#[derive(Clone, Debug, Default)]
pub struct View {
    members: BTreeMap<MemberId, Member>,
    digest: u64,
    present_count: usize,
}

impl View {
    #[must_use]
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Changes a record except for its status, which only `upsert` may change, as the digest depends on it.
    pub fn update(&mut self, id: MemberId, change: impl FnOnce(&mut Member)) {
        if let Some(member) = self.members.get_mut(&id) {
            let status = member.status;
            change(member);
            member.status = status;
        }
    }

    /// Adds or replaces a record.
    pub fn upsert(&mut self, member: Member) {
        let status = member.status;
        self.subtract(status.id);
        self.digest = self.digest.wrapping_add(member.digest(0));
        self.present_count += usize::from(status.state.is_present());
        self.members.insert(status.id, member);
    }

    pub fn remove(&mut self, id: MemberId) {
        self.subtract(id);
        self.members.remove(&id);
    }

    fn subtract(&mut self, id: MemberId) {
        if let Some(previous) = self.members.get(&id) {
            self.digest = self.digest.wrapping_sub(previous.digest(0));
            self.present_count -= usize::from(previous.status.state.is_present());
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = &Member> + '_ {
        self.members.values()
    }

    /// Number of present members, suspects included.
    #[must_use]
    pub fn present_count(&self) -> usize {
        self.present_count
    }

    /// Digest of all advertised members; the member that holds the view adds its own status.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the advertised members with this prefix, present and failed ones.
    pub fn advertised_in(&self, prefix: IdPrefix) -> impl Iterator<Item = &Member> + '_ {
        self.members
            .values()
            .filter(move |member| member.is_advertised() && prefix.contains(member.status.id))
    }

    /// Returns the digests of the prefix's children. `own` is the status of the member that holds the view;
    /// an observer has none.
    #[must_use]
    pub fn child_digests(&self, prefix: IdPrefix, salt: u32, own: Option<&MemberStatus>) -> ChildDigests {
        let mut digests = [0u32; CHILDREN_PER_PREFIX];
        let statuses = self.advertised_in(prefix).map(|member| &member.status);
        for status in statuses.chain(own.filter(|status| prefix.contains(status.id))) {
            let digest = digest(status, u64::from(salt) | 1 << 40);
            let child = &mut digests[prefix.child_index(status.id)];
            *child = child.wrapping_add((digest ^ digest >> 32) as u32);
        }
        ChildDigests { prefix, salt, digests }
    }
}

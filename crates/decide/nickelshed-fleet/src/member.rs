//! Identity, metadata and status of a member, and the order that decides which of two statuses holds.
use std::net::SocketAddr;

/// Limits on name and site, so that two full member records always fit into one datagram.
pub const MAX_NAME_BYTES: usize = 32;
pub const MAX_SITE_BYTES: usize = 16;

/// The first 64 bits of the hash of a member's name. Zero is the id of no member: as the target of a ping it
/// stands for any member, and as a recipient for an observer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u64);

impl MemberId {
    pub const UNSPECIFIED: MemberId = MemberId(0);

    #[must_use]
    pub fn from_name(name: &str) -> MemberId {
        let hash = blake3::hash(name.as_bytes());
        let first_bytes = hash.as_bytes()[..8].try_into().expect("a hash has 32 bytes");
        MemberId(u64::from_le_bytes(first_bytes).max(1))
    }

    /// Returns 32 bits that tell the reporters of one suspect apart.
    #[must_use]
    pub fn short_id(self) -> u32 {
        (self.0 ^ self.0 >> 32) as u32
    }
}

/// What stays the same for one process run of a member with one set of settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberInfo {
    /// At most [`MAX_NAME_BYTES`] bytes.
    pub name: String,
    pub address: SocketAddr,
    /// At most [`MAX_SITE_BYTES`] bytes.
    pub site: String,
    /// Major, minor and patch version of the program.
    pub version: [u16; 3],
    /// Shortened digest of the settings.
    pub settings: u32,
}

/// Orders the process runs and refutations of one member. The greater incarnation is the later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// Persisted in the state folder; rises with each start and each change of the settings.
    pub start_number: u32,
    /// Random number of the process, to tell apart two processes that use the same start number.
    pub nonce: u32,
    /// Rises with each refutation by the member (the incarnation number of SWIM, section 4.2).
    pub number: u32,
}

impl Incarnation {
    /// Returns whether both belong to one process run with one set of settings, regardless of refutations.
    #[must_use]
    pub fn is_same_run(self, other: Incarnation) -> bool {
        (self.start_number, self.nonce) == (other.start_number, other.nonce)
    }
}

/// State of a member in a view. Within one incarnation a later variant overrides an earlier one; only the
/// member itself starts a new incarnation (SWIM, section 4.2, order of messages).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Present, but does not know all other members yet.
    Joining,
    Alive,
    /// Did not answer a recent probe; it can still refute the suspicion.
    Suspect,
    /// Declared failed; written out as `gone`.
    Failed,
    /// Announced that it leaves.
    Left,
}

impl State {
    #[must_use]
    pub fn is_present(self) -> bool {
        self <= State::Suspect
    }

    #[must_use]
    pub fn from_byte(byte: u8) -> Option<State> {
        [State::Joining, State::Alive, State::Suspect, State::Failed, State::Left].get(byte as usize).copied()
    }

    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            State::Joining => "joining",
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Failed => "gone",
            State::Left => "left",
        }
    }
}

/// Status of a member, without its metadata. Of two statuses the greater one holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberStatus {
    pub id: MemberId,
    pub incarnation: Incarnation,
    pub state: State,
}

/// Hashes the part of a status in which two views may differ: whether the member is present or failed, and in
/// which incarnation. Statuses that differ only by a suspicion hash alike, because the set of present members
/// is the same. A member that left is in neither set and hashes to zero.
#[must_use]
pub fn digest(status: &MemberStatus, salt: u64) -> u64 {
    if status.state == State::Left {
        return 0;
    }
    let incarnation = status.incarnation;
    let mut hash = salt ^ status.id.0;
    let number_and_presence = u64::from(incarnation.number) << 1 | u64::from(status.state.is_present());
    for input in
        [u64::from(incarnation.start_number) << 32 | u64::from(incarnation.nonce), number_and_presence]
    {
        // The finalizer of splitmix64.
        hash = (hash ^ input).wrapping_add(0x9e37_79b9_7f4a_7c15);
        hash = (hash ^ hash >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash = (hash ^ hash >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        hash ^= hash >> 31;
    }
    hash.max(1)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn newer_incarnation_overrides_any_state_and_later_state_overrides_earlier() {
        let status = |start_number, number, state| MemberStatus {
            id: MemberId(7),
            incarnation: Incarnation { start_number, nonce: 9, number },
            state,
        };
        let ascending = [
            status(1, 0, State::Joining),
            status(1, 0, State::Alive),
            status(1, 0, State::Suspect),
            status(1, 0, State::Failed),
            status(1, 0, State::Left),
            status(1, 1, State::Alive),
            status(2, 0, State::Joining),
        ];
        assert!(ascending.windows(2).all(|pair| pair[0] < pair[1]));
    }

    #[test]
    fn digest_covers_present_and_failed_members_but_not_those_that_left() {
        let in_state = |state| MemberStatus { id: MemberId(7), incarnation: Incarnation::default(), state };
        assert_eq!(digest(&in_state(State::Left), 0), 0);
        assert_ne!(digest(&in_state(State::Failed), 0), digest(&in_state(State::Alive), 0));
        assert_eq!(digest(&in_state(State::Alive), 0), digest(&in_state(State::Suspect), 0));
        assert_ne!(digest(&in_state(State::Alive), 0), digest(&in_state(State::Alive), 1));
    }
}

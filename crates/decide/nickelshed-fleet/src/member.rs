//! A member as others know it, and the one order by which two things said of it are compared.
use std::net::SocketAddr;

/// Names and sites are at most so many bytes, so that two whole records always fit into a datagram.
pub const MAX_NAME_BYTES: usize = 32;
pub const MAX_SITE_BYTES: usize = 16;

/// A member's name in short: 64 bits of its hash. Nought is nobody's: it stands for whoever is asked, and for an
/// observer.
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

    /// Enough to tell accusers of one member apart.
    #[must_use]
    pub fn short_id(self) -> u32 {
        (self.0 ^ self.0 >> 32) as u32
    }
}

/// What is true of a member for the whole life of one of its processes with one set of settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberInfo {
    /// At most [`MOST_NAME`] bytes.
    pub name: String,
    pub address: SocketAddr,
    /// At most [`MOST_SITE`] bytes.
    pub site: String,
    /// Major, minor and patch of its program.
    pub version: [u16; 3],
    /// Of its settings, shortened.
    pub settings: u32,
}

/// Which life of a name is spoken of. A greater one is a later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// Kept in the state folder; rises with each start and each change of the settings.
    pub start_number: u32,
    /// Drawn by the process, so that two that claim one start are told apart.
    pub nonce: u32,
    /// Rises each time the member refutes what is said of it (SWIM, section 4.2: the incarnation number).
    pub number: u32,
}

impl Incarnation {
    /// Whether both are of one process, whatever it has refuted meanwhile.
    #[must_use]
    pub fn is_same_run(self, other: Incarnation) -> bool {
        (self.start_number, self.nonce) == (other.start_number, other.nonce)
    }
}

/// What is held of a member. Within one incarnation a later state overrides an earlier one; only the member itself
/// begins another incarnation (SWIM, section 4.2, the order of its messages).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It is there, and does not know all others yet.
    Joining,
    Alive,
    /// It answered nobody who asked lately; it can still say otherwise.
    Suspect,
    Failed,
    /// It said itself that it ends.
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

/// What is said of a member, without its facts. Of two claims the greater holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberStatus {
    pub id: MemberId,
    pub incarnation: Incarnation,
    pub state: State,
}

/// Spreads the bits of what tells two views apart: who is present or gone, in which incarnation. Claims that differ only
/// in whether somebody doubts them are one here, as the set is the same; one that left on purpose is in no set.
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

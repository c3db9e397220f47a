//! A member as others know it, and the one order by which two things said of it are compared.
use std::net::SocketAddr;

/// Names and sites are at most so many bytes, so that two whole records always fit into a datagram.
pub const MOST_NAME: usize = 32;
pub const MOST_SITE: usize = 16;

/// A member's name in short: 64 bits of its hash. Nought is nobody's: it stands for whoever is asked, and for an
/// observer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

impl Id {
    pub const NOBODY: Id = Id(0);

    #[must_use]
    pub fn of(name: &str) -> Id {
        let hash = blake3::hash(name.as_bytes());
        let first = hash.as_bytes()[..8].try_into().expect("a hash has 32 bytes");
        Id(u64::from_le_bytes(first).max(1))
    }

    /// Enough to tell accusers of one member apart.
    #[must_use]
    pub fn short(self) -> u32 {
        (self.0 ^ self.0 >> 32) as u32
    }
}

/// What is true of a member for the whole life of one of its processes with one set of settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Facts {
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
    pub start: u32,
    /// Drawn by the process, so that two that claim one start are told apart.
    pub nonce: u32,
    /// Rises each time the member refutes what is said of it (SWIM, section 4.2: the incarnation number).
    pub word: u32,
}

impl Incarnation {
    /// Whether both are of one process, whatever it has refuted meanwhile.
    #[must_use]
    pub fn is_same_life(self, other: Incarnation) -> bool {
        (self.start, self.nonce) == (other.start, other.nonce)
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
    Gone,
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
        [State::Joining, State::Alive, State::Suspect, State::Gone, State::Left].get(byte as usize).copied()
    }

    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            State::Joining => "joining",
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Gone => "gone",
            State::Left => "left",
        }
    }
}

/// What is said of a member, without its facts. Of two claims the greater holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Claim {
    pub id: Id,
    pub incarnation: Incarnation,
    pub state: State,
}

/// Spreads the bits of what tells two views apart: who is present or gone, in which incarnation. Claims that differ only
/// in whether somebody doubts them are one here, as the set is the same; one that left on purpose is in no set.
#[must_use]
pub fn mark(claim: &Claim, salt: u64) -> u64 {
    if claim.state == State::Left {
        return 0;
    }
    let i = claim.incarnation;
    let mut x = salt ^ claim.id.0;
    let word = u64::from(i.word) << 1 | u64::from(claim.state.is_present());
    for part in [u64::from(i.start) << 32 | u64::from(i.nonce), word] {
        // The finalizer of splitmix64.
        x = (x ^ part).wrapping_add(0x9e37_79b9_7f4a_7c15);
        x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^= x >> 31;
    }
    x.max(1)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_later_life_wins_over_any_state_and_a_state_over_those_before_it() {
        let claim = |start, word, state| Claim {
            id: Id(7),
            incarnation: Incarnation { start, nonce: 9, word },
            state,
        };
        let rising = [
            claim(1, 0, State::Joining),
            claim(1, 0, State::Alive),
            claim(1, 0, State::Suspect),
            claim(1, 0, State::Gone),
            claim(1, 0, State::Left),
            claim(1, 1, State::Alive),
            claim(2, 0, State::Joining),
        ];
        assert!(rising.windows(2).all(|w| w[0] < w[1]));
    }

    #[test]
    fn who_is_present_and_who_is_gone_count_in_a_mark_and_who_left_does_not() {
        let with = |state| Claim { id: Id(7), incarnation: Incarnation::default(), state };
        assert_eq!(mark(&with(State::Left), 0), 0);
        assert_ne!(mark(&with(State::Gone), 0), mark(&with(State::Alive), 0));
        assert_eq!(mark(&with(State::Alive), 0), mark(&with(State::Suspect), 0));
        assert_ne!(mark(&with(State::Alive), 0), mark(&with(State::Alive), 1));
    }
}

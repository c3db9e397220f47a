//! Random numbers of one member, all derived from the seed that it is given, so that a run can be repeated.
use crate::Ns;

/// The generator splitmix64.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    #[must_use]
    pub fn new(seed: u64) -> Random {
        Random(seed)
    }

    /// Returns the next number of splitmix64.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ x >> 31
    }

    /// Returns a number from zero up to, not including, `bound`; zero if `bound` is not positive.
    pub fn below(&mut self, bound: Ns) -> Ns {
        (self.next_u64() % bound.max(1) as u64) as Ns
    }

    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for index in (1..items.len()).rev() {
            let other = self.below(index as Ns + 1) as usize;
            items.swap(index, other);
        }
    }

    /// Returns true with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        ((self.next_u64() >> 11) as f64 / (1u64 << 53) as f64) < probability
    }
}

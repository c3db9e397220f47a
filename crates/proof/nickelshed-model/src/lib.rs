//! The systems that a sender serves, as pure state: customer systems, their limits, queues, outages and cold returns, and
//! the clients that hand messages in. Time is handed in, random numbers come from streams of a seed; no I/O.
mod draw;
mod scenario;
mod soonest;
mod system;
mod traffic;

pub use draw::{random_large_scenario, random_scenario};
pub use scenario::{FaultKind, InjectedFault, Scenario, TrafficClass};
pub use soonest::oracle;
pub use system::{CallMessage, CallOutcome, CallResult, SimulatedDestination};
pub use traffic::{arrivals, traffic_shares, Arrival};

use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

/// Microseconds since the start of the day.
pub type Us = u64;
pub type Random = ChaCha12Rng;

/// A stream of random numbers of its own for each part of a day: what one part draws changes nothing for the others.
pub fn random_stream(seed: u64, part: u64) -> Random {
    let mut random = ChaCha12Rng::seed_from_u64(seed);
    random.set_stream(part);
    random
}

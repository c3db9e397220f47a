//! Simulated destinations, the clients that submit messages, and their traffic, as pure state: limits,
//! queues, outages and slow starts. The caller passes in the time; random numbers come from seeded streams.
//! Does no I/O.
mod destination;
mod oracle;
mod random_scenario;
mod scenario;
mod traffic;

pub use destination::{CallMessage, CallOutcome, CallResult, SimulatedDestination};
pub use oracle::oracle;
pub use random_scenario::{random_large_scenario, random_scenario};
pub use scenario::{FaultKind, InjectedFault, Scenario, TrafficClass};
pub use traffic::{arrivals, traffic_shares, Arrival};

use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

/// Microseconds since the start of the run.
pub type Us = u64;
pub type Random = ChaCha12Rng;

/// Returns random stream `number` of a seed. Each part of a run draws from a stream of its own, so that the
/// draws of one part do not affect the others.
pub fn random_stream(seed: u64, number: u64) -> Random {
    let mut random = ChaCha12Rng::seed_from_u64(seed);
    random.set_stream(number);
    random
}

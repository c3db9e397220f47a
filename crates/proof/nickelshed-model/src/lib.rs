//! The model of a run: scenarios, the messages that clients submit, and simulated destinations with their
//! limits, queues, outages and slow starts. Does no I/O; the caller passes in the time, and random numbers
//! come from seeded streams.
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
/// Random generator of the model; seeded by [`random_stream`].
pub type Random = ChaCha12Rng;

/// Returns random stream `number` of a seed. Each part of a run draws from a stream of its own, so that the
/// draws of one part do not affect the others.
pub fn random_stream(seed: u64, number: u64) -> Random {
    let mut random = ChaCha12Rng::seed_from_u64(seed);
    random.set_stream(number);
    random
}

//! Options of a run, in addition to its scenario and its seed.
use crate::fault_points::FaultInjection;
use crate::mutation::Mutation;
use crate::process_run::KillPoint;

/// Options of a run; by default it is a plain run in simulated time.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunOptions {
    /// The guard that is removed from the senders, if any.
    pub mutation: Option<Mutation>,
    /// The point at which one sender's process is killed, if any. The process is restarted afterwards.
    pub kill: Option<Kill>,
    /// The fault that is injected at one step of one sender, if any.
    pub fault_point: Option<FaultInjection>,
    /// Whether the run uses real loopback sockets and real time instead of the simulated network and clock.
    pub uses_real_sockets: bool,
}

/// A kill of one sender's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kill {
    pub sender: usize,
    pub point: KillPoint,
}

//! How a day is played, beside its scenario and its seed.
use crate::fault_points::FaultInjection;
use crate::lie::Lie;
use crate::process_run::KillPoint;

#[derive(Clone, Copy, Debug, Default)]
pub struct Manner {
    /// What its senders are lied to about.
    pub lie: Option<Lie>,
    /// A process that ends in the middle of something, and is started again.
    pub kill: Option<Kill>,
    /// Something that happens at a place of one sender.
    pub crossing: Option<FaultInjection>,
    /// Over real loopback sockets, in real time.
    pub over_sockets: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kill {
    pub sender: usize,
    pub cut: KillPoint,
}

//! How a day is played, beside its scenario and its seed.
use crate::crossings::Crossing;
use crate::lie::Mutation;
use crate::life::Cut;

#[derive(Clone, Copy, Debug, Default)]
pub struct RunOptions {
    /// What its senders are lied to about.
    pub mutation: Option<Mutation>,
    /// A process that ends in the middle of something, and is started again.
    pub kill: Option<Kill>,
    /// Something that happens at a place of one sender.
    pub fault_point: Option<Crossing>,
    /// Over real loopback sockets, in real time.
    pub uses_real_sockets: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kill {
    pub sender: usize,
    pub point: Cut,
}

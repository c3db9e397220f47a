//! Stand-ins for tests, on loopback ports that the kernel gives: scripted endpoints, discovery, and the sender as
//! a process with its folder; and a disk whose every operation can fail. Every wait is for an event, with a bound far longer than it takes.
mod discovery;
mod disk;
mod node;
mod peer;

pub use discovery::{closed, instance, ready, Discovery};
pub use disk::{Disk, Fault, File as DiskFile};
pub use node::{ask, offer, Node};
pub use peer::{answer, ok, read_message, Peer, Reply, Request, Row};

use std::time::Duration;

/// Far longer than anything here takes: a bound for what would otherwise never end.
pub const BOUND: Duration = Duration::from_secs(30);

//! Stand-ins for tests, on loopback ports that the kernel gives: scripted endpoints, discovery, and the sender as
//! a process with its folder; and a disk whose every operation can fail. Every wait is for an event, with a bound far longer than it takes.
mod discovery;
mod disk;
mod node;
mod peer;

pub use discovery::{instance, ready_instance, terminating_instance, Discovery};
pub use disk::{Disk, Fault, File as DiskFile};
pub use node::{send_request, submission_request, SenderProcess};
pub use peer::{http_reply, ok_reply, read_http_message, FakeServer, HttpMessage, Reply, ReplyCase};

use std::time::Duration;

/// Far longer than anything here takes: a bound for what would otherwise never end.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

//! Test support: fake servers with scripted replies, a fake discovery service, a proxy
//! that injects faults, the sender as a child process
//! with its own folder, and an in-memory disk with fault injection. Everything listens on loopback, the
//! servers on ports that the kernel picks. Waits end when the awaited event occurs; their timeout is far
//! longer than the event takes.
mod discovery;
mod disk;
mod fake_server;
mod fault_proxy;
mod sender_process;

pub use discovery::{instance, ready_instance, terminating_instance, Discovery, SlowPart};
pub use disk::{Disk, Fault, File as DiskFile};
pub use fake_server::{http_reply, ok_reply, read_http_message, FakeServer, HttpMessage, Reply, ReplyCase};
pub use fault_proxy::{AnswerFault, FaultProxy, ProxiedCall};
pub use sender_process::{send_request, submission_request, unused_address, SenderProcess};

use std::time::Duration;

/// Timeout of every wait. It is far longer than any awaited event takes, so only a wait that would never end
/// fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

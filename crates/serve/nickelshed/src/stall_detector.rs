//! Detects that the process has been stalled, by a signal that stopped it or by a disk operation that hung.
//! After a stall, what the process knows is outdated: a drain or a retry-after that arrived meanwhile is
//! still unread on its sockets. No call may be started before that has been read.
use nickelshed_host::Host;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(40);
/// The age of the last heartbeat above which the process counts as stalled. Must stay below the 100 ms for
/// which calls are still tolerated after a retry-after was sent.
const STALL_THRESHOLD: Duration = Duration::from_millis(90);
/// Time in which the data that arrived during a stall is read and processed.
const CATCH_UP_TIME: Duration = Duration::from_millis(20);

pub struct StallDetector<H: Host> {
    host: H,
    /// When the process was last known to run, with all data read that had arrived by then.
    last_heartbeat: Cell<Instant>,
    heartbeat: Notify,
}

impl<H: Host> StallDetector<H> {
    pub fn new(host: H) -> StallDetector<H> {
        let last_heartbeat = Cell::new(host.monotonic());
        StallDetector { host, last_heartbeat, heartbeat: Notify::new() }
    }

    fn is_stalled(&self) -> bool {
        self.host.monotonic().saturating_duration_since(self.last_heartbeat.get()) > STALL_THRESHOLD
    }

    /// Sends heartbeats until the process ends.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(HEARTBEAT_INTERVAL).await;
            if self.is_stalled() {
                let stalled_for = self.host.monotonic().saturating_duration_since(self.last_heartbeat.get());
                tracing::debug!(ms = stalled_for.as_millis(), "the process stood still");
                sleep(CATCH_UP_TIME).await;
            }
            self.last_heartbeat.set(self.host.monotonic());
            self.heartbeat.notify_waiters();
        }
    }

    /// Returns immediately if the process is not stalled, and otherwise once the data that arrived during the
    /// stall has been read.
    pub async fn caught_up(&self) {
        loop {
            let heartbeat = self.heartbeat.notified();
            if !self.is_stalled() {
                return;
            }
            heartbeat.await;
        }
    }
}

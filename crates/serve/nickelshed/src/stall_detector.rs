//! Detects that the process has been stalled, by a signal that stopped it or by a disk operation that hung.
//! After a stall its knowledge is outdated, and a drain or a retry-after that arrived meanwhile is still
//! unread on its sockets. No call may be started before that has been read.
use nickelshed_host::Host;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

/// The interval of heartbeats, and the age of the last one at which the process counts as stalled. The
/// threshold must stay below the 100 ms for which calls are still tolerated after a retry-after was sent.
const BEAT: Duration = Duration::from_millis(40);
const LATE: Duration = Duration::from_millis(90);
/// Time in which the data that arrived during a stall is read and processed.
const SETTLE: Duration = Duration::from_millis(20);

pub struct Pulse<H: Host> {
    host: H,
    /// When the process was last known to run, with all data read that had arrived by then.
    last: Cell<Instant>,
    beaten: Notify,
}

impl<H: Host> Pulse<H> {
    pub fn new(host: H) -> Pulse<H> {
        let last = Cell::new(host.monotonic());
        Pulse { host, last, beaten: Notify::new() }
    }

    fn is_late(&self) -> bool {
        self.host.monotonic().saturating_duration_since(self.last.get()) > LATE
    }

    /// Sends heartbeats until the process ends.
    pub async fn keep(self: Rc<Self>) {
        loop {
            sleep(BEAT).await;
            if self.is_late() {
                let stood = self.host.monotonic().saturating_duration_since(self.last.get());
                tracing::debug!(ms = stood.as_millis(), "the process stood still");
                sleep(SETTLE).await;
            }
            self.last.set(self.host.monotonic());
            self.beaten.notify_waiters();
        }
    }

    /// Returns immediately if the process is not stalled, and otherwise once the data that arrived during the
    /// stall has been read.
    pub async fn caught_up(&self) {
        loop {
            let beaten = self.beaten.notified();
            if !self.is_late() {
                return;
            }
            beaten.await;
        }
    }
}

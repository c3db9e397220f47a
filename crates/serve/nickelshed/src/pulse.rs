//! Whether the process has stood still: stopped, or kept in one operation by a disk that hangs. What it knows is then as old
//! as that, and what it has been told meanwhile (a drain, a wait) lies unread on its sockets. Nothing new is begun before
//! that has been read.
use nickelshed_host::Host;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

/// From one beat to the next, and how old the last one may be: less than what is let through after a wait was told.
const BEAT: Duration = Duration::from_millis(40);
const LATE: Duration = Duration::from_millis(90);
/// What lies unread on the sockets after a standstill is read and decided on within this.
const SETTLE: Duration = Duration::from_millis(20);

pub struct Pulse<H: Host> {
    host: H,
    /// When the process was last known to run, and to have read what had come.
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

    /// Beats as long as the process lives.
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

    /// Comes back at once while the process runs; after a standstill, when what came meanwhile has been read.
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

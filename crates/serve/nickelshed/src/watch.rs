//! A single-threaded watch channel: a value that changes now and then, and the tasks that wait for changes.
//! Unlike `tokio::sync::watch`, it wakes waiting tasks in the order in which they started to wait. Tokio
//! wakes them in random order, which is visible to the peers when many connections close at once.
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

struct Inner<T> {
    value: Cell<T>,
    version: Cell<u64>,
    closed: Cell<bool>,
    notify: Notify,
}

pub struct Sender<T>(Rc<Inner<T>>);

#[derive(Clone)]
pub struct Receiver<T> {
    inner: Rc<Inner<T>>,
    seen_version: u64,
}

/// The sender was dropped; the value will not change any more.
#[derive(Debug)]
pub struct Closed;

pub fn channel<T: Copy>(value: T) -> (Sender<T>, Receiver<T>) {
    let inner = Inner {
        value: Cell::new(value),
        version: Cell::new(0),
        closed: Cell::new(false),
        notify: Notify::new(),
    };
    let inner = Rc::new(inner);
    (Sender(inner.clone()), Receiver { inner, seen_version: 0 })
}

impl<T: Copy + PartialEq> Sender<T> {
    /// Wakes the receivers, unless the value is unchanged.
    pub fn send(&self, value: T) {
        if self.0.value.replace(value) != value {
            self.0.version.set(self.0.version.get() + 1);
            self.0.notify.notify_waiters();
        }
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        self.0.closed.set(true);
        self.0.notify.notify_waiters();
    }
}

impl<T: Copy + PartialEq> Receiver<T> {
    /// Returns the current value and marks it as seen.
    pub fn latest(&mut self) -> T {
        self.seen_version = self.inner.version.get();
        self.inner.value.get()
    }

    /// Waits for a value that this receiver has not seen.
    ///
    /// # Errors
    /// Returns [`Closed`] if the sender was dropped.
    pub async fn changed(&mut self) -> Result<(), Closed> {
        loop {
            let changed = self.inner.notify.notified();
            if self.inner.version.get() != self.seen_version {
                self.seen_version = self.inner.version.get();
                return Ok(());
            }
            if self.inner.closed.get() {
                return Err(Closed);
            }
            changed.await;
        }
    }

    /// Waits until the value equals `wanted`; never returns if the sender was dropped before that.
    pub async fn wait_for(&mut self, wanted: T) {
        while self.latest() != wanted {
            if self.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}

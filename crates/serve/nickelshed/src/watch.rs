//! A single-threaded watch channel: a value that changes now and then, and the tasks that wait for changes.
//! Unlike `tokio::sync::watch`, it wakes waiting tasks in the order in which they started to wait. Tokio
//! wakes them in random order, which is visible to the peers when many connections close at once.
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

struct Inner<T> {
    value: Cell<T>,
    version: Cell<u64>,
    gone: Cell<bool>,
    news: Notify,
}

pub struct Teller<T>(Rc<Inner<T>>);

#[derive(Clone)]
pub struct Listener<T> {
    inner: Rc<Inner<T>>,
    seen: u64,
}

/// The sender was dropped; the value will not change any more.
#[derive(Debug)]
pub struct Gone;

pub fn channel<T: Copy>(value: T) -> (Teller<T>, Listener<T>) {
    let inner =
        Inner { value: Cell::new(value), version: Cell::new(0), gone: Cell::new(false), news: Notify::new() };
    let inner = Rc::new(inner);
    (Teller(inner.clone()), Listener { inner, seen: 0 })
}

impl<T: Copy + PartialEq> Teller<T> {
    /// Wakes the receivers, unless the value is unchanged.
    pub fn send(&self, value: T) {
        if self.0.value.replace(value) != value {
            self.0.version.set(self.0.version.get() + 1);
            self.0.news.notify_waiters();
        }
    }
}

impl<T> Drop for Teller<T> {
    fn drop(&mut self) {
        self.0.gone.set(true);
        self.0.news.notify_waiters();
    }
}

impl<T: Copy + PartialEq> Listener<T> {
    pub fn latest(&mut self) -> T {
        self.seen = self.inner.version.get();
        self.inner.value.get()
    }

    /// Waits for a value that this receiver has not seen.
    ///
    /// # Errors
    /// Returns [`Closed`] if the sender was dropped.
    pub async fn changed(&mut self) -> Result<(), Gone> {
        loop {
            let news = self.inner.news.notified();
            if self.inner.version.get() != self.seen {
                self.seen = self.inner.version.get();
                return Ok(());
            }
            if self.inner.gone.get() {
                return Err(Gone);
            }
            news.await;
        }
    }

    /// Waits until the value equals `wanted`; never returns if the sender was dropped before that.
    pub async fn is(&mut self, wanted: T) {
        while self.latest() != wanted {
            if self.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}

//! A value that is replaced now and then, and those who wait for it. Like Tokio's `watch`, but for one thread, and it
//! wakes those who wait in the order in which they came: `watch` draws that order at random, and it is seen outside when
//! many connections close.
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

/// The teller has gone, and the value stays as it is.
#[derive(Debug)]
pub struct Gone;

pub fn channel<T: Copy>(value: T) -> (Teller<T>, Listener<T>) {
    let inner =
        Inner { value: Cell::new(value), version: Cell::new(0), gone: Cell::new(false), news: Notify::new() };
    let inner = Rc::new(inner);
    (Teller(inner.clone()), Listener { inner, seen: 0 })
}

impl<T: Copy + PartialEq> Teller<T> {
    /// Nobody is woken by a value that is the same.
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

    /// Comes back once there is a value that this one has not seen.
    ///
    /// # Errors
    /// If there will be none.
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

    /// Comes back once the value is this one; never if it can't come any more.
    pub async fn is(&mut self, wanted: T) {
        while self.latest() != wanted {
            if self.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}

//! Permits to hold the memory of a request. While none is free, the connection that came last gets the next
//! one: clients that come back as soon as they are turned away would otherwise be served before all others.
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::oneshot;

pub struct RequestMemory {
    free: Cell<usize>,
    /// Connections that wait for a permit, in the order in which they came.
    waiting: RefCell<Vec<oneshot::Sender<RequestPermit>>>,
}

/// Permission to hold the memory of a request. Dropping it passes it on.
pub struct RequestPermit(Rc<RequestMemory>);

impl RequestMemory {
    pub fn new(permits: usize) -> Rc<RequestMemory> {
        Rc::new(RequestMemory { free: Cell::new(permits), waiting: RefCell::default() })
    }

    /// Returns a permit if one is free.
    pub fn try_acquire(self: &Rc<RequestMemory>) -> Option<RequestPermit> {
        let left = self.free.get().checked_sub(1)?;
        self.free.set(left);
        Some(RequestPermit(self.clone()))
    }

    /// Waits in line for a permit; dropping the receiver leaves the line.
    pub fn wait(&self) -> oneshot::Receiver<RequestPermit> {
        let (permit_tx, permit_rx) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|waiting| !waiting.is_closed());
        waiting.push(permit_tx);
        permit_rx
    }

    /// Number of connections that wait for a permit.
    pub fn waiting_count(&self) -> usize {
        self.waiting.borrow().iter().filter(|waiting| !waiting.is_closed()).count()
    }

    fn next_waiting(&self) -> Option<oneshot::Sender<RequestPermit>> {
        let mut waiting = self.waiting.borrow_mut();
        std::iter::from_fn(|| waiting.pop()).find(|waiting| !waiting.is_closed())
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        let memory = &self.0;
        match memory.next_waiting() {
            Some(waiting) => _ = waiting.send(RequestPermit(memory.clone())),
            None => memory.free.set(memory.free.get() + 1),
        }
    }
}

#[cfg(test)]
mod tests;

//! Memory budget shared by all messages: a message reserves its size before its body is read and frees it
//! when it has finished.
mod limits;

pub use limits::{
    max_active_clients, max_messages_in_memory, max_messages_on_disk, outage_list_bytes, SocketAllocation,
};

use std::cell::Cell;
use std::rc::Rc;

/// Fraction of the memory limit that messages may use. The rest is for client connections
/// ([`max_active_clients`]), connections to endpoints, the journal's file (which counts as memory) and the copies of a body that exist while it is written.
const MESSAGE_MEMORY_FRACTION: f64 = 0.2;
/// Memory that a message uses besides its body, over all tables.
const MESSAGE_OVERHEAD_BYTES: usize = 1_536;
/// A message may reserve at most the free budget divided by this, so that bodies of 64 KiB cannot use up the
/// memory that messages of usual size need.
const MAX_MESSAGE_DIVISOR: usize = 8;

/// The bytes that are free for messages. Clones share one budget.
#[derive(Clone)]
pub struct Budget(Rc<Cell<usize>>);

/// Bytes reserved for one message. Dropping it returns them to the budget.
#[derive(Debug)]
pub struct MemoryReservation {
    free: Rc<Cell<usize>>,
    bytes: usize,
}

impl Budget {
    /// `memory_mb` is the memory limit of the process in megabytes of 10^6 bytes.
    pub fn new(memory_mb: f64) -> Budget {
        Budget(Rc::new(Cell::new((memory_mb * 1e6 * MESSAGE_MEMORY_FRACTION) as usize)))
    }

    /// Reserves memory for a message with a body of `body_bytes` bytes. Returns `None` if the message is too
    /// large for what is free.
    pub fn try_reserve(&self, body_bytes: usize) -> Option<MemoryReservation> {
        let bytes = body_bytes + MESSAGE_OVERHEAD_BYTES;
        let free = self.0.get();
        (bytes <= free / MAX_MESSAGE_DIVISOR).then(|| self.reserve_up_to(bytes))
    }

    /// Reserves memory for a message recovered from the journal. It was accepted before and must be kept, so
    /// this never fails: if too little is free, it reserves what there is.
    pub fn reserve_recovered(&self, body_bytes: usize) -> MemoryReservation {
        self.reserve_up_to(body_bytes + MESSAGE_OVERHEAD_BYTES)
    }

    fn reserve_up_to(&self, bytes: usize) -> MemoryReservation {
        let bytes = bytes.min(self.0.get());
        self.0.set(self.0.get() - bytes);
        MemoryReservation { free: self.0.clone(), bytes }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.free.set(self.free.get() + self.bytes);
    }
}

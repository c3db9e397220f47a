//! Memory budget shared by all messages: a message reserves its size before its body is read and frees it when it has
//! finished.
mod limits;

pub use limits::{messages_in_memory, messages_on_disk, note_place, Sockets};

use std::cell::Cell;
use std::rc::Rc;

/// Fraction of the memory limit that messages may use. The rest is for connections, the journal's file (which counts
/// as memory of the process) and the copies of a body that exist while it is written.
const PART: f64 = 0.2;
/// Memory that a message uses besides its body, over all tables.
const OVERHEAD: usize = 1_536;
/// A message may reserve at most one part in this many of the free budget, so that bodies of 64 KiB cannot use up the
/// memory that messages of usual size need.
const LARGEST: usize = 8;

#[derive(Clone)]
pub struct Budget(Rc<Cell<usize>>);

/// Bytes reserved for one message. Dropping it returns them to the budget.
#[derive(Debug)]
pub struct Share {
    left: Rc<Cell<usize>>,
    bytes: usize,
}

impl Budget {
    pub fn new(memory_mb: f64) -> Budget {
        Budget(Rc::new(Cell::new((memory_mb * 1e6 * PART) as usize)))
    }

    /// Reserves memory for a message with a body of `body` bytes. Returns `None` if the message is too large for what is
    /// free.
    pub fn claim(&self, body: usize) -> Option<Share> {
        let bytes = body + OVERHEAD;
        let left = self.0.get();
        (bytes <= left / LARGEST).then(|| self.take(bytes))
    }

    /// Reserves memory for a message recovered from the journal. It was accepted before and must be kept, so this never
    /// fails: if too little is free, it reserves what there is.
    pub fn owe(&self, body: usize) -> Share {
        self.take(body + OVERHEAD)
    }

    fn take(&self, bytes: usize) -> Share {
        let bytes = bytes.min(self.0.get());
        self.0.set(self.0.get() - bytes);
        Share { left: self.0.clone(), bytes }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.left.set(self.left.get() + self.bytes);
    }
}

//! Capacities that follow from the resource limits of a process. The sender divides its resources with this
//! code, and the configuration checks use it to predict what fits.
use crate::{MAX_MESSAGE_DIVISOR, MESSAGE_MEMORY_FRACTION, MESSAGE_OVERHEAD_BYTES};

/// File descriptors reserved for the listener, the discovery watch, notices and files.
const RESERVED_SOCKETS: usize = 24;

/// Fraction of the memory limit that client connections may use besides the bodies of their messages.
const CLIENT_MEMORY_FRACTION: f64 = 0.3;
/// Memory that the HTTP library and the sender use for a client connection that has sent something: buffers for
/// a head of the maximum size and for answers, and the state of both.
const CLIENT_CONNECTION_BYTES: usize = 24 << 10;

/// Number of client connections that may hold the memory of a request at once, for a memory limit of `memory_mb`
/// megabytes of 10^6 bytes. Connections on which nothing has arrived need none.
pub fn max_active_clients(memory_mb: f64) -> usize {
    let bytes = memory_mb * 1e6 * CLIENT_MEMORY_FRACTION;
    (bytes as usize / CLIENT_CONNECTION_BYTES).max(1)
}

/// Division of the file descriptors of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketAllocation {
    /// Connections to endpoints.
    pub calls: usize,
    /// Client connections that are answered only with a request to retry later.
    pub rejected_clients: usize,
    /// Client connections that are served.
    pub clients: usize,
}

impl SocketAllocation {
    /// Divides what `RESERVED_SOCKETS` leaves. Calls get two connections per slot and 32 more, but at least a
    /// quarter and at most three eighths. A sixteenth is for clients that are only told to retry later. The
    /// remainder is for served clients, because some clients open hundreds of connections.
    pub fn divide(sockets: usize, slots: usize) -> SocketAllocation {
        let sockets = sockets.saturating_sub(RESERVED_SOCKETS);
        let calls = slots.saturating_mul(2).saturating_add(32).max(sockets / 4).min(sockets * 3 / 8);
        let rejected_clients = (sockets / 16).max(1);
        SocketAllocation {
            calls,
            rejected_clients,
            clients: sockets.saturating_sub(calls + rejected_clients),
        }
    }

    /// Whether `slots` calls can be in flight while clients are still served.
    pub fn supports(&self, slots: usize) -> bool {
        self.calls >= slots && self.clients > 0
    }
}

/// Number of open messages with bodies of `body_bytes` bytes that fit into a memory limit of `memory_bytes`
/// bytes.
pub fn max_messages_in_memory(memory_bytes: u64, body_bytes: usize) -> u64 {
    let message_bytes = (body_bytes + MESSAGE_OVERHEAD_BYTES) as u64;
    let budget_bytes = (memory_bytes as f64 * MESSAGE_MEMORY_FRACTION) as u64;
    // The last message, like any other, may reserve only its fraction of what is still free.
    budget_bytes
        .checked_sub(MAX_MESSAGE_DIVISOR as u64 * message_bytes)
        .map_or(0, |remaining| remaining / message_bytes + 1)
}

/// Upper bounds of what the journal writes, in bytes. The tests of the journal compare them with its real use
/// of the disk.
mod journal {
    /// Fraction of the disk limit left for records after partly filled blocks, record framing and the ballast
    /// (1/32).
    pub const USABLE_DISK_FRACTION: f64 = 0.93 - 1.0 / 32.0;
    /// The usable space divided by this is the size of a segment, within the two bounds below. One segment is
    /// kept free, and two more where a 202 waits for a sync.
    pub const SEGMENT_DIVISOR: u64 = 16;
    pub const MIN_SEGMENT_BYTES: u64 = 16 << 10;
    pub const MAX_SEGMENT_BYTES: u64 = 1 << 20;
    pub const HEADERS_BYTES: u64 = 16 << 10;
    /// Record of an accepted message without its body: numbers, and names of usual length.
    pub const MESSAGE_RECORD_BYTES: u64 = 91 + 24 + 32 + 100;
    /// Records that may still follow for the message: `ATTEMPT_RECORDS_BYTES` for each attempt,
    /// `ENDING_RECORD_BYTES` once.
    pub const ATTEMPT_RECORDS_BYTES: u64 = 97 + 21 + 48 + 86;
    pub const ENDING_RECORD_BYTES: u64 = 34 + 48 + 20;
}

/// Size in bytes of each of the two copies of the list of unavailable routes: a sixty-fourth of the disk
/// limit, which at 3 MB holds 1,024 routes with names of 32 bytes. At least 2 KiB, at most 96 KiB, rounded
/// down to whole blocks.
pub fn outage_list_bytes(disk_bytes: u64) -> u64 {
    const DISK_DIVISOR: u64 = 64;
    const MIN_BYTES: u64 = 2 << 10;
    const MAX_BYTES: u64 = 96 << 10;
    const BLOCK_BYTES: u64 = 512;
    (disk_bytes / DISK_DIVISOR).clamp(MIN_BYTES, MAX_BYTES) / BLOCK_BYTES * BLOCK_BYTES
}

/// Number of open messages with bodies of `body_bytes` bytes that a journal with a disk limit of `disk_bytes`
/// bytes can hold, with space for every record that may follow for them. `is_synced`: a 202 waits for a sync
/// of the disk.
pub fn max_messages_on_disk(disk_bytes: u64, body_bytes: u64, attempts: u32, is_synced: bool) -> u64 {
    let usable_bytes = (disk_bytes as f64 * journal::USABLE_DISK_FRACTION) as u64;
    let segment_bytes = (usable_bytes / journal::SEGMENT_DIVISOR)
        .clamp(journal::MIN_SEGMENT_BYTES, journal::MAX_SEGMENT_BYTES);
    let record_bytes = journal::MESSAGE_RECORD_BYTES + body_bytes;
    // The two copies of the list of unavailable routes, and as much again for what rounding to whole segments
    // loses.
    let outage_lists_bytes = 4 * outage_list_bytes(disk_bytes);
    let reserved_bytes = segment_bytes * if is_synced { 3 } else { 1 }
        + 6 * record_bytes
        + journal::HEADERS_BYTES
        + outage_lists_bytes;
    let message_bytes = record_bytes
        + journal::ATTEMPT_RECORDS_BYTES * u64::from(attempts.min(1_000))
        + journal::ENDING_RECORD_BYTES;
    usable_bytes.saturating_sub(reserved_bytes) / message_bytes
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Budget;

    #[test]
    fn budget_accepts_as_many_messages_as_predicted() {
        for memory_mb in [0.001, 0.1, 1.0, 32.0] {
            for body in [0, 1_024, 65_536] {
                let budget = Budget::new(memory_mb);
                let mut reservations = Vec::new();
                while let Some(reservation) = budget.try_reserve(body) {
                    reservations.push(reservation);
                }
                assert_eq!(
                    reservations.len() as u64,
                    max_messages_in_memory((memory_mb * 1e6) as u64, body),
                    "{memory_mb} {body}"
                );
            }
        }
    }

    #[test]
    fn descriptors_are_not_allocated_twice() {
        for sockets in 0..3_000 {
            for slots in [0, 1, 16, 512, usize::MAX] {
                let allocation = SocketAllocation::divide(sockets, slots);
                assert!(
                    allocation.calls + allocation.rejected_clients + allocation.clients <= sockets.max(1),
                    "{sockets} {slots} {allocation:?}"
                );
            }
        }
        assert!(SocketAllocation::divide(256, 16).supports(16));
        assert!(!SocketAllocation::divide(64, 16).supports(16));
    }
}

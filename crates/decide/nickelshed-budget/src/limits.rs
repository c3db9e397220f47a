//! Capacities that follow from the limits of a process. The sender divides its resources by them, and the configuration
//! checks compute with the same code.
use crate::{LARGEST, OVERHEAD, PART};

/// File descriptors reserved for the listener, the discovery watch, notices and files.
const OWN_SOCKETS: usize = 24;

/// Division of the file descriptors of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sockets {
    /// Connections to endpoints.
    pub calls: usize,
    /// Client connections that are answered only with a request to retry later.
    pub turned_away: usize,
    /// Client connections that are served.
    pub clients: usize,
}

impl Sockets {
    /// Calls get enough for their slots where possible, a sixteenth is for clients that are only told to retry later, and
    /// the remainder is for served clients, because some clients open hundreds of connections.
    pub fn divide(sockets: usize, slots: usize) -> Sockets {
        let sockets = sockets.saturating_sub(OWN_SOCKETS);
        let calls = slots.saturating_mul(2).saturating_add(32).max(sockets / 4).min(sockets * 3 / 8);
        let turned_away = (sockets / 16).max(1);
        Sockets { calls, turned_away, clients: sockets.saturating_sub(calls + turned_away) }
    }

    /// Whether `slots` calls can be in flight while clients are still served.
    pub fn carry(&self, slots: usize) -> bool {
        self.calls >= slots && self.clients > 0
    }
}

/// Number of open messages with bodies of `body` bytes that fit into a memory limit of `memory` bytes.
pub fn messages_in_memory(memory: u64, body: usize) -> u64 {
    let each = (body + OVERHEAD) as u64;
    let all = (memory as f64 * PART) as u64;
    // The last message, too, may reserve only its fraction of what is then free.
    all.checked_sub(LARGEST as u64 * each).map_or(0, |rest| rest / each + 1)
}

/// Upper bounds of what the journal writes, in bytes. The tests of the journal compare them with its real use of the
/// disk.
mod journal {
    /// Fraction of the disk limit left for records after partly filled blocks, record framing and the ballast (1/32).
    pub const USABLE: f64 = 0.93 - 1.0 / 32.0;
    /// A segment is one part in this many of the usable space, within the two bounds below. One segment is kept free,
    /// and two more where a 202 waits for a sync.
    pub const SEGMENTS: u64 = 16;
    pub const LEAST_SEGMENT: u64 = 16 << 10;
    pub const MOST_SEGMENT: u64 = 1 << 20;
    pub const HEADERS: u64 = 16 << 10;
    /// Record of an accepted message without its body: numbers, and names of usual length.
    pub const RECORD: u64 = 91 + 24 + 32 + 100;
    /// Records that may still follow for the message: `ATTEMPT` for each attempt, `ENDING` once.
    pub const ATTEMPT: u64 = 97 + 21 + 48 + 86;
    pub const ENDING: u64 = 34 + 48 + 20;
}

/// Size in bytes of each of the two copies of the list of unavailable routes: a sixty-fourth of the disk limit, which
/// at 3 MB holds 1,024 routes with names of 32 bytes. At least 2 KiB, at most 96 KiB, rounded down to whole blocks.
pub fn note_place(disk: u64) -> u64 {
    const DISK_PART: u64 = 64;
    const LEAST: u64 = 2 << 10;
    const MOST: u64 = 96 << 10;
    const BLOCK: u64 = 512;
    (disk / DISK_PART).clamp(LEAST, MOST) / BLOCK * BLOCK
}

/// Number of open messages with bodies of `body` bytes that a journal with a disk limit of `disk` bytes can hold, with
/// space for every record that may follow for them. `synced`: a 202 waits for a sync of the disk.
pub fn messages_on_disk(disk: u64, body: u64, attempts: u32, synced: bool) -> u64 {
    let usable = (disk as f64 * journal::USABLE) as u64;
    let segment = (usable / journal::SEGMENTS).clamp(journal::LEAST_SEGMENT, journal::MOST_SEGMENT);
    let record = journal::RECORD + body;
    // The two copies of the list of unavailable routes, and as much again for what rounding to whole segments loses.
    let note = 4 * note_place(disk);
    let aside = segment * if synced { 3 } else { 1 } + 6 * record + journal::HEADERS + note;
    let each = record + journal::ATTEMPT * u64::from(attempts.min(1_000)) + journal::ENDING;
    usable.saturating_sub(aside) / each
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Budget;

    #[test]
    fn as_many_messages_are_let_in_as_were_told() {
        for memory_mb in [0.001, 0.1, 1.0, 32.0] {
            for body in [0, 1_024, 65_536] {
                let budget = Budget::new(memory_mb);
                let mut shares = Vec::new();
                while let Some(share) = budget.claim(body) {
                    shares.push(share);
                }
                assert_eq!(
                    shares.len() as u64,
                    messages_in_memory((memory_mb * 1e6) as u64, body),
                    "{memory_mb} {body}"
                );
            }
        }
    }

    #[test]
    fn no_descriptor_is_given_twice() {
        for sockets in 0..3_000 {
            for slots in [0, 1, 16, 512, usize::MAX] {
                let s = Sockets::divide(sockets, slots);
                assert!(s.calls + s.turned_away + s.clients <= sockets.max(1), "{sockets} {slots} {s:?}");
            }
        }
        assert!(Sockets::divide(256, 16).carry(16));
        assert!(!Sockets::divide(64, 16).carry(16));
    }
}

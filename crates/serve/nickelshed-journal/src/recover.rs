//! What a folder's segments say: a replay in order, and what is torn or damaged. It changes nothing, so that a live
//! sender's folder can be read by it too.
use crate::format::{self, FrameError, Header, HeaderError, Place, HEADER};
use crate::table::Table;
use std::io;

/// A range of bytes that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// The segment's number.
    pub seq: u64,
    pub from: u64,
    /// The whole segment is missing if it is 0.
    pub to: u64,
}

/// A write that the end of the process cut off. Nothing of it had been promised to anybody.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Torn {
    pub seq: u64,
    /// Bytes that hold good.
    pub kept: u64,
    /// Bytes behind them.
    pub cut: u64,
}

#[derive(Clone, Debug)]
pub struct Segment {
    pub seq: u64,
    /// Bytes that hold good, or are damaged and stand before some that do.
    pub good: u64,
    /// Bytes on the disk.
    pub length: u64,
}

#[derive(Debug, Default)]
pub struct Recovered {
    pub table: Table,
    /// Oldest first, without those below the floor.
    pub segments: Vec<Segment>,
    /// Segments that are of no more use: emptied ones whose removal did not last, and one whose creation was cut off.
    pub useless: Vec<u64>,
    pub damage: Vec<Damage>,
    pub torn: Option<Torn>,
    /// Messages of which an attempt must be supposed.
    pub doubted: usize,
    /// None in a new folder.
    pub nonce: Option<u64>,
}

#[derive(Debug)]
pub enum Failed {
    /// A newer version of the program has written this segment.
    Newer {
        seq: u64,
        version: u16,
    },
    Io {
        seq: u64,
        error: io::Error,
    },
}

/// Replays the segments `files` (number and length in bytes); `read` gives a segment's first so many bytes. `machine`
/// says whether the folder is kept against the loss of the machine, for a segment that can't tell.
///
/// # Errors
/// If a segment can't be read at all, or was written by a newer version.
pub fn replay(
    files: &[(u64, u64)],
    machine: bool,
    mut read: impl FnMut(u64, u64) -> io::Result<Vec<u8>>,
) -> Result<Recovered, Failed> {
    let mut files = files.to_vec();
    files.sort_unstable();
    let mut headers = Vec::new();
    for &(seq, _) in &files {
        let bytes = read(seq, HEADER as u64).map_err(|error| Failed::Io { seq, error })?;
        headers.push(match Header::decode(&bytes) {
            Err(HeaderError::Newer(version)) => return Err(Failed::Newer { seq, version }),
            // A segment under another's name is none.
            Ok(header) if header.seq != seq => Err(HeaderError::Damaged),
            other => other,
        });
    }
    let mut found = Recovered::default();
    // Its creation was cut off before a frame could follow.
    if let (Some(&(seq, length)), Some(Err(error))) = (files.last(), headers.last()) {
        // A header is synced with the first frame, so without one no frame had been promised.
        if *error == HeaderError::Torn || length <= HEADER as u64 || machine {
            found.useless.push(seq);
            files.pop();
            headers.pop();
        }
    }
    found.nonce = headers.iter().flatten().map(|h| h.nonce).next();
    let first = headers.iter().flatten().find(|h| h.first).map_or(0, |h| h.seq);
    let mut replay = Replay { found, last_at: 0, floor: first, missing: Vec::new() };
    for (i, &(seq, length)) in files.iter().enumerate() {
        if i > 0 && files[i - 1].0 + 1 != seq {
            replay.missing.push(files[i - 1].0 + 1..seq);
            replay.doubt();
        }
        let bytes = read(seq, length).map_err(|error| Failed::Io { seq, error })?;
        let next = files.get(i + 1).filter(|(n, _)| *n == seq + 1).and(headers.get(i + 1));
        let end = match next {
            Some(Ok(header)) => End::Known(u64::from(header.prev)),
            Some(Err(_)) => End::Whole,
            None if i + 1 < files.len() => End::Whole,
            None => End::Open { machine: headers[i].as_ref().map_or(machine, |h| h.machine) },
        };
        replay.segment(seq, &bytes, length, headers[i].is_ok(), end);
    }
    Ok(replay.finish())
}

/// Up to where a segment must hold good.
enum End {
    Known(u64),
    /// To its last byte.
    Whole,
    /// A write may have been under way.
    Open {
        machine: bool,
    },
}

struct Replay {
    found: Recovered,
    last_at: i64,
    floor: u64,
    missing: Vec<std::ops::Range<u64>>,
}

impl Replay {
    fn doubt(&mut self) {
        self.found.doubted += self.found.table.doubt(self.last_at);
    }

    fn damage(&mut self, seq: u64, from: u64, to: u64) {
        self.found.damage.push(Damage { seq, from, to });
        self.doubt();
    }

    /// Whether all that lived below this floor is sure to have been read as it was copied. Behind damage an older
    /// segment that is still there may hold the only good record.
    fn holds(&self, floor: u64) -> bool {
        self.found.damage.is_empty() && self.missing.iter().all(|m| m.end <= floor)
    }

    fn segment(&mut self, seq: u64, bytes: &[u8], length: u64, has_header: bool, end: End) {
        let good = match end {
            End::Known(good) => good.min(bytes.len() as u64),
            _ => bytes.len() as u64,
        };
        if !has_header {
            self.damage(seq, 0, HEADER as u64);
        }
        let bytes = &bytes[..good as usize];
        let mut segment = Segment { seq, good, length };
        let mut at = HEADER.min(bytes.len());
        let nonce = self.found.nonce.unwrap_or_default();
        while at < bytes.len() {
            let place = Place { nonce, seq, offset: at as u64 };
            let error = match format::frame(bytes, place) {
                Ok((when, records, next)) => match format::decode(records) {
                    Some(entries) => {
                        for entry in entries {
                            if let format::Entry::Floor(floor) = entry {
                                if !self.holds(floor) {
                                    continue;
                                }
                                self.floor = self.floor.max(floor);
                            }
                            self.found.table.read(entry, seq);
                        }
                        (self.last_at, at) = (when, next);
                        continue;
                    }
                    None => FrameError::Bad,
                },
                Err(error) => error,
            };
            if let Some(next) = format::next_frame(bytes, place) {
                self.damage(seq, at as u64, next as u64);
                at = next;
                continue;
            }
            let rest = &bytes[at..];
            // Room that was taken beforehand, or a segment of before that this one is written over. What a lost machine
            // leaves of a write can't be told from it, and was promised to nobody either.
            if matches!(end, End::Open { machine: true }) {
                segment.good = at as u64;
                break;
            }
            // Nothing follows, so a write that was cut off, unless it is all there and spoilt.
            let open = matches!(end, End::Open { .. });
            let torn = open && (error == FrameError::Short || rest.iter().all(|b| *b == 0));
            if torn {
                self.found.torn = Some(Torn { seq, kept: at as u64, cut: rest.len() as u64 });
                segment.good = at as u64;
            } else {
                self.damage(seq, at as u64, bytes.len() as u64);
            }
            break;
        }
        if let End::Known(known) = end {
            if (bytes.len() as u64) < known {
                self.damage(seq, bytes.len() as u64, known);
            }
        }
        self.found.segments.push(segment);
    }

    fn finish(mut self) -> Recovered {
        let floor = self.floor.max(1);
        if let Some(first) = self.found.segments.first().filter(|s| s.seq > floor) {
            self.missing.push(floor..first.seq);
        }
        for seq in self.missing.into_iter().flatten().filter(|seq| *seq >= floor) {
            self.found.damage.push(Damage { seq, from: 0, to: 0 });
        }
        let (below, kept) = self.found.segments.into_iter().partition(|s| s.seq < floor);
        self.found.segments = kept;
        self.found.useless.extend(below.iter().map(|s: &Segment| s.seq));
        self.found.damage.retain(|d| d.seq >= floor);
        self.found
    }
}

//! Replay of a folder's segments in order, with detection of torn writes and damage. It is read-only, so it
//! can also be used on the folder of a running sender.
use crate::format::{self, FrameError, FramePosition, Header, HeaderError, HEADER_BYTES};
use crate::table::MessageTable;
use std::io;

/// A range of unreadable bytes in a segment, or a missing segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DamagedRange {
    /// Segment number.
    pub seq: u64,
    /// Offset of the first unreadable byte.
    pub from: u64,
    /// Offset after the last unreadable byte, or 0 if the whole segment is missing.
    pub to: u64,
}

/// A write at the end of the log that was cut off when the process ended. No part of it had been
/// acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornWrite {
    /// Segment number, or 0 for the legacy file.
    pub seq: u64,
    /// Bytes before the torn write.
    pub valid_bytes: u64,
    /// Bytes of the torn write.
    pub cut_bytes: u64,
}

#[derive(Clone, Debug)]
pub struct Segment {
    pub seq: u64,
    /// Length of the part before a torn write: valid frames and damaged ranges.
    pub valid_bytes: u64,
    /// File size.
    pub file_bytes: u64,
}

#[derive(Debug, Default)]
pub struct RecoveredFolder {
    pub table: MessageTable,
    /// Oldest first, without segments below the low-water mark.
    pub segments: Vec<Segment>,
    /// Segments that are no longer needed: emptied ones whose removal was not durable, and one whose creation
    /// was interrupted.
    pub obsolete: Vec<u64>,
    pub damage: Vec<DamagedRange>,
    pub torn: Option<TornWrite>,
    /// Number of messages that are assumed to have had an attempt.
    pub uncertain: usize,
    /// None in a new folder.
    pub nonce: Option<u64>,
}

#[derive(Debug)]
pub enum ReplayError {
    /// Segment written by a newer version of this program.
    NewerFormat {
        seq: u64,
        version: u16,
    },
    Io {
        seq: u64,
        error: io::Error,
    },
}

/// Replays the segments in `files` (segment number and size in bytes). `read` returns at most the given
/// number of bytes from the start of a segment. `machine_durable` tells whether the folder is used with
/// `Durability::Machine`; it is used only for the last segment if its header is unreadable.
///
/// # Errors
/// If a file cannot be read, or was written by a newer version.
pub fn replay(
    files: &[(u64, u64)],
    machine_durable: bool,
    mut read: impl FnMut(u64, u64) -> io::Result<Vec<u8>>,
) -> Result<RecoveredFolder, ReplayError> {
    let mut files = files.to_vec();
    files.sort_unstable();
    let mut headers = Vec::new();
    for &(seq, _) in &files {
        let bytes = read(seq, HEADER_BYTES as u64).map_err(|error| ReplayError::Io { seq, error })?;
        headers.push(match Header::decode(&bytes) {
            Err(HeaderError::NewerFormat(version)) => return Err(ReplayError::NewerFormat { seq, version }),
            // The header belongs to another segment, so this file was renamed or overwritten.
            Ok(header) if header.seq != seq => Err(HeaderError::Damaged),
            other => other,
        });
    }
    let mut recovered = RecoveredFolder::default();
    // The last segment has no valid header: its creation may have been interrupted before the first frame was
    // written.
    if let (Some(&(seq, file_bytes)), Some(Err(error))) = (files.last(), headers.last()) {
        // The header is synced together with the first frame, so without a header no frame has been
        // acknowledged.
        if *error == HeaderError::Truncated || file_bytes <= HEADER_BYTES as u64 || machine_durable {
            recovered.obsolete.push(seq);
            files.pop();
            headers.pop();
        }
    }
    recovered.nonce = headers.iter().flatten().map(|header| header.nonce).next();
    let first_seq = headers.iter().flatten().find(|header| header.is_first).map_or(0, |header| header.seq);
    let mut replay =
        Replay { recovered, last_written_at_ms: 0, low_water_mark: first_seq, missing: Vec::new() };
    for (i, &(seq, file_bytes)) in files.iter().enumerate() {
        if i > 0 && files[i - 1].0 + 1 != seq {
            replay.missing.push(files[i - 1].0 + 1..seq);
            replay.mark_uncertain();
        }
        let bytes = read(seq, file_bytes).map_err(|error| ReplayError::Io { seq, error })?;
        let next = files.get(i + 1).filter(|(next_seq, _)| *next_seq == seq + 1).and(headers.get(i + 1));
        let expected_end = match next {
            Some(Ok(header)) => ExpectedEnd::Known(u64::from(header.prev_valid_bytes)),
            Some(Err(_)) => ExpectedEnd::FileEnd,
            None if i + 1 < files.len() => ExpectedEnd::FileEnd,
            None => ExpectedEnd::ActiveSegment {
                machine_durable: headers[i].as_ref().map_or(machine_durable, |header| header.machine_durable),
            },
        };
        replay.replay_segment(seq, &bytes, file_bytes, headers[i].is_ok(), expected_end);
    }
    Ok(replay.finish())
}

/// The offset up to which a segment is expected to be valid.
enum ExpectedEnd {
    /// Recorded in the header of the next segment.
    Known(u64),
    /// The end of the file, as the next segment is missing or its header is unreadable.
    FileEnd,
    /// The active segment: a write may have been in progress.
    ActiveSegment { machine_durable: bool },
}

struct Replay {
    recovered: RecoveredFolder,
    /// When the last readable frame was written: Unix time in milliseconds, or 0 before the first one.
    last_written_at_ms: i64,
    /// Segments with lower numbers are no longer needed.
    low_water_mark: u64,
    /// Ranges of segment numbers without a file.
    missing: Vec<std::ops::Range<u64>>,
}

impl Replay {
    /// Marks all messages that are live at this point of the replay, as records of them may be lost here.
    fn mark_uncertain(&mut self) {
        self.recovered.uncertain += self.recovered.table.assume_attempts(self.last_written_at_ms);
    }

    fn add_damage(&mut self, seq: u64, from: u64, to: u64) {
        self.recovered.damage.push(DamagedRange { seq, from, to });
        self.mark_uncertain();
    }

    /// Whether all messages that were live below this low-water mark have been read from their copies. After
    /// damage, an older segment that still exists may hold the only valid record of a message.
    fn can_apply_mark(&self, low_water_mark: u64) -> bool {
        self.recovered.damage.is_empty() && self.missing.iter().all(|missing| missing.end <= low_water_mark)
    }

    fn replay_segment(
        &mut self,
        seq: u64,
        bytes: &[u8],
        file_bytes: u64,
        has_header: bool,
        expected_end: ExpectedEnd,
    ) {
        let valid_bytes = match expected_end {
            ExpectedEnd::Known(valid_bytes) => valid_bytes.min(bytes.len() as u64),
            _ => bytes.len() as u64,
        };
        if !has_header {
            self.add_damage(seq, 0, HEADER_BYTES as u64);
        }
        let bytes = &bytes[..valid_bytes as usize];
        let mut segment = Segment { seq, valid_bytes, file_bytes };
        let mut offset = HEADER_BYTES.min(bytes.len());
        let nonce = self.recovered.nonce.unwrap_or_default();
        while offset < bytes.len() {
            let position = FramePosition { nonce, seq, offset: offset as u64 };
            let error = match format::read_frame(bytes, position) {
                Ok((written_at_ms, records, next_offset)) => match format::decode(records) {
                    Some(entries) => {
                        for entry in entries {
                            if let format::Entry::LowWaterMark(low_water_mark) = entry {
                                if !self.can_apply_mark(low_water_mark) {
                                    continue;
                                }
                                self.low_water_mark = self.low_water_mark.max(low_water_mark);
                            }
                            self.recovered.table.replay(entry, seq);
                        }
                        (self.last_written_at_ms, offset) = (written_at_ms, next_offset);
                        continue;
                    }
                    None => FrameError::Corrupt,
                },
                Err(error) => error,
            };
            if let Some(next_offset) = format::find_next_frame(bytes, position) {
                self.add_damage(seq, offset as u64, next_offset as u64);
                offset = next_offset;
                continue;
            }
            let rest = &bytes[offset..];
            // With `Durability::Machine` the rest is preallocated space or old contents of a reused segment.
            // A write torn by the loss of the machine looks the same, and has not been acknowledged.
            if matches!(expected_end, ExpectedEnd::ActiveSegment { machine_durable: true }) {
                segment.valid_bytes = offset as u64;
                break;
            }
            // No valid frame follows, so this is a torn write, unless the frame is complete but corrupt.
            let is_active = matches!(expected_end, ExpectedEnd::ActiveSegment { .. });
            let is_torn = is_active && (error == FrameError::Truncated || rest.iter().all(|byte| *byte == 0));
            if is_torn {
                self.recovered.torn =
                    Some(TornWrite { seq, valid_bytes: offset as u64, cut_bytes: rest.len() as u64 });
                segment.valid_bytes = offset as u64;
            } else {
                self.add_damage(seq, offset as u64, bytes.len() as u64);
            }
            break;
        }
        if let ExpectedEnd::Known(expected_bytes) = expected_end {
            if (bytes.len() as u64) < expected_bytes {
                self.add_damage(seq, bytes.len() as u64, expected_bytes);
            }
        }
        self.recovered.segments.push(segment);
    }

    fn finish(mut self) -> RecoveredFolder {
        let low_water_mark = self.low_water_mark.max(1);
        if let Some(first) = self.recovered.segments.first().filter(|segment| segment.seq > low_water_mark) {
            self.missing.push(low_water_mark..first.seq);
        }
        for seq in self.missing.into_iter().flatten().filter(|seq| *seq >= low_water_mark) {
            self.recovered.damage.push(DamagedRange { seq, from: 0, to: 0 });
        }
        let (below, current) =
            self.recovered.segments.into_iter().partition(|segment| segment.seq < low_water_mark);
        self.recovered.segments = current;
        self.recovered.obsolete.extend(below.iter().map(|segment: &Segment| segment.seq));
        self.recovered.damage.retain(|range| range.seq >= low_water_mark);
        self.recovered
    }
}

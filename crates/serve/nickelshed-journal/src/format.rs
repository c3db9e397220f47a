//! Encoding of a segment: a header, then one frame for each commit and for each message that
//! compaction copies. No I/O.
//!
//! ```text
//! segment = header header frame*      two copies, so that one damaged block does not lose the segment
//! header  = "nsjl" version:u16 flags:u16 nonce:u64 seq:u64 prev:u32 crc:u32
//! frame   = magic:u32 length:u32 written_at:u64 header_crc:u32 crc:u32 record*    `length` bytes of records
//! ```
//!
//! All numbers are little-endian; records are encoded with postcard. The checksum of a frame also covers the
//! folder's nonce, the segment number and the offset of the frame. Therefore neither a message body that a
//! client sends nor a frame copied from another position can be mistaken for a valid frame. `prev` is the
//! number of valid bytes in the preceding segment: later bytes belong to a failed write. `header_crc` is the
//! checksum of the first 16 bytes of a frame: it distinguishes a frame that is cut off by the end of the file
//! from a frame with a damaged length.
use crate::record::{AcceptedMessage, AttemptRecord, Ending, LiveMessage, Record};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The format version that this program writes, and the newest that it reads.
pub const FORMAT_VERSION: u16 = 1;
const MAGIC: [u8; 4] = *b"nsjl";
const HEADER_COPY_BYTES: usize = 32;
/// Size of the two header copies: the offset of the first frame.
pub const HEADER_BYTES: usize = 2 * HEADER_COPY_BYTES;
/// Size of a frame before its records.
pub const FRAME_HEADER_BYTES: usize = 24;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    pub nonce: u64,
    /// Number of this segment.
    pub seq: u64,
    /// Number of valid bytes in the preceding segment.
    pub prev_valid_bytes: u32,
    /// Set if no earlier segment is needed for recovery.
    pub is_first: bool,
    /// Set if written with `Durability::Machine`: a torn write at the end has not been acknowledged to any
    /// client.
    pub machine_durable: bool,
}

#[derive(Debug, PartialEq, Eq)]
pub enum HeaderError {
    /// Written by a program with a newer format version. The folder must be left unchanged.
    NewerFormat(u16),
    /// Too short for a header: creation of the segment was interrupted.
    Truncated,
    Damaged,
}

impl Header {
    pub fn encode(&self) -> [u8; HEADER_BYTES] {
        let mut block = [0; HEADER_COPY_BYTES];
        block[..4].copy_from_slice(&MAGIC);
        block[4..6].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
        let flags = u16::from(self.machine_durable) | u16::from(self.is_first) << 1;
        block[6..8].copy_from_slice(&flags.to_le_bytes());
        block[8..16].copy_from_slice(&self.nonce.to_le_bytes());
        block[16..24].copy_from_slice(&self.seq.to_le_bytes());
        block[24..28].copy_from_slice(&self.prev_valid_bytes.to_le_bytes());
        let crc = crc32fast::hash(&block[..28]);
        block[28..].copy_from_slice(&crc.to_le_bytes());
        let mut header = [0; HEADER_BYTES];
        header[..HEADER_COPY_BYTES].copy_from_slice(&block);
        header[HEADER_COPY_BYTES..].copy_from_slice(&block);
        header
    }

    /// Decodes the first valid copy of the header.
    ///
    /// # Errors
    /// Returns the reason if neither copy is usable.
    pub fn decode(bytes: &[u8]) -> Result<Header, HeaderError> {
        let mut newer_version = None;
        for block in bytes.chunks_exact(HEADER_COPY_BYTES).take(2) {
            if block[..4] != MAGIC || read_u32(block, 28) != Some(crc32fast::hash(&block[..28])) {
                continue;
            }
            match u16::from_le_bytes([block[4], block[5]]) {
                FORMAT_VERSION => {
                    let nonce = u64::from_le_bytes(block[8..16].try_into().unwrap_or_default());
                    let seq = u64::from_le_bytes(block[16..24].try_into().unwrap_or_default());
                    let prev_valid_bytes = read_u32(block, 24).unwrap_or_default();
                    let (machine_durable, is_first) = (block[6] & 1 != 0, block[6] & 2 != 0);
                    return Ok(Header { nonce, seq, prev_valid_bytes, is_first, machine_durable });
                }
                version => newer_version = Some(version),
            }
        }
        Err(match newer_version {
            Some(version) => HeaderError::NewerFormat(version),
            None if bytes.len() < HEADER_BYTES => HeaderError::Truncated,
            None => HeaderError::Damaged,
        })
    }
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(offset..offset + 4)?.try_into().ok()?))
}

/// Returns the first four bytes of every frame in a folder. They depend on the nonce, so clients cannot
/// predict them.
fn frame_magic(nonce: u64) -> [u8; 4] {
    ((nonce ^ (nonce >> 32)) as u32 | 1).to_le_bytes()
}

/// Position of a frame. Its checksums cover these values, so bytes copied from another position do not
/// validate.
#[derive(Clone, Copy, Debug)]
pub struct FramePosition {
    pub nonce: u64,
    /// Number of the segment.
    pub seq: u64,
    pub offset: u64,
}

fn checksum(position: FramePosition, bytes: &[&[u8]]) -> u32 {
    let mut hash = crc32fast::Hasher::new();
    hash.update(&position.nonce.to_le_bytes());
    hash.update(&position.seq.to_le_bytes());
    hash.update(&position.offset.to_le_bytes());
    bytes.iter().for_each(|part| hash.update(part));
    hash.finalize()
}

/// Frames that are written together. Their position in the segment is set by [`FrameBatch::finish`].
#[derive(Default)]
pub struct FrameBatch {
    bytes: Vec<u8>,
    frame_offsets: Vec<usize>,
}

impl FrameBatch {
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.frame_offsets.clear();
    }

    /// Starts a frame. The caller appends its records to the returned buffer.
    pub fn begin(&mut self) -> &mut Vec<u8> {
        self.frame_offsets.push(self.bytes.len());
        self.bytes.resize(self.bytes.len() + FRAME_HEADER_BYTES, 0);
        &mut self.bytes
    }

    /// Returns the size of all frames in bytes.
    pub fn len(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Fills in all frame headers for a write at `position` and returns the bytes to write. `written_at_ms`
    /// is Unix time.
    pub fn finish(&mut self, written_at_ms: i64, position: FramePosition) -> &[u8] {
        let mut end = self.bytes.len();
        for &start in self.frame_offsets.iter().rev() {
            let offset = position.offset + start as u64;
            fill_frame_header(
                &mut self.bytes[start..end],
                written_at_ms,
                FramePosition { offset, ..position },
            );
            end = start;
        }
        &self.bytes
    }
}

fn fill_frame_header(frame: &mut [u8], written_at_ms: i64, position: FramePosition) {
    let length = (frame.len() - FRAME_HEADER_BYTES) as u32;
    frame[..4].copy_from_slice(&frame_magic(position.nonce));
    frame[4..8].copy_from_slice(&length.to_le_bytes());
    frame[8..16].copy_from_slice(&written_at_ms.to_le_bytes());
    let header_crc = checksum(position, &[&frame[..16]]);
    frame[16..20].copy_from_slice(&header_crc.to_le_bytes());
    let frame_crc = checksum(position, &[&frame[..20], &frame[FRAME_HEADER_BYTES..]]);
    frame[20..FRAME_HEADER_BYTES].copy_from_slice(&frame_crc.to_le_bytes());
}

#[derive(Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The segment ends before the frame does.
    Truncated,
    Corrupt,
}

/// Decodes the frame at `position.offset`. Returns the time of its write (Unix time in milliseconds), its
/// records, and the offset of the next frame.
///
/// # Errors
/// Returns whether the frame is truncated or corrupt.
pub fn read_frame(segment: &[u8], position: FramePosition) -> Result<(i64, &[u8], usize), FrameError> {
    let start = position.offset as usize;
    let frame_header = segment.get(start..start + FRAME_HEADER_BYTES).ok_or(FrameError::Truncated)?;
    if frame_header[..4] != frame_magic(position.nonce)
        || read_u32(frame_header, 16) != Some(checksum(position, &[&frame_header[..16]]))
    {
        return Err(FrameError::Corrupt);
    }
    let end = start + FRAME_HEADER_BYTES + read_u32(frame_header, 4).unwrap_or_default() as usize;
    let records = segment.get(start + FRAME_HEADER_BYTES..end).ok_or(FrameError::Truncated)?;
    if read_u32(frame_header, 20) != Some(checksum(position, &[&frame_header[..20], records])) {
        return Err(FrameError::Corrupt);
    }
    let written_at_ms = i64::from_le_bytes(frame_header[8..16].try_into().unwrap_or_default());
    Ok((written_at_ms, records, end))
}

/// Returns the offset of the first valid frame after `position.offset`.
pub fn find_next_frame(segment: &[u8], position: FramePosition) -> Option<usize> {
    let magic = frame_magic(position.nonce);
    let mut from = position.offset as usize + 1;
    while let Some(distance) = segment.get(from..)?.windows(4).position(|window| window == magic) {
        let offset = from + distance;
        if read_frame(segment, FramePosition { offset: offset as u64, ..position }).is_ok() {
            return Some(offset);
        }
        from = offset + 1;
    }
    None
}

#[derive(Serialize, Deserialize)]
struct EncodedMessage<'a> {
    id: u64,
    class: &'a str,
    tenant: &'a str,
    dest: u64,
    trace: &'a str,
    key: Option<&'a str>,
    accepted_at_ms: i64,
    deadline_ms: i64,
    #[serde(borrow, with = "serde_bytes")]
    body: &'a [u8],
}

/// Postcard writes the number of a variant, not its name, so the order of variants is part of the format.
#[derive(Serialize, Deserialize)]
enum EncodedRecord<'a> {
    #[serde(rename = "Taken")]
    Accepted(#[serde(borrow)] EncodedMessage<'a>),
    #[serde(rename = "Begun")]
    AttemptStarted(u64, AttemptRecord),
    #[serde(rename = "NeverRan")]
    AttemptNeverRan(u64, u32),
    #[serde(rename = "Decided")]
    EndingDecided(u64, Ending),
    #[serde(rename = "Ended")]
    Finished(u64),
    /// The full state of a message. It supersedes all earlier records of this message.
    #[serde(rename = "Whole")]
    FullMessage(#[serde(borrow)] EncodedMessage<'a>, Vec<AttemptRecord>, Option<Ending>),
    /// Low-water mark: segments with lower numbers are no longer needed.
    #[serde(rename = "Floor")]
    LowWaterMark(u64),
}

/// A decoded record.
#[derive(Debug)]
pub enum Entry {
    Update(Record),
    FullMessage(Rc<AcceptedMessage>, Vec<AttemptRecord>, Option<Ending>),
    LowWaterMark(u64),
}

fn encode_message(message: &AcceptedMessage) -> EncodedMessage<'_> {
    EncodedMessage {
        id: message.id,
        class: &message.class,
        tenant: &message.tenant,
        dest: message.dest,
        trace: &message.trace,
        key: message.key.as_deref(),
        accepted_at_ms: message.accepted_at_ms,
        deadline_ms: message.deadline_ms,
        body: &message.body,
    }
}

fn append_encoded(encoded: &EncodedRecord, buffer: &mut Vec<u8>) {
    let written = std::mem::take(buffer);
    // Encoding plain data into memory has no error case.
    *buffer = postcard::to_extend(encoded, written).expect("records are plain data");
}

pub fn encode(record: &Record, buffer: &mut Vec<u8>) {
    let encoded = match record {
        Record::Accepted(message) => EncodedRecord::Accepted(encode_message(message)),
        Record::AttemptStarted(id, attempt) => EncodedRecord::AttemptStarted(*id, attempt.clone()),
        Record::AttemptNeverRan(id, number) => EncodedRecord::AttemptNeverRan(*id, *number),
        Record::EndingDecided(id, ending) => EncodedRecord::EndingDecided(*id, *ending),
        Record::Finished(id) => EncodedRecord::Finished(*id),
    };
    append_encoded(&encoded, buffer);
}

pub fn encode_full_message(live: &LiveMessage, buffer: &mut Vec<u8>) {
    append_encoded(
        &EncodedRecord::FullMessage(encode_message(&live.message), live.attempts.clone(), live.ending),
        buffer,
    );
}

pub fn encode_low_water_mark(first_needed_seq: u64, buffer: &mut Vec<u8>) {
    append_encoded(&EncodedRecord::LowWaterMark(first_needed_seq), buffer);
}

fn decode_message(encoded: EncodedMessage) -> Rc<AcceptedMessage> {
    Rc::new(AcceptedMessage {
        id: encoded.id,
        class: encoded.class.to_string(),
        tenant: encoded.tenant.to_string(),
        dest: encoded.dest,
        trace: encoded.trace.to_string(),
        key: encoded.key.map(str::to_string),
        accepted_at_ms: encoded.accepted_at_ms,
        deadline_ms: encoded.deadline_ms,
        body: Bytes::copy_from_slice(encoded.body),
        memory_share: None,
    })
}

/// Decodes the records of a frame. Returns None if one is invalid: since the checksum matched, only a
/// programming error can cause that.
pub fn decode(mut records: &[u8]) -> Option<Vec<Entry>> {
    let mut entries = Vec::new();
    while !records.is_empty() {
        let (encoded, rest) = postcard::take_from_bytes(records).ok()?;
        records = rest;
        entries.push(match encoded {
            EncodedRecord::Accepted(message) => Entry::Update(Record::Accepted(decode_message(message))),
            EncodedRecord::AttemptStarted(id, attempt) => Entry::Update(Record::AttemptStarted(id, attempt)),
            EncodedRecord::AttemptNeverRan(id, number) => Entry::Update(Record::AttemptNeverRan(id, number)),
            EncodedRecord::EndingDecided(id, ending) => Entry::Update(Record::EndingDecided(id, ending)),
            EncodedRecord::Finished(id) => Entry::Update(Record::Finished(id)),
            EncodedRecord::FullMessage(message, attempts, ending) => {
                Entry::FullMessage(decode_message(message), attempts, ending)
            }
            EncodedRecord::LowWaterMark(first_needed_seq) => Entry::LowWaterMark(first_needed_seq),
        });
    }
    Some(entries)
}

/// Upper bounds, in bytes, of the records that are written for a message. A varint takes at most ten bytes.
pub mod bound {
    use super::FRAME_HEADER_BYTES;
    use crate::record::{AcceptedMessage, AttemptRecord, MAX_ENDPOINT_NAME_BYTES};

    const MAX_VARINT_BYTES: u64 = 10;
    const TAG_BYTES: u64 = 1;

    /// Bound of the record that accepts a message.
    pub fn accepted(message: &AcceptedMessage) -> u64 {
        let texts = message.class.len()
            + message.tenant.len()
            + message.trace.len()
            + message.key.as_ref().map_or(0, String::len);
        (texts + message.body.len()) as u64 + 9 * MAX_VARINT_BYTES + TAG_BYTES
    }

    /// Bound of one attempt within a full message record.
    pub fn attempt(attempt: &AttemptRecord) -> u64 {
        attempt.endpoint.len() as u64 + 2 + 2 * MAX_VARINT_BYTES
    }

    /// Bound of all records that may follow the acceptance of a message, each in a frame of its own.
    pub fn remaining_records(max_attempts: u64) -> u64 {
        let started = TAG_BYTES + 3 * MAX_VARINT_BYTES + 2 + MAX_ENDPOINT_NAME_BYTES as u64;
        let never_ran = TAG_BYTES + 2 * MAX_VARINT_BYTES;
        let (decided, finished) = (TAG_BYTES + 2 * MAX_VARINT_BYTES + 2, TAG_BYTES + MAX_VARINT_BYTES);
        let frames = (2 * max_attempts + 2) * FRAME_HEADER_BYTES as u64;
        (started + never_ran) * max_attempts + decided + finished + frames
    }

    /// Bound of how much larger a full message record is than the acceptance record of the message.
    pub fn full_message_growth(max_attempts: u64) -> u64 {
        (MAX_ENDPOINT_NAME_BYTES as u64 + 2 + 2 * MAX_VARINT_BYTES) * max_attempts + 2 * MAX_VARINT_BYTES
    }
}

//! The bytes of a segment: a header, then one frame a round. No I/O.
//!
//! ```text
//! segment = header header frame*            the header stands twice: one spoilt block does not cost the segment
//! header  = "nsjl" version:u16 flags:u16 nonce:u64 seq:u64 prev:u32 crc:u32
//! frame   = mark:u32 length:u32 at:u64 head:u32 crc:u32 record*      `length` bytes of records
//! ```
//!
//! All numbers are little-endian, records are in postcard's form. A frame's checksum also covers the folder's
//! nonce, the segment's number and the frame's own place: no body that a client hands in can pass for a frame,
//! and no frame for one that stood elsewhere. `prev` is the length up to which the segment before holds good: what
//! stands behind it belongs to a write that failed. `head` is the checksum of a frame's first 16 bytes: with it, a
//! frame that the end of the file cuts off can be told from one whose length was spoilt.
use crate::record::{Begun, Ending, Live, Record, Taken};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

pub const VERSION: u16 = 1;
const MAGIC: [u8; 4] = *b"nsjl";
const BLOCK: usize = 32;
/// Bytes of a segment before its first frame.
pub const HEADER: usize = 2 * BLOCK;
/// Bytes of a frame before its records.
pub const FRAME: usize = 24;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    pub nonce: u64,
    pub seq: u64,
    /// How much of the segment before holds good, in bytes.
    pub prev: u32,
    /// No segment before it is of any use.
    pub first: bool,
    /// Written with durability against the loss of the machine: what is torn at the end was promised to nobody.
    pub machine: bool,
}

#[derive(Debug, PartialEq, Eq)]
pub enum HeaderError {
    /// Another program's version: to be left alone.
    Newer(u16),
    /// Too short: its creation was cut off.
    Torn,
    Damaged,
}

impl Header {
    pub fn encode(&self) -> [u8; HEADER] {
        let mut block = [0; BLOCK];
        block[..4].copy_from_slice(&MAGIC);
        block[4..6].copy_from_slice(&VERSION.to_le_bytes());
        let flags = u16::from(self.machine) | u16::from(self.first) << 1;
        block[6..8].copy_from_slice(&flags.to_le_bytes());
        block[8..16].copy_from_slice(&self.nonce.to_le_bytes());
        block[16..24].copy_from_slice(&self.seq.to_le_bytes());
        block[24..28].copy_from_slice(&self.prev.to_le_bytes());
        let sum = crc32fast::hash(&block[..28]);
        block[28..].copy_from_slice(&sum.to_le_bytes());
        let mut both = [0; HEADER];
        both[..BLOCK].copy_from_slice(&block);
        both[BLOCK..].copy_from_slice(&block);
        both
    }

    /// # Errors
    /// Says why neither copy can be used.
    pub fn decode(bytes: &[u8]) -> Result<Header, HeaderError> {
        let mut newer = None;
        for block in bytes.chunks_exact(BLOCK).take(2) {
            if block[..4] != MAGIC || word(block, 28) != Some(crc32fast::hash(&block[..28])) {
                continue;
            }
            match u16::from_le_bytes([block[4], block[5]]) {
                VERSION => {
                    let nonce = u64::from_le_bytes(block[8..16].try_into().unwrap_or_default());
                    let seq = u64::from_le_bytes(block[16..24].try_into().unwrap_or_default());
                    let prev = word(block, 24).unwrap_or_default();
                    let (machine, first) = (block[6] & 1 != 0, block[6] & 2 != 0);
                    return Ok(Header { nonce, seq, prev, first, machine });
                }
                version => newer = Some(version),
            }
        }
        Err(match newer {
            Some(version) => HeaderError::Newer(version),
            None if bytes.len() < HEADER => HeaderError::Torn,
            None => HeaderError::Damaged,
        })
    }
}

fn word(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

/// What a frame starts with in a folder; nobody outside knows it.
fn mark(nonce: u64) -> [u8; 4] {
    ((nonce ^ (nonce >> 32)) as u32 | 1).to_le_bytes()
}

/// What tells a frame from bytes that look like one.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    pub nonce: u64,
    pub seq: u64,
    pub offset: u64,
}

fn sum(place: Place, bytes: &[&[u8]]) -> u32 {
    let mut hash = crc32fast::Hasher::new();
    hash.update(&place.nonce.to_le_bytes());
    hash.update(&place.seq.to_le_bytes());
    hash.update(&place.offset.to_le_bytes());
    bytes.iter().for_each(|b| hash.update(b));
    hash.finalize()
}

/// Frames that are written together. Their places are known only then.
#[derive(Default)]
pub struct Frames {
    bytes: Vec<u8>,
    starts: Vec<usize>,
}

impl Frames {
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.starts.clear();
    }

    /// Begins a frame; its records are appended to what this returns.
    pub fn begin(&mut self) -> &mut Vec<u8> {
        self.starts.push(self.bytes.len());
        self.bytes.resize(self.bytes.len() + FRAME, 0);
        &mut self.bytes
    }

    pub fn len(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// The bytes as they are to stand from `place` on. `at`: Unix time in milliseconds.
    pub fn seal(&mut self, at: i64, place: Place) -> &[u8] {
        let mut end = self.bytes.len();
        for &start in self.starts.iter().rev() {
            let offset = place.offset + start as u64;
            seal(&mut self.bytes[start..end], at, Place { offset, ..place });
            end = start;
        }
        &self.bytes
    }
}

fn seal(frame: &mut [u8], at: i64, place: Place) {
    let length = (frame.len() - FRAME) as u32;
    frame[..4].copy_from_slice(&mark(place.nonce));
    frame[4..8].copy_from_slice(&length.to_le_bytes());
    frame[8..16].copy_from_slice(&at.to_le_bytes());
    let head = sum(place, &[&frame[..16]]);
    frame[16..20].copy_from_slice(&head.to_le_bytes());
    let whole = sum(place, &[&frame[..20], &frame[FRAME..]]);
    frame[20..FRAME].copy_from_slice(&whole.to_le_bytes());
}

#[derive(Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The bytes end before it does.
    Short,
    Bad,
}

/// The frame at `place.offset` of a segment: when it was written (Unix time in milliseconds), its records, and
/// where the next one starts.
///
/// # Errors
/// Says whether it is cut off or spoilt.
pub fn frame(segment: &[u8], place: Place) -> Result<(i64, &[u8], usize), FrameError> {
    let start = place.offset as usize;
    let head = segment.get(start..start + FRAME).ok_or(FrameError::Short)?;
    if head[..4] != mark(place.nonce) || word(head, 16) != Some(sum(place, &[&head[..16]])) {
        return Err(FrameError::Bad);
    }
    let end = start + FRAME + word(head, 4).unwrap_or_default() as usize;
    let records = segment.get(start + FRAME..end).ok_or(FrameError::Short)?;
    if word(head, 20) != Some(sum(place, &[&head[..20], records])) {
        return Err(FrameError::Bad);
    }
    let at = i64::from_le_bytes(head[8..16].try_into().unwrap_or_default());
    Ok((at, records, end))
}

/// The first good frame behind `place.offset`.
pub fn next_frame(segment: &[u8], place: Place) -> Option<usize> {
    let mark = mark(place.nonce);
    let mut from = place.offset as usize + 1;
    while let Some(found) = segment.get(from..)?.windows(4).position(|w| w == mark) {
        let offset = from + found;
        if frame(segment, Place { offset: offset as u64, ..place }).is_ok() {
            return Some(offset);
        }
        from = offset + 1;
    }
    None
}

#[derive(Serialize, Deserialize)]
struct Head<'a> {
    id: u64,
    class: &'a str,
    tenant: &'a str,
    dest: u64,
    trace: &'a str,
    key: Option<&'a str>,
    since: i64,
    end: i64,
    #[serde(borrow, with = "serde_bytes")]
    body: &'a [u8],
}

/// The numbers of these variants are part of the format.
#[derive(Serialize, Deserialize)]
enum Wire<'a> {
    Taken(#[serde(borrow)] Head<'a>),
    Begun(u64, Begun),
    NeverRan(u64, u32),
    Decided(u64, Ending),
    Ended(u64),
    /// A message as it stands; all that was written of it before is of no more use.
    Whole(#[serde(borrow)] Head<'a>, Vec<Begun>, Option<Ending>),
    /// Segments with lower numbers are of no more use.
    Floor(u64),
}

/// A record as it is read back.
#[derive(Debug)]
pub enum Entry {
    Plain(Record),
    Whole(Rc<Taken>, Vec<Begun>, Option<Ending>),
    Floor(u64),
}

fn head(taken: &Taken) -> Head<'_> {
    Head {
        id: taken.id,
        class: &taken.class,
        tenant: &taken.tenant,
        dest: taken.dest,
        trace: &taken.trace,
        key: taken.key.as_deref(),
        since: taken.since,
        end: taken.end,
        body: &taken.body,
    }
}

fn put(wire: &Wire, buffer: &mut Vec<u8>) {
    let used = std::mem::take(buffer);
    // Plain data written to memory: there is nothing in it that could fail.
    *buffer = postcard::to_extend(wire, used).expect("records are plain data");
}

pub fn encode(record: &Record, buffer: &mut Vec<u8>) {
    let wire = match record {
        Record::Taken(taken) => Wire::Taken(head(taken)),
        Record::Begun(id, begun) => Wire::Begun(*id, begun.clone()),
        Record::NeverRan(id, number) => Wire::NeverRan(*id, *number),
        Record::Decided(id, ending) => Wire::Decided(*id, *ending),
        Record::Ended(id) => Wire::Ended(*id),
    };
    put(&wire, buffer);
}

pub fn encode_whole(live: &Live, buffer: &mut Vec<u8>) {
    put(&Wire::Whole(head(&live.taken), live.attempts.clone(), live.ending), buffer);
}

pub fn encode_floor(seq: u64, buffer: &mut Vec<u8>) {
    put(&Wire::Floor(seq), buffer);
}

fn taken(head: Head) -> Rc<Taken> {
    Rc::new(Taken {
        id: head.id,
        class: head.class.to_string(),
        tenant: head.tenant.to_string(),
        dest: head.dest,
        trace: head.trace.to_string(),
        key: head.key.map(str::to_string),
        since: head.since,
        end: head.end,
        body: Bytes::copy_from_slice(head.body),
        share: None,
    })
}

/// The records of a frame. None if one can't be read, which its checksum rules out but for a fault of this program.
pub fn decode(mut records: &[u8]) -> Option<Vec<Entry>> {
    let mut entries = Vec::new();
    while !records.is_empty() {
        let (wire, rest) = postcard::take_from_bytes(records).ok()?;
        records = rest;
        entries.push(match wire {
            Wire::Taken(head) => Entry::Plain(Record::Taken(taken(head))),
            Wire::Begun(id, begun) => Entry::Plain(Record::Begun(id, begun)),
            Wire::NeverRan(id, number) => Entry::Plain(Record::NeverRan(id, number)),
            Wire::Decided(id, ending) => Entry::Plain(Record::Decided(id, ending)),
            Wire::Ended(id) => Entry::Plain(Record::Ended(id)),
            Wire::Whole(head, attempts, ending) => Entry::Whole(taken(head), attempts, ending),
            Wire::Floor(seq) => Entry::Floor(seq),
        });
    }
    Some(entries)
}

/// Upper bounds, in bytes, of what is written for a message. A number takes ten at most.
pub mod bound {
    use super::FRAME;
    use crate::record::{Begun, Taken, MAX_NAME};

    const NUMBER: u64 = 10;
    const TAG: u64 = 1;

    /// The record that takes a message on.
    pub fn taken(t: &Taken) -> u64 {
        let texts = t.class.len() + t.tenant.len() + t.trace.len() + t.key.as_ref().map_or(0, String::len);
        (texts + t.body.len()) as u64 + 9 * NUMBER + TAG
    }

    /// An attempt inside the record of a whole message.
    pub fn attempt(begun: &Begun) -> u64 {
        begun.endpoint.len() as u64 + 2 + 2 * NUMBER
    }

    /// All that may still be written of a message once it was taken on, each record in a frame of its own.
    pub fn to_come(max_attempts: u64) -> u64 {
        let begun = TAG + 3 * NUMBER + 2 + MAX_NAME as u64;
        let never_ran = TAG + 2 * NUMBER;
        let (decided, ended) = (TAG + 2 * NUMBER + 2, TAG + NUMBER);
        let frames = (2 * max_attempts + 2) * FRAME as u64;
        (begun + never_ran) * max_attempts + decided + ended + frames
    }

    /// By how much its whole record may outgrow the first one.
    pub fn growth(max_attempts: u64) -> u64 {
        (MAX_NAME as u64 + 2 + 2 * NUMBER) * max_attempts + 2 * NUMBER
    }
}

//! The journal that wrote the legacy format, kept as the baseline of the benchmark.
//!
//! It stores the messages that the sender has accepted in `$EDGE_STATE`, so that they survive the end of the
//! process.
//!
//! One file of records, each framed by its length and a checksum. It is rewritten with the live messages
//! before it would exceed half of the disk limit, so that the old and the new file together stay below the
//! limit.
use bytes::Bytes;
use nickelshed_budget::{Budget, MemoryReservation};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// A message as it was accepted, with everything that a call needs after a restart.
#[derive(Serialize, Deserialize, Debug)]
pub struct AcceptedMessage {
    #[serde(rename = "i")]
    pub id: u64,
    #[serde(rename = "c")]
    pub class: String,
    #[serde(rename = "u")]
    pub tenant: String,
    #[serde(rename = "d")]
    pub dest: u64,
    #[serde(rename = "m")]
    pub trace: String,
    #[serde(rename = "k")]
    pub key: Option<String>,
    /// Deadline, Unix time in milliseconds.
    #[serde(rename = "t")]
    pub deadline_ms: i64,
    #[serde(skip)]
    pub body: Bytes,
    /// The memory budget used by the body.
    #[serde(skip)]
    pub memory_share: Option<MemoryReservation>,
}

impl AcceptedMessage {
    /// Whether `other` is a repeated submission of this message.
    pub fn is_same_submission(&self, other: &AcceptedMessage) -> bool {
        let (a, b) = (self, other);
        a.dest == b.dest && a.class == b.class && a.tenant == b.tenant && a.key == b.key && a.body == b.body
    }
}

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct AttemptRecord {
    #[serde(rename = "n")]
    pub number: u32,
    /// Unix time in milliseconds.
    #[serde(rename = "t")]
    pub started_at_ms: i64,
    #[serde(rename = "e")]
    pub endpoint: String,
    #[serde(skip)]
    pub never_ran: bool,
}

#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    #[serde(rename = "g")]
    GivenUp,
    #[serde(rename = "h")]
    HandedBack(Option<u64>),
}

#[derive(Serialize, Deserialize, Clone, Debug)]
pub enum Record {
    #[serde(rename = "T")]
    Accepted(Rc<AcceptedMessage>),
    #[serde(rename = "B")]
    AttemptStarted(u64, AttemptRecord),
    /// The attempt with this number is known not to have run.
    #[serde(rename = "N")]
    AttemptNeverRan(u64, u32),
    /// The ending is chosen and its notice is about to be sent. This is written before the notice, so that
    /// after a restart the sender does not send a message that its client may already have submitted again.
    #[serde(rename = "D")]
    EndingDecided(u64, Ending),
    #[serde(rename = "E")]
    Finished(u64),
}

pub struct LiveMessage {
    pub message: Rc<AcceptedMessage>,
    pub attempts: Vec<AttemptRecord>,
    pub ending: Option<Ending>,
    /// Bound of its size in the file, including records still to be written.
    reserved_bytes: u64,
}

pub struct Journal {
    path: PathBuf,
    file: File,
    file_bytes: u64,
    /// Limit of each of the two files.
    max_file_bytes: u64,
    total_reserved_bytes: u64,
    max_attempts: u64,
    live: BTreeMap<u64, LiveMessage>,
}

#[allow(dead_code)]
/// Maximum size of a message body.
pub const MAX_BODY_BYTES: usize = 64 << 10;
const RECORD_HEADER_BYTES: usize = 8;
/// Upper bounds of the records of an attempt with its end, and of the records that finish a message.
const MAX_ATTEMPT_RECORDS_BYTES: u64 = 160;
const MAX_FINISH_RECORDS_BYTES: u64 = 160;
/// Longer endpoint names would break the bound above.
pub const MAX_ENDPOINT_NAME_BYTES: usize = 64;
/// Maximum length of a record that is read: a body of 64 KiB and its headers.
const MAX_RECORD_BYTES: usize = 256 << 10;

pub fn wall_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since_epoch| since_epoch.as_millis() as i64)
}

fn encode(record: &Record, buffer: &mut Vec<u8>) {
    let head = serde_json::to_vec(record).expect("records are plain data");
    let body: &[u8] = if let Record::Accepted(message) = record { &message.body } else { &[] };
    let start = buffer.len();
    buffer.extend_from_slice(&((4 + head.len() + body.len()) as u32).to_le_bytes());
    buffer.extend_from_slice(&[0; 4]);
    buffer.extend_from_slice(&(head.len() as u32).to_le_bytes());
    buffer.extend_from_slice(&head);
    buffer.extend_from_slice(body);
    let checksum = crc32fast::hash(&buffer[start + RECORD_HEADER_BYTES..]);
    buffer[start + 4..start + RECORD_HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
}

/// Decodes the record at the start of `bytes` and returns it with its length, or None if it is torn or
/// damaged.
fn decode(bytes: &[u8], budget: &Budget) -> Option<(Record, usize)> {
    let read_u32 =
        |offset: usize| Some(u32::from_le_bytes(bytes.get(offset..offset + 4)?.try_into().ok()?) as usize);
    let length = read_u32(0)?;
    if !(4..=MAX_RECORD_BYTES).contains(&length) {
        return None;
    }
    let payload = bytes.get(RECORD_HEADER_BYTES..RECORD_HEADER_BYTES + length)?;
    if crc32fast::hash(payload) as usize != read_u32(4)? {
        return None;
    }
    let (head, body) = payload[4..].split_at_checked(read_u32(RECORD_HEADER_BYTES)?)?;
    let mut record = serde_json::from_slice(head).ok()?;
    if let Record::Accepted(message) = &mut record {
        let message = Rc::get_mut(message)?;
        message.body = Bytes::copy_from_slice(body);
        message.memory_share = Some(budget.reserve_recovered(body.len()));
    }
    Some((record, RECORD_HEADER_BYTES + length))
}

impl Journal {
    pub fn open(folder: &Path, disk_mb: f64, max_attempts: u32, budget: &Budget) -> io::Result<Journal> {
        let path = folder.join("journal");
        // An interrupted rewrite: the main file is still complete.
        let _ = fs::remove_file(folder.join("journal.new"));
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(e),
        };
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(&path)?;
        // Files count in whole blocks; a fraction stays free for that and for the folder itself.
        let max_file_bytes = ((disk_mb * 1e6 * 0.94 / 2.0) as u64 / 512).saturating_sub(4) * 512;
        let max_attempts = max_attempts.min(1_000) as u64;
        let mut journal = Journal {
            path,
            file,
            file_bytes: 0,
            max_file_bytes,
            total_reserved_bytes: 0,
            max_attempts,
            live: BTreeMap::new(),
        };
        let mut offset = 0;
        while let Some((record, length)) = decode(&bytes[offset..], budget) {
            journal.apply(&record);
            offset += length;
        }
        // A write torn by the end of the previous process had not been acknowledged.
        if offset < bytes.len() {
            tracing::warn!(kept = offset, cut = bytes.len() - offset, "the journal's tail is torn");
            journal.file.set_len(offset as u64)?;
        }
        journal.file_bytes = offset as u64;
        Ok(journal)
    }

    pub fn live(&self) -> &BTreeMap<u64, LiveMessage> {
        &self.live
    }

    fn reserved_size(&self, message: &AcceptedMessage) -> u64 {
        let texts = message.class.len() + message.tenant.len() + message.trace.len();
        let texts = texts + message.key.as_ref().map_or(0, String::len);
        // Texts count twice, as JSON may escape characters.
        (2 * texts + message.body.len()) as u64
            + 160
            + MAX_FINISH_RECORDS_BYTES
            + MAX_ATTEMPT_RECORDS_BYTES * self.max_attempts
    }

    /// Returns the size to reserve for a message if it fits in addition to `already_reserved_bytes` of this
    /// commit.
    pub fn bytes_to_reserve(&self, message: &AcceptedMessage, already_reserved_bytes: u64) -> Option<u64> {
        let message_bytes = self.reserved_size(message);
        (self.total_reserved_bytes + already_reserved_bytes + message_bytes <= self.max_file_bytes)
            .then_some(message_bytes)
    }

    /// Writes the records of a commit at once. On failure none of them takes effect.
    pub fn write(&mut self, records: &[Record]) -> io::Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        let mut buffer = Vec::new();
        records.iter().for_each(|record| encode(record, &mut buffer));
        if self.file_bytes + buffer.len() as u64 > self.max_file_bytes {
            self.compact()?;
        }
        if self.file_bytes + buffer.len() as u64 > self.max_file_bytes {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the journal is full"));
        }
        if let Err(e) = self.file.write_all_at(&buffer, self.file_bytes) {
            let _ = self.file.set_len(self.file_bytes);
            return Err(e);
        }
        self.file_bytes += buffer.len() as u64;
        records.iter().for_each(|r| self.apply(r));
        Ok(())
    }

    /// Rewrites the file with the live messages.
    fn compact(&mut self) -> io::Result<()> {
        let mut buffer = Vec::new();
        for (&id, live) in &self.live {
            encode(&Record::Accepted(live.message.clone()), &mut buffer);
            for attempt in &live.attempts {
                encode(&Record::AttemptStarted(id, attempt.clone()), &mut buffer);
                if attempt.never_ran {
                    encode(&Record::AttemptNeverRan(id, attempt.number), &mut buffer);
                }
            }
            if let Some(ending) = live.ending {
                encode(&Record::EndingDecided(id, ending), &mut buffer);
            }
        }
        let new_path = self.path.with_extension("new");
        let mut file = File::create(&new_path)?;
        if let Err(e) = file.write_all(&buffer).and_then(|()| fs::rename(&new_path, &self.path)) {
            let _ = fs::remove_file(&new_path);
            return Err(e);
        }
        (self.file, self.file_bytes) = (file, buffer.len() as u64);
        Ok(())
    }

    fn apply(&mut self, record: &Record) {
        match record {
            Record::Accepted(message) => {
                let reserved_bytes = self.reserved_size(message);
                self.total_reserved_bytes += reserved_bytes;
                let live = LiveMessage {
                    message: message.clone(),
                    attempts: Vec::new(),
                    ending: None,
                    reserved_bytes,
                };
                self.live.insert(message.id, live);
            }
            Record::AttemptStarted(id, attempt) => {
                if let Some(live) = self.live.get_mut(id) {
                    live.attempts.push(attempt.clone());
                }
            }
            Record::AttemptNeverRan(id, number) => {
                if let Some(live) = self.live.get_mut(id) {
                    live.attempts.iter_mut().filter(|a| a.number == *number).for_each(|a| a.never_ran = true);
                }
            }
            Record::EndingDecided(id, ending) => {
                if let Some(live) = self.live.get_mut(id) {
                    live.ending = Some(*ending);
                }
            }
            Record::Finished(id) => {
                if let Some(live) = self.live.remove(id) {
                    self.total_reserved_bytes -= live.reserved_bytes;
                }
            }
        }
    }
}

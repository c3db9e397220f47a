//! The journal as it was before it had a version, for the comparison only.
//!
//! What the sender has taken on, kept in `$EDGE_STATE` so that it outlasts the process.
//!
//! One file of records, each framed by its length and a checksum. It is rewritten with what still lives once
//! it would pass half of the disk's limit, so that both files together stay under it.
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

/// A message as it was taken on: all that a call needs after a restart.
#[derive(Serialize, Deserialize, Debug)]
pub struct Taken {
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
    pub end: i64,
    #[serde(skip)]
    pub body: Bytes,
    /// Its part of the memory.
    #[serde(skip)]
    pub share: Option<MemoryReservation>,
}

impl Taken {
    /// Whether it is the same message, handed in again.
    pub fn is_same(&self, other: &Taken) -> bool {
        let (a, b) = (self, other);
        a.dest == b.dest && a.class == b.class && a.tenant == b.tenant && a.key == b.key && a.body == b.body
    }
}

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Begun {
    #[serde(rename = "n")]
    pub number: u32,
    /// Unix time in milliseconds.
    #[serde(rename = "t")]
    pub at: i64,
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
    Taken(Rc<Taken>),
    #[serde(rename = "B")]
    Begun(u64, Begun),
    /// This attempt is known not to have run.
    #[serde(rename = "N")]
    NeverRan(u64, u32),
    /// Its notice is under way. Written before the notice, so that a message whose client may hand it in
    /// again is not sent by the next process too.
    #[serde(rename = "D")]
    Decided(u64, Ending),
    #[serde(rename = "E")]
    Ended(u64),
}

pub struct Live {
    pub taken: Rc<Taken>,
    pub attempts: Vec<Begun>,
    pub ending: Option<Ending>,
    /// What it may come to in the file, records to come included.
    claim: u64,
}

pub struct Journal {
    path: PathBuf,
    file: File,
    size: u64,
    /// Each of the two files stays under this.
    bound: u64,
    claimed: u64,
    max_attempts: u64,
    live: BTreeMap<u64, Live>,
}

#[allow(dead_code)]
/// Bodies hold at most so much.
pub const MAX_BODY: usize = 64 << 10;
const FRAME: usize = 8;
/// Upper bounds for a record of an attempt with its end, and for the end of a message.
const PER_ATTEMPT: u64 = 160;
const PER_END: u64 = 160;
/// Names of endpoints longer than this would break the bound above.
pub const MAX_NAME: usize = 64;
/// Longest record that is read back: a body of 64 KiB and its headers.
const MAX_RECORD: usize = 256 << 10;

pub fn wall_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as i64)
}

fn encode(record: &Record, buffer: &mut Vec<u8>) {
    let head = serde_json::to_vec(record).expect("records are plain data");
    let body: &[u8] = if let Record::Taken(t) = record { &t.body } else { &[] };
    let start = buffer.len();
    buffer.extend_from_slice(&((4 + head.len() + body.len()) as u32).to_le_bytes());
    buffer.extend_from_slice(&[0; 4]);
    buffer.extend_from_slice(&(head.len() as u32).to_le_bytes());
    buffer.extend_from_slice(&head);
    buffer.extend_from_slice(body);
    let sum = crc32fast::hash(&buffer[start + FRAME..]);
    buffer[start + 4..start + FRAME].copy_from_slice(&sum.to_le_bytes());
}

/// The record at the start of `bytes` and its length; None where it is torn or damaged.
fn decode(bytes: &[u8], budget: &Budget) -> Option<(Record, usize)> {
    let word = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?) as usize);
    let length = word(0)?;
    if !(4..=MAX_RECORD).contains(&length) {
        return None;
    }
    let payload = bytes.get(FRAME..FRAME + length)?;
    if crc32fast::hash(payload) as usize != word(4)? {
        return None;
    }
    let (head, body) = payload[4..].split_at_checked(word(FRAME)?)?;
    let mut record = serde_json::from_slice(head).ok()?;
    if let Record::Taken(taken) = &mut record {
        let taken = Rc::get_mut(taken)?;
        taken.body = Bytes::copy_from_slice(body);
        taken.share = Some(budget.reserve_recovered(body.len()));
    }
    Some((record, FRAME + length))
}

impl Journal {
    pub fn open(folder: &Path, disk_mb: f64, max_attempts: u32, budget: &Budget) -> io::Result<Journal> {
        let path = folder.join("journal");
        // A rewrite that was cut short: the old file still holds everything.
        let _ = fs::remove_file(folder.join("journal.new"));
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(e),
        };
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(&path)?;
        // Files count in whole blocks; a part stays free for that and for the folder itself.
        let bound = ((disk_mb * 1e6 * 0.94 / 2.0) as u64 / 512).saturating_sub(4) * 512;
        let max_attempts = max_attempts.min(1_000) as u64;
        let mut journal =
            Journal { path, file, size: 0, bound, claimed: 0, max_attempts, live: BTreeMap::new() };
        let mut at = 0;
        while let Some((record, length)) = decode(&bytes[at..], budget) {
            journal.note(&record);
            at += length;
        }
        // What was torn by the end of the process before had not been answered for yet.
        if at < bytes.len() {
            tracing::warn!(kept = at, cut = bytes.len() - at, "the journal's tail is torn");
            journal.file.set_len(at as u64)?;
        }
        journal.size = at as u64;
        Ok(journal)
    }

    pub fn live(&self) -> &BTreeMap<u64, Live> {
        &self.live
    }

    fn claim(&self, taken: &Taken) -> u64 {
        let texts = taken.class.len() + taken.tenant.len() + taken.trace.len();
        let texts = texts + taken.key.as_ref().map_or(0, String::len);
        // Twice, as JSON may escape a character.
        (2 * texts + taken.body.len()) as u64 + 160 + PER_END + PER_ATTEMPT * self.max_attempts
    }

    /// Whether there is room for one more besides `waiting` bytes that were promised in this round.
    pub fn has_room(&self, taken: &Taken, waiting: u64) -> Option<u64> {
        let claim = self.claim(taken);
        (self.claimed + waiting + claim <= self.bound).then_some(claim)
    }

    /// Writes the records of a round at once. If that fails nothing of them holds.
    pub fn write(&mut self, records: &[Record]) -> io::Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        let mut buffer = Vec::new();
        records.iter().for_each(|r| encode(r, &mut buffer));
        if self.size + buffer.len() as u64 > self.bound {
            self.compact()?;
        }
        if self.size + buffer.len() as u64 > self.bound {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the journal is full"));
        }
        if let Err(e) = self.file.write_all_at(&buffer, self.size) {
            let _ = self.file.set_len(self.size);
            return Err(e);
        }
        self.size += buffer.len() as u64;
        records.iter().for_each(|r| self.note(r));
        Ok(())
    }

    /// Rewrites the file with what still lives.
    fn compact(&mut self) -> io::Result<()> {
        let mut buffer = Vec::new();
        for (&id, live) in &self.live {
            encode(&Record::Taken(live.taken.clone()), &mut buffer);
            for attempt in &live.attempts {
                encode(&Record::Begun(id, attempt.clone()), &mut buffer);
                if attempt.never_ran {
                    encode(&Record::NeverRan(id, attempt.number), &mut buffer);
                }
            }
            if let Some(ending) = live.ending {
                encode(&Record::Decided(id, ending), &mut buffer);
            }
        }
        let new = self.path.with_extension("new");
        let mut file = File::create(&new)?;
        if let Err(e) = file.write_all(&buffer).and_then(|()| fs::rename(&new, &self.path)) {
            let _ = fs::remove_file(&new);
            return Err(e);
        }
        (self.file, self.size) = (file, buffer.len() as u64);
        Ok(())
    }

    fn note(&mut self, record: &Record) {
        match record {
            Record::Taken(taken) => {
                let claim = self.claim(taken);
                self.claimed += claim;
                let live = Live { taken: taken.clone(), attempts: Vec::new(), ending: None, claim };
                self.live.insert(taken.id, live);
            }
            Record::Begun(id, begun) => {
                if let Some(live) = self.live.get_mut(id) {
                    live.attempts.push(begun.clone());
                }
            }
            Record::NeverRan(id, number) => {
                if let Some(live) = self.live.get_mut(id) {
                    live.attempts.iter_mut().filter(|a| a.number == *number).for_each(|a| a.never_ran = true);
                }
            }
            Record::Decided(id, ending) => {
                if let Some(live) = self.live.get_mut(id) {
                    live.ending = Some(*ending);
                }
            }
            Record::Ended(id) => {
                if let Some(live) = self.live.remove(id) {
                    self.claimed -= live.claim;
                }
            }
        }
    }
}

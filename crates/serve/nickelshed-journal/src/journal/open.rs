//! Opening a folder: what it says, what of it is set aside, and what the version before has left.
use super::*;
use crate::legacy;
use crate::record::{Begun, UNKNOWN};
use crate::recover::{self, Damage, Failed, Torn};
use nickelshed_budget::Budget;
use std::fmt;
use std::hash::{BuildHasher, Hasher};
use std::rc::Rc;

const LEGACY: &str = "journal";
const LEGACY_NEW: &str = "journal.new";
/// The file of the version before, from when its import begins until it is whole.
const IMPORTING: &str = "journal.v0";

#[derive(Debug)]
pub enum OpenError {
    /// Another process runs on this folder.
    InUse,
    /// The folder was written by a newer version of this program, and was left as it is.
    Newer {
        file: String,
        version: u16,
    },
    Io {
        what: String,
        error: io::Error,
    },
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::InUse => {
                write!(f, "another process runs on this folder: give each sender a state folder of its own")
            }
            OpenError::Newer { file, version } => write!(
                f,
                "{file} has format {version}, this program reads up to {}: start the newer program again, \
                 or let it deliver what it holds first. Nothing was changed",
                format::VERSION
            ),
            OpenError::Io { what, error } => write!(f, "{what}: {error}"),
        }
    }
}

impl std::error::Error for OpenError {}

fn failed(what: impl fmt::Display) -> impl FnOnce(io::Error) -> OpenError {
    move |error| OpenError::Io { what: what.to_string(), error }
}

/// What opening a folder found.
#[derive(Debug, Default)]
pub struct Found {
    pub torn: Option<Torn>,
    pub damage: Vec<Damage>,
    /// Messages of which an attempt is supposed since its record may be lost.
    pub doubted: usize,
    /// Where the damaged bytes stand now, if there was room to keep them.
    pub set_aside: Vec<String>,
    /// Messages taken over from the file of the version before.
    pub imported: usize,
}

impl<S: Storage> Journal<S> {
    /// Opens a folder, or makes it one. `now` is Unix time in milliseconds.
    ///
    /// # Errors
    /// If another process has it, a newer version wrote it, or its files can't be read or written. Nothing that
    /// was held is lost by a failure here.
    pub fn open(
        mut storage: S,
        options: Options,
        budget: &Budget,
        now: i64,
    ) -> Result<(Journal<S>, Found), OpenError> {
        match storage.lock() {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Err(OpenError::InUse),
            other => other.map_err(failed("cannot lock the folder"))?,
        }
        let files = storage.list().map_err(failed("cannot list the folder"))?;
        let numbered: Vec<(u64, u64)> =
            files.iter().filter_map(|(name, length)| Some((segment_number(name)?, *length))).collect();
        let read = |seq, most| storage.read(&segment_name(seq), most);
        let recovered = recover::replay(&numbered, options.durability == Durability::Machine, read).map_err(
            |e| match e {
                Failed::Newer { seq, version } => OpenError::Newer { file: segment_name(seq), version },
                Failed::Io { seq, error } => failed(format!("cannot read {}", segment_name(seq)))(error),
            },
        )?;
        let folder = storage.folder().map_err(failed("cannot open the folder"))?;
        let mut journal = Journal {
            folder,
            options,
            nonce: recovered.nonce.unwrap_or_else(nonce),
            segments: VecDeque::new(),
            next_seq: recovered.segments.last().map_or(1, |s| s.seq + 1),
            table: recovered.table,
            frames: Frames::default(),
            roll: true,
            ballast: files.iter().any(|(name, _)| name == BALLAST),
            ballast_tried: i64::MIN,
            others: 0,
            noted: files.iter().any(|(name, _)| name == NOTE),
            note_number: 0,
            round: 0,
            durable: 0,
            on_disk: 0,
            folder_dirty: true,
            syncing: false,
            rewrite: None,
            aside: Vec::new(),
            spare: None,
            stats: Stats::default(),
            storage,
        };
        let mut found = Found {
            torn: recovered.torn,
            damage: recovered.damage,
            doubted: recovered.doubted,
            ..Found::default()
        };
        for seq in recovered.useless {
            let name = segment_name(seq);
            journal.storage.remove(&name).map_err(failed(format!("cannot remove {name}")))?;
        }
        let mut by_segment: BTreeMap<u64, VecDeque<u64>> = BTreeMap::new();
        for live in journal.table.live().values() {
            by_segment.entry(live.base).or_default().push_back(live.taken.id);
        }
        for s in recovered.segments {
            let name = segment_name(s.seq);
            let open = || journal.storage.open(&name).map_err(failed(format!("cannot open {name}")));
            let file = (options.durability == Durability::Machine).then(open).transpose()?;
            let ids = by_segment.remove(&s.seq).unwrap_or_default();
            journal.segments.push_back(Segment {
                seq: s.seq,
                file,
                good: s.good,
                length: s.length,
                ids,
                emptied: None,
                dirty: true,
            });
        }
        if files.iter().any(|(name, _)| name == SPARE) {
            journal.storage.remove(SPARE).map_err(failed("cannot remove the spare segment"))?;
        }
        let ours =
            |name: &str| segment_number(name).is_some() || [BALLAST, LEGACY_NEW, SPARE, NOTE].contains(&name);
        journal.others = files.iter().filter(|(n, _)| !ours(n)).map(|(_, length)| blocks(*length)).sum();
        journal.others += blocks(journal.note_layout().file_size());
        // One that can't be read is nothing, and is written over.
        let note = journal.noted.then(|| journal.newest_note()).flatten();
        journal.note_number = note.map_or(0, |(number, _)| number);
        journal.hold_ballast(now);
        journal.set_aside(&mut found, &files, now)?;
        journal.import(&mut found, &files, now)?;
        for live in journal.table.live_mut() {
            // Nobody else has it yet.
            if let Some(taken) = Rc::get_mut(&mut live.taken) {
                taken.share = Some(budget.reserve_recovered(taken.body.len()));
            }
        }
        // What a process before wrote was kept from its own end, but perhaps not from the machine's.
        journal.sync_here()?;
        Ok((journal, found))
    }

    /// Damaged segments are emptied like old ones, at once; what was in them stays for somebody to look at.
    fn set_aside(&mut self, found: &mut Found, files: &[(String, u64)], now: i64) -> Result<(), OpenError> {
        let damaged: Vec<u64> = found.damage.iter().filter(|d| d.to > 0).map(|d| d.seq).collect();
        let Some(&last) = damaged.iter().max() else { return Ok(()) };
        for (name, length) in files.iter().filter(|(name, _)| name.starts_with(DAMAGED)) {
            self.storage.remove(name).map_err(failed(format!("cannot remove {name}")))?;
            self.others -= blocks(*length);
        }
        let most = self.total() / 8;
        let small = self.segments.iter().filter(|s| damaged.contains(&s.seq) && blocks(s.length) <= most);
        self.aside = small.map(|s| s.seq).collect();
        found.set_aside = self.aside.iter().map(|seq| aside_name(*seq)).collect();
        while self.segments.front().is_some_and(|s| s.seq <= last) {
            let before = (self.round, self.segments.len());
            self.copy(STEP, now, |_| true)
                .map_err(failed("cannot copy what stands beside damaged records"))?;
            self.sync_here()?;
            self.clean().map_err(failed("cannot set damaged records aside"))?;
            if before == (self.round, self.segments.len()) {
                let full = io::ErrorKind::StorageFull.into();
                return Err(failed("no room to copy what stands beside damaged records")(full));
            }
        }
        Ok(())
    }

    /// While the folder is opened there is nobody to wait for it.
    fn sync_here(&mut self) -> Result<(), OpenError> {
        match self.sync().map(Sync::run) {
            Some(synced) => self.note_synced(synced).map_err(failed("cannot sync the folder")),
            None => Ok(()),
        }
    }

    /// Takes over what the version before has left. Its file goes only once all of it stands in a segment.
    fn import(&mut self, found: &mut Found, files: &[(String, u64)], now: i64) -> Result<(), OpenError> {
        let has = |name: &str| files.iter().find(|(n, _)| n == name).map(|(_, length)| *length);
        if has(LEGACY_NEW).is_some() {
            // A rewrite that was cut short: the file itself still holds everything.
            self.storage.remove(LEGACY_NEW).map_err(failed("cannot remove journal.new"))?;
        }
        let (length, again) = match (has(IMPORTING), has(LEGACY)) {
            (Some(length), _) => (length, true),
            (None, Some(length)) => {
                self.storage.rename(LEGACY, IMPORTING).map_err(failed("cannot rename journal"))?;
                // Else an import that is cut short by the loss of the machine could pass for a journal of its own.
                self.folder_dirty = true;
                self.sync_here()?;
                (length, false)
            }
            (None, None) => return Ok(()),
        };
        let bytes = self.storage.read(IMPORTING, length).map_err(failed("cannot read journal.v0"))?;
        let (old, torn) = legacy::read(&bytes);
        if torn > 0 {
            let cut = Torn { seq: 0, kept: length - torn as u64, cut: torn as u64 };
            found.torn = found.torn.take().or(Some(cut));
        }
        let known: std::collections::HashMap<String, u64> =
            self.table.live().iter().map(|(id, l)| (l.taken.trace.clone(), *id)).collect();
        for mut live in old {
            let known = known.get(&live.taken.trace).and_then(|id| self.table.live().get(id));
            match known {
                // Brought over by an import that was cut short; nothing has happened to it since.
                Some(here) if again && here.attempts == live.attempts && here.ending == live.ending => {
                    continue
                }
                Some(here) if again => live = Live { taken: here.taken.clone(), ..live },
                // Handed in to both programs: it is one message, and what either tried counts.
                Some(here) => {
                    let tried = live.attempts.into_iter().filter(|a| !a.never_ran);
                    let tried = tried.map(|a| Begun { number: UNKNOWN, ..a });
                    let attempts = here.attempts.iter().cloned().chain(tried).collect();
                    live = Live { attempts, ending: here.ending.or(live.ending), ..here.clone() };
                }
                // Numbers are given anew, since others may have been given out.
                None => {
                    if let Some(taken) = Rc::get_mut(&mut live.taken) {
                        taken.id = self.table.next_id();
                    }
                }
            }
            self.frames.clear();
            format::encode_whole(&live, self.frames.begin());
            let seq = self.write(now).map_err(failed("cannot take over journal.v0"))?;
            let id = live.taken.id;
            self.table.read(format::Entry::Whole(live.taken, live.attempts, live.ending), seq);
            self.note_base(id);
            found.imported += 1;
        }
        self.sync_here()?;
        self.storage.remove(IMPORTING).map_err(failed("cannot remove journal.v0"))?;
        self.others = self.others.saturating_sub(blocks(length));
        Ok(())
    }
}

/// Nobody outside may guess it.
fn nonce() -> u64 {
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

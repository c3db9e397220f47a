//! Opening a folder: replay of its segments, quarantine of damaged segments, and import of the legacy format.
use super::*;
use crate::legacy;
use crate::record::{AttemptRecord, UNKNOWN_ATTEMPT_NUMBER};
use crate::recover::{self, DamagedRange, ReplayError, TornWrite};
use nickelshed_budget::Budget;
use std::fmt;
use std::hash::{BuildHasher, Hasher};
use std::rc::Rc;

const LEGACY_FILE: &str = "journal";
const LEGACY_REWRITE_FILE: &str = "journal.new";
/// The legacy file is renamed to this from the start of its import until the import is complete.
const IMPORT_FILE: &str = "journal.v0";

#[derive(Debug)]
pub enum OpenError {
    /// Another process uses this folder.
    InUse,
    /// The folder was written by a newer version of this program and was left unchanged.
    NewerFormat { file: String, version: u16 },
    Io {
        /// The operation that failed, such as "cannot lock the folder".
        context: String,
        error: io::Error,
    },
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::InUse => {
                write!(f, "another process runs on this folder: give each sender a state folder of its own")
            }
            OpenError::NewerFormat { file, version } => write!(
                f,
                "{file} has format {version}, this program reads up to {}: start the newer program again, \
                 or let it deliver its open messages first. Nothing was changed",
                format::FORMAT_VERSION
            ),
            OpenError::Io { context, error } => write!(f, "{context}: {error}"),
        }
    }
}

impl std::error::Error for OpenError {}

fn io_error(context: impl fmt::Display) -> impl FnOnce(io::Error) -> OpenError {
    move |error| OpenError::Io { context: context.to_string(), error }
}

/// Result of opening a folder.
#[derive(Debug, Default)]
pub struct RecoveryReport {
    /// The write at the end of the log, if it was cut off.
    pub torn: Option<TornWrite>,
    /// Unreadable ranges and missing segments.
    pub damage: Vec<DamagedRange>,
    /// Number of messages that are assumed to have had an attempt, since its record may be lost.
    pub uncertain: usize,
    /// New names of the damaged segments that are kept for inspection. Segments too large to keep are
    /// removed.
    pub quarantined: Vec<String>,
    /// Number of messages imported from the legacy format.
    pub imported: usize,
}

impl<S: Storage> Journal<S> {
    /// Opens a folder, or initializes an empty one. Charges the bodies of recovered messages to the memory
    /// budget. `now_ms` is Unix time.
    ///
    /// # Errors
    /// If another process uses it, a newer version wrote it, or its files cannot be read or written. A
    /// failure here loses no recovered message.
    pub fn open(
        mut storage: S,
        options: Options,
        budget: &Budget,
        now_ms: i64,
    ) -> Result<(Journal<S>, RecoveryReport), OpenError> {
        match storage.lock() {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Err(OpenError::InUse),
            other => other.map_err(io_error("cannot lock the folder"))?,
        }
        let files = storage.list().map_err(io_error("cannot list the folder"))?;
        let segment_files: Vec<(u64, u64)> = files
            .iter()
            .filter_map(|(name, file_bytes)| Some((segment_number(name)?, *file_bytes)))
            .collect();
        let read = |seq, limit| storage.read(&segment_name(seq), limit);
        let recovered = recover::replay(&segment_files, options.durability == Durability::Machine, read)
            .map_err(|e| match e {
                ReplayError::NewerFormat { seq, version } => {
                    OpenError::NewerFormat { file: segment_name(seq), version }
                }
                ReplayError::Io { seq, error } => {
                    io_error(format!("cannot read {}", segment_name(seq)))(error)
                }
            })?;
        let folder = storage.folder_handle().map_err(io_error("cannot open the folder"))?;
        let mut journal = Journal {
            folder,
            options,
            nonce: recovered.nonce.unwrap_or_else(random_nonce),
            segments: VecDeque::new(),
            next_seq: recovered.segments.last().map_or(1, |segment| segment.seq + 1),
            table: recovered.table,
            frames: FrameBatch::default(),
            must_roll: true,
            has_ballast: files.iter().any(|(name, _)| name == BALLAST_FILE),
            ballast_tried_at_ms: i64::MIN,
            other_files_bytes: 0,
            has_outage_snapshot: files.iter().any(|(name, _)| name == OUTAGE_SNAPSHOT_FILE),
            outage_snapshot_number: 0,
            last_commit: 0,
            durable_commit: 0,
            synced_commit: 0,
            folder_needs_sync: true,
            sync_in_flight: false,
            rewrite_through: None,
            to_quarantine: Vec::new(),
            spare: None,
            stats: Stats::default(),
            storage,
        };
        let mut report = RecoveryReport {
            torn: recovered.torn,
            damage: recovered.damage,
            uncertain: recovered.uncertain,
            ..RecoveryReport::default()
        };
        for seq in recovered.obsolete {
            let name = segment_name(seq);
            journal.storage.remove(&name).map_err(io_error(format!("cannot remove {name}")))?;
        }
        let mut message_ids_by_segment: BTreeMap<u64, VecDeque<u64>> = BTreeMap::new();
        for live in journal.table.live().values() {
            message_ids_by_segment.entry(live.base_segment).or_default().push_back(live.message.id);
        }
        for recovered_segment in recovered.segments {
            let name = segment_name(recovered_segment.seq);
            let open = || journal.storage.open(&name).map_err(io_error(format!("cannot open {name}")));
            let file = (options.durability == Durability::Machine).then(open).transpose()?;
            let message_ids = message_ids_by_segment.remove(&recovered_segment.seq).unwrap_or_default();
            journal.segments.push_back(Segment {
                seq: recovered_segment.seq,
                file,
                valid_bytes: recovered_segment.valid_bytes,
                file_bytes: recovered_segment.file_bytes,
                message_ids,
                emptied_at: None,
                needs_sync: true,
            });
        }
        if files.iter().any(|(name, _)| name == SPARE_FILE) {
            journal.storage.remove(SPARE_FILE).map_err(io_error("cannot remove the spare segment"))?;
        }
        // Segments, the ballast file and the outage snapshot are added separately, the other two are removed.
        let is_counted_elsewhere = |name: &str| {
            segment_number(name).is_some()
                || [BALLAST_FILE, LEGACY_REWRITE_FILE, SPARE_FILE, OUTAGE_SNAPSHOT_FILE].contains(&name)
        };
        journal.other_files_bytes = files
            .iter()
            .filter(|(name, _)| !is_counted_elsewhere(name))
            .map(|(_, length)| round_up_to_blocks(*length))
            .sum();
        journal.other_files_bytes += round_up_to_blocks(journal.outage_snapshot_layout().file_size());
        // An unreadable snapshot is treated as missing and is overwritten.
        let snapshot = journal.has_outage_snapshot.then(|| journal.newest_outage_snapshot()).flatten();
        journal.outage_snapshot_number = snapshot.map_or(0, |(number, _)| number);
        journal.ensure_ballast(now_ms);
        journal.quarantine_damaged(&mut report, &files, now_ms)?;
        journal.import_legacy(&mut report, &files, now_ms)?;
        for live in journal.table.live_mut() {
            // Succeeds, as the table holds the only reference so far.
            if let Some(message) = Rc::get_mut(&mut live.message) {
                message.memory_share = Some(budget.reserve_recovered(message.body.len()));
            }
        }
        // Writes of the previous process survived its end, but may not yet survive the loss of the machine.
        journal.sync_blocking()?;
        Ok((journal, report))
    }

    /// Compacts all segments up to the last damaged one. The damaged files are kept for inspection if they
    /// are small enough.
    fn quarantine_damaged(
        &mut self,
        report: &mut RecoveryReport,
        files: &[(String, u64)],
        now_ms: i64,
    ) -> Result<(), OpenError> {
        // A missing segment (`to` is 0) has no file to quarantine.
        let damaged: Vec<u64> =
            report.damage.iter().filter(|range| range.to > 0).map(|range| range.seq).collect();
        let Some(&last_damaged_seq) = damaged.iter().max() else { return Ok(()) };
        for (name, length) in files.iter().filter(|(name, _)| name.starts_with(DAMAGED_PREFIX)) {
            self.storage.remove(name).map_err(io_error(format!("cannot remove {name}")))?;
            self.other_files_bytes -= round_up_to_blocks(*length);
        }
        let max_quarantined_bytes = self.log_limit() / 8;
        let small_segments = self.segments.iter().filter(|segment| {
            damaged.contains(&segment.seq) && round_up_to_blocks(segment.file_bytes) <= max_quarantined_bytes
        });
        self.to_quarantine = small_segments.map(|segment| segment.seq).collect();
        report.quarantined = self.to_quarantine.iter().map(|seq| quarantine_name(*seq)).collect();
        while self.segments.front().is_some_and(|segment| segment.seq <= last_damaged_seq) {
            let before_step = (self.last_commit, self.segments.len());
            self.compact(MAX_COMPACTION_STEP_BYTES, now_ms, |_| true)
                .map_err(io_error("cannot copy the intact records of damaged segments"))?;
            self.sync_blocking()?;
            self.remove_emptied_segments().map_err(io_error("cannot quarantine damaged segments"))?;
            if before_step == (self.last_commit, self.segments.len()) {
                let disk_full = io::ErrorKind::StorageFull.into();
                return Err(io_error("not enough space to copy the intact records of damaged segments")(
                    disk_full,
                ));
            }
        }
        Ok(())
    }

    /// Runs a sync on the calling thread. No clients are served while the folder is opened.
    fn sync_blocking(&mut self) -> Result<(), OpenError> {
        match self.start_sync().map(SyncTask::run) {
            Some(sync_result) => {
                self.record_sync_result(sync_result).map_err(io_error("cannot sync the folder"))
            }
            None => Ok(()),
        }
    }

    /// Imports the legacy file. It is removed only after all its messages are written to a segment.
    fn import_legacy(
        &mut self,
        report: &mut RecoveryReport,
        files: &[(String, u64)],
        now_ms: i64,
    ) -> Result<(), OpenError> {
        let file_size =
            |name: &str| files.iter().find(|(file_name, _)| file_name == name).map(|(_, length)| *length);
        if file_size(LEGACY_REWRITE_FILE).is_some() {
            // An interrupted rewrite: the main file is still complete.
            self.storage.remove(LEGACY_REWRITE_FILE).map_err(io_error("cannot remove journal.new"))?;
        }
        let (length, is_resumed) = match (file_size(IMPORT_FILE), file_size(LEGACY_FILE)) {
            (Some(length), _) => (length, true),
            (None, Some(length)) => {
                self.storage.rename(LEGACY_FILE, IMPORT_FILE).map_err(io_error("cannot rename journal"))?;
                // Without this sync, an import interrupted by the loss of the machine could leave the file
                // under its original name, and a restart would take it for another journal to import.
                self.folder_needs_sync = true;
                self.sync_blocking()?;
                (length, false)
            }
            (None, None) => return Ok(()),
        };
        let bytes = self.storage.read(IMPORT_FILE, length).map_err(io_error("cannot read journal.v0"))?;
        let (legacy_messages, torn_bytes) = legacy::read_legacy_file(&bytes);
        if torn_bytes > 0 {
            let torn_write =
                TornWrite { seq: 0, valid_bytes: length - torn_bytes as u64, cut_bytes: torn_bytes as u64 };
            report.torn = report.torn.take().or(Some(torn_write));
        }
        let ids_by_trace: std::collections::HashMap<String, u64> =
            self.table.live().iter().map(|(id, live)| (live.message.trace.clone(), *id)).collect();
        for mut live in legacy_messages {
            let existing_message =
                ids_by_trace.get(&live.message.trace).and_then(|id| self.table.live().get(id));
            match existing_message {
                // Already imported by an interrupted import, and unchanged since.
                Some(existing)
                    if is_resumed && existing.attempts == live.attempts && existing.ending == live.ending =>
                {
                    continue
                }
                Some(existing) if is_resumed => {
                    live = LiveMessage { message: existing.message.clone(), ..live }
                }
                // Accepted by both program versions: it is the same message, and the attempts of both count.
                Some(existing) => {
                    let possible_attempts = live.attempts.into_iter().filter(|attempt| !attempt.never_ran);
                    let possible_attempts = possible_attempts
                        .map(|attempt| AttemptRecord { number: UNKNOWN_ATTEMPT_NUMBER, ..attempt });
                    let attempts = existing.attempts.iter().cloned().chain(possible_attempts).collect();
                    live =
                        LiveMessage { attempts, ending: existing.ending.or(live.ending), ..existing.clone() };
                }
                // Assign a new id, as the old id may already be in use here.
                None => {
                    if let Some(message) = Rc::get_mut(&mut live.message) {
                        message.id = self.table.next_id();
                    }
                }
            }
            self.frames.clear();
            format::encode_full_message(&live, self.frames.begin());
            let seq = self.write_frames(now_ms).map_err(io_error("cannot import journal.v0"))?;
            let id = live.message.id;
            self.table.replay(format::Entry::FullMessage(live.message, live.attempts, live.ending), seq);
            self.add_message_id(id);
            report.imported += 1;
        }
        self.sync_blocking()?;
        self.storage.remove(IMPORT_FILE).map_err(io_error("cannot remove journal.v0"))?;
        self.other_files_bytes = self.other_files_bytes.saturating_sub(round_up_to_blocks(length));
        Ok(())
    }
}

/// Returns a nonce that clients cannot predict, so that they cannot forge a frame.
fn random_nonce() -> u64 {
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

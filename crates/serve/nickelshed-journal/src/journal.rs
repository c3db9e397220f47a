//! The log of one folder: appends, compaction, removal of segments, and the order of syncs. When and how much
//! to compact is decided in `compaction`.
mod open;

pub use open::{OpenError, RecoveryReport};

use crate::compaction::{SpaceUsage, MAX_COMPACTION_STEP_BYTES};
use crate::format::{self, bound, FrameBatch, FramePosition, Header, FRAME_HEADER_BYTES, HEADER_BYTES};
use crate::outage_snapshot::{self, OUTAGE_SNAPSHOT_FILE};
use crate::record::{AcceptedMessage, LiveMessage, Record};
use crate::storage::{FileHandle, Storage};
use crate::table::MessageTable;
use std::collections::{BTreeMap, VecDeque};
use std::io;

/// The failure that a commit must survive before it counts as durable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Durability {
    /// The end of the process, by any signal.
    #[default]
    Process,
    /// Loss of power too: a commit is durable once its sync has finished.
    Machine,
}

/// Configuration of a journal.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Limit of the folder's size on disk in bytes. Each file counts in whole blocks of 512 bytes.
    pub disk_limit_bytes: u64,
    /// Maximum number of attempts per message. Space for their records is reserved when the message is
    /// accepted.
    pub max_attempts: u32,
    pub durability: Durability,
}

/// Sequence number of a commit. It starts at 1 in each process.
pub type CommitSeq = u64;

/// Space reserved for the messages that are to be accepted in one commit, in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reservation {
    /// Bound of the acceptance records and of all records that may follow them.
    reserved_bytes: u64,
    /// Bound of the acceptance records alone, which are written as one frame; without the frame header.
    frame_bytes: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Stats {
    /// Bytes appended by commits since the folder was opened, including frame headers.
    pub appended_bytes: u64,
    /// Bytes copied by compaction since the folder was opened.
    pub copied_bytes: u64,
    pub segments: usize,
    /// Number of live messages.
    pub messages: usize,
    pub space: SpaceUsage,
    /// Size of the folder on disk in bytes, in whole blocks.
    pub disk_bytes: u64,
}

struct Segment<F> {
    seq: u64,
    /// Open only while the segment is written to or awaits a sync, as file descriptors are needed for
    /// connections.
    file: Option<F>,
    /// Length of the valid part.
    valid_bytes: u64,
    /// Upper bound of the file size.
    file_bytes: u64,
    /// Messages whose newest full record was written to this segment, in order of writing. Some have since
    /// finished or been copied to another segment.
    message_ids: VecDeque<u64>,
    /// The commit that copied the last live messages to another segment, if the segment is empty.
    emptied_at: Option<CommitSeq>,
    needs_sync: bool,
}

/// An emptied segment file that the next segment may overwrite.
struct Spare {
    file_bytes: u64,
    rename_state: RenameState,
}

/// State of the rename of the spare segment. The rename must be durable before the file is reused: a restart
/// that still found the file under its old name would report the new records as damage.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RenameState {
    Unsynced,
    Syncing,
    Durable,
}

/// A sync that any thread may run. The caller passes its result to [`Journal::finish_sync`].
#[derive(Debug)]
pub struct SyncTask<F> {
    files: Vec<F>,
    folder: Option<F>,
    /// The last commit that this sync covers.
    through: CommitSeq,
}

#[derive(Debug)]
pub struct SyncResult {
    through: CommitSeq,
    result: io::Result<()>,
}

impl SyncResult {
    /// Returns the error if the sync failed.
    pub fn error(&self) -> Option<&io::Error> {
        self.result.as_ref().err()
    }
}

impl<F: FileHandle> SyncTask<F> {
    pub fn run(self) -> SyncResult {
        // Files before the folder: a durable name must refer to durable contents.
        let result = self.files.iter().chain(&self.folder).try_for_each(FileHandle::sync);
        SyncResult { through: self.through, result }
    }
}

pub struct Journal<S: Storage> {
    storage: S,
    folder: S::File,
    options: Options,
    nonce: u64,
    /// Oldest first. The last one is the active segment.
    segments: VecDeque<Segment<S::File>>,
    next_seq: u64,
    table: MessageTable,
    frames: FrameBatch,
    /// Set if the active segment must not be written to again, for example since a failed write may have left
    /// bytes after its valid part. The next write starts a new segment.
    must_roll: bool,
    has_ballast: bool,
    /// Unix time in milliseconds.
    ballast_tried_at_ms: i64,
    /// Total size of the files that are neither segments nor the ballast file.
    other_files_bytes: u64,
    /// Whether the outage snapshot file exists. Its space is counted from the start, so that it never uses
    /// reserved space.
    has_outage_snapshot: bool,
    /// Number of the last snapshot that was written, or 0.
    outage_snapshot_number: u64,
    last_commit: CommitSeq,
    durable_commit: CommitSeq,
    /// The last commit covered by a successful sync. While `rewrite_through` is set, earlier commits may not
    /// be on disk.
    synced_commit: CommitSeq,
    folder_needs_sync: bool,
    sync_in_flight: bool,
    /// Set after a failed sync: the live messages of all segments up to this one must be written again to a
    /// new segment.
    rewrite_through: Option<u64>,
    /// Damaged segments that are renamed instead of removed once they are empty.
    to_quarantine: Vec<u64>,
    spare: Option<Spare>,
    stats: Stats,
}

/// Maximum size of a side file: one disk block.
const MAX_SIDE_FILE_BYTES: u64 = 512;
/// Part of the folder's disk limit that a side file uses, including the new file that exists next to it while
/// it is being replaced.
pub const SIDE_FILE_RESERVED_BYTES: u64 = 2 * MAX_SIDE_FILE_BYTES;
/// The log is divided into about this many segments, within the limits of the segment size.
const TARGET_SEGMENT_COUNT: u64 = 16;
const MIN_SEGMENT_BYTES: u64 = 16 << 10;
const MAX_SEGMENT_BYTES: u64 = 1 << 20;
/// Fraction of the disk limit that stays free for the folder itself and for rounding to blocks.
const DISK_SLACK_FRACTION: f64 = 0.06;
const BLOCK_BYTES: u64 = 512;
/// File that reserves disk space, so that open messages can finish when other programs have filled the disk.
const BALLAST_FILE: &str = "ballast";
const MAX_BALLAST_BYTES: u64 = 128 << 10;
/// Interval between attempts to rewrite the ballast file after the disk was full.
const BALLAST_RETRY_INTERVAL_MS: i64 = 1_000;
/// An emptied segment kept for reuse. Only used with [`Durability::Machine`].
const SPARE_FILE: &str = "spare";
/// Prefix of the file names of quarantined segments.
const DAMAGED_PREFIX: &str = "damaged-";

pub fn segment_name(seq: u64) -> String {
    format!("segment-{seq:016x}")
}

fn quarantine_name(seq: u64) -> String {
    format!("{DAMAGED_PREFIX}{seq:016x}")
}

/// Returns the segment number of a file name, or None if the file is not a segment.
pub fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("segment-")?;
    (digits.len() == 16).then(|| u64::from_str_radix(digits, 16).ok()).flatten()
}

/// Whether this file belongs to the journal and contains no messages that can be recovered.
pub fn is_auxiliary_file(name: &str) -> bool {
    name == BALLAST_FILE || name == SPARE_FILE || name == "lock" || name.starts_with(DAMAGED_PREFIX)
}

fn round_up_to_blocks(length: u64) -> u64 {
    length.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
}

impl<S: Storage> Journal<S> {
    /// Returns the live messages by id.
    pub fn live(&self) -> &BTreeMap<u64, LiveMessage> {
        self.table.live()
    }

    /// Returns an id that no record in the folder uses.
    pub fn next_id(&self) -> u64 {
        self.table.next_id()
    }

    pub fn stats(&self) -> Stats {
        let disk_bytes = self.disk_bytes();
        let (segments, messages) = (self.segments.len(), self.table.live().len());
        Stats { segments, messages, space: self.space_usage(), disk_bytes, ..self.stats }
    }

    fn disk_bytes(&self) -> u64 {
        let ballast_bytes = if self.has_ballast { self.ballast_size() } else { 0 };
        self.log_size() + self.other_files_bytes + ballast_bytes
    }

    fn log_size(&self) -> u64 {
        self.segments.iter().map(|segment| round_up_to_blocks(segment.file_bytes)).sum()
    }

    /// Returns the limit of the folder's size, which is never exceeded. The difference to the space for the
    /// log allows for rounding to blocks.
    fn folder_limit(&self) -> u64 {
        (self.options.disk_limit_bytes as f64 * (1.0 - DISK_SLACK_FRACTION / 2.0)) as u64
    }

    /// Returns the space that all segments together may take.
    fn log_limit(&self) -> u64 {
        let usable = (self.options.disk_limit_bytes as f64 * (1.0 - DISK_SLACK_FRACTION)) as u64;
        usable.saturating_sub(self.other_files_bytes + self.ballast_size()) / BLOCK_BYTES * BLOCK_BYTES
    }

    fn ballast_size(&self) -> u64 {
        (self.options.disk_limit_bytes / TARGET_SEGMENT_COUNT / 2).min(MAX_BALLAST_BYTES) / BLOCK_BYTES
            * BLOCK_BYTES
    }

    fn target_segment_bytes(&self) -> u64 {
        (self.log_limit() / TARGET_SEGMENT_COUNT).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES)
    }

    fn space_usage(&self) -> SpaceUsage {
        let longest = self.segments.iter().map(|segment| segment.file_bytes).max().unwrap_or(0);
        // Preallocated space: of the active segment, and of one more that compaction may start.
        let preallocated_bytes =
            if self.options.durability == Durability::Machine { 2 * self.target_segment_bytes() } else { 0 };
        SpaceUsage {
            log_limit: self.log_limit(),
            log: self.log_size(),
            live: self.table.full_messages_bound(),
            reserved: self.reserved_per_message() * self.table.live().len() as u64,
            compaction_reserve: self.target_segment_bytes().max(longest)
                + preallocated_bytes
                + 4 * BLOCK_BYTES,
        }
    }

    /// Returns a bound, in bytes, of the records that may still be written for a message, and of the growth
    /// of its full record.
    fn reserved_per_message(&self) -> u64 {
        let attempts = u64::from(self.options.max_attempts.min(1_000));
        bound::remaining_records(attempts) + bound::full_message_growth(attempts)
    }

    /// Reserves space for a message and for all records that may be written for it, in addition to what
    /// `reservation` already covers. Returns false if there is not enough space: the message must then not be
    /// accepted. `now_ms` is Unix time.
    pub fn reserve(&mut self, message: &AcceptedMessage, reservation: &mut Reservation, now_ms: i64) -> bool {
        let record = bound::accepted(message);
        let message_bytes = record + self.reserved_per_message();
        let new_reservation = Reservation {
            reserved_bytes: reservation.reserved_bytes + message_bytes,
            frame_bytes: reservation.frame_bytes + record,
        };
        let has_space = |usage: SpaceUsage| {
            // A commit larger than a segment gets a segment of its own, and compaction must be able to copy
            // the longest segment later.
            let compaction_reserve = usage
                .compaction_reserve
                .max(new_reservation.frame_bytes + (HEADER_BYTES + FRAME_HEADER_BYTES) as u64);
            SpaceUsage { compaction_reserve, ..usage }.free() >= new_reservation.reserved_bytes
        };
        if self.rewrite_through.is_some() || !self.ensure_ballast(now_ms) {
            return false;
        }
        if !has_space(self.space_usage()) {
            // Compaction normally follows appends. While no message can be accepted there may be no appends.
            let _ = self.compact(MAX_COMPACTION_STEP_BYTES, now_ms, SpaceUsage::is_compaction_worthwhile);
            if !has_space(self.space_usage()) {
                return false;
            }
        }
        *reservation = new_reservation;
        true
    }

    /// Writes the records of a commit as one frame, and runs a compaction step if space is short.
    /// `now_ms` is Unix time.
    ///
    /// # Errors
    /// On failure no record of the commit takes effect, neither now nor after a restart.
    pub fn append(&mut self, records: &[Record], now_ms: i64) -> io::Result<CommitSeq> {
        if records.is_empty() {
            return Ok(self.last_commit);
        }
        self.frames.clear();
        let frame = self.frames.begin();
        records.iter().for_each(|record| format::encode(record, frame));
        let length = self.frames.len();
        let seq = self.write_frames(now_ms)?;
        for record in records {
            self.table.apply(record, seq);
            if let Record::Accepted(message) = record {
                self.add_message_id(message.id);
            }
        }
        self.stats.appended_bytes += length;
        let commit = self.last_commit;
        let step_bytes = if self.rewrite_through.is_some() {
            MAX_COMPACTION_STEP_BYTES
        } else {
            self.space_usage().compaction_step(length)
        };
        if step_bytes > 0 || self.is_oldest_segment_empty() {
            let rewrite_through = self.rewrite_through;
            // On failure the messages stay in their segments.
            let _ = self.compact(step_bytes, now_ms, |usage| {
                rewrite_through.is_some() || step_bytes == 0 || usage.is_compaction_worthwhile()
            });
        }
        let _ = self.remove_emptied_segments();
        Ok(commit)
    }

    /// Like [`Journal::append`], for records whose space is reserved. If the disk is full, it removes the
    /// ballast file and tries again.
    ///
    /// # Errors
    /// As for `append`.
    pub fn append_reserved(&mut self, records: &[Record], now_ms: i64) -> io::Result<CommitSeq> {
        let result = self.append(records, now_ms);
        match result {
            Err(e) if e.kind() == io::ErrorKind::StorageFull && self.has_ballast => {
                // Even if the removal fails, the ballast can no longer be relied on.
                self.has_ballast = false;
                self.storage.remove(BALLAST_FILE)?;
                self.append(records, now_ms)
            }
            other => other,
        }
    }

    /// Stores a snapshot of the known outages, in place of the previous one. It is not synced: it may be lost
    /// with the machine, or if the disk is full. The log is not affected.
    ///
    /// # Errors
    /// If it is too long or cannot be written.
    pub fn write_outage_snapshot(&mut self, bytes: &[u8]) -> io::Result<()> {
        if bytes.len() > self.max_outage_snapshot_bytes() {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "the outage snapshot is too long"));
        }
        let file = if self.has_outage_snapshot {
            self.storage.open(OUTAGE_SNAPSHOT_FILE)?
        } else {
            self.storage.create(OUTAGE_SNAPSHOT_FILE)?
        };
        self.has_outage_snapshot = true;
        let number = self.outage_snapshot_number + 1;
        // The previous snapshot stays intact in the other slot until this write is complete.
        self.storage.write_all_at(
            &file,
            &outage_snapshot::encode_slot(number, bytes),
            self.outage_snapshot_layout().offset(number),
        )?;
        self.outage_snapshot_number = number;
        Ok(())
    }

    /// Returns the newest intact outage snapshot, or None if there is none.
    pub fn read_outage_snapshot(&self) -> Option<Vec<u8>> {
        Some(self.newest_outage_snapshot()?.1)
    }

    fn newest_outage_snapshot(&self) -> Option<(u64, Vec<u8>)> {
        let layout = self.outage_snapshot_layout();
        layout.newest(&self.storage.read(OUTAGE_SNAPSHOT_FILE, layout.file_size()).ok()?)
    }

    fn outage_snapshot_layout(&self) -> outage_snapshot::Layout {
        outage_snapshot::Layout::for_disk_limit(self.options.disk_limit_bytes)
    }

    /// Maximum length of an outage snapshot in bytes.
    pub fn max_outage_snapshot_bytes(&self) -> usize {
        self.outage_snapshot_layout().max_snapshot_bytes()
    }

    /// Atomically replaces a side file: a small file in the journal's folder, of at most 512 bytes. It is not
    /// synced, so it may be lost with the machine. The caller must subtract [`SIDE_FILE_RESERVED_BYTES`] from
    /// the disk limit that it passes in [`Options`].
    ///
    /// # Errors
    /// If the file cannot be written. The previous contents are then kept.
    pub fn write_side_file(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let new_name = format!("{name}.new");
        match self.storage.remove(&new_name) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            // A leftover of a process that ended before the rename.
            _ => {}
        }
        self.storage.write_all_at(&self.storage.create(&new_name)?, bytes, 0)?;
        self.storage.rename(&new_name, name)
    }

    /// Returns at most the first 512 bytes of a side file, or None if it is missing or unreadable.
    pub fn read_side_file(&self, name: &str) -> Option<Vec<u8>> {
        self.storage.read(name, MAX_SIDE_FILE_BYTES).ok()
    }

    /// Whether the ballast file is missing, which happens when other programs have filled the disk. No new
    /// messages are accepted until it is written again.
    pub fn is_ballast_missing(&self) -> bool {
        !self.has_ballast
    }

    /// Writes the ballast file if it is missing, at most once per `BALLAST_RETRY_INTERVAL_MS`. Returns
    /// whether it exists.
    fn ensure_ballast(&mut self, now_ms: i64) -> bool {
        if self.has_ballast
            || now_ms.saturating_sub(self.ballast_tried_at_ms).abs() < BALLAST_RETRY_INTERVAL_MS
        {
            return self.has_ballast;
        }
        self.ballast_tried_at_ms = now_ms;
        let size = self.ballast_size();
        if self.disk_bytes() + size > self.folder_limit() {
            return false;
        }
        let created = match self.storage.create(BALLAST_FILE) {
            // An earlier file is still there: its removal failed, or its write was interrupted.
            Err(e) if e.kind() == io::ErrorKind::AlreadyExists => {
                self.storage.remove(BALLAST_FILE).and_then(|()| self.storage.create(BALLAST_FILE))
            }
            other => other,
        };
        let written = created.and_then(|file| self.storage.write_all_at(&file, &vec![0; size as usize], 0));
        self.has_ballast = written.is_ok();
        if !self.has_ballast {
            let _ = self.storage.remove(BALLAST_FILE);
        }
        self.has_ballast
    }

    /// Whether no live message needs the oldest segment. Ids of messages that have finished or been copied
    /// are dropped from the front of the segment's list, so the next call does not check them again.
    fn is_oldest_segment_empty(&mut self) -> bool {
        let table = &self.table;
        match self.segments.front_mut() {
            Some(segment) if segment.seq + 1 < self.next_seq && segment.emptied_at.is_none() => {
                let seq = segment.seq;
                let is_obsolete = |id: &u64| table.live().get(id).is_none_or(|live| live.base_segment != seq);
                while segment.message_ids.pop_front_if(|id| is_obsolete(id)).is_some() {}
                segment.message_ids.is_empty()
            }
            _ => false,
        }
    }

    fn add_message_id(&mut self, id: u64) {
        if let Some(active) = self.segments.back_mut() {
            active.message_ids.push_back(id);
        }
    }

    /// Writes `frames` as one commit and returns the number of the segment that contains it.
    fn write_frames(&mut self, now_ms: i64) -> io::Result<u64> {
        let length = self.frames.len();
        let target_segment_bytes = self.target_segment_bytes();
        let is_full = |segment: &Segment<S::File>| {
            segment.valid_bytes > HEADER_BYTES as u64 && segment.valid_bytes + length > target_segment_bytes
        };
        if self.must_roll || self.segments.back().is_none_or(is_full) {
            self.start_segment()?;
        }
        let (disk_bytes, folder_limit) = (self.disk_bytes(), self.folder_limit());
        let active = self.segments.back_mut().and_then(|active| Some((active.file.clone()?, active)));
        let Some((file, active)) = active else { return Err(io::ErrorKind::NotFound.into()) };
        if disk_bytes - round_up_to_blocks(active.file_bytes)
            + round_up_to_blocks(active.file_bytes.max(active.valid_bytes + length))
            > folder_limit
        {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the journal has reached its disk limit"));
        }
        let position = FramePosition { nonce: self.nonce, seq: active.seq, offset: active.valid_bytes };
        let bytes = self.frames.finish(now_ms, position);
        let end = active.valid_bytes + length;
        active.needs_sync = true;
        if let Err(e) = self.storage.write_all_at(&file, bytes, active.valid_bytes) {
            // The partial write could otherwise be read as a valid commit.
            if self.storage.truncate(&file, active.valid_bytes).is_err() {
                active.file_bytes = active.file_bytes.max(end);
                self.must_roll = true;
            }
            return Err(e);
        }
        (active.valid_bytes, active.file_bytes) = (end, active.file_bytes.max(end));
        self.last_commit += 1;
        Ok(active.seq)
    }

    /// Starts a new segment. The preceding segment is never written to again, as the header of the new one
    /// records its valid length.
    fn start_segment(&mut self) -> io::Result<()> {
        self.must_roll = true;
        let seq = self.next_seq;
        let name = segment_name(seq);
        let spare = self.spare.take_if(|spare| spare.rename_state == RenameState::Durable);
        let (file, preallocated_bytes) = match spare {
            Some(spare) => {
                if let Err(e) = self.storage.rename(SPARE_FILE, &name) {
                    self.spare = Some(spare);
                    return Err(e);
                }
                self.other_files_bytes -= round_up_to_blocks(spare.file_bytes);
                (self.storage.open(&name)?, spare.file_bytes)
            }
            None => match self.storage.create(&name) {
                // A leftover of an earlier failed attempt.
                Err(e) if e.kind() == io::ErrorKind::AlreadyExists => {
                    self.storage.remove(&name)?;
                    (self.storage.create(&name)?, 0)
                }
                other => (other?, 0),
            },
        };
        let prev_valid_bytes = self.segments.back().map_or(0, |segment| segment.valid_bytes) as u32;
        let machine_durable = self.options.durability == Durability::Machine;
        let is_first = self.segments.is_empty();
        let header = Header { nonce: self.nonce, seq, prev_valid_bytes, is_first, machine_durable }.encode();
        // When every commit waits for a sync, extending the file would cost the sync as much as writing the
        // data.
        let should_preallocate = machine_durable
            && preallocated_bytes == 0
            && self.disk_bytes() + self.target_segment_bytes() <= self.folder_limit();
        let file_bytes = if should_preallocate { self.target_segment_bytes() } else { preallocated_bytes };
        let written = if should_preallocate { self.storage.preallocate(&file, file_bytes) } else { Ok(()) };
        if let Err(e) = written.and_then(|()| self.storage.write_all_at(&file, &header, 0)) {
            let _ = self.storage.remove(&name);
            return Err(e);
        }
        let (valid_bytes, file_bytes) = (HEADER_BYTES as u64, file_bytes.max(HEADER_BYTES as u64));
        let message_ids = VecDeque::new();
        if let Some(active) = self.segments.back_mut().filter(|_| !machine_durable) {
            active.file = None;
        }
        self.segments.push_back(Segment {
            seq,
            file: Some(file),
            valid_bytes,
            file_bytes,
            message_ids,
            emptied_at: None,
            needs_sync: true,
        });
        (self.next_seq, self.must_roll, self.folder_needs_sync) = (seq + 1, false, true);
        Ok(())
    }

    /// Copies about `budget` bytes of live messages from the oldest segments to the end of the log, in one
    /// write. `should_continue` is called before each segment, with the space usage expected after the
    /// removal of the preceding ones; compaction stops when it returns false.
    fn compact(
        &mut self,
        budget: u64,
        now_ms: i64,
        should_continue: impl Fn(&SpaceUsage) -> bool,
    ) -> io::Result<()> {
        // Copies take space until their source segments are removed, and only a limited amount is kept free
        // for that.
        if self.segments.iter().any(|segment| segment.emptied_at.is_some()) {
            return Ok(());
        }
        let removes_immediately = self.options.durability == Durability::Process;
        // A missing ballast file means a full disk. Only segments without live messages are released then,
        // as that needs no copies.
        let budget = if self.has_ballast { budget } else { 0 };
        let active_seq = if self.must_roll { self.next_seq } else { self.next_seq - 1 };
        let mut usage = self.space_usage();
        let (mut copied_messages, mut emptied_segments, mut planned_bytes) = (Vec::new(), Vec::new(), 0);
        for segment in self.segments.iter().filter(|segment| segment.seq < active_seq) {
            // With `Durability::Machine`, an emptied segment takes space until its copies are synced, so each
            // step empties only one.
            if !should_continue(&usage) || (!emptied_segments.is_empty() && !removes_immediately) {
                break;
            }
            let is_live_here =
                |id: &u64| self.table.live().get(id).is_some_and(|live| live.base_segment == segment.seq);
            let mut message_ids = segment.message_ids.iter().copied().filter(is_live_here);
            while planned_bytes < budget {
                let Some(id) = message_ids.next() else { break };
                planned_bytes += self.table.full_message_bound_of(id);
                copied_messages.push((segment.seq, id));
            }
            if message_ids.next().is_some() {
                break;
            }
            emptied_segments.push(segment.seq);
            usage.log = usage.log.saturating_sub(round_up_to_blocks(segment.file_bytes));
        }
        if copied_messages.is_empty() && emptied_segments.is_empty() {
            return Ok(());
        }
        // One frame for each message: a corrupt byte then loses only one message.
        self.frames.clear();
        for (_, id) in &copied_messages {
            if let Some(live) = self.table.live().get(id) {
                format::encode_full_message(live, self.frames.begin());
            }
        }
        if let Some(emptied_seq) = emptied_segments.last() {
            format::encode_low_water_mark(emptied_seq + 1, self.frames.begin());
        }
        let length = self.frames.len();
        let seq = self.write_frames(now_ms)?;
        self.stats.copied_bytes += length;
        let commit = self.last_commit;
        for &(_, id) in &copied_messages {
            self.table.set_base_segment(id, seq);
            self.add_message_id(id);
        }
        for segment in &mut self.segments {
            if emptied_segments.contains(&segment.seq) {
                segment.message_ids.clear();
                segment.emptied_at = Some(commit);
            }
        }
        // Messages of a partly copied segment that were already copied need not be checked again.
        if let Some((seq, id)) = copied_messages.last() {
            if let Some(segment) =
                self.segments.iter_mut().find(|segment| segment.seq == *seq && segment.emptied_at.is_none())
            {
                while segment.message_ids.pop_front().is_some_and(|popped| popped != *id) {}
            }
        }
        let _ = self.remove_emptied_segments();
        Ok(())
    }

    /// Removes emptied segments whose copies are durable. A failed removal is tried again later; until then
    /// the file takes space, and recovery ignores it.
    fn remove_emptied_segments(&mut self) -> io::Result<()> {
        let durable_commit = match self.options.durability {
            Durability::Process => self.last_commit,
            Durability::Machine => self.synced_commit,
        };
        while let Some(oldest) = self.segments.front() {
            if oldest.emptied_at.is_none_or(|commit| commit > durable_commit) {
                break;
            }
            let name = segment_name(oldest.seq);
            if self.to_quarantine.contains(&oldest.seq) {
                self.storage.rename(&name, &quarantine_name(oldest.seq))?;
                self.other_files_bytes += round_up_to_blocks(oldest.file_bytes);
            } else if self.can_become_spare(oldest) {
                self.storage.rename(&name, SPARE_FILE)?;
                self.other_files_bytes += round_up_to_blocks(oldest.file_bytes);
                self.spare =
                    Some(Spare { file_bytes: oldest.file_bytes, rename_state: RenameState::Unsynced });
            } else {
                self.storage.remove(&name)?;
            }
            self.segments.pop_front();
            self.folder_needs_sync = true;
        }
        Ok(())
    }

    /// Whether the next segment may overwrite this one: its blocks are already allocated, so a sync does not
    /// allocate any.
    fn can_become_spare(&self, segment: &Segment<S::File>) -> bool {
        let machine_durable = self.options.durability == Durability::Machine;
        machine_durable
            && self.spare.is_none()
            && self.rewrite_through.is_none()
            && segment.file_bytes == self.target_segment_bytes()
    }

    /// Returns the last commit that was written.
    pub fn last_commit(&self) -> CommitSeq {
        self.last_commit
    }

    /// Returns the last commit that is durable as configured. The caller must delay the effects of later
    /// commits, such as responses and calls, until they are durable.
    pub fn durable_commit(&self) -> CommitSeq {
        match self.options.durability {
            Durability::Process => self.last_commit,
            Durability::Machine => self.durable_commit,
        }
    }

    /// Returns the next sync if one is due and none is in flight. One sync covers several commits.
    pub fn start_sync(&mut self) -> Option<SyncTask<S::File>> {
        let is_due = self.options.durability == Durability::Machine && !self.sync_in_flight;
        let is_clean = self.last_commit == self.durable_commit
            && self.rewrite_through.is_none()
            && !self.folder_needs_sync;
        if !is_due || is_clean {
            return None;
        }
        let folder = self.folder_needs_sync.then(|| self.folder.clone());
        if let Some(spare) = self
            .spare
            .as_mut()
            .filter(|spare| spare.rename_state == RenameState::Unsynced && folder.is_some())
        {
            spare.rename_state = RenameState::Syncing;
        }
        let mut files = Vec::new();
        for segment in self.segments.iter_mut().filter(|segment| segment.needs_sync) {
            segment.needs_sync = false;
            files.extend(segment.file.clone());
        }
        self.folder_needs_sync = false;
        self.sync_in_flight = true;
        Some(SyncTask { files, folder, through: self.last_commit })
    }

    /// Records the result of a sync, and removes emptied segments whose copies are now durable. If an earlier
    /// sync failed, also copies messages of the segments that must be written again, one step per sync.
    pub fn finish_sync(&mut self, sync_result: SyncResult, now_ms: i64) {
        if self.record_sync_result(sync_result).is_err() {
            return;
        }
        let _ = self.remove_emptied_segments();
        if let Some(last_seq_to_rewrite) = self.rewrite_through {
            // The next sync makes these copies durable. Once no segment is left to rewrite, a successful sync
            // covers all commits again.
            let _ = self.compact(MAX_COMPACTION_STEP_BYTES, now_ms, |_| true);
            if self
                .segments
                .iter()
                .all(|segment| segment.seq > last_seq_to_rewrite || segment.emptied_at.is_some())
            {
                self.rewrite_through = None;
            }
        }
    }

    /// # Errors
    /// The error of the sync.
    fn record_sync_result(&mut self, sync_result: SyncResult) -> io::Result<()> {
        self.sync_in_flight = false;
        if let Err(e) = sync_result.result {
            // After a failed sync the kernel may have dropped dirty pages and report success for the next
            // sync. Only bytes that are written again can be relied on.
            self.rewrite_through = self.segments.back().map(|segment| segment.seq);
            if let Some(spare) = &mut self.spare {
                spare.rename_state = RenameState::Unsynced;
            }
            self.must_roll = true;
            self.folder_needs_sync = true;
            return Err(e);
        }
        self.synced_commit = self.synced_commit.max(sync_result.through);
        let active_seq = self.next_seq - 1;
        self.segments
            .iter_mut()
            .filter(|segment| !segment.needs_sync && segment.seq < active_seq)
            .for_each(|segment| segment.file = None);
        if let Some(spare) = self.spare.as_mut().filter(|spare| spare.rename_state == RenameState::Syncing) {
            spare.rename_state = RenameState::Durable;
        }
        if self.rewrite_through.is_none() {
            self.durable_commit = self.synced_commit;
        }
        Ok(())
    }
}

//! Read-only inspection of a folder, also while a sender is running on it: nothing is locked, written or
//! removed.
use crate::journal::{segment_name, segment_number};
use crate::record::LiveMessage;
use crate::recover::{self, DamagedRange, RecoveredFolder, ReplayError, Segment, TornWrite};
use crate::storage::Storage;
use crate::{legacy, OpenError};
use std::io;

/// Maximum number of times that the folder is read, as a running sender may change it during a read.
const MAX_READS: usize = 8;

/// Whether all records of a folder can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Integrity {
    Intact,
    /// The last write was cut off by the end of a process, or is in progress.
    Torn,
    Damaged,
}

/// The contents of a folder as they were read.
#[derive(Debug)]
pub struct Inspection {
    pub live: Vec<LiveMessage>,
    pub segments: Vec<Segment>,
    pub damage: Vec<DamagedRange>,
    pub torn: Option<TornWrite>,
    /// Number of messages that are assumed to have had an attempt.
    pub uncertain: usize,
    /// Size of the folder on disk in bytes. Each file counts in whole blocks of 512 bytes.
    pub disk_bytes: u64,
    /// The legacy file still exists. Its messages are included in `live`.
    pub legacy: bool,
}

pub type InspectError = OpenError;

impl Inspection {
    pub fn integrity(&self) -> Integrity {
        match (&self.damage[..], &self.torn) {
            ([], None) => Integrity::Intact,
            ([], Some(_)) => Integrity::Torn,
            _ => Integrity::Damaged,
        }
    }
}

/// Reads a folder. If a segment is unreadable or missing, reads again, since a running sender may just have
/// removed it.
///
/// # Errors
/// If a file cannot be read, or was written by a newer version, or if files were removed during each read.
pub fn inspect_folder<S: Storage>(storage: &S) -> Result<Inspection, InspectError> {
    let mut last_inspection = None;
    for _ in 0..MAX_READS {
        match inspect_once(storage) {
            Err(OpenError::Io { error, .. }) if error.kind() == io::ErrorKind::NotFound => {}
            Ok(inspection) if inspection.integrity() == Integrity::Damaged => {
                last_inspection = Some(inspection)
            }
            other => return other,
        }
    }
    // No read found the folder intact, so a segment that a running sender removed does not explain the
    // damage.
    last_inspection.ok_or(OpenError::Io {
        context: "the folder changes too fast to be read".into(),
        error: io::ErrorKind::ResourceBusy.into(),
    })
}

fn inspect_once<S: Storage>(storage: &S) -> Result<Inspection, InspectError> {
    let io_error = |context: &str| {
        let context = context.to_string();
        move |error| OpenError::Io { context, error }
    };
    let files = storage.list().map_err(io_error("cannot list the folder"))?;
    let segment_files: Vec<(u64, u64)> =
        files.iter().filter_map(|(name, file_bytes)| Some((segment_number(name)?, *file_bytes))).collect();
    let read = |seq, limit| storage.read(&segment_name(seq), limit);
    let RecoveredFolder { table, segments, damage, torn, uncertain, .. } =
        recover::replay(&segment_files, false, read).map_err(|e| match e {
            ReplayError::NewerFormat { seq, version } => {
                OpenError::NewerFormat { file: segment_name(seq), version }
            }
            ReplayError::Io { seq, error } => {
                OpenError::Io { context: format!("cannot read {}", segment_name(seq)), error }
            }
        })?;
    let mut inspection = Inspection {
        live: table.into_live(),
        segments,
        damage,
        torn,
        uncertain,
        disk_bytes: files.iter().map(|(_, length)| length.div_ceil(512) * 512).sum(),
        legacy: false,
    };
    for name in ["journal", "journal.v0"] {
        let Some((_, length)) = files.iter().find(|(file_name, _)| file_name == name) else { continue };
        let (legacy_messages, torn_bytes) = legacy::read_legacy_file(
            &storage.read(name, *length).map_err(io_error("cannot read the legacy journal"))?,
        );
        inspection.legacy = true;
        if torn_bytes > 0 {
            inspection.torn = inspection.torn.or(Some(TornWrite {
                seq: 0,
                valid_bytes: length - torn_bytes as u64,
                cut_bytes: torn_bytes as u64,
            }));
        }
        let is_new = |candidate: &LiveMessage| {
            inspection.live.iter().all(|known| known.message.trace != candidate.message.trace)
        };
        let new_messages: Vec<LiveMessage> = legacy_messages.into_iter().filter(is_new).collect();
        inspection.live.extend(new_messages);
    }
    Ok(inspection)
}

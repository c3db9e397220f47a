//! A folder as it stands, read beside the sender that runs on it: nothing is locked, written or removed.
use crate::journal::{segment_name, segment_number};
use crate::record::Live;
use crate::recover::{self, Damage, Failed, Recovered, Segment, Torn};
use crate::storage::Storage;
use crate::{legacy, OpenError};
use std::io;

/// How often reading starts anew because the sender has moved on meanwhile.
const TRIES: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Whole,
    /// The last write was cut off, by the end of a process, or is under way just now.
    Torn,
    Damaged,
}

#[derive(Debug)]
pub struct View {
    pub live: Vec<Live>,
    pub segments: Vec<Segment>,
    pub damage: Vec<Damage>,
    pub torn: Option<Torn>,
    /// Messages of which an attempt is supposed.
    pub doubted: usize,
    /// Bytes on the disk, each file in whole blocks of 512.
    pub disk: u64,
    /// The file of the version before is still there, and holds these messages too.
    pub legacy: bool,
}

pub type LookError = OpenError;

impl View {
    pub fn state(&self) -> State {
        match (&self.damage[..], &self.torn) {
            ([], None) => State::Whole,
            ([], Some(_)) => State::Torn,
            _ => State::Damaged,
        }
    }
}

/// Reads a folder. A segment that a running sender removes meanwhile is no damage: the reading starts anew.
///
/// # Errors
/// If a file can't be read, or was written by a newer version.
pub fn look<S: Storage>(storage: &S) -> Result<View, LookError> {
    let mut last = None;
    for _ in 0..TRIES {
        match look_once(storage) {
            Err(OpenError::Io { error, .. }) if error.kind() == io::ErrorKind::NotFound => {}
            Ok(view) if view.state() == State::Damaged => last = Some(view),
            other => return other,
        }
    }
    // Still so at the last try: it is no segment that has just gone.
    last.ok_or(OpenError::Io {
        what: "the folder changes too fast to be read".into(),
        error: io::ErrorKind::ResourceBusy.into(),
    })
}

fn look_once<S: Storage>(storage: &S) -> Result<View, LookError> {
    let io = |what: &str| {
        let what = what.to_string();
        move |error| OpenError::Io { what, error }
    };
    let files = storage.list().map_err(io("cannot list the folder"))?;
    let numbered: Vec<(u64, u64)> =
        files.iter().filter_map(|(name, length)| Some((segment_number(name)?, *length))).collect();
    let read = |seq, most| storage.read(&segment_name(seq), most);
    let Recovered { table, segments, damage, torn, doubted, .. } = recover::replay(&numbered, false, read)
        .map_err(|e| match e {
            Failed::Newer { seq, version } => OpenError::Newer { file: segment_name(seq), version },
            Failed::Io { seq, error } => {
                OpenError::Io { what: format!("cannot read {}", segment_name(seq)), error }
            }
        })?;
    let mut view = View {
        live: table.into_live(),
        segments,
        damage,
        torn,
        doubted,
        disk: files.iter().map(|(_, length)| length.div_ceil(512) * 512).sum(),
        legacy: false,
    };
    for name in ["journal", "journal.v0"] {
        let Some((_, length)) = files.iter().find(|(n, _)| n == name) else { continue };
        let (old, cut) =
            legacy::read(&storage.read(name, *length).map_err(io("cannot read the old journal"))?);
        view.legacy = true;
        if cut > 0 {
            view.torn = view.torn.or(Some(Torn { seq: 0, kept: length - cut as u64, cut: cut as u64 }));
        }
        let is_new = |l: &Live| view.live.iter().all(|k| k.taken.trace != l.taken.trace);
        let new: Vec<Live> = old.into_iter().filter(is_new).collect();
        view.live.extend(new);
    }
    Ok(view)
}

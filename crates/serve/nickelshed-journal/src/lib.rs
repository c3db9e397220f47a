//! Write-ahead log of the messages that a sender has accepted. It survives the end of the process and, with
//! [`Durability::Machine`], the loss of the machine.
//!
//! The records of one commit are appended as one frame to a log of segments. Compaction copies the messages
//! that are still live in the oldest segments to the end of the log in bounded steps, and removes the emptied
//! segments. `docs/design/journal.md` compares this design with alternatives.
//!
//! - [`Journal`] is the log of one folder on a [`Storage`]; tests use one that can fail at any
//!   operation.
//! - `format`, `table`, `compaction` and [`recover`] do no I/O. They cover the encoding of segments, the set
//!   of live messages, the amount of compaction, and the replay of a folder's segments.
//! - This crate starts no threads: with [`Durability::Machine`] the caller runs each [`SyncTask`] on a thread
//!   of its choice.
mod compaction;
mod format;
mod inspect;
mod journal;
mod legacy;
mod outage_snapshot;
mod record;
pub mod recover;
mod storage;
mod table;

pub use compaction::{SpaceUsage, MAX_COMPACTION_STEP_BYTES, MAX_WRITE_AMPLIFICATION};
pub use format::FORMAT_VERSION;
pub use inspect::{inspect_folder, InspectError, Inspection, Integrity};
pub use journal::{
    is_auxiliary_file, segment_name, segment_number, CommitSeq, Durability, Journal, OpenError, Options,
    RecoveryReport, Reservation, Stats, SyncResult, SyncTask, SIDE_FILE_RESERVED_BYTES,
};
pub use record::{
    AcceptedMessage, AttemptRecord, Ending, LiveMessage, Record, MAX_BODY_BYTES, MAX_ENDPOINT_NAME_BYTES,
};
pub use storage::{FileHandle, Folder, Storage};
pub use table::MessageTable;

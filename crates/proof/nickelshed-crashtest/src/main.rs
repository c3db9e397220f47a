//! The sender with a storage that can halt the whole process at a chosen file operation, so that a test can
//! kill it exactly there. Fault injection is part of this package only, not of any released program.
//!
//! `HALT=kind,number,part`: halts at the operation with this number among those of this kind, numbered from 0
//! beginning with the first removal of a segment, which shows that compaction is running. Kinds: `append`,
//! `copy` (a write of compaction), `header`, `create`, `remove`, `truncate`, `rename`. `part` is the fraction
//! of a write that is performed before the halt, in 256ths. An operation other than a write is performed only
//! if `part` is 256.
//!
//! `STALL=file`: while this file exists, writes block. They continue once it is removed.
//!
//! `CAPACITY=file`: while this file exists, it contains the total size in bytes that the files of the folder
//! may take.
use nickelshed::{ConfigSource, Operator};
use nickelshed_journal::{Folder, Storage};
use std::cell::Cell;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

struct FaultInjectingFolder {
    folder: Folder,
    /// None if the process never halts.
    halt_point: Option<HaltPoint>,
    /// Set by the first removal of a segment.
    is_counting: Cell<bool>,
    /// Number of operations of the kind of `halt_point` since then.
    operation_count: Cell<u64>,
    capacity_file: Option<PathBuf>,
    stall_file: Option<PathBuf>,
}

struct HaltPoint {
    operation: String,
    number: u64,
    part_256ths: usize,
}

fn parse_halt_point(value: &str) -> Option<HaltPoint> {
    let mut fields = value.split(',');
    let operation = fields.next()?.to_string();
    Some(HaltPoint {
        operation,
        number: fields.next()?.parse().ok()?,
        part_256ths: fields.next()?.parse().ok()?,
    })
}

/// Classifies a write by its first bytes: a segment header, or a frame whose first record was written by
/// compaction.
fn classify_write(bytes: &[u8]) -> &'static str {
    // The length of a frame header. The record tags from 5 on are those of a full message and of a low-water
    // mark.
    const FIRST_RECORD_OFFSET: usize = 24;
    match bytes {
        [b'n', b's', b'j', b'l', ..] => "header",
        _ if bytes.get(FIRST_RECORD_OFFSET).is_some_and(|tag| *tag >= 5) => "copy",
        _ => "append",
    }
}

impl FaultInjectingFolder {
    fn new(path: &Path) -> FaultInjectingFolder {
        let halt_point = std::env::var("HALT").ok();
        let halt_point = halt_point.map(|value| parse_halt_point(&value).expect("HALT is kind,number,part"));
        let [capacity_file, stall_file] =
            ["CAPACITY", "STALL"].map(|name| std::env::var_os(name).map(PathBuf::from));
        let (is_counting, operation_count) = (Cell::new(false), Cell::new(0));
        FaultInjectingFolder {
            folder: Folder::new(path),
            halt_point,
            is_counting,
            operation_count,
            capacity_file,
            stall_file,
        }
    }

    /// Counts an operation. If the process is to halt there, returns the part of the operation to perform
    /// before the halt, in 256ths.
    fn part_before_halt(&self, operation: &str) -> Option<usize> {
        let halt_point = self
            .halt_point
            .as_ref()
            .filter(|halt_point| halt_point.operation == operation && self.is_counting.get())?;
        let operation_index = self.operation_count.replace(self.operation_count.get() + 1);
        (operation_index == halt_point.number).then_some(halt_point.part_256ths)
    }

    /// Returns how many of these bytes fit on the disk.
    fn bytes_that_fit(
        &self,
        bytes: &[u8],
        offset: u64,
        file: &<Folder as Storage>::File,
    ) -> io::Result<usize> {
        let capacity_text = self.capacity_file.as_ref().and_then(|path| std::fs::read_to_string(path).ok());
        let Some(capacity_bytes) = capacity_text.and_then(|text| text.trim().parse::<u64>().ok()) else {
            return Ok(bytes.len());
        };
        let used_bytes: u64 = self.folder.list()?.iter().map(|(_, length)| length).sum();
        let growth_bytes = (offset + bytes.len() as u64).saturating_sub(file.metadata()?.len());
        let missing_bytes = (used_bytes + growth_bytes).saturating_sub(capacity_bytes.max(used_bytes));
        Ok(bytes.len() - missing_bytes.min(bytes.len() as u64) as usize)
    }

    fn run_or_halt<T>(&self, operation: &str, perform: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
        let Some(part_256ths) = self.part_before_halt(operation) else { return perform() };
        if part_256ths >= 256 {
            let _ = perform();
        }
        halt(operation)
    }
}

fn halt(operation: &str) -> ! {
    eprintln!("halted at {operation}");
    loop {
        std::thread::sleep(Duration::from_secs(3_600));
    }
}

impl Storage for FaultInjectingFolder {
    type File = <Folder as Storage>::File;

    fn lock(&mut self) -> io::Result<()> {
        self.folder.lock()
    }

    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        self.folder.list()
    }

    fn read(&self, name: &str, limit: u64) -> io::Result<Vec<u8>> {
        self.folder.read(name, limit)
    }

    fn create(&self, name: &str) -> io::Result<Self::File> {
        self.run_or_halt("create", || self.folder.create(name))
    }

    fn open(&self, name: &str) -> io::Result<Self::File> {
        self.folder.open(name)
    }

    fn write_at(&self, file: &Self::File, bytes: &[u8], offset: u64) -> io::Result<usize> {
        if let Some(stall_file) = self.stall_file.as_ref().filter(|path| path.exists()) {
            eprintln!("stalls");
            while stall_file.exists() {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        let operation = classify_write(bytes);
        if let Some(part_256ths) = self.part_before_halt(operation) {
            let done = &bytes[..bytes.len() * part_256ths.min(256) / 256];
            if !done.is_empty() {
                let _ = self.folder.write_all_at(file, done, offset);
            }
            halt(operation)
        }
        match self.bytes_that_fit(bytes, offset, file)? {
            0 if !bytes.is_empty() => Err(io::ErrorKind::StorageFull.into()),
            fitting => self.folder.write_at(file, &bytes[..fitting], offset),
        }
    }

    fn preallocate(&self, file: &Self::File, length: u64) -> io::Result<()> {
        self.folder.preallocate(file, length)
    }

    fn truncate(&self, file: &Self::File, length: u64) -> io::Result<()> {
        self.run_or_halt("truncate", || self.folder.truncate(file, length))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.run_or_halt("rename", || self.folder.rename(from, to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        if name.starts_with("segment-") {
            self.is_counting.set(true);
        }
        self.run_or_halt("remove", || self.folder.remove(name))
    }

    fn folder_handle(&self) -> io::Result<Self::File> {
        self.folder.folder_handle()
    }
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).init();
    match nickelshed::run(&ConfigSource::Platform(Operator::default()), FaultInjectingFolder::new) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "cannot go on");
            ExitCode::FAILURE
        }
    }
}

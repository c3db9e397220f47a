//! The state folder of a simulated sender: the testkit's disk, with every operation reported to the sender's
//! `ProcessRun`.
use crate::process_run::ProcessRun;
use nickelshed_journal::{FileHandle, Storage};
use nickelshed_testkit::{Disk, DiskFile};
use std::io;
use std::rc::Rc;

#[derive(Clone)]
pub struct StateFolder {
    disk: Disk,
    run: Rc<ProcessRun>,
}

impl StateFolder {
    pub fn new(disk: Disk, run: Rc<ProcessRun>) -> StateFolder {
        StateFolder { disk, run }
    }

    /// Runs an operation that takes effect completely or not at all. If the process is killed in it, it takes
    /// effect only if the kill point is at its end (256 of 256 parts done).
    fn atomic<T>(&self, operation: impl FnOnce(&Disk) -> io::Result<T>) -> io::Result<T> {
        match self.run.on_operation()? {
            Some(part) if part < 256 => Err(io::Error::other("the process has been killed")),
            _ => operation(&self.disk),
        }
    }
}

/// A file of the state folder. `sync` is not reported to the process run: the journal syncs on a thread of
/// its own, outside simulated time, and scenarios run with durability `process`, which never syncs.
#[derive(Clone)]
pub struct StateFile(DiskFile);

impl FileHandle for StateFile {
    fn sync(&self) -> io::Result<()> {
        self.0.sync()
    }
}

impl Storage for StateFolder {
    type File = StateFile;

    fn lock(&mut self) -> io::Result<()> {
        let mut disk = self.disk.clone();
        self.atomic(|_| disk.lock())
    }

    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        self.atomic(Disk::list)
    }

    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>> {
        self.atomic(|disk| disk.read(name, max_bytes))
    }

    fn create(&self, name: &str) -> io::Result<StateFile> {
        self.atomic(|disk| disk.create(name)).map(StateFile)
    }

    fn open(&self, name: &str) -> io::Result<StateFile> {
        self.atomic(|disk| disk.open(name)).map(StateFile)
    }

    fn preallocate(&self, file: &StateFile, length: u64) -> io::Result<()> {
        self.atomic(|disk| disk.preallocate(&file.0, length))
    }

    fn write_at(&self, file: &StateFile, bytes: &[u8], offset: u64) -> io::Result<usize> {
        let Some(part) = self.run.on_operation()? else { return self.disk.write_at(&file.0, bytes, offset) };
        let written = bytes.len() * usize::from(part.min(256)) / 256;
        self.disk.write_at(&file.0, &bytes[..written], offset)?;
        Err(io::Error::other("the process has been killed"))
    }

    fn truncate(&self, file: &StateFile, length: u64) -> io::Result<()> {
        self.atomic(|disk| disk.truncate(&file.0, length))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.atomic(|disk| disk.rename(from, to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.atomic(|disk| disk.remove(name))
    }

    fn folder_handle(&self) -> io::Result<StateFile> {
        self.atomic(Disk::folder_handle).map(StateFile)
    }
}

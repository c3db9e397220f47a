//! A sender's folder in the lab: the testkit's disk, with its process's life in between.
use crate::life::ProcessRun;
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

    /// Lets an operation happen that is done or not, never in part.
    fn whole<T>(&self, operation: impl FnOnce(&Disk) -> io::Result<T>) -> io::Result<T> {
        match self.run.on_operation()? {
            Some(part) if part < 256 => Err(io::Error::other("the process has ended")),
            _ => operation(&self.disk),
        }
    }
}

/// Syncs are asked for by a thread of their own, which simulated time knows nothing of: days are played with durability
/// `process`, whose files are never synced.
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
        self.whole(|_| disk.lock())
    }

    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        self.whole(Disk::list)
    }

    fn read(&self, name: &str, most: u64) -> io::Result<Vec<u8>> {
        self.whole(|disk| disk.read(name, most))
    }

    fn create(&self, name: &str) -> io::Result<StateFile> {
        self.whole(|disk| disk.create(name)).map(StateFile)
    }

    fn open(&self, name: &str) -> io::Result<StateFile> {
        self.whole(|disk| disk.open(name)).map(StateFile)
    }

    fn preallocate(&self, file: &StateFile, length: u64) -> io::Result<()> {
        self.whole(|disk| disk.preallocate(&file.0, length))
    }

    fn write_at(&self, file: &StateFile, bytes: &[u8], offset: u64) -> io::Result<usize> {
        let Some(part) = self.run.on_operation()? else { return self.disk.write_at(&file.0, bytes, offset) };
        let done = bytes.len() * usize::from(part.min(256)) / 256;
        self.disk.write_at(&file.0, &bytes[..done], offset)?;
        Err(io::Error::other("the process has ended"))
    }

    fn truncate(&self, file: &StateFile, length: u64) -> io::Result<()> {
        self.whole(|disk| disk.truncate(&file.0, length))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.whole(|disk| disk.rename(from, to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.whole(|disk| disk.remove(name))
    }

    fn folder_handle(&self) -> io::Result<StateFile> {
        self.whole(Disk::folder_handle).map(StateFile)
    }
}

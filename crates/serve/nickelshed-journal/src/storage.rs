//! File operations on the journal folder, behind a trait so that tests can make each of them fail.
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Handle of an open file or of the folder. Another thread may sync it.
pub trait FileHandle: Clone + Send + 'static {
    /// Returns once everything written so far survives the loss of the machine.
    ///
    /// # Errors
    /// After an error, the state of everything written since the last successful sync is unknown.
    fn sync(&self) -> io::Result<()>;
}

/// All names are plain file names in one folder.
pub trait Storage {
    type File: FileHandle;

    /// Locks the folder against other processes until this process ends.
    ///
    /// # Errors
    /// `WouldBlock` if another process holds the lock.
    fn lock(&mut self) -> io::Result<()>;
    /// Returns names and sizes in bytes, in no particular order.
    fn list(&self) -> io::Result<Vec<(String, u64)>>;
    /// Reads at most `limit` bytes from the start of the file.
    fn read(&self, name: &str, limit: u64) -> io::Result<Vec<u8>>;
    /// Creates a file. Fails if it exists.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    /// Opens an existing file for writing.
    fn open(&self, name: &str) -> io::Result<Self::File>;
    /// Allocates disk space for the file, so that a later sync does not have to write its new size. The space
    /// reads as zeros. Does nothing if the file system does not support this.
    fn preallocate(&self, file: &Self::File, length: u64) -> io::Result<()>;
    /// Writes at `offset`. Returns the number of bytes written, which may be less than all.
    fn write_at(&self, file: &Self::File, bytes: &[u8], offset: u64) -> io::Result<usize>;
    fn truncate(&self, file: &Self::File, length: u64) -> io::Result<()>;
    /// Renames a file, and replaces an existing file named `to`.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Returns a handle of the folder, whose sync makes creations, renames and removals durable.
    fn folder_handle(&self) -> io::Result<Self::File>;

    /// Writes all bytes at `offset`. Continues after short and interrupted writes.
    ///
    /// # Errors
    /// Some of the bytes may have been written.
    fn write_all_at(&self, file: &Self::File, mut bytes: &[u8], mut offset: u64) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.write_at(file, bytes, offset) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => (bytes, offset) = (&bytes[n..], offset + n as u64),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

/// A folder of the file system.
pub struct Folder {
    path: PathBuf,
    lock_file: Option<File>,
}

const LOCK_FILE: &str = "lock";

impl Folder {
    pub fn new(path: &Path) -> Folder {
        Folder { path: path.to_path_buf(), lock_file: None }
    }
}

impl FileHandle for Arc<File> {
    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}

impl Storage for Folder {
    type File = Arc<File>;

    fn lock(&mut self) -> io::Result<()> {
        // The file is empty, so it takes no block of the disk limit. The system releases the lock when the
        // process ends.
        let file =
            OpenOptions::new().create(true).truncate(false).write(true).open(self.path.join(LOCK_FILE))?;
        match file.try_lock() {
            Ok(()) => self.lock_file = Some(file),
            Err(fs::TryLockError::WouldBlock) => return Err(io::ErrorKind::WouldBlock.into()),
            Err(fs::TryLockError::Error(e)) => return Err(e),
        }
        Ok(())
    }

    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            match (entry.file_name().into_string(), entry.metadata()) {
                (Ok(name), Ok(meta)) if meta.is_file() => files.push((name, meta.len())),
                // Removed in the meantime, or not a file of the journal.
                _ => {}
            }
        }
        Ok(files)
    }

    fn read(&self, name: &str, limit: u64) -> io::Result<Vec<u8>> {
        let file = File::open(self.path.join(name))?;
        let length = file.metadata()?.len().min(limit);
        let mut bytes = Vec::with_capacity(length as usize);
        io::Read::read_to_end(&mut io::Read::take(file, length), &mut bytes)?;
        Ok(bytes)
    }

    fn create(&self, name: &str) -> io::Result<Arc<File>> {
        Ok(Arc::new(OpenOptions::new().create_new(true).write(true).open(self.path.join(name))?))
    }

    fn open(&self, name: &str) -> io::Result<Arc<File>> {
        Ok(Arc::new(OpenOptions::new().write(true).open(self.path.join(name))?))
    }

    fn preallocate(&self, file: &Arc<File>, length: u64) -> io::Result<()> {
        use rustix::fs::{fallocate, FallocateFlags};
        match fallocate(&**file, FallocateFlags::empty(), 0, length) {
            Err(rustix::io::Errno::OPNOTSUPP | rustix::io::Errno::NOSYS) => Ok(()),
            other => Ok(other?),
        }
    }

    fn write_at(&self, file: &Arc<File>, bytes: &[u8], offset: u64) -> io::Result<usize> {
        FileExt::write_at(&**file, bytes, offset)
    }

    fn truncate(&self, file: &Arc<File>, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn folder_handle(&self) -> io::Result<Arc<File>> {
        Ok(Arc::new(File::open(&self.path)?))
    }
}

//! The folder's files, behind a trait so that each operation on them can be made to fail.
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// An open file, or the folder itself. It may be synced from another thread.
pub trait Handle: Clone + Send + 'static {
    /// Returns once what was written to it outlasts the loss of the machine.
    ///
    /// # Errors
    /// After one, nothing is known of what was written since the last success.
    fn sync(&self) -> io::Result<()>;
}

/// Names are plain file names in one folder.
pub trait Storage {
    type File: Handle;

    /// Keeps other processes from using the folder until this one ends.
    ///
    /// # Errors
    /// `WouldBlock` if another process has it.
    fn lock(&mut self) -> io::Result<()>;
    /// Names and lengths in bytes, in no order.
    fn list(&self) -> io::Result<Vec<(String, u64)>>;
    /// Up to `most` bytes from the start of the file.
    fn read(&self, name: &str, most: u64) -> io::Result<Vec<u8>>;
    /// Makes a file that must not be there yet.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    fn open(&self, name: &str) -> io::Result<Self::File>;
    /// Takes so many bytes of the disk for the file beforehand, so that a sync need not note its growth. They read as
    /// zeros. Where the file system can't, nothing is done.
    fn reserve(&self, file: &Self::File, length: u64) -> io::Result<()>;
    /// May write less than all of it.
    fn write_at(&self, file: &Self::File, bytes: &[u8], offset: u64) -> io::Result<usize>;
    fn truncate(&self, file: &Self::File, length: u64) -> io::Result<()>;
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&self, name: &str) -> io::Result<()>;
    /// For the sync of what was created, renamed and removed.
    fn folder(&self) -> io::Result<Self::File>;

    /// # Errors
    /// Some of the bytes may have been written then.
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
    locked: Option<File>,
}

const LOCK: &str = "lock";

impl Folder {
    pub fn new(path: &Path) -> Folder {
        Folder { path: path.to_path_buf(), locked: None }
    }
}

impl Handle for Arc<File> {
    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}

impl Storage for Folder {
    type File = Arc<File>;

    fn lock(&mut self) -> io::Result<()> {
        // Empty, so it takes no block of the disk's limit. The system lets go of it when the process ends.
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(self.path.join(LOCK))?;
        match file.try_lock() {
            Ok(()) => self.locked = Some(file),
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
                // Removed since, or none of ours.
                _ => {}
            }
        }
        Ok(files)
    }

    fn read(&self, name: &str, most: u64) -> io::Result<Vec<u8>> {
        let file = File::open(self.path.join(name))?;
        let length = file.metadata()?.len().min(most);
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

    fn reserve(&self, file: &Arc<File>, length: u64) -> io::Result<()> {
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

    fn folder(&self) -> io::Result<Arc<File>> {
        Ok(Arc::new(File::open(&self.path)?))
    }
}

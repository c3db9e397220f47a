//! An in-memory implementation of the journal's storage with fault injection. Each operation can be made to
//! fail, to be done only in part, or to be the last one before the process ends. A simulated power loss drops
//! a random part of the changes that have not been synced.
use nickelshed_journal::{FileHandle, Storage};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

/// A fault to inject into one operation, or into all operations from one on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process ends during this operation, and every later operation fails. The number is the part of it,
    /// in 256ths, that takes effect: a write stores that part of its bytes and returns an error; any other
    /// operation takes effect and succeeds at 256, and fails without an effect below that.
    Crash(u16),
    /// This operation fails with this kind of error after a part of it, in 256ths, has taken effect, as for
    /// `Crash`. The process continues.
    Fail(u16, io::ErrorKind),
    /// From this operation on, every operation that changes files or names fails without an effect, until the
    /// fault is cleared.
    FailChangesFrom(io::ErrorKind),
}

#[derive(Default)]
struct Inode {
    /// Contents that processes read.
    visible: Vec<u8>,
    /// Contents that survive a power loss.
    durable: Vec<u8>,
    /// Changes since the last sync, in order.
    unsynced: Vec<Change>,
}

#[derive(Clone)]
enum Change {
    Write(u64, Vec<u8>),
    Length(u64),
}

#[derive(Default)]
struct State {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    /// Names that survive a power loss.
    durable_names: BTreeMap<String, usize>,
    /// Names changed since the folder's last sync, each with its new inode or `None` if it was removed. The
    /// inner list holds the changes of one operation, which a power loss keeps or drops together.
    unsynced_names: Vec<Vec<(String, Option<usize>)>>,
    locked: bool,
    /// Number of operations that have begun.
    operations: u64,
    /// The injected fault, and the number of the operation at which it occurs.
    fault: Option<(u64, Fault)>,
    process_ended: bool,
    /// Limit on the bytes of all files together.
    capacity: u64,
    /// Names of the operations that have begun, in order.
    trace: Vec<&'static str>,
}

/// Handle of an open file, or of the folder if `inode` is `None`.
#[derive(Clone)]
pub struct File {
    state: Arc<Mutex<State>>,
    inode: Option<usize>,
}

/// An in-memory folder with its files. Clones share it, as two processes on one machine do.
#[derive(Clone)]
pub struct Disk {
    state: Arc<Mutex<State>>,
}

impl Default for Disk {
    fn default() -> Disk {
        Disk::new()
    }
}

enum Progress {
    Complete,
    /// The operation stops with this error after the given part of it, in 256ths, is done.
    Partial(u16, io::Error),
}

fn process_ended_error() -> io::Error {
    io::Error::other("the process has ended")
}

impl State {
    /// Counts an operation, records it in the trace and returns how far it gets under the injected fault.
    fn begin_operation(&mut self, operation: &'static str, is_change: bool) -> io::Result<Progress> {
        if self.process_ended {
            return Err(process_ended_error());
        }
        let number = self.operations;
        self.operations += 1;
        self.trace.push(operation);
        match self.fault {
            Some((at, Fault::Crash(done_256ths))) if at == number => {
                self.process_ended = true;
                Ok(Progress::Partial(done_256ths, process_ended_error()))
            }
            Some((at, Fault::Fail(done_256ths, kind))) if at == number => {
                Ok(Progress::Partial(done_256ths, kind.into()))
            }
            Some((at, Fault::FailChangesFrom(kind))) if at <= number && is_change => {
                Ok(Progress::Partial(0, kind.into()))
            }
            _ => Ok(Progress::Complete),
        }
    }

    fn run_atomic_operation(&mut self, operation: &'static str, is_change: bool) -> io::Result<()> {
        match self.begin_operation(operation, is_change)? {
            Progress::Complete => Ok(()),
            // Only writes can be done in part; all other operations are done completely or not at all.
            Progress::Partial(done_256ths, error) => {
                if done_256ths < 256 {
                    return Err(error);
                }
                Ok(())
            }
        }
    }

    fn used_bytes(&self) -> u64 {
        self.names.values().map(|&i| self.inodes[i].visible.len() as u64).sum()
    }

    fn change_names(&mut self, changes: &[(&str, Option<usize>)]) {
        let changes: Vec<_> = changes.iter().map(|(name, to)| (name.to_string(), *to)).collect();
        changes.iter().for_each(|change| apply_name_change(&mut self.names, change));
        self.unsynced_names.push(changes);
    }
}

fn apply_name_change(names: &mut BTreeMap<String, usize>, (name, to): &(String, Option<usize>)) {
    match to {
        Some(inode) => _ = names.insert(name.clone(), *inode),
        None => _ = names.remove(name),
    }
}

fn apply_change(bytes: &mut Vec<u8>, change: &Change) {
    match change {
        Change::Write(offset, written) => {
            let end = *offset as usize + written.len();
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[*offset as usize..end].copy_from_slice(written);
        }
        Change::Length(length) => bytes.resize(*length as usize, 0),
    }
}

const SECTOR_BYTES: usize = 512;

impl Disk {
    pub fn new() -> Disk {
        let state = State { capacity: u64::MAX, ..State::default() };
        Disk { state: Arc::new(Mutex::new(state)) }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Injects a fault into a later operation: 0 is the next one, 1 the one after it. Replaces an earlier
    /// fault.
    pub fn inject_fault(&self, operations_from_now: u64, fault: Fault) {
        let mut state = self.state();
        state.fault = Some((state.operations + operations_from_now, fault));
    }

    pub fn clear_fault(&self) {
        self.state().fault = None;
    }

    /// Number of operations that have begun so far.
    pub fn operation_count(&self) -> u64 {
        self.state().operations
    }

    /// Names of all operations so far, in order.
    pub fn trace(&self) -> Vec<&'static str> {
        self.state().trace.clone()
    }

    /// Whether a `Crash` fault has ended the process since its last start.
    pub fn has_crashed(&self) -> bool {
        self.state().process_ended
    }

    /// Sets the limit on the bytes of all files together.
    pub fn set_capacity(&self, bytes: u64) {
        self.state().capacity = bytes;
    }

    pub fn used_bytes(&self) -> u64 {
        self.state().used_bytes()
    }

    /// Simulates a restart of the process: all changes that it made are kept, synced or not. Clears the fault
    /// and the lock.
    pub fn restart_process(&self) {
        let mut state = self.state();
        (state.process_ended, state.locked, state.fault) = (false, false, None);
    }

    /// Simulates a power loss and the next start. Each unsynced change is kept or lost at random, whether or
    /// not earlier ones are kept; a write is kept or lost sector by sector. Clears the fault and the lock.
    pub fn lose_power(&self, random: &mut fastrand::Rng) {
        let mut state = self.state();
        let state = &mut *state;
        for inode in &mut state.inodes {
            // Real disks often lose all unsynced changes of a file or none: 0 drops all, 1 keeps all, 2 and 3
            // draw for each sector.
            let loss_mode = random.u8(..4);
            for change in std::mem::take(&mut inode.unsynced) {
                match change {
                    Change::Write(offset, bytes) => {
                        let mut at = 0;
                        while at < bytes.len() {
                            let next =
                                (at + SECTOR_BYTES - (offset as usize + at) % SECTOR_BYTES).min(bytes.len());
                            if loss_mode == 1 || (loss_mode > 1 && random.bool()) {
                                let sector = Change::Write(offset + at as u64, bytes[at..next].to_vec());
                                apply_change(&mut inode.durable, &sector);
                            }
                            at = next;
                        }
                    }
                    length_change => {
                        if loss_mode == 1 || (loss_mode > 1 && random.bool()) {
                            apply_change(&mut inode.durable, &length_change);
                        }
                    }
                }
            }
            inode.visible = inode.durable.clone();
        }
        for changes in std::mem::take(&mut state.unsynced_names) {
            if random.bool() {
                changes.iter().for_each(|change| apply_name_change(&mut state.durable_names, change));
            }
        }
        state.names = state.durable_names.clone();
        (state.process_ended, state.locked, state.fault) = (false, false, None);
    }

    /// Names of all files as processes see them, sorted.
    pub fn file_names(&self) -> Vec<String> {
        self.state().names.keys().cloned().collect()
    }

    /// Contents of a file as processes read them; `None` if there is no such file.
    pub fn file_bytes(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.state();
        state.names.get(name).map(|&i| state.inodes[i].visible.clone())
    }

    /// Adds a file whose name and contents are already durable.
    pub fn put_durable(&self, name: &str, bytes: &[u8]) {
        let mut state = self.state();
        let inode = state.inodes.len();
        state.inodes.push(Inode { visible: bytes.to_vec(), durable: bytes.to_vec(), unsynced: Vec::new() });
        state.names.insert(name.to_string(), inode);
        state.durable_names.insert(name.to_string(), inode);
    }

    /// Returns an independent disk with the same files, all durable.
    pub fn copy(&self) -> Disk {
        let copy = Disk::new();
        for name in self.file_names() {
            copy.put_durable(&name, &self.file_bytes(&name).unwrap_or_default());
        }
        copy
    }
}

impl FileHandle for File {
    fn sync(&self) -> io::Result<()> {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        match (self.inode, state.begin_operation("sync", true)?) {
            (_, Progress::Partial(done_256ths, error)) if done_256ths < 256 => {
                // Linux marks pages as clean after a failed write-back, so a later sync succeeds without
                // having written them: the changes are lost at a power loss.
                if let Some(inode) = self.inode.filter(|_| !state.process_ended) {
                    state.inodes[inode].unsynced.clear();
                }
                Err(error)
            }
            (Some(inode), _) => {
                let inode = &mut state.inodes[inode];
                inode.unsynced.clear();
                inode.durable = inode.visible.clone();
                Ok(())
            }
            (None, _) => {
                state.unsynced_names.clear();
                state.durable_names = state.names.clone();
                Ok(())
            }
        }
    }
}

impl Storage for Disk {
    type File = File;

    fn lock(&mut self) -> io::Result<()> {
        let mut state = self.state();
        state.run_atomic_operation("lock", false)?;
        if std::mem::replace(&mut state.locked, true) {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        Ok(())
    }

    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        let mut state = self.state();
        state.run_atomic_operation("list", false)?;
        Ok(state.names.iter().map(|(n, &i)| (n.clone(), state.inodes[i].visible.len() as u64)).collect())
    }

    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>> {
        let mut state = self.state();
        state.run_atomic_operation("read", false)?;
        let inode = *state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        let bytes = &state.inodes[inode].visible;
        Ok(bytes[..bytes.len().min(max_bytes as usize)].to_vec())
    }

    fn create(&self, name: &str) -> io::Result<File> {
        let mut state = self.state();
        state.run_atomic_operation("create", true)?;
        if state.names.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let inode = state.inodes.len();
        state.inodes.push(Inode::default());
        state.change_names(&[(name, Some(inode))]);
        Ok(File { state: self.state.clone(), inode: Some(inode) })
    }

    fn open(&self, name: &str) -> io::Result<File> {
        let mut state = self.state();
        state.run_atomic_operation("open", false)?;
        let inode = *state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(File { state: self.state.clone(), inode: Some(inode) })
    }

    fn write_at(&self, file: &File, bytes: &[u8], offset: u64) -> io::Result<usize> {
        let mut state = self.state();
        let progress = state.begin_operation("write", true)?;
        let inode = file.inode.ok_or(io::ErrorKind::IsADirectory)?;
        let growth = (offset + bytes.len() as u64).saturating_sub(state.inodes[inode].visible.len() as u64);
        let free = state.capacity.saturating_sub(state.used_bytes());
        let fits = bytes.len() - growth.saturating_sub(free).min(bytes.len() as u64) as usize;
        let (length, error) = match progress {
            Progress::Complete if fits == 0 && !bytes.is_empty() => {
                (0, Some(io::ErrorKind::StorageFull.into()))
            }
            Progress::Complete => (fits, None),
            Progress::Partial(done_256ths, error) => {
                (bytes.len() * usize::from(done_256ths) / 256, Some(error))
            }
        };
        let change = Change::Write(offset, bytes[..length].to_vec());
        if length > 0 {
            let inode = &mut state.inodes[inode];
            apply_change(&mut inode.visible, &change);
            inode.unsynced.push(change);
        }
        error.map_or(Ok(length), Err)
    }

    fn preallocate(&self, file: &File, length: u64) -> io::Result<()> {
        let mut state = self.state();
        state.run_atomic_operation("reserve", true)?;
        let inode = file.inode.ok_or(io::ErrorKind::IsADirectory)?;
        if length > state.capacity.saturating_sub(state.used_bytes()) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let change = Change::Length(length);
        apply_change(&mut state.inodes[inode].visible, &change);
        state.inodes[inode].unsynced.push(change);
        Ok(())
    }

    fn truncate(&self, file: &File, length: u64) -> io::Result<()> {
        let mut state = self.state();
        state.run_atomic_operation("truncate", true)?;
        let inode = file.inode.ok_or(io::ErrorKind::IsADirectory)?;
        let change = Change::Length(length);
        apply_change(&mut state.inodes[inode].visible, &change);
        state.inodes[inode].unsynced.push(change);
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.run_atomic_operation("rename", true)?;
        let inode = *state.names.get(from).ok_or(io::ErrorKind::NotFound)?;
        state.change_names(&[(to, Some(inode)), (from, None)]);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.run_atomic_operation("remove", true)?;
        if !state.names.contains_key(name) {
            return Err(io::ErrorKind::NotFound.into());
        }
        state.change_names(&[(name, None)]);
        Ok(())
    }

    fn folder_handle(&self) -> io::Result<File> {
        self.state().run_atomic_operation("open folder", false)?;
        Ok(File { state: self.state.clone(), inode: None })
    }
}

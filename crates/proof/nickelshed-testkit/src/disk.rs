//! A folder in memory whose every operation can be made to fail, be cut short, or be the last one; and what is left
//! of it when the process or the machine is lost.
use nickelshed_journal::{Handle, Storage};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process ends in this operation. Of a write, this part (in 256ths) has been done.
    Crash(u16),
    /// This operation fails; of a write, this part (in 256ths) has been done.
    Fail(u16, io::ErrorKind),
    /// Like `Fail`, with all operations after it that change anything, until it is lifted.
    FailChangesFrom(io::ErrorKind),
}

#[derive(Default)]
struct Inode {
    /// As every process sees it.
    seen: Vec<u8>,
    /// As it is on the medium.
    kept: Vec<u8>,
    /// Not synced yet, in order.
    pending: Vec<Change>,
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
    kept_names: BTreeMap<String, usize>,
    /// Names changed since the folder's last sync: what each leads to now. A group is one operation.
    pending: Vec<Vec<(String, Option<usize>)>>,
    locked: bool,
    operations: u64,
    fault: Option<(u64, Fault)>,
    dead: bool,
    /// Bytes that all files together may take.
    capacity: u64,
    trace: Vec<&'static str>,
}

/// A number of an open file; `None` is the folder.
#[derive(Clone)]
pub struct File {
    state: Arc<Mutex<State>>,
    inode: Option<usize>,
}

#[derive(Clone)]
pub struct Disk {
    state: Arc<Mutex<State>>,
}

impl Default for Disk {
    fn default() -> Disk {
        Disk::new()
    }
}

enum Go {
    On,
    /// So many 256ths of it are done, and then this.
    Part(u16, io::Error),
}

fn died() -> io::Error {
    io::Error::other("the process has ended")
}

impl State {
    /// Counts an operation and says how it goes.
    fn begin(&mut self, what: &'static str, changes: bool) -> io::Result<Go> {
        if self.dead {
            return Err(died());
        }
        let number = self.operations;
        self.operations += 1;
        self.trace.push(what);
        match self.fault {
            Some((at, Fault::Crash(part))) if at == number => {
                self.dead = true;
                Ok(Go::Part(part, died()))
            }
            Some((at, Fault::Fail(part, kind))) if at == number => Ok(Go::Part(part, kind.into())),
            Some((at, Fault::FailChangesFrom(kind))) if at <= number && changes => {
                Ok(Go::Part(0, kind.into()))
            }
            _ => Ok(Go::On),
        }
    }

    fn whole(&mut self, what: &'static str, changes: bool) -> io::Result<()> {
        match self.begin(what, changes)? {
            Go::On => Ok(()),
            // These are done or not, never in part.
            Go::Part(part, error) => {
                if part < 256 {
                    return Err(error);
                }
                Ok(())
            }
        }
    }

    fn used(&self) -> u64 {
        self.names.values().map(|&i| self.inodes[i].seen.len() as u64).sum()
    }

    fn rename(&mut self, changes: &[(&str, Option<usize>)]) {
        let changes: Vec<_> = changes.iter().map(|(name, to)| (name.to_string(), *to)).collect();
        changes.iter().for_each(|change| lead(&mut self.names, change));
        self.pending.push(changes);
    }
}

fn lead(names: &mut BTreeMap<String, usize>, (name, to): &(String, Option<usize>)) {
    match to {
        Some(inode) => _ = names.insert(name.clone(), *inode),
        None => _ = names.remove(name),
    }
}

fn apply(bytes: &mut Vec<u8>, change: &Change) {
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

const SECTOR: usize = 512;

impl Disk {
    pub fn new() -> Disk {
        let state = State { capacity: u64::MAX, ..State::default() };
        Disk { state: Arc::new(Mutex::new(state)) }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Lets the operation of this number, counted from now, go wrong.
    pub fn inject_fault(&self, after: u64, fault: Fault) {
        let mut state = self.state();
        state.fault = Some((state.operations + after, fault));
    }

    pub fn clear_fault(&self) {
        self.state().fault = None;
    }

    pub fn operation_count(&self) -> u64 {
        self.state().operations
    }

    /// What the operations so far were.
    pub fn trace(&self) -> Vec<&'static str> {
        self.state().trace.clone()
    }

    pub fn has_crashed(&self) -> bool {
        self.state().dead
    }

    /// Bytes that all files together may take from now on.
    pub fn set_capacity(&self, bytes: u64) {
        self.state().capacity = bytes;
    }

    pub fn used_bytes(&self) -> u64 {
        self.state().used()
    }

    /// The process has ended; what it wrote is all there.
    pub fn restart_process(&self) {
        let mut state = self.state();
        (state.dead, state.locked, state.fault) = (false, false, None);
    }

    /// The machine was lost: of what was not synced any part may be there, in sectors and in any order.
    pub fn lose_power(&self, random: &mut fastrand::Rng) {
        let mut state = self.state();
        let state = &mut *state;
        for inode in &mut state.inodes {
            // Often nothing or all of it, as real disks have it.
            let mood = random.u8(..4);
            for change in std::mem::take(&mut inode.pending) {
                match change {
                    Change::Write(offset, bytes) => {
                        let mut at = 0;
                        while at < bytes.len() {
                            let next = (at + SECTOR - (offset as usize + at) % SECTOR).min(bytes.len());
                            if mood == 1 || (mood > 1 && random.bool()) {
                                let part = Change::Write(offset + at as u64, bytes[at..next].to_vec());
                                apply(&mut inode.kept, &part);
                            }
                            at = next;
                        }
                    }
                    length => {
                        if mood == 1 || (mood > 1 && random.bool()) {
                            apply(&mut inode.kept, &length);
                        }
                    }
                }
            }
            inode.seen = inode.kept.clone();
        }
        for changes in std::mem::take(&mut state.pending) {
            if random.bool() {
                changes.iter().for_each(|change| lead(&mut state.kept_names, change));
            }
        }
        state.names = state.kept_names.clone();
        (state.dead, state.locked, state.fault) = (false, false, None);
    }

    pub fn file_names(&self) -> Vec<String> {
        self.state().names.keys().cloned().collect()
    }

    pub fn file_bytes(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.state();
        state.names.get(name).map(|&i| state.inodes[i].seen.clone())
    }

    /// Puts a file there, for good.
    pub fn put_durable(&self, name: &str, bytes: &[u8]) {
        let mut state = self.state();
        let inode = state.inodes.len();
        state.inodes.push(Inode { seen: bytes.to_vec(), kept: bytes.to_vec(), pending: Vec::new() });
        state.names.insert(name.to_string(), inode);
        state.kept_names.insert(name.to_string(), inode);
    }

    /// A second folder with the same files.
    pub fn copy(&self) -> Disk {
        let copy = Disk::new();
        for name in self.file_names() {
            copy.put_durable(&name, &self.file_bytes(&name).unwrap_or_default());
        }
        copy
    }
}

impl Handle for File {
    fn sync(&self) -> io::Result<()> {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        match (self.inode, state.begin("sync", true)?) {
            (_, Go::Part(part, error)) if part < 256 => {
                // As Linux has it: what could not be written counts as clean from now on, and is lost.
                if let Some(inode) = self.inode.filter(|_| !state.dead) {
                    state.inodes[inode].pending.clear();
                }
                Err(error)
            }
            (Some(inode), _) => {
                let inode = &mut state.inodes[inode];
                inode.pending.clear();
                inode.kept = inode.seen.clone();
                Ok(())
            }
            (None, _) => {
                state.pending.clear();
                state.kept_names = state.names.clone();
                Ok(())
            }
        }
    }
}

impl Storage for Disk {
    type File = File;

    fn lock(&mut self) -> io::Result<()> {
        let mut state = self.state();
        state.whole("lock", false)?;
        if std::mem::replace(&mut state.locked, true) {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        Ok(())
    }

    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        let mut state = self.state();
        state.whole("list", false)?;
        Ok(state.names.iter().map(|(n, &i)| (n.clone(), state.inodes[i].seen.len() as u64)).collect())
    }

    fn read(&self, name: &str, most: u64) -> io::Result<Vec<u8>> {
        let mut state = self.state();
        state.whole("read", false)?;
        let inode = *state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        let bytes = &state.inodes[inode].seen;
        Ok(bytes[..bytes.len().min(most as usize)].to_vec())
    }

    fn create(&self, name: &str) -> io::Result<File> {
        let mut state = self.state();
        state.whole("create", true)?;
        if state.names.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let inode = state.inodes.len();
        state.inodes.push(Inode::default());
        state.rename(&[(name, Some(inode))]);
        Ok(File { state: self.state.clone(), inode: Some(inode) })
    }

    fn open(&self, name: &str) -> io::Result<File> {
        let mut state = self.state();
        state.whole("open", false)?;
        let inode = *state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(File { state: self.state.clone(), inode: Some(inode) })
    }

    fn write_at(&self, file: &File, bytes: &[u8], offset: u64) -> io::Result<usize> {
        let mut state = self.state();
        let go = state.begin("write", true)?;
        let inode = file.inode.ok_or(io::ErrorKind::IsADirectory)?;
        let grows = (offset + bytes.len() as u64).saturating_sub(state.inodes[inode].seen.len() as u64);
        let free = state.capacity.saturating_sub(state.used());
        let fits = bytes.len() - grows.saturating_sub(free).min(bytes.len() as u64) as usize;
        let (length, error) = match go {
            Go::On if fits == 0 && !bytes.is_empty() => (0, Some(io::ErrorKind::StorageFull.into())),
            Go::On => (fits, None),
            Go::Part(part, error) => (bytes.len() * usize::from(part) / 256, Some(error)),
        };
        let change = Change::Write(offset, bytes[..length].to_vec());
        if length > 0 {
            let inode = &mut state.inodes[inode];
            apply(&mut inode.seen, &change);
            inode.pending.push(change);
        }
        error.map_or(Ok(length), Err)
    }

    fn reserve(&self, file: &File, length: u64) -> io::Result<()> {
        let mut state = self.state();
        state.whole("reserve", true)?;
        let inode = file.inode.ok_or(io::ErrorKind::IsADirectory)?;
        if length > state.capacity.saturating_sub(state.used()) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let change = Change::Length(length);
        apply(&mut state.inodes[inode].seen, &change);
        state.inodes[inode].pending.push(change);
        Ok(())
    }

    fn truncate(&self, file: &File, length: u64) -> io::Result<()> {
        let mut state = self.state();
        state.whole("truncate", true)?;
        let inode = file.inode.ok_or(io::ErrorKind::IsADirectory)?;
        let change = Change::Length(length);
        apply(&mut state.inodes[inode].seen, &change);
        state.inodes[inode].pending.push(change);
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.whole("rename", true)?;
        let inode = *state.names.get(from).ok_or(io::ErrorKind::NotFound)?;
        state.rename(&[(to, Some(inode)), (from, None)]);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.whole("remove", true)?;
        if !state.names.contains_key(name) {
            return Err(io::ErrorKind::NotFound.into());
        }
        state.rename(&[(name, None)]);
        Ok(())
    }

    fn folder(&self) -> io::Result<File> {
        self.state().whole("open folder", false)?;
        Ok(File { state: self.state.clone(), inode: None })
    }
}

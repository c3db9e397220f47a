//! The sender as it is, but for its storage: at one chosen file operation the whole process stands still, so that
//! whoever started it can kill it exactly there. Fail points live here and in no program that is delivered.
//!
//! `HALT=kind,number,part`: which operation of that kind is the last, counted from the first removal of a segment,
//! which is when copying has begun. Kinds: `append`, `copy` (a write of what was copied), `header`, `create`, `remove`,
//! `truncate`, `rename`. `part` is what has been done of it, in 256ths; of one that is no write, all or nothing.
//!
//! `STALL=file`: while that file is there, a write stands still, and goes on once it is gone.
//!
//! `CAPACITY=file`: while that file is there, it holds the number of bytes that the folder's files may take together.
use nickelshed::{ConfigSource, Operator};
use nickelshed_journal::{Folder, Storage};
use std::cell::Cell;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

struct Halting {
    folder: Folder,
    /// None: it never stands still.
    at: Option<Point>,
    counting: Cell<bool>,
    count: Cell<u64>,
    capacity: Option<PathBuf>,
    stall: Option<PathBuf>,
}

struct Point {
    kind: String,
    number: u64,
    part: usize,
}

fn point(text: &str) -> Option<Point> {
    let mut words = text.split(',');
    let kind = words.next()?.to_string();
    Some(Point { kind, number: words.next()?.parse().ok()?, part: words.next()?.parse().ok()? })
}

/// What a write is for, by its first bytes: a segment's header, or a frame whose first record is a copy or a floor.
fn kind(bytes: &[u8]) -> &'static str {
    const FIRST_RECORD: usize = 24;
    match bytes {
        [b'n', b's', b'j', b'l', ..] => "header",
        _ if bytes.get(FIRST_RECORD).is_some_and(|tag| *tag >= 5) => "copy",
        _ => "append",
    }
}

impl Halting {
    fn new(path: &Path) -> Halting {
        let at = std::env::var("HALT").ok();
        let at = at.map(|word| point(&word).expect("HALT is kind,number,part"));
        let [capacity, stall] = ["CAPACITY", "STALL"].map(|name| std::env::var_os(name).map(PathBuf::from));
        let (counting, count) = (Cell::new(false), Cell::new(0));
        Halting { folder: Folder::new(path), at, counting, count, capacity, stall }
    }

    /// How much of the operation that begins now is still done, if it is the last.
    fn last(&self, kind: &str) -> Option<usize> {
        let at = self.at.as_ref().filter(|at| at.kind == kind && self.counting.get())?;
        let count = self.count.replace(self.count.get() + 1);
        (count == at.number).then_some(at.part)
    }

    /// How many of these bytes the disk has room for.
    fn fits(&self, bytes: &[u8], offset: u64, file: &<Folder as Storage>::File) -> io::Result<usize> {
        let capacity = self.capacity.as_ref().and_then(|path| std::fs::read_to_string(path).ok());
        let Some(capacity) = capacity.and_then(|text| text.trim().parse::<u64>().ok()) else {
            return Ok(bytes.len());
        };
        let used: u64 = self.folder.list()?.iter().map(|(_, length)| length).sum();
        let grows = (offset + bytes.len() as u64).saturating_sub(file.metadata()?.len());
        let missing = (used + grows).saturating_sub(capacity.max(used));
        Ok(bytes.len() - missing.min(bytes.len() as u64) as usize)
    }

    fn run<T>(&self, what: &str, does: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
        let Some(part) = self.last(what) else { return does() };
        if part >= 256 {
            let _ = does();
        }
        halt(what)
    }
}

fn halt(what: &str) -> ! {
    eprintln!("halted at {what}");
    loop {
        std::thread::sleep(Duration::from_secs(3_600));
    }
}

impl Storage for Halting {
    type File = <Folder as Storage>::File;

    fn lock(&mut self) -> io::Result<()> {
        self.folder.lock()
    }

    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        self.folder.list()
    }

    fn read(&self, name: &str, most: u64) -> io::Result<Vec<u8>> {
        self.folder.read(name, most)
    }

    fn create(&self, name: &str) -> io::Result<Self::File> {
        self.run("create", || self.folder.create(name))
    }

    fn open(&self, name: &str) -> io::Result<Self::File> {
        self.folder.open(name)
    }

    fn write_at(&self, file: &Self::File, bytes: &[u8], offset: u64) -> io::Result<usize> {
        if let Some(stall) = self.stall.as_ref().filter(|path| path.exists()) {
            eprintln!("stalls");
            while stall.exists() {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        let kind = kind(bytes);
        if let Some(part) = self.last(kind) {
            let some = &bytes[..bytes.len() * part.min(256) / 256];
            if !some.is_empty() {
                let _ = self.folder.write_all_at(file, some, offset);
            }
            halt(kind)
        }
        match self.fits(bytes, offset, file)? {
            0 if !bytes.is_empty() => Err(io::ErrorKind::StorageFull.into()),
            fits => self.folder.write_at(file, &bytes[..fits], offset),
        }
    }

    fn reserve(&self, file: &Self::File, length: u64) -> io::Result<()> {
        self.folder.reserve(file, length)
    }

    fn truncate(&self, file: &Self::File, length: u64) -> io::Result<()> {
        self.run("truncate", || self.folder.truncate(file, length))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.run("rename", || self.folder.rename(from, to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        if name.starts_with("segment-") {
            self.counting.set(true);
        }
        self.run("remove", || self.folder.remove(name))
    }

    fn folder(&self) -> io::Result<Self::File> {
        self.folder.folder()
    }
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).init();
    match nickelshed::run(&ConfigSource::Platform(Operator::default()), Halting::new) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "cannot go on");
            ExitCode::FAILURE
        }
    }
}

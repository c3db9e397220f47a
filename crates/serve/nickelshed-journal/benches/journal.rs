//! What a round's write costs: this journal and the one before it, side by side in one run.
//!
//! `cargo bench -p nickelshed-journal`. It writes below the build's folder and takes about a minute. Times are of the
//! calls that the core's thread makes, so with copying and rewriting in them.
#[allow(dead_code)]
mod before;

use bytes::Bytes;
use nickelshed_budget::Budget;
use nickelshed_journal::*;
use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

const ROUNDS: u64 = 24_000;

fn scratch(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("bench-{name}"));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("a scratch folder");
    path
}

/// The calls that a sender makes, in both journals' words.
trait Under {
    /// False if there is no room for it.
    fn take(&mut self, id: u64, body: &Bytes) -> bool;
    fn begin(&mut self, id: u64);
    fn end(&mut self, id: u64);
}

struct New(Journal<Folder>, i64);

impl New {
    fn open(path: &Path, disk_mb: f64) -> New {
        let options =
            Options { disk: (disk_mb * 1e6) as u64, max_attempts: 8, durability: Durability::Process };
        New(Journal::open(Folder::new(path), options, &Budget::new(4_000.0), 0).expect("opens").0, 0)
    }
}

impl Under for New {
    fn take(&mut self, id: u64, body: &Bytes) -> bool {
        self.1 += 5;
        let taken = Taken {
            id,
            class: "alert-prognozy".into(),
            tenant: "rolnictwo".into(),
            dest: id % 30,
            trace: format!("{id:016x}"),
            key: Some(format!("{id:032x}")),
            since: 0,
            end: 16_000,
            body: body.clone(),
            share: None,
        };
        self.0.claim(&taken, &mut Claim::default(), self.1)
            && self.0.append(&[Record::Taken(Rc::new(taken))], self.1).is_ok()
    }

    fn begin(&mut self, id: u64) {
        let begun = Begun { number: 0, at: self.1, endpoint: "s-5be2a07c".into(), never_ran: false };
        self.0.append(&[Record::Begun(id, begun)], self.1).expect("what is owed has room");
    }

    fn end(&mut self, id: u64) {
        self.0.append(&[Record::Ended(id)], self.1).expect("what is owed has room");
    }
}

struct Old(before::Journal);

impl Under for Old {
    fn take(&mut self, id: u64, body: &Bytes) -> bool {
        let taken = before::Taken {
            id,
            class: "alert-prognozy".into(),
            tenant: "rolnictwo".into(),
            dest: id % 30,
            trace: format!("{id:016x}"),
            key: Some(format!("{id:032x}")),
            end: 16_000,
            body: body.clone(),
            share: None,
        };
        self.0.has_room(&taken, 0).is_some() && self.0.write(&[before::Record::Taken(Rc::new(taken))]).is_ok()
    }

    fn begin(&mut self, id: u64) {
        let begun = before::Begun { number: 0, at: 0, endpoint: "s-5be2a07c".into(), never_ran: false };
        self.0.write(&[before::Record::Begun(id, begun)]).expect("what is owed has room");
    }

    fn end(&mut self, id: u64) {
        self.0.write(&[before::Record::Ended(id)]).expect("what is owed has room");
    }
}

struct Times(Vec<Duration>);

impl Times {
    fn run<T>(&mut self, does: impl FnOnce() -> T) -> T {
        let began = Instant::now();
        let result = does();
        self.0.push(began.elapsed());
        result
    }

    fn row(mut self) -> String {
        self.0.sort_unstable();
        let at = |part: f64| self.0[((self.0.len() - 1) as f64 * part) as usize].as_secs_f64() * 1e6;
        format!("{:>8.1} {:>8.1} {:>8.1} {:>9.1}", at(0.5), at(0.99), at(0.999), at(1.0))
    }
}

/// A message a round, each held for 2.5 s at 200 a second, or for less where fewer fit; every sixth for four times as
/// long, so that segments grow old with some of it alive and copying has to run.
fn pause(journal: &mut dyn Under, body: usize) -> (Times, usize, usize) {
    let body = Bytes::from(vec![7; body]);
    let (mut held, mut lasting, mut times) = (VecDeque::new(), VecDeque::new(), Times(Vec::new()));
    let (mut refused, mut most) = (0, 0);
    for id in 0..ROUNDS {
        if times.run(|| journal.take(id, &body)) {
            times.run(|| journal.begin(id));
            let queue = if id % 6 == 0 { &mut lasting } else { &mut held };
            queue.push_back(id);
        } else {
            refused += 1;
        }
        most = most.max(held.len() + lasting.len());
        let full = held.len() + lasting.len() > 500 || refused > 0 && id % 2 == 0;
        let from = if lasting.len() * 3 > most { &mut lasting } else { &mut held };
        if let Some(id) = full.then(|| from.pop_front()).flatten() {
            times.run(|| journal.end(id));
        }
    }
    (times, refused, most)
}

fn main() {
    // Cargo hands its own flags on; there is one thing to run.
    println!("a round's write, in microseconds: p50, p99, p99.9, longest");
    for (disk_mb, body) in [(3.0, 1_024), (3.0, 64 << 10), (1_000.0, 1_024), (1_000.0, 64 << 10)] {
        let path = scratch("old");
        let budget = Budget::new(4_000.0);
        let mut old = Old(before::Journal::open(&path, disk_mb, 8, &budget).expect("opens"));
        let (times, refused, most) = pause(&mut old, body);
        println!("{disk_mb:>5} MB {body:>6} B  before {}  held {most:>4} refused {refused}", times.row());
        let path = scratch("new");
        let mut new = New::open(&path, disk_mb);
        let (times, refused, most) = pause(&mut new, body);
        let stats = new.0.stats();
        let amplification = (stats.appended + stats.copied) as f64 / stats.appended as f64;
        println!(
            "{disk_mb:>5} MB {body:>6} B  now    {}  held {most:>4} refused {refused}  copied {} KB, written/appended {amplification:.2}",
            times.row(),
            stats.copied / 1_000
        );
    }
    println!("bytes written for each byte appended, by how much of what can be held is held");
    for part in [0.5, 0.8, 0.95, 1.0] {
        let path = scratch("full");
        let mut new = New::open(&path, 3.0);
        let body = Bytes::from(vec![7; 1_024]);
        let mut lasting = Vec::new();
        while new.take(lasting.len() as u64, &body) {
            lasting.push(lasting.len() as u64);
        }
        let most = lasting.len();
        for id in lasting.split_off((most as f64 * part) as usize) {
            new.end(id);
        }
        let start = new.0.stats();
        let mut refused = 0;
        for id in 0..60_000 {
            let id = 1_000_000 + id;
            if new.take(id, &body) {
                new.begin(id);
                new.end(id);
            } else {
                refused += 1;
                // The oldest goes, so that there is something to do.
                if let Some(id) = lasting.pop() {
                    new.end(id);
                }
            }
        }
        let stats = new.0.stats();
        let appended = stats.appended - start.appended;
        let written = appended + stats.copied - start.copied;
        println!(
            "{:>4.0}% of {most}: {:.2} (bound {AMPLIFICATION}), {refused} refused",
            part * 100.0,
            written as f64 / appended as f64
        );
    }
    println!("read back: a folder of 100 MB that lives");
    let path = scratch("recovery");
    let mut new = New::open(&path, 1_000.0);
    let body = Bytes::from(vec![7; 1_024]);
    let mut id = 0;
    while new.0.stats().room.log < 100_000_000 {
        assert!(new.take(id, &body));
        id += 1;
    }
    drop(new);
    let began = Instant::now();
    let new = New::open(&path, 1_000.0);
    println!("{id} messages in {:.0} ms", began.elapsed().as_secs_f64() * 1e3);
    assert_eq!(new.0.live().len() as u64, id);
    for name in ["old", "new", "full", "recovery"] {
        let _ = std::fs::remove_dir_all(scratch(name));
    }
}

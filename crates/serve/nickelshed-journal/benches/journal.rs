//! Cost of a commit's write, compared with the legacy journal in the same run.
//!
//! `cargo bench -p nickelshed-journal`. It writes below the build folder and takes about a minute. It times
//! the calls that the sender's core thread makes, so the times include compaction and rewrites.
#[allow(dead_code)]
mod legacy_journal;

use bytes::Bytes;
use nickelshed_budget::Budget;
use nickelshed_journal::*;
use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

const MESSAGES: u64 = 24_000;

fn scratch(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("bench-{name}"));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("a scratch folder");
    path
}

/// The calls that a sender makes, for both journals.
trait BenchJournal {
    /// Returns false if there is no space for the message.
    fn accept(&mut self, id: u64, body: &Bytes) -> bool;
    fn start_attempt(&mut self, id: u64);
    fn finish(&mut self, id: u64);
}

/// The journal, and the time in milliseconds that is passed to it.
struct CurrentJournal(Journal<Folder>, i64);

impl CurrentJournal {
    fn open(path: &Path, disk_mb: f64) -> CurrentJournal {
        let options = Options {
            disk_limit_bytes: (disk_mb * 1e6) as u64,
            max_attempts: 8,
            durability: Durability::Process,
        };
        CurrentJournal(
            Journal::open(Folder::new(path), options, &Budget::new(4_000.0), 0).expect("opens").0,
            0,
        )
    }
}

impl BenchJournal for CurrentJournal {
    fn accept(&mut self, id: u64, body: &Bytes) -> bool {
        self.1 += 5;
        let message = AcceptedMessage {
            id,
            class: "alert-prognozy".into(),
            tenant: "rolnictwo".into(),
            dest: id % 30,
            trace: format!("{id:016x}"),
            key: Some(format!("{id:032x}")),
            accepted_at_ms: 0,
            deadline_ms: 16_000,
            body: body.clone(),
            memory_share: None,
        };
        self.0.reserve(&message, &mut Reservation::default(), self.1)
            && self.0.append(&[Record::Accepted(Rc::new(message))], self.1).is_ok()
    }

    fn start_attempt(&mut self, id: u64) {
        let attempt = AttemptRecord {
            number: 0,
            started_at_ms: self.1,
            endpoint: "s-5be2a07c".into(),
            never_ran: false,
        };
        self.0.append(&[Record::AttemptStarted(id, attempt)], self.1).expect("the space is reserved");
    }

    fn finish(&mut self, id: u64) {
        self.0.append(&[Record::Finished(id)], self.1).expect("the space is reserved");
    }
}

struct LegacyJournal(legacy_journal::Journal);

impl BenchJournal for LegacyJournal {
    fn accept(&mut self, id: u64, body: &Bytes) -> bool {
        let message = legacy_journal::AcceptedMessage {
            id,
            class: "alert-prognozy".into(),
            tenant: "rolnictwo".into(),
            dest: id % 30,
            trace: format!("{id:016x}"),
            key: Some(format!("{id:032x}")),
            deadline_ms: 16_000,
            body: body.clone(),
            memory_share: None,
        };
        self.0.bytes_to_reserve(&message, 0).is_some()
            && self.0.write(&[legacy_journal::Record::Accepted(Rc::new(message))]).is_ok()
    }

    fn start_attempt(&mut self, id: u64) {
        let attempt = legacy_journal::AttemptRecord {
            number: 0,
            started_at_ms: 0,
            endpoint: "s-5be2a07c".into(),
            never_ran: false,
        };
        self.0.write(&[legacy_journal::Record::AttemptStarted(id, attempt)]).expect("the space is reserved");
    }

    fn finish(&mut self, id: u64) {
        self.0.write(&[legacy_journal::Record::Finished(id)]).expect("the space is reserved");
    }
}

struct CallTimes(Vec<Duration>);

impl CallTimes {
    fn measure<T>(&mut self, call: impl FnOnce() -> T) -> T {
        let started_at = Instant::now();
        let result = call();
        self.0.push(started_at.elapsed());
        result
    }

    fn format_row(mut self) -> String {
        self.0.sort_unstable();
        let quantile_us =
            |quantile: f64| self.0[((self.0.len() - 1) as f64 * quantile) as usize].as_secs_f64() * 1e6;
        format!(
            "{:>8.1} {:>8.1} {:>8.1} {:>9.1}",
            quantile_us(0.5),
            quantile_us(0.99),
            quantile_us(0.999),
            quantile_us(1.0)
        )
    }
}

/// Commits one message at a time. At most 500 messages are live (2.5 s at 200 per second), or fewer if fewer
/// fit. Every sixth message lives four times as long, so that old segments contain live messages and
/// compaction has to run.
fn run_workload(journal: &mut dyn BenchJournal, body_bytes: usize) -> (CallTimes, usize, usize) {
    let body = Bytes::from(vec![7; body_bytes]);
    let (mut short_lived, mut long_lived, mut times) =
        (VecDeque::new(), VecDeque::new(), CallTimes(Vec::new()));
    let (mut rejected, mut max_live) = (0, 0);
    for id in 0..MESSAGES {
        if times.measure(|| journal.accept(id, &body)) {
            times.measure(|| journal.start_attempt(id));
            let live_ids = if id % 6 == 0 { &mut long_lived } else { &mut short_lived };
            live_ids.push_back(id);
        } else {
            rejected += 1;
        }
        max_live = max_live.max(short_lived.len() + long_lived.len());
        let should_finish = short_lived.len() + long_lived.len() > 500 || rejected > 0 && id % 2 == 0;
        let finish_from = if long_lived.len() * 3 > max_live { &mut long_lived } else { &mut short_lived };
        if let Some(id) = should_finish.then(|| finish_from.pop_front()).flatten() {
            times.measure(|| journal.finish(id));
        }
    }
    (times, rejected, max_live)
}

fn main() {
    // Flags passed on by Cargo are ignored.
    println!("write of a commit, in microseconds: p50, p99, p99.9, maximum");
    for (disk_mb, body_bytes) in [(3.0, 1_024), (3.0, 64 << 10), (1_000.0, 1_024), (1_000.0, 64 << 10)] {
        let path = scratch("old");
        let budget = Budget::new(4_000.0);
        let mut legacy_journal =
            LegacyJournal(legacy_journal::Journal::open(&path, disk_mb, 8, &budget).expect("opens"));
        let (times, rejected, max_live) = run_workload(&mut legacy_journal, body_bytes);
        println!(
            "{disk_mb:>5} MB {body_bytes:>6} B  legacy {}  live {max_live:>4} rejected {rejected}",
            times.format_row()
        );
        let path = scratch("new");
        let mut current_journal = CurrentJournal::open(&path, disk_mb);
        let (times, rejected, max_live) = run_workload(&mut current_journal, body_bytes);
        let stats = current_journal.0.stats();
        let amplification = (stats.appended_bytes + stats.copied_bytes) as f64 / stats.appended_bytes as f64;
        println!(
            "{disk_mb:>5} MB {body_bytes:>6} B  now    {}  live {max_live:>4} rejected {rejected}  copied {} KB, written/appended {amplification:.2}",
            times.format_row(),
            stats.copied_bytes / 1_000
        );
    }
    println!("bytes written for each byte appended, by the fraction of the capacity that is live");
    for fraction in [0.5, 0.8, 0.95, 1.0] {
        let path = scratch("full");
        let mut journal = CurrentJournal::open(&path, 3.0);
        let body = Bytes::from(vec![7; 1_024]);
        let mut long_lived = Vec::new();
        while journal.accept(long_lived.len() as u64, &body) {
            long_lived.push(long_lived.len() as u64);
        }
        let capacity = long_lived.len();
        for id in long_lived.split_off((capacity as f64 * fraction) as usize) {
            journal.finish(id);
        }
        let stats_before = journal.0.stats();
        let mut rejected = 0;
        for id in 0..60_000 {
            let id = 1_000_000 + id;
            if journal.accept(id, &body) {
                journal.start_attempt(id);
                journal.finish(id);
            } else {
                rejected += 1;
                // Finishes one of the long-lived messages, so that there is space for the next one.
                if let Some(id) = long_lived.pop() {
                    journal.finish(id);
                }
            }
        }
        let stats = journal.0.stats();
        let appended_bytes = stats.appended_bytes - stats_before.appended_bytes;
        let written_bytes = appended_bytes + stats.copied_bytes - stats_before.copied_bytes;
        println!(
            "{:>4.0}% of {capacity}: {:.2} (bound {MAX_WRITE_AMPLIFICATION}), {rejected} rejected",
            fraction * 100.0,
            written_bytes as f64 / appended_bytes as f64
        );
    }
    println!("recovery of a folder with 100 MB of live messages");
    let path = scratch("recovery");
    let mut journal = CurrentJournal::open(&path, 1_000.0);
    let body = Bytes::from(vec![7; 1_024]);
    let mut id = 0;
    while journal.0.stats().space.log < 100_000_000 {
        assert!(journal.accept(id, &body));
        id += 1;
    }
    drop(journal);
    let started_at = Instant::now();
    let journal = CurrentJournal::open(&path, 1_000.0);
    println!("{id} messages in {:.0} ms", started_at.elapsed().as_secs_f64() * 1e3);
    assert_eq!(journal.0.live().len() as u64, id);
    for name in ["old", "new", "full", "recovery"] {
        let _ = std::fs::remove_dir_all(scratch(name));
    }
}

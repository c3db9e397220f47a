//! Compares the journal with SQLite (WAL, bundled), raft-engine and redb under the same load in one run. Each
//! commit accepts eight messages of 1 KiB and finishes the eight that were accepted a hundred commits before.
//!
//! Run it with `cargo run --release` in this folder. With durability `process` a commit leaves its data in
//! the page cache; with `machine` each commit is synced. redb has no commit that survives the end of the
//! process without a sync, so its `process` row uses commits that may be lost (Durability::None), a weaker
//! guarantee than that of the others.
use bytes::Bytes;
use nickelshed_budget::Budget;
use nickelshed_journal as nj;
use raft_engine::{Config, Engine, LogBatch, ReadableSize};
use redb::{Database, ReadableTable, TableDefinition};
use rusqlite::Connection;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

const MESSAGES_PER_COMMIT: u64 = 8;
/// Number of commits after which the messages of a commit are finished.
const COMMITS_UNTIL_FINISHED: u64 = 100;
const BODY_BYTES: usize = 1_024;

trait Store {
    /// Commits the acceptance and the end of messages, given by ranges of ids, in one write.
    fn commit(&mut self, accepted: std::ops::Range<u64>, finished: std::ops::Range<u64>);
    /// Reads all open messages into memory. Returns their number.
    fn load(path: &Path) -> usize
    where
        Self: Sized;
}

/// Returns 64 pseudo-random bodies that no store can compress. The bodies of one commit are all different.
fn bodies() -> &'static [Vec<u8>; 64] {
    static BODIES: std::sync::OnceLock<[Vec<u8>; 64]> = std::sync::OnceLock::new();
    BODIES.get_or_init(|| {
        let mut state = 0x6e69_636b_656c_u64;
        let mut next = move || {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            (state >> 24) as u8
        };
        std::array::from_fn(|_| (0..BODY_BYTES).map(|_| next()).collect())
    })
}

fn body(id: u64) -> &'static [u8] {
    &bodies()[id as usize % 64]
}

/// The message as stored in every store but the journal.
#[derive(serde::Serialize, serde::Deserialize)]
struct Message {
    id: u64,
    class: String,
    tenant: String,
    dest: u64,
    trace: String,
    key: Option<String>,
    accepted_at_ms: i64,
    deadline_ms: i64,
    #[serde(with = "serde_bytes")]
    body: Vec<u8>,
}

fn encoded(id: u64) -> Vec<u8> {
    let message = Message {
        id,
        class: "alert-prognozy".into(),
        tenant: "rolnictwo".into(),
        dest: id % 30,
        trace: format!("{id:016x}"),
        key: None,
        accepted_at_ms: 0,
        deadline_ms: 16_000,
        body: body(id).to_vec(),
    };
    postcard::to_stdvec(&message).unwrap()
}

fn decoded(bytes: &[u8]) -> Message {
    postcard::from_bytes(bytes).unwrap()
}

struct Journal(nj::Journal<nj::Folder>);

fn open_journal(path: &Path, durability: nj::Durability) -> Journal {
    let options = nj::Options { disk_limit_bytes: 1_000_000_000, max_attempts: 8, durability };
    Journal(nj::Journal::open(nj::Folder::new(path), options, &Budget::new(4e3), 0).unwrap().0)
}

impl Store for Journal {
    fn commit(&mut self, accepted: std::ops::Range<u64>, finished: std::ops::Range<u64>) {
        let accepted_record = |id| {
            nj::Record::Accepted(Rc::new(nj::AcceptedMessage {
                id,
                class: "alert-prognozy".into(),
                tenant: "rolnictwo".into(),
                dest: id % 30,
                trace: format!("{id:016x}"),
                key: None,
                accepted_at_ms: 0,
                deadline_ms: 16_000,
                body: Bytes::from_static(body(id)),
                memory_share: None,
            }))
        };
        let records: Vec<_> =
            accepted.map(accepted_record).chain(finished.map(nj::Record::Finished)).collect();
        self.0.append(&records, 1).unwrap();
        while let Some(sync) = self.0.start_sync() {
            self.0.finish_sync(sync.run(), 1);
        }
        assert_eq!(self.0.durable_commit(), self.0.last_commit());
    }

    fn load(path: &Path) -> usize {
        open_journal(path, nj::Durability::Process).0.live().len()
    }
}

struct Sqlite(Connection);

fn open_sqlite(path: &Path, sync_commits: bool) -> Sqlite {
    let db = Connection::open(path.join("db")).unwrap();
    db.pragma_update(None, "journal_mode", "WAL").unwrap();
    db.pragma_update(None, "synchronous", if sync_commits { "FULL" } else { "NORMAL" }).unwrap();
    db.execute("CREATE TABLE IF NOT EXISTS held (id INTEGER PRIMARY KEY, body BLOB)", []).unwrap();
    Sqlite(db)
}

impl Store for Sqlite {
    fn commit(&mut self, accepted: std::ops::Range<u64>, finished: std::ops::Range<u64>) {
        let transaction = self.0.transaction().unwrap();
        {
            let mut insert = transaction.prepare_cached("INSERT INTO held VALUES (?, ?)").unwrap();
            accepted.for_each(|id| _ = insert.execute((id as i64, &encoded(id))).unwrap());
            let mut delete = transaction.prepare_cached("DELETE FROM held WHERE id = ?").unwrap();
            finished.for_each(|id| _ = delete.execute([id as i64]).unwrap());
        }
        transaction.commit().unwrap();
    }

    fn load(path: &Path) -> usize {
        let db = open_sqlite(path, false).0;
        let mut select = db.prepare("SELECT id, body FROM held").unwrap();
        let rows = select
            .query_map([], |row| Ok((row.get::<_, i64>(0)?, decoded(row.get_ref(1)?.as_blob()?))))
            .unwrap();
        rows.map(Result::unwrap).collect::<std::collections::HashMap<_, _>>().len()
    }
}

/// The database, and whether each commit is synced.
struct Redb(Database, bool);

const MESSAGES_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("held");

impl Store for Redb {
    fn commit(&mut self, accepted: std::ops::Range<u64>, finished: std::ops::Range<u64>) {
        let mut transaction = self.0.begin_write().unwrap();
        transaction.set_durability(if self.1 { redb::Durability::Immediate } else { redb::Durability::None });
        {
            let mut table = transaction.open_table(MESSAGES_TABLE).unwrap();
            accepted.for_each(|id| _ = table.insert(id, encoded(id).as_slice()).unwrap());
            finished.for_each(|id| _ = table.remove(id).unwrap());
        }
        transaction.commit().unwrap();
    }

    fn load(path: &Path) -> usize {
        let db = Database::create(path.join("db")).unwrap();
        let read_transaction = db.begin_read().unwrap();
        let table = read_transaction.open_table(MESSAGES_TABLE).unwrap();
        let rows = table
            .iter()
            .unwrap()
            .map(|row| row.map(|(id, message)| (id.value(), decoded(message.value()))).unwrap());
        rows.collect::<std::collections::HashMap<_, _>>().len()
    }
}

/// The engine, and whether each commit is synced.
struct Raft(Engine, bool);

fn open_raft(path: &Path, sync_commits: bool) -> Raft {
    let config = Config {
        dir: path.join("raft").to_string_lossy().into_owned(),
        target_file_size: ReadableSize::mb(4),
        purge_threshold: ReadableSize::mb(16),
        ..Config::default()
    };
    Raft(Engine::open(config).unwrap(), sync_commits)
}

impl Store for Raft {
    fn commit(&mut self, accepted: std::ops::Range<u64>, finished: std::ops::Range<u64>) {
        let mut batch = LogBatch::default();
        accepted.for_each(|id| batch.put(1, id.to_be_bytes().to_vec(), encoded(id)).unwrap());
        finished.for_each(|id| batch.delete(1, id.to_be_bytes().to_vec()));
        self.0.write(&mut batch, self.1).unwrap();
        // raft-engine has no background thread that purges files, so its user must call this regularly.
        self.0.purge_expired_files().unwrap();
    }

    fn load(path: &Path) -> usize {
        let engine = open_raft(path, false).0;
        let mut messages = std::collections::HashMap::new();
        engine
            .scan_raw_messages(1, None, None, false, |key, value| {
                messages.insert(key.to_vec(), decoded(value));
                true
            })
            .unwrap();
        messages.len()
    }
}

fn empty_folder(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("target/scratch").join(name);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// Returns the records written per second; accepted and finished messages count as one record each.
fn append(store: &mut dyn Store, duration: Duration) -> f64 {
    let (started_at, mut commits) = (Instant::now(), 0);
    while started_at.elapsed() < duration {
        let finished_commit = commits.max(COMMITS_UNTIL_FINISHED) - COMMITS_UNTIL_FINISHED;
        let finished = if commits >= COMMITS_UNTIL_FINISHED {
            finished_commit * MESSAGES_PER_COMMIT..(finished_commit + 1) * MESSAGES_PER_COMMIT
        } else {
            0..0
        };
        store.commit(commits * MESSAGES_PER_COMMIT..(commits + 1) * MESSAGES_PER_COMMIT, finished);
        commits += 1;
    }
    (commits * MESSAGES_PER_COMMIT * 2) as f64 / started_at.elapsed().as_secs_f64()
}

fn measure_recovery<S: Store>(name: &str, open: impl Fn(&Path) -> S) {
    let path = empty_folder(name);
    let mut store = open(&path);
    let commits = 100_000_000 / (MESSAGES_PER_COMMIT * BODY_BYTES as u64);
    (0..commits).for_each(|commit| {
        store.commit(commit * MESSAGES_PER_COMMIT..(commit + 1) * MESSAGES_PER_COMMIT, 0..0)
    });
    drop(store);
    let started_at = Instant::now();
    let count = S::load(&path);
    println!("{name:<12} {:>8.0} ms, {count} messages", started_at.elapsed().as_secs_f64() * 1e3);
    assert_eq!(count as u64, commits * MESSAGES_PER_COMMIT);
}

fn main() {
    let duration = Duration::from_secs(4);
    for sync_commits in [false, true] {
        println!("records per second, durability {}", if sync_commits { "machine" } else { "process" });
        let durability = if sync_commits { nj::Durability::Machine } else { nj::Durability::Process };
        println!(
            "{:<12} {:>10.0}",
            "journal",
            append(&mut open_journal(&empty_folder("journal"), durability), duration)
        );
        println!(
            "{:<12} {:>10.0}",
            "raft-engine",
            append(&mut open_raft(&empty_folder("raft"), sync_commits), duration)
        );
        println!(
            "{:<12} {:>10.0}",
            "SQLite",
            append(&mut open_sqlite(&empty_folder("sqlite"), sync_commits), duration)
        );
        let redb = Database::create(empty_folder("redb").join("db")).unwrap();
        println!("{:<12} {:>10.0}", "redb", append(&mut Redb(redb, sync_commits), duration));
    }
    println!("recovery of 100 MB of open messages, files in the page cache");
    measure_recovery("journal", |path| open_journal(path, nj::Durability::Process));
    measure_recovery("raft-engine", |path| open_raft(path, false));
    measure_recovery("SQLite", |path| open_sqlite(path, false));
    // Uses synced commits: with Durability::None the last commits may be lost, and the count would not match.
    measure_recovery("redb", |path| Redb(Database::create(path.join("db")).unwrap(), true));
    let _ = std::fs::remove_dir_all(Path::new(env!("CARGO_MANIFEST_DIR")).join("target/scratch"));
}

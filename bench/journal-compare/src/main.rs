//! The journal beside SQLite (WAL, bundled), raft-engine and redb doing the same work, side by side in one run:
//! rounds of eight messages of 1 KiB taken on, and of the eight from a hundred rounds before ended.
//!
//! `cargo run --release` in this folder. Durabilities: `process`, what a commit leaves to the system's cache, and
//! `machine`, a sync for each round. redb has no commit that outlasts the process without a sync: its `process` row
//! is a commit that may be lost (Durability::None), so weaker than the others'.
use bytes::Bytes;
use nickelshed_budget::Budget;
use nickelshed_journal as nj;
use raft_engine::{Config, Engine, LogBatch, ReadableSize};
use redb::{Database, ReadableTable, TableDefinition};
use rusqlite::Connection;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

const EACH: u64 = 8;
const HELD: u64 = 100;
const BODY: usize = 1_024;

trait Store {
    fn round(&mut self, taken: std::ops::Range<u64>, ended: std::ops::Range<u64>);
    /// Reads all that lives into memory: how many.
    fn load(path: &Path) -> usize
    where
        Self: Sized;
}

/// Bodies that no store can make smaller: 64 of them, of which a round's are all different.
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
        std::array::from_fn(|_| (0..BODY).map(|_| next()).collect())
    })
}

fn body(id: u64) -> &'static [u8] {
    &bodies()[id as usize % 64]
}

/// The same message in each store.
#[derive(serde::Serialize, serde::Deserialize)]
struct Message {
    id: u64,
    class: String,
    tenant: String,
    dest: u64,
    trace: String,
    key: Option<String>,
    since: i64,
    end: i64,
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
        since: 0,
        end: 16_000,
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
    fn round(&mut self, taken: std::ops::Range<u64>, ended: std::ops::Range<u64>) {
        let take = |id| {
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
        let records: Vec<_> = taken.map(take).chain(ended.map(nj::Record::Finished)).collect();
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

fn open_sqlite(path: &Path, machine: bool) -> Sqlite {
    let db = Connection::open(path.join("db")).unwrap();
    db.pragma_update(None, "journal_mode", "WAL").unwrap();
    db.pragma_update(None, "synchronous", if machine { "FULL" } else { "NORMAL" }).unwrap();
    db.execute("CREATE TABLE IF NOT EXISTS held (id INTEGER PRIMARY KEY, body BLOB)", []).unwrap();
    Sqlite(db)
}

impl Store for Sqlite {
    fn round(&mut self, taken: std::ops::Range<u64>, ended: std::ops::Range<u64>) {
        let round = self.0.transaction().unwrap();
        {
            let mut insert = round.prepare_cached("INSERT INTO held VALUES (?, ?)").unwrap();
            taken.for_each(|id| _ = insert.execute((id as i64, &encoded(id))).unwrap());
            let mut delete = round.prepare_cached("DELETE FROM held WHERE id = ?").unwrap();
            ended.for_each(|id| _ = delete.execute([id as i64]).unwrap());
        }
        round.commit().unwrap();
    }

    fn load(path: &Path) -> usize {
        let db = open_sqlite(path, false).0;
        let mut all = db.prepare("SELECT id, body FROM held").unwrap();
        let rows = all
            .query_map([], |row| Ok((row.get::<_, i64>(0)?, decoded(row.get_ref(1)?.as_blob()?))))
            .unwrap();
        rows.map(Result::unwrap).collect::<std::collections::HashMap<_, _>>().len()
    }
}

struct Redb(Database, bool);

const HELD_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("held");

impl Store for Redb {
    fn round(&mut self, taken: std::ops::Range<u64>, ended: std::ops::Range<u64>) {
        let mut round = self.0.begin_write().unwrap();
        round.set_durability(if self.1 { redb::Durability::Immediate } else { redb::Durability::None });
        {
            let mut table = round.open_table(HELD_TABLE).unwrap();
            taken.for_each(|id| _ = table.insert(id, encoded(id).as_slice()).unwrap());
            ended.for_each(|id| _ = table.remove(id).unwrap());
        }
        round.commit().unwrap();
    }

    fn load(path: &Path) -> usize {
        let db = Database::create(path.join("db")).unwrap();
        let read = db.begin_read().unwrap();
        let table = read.open_table(HELD_TABLE).unwrap();
        let rows =
            table.iter().unwrap().map(|row| row.map(|(k, v)| (k.value(), decoded(v.value()))).unwrap());
        rows.collect::<std::collections::HashMap<_, _>>().len()
    }
}

struct Raft(Engine, bool);

fn open_raft(path: &Path, machine: bool) -> Raft {
    let config = Config {
        dir: path.join("raft").to_string_lossy().into_owned(),
        target_file_size: ReadableSize::mb(4),
        purge_threshold: ReadableSize::mb(16),
        ..Config::default()
    };
    Raft(Engine::open(config).unwrap(), machine)
}

impl Store for Raft {
    fn round(&mut self, taken: std::ops::Range<u64>, ended: std::ops::Range<u64>) {
        let mut batch = LogBatch::default();
        taken.for_each(|id| batch.put(1, id.to_be_bytes().to_vec(), encoded(id)).unwrap());
        ended.for_each(|id| batch.delete(1, id.to_be_bytes().to_vec()));
        self.0.write(&mut batch, self.1).unwrap();
        // Its owner has to call this now and then, as it has no thread of its own.
        self.0.purge_expired_files().unwrap();
    }

    fn load(path: &Path) -> usize {
        let engine = open_raft(path, false).0;
        let mut all = std::collections::HashMap::new();
        engine
            .scan_raw_messages(1, None, None, false, |key, value| {
                all.insert(key.to_vec(), decoded(value));
                true
            })
            .unwrap();
        all.len()
    }
}

fn scratch(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("target/scratch").join(name);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// Records a second, taken on and ended counted alike.
fn append(store: &mut dyn Store, time: Duration) -> f64 {
    let (began, mut round) = (Instant::now(), 0);
    while began.elapsed() < time {
        let ended = round.max(HELD) - HELD;
        let ended = if round >= HELD { ended * EACH..(ended + 1) * EACH } else { 0..0 };
        store.round(round * EACH..(round + 1) * EACH, ended);
        round += 1;
    }
    (round * EACH * 2) as f64 / began.elapsed().as_secs_f64()
}

fn recovery<S: Store>(name: &str, open: impl Fn(&Path) -> S) {
    let path = scratch(name);
    let mut store = open(&path);
    let rounds = 100_000_000 / (EACH * BODY as u64);
    (0..rounds).for_each(|r| store.round(r * EACH..(r + 1) * EACH, 0..0));
    drop(store);
    let began = Instant::now();
    let count = S::load(&path);
    println!("{name:<12} {:>8.0} ms, {count} messages", began.elapsed().as_secs_f64() * 1e3);
    assert_eq!(count as u64, rounds * EACH);
}

fn main() {
    let time = Duration::from_secs(4);
    for machine in [false, true] {
        println!("records a second, durability {}", if machine { "machine" } else { "process" });
        let durability = if machine { nj::Durability::Machine } else { nj::Durability::Process };
        println!(
            "{:<12} {:>10.0}",
            "journal",
            append(&mut open_journal(&scratch("journal"), durability), time)
        );
        println!("{:<12} {:>10.0}", "raft-engine", append(&mut open_raft(&scratch("raft"), machine), time));
        println!("{:<12} {:>10.0}", "SQLite", append(&mut open_sqlite(&scratch("sqlite"), machine), time));
        let redb = Database::create(scratch("redb").join("db")).unwrap();
        println!("{:<12} {:>10.0}", "redb", append(&mut Redb(redb, machine), time));
    }
    println!("read back 100 MB that lives, files in the system's cache");
    recovery("journal", |p| open_journal(p, nj::Durability::Process));
    recovery("raft-engine", |p| open_raft(p, false));
    recovery("SQLite", |p| open_sqlite(p, false));
    // Its last commit must be one that lasts.
    recovery("redb", |p| Redb(Database::create(p.join("db")).unwrap(), true));
    let _ = std::fs::remove_dir_all(Path::new(env!("CARGO_MANIFEST_DIR")).join("target/scratch"));
}

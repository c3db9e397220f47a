//! A folder that the program before this format has left, written here as that program wrote it.
mod common;
use common::*;
use nickelshed_journal::*;
use nickelshed_testkit::{Disk, Fault};
use serde_json::json;

/// One record of the old form.
fn old(head: serde_json::Value, body: &[u8]) -> Vec<u8> {
    let head = head.to_string().into_bytes();
    let mut payload = (head.len() as u32).to_le_bytes().to_vec();
    payload.extend([head, body.to_vec()].concat());
    let frame = [(payload.len() as u32).to_le_bytes(), crc32fast::hash(&payload).to_le_bytes()].concat();
    [frame, payload].concat()
}

fn old_taken(id: u64, body: usize) -> Vec<u8> {
    let t = taken(id, body);
    let head = json!({"T": {"i": id, "c": t.class, "u": t.tenant, "d": t.dest, "m": t.trace, "k": t.key, "t": t.end}});
    old(head, &t.body)
}

/// The file, and what lived in it.
fn old_folder() -> (Vec<u8>, usize) {
    let mut file = Vec::new();
    for id in 0..40u64 {
        file.extend(old_taken(id, (id as usize * 97) % 700));
        file.extend(old(json!({"B": [id, {"n": 0, "t": 5_000, "e": "endpoint-0"}]}), b""));
        match id % 4 {
            0 => file.extend(old(json!({"E": id}), b"")),
            1 => file.extend(old(json!({"N": [id, 0]}), b"")),
            2 => file.extend(old(json!({"D": [id, {"h": 5}]}), b"")),
            _ => file.extend(old(json!({"D": [id, "g"]}), b"")),
        }
    }
    (file, 30)
}

/// Numbers are given anew, so messages are told by their trace.
fn by_trace(journal: &Journal<Disk>) -> Vec<(String, Vec<Begun>, Option<Ending>, usize)> {
    let mut all: Vec<_> = journal
        .live()
        .values()
        .map(|l| (l.taken.trace.clone(), l.attempts.clone(), l.ending, l.taken.body.len()))
        .collect();
    all.sort_by(|a, b| a.0.cmp(&b.0));
    all
}

#[test]
fn everything_is_taken_over_once_and_the_old_file_goes() {
    let (file, live) = old_folder();
    let disk = Disk::new();
    disk.put_durable("journal", &file);
    disk.put_durable("journal.new", b"a rewrite that was cut short");
    let (journal, found) = open(&disk, options(Durability::Process));
    assert_eq!(found.imported, live);
    let all = by_trace(&journal);
    assert_eq!(all.len(), live);
    for (trace, attempts, ending, body) in &all {
        let id: u64 = trace.strip_prefix("trace-").unwrap().parse().unwrap();
        assert_eq!(*body, (id as usize * 97) % 700);
        let never_ran = id % 4 == 1;
        assert_eq!(*attempts, [Begun { number: 0, at: 5_000, endpoint: "endpoint-0".into(), never_ran }]);
        let expected = [None, None, Some(Ending::HandedBack(Some(5))), Some(Ending::GivenUp)];
        assert_eq!(*ending, expected[id as usize % 4]);
    }
    assert!(!disk.file_names().iter().any(|n| n.starts_with("journal")), "{:?}", disk.file_names());
    drop(journal);
    disk.restart_process();
    let (journal, found) = open(&disk, options(Durability::Process));
    assert_eq!((found.imported, by_trace(&journal)), (0, all));
}

#[test]
fn a_crash_in_any_operation_of_the_upgrade_loses_and_doubles_nothing() {
    let (file, _) = old_folder();
    let fresh = || {
        let disk = Disk::new();
        disk.put_durable("journal", &file);
        disk
    };
    let disk = fresh();
    let all = by_trace(&open(&disk, options(Durability::Process)).0);
    for durability in [Durability::Process, Durability::Machine] {
        let disk = fresh();
        open(&disk, options(durability));
        for at in 0..disk.operation_count() {
            for part in [0, 200, 256] {
                let disk = fresh();
                disk.inject_fault(at, Fault::Crash(part));
                let _ = try_open(&disk, options(durability));
                match durability {
                    Durability::Process => disk.restart_process(),
                    Durability::Machine => disk.lose_power(&mut fastrand::Rng::with_seed(at)),
                }
                let (journal, found) = open(&disk, options(durability));
                assert_eq!(by_trace(&journal), all, "{durability:?} operation {at}, {part}");
                // A lost machine leaves holes in what was not synced; a lost process none.
                let holes = durability == Durability::Machine;
                assert!(holes || found.damage.is_empty(), "operation {at}, {part}: {found:?}");
            }
        }
    }
}

#[test]
fn a_torn_end_of_the_old_file_is_cut_and_damage_inside_it_doubts() {
    let (file, live) = old_folder();
    let disk = Disk::new();
    disk.put_durable("journal", &file[..file.len() - 3]);
    let (journal, found) = open(&disk, options(Durability::Process));
    assert_eq!(found.torn.map(|t| t.cut > 0), Some(true));
    assert_eq!(journal.live().len(), live);
    assert!(by_trace(&journal).iter().all(|(_, attempts, ..)| attempts.len() == 1));

    let disk = Disk::new();
    let mut spoilt = file.clone();
    spoilt[file.len() / 2] ^= 1;
    disk.put_durable("journal", &spoilt);
    let (journal, _) = open(&disk, options(Durability::Process));
    assert!(journal.live().len() > live / 3);
    assert!(by_trace(&journal).iter().all(|(_, attempts, ..)| attempts.last().unwrap().endpoint.is_empty()));
}

#[test]
fn an_old_program_that_ran_in_between_does_not_cost_what_was_held() {
    let disk = Disk::new();
    let (mut journal, _) = open(&disk, options(Durability::Process));
    journal.append(&[Record::Taken(std::rc::Rc::new(taken(500, 9)))], 1).unwrap();
    drop(journal);
    disk.restart_process();
    let (file, live) = old_folder();
    disk.put_durable("journal", &file);
    let (journal, _) = open(&disk, options(Durability::Process));
    assert_eq!(journal.live().len(), live + 1);
}

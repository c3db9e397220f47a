//! Import of a folder in the legacy format. The tests write the file as the earlier program did.
mod common;
use common::*;
use nickelshed_journal::*;
use nickelshed_testkit::{Disk, Fault};
use serde_json::json;

/// Encodes one record of the legacy format.
fn encode_legacy_record(head: serde_json::Value, body: &[u8]) -> Vec<u8> {
    let head = head.to_string().into_bytes();
    let mut payload = (head.len() as u32).to_le_bytes().to_vec();
    payload.extend([head, body.to_vec()].concat());
    let header = [(payload.len() as u32).to_le_bytes(), crc32fast::hash(&payload).to_le_bytes()].concat();
    [header, payload].concat()
}

fn encode_legacy_message(id: u64, body_bytes: usize) -> Vec<u8> {
    let message = message(id, body_bytes);
    let head = json!({"T": {"i": id, "c": message.class, "u": message.tenant, "d": message.dest,
        "m": message.trace, "k": message.key, "t": message.deadline_ms}});
    encode_legacy_record(head, &message.body)
}

/// Returns a legacy file and the number of live messages in it.
fn legacy_file() -> (Vec<u8>, usize) {
    let mut file = Vec::new();
    for id in 0..40u64 {
        file.extend(encode_legacy_message(id, (id as usize * 97) % 700));
        file.extend(encode_legacy_record(json!({"B": [id, {"n": 0, "t": 5_000, "e": "endpoint-0"}]}), b""));
        match id % 4 {
            0 => file.extend(encode_legacy_record(json!({"E": id}), b"")),
            1 => file.extend(encode_legacy_record(json!({"N": [id, 0]}), b"")),
            2 => file.extend(encode_legacy_record(json!({"D": [id, {"h": 5}]}), b"")),
            _ => file.extend(encode_legacy_record(json!({"D": [id, "g"]}), b"")),
        }
    }
    (file, 30)
}

/// The import assigns new ids, so messages are identified by their trace id.
fn by_trace(journal: &Journal<Disk>) -> Vec<(String, Vec<AttemptRecord>, Option<Ending>, usize)> {
    let mut messages: Vec<_> = journal
        .live()
        .values()
        .map(|live| (live.message.trace.clone(), live.attempts.clone(), live.ending, live.message.body.len()))
        .collect();
    messages.sort_by(|a, b| a.0.cmp(&b.0));
    messages
}

#[test]
fn every_message_is_imported_once_and_the_legacy_file_is_removed() {
    let (file, live_count) = legacy_file();
    let disk = Disk::new();
    disk.put_durable("journal", &file);
    disk.put_durable("journal.new", b"a rewrite that was cut short");
    let (journal, report) = open(&disk, options(Durability::Process));
    assert_eq!(report.imported, live_count);
    let imported = by_trace(&journal);
    assert_eq!(imported.len(), live_count);
    for (trace, attempts, ending, body_bytes) in &imported {
        let id: u64 = trace.strip_prefix("trace-").unwrap().parse().unwrap();
        assert_eq!(*body_bytes, (id as usize * 97) % 700);
        let never_ran = id % 4 == 1;
        assert_eq!(
            *attempts,
            [AttemptRecord { number: 0, started_at_ms: 5_000, endpoint: "endpoint-0".into(), never_ran }]
        );
        let expected = [None, None, Some(Ending::HandedBack(Some(5))), Some(Ending::GivenUp)];
        assert_eq!(*ending, expected[id as usize % 4]);
    }
    assert!(!disk.file_names().iter().any(|name| name.starts_with("journal")), "{:?}", disk.file_names());
    drop(journal);
    disk.restart_process();
    let (journal, report) = open(&disk, options(Durability::Process));
    assert_eq!((report.imported, by_trace(&journal)), (0, imported));
}

#[test]
fn a_crash_at_any_operation_of_the_import_loses_and_duplicates_nothing() {
    let (file, _) = legacy_file();
    let fresh = || {
        let disk = Disk::new();
        disk.put_durable("journal", &file);
        disk
    };
    let disk = fresh();
    let expected = by_trace(&open(&disk, options(Durability::Process)).0);
    for durability in [Durability::Process, Durability::Machine] {
        let disk = fresh();
        open(&disk, options(durability));
        for operation in 0..disk.operation_count() {
            for part_256ths in [0, 200, 256] {
                let disk = fresh();
                disk.inject_fault(operation, Fault::Crash(part_256ths));
                let _ = try_open(&disk, options(durability));
                match durability {
                    Durability::Process => disk.restart_process(),
                    Durability::Machine => disk.lose_power(&mut fastrand::Rng::with_seed(operation)),
                }
                let (journal, report) = open(&disk, options(durability));
                assert_eq!(
                    by_trace(&journal),
                    expected,
                    "{durability:?} operation {operation}, part {part_256ths}"
                );
                // The loss of the machine leaves gaps in unsynced data, the end of a process does not.
                let may_have_gaps = durability == Durability::Machine;
                assert!(
                    may_have_gaps || report.damage.is_empty(),
                    "operation {operation}, part {part_256ths}: {report:?}"
                );
            }
        }
    }
}

#[test]
fn a_torn_end_of_the_legacy_file_is_cut_and_damage_assumes_attempts() {
    let (file, live_count) = legacy_file();
    let disk = Disk::new();
    disk.put_durable("journal", &file[..file.len() - 3]);
    let (journal, report) = open(&disk, options(Durability::Process));
    assert_eq!(report.torn.map(|t| t.cut_bytes > 0), Some(true));
    assert_eq!(journal.live().len(), live_count);
    assert!(by_trace(&journal).iter().all(|(_, attempts, ..)| attempts.len() == 1));

    let disk = Disk::new();
    let mut corrupted = file.clone();
    corrupted[file.len() / 2] ^= 1;
    disk.put_durable("journal", &corrupted);
    let (journal, _) = open(&disk, options(Durability::Process));
    assert!(journal.live().len() > live_count / 3);
    assert!(by_trace(&journal).iter().all(|(_, attempts, ..)| attempts.last().unwrap().endpoint.is_empty()));
}

#[test]
fn a_legacy_program_that_ran_in_between_does_not_lose_existing_messages() {
    let disk = Disk::new();
    let (mut journal, _) = open(&disk, options(Durability::Process));
    journal.append(&[Record::Accepted(std::rc::Rc::new(message(500, 9)))], 1).unwrap();
    drop(journal);
    disk.restart_process();
    let (file, live_count) = legacy_file();
    disk.put_durable("journal", &file);
    let (journal, _) = open(&disk, options(Durability::Process));
    assert_eq!(journal.live().len(), live_count + 1);
}

//! Damage tests: each byte of a journal corrupted in turn, its last file cut to each length, and files
//! missing. All readable messages must be recovered, and no attempt that may have run may be forgotten.
mod common;
use common::*;
use nickelshed_journal::*;
use nickelshed_testkit::Disk;
use std::rc::Rc;

const SEED: u64 = 0x7368_6564;

const MANY_SEGMENTS: Options =
    Options { disk_limit_bytes: 500_000, max_attempts: 8, durability: Durability::Process };

/// Builds a folder with at least `min_segments` segments. Returns it with the model before and after its last
/// commit.
fn build_folder(options: Options, min_segments: usize) -> (Disk, Model, Model) {
    let disk = Disk::new();
    let mut workload = Workload::new(open(&disk, options).0, SEED);
    (workload.max_body_bytes, workload.long_lived_percent) = (600, 60);
    let mut model_before_last = workload.model.clone();
    // Once the folder has enough segments and messages, 15 more commits follow, and then further ones until
    // the last commit has changed the model.
    let mut commits_left = 15;
    for _ in 0..3_000 {
        if commits_left == 0 && model_before_last != workload.model {
            break;
        }
        if commits_left < 15 || (segment_names(&disk).len() >= min_segments && workload.model.len() >= 15) {
            commits_left = commits_left.max(1) - 1;
        }
        model_before_last = workload.model.clone();
        workload.commit().unwrap();
    }
    assert!(workload.model.values().any(|expected| !expected.attempts.is_empty()));
    disk.restart_process();
    (disk, model_before_last, workload.model)
}

fn segment_names(disk: &Disk) -> Vec<String> {
    disk.file_names().into_iter().filter(|name| segment_number(name).is_some()).collect()
}

/// Whether each attempt that may have run is still recorded, or covered by an assumed attempt.
fn covers_attempts(actual: &ExpectedMessage, expected: &ExpectedMessage) -> bool {
    let has_assumed_attempt = actual.attempts.contains_key(&u32::MAX);
    expected
        .attempts
        .iter()
        .filter(|(_, never_ran)| !**never_ran)
        .all(|(number, _)| has_assumed_attempt || actual.attempts.get(number) == Some(&false))
}

#[test]
fn one_corrupt_byte_loses_at_most_one_commit_and_no_attempt() {
    println!("seed {SEED:#x}");
    let (intact, _, model) = build_folder(options(Durability::Process), 2);
    let mut max_lost = 0;
    for name in segment_names(&intact) {
        let bytes = intact.file_bytes(&name).unwrap();
        for offset in 0..bytes.len() {
            let mut corrupted = bytes.clone();
            corrupted[offset] ^= 1 << (offset % 8);
            let disk = intact.copy();
            disk.put_durable(&name, &corrupted);
            let (journal, report) = open(&disk, options(Durability::Process));
            let recovered = read_model(&journal);
            // The other copy of the header is intact.
            let in_header = offset < 64;
            assert_eq!(report.damage.is_empty(), in_header, "{name}:{offset} {report:?}");
            let lost = model.keys().filter(|id| !recovered.contains_key(id)).count();
            max_lost = max_lost.max(lost);
            assert!(lost <= 2, "{name}:{offset}: a commit accepts at most two messages, {lost} are lost");
            for (id, actual) in &recovered {
                match model.get(id) {
                    Some(expected) => assert!(
                        covers_attempts(actual, expected),
                        "{name}:{offset}: {id} {actual:?} {expected:?}"
                    ),
                    // The record of its ending is lost, so it must have an assumed attempt.
                    None => assert!(actual.attempts.contains_key(&u32::MAX), "{name}:{offset}: {id}"),
                }
            }
            if in_header {
                assert_eq!(recovered, model, "{name}:{offset}");
                continue;
            }
            // Opening repairs the journal: the next start finds no damage and the same state.
            drop(journal);
            disk.restart_process();
            let (journal, report) = open(&disk, options(Durability::Process));
            assert!(report.damage.is_empty(), "{name}:{offset} {report:?}");
            assert_eq!(common::read_model(&journal), recovered, "{name}:{offset}");
        }
    }
    assert!(max_lost > 0, "no corrupted byte lost a live message");
}

#[test]
fn a_last_file_cut_at_any_length_keeps_all_complete_commits() {
    println!("seed {SEED:#x}");
    let (intact, model_before_last, model) = build_folder(MANY_SEGMENTS, 3);
    let name = segment_names(&intact).pop().unwrap();
    let bytes = intact.file_bytes(&name).unwrap();
    let mut recovered_models = Vec::new();
    for length in 0..bytes.len() {
        let disk = intact.copy();
        disk.put_durable(&name, &bytes[..length]);
        let (journal, report) = open(&disk, MANY_SEGMENTS);
        // If the record of a removal is cut off, the removed segment is reported as missing.
        assert!(report.damage.iter().all(|range| range.to == 0), "{length}: {report:?}");
        assert_eq!(report.uncertain, 0);
        recovered_models.push(read_model(&journal));
    }
    assert_eq!(recovered_models.last(), Some(&model_before_last), "only the last commit is lost");
    let distinct_models = recovered_models.windows(2).filter(|pair| pair[0] != pair[1]).count();
    assert!(distinct_models > 5, "{distinct_models}");
    assert_ne!(model_before_last, model);
}

#[test]
fn a_missing_file_or_header_is_reported_and_the_rest_is_recovered() {
    let (intact, _, model) = build_folder(MANY_SEGMENTS, 3);
    let names = segment_names(&intact);
    assert!(names.len() >= 3, "{names:?}");
    for name in &names[..names.len() - 1] {
        for is_missing in [true, false] {
            let disk = intact.copy();
            if is_missing {
                disk.remove(name).unwrap();
            } else {
                let mut bytes = intact.file_bytes(name).unwrap();
                bytes[..64].fill(0xa5);
                disk.put_durable(name, &bytes);
            }
            let (journal, report) = open(&disk, MANY_SEGMENTS);
            assert!(!report.damage.is_empty());
            for (id, actual) in &read_model(&journal) {
                assert!(
                    model.get(id).is_none_or(|expected| covers_attempts(actual, expected)),
                    "{name} {id}"
                );
            }
            if !is_missing {
                assert!(
                    model.keys().all(|id| read_model(&journal).contains_key(id)),
                    "no frame of {name} is corrupt"
                );
            }
        }
    }
}

use nickelshed_journal::Storage;

#[test]
fn a_damaged_file_is_quarantined_within_the_disk_limit_until_the_next_damage() {
    let (disk, _, _) = build_folder(options(Durability::Process), 2);
    let corrupt_first_segment = |disk: &Disk| {
        let name = segment_names(disk).remove(0);
        let mut bytes = disk.file_bytes(&name).unwrap();
        let middle = bytes.len() / 2;
        bytes[middle] ^= 0x40;
        disk.put_durable(&name, &bytes);
    };
    let quarantined_files = |disk: &Disk| {
        disk.file_names().into_iter().filter(|name| name.starts_with("damaged-")).collect::<Vec<_>>()
    };
    corrupt_first_segment(&disk);
    let (journal, report) = open(&disk, options(Durability::Process));
    assert_eq!(report.quarantined, quarantined_files(&disk));
    assert_eq!(report.quarantined.len(), 1);
    let mut workload = Workload::new(journal, SEED);
    for _ in 0..400 {
        workload.commit().unwrap();
        assert!(disk.used_bytes() <= DISK_LIMIT_BYTES, "{}", disk.used_bytes());
    }
    let model = workload.model.clone();
    drop(workload);
    disk.restart_process();
    corrupt_first_segment(&disk);
    let (_, second_report) = open(&disk, options(Durability::Process));
    assert_eq!(quarantined_files(&disk), second_report.quarantined);
    assert_ne!(report.quarantined, second_report.quarantined);
    assert!(disk.used_bytes() <= DISK_LIMIT_BYTES && !model.is_empty());
}

#[test]
fn bytes_chosen_by_a_client_are_never_decoded_as_a_frame() {
    let disk = Disk::new();
    let (mut journal, _) = open(&disk, options(Durability::Process));
    let first = message(1, 30);
    journal.append(&[Record::Accepted(Rc::new(first))], 1).unwrap();
    // A body that contains a copy of the preceding frame and of the whole segment file.
    let file = disk.file_bytes(&segment_names(&disk)[0]).unwrap();
    let mut forged = message(2, 0);
    forged.body = file.clone().into();
    journal.append(&[Record::Finished(1)], 1).unwrap();
    journal.append(&[Record::Accepted(Rc::new(forged))], 1).unwrap();
    journal.append(&[Record::Accepted(Rc::new(message(3, 5)))], 1).unwrap();
    drop(journal);
    disk.restart_process();
    let name = segment_names(&disk).remove(0);
    let mut bytes = disk.file_bytes(&name).unwrap();
    let inner = bytes.windows(file.len()).rposition(|window| window == file).unwrap();
    bytes[inner - 5] ^= 1;
    disk.put_durable(&name, &bytes);
    let (journal, report) = open(&disk, options(Durability::Process));
    assert_eq!(report.damage.len(), 1);
    assert_eq!(
        journal.live().keys().copied().collect::<Vec<_>>(),
        [3],
        "2 is lost, and finished 1 is not recovered"
    );
}

#[test]
fn a_folder_of_a_newer_version_is_left_unchanged() {
    let (disk, _, _) = build_folder(options(Durability::Process), 2);
    let name = segment_names(&disk).pop().unwrap();
    let mut bytes = disk.file_bytes(&name).unwrap();
    for block in [0, 32] {
        bytes[block + 4] = FORMAT_VERSION as u8 + 1;
        let checksum = crc32fast::hash(&bytes[block..block + 28]);
        bytes[block + 28..block + 32].copy_from_slice(&checksum.to_le_bytes());
    }
    disk.put_durable(&name, &bytes);
    let files_before: Vec<_> =
        disk.file_names().into_iter().map(|name| (name.clone(), disk.file_bytes(&name))).collect();
    let Err(error) = try_open(&disk, options(Durability::Process)) else { panic!("opened") };
    assert!(matches!(error, OpenError::NewerFormat { version: 2, .. }), "{error}");
    assert!(error.to_string().contains("Nothing was changed"), "{error}");
    let files_after: Vec<_> =
        disk.file_names().into_iter().map(|name| (name.clone(), disk.file_bytes(&name))).collect();
    assert!(files_before == files_after);
}

#[test]
fn a_second_process_is_refused() {
    let disk = Disk::new();
    let _first = open(&disk, options(Durability::Process));
    let Err(error) = try_open(&disk, options(Durability::Process)) else { panic!("opened twice") };
    assert!(matches!(error, OpenError::InUse), "{error}");
}

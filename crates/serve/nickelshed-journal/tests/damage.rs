//! Damage: every byte of a journal spoilt in turn, every length that its last file may be cut to, and files that
//! are missing. What can be read is kept, and no attempt that may have run is forgotten.
mod common;
use common::*;
use nickelshed_journal::*;
use nickelshed_testkit::Disk;
use std::rc::Rc;

const SEED: u64 = 0x7368_6564;

const WIDE: Options = Options { disk: 500_000, max_attempts: 8, durability: Durability::Process };

/// A folder of at least so many segments, with what it holds, and what it held before its last round.
fn folder(options: Options, least: usize) -> (Disk, Model, Model) {
    let disk = Disk::new();
    let mut work = Work::new(open(&disk, options).0, SEED);
    (work.body, work.lasting) = (600, 60);
    let mut before = work.now.clone();
    let mut left = 15;
    for _ in 0..3_000 {
        if left == 0 && before != work.now {
            break;
        }
        if left < 15 || (segments(&disk).len() >= least && work.now.len() >= 15) {
            left = left.max(1) - 1;
        }
        before = work.now.clone();
        work.round().unwrap();
    }
    assert!(work.now.values().any(|k| !k.attempts.is_empty()));
    disk.restart_process();
    (disk, before, work.now)
}

fn segments(disk: &Disk) -> Vec<String> {
    disk.file_names().into_iter().filter(|n| segment_number(n).is_some()).collect()
}

/// Whether all attempts that may have run still count as such, by themselves or by one that is supposed.
fn remembers(read: &Kept, kept: &Kept) -> bool {
    let supposed = read.attempts.contains_key(&u32::MAX);
    kept.attempts
        .iter()
        .filter(|(_, never)| !**never)
        .all(|(n, _)| supposed || read.attempts.get(n) == Some(&false))
}

#[test]
fn any_one_byte_costs_one_round_at_most_and_no_attempt_is_forgotten() {
    println!("seed {SEED:#x}");
    let (whole, _, model) = folder(options(Durability::Process), 2);
    let mut lost_most = 0;
    for name in segments(&whole) {
        let bytes = whole.file_bytes(&name).unwrap();
        for at in 0..bytes.len() {
            let mut spoilt = bytes.clone();
            spoilt[at] ^= 1 << (at % 8);
            let disk = whole.copy();
            disk.put_durable(&name, &spoilt);
            let (journal, found) = open(&disk, options(Durability::Process));
            let says = says(&journal);
            let in_header = at < 64;
            assert_eq!(found.damage.is_empty(), in_header, "{name}:{at} {found:?}");
            let lost = model.keys().filter(|id| !says.contains_key(id)).count();
            lost_most = lost_most.max(lost);
            assert!(lost <= 2, "{name}:{at}: one round takes on two at most, {lost} are lost");
            for (id, read) in &says {
                match model.get(id) {
                    Some(kept) => assert!(remembers(read, kept), "{name}:{at}: {id} {read:?} {kept:?}"),
                    // Its end is among what is lost: then an attempt is supposed.
                    None => assert!(read.attempts.contains_key(&u32::MAX), "{name}:{at}: {id}"),
                }
            }
            if in_header {
                assert_eq!(says, model, "{name}:{at}");
                continue;
            }
            // What was found is written down: the next start finds a whole journal that says the same.
            drop(journal);
            disk.restart_process();
            let (journal, found) = open(&disk, options(Durability::Process));
            assert!(found.damage.is_empty(), "{name}:{at} {found:?}");
            assert_eq!(common::says(&journal), says, "{name}:{at}");
        }
    }
    assert!(lost_most > 0, "some byte belongs to a message that still lives");
}

#[test]
fn cut_anywhere_the_last_file_keeps_every_whole_round() {
    println!("seed {SEED:#x}");
    let (whole, before, model) = folder(WIDE, 3);
    let name = segments(&whole).pop().unwrap();
    let bytes = whole.file_bytes(&name).unwrap();
    let mut kept = Vec::new();
    for length in 0..bytes.len() {
        let disk = whole.copy();
        disk.put_durable(&name, &bytes[..length]);
        let (journal, found) = open(&disk, WIDE);
        // Where the record of a removal is cut off, what was removed is missed.
        assert!(found.damage.iter().all(|d| d.to == 0), "{length}: {found:?}");
        assert_eq!(found.doubted, 0);
        kept.push(says(&journal));
    }
    assert_eq!(kept.last(), Some(&before), "only the last round is gone");
    let whole_rounds = kept.windows(2).filter(|w| w[0] != w[1]).count();
    assert!(whole_rounds > 5, "{whole_rounds}");
    assert_ne!(before, model);
}

#[test]
fn a_file_that_is_missing_or_has_no_header_is_told_and_what_is_there_lives() {
    let (whole, _, model) = folder(WIDE, 3);
    let names = segments(&whole);
    assert!(names.len() >= 3, "{names:?}");
    for name in &names[..names.len() - 1] {
        for gone in [true, false] {
            let disk = whole.copy();
            if gone {
                disk.remove(name).unwrap();
            } else {
                let mut bytes = whole.file_bytes(name).unwrap();
                bytes[..64].fill(0xa5);
                disk.put_durable(name, &bytes);
            }
            let (journal, found) = open(&disk, WIDE);
            assert!(!found.damage.is_empty());
            for (id, read) in &says(&journal) {
                assert!(model.get(id).is_none_or(|kept| remembers(read, kept)), "{name} {id}");
            }
            if !gone {
                assert!(
                    model.keys().all(|id| says(&journal).contains_key(id)),
                    "no frame of {name} is spoilt"
                );
            }
        }
    }
}

use nickelshed_journal::Storage;

#[test]
fn the_damaged_file_stays_aside_within_the_disk_and_gives_way_to_the_next() {
    let (disk, _, _) = folder(options(Durability::Process), 2);
    let spoil = |disk: &Disk| {
        let name = segments(disk).remove(0);
        let mut bytes = disk.file_bytes(&name).unwrap();
        let middle = bytes.len() / 2;
        bytes[middle] ^= 0x40;
        disk.put_durable(&name, &bytes);
    };
    let aside =
        |disk: &Disk| disk.file_names().into_iter().filter(|n| n.starts_with("damaged-")).collect::<Vec<_>>();
    spoil(&disk);
    let (journal, found) = open(&disk, options(Durability::Process));
    assert_eq!(found.set_aside, aside(&disk));
    assert_eq!(found.set_aside.len(), 1);
    let mut work = Work::new(journal, SEED);
    for _ in 0..400 {
        work.round().unwrap();
        assert!(disk.used_bytes() <= DISK, "{}", disk.used_bytes());
    }
    let now = work.now.clone();
    drop(work);
    disk.restart_process();
    spoil(&disk);
    let (_, again) = open(&disk, options(Durability::Process));
    assert_eq!(aside(&disk), again.set_aside);
    assert_ne!(found.set_aside, again.set_aside);
    assert!(disk.used_bytes() <= DISK && !now.is_empty());
}

#[test]
fn bytes_that_a_client_chose_are_never_taken_for_a_frame() {
    let disk = Disk::new();
    let (mut journal, _) = open(&disk, options(Durability::Process));
    let first = taken(1, 30);
    journal.append(&[Record::Taken(Rc::new(first))], 1).unwrap();
    // A body that holds a copy of the frame before it, and of this folder's file as a whole.
    let file = disk.file_bytes(&segments(&disk)[0]).unwrap();
    let mut sly = taken(2, 0);
    sly.body = file.clone().into();
    journal.append(&[Record::Ended(1)], 1).unwrap();
    journal.append(&[Record::Taken(Rc::new(sly))], 1).unwrap();
    journal.append(&[Record::Taken(Rc::new(taken(3, 5)))], 1).unwrap();
    drop(journal);
    disk.restart_process();
    let name = segments(&disk).remove(0);
    let mut bytes = disk.file_bytes(&name).unwrap();
    let inner = bytes.windows(file.len()).rposition(|w| w == file).unwrap();
    bytes[inner - 5] ^= 1;
    disk.put_durable(&name, &bytes);
    let (journal, found) = open(&disk, options(Durability::Process));
    assert_eq!(found.damage.len(), 1);
    assert_eq!(
        journal.live().keys().copied().collect::<Vec<_>>(),
        [3],
        "2 is lost, and 1 does not come back"
    );
}

#[test]
fn a_newer_versions_folder_is_left_as_it_is() {
    let (disk, _, _) = folder(options(Durability::Process), 2);
    let name = segments(&disk).pop().unwrap();
    let mut bytes = disk.file_bytes(&name).unwrap();
    for block in [0, 32] {
        bytes[block + 4] = VERSION as u8 + 1;
        let sum = crc32fast::hash(&bytes[block..block + 28]);
        bytes[block + 28..block + 32].copy_from_slice(&sum.to_le_bytes());
    }
    disk.put_durable(&name, &bytes);
    let before: Vec<_> = disk.file_names().into_iter().map(|n| (n.clone(), disk.file_bytes(&n))).collect();
    let Err(error) = try_open(&disk, options(Durability::Process)) else { panic!("opened") };
    assert!(matches!(error, OpenError::Newer { version: 2, .. }), "{error}");
    assert!(error.to_string().contains("Nothing was changed"), "{error}");
    let after: Vec<_> = disk.file_names().into_iter().map(|n| (n.clone(), disk.file_bytes(&n))).collect();
    assert!(before == after);
}

#[test]
fn a_second_process_is_turned_away() {
    let disk = Disk::new();
    let _first = open(&disk, options(Durability::Process));
    let Err(error) = try_open(&disk, options(Durability::Process)) else { panic!("opened twice") };
    assert!(matches!(error, OpenError::InUse), "{error}");
}

//! Room: a journal near its limit, a disk that others fill, and what copying costs.
mod common;
use common::*;
use nickelshed_journal::*;
use nickelshed_testkit::{Disk, Fault};
use std::io;
use std::rc::Rc;

const SEED: u64 = 0x6675_6c6c;

/// What is owed to a message that is held, to its end.
fn owed(id: u64) -> Vec<Vec<Record>> {
    let mut all = Vec::new();
    for number in 0..8 {
        let name = "n".repeat(MAX_NAME);
        all.push(vec![Record::Begun(id, Begun { number, at: i64::MAX, endpoint: name, never_ran: false })]);
        all.push(vec![Record::NeverRan(id, number)]);
    }
    all.push(vec![Record::Decided(id, Ending::HandedBack(Some(u64::MAX)))]);
    all.push(vec![Record::Ended(id)]);
    all
}

#[test]
fn whatever_was_taken_on_has_room_to_its_end_and_the_limit_is_never_passed() {
    println!("seed {SEED:#x}");
    let mut random = fastrand::Rng::with_seed(SEED);
    let sizes = [(100_000, 300), (DISK, 0), (DISK, 4_000), (400_000, 60_000), (3_000_000, 64 << 10)];
    let process = sizes.map(|(disk, body)| (disk, body, Durability::Process));
    let machine = sizes[1..].iter().map(|(disk, body)| (*disk, *body, Durability::Machine));
    for (disk_size, body, durability) in process.into_iter().chain(machine) {
        let disk = Disk::new();
        let options = Options { disk: disk_size, max_attempts: 8, durability };
        let (mut journal, _) = open(&disk, options);
        let mut held: Vec<(u64, Vec<Vec<Record>>)> = Vec::new();
        let (mut next, mut refused, mut most) = (u64::MAX / 2, 0, 0);
        for round in 0..6_000 {
            let mut claim = Claim::default();
            let mut records = Vec::new();
            for _ in 0..random.usize(..4) {
                let taken = taken(next, body);
                if journal.claim(&taken, &mut claim, 1) {
                    records.push(Record::Taken(Rc::new(taken)));
                    held.push((next, owed(next).into_iter().rev().collect()));
                    next += 1;
                } else {
                    refused += 1;
                }
            }
            // All that is held moves on, one record each in a frame of its own at the worst.
            let news = held.iter_mut().filter(|_| random.u8(..8) == 0 || round > 5_000);
            for record in news.filter_map(|(_, owed)| owed.pop()) {
                journal.append(&record, 1).expect("what is owed has room");
            }
            held.retain(|(_, owed)| !owed.is_empty());
            journal.append(&records, 1).expect("what was claimed has room");
            if round % 3 == 0 {
                if let Some(sync) = journal.sync() {
                    journal.synced(sync.run(), 1);
                }
            }
            most = most.max(held.len());
            assert!(disk.used_bytes() <= disk_size, "{} of {disk_size}", disk.used_bytes());
            assert!(journal.stats().disk <= disk_size);
        }
        assert!(refused > 0 && most > 0, "{disk_size} {body} {durability:?}: {refused} refused, {most} held");
    }
}

#[test]
fn copying_costs_at_most_its_bound_however_full_the_journal_is() {
    println!("seed {SEED:#x}");
    for lasting in [0, 30, 70, 95] {
        for seed in 0..4 {
            let disk = Disk::new();
            let mut work = Work::new(open(&disk, options(Durability::Process)).0, SEED + seed);
            work.lasting = lasting;
            for _ in 0..8_000 {
                work.round().unwrap();
            }
            let stats = work.journal.stats();
            let bound = (AMPLIFICATION - 1) * stats.appended + DISK;
            assert!(stats.copied <= bound, "lasting {lasting}%: {stats:?}");
            assert!(stats.copied > 0, "lasting {lasting}%: {stats:?}");
        }
    }
}

#[test]
fn nothing_is_copied_again_and_again_where_all_of_it_lives() {
    let disk = Disk::new();
    let (mut journal, _) = open(&disk, options(Durability::Process));
    let mut id = 0;
    while journal.claim(&taken(id, 900), &mut Claim::default(), 1) {
        journal.append(&[Record::Taken(Rc::new(taken(id, 900)))], 1).unwrap();
        id += 1;
    }
    let copied = journal.stats().copied;
    for _ in 0..1_000 {
        assert!(!journal.claim(&taken(id, 900), &mut Claim::default(), 1));
    }
    assert!(journal.stats().copied <= copied + STEP, "{:?}", journal.stats());
}

#[test]
fn a_disk_that_others_fill_refuses_new_work_lets_the_held_go_on_and_recovers_by_itself() {
    println!("seed {SEED:#x}");
    for seed in 0..40 {
        let disk = Disk::new();
        let mut work = Work::new(open(&disk, options(Durability::Process)).0, SEED + seed);
        let mut rounds = 0;
        while rounds < 50 + seed || work.now.is_empty() {
            work.round().unwrap();
            rounds += 1;
        }
        // Full from here on, perhaps in the middle of a copy or of a round.
        disk.set_capacity(disk.used_bytes() + seed * 37);
        let mut failed = 0;
        for _ in 0..200 {
            failed += usize::from(work.round().is_err());
        }
        assert!(failed > 0);
        // What is held goes on: from what was held back.
        let held: Vec<u64> = work.now.keys().copied().collect();
        for id in held {
            let record = Record::Ended(id);
            work.journal.append_owed(std::slice::from_ref(&record), 1).expect("what is owed has room");
            note(&mut work.now, &record);
        }
        assert!(work.now.is_empty());
        // Everything can be read, now and by a process that starts on the full disk.
        assert_eq!(says(&work.journal), work.now);
        // Empty again: it takes on without being told so.
        disk.set_capacity(u64::MAX);
        // It looks for room once a second.
        for _ in 0..12 {
            let _ = work.round();
        }
        let next = work.next;
        for _ in 0..50 {
            work.round().unwrap();
        }
        let taken_on = work.now.keys().filter(|id| **id >= next).count();
        assert!(!work.journal.is_short() && taken_on > 5, "{taken_on} taken on");
        let now = work.now.clone();
        drop(work);
        disk.restart_process();
        let (journal, found) = open(&disk, options(Durability::Process));
        assert_eq!(says(&journal), now);
        assert!(found.damage.is_empty(), "{found:?}");
    }
}

#[test]
fn a_folder_that_turns_read_only_keeps_its_records_and_is_taken_up_again() {
    println!("seed {SEED:#x}");
    for kind in [io::ErrorKind::ReadOnlyFilesystem, io::ErrorKind::Other, io::ErrorKind::StorageFull] {
        for seed in 0..30 {
            let disk = Disk::new();
            let mut work = Work::new(open(&disk, options(Durability::Process)).0, SEED + seed);
            for _ in 0..60 + seed {
                work.round().unwrap();
            }
            disk.inject_fault(0, Fault::FailChangesFrom(kind));
            let held = work.now.clone();
            for _ in 0..100 {
                let _ = work.round();
            }
            assert_eq!(work.now, held, "nothing was taken on or lost");
            disk.clear_fault();
            for _ in 0..100 {
                work.round().unwrap();
            }
            let now = work.now.clone();
            drop(work);
            disk.restart_process();
            let (journal, found) = open(&disk, options(Durability::Process));
            assert_eq!(says(&journal), now, "{kind} {seed}");
            assert!(found.damage.is_empty(), "{found:?}");
        }
    }
}

/// What the configuration tool reckons that a disk carries is there, and no more than half as much again: a file that
/// passes the check keeps its promise, and none is refused that would do.
#[test]
fn as_many_messages_find_room_as_are_told_beforehand() {
    for disk in [100_000u64, 400_000, 3_000_000, 20_000_000] {
        for (body, max_attempts) in [(0usize, 1u32), (200, 8), (1_024, 8), (1_024, 64), (16_384, 8)] {
            for durability in [Durability::Process, Durability::Machine] {
                let synced = durability == Durability::Machine;
                let told = nickelshed_budget::messages_on_disk(disk, body as u64, max_attempts, synced);
                let (mut journal, _) = open(&Disk::new(), Options { disk, max_attempts, durability });
                let mut held = 0;
                loop {
                    let names = |n: usize| "n".repeat(n);
                    let taken = Taken {
                        class: names(14),
                        tenant: names(10),
                        trace: names(16),
                        key: Some(names(32)),
                        ..taken(held, body)
                    };
                    if !journal.claim(&taken, &mut Claim::default(), 1) {
                        break;
                    }
                    journal.append(&[Record::Taken(Rc::new(taken))], 1).expect("what was claimed has room");
                    if let Some(sync) = journal.sync() {
                        journal.synced(sync.run(), 1);
                    }
                    held += 1;
                }
                let of = format!("{disk} {body} {max_attempts} {durability:?}: {held} held, {told} told");
                assert!(held >= told, "{of}");
                assert!(disk < 3_000_000 || held <= told + told / 2, "{of}");
            }
        }
    }
}

#[test]
fn a_note_outlasts_the_process_takes_no_claimed_room_and_is_nothing_once_it_is_spoilt() {
    let disk = Disk::new();
    let (mut journal, _) = open(&disk, options(Durability::Process));
    let room = format!("{:?}", journal.stats().room);
    assert_eq!(journal.note(), None);
    let most = journal.most_note();
    journal.keep_note(&vec![7; most]).unwrap();
    journal.keep_note(b"shorter").unwrap();
    assert!(journal.keep_note(&vec![7; most + 1]).is_err());
    assert_eq!(format!("{:?}", journal.stats().room), room, "its room counts from the start");
    for part in [0, 1, 100, 255] {
        drop(journal);
        disk.restart_process();
        let (mut next, found) = open(&disk, options(Durability::Process));
        assert_eq!(next.note().unwrap(), b"shorter", "the one before");
        assert!(found.damage.is_empty());
        // Opening is the first operation, and the process ends in the second one.
        disk.inject_fault(1, Fault::Crash(part));
        assert!(next.keep_note(&[9; 300]).is_err());
        journal = next;
    }
}

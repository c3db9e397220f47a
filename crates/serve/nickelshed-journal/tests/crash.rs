//! Every crash point: the process or the machine is lost in each file operation of a workload that takes on, copies
//! and removes, and what is read back is held against the model.
mod common;
use common::*;
use nickelshed_journal::*;
use nickelshed_testkit::{Disk, Fault};
use std::collections::BTreeMap;
use std::io;

const SEED: u64 = 0x6e69_636b;

/// How many operations so many rounds take, and that copying and removal are among them.
fn operations(rounds: usize, durability: Durability) -> u64 {
    let disk = Disk::new();
    let mut work = Work::new(open(&disk, options(durability)).0, SEED);
    for i in 0..rounds {
        work.round().unwrap();
        if i % 3 == 0 {
            work.sync();
        }
        assert!(disk.used_bytes() <= DISK);
        let stats = work.journal.stats();
        assert!(stats.disk <= DISK, "{stats:?}");
    }
    let stats = work.journal.stats();
    let removed = disk.trace().iter().filter(|t| ["remove", "rename"].contains(*t)).count();
    assert!(stats.copied > 0 && removed > 3, "{stats:?}, {removed} removed");
    disk.operation_count()
}

#[test]
fn a_process_that_ends_in_any_operation_leaves_a_round_whole_or_not_at_all() {
    println!("seed {SEED:#x}");
    let rounds = 700;
    let all = operations(rounds, Durability::Process);
    let mut crashes = 0;
    for at in 0..all {
        for part in [0, 1, 128, 255, 256] {
            let disk = Disk::new();
            disk.inject_fault(at, Fault::Crash(part));
            let Ok((journal, _)) = try_open(&disk, options(Durability::Process)) else {
                disk.restart_process();
                assert!(says(&open(&disk, options(Durability::Process)).0).is_empty());
                continue;
            };
            let mut work = Work::new(journal, SEED);
            let mut failed = false;
            while !disk.has_crashed() {
                failed = work.round().is_err();
            }
            crashes += 1;
            disk.restart_process();
            let (journal, found) = open(&disk, options(Durability::Process));
            let says = says(&journal);
            let holds = says == work.now || (failed && says == work.with_last());
            assert!(holds, "operation {at}, part {part}: {:?}", disk.trace().last());
            assert!(found.damage.is_empty(), "operation {at}, part {part}: {found:?}");
        }
    }
    assert!(crashes > 2_000, "{crashes}");
}

/// What may be read back after the machine was lost: all that was promised, and of later rounds any part.
fn check(promised: &Model, now: &Model, all: &BTreeMap<u64, usize>, says: &Model, what: &str) {
    for (id, kept) in promised {
        let Some(current) = now.get(id) else { continue };
        let read = says.get(id).unwrap_or_else(|| panic!("{what}: message {id} is lost"));
        assert_eq!(read.body, kept.body, "{what}");
        for number in kept.attempts.keys() {
            assert!(read.attempts.contains_key(number), "{what}: attempt {number} of {id} is lost");
        }
        for (number, never_ran) in &read.attempts {
            let known = current.attempts.get(number);
            assert!(*number == u32::MAX || known.is_some(), "{what}: {id} was never tried so");
            assert!(!never_ran || known == Some(&true), "{what}: an attempt of {id} may have run");
        }
        assert!(kept.ending.is_none() || read.ending == kept.ending, "{what}");
    }
    for id in says.keys() {
        let was_promised = promised.contains_key(id);
        assert!(was_promised || all.contains_key(id), "{what}: message {id} is back from its end");
    }
}

#[test]
fn a_machine_that_is_lost_in_any_operation_keeps_every_promise() {
    println!("seed {SEED:#x}");
    let rounds = 500;
    let all = operations(rounds, Durability::Machine);
    for at in 0..all {
        for try_ in 0..4u64 {
            let disk = Disk::new();
            disk.inject_fault(at, Fault::Crash([0, 100, 255, 256][try_ as usize]));
            let mut dice = fastrand::Rng::with_seed(SEED ^ (at << 8) ^ try_);
            let Ok((journal, _)) = try_open(&disk, options(Durability::Machine)) else {
                disk.lose_power(&mut dice);
                assert!(says(&open(&disk, options(Durability::Machine)).0).is_empty());
                continue;
            };
            let mut work = Work::new(journal, SEED);
            let mut i = 0;
            let mut failed = false;
            while !disk.has_crashed() && i < rounds {
                failed = work.round().is_err();
                if i % 3 == 0 {
                    work.sync();
                }
                i += 1;
            }
            let promised = work.promised().clone();
            let now = if failed { work.with_last() } else { work.now.clone() };
            // Messages that were taken on in rounds that nobody had been told of.
            let mut unpromised: BTreeMap<u64, usize> = now.iter().map(|(id, k)| (*id, k.body)).collect();
            for model in work.after.range(work.journal.kept()..).map(|(_, m)| m) {
                unpromised.extend(model.iter().map(|(id, k)| (*id, k.body)));
            }
            disk.lose_power(&mut dice);
            let (journal, _) = open(&disk, options(Durability::Machine));
            let what = format!("operation {at}, try {try_}, {:?}", disk.trace().last());
            check(&promised, &now, &unpromised, &says(&journal), &what);
        }
    }
}

#[test]
fn an_operation_that_fails_costs_its_round_and_nothing_else() {
    println!("seed {SEED:#x}");
    let rounds = 400;
    let all = operations(rounds, Durability::Process);
    for at in 0..all {
        let part = [0, 1, 200, 255][(at % 4) as usize];
        let kind = [io::ErrorKind::Other, io::ErrorKind::StorageFull, io::ErrorKind::ReadOnlyFilesystem];
        let disk = Disk::new();
        disk.inject_fault(at, Fault::Fail(part, kind[(at % 3) as usize]));
        let Ok((journal, _)) = try_open(&disk, options(Durability::Process)) else { continue };
        let mut work = Work::new(journal, SEED);
        for _ in 0..rounds {
            let _ = work.round();
        }
        assert_eq!(says(&work.journal), work.now, "operation {at}");
        disk.restart_process();
        let (journal, found) = open(&disk, options(Durability::Process));
        assert_eq!(says(&journal), work.now, "operation {at}, {part}");
        assert!(found.damage.is_empty(), "operation {at}: {found:?}");
    }
}

#[test]
fn after_a_sync_that_failed_nothing_is_kept_before_it_is_written_anew() {
    println!("seed {SEED:#x}");
    for at in 0..120 {
        let disk = Disk::new();
        let mut work = Work::new(open(&disk, options(Durability::Machine)).0, SEED + at);
        for _ in 0..at {
            work.round().unwrap();
        }
        while work.journal.kept() < work.journal.last() {
            work.sync();
        }
        let settled = work.now.clone();
        work.round().unwrap();
        // The first sync after this fails, and the disk drops what it was to keep.
        disk.inject_fault(0, Fault::Fail(0, io::ErrorKind::Other));
        assert!(work.sync() || work.now == settled);
        let claim = work.journal.claim(&taken(work.next, 10), &mut Claim::default(), 2_000);
        assert!(!claim || work.now == settled, "nothing new while it is not certain");
        for _ in 0..200 {
            work.sync();
        }
        assert_eq!(work.journal.kept(), work.journal.last(), "round {at}");
        assert_eq!(work.promised(), &work.now);
        disk.lose_power(&mut fastrand::Rng::with_seed(at));
        assert_eq!(says(&open(&disk, options(Durability::Machine)).0), work.now, "round {at}");
    }
}

//! Crash tests: the process or the machine is lost in each file operation of a workload that accepts
//! messages, compacts and removes segments. The recovered state is compared with the model.
mod common;
use common::*;
use nickelshed_journal::*;
use nickelshed_testkit::{Disk, Fault};
use std::collections::BTreeMap;
use std::io;

const SEED: u64 = 0x6e69_636b;

/// Returns the number of file operations that a workload of `commits` commits takes. Checks that they include
/// compaction and the removal of segments.
fn count_operations(commits: usize, durability: Durability) -> u64 {
    let disk = Disk::new();
    let mut workload = Workload::new(open(&disk, options(durability)).0, SEED);
    for i in 0..commits {
        workload.commit().unwrap();
        if i % 3 == 0 {
            workload.sync();
        }
        assert!(disk.used_bytes() <= DISK_LIMIT_BYTES);
        let stats = workload.journal.stats();
        assert!(stats.disk_bytes <= DISK_LIMIT_BYTES, "{stats:?}");
    }
    let stats = workload.journal.stats();
    let removed = disk.trace().iter().filter(|operation| ["remove", "rename"].contains(*operation)).count();
    assert!(stats.copied_bytes > 0 && removed > 3, "{stats:?}, {removed} removed");
    disk.operation_count()
}

#[test]
fn after_a_process_crash_at_any_operation_a_commit_is_complete_or_absent() {
    println!("seed {SEED:#x}");
    let commits = 700;
    let operation_count = count_operations(commits, Durability::Process);
    let mut crashes = 0;
    for operation in 0..operation_count {
        for part_256ths in [0, 1, 128, 255, 256] {
            let disk = Disk::new();
            disk.inject_fault(operation, Fault::Crash(part_256ths));
            let Ok((journal, _)) = try_open(&disk, options(Durability::Process)) else {
                disk.restart_process();
                assert!(read_model(&open(&disk, options(Durability::Process)).0).is_empty());
                continue;
            };
            let mut workload = Workload::new(journal, SEED);
            let mut failed = false;
            while !disk.has_crashed() {
                failed = workload.commit().is_err();
            }
            crashes += 1;
            disk.restart_process();
            let (journal, report) = open(&disk, options(Durability::Process));
            let recovered = read_model(&journal);
            let matches_model =
                recovered == workload.model || (failed && recovered == workload.model_with_last_commit());
            assert!(matches_model, "operation {operation}, part {part_256ths}: {:?}", disk.trace().last());
            assert!(report.damage.is_empty(), "operation {operation}, part {part_256ths}: {report:?}");
        }
    }
    assert!(crashes > 2_000, "{crashes}");
}

/// Checks the state recovered after the loss of the machine: all durable records must be present; records of
/// later commits may be, in any combination.
fn check_recovered(
    durable: &Model,
    latest: &Model,
    latest_bodies: &BTreeMap<u64, usize>,
    recovered: &Model,
    case: &str,
) {
    for (id, expected) in durable {
        let Some(current) = latest.get(id) else { continue };
        let actual = recovered.get(id).unwrap_or_else(|| panic!("{case}: message {id} is lost"));
        assert_eq!(actual.body_bytes, expected.body_bytes, "{case}");
        for number in expected.attempts.keys() {
            assert!(actual.attempts.contains_key(number), "{case}: attempt {number} of message {id} is lost");
        }
        for (number, never_ran) in &actual.attempts {
            let latest_never_ran = current.attempts.get(number);
            assert!(
                *number == u32::MAX || latest_never_ran.is_some(),
                "{case}: message {id} never had this attempt"
            );
            assert!(
                !never_ran || latest_never_ran == Some(&true),
                "{case}: an attempt of message {id} may have run"
            );
        }
        assert!(expected.ending.is_none() || actual.ending == expected.ending, "{case}");
    }
    for id in recovered.keys() {
        let was_durable = durable.contains_key(id);
        assert!(was_durable || latest_bodies.contains_key(id), "{case}: finished message {id} is live again");
    }
}

#[test]
fn after_a_machine_crash_at_any_operation_all_durable_commits_are_recovered() {
    println!("seed {SEED:#x}");
    let commits = 500;
    let operation_count = count_operations(commits, Durability::Machine);
    for operation in 0..operation_count {
        for variant in 0..4u64 {
            let disk = Disk::new();
            disk.inject_fault(operation, Fault::Crash([0, 100, 255, 256][variant as usize]));
            let mut random = fastrand::Rng::with_seed(SEED ^ (operation << 8) ^ variant);
            let Ok((journal, _)) = try_open(&disk, options(Durability::Machine)) else {
                disk.lose_power(&mut random);
                assert!(read_model(&open(&disk, options(Durability::Machine)).0).is_empty());
                continue;
            };
            let mut workload = Workload::new(journal, SEED);
            let mut i = 0;
            let mut failed = false;
            while !disk.has_crashed() && i < commits {
                failed = workload.commit().is_err();
                if i % 3 == 0 {
                    workload.sync();
                }
                i += 1;
            }
            let durable = workload.durable_model().clone();
            let latest = if failed { workload.model_with_last_commit() } else { workload.model.clone() };
            // The body sizes of all messages that were live after the last durable commit or a later one, as
            // a commit that is not durable may be recovered too.
            let mut latest_bodies: BTreeMap<u64, usize> =
                latest.iter().map(|(id, expected)| (*id, expected.body_bytes)).collect();
            for model in
                workload.model_after_commit.range(workload.journal.durable_commit()..).map(|(_, model)| model)
            {
                latest_bodies.extend(model.iter().map(|(id, expected)| (*id, expected.body_bytes)));
            }
            disk.lose_power(&mut random);
            let (journal, _) = open(&disk, options(Durability::Machine));
            let case = format!("operation {operation}, variant {variant}, {:?}", disk.trace().last());
            check_recovered(&durable, &latest, &latest_bodies, &read_model(&journal), &case);
        }
    }
}

#[test]
fn a_failed_operation_loses_only_its_own_commit() {
    println!("seed {SEED:#x}");
    let commits = 400;
    let operation_count = count_operations(commits, Durability::Process);
    for operation in 0..operation_count {
        let part_256ths = [0, 1, 200, 255][(operation % 4) as usize];
        let error_kinds =
            [io::ErrorKind::Other, io::ErrorKind::StorageFull, io::ErrorKind::ReadOnlyFilesystem];
        let disk = Disk::new();
        disk.inject_fault(operation, Fault::Fail(part_256ths, error_kinds[(operation % 3) as usize]));
        let Ok((journal, _)) = try_open(&disk, options(Durability::Process)) else { continue };
        let mut workload = Workload::new(journal, SEED);
        for _ in 0..commits {
            let _ = workload.commit();
        }
        assert_eq!(read_model(&workload.journal), workload.model, "operation {operation}");
        disk.restart_process();
        let (journal, report) = open(&disk, options(Durability::Process));
        assert_eq!(read_model(&journal), workload.model, "operation {operation}, part {part_256ths}");
        assert!(report.damage.is_empty(), "operation {operation}: {report:?}");
    }
}

#[test]
fn after_a_failed_sync_nothing_is_durable_until_it_is_rewritten() {
    println!("seed {SEED:#x}");
    for commits_before in 0..120 {
        let disk = Disk::new();
        let mut workload = Workload::new(open(&disk, options(Durability::Machine)).0, SEED + commits_before);
        for _ in 0..commits_before {
            workload.commit().unwrap();
        }
        while workload.journal.durable_commit() < workload.journal.last_commit() {
            workload.sync();
        }
        let model_before = workload.model.clone();
        workload.commit().unwrap();
        // The next sync fails, and the disk drops the unsynced writes.
        disk.inject_fault(0, Fault::Fail(0, io::ErrorKind::Other));
        assert!(workload.sync() || workload.model == model_before);
        let was_reserved =
            workload.journal.reserve(&message(workload.next_id, 10), &mut Reservation::default(), 2_000);
        assert!(
            !was_reserved || workload.model == model_before,
            "no new message may be accepted before the rewrite"
        );
        for _ in 0..200 {
            workload.sync();
        }
        assert_eq!(
            workload.journal.durable_commit(),
            workload.journal.last_commit(),
            "after {commits_before} commits"
        );
        assert_eq!(workload.durable_model(), &workload.model);
        disk.lose_power(&mut fastrand::Rng::with_seed(commits_before));
        assert_eq!(
            read_model(&open(&disk, options(Durability::Machine)).0),
            workload.model,
            "after {commits_before} commits"
        );
    }
}

//! Space tests: a journal near its limit, a disk filled by other programs, and the cost of compaction.
mod common;
use common::*;
use nickelshed_journal::*;
use nickelshed_testkit::{Disk, Fault};
use std::io;
use std::rc::Rc;

const SEED: u64 = 0x6675_6c6c;

/// The longest possible records that may follow the acceptance of a message, one commit each.
fn remaining_records(id: u64) -> Vec<Vec<Record>> {
    let mut commits = Vec::new();
    for number in 0..8 {
        let name = "n".repeat(MAX_ENDPOINT_NAME_BYTES);
        commits.push(vec![Record::AttemptStarted(
            id,
            AttemptRecord { number, started_at_ms: i64::MAX, endpoint: name, never_ran: false },
        )]);
        commits.push(vec![Record::AttemptNeverRan(id, number)]);
    }
    commits.push(vec![Record::EndingDecided(id, Ending::HandedBack(Some(u64::MAX)))]);
    commits.push(vec![Record::Finished(id)]);
    commits
}

#[test]
fn accepted_messages_have_space_to_finish_and_the_limit_is_never_exceeded() {
    println!("seed {SEED:#x}");
    let mut random = fastrand::Rng::with_seed(SEED);
    let sizes = [
        (100_000, 300),
        (DISK_LIMIT_BYTES, 0),
        (DISK_LIMIT_BYTES, 4_000),
        (400_000, 60_000),
        (3_000_000, 64 << 10),
    ];
    let process_cases =
        sizes.map(|(disk_limit_bytes, body_bytes)| (disk_limit_bytes, body_bytes, Durability::Process));
    let machine_cases = sizes[1..]
        .iter()
        .map(|(disk_limit_bytes, body_bytes)| (*disk_limit_bytes, *body_bytes, Durability::Machine));
    for (disk_limit_bytes, body_bytes, durability) in process_cases.into_iter().chain(machine_cases) {
        let disk = Disk::new();
        let options = Options { disk_limit_bytes, max_attempts: 8, durability };
        let (mut journal, _) = open(&disk, options);
        let mut open_messages: Vec<(u64, Vec<Vec<Record>>)> = Vec::new();
        let (mut next_id, mut rejected, mut max_open) = (u64::MAX / 2, 0, 0);
        for commit in 0..6_000 {
            let mut reservation = Reservation::default();
            let mut records = Vec::new();
            for _ in 0..random.usize(..4) {
                let message = message(next_id, body_bytes);
                if journal.reserve(&message, &mut reservation, 1) {
                    records.push(Record::Accepted(Rc::new(message)));
                    open_messages.push((next_id, remaining_records(next_id).into_iter().rev().collect()));
                    next_id += 1;
                } else {
                    rejected += 1;
                }
            }
            // Random messages write their next record, each in a frame of its own, which is the worst case
            // for space.
            let advancing = open_messages.iter_mut().filter(|_| random.u8(..8) == 0 || commit > 5_000);
            for record in advancing.filter_map(|(_, remaining)| remaining.pop()) {
                journal.append(&record, 1).expect("the space is reserved");
            }
            open_messages.retain(|(_, remaining)| !remaining.is_empty());
            journal.append(&records, 1).expect("the space is reserved");
            if commit % 3 == 0 {
                if let Some(sync_task) = journal.start_sync() {
                    journal.finish_sync(sync_task.run(), 1);
                }
            }
            max_open = max_open.max(open_messages.len());
            assert!(disk.used_bytes() <= disk_limit_bytes, "{} of {disk_limit_bytes}", disk.used_bytes());
            assert!(journal.stats().disk_bytes <= disk_limit_bytes);
        }
        assert!(
            rejected > 0 && max_open > 0,
            "{disk_limit_bytes} {body_bytes} {durability:?}: {rejected} rejected, {max_open} open"
        );
    }
}

#[test]
fn write_amplification_stays_within_its_bound_however_full_the_journal_is() {
    println!("seed {SEED:#x}");
    for long_lived_percent in [0, 30, 70, 95] {
        for seed in 0..4 {
            let disk = Disk::new();
            let mut workload = Workload::new(open(&disk, options(Durability::Process)).0, SEED + seed);
            workload.long_lived_percent = long_lived_percent;
            for _ in 0..8_000 {
                workload.commit().unwrap();
            }
            let stats = workload.journal.stats();
            let bound = (MAX_WRITE_AMPLIFICATION - 1) * stats.appended_bytes + DISK_LIMIT_BYTES;
            assert!(stats.copied_bytes <= bound, "{long_lived_percent}% long-lived: {stats:?}");
            assert!(stats.copied_bytes > 0, "{long_lived_percent}% long-lived: {stats:?}");
        }
    }
}

#[test]
fn a_journal_full_of_live_messages_is_not_compacted_repeatedly() {
    let disk = Disk::new();
    let (mut journal, _) = open(&disk, options(Durability::Process));
    let mut id = 0;
    while journal.reserve(&message(id, 900), &mut Reservation::default(), 1) {
        journal.append(&[Record::Accepted(Rc::new(message(id, 900)))], 1).unwrap();
        id += 1;
    }
    let copied = journal.stats().copied_bytes;
    for _ in 0..1_000 {
        assert!(!journal.reserve(&message(id, 900), &mut Reservation::default(), 1));
    }
    assert!(journal.stats().copied_bytes <= copied + MAX_COMPACTION_STEP_BYTES, "{:?}", journal.stats());
}

#[test]
fn on_a_disk_filled_by_others_open_messages_finish_and_acceptance_resumes_by_itself() {
    println!("seed {SEED:#x}");
    for seed in 0..40 {
        let disk = Disk::new();
        let mut workload = Workload::new(open(&disk, options(Durability::Process)).0, SEED + seed);
        let mut commits = 0;
        while commits < 50 + seed || workload.model.is_empty() {
            workload.commit().unwrap();
            commits += 1;
        }
        // The disk is full from here on, possibly in the middle of a compaction step or a commit.
        disk.set_capacity(disk.used_bytes() + seed * 37);
        let mut failed_commits = 0;
        for _ in 0..200 {
            failed_commits += usize::from(workload.commit().is_err());
        }
        assert!(failed_commits > 0);
        // Open messages can finish, using the space of the ballast file.
        let open_ids: Vec<u64> = workload.model.keys().copied().collect();
        for id in open_ids {
            let record = Record::Finished(id);
            workload
                .journal
                .append_reserved(std::slice::from_ref(&record), 1)
                .expect("the space is reserved");
            apply_record(&mut workload.model, &record);
        }
        assert!(workload.model.is_empty());
        // All records are still readable.
        assert_eq!(read_model(&workload.journal), workload.model);
        // Space is free again: the journal must accept messages without any external signal.
        disk.set_capacity(u64::MAX);
        // The ballast file is retried once a second, and each commit advances the clock by 100 ms.
        for _ in 0..12 {
            let _ = workload.commit();
        }
        let first_new_id = workload.next_id;
        for _ in 0..50 {
            workload.commit().unwrap();
        }
        let accepted = workload.model.keys().filter(|id| **id >= first_new_id).count();
        assert!(!workload.journal.is_ballast_missing() && accepted > 5, "{accepted} accepted");
        let model = workload.model.clone();
        drop(workload);
        disk.restart_process();
        let (journal, report) = open(&disk, options(Durability::Process));
        assert_eq!(read_model(&journal), model);
        assert!(report.damage.is_empty(), "{report:?}");
    }
}

#[test]
fn a_folder_that_turns_read_only_keeps_its_records_and_works_again_later() {
    println!("seed {SEED:#x}");
    for kind in [io::ErrorKind::ReadOnlyFilesystem, io::ErrorKind::Other, io::ErrorKind::StorageFull] {
        for seed in 0..30 {
            let disk = Disk::new();
            let mut workload = Workload::new(open(&disk, options(Durability::Process)).0, SEED + seed);
            for _ in 0..60 + seed {
                workload.commit().unwrap();
            }
            disk.inject_fault(0, Fault::FailChangesFrom(kind));
            let model_before = workload.model.clone();
            for _ in 0..100 {
                let _ = workload.commit();
            }
            assert_eq!(workload.model, model_before, "no message was accepted or lost");
            disk.clear_fault();
            for _ in 0..100 {
                workload.commit().unwrap();
            }
            let model = workload.model.clone();
            drop(workload);
            disk.restart_process();
            let (journal, report) = open(&disk, options(Durability::Process));
            assert_eq!(read_model(&journal), model, "{kind} {seed}");
            assert!(report.damage.is_empty(), "{report:?}");
        }
    }
}

/// The number of messages that the configuration check computes for a disk must fit, so that an accepted
/// configuration works. At most half as many more may fit, so that no sufficient configuration is rejected.
#[test]
fn the_computed_number_of_messages_fits_on_the_disk() {
    for disk_limit_bytes in [100_000u64, 400_000, 3_000_000, 20_000_000] {
        for (body_bytes, max_attempts) in [(0usize, 1u32), (200, 8), (1_024, 8), (1_024, 64), (16_384, 8)] {
            for durability in [Durability::Process, Durability::Machine] {
                let is_synced = durability == Durability::Machine;
                let computed = nickelshed_budget::max_messages_on_disk(
                    disk_limit_bytes,
                    body_bytes as u64,
                    max_attempts,
                    is_synced,
                );
                let (mut journal, _) =
                    open(&Disk::new(), Options { disk_limit_bytes, max_attempts, durability });
                let mut accepted = 0;
                loop {
                    let name_of = |length: usize| "n".repeat(length);
                    let message = AcceptedMessage {
                        class: name_of(14),
                        tenant: name_of(10),
                        trace: name_of(16),
                        key: Some(name_of(32)),
                        ..message(accepted, body_bytes)
                    };
                    if !journal.reserve(&message, &mut Reservation::default(), 1) {
                        break;
                    }
                    journal.append(&[Record::Accepted(Rc::new(message))], 1).expect("the space is reserved");
                    if let Some(sync_task) = journal.start_sync() {
                        journal.finish_sync(sync_task.run(), 1);
                    }
                    accepted += 1;
                }
                let case = format!(
                    "{disk_limit_bytes} {body_bytes} {max_attempts} {durability:?}: \
                     {accepted} accepted, {computed} computed"
                );
                assert!(accepted >= computed, "{case}");
                assert!(disk_limit_bytes < 3_000_000 || accepted <= computed + computed / 2, "{case}");
            }
        }
    }
}

#[test]
fn an_outage_snapshot_survives_restarts_and_a_torn_one_leaves_the_previous() {
    let disk = Disk::new();
    let (mut journal, _) = open(&disk, options(Durability::Process));
    let space_before = format!("{:?}", journal.stats().space);
    assert_eq!(journal.read_outage_snapshot(), None);
    let max_bytes = journal.max_outage_snapshot_bytes();
    journal.write_outage_snapshot(&vec![7; max_bytes]).unwrap();
    journal.write_outage_snapshot(b"shorter").unwrap();
    assert!(journal.write_outage_snapshot(&vec![7; max_bytes + 1]).is_err());
    assert_eq!(format!("{:?}", journal.stats().space), space_before, "its space is counted from the start");
    for part_256ths in [0, 1, 100, 255] {
        drop(journal);
        disk.restart_process();
        let (mut reopened, report) = open(&disk, options(Durability::Process));
        assert_eq!(reopened.read_outage_snapshot().unwrap(), b"shorter", "the previous snapshot");
        assert!(report.damage.is_empty());
        // Operation 0 opens the file; the crash happens in operation 1, the write.
        disk.inject_fault(1, Fault::Crash(part_256ths));
        assert!(reopened.write_outage_snapshot(&[9; 300]).is_err());
        journal = reopened;
    }
}

//! Kills a sender that accepts 200 messages a second with SIGKILL at a chosen file operation during
//! compaction, and restarts it. Every acknowledged message must have exactly one final result, and no more
//! attempts than its class allows.
//!
//! CI runs a few dozen points. To run all of them: `CRASH_POINTS=400 cargo test --release -p
//! nickelshed-crashtest`
use nickelshed_testkit::*;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed-crashtest");
const SEED: u64 = 0x6b69_6c6c;
/// Number of points in CI, which takes about half a minute.
const DEFAULT_POINT_COUNT: u64 = 36;
/// The operations at which the process halts, used in turn. A third of the points are at a copy.
const HALT_OPERATIONS: [&str; 6] = ["copy", "remove", "copy", "create", "header", "append"];
const MAX_CALLS_IN_FLIGHT: usize = 16;

/// Starts, kills and restarts a sender once. Returns the log line of the halt.
fn kill_at(point: u64, random: &mut fastrand::Rng) -> String {
    let part_256ths = [0, 1, 100, 255, 256][random.usize(..5)];
    let operation = HALT_OPERATIONS[point as usize % HALT_OPERATIONS.len()];
    let operation_number = random.u64(..if operation == "append" { 200 } else { 14 });
    let endpoint = FakeServer::new(|_| ok_reply());
    let closed_destination = || terminating_instance(9);
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7), closed_destination()]));
    let mut sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
        config["limits"]["disk_mb"] = json!(0.5);
        config["settings"]["Limits"]["MaxOpen"] = json!(400);
        config["settings"]["FamilyInfo"]["CallsOut"] = json!(MAX_CALLS_IN_FLIGHT);
    });
    sender.set_environment("HALT", &format!("{operation},{operation_number},{part_256ths}"));
    sender.kill();
    sender.restart();
    let mut accepted_ids = BTreeSet::new();
    let mut next_message = 0;
    // 200 messages a second. Most are delivered at once; every 10th stays queued until after the restart.
    let mut submit_messages =
        |sender: &SenderProcess, max_messages: usize, accepted_ids: &mut BTreeSet<String>| {
            let started_at = Instant::now();
            let first_message = next_message;
            while next_message - first_message < max_messages && !sender.log().contains("halted") {
                let dest = if next_message % 10 == 0 { 9 } else { 7 };
                let class = if next_message % 3 == 0 { "order" } else { "alert" };
                let id = format!("{class}-{next_message}");
                next_message += 1;
                // A submission in progress at the halt gets no response, so its result is not checked.
                if sender.try_submit(class, &id, dest, 16_000, &[7; 1_024]) == Some(202) {
                    accepted_ids.insert(id);
                }
                let due_at = started_at + Duration::from_millis(5) * (next_message - first_message) as u32;
                std::thread::sleep(due_at.saturating_duration_since(Instant::now()));
            }
        };
    submit_messages(&sender, 6_000, &mut accepted_ids);
    sender.wait_until("the process halts", || sender.log().contains("halted"));
    let halt_line = sender
        .log()
        .lines()
        .filter(|line| line.starts_with("halted"))
        .map(str::to_string)
        .collect::<String>();
    sender.kill();
    sender.set_environment("HALT", "none,0,0");
    discovery.set_instances(json!([
        ready_instance("e-1", endpoint.address, 7),
        ready_instance("e-2", endpoint.address, 9)
    ]));
    let log_length = sender.log().len();
    sender.restart();
    sender.discard_log();
    submit_messages(&sender, 60, &mut accepted_ids);
    let case = format!(
        "point {point}: {operation} {operation_number}, part {part_256ths}, {halt_line}; seed {SEED:#x}"
    );
    let collect_results = || {
        let mut results: BTreeMap<String, (usize, BTreeSet<String>)> = BTreeMap::new();
        for call in endpoint.received() {
            results.entry(call.message_id().to_string()).or_default().0 += 1;
        }
        for notice in discovery.notices() {
            let outcome = notice["outcome"].as_str().unwrap().to_string();
            results.entry(notice["message"].as_str().unwrap().to_string()).or_default().1.insert(outcome);
        }
        results
    };
    sender.wait_until("every message has a result", || {
        let results = collect_results();
        accepted_ids.iter().all(|id| results.contains_key(id))
    });
    // One more round trip, during which any excess attempt would arrive.
    assert_eq!(sender.submit("alert", "last", 7, 16_000, b"."), 202);
    endpoint.wait_for_message("last", 1);
    let results = collect_results();
    let mut repeated_calls = 0;
    for id in &accepted_ids {
        let (calls, outcomes) = &results[id];
        assert!(outcomes.len() <= 1, "{case}: {id} ended as {outcomes:?}");
        if id.starts_with("order") {
            assert!(*calls <= 1, "{case}: {id} may not be repeated, and was attempted {calls} times");
            let handed_back = outcomes.contains("handed_back");
            assert!(!(handed_back && *calls > 0), "{case}: {id} was attempted and returned as unexecuted");
        } else {
            // In flight when the process was killed: sent once more with the same idempotency key.
            assert!(
                *calls <= 2 && !(*calls > 0 && outcomes.contains("handed_back")),
                "{case}: {id}: {calls}"
            );
            repeated_calls += calls.saturating_sub(1);
        }
    }
    assert!(
        repeated_calls <= MAX_CALLS_IN_FLIGHT,
        "{case}: {repeated_calls} calls were repeated, more than can be in flight at once"
    );
    assert!(accepted_ids.len() > 100 && log_length > 0, "{case}: {} accepted", accepted_ids.len());
    halt_line
}

#[test]
fn a_process_killed_at_any_point_of_compaction_gives_every_message_one_result() {
    let point_count = std::env::var("CRASH_POINTS")
        .map_or(DEFAULT_POINT_COUNT, |value| value.parse().expect("CRASH_POINTS is a number"));
    println!("seed {SEED:#x}, {point_count} points");
    let next_point = AtomicU64::new(0);
    let halt_counts = HALT_OPERATIONS.map(|operation| (operation, AtomicUsize::new(0)));
    std::thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| loop {
                let point = next_point.fetch_add(1, Ordering::SeqCst);
                if point >= point_count {
                    return;
                }
                let mut random = fastrand::Rng::with_seed(SEED ^ (point << 20));
                let halt_line = kill_at(point, &mut random);
                for (operation, count) in &halt_counts {
                    count.fetch_add(usize::from(halt_line.ends_with(operation)), Ordering::SeqCst);
                }
            });
        }
    });
    println!("{halt_counts:?}");
    assert!(
        halt_counts.iter().all(|(_, count)| count.load(Ordering::SeqCst) > 0),
        "not every kind of operation was reached"
    );
}

/// A second process on the same folder must refuse to start, report the reason, and do no harm.
#[test]
fn a_second_process_on_one_folder_is_refused() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(sender.submit("order", "m", 7, 16_000, b"x"), 202);
    let (success, log) = sender.run_second();
    assert!(!success && log.contains("another process runs on this folder"), "{log}");
    sender.kill();
    discovery.set_instances(json!([ready_instance("e-1", endpoint.address, 7)]));
    sender.restart();
    endpoint.wait_for_message("m", 1);
}

#[test]
fn after_sigterm_during_compaction_the_next_process_delivers_open_messages() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery =
        Discovery::new(json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(9)]));
    let mut sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
        config["limits"]["disk_mb"] = json!(0.4)
    });
    let mut open_ids = Vec::new();
    for i in 0..400 {
        let (dest, id) = if i % 40 == 0 { (9, format!("queued-{i}")) } else { (7, format!("m-{i}")) };
        assert_eq!(sender.submit("order", &id, dest, 16_000, &[1; 1_024]), 202);
        if dest == 9 {
            open_ids.push(id);
        }
    }
    let oldest_segment = sender.segments().remove(0);
    assert!(!oldest_segment.ends_with("segment-0000000000000001"), "no compaction yet: {oldest_segment:?}");
    sender.terminate();
    assert!(sender.wait_for_exit().success(), "{}", sender.log());
    discovery.set_instances(json!([
        ready_instance("e-1", endpoint.address, 7),
        ready_instance("e-2", endpoint.address, 9)
    ]));
    sender.restart();
    for id in &open_ids {
        endpoint.wait_for_message(id, 1);
    }
    assert_eq!(sender.submit("order", "last", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("last", 1);
    for id in &open_ids {
        assert_eq!(endpoint.wait_for_message(id, 1).len(), 1, "{id}");
    }
    assert!(discovery.notices().is_empty(), "{:?}", discovery.notices());
}

/// The disk fills up during compaction: new messages are rejected with a Retry-After, and open ones finish.
/// Once there is space, messages are accepted again. No message is lost or repeated, and no data is damaged.
#[test]
fn on_a_full_disk_new_messages_are_rejected_and_open_ones_finish() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery =
        Discovery::new(json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(9)]));
    let mut sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
        config["limits"]["disk_mb"] = json!(0.5)
    });
    let capacity = sender.folder.join("capacity");
    sender.set_environment("CAPACITY", capacity.to_str().unwrap());
    sender.kill();
    sender.restart();
    let mut accepted_ids = Vec::new();
    let mut submit = |sender: &SenderProcess, dest: u64| {
        let id = format!("order-{}", accepted_ids.len());
        let (status, headers) = sender.submit_with_headers("order", &id, dest, 16_000, &[7; 1_024]);
        if status == 202 {
            accepted_ids.push(id);
        }
        (status, headers)
    };
    let mut has_compacted = false;
    for i in 0..3_000 {
        assert_eq!(submit(&sender, if i % 40 == 0 { 9 } else { 7 }).0, 202);
        has_compacted = !sender.segments()[0].ends_with("segment-0000000000000001");
        if has_compacted && i > 100 {
            break;
        }
    }
    assert!(has_compacted, "no compaction yet");
    std::fs::write(&capacity, (sender.disk_usage() / 512 * 512).to_string()).unwrap();
    let mut rejection = None;
    for _ in 0..2_000 {
        let (status, headers) = submit(&sender, 7);
        if status != 202 {
            rejection = Some((status, headers));
            break;
        }
    }
    let (status, headers) = rejection.expect("a message rejected on the full disk");
    assert_eq!(status, 503);
    let retry_after: f64 = headers["retry-after"].parse().unwrap();
    assert!(retry_after > 0.0);
    // Open messages can finish on a full disk.
    discovery.set_instances(json!([
        ready_instance("e-1", endpoint.address, 7),
        ready_instance("e-2", endpoint.address, 9)
    ]));
    let id_of = |i: usize| format!("order-{i}");
    endpoint.wait_for_message(&id_of(0), 1);
    std::fs::remove_file(&capacity).unwrap();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while submit(&sender, 7).0 != 202 {
        assert!(Instant::now() < deadline, "{}", sender.log());
        std::thread::sleep(Duration::from_millis(50));
    }
    sender.kill();
    sender.restart();
    assert!(!sender.log().contains("damaged"), "{}", sender.log());
    let received = endpoint.wait_until("every message", |received| {
        let ids: BTreeSet<&str> = received.iter().map(|request| request.message_id()).collect();
        let failure_count = discovery.notices().len();
        ids.len() + failure_count >= accepted_ids.len()
            && accepted_ids.iter().filter(|id| !ids.contains(id.as_str())).count() <= failure_count
    });
    for id in &accepted_ids {
        let calls = received.iter().filter(|request| request.message_id() == id).count();
        let notices: Vec<_> =
            discovery.notices().into_iter().filter(|notice| notice["message"] == *id).collect();
        assert!(calls <= 1, "{id} was attempted {calls} times");
        assert!(calls == 1 || !notices.is_empty(), "{id} is lost");
        assert!(
            calls == 0 || notices.iter().all(|notice| notice["outcome"] == "given_up"),
            "{id}: {notices:?}"
        );
    }
}

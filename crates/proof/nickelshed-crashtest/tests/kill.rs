//! The sender under 200 messages a second, killed by SIGKILL at a chosen file operation of copying, and started again:
//! every message that it had answered for has exactly one final answer, and no attempt beyond its class.
//!
//! CI plays a few dozen points. All of them:
//! `CRASH_POINTS=400 cargo test --release -p nickelshed-crashtest`
use nickelshed_testkit::*;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed-crashtest");
const SEED: u64 = 0x6b69_6c6c;
/// In CI; as many as go through in half a minute.
const POINTS: u64 = 36;
/// What the process stands still in.
const KINDS: [&str; 6] = ["copy", "remove", "copy", "create", "header", "append"];
const SLOTS: usize = 16;

/// One start, kill and start again. Returns what the process stood still at.
fn kill_at(point: u64, random: &mut fastrand::Rng) -> String {
    let part = [0, 1, 100, 255, 256][random.usize(..5)];
    let kind = KINDS[point as usize % KINDS.len()];
    let number = random.u64(..if kind == "append" { 200 } else { 14 });
    let endpoint = FakeServer::new(|_| ok_reply());
    let waiting = || terminating_instance(9);
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7), waiting()]));
    let mut node = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |c| {
        c["limits"]["disk_mb"] = json!(0.5);
        c["settings"]["Limits"]["MaxOpen"] = json!(400);
        c["settings"]["FamilyInfo"]["CallsOut"] = json!(SLOTS);
    });
    node.set_environment("HALT", &format!("{kind},{number},{part}"));
    node.kill();
    node.restart();
    let mut taken_on = BTreeSet::new();
    let mut next = 0;
    // 200 a second, most of them delivered at once, every 10th held until after the restart.
    let mut load = |node: &SenderProcess, most: usize, taken_on: &mut BTreeSet<String>| {
        let began = Instant::now();
        let first = next;
        while next - first < most && !node.log().contains("halted") {
            let dest = if next % 10 == 0 { 9 } else { 7 };
            let class = if next % 3 == 0 { "order" } else { "alert" };
            let id = format!("{class}-{next}");
            next += 1;
            // One that is under way as the process stands still gets no answer, and nothing is owed for it.
            if node.try_submit(class, &id, dest, 16_000, &[7; 1_024]) == Some(202) {
                taken_on.insert(id);
            }
            let due = began + Duration::from_millis(5) * (next - first) as u32;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    };
    load(&node, 6_000, &mut taken_on);
    node.wait_until("it stands still", || node.log().contains("halted"));
    let at = node.log().lines().filter(|l| l.starts_with("halted")).map(str::to_string).collect::<String>();
    node.kill();
    node.set_environment("HALT", "none,0,0");
    discovery.set_instances(json!([
        ready_instance("e-1", endpoint.address, 7),
        ready_instance("e-2", endpoint.address, 9)
    ]));
    let log = node.log().len();
    node.restart();
    node.discard_log();
    load(&node, 60, &mut taken_on);
    let what = format!("point {point}: {kind} {number}, part {part}, {at}; seed {SEED:#x}");
    let ends = || {
        let mut ends: BTreeMap<String, (usize, BTreeSet<String>)> = BTreeMap::new();
        for call in endpoint.received() {
            ends.entry(call.message_id().to_string()).or_default().0 += 1;
        }
        for notice in discovery.notices() {
            let outcome = notice["outcome"].as_str().unwrap().to_string();
            ends.entry(notice["message"].as_str().unwrap().to_string()).or_default().1.insert(outcome);
        }
        ends
    };
    node.wait_until("every message has its end", || {
        let ends = ends();
        taken_on.iter().all(|id| ends.contains_key(id))
    });
    // What an attempt too many would need to show itself.
    assert_eq!(node.submit("alert", "last", 7, 16_000, b"."), 202);
    endpoint.wait_for_message("last", 1);
    let ends = ends();
    let mut again = 0;
    for id in &taken_on {
        let (calls, outcomes) = &ends[id];
        assert!(outcomes.len() <= 1, "{what}: {id} ended as {outcomes:?}");
        if id.starts_with("order") {
            assert!(*calls <= 1, "{what}: {id} may not be repeated, and was called for {calls} times");
            let handed_back = outcomes.contains("handed_back");
            assert!(!(handed_back && *calls > 0), "{what}: {id} ran and was handed back");
        } else {
            // Out when the process was killed: once more under its key.
            assert!(
                *calls <= 2 && !(*calls > 0 && outcomes.contains("handed_back")),
                "{what}: {id}: {calls}"
            );
            again += calls.saturating_sub(1);
        }
    }
    assert!(again <= SLOTS, "{what}: {again} were repeated, more than could be out at once");
    assert!(taken_on.len() > 100 && log > 0, "{what}: {} taken on", taken_on.len());
    at
}

#[test]
fn killed_at_any_point_of_copying_every_message_has_one_end() {
    let points =
        std::env::var("CRASH_POINTS").map_or(POINTS, |p| p.parse().expect("CRASH_POINTS is a number"));
    println!("seed {SEED:#x}, {points} points");
    let next = AtomicU64::new(0);
    let kinds = KINDS.map(|kind| (kind, AtomicUsize::new(0)));
    std::thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| loop {
                let point = next.fetch_add(1, Ordering::SeqCst);
                if point >= points {
                    return;
                }
                let mut random = fastrand::Rng::with_seed(SEED ^ (point << 20));
                let at = kill_at(point, &mut random);
                for (kind, count) in &kinds {
                    count.fetch_add(usize::from(at.ends_with(kind)), Ordering::SeqCst);
                }
            });
        }
    });
    println!("{kinds:?}");
    assert!(kinds.iter().all(|(_, count)| count.load(Ordering::SeqCst) > 0), "each kind was met");
}

/// A second process on a folder in use does not start, says why, and harms nothing.
#[test]
fn two_processes_on_one_folder() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let mut node = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(node.submit("order", "m", 7, 16_000, b"x"), 202);
    let (success, log) = node.run_second();
    assert!(!success && log.contains("another process runs on this folder"), "{log}");
    node.kill();
    discovery.set_instances(json!([ready_instance("e-1", endpoint.address, 7)]));
    node.restart();
    endpoint.wait_for_message("m", 1);
}

#[test]
fn sigterm_in_the_middle_of_copying_leaves_the_rest_to_the_next_process() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery =
        Discovery::new(json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(9)]));
    let mut node =
        SenderProcess::start_with(PROGRAM, &discovery, json!([]), |c| c["limits"]["disk_mb"] = json!(0.4));
    let mut held = Vec::new();
    for i in 0..400 {
        let (dest, id) = if i % 40 == 0 { (9, format!("held-{i}")) } else { (7, format!("m-{i}")) };
        assert_eq!(node.submit("order", &id, dest, 16_000, &[1; 1_024]), 202);
        if dest == 9 {
            held.push(id);
        }
    }
    let first = node.segments().remove(0);
    assert!(!first.ends_with("segment-0000000000000001"), "copying has begun: {first:?}");
    node.terminate();
    assert!(node.wait_for_exit().success(), "{}", node.log());
    discovery.set_instances(json!([
        ready_instance("e-1", endpoint.address, 7),
        ready_instance("e-2", endpoint.address, 9)
    ]));
    node.restart();
    for id in &held {
        endpoint.wait_for_message(id, 1);
    }
    assert_eq!(node.submit("order", "last", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("last", 1);
    for id in &held {
        assert_eq!(endpoint.wait_for_message(id, 1).len(), 1, "{id}");
    }
    assert!(discovery.notices().is_empty(), "{:?}", discovery.notices());
}

/// The disk fills in the middle of copying, to a byte: new work is refused with a time, what is held goes on, and
/// once there is room taking on resumes by itself. Nothing is lost, doubled or damaged.
#[test]
fn a_disk_that_fills_and_empties_again() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery =
        Discovery::new(json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(9)]));
    let mut node =
        SenderProcess::start_with(PROGRAM, &discovery, json!([]), |c| c["limits"]["disk_mb"] = json!(0.5));
    let capacity = node.folder.join("capacity");
    node.set_environment("CAPACITY", capacity.to_str().unwrap());
    node.kill();
    node.restart();
    let mut taken_on = Vec::new();
    let mut hand_in = |node: &SenderProcess, dest: u64| {
        let id = format!("order-{}", taken_on.len());
        let (status, headers) = node.submit_with_headers("order", &id, dest, 16_000, &[7; 1_024]);
        if status == 202 {
            taken_on.push(id);
        }
        (status, headers)
    };
    let mut copied = false;
    for i in 0..3_000 {
        assert_eq!(hand_in(&node, if i % 40 == 0 { 9 } else { 7 }).0, 202);
        copied = !node.segments()[0].ends_with("segment-0000000000000001");
        if copied && i > 100 {
            break;
        }
    }
    assert!(copied, "copying has begun");
    std::fs::write(&capacity, (node.disk_usage() / 512 * 512).to_string()).unwrap();
    let mut refused = None;
    for _ in 0..2_000 {
        let (status, headers) = hand_in(&node, 7);
        if status != 202 {
            refused = Some((status, headers));
            break;
        }
    }
    let (status, headers) = refused.expect("a full disk refuses");
    assert_eq!(status, 503);
    let after: f64 = headers["retry-after"].parse().unwrap();
    assert!(after > 0.0);
    // What is held goes on, on a disk that is full.
    discovery.set_instances(json!([
        ready_instance("e-1", endpoint.address, 7),
        ready_instance("e-2", endpoint.address, 9)
    ]));
    let id_of = |i: usize| format!("order-{i}");
    endpoint.wait_for_message(&id_of(0), 1);
    std::fs::remove_file(&capacity).unwrap();
    let until = Instant::now() + WAIT_TIMEOUT;
    while hand_in(&node, 7).0 != 202 {
        assert!(Instant::now() < until, "{}", node.log());
        std::thread::sleep(Duration::from_millis(50));
    }
    node.kill();
    node.restart();
    assert!(!node.log().contains("damaged"), "{}", node.log());
    let seen = endpoint.wait_until("every message", |seen| {
        let ids: BTreeSet<&str> = seen.iter().map(|r| r.message_id()).collect();
        let given_up = discovery.notices().len();
        ids.len() + given_up >= taken_on.len()
            && taken_on.iter().filter(|id| !ids.contains(id.as_str())).count() <= given_up
    });
    for id in &taken_on {
        let calls = seen.iter().filter(|r| r.message_id() == id).count();
        let notices: Vec<_> = discovery.notices().into_iter().filter(|n| n["message"] == *id).collect();
        assert!(calls <= 1, "{id} was called for {calls} times");
        assert!(calls == 1 || !notices.is_empty(), "{id} is lost");
        assert!(calls == 0 || notices.iter().all(|n| n["outcome"] == "given_up"), "{id}: {notices:?}");
    }
}

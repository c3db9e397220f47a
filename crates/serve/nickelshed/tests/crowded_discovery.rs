//! Tests of a discovery that all senders share and that rejects some of their requests.
use nickelshed_testkit::*;
use serde_json::json;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");
/// The longest time until a sender knows a change, once discovery has it and can be reached.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);
const SEEDS: [&str; 3] = ["8c1f30d27a5be964", "1", "77aa01"];

fn shared_discovery_settings(config: &mut serde_json::Value, senders: usize, seed: &str) {
    config["seed"] = json!(seed);
    config["settings"]["Discovery"] = json!("subscribe");
    config["settings"]["NInstances"] = json!(senders);
}

/// Makes discovery reject `count` watches, changes the endpoint right after the last rejection, and checks when
/// the first message arrives at the new endpoint.
fn assert_change_is_known_in_time_after_rejections(senders: usize, count: usize, seed: &str) {
    let (old, new) = (FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply()));
    let discovery = Discovery::new(json!([ready_instance("e-old", old.address, 7)]));
    let sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
        shared_discovery_settings(config, senders, seed);
    });
    assert_eq!(sender.submit("order", "before", 7, 16_000, b"x"), 202);
    old.wait_for_message("before", 1);
    let rejections: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let noted = rejections.clone();
    discovery.server.prepend_script(move |request| {
        let mut noted = noted.lock().unwrap();
        let is_rejected = request.start_line.contains("index=") && noted.len() < count;
        is_rejected.then(|| {
            noted.push(Instant::now());
            http_reply("503 Crowded", "", "")
        })
    });
    // Ends the watch that is open, so that the next ones are rejected.
    discovery.set_instances(json!([ready_instance("e-old", old.address, 7), terminating_instance(8)]));
    sender.wait_until("discovery has rejected its watches", || rejections.lock().unwrap().len() == count);
    discovery.set_instances(json!([
        instance("e-old", old.address, 7, "plain", "Gone"),
        ready_instance("e-new", new.address, 7)
    ]));
    let changed_at = *rejections.lock().unwrap().last().unwrap();
    std::thread::sleep((changed_at + MAX_UPDATE_DELAY).saturating_duration_since(Instant::now()));
    let calls_before = old.received().len();
    assert_eq!(sender.submit("order", "after", 7, 16_000, b"x"), 202);
    new.wait_for_message("after", 1);
    assert_eq!(old.received().len(), calls_before, "{senders} senders, {count} rejections, seed {seed}");
}

/// Guards against a pause after a rejection in which messages go to an endpoint that is gone.
#[test]
fn change_is_known_within_six_seconds_after_discovery_rejects_requests() {
    std::thread::scope(|scope| {
        for (senders, count) in [(2, 4), (59, 1), (300, 1), (300, 3), (900, 2)] {
            for seed in SEEDS {
                scope.spawn(move || assert_change_is_known_in_time_after_rejections(senders, count, seed));
            }
        }
    });
}

/// Guards against a process that starts with an old list and asks for changes only much later.
#[test]
fn process_that_starts_with_a_cached_list_knows_changes_within_six_seconds() {
    std::thread::scope(|scope| {
        for senders in [2, 100, 300, 900] {
            for seed in SEEDS {
                scope.spawn(move || {
                    let (old, new) = (FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply()));
                    let discovery = Discovery::new(json!([ready_instance("e-new", new.address, 7)]));
                    let known = json!([ready_instance("e-old", old.address, 7)]);
                    let sender = SenderProcess::start_with(PROGRAM, &discovery, known, |config| {
                        shared_discovery_settings(config, senders, seed);
                    });
                    std::thread::sleep(MAX_UPDATE_DELAY);
                    assert_eq!(sender.submit("order", "m", 7, 16_000, b"x"), 202);
                    new.wait_for_message("m", 1);
                    assert!(old.received().is_empty(), "{senders} senders, seed {seed}");
                });
            }
        }
    });
}

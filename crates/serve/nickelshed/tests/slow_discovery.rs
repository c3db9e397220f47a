//! Tests of a discovery that answers each request, but late.
use nickelshed_testkit::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");
/// The longest time until a sender knows a change, once discovery has it and can be reached.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);
/// The longest time until a sender knows the list of another discovery, after SIGHUP.
const MAX_RELOAD_DELAY: Duration = Duration::from_secs(4);
const PARTS: [SlowPart; 3] = [SlowPart::Request, SlowPart::Answer, SlowPart::Body];

/// A destination whose endpoint moves, and whose old address goes to another destination.
struct MovingEndpoint {
    old: FakeServer,
    new: FakeServer,
}

impl MovingEndpoint {
    fn start() -> MovingEndpoint {
        MovingEndpoint { old: FakeServer::new(|_| ok_reply()), new: FakeServer::new(|_| ok_reply()) }
    }

    fn entries_before(&self) -> Value {
        json!([ready_instance("e-old", self.old.address, 7)])
    }

    fn entries_after(&self) -> Value {
        json!([ready_instance("e-new", self.new.address, 7), ready_instance("e-other", self.old.address, 9)])
    }

    /// Waits until the change must be known, and checks where a message goes then.
    fn assert_known_at(&self, deadline: Instant, sender: &SenderProcess, case: &str) {
        std::thread::sleep(deadline.saturating_duration_since(Instant::now()));
        assert_eq!(sender.submit("order", "after", 7, 16_000, b"x"), 202, "{case}");
        self.new.wait_for_message("after", 1);
        assert!(self.old.received().iter().all(|request| request.message_id() != "after"), "{case}");
    }
}

fn start_sender(discovery: &Discovery, mode: &str, senders: usize) -> SenderProcess {
    SenderProcess::start_with(PROGRAM, discovery, json!([]), |config| {
        config["settings"]["Discovery"] = json!(mode);
        config["settings"]["NInstances"] = json!(senders);
    })
}

/// Changes the list some time after discovery has become slow.
fn assert_change_is_known(mode: &str, senders: usize, part: SlowPart, delay_ms: u64, change_after_ms: u64) {
    let case =
        format!("{mode}, {senders} senders, {part:?} {delay_ms} ms late, change after {change_after_ms} ms");
    let endpoint = MovingEndpoint::start();
    let discovery = Discovery::new(endpoint.entries_before());
    let sender = start_sender(&discovery, mode, senders);
    assert_eq!(sender.submit("order", "before", 7, 16_000, b"x"), 202);
    endpoint.old.wait_for_message("before", 1);
    discovery.slow_down(part, Duration::from_millis(delay_ms));
    std::thread::sleep(Duration::from_millis(change_after_ms));
    discovery.set_instances(endpoint.entries_after());
    endpoint.assert_known_at(Instant::now() + MAX_UPDATE_DELAY, &sender, &case);
}

/// Guards against a slow discovery whose answers are never read, so that messages go to the address of an
/// endpoint that now belongs to another destination.
#[test]
fn change_is_known_within_six_seconds_from_a_slow_discovery() {
    std::thread::scope(|scope| {
        for (senders, delay_ms, change_after_ms) in [
            (3, 1_200, 9_000),
            (30, 2_500, 11_300),
            (100, 3_500, 15_000),
            (300, 3_500, 7_200),
            (300, 5_000, 12_600),
        ] {
            for (mode, part) in ["subscribe", "automatic"].into_iter().flat_map(|m| PARTS.map(|p| (m, p))) {
                scope.spawn(move || assert_change_is_known(mode, senders, part, delay_ms, change_after_ms));
            }
        }
    });
}

/// Guards against a full list that is given up each time because it is late, after discovery has moved.
#[test]
fn list_of_a_slow_new_discovery_is_known_within_four_seconds_of_a_reload() {
    std::thread::scope(|scope| {
        for (mode, senders) in [("subscribe", 3), ("subscribe", 300), ("automatic", 300)] {
            for (part, delay_ms) in PARTS.into_iter().flat_map(|p| [1_500, 3_500].map(|d| (p, d))) {
                scope.spawn(move || {
                    let case = format!("{mode}, {senders} senders, {part:?} {delay_ms} ms late");
                    let endpoint = MovingEndpoint::start();
                    let first = Discovery::new(endpoint.entries_before());
                    let sender = start_sender(&first, mode, senders);
                    assert_eq!(sender.submit("order", "before", 7, 16_000, b"x"), 202);
                    endpoint.old.wait_for_message("before", 1);
                    let second = Discovery::new(endpoint.entries_after());
                    second.slow_down(part, Duration::from_millis(delay_ms));
                    let mut config = sender.config.clone();
                    config["discovery"] = json!(second.server.address.to_string());
                    sender.reload(&config.to_string());
                    endpoint.assert_known_at(Instant::now() + MAX_RELOAD_DELAY, &sender, &case);
                });
            }
        }
    });
}

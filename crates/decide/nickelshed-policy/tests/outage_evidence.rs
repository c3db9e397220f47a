//! What each sender of a fleet knows of an outage limits what all of them send to the returning destination.
mod common;

use common::*;
use nickelshed_policy::api::*;
use nickelshed_policy::rules::Sender;

const DESTINATION: DestId = 1;
const ENDPOINT: EndpointId = 1;

fn start(cfg: &Settings, seed: u64) -> Harness {
    let mut harness = Harness { sender: Sender::new(cfg.clone(), seed), now: T0, actions: Vec::new() };
    let entries = vec![entry(ENDPOINT, DESTINATION, 0)];
    harness.handle(vec![Event::List { full: true, entries }]);
    harness
}

/// Messages with ids from `first` on, all at once.
fn burst(harness: &mut Harness, first: MsgId, count: u64) -> Vec<(MsgId, EndpointId)> {
    let events = (first..first + count).map(|id| Event::Message(message(id, DESTINATION, 0)));
    sends(&harness.handle(events.collect()))
}

/// The senders' first calls after a restart must not meet at a destination that has just returned.
#[test]
fn senders_restarted_together_after_an_outage_do_not_call_at_the_same_moment() {
    for senders in [20, 30, 100, 300, 1_024] {
        let cfg = Settings { sender_count: senders, ..settings() };
        let outage = Outage {
            dest: DESTINATION,
            endpoint: None,
            suspect: true,
            last_failure: T0 - SECOND,
            proven_rate: 6.0 / senders as f64,
        };
        let mut calls = 0;
        for seed in 0..senders as u64 {
            let mut harness = start(&cfg, seed);
            let recovered = Event::Recovered { message: message(1, DESTINATION, 0), past: Vec::new() };
            let mut actions = harness.handle(vec![Event::Outage(outage), recovered]);
            actions.extend(without_times(&harness.advance(cfg.overload_window)));
            calls += sends(&actions).len();
        }
        // N: overload multiple x start capacity x limit x window.
        let allowed: f64 = 2.0 * 0.2 * 6.0 * 3.0;
        assert!(calls as f64 <= allowed + 2.0 * allowed.sqrt() + 2.0, "{calls} calls of {senders} senders");
    }
}

/// Returns the next call, of the messages that wait or of a new one with this id.
fn next_call(harness: &mut Harness, new_id: MsgId) -> (MsgId, EndpointId) {
    let mut sent = burst(harness, new_id, 1);
    while sent.is_empty() {
        sent = sends(&without_times(&harness.advance(5 * MS)));
        assert!(harness.now < T0 + 600 * SECOND, "no call");
    }
    sent[0]
}

/// The destination returns and serves each call after 20 ms. Returns the calls in half a second, beginning with the
/// first one, while a dozen messages wait.
fn calls_served_at_once(harness: &mut Harness) -> usize {
    let mut sent = vec![next_call(harness, 100)];
    burst(harness, 200, 12);
    let mut calls = 0;
    for _ in 0..25 {
        harness.now += 20 * MS;
        calls += sent.len();
        let served = |&(id, endpoint): &(MsgId, EndpointId)| {
            Event::AttemptEnd(attempt_end(id, 0, endpoint, Outcome::Served))
        };
        sent = sends(&harness.handle(sent.iter().map(served).chain([Event::Timer]).collect()));
    }
    calls
}

/// A destination without a limit reports none, also when it rejects each call because it is shut.
#[test]
fn rejections_without_a_report_begin_slow_start_at_a_destination_without_a_limit() {
    for (senders, rejections) in [(1, 3), (2, 6), (3, 16), (4, 8)] {
        let cfg = Settings { limit_reports: true, sender_count: senders, ..settings() };
        let mut harness = start(&cfg, 7);
        for id in 0..rejections {
            let (id, endpoint) = next_call(&mut harness, id);
            harness.now += 20 * MS;
            let rejected = AttemptEnd { finished: true, ..attempt_end(id, 0, endpoint, Outcome::TurnedAway) };
            harness.end_attempt(rejected);
        }
        let calls = calls_served_at_once(&mut harness);
        assert!(calls <= 3, "{calls} calls after {rejections} rejections, {senders} senders");
    }
}

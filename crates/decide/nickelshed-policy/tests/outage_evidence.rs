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

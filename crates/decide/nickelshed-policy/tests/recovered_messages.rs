//! Messages that an earlier process accepted come before new ones until a call was made for them.
mod common;

use common::*;
use nickelshed_policy::api::*;

/// An attempt that met a refused connection, or that was recorded just before the process ended, was no call.
#[test]
fn a_recovered_message_without_a_call_is_not_overtaken_by_new_ones() {
    let recorded = PastAttempt { endpoint: Some(1), sent: T0 - SECOND, may_have_run: true };
    for past in [vec![], vec![recorded]] {
        let mut harness = Harness::new(settings(), &[entry(1, 1, 0)]);
        let attempt = past.len() as u32;
        let mut recovered = message(1, 1, 1);
        recovered.time_left = 9 * SECOND;
        let sent = sends(&harness.handle(vec![Event::Recovered { message: recovered, past }]));
        assert_eq!(sent, [(1, 1)]);
        harness.handle((2..5).map(|id| Event::Message(message(id, 1, 0))).collect());
        harness.now += SECOND;
        let ends = (2..5).map(|id| Event::AttemptEnd(attempt_end(id, 0, 1, Outcome::NoConnection)));
        assert!(sends(&harness.handle(ends.collect())).is_empty());
        let mut actions = harness.end_attempt(attempt_end(1, attempt, 1, Outcome::NoConnection));
        actions.extend(without_times(&harness.advance(10 * SECOND)));
        // The destination is suspect now and gets one message at a time.
        assert_eq!(sends(&actions).first(), Some(&(1, 1)));
    }
}

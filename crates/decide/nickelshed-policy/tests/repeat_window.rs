//! A keyed message that may have run is retried only within the dedup window of its destination, also after a
//! restart. A retry after the window could take effect a second time.
mod common;
use common::*;
use nickelshed_policy::api::*;

const DEDUP_WINDOW: Ns = SECOND;

fn with_dedup_window() -> Settings {
    Settings { classes: vec![Class { dedup_window: DEDUP_WINDOW, ..class(Effect::Keyed) }], ..settings() }
}

/// Recovers a message whose first byte an earlier process wrote `ago` before, and returns all actions.
fn after_restart(ago: Ns) -> Vec<Action> {
    let mut harness = Harness::new(with_dedup_window(), &[entry(1, 1, 0)]);
    let past = vec![PastAttempt { endpoint: Some(1), sent: T0 - ago, may_have_run: true }];
    let mut actions = harness.handle(vec![Event::Recovered { message: message(1, 1, 0), past }]);
    actions.extend(without_times(&harness.advance(20 * SECOND)));
    actions
}

#[test]
fn the_dedup_window_counts_from_the_first_byte_before_a_restart() {
    for (ago, may_retry) in [
        (600 * MS, true),
        (990 * MS, true),
        (995 * MS, false),
        (DEDUP_WINDOW, false),
        (2 * DEDUP_WINDOW, false),
    ] {
        let actions = after_restart(ago);
        assert_eq!(!sends(&actions).is_empty(), may_retry, "{ago} ns after its first byte");
        for action in &actions {
            if let Action::Send { write_by, .. } = action {
                assert!(*write_by <= T0 - ago + DEDUP_WINDOW, "its repeat may arrive after the dedup window");
            }
        }
        // After the window it is unknown whether it took effect: it gets a final action and no retry.
        assert!(
            may_retry
                || matches!(
                    final_actions(&actions)[..],
                    [Action::Fail { id: 1 }] | [Action::Refuse { id: 1, .. }]
                )
        );
    }
}

#[test]
fn a_retry_that_waits_past_the_dedup_window_is_not_sent() {
    let mut harness = Harness::new(with_dedup_window(), &[entry(1, 1, 0)]);
    harness.submit(message(1, 1, 0));
    harness.now += 100 * MS;
    let rejection = AttemptEnd { retry_after: 2 * SECOND, ..attempt_end(2, 0, 1, Outcome::TurnedAway) };
    harness.handle(vec![Event::Message(message(2, 1, 0))]);
    harness.end_attempt(rejection);
    harness.end_attempt(attempt_end(1, 0, 1, Outcome::ConnectionLost));
    let later = without_times(&harness.advance(10 * SECOND));
    assert!(
        sends(&later).iter().all(|(id, _)| *id != 1),
        "the retry-after is longer than the window: {later:?}"
    );
}

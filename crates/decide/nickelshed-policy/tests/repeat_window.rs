//! A keyed message that may have run goes again only while its destination still knows its key, over restarts too.
mod common;
use common::*;
use nickelshed_policy::api::*;

const WINDOW: Ns = SECOND;

fn with_window() -> Settings {
    Settings { classes: vec![Class { dedup_window: WINDOW, ..class(Effect::Keyed) }], ..settings() }
}

/// What a process does that finds a message whose first byte was written so long ago by the one before.
fn after_restart(ago: Ns) -> Vec<Action> {
    let mut stand = Stand::new(with_window(), &[entry(1, 1, 0)]);
    let past = vec![PastAttempt { endpoint: Some(1), sent: T0 - ago, may_have_run: true }];
    let mut actions = stand.give(vec![Event::Recovered { message: message(1, 1, 0), past }]);
    actions.extend(plain(&stand.pass(20 * SECOND)));
    actions
}

#[test]
fn a_window_of_a_second_counts_from_the_first_byte_before_a_restart() {
    for (ago, again) in
        [(600 * MS, true), (990 * MS, true), (995 * MS, false), (WINDOW, false), (2 * WINDOW, false)]
    {
        let actions = after_restart(ago);
        assert_eq!(!sends(&actions).is_empty(), again, "{ago} ns after its first byte");
        for action in &actions {
            if let Action::Send { write_by: by, .. } = action {
                assert!(*by <= T0 - ago + WINDOW, "its repeat may come later than the key is known");
            }
        }
        // Past the window nobody may know what became of it: it is no refusal.
        assert!(
            again
                || matches!(finals(&actions)[..], [Action::Fail { id: 1 }] | [Action::Refuse { id: 1, .. }])
        );
    }
}

#[test]
fn a_repeat_that_waits_for_its_turn_past_the_window_is_not_sent() {
    let mut stand = Stand::new(with_window(), &[entry(1, 1, 0)]);
    stand.take(message(1, 1, 0));
    stand.now += 100 * MS;
    let turned_away = AttemptEnd { retry_after: 2 * SECOND, ..end(2, 0, 1, Outcome::TurnedAway) };
    stand.give(vec![Event::Message(message(2, 1, 0))]);
    stand.end(turned_away);
    stand.end(end(1, 0, 1, Outcome::ConnectionLost));
    let later = plain(&stand.pass(10 * SECOND));
    assert!(sends(&later).iter().all(|(id, _)| *id != 1), "the wait outlasts the window: {later:?}");
}

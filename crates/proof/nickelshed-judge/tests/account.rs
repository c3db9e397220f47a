//! Short histories with known slot time and latency.
use nickelshed_judge::*;

const MS: Us = 1_000;
const SLOW_START: Us = 9_500 * MS;

fn submission(message: u64, dest: u64) -> EventKind {
    let id = format!("m{message}");
    EventKind::HandedIn {
        sender: 0,
        id,
        message,
        class: 0,
        effect: Effect::Keyed,
        dest,
        lifetime: 9_000 * MS,
    }
}

fn call(call: u64, message: u64, dest: u64, first_byte: Us) -> EventKind {
    let ids = vec![format!("m{message}")];
    let (endpoint, route, site, work) = (0, None, 0, 1.0);
    EventKind::Call { call, sender: 0, endpoint, dest, route, site, ids, work, first_byte }
}

fn call_end(call: u64, status: Option<u16>) -> EventKind {
    EventKind::Over {
        call,
        end: status.map_or(CallEnd::Closed, |status| CallEnd::Answered { status, retry_after: 0 }),
    }
}

fn account_of(history: Vec<(Us, EventKind)>) -> TimeAccount {
    let events: Vec<Event> = history.into_iter().map(|(ms, kind)| Event { at: ms * MS, kind }).collect();
    account_time(
        &events,
        &[ValueFunction { target_latency: 1_000 * MS, full_value: 1.0, min_value_fraction: 0.3 }],
        SLOW_START,
    )
}

#[test]
fn slot_time_is_split_by_state_first_attempt_and_delivery() {
    let account = account_of(vec![
        (0, submission(1, 7)),
        (10, call(1, 1, 7, 10 * MS)),
        (110, call_end(1, Some(200))),
        (200, EventKind::OutageBegan { dest: 7, route: None }),
        (300, submission(2, 7)),
        (310, call(2, 2, 7, 310 * MS)),
        (810, call_end(2, None)),
        (900, call(3, 2, 7, 900 * MS)),
        (1_200, call_end(3, None)),
        (1_300, EventKind::OutageEnded { dest: 7, route: None, capacity: 5.0 }),
        (1_400, call(4, 2, 7, 1_400 * MS)),
        (1_600, call_end(4, Some(200))),
    ]);
    let slots: Vec<_> = account.slot_time.into_iter().collect();
    let expected = [
        ((DestinationState::Well, true, true), 100 * MS),
        ((DestinationState::Unseen, true, false), 500 * MS),
        ((DestinationState::Sick, false, false), 300 * MS),
        ((DestinationState::Returning, false, true), 200 * MS),
    ];
    assert_eq!(slots, expected);
    // Delivered 1.3 s after submission; the longest phase is the first call, 0.5 s.
    assert_eq!(
        account.late_causes.into_iter().collect::<Vec<_>>(),
        [((DestinationState::Unseen, MessagePhase::OutInVain), 1)]
    );
}

#[test]
fn a_message_in_time_has_no_late_cause_and_a_queued_late_one_has() {
    let account = account_of(vec![
        (0, EventKind::OutageBegan { dest: 8, route: None }),
        (0, submission(1, 7)),
        (0, submission(2, 7)),
        (500, call(1, 1, 7, 500 * MS)),
        (600, call_end(1, Some(200))),
        (1_500, call(2, 2, 7, 1_500 * MS)),
        (1_600, call_end(2, Some(200))),
    ]);
    assert_eq!(
        account.late_causes.into_iter().collect::<Vec<_>>(),
        [((DestinationState::Well, MessagePhase::Held), 1)]
    );
    assert_eq!(
        account.healthy_p99_ms,
        (0.0, 600.0),
        "both were submitted while another destination was unavailable"
    );
}

#[test]
fn wasted_fraction_is_zero_without_calls_and_counts_calls_that_deliver_nothing() {
    assert_eq!(account_of(Vec::new()).wasted_fraction(), 0.0);
    let account = account_of(vec![
        (0, submission(1, 7)),
        (0, call(1, 1, 7, 0)),
        (300, call_end(1, Some(503))),
        (300, call(2, 1, 7, 300 * MS)),
        (400, call_end(2, Some(200))),
    ]);
    assert!((account.wasted_fraction() - 0.75).abs() < 1e-9);
}

//! Small days whose slots and time are known.
use nickelshed_judge::*;

const MS: Us = 1_000;
const COLD: Us = 9_500 * MS;

fn handed(message: u64, dest: u64) -> EventKind {
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
    let (endpoint, route, room, work) = (0, None, 0, 1.0);
    EventKind::Call { call, sender: 0, endpoint, dest, route, site: room, ids, work, first_byte }
}

fn over(call: u64, status: Option<u16>) -> EventKind {
    EventKind::Over {
        call,
        end: status.map_or(CallEnd::Closed, |status| CallEnd::Answered { status, retry_after: 0 }),
    }
}

fn booked(days: Vec<(Us, EventKind)>) -> TimeAccount {
    let events: Vec<Event> = days.into_iter().map(|(ms, what)| Event { at: ms * MS, kind: what }).collect();
    account_time(
        &events,
        &[ValueFunction { target_latency: 1_000 * MS, full_value: 1.0, min_value_fraction: 0.3 }],
        COLD,
    )
}

#[test]
fn slots_are_booked_by_state_try_and_use() {
    let a = booked(vec![
        (0, handed(1, 7)),
        (10, call(1, 1, 7, 10 * MS)),
        (110, over(1, Some(200))),
        (200, EventKind::OutageBegan { dest: 7, route: None }),
        (300, handed(2, 7)),
        (310, call(2, 2, 7, 310 * MS)),
        (810, over(2, None)),
        (900, call(3, 2, 7, 900 * MS)),
        (1_200, over(3, None)),
        (1_300, EventKind::OutageEnded { dest: 7, route: None, capacity: 5.0 }),
        (1_400, call(4, 2, 7, 1_400 * MS)),
        (1_600, over(4, Some(200))),
    ]);
    let slots: Vec<_> = a.slot_time.into_iter().collect();
    let expected = [
        ((DestinationState::Well, true, true), 100 * MS),
        ((DestinationState::Unseen, true, false), 500 * MS),
        ((DestinationState::Sick, false, false), 300 * MS),
        ((DestinationState::Returning, false, true), 200 * MS),
    ];
    assert_eq!(slots, expected);
    // 1.3 s in all, of which it was longest out in the first call.
    assert_eq!(
        a.late_causes.into_iter().collect::<Vec<_>>(),
        [((DestinationState::Unseen, MessagePhase::OutInVain), 1)]
    );
}

#[test]
fn what_is_in_time_has_no_cause_and_what_is_held_for_others_has() {
    let a = booked(vec![
        (0, EventKind::OutageBegan { dest: 8, route: None }),
        (0, handed(1, 7)),
        (0, handed(2, 7)),
        (500, call(1, 1, 7, 500 * MS)),
        (600, over(1, Some(200))),
        (1_500, call(2, 2, 7, 1_500 * MS)),
        (1_600, over(2, Some(200))),
    ]);
    assert_eq!(
        a.late_causes.into_iter().collect::<Vec<_>>(),
        [((DestinationState::Well, MessagePhase::Held), 1)]
    );
    assert_eq!(a.healthy_p99_ms, (0.0, 600.0), "both were handed in while another one was out");
}

#[test]
fn a_part_of_nothing_is_nothing_and_what_delivers_nothing_is_in_vain() {
    assert_eq!(booked(Vec::new()).wasted_fraction(), 0.0);
    let a = booked(vec![
        (0, handed(1, 7)),
        (0, call(1, 1, 7, 0)),
        (300, over(1, Some(503))),
        (300, call(2, 1, 7, 300 * MS)),
        (400, over(2, Some(200))),
    ]);
    assert!((a.wasted_fraction() - 0.75).abs() < 1e-9);
}

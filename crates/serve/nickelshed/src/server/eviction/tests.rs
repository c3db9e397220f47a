use super::*;

fn candidates(list: &[(u64, Phase, u64)]) -> Vec<Candidate> {
    let candidate = |&(connection_id, phase, age_ms): &(u64, Phase, u64)| Candidate {
        connection_id,
        phase,
        age: Duration::from_millis(age_ms),
    };
    list.iter().map(candidate).collect()
}

fn for_memory(list: &[(u64, Phase, u64)], count: usize) -> Vec<u64> {
    evicted_for_memory(candidates(list).into_iter(), count)
}

fn for_slot(list: &[(u64, Phase, u64)]) -> Option<u64> {
    evicted_for_slot(candidates(list).into_iter())
}

/// Guards against closing a connection whose complete request is owed an answer.
#[test]
fn connection_with_a_complete_request_is_never_closed() {
    assert_eq!(
        for_memory(&[(1, Phase::Answering, 10_000), (2, Phase::Waiting, 60_000)], 9),
        Vec::<u64>::new()
    );
    assert_eq!(for_slot(&[(1, Phase::Answering, 10_000), (2, Phase::Receiving, 2_000)]), None);
}

#[test]
fn memory_is_taken_from_idle_connections_before_requests_that_arrive_slowly() {
    let connections = [
        (1, Phase::Receiving, 300),
        (2, Phase::Idle, 2_000),
        (3, Phase::Idle, 3_000),
        (4, Phase::Receiving, 2_400),
        (5, Phase::Idle, 1_999),
        (6, Phase::Receiving, 249),
        (7, Phase::Idle, 499),
        (8, Phase::Silent, 9_000),
    ];
    assert_eq!(for_memory(&connections, usize::MAX), [3, 2, 4, 1, 5]);
    assert_eq!(for_memory(&connections, 3), [3, 2, 4]);
    assert_eq!(for_memory(&connections, 0), Vec::<u64>::new());
}

#[test]
fn slot_is_taken_from_the_connection_that_has_been_quiet_longest() {
    assert_eq!(for_slot(&[(1, Phase::Silent, 499), (2, Phase::Idle, 1_999)]), None);
    assert_eq!(
        for_slot(&[(1, Phase::Silent, 600), (2, Phase::Idle, 2_100), (3, Phase::Silent, 700)]),
        Some(2)
    );
}

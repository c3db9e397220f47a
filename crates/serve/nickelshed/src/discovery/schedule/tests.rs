use super::*;

use std::collections::BTreeSet;

const MS: u64 = 1_000;

/// The pause after a failed request to a discovery whose answers are not late.
fn pause_after(schedule: &mut RequestSchedule, failure: Failure) -> Duration {
    schedule.failed(failure, Duration::ZERO, Duration::ZERO)
}

/// A queueing model of discovery. Requests are answered one at a time, each in the same time. A request that
/// has waited for `MAX_QUEUE_TIME` is rejected, although its place in the queue still costs the work.
const MAX_QUEUE_TIME: u64 = 2_000 * MS;
const MAX_SERVICE_TIME: u64 = 50 * MS;
/// The times in which discovery can answer each of any number of senders once.
const FLEET_ANSWER_TIMES: [u64; 3] = [2_000 * MS, 4_000 * MS, 8_000 * MS];

/// The time for one answer at a discovery that answers so many senders in that time.
fn service_time(senders: u64, fleet_answer_time: u64) -> u64 {
    (fleet_answer_time / senders).min(MAX_SERVICE_TIME)
}

/// Simulates senders that start together. Returns when the last one got its answer, or None if that takes
/// more than two minutes, and how many requests were rejected. Times are in microseconds.
fn simulate_queue(
    senders: u64,
    service_time: u64,
    initial_delay: impl Fn(u64) -> u64,
    pause_after_failure: impl Fn(u64) -> u64,
) -> (Option<u64>, u32) {
    let mut requests: BTreeSet<(u64, u64)> = (0..senders).map(|s| (initial_delay(s), s)).collect();
    let (mut free_at, mut last_answer, mut rejected) = (0u64, 0, 0);
    while let Some((at, sender)) = requests.pop_first() {
        if at > 120_000 * MS {
            return (None, rejected);
        }
        free_at = free_at.max(at) + service_time;
        if free_at - at > MAX_QUEUE_TIME {
            rejected += 1;
            requests.insert((at + MAX_QUEUE_TIME + pause_after_failure(sender), sender));
        } else {
            last_answer = last_answer.max(free_at);
        }
    }
    (Some(last_answer), rejected)
}

fn simulate_fleet_start(senders: u64, service_time: u64, seed: u64) -> (Option<u64>, u32) {
    let schedules =
        (0..senders).map(|s| RequestSchedule::new(DiscoveryMode::Shared, senders as usize, seed * 1_000 + s));
    let schedules: Vec<_> = schedules.map(std::cell::RefCell::new).collect();
    let micros = |d: Duration| d.as_micros() as u64;
    let schedule = |s: u64| schedules[s as usize].borrow_mut();
    simulate_queue(
        senders,
        service_time,
        |s| micros(schedule(s).initial_delay()),
        |s| micros(pause_after(&mut schedule(s), Failure::Rejected)),
    )
}

#[test]
fn simultaneous_start_does_not_overload_discovery() {
    for seed in 1..=20 {
        for senders in [2, 10, 30, 100, 300, 350, 900] {
            for fleet_answer_time in FLEET_ANSWER_TIMES {
                let (last, rejected) =
                    simulate_fleet_start(senders, service_time(senders, fleet_answer_time), seed);
                let last = last.expect("all senders get an answer");
                // The time for all, and as long again for those that were rejected.
                assert!(
                    last < 2 * fleet_answer_time + MAX_QUEUE_TIME,
                    "{senders} senders, {fleet_answer_time} us for all: {last} us"
                );
                assert!(u64::from(rejected) < senders, "{senders} senders: {rejected} rejected");
            }
        }
    }
}

/// Guards against senders that overload discovery after an outage: it recovers all at once, and every sender
/// asks within its first pause.
#[test]
fn fleet_gets_its_answers_after_discovery_recovers() {
    for (senders, fleet_answer_time) in
        [2, 30, 60, 100, 350, 900].into_iter().flat_map(|s| FLEET_ANSWER_TIMES.map(|time| (s, time)))
    {
        let schedules =
            (0..senders).map(|s| RequestSchedule::new(DiscoveryMode::Shared, senders as usize, s));
        let schedules: Vec<_> = schedules.map(std::cell::RefCell::new).collect();
        let pause = |s: u64, failure| {
            pause_after(&mut schedules[s as usize].borrow_mut(), failure).as_micros() as u64
        };
        let first_retry = |s| {
            for _ in 0..3 {
                pause(s, Failure::Unavailable);
            }
            pause(s, Failure::Unavailable)
        };
        let service_time = service_time(senders, fleet_answer_time);
        let (last, rejected) =
            simulate_queue(senders, service_time, first_retry, |s| pause(s, Failure::Rejected));
        let last = last.expect("all senders get an answer");
        println!(
            "{senders} senders, {} ms for all: the last after {} ms, {rejected} rejected",
            fleet_answer_time / MS,
            last / MS
        );
        // As many senders as discovery can answer in six seconds are answered in six seconds.
        assert!(senders * service_time > 4_000 * MS || last < 6_000 * MS, "{senders} senders: {last} us");
        assert!(last < 90_000 * MS, "{senders} senders: {last} us");
    }
}

#[test]
fn retrying_at_once_or_always_within_three_seconds_would_keep_discovery_overloaded() {
    let service_time = MAX_SERVICE_TIME;
    assert_eq!(simulate_queue(100, service_time, |_| 0, |_| 100 * MS).0, None);
    let mut random = fastrand::Rng::with_seed(7);
    let mut next_pause = || (random.f64() * 2_800.0) as u64 * MS;
    let starts: Vec<u64> = (0..350).map(|_| next_pause()).collect();
    let next_pause = std::cell::RefCell::new(next_pause);
    assert_eq!(
        simulate_queue(350, service_time, |s| starts[s as usize], |_| next_pause.borrow_mut()()).0,
        None
    );
}

/// The longest time in which an update may arrive, once discovery has it and can be reached.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);
/// The time that an overloaded discovery takes for an answer.
const SLOW_ANSWER: Duration = Duration::from_secs(2);
/// How long the process may be held up between reading its clock and writing.
const HOLD_UP: Duration = Duration::from_millis(150);

/// Guards against missing an update for longer than allowed because of a rejection, however many there were
/// before and however many senders share discovery, and because of the delays without any failure.
#[test]
fn next_request_comes_in_time_after_any_answer_and_after_startup() {
    for mode in [DiscoveryMode::Agent, DiscoveryMode::Shared] {
        for senders in [0, 1, 2, 30, 57, 58, 59, 300, 900, 100_000, usize::MAX] {
            for seed in 0..100 {
                let mut schedule = RequestSchedule::new(mode, senders, seed);
                let latest = |delay: Duration| delay + HOLD_UP + SLOW_ANSWER;
                assert!(latest(schedule.initial_delay()) < MAX_UPDATE_DELAY, "{mode:?}, {senders} senders");
                assert!(
                    latest(schedule.premature_return(Duration::ZERO)) < MAX_UPDATE_DELAY,
                    "{mode:?}, {senders} senders"
                );
                for failure in [Failure::Rejected, Failure::Unavailable, Failure::ListTooLarge] {
                    for _ in 0..12 {
                        let pause = pause_after(&mut schedule, failure);
                        assert!(latest(pause) < MAX_UPDATE_DELAY, "{mode:?}, {senders} senders: {pause:?}");
                    }
                    schedule.succeeded();
                }
            }
        }
    }
}

#[test]
fn pauses_are_spread_below_a_ceiling_that_doubles_up_to_a_maximum() {
    // The range of each pause, in milliseconds beyond the lowest pause of all.
    let ranges = |senders: usize, failure: Failure, expected: &[(u64, u64)]| {
        let mut schedule = RequestSchedule::new(DiscoveryMode::Shared, senders, 1);
        for (floor, ceiling) in expected {
            let [floor, ceiling] =
                [*floor, *ceiling].map(|bound| MIN_BACKOFF_CEILING / 2 + Duration::from_millis(bound));
            let eighth = (ceiling - floor) / 8;
            let pauses: Vec<Duration> = (0..400)
                .map(|seed| {
                    let failures = schedule.failures;
                    let new = RequestSchedule::new(DiscoveryMode::Shared, senders, seed);
                    pause_after(&mut RequestSchedule { failures, ..new }, failure)
                })
                .collect();
            assert!(pauses.iter().all(|p| *p >= floor && *p <= ceiling), "{senders} {failure:?} {ceiling:?}");
            assert!(
                pauses.iter().any(|p| *p < floor + eighth) && pauses.iter().any(|p| *p > ceiling - eighth)
            );
            pause_after(&mut schedule, failure);
        }
        schedule.succeeded();
        assert!(
            pause_after(&mut schedule, failure)
                <= MIN_BACKOFF_CEILING / 2 + Duration::from_millis(expected[0].1)
        );
    };
    let highest = (0, 2_800);
    ranges(11, Failure::Unavailable, &[(0, 500), (0, 1_000), (0, 2_000), highest, highest, highest]);
    ranges(100, Failure::Unavailable, &[highest, highest, highest, highest]);
    // With that many senders, or that many rejections, shorter pauses could keep discovery overloaded.
    let overloaded = (2_775, 3_700);
    ranges(11, Failure::Rejected, &[(0, 500), (0, 1_000), (0, 2_000), overloaded, overloaded]);
    ranges(100, Failure::Rejected, &[overloaded, overloaded, overloaded]);
    ranges(100_000, Failure::Rejected, &[overloaded, overloaded]);
}

#[test]
fn pauses_are_bounded_for_any_number_of_senders() {
    for senders in [0, 1, 2, 100_000, usize::MAX] {
        let mut schedule = RequestSchedule::new(DiscoveryMode::Shared, senders, 7);
        assert!(schedule.initial_delay() <= longest_pause(Duration::ZERO));
        let pauses: Vec<Duration> = (0..100).map(|_| pause_after(&mut schedule, Failure::Rejected)).collect();
        assert!(pauses.iter().all(|pause| *pause >= MIN_BACKOFF_CEILING / 2
            && *pause <= longest_pause(Duration::ZERO) + MIN_BACKOFF_CEILING));
    }
    let mut alone = RequestSchedule::new(DiscoveryMode::Shared, 1, 7);
    assert_eq!(alone.initial_delay(), Duration::ZERO, "a single sender does not wait");
}

/// At the latest this long after an agent was sent an update, the sender is expected to know it.
const MAX_AGENT_UPDATE_DELAY: Duration = Duration::from_secs(6);

#[test]
fn agent_is_asked_at_once_and_retried_in_time_for_any_number_of_senders() {
    for senders in [0, 1, 2, 100, 300, 100_000, usize::MAX] {
        let mut schedule = RequestSchedule::new(DiscoveryMode::Agent, senders, 7);
        assert_eq!(schedule.initial_delay(), Duration::ZERO);
        for _ in 0..1_000 {
            let pause = pause_after(&mut schedule, Failure::Unavailable);
            assert!(pause >= MIN_BACKOFF_CEILING / 2 && pause < Duration::from_millis(500));
            // Two lost requests for a full list, and the third one.
            assert!((schedule.full_list_interval(false) + pause) * 3 < MAX_AGENT_UPDATE_DELAY);
            assert!((schedule.full_list_interval(true) + pause) * 3 < MAX_AGENT_UPDATE_DELAY);
            assert!(schedule.poll_pause() < Duration::from_millis(500));
        }
        schedule.succeeded();
        // Soon enough for changes in between to belong to the same watch.
        assert!(pause_after(&mut schedule, Failure::Unavailable) < Duration::from_millis(200));
    }
}

#[test]
fn watch_that_returns_prematurely_without_changes_is_not_repeated_at_once() {
    for senders in [0, 1, 30, 300, usize::MAX] {
        let agent_pause =
            RequestSchedule::new(DiscoveryMode::Agent, senders, 7).premature_return(Duration::ZERO);
        assert!(
            agent_pause >= MIN_BACKOFF_CEILING && agent_pause < Duration::from_millis(200),
            "the pause belongs to the same watch: {agent_pause:?}"
        );
        let mut shared = RequestSchedule::new(DiscoveryMode::Shared, senders, 7);
        let pauses: Vec<Duration> = (0..400).map(|_| shared.premature_return(Duration::ZERO)).collect();
        assert!(pauses
            .iter()
            .all(|pause| *pause >= MIN_BACKOFF_CEILING && *pause <= longest_pause(Duration::ZERO)));
        assert!(
            senders < 30 || pauses.iter().max().unwrap() > &Duration::from_secs(1),
            "{senders} senders: pauses are spread"
        );
        assert!(!shared.is_failing(), "not a failure");
    }
}

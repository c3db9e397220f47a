use super::*;

use std::collections::BTreeSet;

const MS: u64 = 1_000;

/// Discovery as a queue: calls are answered one by one, each after `SERVICE`, and who has waited for `PATIENCE` is
/// turned away, though its place in the queue was worked for all the same.
const SERVICE: u64 = 50 * MS;
const PATIENCE: u64 = 2_000 * MS;

/// When the last of so many senders that start together has its answer, and how many were turned away; None after
/// two minutes. Times are in microseconds.
fn all_answered(senders: u64, first: impl Fn(u64) -> u64, failed: impl Fn(u64) -> u64) -> (Option<u64>, u32) {
    let mut asks: BTreeSet<(u64, u64)> = (0..senders).map(|s| (first(s), s)).collect();
    let (mut free_at, mut last, mut turned_away) = (0u64, 0, 0);
    while let Some((at, sender)) = asks.pop_first() {
        if at > 120_000 * MS {
            return (None, turned_away);
        }
        free_at = free_at.max(at) + SERVICE;
        if free_at - at > PATIENCE {
            turned_away += 1;
            asks.insert((at + PATIENCE + failed(sender), sender));
        } else {
            last = last.max(free_at);
        }
    }
    (Some(last), turned_away)
}

fn fleet(senders: u64, seed: u64) -> (Option<u64>, u32) {
    let each = (0..senders).map(|s| Asking::new(DiscoveryMode::Shared, senders as usize, seed * 1_000 + s));
    let each: Vec<_> = each.map(std::cell::RefCell::new).collect();
    let micros = |d: Duration| d.as_micros() as u64;
    let asking = |s: u64| each[s as usize].borrow_mut();
    all_answered(senders, |s| micros(asking(s).first()), |s| micros(asking(s).failed(Failure::TurnedAway)))
}

#[test]
fn a_fleet_that_starts_together_does_not_keep_discovery_down() {
    for seed in 1..=20 {
        for senders in [2, 10, 30, 100, 300, 350] {
            let (last, turned_away) = fleet(senders, seed);
            let last = last.expect("all are answered in the end");
            // Once round all of them, and as long again for those that met a crowd.
            assert!(last < 2 * senders.max(4) * SERVICE + PATIENCE, "{senders} senders: {last} us");
            assert!(u64::from(turned_away) < senders, "{senders} senders: {turned_away} turned away");
        }
    }
}

/// Discovery was down for all, and is back at once: every sender asks within its first pause.
#[test]
fn a_fleet_whose_discovery_comes_back_gets_its_answers() {
    for senders in [2, 30, 60, 100, 350] {
        let each = (0..senders).map(|s| Asking::new(DiscoveryMode::Shared, senders as usize, s));
        let each: Vec<_> = each.map(std::cell::RefCell::new).collect();
        let pause = |s: u64, failure| each[s as usize].borrow_mut().failed(failure).as_micros() as u64;
        let first = |s| {
            for _ in 0..3 {
                pause(s, Failure::Unreached);
            }
            pause(s, Failure::Unreached)
        };
        let (last, turned_away) = all_answered(senders, first, |s| pause(s, Failure::TurnedAway));
        let last = last.expect("all are answered in the end");
        println!("{senders} senders: the last after {} ms, {turned_away} turned away", last / MS);
        // What it can answer in six seconds is answered in them.
        assert!(senders > 60 || last < 6_000 * MS, "{senders} senders: {last} us");
        assert!(last < 90_000 * MS, "{senders} senders: {last} us");
    }
}

#[test]
fn asking_again_at_once_or_within_three_seconds_for_ever_would_keep_it_down() {
    assert_eq!(all_answered(100, |_| 0, |_| 100 * MS).0, None);
    let mut random = fastrand::Rng::with_seed(7);
    let mut within = || (random.f64() * 2_800.0) as u64 * MS;
    let starts: Vec<u64> = (0..350).map(|_| within()).collect();
    let within = std::cell::RefCell::new(within);
    assert_eq!(all_answered(350, |s| starts[s as usize], |_| within.borrow_mut()()).0, None);
}

/// The longest that news may take which discovery has, once it can be reached.
const NEWS: Duration = Duration::from_secs(6);
/// A connection that is made and an answer.
const ANSWER: Duration = Duration::from_millis(100);

#[test]
fn an_ask_that_is_lost_as_discovery_comes_back_is_made_again_in_time_whoever_is_asked() {
    for lister in [DiscoveryMode::Agent, DiscoveryMode::Shared] {
        for senders in [1, 2, 30, 350, 100_000] {
            for seed in 0..100 {
                let mut asking = Asking::new(lister, senders, seed);
                for failures in 0..12 {
                    let lost = asking.grace(failures > 0)
                        + if failures > 0 { asking.wait() } else { Duration::ZERO };
                    let pause = asking.failed(Failure::Unreached);
                    assert!(
                        lost + pause + ANSWER < NEWS,
                        "{lister:?}, {senders} senders: {lost:?} and {pause:?}"
                    );
                }
                // Nor does an answer that is no list change that, unless very many share it.
                let pause = asking.failed(Failure::TurnedAway);
                assert!(senders > 50 && lister == DiscoveryMode::Shared || pause + ANSWER < NEWS);
            }
        }
    }
}

#[test]
fn pauses_are_spread_over_a_ceiling_that_doubles_and_has_an_end() {
    let ceilings = |senders: usize, failure: Failure, expected: &[u64]| {
        let mut asking = Asking::new(DiscoveryMode::Shared, senders, 1);
        for ceiling in expected {
            let ceiling = LEAST / 2 + Duration::from_millis(*ceiling);
            let pauses: Vec<Duration> = (0..400)
                .map(|seed| {
                    let failures = asking.failures;
                    Asking { failures, ..Asking::new(DiscoveryMode::Shared, senders, seed) }.failed(failure)
                })
                .collect();
            assert!(
                pauses.iter().all(|p| *p >= LEAST / 2 && *p <= ceiling),
                "{senders} {failure:?} {ceiling:?}"
            );
            assert!(pauses.iter().any(|p| *p < ceiling / 8) && pauses.iter().any(|p| *p > ceiling * 7 / 8));
            asking.failed(failure);
        }
        asking.answered();
        assert!(asking.failed(failure) <= LEAST / 2 + Duration::from_millis(expected[0]));
    };
    ceilings(11, Failure::Unreached, &[500, 1_000, 2_000, 2_800, 2_800, 2_800]);
    ceilings(100, Failure::Unreached, &[2_800, 2_800, 2_800, 2_800]);
    ceilings(11, Failure::TurnedAway, &[500, 1_000, 2_000, 2_800, 2_800]);
    // Two rounds of so many, who keep it down otherwise.
    ceilings(100, Failure::TurnedAway, &[9_900, 9_900, 9_900]);
    ceilings(100_000, Failure::TurnedAway, &[40_000, 40_000]);
}

#[test]
fn any_number_of_senders_gives_waits_that_pass() {
    for senders in [0, 1, 2, 100_000, usize::MAX] {
        let mut asking = Asking::new(DiscoveryMode::Shared, senders, 7);
        assert!(asking.first() <= LONGEST_ROUND);
        let waits: Vec<Duration> = (0..100).map(|_| asking.failed(Failure::TurnedAway)).collect();
        assert!(waits.iter().all(|w| *w >= LEAST / 2 && *w <= MOST_CROWDED + LEAST));
    }
    let mut alone = Asking::new(DiscoveryMode::Shared, 1, 7);
    assert_eq!(alone.first(), Duration::ZERO, "who is alone waits for nobody");
}

/// What an agent has counts as told at the latest so long after it was sent, and for a watch so long after its
/// wait; then a drain has its grace of a second.
const TOLD: Duration = Duration::from_secs(6);
const TOLD_AFTER_WAIT: Duration = Duration::from_secs(2);

#[test]
fn an_agent_is_asked_at_once_however_many_senders_there_are_and_again_before_its_news_count() {
    for senders in [0, 1, 2, 100, 300, 100_000, usize::MAX] {
        let mut asking = Asking::new(DiscoveryMode::Agent, senders, 7);
        assert_eq!(asking.first(), Duration::ZERO);
        for _ in 0..1_000 {
            let pause = asking.failed(Failure::Unreached);
            assert!(pause >= LEAST / 2 && pause < Duration::from_millis(500));
            // A watch that was lost, and the ask after it.
            assert!(asking.grace(true) + pause < TOLD_AFTER_WAIT);
            // Two whole lists that were lost, and the third.
            assert!((asking.grace(false) + pause) * 3 < TOLD);
        }
        asking.answered();
        // Soon enough for what changes meanwhile to belong to the same watch.
        assert!(asking.failed(Failure::Unreached) < Duration::from_millis(200));
    }
}

/// What an agent gets at the return counts at once, and a drain has its grace of a second.
#[test]
fn an_agent_that_is_silent_is_asked_often_enough_to_hear_at_its_return_what_counts_then() {
    for seed in 0..200 {
        let mut asking = Asking::new(DiscoveryMode::Agent, 300, seed);
        assert_eq!(asking.wait(), WAIT);
        asking.lost();
        for _ in 0..50 {
            assert_eq!(asking.wait(), Duration::ZERO);
            assert!(asking.grace(true) + asking.failed(Failure::Unreached) < Duration::from_secs(1));
        }
        asking.answered();
        assert_eq!((asking.wait(), asking.grace(true)), (WAIT, GRACE_AGENT));
    }
    let mut shared = Asking::new(DiscoveryMode::Shared, 300, 7);
    shared.failed(Failure::Unreached);
    assert_eq!(shared.wait(), WAIT_AGAIN, "a watch all the same, which goes on once it is let in");
}

#[test]
fn a_watch_that_is_answered_early_with_nothing_is_no_reason_to_ask_on_at_once() {
    for senders in [0, 1, 30, 300, usize::MAX] {
        let agent = Asking::new(DiscoveryMode::Agent, senders, 7).early();
        assert!(agent >= LEAST && agent < Duration::from_millis(200), "the watch goes on: {agent:?}");
        let mut shared = Asking::new(DiscoveryMode::Shared, senders, 7);
        let waits: Vec<Duration> = (0..400).map(|_| shared.early()).collect();
        assert!(waits.iter().all(|w| *w >= LEAST && *w <= LEAST + EARLY));
        assert!(senders < 30 || waits.iter().max().unwrap() > &Duration::from_secs(1), "{senders} spread");
        assert_eq!(shared.grace(true), GRACE_AGENT, "it has not failed");
    }
}

#[test]
fn a_watch_that_fell_silent_is_opened_anew_before_what_it_missed_counts_whoever_is_asked() {
    for lister in [DiscoveryMode::Agent, DiscoveryMode::Shared] {
        for seed in 0..200 {
            let mut asking = Asking::new(lister, 300, seed);
            asking.answered();
            assert!(asking.grace(true) + asking.lost() + LEAST < TOLD_AFTER_WAIT, "{lister:?}");
        }
    }
    // It is down: asked by all within its ceiling, and not in one moment.
    let mut asking = Asking::new(DiscoveryMode::Shared, 300, 7);
    asking.lost();
    assert_eq!(asking.grace(true), GRACE_AGAIN);
    let pauses: Vec<Duration> = (0..20).map(|_| asking.lost()).collect();
    assert!(pauses.iter().max().unwrap() > &Duration::from_secs(2));
    assert!(pauses.iter().all(|p| *p <= LEAST / 2 + MOST_SHARED));
    asking.answered();
    assert_eq!((asking.grace(true), asking.grace(false)), (GRACE_AGENT, GRACE));
}

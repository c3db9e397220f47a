//! Shares of a limit over random histories of joins, crashes, partitions and stalls, with a simulated view
//! for each member: their sum stays within its bound.
use nickelshed_fleet::quota::{max_total_share, LimitQuota, MembershipSummary};
use nickelshed_fleet::{MemberId, Ns};
use proptest::prelude::*;

const SECOND: Ns = 1_000_000_000;
/// Longest time in seconds until a view shows a change.
const MAX_VIEW_LAG: u64 = 6;

#[derive(Clone, Debug)]
enum Event {
    /// This many members join.
    Join(usize),
    Crash(usize),
    /// Members are split into this many groups that do not reach one another.
    Partition(usize),
    Heal,
    /// One member is stalled for this many seconds.
    Stall(usize, u64),
}

fn event() -> impl Strategy<Value = (u64, Event)> {
    let event = prop_oneof![
        (1..4usize).prop_map(Event::Join),
        (0..40usize).prop_map(Event::Crash),
        (2..4usize).prop_map(Event::Partition),
        Just(Event::Heal),
        (0..40usize, 1..40u64).prop_map(|(index, seconds)| Event::Stall(index, seconds)),
    ];
    (0..30u64, event)
}

struct Member {
    id: u64,
    quota: LimitQuota,
    alive: bool,
    group: usize,
    stalled_until: u64,
    /// When it last resumed from a stall; its local health is degraded for a short time then.
    resumed_at: u64,
    present: Vec<MemberId>,
    failed: Vec<MemberId>,
}

/// Returns the greatest excess of the sum of shares over its bound, while all available headroom is reported.
fn max_excess_over_bound(initial: usize, events: &[(u64, Event)], lags: &[u64]) -> f64 {
    let mut members: Vec<Member> = Vec::new();
    let add_member = |members: &mut Vec<Member>, at: u64, configured: usize| {
        let id = members.len() as u64 + 1;
        members.push(Member {
            id,
            quota: LimitQuota::new(configured, at as Ns * SECOND),
            alive: true,
            group: 0,
            stalled_until: 0,
            resumed_at: 0,
            present: Vec::new(),
            failed: Vec::new(),
        });
    };
    (0..initial).for_each(|_| add_member(&mut members, 0, initial));
    let end = events.iter().map(|(gap, _)| gap).sum::<u64>() + 90;
    let mut schedule: Vec<(u64, &Event)> = Vec::new();
    let mut at = 20;
    for (gap, event) in events {
        at += gap;
        schedule.push((at, event));
    }
    let mut changed_at = 0;
    let mut max_excess: f64 = 0.0;
    let mut headroom = 0.0;
    for second in 0..=end + 20 {
        for (_, event) in schedule.iter().filter(|(at, _)| *at == second) {
            changed_at = second;
            match event {
                Event::Join(count) => (0..*count).for_each(|_| add_member(&mut members, second, initial)),
                Event::Crash(index) => {
                    let count = members.len();
                    members[index % count].alive = false;
                }
                Event::Partition(groups) => {
                    members.iter_mut().enumerate().for_each(|(number, member)| member.group = number % groups)
                }
                Event::Heal => members.iter_mut().for_each(|member| member.group = 0),
                Event::Stall(index, seconds) => {
                    let count = members.len();
                    members[index % count].stalled_until = second + seconds;
                }
            }
        }
        let now = second as Ns * SECOND;
        let running_members: Vec<(u64, usize)> = members
            .iter()
            .filter(|member| member.alive && member.stalled_until <= second)
            .map(|member| (member.id, member.group))
            .collect();
        // A member learns of all members that any member within its reach remembers.
        let known_ids: Vec<(usize, Vec<MemberId>)> = members
            .iter()
            .map(|member| {
                (
                    member.group,
                    member
                        .present
                        .iter()
                        .chain(&member.failed)
                        .copied()
                        .chain([MemberId(member.id)])
                        .collect(),
                )
            })
            .collect();
        for (number, member) in members.iter_mut().enumerate() {
            if !member.alive || member.stalled_until > second {
                continue;
            }
            let resumed = member.stalled_until == second && second > 0;
            if resumed {
                member.resumed_at = second;
            }
            // Each view lags by its own time. Until then it keeps the members that it listed before.
            let view_lag = lags[number % lags.len()] % MAX_VIEW_LAG;
            if second >= changed_at + view_lag || member.present.is_empty() {
                let reachable =
                    running_members.iter().filter(|(id, group)| *id != member.id && *group == member.group);
                member.present = reachable.map(|(id, _)| MemberId(*id)).collect();
                let all =
                    known_ids.iter().filter(|(group, _)| *group == member.group).flat_map(|(_, ids)| ids);
                member.failed = all
                    .copied()
                    .filter(|id| *id != MemberId(member.id) && !member.present.contains(id))
                    .collect();
                member.failed.sort_unstable();
                member.failed.dedup();
            }
            let converged = second >= changed_at + MAX_VIEW_LAG;
            let local_health_degraded = second < member.resumed_at + 2 && member.resumed_at > 0;
            member.quota.record_headroom(now, headroom);
            let (present, failed) = (member.present.clone(), member.failed.clone());
            member.quota.update(
                now,
                &MembershipSummary { present, failed, left: Vec::new(), local_health_degraded, converged },
            );
        }
        let running = members.iter().filter(|member| member.alive && member.stalled_until <= second);
        let sum: f64 = running.map(|member| 1.0 / member.quota.sender_count()).sum();
        headroom = (1.0 - sum).max(0.0);
        let running = members.iter().filter(|member| member.alive && member.stalled_until <= second);
        let joining = running.filter(|member| member.quota.is_joining()).count();
        max_excess = max_excess.max(sum - max_total_share(initial, joining));
    }
    max_excess
}

#[test]
fn two_partitioned_halves_stay_within_the_bound_on_the_total_share() {
    assert!(max_excess_over_bound(20, &[(0, Event::Partition(2))], &[3]) < 1e-9);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn total_share_stays_within_its_bound_in_any_history(
        initial in 2..20usize,
        events in proptest::collection::vec(event(), 1..8),
        lags in proptest::collection::vec(0..MAX_VIEW_LAG, 1..6),
    ) {
        let excess = max_excess_over_bound(initial, &events, &lags);
        prop_assert!(excess < 1e-6, "shares exceed the bound by {excess}");
    }
}

use super::*;
use std::collections::BTreeMap;

const MODES: [DiscoveryMode; 2] = [DiscoveryMode::Shared, DiscoveryMode::Agent];
/// The longest time until a sender knows a change, once discovery has it and can be reached.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);
/// The same for what a lost watch misses, from the end of its wait on.
const MAX_UPDATE_DELAY_AFTER_WATCH: Duration = Duration::from_secs(2);
/// How long after the start a run ends.
const RUN_TIME: Duration = Duration::from_secs(60);
const LIST_BYTES: usize = 60_000;
const HEAD_BYTES: usize = 120;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A model of discovery, and of the way to it. All times are since the start of the run.
#[derive(Clone)]
struct DiscoveryModel {
    /// When the list changes, in ascending order.
    changes: Vec<Duration>,
    /// How late requests arrive and answers are written, from `slow_from` on.
    request_delay: Duration,
    answer_delay: Duration,
    slow_from: Duration,
    /// Delays are drawn at random up to these.
    is_delay_random: bool,
    /// Requests that arrive or wait within this period get no answer.
    silence: std::ops::Range<Duration>,
    /// Requests that arrive within this period are rejected.
    rejection: std::ops::Range<Duration>,
}

impl DiscoveryModel {
    fn with_changes(changes: &[Duration]) -> DiscoveryModel {
        DiscoveryModel {
            changes: changes.to_vec(),
            request_delay: Duration::ZERO,
            answer_delay: ms(1),
            slow_from: Duration::ZERO,
            is_delay_random: false,
            silence: Duration::ZERO..Duration::ZERO,
            rejection: Duration::ZERO..Duration::ZERO,
        }
    }

    fn generation(&self, at: Duration) -> u64 {
        1 + self.changes.iter().filter(|change| **change <= at).count() as u64
    }

    fn delay(&self, at: Duration, delay: Duration, random: &mut fastrand::Rng) -> Duration {
        if at < self.slow_from {
            return ms(1);
        }
        delay.mul_f64(if self.is_delay_random { random.f64() } else { 1.0 })
    }

    /// When the answer to a request arrives, and what it is; `None` if it never arrives.
    fn answer(
        &self,
        sent: Duration,
        kind: RequestKind,
        random: &mut fastrand::Rng,
    ) -> Option<(Duration, Reply)> {
        let arrives = sent + self.delay(sent, self.request_delay, random);
        let asked = kind.generation();
        let next_change = self.changes.iter().copied().find(|change| *change > arrives);
        let written = match asked {
            Some(asked) if asked >= self.generation(arrives) => {
                let waits_until = arrives + kind.wait();
                next_change.map_or(waits_until, |change| change.min(waits_until))
            }
            _ => arrives,
        };
        if arrives < self.silence.end && written >= self.silence.start {
            return None;
        }
        if self.rejection.contains(&arrives) {
            return Some((arrives + self.delay(arrives, self.answer_delay, random), Reply::Rejection));
        }
        let read = written + self.delay(written, self.answer_delay, random);
        let generation = self.generation(written);
        let is_full = asked.is_none();
        let is_empty = asked == Some(generation);
        Some((
            read,
            Reply::List(ListSummary { generation, is_full, is_empty, is_on_reused_connection: false }),
        ))
    }
}

#[derive(Clone, Copy)]
enum Reply {
    List(ListSummary),
    Rejection,
}

/// What one sender did in a run.
struct Outcome {
    /// When each generation was applied.
    known: Vec<(Duration, u64)>,
    /// When each request was sent.
    requests: Vec<Duration>,
    bytes_read: usize,
    most_outstanding: usize,
}

impl Outcome {
    /// How long after each change the sender knew it.
    fn update_delays(&self, model: &DiscoveryModel) -> Vec<Duration> {
        let known_at = |generation: u64| {
            let learned = self.known.iter().find(|(_, known)| *known >= generation);
            learned.map_or(Duration::MAX, |(at, _)| *at)
        };
        let changes = model.changes.iter().enumerate();
        changes.map(|(index, change)| known_at(2 + index as u64).saturating_sub(*change)).collect()
    }
}

/// Runs one sender, which has the list of generation 1 unless `asks_for_list`.
fn run(
    model: &DiscoveryModel,
    mode: DiscoveryMode,
    senders: usize,
    seed: u64,
    asks_for_list: bool,
) -> Outcome {
    let start = Instant::now();
    let mut random = fastrand::Rng::with_seed(seed);
    let mut schedule = RequestSchedule::new(mode, senders, seed);
    let initial_delay = if asks_for_list { Duration::ZERO } else { schedule.initial_delay() };
    let generation = (!asks_for_list).then_some(1);
    let mut plan = RequestPlan::new(start, schedule, generation, initial_delay);
    let mut replies: BTreeMap<(Duration, RequestId), Reply> = BTreeMap::new();
    let mut outcome = Outcome { known: Vec::new(), requests: Vec::new(), bytes_read: 0, most_outstanding: 0 };
    let mut now = Duration::ZERO;
    while now < RUN_TIME {
        let mut actions = Vec::new();
        plan.poll(start + now, &mut actions);
        for action in actions {
            match action {
                Action::Send(request) => {
                    outcome.requests.push(now);
                    if let Some((at, reply)) = model.answer(now, request.kind, &mut random) {
                        replies.insert((at, request.id), reply);
                    }
                }
                Action::Abandon(id) => replies.retain(|(_, replied), _| *replied != id),
            }
        }
        outcome.most_outstanding = outcome.most_outstanding.max(plan.outstanding.len());
        let wake_at = plan.wake_at(start + now) - start;
        assert!(wake_at > now, "the plan would be asked again without end");
        match replies.first_key_value() {
            Some((&(at, id), &reply)) if at <= wake_at => {
                replies.pop_first();
                now = now.max(at);
                apply(&mut plan, &mut outcome, start, now, id, reply);
            }
            _ => now = wake_at,
        }
    }
    outcome
}

fn apply(
    plan: &mut RequestPlan,
    outcome: &mut Outcome,
    start: Instant,
    now: Duration,
    id: RequestId,
    reply: Reply,
) {
    outcome.bytes_read += HEAD_BYTES;
    let list = match reply {
        Reply::Rejection => return plan.failed(start + now, id, Failure::Rejected),
        Reply::List(list) => list,
    };
    if list.is_full {
        outcome.bytes_read += LIST_BYTES;
    }
    if plan.answered(start + now, id, list) == ListUse::Apply {
        outcome.known.push((now, list.generation));
    }
}

fn longest(delays: &[Duration]) -> Duration {
    delays.iter().copied().max().unwrap_or_default()
}

/// Guards against a slow discovery whose answers are never read, or read so late that messages go to the
/// servers of other destinations.
#[test]
fn change_is_known_in_six_seconds_however_late_discovery_answers() {
    for (mode, senders) in MODES.into_iter().flat_map(|m| [3, 30, 100, 300].map(|s| (m, s))) {
        for delay in [0, 300, 700, 1_200, 2_000, 2_600, 2_900, 3_500, 4_500, 5_200, 5_450].map(ms) {
            for (request_delay, answer_delay) in
                [(Duration::ZERO, delay), (delay, Duration::ZERO), (delay / 2, delay / 2)]
            {
                for (seed, is_delay_random) in (1..=12).flat_map(|s| [(s, false), (s, true)]) {
                    let change = ms(12_000 + fastrand::Rng::with_seed(seed).u64(0..15_000));
                    let slow_from = change.saturating_sub(ms(seed * 1_000));
                    let model = DiscoveryModel {
                        request_delay,
                        answer_delay,
                        is_delay_random,
                        slow_from,
                        ..DiscoveryModel::with_changes(&[change])
                    };
                    let outcome = run(&model, mode, senders, seed, false);
                    let took = longest(&outcome.update_delays(&model));
                    assert!(
                        took < MAX_UPDATE_DELAY,
                        "{mode:?}, {senders} senders, {request_delay:?} and {answer_delay:?} late from {slow_from:?}, \
                         change at {change:?}, seed {seed}: known after {took:?}"
                    );
                }
            }
        }
    }
}

/// Guards against requests that are abandoned for others before their answers come.
#[test]
fn answers_that_are_up_to_ten_seconds_late_are_read() {
    for (mode, senders) in MODES.into_iter().flat_map(|m| [3, 20, 43, 300].map(|s| (m, s))) {
        for delay_ms in (0..=9_900).step_by(150) {
            let change = ms(20_000);
            let model =
                DiscoveryModel { answer_delay: ms(delay_ms), ..DiscoveryModel::with_changes(&[change]) };
            for asks_for_list in [false, true] {
                let outcome = run(&model, mode, senders, delay_ms, asks_for_list);
                let took = longest(&outcome.update_delays(&model));
                assert!(took < ms(20_000), "{mode:?}, {senders} senders, {delay_ms} ms late: {took:?}");
            }
        }
    }
}

/// Guards against a change that discovery's answer to the change before it just missed.
#[test]
fn changes_in_quick_succession_are_known_in_six_seconds_from_a_slow_discovery() {
    let delays = [700, 2_000, 2_600, 2_900, 3_500, 3_700, 4_200].map(ms);
    let fleets = [3, 11, 20, 300].into_iter().flat_map(|senders| MODES.map(|mode| (mode, senders)));
    for (mode, senders) in fleets {
        // A large fleet asks a shared discovery less often.
        let latest = if mode == DiscoveryMode::Shared && senders > 20 { ms(3_700) } else { ms(4_200) };
        for delay in delays.into_iter().filter(|delay| *delay <= latest) {
            for seed in 1..=40 {
                let mut random = fastrand::Rng::with_seed(seed);
                let first = ms(20_000 + random.u64(0..8_000));
                let changes = [first, first + ms(random.u64(1..200)), first + ms(random.u64(200..9_000))];
                let model = DiscoveryModel { answer_delay: delay, ..DiscoveryModel::with_changes(&changes) };
                let outcome = run(&model, mode, senders, seed, false);
                let delays = outcome.update_delays(&model);
                assert!(
                    longest(&delays) < MAX_UPDATE_DELAY,
                    "{mode:?}, {senders} senders, {delay:?} late, seed {seed}: {delays:?}"
                );
            }
        }
    }
}

/// Guards against a full list that is given up each time because it is late, at the start and after SIGHUP.
#[test]
fn full_list_and_the_changes_after_it_are_known_in_time_from_a_slow_discovery() {
    for (mode, senders) in MODES.into_iter().flat_map(|m| [3, 30, 100, 300].map(|s| (m, s))) {
        for delay in [0, 700, 1_200, 2_600, 3_500, 3_700].map(ms) {
            for seed in 1..=40 {
                let change = ms(fastrand::Rng::with_seed(seed).u64(1..12_000));
                let model = DiscoveryModel { answer_delay: delay, ..DiscoveryModel::with_changes(&[change]) };
                let outcome = run(&model, mode, senders, seed, true);
                let first = outcome.known.first().map(|(at, _)| *at);
                assert!(
                    first.is_some_and(|at| at <= delay + ms(1)),
                    "{mode:?} {senders} {delay:?}: {first:?}"
                );
                let took = longest(&outcome.update_delays(&model));
                assert!(
                    took < MAX_UPDATE_DELAY,
                    "{mode:?}, {senders} senders, {delay:?} late, change at {change:?}: known after {took:?}"
                );
                assert!(outcome.most_outstanding <= MAX_OUTSTANDING);
            }
        }
    }
}

/// Guards against a request lost as discovery recovers, after which messages go to endpoints that are gone. What
/// an agent has when it recovers is expected to be known at once; a drain is enforced a second later.
#[test]
fn change_is_known_in_time_after_discovery_was_silent() {
    for (mode, senders) in MODES.into_iter().flat_map(|m| [1, 2, 3, 30, 300, 100_000].map(|s| (m, s))) {
        for seed in 1..=200 {
            let mut random = fastrand::Rng::with_seed(seed);
            let begin = ms(8_000 + random.u64(0..6_000));
            let end = begin + ms(random.u64(100..30_000));
            let model = DiscoveryModel {
                silence: begin..end,
                ..DiscoveryModel::with_changes(&[end - ms(1), end + ms(1_500)])
            };
            let outcome = run(&model, mode, senders, seed, false);
            let delays = outcome.update_delays(&model);
            // An agent that is silent is polled at most each half second.
            assert!(outcome.requests.len() < 150, "{mode:?}: {} requests", outcome.requests.len());
            // An outage that ends before the open watch is over is found at the end of that watch.
            let has_been_noticed = end > begin + ms(6_000);
            let limit = match mode {
                DiscoveryMode::Agent if has_been_noticed => ms(1_000),
                _ => MAX_UPDATE_DELAY,
            };
            assert!(
                longest(&delays) < limit,
                "{mode:?}, {senders} senders, silent from {begin:?} to {end:?}: {delays:?}"
            );
        }
    }
}

/// Guards against a watch that is lost while discovery itself can be reached.
#[test]
fn lost_watch_is_replaced_within_two_seconds_of_the_end_of_its_wait() {
    for (mode, senders) in MODES.into_iter().flat_map(|m| [1, 30, 300, 100_000].map(|s| (m, s))) {
        for seed in 1..=200 {
            let lost_at = ms(8_000 + fastrand::Rng::with_seed(seed).u64(0..6_000));
            let change = lost_at + ms(2);
            let model = DiscoveryModel {
                silence: lost_at..lost_at + ms(1),
                ..DiscoveryModel::with_changes(&[change])
            };
            let outcome = run(&model, mode, senders, seed, false);
            let lost_watch = outcome.requests.iter().copied().rfind(|at| *at < change).unwrap();
            let latest = lost_watch + ms(5_000) + MAX_UPDATE_DELAY_AFTER_WATCH;
            assert!(
                change + longest(&outcome.update_delays(&model)) < latest,
                "{mode:?}, {senders} senders, lost at {lost_at:?}, seed {seed}"
            );
        }
    }
}

/// Guards against a fleet that asks all at once when discovery recovers, because a change had aligned its watches.
#[test]
fn aligned_watches_are_spread_while_discovery_is_silent() {
    let aligned_at = ms(10_000);
    let model = DiscoveryModel {
        silence: aligned_at + ms(500)..ms(60_000),
        ..DiscoveryModel::with_changes(&[aligned_at])
    };
    let outcomes = (0..300).map(|seed| run(&model, DiscoveryMode::Shared, 300, seed, false));
    let mut sent: Vec<Duration> = outcomes.flat_map(|outcome| outcome.requests).collect();
    sent.retain(|at| (ms(17_000)..ms(55_000)).contains(at));
    sent.sort_unstable();
    let at_once = |from: &Duration| sent.iter().filter(|at| **at >= *from && **at < *from + ms(250)).count();
    let most = sent.iter().map(at_once).max().unwrap();
    assert!(most <= 75, "{most} requests of 300 senders within 250 ms");
}

/// Guards against missing an update for longer than allowed because of a rejection, also where answers are late.
#[test]
fn change_is_known_in_time_after_rejections_of_a_slow_discovery() {
    for senders in [3, 30, 300, 900] {
        for delay in [0, 1_000, 2_000].map(ms) {
            for seed in 1..=100 {
                let mut random = fastrand::Rng::with_seed(seed);
                let begin = ms(20_000 + random.u64(0..6_000));
                let end = begin + ms(random.u64(100..9_000));
                let model = DiscoveryModel {
                    answer_delay: delay,
                    rejection: begin..end,
                    ..DiscoveryModel::with_changes(&[end])
                };
                let outcome = run(&model, DiscoveryMode::Shared, senders, seed, false);
                let took = longest(&outcome.update_delays(&model));
                // The rejection itself is as late as any answer; discovery was out of reach until it wrote that.
                assert!(
                    took < MAX_UPDATE_DELAY + delay,
                    "{senders} senders, {delay:?} late, rejecting from {begin:?} to {end:?}: {took:?}"
                );
            }
        }
    }
}

/// The requests of 300 senders to discovery in 40 s, and the bytes of its answers to them in the whole run.
fn cost(model: &DiscoveryModel, mode: DiscoveryMode) -> (usize, usize) {
    let outcomes = (0..300).map(|seed| run(model, mode, 300, seed, false));
    let measured = ms(15_000)..ms(55_000);
    outcomes.fold((0, 0), |(requests, bytes), outcome| {
        let sent = outcome.requests.iter().filter(|at| measured.contains(at)).count();
        (requests + sent, bytes + outcome.bytes_read)
    })
}

/// Guards against a fleet that overloads a slow discovery by asking it more often than a fast one.
#[test]
fn slow_discovery_gets_hardly_more_requests_than_a_fast_one() {
    let quiet = DiscoveryModel::with_changes(&[]);
    let (usual, _) = cost(&quiet, DiscoveryMode::Shared);
    for (delay, allowed) in
        [(300, 1.3), (1_000, 1.05), (2_000, 1.05), (2_600, 1.05), (3_500, 2.4), (5_500, 2.4)]
    {
        let slow = DiscoveryModel { answer_delay: ms(delay), ..quiet.clone() };
        let (requests, bytes) = cost(&slow, DiscoveryMode::Shared);
        println!("answers {delay} ms late: {requests} requests, {bytes} bytes; {usual} usually");
        assert!(requests as f64 <= usual as f64 * allowed, "{delay} ms late: {requests}, usually {usual}");
    }
    let silent = DiscoveryModel { silence: ms(10_000)..ms(60_000), ..quiet.clone() };
    let rejecting = DiscoveryModel { rejection: ms(10_000)..ms(60_000), ..quiet };
    for (name, model) in [("silent", silent), ("rejecting", rejecting)] {
        let (requests, _) = cost(&model, DiscoveryMode::Shared);
        println!("{name}: {requests} requests; {usual} usually");
        assert!(requests as f64 <= usual as f64 * 1.6, "{name}: {requests}, usually {usual}");
    }
}

fn watch_list(generation: u64, is_on_reused_connection: bool) -> ListSummary {
    ListSummary { generation, is_full: false, is_empty: true, is_on_reused_connection }
}

fn sent(plan: &mut RequestPlan, now: Instant) -> Option<Request> {
    let mut actions = Vec::new();
    plan.poll(now, &mut actions);
    actions.into_iter().find_map(|action| match action {
        Action::Send(request) => Some(request),
        Action::Abandon(_) => None,
    })
}

#[test]
fn answers_that_overtake_one_another_never_undo_a_newer_list() {
    let start = Instant::now();
    let schedule = RequestSchedule::new(DiscoveryMode::Shared, 1, 1);
    let mut plan = RequestPlan::new(start, schedule, Some(5), Duration::ZERO);
    let first = sent(&mut plan, start).unwrap();
    let second = sent(&mut plan, start + ms(5_300)).unwrap();
    let newer = ListSummary { is_empty: false, ..watch_list(8, false) };
    assert_eq!(plan.answered(start + ms(5_400), second.id, newer), ListUse::Apply);
    let older = ListSummary { is_empty: false, is_full: true, ..watch_list(7, false) };
    assert_eq!(plan.answered(start + ms(5_500), first.id, older), ListUse::Skip);
    // A restarted discovery may count from one again, but a reused connection may repeat an old answer.
    let third = sent(&mut plan, start + ms(5_500)).unwrap();
    assert_eq!(third.kind.generation(), Some(8));
    let earlier = ListSummary { is_full: true, ..watch_list(2, true) };
    assert_eq!(plan.answered(start + ms(5_600), third.id, earlier), ListUse::IgnoreCopy);
    let fourth = sent(&mut plan, start + ms(5_600)).unwrap();
    let restarted = ListSummary { is_on_reused_connection: false, ..earlier };
    assert_eq!(plan.answered(start + ms(5_700), fourth.id, restarted), ListUse::Apply);
    assert_eq!(plan.generation, Some(2));
}

/// Guards against a pause after an answer that tells a newer generation without entries.
#[test]
fn only_a_premature_answer_without_a_newer_generation_is_followed_by_a_pause() {
    let start = Instant::now();
    for mode in MODES {
        let schedule = RequestSchedule::new(mode, 300, 1);
        let mut plan = RequestPlan::new(start, schedule, Some(5), Duration::ZERO);
        let first = sent(&mut plan, start).unwrap();
        assert_eq!(plan.answered(start + ms(10), first.id, watch_list(6, false)), ListUse::Skip);
        let second = sent(&mut plan, start + ms(10)).expect("the next watch follows at once");
        assert_eq!(plan.answered(start + ms(20), second.id, watch_list(6, false)), ListUse::SkipAndClose);
        assert_eq!(sent(&mut plan, start + ms(50)), None, "{mode:?}");
    }
}

/// Guards against requesting a large list again and again while it arrives.
#[test]
fn list_that_is_arriving_is_not_requested_again() {
    let start = Instant::now();
    for mode in MODES {
        let mut plan = RequestPlan::new(start, RequestSchedule::new(mode, 300, 1), None, Duration::ZERO);
        let request = sent(&mut plan, start).unwrap();
        for step in 1..40 {
            let now = start + ms(step * 500);
            plan.progressed(now, request.id);
            assert_eq!(sent(&mut plan, now), None, "{mode:?}");
        }
        assert!(sent(&mut plan, start + ms(20_600)).is_some(), "its progress has stopped");
    }
}

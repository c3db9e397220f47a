//! Runs of complete senders, checked against the delivery rules: reproducibility, scenarios, regression
//! cases, kills, injected faults and removed guards.
use nickelshed_config::sidecar::Effect;
use nickelshed_config::units::{Percent, Period};
use nickelshed_judge::{CallEnd, Event, EventKind, Rule};
use nickelshed_lab::{
    failures, files, minimize, run_fault_points, run_kill_points, run_scenario, run_scenario_with, Failure,
    FaultInjection, FaultPointAction, Mutation, RunOptions, ScenarioRun, Stride,
};
use nickelshed_model::{random_scenario, FaultKind, InjectedFault, Scenario};
use std::path::{Path, PathBuf};

fn scenario_files(name: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../lab").join(name);
    let files = std::fs::read_dir(folder)
        .map(|d| d.flatten().map(|f| f.path()).collect())
        .unwrap_or_else(|_| Vec::new());
    let mut files: Vec<PathBuf> =
        files.into_iter().filter(|p: &PathBuf| p.extension().is_some_and(|e| e == "toml")).collect();
    files.sort();
    files
}

fn event_trace(run: &ScenarioRun) -> String {
    run.events.iter().map(|e| serde_json::to_string(e).unwrap() + "\n").collect()
}

/// A run must not depend on the thread, on earlier runs of the thread, or on runs in parallel.
#[test]
fn same_seed_produces_the_same_events() {
    for seed in [3, 6, 8, 11] {
        let first = event_trace(&run_scenario(&random_scenario(seed), seed).unwrap());
        assert!(first.lines().count() > 500);
        let parallel_runs: Vec<_> = (0..3u64)
            .map(|i| {
                std::thread::spawn(move || {
                    run_scenario(&random_scenario(seed + 100 + i), i).unwrap();
                    event_trace(&run_scenario(&random_scenario(seed), seed).unwrap())
                })
            })
            .collect();
        for other in parallel_runs {
            let other = other.join().unwrap();
            let first_difference = first.lines().zip(other.lines()).position(|(a, b)| a != b);
            assert!(
                other == first,
                "seed {seed}, from event {first_difference:?} on: {:?}",
                first_difference.map(|n| (first.lines().nth(n), other.lines().nth(n)))
            );
        }
        assert!(event_trace(&run_scenario(&random_scenario(seed), seed + 1).unwrap()) != first);
    }
}

/// Scenarios and seeds on which one check is known to fail; `lab/open` describes the causes. The check has to
/// fail there, so that a change that fixes it is noticed.
const KNOWN_VIOLATIONS: [(&str, u64, Rule); 1] = [("large-herd.toml", 3, Rule::Untried)];

#[test]
fn every_scenario_runs_without_violations() {
    let paths = scenario_files("scenarios");
    assert!(paths.len() >= 12);
    for path in paths {
        let scenario = files::read(&path).unwrap();
        for seed in [1, 3] {
            let run = run_scenario(&scenario, seed).unwrap();
            let violations: Vec<Rule> = run.violations.iter().map(|violation| violation.rule).collect();
            let expected = KNOWN_VIOLATIONS
                .iter()
                .filter(|(name, at, _)| path.ends_with(name) && *at == seed)
                .map(|(.., rule)| *rule);
            let expected: Vec<Rule> = expected.collect();
            let (crashes, descriptions) = (
                &run.crashes,
                run.violations.iter().map(|violation| &violation.description).collect::<Vec<_>>(),
            );
            assert!(
                crashes.is_empty() && violations == expected,
                "{} seed {seed}: {crashes:?} {descriptions:?}",
                path.display()
            );
            assert!(run.score.messages > 200);
        }
    }
}

/// Senders in three sites that exchange membership datagrams. A third of the senders are killed, then one
/// site is partitioned from the others.
#[test]
fn fleet_members_violate_no_rule_and_their_runs_are_reproducible() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../lab/scenarios/large-notes.toml");
    let scenario = files::read(&path).unwrap();
    let without_membership =
        run_scenario(&Scenario { membership_enabled: false, ..scenario.clone() }, 1).unwrap();
    let run = run_scenario(&scenario, 1).unwrap();
    assert!(run.is_clean(), "{:?} {:?}", run.crashes, run.violations);
    // Each sender probes another one about once per second while it runs.
    let min_datagrams = u64::from(scenario.senders) * (run.length.as_secs() - 10);
    assert!(
        without_membership.peer_datagrams == 0 && run.peer_datagrams > min_datagrams,
        "{} datagrams",
        run.peer_datagrams
    );
    assert!(event_trace(&run_scenario(&scenario, 1).unwrap()) == event_trace(&run));
}

/// Failing cases that `explore` has found must not fail again.
#[test]
fn regression_cases_stay_fixed() {
    for path in scenario_files("found") {
        let scenario = files::read(&path).unwrap();
        let run = run_scenario(&scenario, scenario.seed.unwrap_or(1)).unwrap();
        assert!(run.is_clean(), "{}: {:?} {:?}", path.display(), run.crashes, run.violations);
    }
}

/// Kills both senders at another time in each run, in steps of 50 ms. The run has a drain, `Retry-After`
/// waits, and an outage that ends in slow start.
#[test]
fn kill_at_any_time_violates_no_rule() {
    let fault = |kind, at: u64, duration_ms: u64| InjectedFault {
        kind,
        at: Period::ms(at),
        duration: Period::ms(duration_ms),
        destination_fraction: Percent(0.5),
        sender_fraction: Percent(1.0),
        magnitude: 2.0,
    };
    let scenario = Scenario {
        length: Period::ms(5_000),
        senders: 2,
        rate: 40.0,
        destinations: 4,
        limit_multiple: 1.5,
        retry_after: Period::ms(600),
        abandoned_after: Period::ms(6_000),
        discovery_delay: Period::ms(100),
        faults: vec![fault(FaultKind::Drain, 1_000, 0), fault(FaultKind::Refused, 1_200, 1_500)],
        ..Scenario::default()
    };
    for kill_ms in (800..4_800).step_by(50) {
        let mut with_kill = scenario.clone();
        with_kill.faults.push(fault(FaultKind::Kill, kill_ms, 0));
        let run = run_scenario(&with_kill, 1).unwrap();
        assert!(run.is_clean(), "killed at {kill_ms} ms: {:?} {:?}", run.crashes, run.violations);
    }
}

/// Kills a sender in every second disk operation, with nothing, half or all of a write done, and at every
/// 499th byte sent. `nickelshed-lab kills lab/scenarios/kills.toml` runs all of these kills.
#[test]
fn kill_in_any_disk_operation_or_at_any_sent_byte_violates_no_rule() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../lab/scenarios/kills.toml");
    let scenario = files::read(&path).unwrap();
    let jobs = std::thread::available_parallelism().map_or(1, |n| n.get());
    let killed = run_kill_points(&scenario, 1, Stride { operations: 2, bytes: 499 }, jobs).unwrap();
    assert!(killed.operations > 300 && killed.bytes > 100, "{killed:?}");
    assert_eq!(killed.failures, []);
}

/// The same fake servers and the same model over real sockets. Timing depends on the machine there, so only
/// properties that do not depend on timing are asserted.
#[test]
fn scenario_runs_over_real_sockets() {
    let scenario = Scenario {
        length: Period::ms(2_500),
        senders: 2,
        rate: 30.0,
        destinations: 3,
        limit_multiple: 0.0,
        abandoned_after: Period::ms(3_000),
        wanted_within: Period::ms(1_500),
        faults: vec![InjectedFault {
            kind: FaultKind::Refused,
            at: Period::ms(500),
            duration: Period::ms(800),
            destination_fraction: Percent(0.3),
            sender_fraction: Percent(1.0),
            magnitude: 1.0,
        }],
        ..Scenario::default()
    };
    let simulated = run_scenario(&scenario, 1).unwrap();
    let real =
        run_scenario_with(&scenario, 1, RunOptions { uses_real_sockets: true, ..RunOptions::default() })
            .unwrap();
    assert_eq!(real.crashes, [] as [String; 0]);
    assert_eq!(real.score.messages, simulated.score.messages);
    assert!(real.score.in_time > 0);
    let violation = |rule| real.violations.iter().find(|violation| violation.rule == rule);
    assert_eq!((violation(Rule::AtOnce), violation(Rule::Twice)), (None, None));
}

#[test]
fn invalid_scenario_is_rejected_with_the_location_of_the_mistake() {
    let parse = |text: &str| files::parse(text, Path::new("day.toml")).unwrap_err();
    assert!(parse("rate = 5\nlenth = \"3s\"\n").starts_with("day.toml:2:1: error[NS101]"));
    assert!(parse("[[trouble]]\nkind = \"silnt\"\nat = \"1s\"\n").contains("Did you mean `silent`?"));
    assert!(parse("rate = 5\nslots = 1\n").starts_with("day.toml:2:1: `slots` is 1"));
    assert!(files::read(Path::new("none.toml")).unwrap_err().contains("cannot read"));
}

/// A scenario that does not show the failure has no failing case to minimize: it comes back unchanged and
/// without a description.
#[test]
fn scenario_without_the_failure_is_not_minimized() {
    let fault = |kind| InjectedFault {
        kind,
        at: Period::ms(2_000),
        duration: Period::ms(3_000),
        destination_fraction: Percent(1.0),
        sender_fraction: Percent(1.0),
        magnitude: 2.0,
    };
    let scenario = Scenario {
        length: Period::ms(8_000),
        effect: nickelshed_config::sidecar::Effect::Safe,
        faults: vec![fault(FaultKind::Slow), fault(FaultKind::Burst), fault(FaultKind::Mute)],
        ..Scenario::default()
    };
    let failure = Failure::Crash;
    assert!(!failures(&run_scenario(&scenario, 1).unwrap()).contains_key(&failure));
    let failing_case = minimize(failure, 1, scenario.clone());
    assert_eq!(
        (failing_case.description.as_str(), failing_case.scenario.faults.len()),
        ("", 3),
        "a scenario that does not show the failure is not minimized"
    );
}

/// Random scenarios alone detect each removed guard. docs/operations/lab.md lists the simulated time that it
/// took.
#[test]
fn every_removed_guard_is_detected() {
    for mutation in Mutation::ALL {
        let mut simulated_hours = 0.0;
        let violates = |run: &ScenarioRun| {
            run.violations.iter().any(|violation| violation.rule == mutation.violated_rule())
        };
        let detecting_seed = (1..=150).find(|&seed| {
            let run = run_scenario_with(
                &random_scenario(seed),
                seed,
                RunOptions { mutation: Some(mutation), ..RunOptions::default() },
            )
            .unwrap();
            simulated_hours += run.length.as_secs_f64() / 3_600.0;
            // The mutation is the cause: the same run without it does not violate the rule.
            violates(&run) && !violates(&run_scenario(&random_scenario(seed), seed).unwrap())
        });
        println!(
            "{mutation:?}: caught by seed {detecting_seed:?} after {simulated_hours:.2} simulated hours"
        );
        assert!(
            detecting_seed.is_some(),
            "{mutation:?} is not detected within {simulated_hours:.1} simulated hours"
        );
    }
}

fn fault_point_scenario() -> nickelshed_model::Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../lab/crossings.toml");
    files::read(&path).unwrap()
}

/// Runs every ninth combination of step and fault. `nickelshed-lab crossings lab/crossings.toml --seed N`
/// runs all of them, also for other seeds.
#[test]
fn fault_at_any_step_of_a_sender_violates_no_rule() {
    let jobs = std::thread::available_parallelism().map_or(1, |n| n.get());
    for seed in [1, 2] {
        let report = run_fault_points(&fault_point_scenario(), seed, 9, 0, jobs).unwrap();
        assert!(report.steps > 100 && report.runs > 300, "{report:?}");
        assert_eq!(report.failures, []);
    }
}

/// As above, with senders at the limit of open messages, so that clients wait to learn whether their message
/// is accepted.
#[test]
fn fault_at_any_step_of_a_full_sender_violates_no_rule() {
    let jobs = std::thread::available_parallelism().map_or(1, |n| n.get());
    let full = Scenario { max_open_messages: 6, rate: 40.0, limit_multiple: 0.4, ..fault_point_scenario() };
    for seed in [1, 2] {
        let baseline = run_scenario(&full, seed).unwrap();
        let submitted_at = |id: &str| {
            let is_submission = |e: &&Event| matches!(&e.kind, EventKind::HandedIn { id: i, .. } if i == id);
            baseline.events.iter().find(is_submission).unwrap().at
        };
        let delayed_answers = baseline.events.iter().filter(|e| match &e.kind {
            EventKind::Heard { id, status: 202 | 503 } => e.at - submitted_at(id) > 100_000,
            _ => false,
        });
        assert!(delayed_answers.count() > 3, "at most 3 clients waited more than 100 ms for an answer");
        let report = run_fault_points(&full, seed, 19, 0, jobs).unwrap();
        assert!(report.runs > 300, "{report:?}");
        assert_eq!(report.failures, []);
    }
}

/// A fault that is never injected would violate no rule either.
#[test]
fn every_injected_fault_changes_its_run() {
    let run = |fault_point| {
        run_scenario_with(&fault_point_scenario(), 1, RunOptions { fault_point, ..RunOptions::default() })
            .unwrap()
    };
    let baseline = run(None);
    for fault in FaultPointAction::ALL {
        let points = baseline
            .counters
            .iter()
            .enumerate()
            .flat_map(|(s, counters)| (0..counters.steps).step_by(4).map(move |n| (s, n)));
        let visible = points.filter(|&(sender, step)| {
            let after = step % 2 == 0;
            run(Some(FaultInjection { sender, step, after, fault })).events != baseline.events
        });
        assert!(visible.count() >= 1, "{fault:?}");
    }
}

/// An endpoint that closes a connection right after accepting it counts as tried. Guards against an attempt
/// that reconnects to such an endpoint until the call times out.
#[test]
fn endpoint_that_closes_new_connections_is_not_retried_within_an_attempt() {
    let scenario =
        Scenario { rate: 2.0, length: Period::ms(2_000), faults: Vec::new(), ..fault_point_scenario() };
    let steps = |fault_point| {
        let run =
            run_scenario_with(&scenario, 1, RunOptions { fault_point, ..RunOptions::default() }).unwrap();
        assert!(run.is_clean(), "{:?}", run.violations);
        run.counters.iter().map(|counters| counters.steps).sum::<u64>()
    };
    let without_fault = steps(None);
    let with_fault =
        steps(Some(FaultInjection { sender: 0, step: 5, after: false, fault: FaultPointAction::EndsNew }));
    assert!(with_fault < without_fault + 60, "{with_fault} steps, {without_fault} without it");
}

/// Clients disconnect at any step. A message whose client disconnected before the answer must not be sent: an
/// unsafe message that the client submits elsewhere would run twice.
#[test]
fn message_of_a_disconnected_client_is_not_sent() {
    let mut sent_calls = Vec::new();
    let baseline = run_scenario(&fault_point_scenario(), 1).unwrap();
    for (sender, counters) in baseline.counters.iter().enumerate() {
        for (step, after) in (0..counters.steps).flat_map(|n| [(n, false), (n, true)]) {
            let fault_point = FaultInjection { sender, step, after, fault: FaultPointAction::ClientsLeave };
            let run = run_scenario_with(
                &fault_point_scenario(),
                1,
                RunOptions { fault_point: Some(fault_point), ..RunOptions::default() },
            )
            .unwrap();
            let disconnects: Vec<(&str, u64)> = run
                .events
                .iter()
                .filter_map(|event| {
                    if let EventKind::Left { id } = &event.kind {
                        Some((id.as_str(), event.at))
                    } else {
                        None
                    }
                })
                .collect();
            for event in &run.events {
                let EventKind::Call { ids, first_byte, .. } = &event.kind else { continue };
                let had_disconnected = ids.iter().any(|id| {
                    disconnects.iter().any(|(disconnected, at)| disconnected == id && at <= first_byte)
                });
                if had_disconnected {
                    sent_calls.push((sender, step, after, ids.clone()));
                }
            }
        }
    }
    assert_eq!(sent_calls, []);
}

/// An answer that is read just before the message's deadline may be too late to count as a delivery, so the
/// sender also writes a notice.
#[test]
fn message_answered_just_before_its_deadline_gets_a_notice() {
    let scenario = Scenario {
        length: Period::ms(6_000),
        rate: 40.0,
        effect: Effect::Unsafe,
        wanted_within: Period::ms(300),
        abandoned_after: Period::ms(500),
        service_time: Period::ms(380),
        limit_multiple: 0.0,
        servers: 32,
        ..Scenario::default()
    };
    let (run, ms) = (run_scenario(&scenario, 1).unwrap(), 1_000);
    assert!(run.is_clean(), "{:?}", run.violations);
    let answered = |id: &str, from: u64, to: u64| {
        let calls = run.events.iter().filter_map(|e| match &e.kind {
            EventKind::Call { call, ids, .. } if ids.iter().any(|i| i == id) => Some(*call),
            _ => None,
        });
        let calls: Vec<u64> = calls.collect();
        run.events.iter().any(|e| {
            matches!(&e.kind, EventKind::Over { call, end: CallEnd::Answered { status: 200, .. } } if calls.contains(call))
                && (from..to).contains(&e.at)
        })
    };
    let mut late_answers = 0;
    for e in &run.events {
        let EventKind::HandedIn { id, lifetime: lifetime_us, .. } = &e.kind else { continue };
        let deadline = e.at + lifetime_us;
        let has_notice =
            run.events.iter().any(|n| matches!(&n.kind, EventKind::Notice { id: i, .. } if i == id));
        // The answer travels for 10 ms, so the sender reads it within the last 30 ms.
        if answered(id, deadline - 40 * ms, deadline - 11 * ms) {
            late_answers += 1;
            assert!(has_notice, "{id}");
        }
        assert!(!(has_notice && answered(id, e.at, deadline - 100 * ms)), "{id} was answered well before");
    }
    assert!(late_answers >= 3, "{late_answers}");
}

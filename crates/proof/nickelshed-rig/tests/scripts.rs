//! The scripts in `lab/fleet`, in virtual time: the views of the members are checked against the ground
//! truth.
use nickelshed_fleet::quota::max_total_share;
use nickelshed_fleet::Change;
use nickelshed_rig::{simulate, RunReport, Script};
use std::path::Path;

fn run(name: &str, seed: u64) -> (Script, RunReport) {
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../lab/fleet").join(name).with_extension("toml");
    let text = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let mut script = Script::parse(&text).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    script.seed = seed;
    let report = simulate(&script);
    (script, report)
}

/// Simulates a script with a few seeds. Checks that the views converge and that the shares stay within their
/// bound, and runs `check` for what is particular to the script.
fn run_seeds(name: &str, check: impl Fn(&Script, &RunReport)) {
    for seed in 1..=3 {
        let (script, report) = run(name, seed);
        assert_eq!(report.final_mismatch, None, "{name}, seed {seed}: all views are right at the end");
        let (sum, at) = report.max_total_share;
        let max = max_total_share(script.members, script.members);
        assert!(sum <= max, "{name}, seed {seed}: shares add up to {sum} at {at}");
        check(&script, &report);
    }
}

fn observers_of_failure<'a>(report: &'a RunReport, name: &'a str) -> impl Iterator<Item = usize> + 'a {
    report
        .observations
        .iter()
        .filter(move |observation| observation.change == Change::Gone && observation.subject == name)
        .map(|observation| observation.observer)
}

fn assert_no_false_failures(_: &Script, report: &RunReport) {
    assert_eq!(report.false_failures(), 0);
}

/// Checks that the sum of the shares of all running members is within these bounds at every second from
/// `from_second` on.
fn assert_total_share(report: &RunReport, from_second: usize, min: f64, max: f64) {
    for (at, sum) in report.total_shares.iter().enumerate().skip(from_second) {
        assert!((min..=max).contains(sum), "shares add up to {sum} at {at} s");
    }
}

#[test]
fn simultaneous_start_converges() {
    run_seeds("start", |_, report| {
        assert_no_false_failures(&Script::default(), report);
        assert_total_share(report, 12, 0.99, 1.01);
    });
}

#[test]
fn crash_is_detected_by_all_and_nobody_else_is_declared_failed() {
    run_seeds("crash", |_, report| {
        let others = report.observations.iter().filter(|observation| {
            observation.change == Change::Gone && observation.subject != "n17" && observation.subject != "n33"
        });
        assert_eq!(others.count(), 0);
        assert_eq!(
            (observers_of_failure(report, "n17").count(), observers_of_failure(report, "n33").count()),
            (49, 48)
        );
    });
}

#[test]
fn two_halves_keep_their_shares_and_merge_after_healing() {
    run_seeds("halves", |script, report| {
        assert_no_false_failures(script, report);
        let (at, sum) =
            report.total_shares.iter().enumerate().skip(12).max_by(|a, b| a.1.total_cmp(b.1)).unwrap();
        assert!(*sum <= max_total_share(50, 0) + 1e-9, "{sum} at {at} s");
        assert_total_share(report, 55, 0.99, 1.01);
    });
}

#[test]
fn three_way_partition_heals_pairwise_amid_a_restart_and_a_new_partition() {
    run_seeds("three-parts", assert_no_false_failures);
}

#[test]
fn link_cut_one_way_or_both_ways_fails_nobody() {
    run_seeds("one-way", |_, report| {
        assert_eq!(
            report.observations.iter().filter(|observation| observation.change == Change::Gone).count(),
            0
        );
        assert!(report.observations.iter().all(|observation| observation.change != Change::Gone));
    });
}

#[test]
fn receive_only_member_is_declared_failed_by_all_others() {
    run_seeds("deaf-mute", |_, report| {
        assert_eq!(observers_of_failure(report, "n4").count(), 9);
        assert!(report.observations.iter().all(|observation| observation.change != Change::Gone
            || observation.subject == "n4"
            || observation.observer == 4));
    });
}

#[test]
fn stalled_members_declare_no_failure() {
    run_seeds("stopped", |_, report| {
        // A stall of 1 s is too short for a failure to be declared. Stalls of 5 s and 30 s, the first of
        // which begins at 25 s, are long enough. The stalled members themselves declare no failure.
        assert!(report
            .observations
            .iter()
            .all(|observation| observation.change != Change::Gone || observation.at > 25_000_000_000));
        let stalled = ["n2", "n3", "n4", "n5", "n6", "n7"];
        let failures = report.observations.iter().filter(|observation| observation.change == Change::Gone);
        assert!(
            failures.clone().all(|observation| stalled.contains(&observation.subject.as_str())),
            "only the stalled members"
        );
        assert_eq!(report.false_failures(), 0);
    });
}

#[test]
fn restarts_lost_folders_name_conflicts_and_reused_addresses_converge() {
    run_seeds("returns", |_, report| {
        assert_eq!(report.name_conflicts, 1);
        assert_eq!(
            observers_of_failure(report, "n3").count(),
            0,
            "it was back before its failure was noticed"
        );
        assert!(observers_of_failure(report, "n7").count() >= 9);
        assert_eq!(report.false_failures(), 0);
    });
}

#[test]
fn fleet_without_seeds_reconnects_through_the_only_survivor() {
    run_seeds("all-but-one", assert_no_false_failures);
}

#[test]
fn isolated_member_reconnects_by_itself() {
    run_seeds("one-against", assert_no_false_failures);
}

#[test]
fn loss_of_a_fifth_and_duplicates_fail_nobody() {
    let (_, report) = run("lossy", 1);
    assert_eq!(report.final_mismatch, None);
    assert_eq!(
        report.observations.iter().filter(|observation| observation.change == Change::Gone).count(),
        0
    );
    assert!(
        report.observations.iter().any(|observation| observation.change == Change::Refuted),
        "some must have been suspected"
    );
}

#[test]
fn views_converge_after_a_period_of_half_loss() {
    run_seeds("half-lost", |_, _| {});
}

#[test]
fn views_converge_after_delays_of_seconds_and_reordering() {
    run_seeds("slow", |_, _| {});
}

#[test]
fn floods_of_foreign_datagrams_are_dropped_counted_and_harmless() {
    run_seeds("flood", |script, report| {
        assert_no_false_failures(script, report);
        assert!(report.dropped > 10_000, "{}", report.dropped);
        assert_eq!(observers_of_failure(report, "n4").count(), 9);
    });
}

#[test]
fn rolling_restart_leaves_no_share_idle_and_nobody_failed() {
    run_seeds("release", |script, report| {
        assert_no_false_failures(script, report);
        assert!(report.observations.iter().all(|observation| observation.change != Change::Gone));
        assert_total_share(report, 12, 0.70, 1.06);
    });
}

#[test]
fn doubling_the_fleet_converges_to_full_shares() {
    run_seeds("joins", |script, report| {
        assert_no_false_failures(script, report);
        assert_total_share(report, 30, 0.99, 1.01);
    });
}

#[test]
fn fleet_of_300_recovers_from_losing_seven_in_ten_at_once() {
    let (_, report) = run("herd", 1);
    assert_eq!(report.final_mismatch, None);
    assert_eq!(report.false_failures(), 0);
    let max = report.bytes_per_s.iter().copied().fold(0.0, f64::max);
    assert!(max <= 8_192.0, "{max} bytes per second");
}

/// Two simulations of one script and seed observe the same changes.
#[test]
fn same_script_and_seed_give_the_same_run() {
    let observed = |report: &RunReport| {
        report
            .observations
            .iter()
            .map(|observation| {
                (observation.at, observation.observer, observation.subject.clone(), observation.change)
            })
            .collect::<Vec<_>>()
    };
    let ((_, first), (_, second), (_, other_seed)) =
        (run("three-parts", 5), run("three-parts", 5), run("three-parts", 6));
    assert_eq!(observed(&first), observed(&second));
    assert_ne!(observed(&first), observed(&other_seed));
}

//! The hard cases under `lab/fleet`, in virtual time: what members believe is held against what is so.
use nickelshed_fleet::parts::most_sum;
use nickelshed_fleet::Change;
use nickelshed_rig::{play, Day, Script};
use std::path::Path;

fn day(name: &str, seed: u64) -> (Script, Day) {
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../lab/fleet").join(name).with_extension("toml");
    let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    let mut script = Script::read(&text).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    script.seed = seed;
    let day = play(&script);
    (script, day)
}

/// Plays a script on a few seeds; what holds for all of them is looked at here, the rest by the caller.
fn each(name: &str, look: impl Fn(&Script, &Day)) {
    for seed in 1..=3 {
        let (script, day) = day(name, seed);
        assert_eq!(day.wrong, None, "{name}, seed {seed}: all views are right at the end");
        let (sum, at) = day.most_parts;
        let most = most_sum(script.members, script.members);
        assert!(sum <= most, "{name}, seed {seed}: parts add up to {sum} at {at}");
        look(&script, &day);
    }
}

fn gone_of<'a>(day: &'a Day, name: &'a str) -> impl Iterator<Item = usize> + 'a {
    day.seeings.iter().filter(move |s| s.change == Change::Gone && s.of == name).map(|s| s.by)
}

fn nobody_wrongly(_: &Script, day: &Day) {
    assert_eq!(day.wrongly_gone(), 0);
}

/// Parts of all that run, from this second on, are between these.
fn parts_from(day: &Day, second: usize, least: f64, most: f64) {
    for (at, sum) in day.parts.iter().enumerate().skip(second) {
        assert!((least..=most).contains(sum), "parts add up to {sum} at {at} s");
    }
}

#[test]
fn all_start_at_once_and_hold_one_view() {
    each("start", |_, day| {
        nobody_wrongly(&Script::default(), day);
        parts_from(day, 12, 0.99, 1.01);
    });
}

#[test]
fn a_crash_is_known_to_all_and_nobody_else_is_taken_for_gone() {
    each("crash", |_, day| {
        let others =
            day.seeings.iter().filter(|s| s.change == Change::Gone && s.of != "n17" && s.of != "n33");
        assert_eq!(others.count(), 0);
        assert_eq!((gone_of(day, "n17").count(), gone_of(day, "n33").count()), (49, 48));
    });
}

#[test]
fn two_halves_hold_their_parts_and_are_one_again_when_the_cut_is_healed() {
    each("halves", |script, day| {
        nobody_wrongly(script, day);
        let (at, sum) = day.parts.iter().enumerate().skip(12).max_by(|a, b| a.1.total_cmp(b.1)).unwrap();
        assert!(*sum <= most_sum(50, 0) + 1e-9, "{sum} at {at} s");
        parts_from(day, 55, 0.99, 1.01);
    });
}

#[test]
fn three_parts_are_healed_in_another_order_amid_a_restart_and_cut_again() {
    each("three-parts", nobody_wrongly);
}

#[test]
fn a_link_that_is_cut_one_way_or_both_ways_leaves_nobody_gone() {
    each("one-way", |_, day| {
        assert_eq!(day.seeings.iter().filter(|s| s.change == Change::Gone).count(), 0);
        assert!(day.seeings.iter().all(|s| s.change != Change::Gone));
    });
}

#[test]
fn one_that_hears_all_and_is_heard_by_none_is_gone_for_the_others_and_takes_a_small_part() {
    each("deaf-mute", |_, day| {
        assert_eq!(gone_of(day, "n4").count(), 9);
        assert!(day.seeings.iter().all(|s| s.change != Change::Gone || s.of == "n4" || s.by == 4));
    });
}

#[test]
fn those_that_stood_still_declare_nobody_gone() {
    each("stopped", |_, day| {
        // One second is no reason for a verdict, five and thirty are; those that woke give none.
        assert!(day.seeings.iter().all(|s| s.change != Change::Gone || s.at > 25_000_000_000));
        let stopped = ["n2", "n3", "n4", "n5", "n6", "n7"];
        let gone = day.seeings.iter().filter(|s| s.change == Change::Gone);
        assert!(gone.clone().all(|s| stopped.contains(&s.of.as_str())), "only those that stood still");
        assert_eq!(day.wrongly_gone(), 0);
    });
}

#[test]
fn returns_lost_folders_doubles_and_addresses_taken_over_end_in_one_view() {
    each("returns", |_, day| {
        assert_eq!(day.names_taken, 1);
        assert_eq!(gone_of(day, "n3").count(), 0, "it was back before it was missed");
        assert!(gone_of(day, "n7").count() >= 9);
        assert_eq!(day.wrongly_gone(), 0);
    });
}

#[test]
fn a_fleet_whose_seeds_are_down_for_good_is_found_again_by_the_one_that_is_left() {
    each("all-but-one", nobody_wrongly);
}

#[test]
fn one_cut_from_all_others_comes_back_by_itself() {
    each("one-against", nobody_wrongly);
}

#[test]
fn a_fifth_of_all_lost_and_some_twice_leaves_nobody_gone() {
    let (_, day) = day("lossy", 1);
    assert_eq!(day.wrong, None);
    assert_eq!(day.seeings.iter().filter(|s| s.change == Change::Gone).count(), 0);
    assert!(day.seeings.iter().any(|s| s.change == Change::Refuted), "and yet some were doubted");
}

#[test]
fn half_of_all_lost_for_a_time_is_settled_afterwards() {
    each("half-lost", |_, _| {});
}

#[test]
fn datagrams_late_by_seconds_and_in_any_order_end_in_one_view() {
    each("slow", |_, _| {});
}

#[test]
fn floods_of_what_is_not_the_fleets_are_dropped_and_counted_and_change_nothing() {
    each("flood", |script, day| {
        nobody_wrongly(script, day);
        assert!(day.dropped > 10_000, "{}", day.dropped);
        assert_eq!(gone_of(day, "n4").count(), 9);
    });
}

#[test]
fn a_rolling_restart_leaves_no_part_idle_and_nobody_doubted() {
    each("release", |script, day| {
        nobody_wrongly(script, day);
        assert!(day.seeings.iter().all(|s| s.change != Change::Gone));
        parts_from(day, 12, 0.70, 1.06);
    });
}

#[test]
fn as_many_again_join_with_small_parts_and_all_reckon_with_them() {
    each("joins", |script, day| {
        nobody_wrongly(script, day);
        parts_from(day, 30, 0.99, 1.01);
    });
}

#[test]
fn three_hundred_lose_seven_in_ten_at_once_and_have_them_back() {
    let (_, day) = day("herd", 1);
    assert_eq!(day.wrong, None);
    assert_eq!(day.wrongly_gone(), 0);
    let most = day.bytes.iter().copied().fold(0.0, f64::max);
    assert!(most <= 8_192.0, "{most} bytes a second");
}

/// The same bytes again: the verdicts of two plays are one another's.
#[test]
fn the_same_script_and_seed_are_the_same_day() {
    let told =
        |day: &Day| day.seeings.iter().map(|s| (s.at, s.by, s.of.clone(), s.change)).collect::<Vec<_>>();
    let ((_, a), (_, b), (_, c)) = (day("three-parts", 5), day("three-parts", 5), day("three-parts", 6));
    assert_eq!(told(&a), told(&b));
    assert_ne!(told(&a), told(&c));
}

//! Property: all senders of a fleet that saw an outage together do not overload the recovering server.
//!
//! Between 1 and 1,024 decision modules call one model server in virtual time. Everything else is random:
//! settings, demand, the kind and the duration of the outage, whether the limit is reported, effects, and
//! messages in a call. `NICKELSHED_DRAWS=20` runs twenty times as many scenarios; `--nocapture` prints the
//! distribution of the results.
mod fleet;

use fleet::{RunResult, Scenario};

/// Fleet sizes, and the number of scenarios for each.
const FLEET_SIZES: [(usize, u64); 9] =
    [(1, 300), (2, 300), (4, 200), (5, 200), (20, 80), (30, 60), (100, 24), (350, 8), (1_024, 3)];

fn scenario_multiplier() -> u64 {
    std::env::var("NICKELSHED_DRAWS").ok().and_then(|text| text.parse().ok()).unwrap_or(1)
}

fn percentile(sorted: &[f64], fraction: f64) -> f64 {
    sorted[((sorted.len() - 1) as f64 * fraction) as usize]
}

/// Percentage of outages shorter than the overload window that may end in an overload: a sender may see too few
/// failures in them to tell an outage from an isolated failure.
const SHORT_OVERLOADED_MAX_PERCENT: usize = 10;

/// Runs all scenarios of a fleet size and reports their results.
fn run_all(senders: usize, scenarios: u64, new: fn(usize, u64) -> Scenario) -> Vec<(Scenario, RunResult)> {
    let run = |seed| {
        let scenario = new(senders, seed);
        let result = fleet::run(&scenario);
        (scenario, result)
    };
    let runs: Vec<(Scenario, RunResult)> = (0..scenarios * scenario_multiplier()).map(run).collect();
    report(senders, &runs);
    runs
}

#[test]
fn senders_that_saw_an_outage_together_do_not_overload_the_recovering_server() {
    let (mut overloaded, mut short, mut short_overloaded) = (Vec::new(), 0, 0);
    for (senders, scenarios) in FLEET_SIZES {
        for (scenario, result) in run_all(senders, scenarios, Scenario::new) {
            let is_short = scenario.duration < scenario.overload_window;
            short += usize::from(is_short);
            short_overloaded += usize::from(is_short && result.is_violation);
            if result.is_violation {
                println!("overloaded: {scenario:?} {result:?}");
            }
            if result.is_violation && !is_short {
                overloaded.push(scenario);
            }
        }
    }
    println!("short outages: {short}, of which {short_overloaded} ended in an overload");
    assert!(
        overloaded.is_empty(),
        "{} recoveries overloaded, the first {:?}",
        overloaded.len(),
        overloaded[0]
    );
    assert!(
        short_overloaded * 100 <= short * SHORT_OVERLOADED_MAX_PERCENT,
        "{short_overloaded} of {short} short outages overloaded"
    );
}

/// Traffic that begins only after the return, and processes that are killed and start again about that time.
#[test]
fn senders_that_saw_one_call_fail_keep_to_the_overload_bound_after_quiet_and_across_restarts() {
    let mut overloaded = Vec::new();
    for (senders, scenarios) in FLEET_SIZES {
        let runs = run_all(senders, scenarios, Scenario::with_disruptions);
        overloaded.extend(runs.into_iter().filter(|(_, result)| result.is_violation));
    }
    for (scenario, result) in &overloaded {
        println!("overloaded: {scenario:?} {result:?}");
    }
    assert!(overloaded.is_empty(), "{} recoveries overloaded", overloaded.len());
}

fn report(senders: usize, runs: &[(Scenario, RunResult)]) {
    let mut loads: Vec<f64> = runs.iter().map(|(_, result)| result.informed_load).collect();
    loads.sort_by(f64::total_cmp);
    let mean = |value: fn(&RunResult) -> f64| {
        runs.iter().map(|(_, result)| value(result)).sum::<f64>() / runs.len() as f64
    };
    println!(
        "{senders:>5} senders, {:>5} recoveries: most calls in a window by senders that saw the outage / \
         overload bound: p50 {:.2} p99 {:.2} max {:.2}; in slow start, messages served / submitted {:.2}, \
         calls served / capacity {:.2}; messages served in ten seconds {}; overloaded {}",
        runs.len(),
        percentile(&loads, 0.5),
        percentile(&loads, 0.99),
        percentile(&loads, 1.0),
        mean(|result| result.served_of_submitted),
        mean(|result| result.served_of_capacity),
        runs.iter().map(|(_, result)| result.served_soon).sum::<usize>(),
        runs.iter().filter(|(_, result)| result.is_violation).count(),
    );
}

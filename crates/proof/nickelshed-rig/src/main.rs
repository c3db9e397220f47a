//! The program `nickelshed-rig`: simulates scripts and prints what members observed, and prints tables over
//! many runs.
use clap::{Parser, Subcommand};
use nickelshed_config::units::Period;
use nickelshed_rig::measure::{convergence_seconds, quantile, simulate_seeds, single_event_script, Event};
use nickelshed_rig::{simulate, RunReport, Script};
use std::path::PathBuf;
use std::process::ExitCode;

/// Simulates fleets in virtual time, with faults between their members.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exits with 0 if all views were right at the end, with 1 if one was wrong, with 2 on wrong usage."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Simulate scripts (see lab/fleet) and print how long views took to converge
    Run {
        #[arg(required = true, value_name = "SCRIPT")]
        scripts: Vec<PathBuf>,
        /// [default: the script's own]
        #[arg(long)]
        seed: Option<u64>,
        /// Print every change that a member observed
        #[arg(long)]
        changes: bool,
    },
    /// Print how long views take to converge after a join, a crash and a partition, by fleet size and loss
    Settle {
        #[arg(long, value_delimiter = ',', default_value = "3,10,50")]
        members: Vec<usize>,
        /// In percent
        #[arg(long, value_delimiter = ',', default_value = "0,5,20")]
        lost: Vec<f64>,
        #[arg(long, default_value_t = 100)]
        seeds: u64,
    },
    /// Print how often live members are declared failed while only the network is faulty
    Loss {
        #[arg(long, default_value_t = 50)]
        members: usize,
        /// In percent
        #[arg(long, default_value_t = 20.0)]
        lost: f64,
        /// Number of runs, of ten minutes each
        #[arg(long = "days", value_name = "DAYS", default_value_t = 600)]
        runs: u64,
    },
    /// Print what each member sends, by fleet size
    Cost {
        #[arg(long, value_delimiter = ',', default_value = "10,100,300,1000")]
        members: Vec<usize>,
    },
}

fn jobs() -> usize {
    std::thread::available_parallelism().map_or(1, |threads| threads.get())
}

fn mean(values: impl IntoIterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.into_iter().collect();
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn print_report(report: &RunReport, changes: bool) {
    for (at, duration) in &report.convergence {
        let at = *at as f64 / 1e9;
        match duration {
            Some(duration) => {
                println!("  from {at:.2} s on: all views right after {:.2} s", *duration as f64 / 1e9)
            }
            None => println!("  from {at:.2} s on: not converged before the next fault"),
        }
    }
    let max = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    println!(
        "  datagrams per second {:.1} (max {:.1}), bytes per second {:.0} (max {:.0}); dropped {}",
        mean(report.datagrams_per_s.clone()),
        max(&report.datagrams_per_s),
        mean(report.bytes_per_s.clone()),
        max(&report.bytes_per_s),
        report.dropped
    );
    println!(
        "  shares add up to {:.3} at most, at {:.2} s; false failures {}, failures declared {}, name conflicts {}",
        report.max_total_share.0,
        report.max_total_share.1 as f64 / 1e9,
        report.false_failures(),
        report.failures_declared,
        report.name_conflicts
    );
    for observation in report.observations.iter().filter(|_| changes) {
        let suffix = if observation.is_false { ", wrongly" } else { "" };
        println!(
            "  {:.3} s n{}: {} {:?}{suffix}",
            observation.at as f64 / 1e9,
            observation.observer,
            observation.subject,
            observation.change
        );
    }
}

fn run(scripts: &[PathBuf], seed: Option<u64>, changes: bool) -> ExitCode {
    let mut any_mismatch = false;
    for path in scripts {
        let text = std::fs::read_to_string(path).map_err(|error| error.to_string());
        let mut script = match text.and_then(|text| Script::parse(&text)) {
            Ok(script) => script,
            Err(error) => {
                eprintln!("{}: {error}", path.display());
                return ExitCode::from(2);
            }
        };
        script.seed = seed.unwrap_or(script.seed);
        let report = simulate(&script);
        println!("{}, seed {}: {} members, {}", path.display(), script.seed, script.members, script.length);
        print_report(&report, changes);
        if let Some(mismatch) = &report.final_mismatch {
            println!("  WRONG at the end: {mismatch}");
            any_mismatch = true;
        }
    }
    ExitCode::from(u8::from(any_mismatch))
}

fn settle(members: &[usize], lost: &[f64], seeds: u64) {
    println!("| members | lost | event | p50 | p99 | max | not converged |\n| --- | --- | --- | --- | --- | --- | --- |");
    for &member_count in members {
        for &lost in lost {
            for event in [Event::Join, Event::Crash, Event::Healed] {
                let reports = simulate_seeds(seeds, jobs(), |seed| {
                    single_event_script(
                        member_count,
                        lost / 100.0,
                        event,
                        seed,
                        Period::ms(if event == Event::Healed { 90_000 } else { 60_000 }),
                    )
                });
                let mut times: Vec<f64> = reports.iter().filter_map(convergence_seconds).collect();
                times.sort_by(f64::total_cmp);
                let (p50, p99, max) = (quantile(&times, 0.5), quantile(&times, 0.99), quantile(&times, 1.0));
                let not_converged = reports.len() - times.len();
                println!(
                    "| {member_count} | {lost}% | {event:?} | {p50:.2} s | {p99:.2} s | {max:.2} s | {not_converged} of {} |",
                    reports.len()
                );
            }
        }
    }
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Run { scripts, seed, changes } => return run(&scripts, seed, changes),
        Command::Settle { members, lost, seeds } => settle(&members, &lost, seeds),
        Command::Loss { members, lost, runs } => {
            let reports = simulate_seeds(runs, jobs(), |seed| {
                single_event_script(members, lost / 100.0, Event::NoFault, seed, Period::ms(600_000))
            });
            let false_failures: usize = reports.iter().map(RunReport::false_failures).sum();
            let suspected = reports.iter().flat_map(|report| &report.observations);
            let suspected = suspected
                .filter(|observation| observation.change == nickelshed_fleet::Change::Suspected)
                .count();
            println!(
                "{:.1} hours of {members} members, {lost}% lost: live members were declared failed {false_failures} times and suspected {suspected} times",
                reports.len() as f64 / 6.0
            );
        }
        Command::Cost { members } => {
            println!("| members | datagrams per second | bytes per second |\n| --- | --- | --- |");
            for member_count in members {
                // The run is long, so that the cost of joining at the start hardly counts.
                let report =
                    simulate(&single_event_script(member_count, 0.0, Event::NoFault, 1, Period::ms(300_000)));
                println!(
                    "| {member_count} | {:.1} | {:.0} |",
                    mean(report.datagrams_per_s.clone()),
                    mean(report.bytes_per_s.clone())
                );
            }
        }
    }
    ExitCode::SUCCESS
}

//! The program `nickelshed-rig`: plays scripts and prints what members believed, and makes the tables of many days.
use clap::{Parser, Subcommand};
use nickelshed_config::units::Period;
use nickelshed_rig::measure::{convergence_seconds, quantile, simulate_seeds, single_event_script, Event};
use nickelshed_rig::{simulate, RunReport, Script};
use std::path::PathBuf;
use std::process::ExitCode;

/// Plays fleets in virtual time, with faults between their members.
#[derive(Parser)]
#[command(
    version,
    after_help = "Ends with 0 if all views were right at the end, with 1 if one was not, with 2 if it was called wrongly."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play scripts (see lab/fleet) and print how long views took to settle
    Run {
        #[arg(required = true, value_name = "SCRIPT")]
        scripts: Vec<PathBuf>,
        /// [default: the script's own]
        #[arg(long)]
        seed: Option<u64>,
        /// Print every change that a member saw
        #[arg(long)]
        changes: bool,
    },
    /// Print how long views take to settle after a join, a crash and a partition, by size and loss
    Settle {
        #[arg(long, value_delimiter = ',', default_value = "3,10,50")]
        members: Vec<usize>,
        /// In per cent
        #[arg(long, value_delimiter = ',', default_value = "0,5,20")]
        lost: Vec<f64>,
        #[arg(long, default_value_t = 100)]
        seeds: u64,
    },
    /// Print whom members take for gone wrongly while nothing fails but the network
    Loss {
        #[arg(long, default_value_t = 50)]
        members: usize,
        /// In per cent
        #[arg(long, default_value_t = 20.0)]
        lost: f64,
        /// Days of ten minutes
        #[arg(long = "days", value_name = "DAYS", default_value_t = 600)]
        runs: u64,
    },
    /// Print what each member sends, by the fleet's size
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
            None => println!("  from {at:.2} s on: not settled before the next fault"),
        }
    }
    let max = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    println!(
        "  datagrams a second {:.1} (most {:.1}), bytes {:.0} (most {:.0}); dropped {}",
        mean(report.datagrams_per_s.clone()),
        max(&report.datagrams_per_s),
        mean(report.bytes_per_s.clone()),
        max(&report.bytes_per_s),
        report.dropped
    );
    println!(
        "  parts add up to {:.3} at most, at {:.2} s; wrongly gone {}, verdicts {}, names taken {}",
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
    println!("| members | lost | event | p50 | p99 | most | not settled |\n| --- | --- | --- | --- | --- | --- | --- |");
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
                let unsettled = reports.len() - times.len();
                println!(
                    "| {member_count} | {lost}% | {event:?} | {p50:.2} s | {p99:.2} s | {max:.2} s | {unsettled} of {} |",
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
                "{:.1} hours of {members} members, {lost}% lost: {false_failures} times one that was there was taken for gone, {suspected} times one was held suspect",
                reports.len() as f64 / 6.0
            );
        }
        Command::Cost { members } => {
            println!("| members | datagrams a second | bytes a second |\n| --- | --- | --- |");
            for member_count in members {
                // What settling costs at the start is left out: only the later part of the day is long.
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

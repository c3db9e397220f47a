//! The program `nickelshed-rig`: plays scripts and prints what members believed, and makes the tables of many days.
use clap::{Parser, Subcommand};
use nickelshed_config::units::Period;
use nickelshed_rig::measure::{many, quantile, script, settled, Event};
use nickelshed_rig::{play, Day, Script};
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
        #[arg(long, default_value_t = 600)]
        days: u64,
    },
    /// Print what each member sends, by the fleet's size
    Cost {
        #[arg(long, value_delimiter = ',', default_value = "10,100,300,1000")]
        members: Vec<usize>,
    },
}

fn jobs() -> usize {
    std::thread::available_parallelism().map_or(1, |n| n.get())
}

fn mean(values: impl IntoIterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.into_iter().collect();
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn print(day: &Day, changes: bool) {
    for (at, took) in &day.settled {
        let at = *at as f64 / 1e9;
        match took {
            Some(took) => println!("  from {at:.2} s on: all views right after {:.2} s", *took as f64 / 1e9),
            None => println!("  from {at:.2} s on: not settled before the next fault"),
        }
    }
    let most = |v: &[f64]| v.iter().copied().fold(0.0, f64::max);
    println!(
        "  datagrams a second {:.1} (most {:.1}), bytes {:.0} (most {:.0}); dropped {}",
        mean(day.datagrams.clone()),
        most(&day.datagrams),
        mean(day.bytes.clone()),
        most(&day.bytes),
        day.dropped
    );
    println!(
        "  parts add up to {:.3} at most, at {:.2} s; wrongly gone {}, verdicts {}, names taken {}",
        day.most_parts.0,
        day.most_parts.1 as f64 / 1e9,
        day.wrongly_gone(),
        day.verdicts,
        day.names_taken
    );
    for s in day.seeings.iter().filter(|_| changes) {
        let wrongly = if s.wrongly { ", wrongly" } else { "" };
        println!("  {:.3} s n{}: {} {:?}{wrongly}", s.at as f64 / 1e9, s.by, s.of, s.change);
    }
}

fn run(scripts: &[PathBuf], seed: Option<u64>, changes: bool) -> ExitCode {
    let mut wrong = false;
    for path in scripts {
        let text = std::fs::read_to_string(path).map_err(|e| e.to_string());
        let mut script = match text.and_then(|t| Script::read(&t)) {
            Ok(script) => script,
            Err(error) => {
                eprintln!("{}: {error}", path.display());
                return ExitCode::from(2);
            }
        };
        script.seed = seed.unwrap_or(script.seed);
        let day = play(&script);
        println!("{}, seed {}: {} members, {}", path.display(), script.seed, script.members, script.length);
        print(&day, changes);
        if let Some(words) = &day.wrong {
            println!("  WRONG at the end: {words}");
            wrong = true;
        }
    }
    ExitCode::from(u8::from(wrong))
}

fn settle(members: &[usize], lost: &[f64], seeds: u64) {
    println!("| members | lost | event | p50 | p99 | most | not settled |\n| --- | --- | --- | --- | --- | --- | --- |");
    for &n in members {
        for &lost in lost {
            for event in [Event::Join, Event::Crash, Event::Healed] {
                let days = many(seeds, jobs(), |seed| {
                    script(
                        n,
                        lost / 100.0,
                        event,
                        seed,
                        Period::ms(if event == Event::Healed { 90_000 } else { 60_000 }),
                    )
                });
                let mut took: Vec<f64> = days.iter().filter_map(settled).collect();
                took.sort_by(f64::total_cmp);
                let (p50, p99, most) = (quantile(&took, 0.5), quantile(&took, 0.99), quantile(&took, 1.0));
                let not = days.len() - took.len();
                println!(
                    "| {n} | {lost}% | {event:?} | {p50:.2} s | {p99:.2} s | {most:.2} s | {not} of {} |",
                    days.len()
                );
            }
        }
    }
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Run { scripts, seed, changes } => return run(&scripts, seed, changes),
        Command::Settle { members, lost, seeds } => settle(&members, &lost, seeds),
        Command::Loss { members, lost, days } => {
            let days = many(days, jobs(), |seed| {
                script(members, lost / 100.0, Event::Nothing, seed, Period::ms(600_000))
            });
            let wrongly: usize = days.iter().map(Day::wrongly_gone).sum();
            let suspected = days.iter().flat_map(|d| &d.seeings);
            let suspected = suspected.filter(|s| s.change == nickelshed_fleet::Change::Suspected).count();
            println!(
                "{:.1} hours of {members} members, {lost}% lost: {wrongly} times one that was there was taken for gone, {suspected} times one was held suspect",
                days.len() as f64 / 6.0
            );
        }
        Command::Cost { members } => {
            println!("| members | datagrams a second | bytes a second |\n| --- | --- | --- |");
            for n in members {
                // What settling costs at the start is left out: only the later part of the day is long.
                let day = play(&script(n, 0.0, Event::Nothing, 1, Period::ms(300_000)));
                println!("| {n} | {:.1} | {:.0} |", mean(day.datagrams.clone()), mean(day.bytes.clone()));
            }
        }
    }
    ExitCode::SUCCESS
}

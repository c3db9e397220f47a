//! Runs the soak test for a range of seeds and prints the violations of each.
use clap::Parser;
use nickelshed_soak::{run, SoakPlan};
use std::process::ExitCode;
use std::time::Duration;

/// Runs a real sender among clients and endpoints with injected faults, and checks the delivery rules.
#[derive(Parser)]
struct Arguments {
    /// Path of the sender program.
    #[arg(long, default_value = "target/release/nickelshed")]
    program: String,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds, one after the other.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// How long clients submit messages, in seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Print the sender's log of a run that failed.
    #[arg(long)]
    log: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.count {
        let plan = SoakPlan::new(seed, Duration::from_secs(arguments.seconds));
        let report = run(&arguments.program, &plan);
        println!(
            "seed {seed}: {} violations, {} crashes; {} submitted, {} accepted, {} calls, {} notices, {} process faults",
            report.violations.len(),
            report.crashes.len(),
            report.submitted,
            report.accepted,
            report.calls,
            report.notices,
            plan.faults.len(),
        );
        report.crashes.iter().for_each(|crash| println!("  crash: {crash}"));
        report
            .violations
            .iter()
            .for_each(|violation| println!("  {:?}: {}", violation.rule, violation.description));
        report.untried.iter().for_each(|finding| println!("  not judged: {}", finding.description));
        report.stories.iter().for_each(|line| println!("  {line}"));
        let has_failed = !report.violations.is_empty() || !report.crashes.is_empty();
        failed += u64::from(has_failed);
        if has_failed && arguments.log {
            println!("{}", report.log);
        }
    }
    println!("{failed} of {} seeds failed", arguments.count);
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

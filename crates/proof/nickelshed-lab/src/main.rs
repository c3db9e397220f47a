//! The program `nickelshed-lab`: parses the arguments, runs scenarios and prints the results.
use clap::{Parser, Subcommand};
use nickelshed_judge::{DestinationState, TimeAccount};
use nickelshed_lab::{
    account_with_oracle, difference, explore, files, memory, parallel_map, run_fault_points, run_kill_points,
    run_scenario, run_scenario_with, Exploration, FaultInjection, RunOptions, ScenarioGenerator, ScenarioRun,
    Stride,
};
use nickelshed_model::{random_large_scenario, random_scenario, Scenario};
use std::fmt::Write as _;
use std::io::Write as _;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Runs whole senders in simulated time against a model of the systems that they call, and checks the
/// results.
///
/// A run is defined by a scenario file in TOML (see lab/scenarios) and a seed. The same scenario and seed
/// give the same trace, byte for byte, on any machine.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit status: 0 if no rule was violated and nothing crashed, 1 if a run failed, 2 on wrong usage or another error."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run scenarios and print the verdict of the checker and where worth was lost
    Run {
        #[arg(required = true, value_name = "SCENARIO")]
        scenarios: Vec<PathBuf>,
        /// [default: the file's own, or 1]
        #[arg(long)]
        seed: Option<u64>,
        /// Write every event as a line of JSON to this file
        #[arg(long, value_name = "FILE")]
        trace: Option<PathBuf>,
    },
    /// Run a scenario and write an HTML page with plots, the verdict and the history of each message
    Report {
        #[arg(value_name = "SCENARIO")]
        scenario: PathBuf,
        /// [default: the file's own, or 1]
        #[arg(long)]
        seed: Option<u64>,
        /// Output file; the page loads nothing over the network
        #[arg(long, value_name = "FILE", default_value = "report.html")]
        out: PathBuf,
    },
    /// Run random scenarios on all cores, search for rule violations and crashes, and minimize the failing
    /// cases
    Explore {
        /// Seeds to run, for example 1..1000
        #[arg(long, value_parser = parse_seed_range, default_value = "1..1000000000")]
        seeds: Range<u64>,
        /// Scenarios with 60 to 300 senders and faults of large fleets: mass kills, regional outages, network
        /// partitions
        #[arg(long)]
        large: bool,
        /// Stop after this many seconds
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
        /// Runs in parallel [default: one per core]
        #[arg(long)]
        jobs: Option<usize>,
        /// Folder to which minimized failing cases are written
        #[arg(long, value_name = "FOLDER", default_value = "lab/found")]
        keep: PathBuf,
        /// Only list the seeds of failing cases, without minimizing and writing them
        #[arg(long)]
        no_cut: bool,
    },
    /// Write the scenario that `explore` runs for a seed to a file
    Draw {
        seed: u64,
        /// Draw as `explore --large` does
        #[arg(long)]
        large: bool,
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Run a scenario once for each disk operation and each byte sent, with a sender killed at that point
    Kills {
        scenario: PathBuf,
        /// [default: the file's own, or 1]
        #[arg(long)]
        seed: Option<u64>,
        /// Kill only in every n-th disk operation
        #[arg(long, default_value_t = 1)]
        operations: u64,
        /// Kill only at every n-th byte
        #[arg(long, default_value_t = 1)]
        bytes: u64,
        #[arg(long)]
        jobs: Option<usize>,
    },
    /// Run a scenario once for each fault at each interaction of a sender with its host, with the fault
    /// injected there
    Crossings {
        scenario: PathBuf,
        /// [default: the file's own, or 1]
        #[arg(long)]
        seed: Option<u64>,
        /// Inject only at every n-th pair of fault point and fault
        #[arg(long, default_value_t = 1)]
        every: usize,
        /// Index of the first such pair
        #[arg(long, default_value_t = 0)]
        first: usize,
        #[arg(long)]
        jobs: Option<usize>,
    },
    /// Run a scenario in simulated time and over real loopback sockets, and compare the results; the second
    /// takes real time
    Sockets {
        scenario: PathBuf,
        /// [default: the file's own, or 1]
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Run two scenarios on the same seeds and test whether their results differ significantly
    Compare {
        a: PathBuf,
        b: PathBuf,
        #[arg(long, value_parser = parse_seed_range, default_value = "1..31")]
        seeds: Range<u64>,
        #[arg(long)]
        jobs: Option<usize>,
    },
    /// Run a scenario with several values of one key
    Sweep {
        scenario: PathBuf,
        /// KEY=VALUE,VALUE, for example slots=8,16,32 or latency=0ms,20ms
        #[arg(long, value_name = "KEY=VALUES")]
        key: String,
        #[arg(long, value_parser = parse_seed_range, default_value = "1..11")]
        seeds: Range<u64>,
        #[arg(long)]
        jobs: Option<usize>,
    },
}

fn parse_seed_range(text: &str) -> Result<Range<u64>, String> {
    let parsed = text.split_once("..").and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    parsed
        .filter(|range: &Range<u64>| !range.is_empty())
        .ok_or(format!("`{text}` is not a range of seeds; write for example 1..31"))
}

fn thread_count(requested_jobs: Option<usize>) -> usize {
    requested_jobs.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, |n| n.get()))
}

fn print_stdout(text: &str) {
    let _ = std::io::stdout().lock().write_all(text.as_bytes());
}

fn state_label(state: DestinationState) -> &'static str {
    match state {
        DestinationState::Well => "well",
        DestinationState::Unseen => "out, not seen yet",
        DestinationState::Sick => "out, seen",
        DestinationState::Returning => "returning",
    }
}

fn format_account(account: &TimeAccount) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "  {:.1}% of slot time wasted; seconds by state of the destination:",
        100.0 * account.wasted_fraction()
    );
    let slot_seconds =
        |key: (DestinationState, bool, bool)| account.slot_time.get(&key).copied().unwrap_or(0) as f64 / 1e6;
    for state in [
        DestinationState::Well,
        DestinationState::Unseen,
        DestinationState::Sick,
        DestinationState::Returning,
    ] {
        let [first_useful, first_wasted, retry_useful, retry_wasted] =
            [(true, true), (true, false), (false, true), (false, false)]
                .map(|(first, useful)| slot_seconds((state, first, useful)));
        if first_useful + first_wasted + retry_useful + retry_wasted > 0.0 {
            let _ = writeln!(
                out,
                "    {:<18} first attempts {first_useful:7.1} useful {first_wasted:7.1} wasted; retries {retry_useful:7.1} useful {retry_wasted:7.1} wasted",
                state_label(state)
            );
        }
    }
    let total: usize = account.late_causes.values().sum();
    for ((state, phase), count) in &account.late_causes {
        let percent = 100.0 * *count as f64 / total.max(1) as f64;
        let _ = writeln!(
            out,
            "    late or not delivered, mostly {phase:?} while {}: {count} ({percent:.0}%)",
            state_label(*state)
        );
    }
    let (without_outage, during_outage) = account.healthy_p99_ms;
    if during_outage > 0.0 {
        let _ = writeln!(
            out,
            "  p99 for destinations that are well: {without_outage:.0} ms while none is out, {during_outage:.0} ms while any is"
        );
    }
    out
}

fn format_run(name: &str, scenario: &Scenario, seed: u64, run: &ScenarioRun, elapsed: Duration) -> String {
    let (account, oracle_value) = account_with_oracle(scenario, seed, run);
    let score = &run.score;
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{name}, seed {seed}: {:.0} s played in {:.2} s ({:.0} times real time)",
        run.length.as_secs_f64(),
        elapsed.as_secs_f64(),
        run.length.as_secs_f64() / elapsed.as_secs_f64().max(1e-9)
    );
    let _ = writeln!(
        out,
        "  worth {:.4}: {} messages, {} in time, {} late, {} not delivered; p50 {:.0} ms, p99 {:.0} ms",
        score.value, score.messages, score.in_time, score.late, score.lost, score.p50_ms, score.p99_ms
    );
    let _ = writeln!(
        out,
        "  {:.4} is reached by one who knows the state of every destination: {:.3} of that here",
        oracle_value,
        score.value / oracle_value.max(1e-9)
    );
    let _ = writeln!(out, "  {} calls, {} turned away", score.calls, score.rejected);
    let causes: Vec<String> = score
        .loss_reasons
        .iter()
        .map(|(cause, n)| format!("{n} {}", format!("{cause:?}").to_lowercase()))
        .collect();
    if !causes.is_empty() {
        let _ = writeln!(out, "  late or not delivered, by main cause: {}", causes.join(", "));
    }
    out += &format_account(&account);
    for violation in run.violations.iter().take(10) {
        let _ = writeln!(
            out,
            "  BROKEN {:?} at {} ms: {} (events {:?})",
            violation.rule,
            violation.at / 1_000,
            violation.description,
            violation.events
        );
    }
    if run.violations.len() > 10 {
        let _ = writeln!(out, "  and {} more", run.violations.len() - 10);
    }
    for crash in &run.crashes {
        let _ = writeln!(out, "  CRASH {crash}");
    }
    if run.is_clean() {
        let _ = writeln!(out, "  all six rules were kept");
    }
    out
}

fn run_scenarios(paths: &[PathBuf], seed: Option<u64>, trace: Option<&Path>) -> Result<bool, String> {
    // Reads all files first, so that a mistake in any of them is reported before the first run.
    let scenarios = paths.iter().map(|p| files::read(p)).collect::<Result<Vec<_>, _>>()?;
    let mut all_clean = true;
    for (path, scenario) in paths.iter().zip(scenarios) {
        let seed = seed.or(scenario.seed).unwrap_or(1);
        let started = Instant::now();
        let run = run_scenario(&scenario, seed)?;
        print_stdout(&format_run(&path.display().to_string(), &scenario, seed, &run, started.elapsed()));
        all_clean &= run.is_clean();
        if let Some(trace) = trace {
            let line = |e| serde_json::to_string(e).unwrap_or_default() + "\n";
            let text: String = run.events.iter().map(line).collect();
            std::fs::write(trace, text).map_err(|e| format!("cannot write {}: {e}", trace.display()))?;
        }
    }
    Ok(all_clean)
}

fn report(path: &Path, seed: Option<u64>, out: &Path) -> Result<bool, String> {
    let scenario = files::read(path)?;
    let seed = seed.or(scenario.seed).unwrap_or(1);
    let run = run_scenario(&scenario, seed)?;
    let page = nickelshed_lab::report::page(&path.display().to_string(), &scenario, seed, &run)?;
    std::fs::write(out, page).map_err(|e| format!("cannot write {}: {e}", out.display()))?;
    print_stdout(&format!("{}\n", out.display()));
    Ok(run.is_clean())
}

/// Maximum number of failures that are listed one by one.
const MAX_LISTED_FAILURES: usize = 20;

/// Prints the first failures, each with the name of its point. Returns whether there were none.
fn print_failures<P>(failures: &[(P, String)], name: impl Fn(&P) -> String) -> bool {
    for (point, description) in failures.iter().take(MAX_LISTED_FAILURES) {
        print_stdout(&format!("  {}: {description}\n", name(point)));
    }
    match failures.len() {
        0 => print_stdout("  all six rules were kept\n"),
        count if count > MAX_LISTED_FAILURES => {
            print_stdout(&format!("  and {} more\n", count - MAX_LISTED_FAILURES))
        }
        _ => {}
    }
    failures.is_empty()
}

fn run_kills(path: &Path, seed: Option<u64>, stride: Stride, jobs: usize) -> Result<bool, String> {
    let scenario = files::read(path)?;
    let seed = seed.or(scenario.seed).unwrap_or(1);
    let started = Instant::now();
    let report = run_kill_points(&scenario, seed, stride, jobs)?;
    print_stdout(&format!(
        "{}, seed {seed}: killed in {} operations and at {} bytes, in {:.0} s on {jobs} threads\n",
        path.display(),
        report.operations,
        report.bytes,
        started.elapsed().as_secs_f64()
    ));
    Ok(print_failures(&report.failures, |kill| format!("sender {}, {:?}", kill.sender, kill.point)))
}

fn run_crossings(
    path: &Path,
    seed: Option<u64>,
    every: usize,
    first: usize,
    jobs: usize,
) -> Result<bool, String> {
    let scenario = files::read(path)?;
    let seed = seed.or(scenario.seed).unwrap_or(1);
    let started = Instant::now();
    let report = run_fault_points(&scenario, seed, every, first, jobs)?;
    print_stdout(&format!(
        "{}, seed {seed}: {} steps, {} runs with a fault injected at one of them, in {:.0} s on {jobs} threads\n",
        path.display(),
        report.steps,
        report.runs,
        started.elapsed().as_secs_f64()
    ));
    Ok(print_failures(&report.failures, |FaultInjection { sender, step, after, fault }| {
        let when = if *after { "after" } else { "before" };
        format!("{fault:?} {when} step {step} of sender {sender}")
    }))
}

fn compare_sockets(path: &Path, seed: Option<u64>) -> Result<bool, String> {
    let scenario = files::read(path)?;
    let seed = seed.or(scenario.seed).unwrap_or(1);
    let simulated = run_scenario(&scenario, seed)?;
    let real =
        run_scenario_with(&scenario, seed, RunOptions { uses_real_sockets: true, ..RunOptions::default() })?;
    let row = |name: &str, value_of: &dyn Fn(&ScenarioRun) -> f64| {
        let (a, b) = (value_of(&simulated), value_of(&real));
        format!("{name:>24} {a:>12.4} {b:>12.4} {:>+12.4}\n", b - a)
    };
    let count_of_cause =
        |cause| move |run: &ScenarioRun| run.score.loss_reasons.get(&cause).copied().unwrap_or(0) as f64;
    let mut out = format!(
        "{}, seed {seed}\n{:>24} {:>12} {:>12} {:>12}\n",
        path.display(),
        "",
        "simulated",
        "sockets",
        "difference"
    );
    out += &row("worth", &|run| run.score.value);
    out += &row("in time", &|run| run.score.in_time as f64);
    out += &row("late", &|run| run.score.late as f64);
    out += &row("not delivered", &|run| run.score.lost as f64);
    out += &row("rejected by the sender", &count_of_cause(nickelshed_judge::LossReason::Refused));
    out += &row("median, ms", &|run| run.score.p50_ms);
    out += &row("p99, ms", &|run| run.score.p99_ms);
    out += &row("calls", &|run| run.score.calls as f64);
    out += &row("turned away", &|run| run.score.rejected as f64);
    out += &row("rule violations", &|run| run.violations.len() as f64);
    for (name, run) in [("simulated", &simulated), ("sockets", &real)] {
        for violation in run.violations.iter().take(5) {
            let _ = writeln!(
                out,
                "  {name}: BROKEN {:?} at {} ms: {}",
                violation.rule,
                violation.at / 1_000,
                violation.description
            );
        }
        for crash in &run.crashes {
            let _ = writeln!(out, "  {name}: CRASH {crash}");
        }
    }
    print_stdout(&out);
    Ok(simulated.is_clean() && real.is_clean())
}

fn format_exploration(exploration: &Exploration, jobs: usize, elapsed: Duration) -> String {
    let (simulated_s, thread_s) =
        (exploration.simulated_time.as_secs_f64(), exploration.thread_time.as_secs_f64());
    let mut out = format!(
        "{} runs, {:.1} simulated hours, on {jobs} threads in {:.1} s: {:.0} simulated seconds per second of a core\n",
        exploration.runs,
        simulated_s / 3_600.0,
        elapsed.as_secs_f64(),
        simulated_s / thread_s.max(1e-9)
    );
    for (failure, cases) in &exploration.failures {
        let _ = writeln!(out, "  {}: in {} runs", failure.name(), cases.len());
        for (seed, description) in cases {
            let _ = writeln!(out, "    seed {seed}, {description}");
        }
    }
    if exploration.failures.is_empty() {
        out.push_str("  no rule was broken and nothing crashed\n");
    }
    if let Some(bytes) = memory::peak_bytes() {
        let _ = writeln!(out, "  {:.0} MB peak memory", bytes as f64 / 1e6);
    }
    out
}

fn explore_and_save(
    generate: ScenarioGenerator,
    seeds: Range<u64>,
    seconds: f64,
    jobs: usize,
    folder: Option<&Path>,
) -> Result<bool, String> {
    let started = Instant::now();
    let exploration = explore(generate, seeds, jobs, Duration::from_secs_f64(seconds.clamp(0.0, 1e6)));
    print_stdout(&format_exploration(&exploration, jobs, started.elapsed()));
    let Some(folder) = folder else { return Ok(exploration.failures.is_empty()) };
    for case in exploration.minimized(generate) {
        std::fs::create_dir_all(folder).map_err(|e| format!("cannot create {}: {e}", folder.display()))?;
        let path = folder.join(format!("{}-{}.toml", case.failure.name(), case.seed));
        let about = format!("Found by explore with seed {}, minimized.\n{}", case.seed, case.description);
        files::write(&path, &case.scenario, &about)?;
        print_stdout(&format!("  {}: {}\n", path.display(), case.description));
    }
    Ok(exploration.failures.is_empty())
}

/// Runs each scenario with its seed on `jobs` threads. Returns the results in order without their events, or
/// the error of the first scenario that cannot be run.
fn run_all(cases: &[(Scenario, u64)], jobs: usize) -> Result<Vec<ScenarioRun>, String> {
    let run_one = |(scenario, seed): &(Scenario, u64)| {
        run_scenario(scenario, *seed).map(|run| ScenarioRun { events: Vec::new(), ..run })
    };
    parallel_map(cases, jobs, run_one).into_iter().collect()
}

fn compare(a: &Path, b: &Path, seeds: Range<u64>, jobs: usize) -> Result<bool, String> {
    let (first, second) = (files::read(a)?, files::read(b)?);
    let pairs = seeds.flat_map(|seed| [(first.clone(), seed), (second.clone(), seed)]);
    let runs = run_all(&pairs.collect::<Vec<_>>(), jobs)?;
    let value = |run: &ScenarioRun| run.score.value;
    let pairs: Vec<(f64, f64)> = runs.chunks(2).map(|pair| (value(&pair[0]), value(&pair[1]))).collect();
    let mean =
        |value_of: fn(&(f64, f64)) -> f64| pairs.iter().map(value_of).sum::<f64>() / pairs.len() as f64;
    let failed_count =
        |offset: usize| runs.iter().skip(offset).step_by(2).filter(|run| !run.is_clean()).count();
    print_stdout(&format!(
        "{} seeds\n  A {}: worth {:.4}, {} runs failed\n",
        pairs.len(),
        a.display(),
        mean(|p| p.0),
        failed_count(0)
    ));
    print_stdout(&format!(
        "  B {}: worth {:.4}, {} runs failed\n",
        b.display(),
        mean(|p| p.1),
        failed_count(1)
    ));
    if let Some(d) = difference(&pairs) {
        let verdict =
            if d.is_significant() { "the difference is significant" } else { "no significant difference" };
        print_stdout(&format!(
            "  B - A {:+.4}, 95% confidence interval {:+.4} to {:+.4}: {verdict}\n",
            d.mean, d.low, d.high
        ));
    }
    Ok(runs.iter().all(ScenarioRun::is_clean))
}

fn sweep(path: &Path, key: &str, seeds: Range<u64>, jobs: usize) -> Result<bool, String> {
    files::read(path)?;
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    let (key, values) = key.split_once('=').ok_or("write --key KEY=VALUE,VALUE")?;
    let mut table: toml::Table = text.parse().map_err(|e| format!("{}: {e}", path.display()))?;
    let mut cases = Vec::new();
    let values: Vec<&str> = values.split(',').collect();
    for value in &values {
        // A value that is not valid TOML, such as a duration with its unit, becomes a string.
        let parsed = format!("v = {value}").parse::<toml::Table>().ok().and_then(|mut t| t.remove("v"));
        table.insert(key.to_string(), parsed.unwrap_or(toml::Value::String(value.to_string())));
        let text = toml::to_string(&table).map_err(|e| e.to_string())?;
        let scenario = files::parse(&text, path)?;
        cases.extend(seeds.clone().map(|seed| (scenario.clone(), seed)));
    }
    let all_runs = run_all(&cases, jobs)?;
    print_stdout(&format!("{key:>12}    worth    least   in time      p99    refused     failed\n"));
    for (value, runs) in values.iter().zip(all_runs.chunks((seeds.end - seeds.start) as usize)) {
        let mean = |value_of: &dyn Fn(&ScenarioRun) -> f64| {
            runs.iter().map(value_of).sum::<f64>() / runs.len() as f64
        };
        let lowest = runs.iter().map(|run| run.score.value).fold(1.0, f64::min);
        let in_time = mean(&|run| run.score.in_time as f64 / run.score.messages.max(1) as f64);
        let rejected = mean(&|run| {
            run.score.loss_reasons.get(&nickelshed_judge::LossReason::Refused).copied().unwrap_or(0) as f64
        });
        let failed = runs.iter().filter(|run| !run.is_clean()).count();
        print_stdout(&format!(
            "{value:>12}   {:.4}   {lowest:.4}    {in_time:.4} {:>6.0}ms   {rejected:8.1}   {failed:8}\n",
            mean(&|run| run.score.value),
            mean(&|run| run.score.p99_ms)
        ));
    }
    Ok(all_runs.iter().all(ScenarioRun::is_clean))
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Run { scenarios, seed, trace } => run_scenarios(&scenarios, seed, trace.as_deref()),
        Command::Report { scenario, seed, out } => report(&scenario, seed, &out),
        Command::Explore { seeds, large, seconds, jobs: requested_jobs, keep, no_cut } => {
            let generate = if large { random_large_scenario } else { random_scenario };
            explore_and_save(
                generate,
                seeds,
                seconds,
                thread_count(requested_jobs),
                (!no_cut).then_some(&keep),
            )
        }
        Command::Draw { seed, large, out } => {
            let scenario = if large { random_large_scenario(seed) } else { random_scenario(seed) };
            files::write(&out, &scenario, &format!("The scenario of seed {seed}.")).map(|()| true)
        }
        Command::Kills { scenario, seed, operations, bytes, jobs: requested_jobs } => {
            run_kills(&scenario, seed, Stride { operations, bytes }, thread_count(requested_jobs))
        }
        Command::Crossings { scenario, seed, every, first, jobs: requested_jobs } => {
            run_crossings(&scenario, seed, every, first, thread_count(requested_jobs))
        }
        Command::Sockets { scenario, seed } => compare_sockets(&scenario, seed),
        Command::Compare { a, b, seeds, jobs: requested_jobs } => {
            compare(&a, &b, seeds, thread_count(requested_jobs))
        }
        Command::Sweep { scenario, key, seeds, jobs: requested_jobs } => {
            sweep(&scenario, &key, seeds, thread_count(requested_jobs))
        }
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("nickelshed-lab: {error}");
            ExitCode::from(2)
        }
    }
}

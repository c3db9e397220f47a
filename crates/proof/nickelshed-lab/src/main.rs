//! The program `nickelshed-lab`: its arguments, and what it prints of days.
use clap::{Parser, Subcommand};
use nickelshed_judge::{Account, State};
use nickelshed_lab::{
    account_with_oracle, difference, explore, files, memory, parallel_map, run_fault_points, run_kill_points,
    run_scenario, run_scenario_with, Exploration, FaultInjection, Manner, ScenarioGenerator, ScenarioRun,
    Stride,
};
use nickelshed_model::{draw, draw_large, Scenario};
use std::fmt::Write as _;
use std::io::Write as _;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Plays days of the whole sender in virtual time, against a model of the systems that it serves, and judges them.
///
/// A day is a scenario file in TOML (see lab/scenarios) and a seed; the same two give the same bytes on any machine.
#[derive(Parser)]
#[command(
    version,
    after_help = "Ends with 0 if no rule was broken and nothing crashed, with 1 if something was, with 2 if it was called wrongly."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario and print the judge's verdict, and where worth was lost
    Run {
        #[arg(required = true, value_name = "SCENARIO")]
        scenarios: Vec<PathBuf>,
        /// [default: the file's own, or 1]
        #[arg(long)]
        seed: Option<u64>,
        /// Write every event as a line of JSON
        #[arg(long, value_name = "FILE")]
        trace: Option<PathBuf>,
    },
    /// Play a scenario and write one page of it: plots, the verdict, and the life of any message
    Report {
        #[arg(value_name = "SCENARIO")]
        scenario: PathBuf,
        /// [default: the file's own, or 1]
        #[arg(long)]
        seed: Option<u64>,
        /// Where the page is written; it needs no network
        #[arg(long, value_name = "FILE", default_value = "report.html")]
        out: PathBuf,
    },
    /// Play random days on all cores, look for broken rules and crashes, and cut each find down
    Explore {
        /// The seeds to play, as in 1..1000
        #[arg(long, value_parser = range, default_value = "1..1000000000")]
        seeds: Range<u64>,
        /// Days of 60 to 300 senders with troubles of such a fleet: killed in a herd, regions down, rooms cut off
        #[arg(long)]
        large: bool,
        /// Stop after so many seconds
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
        /// Days at once [default: one a core]
        #[arg(long)]
        jobs: Option<usize>,
        /// Where finds are written
        #[arg(long, value_name = "FOLDER", default_value = "lab/found")]
        keep: PathBuf,
        /// Tell the finds by their seeds, without cutting them down
        #[arg(long)]
        no_cut: bool,
    },
    /// Write the day that explore plays for a seed as a scenario
    Draw {
        seed: u64,
        /// One of its large days
        #[arg(long)]
        large: bool,
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Play a scenario once for each operation on the disk and each byte sent, with a sender killed there
    Kills {
        scenario: PathBuf,
        /// [default: the file's own, or 1]
        #[arg(long)]
        seed: Option<u64>,
        /// Only each so-manieth operation
        #[arg(long, default_value_t = 1)]
        operations: u64,
        /// Only each so-manieth byte
        #[arg(long, default_value_t = 1)]
        bytes: u64,
        #[arg(long)]
        jobs: Option<usize>,
    },
    /// Play a scenario once for each step at which a sender meets its host and each happening, placed just there
    Crossings {
        scenario: PathBuf,
        /// [default: the file's own, or 1]
        #[arg(long)]
        seed: Option<u64>,
        /// Only each so-manieth place
        #[arg(long, default_value_t = 1)]
        every: usize,
        /// The first place of these
        #[arg(long, default_value_t = 0)]
        first: usize,
        #[arg(long)]
        jobs: Option<usize>,
    },
    /// Play a scenario in simulated time and over real loopback sockets, side by side; the second takes its time
    Sockets {
        scenario: PathBuf,
        /// [default: the file's own, or 1]
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Play two scenarios on the same seeds, and say whether a difference is seen
    Compare {
        a: PathBuf,
        b: PathBuf,
        #[arg(long, value_parser = range, default_value = "1..31")]
        seeds: Range<u64>,
        #[arg(long)]
        jobs: Option<usize>,
    },
    /// Play a scenario with one of its figures at several values
    Sweep {
        scenario: PathBuf,
        /// KEY=VALUE,VALUE as in slots=8,16,32 or latency=0ms,20ms
        #[arg(long, value_name = "KEY=VALUES")]
        key: String,
        #[arg(long, value_parser = range, default_value = "1..11")]
        seeds: Range<u64>,
        #[arg(long)]
        jobs: Option<usize>,
    },
}

fn range(text: &str) -> Result<Range<u64>, String> {
    let parsed = text.split_once("..").and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    parsed.filter(|r: &Range<u64>| !r.is_empty()).ok_or(format!("`{text}` is no range of seeds; write 1..31"))
}

fn jobs(asked: Option<usize>) -> usize {
    asked.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, |n| n.get()))
}

fn print(text: &str) {
    let _ = std::io::stdout().lock().write_all(text.as_bytes());
}

fn state(state: State) -> &'static str {
    match state {
        State::Well => "well",
        State::Unseen => "out, not seen yet",
        State::Sick => "out, seen",
        State::Returning => "returning",
    }
}

fn booked(account: &Account) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "  {:.1}% of slot time in vain; by how destinations stood, in seconds:",
        100.0 * account.in_vain()
    );
    let time = |of: (State, bool, bool)| account.slots.get(&of).copied().unwrap_or(0) as f64 / 1e6;
    for s in [State::Well, State::Unseen, State::Sick, State::Returning] {
        let [a, b, c, d] =
            [(true, true), (true, false), (false, true), (false, false)].map(|(f, u)| time((s, f, u)));
        if a + b + c + d > 0.0 {
            let _ = writeln!(
                out,
                "    {:<18} first tries {a:7.1} useful {b:7.1} in vain; further ones {c:7.1} useful {d:7.1} in vain",
                state(s)
            );
        }
    }
    let all: usize = account.causes.values().sum();
    for ((s, doing), n) in &account.causes {
        let part = 100.0 * *n as f64 / all.max(1) as f64;
        let _ = writeln!(
            out,
            "    late or not delivered, most of its time {doing:?} while {}: {n} ({part:.0}%)",
            state(*s)
        );
    }
    let (calm, amid) = account.well_p99_ms;
    if amid > 0.0 {
        let _ = writeln!(
            out,
            "  p99 for destinations that are well: {calm:.0} ms while none is out, {amid:.0} ms while any is"
        );
    }
    out
}

fn tell(name: &str, scenario: &Scenario, seed: u64, day: &ScenarioRun, took: Duration) -> String {
    let (account, reachable) = account_with_oracle(scenario, seed, day);
    let r = &day.score;
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{name}, seed {seed}: {:.0} s played in {:.2} s ({:.0} times as fast)",
        day.length.as_secs_f64(),
        took.as_secs_f64(),
        day.length.as_secs_f64() / took.as_secs_f64().max(1e-9)
    );
    let _ = writeln!(
        out,
        "  worth {:.4}: {} messages, {} in time, {} late, {} not delivered; p50 {:.0} ms, p99 {:.0} ms",
        r.worth, r.messages, r.in_time, r.late, r.lost, r.p50_ms, r.p99_ms
    );
    let _ = writeln!(
        out,
        "  {:.4} is reached by one who knows how every destination stands: {:.3} of that here",
        reachable,
        r.worth / reachable.max(1e-9)
    );
    let _ = writeln!(out, "  {} calls, {} turned away", r.calls, r.turned_away);
    let why: Vec<String> =
        r.why.iter().map(|(why, n)| format!("{n} {}", format!("{why:?}").to_lowercase())).collect();
    if !why.is_empty() {
        let _ = writeln!(out, "  late or not delivered, by what took their time: {}", why.join(", "));
    }
    out += &booked(&account);
    for broken in day.violations.iter().take(10) {
        let _ = writeln!(
            out,
            "  BROKEN {:?} at {} ms: {} (events {:?})",
            broken.rule,
            broken.at / 1_000,
            broken.words,
            broken.events
        );
    }
    if day.violations.len() > 10 {
        let _ = writeln!(out, "  and {} more", day.violations.len() - 10);
    }
    for crash in &day.crashes {
        let _ = writeln!(out, "  CRASH {crash}");
    }
    if day.is_clean() {
        let _ = writeln!(out, "  all six rules were kept");
    }
    out
}

fn run(paths: &[PathBuf], seed: Option<u64>, trace: Option<&Path>) -> Result<bool, String> {
    // All of them before the first is played.
    let scenarios = paths.iter().map(|p| files::read(p)).collect::<Result<Vec<_>, _>>()?;
    let mut clean = true;
    for (path, scenario) in paths.iter().zip(scenarios) {
        let seed = seed.or(scenario.seed).unwrap_or(1);
        let from = Instant::now();
        let day = run_scenario(&scenario, seed)?;
        print(&tell(&path.display().to_string(), &scenario, seed, &day, from.elapsed()));
        clean &= day.is_clean();
        if let Some(trace) = trace {
            let line = |e| serde_json::to_string(e).unwrap_or_default() + "\n";
            let text: String = day.events.iter().map(line).collect();
            std::fs::write(trace, text).map_err(|e| format!("cannot write {}: {e}", trace.display()))?;
        }
    }
    Ok(clean)
}

fn report(path: &Path, seed: Option<u64>, out: &Path) -> Result<bool, String> {
    let scenario = files::read(path)?;
    let seed = seed.or(scenario.seed).unwrap_or(1);
    let day = run_scenario(&scenario, seed)?;
    let page = nickelshed_lab::report::page(&path.display().to_string(), &scenario, seed, &day)?;
    std::fs::write(out, page).map_err(|e| format!("cannot write {}: {e}", out.display()))?;
    print(&format!("{}\n", out.display()));
    Ok(day.is_clean())
}

/// Kills that are named one by one, at most.
const NAMED: usize = 20;

/// Prints the first of the points at which something was wrong. Whether there was none.
fn name_finds<P>(finds: &[(P, String)], name: impl Fn(&P) -> String) -> bool {
    for (point, words) in finds.iter().take(NAMED) {
        print(&format!("  {}: {words}\n", name(point)));
    }
    match finds.len() {
        0 => print("  all six rules were kept\n"),
        more if more > NAMED => print(&format!("  and {} more\n", more - NAMED)),
        _ => {}
    }
    finds.is_empty()
}

fn kill_everywhere(path: &Path, seed: Option<u64>, every: Stride, jobs: usize) -> Result<bool, String> {
    let scenario = files::read(path)?;
    let seed = seed.or(scenario.seed).unwrap_or(1);
    let from = Instant::now();
    let killed = run_kill_points(&scenario, seed, every, jobs)?;
    print(&format!(
        "{}, seed {seed}: killed in {} operations and at {} bytes, in {:.0} s on {jobs} threads\n",
        path.display(),
        killed.operations,
        killed.bytes,
        from.elapsed().as_secs_f64()
    ));
    Ok(name_finds(&killed.failures, |kill| format!("sender {}, {:?}", kill.sender, kill.cut)))
}

fn cross_everywhere(
    path: &Path,
    seed: Option<u64>,
    every: usize,
    first: usize,
    jobs: usize,
) -> Result<bool, String> {
    let scenario = files::read(path)?;
    let seed = seed.or(scenario.seed).unwrap_or(1);
    let from = Instant::now();
    let crossed = run_fault_points(&scenario, seed, every, first, jobs)?;
    print(&format!(
        "{}, seed {seed}: {} steps, {} days with something at one of them, in {:.0} s on {jobs} threads\n",
        path.display(),
        crossed.steps,
        crossed.runs,
        from.elapsed().as_secs_f64()
    ));
    Ok(name_finds(&crossed.failures, |FaultInjection { sender, step, after, fault }| {
        let when = if *after { "after" } else { "before" };
        format!("{fault:?} {when} step {step} of sender {sender}")
    }))
}

fn sockets(path: &Path, seed: Option<u64>) -> Result<bool, String> {
    let scenario = files::read(path)?;
    let seed = seed.or(scenario.seed).unwrap_or(1);
    let simulated = run_scenario(&scenario, seed)?;
    let real = run_scenario_with(&scenario, seed, Manner { over_sockets: true, ..Manner::default() })?;
    let row = |name: &str, figure: &dyn Fn(&ScenarioRun) -> f64| {
        let (a, b) = (figure(&simulated), figure(&real));
        format!("{name:>24} {a:>12.4} {b:>12.4} {:>+12.4}\n", b - a)
    };
    let why = |why| move |d: &ScenarioRun| d.score.why.get(&why).copied().unwrap_or(0) as f64;
    let mut out = format!(
        "{}, seed {seed}\n{:>24} {:>12} {:>12} {:>12}\n",
        path.display(),
        "",
        "simulated",
        "sockets",
        "difference"
    );
    out += &row("worth", &|d| d.score.worth);
    out += &row("in time", &|d| d.score.in_time as f64);
    out += &row("late", &|d| d.score.late as f64);
    out += &row("not delivered", &|d| d.score.lost as f64);
    out += &row("refused at the door", &why(nickelshed_judge::Why::Refused));
    out += &row("median, ms", &|d| d.score.p50_ms);
    out += &row("p99, ms", &|d| d.score.p99_ms);
    out += &row("calls", &|d| d.score.calls as f64);
    out += &row("turned away", &|d| d.score.turned_away as f64);
    out += &row("rules broken", &|d| d.violations.len() as f64);
    for (name, day) in [("simulated", &simulated), ("sockets", &real)] {
        for broken in day.violations.iter().take(5) {
            let _ = writeln!(
                out,
                "  {name}: BROKEN {:?} at {} ms: {}",
                broken.rule,
                broken.at / 1_000,
                broken.words
            );
        }
        for crash in &day.crashes {
            let _ = writeln!(out, "  {name}: CRASH {crash}");
        }
    }
    print(&out);
    Ok(simulated.is_clean() && real.is_clean())
}

fn told(explored: &Exploration, jobs: usize, took: Duration) -> String {
    let (simulated, spent) = (explored.simulated_time.as_secs_f64(), explored.thread_time.as_secs_f64());
    let mut out = format!(
        "{} days, {:.1} simulated hours, on {jobs} threads in {:.1} s: {:.0} simulated seconds for each second of a core\n",
        explored.runs,
        simulated / 3_600.0,
        took.as_secs_f64(),
        simulated / spent.max(1e-9)
    );
    for (fault, days) in &explored.failures {
        let _ = writeln!(out, "  {}: on {} days", fault.name(), days.len());
        for (seed, words) in days {
            let _ = writeln!(out, "    seed {seed}, {words}");
        }
    }
    if explored.failures.is_empty() {
        out.push_str("  no rule was broken and nothing crashed\n");
    }
    if let Some(bytes) = memory::peak_bytes() {
        let _ = writeln!(out, "  {:.0} MB of memory at most", bytes as f64 / 1e6);
    }
    out
}

fn explore_and_keep(
    draw: ScenarioGenerator,
    seeds: Range<u64>,
    seconds: f64,
    jobs: usize,
    keep: Option<&Path>,
) -> Result<bool, String> {
    let from = Instant::now();
    let explored = explore(draw, seeds, jobs, Duration::from_secs_f64(seconds.clamp(0.0, 1e6)));
    print(&told(&explored, jobs, from.elapsed()));
    let Some(keep) = keep else { return Ok(explored.failures.is_empty()) };
    for find in explored.minimized(draw) {
        std::fs::create_dir_all(keep).map_err(|e| format!("cannot make {}: {e}", keep.display()))?;
        let path = keep.join(format!("{}-{}.toml", find.failure.name(), find.seed));
        let about = format!("Found by explore with seed {}, cut down.\n{}", find.seed, find.description);
        files::write(&path, &find.scenario, &about)?;
        print(&format!("  {}: {}\n", path.display(), find.description));
    }
    Ok(explored.failures.is_empty())
}

/// The worth of each day, in order, on so many threads; an error is that of the first day that can't be played.
fn worths(days: &[(Scenario, u64)], jobs: usize) -> Result<Vec<ScenarioRun>, String> {
    let play_one = |(scenario, seed): &(Scenario, u64)| {
        run_scenario(scenario, *seed).map(|day| ScenarioRun { events: Vec::new(), ..day })
    };
    parallel_map(days, jobs, play_one).into_iter().collect()
}

fn compare(a: &Path, b: &Path, seeds: Range<u64>, jobs: usize) -> Result<bool, String> {
    let (first, second) = (files::read(a)?, files::read(b)?);
    let pairs = seeds.flat_map(|seed| [(first.clone(), seed), (second.clone(), seed)]);
    let days = worths(&pairs.collect::<Vec<_>>(), jobs)?;
    let worth = |d: &ScenarioRun| d.score.worth;
    let pairs: Vec<(f64, f64)> = days.chunks(2).map(|pair| (worth(&pair[0]), worth(&pair[1]))).collect();
    let mean = |part: fn(&(f64, f64)) -> f64| pairs.iter().map(part).sum::<f64>() / pairs.len() as f64;
    let broken = |of: usize| days.iter().skip(of).step_by(2).filter(|d| !d.is_clean()).count();
    print(&format!(
        "{} seeds\n  A {}: worth {:.4}, {} days not clean\n",
        pairs.len(),
        a.display(),
        mean(|p| p.0),
        broken(0)
    ));
    print(&format!("  B {}: worth {:.4}, {} days not clean\n", b.display(), mean(|p| p.1), broken(1)));
    if let Some(d) = difference(&pairs) {
        let seen = if d.is_significant() { "a difference is seen" } else { "no difference seen" };
        print(&format!(
            "  B - A {:+.4}, 95 of 100 between {:+.4} and {:+.4}: {seen}\n",
            d.mean, d.low, d.high
        ));
    }
    Ok(days.iter().all(ScenarioRun::is_clean))
}

fn sweep(path: &Path, key: &str, seeds: Range<u64>, jobs: usize) -> Result<bool, String> {
    files::read(path)?;
    let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    let (key, values) = key.split_once('=').ok_or("write --key KEY=VALUE,VALUE")?;
    let mut table: toml::Table = text.parse().map_err(|e| format!("{}: {e}", path.display()))?;
    let mut days = Vec::new();
    let values: Vec<&str> = values.split(',').collect();
    for value in &values {
        // A figure, or else a text: a time with its unit.
        let parsed = format!("v = {value}").parse::<toml::Table>().ok().and_then(|mut t| t.remove("v"));
        table.insert(key.to_string(), parsed.unwrap_or(toml::Value::String(value.to_string())));
        let text = toml::to_string(&table).map_err(|e| e.to_string())?;
        let scenario = files::parse(&text, path)?;
        days.extend(seeds.clone().map(|seed| (scenario.clone(), seed)));
    }
    let played = worths(&days, jobs)?;
    print(&format!("{key:>12}    worth    least   in time      p99    refused  not clean\n"));
    for (value, days) in values.iter().zip(played.chunks((seeds.end - seeds.start) as usize)) {
        let mean =
            |part: &dyn Fn(&ScenarioRun) -> f64| days.iter().map(part).sum::<f64>() / days.len() as f64;
        let least = days.iter().map(|d| d.score.worth).fold(1.0, f64::min);
        let in_time = mean(&|d| d.score.in_time as f64 / d.score.messages.max(1) as f64);
        let refused =
            mean(&|d| d.score.why.get(&nickelshed_judge::Why::Refused).copied().unwrap_or(0) as f64);
        let unclean = days.iter().filter(|d| !d.is_clean()).count();
        print(&format!(
            "{value:>12}   {:.4}   {least:.4}    {in_time:.4} {:>6.0}ms   {refused:8.1}   {unclean:8}\n",
            mean(&|d| d.score.worth),
            mean(&|d| d.score.p99_ms)
        ));
    }
    Ok(played.iter().all(ScenarioRun::is_clean))
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Run { scenarios, seed, trace } => run(&scenarios, seed, trace.as_deref()),
        Command::Report { scenario, seed, out } => report(&scenario, seed, &out),
        Command::Explore { seeds, large, seconds, jobs: asked, keep, no_cut } => {
            let draw = if large { draw_large } else { draw };
            explore_and_keep(draw, seeds, seconds, jobs(asked), (!no_cut).then_some(&keep))
        }
        Command::Draw { seed, large, out } => {
            let day = if large { draw_large(seed) } else { draw(seed) };
            files::write(&out, &day, &format!("The day of seed {seed}.")).map(|()| true)
        }
        Command::Kills { scenario, seed, operations, bytes, jobs: asked } => {
            kill_everywhere(&scenario, seed, Stride { operations, bytes }, jobs(asked))
        }
        Command::Crossings { scenario, seed, every, first, jobs: asked } => {
            cross_everywhere(&scenario, seed, every, first, jobs(asked))
        }
        Command::Sockets { scenario, seed } => sockets(&scenario, seed),
        Command::Compare { a, b, seeds, jobs: asked } => compare(&a, &b, seeds, jobs(asked)),
        Command::Sweep { scenario, key, seeds, jobs: asked } => sweep(&scenario, &key, seeds, jobs(asked)),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("nickelshed-lab: {error}");
            ExitCode::from(2)
        }
    }
}

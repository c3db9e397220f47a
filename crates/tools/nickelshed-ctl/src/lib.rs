//! The commands of `nickelshed-ctl` and their arguments. This is a library so that tests of other packages
//! can create and check configuration files with it.
mod doctor;
mod files;
mod members;
mod new;
mod report;

use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
pub use files::CheckedFiles;
use nickelshed_config::fleet::Fleet;
use nickelshed_config::{diff, reference, write, Code, Finding, Level, Sidecar, TypeSchema};
use std::ffi::OsString;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Writes, checks and explains the configuration of sidecars.
///
/// A sidecar is a nickelshed process that runs next to one application and delivers its messages. It runs as
/// `nickelshed --config FILE`; this tool creates that file and reports its errors before they stop alerts.
#[derive(Parser)]
#[command(
    version,
    after_help = "First steps:
  nickelshed-ctl new alarm --destination gmina-lipno:7=127.0.0.1:7501
  nickelshed-ctl check alarm.toml
  nickelshed-ctl doctor alarm.toml
  nickelshed --config alarm.toml

Exit codes: 0 success, possibly with warnings; 1 an error was found, or a file is not formatted (fmt --check);
2 invalid arguments, or a file cannot be written."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Create a configuration for one application, or for each application of a fleet
    #[command(after_help = "Examples:
  nickelshed-ctl new alarm --class alert:3s:16s:keyed --destination gmina-lipno:7=127.0.0.1:7501,127.0.0.1:7502
  nickelshed-ctl new --fleet deploy/fleet.toml --out sidecars

An existing file is only overwritten with --force, and then atomically.")]
    New(Box<new::New>),
    /// Check configurations, each alone and all for conflicts, without inspecting the host
    #[command(
        after_help = "Pass all files of a host in one call: only then are conflicts between them found."
    )]
    Check {
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
        /// Exit with 1 on warnings too
        #[arg(long)]
        deny_warnings: bool,
    },
    /// Explain what a code means, why it matters and how to fix it; without a code, list all codes
    Explain { code: Option<String> },
    /// Describe the differences between two configurations and when each takes effect
    Diff { old: PathBuf, new: PathBuf },
    /// Print the JSON Schema of a sidecar configuration, for editors
    Schema {
        /// Print the schema of a fleet file instead
        #[arg(long)]
        fleet: bool,
    },
    /// Format files; comments, order and values stay unchanged
    Fmt {
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// Change nothing, and exit with 1 if a file would be changed
        #[arg(long)]
        check: bool,
    },
    /// Check a configuration against this host: port, folders, disk, descriptors, memory, and whether
    /// endpoints accept connections
    Doctor {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Inspect the fleet that the sidecar of a configuration belongs to
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// Print the reference page of all keys and codes
    Reference,
    /// Print a completion script for a shell
    Completions { shell: clap_complete::Shell },
}

#[derive(Subcommand)]
enum FleetCommand {
    /// List the members in the view of one member, with state, time in that state, version and settings
    #[command(
        after_help = "Exit codes: 0 all present members have the same view without suspect or gone members; 1 otherwise;
2 invalid arguments; 3 no member answers. The tool queries the member that the file configures, then its
seeds, until one answers. It does not join the fleet."
    )]
    Members {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Print the view each time it changes
    Watch {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        #[arg(long)]
        json: bool,
        /// Exit after this many seconds [default: run until interrupted]
        #[arg(long)]
        seconds: Option<u64>,
    },
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    Text,
    Json,
}

/// Result of a command, as an exit code.
enum Outcome {
    Success,
    /// Exit code 1: an error was found, or a file is not formatted.
    HasFindings,
    /// Another exit code.
    Code(u8),
}

/// Prints to standard output. Ignores errors because the reader may have closed the pipe.
fn print(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

fn print_findings(findings: &[Finding], contents: &[files::FileContent], format: Format) {
    match format {
        Format::Text => print(&report::format_text(findings, contents)),
        Format::Json => print(&format!("{:#}\n", report::format_json(findings, contents))),
    }
}

/// Reads files and checks them, each alone and all for conflicts.
pub fn check(paths: &[PathBuf]) -> CheckedFiles {
    let mut checked = CheckedFiles::default();
    for path in paths {
        let (content, read_error) = files::read(path);
        checked.add(content, read_error);
    }
    checked.check_conflicts();
    checked
}

fn outcome_of(findings: &[Finding], deny_warnings: bool) -> Outcome {
    let worst = findings.iter().map(Finding::level).max();
    match worst {
        Some(Level::Error) => Outcome::HasFindings,
        Some(Level::Warning) if deny_warnings => Outcome::HasFindings,
        _ => Outcome::Success,
    }
}

fn explain(code: Option<&str>) -> Result<(), String> {
    let Some(code) = code else {
        let line = |c: &Code| {
            format!(
                "{c}  {:7}  {}\n",
                if c.level() == Level::Error { "error" } else { "warning" },
                c.info().title
            )
        };
        print(&Code::ALL.iter().map(line).collect::<String>());
        return Ok(());
    };
    let known: Code = code
        .parse()
        .map_err(|()| format!("unknown code {code}; `nickelshed-ctl explain` lists all codes"))?;
    let info = known.info();
    let level = if known.level() == Level::Error {
        "An error: a sidecar with it does not start, or would violate a guarantee."
    } else {
        "A warning: `allow = [\"CODE\"]` in the file accepts it."
    };
    let level = level.replace("CODE", info.code);
    print(&format!(
        "{known}: {}\n\n{level}\n\nWhy it matters: {}\n\nHow to fix it: {}\n",
        info.title, info.why, info.fix
    ));
    Ok(())
}

/// Reads a configuration. If its syntax or types are invalid, prints its findings and returns `None`.
fn load_sidecar(path: &Path) -> Option<Sidecar> {
    let mut checked = check(std::slice::from_ref(&path.to_path_buf()));
    let file = checked.parsed.pop().flatten();
    if file.is_none() {
        print_findings(&checked.findings, &checked.contents, Format::Text);
    }
    file.map(|(sidecar, _)| sidecar)
}

fn print_diff(old: &Path, new: &Path) -> Outcome {
    let (Some(old), Some(new)) = (load_sidecar(old), load_sidecar(new)) else { return Outcome::HasFindings };
    let changes = diff::diff(&old, &new);
    if changes.is_empty() {
        print("No differences.\n");
    }
    for (takes_effect, title) in [
        (diff::TakesEffect::OnReload, "Immediately on reload (SIGHUP):"),
        (diff::TakesEffect::AfterRestart, "After a restart:"),
    ] {
        let descriptions: Vec<&str> = changes
            .iter()
            .filter(|c| c.takes_effect == takes_effect)
            .map(|c| c.description.as_str())
            .collect();
        if !descriptions.is_empty() {
            print(&format!("{title}\n  {}\n", descriptions.join("\n  ")));
        }
    }
    Outcome::Success
}

fn format_files(paths: &[PathBuf], only_check: bool) -> Result<Outcome, String> {
    let mut outcome = Outcome::Success;
    for path in paths {
        let (content, read_error) = files::read(path);
        if let Some(finding) = read_error {
            return Err(finding.message);
        }
        let old_text = nickelshed_config::source::text(&content.bytes).map_err(|f| f.message)?;
        let new_text = write::format_text(old_text).map_err(|e| format!("{}: {e}", path.display()))?;
        if new_text == old_text {
            continue;
        }
        outcome = Outcome::HasFindings;
        if only_check {
            print(&format!("{} would be formatted\n", path.display()));
        } else {
            files::write(path, &new_text, true)
                .map_err(|e| format!("cannot write {}: {e}", path.display()))?;
            print(&format!("{} was formatted\n", path.display()));
        }
    }
    Ok(if only_check { outcome } else { Outcome::Success })
}

fn doctor(path: &Path, format: Format) -> Outcome {
    let mut checked = check(std::slice::from_ref(&path.to_path_buf()));
    if let Some((sidecar, source)) = checked.parsed.first().and_then(Option::as_ref) {
        let folder = path.parent().unwrap_or(Path::new(""));
        checked.findings.extend(doctor::examine(sidecar, source, folder));
    }
    print_findings(&checked.findings, &checked.contents, format);
    outcome_of(&checked.findings, false)
}

/// Prints the state of a fleet: once if `watch_for` is `None`, otherwise at each change until that time has
/// passed.
fn fleet(path: &Path, json: bool, watch_for: Option<Duration>) -> Result<Outcome, String> {
    let Some(sidecar) = load_sidecar(path) else { return Ok(Outcome::HasFindings) };
    let folder = path.parent().unwrap_or(Path::new(""));
    let (started_at, mut last_printed) = (Instant::now(), None);
    loop {
        let report = members::inspect_fleet(&sidecar, folder)?;
        // `seconds_in_state` is left out of the comparison because it changes all the time.
        let state = (report.health, report.members.iter().map(|member| member.status).collect::<Vec<_>>());
        if last_printed.as_ref() != Some(&state) {
            last_printed = Some(state);
            print(&if json { format!("{}\n", report.json()) } else { report.text() });
        }
        if watch_for.is_none_or(|duration| started_at.elapsed() >= duration) {
            return Ok(Outcome::Code(report.exit_code()));
        }
        std::thread::sleep(Duration::from_secs(1));
    }
}

fn run_command(command: Command) -> Result<Outcome, String> {
    match command {
        Command::New(new) => match new.run()? {
            Ok(paths) => paths.iter().for_each(|p| print(&format!("{}\n", p.display()))),
            Err(checked) => {
                print_findings(&checked.findings, &checked.contents, Format::Text);
                return Ok(Outcome::HasFindings);
            }
        },
        Command::Check { files, format, deny_warnings } => {
            let checked = check(&files);
            print_findings(&checked.findings, &checked.contents, format);
            return Ok(outcome_of(&checked.findings, deny_warnings));
        }
        Command::Explain { code } => explain(code.as_deref())?,
        Command::Diff { old, new } => return Ok(print_diff(&old, &new)),
        Command::Schema { fleet } => {
            let schema = if fleet { TypeSchema::of::<Fleet>() } else { TypeSchema::of::<Sidecar>() };
            print(&format!("{:#}\n", schema.json()));
        }
        Command::Fmt { files, check } => return format_files(&files, check),
        Command::Doctor { file, format } => return Ok(doctor(&file, format)),
        Command::Fleet(FleetCommand::Members { file, json }) => return fleet(&file, json, None),
        Command::Fleet(FleetCommand::Watch { file, json, seconds }) => {
            return fleet(&file, json, Some(seconds.map_or(Duration::MAX, Duration::from_secs)))
        }
        Command::Reference => print(&reference::page()),
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut command, "nickelshed-ctl", &mut script);
            print(&String::from_utf8_lossy(&script));
        }
    }
    Ok(Outcome::Success)
}

/// Runs the command in `arguments`, whose first item is the program name. Returns the exit code.
pub fn run<A: Into<OsString> + Clone>(arguments: impl IntoIterator<Item = A>) -> u8 {
    let command = match Arguments::try_parse_from(arguments) {
        Ok(arguments) => arguments.command,
        Err(error) => {
            let _ = error.print();
            return error.exit_code() as u8;
        }
    };
    match run_command(command) {
        Ok(Outcome::Success) => 0,
        Ok(Outcome::HasFindings) => 1,
        Ok(Outcome::Code(code)) => code,
        Err(error) => {
            eprintln!("nickelshed-ctl: {error}");
            2
        }
    }
}

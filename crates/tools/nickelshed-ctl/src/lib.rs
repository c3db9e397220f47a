//! The tool `nickelshed-ctl`: its arguments, and which part does what they ask. A library, so that tests of other
//! packages can write and check files with it.
mod doctor;
mod files;
mod members;
mod new;
mod report;

use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
pub use files::Checked;
use nickelshed_config::fleet::Fleet;
use nickelshed_config::{diff, reference, write, Code, Finding, Level, Sidecar, TypeSchema};
use std::ffi::OsString;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Writes, checks and explains the configuration of sidecars.
///
/// A sidecar is a nickelshed that stands beside one application and delivers its messages. It runs as
/// `nickelshed --config FILE`; this tool makes that file and finds its mistakes before alerts stop.
#[derive(Parser)]
#[command(
    version,
    after_help = "First steps:
  nickelshed-ctl new alarm --destination gmina-lipno:7=127.0.0.1:7501
  nickelshed-ctl check alarm.toml
  nickelshed-ctl doctor alarm.toml
  nickelshed --config alarm.toml

Ends with 0 if all is well (warnings may have been told), with 1 if an error was found or a file would be laid out
anew, with 2 if it was called wrongly or a file can't be written."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Write a configuration for an application, or for each one of a fleet
    #[command(after_help = "Examples:
  nickelshed-ctl new alarm --class alert:3s:16s:keyed --destination gmina-lipno:7=127.0.0.1:7501,127.0.0.1:7502
  nickelshed-ctl new --fleet deploy/fleet.toml --out sidecars

A file that is there is never written over without --force, and then whole or not at all.")]
    New(Box<new::New>),
    /// Check configurations, each by itself and all together, without a look at the host
    #[command(
        after_help = "Give all files of a host at once: two that claim one port or folder are found only so."
    )]
    Check {
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
        /// End with 1 on warnings too
        #[arg(long)]
        deny_warnings: bool,
    },
    /// Tell what a code means, why it matters and how to mend it; without a code, list all
    Explain { code: Option<String> },
    /// Say in words what the change from one configuration to another means
    Diff { old: PathBuf, new: PathBuf },
    /// Print the JSON Schema of a sidecar's file, for editors
    Schema {
        /// Of a fleet's file
        #[arg(long)]
        fleet: bool,
    },
    /// Lay files out anew; comments, order and values stay
    Fmt {
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// Change nothing, and end with 1 if a file would be changed
        #[arg(long)]
        check: bool,
    },
    /// Look at this host: port, folders, disk, descriptors, and whether endpoints answer
    Doctor {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Look at the fleet that a file's sidecar is a member of
    #[command(subcommand)]
    Fleet(Look),
    /// Print the page that lists every key
    Reference,
    /// Print a script that completes this program's arguments in a shell
    Completions { shell: clap_complete::Shell },
}

#[derive(Subcommand)]
enum Look {
    /// Who is there, since when, with which version and settings, by the view of one member
    #[command(
        after_help = "Ends with 0 if all present members hold one view with nobody suspect or gone in it, with 1 if not, with 2 if it
was called wrongly, with 3 if no member answers. It asks the file's own member first, then its seeds, and counts nowhere."
    )]
    Members {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Print the view each time it has changed
    Watch {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        #[arg(long)]
        json: bool,
        /// End after so many seconds [default: when it is told to]
        #[arg(long)]
        seconds: Option<u64>,
    },
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    Text,
    Json,
}

/// What a command has come to.
enum Done {
    Well,
    Found,
    Code(u8),
}

/// A reader that leaves early is no mistake.
fn print(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

fn tell(findings: &[Finding], texts: &[files::Text], format: Format) {
    match format {
        Format::Text => print(&report::text(findings, texts)),
        Format::Json => print(&format!("{:#}\n", report::json(findings, texts))),
    }
}

/// Reads files and checks them, each by itself and all together.
pub fn check(paths: &[PathBuf]) -> Checked {
    let mut checked = Checked::default();
    for path in paths {
        let (text, failed) = files::read(path);
        checked.add(text, failed);
    }
    checked.together();
    checked
}

fn verdict(findings: &[Finding], deny_warnings: bool) -> Done {
    let worst = findings.iter().map(Finding::level).max();
    match worst {
        Some(Level::Error) => Done::Found,
        Some(Level::Warning) if deny_warnings => Done::Found,
        _ => Done::Well,
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
    let known: Code =
        code.parse().map_err(|()| format!("there is no code {code}; `nickelshed-ctl explain` lists them"))?;
    let about = known.info();
    let level = if known.level() == Level::Error {
        "An error: a sidecar does not start with it, or would break a promise."
    } else {
        "A warning: `allow = [\"CODE\"]` in the file accepts it."
    };
    let level = level.replace("CODE", about.code);
    print(&format!(
        "{known}: {}\n\n{level}\n\nWhy it matters: {}\n\nHow to mend it: {}\n",
        about.title, about.why, about.fix
    ));
    Ok(())
}

/// A configuration whose form is right; else its findings were told.
fn sidecar(path: &Path) -> Option<Sidecar> {
    let mut checked = check(std::slice::from_ref(&path.to_path_buf()));
    let file = checked.files.pop().flatten();
    if file.is_none() {
        tell(&checked.findings, &checked.texts, Format::Text);
    }
    file.map(|(sidecar, _)| sidecar)
}

fn difference(old: &Path, new: &Path) -> Done {
    let (Some(old), Some(new)) = (sidecar(old), sidecar(new)) else { return Done::Found };
    let changes = diff::diff(&old, &new);
    if changes.is_empty() {
        print("Both mean the same.\n");
    }
    for (when, title) in [
        (diff::TakesEffect::OnReload, "On SIGHUP, at once:"),
        (diff::TakesEffect::AfterRestart, "At the next start:"),
    ] {
        let words: Vec<&str> =
            changes.iter().filter(|c| c.takes_effect == when).map(|c| c.description.as_str()).collect();
        if !words.is_empty() {
            print(&format!("{title}\n  {}\n", words.join("\n  ")));
        }
    }
    Done::Well
}

fn tidy(paths: &[PathBuf], only_check: bool) -> Result<Done, String> {
    let mut done = Done::Well;
    for path in paths {
        let (text, failed) = files::read(path);
        if let Some(finding) = failed {
            return Err(finding.message);
        }
        let old = nickelshed_config::source::text(&text.bytes).map_err(|f| f.message)?;
        let new = write::format_text(old).map_err(|e| format!("{}: {e}", path.display()))?;
        if new == old {
            continue;
        }
        done = Done::Found;
        if only_check {
            print(&format!("{} would be laid out anew\n", path.display()));
        } else {
            files::write(path, &new, true).map_err(|e| format!("cannot write {}: {e}", path.display()))?;
            print(&format!("{} is laid out anew\n", path.display()));
        }
    }
    Ok(if only_check { done } else { Done::Well })
}

fn doctor(path: &Path, format: Format) -> Done {
    let mut checked = check(std::slice::from_ref(&path.to_path_buf()));
    if let Some((sidecar, source)) = checked.files.first().and_then(Option::as_ref) {
        let folder = path.parent().unwrap_or(Path::new(""));
        checked.findings.extend(doctor::examine(sidecar, source, folder));
    }
    tell(&checked.findings, &checked.texts, format);
    verdict(&checked.findings, false)
}

/// Looks at a fleet once, or again and again until the time is over.
fn fleet(path: &Path, json: bool, again: Option<Duration>) -> Result<Done, String> {
    let Some(sidecar) = sidecar(path) else { return Ok(Done::Found) };
    let folder = path.parent().unwrap_or(Path::new(""));
    let (start, mut before) = (Instant::now(), None);
    loop {
        let look = members::look(&sidecar, folder)?;
        // How long each has been there is no change.
        let told = (look.stand, look.members.iter().map(|m| m.status).collect::<Vec<_>>());
        if before.as_ref() != Some(&told) {
            before = Some(told);
            print(&if json { format!("{}\n", look.json()) } else { look.text() });
        }
        if again.is_none_or(|time| start.elapsed() >= time) {
            return Ok(Done::Code(look.code()));
        }
        std::thread::sleep(Duration::from_secs(1));
    }
}

fn run(command: Command) -> Result<Done, String> {
    match command {
        Command::New(new) => match new.run()? {
            Ok(paths) => paths.iter().for_each(|p| print(&format!("{}\n", p.display()))),
            Err(checked) => {
                tell(&checked.findings, &checked.texts, Format::Text);
                return Ok(Done::Found);
            }
        },
        Command::Check { files, format, deny_warnings } => {
            let checked = check(&files);
            tell(&checked.findings, &checked.texts, format);
            return Ok(verdict(&checked.findings, deny_warnings));
        }
        Command::Explain { code } => explain(code.as_deref())?,
        Command::Diff { old, new } => return Ok(difference(&old, &new)),
        Command::Schema { fleet } => {
            let shape = if fleet { TypeSchema::of::<Fleet>() } else { TypeSchema::of::<Sidecar>() };
            print(&format!("{:#}\n", shape.json()));
        }
        Command::Fmt { files, check } => return tidy(&files, check),
        Command::Doctor { file, format } => return Ok(doctor(&file, format)),
        Command::Fleet(Look::Members { file, json }) => return fleet(&file, json, None),
        Command::Fleet(Look::Watch { file, json, seconds }) => {
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
    Ok(Done::Well)
}

/// Does what the arguments ask, the program's name first among them. What the process ends with.
pub fn call<A: Into<OsString> + Clone>(arguments: impl IntoIterator<Item = A>) -> u8 {
    let command = match Arguments::try_parse_from(arguments) {
        Ok(arguments) => arguments.command,
        Err(told) => {
            let _ = told.print();
            return told.exit_code() as u8;
        }
    };
    match run(command) {
        Ok(Done::Well) => 0,
        Ok(Done::Found) => 1,
        Ok(Done::Code(code)) => code,
        Err(error) => {
            eprintln!("nickelshed-ctl: {error}");
            2
        }
    }
}

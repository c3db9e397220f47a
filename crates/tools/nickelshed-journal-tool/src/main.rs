//! The `nickelshed-journal` command: arguments and exit codes.
mod report;

use clap::{Parser, Subcommand};
use nickelshed_journal::{inspect_folder, Folder, Inspection, Integrity};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// Shows the messages that a sender has accepted and not finished, from its state folder. The sender may be
/// running: nothing is locked or changed.
#[derive(Parser)]
#[command(version, after_help = EXIT_CODES_HELP)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

const EXIT_CODES_HELP: &str =
    "Exit codes: 0 whole, 2 invalid arguments, 3 torn (the last write was cut off; nothing that was \
acknowledged is missing), 4 damaged, 5 the folder cannot be read or was written by a newer version.";

#[derive(Subcommand)]
enum Command {
    /// Shows the open messages, by class and destination
    Inspect {
        /// The sender's state folder
        folder: PathBuf,
        /// The disk limit in MB as configured, to show the space that is left
        #[arg(long, value_name = "MB")]
        disk_mb: Option<f64>,
        /// Print the report as JSON
        #[arg(long)]
        json: bool,
    },
    /// Checks that every record can be read, and lists the unreadable ranges
    Verify {
        /// The sender's state folder
        folder: PathBuf,
        /// Print the report as JSON
        #[arg(long)]
        json: bool,
    },
    /// Prints every open message as a JSON object on a line, with its body in Base64
    Export {
        /// The sender's state folder
        folder: PathBuf,
    },
}

fn main() -> ExitCode {
    let command = Arguments::parse().command;
    let (Command::Inspect { folder, .. } | Command::Verify { folder, .. } | Command::Export { folder }) =
        &command;
    let inspection = match open(folder) {
        Ok(inspection) => inspection,
        Err(error) => {
            eprintln!("nickelshed-journal: {}: {error}", folder.display());
            return ExitCode::from(5);
        }
    };
    let output = match &command {
        Command::Inspect { disk_mb, json: false, .. } => report::inspect(&inspection, now_ms(), *disk_mb),
        Command::Inspect { disk_mb, json: true, .. } => report::inspect_json(&inspection, now_ms(), *disk_mb),
        Command::Verify { json: false, .. } => report::verify(&inspection),
        Command::Verify { json: true, .. } => report::verify_json(&inspection),
        Command::Export { .. } => report::export(&inspection),
    };
    // Closing the pipe early is not an error.
    let _ = std::io::stdout().write_all(output.as_bytes());
    match inspection.integrity() {
        Integrity::Intact => ExitCode::SUCCESS,
        Integrity::Torn => ExitCode::from(3),
        Integrity::Damaged => ExitCode::from(4),
    }
}

fn open(folder: &Path) -> Result<Inspection, String> {
    if !folder.is_dir() {
        return Err("not a folder; give the sender's state folder (EDGE_STATE)".into());
    }
    inspect_folder(&Folder::new(folder)).map_err(|e| e.to_string())
}

fn now_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since_epoch| since_epoch.as_millis() as i64)
}

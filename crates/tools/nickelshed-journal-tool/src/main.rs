//! The program `nickelshed-journal`: its arguments and exit codes.
mod report;

use clap::{Parser, Subcommand};
use nickelshed_journal::{look, Folder, State, View};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// Shows what a sender has taken on and not ended, from its state folder. The sender may be running: nothing is
/// locked or changed.
#[derive(Parser)]
#[command(version, after_help = EXITS)]
struct Arguments {
    #[command(subcommand)]
    what: What,
}

const EXITS: &str =
    "Exit codes: 0 whole, 2 wrong arguments, 3 torn (the last write was cut off; nothing that was \
promised is missing), 4 damaged, 5 the folder can't be read or belongs to a newer version.";

#[derive(Subcommand)]
enum What {
    /// What is held, by class and destination
    Inspect {
        /// The sender's state folder
        folder: PathBuf,
        /// The disk's limit in MB as the configuration has it, to tell the room that is left
        #[arg(long, value_name = "MB")]
        disk_mb: Option<f64>,
        #[arg(long)]
        json: bool,
    },
    /// Whether every record can be read, with the places of those that can't
    Verify {
        folder: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Every message that is held, a JSON object a line, bodies in Base64
    Export { folder: PathBuf },
}

fn main() -> ExitCode {
    let what = Arguments::parse().what;
    let (What::Inspect { folder, .. } | What::Verify { folder, .. } | What::Export { folder }) = &what;
    let view = match open(folder) {
        Ok(view) => view,
        Err(error) => {
            eprintln!("nickelshed-journal: {}: {error}", folder.display());
            return ExitCode::from(5);
        }
    };
    let text = match &what {
        What::Inspect { disk_mb, json: false, .. } => report::inspect(&view, now(), *disk_mb),
        What::Inspect { disk_mb, json: true, .. } => report::inspect_json(&view, now(), *disk_mb),
        What::Verify { json: false, .. } => report::verify(&view),
        What::Verify { json: true, .. } => report::verify_json(&view),
        What::Export { .. } => report::export(&view),
    };
    // A reader that has seen enough is no failure.
    let _ = std::io::stdout().write_all(text.as_bytes());
    match view.state() {
        State::Whole => ExitCode::SUCCESS,
        State::Torn => ExitCode::from(3),
        State::Damaged => ExitCode::from(4),
    }
}

fn open(folder: &Path) -> Result<View, String> {
    if !folder.is_dir() {
        return Err("is no folder; give the sender's state folder (EDGE_STATE)".into());
    }
    look(&Folder::new(folder)).map_err(|e| e.to_string())
}

fn now() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as i64)
}

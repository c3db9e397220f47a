//! The program `nickelshed`: its arguments, its log, and one sender.
use clap::Parser;
use nickelshed::Operator;
use nickelshed_journal::Folder;
use std::path::PathBuf;
use std::process::ExitCode;

/// Delivers messages to other people's systems. Where it listens and what it keeps to is told by EDGE_LISTEN,
/// EDGE_DISCOVERY, EDGE_STATE and EDGE_CONFIG.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// The operator's file (see deploy/operator.toml)
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let level = std::env::var("RUST_LOG").ok().and_then(|l| l.parse().ok()).unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
    let operator = arguments.operator.as_deref().map_or(Ok(Operator::default()), Operator::read);
    match operator.and_then(|operator| nickelshed::run(&operator, Folder::new)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "cannot go on");
            ExitCode::FAILURE
        }
    }
}

//! The `nickelshed` executable: command line, logging, and one sender.
use clap::Parser;
use nickelshed::{ConfigSource, Operator};
use nickelshed_journal::Folder;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Delivers messages to systems of other parties.
///
/// As the sidecar of one application it reads its whole configuration from one file:
/// `nickelshed --config deploy/sidecar.toml`.
/// On the platform it reads EDGE_LISTEN, EDGE_DISCOVERY, EDGE_STATE and EDGE_CONFIG.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// The sidecar's configuration (see deploy/sidecar.toml; nickelshed-ctl creates and checks it)
    #[arg(long, value_name = "FILE", conflicts_with = "operator")]
    config: Option<PathBuf>,
    /// On the platform: the settings that the operator makes in addition (see deploy/operator.toml)
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

fn load_operator(path: &Path) -> Result<Operator, String> {
    let bytes = std::fs::read(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    Operator::load(&bytes).map_err(|findings| {
        let text = String::from_utf8_lossy(&bytes);
        findings.iter().map(|f| f.to_log_line(path.display(), &text)).collect::<Vec<_>>().join("\n")
    })
}

fn config_source(arguments: &Arguments) -> Result<ConfigSource, String> {
    match (&arguments.config, &arguments.operator) {
        (Some(config), _) => Ok(ConfigSource::Sidecar(config.clone())),
        (None, Some(path)) => Ok(ConfigSource::Platform(load_operator(path)?)),
        (None, None) => Ok(ConfigSource::Platform(Operator::default())),
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let level = std::env::var("RUST_LOG").ok().and_then(|l| l.parse().ok()).unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        // An event that cannot be written would be reported on standard error too, which panics there.
        .log_internal_errors(false)
        .init();
    match config_source(&arguments).and_then(|config_source| nickelshed::run(&config_source, Folder::new)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            for line in error.lines() {
                tracing::error!("cannot go on: {line}");
            }
            ExitCode::FAILURE
        }
    }
}

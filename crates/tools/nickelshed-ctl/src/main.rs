//! The program `nickelshed-ctl`: see the library for its commands.
use std::process::ExitCode;

fn main() -> ExitCode {
    ExitCode::from(nickelshed_ctl::run(std::env::args_os()))
}

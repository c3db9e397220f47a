//! The program `nickelshed-ctl`.
use std::process::ExitCode;

fn main() -> ExitCode {
    ExitCode::from(nickelshed_ctl::call(std::env::args_os()))
}

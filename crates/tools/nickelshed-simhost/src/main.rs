//! Runs the policy of many senders in one process for a simulator, which writes events to standard input and
//! reads actions from standard output.
mod adapter;

use std::io::{BufRead, Write};

fn main() {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::BufWriter::new(std::io::stdout().lock());
    let mut adapter = adapter::Adapter::default();
    let mut reply = String::new();
    let mut line = Vec::new();
    let mut line_number = 0u64;
    loop {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) => exit_with_error(&format!("line {}: cannot read: {error}", line_number + 1)),
        }
        line_number += 1;
        let text = match std::str::from_utf8(&line) {
            Ok(text) => text.trim_end_matches(['\n', '\r']),
            Err(_) => exit_with_error(&format!("line {line_number}: not UTF-8 text")),
        };
        match adapter.handle_line(text, &mut reply) {
            Ok(false) => {}
            Ok(true) => {
                let write_result = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
                if write_result.is_err() {
                    return;
                }
                reply.clear();
            }
            Err(error) => exit_with_error(&format!("line {line_number}: {error}")),
        }
    }
}

/// Prints one message and exits with code 2. The policy must not decide on input that cannot be parsed.
fn exit_with_error(message: &str) -> ! {
    eprintln!("nickelshed-simhost: {message}");
    std::process::exit(2)
}

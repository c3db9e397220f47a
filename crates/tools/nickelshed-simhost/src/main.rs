//! The adapter: the simulator's wire on standard input and output, many senders in one process.
mod host;

use std::io::{BufRead, Write};

fn main() {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::BufWriter::new(std::io::stdout().lock());
    let mut host = host::Host::default();
    let mut reply = String::new();
    let mut line = Vec::new();
    let mut number = 0u64;
    loop {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) => stop(&format!("line {}: cannot read: {e}", number + 1)),
        }
        number += 1;
        let text = match std::str::from_utf8(&line) {
            Ok(text) => text.trim_end_matches(['\n', '\r']),
            Err(_) => stop(&format!("line {number}: not UTF-8 text")),
        };
        match host.line(text, &mut reply) {
            Ok(false) => {}
            Ok(true) => {
                let sent = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
                if sent.is_err() {
                    return;
                }
                reply.clear();
            }
            Err(e) => stop(&format!("line {number}: {e}")),
        }
    }
}

/// A wire that cannot be understood is no ground to decide on: say why, once, and end.
fn stop(message: &str) -> ! {
    eprintln!("nickelshed-simhost: {message}");
    std::process::exit(2)
}

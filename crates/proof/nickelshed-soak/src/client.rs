//! Clients that submit messages one after the other, on connections that they keep.
use crate::history::History;
use nickelshed_judge::{Effect, EventKind};
use nickelshed_testkit::{read_http_message, submission_request};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Range of the time between two submissions of a client, in milliseconds.
const INTERVAL_MS: std::ops::Range<u64> = 20..160;
/// Range of the time for which messages may be delivered, in milliseconds.
const LIFETIME_MS: std::ops::Range<u64> = 800..4_000;
/// Fraction of the submissions that are sent a second time under the same id once they were answered.
const DUPLICATES: f64 = 0.03;

/// Where messages go.
pub struct Target {
    pub address: SocketAddr,
    pub destinations: u64,
}

/// Why a submission got no answer.
enum NoAnswer {
    /// The client gave up, or the connection may have been closed before the request was read.
    GaveUp,
    /// The sender closed a new connection after the request was written.
    ClosedUnanswered,
}

struct Submission {
    id: String,
    class: &'static str,
    dest: u64,
    lifetime_ms: u64,
}

/// Submits messages until `is_over` is set.
pub fn run_client(number: usize, seed: u64, target: Target, history: &History, is_over: &AtomicBool) {
    let mut random = fastrand::Rng::with_seed(seed ^ ((number as u64 + 1) << 32));
    let mut connection = None;
    for count in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let submission = Submission {
            id: format!("m{number}x{count}-0"),
            class: if random.bool() { "alert" } else { "order" },
            dest: random.u64(1..=target.destinations),
            lifetime_ms: random.u64(LIFETIME_MS),
        };
        connection = submit(&submission, connection, &target, history);
        if connection.is_some() && random.f64() < DUPLICATES {
            std::thread::sleep(Duration::from_millis(random.u64(INTERVAL_MS)));
            connection = send(&submission, connection, &target).ok().map(|(connection, _)| connection);
        }
        std::thread::sleep(Duration::from_millis(random.u64(INTERVAL_MS)));
    }
}

/// Submits a message and records what became of it. Returns the connection if it can be used again.
fn submit(
    submission: &Submission,
    connection: Option<TcpStream>,
    target: &Target,
    history: &History,
) -> Option<TcpStream> {
    let Submission { id, class, dest, lifetime_ms } = submission;
    history.record(EventKind::HandedIn {
        sender: 0,
        id: id.clone(),
        message: 0,
        class: 0,
        effect: if *class == "alert" { Effect::Keyed } else { Effect::Unsafe },
        dest: *dest,
        lifetime: lifetime_ms * 1_000,
    });
    let answered = send(submission, connection, target);
    history.record(match &answered {
        Ok((_, status)) => EventKind::Heard { id: id.clone(), status: *status },
        Err(NoAnswer::ClosedUnanswered) => EventKind::Heard { id: id.clone(), status: 0 },
        Err(NoAnswer::GaveUp) => EventKind::Left { id: id.clone() },
    });
    answered.ok().map(|(connection, _)| connection)
}

/// Sends the request of a submission, on a new connection if there is none. Returns the connection and the status
/// of the answer.
fn send(
    submission: &Submission,
    connection: Option<TcpStream>,
    target: &Target,
) -> Result<(TcpStream, u16), NoAnswer> {
    let Submission { id, class, dest, lifetime_ms } = submission;
    let is_new = connection.is_none();
    let connect = || TcpStream::connect_timeout(&target.address, ANSWER_TIMEOUT);
    let mut connection = connection.map_or_else(connect, Ok).map_err(|_| NoAnswer::GaveUp)?;
    let request = submission_request(class, id, *dest, *lifetime_ms, b"x");
    connection.write_all(&request).map_err(|_| NoAnswer::GaveUp)?;
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let _ = connection.set_read_timeout(Some(ANSWER_TIMEOUT));
    let reader = connection.try_clone().map_err(|_| NoAnswer::GaveUp)?;
    let status = read_http_message(&mut BufReader::new(reader), 0)
        .and_then(|answer| answer.start_line.split(' ').nth(1)?.parse().ok());
    match status {
        Some(status) => Ok((connection, status)),
        None if is_new && Instant::now() < deadline => Err(NoAnswer::ClosedUnanswered),
        None => Err(NoAnswer::GaveUp),
    }
}

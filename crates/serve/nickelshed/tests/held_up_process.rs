//! A sender that is held up while an answer arrives and the time of its call ends. What has arrived counts.
use nickelshed_testkit::*;
use serde_json::json;
use std::sync::Arc;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");
/// From the stop of the process to the end of the call, and from there until the process goes on.
const STOP_BEFORE_END: Duration = Duration::from_millis(70);
const STOP_AFTER_END: Duration = Duration::from_millis(60);
/// Much longer than the sender takes to send a message again or to report it.
const QUIET_PERIOD: Duration = Duration::from_millis(1_500);
/// Time until a message expires that is much longer than its first call takes.
const UNEXPIRED_MS: u64 = 16_000;
/// Tries to stop the process early enough, which may be missed on a busy machine.
const MAX_ROUNDS: usize = 10;
const RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// What the endpoint writes while the sender is held up.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LateAnswer {
    Delivered,
    Gone,
    WaitAsked,
}

impl LateAnswer {
    fn bytes(self) -> &'static str {
        match self {
            LateAnswer::Delivered => "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            LateAnswer::Gone => "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
            LateAnswer::WaitAsked => "HTTP/1.1 503 Wait\r\nRetry-After: 1.000\r\nContent-Length: 0\r\n\r\n",
        }
    }
}

struct Setup {
    endpoint: FakeServer,
    discovery: Discovery,
    sender: SenderProcess,
}

impl Setup {
    /// A sender with an endpoint that never answers. The first call of a message of class `alert` ends long
    /// before the message does.
    fn new() -> Setup {
        let endpoint = FakeServer::new(|_| Reply::Hang);
        let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
        let sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
            config["settings"]["Services"][0]["PromiseNs"] = json!(400_000_000u64);
        });
        Setup { endpoint, discovery, sender }
    }

    /// Submits a message, and returns the connection of its first call and when that was received.
    fn first_call(&self, class: &str, expires_ms: u64) -> (usize, Instant) {
        assert_eq!(self.sender.submit(class, "m", 7, expires_ms, b"x"), 202);
        let call = &self.endpoint.wait_for_message("m", 1)[0];
        (call.connection, call.received_at)
    }

    fn call_count(&self) -> usize {
        self.endpoint.received().iter().filter(|request| request.message_id() == "m").count()
    }
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// How long the sender gives the first call of such a message.
fn first_call_time(class: &str, expires_ms: u64) -> Duration {
    let setup = Setup::new();
    let (connection, began_at) = setup.first_call(class, expires_ms);
    assert!(setup.endpoint.wait_until_closed(connection, Duration::from_secs(20)));
    began_at.elapsed()
}

/// Lets the answer arrive and the call end while the process is stopped. Returns None if the process was not
/// stopped in time, otherwise when the answer was written.
fn hold_up_over_answer(
    setup: &Setup,
    (connection, began_at): (usize, Instant),
    call_time: Duration,
    answer: LateAnswer,
) -> Option<Instant> {
    let ends_at = began_at + call_time;
    sleep_until(ends_at - STOP_BEFORE_END);
    setup.sender.pause();
    let is_in_time = Instant::now() < ends_at - STOP_BEFORE_END / 2;
    let is_written = is_in_time && setup.endpoint.write_to(connection, answer.bytes());
    let written_at = Instant::now();
    sleep_until(ends_at + STOP_AFTER_END);
    setup.sender.resume();
    is_written.then_some(written_at)
}

fn assert_late_answer_counts(class: &'static str, expires_ms: u64, call_time: Duration, answer: LateAnswer) {
    for _ in 0..MAX_ROUNDS {
        let setup = Setup::new();
        let call = setup.first_call(class, expires_ms);
        let Some(written_at) = hold_up_over_answer(&setup, call, call_time, answer) else { continue };
        if answer == LateAnswer::WaitAsked {
            let second_call_at = setup.endpoint.wait_for_message("m", 2)[1].received_at;
            let waited = second_call_at.duration_since(written_at);
            assert!(waited >= RETRY_AFTER, "{class}: called again {waited:?} after {answer:?}");
        } else {
            std::thread::sleep(QUIET_PERIOD);
            assert_eq!(setup.call_count(), 1, "{class}, {answer:?}: {}", setup.sender.log());
            // An answer may have been written after the message expired, and then a notice is owed; but the
            // message is not returned to its client.
            let may_be_late = answer == LateAnswer::Delivered && expires_ms < UNEXPIRED_MS;
            let notices = setup.discovery.notices();
            let is_allowed = |notice: &serde_json::Value| may_be_late && notice["outcome"] == "given_up";
            assert!(notices.iter().all(is_allowed), "{class}, {expires_ms} ms, {answer:?}: {notices:?}");
        }
        return;
    }
    panic!("the process could not be stopped in time in {MAX_ROUNDS} rounds");
}

/// Guards against an answer that is lost because the runtime has not seen it when the time of its call ends.
#[test]
fn answer_that_arrives_while_the_process_is_held_up_counts_although_its_call_ends_meanwhile() {
    let classes = [("alert", UNEXPIRED_MS), ("alert", 600), ("order", 700)];
    let call_times = Arc::new(classes.map(|(class, expires_ms)| first_call_time(class, expires_ms)));
    std::thread::scope(|scope| {
        for (number, (class, expires_ms)) in classes.into_iter().enumerate() {
            for answer in [LateAnswer::Delivered, LateAnswer::Gone] {
                let call_time = call_times[number];
                scope.spawn(move || assert_late_answer_counts(class, expires_ms, call_time, answer));
            }
        }
        let call_time = call_times[0];
        scope.spawn(move || {
            assert_late_answer_counts("alert", UNEXPIRED_MS, call_time, LateAnswer::WaitAsked)
        });
    });
}

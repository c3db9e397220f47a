//! What a sender knows of an outage outlives a kill at any later moment.
use nickelshed_testkit::*;
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");
/// Consecutive failures that make a destination suspect.
const FAILURES: usize = 3;
/// Messages that wait for the destination when the new process starts to send.
const BACKLOG: usize = 8;
/// How long the destination takes for a call that it fails.
const CALL_TIME: Duration = Duration::from_millis(300);
/// Longer than a failed write of the known outages is left alone.
const DISK_RECOVERY: Duration = Duration::from_millis(1_000);

/// A destination that first fails every call and later answers none, another one that is well, and their sender.
struct Scenario {
    failing: FakeServer,
    healthy: FakeServer,
    is_silent: Arc<AtomicBool>,
    discovery: Discovery,
    sender: SenderProcess,
}

impl Scenario {
    fn start() -> Scenario {
        let is_silent = Arc::new(AtomicBool::new(false));
        let silent = is_silent.clone();
        let failing = FakeServer::new(move |_| {
            if silent.load(Ordering::SeqCst) {
                Reply::Hang
            } else {
                std::thread::sleep(CALL_TIME);
                http_reply("500 Internal Server Error", "", "")
            }
        });
        let healthy = FakeServer::new(|_| ok_reply());
        let discovery = Discovery::new(json!([
            ready_instance("e-1", failing.address, 7),
            ready_instance("e-2", healthy.address, 8)
        ]));
        let sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
            config["settings"]["FamilyInfo"]["SeparateRoutes"] = json!([true, false]);
        });
        Scenario { failing, healthy, is_silent, discovery, sender }
    }

    /// Each message fails at its only attempt, as it may have run.
    fn see_outage(&self) {
        for i in 0..FAILURES {
            let id = format!("failed-{i}");
            assert_eq!(self.sender.submit("order", &id, 7, 16_000, b"x"), 202);
            assert_eq!(self.discovery.wait_for_notice(&id)["outcome"], "given_up");
        }
    }

    /// Kills the sender, and returns how many calls the next process has in flight at once to the destination.
    fn calls_at_once_after_a_kill(mut self) -> usize {
        self.is_silent.store(true, Ordering::SeqCst);
        self.sender.kill();
        self.sender.restart();
        self.calls_at_once()
    }

    /// Returns how many calls the sender has in flight at once to the destination, which does not answer.
    fn calls_at_once(&self) -> usize {
        for i in 0..BACKLOG {
            assert_eq!(self.sender.submit("order", &format!("backlog-{i}"), 7, 16_000, b"x"), 202);
        }
        assert_eq!(self.sender.submit("order", "last", 8, 16_000, b"x"), 202);
        self.healthy.wait_for_message("last", 1);
        let is_backlog = |request: &&HttpMessage| request.message_id().starts_with("backlog");
        self.failing.received().iter().filter(is_backlog).count()
    }
}

/// The sender has nothing to do between the failures and the kill.
#[test]
fn an_outage_seen_just_before_a_kill_limits_the_next_process() {
    let scenario = Scenario::start();
    scenario.see_outage();
    assert!(scenario.calls_at_once_after_a_kill() <= 1);
}

#[test]
fn an_outage_seen_while_the_disk_failed_limits_the_next_process() {
    let mut scenario = Scenario::start();
    scenario.sender.kill();
    scenario.sender.prepare_for_file_size_limit();
    scenario.sender.restart();
    for i in 0..FAILURES {
        assert_eq!(scenario.sender.submit("order", &format!("failed-{i}"), 7, 16_000, b"x"), 202);
    }
    scenario.sender.limit_file_size(Some(0));
    std::thread::sleep(CALL_TIME * (FAILURES as u32 + 1));
    scenario.sender.limit_file_size(None);
    std::thread::sleep(DISK_RECOVERY);
    assert!(scenario.calls_at_once_after_a_kill() <= 1);
}

/// A new process may not know yet of the endpoint that failed.
#[test]
fn an_outage_of_an_endpoint_that_the_first_list_does_not_name_limits_the_next_process() {
    let mut scenario = Scenario::start();
    scenario.see_outage();
    scenario.is_silent.store(true, Ordering::SeqCst);
    scenario.sender.kill();
    scenario.discovery.stop_answering();
    // The second kill shows that a process which never learned of the endpoint keeps what it found.
    scenario.sender.restart();
    scenario.sender.kill();
    scenario.sender.restart();
    scenario.discovery.resume_answering();
    let is_listed = || scenario.sender.try_submit("order", "first", 8, 16_000, b"x") == Some(202);
    scenario.sender.wait_until("the list is known", is_listed);
    assert!(scenario.calls_at_once() <= 1);
}

//! Writes that fail for a while: to the log and to the state folder.
use nickelshed_testkit::*;
use serde_json::json;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");

/// Much longer than the sender takes to send a message again, or to post a notice.
const QUIET_PERIOD: Duration = Duration::from_millis(1_000);
/// How long after SIGTERM the disk works again. The process may use 3.7 s.
const TIME_AFTER_SIGTERM: Duration = Duration::from_millis(2_500);
/// How long an endpoint takes to answer a call during which the disk begins to fail.
const CALL_TIME: Duration = Duration::from_millis(400);

/// A sender whose disk can be made to fail, and which makes one attempt of each message; and an endpoint that
/// answers `slow` messages with `status` after `CALL_TIME`.
fn start_with_slow_endpoint(status: &'static str) -> (FakeServer, Discovery, SenderProcess) {
    let endpoint = FakeServer::new(move |request| {
        if !request.message_id().starts_with("slow") {
            return ok_reply();
        }
        std::thread::sleep(CALL_TIME);
        http_reply(status, "", "")
    });
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let mut sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
        config["settings"]["Limits"]["MaxAttempts"] = json!(1);
    });
    sender.kill();
    sender.prepare_for_file_size_limit();
    sender.restart();
    (endpoint, discovery, sender)
}

#[test]
fn a_message_that_ended_while_the_disk_failed_is_not_sent_again_after_a_kill() {
    for status in ["410 Gone", "200 OK"] {
        let (endpoint, _discovery, mut sender) = start_with_slow_endpoint(status);
        sender.config["settings"]["Limits"]["MaxAttempts"] = json!(8);
        assert_eq!(sender.submit("alert", "slow", 7, 16_000, b"x"), 202);
        sender.limit_file_size(Some(0));
        endpoint.wait_for_message("slow", 1);
        std::thread::sleep(QUIET_PERIOD);
        sender.limit_file_size(None);
        std::thread::sleep(QUIET_PERIOD);
        sender.kill();
        sender.restart();
        assert_eq!(sender.submit("alert", "next", 7, 16_000, b"x"), 202);
        endpoint.wait_for_message("next", 1);
        std::thread::sleep(QUIET_PERIOD);
        assert_eq!(endpoint.wait_for_message("slow", 1).len(), 1, "{status}");
    }
}

/// Guards against a process that ends after SIGTERM while its disk fails, and leaves the end of a message unrecorded
/// that it had time to record.
#[test]
fn message_that_ended_while_the_disk_failed_is_not_sent_again_after_sigterm() {
    for status in ["410 Gone", "200 OK"] {
        let (endpoint, _discovery, mut sender) = start_with_slow_endpoint(status);
        sender.config["settings"]["Limits"]["MaxAttempts"] = json!(8);
        assert_eq!(sender.submit("alert", "slow", 7, 16_000, b"x"), 202);
        sender.limit_file_size(Some(0));
        endpoint.wait_for_message("slow", 1);
        sender.terminate();
        std::thread::sleep(TIME_AFTER_SIGTERM);
        if sender.is_running() {
            sender.limit_file_size(None);
        }
        sender.wait_for_exit();
        sender.restart();
        assert_eq!(sender.submit("alert", "next", 7, 16_000, b"x"), 202);
        endpoint.wait_for_message("next", 1);
        std::thread::sleep(QUIET_PERIOD);
        assert_eq!(endpoint.wait_for_message("slow", 1).len(), 1, "{status}");
    }
}

#[test]
fn a_notice_is_posted_only_once_its_ending_is_recorded() {
    let (endpoint, discovery, sender) = start_with_slow_endpoint("503 Full");
    assert_eq!(sender.submit("alert", "slow", 7, 16_000, b"x"), 202);
    sender.limit_file_size(Some(0));
    endpoint.wait_for_message("slow", 1);
    std::thread::sleep(QUIET_PERIOD);
    assert!(discovery.notices().is_empty(), "after a kill the message would be sent again");
    sender.limit_file_size(None);
    assert_eq!(discovery.wait_for_notice("slow")["outcome"], "handed_back");
}

#[test]
fn a_notice_is_posted_at_the_deadline_while_the_disk_still_fails() {
    let (endpoint, discovery, sender) = start_with_slow_endpoint("503 Full");
    let submitted_at = std::time::Instant::now();
    assert_eq!(sender.submit("alert", "slow", 7, 2_000, b"x"), 202);
    sender.limit_file_size(Some(0));
    endpoint.wait_for_message("slow", 1);
    assert_eq!(discovery.wait_for_notice("slow")["outcome"], "handed_back");
    assert!(submitted_at.elapsed() > Duration::from_millis(1_500), "before its time was up");
}

#[test]
fn a_log_that_cannot_be_written_stops_no_delivery() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    sender.kill();
    sender.set_log_file("/dev/full");
    sender.set_environment("RUST_LOG", "debug");
    sender.restart();
    for id in ["a", "b", "c"] {
        assert_eq!(sender.try_submit("alert", id, 7, 16_000, b"x"), Some(202), "{id}");
        endpoint.wait_for_message(id, 1);
    }
    assert!(sender.is_running());
}

#[test]
fn a_message_is_not_both_returned_and_failed_when_the_process_is_killed_while_the_disk_fails() {
    let (endpoint, discovery, mut sender) = start_with_slow_endpoint("503 Full");
    assert_eq!(sender.submit("order", "slow", 7, 1_500, b"x"), 202);
    sender.limit_file_size(Some(0));
    endpoint.wait_for_message("slow", 1);
    discovery.wait_for_notice("slow");
    sender.kill();
    sender.restart();
    let is_notice = |request: &&HttpMessage| request.start_line.starts_with("POST /reports");
    discovery
        .server
        .wait_until("a notice of the next process", |requests| requests.iter().filter(is_notice).count() > 1);
    let outcomes: Vec<_> = discovery.notices().iter().map(|notice| notice["outcome"].clone()).collect();
    assert!(outcomes.iter().all(|outcome| outcome == &outcomes[0]), "{outcomes:?}");
}

#[test]
fn a_message_without_a_recorded_attempt_is_returned_by_both_processes_when_the_disk_fails() {
    let (endpoint, discovery, mut sender) = start_with_slow_endpoint("200 OK");
    discovery.set_instances(json!([terminating_instance(7)]));
    std::thread::sleep(QUIET_PERIOD);
    assert_eq!(sender.submit("order", "queued", 7, 3_000, b"x"), 202);
    sender.limit_file_size(Some(0));
    discovery.set_instances(json!([ready_instance("e-2", endpoint.address, 7)]));
    discovery.wait_for_notice("queued");
    sender.kill();
    sender.restart();
    discovery.server.wait_until("a notice of the next process", |requests| {
        requests.iter().filter(|request| request.start_line.starts_with("POST /reports")).count() > 1
    });
    let outcomes: Vec<_> = discovery.notices().iter().map(|notice| notice["outcome"].clone()).collect();
    assert!(outcomes.iter().all(|outcome| outcome == "handed_back"), "{outcomes:?}");
}

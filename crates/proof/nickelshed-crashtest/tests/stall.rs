//! The sender's single thread is blocked in a write by a hanging disk, while events continue to arrive.
use nickelshed_testkit::*;
use serde_json::{json, Value};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed-crashtest");

/// State of the fake discovery server: the list and its version.
type SharedList = Arc<(Mutex<(u64, Value)>, Condvar)>;

/// Answers a watch as soon as the list is newer than the requested version, and not before. So the answer is
/// already in the sender's socket buffer when the disk continues.
fn answer_when_newer(shared_list: &SharedList, request: &HttpMessage) -> Reply {
    let (lock, list_changed) = &**shared_list;
    let requested_version =
        request.start_line.split_once("index=").and_then(|(_, rest)| rest.split(['&', ' ']).next());
    let requested_version = requested_version.and_then(|version| version.parse::<u64>().ok());
    let state = lock.lock().unwrap();
    let (state, wait_result) = list_changed
        .wait_timeout_while(state, WAIT_TIMEOUT, |state| {
            requested_version.is_some_and(|version| version >= state.0)
        })
        .unwrap();
    assert!(!wait_result.timed_out());
    http_reply("200 OK", "", &json!({"generation": state.0, "reset": true, "instances": state.1}).to_string())
}

/// Discovery lists an endpoint as draining while the thread is blocked in the commit of a call to it. The
/// call has not started, so it must be dropped: the sender has to read the list from its socket before it
/// sends the first byte of the call.
#[test]
fn a_drain_notified_while_the_disk_hangs_stops_a_call_that_has_not_started() {
    let (draining_endpoint, new_endpoint) =
        (FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply()));
    let first_list = json!([ready_instance("e-1", draining_endpoint.address, 7)]);
    let discovery = Discovery::new(first_list.clone());
    let shared_list: SharedList = Arc::new((Mutex::new((1, first_list)), Condvar::new()));
    let list_for_server = shared_list.clone();
    discovery.server.set_script(move |request| answer_when_newer(&list_for_server, request));
    let mut sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |_| {});
    let stall_file = sender.folder.join("stall");
    sender.set_environment("STALL", stall_file.to_str().unwrap());
    sender.kill();
    // Releases the watch of the killed process.
    shared_list.0.lock().unwrap().0 = 2;
    shared_list.1.notify_all();
    sender.restart();
    // The sender has the list once it rejects destination 9 as unknown. That response involves no write.
    sender
        .wait_until("the sender has the list", || sender.submit("alert", "nowhere", 9, 16_000, b"x") != 503);
    std::fs::write(&stall_file, "").unwrap();
    std::thread::scope(|scope| {
        // The response arrives only after the stall, and the client times out before. That does not affect
        // this test.
        scope.spawn(|| sender.try_submit("alert", "during", 7, 16_000, b"x"));
        sender.wait_until("the sender blocks in a write", || sender.log().contains("stalls"));
        let list = json!([
            instance("e-1", draining_endpoint.address, 7, "plain", "Terminating"),
            ready_instance("e-2", new_endpoint.address, 7)
        ]);
        *shared_list.0.lock().unwrap() = (3, list);
        shared_list.1.notify_all();
        // Longer than the threshold of the stall detector and the grace period for drains.
        std::thread::sleep(Duration::from_millis(1_500));
        std::fs::remove_file(&stall_file).unwrap();
    });
    let has_received =
        |server: &FakeServer| server.received().iter().any(|request| request.message_id() == "during");
    sender.wait_until("the message is delivered", || {
        has_received(&draining_endpoint) || has_received(&new_endpoint)
    });
    assert!(!has_received(&draining_endpoint), "the message went to the draining endpoint");
}

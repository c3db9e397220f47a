//! The sender's one thread, kept in a write by a disk that hangs while the world goes on.
use nickelshed_testkit::*;
use serde_json::{json, Value};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed-crashtest");

/// What discovery has: a version and its list.
type Shared = Arc<(Mutex<(u64, Value)>, Condvar)>;

/// A watch is answered the moment that the list is newer, and not before: what is told lies on the sender's socket.
fn answers_when_newer(shared: &Shared, request: &HttpMessage) -> Reply {
    let (lock, news) = &**shared;
    let index = request.start_line.split_once("index=").and_then(|(_, r)| r.split(['&', ' ']).next());
    let index = index.and_then(|i| i.parse::<u64>().ok());
    let state = lock.lock().unwrap();
    let (state, late) =
        news.wait_timeout_while(state, WAIT_TIMEOUT, |s| index.is_some_and(|i| i >= s.0)).unwrap();
    assert!(!late.timed_out());
    http_reply("200 OK", "", &json!({"generation": state.0, "reset": true, "instances": state.1}).to_string())
}

/// A drain is told while the thread stands in a write of the very round that has decided to call there. The call has
/// not begun, so it must not: the list on the socket is read before its first byte.
#[test]
fn a_drain_told_while_the_disk_hangs_is_kept_by_the_call_that_waited_for_it() {
    let (old, new) = (FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply()));
    let first = json!([ready_instance("e-1", old.address, 7)]);
    let discovery = Discovery::new(first.clone());
    let shared: Shared = Arc::new((Mutex::new((1, first)), Condvar::new()));
    let script = shared.clone();
    discovery.server.set_script(move |request| answers_when_newer(&script, request));
    let mut node = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |_| {});
    let stall = node.folder.join("stall");
    node.set_environment("STALL", stall.to_str().unwrap());
    node.kill();
    // Lets go of the watch that died with the process.
    shared.0.lock().unwrap().0 = 2;
    shared.1.notify_all();
    node.restart();
    // It has the list once it knows that there is no destination 9, and that writes nothing.
    node.wait_until("it has the list", || node.submit("alert", "nowhere", 9, 16_000, b"x") != 503);
    std::fs::write(&stall, "").unwrap();
    std::thread::scope(|scope| {
        // Nobody hears before the disk goes on; the client does not wait so long, which changes nothing here.
        scope.spawn(|| node.try_submit("alert", "during", 7, 16_000, b"x"));
        node.wait_until("it stands in a write", || node.log().contains("stalls"));
        let list = json!([
            instance("e-1", old.address, 7, "plain", "Terminating"),
            ready_instance("e-2", new.address, 7)
        ]);
        *shared.0.lock().unwrap() = (3, list);
        shared.1.notify_all();
        // Longer than what passes for a step, and than the grace for drains.
        std::thread::sleep(Duration::from_millis(1_500));
        std::fs::remove_file(&stall).unwrap();
    });
    let got = |peer: &FakeServer| peer.received().iter().any(|r| r.message_id() == "during");
    node.wait_until("it is delivered", || got(&old) || got(&new));
    assert!(!got(&old), "it went to what had been told to drain");
}

//! Tests of race conditions. Fake servers hold back a byte until an event has occurred, or the process is
//! paused with SIGSTOP, so that the interleaving under test occurs in every run.
use nickelshed_testkit::*;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");

/// `wait` blocks until `open` has been called, for `WAIT_TIMEOUT` at most.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    fn open(&self) {
        *self.0 .0.lock().unwrap() = true;
        self.0 .1.notify_all();
    }

    fn wait(&self) {
        let is_open = self.0 .0.lock().unwrap();
        drop(self.0 .1.wait_timeout_while(is_open, WAIT_TIMEOUT, |open| !*open).unwrap());
    }
}

/// A message that expires leaves its call, which continues for the others. The message with the most time
/// left is listed first in a batch: a platform was observed to ignore the whole response if the message
/// listed first had left the call.
#[test]
fn a_batch_lists_the_message_with_most_time_left_first_and_delivers_it_after_another_has_expired() {
    let gate = Gate::default();
    let endpoint_gate = gate.clone();
    let endpoint = FakeServer::new(move |request| {
        if !request.start_line.contains(":batch") {
            return http_reply("429 Wait", "Retry-After: 1\r\n", "");
        }
        endpoint_gate.wait();
        let list: Vec<Value> = serde_json::from_slice(&request.body).unwrap();
        let results: Vec<Value> = list.iter().map(|m| json!({"id": m["id"], "state": "done"})).collect();
        http_reply("200 OK", "", &json!(results).to_string())
    });
    let discovery = Discovery::new(json!([instance("e-1", endpoint.address, 7, "many", "Ready")]));
    // Class `brief` has the highest value and the shortest deadline, so the policy puts its message first.
    let mut sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
        let services = config["settings"]["Services"].as_array_mut().unwrap();
        let mut brief = services[1].clone();
        (brief["Name"], brief["Worth"], brief["DeadlineNs"]) =
            (json!("brief"), json!(4), json!(2_500_000_000u64));
        services.push(brief);
    });
    assert_eq!(sender.submit("order", "first", 7, 2_500, b"0"), 202);
    endpoint.wait_for_message("first", 1);
    for (class, id, expires) in
        [("brief", "short", 2_500), ("order", "long", 16_000), ("order", "middle", 9_000)]
    {
        assert_eq!(sender.submit(class, id, 7, expires, id.as_bytes()), 202);
    }
    // The message has left its call. The call is still in flight: the response has not begun.
    assert_eq!(discovery.wait_for_notice("short")["outcome"], "given_up");
    gate.open();
    let received =
        endpoint.wait_until("the batch", |requests| requests.iter().any(|r| r.start_line.contains(":batch")));
    let batch = received.iter().find(|r| r.start_line.contains(":batch")).unwrap();
    let list: Vec<Value> = serde_json::from_slice(&batch.body).unwrap();
    let ids: Vec<&str> = list.iter().filter_map(|m| m["id"].as_str()).collect();
    assert!(ids.contains(&"short"), "{ids:?}");
    let position = |id: &str| ids.iter().position(|i| *i == id).unwrap();
    assert!(position("long") == 0 && position("middle") < position("short"), "{ids:?}");
    sender.terminate();
    assert!(sender.wait_for_exit().success());
    let notices: Vec<Value> = discovery.notices();
    assert!(notices.iter().all(|n| n["message"] != "long" && n["message"] != "middle"), "{notices:?}");
}

/// Starts a sender with a limit of 20 open messages and queues 18 for an endpoint that accepts no calls. The
/// next message is above the threshold at which the sender sheds load.
fn start_at_open_limit(discovery: &Discovery) -> SenderProcess {
    let mut sender = SenderProcess::start_with(PROGRAM, discovery, json!([]), |config| {
        config["settings"]["Limits"]["MaxOpen"] = json!(20);
    });
    sender.terminate();
    assert!(sender.wait_for_exit().success());
    sender.set_environment("RUST_LOG", "debug");
    sender.restart();
    for n in 0..18 {
        assert_eq!(sender.submit("order", &format!("queued-{n}"), 7, 16_000, b"x"), 202);
    }
    sender
}

fn received_ids(endpoint: &FakeServer) -> Vec<String> {
    let mut ids: Vec<String> = endpoint.received().iter().map(|r| r.message_id().to_string()).collect();
    ids.sort();
    ids
}

/// Above the limit of open messages a submission is answered only after the admission wait. If the same
/// message is submitted twice during that wait, both requests get the same answer. A message that is shed
/// leaves no notice and no record in the journal.
#[test]
fn a_message_shed_after_the_admission_wait_leaves_no_record() {
    let (draining, available) = (FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply()));
    let list = |lifecycle| {
        json!([
            instance("e-1", draining.address, 7, "plain", lifecycle),
            ready_instance("e-2", available.address, 8)
        ])
    };
    let discovery = Discovery::new(list("Terminating"));
    let mut sender = start_at_open_limit(&discovery);
    let clients: Vec<TcpStream> = (0..2)
        .map(|_| {
            let mut client = TcpStream::connect(sender.address).unwrap();
            client.write_all(&submission_request("order", "over", 7, 16_000, b"x")).unwrap();
            client
        })
        .collect();
    for client in clients {
        let response = read_http_message(&mut BufReader::new(client), 0).unwrap();
        assert!(
            response.start_line.contains(" 503 ") && response.headers.contains_key("retry-after"),
            "{response:?}"
        );
    }
    // A message that can be sent at once is accepted at once, also above the limit. It is keyed because the
    // kill may come before the sender has read the response to its call.
    assert_eq!(sender.submit("alert", "goes", 8, 16_000, b"x"), 202);
    available.wait_for_message("goes", 1);
    sender.kill();
    discovery.set_instances(list("Ready"));
    sender.restart();
    draining.wait_until("all queued messages", |received| received.len() >= 18);
    assert_eq!(sender.submit("order", "last", 7, 16_000, b"x"), 202);
    draining.wait_for_message("last", 1);
    assert!(!received_ids(&draining).contains(&"over".to_string()), "{:?}", received_ids(&draining));
    assert!(discovery.notices().is_empty(), "{:?}", discovery.notices());
}

/// The process is killed while a client waits for the answer to its submission. The next process has no
/// record of the message, and the client, which got no answer, submits it again.
#[test]
fn a_message_in_its_admission_wait_is_left_to_its_client_after_a_kill() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let list = |lifecycle| json!([instance("e-1", endpoint.address, 7, "plain", lifecycle)]);
    let discovery = Discovery::new(list("Terminating"));
    let mut sender = start_at_open_limit(&discovery);
    let mut client = TcpStream::connect(sender.address).unwrap();
    client.write_all(&submission_request("order", "waiting", 7, 16_000, b"x")).unwrap();
    sender.wait_until("the submission has arrived", || sender.log().contains("trace=\"waiting\""));
    sender.kill();
    discovery.set_instances(list("Ready"));
    sender.restart();
    endpoint.wait_until("all queued messages", |received| received.len() >= 18);
    assert_eq!(sender.submit("order", "waiting", 7, 16_000, b"x"), 202);
    assert_eq!(endpoint.wait_for_message("waiting", 1).len(), 1);
    assert!(discovery.notices().is_empty(), "{:?}", discovery.notices());
}

/// SIGTERM arrives while a client waits for the answer to its submission: the client gets one, and the exit
/// is not delayed.
#[test]
fn a_message_in_its_admission_wait_is_answered_on_sigterm() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([instance("e-1", endpoint.address, 7, "plain", "Terminating")]));
    let mut sender = start_at_open_limit(&discovery);
    let mut client = TcpStream::connect(sender.address).unwrap();
    client.write_all(&submission_request("order", "waiting", 7, 16_000, b"x")).unwrap();
    sender.wait_until("the submission has arrived", || sender.log().contains("trace=\"waiting\""));
    sender.terminate();
    let response = read_http_message(&mut BufReader::new(client), 0).unwrap();
    assert!(response.start_line.contains(" 503 "), "{response:?}");
    assert!(sender.wait_for_exit().success());
}

/// The endpoint accepts every connection and closes it at once, before the request is written. An attempt
/// must not reconnect by itself.
#[test]
fn an_attempt_opens_at_most_one_connection_when_connections_are_closed_on_accept() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let counter = accepted.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            counter.fetch_add(1, Ordering::SeqCst);
            drop(stream);
        }
    });
    let discovery = Discovery::new(json!([ready_instance("e-1", address, 7)]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    sender.terminate();
    assert!(sender.wait_for_exit().success());
    sender.set_environment("RUST_LOG", "debug");
    sender.restart();
    // Keyed: if the request was written before the close was noticed, the message may have been executed.
    assert_eq!(sender.submit("alert", "m", 7, 1_500, b"x"), 202);
    assert_eq!(discovery.wait_for_notice("m")["outcome"], "handed_back");
    sender.terminate();
    assert!(sender.wait_for_exit().success());
    let attempts = sender.log().matches("attempt ended").count();
    assert!(attempts >= 1, "{}", sender.log());
    let accepted = accepted.load(Ordering::SeqCst);
    assert!(accepted <= attempts, "{accepted} connections for {attempts} attempts");
}

/// The request and the disconnect of the client arrive in the same iteration of the event loop. The client
/// gets no answer and may submit the message to another sender: a call decided on in that iteration could
/// execute it twice.
#[test]
fn a_message_whose_client_disconnects_before_the_response_is_not_sent() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let sender = SenderProcess::start(PROGRAM, &discovery);
    // The first message shows that the sender is ready, and leaves an idle connection on which a call could
    // start at once.
    assert_eq!(sender.submit("order", "before", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("before", 1);
    sender.pause();
    for n in 0..5 {
        let mut client = TcpStream::connect(sender.address).unwrap();
        client
            .write_all(&submission_request("order", &format!("disconnected-{n}"), 7, 16_000, b"x"))
            .unwrap();
    }
    sender.resume();
    assert_eq!(sender.submit("alert", "after", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("after", 1);
    let called: Vec<String> = endpoint.received().iter().map(|r| r.message_id().to_string()).collect();
    assert_eq!(called, ["before", "after"]);
    assert!(discovery.notices().is_empty(), "{:?}", discovery.notices());
}

/// Discovery never answers the requests made while it is silent. When it recovers, a drain in its list must
/// take effect within the grace period of one second.
#[test]
fn a_drain_listed_when_discovery_recovers_takes_effect_within_its_grace_period() {
    let (endpoint, other) = (FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply()));
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let sender = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(sender.submit("order", "before", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("before", 1);
    discovery.stop_answering();
    discovery.set_instances(json!([
        instance("e-1", endpoint.address, 7, "plain", "Terminating"),
        ready_instance("e-2", other.address, 7)
    ]));
    // Of three more requests two began during the silence: the second one shows that the first has timed out.
    let watch_requests =
        |received: &[HttpMessage]| received.iter().filter(|r| r.start_line.contains("index=")).count();
    let count_before = watch_requests(&discovery.server.received());
    discovery.server.wait_until("watch requests during the silence", |received| {
        watch_requests(received) >= count_before + 3
    });
    discovery.resume_answering();
    let recovered_at = Instant::now();
    let received = discovery.server.wait_until("the watch to continue", |requests| {
        requests.iter().any(|r| r.start_line.contains("index=2"))
    });
    let delay = received
        .iter()
        .find(|r| r.start_line.contains("index=2"))
        .unwrap()
        .received_at
        .duration_since(recovered_at);
    assert!(delay < Duration::from_millis(1_000), "{delay:?}");
    assert_eq!(sender.submit("order", "after", 7, 16_000, b"x"), 202);
    other.wait_for_message("after", 1);
}

/// The response and the expiry of the message are processed in the same iteration of the event loop. The
/// sender cannot know whether the response was written before the deadline, so it posts a notice; a notice on
/// a delivered message does no harm.
#[test]
fn a_message_answered_at_its_deadline_gets_a_notice() {
    let gate = Gate::default();
    let endpoint_gate = gate.clone();
    let arrived = Arc::new(AtomicUsize::new(0));
    let counter = arrived.clone();
    let endpoint = FakeServer::new(move |request| {
        if request.message_id() == "m" {
            counter.fetch_add(1, Ordering::SeqCst);
            endpoint_gate.wait();
        }
        ok_reply()
    });
    let discovery = Discovery::new(json!([
        ready_instance("e-1", endpoint.address, 7),
        ready_instance("e-2", endpoint.address, 8)
    ]));
    let sender = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(sender.submit("order", "early", 8, 16_000, b"x"), 202);
    endpoint.wait_for_message("early", 1);
    let deadline = Instant::now() + Duration::from_millis(1_500);
    assert_eq!(sender.submit("order", "m", 7, 1_500, b"x"), 202);
    sender.wait_until("the call is in flight", || arrived.load(Ordering::SeqCst) == 1);
    sender.pause();
    std::thread::sleep(deadline.saturating_duration_since(Instant::now()) + Duration::from_millis(20));
    gate.open();
    endpoint.wait_for_message("m", 1);
    sender.resume();
    assert_eq!(discovery.wait_for_notice("m")["outcome"], "given_up");
    assert!(discovery.notices().iter().all(|n| n["message"] != "early"));
}

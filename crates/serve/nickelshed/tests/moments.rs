//! Narrow moments, forced by peers that hold a byte back until they have seen what they wait for: the delivered program
//! over loopback sockets.
use nickelshed_testkit::*;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");

/// Held until a test lets it go.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    fn open(&self) {
        *self.0 .0.lock().unwrap() = true;
        self.0 .1.notify_all();
    }

    fn wait(&self) {
        let held = self.0 .0.lock().unwrap();
        drop(self.0 .1.wait_timeout_while(held, WAIT_TIMEOUT, |open| !*open).unwrap());
    }
}

/// A message whose time is up leaves its call alone, and the call goes on for the others. What was named first is not one
/// that leaves: a platform was seen to count nothing of the whole answer where it was.
#[test]
fn a_batch_names_first_the_message_with_most_time_and_delivers_it_after_another_has_left() {
    let gate = Gate::default();
    let held = gate.clone();
    let endpoint = FakeServer::new(move |request| {
        if !request.start_line.contains(":batch") {
            return http_reply("429 Wait", "Retry-After: 1\r\n", "");
        }
        held.wait();
        let list: Vec<Value> = serde_json::from_slice(&request.body).unwrap();
        let ends: Vec<Value> = list.iter().map(|m| json!({"id": m["id"], "state": "done"})).collect();
        http_reply("200 OK", "", &json!(ends).to_string())
    });
    let discovery = Discovery::new(json!([instance("e-1", endpoint.address, 7, "many", "Ready")]));
    // Worth most, and soon over: the module would name it first.
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
    // It has left its call, which is still out: the answer has not begun.
    assert_eq!(discovery.wait_for_notice("short")["outcome"], "given_up");
    gate.open();
    let received =
        endpoint.wait_until("the batch", |requests| requests.iter().any(|r| r.start_line.contains(":batch")));
    let batch = received.iter().find(|r| r.start_line.contains(":batch")).unwrap();
    let list: Vec<Value> = serde_json::from_slice(&batch.body).unwrap();
    let ids: Vec<&str> = list.iter().filter_map(|m| m["id"].as_str()).collect();
    assert!(ids.contains(&"short"), "{ids:?}");
    let at = |id: &str| ids.iter().position(|i| *i == id).unwrap();
    assert!(at("long") == 0 && at("middle") < at("short"), "{ids:?}");
    sender.terminate();
    assert!(sender.wait_exit().success());
    let told: Vec<Value> = discovery.notices();
    assert!(told.iter().all(|n| n["message"] != "long" && n["message"] != "middle"), "{told:?}");
}

/// Room for twenty; eighteen are held for an endpoint that is shut, so that the next is past the bound.
fn full_to_the_bound(discovery: &Discovery) -> SenderProcess {
    let mut sender = SenderProcess::start_with(PROGRAM, discovery, json!([]), |config| {
        config["settings"]["Limits"]["MaxOpen"] = json!(20);
    });
    sender.terminate();
    assert!(sender.wait_exit().success());
    sender.set_environment("RUST_LOG", "debug");
    sender.restart();
    for n in 0..18 {
        assert_eq!(sender.submit("order", &format!("held-{n}"), 7, 16_000, b"x"), 202);
    }
    sender
}

fn ids_seen(endpoint: &FakeServer) -> Vec<String> {
    let mut ids: Vec<String> = endpoint.received().iter().map(|r| r.message_id().to_string()).collect();
    ids.sort();
    ids
}

/// Past the bound a message waits for its answer through the admission wait. Handed in twice meanwhile it has one fate,
/// told to both; turned away it leaves no notice and no record.
#[test]
fn past_the_bound_what_is_turned_away_was_never_taken_on() {
    let (shut, open) = (FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply()));
    let list = |lifecycle| {
        json!([instance("e-1", shut.address, 7, "plain", lifecycle), ready_instance("e-2", open.address, 8)])
    };
    let discovery = Discovery::new(list("Terminating"));
    let mut sender = full_to_the_bound(&discovery);
    let both: Vec<TcpStream> = (0..2)
        .map(|_| {
            let mut client = TcpStream::connect(sender.address).unwrap();
            client.write_all(&submission_request("order", "over", 7, 16_000, b"x")).unwrap();
            client
        })
        .collect();
    for client in both {
        let heard = read_http_message(&mut BufReader::new(client), 0).unwrap();
        assert!(heard.start_line.contains(" 503 ") && heard.headers.contains_key("retry-after"), "{heard:?}");
    }
    // What can be called for at once is taken on at once, full or not. Keyed: the kill may come before its answer is read.
    assert_eq!(sender.submit("alert", "goes", 8, 16_000, b"x"), 202);
    open.wait_for_message("goes", 1);
    sender.kill();
    discovery.set_instances(list("Ready"));
    sender.restart();
    shut.wait_until("all that was held", |received| received.len() >= 18);
    assert_eq!(sender.submit("order", "last", 7, 16_000, b"x"), 202);
    shut.wait_for_message("last", 1);
    assert!(!ids_seen(&shut).contains(&"over".to_string()), "{:?}", ids_seen(&shut));
    assert!(discovery.notices().is_empty(), "{:?}", discovery.notices());
}

/// Killed while a client waits for its answer: the next process owes that message nothing, and the client, who heard
/// nothing, hands it in again.
#[test]
fn a_kill_while_a_message_waits_to_be_taken_on_leaves_it_to_its_client() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let list = |lifecycle| json!([instance("e-1", endpoint.address, 7, "plain", lifecycle)]);
    let discovery = Discovery::new(list("Terminating"));
    let mut sender = full_to_the_bound(&discovery);
    let mut client = TcpStream::connect(sender.address).unwrap();
    client.write_all(&submission_request("order", "waits", 7, 16_000, b"x")).unwrap();
    sender.wait_until("it has come", || sender.log().contains("trace=\"waits\""));
    sender.kill();
    discovery.set_instances(list("Ready"));
    sender.restart();
    endpoint.wait_until("all that was held", |received| received.len() >= 18);
    assert_eq!(sender.submit("order", "waits", 7, 16_000, b"x"), 202);
    assert_eq!(endpoint.wait_for_message("waits", 1).len(), 1);
    assert!(discovery.notices().is_empty(), "{:?}", discovery.notices());
}

/// Told to end while a client waits for its answer: it gets one, and the end is no later for it.
#[test]
fn sigterm_while_a_message_waits_to_be_taken_on_is_answered() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([instance("e-1", endpoint.address, 7, "plain", "Terminating")]));
    let mut sender = full_to_the_bound(&discovery);
    let mut client = TcpStream::connect(sender.address).unwrap();
    client.write_all(&submission_request("order", "waits", 7, 16_000, b"x")).unwrap();
    sender.wait_until("it has come", || sender.log().contains("trace=\"waits\""));
    sender.terminate();
    let heard = read_http_message(&mut BufReader::new(client), 0).unwrap();
    assert!(heard.start_line.contains(" 503 "), "{heard:?}");
    assert!(sender.wait_exit().success());
}

/// An endpoint that takes every connection and ends it at once, before anything is written there.
#[test]
fn a_connection_that_is_ended_as_it_is_made_is_tried_once_an_attempt() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let taken = Arc::new(AtomicUsize::new(0));
    let count = taken.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            count.fetch_add(1, Ordering::SeqCst);
            drop(stream);
        }
    });
    let discovery = Discovery::new(json!([ready_instance("e-1", address, 7)]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    sender.terminate();
    assert!(sender.wait_exit().success());
    sender.set_environment("RUST_LOG", "debug");
    sender.restart();
    // A keyed one: where the request was out before the end was seen, it may have run.
    assert_eq!(sender.submit("alert", "m", 7, 1_500, b"x"), 202);
    assert_eq!(discovery.wait_for_notice("m")["outcome"], "handed_back");
    sender.terminate();
    assert!(sender.wait_exit().success());
    let attempts = sender.log().matches("attempt ended").count();
    assert!(attempts >= 1, "{}", sender.log());
    let taken = taken.load(Ordering::SeqCst);
    assert!(taken <= attempts, "{taken} connections for {attempts} attempts");
}

/// Its request and its end come in the same turn: it hears nothing, may hand the message in elsewhere, and a call that the
/// same round decided on would run it twice.
#[test]
fn a_message_whose_client_has_left_before_its_answer_is_not_called_for() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let sender = SenderProcess::start(PROGRAM, &discovery);
    // The first one shows that all is ready, and leaves a connection that a call could go out on at once.
    assert_eq!(sender.submit("order", "before", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("before", 1);
    sender.pause();
    for n in 0..5 {
        let mut client = TcpStream::connect(sender.address).unwrap();
        client.write_all(&submission_request("order", &format!("gone-{n}"), 7, 16_000, b"x")).unwrap();
    }
    sender.resume();
    assert_eq!(sender.submit("alert", "after", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("after", 1);
    let called: Vec<String> = endpoint.received().iter().map(|r| r.message_id().to_string()).collect();
    assert_eq!(called, ["before", "after"]);
    assert!(discovery.notices().is_empty(), "{:?}", discovery.notices());
}

/// What was asked in the silence is never answered, and what discovery has to tell at its return counts at once: the drain
/// has a second.
#[test]
fn a_drain_that_discovery_tells_at_its_return_is_heard_within_its_grace() {
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
    // Two asks that were begun in the silence: the second one shows that the first was given up.
    let asks = |received: &[HttpMessage]| received.iter().filter(|r| r.start_line.contains("index=")).count();
    let before = asks(&discovery.server.received());
    discovery.server.wait_until("it to ask in the silence", |received| asks(received) >= before + 3);
    discovery.resume_answering();
    let spoke = Instant::now();
    let received = discovery.server.wait_until("the watch to go on", |requests| {
        requests.iter().any(|r| r.start_line.contains("index=2"))
    });
    let heard =
        received.iter().find(|r| r.start_line.contains("index=2")).unwrap().received_at.duration_since(spoke);
    assert!(heard < Duration::from_millis(1_000), "{heard:?}");
    assert_eq!(sender.submit("order", "after", 7, 16_000, b"x"), 202);
    other.wait_for_message("after", 1);
}

/// The answer and the end of the message's time are there in the same turn. Nobody can know whether the answer was written in
/// time, so the message's end is told; a notice for one that is over does no harm.
#[test]
fn a_message_that_is_answered_as_its_time_runs_out_is_told_of() {
    let gate = Gate::default();
    let held = gate.clone();
    let arrived = Arc::new(AtomicUsize::new(0));
    let count = arrived.clone();
    let endpoint = FakeServer::new(move |request| {
        if request.message_id() == "m" {
            count.fetch_add(1, Ordering::SeqCst);
            held.wait();
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
    let until = Instant::now() + Duration::from_millis(1_500);
    assert_eq!(sender.submit("order", "m", 7, 1_500, b"x"), 202);
    sender.wait_until("the call is out", || arrived.load(Ordering::SeqCst) == 1);
    sender.pause();
    std::thread::sleep(until.saturating_duration_since(Instant::now()) + Duration::from_millis(20));
    gate.open();
    endpoint.wait_for_message("m", 1);
    sender.resume();
    assert_eq!(discovery.wait_for_notice("m")["outcome"], "given_up");
    assert!(discovery.notices().iter().all(|n| n["message"] != "early"));
}

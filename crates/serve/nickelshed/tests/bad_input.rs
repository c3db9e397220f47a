//! What discovery and the settings say wrongly: the sender keeps the last list that made sense, and starts.
use nickelshed_testkit::*;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");

fn delivers(sender: &SenderProcess, endpoint: &FakeServer, id: &str) {
    assert_eq!(sender.submit("order", id, 7, 16_000, b"x"), 202, "{id}");
    assert_eq!(endpoint.wait_for_message(id, 1).len(), 1);
}

/// Has discovery answer every ask with these bytes, and waits until it has done so twice: what the first one said has
/// been read by then, as the sender asks again only after it.
fn misled(discovery: &Discovery, bytes: &str) {
    let (count, text) = (Arc::new(AtomicUsize::new(0)), bytes.to_string());
    let counted = count.clone();
    discovery.server.prepend_script(move |r| {
        r.start_line.starts_with("GET ").then(|| {
            counted.fetch_add(1, Ordering::SeqCst);
            Reply::Bytes(text.clone())
        })
    });
    discovery.server.wait_until("it to ask twice", |_| count.load(Ordering::SeqCst) >= 2);
}

fn list(generation: u64, reset: bool, instances: Value) -> String {
    answer_of(&json!({"generation": generation, "reset": reset, "instances": instances}).to_string())
}

#[test]
fn a_list_that_is_cut_off_too_long_or_none_leaves_the_one_held_in_force() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let entry = ready_instance("e-1", endpoint.address, 7);
    let whole = list(9, true, json!([terminating_instance(7)]));
    let half =
        format!("{}\r\nConnection: close\r\n\r\n{{\"generation\":9,\"reset\":true,\"inst", "HTTP/1.1 200 OK");
    let bad = [
        // Its length says more than comes: an answer that never ends, then the next one in its place.
        whole.replace("Content-Length: ", "Content-Length: 9"),
        half,
        answer_of("{\"generation\":9,\"reset\":true,\"instances\":[{\"instanceId\":\"e-1\""),
        answer_of("{\"generation\":-1,\"reset\":true,\"instances\":[]}"),
        answer_of("{\"generation\":9,\"reset\":\"yes\",\"instances\":[]}"),
        answer_of("[]"),
        answer_of(""),
        "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n".to_string(),
        answer_of(&format!("{{\"generation\":9,\"reset\":true,\"instances\":[{}]}}", " ".repeat(2 << 20))),
    ];
    for (number, bytes) in bad.iter().enumerate() {
        let discovery = Discovery::new(json!([entry]));
        let mut sender = SenderProcess::start(PROGRAM, &discovery);
        delivers(&sender, &endpoint, &format!("before-{number}"));
        misled(&discovery, bytes);
        delivers(&sender, &endpoint, &format!("after-{number}"));
        assert!(sender.is_running() && discovery.notices().is_empty());
    }
}

fn answer_of(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Asked on at once it would be asked as fast as it can answer, with all of the sender's core.
#[test]
fn a_watch_answered_early_with_nothing_again_and_again_is_asked_on_in_measure_and_still_heard() {
    let (endpoint, other) = (FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply()));
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let sender = SenderProcess::start(PROGRAM, &discovery);
    delivers(&sender, &endpoint, "before");
    let watches = |r: &HttpMessage| r.start_line.contains("index=");
    let lies = Arc::new(AtomicBool::new(true));
    let still = lies.clone();
    discovery.server.prepend_script(move |r| {
        (watches(r) && still.load(Ordering::SeqCst)).then(|| Reply::Bytes(list(1, false, json!([]))))
    });
    let asked = |received: &[HttpMessage]| {
        received.iter().filter(|r| watches(r)).map(|r| r.received_at).collect::<Vec<_>>()
    };
    let first = asked(&discovery.server.received()).len();
    let received =
        discovery.server.wait_until("it to ask on", |received| asked(received).len() >= first + 12);
    let at = asked(&received);
    // The first of these may have been under way.
    let took = at[first + 11].duration_since(at[first + 1]);
    assert!(took >= Duration::from_millis(900), "ten asks in {took:?}");
    lies.store(false, Ordering::SeqCst);
    discovery.set_instances(json!([
        instance("e-1", endpoint.address, 7, "plain", "Terminating"),
        ready_instance("e-2", other.address, 7)
    ]));
    discovery.server.wait_until("the watch to go on", |requests| {
        requests.iter().any(|r| r.start_line.contains("index=2"))
    });
    delivers(&sender, &other, "after");
}

/// What an earlier process began under other settings: the effect that a class has now counts for what may have run.
#[test]
fn a_class_with_another_effect_than_at_the_last_start_goes_by_the_new_one() {
    for (class, now, calls) in [("alert", "unsafe", 1), ("order", "safe", 2)] {
        let endpoint = FakeServer::new(|r| if r.message_id() == "m" { Reply::Hang } else { ok_reply() });
        let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
        let mut sender = SenderProcess::start(PROGRAM, &discovery);
        assert_eq!(sender.submit(class, "m", 7, 16_000, b"x"), 202);
        endpoint.wait_for_message("m", 1);
        sender.kill();
        endpoint.set_script(|_| ok_reply());
        for service in sender.config["settings"]["Services"].as_array_mut().unwrap() {
            service["Effect"] = json!(now);
        }
        sender.restart();
        if calls == 1 {
            assert_eq!(discovery.wait_for_notice("m")["outcome"], "given_up", "{class} as {now}");
        } else {
            endpoint.wait_for_message("m", calls);
        }
        delivers(&sender, &endpoint, "after");
        assert_eq!(endpoint.wait_for_message("m", calls).len(), calls, "{class} as {now}");
        assert_eq!(discovery.notices().len(), 2 - calls, "{class} as {now}");
    }
}

/// An agent that was set back tells an older version as a whole list: that is what there is.
#[test]
fn a_whole_list_counts_whatever_its_version_and_an_empty_one_is_one() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let sender = SenderProcess::start(PROGRAM, &discovery);
    delivers(&sender, &endpoint, "first");
    misled(&discovery, &list(0, true, json!([])));
    assert_eq!(sender.submit("alert", "nowhere", 7, 500, b"x"), 202);
    assert_eq!(discovery.wait_for_notice("nowhere")["outcome"], "handed_back");
    misled(&discovery, &list(0, true, json!([ready_instance("e-1", endpoint.address, 7)])));
    delivers(&sender, &endpoint, "again");
    assert!(endpoint.received().iter().all(|r| r.message_id() != "nowhere"));
}

/// Of two words on one endpoint the one that closes it counts, whichever comes first: new work at one that drains breaks
/// its drain, and work that waits a moment breaks nothing.
#[test]
fn a_list_that_contradicts_itself_closes_what_it_contradicts() {
    let (torn, other) = (FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply()));
    let says = |lifecycle| instance("e-1", torn.address, 7, "plain", lifecycle);
    for order in [["Ready", "Terminating"], ["Terminating", "Ready"], ["Gone", "Ready"], ["Ready", "Gone"]] {
        let discovery =
            Discovery::new(json!([says(order[0]), ready_instance("e-2", other.address, 7), says(order[1])]));
        let sender = SenderProcess::start(PROGRAM, &discovery);
        for i in 0..6 {
            delivers(&sender, &other, &format!("{}-{}-{i}", order[0], order[1]));
        }
        assert!(torn.received().is_empty(), "{order:?}");
    }
}

/// Entries that can't be read cost only themselves, also among very many.
#[test]
fn of_a_list_of_thousands_what_can_be_read_counts() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let mut instances: Vec<Value> = (0..4_000u64)
        .map(|i| match i % 4 {
            0 => json!({"instanceId": format!("x-{i}"), "hostPort": "nowhere", "cell": 7, "lifecycle": "Ready"}),
            1 => json!({"instanceId": i, "cell": "seven"}),
            2 => json!(null),
            _ => ready_instance(&format!("x-{i}"), endpoint.address, i),
        })
        .collect();
    instances.push(ready_instance("e-1", endpoint.address, 7));
    let discovery = Discovery::new(json!(instances));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    delivers(&sender, &endpoint, "m");
    assert!(sender.is_running());
}

/// The number of senders may be none that makes sense: each starts, and delivers what its part of the limit then allows.
#[test]
fn settings_that_name_no_sender_or_very_many_start_and_deliver() {
    for (sender_count, fair_share) in [(json!(0), 40.0), (json!(1), 40.0), (json!(100_000), 0.0004)] {
        let endpoint =
            FakeServer::new(|_| http_reply("200 OK", "Endpoint-Load-Metrics: TEXT x0=0.9, x1=40\r\n", ""));
        let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
        let change = |config: &mut Value| config["settings"]["NInstances"] = sender_count.clone();
        let sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), change);
        delivers(&sender, &endpoint, "first");
        if fair_share > 1.0 {
            delivers(&sender, &endpoint, "second");
        } else {
            // Its next one is due in most of an hour: the client hears in time that it does not go.
            assert_eq!(sender.submit("order", "second", 7, 500, b"x"), 202);
            assert_eq!(discovery.wait_for_notice("second")["outcome"], "handed_back");
        }
    }
}

/// Figures at their edges: the sender starts, answers every client, and ends what it has taken on, by a call or a notice.
#[test]
fn settings_at_their_edges_start_answer_and_end_what_is_taken_on() {
    type Edge = (&'static str, fn(&mut Value));
    let rows: [Edge; 11] = [
        ("a deadline of 5 ms", |s| s["Services"][1]["DeadlineNs"] = json!(5_000_000)),
        ("no tenants", |s| s["Realms"] = json!([])),
        ("nothing held", |s| s["Limits"]["MaxOpen"] = json!(0)),
        ("no slots", |s| s["FamilyInfo"]["CallsOut"] = json!(0)),
        ("no time to connect, and none idle", |s| {
            (s["Limits"]["DialTimeoutNs"], s["Limits"]["IdleCloseNs"]) = (json!(0), json!(0));
        }),
        ("worth nothing", |s| s["Services"][1]["Worth"] = json!(0)),
        ("a share of nothing, and a cold of nothing", |s| {
            (s["Realms"][0]["QuotaPerS"], s["Safety"]["ColdNs"]) = (json!(0), json!(0));
            (s["Safety"]["StartCapacity"], s["Safety"]["FallMultiple"]) = (json!(0), json!(0));
        }),
        ("huge slots and room", |s| {
            (s["FamilyInfo"]["CallsOut"], s["Limits"]["MaxOpen"]) = (json!(100_000), json!(4_000_000_000u64));
        }),
        ("huge costs", |s| {
            s["Prices"] = json!({"CrossZone": 1e18, "Handshake": 1e18, "Waste": 1e18});
            s["FamilyInfo"]["RefusalCost"] = json!(1e18);
        }),
        ("huge times", |s| s["Limits"]["MaxRetryAfterNs"] = json!(8_900_000_000_000_000_000u64)),
        ("a deadline without an end", |s| {
            s["Services"][1]["DeadlineNs"] = json!(8_900_000_000_000_000_000u64);
            s["Services"][1]["PromiseNs"] = json!(8_900_000_000_000_000_000u64);
        }),
    ];
    for (edge, change) in rows {
        let endpoint = FakeServer::new(|_| ok_reply());
        let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
        let mut sender =
            SenderProcess::start_with(PROGRAM, &discovery, json!([]), |c| change(&mut c["settings"]));
        for n in 0..3 {
            let id = format!("m{n}");
            let status = sender.submit("order", &id, 7, 700, b"x");
            assert!([202, 404, 503].contains(&status), "{edge}: {status}");
            if status == 202 {
                sender.wait_until(edge, || {
                    let called = endpoint.received().iter().any(|r| r.message_id() == id);
                    called || discovery.notices().iter().any(|notice| notice["message"] == id.as_str())
                });
            }
        }
        assert!(sender.is_running(), "{edge}: {}", sender.log());
        sender.terminate();
        assert!(sender.wait_exit().success(), "{edge}");
    }
}

/// Without a class nothing can be taken on, and without an attempt nothing sent: the start says so.
#[test]
fn settings_that_leave_nothing_to_do_end_the_start_with_a_line_that_says_what_and_where() {
    type Edge = (&'static str, fn(&mut Value));
    let rows: [Edge; 3] = [
        ("settings: Services[1].Worth is out of range", |s| s["Services"][1]["Worth"] = json!(1e300)),
        ("settings: Services is missing or empty", |s| s["Services"] = json!([])),
        ("settings: Limits.MaxAttempts is out of range: 0", |s| s["Limits"]["MaxAttempts"] = json!(0)),
    ];
    let discovery = Discovery::new(json!([]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    sender.terminate();
    assert!(sender.wait_exit().success());
    let good = sender.config["settings"].clone();
    for (line, change) in rows {
        sender.config["settings"] = good.clone();
        change(&mut sender.config["settings"]);
        assert!(!sender.try_start());
        assert!(sender.log().contains(&format!("config.json: {line}")), "{}", sender.log());
    }
}

/// Lists may come indented.
#[test]
fn a_list_that_is_indented_counts_like_any_other() {
    let (endpoint, other) = (FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply()));
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let sender = SenderProcess::start(PROGRAM, &discovery);
    delivers(&sender, &endpoint, "before");
    let list = json!({"generation": 9, "reset": true, "instances": [
        instance("e-1", endpoint.address, 7, "plain", "Terminating"), ready_instance("e-2", other.address, 7)]});
    misled(&discovery, &answer_of(&serde_json::to_string_pretty(&list).unwrap()));
    delivers(&sender, &other, "after");
}

//! Tests of invalid answers from discovery and invalid settings: the sender keeps the last valid list, and
//! starts unless the settings leave it nothing to do.
use nickelshed_testkit::*;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");

fn assert_delivers(sender: &SenderProcess, endpoint: &FakeServer, id: &str) {
    assert_eq!(sender.submit("order", id, 7, 16_000, b"x"), 202, "{id}");
    assert_eq!(endpoint.wait_for_message(id, 1).len(), 1);
}

/// Makes discovery answer every request for the list with these bytes, and waits until it has done so twice.
/// The sender has read the first answer by then, since it makes the next request only after that.
fn answer_list_requests_with(discovery: &Discovery, bytes: &str) {
    let (answer_count, text) = (Arc::new(AtomicUsize::new(0)), bytes.to_string());
    let counter = answer_count.clone();
    discovery.server.prepend_script(move |request| {
        request.start_line.starts_with("GET ").then(|| {
            counter.fetch_add(1, Ordering::SeqCst);
            Reply::Bytes(text.clone())
        })
    });
    discovery.server.wait_until("two requests for the list", |_| answer_count.load(Ordering::SeqCst) >= 2);
}

fn list_response(generation: u64, reset: bool, instances: Value) -> String {
    ok_response(&json!({"generation": generation, "reset": reset, "instances": instances}).to_string())
}

#[test]
fn a_truncated_oversized_or_invalid_list_leaves_the_current_one_in_effect() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let entry = ready_instance("e-1", endpoint.address, 7);
    let valid = list_response(9, true, json!([terminating_instance(7)]));
    let truncated =
        format!("{}\r\nConnection: close\r\n\r\n{{\"generation\":9,\"reset\":true,\"inst", "HTTP/1.1 200 OK");
    let invalid_responses = [
        // The stated length is longer than the body, so the response never ends, and the next response is
        // read as the rest of its body.
        valid.replace("Content-Length: ", "Content-Length: 9"),
        truncated,
        ok_response("{\"generation\":9,\"reset\":true,\"instances\":[{\"instanceId\":\"e-1\""),
        ok_response("{\"generation\":-1,\"reset\":true,\"instances\":[]}"),
        ok_response("{\"generation\":9,\"reset\":\"yes\",\"instances\":[]}"),
        ok_response("[]"),
        ok_response(""),
        "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n".to_string(),
        ok_response(&list_over_the_memory_limit(192_000_000 / 8)),
    ];
    for (number, bytes) in invalid_responses.iter().enumerate() {
        let discovery = Discovery::new(json!([entry]));
        let mut sender = SenderProcess::start(PROGRAM, &discovery);
        assert_delivers(&sender, &endpoint, &format!("before-{number}"));
        answer_list_requests_with(&discovery, bytes);
        assert_delivers(&sender, &endpoint, &format!("after-{number}"));
        assert!(sender.is_running() && discovery.notices().is_empty());
    }
}

/// A valid list whose entries take more memory than this.
fn list_over_the_memory_limit(limit_bytes: usize) -> String {
    let zone = "z".repeat(60_000);
    let entry = |number: usize| {
        let mut entry = terminating_instance(number as u64);
        entry["zone"] = json!(zone);
        entry
    };
    let instances: Vec<Value> = (0..=limit_bytes / zone.len()).map(entry).collect();
    json!({"generation": 9, "reset": true, "instances": instances}).to_string()
}

fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// If the sender repeated the request at once, it would send requests as fast as discovery answers them, and
/// keep a processor core busy.
#[test]
fn watches_that_return_early_without_a_change_are_rate_limited_and_still_deliver_changes() {
    let (endpoint, other) = (FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply()));
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let sender = SenderProcess::start(PROGRAM, &discovery);
    assert_delivers(&sender, &endpoint, "before");
    let is_watch = |r: &HttpMessage| r.start_line.contains("index=");
    let returns_early = Arc::new(AtomicBool::new(true));
    let early_flag = returns_early.clone();
    discovery.server.prepend_script(move |r| {
        (is_watch(r) && early_flag.load(Ordering::SeqCst))
            .then(|| Reply::Bytes(list_response(1, false, json!([]))))
    });
    let watch_times = |received: &[HttpMessage]| {
        received.iter().filter(|r| is_watch(r)).map(|r| r.received_at).collect::<Vec<_>>()
    };
    let count_before = watch_times(&discovery.server.received()).len();
    let received = discovery
        .server
        .wait_until("more watch requests", |received| watch_times(received).len() >= count_before + 12);
    let times = watch_times(&received);
    // The first of these requests may already have been in flight.
    let elapsed = times[count_before + 11].duration_since(times[count_before + 1]);
    assert!(elapsed >= Duration::from_millis(900), "ten requests in {elapsed:?}");
    returns_early.store(false, Ordering::SeqCst);
    discovery.set_instances(json!([
        instance("e-1", endpoint.address, 7, "plain", "Terminating"),
        ready_instance("e-2", other.address, 7)
    ]));
    discovery.server.wait_until("the watch to continue", |requests| {
        requests.iter().any(|r| r.start_line.contains("index=2"))
    });
    assert_delivers(&sender, &other, "after");
}

/// The effect of a class changes between two process runs. A recovered message that may have been executed is
/// retried or not by the new effect.
#[test]
fn recovered_messages_follow_the_effect_that_their_class_has_after_a_restart() {
    for (class, new_effect, call_count) in [("alert", "unsafe", 1), ("order", "safe", 2)] {
        let endpoint = FakeServer::new(|r| if r.message_id() == "m" { Reply::Hang } else { ok_reply() });
        let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
        let mut sender = SenderProcess::start(PROGRAM, &discovery);
        assert_eq!(sender.submit(class, "m", 7, 16_000, b"x"), 202);
        endpoint.wait_for_message("m", 1);
        sender.kill();
        endpoint.set_script(|_| ok_reply());
        for service in sender.config["settings"]["Services"].as_array_mut().unwrap() {
            service["Effect"] = json!(new_effect);
        }
        sender.restart();
        if call_count == 1 {
            assert_eq!(discovery.wait_for_notice("m")["outcome"], "given_up", "{class} as {new_effect}");
        } else {
            endpoint.wait_for_message("m", call_count);
        }
        assert_delivers(&sender, &endpoint, "after");
        assert_eq!(endpoint.wait_for_message("m", call_count).len(), call_count, "{class} as {new_effect}");
        assert_eq!(discovery.notices().len(), 2 - call_count, "{class} as {new_effect}");
    }
}

/// A discovery agent that was reset answers with a full list of an older generation: that is the current
/// list.
#[test]
fn a_full_list_is_accepted_at_any_generation_even_if_it_is_empty() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let sender = SenderProcess::start(PROGRAM, &discovery);
    assert_delivers(&sender, &endpoint, "first");
    answer_list_requests_with(&discovery, &list_response(0, true, json!([])));
    assert_eq!(sender.submit("alert", "nowhere", 7, 500, b"x"), 202);
    assert_eq!(discovery.wait_for_notice("nowhere")["outcome"], "handed_back");
    answer_list_requests_with(
        &discovery,
        &list_response(0, true, json!([ready_instance("e-1", endpoint.address, 7)])),
    );
    assert_delivers(&sender, &endpoint, "again");
    assert!(endpoint.received().iter().all(|r| r.message_id() != "nowhere"));
}

/// If two entries for one endpoint contradict each other, it gets no calls, whichever comes first: a new call
/// to a draining endpoint would violate its drain, while a short delay does no harm.
#[test]
fn an_endpoint_with_contradictory_entries_gets_no_calls() {
    let (contradicted, other) = (FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply()));
    let entry = |lifecycle| instance("e-1", contradicted.address, 7, "plain", lifecycle);
    for order in [["Ready", "Terminating"], ["Terminating", "Ready"], ["Gone", "Ready"], ["Ready", "Gone"]] {
        let discovery = Discovery::new(json!([
            entry(order[0]),
            ready_instance("e-2", other.address, 7),
            entry(order[1])
        ]));
        let sender = SenderProcess::start(PROGRAM, &discovery);
        for i in 0..6 {
            assert_delivers(&sender, &other, &format!("{}-{}-{i}", order[0], order[1]));
        }
        assert!(contradicted.received().is_empty(), "{order:?}");
    }
}

/// An entry that cannot be parsed is skipped without affecting the others.
#[test]
fn valid_entries_count_in_a_long_list_with_invalid_ones() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let mut instances: Vec<Value> = (0..4_000u64)
        .map(|i| match i % 4 {
            0 => json!({"instanceId": format!("x-{i}"), "hostPort": "nowhere", "cell": 7,
                "lifecycle": "Ready"}),
            1 => json!({"instanceId": i, "cell": "seven"}),
            2 => json!(null),
            _ => ready_instance(&format!("x-{i}"), endpoint.address, i),
        })
        .collect();
    instances.push(ready_instance("e-1", endpoint.address, 7));
    let discovery = Discovery::new(json!(instances));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    assert_delivers(&sender, &endpoint, "m");
    assert!(sender.is_running());
}

/// A sender starts with any sender count in the settings, and delivers what its fair share of the rate limit
/// then allows.
#[test]
fn settings_with_zero_or_very_many_senders_start_and_deliver() {
    for (sender_count, fair_share) in [(json!(0), 40.0), (json!(1), 40.0), (json!(100_000), 0.0004)] {
        let endpoint =
            FakeServer::new(|_| http_reply("200 OK", "Endpoint-Load-Metrics: TEXT x0=0.9, x1=40\r\n", ""));
        let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
        let change = |config: &mut Value| config["settings"]["NInstances"] = sender_count.clone();
        let sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), change);
        assert_delivers(&sender, &endpoint, "first");
        if fair_share > 1.0 {
            assert_delivers(&sender, &endpoint, "second");
        } else {
            // The fair share delays the next call by most of an hour, so the message is returned to the
            // client at its deadline.
            assert_eq!(sender.submit("order", "second", 7, 500, b"x"), 202);
            assert_eq!(discovery.wait_for_notice("second")["outcome"], "handed_back");
        }
    }
}

/// With settings at the limits of their ranges the sender starts, answers every client, and finishes each
/// accepted message by a call or a notice.
#[test]
fn with_boundary_settings_the_sender_starts_answers_and_finishes_accepted_messages() {
    type SettingsCase = (&'static str, fn(&mut Value));
    let cases: [SettingsCase; 11] = [
        ("a deadline of 5 ms", |settings| settings["Services"][1]["DeadlineNs"] = json!(5_000_000)),
        ("no tenants", |settings| settings["Realms"] = json!([])),
        ("a limit of no open messages", |settings| settings["Limits"]["MaxOpen"] = json!(0)),
        ("no calls in flight", |settings| settings["FamilyInfo"]["CallsOut"] = json!(0)),
        ("no dial timeout, and no idle timeout", |settings| {
            (settings["Limits"]["DialTimeoutNs"], settings["Limits"]["IdleCloseNs"]) = (json!(0), json!(0));
        }),
        ("messages of no value", |settings| settings["Services"][1]["Worth"] = json!(0)),
        ("a tenant quota of zero, and a slow start of zero", |settings| {
            (settings["Realms"][0]["QuotaPerS"], settings["Safety"]["ColdNs"]) = (json!(0), json!(0));
            (settings["Safety"]["StartCapacity"], settings["Safety"]["FallMultiple"]) = (json!(0), json!(0));
        }),
        ("huge limits on calls and open messages", |settings| {
            (settings["FamilyInfo"]["CallsOut"], settings["Limits"]["MaxOpen"]) =
                (json!(100_000), json!(4_000_000_000u64));
        }),
        ("huge prices", |settings| {
            settings["Prices"] = json!({"CrossZone": 1e18, "Handshake": 1e18, "Waste": 1e18});
            settings["FamilyInfo"]["RefusalCost"] = json!(1e18);
        }),
        ("a huge cap on retry-after", |settings| {
            settings["Limits"]["MaxRetryAfterNs"] = json!(8_900_000_000_000_000_000u64)
        }),
        ("a deadline that is never reached", |settings| {
            settings["Services"][1]["DeadlineNs"] = json!(8_900_000_000_000_000_000u64);
            settings["Services"][1]["PromiseNs"] = json!(8_900_000_000_000_000_000u64);
        }),
    ];
    for (case, change) in cases {
        let endpoint = FakeServer::new(|_| ok_reply());
        let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
        let mut sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
            change(&mut config["settings"])
        });
        for n in 0..3 {
            let id = format!("m{n}");
            let status = sender.submit("order", &id, 7, 700, b"x");
            assert!([202, 404, 503].contains(&status), "{case}: {status}");
            if status == 202 {
                sender.wait_until(case, || {
                    let was_called = endpoint.received().iter().any(|r| r.message_id() == id);
                    was_called || discovery.notices().iter().any(|notice| notice["message"] == id.as_str())
                });
            }
        }
        assert!(sender.is_running(), "{case}: {}", sender.log());
        sender.terminate();
        assert!(sender.wait_for_exit().success(), "{case}");
    }
}

/// Without a class no message can be accepted, and without an attempt none can be sent. With such settings,
/// or with a value that is out of range, the start fails with an error.
#[test]
fn unusable_settings_fail_the_start_with_the_name_of_the_setting() {
    type SettingsCase = (&'static str, fn(&mut Value));
    let cases: [SettingsCase; 3] = [
        ("settings: Services[1].Worth is out of range", |settings| {
            settings["Services"][1]["Worth"] = json!(1e300)
        }),
        ("settings: Services is missing or empty", |settings| settings["Services"] = json!([])),
        ("settings: Limits.MaxAttempts is out of range: 0", |settings| {
            settings["Limits"]["MaxAttempts"] = json!(0)
        }),
    ];
    let discovery = Discovery::new(json!([]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    sender.terminate();
    assert!(sender.wait_for_exit().success());
    let valid_settings = sender.config["settings"].clone();
    for (error, change) in cases {
        sender.config["settings"] = valid_settings.clone();
        change(&mut sender.config["settings"]);
        assert!(!sender.try_start());
        assert!(sender.log().contains(&format!("config.json: {error}")), "{}", sender.log());
    }
}

/// Discovery may send its JSON with indentation and line breaks.
#[test]
fn an_indented_list_is_accepted() {
    let (endpoint, other) = (FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply()));
    let discovery = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7)]));
    let sender = SenderProcess::start(PROGRAM, &discovery);
    assert_delivers(&sender, &endpoint, "before");
    let list = json!({"generation": 9, "reset": true, "instances": [
        instance("e-1", endpoint.address, 7, "plain", "Terminating"),
        ready_instance("e-2", other.address, 7)]});
    answer_list_requests_with(&discovery, &ok_response(&serde_json::to_string_pretty(&list).unwrap()));
    assert_delivers(&sender, &other, "after");
}

//! Messages that an answer has ended: no fault of the connection afterwards may bring them back.
use nickelshed_testkit::*;
use serde_json::{json, Value};
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");
/// Longer than a connection must be silent before it is reused.
const REST_BEFORE_REUSE: Duration = Duration::from_millis(400);
/// Much longer than the sender takes to notice the end of an idle connection and to send a message again.
const QUIET_PERIOD: Duration = Duration::from_millis(1_000);
/// Tries to make a call go out on a used connection.
const MAX_ROUNDS: usize = 20;
/// From an answer to the fault that follows it: less than any answer stays provisional.
const FAULT_DELAY: Duration = Duration::from_millis(50);

fn gone_reply() -> Reply {
    http_reply("410 Gone", "", "")
}

/// A sender with one endpoint behind a proxy.
struct Setup {
    endpoint: FakeServer,
    proxy: FaultProxy,
    discovery: Discovery,
    sender: SenderProcess,
}

impl Setup {
    fn new(kind: &str) -> Setup {
        let endpoint = FakeServer::new(|_| ok_reply());
        let proxy = FaultProxy::new(endpoint.address, |_| AnswerFault::None);
        let discovery = Discovery::new(json!([instance("e-1", proxy.address, 7, kind, "Ready")]));
        let sender = SenderProcess::start(PROGRAM, &discovery);
        Setup { endpoint, proxy, discovery, sender }
    }

    fn submit(&self, class: &str, id: &str) {
        assert_eq!(self.sender.submit(class, id, 7, 16_000, b"x"), 202);
    }

    /// Answers one message with `answer` and `fault` on a connection that has carried other calls. Returns its
    /// id.
    fn answer_on_used_connection(&self, class: &str, answer: fn() -> Reply, fault: AnswerFault) -> String {
        self.endpoint.prepend_script(move |request| request.message_id().starts_with("over").then(answer));
        let struck: Arc<Mutex<Option<String>>> = Arc::default();
        let struck_by = struck.clone();
        self.proxy.set_plan(move |call| {
            let (id, mut struck) = (call.request.message_id(), struck_by.lock().unwrap());
            if struck.is_some() || !id.starts_with("over") || call.previous_calls == 0 {
                return AnswerFault::None;
            }
            *struck = Some(id.to_string());
            fault
        });
        for round in 0..MAX_ROUNDS {
            let (first, second) = (format!("first-{round}"), format!("over-{round}"));
            self.submit(class, &first);
            self.endpoint.wait_for_message(&first, 1);
            std::thread::sleep(REST_BEFORE_REUSE);
            self.submit(class, &second);
            self.endpoint.wait_for_message(&second, 1);
            std::thread::sleep(FAULT_DELAY);
            if struck.lock().unwrap().is_some() {
                return second;
            }
        }
        panic!("no call went out on a used connection in {MAX_ROUNDS} rounds");
    }

    /// How often each of these messages has been sent, once the sender has had time to send them again.
    fn calls_after_quiet_period(&self, ids: &[String]) -> Vec<usize> {
        std::thread::sleep(QUIET_PERIOD);
        let received = self.endpoint.received();
        let calls = |id: &String| received.iter().filter(|r| names(r).contains(id)).count();
        ids.iter().map(calls).collect()
    }
}

/// The messages in a request.
fn names(request: &HttpMessage) -> HashSet<String> {
    let list: Vec<Value> = serde_json::from_slice(&request.body).unwrap_or_default();
    let batch = list.iter().filter_map(|message| message["id"].as_str().map(String::from));
    batch.chain([request.message_id().to_string()]).collect()
}

#[test]
fn a_message_that_is_over_is_not_sent_again_when_its_connection_is_reset_after_the_410() {
    for class in ["alert", "order"] {
        let setup = Setup::new("plain");
        let id = setup.answer_on_used_connection(class, gone_reply, AnswerFault::Reset(FAULT_DELAY));
        assert_eq!(setup.calls_after_quiet_period(&[id]), [1], "{class}: {}", setup.sender.log());
        assert!(setup.discovery.notices().is_empty(), "{class}: it is over");
    }
}

#[test]
fn a_message_that_is_over_is_not_sent_again_when_the_410_is_copied() {
    for delay in [Duration::ZERO, FAULT_DELAY] {
        let setup = Setup::new("plain");
        let id = setup.answer_on_used_connection("alert", gone_reply, AnswerFault::Copy(delay));
        assert_eq!(setup.calls_after_quiet_period(&[id]), [1], "{delay:?}: {}", setup.sender.log());
    }
}

#[test]
fn a_message_that_is_over_is_not_sent_again_when_the_next_call_on_its_connection_is_interrupted() {
    let setup = Setup::new("plain");
    // Answers stay provisional for as long as a recent call took.
    setup.endpoint.prepend_script(|request| {
        (request.message_id() == "slow").then(|| {
            std::thread::sleep(Duration::from_millis(1_500));
            ok_reply()
        })
    });
    setup.submit("alert", "slow");
    setup.endpoint.wait_for_message("slow", 1);
    std::thread::sleep(REST_BEFORE_REUSE);
    let id = setup.answer_on_used_connection("alert", gone_reply, AnswerFault::None);
    setup.proxy.set_plan(|call| match call.previous_calls {
        0 => AnswerFault::None,
        _ => AnswerFault::Discard,
    });
    std::thread::sleep(REST_BEFORE_REUSE);
    setup.submit("alert", "next");
    setup.endpoint.wait_for_message("next", 2);
    assert_eq!(setup.calls_after_quiet_period(&[id]), [1], "{}", setup.sender.log());
}

#[test]
fn a_message_that_is_over_is_not_sent_again_when_its_410_breaks_off_after_the_status_line() {
    let status_line = "HTTP/1.1 410 Gone\r\n".len();
    for fault in [AnswerFault::CutOff(status_line, FAULT_DELAY), AnswerFault::Stall(status_line)] {
        let setup = Setup::new("plain");
        let id = setup.answer_on_used_connection("alert", gone_reply, fault);
        assert_eq!(setup.calls_after_quiet_period(&[id]), [1], "{fault:?}: {}", setup.sender.log());
    }
}

#[test]
fn a_delivered_message_is_not_sent_again_when_its_connection_is_reset_after_the_200() {
    for (class, outcome) in [("alert", "handed_back"), ("order", "given_up")] {
        let setup = Setup::new("plain");
        let id = setup.answer_on_used_connection(class, ok_reply, AnswerFault::Reset(FAULT_DELAY));
        // The 200 may have been a copy of the one before, so the message may not have been delivered.
        assert_eq!(setup.discovery.wait_for_notice(&id)["outcome"], outcome, "{class}");
        assert_eq!(setup.calls_after_quiet_period(&[id]), [1], "{class}: {}", setup.sender.log());
    }
}

#[test]
fn a_message_that_ended_in_doubt_is_not_sent_again_after_a_kill() {
    let mut setup = Setup::new("plain");
    let is_platform_down = Arc::new(Mutex::new(true));
    let is_down = is_platform_down.clone();
    setup.discovery.server.prepend_script(move |request| {
        let is_rejected = *is_down.lock().unwrap() && request.start_line.starts_with("POST /reports");
        is_rejected.then(|| http_reply("500 Error", "", ""))
    });
    let id = setup.answer_on_used_connection("alert", ok_reply, AnswerFault::Reset(FAULT_DELAY));
    setup.discovery.wait_for_notice(&id);
    setup.sender.kill();
    let is_notice = |request: &&HttpMessage| request.start_line.starts_with("POST /reports");
    let count = |requests: &[HttpMessage]| requests.iter().filter(is_notice).count();
    let posts_before = count(&setup.discovery.server.received());
    *is_platform_down.lock().unwrap() = false;
    setup.sender.restart();
    setup.discovery.server.wait_until("the notice again", |requests| count(requests) > posts_before);
    assert_eq!(setup.calls_after_quiet_period(&[id]), [1], "{}", setup.sender.log());
}

#[test]
fn a_delivered_message_is_not_sent_again_when_its_200_is_copied() {
    let setup = Setup::new("plain");
    let id = setup.answer_on_used_connection("alert", ok_reply, AnswerFault::Copy(FAULT_DELAY));
    assert_eq!(setup.calls_after_quiet_period(&[id]), [1], "{}", setup.sender.log());
}

#[test]
fn messages_of_a_batch_that_are_over_are_not_sent_again_when_its_connection_is_reset() {
    for state in ["void", "done"] {
        let setup = Setup::new("many");
        setup.submit("alert", "first");
        setup.endpoint.wait_for_message("first", 1);
        let was_turned_away = Mutex::new(false);
        setup.endpoint.set_script(move |request| {
            let mut was_turned_away = was_turned_away.lock().unwrap();
            if !std::mem::replace(&mut *was_turned_away, true) {
                return http_reply("429 Wait", "Retry-After: 0.5\r\n", "");
            }
            let ends = names(request).into_iter().map(|id| json!({"id": id, "state": state}));
            http_reply("200 OK", "", &Value::from(ends.collect::<Vec<_>>()).to_string())
        });
        setup.proxy.set_plan(|call| match call.previous_calls > 0 && names(&call.request).len() > 2 {
            true => AnswerFault::Reset(FAULT_DELAY),
            false => AnswerFault::None,
        });
        std::thread::sleep(REST_BEFORE_REUSE);
        setup.submit("alert", "a");
        setup.endpoint.wait_for_message("a", 1);
        // The wait in the answer to the first message is known before the others come, so all go into a batch.
        std::thread::sleep(FAULT_DELAY);
        ["b", "c"].iter().for_each(|id| setup.submit("alert", id));
        let is_batch = |request: &HttpMessage| request.start_line.contains(":batch");
        let received = setup.endpoint.wait_until("a batch", |requests| requests.iter().any(is_batch));
        let batch = received.iter().find(|request| is_batch(request)).unwrap();
        let ids: Vec<String> = names(batch).into_iter().filter(|id| !id.is_empty()).collect();
        let calls = |id: &String| received.iter().filter(|r| names(r).contains(id)).count();
        let before: Vec<usize> = ids.iter().map(calls).collect();
        assert_eq!(setup.calls_after_quiet_period(&ids), before, "{state}: {}", setup.sender.log());
    }
}

#[test]
fn a_message_that_has_ended_is_not_sent_again_when_its_submission_arrives_twice() {
    for (answer, class) in [(ok_reply as fn() -> Reply, "order"), (ok_reply, "alert"), (gone_reply, "alert")]
    {
        let setup = Setup::new("plain");
        setup.endpoint.set_script(move |_| answer());
        setup.submit(class, "m");
        setup.endpoint.wait_for_message("m", 1);
        std::thread::sleep(FAULT_DELAY);
        setup.submit(class, "m");
        assert_eq!(setup.calls_after_quiet_period(&["m".to_string()]), [1], "{class}");
    }
}

#[test]
fn a_returned_message_and_another_one_under_the_same_id_may_be_submitted_again() {
    let setup = Setup::new("plain");
    setup
        .endpoint
        .prepend_script(|request| (request.body == b"returned").then(|| http_reply("503 Full", "", "")));
    let submit =
        |body: &[u8], expires_ms| assert_eq!(setup.sender.submit("alert", "m", 7, expires_ms, body), 202);
    submit(b"returned", 700);
    assert_eq!(setup.discovery.wait_for_notice("m")["outcome"], "handed_back");
    setup.endpoint.set_script(|_| ok_reply());
    let calls = || setup.endpoint.received().len();
    for body in [&b"returned"[..], b"other"] {
        let before = calls();
        // Longer than slow start after the rejections delays a call.
        submit(body, 16_000);
        setup.sender.wait_until("it is sent", || calls() > before);
    }
}

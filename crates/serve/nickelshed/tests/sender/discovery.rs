//! The list of endpoints, its address and the configuration.
use crate::common::*;
use nickelshed_testkit::*;
use serde_json::json;

#[test]
fn a_misspelt_key_in_the_operator_file_fails_the_start_and_is_named() {
    let discovery = Discovery::new(json!([]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    let file = sender.folder.join("operator.toml");
    std::fs::write(&file, "[journal]\ndurabilty = \"machine\"\n").unwrap();
    sender.kill();
    sender.set_arguments(&["--operator", file.to_str().unwrap()]);
    let (success, log) = sender.run_second();
    assert!(!success && log.contains("durabilty") && log.contains("durability"), "{log}");
}

#[test]
fn while_discovery_does_not_answer_the_known_list_stays_in_effect() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([]));
    discovery.stop_answering();
    let known = json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(8),
        {"instanceId": "unreadable"}]);
    let mut sender = SenderProcess::start_with(PROGRAM, &discovery, known, |_| {});
    assert_eq!(sender.submit("alert", "m", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("m", 1);
    // A destination without an endpoint never uses the endpoint of another one.
    assert_eq!(sender.submit("alert", "elsewhere", 8, 500, b"x"), 202);
    assert_eq!(discovery.wait_for_notice("elsewhere")["outcome"], "handed_back");
    assert_eq!(endpoint.received().len(), 1);
    assert!(sender.is_running());
}

#[test]
fn a_reloaded_discovery_address_applies_to_watches_and_notices_and_survives_a_restart() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let old = Discovery::new(json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(8)]));
    let mut sender = SenderProcess::start(PROGRAM, &old);
    // The old platform receives a notice and never answers it.
    old.server.prepend_script(|r| r.start_line.starts_with("POST").then_some(Reply::Hang));
    assert_eq!(sender.submit("order", "unanswered", 8, 300, b"x"), 202);
    old.wait_for_notice("unanswered");

    // A file that cannot be parsed, or has no discovery address, changes nothing.
    sender.reload("{");
    sender.wait_until("the bad file is logged", || sender.log().contains("the old configuration is kept"));
    assert_eq!(sender.submit("order", "as before", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("as before", 1);

    let new = Discovery::new(json!([]));
    new.stop_answering();
    sender.config["discovery"] = json!(new.server.address.to_string());
    sender.reload(&sender.config.to_string());
    let full_list_requests = |requests: &[HttpMessage]| {
        requests.iter().filter(|r| r.start_line == "GET /v1/servers HTTP/1.1").count()
    };
    new.server.wait_until("a request for the full list at the new address", |requests| {
        full_list_requests(requests) > 0
    });
    // The new address has sent no list yet: the old list stays in effect.
    assert_eq!(sender.submit("order", "old list", 7, 16_000, b"x"), 202);
    endpoint.wait_for_message("old list", 1);
    assert_eq!(new.wait_for_notice("unanswered")["outcome"], "handed_back");
    new.set_instances(json!([
        ready_instance("e-1", endpoint.address, 7),
        ready_instance("e-2", endpoint.address, 9)
    ]));
    new.resume_answering();
    sender.wait_until("the new list is in effect", || {
        sender.submit("order", "new list", 9, 16_000, b"x") == 202
    });
    endpoint.wait_for_message("new list", 1);

    // The environment variable still has the old address: the configuration file takes precedence.
    sender.kill();
    let (connections_before, requests_before) =
        (old.server.connection_count(), full_list_requests(&new.server.received()));
    sender.restart();
    new.server.wait_until("a request for the full list after the restart", |requests| {
        full_list_requests(requests) > requests_before
    });
    assert_eq!(old.server.connection_count(), connections_before);
}

//! Damaged, full and compacted journals.
use crate::common::*;
use nickelshed_testkit::*;
use serde_json::json;

#[test]
fn a_torn_write_at_the_end_of_the_journal_is_cut_off_and_earlier_records_survive() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    for id in ["intact", "torn"] {
        assert_eq!(sender.submit("order", id, 7, 16_000, &[7; 300]), 202);
    }
    sender.kill();
    let path = sender.segments().pop().unwrap();
    let bytes = std::fs::read(&path).unwrap();
    std::fs::write(&path, &bytes[..bytes.len() - 5]).unwrap();
    discovery.set_instances(json!([ready_instance("e-1", endpoint.address, 7)]));
    sender.restart();
    endpoint.wait_for_message("intact", 1);
    wait_until_settled(&sender, &endpoint);
    assert!(!endpoint.received().iter().any(|r| r.message_id() == "torn"));
    // Records that are written after the cut can be read again.
    discovery.set_instances(json!([terminating_instance(7)]));
    let count_before = discovery.server.received().len();
    discovery
        .server
        .wait_until("requests after the change of the list", |requests| requests.len() >= count_before + 3);
    assert_eq!(sender.submit("order", "later", 7, 16_000, b"x"), 202);
    sender.kill();
    discovery.set_instances(json!([ready_instance("e-1", endpoint.address, 7)]));
    sender.restart();
    endpoint.wait_for_message("later", 1);
    assert_eq!(endpoint.wait_for_message("intact", 1).len(), 1);
}

/// An attempt record in the middle of the journal is corrupted. The journal assumes that the attempt was
/// made: an unsafe message fails and is not sent again, and the records after the damage survive.
#[test]
fn a_corrupted_attempt_record_does_not_let_an_unsafe_message_run_twice() {
    let endpoint = first_then_ok(|| Reply::Hang);
    let discovery = Discovery::new(json!([terminating_instance(7), terminating_instance(9)]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    assert_eq!(sender.submit("order", "m", 7, 16_000, b"x"), 202);
    let journal_length =
        |sender: &SenderProcess| std::fs::metadata(sender.segments().pop().unwrap()).unwrap().len() as usize;
    let length_before_attempt = journal_length(&sender);
    discovery.set_instances(json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(9)]));
    endpoint.wait_for_message("m", 1);
    assert!(journal_length(&sender) > length_before_attempt, "the attempt is recorded before it is made");
    assert_eq!(sender.submit("order", "behind", 9, 16_000, b"y"), 202);
    sender.kill();
    let path = sender.segments().pop().unwrap();
    let mut bytes = std::fs::read(&path).unwrap();
    // Offset 26 is past the header of the frame that holds the attempt record.
    bytes[length_before_attempt + 26] ^= 1;
    std::fs::write(&path, bytes).unwrap();
    discovery.set_instances(json!([
        ready_instance("e-1", endpoint.address, 7),
        ready_instance("e-2", endpoint.address, 9)
    ]));
    sender.restart();
    assert_eq!(discovery.wait_for_notice("m")["outcome"], "given_up");
    assert_eq!(endpoint.wait_for_message("behind", 1)[0].body, b"y");
    wait_until_settled(&sender, &endpoint);
    assert_eq!(endpoint.wait_for_message("m", 1).len(), 1);
    assert!(sender.log().contains("the journal is damaged"), "{}", sender.log());
    assert!(sender.state_folder().join("damaged-0000000000000001").exists());
}

#[test]
fn a_damaged_journal_does_not_prevent_the_start() {
    let discovery = Discovery::new(json!([terminating_instance(7)]));
    let mut sender = SenderProcess::start(PROGRAM, &discovery);
    sender.kill();
    let noise: Vec<u8> = (0..5_000u32).map(|i| (i.wrapping_mul(2_654_435_761) >> 13) as u8).collect();
    for name in ["journal", "segment-0000000000000001", "segment-0000000000000007"] {
        std::fs::write(sender.state_folder().join(name), &noise).unwrap();
    }
    sender.restart();
    assert_eq!(sender.submit("order", "m", 7, 16_000, b"x"), 202);
}

#[test]
fn the_journal_is_compacted_within_its_limit_and_messages_that_do_not_fit_are_shed() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery =
        Discovery::new(json!([ready_instance("e-1", endpoint.address, 7), terminating_instance(9)]));
    let limit = 400_000;
    let mut sender = SenderProcess::start_with(PROGRAM, &discovery, json!([]), |config| {
        config["limits"]["disk_mb"] = json!(0.4)
    });
    // Together they are far larger than the limit, which is kept only if compaction drops the records of
    // finished messages.
    for i in 0..60 {
        let id = format!("m{i}");
        assert_eq!(sender.submit("alert", &id, 7, 16_000, &[1; 20_000]), 202);
        endpoint.wait_for_message(&id, 1);
        assert!(sender.disk_usage() <= limit, "{}", sender.disk_usage());
    }
    // Open messages are not dropped: these wait until the list has an endpoint for their destination.
    let mut queued = Vec::new();
    loop {
        let id = format!("queued{}", queued.len());
        match sender.submit("order", &id, 9, 16_000, &[2; 20_000]) {
            202 => queued.push(id),
            status => break assert_eq!(status, 503),
        }
        assert!(sender.disk_usage() <= limit && queued.len() < 50, "{}", sender.disk_usage());
    }
    assert!(queued.len() >= 3, "{}", queued.len());
    sender.kill();
    let both =
        json!([ready_instance("e-1", endpoint.address, 7), ready_instance("e-2", endpoint.address, 9)]);
    discovery.set_instances(both);
    sender.restart();
    for id in &queued {
        assert_eq!(endpoint.wait_for_message(id, 1)[0].body, [2; 20_000]);
    }
    assert_eq!(sender.submit("order", "after-restart", 7, 16_000, b"x"), 202);
    assert!(sender.disk_usage() <= limit);
}

//! Tests of the sender as a sidecar: configured by one file of the operator, without a platform.
use nickelshed_testkit::*;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");

/// A configuration file with one destination, number 7, and the given endpoints and notice settings.
fn sidecar_config(listen: SocketAddr, endpoints: &[SocketAddr], notices: &str) -> String {
    let endpoints: Vec<String> = endpoints.iter().map(|e| format!("\"{e}\"")).collect();
    format!(
        "application = \"alarm\"\nlisten = \"{listen}\"\nstate = \"state\"\nloopback_only = true\n\
         [limits]\nheld = 200\nslots = 16\n[notices]\n{notices}\n\
         [[class]]\nname = \"alert\"\nwanted_within = \"3s\"\nabandoned_after = \"16s\"\neffect = \"keyed\"\n\
         repeat_window = \"16s\"\n\
         [[class]]\nname = \"order\"\nwanted_within = \"3s\"\nabandoned_after = \"16s\"\neffect = \"unsafe\"\n\
         [[destination]]\nname = \"gmina\"\nnumber = 7\nendpoints = [{}]\n",
        endpoints.join(", ")
    )
}

const NOTICES_TO_FILE: &str = "file = \"notices.jsonl\"";

/// An address that refused connections when it was picked.
fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn read_notices(path: &Path) -> Vec<Value> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.lines().map(|l| serde_json::from_str(l).unwrap_or_else(|e| panic!("{l}: {e}"))).collect()
}

/// Waits until the notice file has a notice on the message with this trace id, and returns the first one.
fn wait_for_written_notice(sender: &SenderProcess, id: &str) -> Value {
    let path = sender.folder.join("notices.jsonl");
    let find = || read_notices(&path).into_iter().find(|n| n["message"] == id);
    sender.wait_until(&format!("a notice for {id} is written"), || find().is_some());
    find().unwrap()
}

#[test]
fn messages_go_to_the_configured_endpoints_and_undeliverable_ones_get_a_notice_in_the_file() {
    let (endpoint, refusing_address) = (FakeServer::new(|_| ok_reply()), unused_address());
    let sender = SenderProcess::start_sidecar(PROGRAM, |listen| {
        let second_destination =
            format!("[[destination]]\nname = \"lost\"\nnumber = 8\nendpoints = [\"{refusing_address}\"]\n");
        sidecar_config(listen, &[endpoint.address], NOTICES_TO_FILE) + &second_destination
    });
    assert_eq!(sender.submit("alert", "m", 7, 9_000, b"x"), 202);
    assert_eq!(endpoint.wait_for_message("m", 1)[0].start_line, "POST /v1/messages HTTP/1.1");
    assert_eq!(sender.submit("order", "lost", 8, 1_000, b"x"), 202);
    let notice = wait_for_written_notice(&sender, "lost");
    assert_eq!((&notice["outcome"], &notice["application"]), (&"handed_back".into(), &"alarm".into()));
    assert_eq!((&notice["class"], &notice["destination"]), (&"order".into(), &8.into()));
    assert_eq!(read_notices(&sender.folder.join("notices.jsonl")).len(), 1);
    assert_eq!(sender.submit("alert", "other", 9, 9_000, b"x"), 404, "no destination has that number");
}

/// A notice stays pending until both sinks have acknowledged it, also across a kill of the process.
#[test]
fn a_notice_stays_pending_until_the_file_and_the_http_receiver_have_it() {
    let receiver = FakeServer::new(|_| http_reply("503 Not now", "", ""));
    let mut sender = SenderProcess::start_sidecar(PROGRAM, |listen| {
        let notices =
            format!("{NOTICES_TO_FILE}\nhttp = \"http://{}/notices?from=sidecar\"", receiver.address);
        sidecar_config(listen, &[unused_address()], &notices)
    });
    assert_eq!(sender.submit("order", "m", 7, 500, b"x"), 202);
    wait_for_written_notice(&sender, "m");
    receiver.wait_until("a notice", |received| !received.is_empty());
    sender.kill();
    receiver.set_script(|_| http_reply("201 Kept", "", ""));
    let count_before = receiver.received().len();
    sender.restart();
    let received = receiver.wait_until("the notice again", |received| received.len() > count_before);
    assert_eq!(received[count_before].start_line, "POST /notices?from=sidecar HTTP/1.1");
    let notice: Value = serde_json::from_slice(&received[count_before].body).unwrap();
    assert_eq!((&notice["message"], &notice["outcome"]), (&"m".into(), &"handed_back".into()));
    // The file gets the notice a second time, and after that it is no longer pending.
    sender.wait_until("the file has the notice twice", || {
        read_notices(&sender.folder.join("notices.jsonl")).len() == 2
    });
    assert_eq!(sender.submit("order", "n", 7, 500, b"x"), 202);
    receiver.wait_until("the notice on another message", |received| {
        received.iter().any(|r| String::from_utf8_lossy(&r.body).contains("\"n\""))
    });
    let count_before_last = receiver.received().len();
    sender.kill();
    sender.restart();
    assert_eq!(sender.submit("order", "last", 7, 500, b"x"), 202);
    let received =
        receiver.wait_until("the notice on the last message", |received| received.len() > count_before_last);
    assert!(!String::from_utf8_lossy(&received[count_before_last].body).contains("\"m\""));
}

#[test]
fn notices_stay_pending_while_their_file_cannot_be_written() {
    let mut sender = SenderProcess::start_sidecar(PROGRAM, |listen| {
        sidecar_config(listen, &[unused_address()], NOTICES_TO_FILE)
    });
    let path = sender.folder.join("notices.jsonl");
    std::fs::create_dir(&path).unwrap();
    assert_eq!(sender.submit("order", "m", 7, 300, b"x"), 202);
    sender.wait_until("the failure is logged", || sender.log().contains("they stay owed"));
    sender.kill();
    sender.discard_log();
    sender.restart();
    sender.wait_until("the failure is logged again", || sender.log().contains("they stay owed"));
    std::fs::remove_dir(&path).unwrap();
    assert_eq!(wait_for_written_notice(&sender, "m")["outcome"], "handed_back");
    sender.wait_until("the recovery is logged", || sender.log().contains("written again"));
}

#[test]
fn sighup_applies_new_endpoints_at_once_and_an_invalid_file_changes_nothing() {
    let (old, new) = (FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply()));
    let sender = SenderProcess::start_sidecar(PROGRAM, |listen| {
        sidecar_config(listen, &[old.address], NOTICES_TO_FILE)
    });
    assert_eq!(sender.submit("alert", "first", 7, 9_000, b"x"), 202);
    old.wait_for_message("first", 1);
    sender.reload(&sidecar_config(sender.address, &[new.address], NOTICES_TO_FILE).replace("slots", "slotz"));
    sender.wait_until("the error is logged", || sender.log().contains("Did you mean `slots`?"));
    assert_eq!(sender.submit("alert", "second", 7, 9_000, b"x"), 202);
    old.wait_for_message("second", 1);
    sender.reload(&sidecar_config(sender.address, &[new.address], NOTICES_TO_FILE));
    sender.wait_until("the reload is logged", || sender.log().contains("was read again"));
    // The reload is logged before the list is queued for the event loop. The list is queued before any later
    // message, so it is in effect for the following ones.
    for id in ["third", "fourth", "fifth"] {
        assert_eq!(sender.submit("alert", id, 7, 9_000, b"x"), 202);
        new.wait_for_message(id, 1);
    }
    assert!(old.received().iter().all(|r| ["first", "second"].contains(&r.message_id())));
    // A change from configured endpoints to discovery needs a restart.
    let destinations_offset = sender.sidecar_config.as_ref().unwrap().find("[[destination]]").unwrap();
    let text = sidecar_config(sender.address, &[], NOTICES_TO_FILE)[..destinations_offset].to_string();
    sender.reload(&(text + &format!("[discovery]\naddress = \"{}\"\n", unused_address())));
    sender.wait_until("the needed restart is logged", || sender.log().contains("needs a new start"));
    assert_eq!(sender.submit("alert", "sixth", 7, 9_000, b"x"), 202);
    new.wait_for_message("sixth", 1);
}

#[test]
fn endpoints_can_come_from_discovery_while_notices_go_to_the_file() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(serde_json::json!([ready_instance("e-1", endpoint.address, 7)]));
    let sender = SenderProcess::start_sidecar(PROGRAM, |listen| {
        let text = sidecar_config(listen, &[], NOTICES_TO_FILE);
        let destinations_offset = text.find("[[destination]]").unwrap();
        format!("{}[discovery]\naddress = \"{}\"\n", &text[..destinations_offset], discovery.server.address)
    });
    sender.wait_until("the list has arrived", || sender.submit("alert", "m", 7, 9_000, b"x") == 202);
    endpoint.wait_for_message("m", 1);
    discovery.set_instances(serde_json::json!([ready_instance("e-1", unused_address(), 7)]));
    sender.wait_until("a message cannot be delivered", || {
        sender.submit("order", "lost", 7, 300, b"x");
        read_notices(&sender.folder.join("notices.jsonl")).iter().any(|n| n["message"] == "lost")
    });
    assert!(discovery.notices().is_empty());
}

#[test]
fn an_invalid_file_is_rejected_with_the_position_of_its_error() {
    let mut sender = SenderProcess::new(PROGRAM);
    let text = sidecar_config(sender.address, &[unused_address()], NOTICES_TO_FILE);
    sender.sidecar_config = Some(text.replace(
        "abandoned_after = \"16s\"\neffect = \"unsafe\"",
        "abandoned_after = \"20s\"\neffect = \"unsafe\"",
    ));
    assert!(!sender.try_start());
    assert!(sender.log().contains("sidecar.toml:19:19: error[NS201]"), "{}", sender.log());
    assert!(!sender.state_folder().exists(), "no state folder was created");
}

/// A valid configuration file is changed at random, with a fixed seed. The sender must start with each result
/// that validation accepts, and reject each that it does not.
#[test]
fn the_sender_starts_exactly_with_the_files_that_pass_validation() {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut sender = SenderProcess::new(PROGRAM);
    let text = sidecar_config(sender.address, &[unused_address()], NOTICES_TO_FILE);
    let (mut accepted, mut rejected) = (0, 0);
    while accepted < 25 || rejected < 25 {
        let mut bytes = text.clone().into_bytes();
        let lines: Vec<&str> = text.lines().collect();
        match rng.u8(0..4) {
            // Changes a digit, removes a line, duplicates a line or changes a byte.
            0 => {
                let digits: Vec<usize> = (0..bytes.len()).filter(|i| bytes[*i].is_ascii_digit()).collect();
                bytes[digits[rng.usize(0..digits.len())]] = rng.u8(b'0'..=b'9');
            }
            1 => {
                let removed = rng.usize(0..lines.len());
                let remaining = lines.iter().enumerate().filter(|(i, _)| *i != removed).map(|(_, l)| *l);
                bytes = remaining.collect::<Vec<_>>().join("\n").into_bytes();
            }
            2 => {
                let at = rng.usize(0..lines.len());
                let mut duplicated = lines.clone();
                duplicated.insert(at, lines[at]);
                bytes = duplicated.join("\n").into_bytes();
            }
            _ => {
                let at = rng.usize(0..bytes.len());
                bytes[at] = rng.u8(b' '..b'~');
            }
        }
        let validated = nickelshed_config::load(&bytes).into_valid();
        // Skips files with another listen address or state folder, which may not belong to this test.
        if validated
            .as_ref()
            .is_ok_and(|sidecar| sidecar.listen != sender.address || sidecar.state != Path::new("state"))
        {
            continue;
        }
        match &validated {
            Ok(_) if accepted >= 25 => continue,
            Err(_) if rejected >= 25 => continue,
            Ok(_) => accepted += 1,
            Err(_) => rejected += 1,
        }
        sender.sidecar_config = Some(String::from_utf8(bytes).unwrap());
        sender.discard_log();
        let ready = sender.try_start();
        assert_eq!(
            ready,
            validated.is_ok(),
            "{}\n{:#?}\n{}",
            sender.sidecar_config.as_ref().unwrap(),
            validated.err(),
            sender.log()
        );
        if ready {
            sender.kill();
        }
    }
}

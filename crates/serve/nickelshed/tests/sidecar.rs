//! The sender as a sidecar: one file of the operator's, no platform.
use nickelshed_testkit::*;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");

/// A file with one destination, 7, and what else is wanted of it.
fn file(listen: SocketAddr, endpoints: &[SocketAddr], notices: &str) -> String {
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

const TO_FILE: &str = "file = \"notices.jsonl\"";

fn nowhere() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn lines(path: &Path) -> Vec<Value> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.lines().map(|l| serde_json::from_str(l).unwrap_or_else(|e| panic!("{l}: {e}"))).collect()
}

fn written(sender: &SenderProcess, id: &str) -> Value {
    let path = sender.folder.join("notices.jsonl");
    let find = || lines(&path).into_iter().find(|n| n["message"] == id);
    sender.wait_until(&format!("a notice for {id} is written"), || find().is_some());
    find().unwrap()
}

#[test]
fn delivers_to_the_endpoints_of_its_file_and_writes_down_what_it_can_not() {
    let (endpoint, closed) = (FakeServer::new(|_| ok_reply()), nowhere());
    let sender = SenderProcess::start_sidecar(PROGRAM, |listen| {
        let lost = format!("[[destination]]\nname = \"lost\"\nnumber = 8\nendpoints = [\"{closed}\"]\n");
        file(listen, &[endpoint.address], TO_FILE) + &lost
    });
    assert_eq!(sender.submit("alert", "m", 7, 9_000, b"x"), 202);
    assert_eq!(endpoint.wait_for_message("m", 1)[0].start_line, "POST /v1/messages HTTP/1.1");
    assert_eq!(sender.submit("order", "lost", 8, 1_000, b"x"), 202);
    let notice = written(&sender, "lost");
    assert_eq!((&notice["outcome"], &notice["application"]), (&"handed_back".into(), &"alarm".into()));
    assert_eq!((&notice["class"], &notice["destination"]), (&"order".into(), &8.into()));
    assert_eq!(lines(&sender.folder.join("notices.jsonl")).len(), 1);
    assert_eq!(sender.submit("alert", "other", 9, 9_000, b"x"), 404, "no destination has that number");
}

/// A notice is owed until both sinks have it: over the end of the process too.
#[test]
fn a_notice_is_owed_until_the_file_and_the_address_have_it() {
    let receiver = FakeServer::new(|_| http_reply("503 Not now", "", ""));
    let mut sender = SenderProcess::start_sidecar(PROGRAM, |listen| {
        let notices = format!("{TO_FILE}\nhttp = \"http://{}/told?by=us\"", receiver.address);
        file(listen, &[nowhere()], &notices)
    });
    assert_eq!(sender.submit("order", "m", 7, 500, b"x"), 202);
    written(&sender, "m");
    receiver.wait_until("a notice", |received| !received.is_empty());
    sender.kill();
    receiver.set_script(|_| http_reply("201 Kept", "", ""));
    let before = receiver.received().len();
    sender.restart();
    let received = receiver.wait_until("the notice once more", |received| received.len() > before);
    assert_eq!(received[before].start_line, "POST /told?by=us HTTP/1.1");
    let told: Value = serde_json::from_slice(&received[before].body).unwrap();
    assert_eq!((&told["message"], &told["outcome"]), (&"m".into(), &"handed_back".into()));
    // Told once more to the file, and then over for good.
    sender.wait_until("the file has it again", || lines(&sender.folder.join("notices.jsonl")).len() == 2);
    assert_eq!(sender.submit("order", "n", 7, 500, b"x"), 202);
    receiver.wait_until("another", |received| {
        received.iter().any(|r| String::from_utf8_lossy(&r.body).contains("\"n\""))
    });
    let told = receiver.received().len();
    sender.kill();
    sender.restart();
    assert_eq!(sender.submit("order", "last", 7, 500, b"x"), 202);
    let received = receiver.wait_until("the last", |received| received.len() > told);
    assert!(!String::from_utf8_lossy(&received[told].body).contains("\"m\""));
}

#[test]
fn a_file_that_can_not_be_written_keeps_its_notices_owed() {
    let mut sender = SenderProcess::start_sidecar(PROGRAM, |listen| file(listen, &[nowhere()], TO_FILE));
    let path = sender.folder.join("notices.jsonl");
    std::fs::create_dir(&path).unwrap();
    assert_eq!(sender.submit("order", "m", 7, 300, b"x"), 202);
    sender.wait_until("it says so", || sender.log().contains("they stay owed"));
    sender.kill();
    sender.discard_log();
    sender.restart();
    sender.wait_until("it says so again", || sender.log().contains("they stay owed"));
    std::fs::remove_dir(&path).unwrap();
    assert_eq!(written(&sender, "m")["outcome"], "handed_back");
    sender.wait_until("it says that it goes on", || sender.log().contains("written again"));
}

#[test]
fn a_hangup_takes_up_new_endpoints_at_once_and_a_bad_file_costs_nothing() {
    let (old, new) = (FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply()));
    let sender = SenderProcess::start_sidecar(PROGRAM, |listen| file(listen, &[old.address], TO_FILE));
    assert_eq!(sender.submit("alert", "first", 7, 9_000, b"x"), 202);
    old.wait_for_message("first", 1);
    sender.reload(&file(sender.address, &[new.address], TO_FILE).replace("slots", "slotz"));
    sender.wait_until("it tells of the mistake", || sender.log().contains("Did you mean `slots`?"));
    assert_eq!(sender.submit("alert", "second", 7, 9_000, b"x"), 202);
    old.wait_for_message("second", 1);
    sender.reload(&file(sender.address, &[new.address], TO_FILE));
    sender.wait_until("it was read again", || sender.log().contains("was read again"));
    // From here on it has the new list: the hang-up's line is written first, and the list is in the core's queue
    // before any later message.
    for id in ["third", "fourth", "fifth"] {
        assert_eq!(sender.submit("alert", id, 7, 9_000, b"x"), 202);
        new.wait_for_message(id, 1);
    }
    assert!(old.received().iter().all(|r| ["first", "second"].contains(&r.message_id())));
    // Discovery in place of a list needs a new start.
    let list_starts = sender.sidecar_config.as_ref().unwrap().find("[[destination]]").unwrap();
    let text = file(sender.address, &[], TO_FILE)[..list_starts].to_string();
    sender.reload(&(text + &format!("[discovery]\naddress = \"{}\"\n", nowhere())));
    sender.wait_until("it says so", || sender.log().contains("needs a new start"));
    assert_eq!(sender.submit("alert", "sixth", 7, 9_000, b"x"), 202);
    new.wait_for_message("sixth", 1);
}

#[test]
fn endpoints_may_come_from_discovery_and_notices_go_to_the_file() {
    let endpoint = FakeServer::new(|_| ok_reply());
    let discovery = Discovery::new(serde_json::json!([ready_instance("e-1", endpoint.address, 7)]));
    let sender = SenderProcess::start_sidecar(PROGRAM, |listen| {
        let text = file(listen, &[], TO_FILE);
        let list = text.find("[[destination]]").unwrap();
        format!("{}[discovery]\naddress = \"{}\"\n", &text[..list], discovery.server.address)
    });
    sender.wait_until("the list has come", || sender.submit("alert", "m", 7, 9_000, b"x") == 202);
    endpoint.wait_for_message("m", 1);
    discovery.set_instances(serde_json::json!([ready_instance("e-1", nowhere(), 7)]));
    sender.wait_until("nothing can be delivered", || {
        sender.submit("order", "lost", 7, 300, b"x");
        lines(&sender.folder.join("notices.jsonl")).iter().any(|n| n["message"] == "lost")
    });
    assert!(discovery.notices().is_empty());
}

#[test]
fn a_file_with_a_mistake_is_refused_with_its_place() {
    let mut sender = SenderProcess::new(PROGRAM);
    let text = file(sender.address, &[nowhere()], TO_FILE);
    sender.sidecar_config = Some(text.replace(
        "abandoned_after = \"16s\"\neffect = \"unsafe\"",
        "abandoned_after = \"20s\"\neffect = \"unsafe\"",
    ));
    assert!(!sender.try_start());
    assert!(sender.log().contains("sidecar.toml:19:19: error[NS201]"), "{}", sender.log());
    assert!(!sender.state_folder().exists(), "nothing was begun");
}

/// What the check lets pass starts, and what it refuses does not: files changed at random, the same each time.
#[test]
fn what_passes_the_check_starts_and_what_does_not_pass_is_refused() {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut sender = SenderProcess::new(PROGRAM);
    let text = file(sender.address, &[nowhere()], TO_FILE);
    let (mut passed, mut refused) = (0, 0);
    while passed < 25 || refused < 25 {
        let mut bytes = text.clone().into_bytes();
        let lines: Vec<&str> = text.lines().collect();
        match rng.u8(0..4) {
            // A digit is another, a line is gone, a line is there twice, a byte is another.
            0 => {
                let digits: Vec<usize> = (0..bytes.len()).filter(|i| bytes[*i].is_ascii_digit()).collect();
                bytes[digits[rng.usize(0..digits.len())]] = rng.u8(b'0'..=b'9');
            }
            1 => {
                let gone = rng.usize(0..lines.len());
                let kept = lines.iter().enumerate().filter(|(i, _)| *i != gone).map(|(_, l)| *l);
                bytes = kept.collect::<Vec<_>>().join("\n").into_bytes();
            }
            2 => {
                let at = rng.usize(0..lines.len());
                let mut more = lines.clone();
                more.insert(at, lines[at]);
                bytes = more.join("\n").into_bytes();
            }
            _ => {
                let at = rng.usize(0..bytes.len());
                bytes[at] = rng.u8(b' '..b'~');
            }
        }
        let verdict = nickelshed_config::load(&bytes).sound();
        // Another place to listen at, or another folder, is not this process's to try.
        if verdict.as_ref().is_ok_and(|s| s.listen != sender.address || s.state != Path::new("state")) {
            continue;
        }
        match &verdict {
            Ok(_) if passed >= 25 => continue,
            Err(_) if refused >= 25 => continue,
            Ok(_) => passed += 1,
            Err(_) => refused += 1,
        }
        sender.sidecar_config = Some(String::from_utf8(bytes).unwrap());
        sender.discard_log();
        let ready = sender.try_start();
        assert_eq!(
            ready,
            verdict.is_ok(),
            "{}\n{:#?}\n{}",
            sender.sidecar_config.as_ref().unwrap(),
            verdict.err(),
            sender.log()
        );
        if ready {
            sender.kill();
        }
    }
}

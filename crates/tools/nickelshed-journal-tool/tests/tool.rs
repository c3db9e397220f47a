//! Runs the command on folders left by a sender, and on the folder of a running one.
use nickelshed_budget::Budget;
use nickelshed_journal::*;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};

static NEXT_FOLDER: AtomicUsize = AtomicUsize::new(0);

struct Scratch(PathBuf);

impl Scratch {
    fn new() -> Scratch {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::SeqCst);
        let path =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("tool-{}-{number}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Scratch(path)
    }

    fn run(&self, arguments: &[&str]) -> (i32, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_nickelshed-journal"));
        let Output { status, stdout, stderr } =
            command.arg(arguments[0]).arg(&self.0).args(&arguments[1..]).output().unwrap();
        (status.code().unwrap(), String::from_utf8(stdout).unwrap() + &String::from_utf8(stderr).unwrap())
    }

    fn segment(&self) -> PathBuf {
        let files = std::fs::read_dir(&self.0).unwrap().flatten().map(|entry| entry.path());
        files.filter(|p| p.file_name().unwrap().to_string_lossy().starts_with("segment-")).max().unwrap()
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn open(folder: &Path) -> Journal<Folder> {
    let options = Options { disk_limit_bytes: 3_000_000, max_attempts: 8, durability: Durability::Process };
    Journal::open(Folder::new(folder), options, &Budget::new(64.0), 1).unwrap().0
}

fn accepted(id: u64) -> Record {
    Record::Accepted(Rc::new(AcceptedMessage {
        id,
        class: "alert".into(),
        tenant: "acme".into(),
        dest: 7 + id % 2,
        trace: format!("m{id}"),
        key: None,
        accepted_at_ms: 1_000,
        deadline_ms: 17_000,
        body: bytes::Bytes::from_static(b"frost"),
        memory_share: None,
    }))
}

fn write_three_messages(folder: &Path) -> Journal<Folder> {
    let mut journal = open(folder);
    journal.append(&[accepted(1), accepted(2)], 1_000).unwrap();
    let attempt = AttemptRecord { number: 0, started_at_ms: 2_000, endpoint: "e-1".into(), never_ran: false };
    journal.append(&[Record::AttemptStarted(2, attempt)], 2_000).unwrap();
    journal.append(&[accepted(3)], 3_000).unwrap();
    journal
}

#[test]
fn the_folder_of_a_running_sender_is_inspected_without_changes() {
    let scratch = Scratch::new();
    let mut journal = write_three_messages(&scratch.0);
    let (code, text) = scratch.run(&["inspect", "--disk-mb", "3"]);
    assert_eq!(code, 0, "{text}");
    assert!(text.starts_with("3 messages held, 15 bytes of bodies"), "{text}");
    assert!(text.contains("left of the disk's limit"), "{text}");
    let (code, json) = scratch.run(&["inspect", "--json"]);
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(code, 0);
    let group =
        |dest: u64| json["groups"].as_array().unwrap().iter().find(|g| g["dest"] == dest).unwrap().clone();
    assert_eq!((&group(7)["messages"], &group(7)["attempts"]), (&1.into(), &1.into()));
    assert_eq!((&group(8)["messages"], &group(8)["untried"]), (&2.into(), &2.into()));
    // The inspection has not disturbed the sender.
    journal.append(&[Record::Finished(1)], 4_000).unwrap();
    let (code, lines) = scratch.run(&["export"]);
    assert_eq!(code, 0);
    let lines: Vec<serde_json::Value> = lines.lines().map(|l| serde_json::from_str(l).unwrap()).collect();
    assert_eq!(lines.len(), 2);
    assert_eq!((&lines[0]["message"], &lines[0]["body"]), (&"m2".into(), &"ZnJvc3Q=".into()));
    assert_eq!(lines[0]["attempts"][0]["endpoint"], "e-1");
}

#[test]
fn exit_codes_and_positions_tell_intact_torn_and_damaged_folders() {
    let scratch = Scratch::new();
    drop(write_three_messages(&scratch.0));
    assert_eq!(scratch.run(&["verify"]).0, 0);
    let path = scratch.segment();
    let intact = std::fs::read(&path).unwrap();
    std::fs::write(&path, &intact[..intact.len() - 3]).unwrap();
    let (code, text) = scratch.run(&["verify"]);
    assert_eq!(code, 3, "{text}");
    assert!(text.starts_with("torn: 2 messages") && text.contains("cut off"), "{text}");
    let mut corrupted = intact.clone();
    corrupted[90] ^= 4;
    std::fs::write(&path, &corrupted).unwrap();
    let (code, text) = scratch.run(&["verify"]);
    assert_eq!(code, 4, "{text}");
    assert!(text.contains(": bytes 64 to "), "{text}");
    let (code, json) = scratch.run(&["verify", "--json"]);
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!((code, &json["damage"][0]["from"], &json["state"]), (4, &64.into(), &"damaged".into()));
    // Verification is read-only.
    assert_eq!(std::fs::read(&path).unwrap(), corrupted);
    let missing_folder = Scratch(scratch.0.join("not-there"));
    let (code, text) = missing_folder.run(&["inspect"]);
    assert_eq!(code, 5);
    assert!(text.contains("give the sender's state folder"), "{text}");
}

#[test]
fn a_folder_whose_segments_change_during_reads_is_never_reported_damaged() {
    let scratch = Scratch::new();
    let folder = scratch.0.clone();
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let stopped = stop.clone();
    let writer = std::thread::spawn(move || {
        let options = Options { disk_limit_bytes: 100_000, max_attempts: 8, durability: Durability::Process };
        let mut journal = Journal::open(Folder::new(&folder), options, &Budget::new(64.0), 1).unwrap().0;
        journal.append(&[accepted(0)], 1).unwrap();
        let mut id = 1;
        while !stopped.load(Ordering::SeqCst) {
            journal.append(&[accepted(id)], 1).unwrap();
            journal.append(&[Record::Finished(id)], 1).unwrap();
            id += 1;
            if id % 64 == 0 {
                std::thread::sleep(std::time::Duration::from_micros(200));
            }
        }
        journal.stats()
    });
    let codes: Vec<(i32, String)> = (0..60).map(|_| scratch.run(&["verify"])).collect();
    stop.store(true, Ordering::SeqCst);
    let stats = writer.join().unwrap();
    assert!(stats.copied_bytes > 0, "{stats:?}");
    // Intact, or read while a write was in progress.
    for (code, text) in &codes {
        assert!([0, 3].contains(code) || text.contains("too fast"), "{code}: {text}");
    }
    assert!(codes.iter().any(|(code, _)| *code == 0));
}

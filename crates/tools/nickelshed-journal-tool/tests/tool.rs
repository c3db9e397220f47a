//! The program on folders as a sender leaves them, and beside one that is at work.
use nickelshed_budget::Budget;
use nickelshed_journal::*;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};

static FOLDERS: AtomicUsize = AtomicUsize::new(0);

struct Scratch(PathBuf);

impl Scratch {
    fn new() -> Scratch {
        let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
        let path =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("tool-{}-{number}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Scratch(path)
    }

    fn run(&self, words: &[&str]) -> (i32, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_nickelshed-journal"));
        let Output { status, stdout, stderr } =
            command.arg(words[0]).arg(&self.0).args(&words[1..]).output().unwrap();
        (status.code().unwrap(), String::from_utf8(stdout).unwrap() + &String::from_utf8(stderr).unwrap())
    }

    fn segment(&self) -> PathBuf {
        let files = std::fs::read_dir(&self.0).unwrap().flatten().map(|f| f.path());
        files.filter(|p| p.file_name().unwrap().to_string_lossy().starts_with("segment-")).max().unwrap()
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn open(folder: &Path) -> Journal<Folder> {
    let options = Options { disk: 3_000_000, max_attempts: 8, durability: Durability::Process };
    Journal::open(Folder::new(folder), options, &Budget::new(64.0), 1).unwrap().0
}

fn taken(id: u64) -> Record {
    Record::Taken(Rc::new(Taken {
        id,
        class: "alert".into(),
        tenant: "acme".into(),
        dest: 7 + id % 2,
        trace: format!("m{id}"),
        key: None,
        since: 1_000,
        end: 17_000,
        body: bytes::Bytes::from_static(b"frost"),
        share: None,
    }))
}

fn three(folder: &Path) -> Journal<Folder> {
    let mut journal = open(folder);
    journal.append(&[taken(1), taken(2)], 1_000).unwrap();
    let begun = Begun { number: 0, at: 2_000, endpoint: "e-1".into(), never_ran: false };
    journal.append(&[Record::Begun(2, begun)], 2_000).unwrap();
    journal.append(&[taken(3)], 3_000).unwrap();
    journal
}

#[test]
fn a_live_folder_is_shown_and_left_alone() {
    let scratch = Scratch::new();
    let mut journal = three(&scratch.0);
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
    // The sender goes on as if nobody had looked.
    journal.append(&[Record::Ended(1)], 4_000).unwrap();
    let (code, lines) = scratch.run(&["export"]);
    assert_eq!(code, 0);
    let lines: Vec<serde_json::Value> = lines.lines().map(|l| serde_json::from_str(l).unwrap()).collect();
    assert_eq!(lines.len(), 2);
    assert_eq!((&lines[0]["message"], &lines[0]["body"]), (&"m2".into(), &"ZnJvc3Q=".into()));
    assert_eq!(lines[0]["attempts"][0]["endpoint"], "e-1");
}

#[test]
fn the_exit_code_tells_whole_torn_and_damaged_with_their_places() {
    let scratch = Scratch::new();
    drop(three(&scratch.0));
    assert_eq!(scratch.run(&["verify"]).0, 0);
    let path = scratch.segment();
    let whole = std::fs::read(&path).unwrap();
    std::fs::write(&path, &whole[..whole.len() - 3]).unwrap();
    let (code, text) = scratch.run(&["verify"]);
    assert_eq!(code, 3, "{text}");
    assert!(text.starts_with("torn: 2 messages") && text.contains("cut off"), "{text}");
    let mut spoilt = whole.clone();
    spoilt[90] ^= 4;
    std::fs::write(&path, &spoilt).unwrap();
    let (code, text) = scratch.run(&["verify"]);
    assert_eq!(code, 4, "{text}");
    assert!(text.contains(": bytes 64 to "), "{text}");
    let (code, json) = scratch.run(&["verify", "--json"]);
    let json: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!((code, &json["damage"][0]["from"], &json["state"]), (4, &64.into(), &"damaged".into()));
    // Only looked at: what is there is what was there.
    assert_eq!(std::fs::read(&path).unwrap(), spoilt);
    let nowhere = Scratch(scratch.0.join("not-there"));
    let (code, text) = nowhere.run(&["inspect"]);
    assert_eq!(code, 5);
    assert!(text.contains("give the sender's state folder"), "{text}");
}

#[test]
fn a_folder_whose_segments_come_and_go_is_never_called_damaged() {
    let scratch = Scratch::new();
    let folder = scratch.0.clone();
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let stopped = stop.clone();
    let work = std::thread::spawn(move || {
        let options = Options { disk: 100_000, max_attempts: 8, durability: Durability::Process };
        let mut journal = Journal::open(Folder::new(&folder), options, &Budget::new(64.0), 1).unwrap().0;
        journal.append(&[taken(0)], 1).unwrap();
        let mut id = 1;
        while !stopped.load(Ordering::SeqCst) {
            journal.append(&[taken(id)], 1).unwrap();
            journal.append(&[Record::Ended(id)], 1).unwrap();
            id += 1;
            if id % 64 == 0 {
                std::thread::sleep(std::time::Duration::from_micros(200));
            }
        }
        journal.stats()
    });
    let codes: Vec<(i32, String)> = (0..60).map(|_| scratch.run(&["verify"])).collect();
    stop.store(true, Ordering::SeqCst);
    let stats = work.join().unwrap();
    assert!(stats.copied > 0, "{stats:?}");
    // Whole, or read while a write was under way.
    for (code, text) in &codes {
        assert!([0, 3].contains(code) || text.contains("too fast"), "{code}: {text}");
    }
    assert!(codes.iter().any(|(code, _)| *code == 0));
}

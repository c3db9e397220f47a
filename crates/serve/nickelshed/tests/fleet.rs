//! Thirty applications of one fleet: written, checked, started, and each file broken.
use nickelshed_config::Code;
use nickelshed_testkit::*;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Instant;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");
const APPLICATIONS: usize = 30;

struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Scratch {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        Scratch(folder)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Ended with the test, however that ends.
struct Started(Child);

impl Drop for Started {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Different ports that were free a moment ago.
fn ports(count: usize) -> Vec<u16> {
    let held: Vec<TcpListener> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    held.iter().map(|l| l.local_addr().unwrap().port()).collect()
}

/// A fleet with a port for each application, written out. The files in order of their applications.
fn write_fleet(folder: &Path, endpoints: &[SocketAddr; 3]) -> Vec<PathBuf> {
    let mut fleet = String::from(
        "ports = [1, 1]\nstate = \"state\"\nnotices = \".\"\nloopback_only = true\nsenders = 1\n\
         [limits]\nheld = 100\nslots = 8\n[traffic]\nrate = 80\n\
         [[class]]\nname = \"alert\"\nwanted_within = \"3s\"\nabandoned_after = \"16s\"\neffect = \"keyed\"\n\
         repeat_window = \"16s\"\n[[tenant]]\nname = \"acme\"\nshare = \"60%\"\n[[tenant]]\nname = \"other\"\nshare = \"40%\"\n",
    );
    for (i, endpoint) in endpoints.iter().enumerate() {
        fleet +=
            &format!("[[destination]]\nname = \"gmina-{i}\"\nnumber = {i}\nendpoints = [\"{endpoint}\"]\n");
    }
    let ports =
        ports(APPLICATIONS + 3).into_iter().filter(|port| endpoints.iter().all(|e| e.port() != *port));
    for (i, port) in ports.take(APPLICATIONS).enumerate() {
        fleet += &format!("[[application]]\nname = \"app-{i:02}\"\nport = {port}\n");
    }
    let file = folder.join("fleet.toml.in");
    std::fs::write(&file, fleet).unwrap();
    let (file, out) = (file.to_str().unwrap(), folder.to_str().unwrap());
    assert_eq!(nickelshed_ctl::run(["nickelshed-ctl", "new", "--bare", "--fleet", file, "--out", out]), 0);
    (0..APPLICATIONS).map(|i| folder.join(format!("app-{i:02}.toml"))).collect()
}

#[test]
fn thirty_applications_of_one_fleet_check_clean_start_and_deliver() {
    let peers = [Peer::new(|_| ok()), Peer::new(|_| ok()), Peer::new(|_| ok())];
    let scratch = Scratch::new("fleet");
    let files = write_fleet(&scratch.0, &[peers[0].address, peers[1].address, peers[2].address]);
    let checked = nickelshed_ctl::check(&files);
    assert_eq!(checked.findings, []);
    let start = |file: &PathBuf| {
        let log = std::fs::File::create(file.with_extension("log")).unwrap();
        let child = Command::new(PROGRAM).arg("--config").arg(file).stdin(Stdio::null()).stderr(log).spawn();
        Started(child.unwrap())
    };
    let mut started: Vec<Started> = files.iter().map(start).collect();
    for (i, (sidecar, _)) in checked.parsed.iter().flatten().enumerate() {
        let until = Instant::now() + BOUND;
        let log = || std::fs::read_to_string(files[i].with_extension("log")).unwrap_or_default();
        while !ask(sidecar.listen, b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            .is_some_and(|r| r.first.contains(" 200"))
        {
            assert!(started[i].0.try_wait().unwrap().is_none(), "{}", log());
            assert!(Instant::now() < until, "{}", log());
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
        let id = format!("of-{}", sidecar.application);
        let answer = ask(sidecar.listen, &offer("alert", &id, (i % 3) as u64, 9_000, b"x")).unwrap();
        assert!(answer.first.contains(" 202"), "{}: {}", answer.first, log());
        peers[i % 3].wait_for(&id, 1);
    }
    assert_eq!(started.len(), APPLICATIONS);
}

/// One character, or one slip of the hand, in the twelfth of the files.
#[test]
fn each_of_twenty_slips_in_one_of_thirty_files_is_caught() {
    let nowhere = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let scratch = Scratch::new("slips");
    let endpoints = ports(3);
    let files =
        write_fleet(&scratch.0, &[nowhere(endpoints[0]), nowhere(endpoints[1]), nowhere(endpoints[2])]);
    let file = &files[12];
    let good = std::fs::read_to_string(file).unwrap();
    let texts: BTreeMap<&PathBuf, String> =
        files.iter().map(|f| (f, std::fs::read_to_string(f).unwrap())).collect();
    let listen = |f: &PathBuf| texts[f].lines().find(|l| l.starts_with("listen")).unwrap().to_string();
    let (own, other) = (listen(file), listen(&files[3]));
    let first = format!("127.0.0.1:{}", endpoints[0]);
    let too_far = format!("127.0.0.1:{}0", endpoints[0]);
    let own_address = own.split('"').nth(1).unwrap().to_string();
    let slips: Vec<(&str, &str, Code)> = vec![
        ("slots = 8", "slot = 8", Code::UnknownKey),
        ("[limits]", "[limit]", Code::UnknownKey),
        ("[[class]]", "[class]", Code::WrongValue),
        ("wanted_within = \"3s\"", "wanted_within = \"3\"", Code::WrongValue),
        ("wanted_within = \"3s\"", "wanted_within = \"3s", Code::Syntax),
        ("[limits]", "[limits", Code::Syntax),
        ("held = 100", "held 100", Code::Syntax),
        ("held = 100", "held = 100000", Code::HeldLimitOverMemory),
        ("disk = \"3MB\"", "disk = \"3kB\"", Code::HeldLimitOverDisk),
        ("memory = \"64MB\"", "memory = \"64kB\"", Code::HeldLimitOverMemory),
        ("slots = 8", "slots = 800", Code::SlotsOverSockets),
        ("slots = 8", "slots = 1", Code::TooFewSlots),
        ("abandoned_after = \"16s\"", "abandoned_after = \"18s\"", Code::BeyondAbandonment),
        ("wanted_within = \"3s\"", "wanted_within = \"33s\"", Code::TargetBeyondExpiry),
        ("effect = \"keyed\"", "effect = \"kyed\"", Code::WrongValue),
        ("share = \"60%\"", "share = \"66%\"", Code::SharesOverTotal),
        ("number = 1", "number = 2", Code::DuplicateDestination),
        (&first, &too_far, Code::WrongValue),
        (&first, &own_address, Code::DeliveryToItself),
        (&own, &other, Code::PortConflict),
        ("state = \"state/app-12\"", "state = \"state/app-11\"", Code::StateFolderConflict),
        ("file = \"./app-12.jsonl\"", "file = \"./app-13.jsonl\"", Code::NoticeFileConflict),
        ("127.0.0.1", "127.0.0,1", Code::WrongValue),
        ("127.0.0.1", "27.0.0.1", Code::NotLoopback),
    ];
    assert!(slips.len() >= 20);
    for (from, to, code) in slips {
        assert!(good.contains(from), "{from} is not in\n{good}");
        std::fs::write(file, good.replacen(from, to, 1)).unwrap();
        let checked = nickelshed_ctl::check(&files);
        let found = checked.findings.iter().find(|f| f.code == code && f.is_error());
        assert!(found.is_some(), "{from} -> {to}: {:#?}", checked.findings);
        let path = file.to_str().unwrap();
        assert_eq!(
            nickelshed_ctl::run([
                "nickelshed-ctl",
                "check",
                path,
                files[3].to_str().unwrap(),
                files[11].to_str().unwrap(),
                files[13].to_str().unwrap()
            ]),
            1
        );
    }
    std::fs::write(file, good).unwrap();
    assert_eq!(nickelshed_ctl::check(&files).findings, []);
}

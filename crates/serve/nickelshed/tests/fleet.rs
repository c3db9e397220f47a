//! Tests of a generated fleet of thirty applications: its files pass the check, each application starts and
//! delivers, and typical mistakes in one file are found.
use nickelshed_config::Code;
use nickelshed_testkit::*;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Instant;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");
const APPLICATION_COUNT: usize = 30;

/// A folder that is removed when it is dropped, unless the test panics.
struct ScratchFolder(PathBuf);

impl ScratchFolder {
    fn new(name: &str) -> ScratchFolder {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        ScratchFolder(folder)
    }
}

impl Drop for ScratchFolder {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// A child process that is killed when it is dropped, also if the test panics.
struct RunningProcess(Child);

impl Drop for RunningProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Distinct ports that were free when they were picked.
fn free_ports(count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    listeners.iter().map(|listener| listener.local_addr().unwrap().port()).collect()
}

/// Writes a fleet file with a port for each application and generates the sidecar files from it. Returns
/// their paths in the order of the applications.
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
    // Three spare ports, because the kernel may return the ports of the three endpoints again.
    let ports = free_ports(APPLICATION_COUNT + 3)
        .into_iter()
        .filter(|port| endpoints.iter().all(|e| e.port() != *port));
    for (i, port) in ports.take(APPLICATION_COUNT).enumerate() {
        fleet += &format!("[[application]]\nname = \"app-{i:02}\"\nport = {port}\n");
    }
    let file = folder.join("fleet.toml.in");
    std::fs::write(&file, fleet).unwrap();
    let (file, out) = (file.to_str().unwrap(), folder.to_str().unwrap());
    assert_eq!(nickelshed_ctl::run(["nickelshed-ctl", "new", "--bare", "--fleet", file, "--out", out]), 0);
    (0..APPLICATION_COUNT).map(|i| folder.join(format!("app-{i:02}.toml"))).collect()
}

#[test]
fn thirty_applications_of_one_fleet_pass_the_check_start_and_deliver() {
    let servers =
        [FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply()), FakeServer::new(|_| ok_reply())];
    let scratch_folder = ScratchFolder::new("fleet");
    let files = write_fleet(&scratch_folder.0, &[servers[0].address, servers[1].address, servers[2].address]);
    let checked = nickelshed_ctl::check(&files);
    assert_eq!(checked.findings, []);
    let start = |file: &PathBuf| {
        let log = std::fs::File::create(file.with_extension("log")).unwrap();
        let child = Command::new(PROGRAM).arg("--config").arg(file).stdin(Stdio::null()).stderr(log).spawn();
        RunningProcess(child.unwrap())
    };
    let mut processes: Vec<RunningProcess> = files.iter().map(start).collect();
    for (i, (sidecar, _)) in checked.parsed.iter().flatten().enumerate() {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let log = || std::fs::read_to_string(files[i].with_extension("log")).unwrap_or_default();
        while !send_request(sidecar.listen, b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            .is_some_and(|r| r.start_line.contains(" 200"))
        {
            assert!(processes[i].0.try_wait().unwrap().is_none(), "{}", log());
            assert!(Instant::now() < deadline, "{}", log());
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
        let id = format!("of-{}", sidecar.application);
        let response =
            send_request(sidecar.listen, &submission_request("alert", &id, (i % 3) as u64, 9_000, b"x"))
                .unwrap();
        assert!(response.start_line.contains(" 202"), "{}: {}", response.start_line, log());
        servers[i % 3].wait_for_message(&id, 1);
    }
    assert_eq!(processes.len(), APPLICATION_COUNT);
}

/// Each mistake is one typing error or one wrong value in the file of application 12.
#[test]
fn each_of_twenty_mistakes_in_one_of_thirty_files_is_found() {
    let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let scratch_folder = ScratchFolder::new("mistakes");
    let endpoint_ports = free_ports(3);
    let files = write_fleet(
        &scratch_folder.0,
        &[loopback(endpoint_ports[0]), loopback(endpoint_ports[1]), loopback(endpoint_ports[2])],
    );
    let file = &files[12];
    let valid_text = std::fs::read_to_string(file).unwrap();
    let text_of: BTreeMap<&PathBuf, String> =
        files.iter().map(|f| (f, std::fs::read_to_string(f).unwrap())).collect();
    let listen_line = |f: &PathBuf| text_of[f].lines().find(|l| l.starts_with("listen")).unwrap().to_string();
    let (own_listen, other_listen) = (listen_line(file), listen_line(&files[3]));
    let first_endpoint = format!("127.0.0.1:{}", endpoint_ports[0]);
    let invalid_port = format!("127.0.0.1:{}0", endpoint_ports[0]);
    let own_address = own_listen.split('"').nth(1).unwrap().to_string();
    let mistakes: Vec<(&str, &str, Code)> = vec![
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
        (&first_endpoint, &invalid_port, Code::WrongValue),
        (&first_endpoint, &own_address, Code::DeliveryToItself),
        (&own_listen, &other_listen, Code::PortConflict),
        ("state = \"state/app-12\"", "state = \"state/app-11\"", Code::StateFolderConflict),
        ("file = \"./app-12.jsonl\"", "file = \"./app-13.jsonl\"", Code::NoticeFileConflict),
        ("127.0.0.1", "127.0.0,1", Code::WrongValue),
        ("127.0.0.1", "27.0.0.1", Code::NotLoopback),
    ];
    assert!(mistakes.len() >= 20);
    for (valid, mistake, code) in mistakes {
        assert!(valid_text.contains(valid), "{valid} is not in\n{valid_text}");
        std::fs::write(file, valid_text.replacen(valid, mistake, 1)).unwrap();
        let checked = nickelshed_ctl::check(&files);
        let finding = checked.findings.iter().find(|f| f.code == code && f.is_error());
        assert!(finding.is_some(), "{valid} -> {mistake}: {:#?}", checked.findings);
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
    std::fs::write(file, valid_text).unwrap();
    assert_eq!(nickelshed_ctl::check(&files).findings, []);
}

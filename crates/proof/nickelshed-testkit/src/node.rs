//! The sender as a process with its folder, and a client that hands messages in.
use crate::discovery::Discovery;
use crate::peer::{read_http_message, HttpMessage};
use crate::WAIT_TIMEOUT;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Sends bytes to a sender on a new connection and reads one answer.
pub fn send_request(address: SocketAddr, bytes: &[u8]) -> Option<HttpMessage> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.write_all(bytes).ok()?;
    read_http_message(&mut BufReader::new(stream), 0)
}

/// A message as a client hands it in.
pub fn submission_request(class: &str, id: &str, dest: u64, expires_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "POST /{class} HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\n\
             X-Customer: acme\r\nX-Expires-In-Ms: {expires_ms}\r\nX-Consignee: dest={dest}\r\n\
             Idempotency-Key: key-{id}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

static FOLDERS: AtomicUsize = AtomicUsize::new(0);

/// A folder for tests beside the build's own, so that it lies on a disk and goes with `cargo clean`.
fn scratch(program: &str) -> PathBuf {
    let build = Path::new(program).ancestors().nth(2).expect("a program lies in the build's folder");
    build.join("tmp")
}

/// Where a sender may listen: a loopback address of its own, at a port that the system gives to nobody. One that was asked of
/// the system and given back could be another's by the start: another test's sender, a connection on its way out, or a
/// process just being started that has inherited it.
fn free_address(number: usize) -> SocketAddr {
    let process = std::process::id();
    let own = [127, 100 + (process % 100) as u8, (process / 100 % 250) as u8, 1 + (number % 250) as u8];
    SocketAddr::from((own, 20_000 + (number % 10_000) as u16))
}

/// The sender with its folder; restarts keep folder, name and address.
pub struct SenderProcess {
    program: PathBuf,
    pub folder: PathBuf,
    pub address: SocketAddr,
    discovery: Option<SocketAddr>,
    child: Option<Child>,
    pub config: Value,
    /// The file of a sidecar, in place of the platform's form.
    pub sidecar_config: Option<String>,
    environment: Vec<(String, String)>,
    arguments: Vec<String>,
    /// Bytes of the log that are no longer looked at.
    old_log: usize,
}

impl SenderProcess {
    pub fn start(program: &str, discovery: &Discovery) -> SenderProcess {
        SenderProcess::start_with(program, discovery, json!([]), |_| {})
    }

    pub fn start_with(
        program: &str,
        discovery: &Discovery,
        known: Value,
        change: impl Fn(&mut Value),
    ) -> SenderProcess {
        let class = |name: &str, effect: &str| {
            json!({"Name": name, "PromiseNs": 3_000_000_000u64, "DeadlineNs": 16_000_000_000u64, "Effect": effect,
                "DedupScope": "all", "WindowNs": 15_000_000_000u64, "Worth": 1, "LateWorth": 0.3})
        };
        let mut config = json!({"name": "n0", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
            "known": {"generation": 0, "reset": true, "instances": known},
            "settings": {"NInstances": 1, "TickNs": 5_000_000, "Kinds": ["plain", "many"], "Localities": ["z"],
                "Realms": [{"Name": "acme", "QuotaPerS": 100.0}], "Weights": "silent",
                "FamilyInfo": {"CallsOut": 16, "KindBatch": [1, 10], "SeparateRoutes": [false, false]},
                "Feedback": {"Source": "piggyback", "Fields": ["x0", "x1"]},
                "Limits": {"MaxOpen": 100, "MaxAttempts": 8, "Cancel": true, "IdleCloseNs": 20_000_000_000u64,
                    "DialTimeoutNs": 1_000_000_000, "MaxRetryAfterNs": 3_000_000_000u64},
                "Safety": {"StartCapacity": 0.26, "ColdNs": 9_500_000_000u64, "FallMultiple": 1.5,
                    "OverloadForNs": 2_000_000_000},
                "Services": [class("alert", "keyed"), class("order", "unsafe")]}});
        change(&mut config);
        let mut node = SenderProcess::new(program);
        std::fs::create_dir_all(node.state_folder()).unwrap();
        node.discovery = Some(discovery.server.address);
        node.config = config;
        node.restart();
        node
    }

    /// A sidecar; its file is made of the address that it listens at. Its folder of state is `state` beside it.
    pub fn start_sidecar(program: &str, file: impl Fn(SocketAddr) -> String) -> SenderProcess {
        let mut node = SenderProcess::new(program);
        node.sidecar_config = Some(file(node.address));
        node.restart();
        node
    }

    /// The same, with its folder made ready before it starts.
    pub fn start_prepared_sidecar(
        program: &str,
        file: impl Fn(SocketAddr) -> String,
        prepare: impl Fn(&Path),
    ) -> SenderProcess {
        let mut node = SenderProcess::new(program);
        prepare(&node.folder);
        node.sidecar_config = Some(file(node.address));
        node.restart();
        node
    }

    /// Not started yet.
    pub fn new(program: &str) -> SenderProcess {
        let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
        let folder = scratch(program).join(format!("node-{}-{number}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        SenderProcess {
            program: PathBuf::from(program),
            folder,
            address: free_address(number),
            discovery: None,
            child: None,
            config: Value::Null,
            sidecar_config: None,
            environment: Vec::new(),
            arguments: Vec::new(),
            old_log: 0,
        }
    }

    pub fn state_folder(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// The journal's segments, oldest first.
    pub fn segments(&self) -> Vec<PathBuf> {
        let files = std::fs::read_dir(self.state_folder()).unwrap().flatten().map(|f| f.path());
        let is_segment = |p: &PathBuf| p.file_name().unwrap().to_string_lossy().starts_with("segment-");
        let mut segments: Vec<PathBuf> = files.filter(is_segment).collect();
        segments.sort();
        segments
    }

    /// Bytes in the lasting folder, in whole blocks.
    pub fn disk_usage(&self) -> u64 {
        let files = std::fs::read_dir(self.state_folder()).unwrap().flatten();
        files.filter_map(|f| f.metadata().ok()).map(|m| m.len().div_ceil(512) * 512).sum()
    }

    fn config_path(&self) -> PathBuf {
        self.folder.join(if self.sidecar_config.is_some() { "sidecar.toml" } else { "config.json" })
    }

    /// Replaces the file of the configuration and tells the process so.
    pub fn reload(&self, text: &str) {
        std::fs::write(self.config_path(), text).unwrap();
        self.signal("-HUP");
    }

    /// The process stands still until it is told to go on.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, signal: &str) {
        let id = self.child.as_ref().unwrap().id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    fn command(&self) -> Command {
        let mut command = Command::new(&self.program);
        if let Some(discovery) = self.discovery {
            command
                .env("EDGE_NAME", "n0")
                .env("EDGE_LISTEN", self.address.to_string())
                .env("EDGE_DISCOVERY", discovery.to_string())
                .env("EDGE_STATE", self.state_folder())
                .env("EDGE_CONFIG", self.config_path());
        }
        if self.sidecar_config.is_some() {
            command.arg("--config").arg(self.config_path());
        }
        command
            .envs(self.environment.iter().map(|(name, value)| (name, value)))
            .args(&self.arguments)
            .stdin(Stdio::null());
        command
    }

    /// For the starts from now on.
    pub fn set_environment(&mut self, name: &str, value: &str) {
        self.environment.retain(|(n, _)| n != name);
        self.environment.push((name.to_string(), value.to_string()));
    }

    /// For the starts from now on.
    pub fn set_arguments(&mut self, arguments: &[&str]) {
        self.arguments = arguments.iter().map(|a| a.to_string()).collect();
    }

    /// Starts another process on the same folder and waits for its end: whether it ended well, and what it logged.
    pub fn run_second(&self) -> (bool, String) {
        let output = self.command().env("EDGE_LISTEN", "127.0.0.1:0").stderr(Stdio::piped()).output();
        let output = output.expect("a second process starts");
        (output.status.success(), String::from_utf8_lossy(&output.stderr).into_owned())
    }

    pub fn restart(&mut self) {
        assert!(self.try_start(), "ended before it was ready: {}", self.log());
    }

    /// Starts the process. Whether it came to answer; false if it has ended before.
    pub fn try_start(&mut self) -> bool {
        assert!(self.child.is_none(), "still running");
        let text = self.sidecar_config.clone().unwrap_or_else(|| self.config.to_string());
        std::fs::write(self.config_path(), text).unwrap();
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log")).unwrap();
        let child = self.command().stderr(log).spawn().expect("the sender starts");
        self.child = Some(child);
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
            if self.send_request(health.as_bytes()).is_some_and(|r| r.start_line.contains(" 200")) {
                return true;
            }
            if !self.is_running() {
                self.child = None;
                return false;
            }
            assert!(Instant::now() < until, "never ready: {}", self.log());
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn log(&self) -> String {
        let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        log.get(self.old_log..).unwrap_or_default().to_string()
    }

    /// Leaves out of the log what is there now.
    pub fn discard_log(&mut self) {
        self.old_log += self.log().len();
    }

    /// None where the answer does not come, as from a process that is killed; it is not waited for long.
    pub fn try_submit(&self, class: &str, id: &str, dest: u64, expires_ms: u64, body: &[u8]) -> Option<u16> {
        let mut stream = TcpStream::connect(self.address).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        stream.write_all(&submission_request(class, id, dest, expires_ms, body)).ok()?;
        let answer = read_http_message(&mut BufReader::new(stream), 0)?;
        answer.start_line.split(' ').nth(1)?.parse().ok()
    }

    /// Sends bytes on a new connection and reads one answer.
    pub fn send_request(&self, bytes: &[u8]) -> Option<HttpMessage> {
        send_request(self.address, bytes)
    }

    pub fn submit(&self, class: &str, id: &str, dest: u64, expires_ms: u64, body: &[u8]) -> u16 {
        self.submit_with_headers(class, id, dest, expires_ms, body).0
    }

    pub fn submit_with_headers(
        &self,
        class: &str,
        id: &str,
        dest: u64,
        expires_ms: u64,
        body: &[u8],
    ) -> (u16, HashMap<String, String>) {
        let bytes = submission_request(class, id, dest, expires_ms, body);
        let answer =
            self.send_request(&bytes).unwrap_or_else(|| panic!("no answer for {id}: {}", self.log()));
        (answer.start_line.split(' ').nth(1).unwrap().parse().unwrap(), answer.headers)
    }

    pub fn kill(&mut self) {
        let mut child = self.child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    pub fn terminate(&mut self) {
        self.signal("-TERM");
    }

    pub fn wait_exit(&mut self) -> ExitStatus {
        self.child.take().unwrap().wait().unwrap()
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| c.try_wait().unwrap().is_none())
    }

    /// Files and sockets that the process has open; Linux only.
    pub fn open_descriptors(&self) -> usize {
        let process = self.child.as_ref().expect("it runs").id();
        std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, |open| open.count())
    }

    /// Waits until something is so.
    pub fn wait_until(&self, what: &str, so: impl Fn() -> bool) {
        let until = Instant::now() + WAIT_TIMEOUT;
        while !so() {
            assert!(Instant::now() < until, "waited in vain until {what}: {}", self.log());
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for SenderProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

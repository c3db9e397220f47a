//! The sender as a child process with its own folder, and a client that submits messages to it.
use crate::discovery::Discovery;
use crate::fake_server::{read_http_message, HttpMessage};
use crate::WAIT_TIMEOUT;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Sends bytes to an address on a new connection and reads one response. Returns `None` if the connection
/// fails or no complete response arrives.
pub fn send_request(address: SocketAddr, bytes: &[u8]) -> Option<HttpMessage> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.write_all(bytes).ok()?;
    read_http_message(&mut BufReader::new(stream), 0)
}

/// The request with which a client of the tenant `acme` submits a message. `id` is its trace id; its
/// idempotency key is `key-` followed by `id`.
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

static PROCESS_COUNT: AtomicUsize = AtomicUsize::new(0);

/// The folder for test data. It is inside the build's target folder so that it is on a disk, not on a memory
/// file system, and `cargo clean` removes it.
fn scratch_folder(program: &str) -> PathBuf {
    let target_folder = Path::new(program).ancestors().nth(2).expect("the program is in the target folder");
    target_folder.join("tmp")
}

/// The address at which a sender listens: a loopback address of its own and a port below the ephemeral range,
/// so that the kernel assigns it to no other socket. A port that was obtained from the kernel and released
/// could be taken again before the sender starts: by another test's sender, by an outgoing connection, or by
/// a child process that has inherited the listener.
fn unique_address(number: usize) -> SocketAddr {
    let process = std::process::id();
    let ip = [127, 100 + (process % 100) as u8, (process / 100 % 250) as u8, 1 + (number % 250) as u8];
    // The two processes out of 50,000 that have the same addresses use different ports.
    let first_port = if (process / 25_000).is_multiple_of(2) { 20_000 } else { 25_000 };
    SocketAddr::from((ip, first_port + (number % 5_000) as u16))
}

/// A loopback address that nothing else on this machine uses.
pub fn unused_address() -> SocketAddr {
    unique_address(PROCESS_COUNT.fetch_add(1, Ordering::Relaxed))
}

/// A sender process with its folder. A restart keeps the folder, name and address. Dropping it kills the
/// process and removes the folder, which stays if the test panics.
pub struct SenderProcess {
    program: PathBuf,
    pub folder: PathBuf,
    pub address: SocketAddr,
    discovery: Option<SocketAddr>,
    child: Option<Child>,
    /// The platform's configuration; `Null` for a sidecar. It is written to the file at each start.
    pub config: Value,
    /// Text of the sidecar's configuration file, which is written at each start; `None` for a sender
    /// configured by the platform.
    pub sidecar_config: Option<String>,
    environment: Vec<(String, String)>,
    arguments: Vec<String>,
    /// The file that the log is appended to.
    log_file: PathBuf,
    /// Bytes at the start of the log that `log` leaves out.
    log_offset: usize,
    /// Whether later starts get the signal SIGXFSZ ignored, as `limit_file_size` needs it.
    ignores_file_size_signal: bool,
}

impl SenderProcess {
    /// Starts a sender configured by the platform, with the settings that most tests use: class `alert` is
    /// keyed, class `order` unsafe.
    pub fn start(program: &str, discovery: &Discovery) -> SenderProcess {
        SenderProcess::start_with(program, discovery, json!([]), |_| {})
    }

    /// Like `start`, with the entries `known` as the list until discovery answers, and with the configuration
    /// as edited by `change`.
    pub fn start_with(
        program: &str,
        discovery: &Discovery,
        known: Value,
        change: impl Fn(&mut Value),
    ) -> SenderProcess {
        let class = |name: &str, effect: &str| {
            json!({"Name": name, "PromiseNs": 3_000_000_000u64, "DeadlineNs": 16_000_000_000u64,
                "Effect": effect, "DedupScope": "all", "WindowNs": 15_000_000_000u64, "Worth": 1,
                "LateWorth": 0.3})
        };
        let mut config = json!({"name": "n0", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
            "known": {"generation": 0, "reset": true, "instances": known},
            "settings": {"NInstances": 1, "TickNs": 5_000_000, "Kinds": ["plain", "many"],
                "Localities": ["z"], "Realms": [{"Name": "acme", "QuotaPerS": 100.0}], "Weights": "silent",
                "FamilyInfo": {"CallsOut": 16, "KindBatch": [1, 10], "SeparateRoutes": [false, false]},
                "Feedback": {"Source": "piggyback", "Fields": ["x0", "x1"]},
                "Limits": {"MaxOpen": 100, "MaxAttempts": 8, "Cancel": true, "IdleCloseNs": 20_000_000_000u64,
                    "DialTimeoutNs": 1_000_000_000, "MaxRetryAfterNs": 3_000_000_000u64},
                "Safety": {"StartCapacity": 0.26, "ColdNs": 9_500_000_000u64, "FallMultiple": 1.5,
                    "OverloadForNs": 2_000_000_000},
                "Services": [class("alert", "keyed"), class("order", "unsafe")]}});
        change(&mut config);
        let mut sender = SenderProcess::new(program);
        std::fs::create_dir_all(sender.state_folder()).unwrap();
        sender.discovery = Some(discovery.server.address);
        sender.config = config;
        sender.restart();
        sender
    }

    /// Starts a sidecar. `config` returns its configuration file for the address at which it is to listen;
    /// the state folder must be `state`, next to that file.
    pub fn start_sidecar(program: &str, config: impl Fn(SocketAddr) -> String) -> SenderProcess {
        let mut sender = SenderProcess::new(program);
        sender.sidecar_config = Some(config(sender.address));
        sender.restart();
        sender
    }

    /// Like `start_sidecar`, after `prepare` has put files into its folder.
    pub fn start_prepared_sidecar(
        program: &str,
        config: impl Fn(SocketAddr) -> String,
        prepare: impl Fn(&Path),
    ) -> SenderProcess {
        let mut sender = SenderProcess::new(program);
        prepare(&sender.folder);
        sender.sidecar_config = Some(config(sender.address));
        sender.restart();
        sender
    }

    /// Creates the folder without starting the process.
    pub fn new(program: &str) -> SenderProcess {
        let number = PROCESS_COUNT.fetch_add(1, Ordering::SeqCst);
        let folder = scratch_folder(program).join(format!("sender-{}-{number}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        SenderProcess {
            program: PathBuf::from(program),
            log_file: folder.join("log"),
            folder,
            address: unique_address(number),
            discovery: None,
            child: None,
            config: Value::Null,
            sidecar_config: None,
            environment: Vec::new(),
            arguments: Vec::new(),
            log_offset: 0,
            ignores_file_size_signal: false,
        }
    }

    pub fn state_folder(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Paths of the journal's segments, oldest first.
    pub fn segments(&self) -> Vec<PathBuf> {
        let files = std::fs::read_dir(self.state_folder()).unwrap().flatten().map(|file| file.path());
        let is_segment = |path: &PathBuf| path.file_name().unwrap().to_string_lossy().starts_with("segment-");
        let mut segments: Vec<PathBuf> = files.filter(is_segment).collect();
        segments.sort();
        segments
    }

    /// Bytes that the files of the state folder take, each rounded up to whole blocks of 512 bytes.
    pub fn disk_usage(&self) -> u64 {
        let files = std::fs::read_dir(self.state_folder()).unwrap().flatten();
        files.filter_map(|file| file.metadata().ok()).map(|metadata| metadata.len().div_ceil(512) * 512).sum()
    }

    /// Memory of the process that belongs to no file, in bytes.
    pub fn anonymous_memory(&self) -> u64 {
        let process_id = self.child.as_ref().unwrap().id();
        let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() * 1_024
    }

    fn config_path(&self) -> PathBuf {
        self.folder.join(if self.sidecar_config.is_some() { "sidecar.toml" } else { "config.json" })
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(self.config_path(), text).unwrap();
        self.signal("-HUP");
    }

    /// Suspends the process with SIGSTOP until `resume`.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, signal: &str) {
        let process_id = self.child.as_ref().unwrap().id().to_string();
        assert!(Command::new("kill").args([signal, &process_id]).status().unwrap().success());
    }

    fn command(&self) -> Command {
        let mut command = Command::new(&self.program);
        if self.ignores_file_size_signal {
            // A signal that the shell ignores stays ignored in the program that it becomes.
            command = Command::new("sh");
            command.args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""]).arg(&self.program);
        }
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

    /// Sets an environment variable of later starts.
    pub fn set_environment(&mut self, name: &str, value: &str) {
        self.environment.retain(|(other, _)| other != name);
        self.environment.push((name.to_string(), value.to_string()));
    }

    /// Appends the log of later starts to another file.
    pub fn set_log_file(&mut self, path: &str) {
        self.log_file = PathBuf::from(path);
    }

    /// Makes later starts survive `limit_file_size`. What they log while it applies is lost.
    pub fn prepare_for_file_size_limit(&mut self) {
        self.ignores_file_size_signal = true;
    }

    /// Makes every write of the process behind the first `bytes` bytes of a file fail with EFBIG, until the
    /// limit is set to `None`.
    pub fn limit_file_size(&self, bytes: Option<u64>) {
        let process_id = self.child.as_ref().unwrap().id().to_string();
        let limit = bytes.map_or("unlimited".to_string(), |bytes| bytes.to_string());
        // The hard limit stays, so that the soft one can be raised again without special rights.
        let status =
            Command::new("prlimit").args(["--pid", &process_id, &format!("--fsize={limit}:")]).status();
        assert!(status.unwrap().success());
    }

    /// Sets the additional command line arguments of later starts.
    pub fn set_arguments(&mut self, arguments: &[&str]) {
        self.arguments = arguments.iter().map(|argument| argument.to_string()).collect();
    }

    /// Runs another process on the same folder until it exits. Returns whether it exited with success, and
    /// its log.
    pub fn run_second(&self) -> (bool, String) {
        let output = self.command().env("EDGE_LISTEN", "127.0.0.1:0").stderr(Stdio::piped()).output();
        let output = output.expect("the second process starts");
        (output.status.success(), String::from_utf8_lossy(&output.stderr).into_owned())
    }

    /// Starts the process, which must not be running, and waits until it is ready. Panics if it exits
    /// instead.
    pub fn restart(&mut self) {
        assert!(self.try_start(), "exited before it was ready: {}", self.log());
    }

    /// Starts the process and waits until /healthz answers 200. Returns false if the process exits before
    /// that.
    pub fn try_start(&mut self) -> bool {
        assert!(self.child.is_none(), "still running");
        let text = self.sidecar_config.clone().unwrap_or_else(|| self.config.to_string());
        std::fs::write(self.config_path(), text).unwrap();
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log_file).unwrap();
        let child = self.command().stderr(log).spawn().expect("the sender starts");
        self.child = Some(child);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let health_request = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
            if self
                .send_request(health_request.as_bytes())
                .is_some_and(|response| response.start_line.contains(" 200"))
            {
                return true;
            }
            if !self.is_running() {
                self.child = None;
                return false;
            }
            assert!(Instant::now() < deadline, "not ready in time: {}", self.log());
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns what the process has logged over all its starts, without the part that was discarded.
    pub fn log(&self) -> String {
        let log = std::fs::read_to_string(&self.log_file).unwrap_or_default();
        log.get(self.log_offset..).unwrap_or_default().to_string()
    }

    /// Makes `log` leave out what has been logged so far.
    pub fn discard_log(&mut self) {
        self.log_offset += self.log().len();
    }

    /// Submits a message and returns the status of the response. Returns `None` if no response comes within
    /// 2 s, for example because the process has been killed.
    pub fn try_submit(&self, class: &str, id: &str, dest: u64, expires_ms: u64, body: &[u8]) -> Option<u16> {
        let mut stream = TcpStream::connect(self.address).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        stream.write_all(&submission_request(class, id, dest, expires_ms, body)).ok()?;
        let response = read_http_message(&mut BufReader::new(stream), 0)?;
        response.start_line.split(' ').nth(1)?.parse().ok()
    }

    /// Sends bytes on a new connection and reads one response. Returns `None` if no complete response
    /// arrives.
    pub fn send_request(&self, bytes: &[u8]) -> Option<HttpMessage> {
        send_request(self.address, bytes)
    }

    /// Submits a message and returns the status of the response. Panics if there is none.
    pub fn submit(&self, class: &str, id: &str, dest: u64, expires_ms: u64, body: &[u8]) -> u16 {
        self.submit_with_headers(class, id, dest, expires_ms, body).0
    }

    /// Submits a message and returns the status and headers of the response. Panics if there is none.
    pub fn submit_with_headers(
        &self,
        class: &str,
        id: &str,
        dest: u64,
        expires_ms: u64,
        body: &[u8],
    ) -> (u16, HashMap<String, String>) {
        let bytes = submission_request(class, id, dest, expires_ms, body);
        let response =
            self.send_request(&bytes).unwrap_or_else(|| panic!("no response for {id}: {}", self.log()));
        (response.start_line.split(' ').nth(1).unwrap().parse().unwrap(), response.headers)
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        let mut child = self.child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends SIGTERM without waiting for the exit.
    pub fn terminate(&mut self) {
        self.signal("-TERM");
    }

    /// Waits for the process to exit and returns its status.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.take().unwrap().wait().unwrap()
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| c.try_wait().unwrap().is_none())
    }

    /// Number of files and sockets that the process has open. Linux only: 0 elsewhere.
    pub fn open_descriptors(&self) -> usize {
        let process_id = self.child.as_ref().expect("the process is running").id();
        std::fs::read_dir(format!("/proc/{process_id}/fd")).map_or(0, |entries| entries.count())
    }

    /// Waits until `condition` holds. `expected` describes it in the message of the panic on a timeout.
    pub fn wait_until(&self, expected: &str, condition: impl Fn() -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition() {
            assert!(Instant::now() < deadline, "timed out waiting until {expected}: {}", self.log());
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

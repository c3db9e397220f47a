//! The real sender as a process, and small peers for it over loopback: endpoints, discovery, clients.
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Far longer than anything here takes: a bound for what would otherwise never end.
pub const BOUND: Duration = Duration::from_secs(30);

/// One HTTP message as it was read.
#[derive(Clone, Debug)]
pub struct Request {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    pub connection: usize,
    pub at: Instant,
}

impl Request {
    pub fn id(&self) -> &str {
        self.headers.get("x-trace-id").map_or("", String::as_str)
    }
}

pub fn read_message(reader: &mut BufReader<TcpStream>, connection: usize) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first = line.trim_end().to_string();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length = headers.get("content-length").map_or(0, |l| l.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { first, headers, body, connection, at: Instant::now() })
}

pub fn answer(status: &str, headers: &str, body: &str) -> Reply {
    Reply::Bytes(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()))
}

pub fn ok() -> Reply {
    answer("200 OK", "", "")
}

/// What a peer does with a request.
pub enum Reply {
    Bytes(String),
    /// Ends the connection without an answer.
    Close,
    /// Never answers, and keeps the connection.
    Hang,
}

/// A row of an outcome table.
pub type Row = (&'static str, fn() -> Reply);

type Script = Box<dyn Fn(&Request) -> Reply + Send + Sync>;

struct Shared {
    script: Mutex<Script>,
    seen: Mutex<Vec<Request>>,
    news: Condvar,
    connections: AtomicUsize,
    /// Numbers of connections that the sender has closed.
    ended: Mutex<Vec<usize>>,
}

/// A peer that remembers what it was sent and answers by a script.
#[derive(Clone)]
pub struct Peer {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Peer {
    pub fn new(script: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> Peer {
        Peer::on(TcpListener::bind("127.0.0.1:0").unwrap(), script)
    }

    pub fn on(listener: TcpListener, script: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> Peer {
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            script: Mutex::new(Box::new(script)),
            seen: Mutex::default(),
            news: Condvar::new(),
            connections: AtomicUsize::new(0),
            ended: Mutex::default(),
        });
        let peer = Peer { address, shared: shared.clone() };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = shared.connections.fetch_add(1, Ordering::SeqCst);
                let shared = shared.clone();
                std::thread::spawn(move || serve(stream, number, &shared));
            }
        });
        peer
    }

    pub fn script(&self, script: impl Fn(&Request) -> Reply + Send + Sync + 'static) {
        *self.shared.script.lock().unwrap() = Box::new(script);
    }

    /// Puts a script before the one there is, for the requests that it answers.
    pub fn also(&self, script: impl Fn(&Request) -> Option<Reply> + Send + Sync + 'static) {
        let mut held = self.shared.script.lock().unwrap();
        let old = std::mem::replace(&mut *held, Box::new(|_| Reply::Close));
        *held = Box::new(move |r| script(r).unwrap_or_else(|| old(r)));
    }

    pub fn seen(&self) -> Vec<Request> {
        self.shared.seen.lock().unwrap().clone()
    }

    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::SeqCst)
    }

    pub fn has_ended(&self, connection: usize) -> bool {
        self.shared.ended.lock().unwrap().contains(&connection)
    }

    /// Waits until what was seen satisfies `enough`.
    pub fn wait(&self, what: &str, enough: impl Fn(&[Request]) -> bool) -> Vec<Request> {
        let until = Instant::now() + BOUND;
        let mut seen = self.shared.seen.lock().unwrap();
        while !enough(&seen) {
            assert!(Instant::now() < until, "waited in vain for {what}; seen: {seen:#?}");
            seen = self.shared.news.wait_timeout(seen, Duration::from_millis(200)).unwrap().0;
        }
        seen.clone()
    }

    pub fn wait_for(&self, id: &str, times: usize) -> Vec<Request> {
        let count = |seen: &[Request]| seen.iter().filter(|r| r.id() == id).count();
        let seen = self.wait(&format!("{times} calls with {id}"), |s| count(s) >= times);
        seen.into_iter().filter(|r| r.id() == id).collect()
    }
}

fn serve(stream: TcpStream, number: usize, shared: &Shared) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut writer = stream;
    while let Some(request) = read_message(&mut reader, number) {
        let reply = shared.script.lock().unwrap()(&request);
        if let Reply::Bytes(bytes) = &reply {
            if writer.write_all(bytes.as_bytes()).is_err() {
                break;
            }
        }
        // Only now, so that whoever waits for a request knows that its answer is on the way.
        shared.seen.lock().unwrap().push(request);
        shared.news.notify_all();
        if matches!(reply, Reply::Close) {
            return;
        }
    }
    shared.ended.lock().unwrap().push(number);
}

/// The list's version, its entries, and whether discovery is silent.
type Told = (u64, Value, bool);

/// Discovery: a list that can be changed, watches that wait for it, and the notices.
#[derive(Clone)]
pub struct Discovery {
    pub peer: Peer,
    pub state: Arc<(Mutex<Told>, Condvar)>,
}

impl Discovery {
    pub fn new(instances: Value) -> Discovery {
        let state = Arc::new((Mutex::new((1, instances, false)), Condvar::new()));
        let shared = state.clone();
        let peer = Peer::new(move |_| Reply::Close);
        let script = move |request: &Request| {
            if request.first.starts_with("POST /reports ") {
                return answer("204 No Content", "", "");
            }
            let (lock, news) = &*shared;
            let mut state = lock.lock().unwrap();
            let index = request.first.split_once("index=").and_then(|(_, r)| r.split(['&', ' ']).next());
            let index = index.and_then(|i| i.parse::<u64>().ok());
            if index.is_some_and(|i| i >= state.0) {
                // Short, so that the peer's one script is soon free for the notices.
                state = news.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
            }
            let fresh = index.is_none_or(|i| i < state.0);
            let instances = if fresh { state.1.clone() } else { json!([]) };
            let list = json!({"generation": state.0, "reset": fresh, "instances": instances});
            match state.2 {
                true => Reply::Hang,
                false => answer("200 OK", "", &list.to_string()),
            }
        };
        peer.script(script);
        Discovery { peer, state }
    }

    pub fn set(&self, instances: Value) {
        let mut state = self.state.0.lock().unwrap();
        (state.0, state.1) = (state.0 + 1, instances);
        self.state.1.notify_all();
    }

    /// No list is answered any more; notices are.
    pub fn silence(&self) {
        self.state.0.lock().unwrap().2 = true;
    }

    pub fn speak(&self) {
        self.state.0.lock().unwrap().2 = false;
    }

    pub fn notices(&self) -> Vec<Value> {
        notices(&self.peer.seen())
    }

    pub fn wait_notice(&self, id: &str) -> Value {
        let of = |seen: &[Request]| notices(seen).into_iter().find(|n| n["message"] == id);
        let seen = self.peer.wait(&format!("a notice for {id}"), |s| of(s).is_some());
        of(&seen).unwrap()
    }
}

fn notices(seen: &[Request]) -> Vec<Value> {
    let posts = seen.iter().filter(|r| r.first.starts_with("POST /reports "));
    let text =
        posts.flat_map(|r| String::from_utf8_lossy(&r.body).lines().map(String::from).collect::<Vec<_>>());
    text.map(|l| serde_json::from_str(&l).unwrap()).collect()
}

pub fn instance(name: &str, at: SocketAddr, dest: u64, kind: &str, lifecycle: &str) -> Value {
    json!({"instanceId": name, "hostPort": at.to_string(), "zone": "z", "machineType": kind, "cell": dest,
        "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

pub fn ready(name: &str, at: SocketAddr, dest: u64) -> Value {
    instance(name, at, dest, "plain", "Ready")
}

/// An entry that names a destination and takes nothing.
pub fn closed(dest: u64) -> Value {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    instance(&format!("closed-{dest}"), nowhere, dest, "plain", "Terminating")
}

static FOLDERS: AtomicUsize = AtomicUsize::new(0);

/// The sender with its folder; restarts keep folder, name and address.
pub struct Node {
    pub folder: PathBuf,
    pub address: SocketAddr,
    discovery: SocketAddr,
    child: Option<Child>,
    pub config: Value,
}

impl Node {
    pub fn start(discovery: &Discovery) -> Node {
        Node::with(discovery, json!([]), |_| {})
    }

    pub fn with(discovery: &Discovery, known: Value, change: impl Fn(&mut Value)) -> Node {
        let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
        let folder =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("node-{}-{number}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(folder.join("state")).unwrap();
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
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
        let mut node = Node { folder, address, discovery: discovery.peer.address, child: None, config };
        node.restart();
        node
    }

    pub fn state(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Bytes in the lasting folder, in whole blocks.
    pub fn on_disk(&self) -> u64 {
        let files = std::fs::read_dir(self.state()).unwrap().flatten();
        files.filter_map(|f| f.metadata().ok()).map(|m| m.len().div_ceil(512) * 512).sum()
    }

    fn config_path(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Replaces the file of the configuration and tells the process so.
    pub fn reload(&self, text: &str) {
        std::fs::write(self.config_path(), text).unwrap();
        self.signal("-HUP");
    }

    fn signal(&self, signal: &str) {
        let id = self.child.as_ref().unwrap().id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    pub fn restart(&mut self) {
        assert!(self.child.is_none(), "still running");
        let config = self.config_path();
        std::fs::write(&config, self.config.to_string()).unwrap();
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_nickelshed"))
            .env("EDGE_NAME", "n0")
            .env("EDGE_LISTEN", self.address.to_string())
            .env("EDGE_DISCOVERY", self.discovery.to_string())
            .env("EDGE_STATE", self.state())
            .env("EDGE_CONFIG", config)
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the sender starts");
        self.child = Some(child);
        let until = Instant::now() + BOUND;
        loop {
            let health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
            if self.ask(health.as_bytes()).is_some_and(|r| r.first.contains(" 200")) {
                return;
            }
            assert!(Instant::now() < until, "never ready: {}", self.log());
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Sends bytes on a new connection and reads one answer.
    pub fn ask(&self, bytes: &[u8]) -> Option<Request> {
        let mut stream = TcpStream::connect(self.address).ok()?;
        stream.set_read_timeout(Some(BOUND)).ok()?;
        stream.write_all(bytes).ok()?;
        read_message(&mut BufReader::new(stream), 0)
    }

    pub fn hand_in(&self, class: &str, id: &str, dest: u64, expires_ms: u64, body: &[u8]) -> u16 {
        self.hand_in_full(class, id, dest, expires_ms, body).0
    }

    pub fn hand_in_full(
        &self,
        class: &str,
        id: &str,
        dest: u64,
        expires_ms: u64,
        body: &[u8],
    ) -> (u16, HashMap<String, String>) {
        let mut bytes = format!(
            "POST /{class} HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\n\
             X-Customer: acme\r\nX-Expires-In-Ms: {expires_ms}\r\nX-Consignee: dest={dest}\r\n\
             Idempotency-Key: key-{id}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        let answer = self.ask(&bytes).unwrap_or_else(|| panic!("no answer for {id}: {}", self.log()));
        (answer.first.split(' ').nth(1).unwrap().parse().unwrap(), answer.headers)
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

    /// Waits until something is so.
    pub fn until(&self, what: &str, so: impl Fn() -> bool) {
        let until = Instant::now() + BOUND;
        while !so() {
            assert!(Instant::now() < until, "waited in vain until {what}: {}", self.log());
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Node {
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

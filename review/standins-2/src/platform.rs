//! The platform's side: discovery with its reports, the sender as a process, and clients.
use crate::http::{self, Message, Reply};
use crate::record::Record;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// One entry of the list of endpoints.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub kind: &'static str,
    pub cell: u64,
    pub weight: f64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"z\",\"machineType\":\"{}\",\"cell\":{},\
             \"lifecycle\":\"Ready\",\"weight\":{:?},\"startedAtMs\":0}}",
            self.id, self.address, self.kind, self.cell, self.weight
        )
    }
}

fn list_json(generation: u64, reset: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[{}]}}", entries.join(","))
}

/// Discovery, which answers whole lists. Takes the reports too, and answers these at once.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
}

struct DiscoveryState {
    generation: u64,
    entries: Vec<Entry>,
    /// How much later than usual each answer is written.
    delay: Duration,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: Record) -> Discovery {
        let state = DiscoveryState { generation: 1, entries, delay: Duration::ZERO };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let shared = state.clone();
        let address = http::serve(move |request: &Message, _| {
            if request.start_line.starts_with("POST /reports ") {
                for line in String::from_utf8_lossy(&request.body).lines() {
                    record.note(format!("notice {line}"));
                }
                return http::answer("204 No Content");
            }
            list_answer(request, &shared)
        });
        Discovery { address, state }
    }

    /// Replaces the list; open watches learn of it.
    pub fn set_entries(&self, entries: Vec<Entry>) {
        let mut state = self.state.0.lock().unwrap();
        (state.generation, state.entries) = (state.generation + 1, entries);
        self.state.1.notify_all();
    }

    /// From now on each answer is written so much later than usual.
    pub fn set_delay(&self, delay: Duration) {
        self.state.0.lock().unwrap().delay = delay;
    }

    fn known(&self) -> String {
        let state = self.state.0.lock().unwrap();
        list_json(state.generation, true, &state.entries)
    }
}

fn list_answer(request: &Message, shared: &(Mutex<DiscoveryState>, Condvar)) -> Reply {
    let number = |name: &str| -> Option<u64> {
        let (_, rest) = request.path().split_once(name)?;
        rest.split('&').next()?.parse().ok()
    };
    let index = number("index=");
    let until = Instant::now() + Duration::from_millis(number("wait=").unwrap_or(0).min(60_000));
    let (lock, changed) = shared;
    let mut state = lock.lock().unwrap();
    while index.is_some_and(|index| index >= state.generation) && Instant::now() < until {
        state = changed.wait_timeout(state, until.saturating_duration_since(Instant::now())).unwrap().0;
    }
    let is_newer = index.is_none_or(|index| index < state.generation);
    let list = list_json(state.generation, is_newer, if is_newer { &state.entries } else { &[] });
    let delay = state.delay;
    drop(state);
    std::thread::sleep(delay);
    Reply::Answer("200 OK".into(), String::new(), list)
}

/// The repository's root: the nearest folder above this program that holds the deploy file.
pub fn root() -> Result<PathBuf, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let root = program.ancestors().find(|folder| folder.join("deploy/balancer.toml").is_file());
    root.map(Path::to_path_buf).ok_or("the deploy file is not found".into())
}

/// The command `run` of the deploy file.
fn run_command(root: &Path) -> Result<String, String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).map_err(|e| e.to_string())?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    line.and_then(|l| l.split('"').next()).map(str::to_string).ok_or("no command `run`".into())
}

/// A sender: its folder, its address and its process, which ends with this value.
pub struct Sender {
    pub name: String,
    pub address: SocketAddr,
    root: PathBuf,
    folder: PathBuf,
    discovery: SocketAddr,
    child: Option<Child>,
}

impl Sender {
    /// Starts a sender and waits until it is ready. `limits` and `settings` are the texts of these objects.
    pub fn start(
        name: &str,
        folder: &Path,
        discovery: &Discovery,
        limits: &str,
        settings: &str,
    ) -> Result<Sender, String> {
        let root = root()?;
        let folder = folder.join(name);
        std::fs::create_dir_all(folder.join("state")).map_err(|e| e.to_string())?;
        std::fs::create_dir_all(folder.join("tmp")).map_err(|e| e.to_string())?;
        // Another program may take the port before the sender does; then a new one is tried.
        for seed in 1..=5 {
            let free = TcpListener::bind(("127.0.0.1", 0)).and_then(|l| l.local_addr());
            let address = free.map_err(|e| e.to_string())?;
            let config = format!(
                "{{\"name\":\"{name}\",\"listen\":\"{address}\",\"discovery\":\"{}\",\
                 \"seed\":\"{:016x}\",\"limits\":{limits},\"known\":{},\"settings\":{settings}}}",
                discovery.address,
                seed_of(name, seed),
                discovery.known(),
            );
            std::fs::write(folder.join("config.json"), config).map_err(|e| e.to_string())?;
            let (name, folder, root) = (name.to_string(), folder.clone(), root.clone());
            let discovery = discovery.address;
            let mut sender = Sender { name, address, root, folder, discovery, child: None };
            if sender.start_process().is_ok() {
                return Ok(sender);
            }
        }
        Err(format!("{name} does not become ready"))
    }

    fn start_process(&mut self) -> Result<(), String> {
        let log = std::fs::OpenOptions::new().append(true).create(true).open(self.folder.join("log"));
        let log = log.map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command(&self.root)?])
            .current_dir(&self.root)
            .env("EDGE_NAME", &self.name)
            .env("EDGE_LISTEN", self.address.to_string())
            .env("EDGE_DISCOVERY", self.discovery.to_string())
            .env("EDGE_STATE", self.folder.join("state"))
            .env("EDGE_CONFIG", self.folder.join("config.json"))
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        self.child = Some(child.map_err(|e| e.to_string())?);
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until && self.is_running() {
            let request = b"GET /healthz HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n";
            let answer = http::exchange(self.address, request, Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill();
        Err(format!("{} does not become ready", self.name))
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Starts the process again, on the same folder and address.
    pub fn restart(&mut self) -> Result<(), String> {
        self.start_process()
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A number for random draws, another one for each name and each start.
fn seed_of(name: &str, start: u64) -> u64 {
    let clock = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let mut seed = clock.map_or(0, |d| d.as_nanos() as u64) ^ start;
    for byte in name.bytes() {
        seed = (seed ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    seed
}

/// A message as a client hands it in.
pub struct Submission<'a> {
    pub id: String,
    pub class: &'a str,
    pub tenant: &'a str,
    pub dest: u64,
    pub expires_ms: u64,
}

impl Submission<'_> {
    fn request(&self) -> Vec<u8> {
        let Submission { id, class, tenant, dest, expires_ms } = self;
        let body = format!("body of {id}");
        format!(
            "POST /{class} HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\n\
             X-Customer: {tenant}\r\nX-Expires-In-Ms: {expires_ms}\r\nIdempotency-Key: key-{id}\r\n\
             Content-Length: {}\r\nX-Consignee: dest={dest}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }
}

/// The clients of one sender: they keep their connections, and use an idle one for the next message.
pub struct Clients {
    address: SocketAddr,
    idle: Mutex<Vec<BufReader<TcpStream>>>,
    /// The messages that were answered 202 or 200, with their destinations.
    accepted: Mutex<Vec<(u64, String)>>,
    record: Record,
}

impl Clients {
    pub fn new(sender: &Sender, record: Record) -> Arc<Clients> {
        Arc::new(Clients {
            address: sender.address,
            idle: Mutex::default(),
            accepted: Mutex::default(),
            record,
        })
    }

    /// The messages for a destination that the sender has taken on.
    pub fn accepted(&self, dest: u64) -> Vec<String> {
        self.accepted.lock().unwrap().iter().filter(|(d, _)| *d == dest).map(|(_, id)| id.clone()).collect()
    }

    /// Hands in one message and waits 400 ms for the answer. Returns its status, 0 if there is none.
    pub fn submit(&self, message: &Submission) -> u16 {
        self.record.note(format!("client hands in {} for destination {}", message.id, message.dest));
        let idle = self.idle.lock().unwrap().pop();
        let was_kept = idle.is_some();
        let mut result = self.attempt(idle, message);
        // A close by the sender may have crossed the request: it is sent once more on a new connection.
        if was_kept && result.as_ref().is_err_and(|e| e.kind() != io::ErrorKind::WouldBlock) {
            result = self.attempt(None, message);
        }
        let status = result.unwrap_or(0);
        if matches!(status, 200 | 202) {
            self.accepted.lock().unwrap().push((message.dest, message.id.clone()));
        }
        self.record.note(format!("client is answered {status} for {}", message.id));
        status
    }

    fn attempt(&self, idle: Option<BufReader<TcpStream>>, message: &Submission) -> io::Result<u16> {
        let mut reader = match idle {
            Some(reader) => reader,
            None => BufReader::new(TcpStream::connect(self.address)?),
        };
        reader.get_ref().set_nodelay(true)?;
        reader.get_ref().set_read_timeout(Some(Duration::from_millis(400)))?;
        reader.get_mut().write_all(&message.request())?;
        let answer = http::read_message(&mut reader)?;
        let answer = answer.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        if !answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            self.idle.lock().unwrap().push(reader);
        }
        Ok(answer.status())
    }
}

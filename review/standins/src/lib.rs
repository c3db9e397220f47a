//! Small stand-ins for clients, endpoints and the platform, written from the protocol page. They use the standard
//! library only and loopback addresses only.
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn sleep(millis: u64) {
    thread::sleep(ms(millis));
}

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Whether the disruption of the case is on; `TROUBLE=0` turns it off.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// The record of a run: what was sent, answered and run, each line with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Writes to the file that the first argument names.
    pub fn from_args() -> Record {
        let path = std::env::args().nth(1).unwrap_or_else(|| cannot_run("usage: CASE RECORD_FILE"));
        let file = File::create(&path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        let record = Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) };
        record.line(format!("trouble {}", if trouble() { "on" } else { "off" }));
        record
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{at:>7} {}", text.as_ref());
    }

    pub fn elapsed_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Ends the run with the verdict: exit status 1 if the rule was broken, 0 if it held.
    pub fn verdict(&self, broken: bool, text: &str) -> i32 {
        let word = if broken { "BROKEN" } else { "held" };
        self.line(format!("rule {word}: {text}"));
        println!("rule {word}: {text}");
        i32::from(broken)
    }
}

/// The processes that were started and not ended yet, with their folders.
static STARTED: Mutex<Vec<(u32, PathBuf)>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and the run with exit status 2.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    for (pid, folder) in STARTED.lock().unwrap().drain(..) {
        send_signal(pid, "KILL");
        let _ = fs::remove_dir_all(folder);
    }
    std::process::exit(2);
}

fn send_signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).status();
}

/// A request or answer: first line, headers with names in lower case, body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message; None at the end of the stream.
pub fn read_message(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_string();
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0usize);
    message.body = vec![0; length];
    from.read_exact(&mut message.body)?;
    Ok(Some(message))
}

pub fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("cannot bind: {e}")));
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A port that is free now.
pub fn free_address() -> SocketAddr {
    listen().1
}

/// An entry of the list of endpoints.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub dest: u64,
    pub lifecycle: &'static str,
    pub weight: f64,
    pub started_at_ms: u64,
}

impl Entry {
    pub fn ready(id: &str, address: SocketAddr, dest: u64) -> Entry {
        Entry {
            id: id.into(),
            address,
            zone: "serwerownia-1".into(),
            kind: "duzi-odbiorcy".into(),
            dest,
            lifecycle: "Ready",
            weight: 60.0,
            started_at_ms: 0,
        }
    }

    /// The entry's members in the order of the protocol page.
    fn members(&self) -> Vec<String> {
        vec![
            format!("\"instanceId\"~\"{}\"", self.id),
            format!("\"hostPort\"~\"{}\"", self.address),
            format!("\"zone\"~\"{}\"", self.zone),
            format!("\"machineType\"~\"{}\"", self.kind),
            format!("\"cell\"~{}", self.dest),
            format!("\"lifecycle\"~\"{}\"", self.lifecycle),
            format!("\"weight\"~{:?}", self.weight),
            format!("\"startedAtMs\"~{}", self.started_at_ms),
        ]
    }
}

/// A list in discovery's form; indented by this many spaces a level, or on one line if 0.
pub fn list_json(generation: u64, reset: bool, entries: &[Entry], indent: usize) -> String {
    let (colon, line) = if indent > 0 { (": ", "\n") } else { (":", "") };
    let pad = |level: usize| " ".repeat(indent * level);
    let entries: Vec<String> = entries
        .iter()
        .map(|entry| {
            let members: Vec<String> =
                entry.members().iter().map(|m| format!("{}{}", pad(3), m.replacen('~', colon, 1))).collect();
            format!("{}{{{line}{}{line}{}}}", pad(2), members.join(&format!(",{line}")), pad(2))
        })
        .collect();
    let separator = format!(",{line}");
    format!(
        "{{{line}{p}\"generation\"{colon}{generation},{line}{p}\"reset\"{colon}{reset},{line}{p}\"instances\"{colon}[{line}{}{line}{p}]{line}}}",
        entries.join(&separator),
        p = pad(1)
    )
}

#[derive(Default)]
struct DiscoveryState {
    generation: u64,
    entries: Vec<Entry>,
    /// Changed entries by the generation that changed them.
    changes: Vec<(u64, Entry)>,
    /// When and in which notice each message was reported.
    notices: Vec<(Instant, String)>,
    /// When each list with this generation had been written completely.
    told: Vec<(Instant, u64, usize)>,
    requests: usize,
    /// Open watches are refused up to this one.
    refused: u64,
    watches: u64,
}

/// The platform's agent: lists, watches and notices. It answers at once.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    indent: usize,
    retired: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Discovery {
    pub fn start(record: &Record, entries: Vec<Entry>, indent: usize) -> Discovery {
        let (listener, address) = listen();
        let state = DiscoveryState { generation: 1, entries, ..Default::default() };
        let discovery = Discovery {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            indent,
            retired: Arc::default(),
            streams: Arc::default(),
        };
        let (served, record) = (discovery.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.retired.load(Ordering::SeqCst) {
                    return;
                }
                served.streams.lock().unwrap().extend(stream.try_clone());
                let (served, record) = (served.clone(), record.clone());
                thread::spawn(move || served.serve(stream, &record));
            }
        });
        discovery
    }

    fn serve(&self, stream: TcpStream, record: &Record) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut stream = stream;
        while let Ok(Some(request)) = read_message(&mut reader) {
            if request.first.starts_with("POST /reports") {
                let text = String::from_utf8_lossy(&request.body).to_string();
                let now = Instant::now();
                {
                    let mut state = self.state.0.lock().unwrap();
                    for line in text.lines() {
                        record.line(format!("platform got notice {line}"));
                        state.notices.push((now, line.to_string()));
                    }
                }
                stream.write_all(&answer(204, "", b"")).ok()?;
                continue;
            }
            let parameter = |name: &str| {
                let query = request.path().split_once('?')?.1;
                query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let (index, wait) = (parameter("index"), parameter("wait").unwrap_or(0).min(60_000));
            let (generation, body) = {
                let mut state = self.state.0.lock().unwrap();
                state.requests += 1;
                match index {
                    None => (state.generation, list_json(state.generation, true, &state.entries, self.indent)),
                    Some(index) => {
                        state.watches += 1;
                        let watch = state.watches;
                        let until = Instant::now() + ms(wait);
                        while state.generation <= index && Instant::now() < until && state.refused < watch {
                            let left = until - Instant::now();
                            state = self.state.1.wait_timeout(state, left).unwrap().0;
                        }
                        if state.refused >= watch {
                            drop(state);
                            record.line("discovery answered 503: crowded");
                            stream.write_all(&answer(503, "", b"")).ok()?;
                            continue;
                        }
                        let changed: Vec<Entry> =
                            state.changes.iter().filter(|(g, _)| *g > index).map(|(_, e)| e.clone()).collect();
                        (state.generation, list_json(state.generation, false, &changed, self.indent))
                    }
                }
            };
            let size = body.len();
            stream.write_all(&answer(200, "Content-Type: application/json\r\n", body.as_bytes())).ok()?;
            record.line(format!("discovery answered {} with generation {generation}, {size} bytes", request.path()));
            self.state.0.lock().unwrap().told.push((Instant::now(), generation, size));
        }
        Some(())
    }

    /// Takes no new connection from now on, and closes the open ones after 1.5 s.
    pub fn retire(&self) {
        self.retired.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then closes the listener.
        let _ = TcpStream::connect(self.address);
        let streams = self.streams.clone();
        thread::spawn(move || {
            sleep(1_500);
            for stream in streams.lock().unwrap().iter() {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        });
    }

    /// Refuses the watches that are open now, as crowded.
    pub fn refuse_watches(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.refused = state.watches;
        self.state.1.notify_all();
    }

    /// Changes entries, or adds them, as one new generation.
    pub fn change(&self, changed: Vec<Entry>) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        state.generation += 1;
        let generation = state.generation;
        for entry in changed {
            state.entries.retain(|e| e.id != entry.id);
            if entry.lifecycle != "Gone" {
                state.entries.push(entry.clone());
            }
            state.changes.push((generation, entry));
        }
        self.state.1.notify_all();
        generation
    }

    pub fn requests(&self) -> usize {
        self.state.0.lock().unwrap().requests
    }

    /// When a list of this generation or a newer one had first been written completely.
    pub fn told_at(&self, generation: u64) -> Option<Instant> {
        self.state.0.lock().unwrap().told.iter().find(|(_, g, _)| *g >= generation).map(|(at, _, _)| *at)
    }

    /// The first notice for this message.
    pub fn notice(&self, message: &str) -> Option<(Instant, String)> {
        let needle = format!("\"{message}\"");
        self.state.0.lock().unwrap().notices.iter().find(|(_, n)| n.contains(&needle)).cloned()
    }
}

/// What an endpoint does with a call.
pub enum Reaction {
    /// Writes these bytes and keeps the connection.
    Answer(Vec<u8>),
    /// Writes these bytes after a pause.
    AnswerAfter(u64, Vec<u8>),
    /// Never answers; keeps the connection open until the sender ends it.
    Hang,
}

/// An endpoint. `react` gets each call once its last byte has come.
pub fn endpoint(react: impl Fn(&Message) -> Reaction + Send + Sync + 'static) -> SocketAddr {
    let (listener, address) = listen();
    serve_endpoint(listener, react);
    address
}

pub fn serve_endpoint(listener: TcpListener, react: impl Fn(&Message) -> Reaction + Send + Sync + 'static) {
    let react = Arc::new(react);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let react = react.clone();
            thread::spawn(move || -> Option<()> {
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(stream.try_clone().ok()?);
                let mut stream = stream;
                while let Ok(Some(call)) = read_message(&mut reader) {
                    match react(&call) {
                        Reaction::Answer(bytes) => stream.write_all(&bytes).ok()?,
                        Reaction::AnswerAfter(pause, bytes) => {
                            sleep(pause);
                            stream.write_all(&bytes).ok()?;
                        }
                        Reaction::Hang => {
                            let mut rest = Vec::new();
                            let _ = reader.read_to_end(&mut rest);
                            return None;
                        }
                    }
                }
                Some(())
            });
        }
    });
}

/// An endpoint that answers by a function: `write` writes an answer and returns whether it could.
pub fn endpoint_with_end(react: impl Fn(&Message, &dyn Fn(&[u8]) -> bool) + Send + Sync + 'static) -> SocketAddr {
    let (listener, address) = listen();
    let react = Arc::new(react);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let react = react.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(clone) = stream.try_clone() else { return };
                let mut reader = BufReader::new(clone);
                while let Ok(Some(call)) = read_message(&mut reader) {
                    react(&call, &|bytes| (&stream).write_all(bytes).is_ok());
                }
            });
        }
    });
    address
}

/// One real sender, started with the `run` command of the deploy file from the root of the repository.
pub struct Sender {
    pub folder: PathBuf,
    pub address: SocketAddr,
    pub discovery: SocketAddr,
    pub config: String,
    child: Option<Child>,
}

/// The root of the repository: the folder above `review`.
fn root() -> PathBuf {
    let here = std::env::current_dir().unwrap_or_else(|e| cannot_run(&e.to_string()));
    here.ancestors()
        .find(|folder| folder.join("deploy/balancer.toml").is_file())
        .map(Path::to_path_buf)
        .unwrap_or_else(|| cannot_run("run it inside the repository"))
}

fn run_command() -> String {
    let file = fs::read_to_string(root().join("deploy/balancer.toml")).unwrap_or_default();
    let line = file.lines().find(|l| l.starts_with("run ")).unwrap_or_else(|| cannot_run("no line `run`"));
    line.split('"').nth(1).unwrap_or_else(|| cannot_run("no command in `run`")).to_string()
}

impl Sender {
    /// `config` holds `@LISTEN@` and `@DISCOVERY@` where the addresses stand.
    pub fn new(discovery: SocketAddr, config: &str) -> Sender {
        let unique = format!("nickelshed-review-{}-{}", std::process::id(), wall_ms());
        let folder = std::env::temp_dir().join(unique);
        fs::create_dir_all(folder.join("state")).unwrap_or_else(|e| cannot_run(&e.to_string()));
        Sender { folder, address: free_address(), discovery, config: config.to_string(), child: None }
    }

    pub fn write_config(&self) {
        let text = self
            .config
            .replace("@LISTEN@", &self.address.to_string())
            .replace("@DISCOVERY@", &self.discovery.to_string());
        fs::write(self.folder.join("config.json"), text).unwrap_or_else(|e| cannot_run(&e.to_string()));
    }

    /// Starts the process and waits until it is ready; returns whether it was within 10 s.
    pub fn start(&mut self) -> bool {
        self.start_in(&run_command())
    }

    pub fn start_in(&mut self, command: &str) -> bool {
        self.write_config();
        let log = File::options().create(true).append(true).open(self.folder.join("log")).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", command])
            .current_dir(root())
            .env("EDGE_NAME", "n0")
            .env("EDGE_LISTEN", self.address.to_string())
            .env("EDGE_DISCOVERY", self.discovery.to_string())
            .env("EDGE_STATE", self.folder.join("state"))
            .env("EDGE_CONFIG", self.folder.join("config.json"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("cannot start the sender: {e}")));
        STARTED.lock().unwrap().push((child.id(), self.folder.clone()));
        self.child = Some(child);
        let until = Instant::now() + ms(10_000);
        while Instant::now() < until {
            if get(self.address, "/healthz").is_some_and(|m| m.status() == 200) {
                return true;
            }
            if !self.is_running() {
                return false;
            }
            sleep(20);
        }
        false
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn signal(&self, name: &str) {
        send_signal(self.pid(), name);
    }

    /// Ends the process at once, as SIGKILL does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            STARTED.lock().unwrap().retain(|(pid, _)| *pid != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process has ended by itself.
    pub fn wait_end(&mut self, limit_ms: u64) -> bool {
        let until = Instant::now() + ms(limit_ms);
        while Instant::now() < until {
            if !self.is_running() {
                return true;
            }
            sleep(10);
        }
        false
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// A value of /proc/PID/status in kB.
    pub fn status_kb(&self, name: &str) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(':'));
        line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// Open file descriptors, and those of them that are sockets.
    pub fn descriptors(&self) -> (usize, usize) {
        let Ok(entries) = fs::read_dir(format!("/proc/{}/fd", self.pid())) else { return (0, 0) };
        let links: Vec<String> = entries
            .flatten()
            .filter_map(|e| Some(fs::read_link(e.path()).ok()?.to_string_lossy().to_string()))
            .collect();
        (links.len(), links.iter().filter(|l| l.starts_with("socket:")).count())
    }

    /// Size of the folder that lasts; each file counts in whole 512 bytes.
    pub fn state_bytes(&self) -> u64 {
        let files = fs::read_dir(self.folder.join("state")).into_iter().flatten().flatten();
        files.filter_map(|f| f.metadata().ok()).map(|m| m.len().div_ceil(512) * 512).sum()
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.kill();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept {}", self.folder.display());
        }
    }
}

pub fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, ms(500)).ok()?;
    stream.set_read_timeout(Some(ms(1_000))).ok()?;
    (&stream).write_all(format!("GET {path} HTTP/1.1\r\nHost: api.internal\r\n\r\n").as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream)).ok()?
}

/// The request with which a client hands in a message.
pub fn submission(class: &str, id: &str, key: &str, dest: u64, expires_ms: u64, tenant: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "POST /{class} HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\nX-Customer: {tenant}\r\n\
         X-Expires-In-Ms: {expires_ms}\r\nIdempotency-Key: {key}\r\nContent-Length: {}\r\nX-Consignee: dest={dest}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Hands a message in on a new connection and waits 400 ms for the answer; the status, or None.
pub fn hand_in(address: SocketAddr, request: &[u8]) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&address, ms(400)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(ms(400))).ok()?;
    (&stream).write_all(request).ok()?;
    read_message(&mut BufReader::new(stream)).ok()?.map(|m| m.status())
}

/// The configuration of the small deployment that the cases use; the second class is the one of `effect` `unsafe`.
pub struct Settings {
    pub memory_mb: u64,
    pub sockets: u64,
    pub disk_mb: f64,
    pub senders: u64,
    pub slots: u64,
    pub max_open: u64,
    pub batch: u64,
    pub report: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { memory_mb: 64, sockets: 256, disk_mb: 3.0, senders: 2, slots: 16, max_open: 200, batch: 1, report: true }
    }
}

impl Settings {
    /// `known` is the list that the sender had last, in discovery's form.
    pub fn config(&self, known: &str) -> String {
        let class = |name: &str, effect: &str| {
            format!(
                "{{\"Name\":\"{name}\",\"PromiseNs\":3000000000,\"DeadlineNs\":16000000000,\"Effect\":\"{effect}\",\
                 \"DedupScope\":\"all\",\"WindowNs\":15000000000,\"Worth\":1,\"LateWorth\":0.3,\"Streamed\":false}}"
            )
        };
        format!(
            "{{\"name\":\"n0\",\"listen\":\"@LISTEN@\",\"discovery\":\"@DISCOVERY@\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{},\"disk_mb\":{}}},\"known\":{known},\
             \"settings\":{{\"NInstances\":{},\"Position\":0,\"TickNs\":5000000,\"Tier\":0,\"Zone\":0,\"Family\":\"deliver\",\
             \"Clients\":{{\"MarksRetry\":false}},\"Discovery\":\"automatic\",\"Kinds\":[\"duzi-odbiorcy\",\"mali-odbiorcy\"],\
             \"Localities\":[\"serwerownia-1\"],\"Stages\":[\"systemy-klientow\"],\"WorthBy\":\"request\",\"OverShareWorth\":0.05,\
             \"Realms\":[{{\"Name\":\"rolnictwo\",\"Fraction\":1.0,\"QuotaPerS\":80.0}}],\"Weights\":\"rough\",\
             \"FamilyInfo\":{{\"CallsOut\":{},\"KindBatch\":[{},1],\"SeparateRoutes\":[false,false],\"Decay\":\"halves\",\
             \"RouteFee\":[0.0],\"RefusalCost\":0.03}},\
             \"Feedback\":{{\"Source\":\"{}\",\"Fields\":[\"x0\",\"x1\"]}},\
             \"Limits\":{{\"MaxOpen\":{},\"MaxAttempts\":8,\"Cancel\":true,\"CpuUsPerRequest\":0.0,\"CpuUsPerS\":64285,\
             \"IdleCloseNs\":5000000000,\"DialTimeoutNs\":1000000000,\"MaxRetryAfterNs\":3000000000,\"MayDuplicate\":false,\
             \"Peers\":false,\"Probes\":true,\"RetryAfter\":true,\"StreamsPerConn\":1}},\
             \"Safety\":{{\"AnswerSlackNs\":20000000,\"AskWithinNs\":10000000000,\"StartCapacity\":0.26,\"ColdNs\":9500000000,\
             \"FallMultiple\":1.5,\"OverloadForNs\":2000000000,\"StopSendingWithinNs\":1000000000}},\
             \"Prices\":{{\"Handshake\":0.04,\"Probe\":0.01,\"Waste\":0.03,\"LateFail\":0.02}},\
             \"Services\":[{},{}]}}}}",
            self.memory_mb,
            self.sockets,
            self.disk_mb,
            self.senders,
            self.slots,
            self.batch,
            if self.report { "piggyback" } else { "silent" },
            self.max_open,
            class("alert-prognozy", "keyed"),
            class("wezwanie", "unsafe"),
        )
    }
}

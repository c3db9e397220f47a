//! What a sidecar costs: its check, its start, its idle memory, and what it adds to a call. Side by side in one run, on
//! loopback: `cargo bench -p nickelshed --bench sidecar`. Ratios count; the machine is printed. With NICKELSHED_OTHER set
//! to another build of the sender, both carry the same messages by turns, and their processor time is compared.
use nickelshed_testkit::{read_http_message, send_request, submission_request};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");
const MESSAGES: usize = 4_000;
const STARTS: usize = 40;
const ROUNDS: usize = 8;
const HEALTH: &[u8] = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

struct Started(Child);

impl Drop for Started {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn file(name: &str, listen: SocketAddr, endpoint: SocketAddr) -> String {
    format!(
        "application = \"{name}\"\nlisten = \"{listen}\"\nstate = \"state/{name}\"\nloopback_only = true\n\
         [notices]\nfile = \"{name}.jsonl\"\n\
         [[class]]\nname = \"alert\"\nwanted_within = \"3s\"\nabandoned_after = \"16s\"\neffect = \"keyed\"\n\
         repeat_window = \"16s\"\n\
         [[destination]]\nname = \"gmina\"\nnumber = 7\nendpoints = [\"{endpoint}\"]\n"
    )
}

fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port of loopback")
}

fn start(path: &Path) -> Started {
    start_program(PROGRAM, path)
}

fn start_program(program: &str, path: &Path) -> Started {
    let child =
        Command::new(program).arg("--config").arg(path).stdin(Stdio::null()).stderr(Stdio::null()).spawn();
    Started(child.expect("the sender starts"))
}

fn ready(listen: SocketAddr) {
    while !send_request(listen, HEALTH).is_some_and(|a| a.start_line.contains(" 200")) {
        std::thread::sleep(Duration::from_micros(200));
    }
}

/// Resident memory in kB.
fn resident(started: &Started) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", started.0.id())).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Processor time of its one thread that matters.
fn spent(started: &Started) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{}/schedstat", started.0.id())).unwrap_or_default();
    Duration::from_nanos(text.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0))
}

/// Two builds carry the same messages by turns, in rounds; the processor time of each for a message.
fn paired(other: &str, folder: &Path, to: SocketAddr, calls: &mpsc::Receiver<Instant>) {
    let programs = [("this build", PROGRAM), ("the other build", other)];
    let mut senders = Vec::new();
    for (i, (_, program)) in programs.iter().enumerate() {
        let listen = free();
        let path = folder.join(format!("paired-{i}.toml"));
        std::fs::write(&path, file(&format!("paired-{i}"), listen, to)).expect("a file");
        let started = start_program(program, &path);
        ready(listen);
        senders.push((started, Client::new(listen)));
    }
    for round in 0..ROUNDS {
        let mut line = format!("round {round}:");
        for (i, (started, client)) in senders.iter_mut().enumerate() {
            let before = spent(started);
            for n in 0..MESSAGES {
                client.ask(&submission_request("alert", &format!("p-{round}-{n}"), 7, 16_000, &[b'x'; 200]));
                let _ = calls.recv();
            }
            let each = (spent(started) - before).as_secs_f64() * 1e6 / MESSAGES as f64;
            line += &format!("   {}: {each:6.2} us a message", programs[i].0);
        }
        println!("{line}");
    }
}

/// An endpoint that tells when the last byte of each call has come.
fn endpoint() -> (SocketAddr, mpsc::Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port of loopback");
    let address = listener.local_addr().expect("an address");
    let (came, calls) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let came = came.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_http_message(&mut reader, 0) {
                    let _ = came.send(request.received_at);
                    if writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, calls)
}

/// A client with one kept connection.
struct Client(BufReader<TcpStream>);

impl Client {
    fn new(to: SocketAddr) -> Client {
        let stream = TcpStream::connect(to).expect("it listens");
        let _ = stream.set_nodelay(true);
        Client(BufReader::new(stream))
    }

    /// When the bytes were written, and when the answer had come.
    fn ask(&mut self, bytes: &[u8]) -> (Instant, Instant) {
        let from = Instant::now();
        self.0.get_mut().write_all(bytes).expect("it reads");
        let answer = read_http_message(&mut self.0, 0).expect("it answers");
        assert!(answer.start_line.contains(" 20"), "{}", answer.start_line);
        (from, Instant::now())
    }
}

fn percentiles(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let at = |p: f64| times[((times.len() - 1) as f64 * p) as usize].as_secs_f64() * 1e6;
    println!("{name:44} p50 {:8.0} us   p99 {:8.0} us   longest {:8.0} us", at(0.5), at(0.99), at(1.0));
}

fn checks(folder: &Path) {
    let endpoint = SocketAddr::from(([127, 0, 0, 1], 9));
    for count in [10, 100, 1_000] {
        let paths: Vec<PathBuf> = (0..count).map(|i| folder.join(format!("check-{i}.toml"))).collect();
        for (i, path) in paths.iter().enumerate() {
            let listen = SocketAddr::from(([127, 0, 0, 1], 10_000 + i as u16));
            std::fs::write(path, file(&format!("app-{i}"), listen, endpoint)).expect("a file");
        }
        let best = (0..5).map(|_| {
            let from = Instant::now();
            assert_eq!(nickelshed_ctl::check(&paths).findings.len(), 0);
            from.elapsed()
        });
        let best = best.min().unwrap_or_default();
        let each = best.as_secs_f64() * 1e6 / f64::from(count);
        println!(
            "check of {count:5} files together                 {:8.1} ms, {each:5.0} us each",
            best.as_secs_f64() * 1e3
        );
    }
}

fn main() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("bench-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let cpu = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let model = cpu
        .lines()
        .find_map(|l| l.strip_prefix("model name"))
        .map_or("", |m| m.trim_start_matches(['\t', ':', ' ']));
    println!("machine: {} x {model}", std::thread::available_parallelism().map_or(0, |n| n.get()));

    checks(&folder);

    let (to, calls) = endpoint();
    let path = folder.join("sidecar.toml");
    let starts = (0..STARTS).map(|_| {
        let listen = free();
        std::fs::write(&path, file("bench", listen, to)).expect("a file");
        let from = Instant::now();
        let _started = start(&path);
        ready(listen);
        from.elapsed()
    });
    percentiles("start to the first 200 on /healthz", starts.collect());

    let listen = free();
    std::fs::write(&path, file("bench", listen, to)).expect("a file");
    let started = start(&path);
    ready(listen);
    println!("idle memory                                  {:8} kB", resident(&started));

    // By turns, so that whatever else the machine does meets both alike.
    let (mut direct, mut through) = (Client::new(to), Client::new(listen));
    let (mut to_endpoint, mut by_sidecar, mut answered, mut back) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for i in 0..MESSAGES {
        let bytes = submission_request("alert", &format!("m-{i}"), 7, 16_000, &[b'x'; 200]);
        let (from, heard) = direct.ask(&bytes);
        to_endpoint.push(calls.recv().expect("the call came") - from);
        back.push(heard - from);
        let (from, heard) = through.ask(&bytes);
        by_sidecar.push(calls.recv().expect("the call came") - from);
        answered.push(heard - from);
    }
    percentiles("direct: until the endpoint has it", to_endpoint);
    percentiles("by the sidecar: until the endpoint has it", by_sidecar);
    percentiles("direct: until the client has its 200", back);
    percentiles("by the sidecar: until the client has its 202", answered);
    println!("memory after {MESSAGES} messages                  {:8} kB", resident(&started));
    drop(started);
    if let Ok(other) = std::env::var("NICKELSHED_OTHER") {
        paired(&other, &folder, to, &calls);
    }
    let _ = std::fs::remove_dir_all(&folder);
}

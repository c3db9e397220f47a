//! Measures the cost of a sidecar on loopback: the check of its file, its start, its idle memory, and the
//! latency that it adds to a call compared with a direct one. Run with
//! `cargo bench -p nickelshed --bench sidecar`. Compare ratios within one run rather than absolute figures;
//! the processor is printed. If NICKELSHED_OTHER is the path of another build of the sender, both deliver the
//! same messages in alternating rounds and their processor time is compared.
use nickelshed_testkit::{read_http_message, send_request, submission_request};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed");
const MESSAGE_COUNT: usize = 4_000;
const START_COUNT: usize = 40;
const ROUND_COUNT: usize = 8;
const HEALTH_REQUEST: &[u8] = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

/// A child process that is killed when it is dropped.
struct RunningProcess(Child);

impl Drop for RunningProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn sidecar_config(name: &str, listen: SocketAddr, endpoint: SocketAddr) -> String {
    format!(
        "application = \"{name}\"\nlisten = \"{listen}\"\nstate = \"state/{name}\"\nloopback_only = true\n\
         [notices]\nfile = \"{name}.jsonl\"\n\
         [[class]]\nname = \"alert\"\nwanted_within = \"3s\"\nabandoned_after = \"16s\"\neffect = \"keyed\"\n\
         repeat_window = \"16s\"\n\
         [[destination]]\nname = \"gmina\"\nnumber = 7\nendpoints = [\"{endpoint}\"]\n"
    )
}

/// An address that was free when it was picked.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port on loopback")
}

fn start(path: &Path) -> RunningProcess {
    start_program(PROGRAM, path)
}

fn start_program(program: &str, path: &Path) -> RunningProcess {
    let child =
        Command::new(program).arg("--config").arg(path).stdin(Stdio::null()).stderr(Stdio::null()).spawn();
    RunningProcess(child.expect("the sender starts"))
}

fn wait_until_ready(listen: SocketAddr) {
    while !send_request(listen, HEALTH_REQUEST).is_some_and(|response| response.start_line.contains(" 200")) {
        std::thread::sleep(Duration::from_micros(200));
    }
}

/// Resident memory in kB.
fn resident_memory_kb(process: &RunningProcess) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.0.id())).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Processor time of the main thread, which runs the event loop.
fn processor_time(process: &RunningProcess) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{}/schedstat", process.0.id())).unwrap_or_default();
    Duration::from_nanos(text.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0))
}

/// Two builds deliver the same messages in alternating rounds. Prints the processor time of each per message.
fn compare_builds(other: &str, folder: &Path, endpoint: SocketAddr, arrivals: &mpsc::Receiver<Instant>) {
    let programs = [("this build", PROGRAM), ("the other build", other)];
    let mut senders = Vec::new();
    for (i, (_, program)) in programs.iter().enumerate() {
        let listen = free_address();
        let path = folder.join(format!("paired-{i}.toml"));
        std::fs::write(&path, sidecar_config(&format!("paired-{i}"), listen, endpoint))
            .expect("the configuration file is written");
        let process = start_program(program, &path);
        wait_until_ready(listen);
        senders.push((process, Client::new(listen)));
    }
    for round in 0..ROUND_COUNT {
        let mut line = format!("round {round}:");
        for (i, (process, client)) in senders.iter_mut().enumerate() {
            let time_before = processor_time(process);
            for n in 0..MESSAGE_COUNT {
                client.send_request(&submission_request(
                    "alert",
                    &format!("p-{round}-{n}"),
                    7,
                    16_000,
                    &[b'x'; 200],
                ));
                let _ = arrivals.recv();
            }
            let micros_each =
                (processor_time(process) - time_before).as_secs_f64() * 1e6 / MESSAGE_COUNT as f64;
            line += &format!("   {}: {micros_each:6.2} us a message", programs[i].0);
        }
        println!("{line}");
    }
}

/// Starts an endpoint that reports when the last byte of each call has arrived.
fn start_endpoint() -> (SocketAddr, mpsc::Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port on loopback");
    let address = listener.local_addr().expect("the listener has an address");
    let (arrival_sender, arrivals) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let arrival_sender = arrival_sender.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_http_message(&mut reader, 0) {
                    let _ = arrival_sender.send(request.received_at);
                    if writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, arrivals)
}

/// A client with one keep-alive connection.
struct Client(BufReader<TcpStream>);

impl Client {
    fn new(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("the server listens");
        let _ = stream.set_nodelay(true);
        Client(BufReader::new(stream))
    }

    /// Sends a request. Returns the times just before it was written and just after the response was read.
    fn send_request(&mut self, bytes: &[u8]) -> (Instant, Instant) {
        let sent_at = Instant::now();
        self.0.get_mut().write_all(bytes).expect("the server reads the request");
        let response = read_http_message(&mut self.0, 0).expect("the server responds");
        assert!(response.start_line.contains(" 20"), "{}", response.start_line);
        (sent_at, Instant::now())
    }
}

fn print_percentiles(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let at = |p: f64| times[((times.len() - 1) as f64 * p) as usize].as_secs_f64() * 1e6;
    println!("{name:44} p50 {:8.0} us   p99 {:8.0} us   longest {:8.0} us", at(0.5), at(0.99), at(1.0));
}

fn measure_checks(folder: &Path) {
    let endpoint = SocketAddr::from(([127, 0, 0, 1], 9));
    for count in [10, 100, 1_000] {
        let paths: Vec<PathBuf> = (0..count).map(|i| folder.join(format!("check-{i}.toml"))).collect();
        for (i, path) in paths.iter().enumerate() {
            let listen = SocketAddr::from(([127, 0, 0, 1], 10_000 + i as u16));
            std::fs::write(path, sidecar_config(&format!("app-{i}"), listen, endpoint))
                .expect("the configuration file is written");
        }
        let best = (0..5).map(|_| {
            let started_at = Instant::now();
            assert_eq!(nickelshed_ctl::check(&paths).findings.len(), 0);
            started_at.elapsed()
        });
        let best = best.min().unwrap_or_default();
        let micros_each = best.as_secs_f64() * 1e6 / f64::from(count);
        println!(
            "check of {count:5} files together                 {:8.1} ms, {micros_each:5.0} us each",
            best.as_secs_f64() * 1e3
        );
    }
}

fn main() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("bench-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let cpu = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let model = cpu
        .lines()
        .find_map(|l| l.strip_prefix("model name"))
        .map_or("", |m| m.trim_start_matches(['\t', ':', ' ']));
    println!("machine: {} x {model}", std::thread::available_parallelism().map_or(0, |n| n.get()));

    measure_checks(&folder);

    let (endpoint, arrivals) = start_endpoint();
    let path = folder.join("sidecar.toml");
    let starts = (0..START_COUNT).map(|_| {
        let listen = free_address();
        std::fs::write(&path, sidecar_config("bench", listen, endpoint))
            .expect("the configuration file is written");
        let started_at = Instant::now();
        let _started = start(&path);
        wait_until_ready(listen);
        started_at.elapsed()
    });
    print_percentiles("start to the first 200 on /healthz", starts.collect());

    let listen = free_address();
    std::fs::write(&path, sidecar_config("bench", listen, endpoint))
        .expect("the configuration file is written");
    let process = start(&path);
    wait_until_ready(listen);
    println!("idle memory                                  {:8} kB", resident_memory_kb(&process));

    // Alternates between direct calls and calls through the sidecar, so that other load on the machine
    // affects both alike.
    let (mut direct, mut via_sidecar) = (Client::new(endpoint), Client::new(listen));
    let (
        mut direct_arrival_times,
        mut sidecar_arrival_times,
        mut sidecar_response_times,
        mut direct_response_times,
    ) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for i in 0..MESSAGE_COUNT {
        let bytes = submission_request("alert", &format!("m-{i}"), 7, 16_000, &[b'x'; 200]);
        let (sent_at, responded_at) = direct.send_request(&bytes);
        direct_arrival_times.push(arrivals.recv().expect("the call has arrived") - sent_at);
        direct_response_times.push(responded_at - sent_at);
        let (sent_at, responded_at) = via_sidecar.send_request(&bytes);
        sidecar_arrival_times.push(arrivals.recv().expect("the call has arrived") - sent_at);
        sidecar_response_times.push(responded_at - sent_at);
    }
    print_percentiles("direct: until the endpoint receives it", direct_arrival_times);
    print_percentiles("via sidecar: until the endpoint receives it", sidecar_arrival_times);
    print_percentiles("direct: until the client gets its 200", direct_response_times);
    print_percentiles("via sidecar: until the client gets its 202", sidecar_response_times);
    println!("memory after {MESSAGE_COUNT} messages                  {:8} kB", resident_memory_kb(&process));
    drop(process);
    if let Ok(other) = std::env::var("NICKELSHED_OTHER") {
        compare_builds(&other, &folder, endpoint, &arrivals);
    }
    let _ = std::fs::remove_dir_all(&folder);
}

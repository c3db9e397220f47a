//! The first two minutes: the example's sidecar beside stand-ins of its customer systems, a few alerts handed in, and
//! what became of each.
use clap::Parser;
use nickelshed::ConfigSource;
use nickelshed_config::sidecar::EndpointForm;
use nickelshed_config::{load, write, Sidecar};
use nickelshed_journal::Folder;
use nickelshed_testkit::{http_reply, ok_reply, send_request, FakeServer, HttpMessage, Reply};
use serde_json::Value;
use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const EXAMPLE: &str = include_str!("../../../../deploy/sidecar.toml");
/// How long the sidecar may take to start, and an alert to come to its end.
const PATIENCE: Duration = Duration::from_secs(20);

/// Starts the sidecar of deploy/sidecar.toml beside stand-ins of its customer systems, hands in a few alerts and
/// prints what became of each. The sidecar then runs on, to be tried with curl, until Ctrl-C.
#[derive(Parser)]
struct Arguments {
    /// Where state, notices and log are kept
    #[arg(long, value_name = "FOLDER", default_value = "target/quickstart")]
    folder: PathBuf,
    /// End once the alerts have come to their ends
    #[arg(long)]
    once: bool,
    /// Be the sidecar of this file: this program starts itself so
    #[arg(long, value_name = "FILE", hide = true)]
    sidecar: Option<PathBuf>,
}

type Failed = Box<dyn std::error::Error>;

/// Ended with this program.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// At the address that the example names, or, if that is taken here, at any.
fn listener(wanted: SocketAddr) -> std::io::Result<TcpListener> {
    match TcpListener::bind(wanted) {
        Err(error) if error.kind() == ErrorKind::AddrInUse => TcpListener::bind((wanted.ip(), 0)),
        other => other,
    }
}

fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

/// What the stand-ins together have seen: for each alert its tries, and whether one was taken.
#[derive(Clone, Default)]
struct Seen(Arc<Mutex<HashMap<String, (usize, bool)>>>);

impl Seen {
    /// One try more. How many there are now.
    fn note(&self, id: &str, taken: bool) -> usize {
        let mut seen = self.0.lock().unwrap_or_else(|e| e.into_inner());
        let (tries, was_taken) = seen.entry(id.to_string()).or_default();
        (*tries, *was_taken) = (*tries + 1, *was_taken || taken);
        *tries
    }

    fn of(&self, id: &str) -> (usize, bool) {
        self.0.lock().unwrap_or_else(|e| e.into_inner()).get(id).copied().unwrap_or_default()
    }
}

/// An endpoint of a customer system. Number 2 fails the first try of each alert, number 3 takes nothing.
fn stand_in(name: &str, number: u64, listener: TcpListener, seen: Seen) -> FakeServer {
    let name = name.to_string();
    FakeServer::with_listener(listener, move |request: &HttpMessage| -> Reply {
        let id = request.message_id();
        let fails = number == 2 && seen.of(id).0 == 0;
        seen.note(id, !fails && number != 3);
        match number {
            _ if fails => {
                say(&format!("  {name:16} got {id}, and answers 500: it may have run"));
                http_reply("500 Internal Server Error", "", "")
            }
            3 => {
                say(&format!("  {name:16} got {id}, and answers 503: it is shut"));
                http_reply("503 Service Unavailable", "", "")
            }
            _ => {
                let body = String::from_utf8_lossy(&request.body);
                say(&format!("  {name:16} got {id}, and takes it: {body}"));
                ok_reply()
            }
        }
    })
}

/// The example with addresses that are free here, and stand-ins at those of its customer systems.
fn set_up(folder: &Path, seen: &Seen) -> Result<(Sidecar, PathBuf, Vec<FakeServer>), Failed> {
    let mut sidecar = load(EXAMPLE.as_bytes()).into_valid().map_err(|_| "the example is not sound")?;
    let mut peers = Vec::new();
    for destination in &mut sidecar.destinations {
        for endpoint in &mut destination.endpoints {
            let listener = listener(endpoint.endpoint().address)?;
            *endpoint = EndpointForm::Address(listener.local_addr()?);
            peers.push(stand_in(&destination.name, destination.number, listener, seen.clone()));
        }
    }
    // Given back at once: the sidecar takes it.
    sidecar.listen = listener(sidecar.listen)?.local_addr()?;
    sidecar.state = "state".into();
    sidecar.notices.file = Some("notices.jsonl".into());
    fs::create_dir_all(folder)?;
    let file = folder.join("sidecar.toml");
    fs::write(&file, write::to_toml(&sidecar, true)?)?;
    Ok((sidecar, file, peers))
}

fn start(file: &Path, folder: &Path, listen: SocketAddr) -> Result<Running, Failed> {
    let log = folder.join("sidecar.log");
    let child = Command::new(std::env::current_exe()?)
        .arg("--sidecar")
        .arg(file)
        .stdin(Stdio::null())
        .stderr(File::create(&log)?)
        .spawn()?;
    let mut running = Running(child);
    let until = Instant::now() + PATIENCE;
    while !send_request(listen, b"GET /healthz HTTP/1.1\r\nHost: sidecar\r\n\r\n")
        .is_some_and(|a| a.start_line.contains(" 200"))
    {
        if running.0.try_wait()?.is_some() || Instant::now() > until {
            return Err(format!("the sidecar did not start; see {}", log.display()).into());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(running)
}

struct Alert {
    id: String,
    tenant: &'static str,
    number: u64,
    expires_ms: u64,
    body: &'static str,
}

fn hand_in(listen: SocketAddr, alert: &Alert) -> Result<(), Failed> {
    let Alert { id, tenant, number, expires_ms, body } = alert;
    let bytes = format!(
        "POST /alert-prognozy HTTP/1.1\r\nHost: sidecar\r\nX-Trace-Id: {id}\r\nX-Customer: {tenant}\r\n\
         X-Expires-In-Ms: {expires_ms}\r\nX-Consignee: dest={number}\r\nIdempotency-Key: {id}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = send_request(listen, bytes.as_bytes()).ok_or("the sidecar does not answer")?;
    let status = answer.start_line.split_once(' ').map_or("", |(_, status)| status);
    say(&format!("{id}: handed in for {number}, answered {status}"));
    Ok(())
}

/// What became of an alert: its customer system has taken it, or a notice says how it ended.
fn end_of(alert: &Alert, seen: &Seen, notices: &Path) -> Option<String> {
    let (tries, taken) = seen.of(&alert.id);
    let plural = if tries == 1 { "try" } else { "tries" };
    if taken {
        return Some(format!("delivered after {tries} {plural}"));
    }
    let text = fs::read_to_string(notices).unwrap_or_default();
    let mut lines = text.lines().filter_map(|l| serde_json::from_str::<Value>(l).ok());
    let notice = lines.find(|n| n["message"] == alert.id.as_str())?;
    Some(format!("{} after {tries} {plural}, as {} says", notice["outcome"].as_str()?, notices.display()))
}

fn show(arguments: &Arguments) -> Result<(), Failed> {
    let folder = &arguments.folder;
    let _ = fs::remove_dir_all(folder);
    let seen = Seen::default();
    let (sidecar, file, _peers) = set_up(folder, &seen)?;
    let mut running = start(&file, folder, sidecar.listen)?;
    let listen = sidecar.listen;
    say(&format!(
        "The sidecar of `{}` listens at {listen}; its file is {}.\n",
        sidecar.application,
        file.display()
    ));
    let alert = |n: u32, tenant, number, expires_ms, body| Alert {
        id: format!("alert-{n}"),
        tenant,
        number,
        expires_ms,
        body,
    };
    let alerts = [
        alert(1, "rolnictwo", 1, 16_000, "frost before dawn, -2 C"),
        alert(2, "drogi", 2, 16_000, "black ice on the bridge"),
        alert(3, "drogi", 3, 1_500, "gusts of 90 km/h"),
    ];
    let notices = folder.join("notices.jsonl");
    for alert in &alerts {
        hand_in(listen, alert)?;
        let until = Instant::now() + PATIENCE;
        let end = loop {
            if let Some(end) = end_of(alert, &seen, &notices) {
                break end;
            }
            if Instant::now() > until {
                return Err(format!("{} has come to no end; see {}", alert.id, folder.display()).into());
            }
            std::thread::sleep(Duration::from_millis(10));
        };
        say(&format!("{}: {end}\n", alert.id));
    }
    if arguments.once {
        return Ok(());
    }
    say(&format!(
        "The sidecar runs on until Ctrl-C. Hand in one yourself:\n\n  curl -i http://{listen}/alert-prognozy -H 'X-Trace-Id: mine-1' \
         -H 'X-Customer: rolnictwo' \\\n    -H 'X-Expires-In-Ms: 16000' -H 'X-Consignee: dest=1' -H 'Idempotency-Key: mine-1' -d 'hail'\n"
    ));
    let ended = running.0.wait()?;
    Err(format!("the sidecar has ended: {ended}; see {}", folder.join("sidecar.log").display()).into())
}

/// The sidecar itself, as `nickelshed --config FILE` would be.
fn be_sidecar(file: &Path) -> Result<(), Failed> {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).init();
    nickelshed::run(&ConfigSource::Sidecar(file.to_path_buf()), Folder::new).map_err(|error| {
        tracing::error!("{error}");
        error.into()
    })
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let done = match &arguments.sidecar {
        Some(file) => be_sidecar(file),
        None => show(&arguments),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("nickelshed-quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

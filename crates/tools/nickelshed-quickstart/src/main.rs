//! A short demonstration: runs the sidecar of the example configuration with fake customer systems, submits a
//! few alerts and prints the outcome of each.
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
/// Timeout for the start of the sidecar, and for the outcome of one alert.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts the sidecar of deploy/sidecar.toml with fake customer systems, submits a few alerts and prints the
/// outcome of each. The sidecar then keeps running until Ctrl-C, so that you can try it with curl.
#[derive(Parser)]
struct Arguments {
    /// Folder for state, notices and log; it is deleted first
    #[arg(long, value_name = "FOLDER", default_value = "target/quickstart")]
    folder: PathBuf,
    /// Exit after the outcome of the last alert
    #[arg(long)]
    once: bool,
    /// Run only the sidecar with this configuration; the demonstration starts itself with this flag
    #[arg(long, value_name = "FILE", hide = true)]
    sidecar: Option<PathBuf>,
}

type BoxError = Box<dyn std::error::Error>;

/// Kills the process when dropped.
struct SidecarProcess(Child);

impl Drop for SidecarProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Listens at the preferred address or, if it is in use, at a free port of the same IP address.
fn listener(preferred: SocketAddr) -> std::io::Result<TcpListener> {
    match TcpListener::bind(preferred) {
        Err(error) if error.kind() == ErrorKind::AddrInUse => TcpListener::bind((preferred.ip(), 0)),
        other => other,
    }
}

fn print_line(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

/// Shared by the fake servers: the number of attempts of each alert, and whether one of them was executed.
#[derive(Clone, Default)]
struct AttemptLog(Arc<Mutex<HashMap<String, (usize, bool)>>>);

impl AttemptLog {
    /// Records one attempt. Returns the number of attempts so far.
    fn record(&self, id: &str, executed: bool) -> usize {
        let mut attempts_by_id = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let (attempts, was_executed) = attempts_by_id.entry(id.to_string()).or_default();
        (*attempts, *was_executed) = (*attempts + 1, *was_executed || executed);
        *attempts
    }

    fn get(&self, id: &str) -> (usize, bool) {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).get(id).copied().unwrap_or_default()
    }
}

/// Starts a fake endpoint of a customer system. Destination 2 answers 500 to the first attempt of each alert,
/// destination 3 answers 503 to every attempt.
fn fake_server(name: &str, number: u64, listener: TcpListener, attempt_log: AttemptLog) -> FakeServer {
    let name = name.to_string();
    FakeServer::with_listener(listener, move |request: &HttpMessage| -> Reply {
        let id = request.message_id();
        let fails_first_attempt = number == 2 && attempt_log.get(id).0 == 0;
        attempt_log.record(id, !fails_first_attempt && number != 3);
        match number {
            _ if fails_first_attempt => {
                print_line(&format!("  {name:16} received {id}, answers 500: it may have been executed"));
                http_reply("500 Internal Server Error", "", "")
            }
            3 => {
                print_line(&format!("  {name:16} received {id}, answers 503: not executed"));
                http_reply("503 Service Unavailable", "", "")
            }
            _ => {
                let body = String::from_utf8_lossy(&request.body);
                print_line(&format!("  {name:16} received {id}, executes it: {body}"));
                ok_reply()
            }
        }
    })
}

/// Writes the example configuration with free addresses, and starts fake servers at the addresses of its
/// endpoints.
fn set_up(folder: &Path, attempt_log: &AttemptLog) -> Result<(Sidecar, PathBuf, Vec<FakeServer>), BoxError> {
    let mut sidecar =
        load(EXAMPLE.as_bytes()).into_valid().map_err(|_| "the example configuration is invalid")?;
    let mut servers = Vec::new();
    for destination in &mut sidecar.destinations {
        for endpoint in &mut destination.endpoints {
            let listener = listener(endpoint.endpoint().address)?;
            *endpoint = EndpointForm::Address(listener.local_addr()?);
            servers.push(fake_server(&destination.name, destination.number, listener, attempt_log.clone()));
        }
    }
    // This listener is closed at once so that the sidecar can use its port.
    sidecar.listen = listener(sidecar.listen)?.local_addr()?;
    sidecar.state = "state".into();
    sidecar.notices.file = Some("notices.jsonl".into());
    fs::create_dir_all(folder)?;
    let config_file = folder.join("sidecar.toml");
    fs::write(&config_file, write::to_toml(&sidecar, true)?)?;
    Ok((sidecar, config_file, servers))
}

fn start_sidecar(config_file: &Path, folder: &Path, listen: SocketAddr) -> Result<SidecarProcess, BoxError> {
    let log = folder.join("sidecar.log");
    let child = Command::new(std::env::current_exe()?)
        .arg("--sidecar")
        .arg(config_file)
        .stdin(Stdio::null())
        .stderr(File::create(&log)?)
        .spawn()?;
    let mut sidecar_process = SidecarProcess(child);
    let deadline = Instant::now() + TIMEOUT;
    while !send_request(listen, b"GET /healthz HTTP/1.1\r\nHost: sidecar\r\n\r\n")
        .is_some_and(|response| response.start_line.contains(" 200"))
    {
        if sidecar_process.0.try_wait()?.is_some() || Instant::now() > deadline {
            return Err(format!("the sidecar did not start; see {}", log.display()).into());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(sidecar_process)
}

struct Alert {
    id: String,
    tenant: &'static str,
    number: u64,
    expires_ms: u64,
    body: &'static str,
}

fn submit(listen: SocketAddr, alert: &Alert) -> Result<(), BoxError> {
    let Alert { id, tenant, number, expires_ms, body } = alert;
    let request = format!(
        "POST /alert-prognozy HTTP/1.1\r\nHost: sidecar\r\nX-Trace-Id: {id}\r\nX-Customer: {tenant}\r\n\
         X-Expires-In-Ms: {expires_ms}\r\nX-Consignee: dest={number}\r\nIdempotency-Key: {id}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let response = send_request(listen, request.as_bytes()).ok_or("the sidecar does not answer")?;
    let status = response.start_line.split_once(' ').map_or("", |(_, status)| status);
    print_line(&format!("{id}: submitted for destination {number}, answered {status}"));
    Ok(())
}

/// Returns the outcome of an alert: executed by its customer system, or as given in a notice. `None` while it
/// is open.
fn outcome_of(alert: &Alert, attempt_log: &AttemptLog, notices: &Path) -> Option<String> {
    let (attempts, executed) = attempt_log.get(&alert.id);
    let noun = if attempts == 1 { "try" } else { "tries" };
    if executed {
        return Some(format!("delivered after {attempts} {noun}"));
    }
    let notices_text = fs::read_to_string(notices).unwrap_or_default();
    let mut notice_values = notices_text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let notice = notice_values.find(|value| value["message"] == alert.id.as_str())?;
    Some(format!(
        "{} after {attempts} {noun}, according to {}",
        notice["outcome"].as_str()?,
        notices.display()
    ))
}

fn run_demonstration(arguments: &Arguments) -> Result<(), BoxError> {
    let folder = &arguments.folder;
    let _ = fs::remove_dir_all(folder);
    let attempt_log = AttemptLog::default();
    let (sidecar, config_file, _servers) = set_up(folder, &attempt_log)?;
    let mut sidecar_process = start_sidecar(&config_file, folder, sidecar.listen)?;
    let listen = sidecar.listen;
    print_line(&format!(
        "The sidecar of `{}` listens at {listen}; its configuration is {}.\n",
        sidecar.application,
        config_file.display()
    ));
    let alert = |sequence_number: u32, tenant, number, expires_ms, body| Alert {
        id: format!("alert-{sequence_number}"),
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
        submit(listen, alert)?;
        let deadline = Instant::now() + TIMEOUT;
        let outcome = loop {
            if let Some(outcome) = outcome_of(alert, &attempt_log, &notices) {
                break outcome;
            }
            if Instant::now() > deadline {
                return Err(format!("{} has no outcome; see {}", alert.id, folder.display()).into());
            }
            std::thread::sleep(Duration::from_millis(10));
        };
        print_line(&format!("{}: {outcome}\n", alert.id));
    }
    if arguments.once {
        return Ok(());
    }
    print_line(&format!(
        "The sidecar runs until Ctrl-C. Submit an alert yourself:\n\n  curl -i http://{listen}/alert-prognozy -H 'X-Trace-Id: mine-1' \
         -H 'X-Customer: rolnictwo' \\\n    -H 'X-Expires-In-Ms: 16000' -H 'X-Consignee: dest=1' -H 'Idempotency-Key: mine-1' -d 'hail'\n"
    ));
    let exit_status = sidecar_process.0.wait()?;
    Err(format!("the sidecar has exited: {exit_status}; see {}", folder.join("sidecar.log").display()).into())
}

/// Runs the sidecar like `nickelshed --config FILE`.
fn run_sidecar(file: &Path) -> Result<(), BoxError> {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).init();
    nickelshed::run(&ConfigSource::Sidecar(file.to_path_buf()), Folder::new).map_err(|error| {
        tracing::error!("{error}");
        error.into()
    })
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let result = match &arguments.sidecar {
        Some(file) => run_sidecar(file),
        None => run_demonstration(&arguments),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("nickelshed-quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

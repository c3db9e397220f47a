//! nickelshed: one real sender. Start, signals and wiring.
mod calls;
mod config;
mod connections;
mod core;
mod discovery;
mod inbox;
mod list;
mod notices;
mod server;
mod wire;

use nickelshed_policy::api::Class;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// After SIGTERM: how long new connections are still taken, when nothing new is begun any more, and when the
/// process ends whatever is still out. What is left then is in the journal.
const ACCEPT_ON: Duration = Duration::from_millis(500);
const CLIENTS_GONE: Duration = Duration::from_millis(1_200);
const BEGIN_ON: Duration = Duration::from_millis(2_600);
const END: Duration = Duration::from_millis(3_300);
/// Descriptors that neither clients nor calls use.
const OWN_SOCKETS: usize = 24;
/// Inputs that wait for the core. Clients are told 503 beyond it.
const INBOX: usize = 2_048;

fn main() -> ExitCode {
    let level = std::env::var("RUST_LOG").ok().and_then(|l| l.parse().ok()).unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            tracing::error!(%error, "cannot start");
            return ExitCode::FAILURE;
        }
    };
    match LocalSet::new().block_on(&runtime, run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "cannot start");
            ExitCode::FAILURE
        }
    }
}

/// SIGHUP: the file of the configuration was replaced. A bad one is no reason to end, or to lose what works.
async fn reload(mut hangup: Signal, discovery: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        match config::reread() {
            Ok(address) => {
                tracing::info!(%address, "the configuration was read again");
                discovery.send_if_modified(|old| std::mem::replace(old, address) != address);
            }
            Err(error) => tracing::error!(%error, "the old configuration is kept"),
        }
    }
}

async fn run() -> Result<(), String> {
    let mut config = config::read()?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("signals: {e}"))?;
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    let limits = &config.limits;
    let budget = nickelshed_budget::Budget::new(limits.memory_mb);
    let journal = nickelshed_journal::Journal::open(
        &config.state,
        limits.disk_mb,
        config.settings.max_attempts,
        &budget,
    )
    .map_err(|e| format!("journal in {}: {e}", config.state.display()))?;
    let (core_in, inbox) = mpsc::channel(INBOX);
    let (notices_in, notices) = mpsc::unbounded_channel();
    let settings = &config.settings;
    // Some are for the listener, the watch, notices and files. Of the rest calls always find theirs, a sixteenth
    // is for clients that are only told to come again, and all others are for clients: some connect by hundreds.
    let sockets = config.limits.sockets.saturating_sub(OWN_SOCKETS);
    let calls = (settings.slots * 2 + 32).max(sockets / 4).min(sockets * 3 / 8);
    let turned_away = (sockets / 16).max(1);
    let pool = Rc::new(connections::Pool::new(settings.dial_timeout, settings.idle_close, calls));
    spawn_local(pool.clone().keep());
    let client = Rc::new(calls::Client { core: core_in.clone(), pool });
    let (place, discovery) = watch::channel(config.discovery);
    spawn_local(reload(hangup, place));
    spawn_local(discovery::follow(discovery.clone(), core_in.clone()));
    spawn_local(notices::run(discovery, notices, core_in.clone()));
    let (listen, known) = (config.listen, std::mem::take(&mut config.known));
    let around = config.around.clone();
    let deadline = |c: &Class| Duration::from_nanos(c.deadline.max(0) as u64);
    let class = |c: &Class| server::Class { effect: c.effect, deadline: deadline(c) };
    let classes = settings.classes.iter().map(class).collect();
    let mut core = core::Core::new(config, journal, client, inbox, notices_in);
    core.resume(known).await;
    let core = spawn_local(core.run());

    // Only now: a sender is used once it answers, and what the journal holds comes first.
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    let (close, closing) = watch::channel(false);
    let server = Rc::new(server::Server {
        core: core_in.clone(),
        around,
        classes,
        budget,
        most: sockets.saturating_sub(calls + turned_away),
        turned_away,
        open: Default::default(),
        guests: Default::default(),
    });
    let accepting = spawn_local(server.clone().accept(listener, closing));

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        // It only ends by itself when it has failed; a new process takes up the journal.
        ended = core => return Err(format!("the core ended: {ended:?}")),
    }
    let told = Instant::now();
    sleep(ACCEPT_ON).await;
    let _ = close.send(true);
    let _ = accepting.await;
    let gone = async {
        while server.open.get() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let _ = timeout(CLIENTS_GONE - ACCEPT_ON, gone).await;
    let _ = core_in.send(inbox::Input::Wind(told + BEGIN_ON)).await;
    let _ = timeout((told + END).saturating_duration_since(Instant::now()), core_in.closed()).await;
    Ok(())
}

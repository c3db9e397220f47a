//! One sender process: startup, signal handling and wiring of its parts. The executable is `main.rs`.
mod calls;
mod config;
mod connections;
mod core;
mod discovery;
mod fleet;
mod inbox;
mod list;
mod notices;
mod server;
mod socket;
mod stall_detector;
mod watch;

pub use config::{ConfigSource, EnvironmentVariables};
pub use nickelshed_config::Operator;

use crate::config::{Config, Endpoints, Fresh};
use crate::inbox::Input;
use nickelshed_budget::{Budget, Sockets};
use nickelshed_config::sidecar::Durability;
use nickelshed_host::{Host, Machine};
use nickelshed_journal::{Handle, Journal, Options, Storage, Sync};
use nickelshed_policy::api::Class;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// Phases of a shutdown, each counted from SIGTERM: new connections are accepted until
/// `STOP_ACCEPTING_AFTER`, client connections should have ended by `CLOSE_CLIENTS_BY`, no new call is started
/// after `STOP_SENDING_AFTER`, and the process exits at `EXIT_AFTER` even with calls in flight. Messages that
/// are still open then stay in the journal for the next process.
const ACCEPT_ON: Duration = Duration::from_millis(500);
const CLIENTS_GONE: Duration = Duration::from_millis(1_200);
const BEGIN_ON: Duration = Duration::from_millis(2_600);
const END: Duration = Duration::from_millis(3_300);
/// Pause after a failed sync of the journal.
const SYNC_AGAIN: Duration = Duration::from_millis(200);
/// Inputs that may be queued for the core. When the queue is full, clients get a 503.
const INBOX: usize = 2_048;

/// Applies a changed configuration file on SIGHUP. An invalid file is logged and ignored: it must neither end
/// the process nor replace a configuration that works.
async fn reload(
    form: ConfigSource,
    mut reloads: mpsc::Receiver<()>,
    discovery: Option<watch::Teller<SocketAddr>>,
    core: mpsc::Sender<Input>,
) {
    while reloads.recv().await.is_some() {
        match (form.reread(), &discovery) {
            (Ok(Fresh { discovery: Some(address), .. }), Some(discovery)) => {
                tracing::info!(%address, "the configuration was read again");
                discovery.send(address);
            }
            (Ok(Fresh { list: Some(list), .. }), None) => {
                tracing::info!(endpoints = list.instances.len(), "the configuration was read again");
                if core.send(Input::List(list)).await.is_err() {
                    return;
                }
            }
            (Ok(_), _) => tracing::error!(
                "the configuration now takes its endpoints from elsewhere, which needs a new start; the old ones are kept"
            ),
            (Err(error), _) => {
                for line in error.lines() {
                    tracing::error!("the old configuration is kept: {line}");
                }
            }
        }
    }
}

/// Runs a sender on a single-threaded runtime until SIGTERM or SIGINT.
///
/// # Errors
/// Returns the reason if the sender cannot start, or if it ends by a failure.
pub fn run<S: Storage + 'static>(
    form: &ConfigSource,
    storage: impl FnOnce(&Path) -> S,
) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the async runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        let signals = Signals::of_process()?;
        serve(form, Machine, signals, storage).await
    })
}

/// Starts the thread that runs the journal's syncs, and returns the queue by which the core requests them.
/// The results go back to the core as [`Input::Synced`].
fn sync_thread<F: Handle>(core: mpsc::Sender<Input>) -> Result<std::sync::mpsc::Sender<Sync<F>>, String> {
    let (syncs, jobs) = std::sync::mpsc::channel::<Sync<F>>();
    let (out, mut done) = mpsc::unbounded_channel();
    spawn_local(async move {
        while let Some(synced) = done.recv().await {
            if core.send(Input::Synced(synced)).await.is_err() {
                return;
            }
        }
    });
    let run = move || {
        for sync in jobs {
            let synced = sync.run();
            if let Some(error) = synced.error() {
                tracing::error!(%error, "cannot sync the journal; its records will be written again");
                std::thread::sleep(SYNC_AGAIN);
            }
            if out.send(synced).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new()
        .name("sync".into())
        .spawn(run)
        .map_err(|e| format!("cannot start the journal sync thread: {e}"))?;
    Ok(syncs)
}

/// Opens the journal, and logs damage and imported messages.
fn open_journal<S: Storage + 'static>(
    config: &Config,
    wall_ms: i64,
    storage: S,
    budget: &Budget,
) -> Result<Journal<S>, String> {
    let limits = &config.limits;
    let options = Options {
        // A member of a fleet also keeps its start number in the state folder. Replacing that file needs
        // space for the old and the new one at the same time.
        disk: ((limits.disk_mb * 1e6) as u64).saturating_sub(if config.fleet.is_some() {
            nickelshed_journal::ROOM_BESIDE
        } else {
            0
        }),
        max_attempts: config.settings.max_attempts,
        durability: match config.durability {
            Durability::Process => nickelshed_journal::Durability::Process,
            Durability::Machine => nickelshed_journal::Durability::Machine,
        },
    };
    let folder = config.state.display();
    let opened = Journal::open(storage, options, budget, wall_ms);
    let (journal, found) = opened.map_err(|e| format!("state folder {folder}: {e}"))?;
    if let Some(torn) = &found.torn {
        tracing::info!(
            segment = torn.seq,
            kept = torn.kept,
            cut = torn.cut,
            "the last write was cut off; nothing in it had been acknowledged"
        );
    }
    if let Some(first) = found.damage.first() {
        let (places, doubted) = (found.damage.len(), found.doubted);
        let aside = found.set_aside.join(", ");
        tracing::error!(
            segment = first.seq,
            from = first.from,
            to = first.to,
            places,
            doubted,
            aside,
            "the journal is damaged; readable records are kept, uncertain attempts are assumed made"
        );
    }
    if found.imported > 0 {
        tracing::info!(messages = found.imported, "imported from the journal of the previous version");
    }
    Ok(journal)
}

/// Requests from outside to a running sender.
pub struct Signals {
    /// Resolves when the sender should shut down.
    pub shutdown: Pin<Box<dyn Future<Output = ()>>>,
    /// Receives a message each time the configuration file has been replaced.
    pub reloads: mpsc::Receiver<()>,
}

impl Signals {
    /// Handles SIGTERM and SIGINT as shutdown, and SIGHUP as reload.
    fn of_process() -> Result<Signals, String> {
        let listen = |kind| signal(kind).map_err(|e| format!("cannot install the signal handlers: {e}"));
        let (mut terminate, mut interrupt) =
            (listen(SignalKind::terminate())?, listen(SignalKind::interrupt())?);
        let mut hangup = listen(SignalKind::hangup())?;
        let shutdown = Box::pin(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        });
        let (told, reloads) = mpsc::channel(1);
        spawn_local(async move { while hangup.recv().await.is_some() && told.send(()).await.is_ok() {} });
        Ok(Signals { shutdown, reloads })
    }
}

/// Runs one sender on a host until `signals.shutdown` resolves. All its tasks are spawned on the current
/// local set; dropping that set ends the sender as a kill would.
///
/// # Errors
/// Returns the reason if the sender cannot start, or if it ends by a failure.
pub async fn serve<S: Storage + 'static, H: Host>(
    form: &ConfigSource,
    host: H,
    mut signals: Signals,
    storage: impl FnOnce(&Path) -> S,
) -> Result<(), String> {
    let mut config = form.read()?;
    let budget = Budget::new(config.limits.memory_mb);
    let journal = open_journal(&config, host.wall_ms(), storage(&config.state), &budget)?;
    let (core_in, inbox) = mpsc::channel(INBOX);
    let syncs = match config.durability {
        Durability::Process => None,
        Durability::Machine => Some(sync_thread(core_in.clone())?),
    };
    let (notices_in, notices) = mpsc::unbounded_channel();
    let settings = &config.settings;
    let sockets = Sockets::divide(config.limits.sockets, settings.slots);
    let pool = Rc::new(connections::Pool::new(
        host.clone(),
        settings.dial_timeout,
        settings.idle_close,
        sockets.calls,
    ));
    spawn_local(pool.clone().keep());
    let pulse = Rc::new(stall_detector::Pulse::new(host.clone()));
    spawn_local(pulse.clone().keep());
    let client = Rc::new(calls::Client { core: core_in.clone(), pool, pulse });
    let (place, discovery) = match config.endpoints {
        Endpoints::Discovery(address) => Some(watch::channel(address)).unzip(),
        Endpoints::Listed => (None, None),
    };
    spawn_local(reload(form.clone(), signals.reloads, place, core_in.clone()));
    let mut asking = discovery::Asking::new(config.around.lister, settings.n_instances, config.seed);
    let held = (!config.known.instances.is_empty())
        .then(|| discovery::Held { generation: config.known.generation, ask_after: asking.first() });
    let mut news_within = Duration::ZERO;
    if let Some(discovery) = &discovery {
        news_within = discovery::news_within(held.as_ref());
        spawn_local(discovery::follow(host.clone(), discovery.clone(), held, asking, core_in.clone()));
    }
    let told = notices::Told {
        application: config.application.clone(),
        platform: discovery,
        sync: config.durability == Durability::Machine,
    };
    spawn_local(notices::run(
        host.clone(),
        std::mem::take(&mut config.notices),
        told,
        notices,
        core_in.clone(),
    ));
    let (listen, known) = (config.listen, std::mem::take(&mut config.known));
    let (around, application) = (config.around.clone(), config.application.clone());
    let deadline = |c: &Class| Duration::from_nanos(c.deadline.max(0) as u64);
    let class = |c: &Class| server::Class { effect: c.effect, deadline: deadline(c) };
    let classes = settings.classes.iter().map(class).collect();
    let fellowship = config.fleet.take().map(|told| (told, fleet::start_after(journal.beside(fleet::START))));
    let mut core = core::Core::new(host.clone(), config, journal, syncs, client, inbox, notices_in);
    let (leave, leaving) = tokio::sync::oneshot::channel();
    let member = fellowship.map(|(told, start)| {
        let room = Rc::new(fleet::Room::default());
        core.room = Some(room.clone());
        (told, start, room)
    });
    core.resume(known, news_within).await;
    let core = spawn_local(core.run());
    let member = member.map(|(told, start, room)| {
        spawn_local(fleet::run(host.clone(), told, start, core_in.clone(), room, leaving))
    });

    // The port is opened only after recovery: a sender is used as soon as it answers, and messages from the
    // journal come first.
    let listener = host.listen(listen).await.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    if let Some(application) = application {
        tracing::info!(application, %listen, "ready");
    }
    let (close, closing) = watch::channel(false);
    let server = Rc::new(server::Server {
        host,
        core: core_in.clone(),
        around,
        classes,
        budget,
        most: sockets.clients,
        turned_away: sockets.turned_away,
        open: Default::default(),
        guests: Default::default(),
    });
    let accepting = spawn_local(server.clone().accept(listener, closing));

    tokio::select! {
        biased;
        () = &mut signals.shutdown => {}
        // The core ends without a shutdown request only when it has failed. The next process recovers from
        // the journal.
        ended = core => return Err(format!("the event loop has failed: {ended:?}")),
    }
    let told = Instant::now();
    // Announces to the fleet that this member leaves, so that the others take over its share of the limits.
    drop(leave);
    if let Some(member) = member {
        let _ = timeout(ACCEPT_ON, member).await;
    }
    sleep(ACCEPT_ON.saturating_sub(told.elapsed())).await;
    close.send(true);
    let _ = accepting.await;
    let gone = async {
        while server.open.get() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let _ = timeout(CLIENTS_GONE - ACCEPT_ON, gone).await;
    let _ = core_in.send(Input::Wind(told + BEGIN_ON)).await;
    let _ = timeout((told + END).saturating_duration_since(Instant::now()), core_in.closed()).await;
    Ok(())
}

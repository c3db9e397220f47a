//! One sender process: startup, signal handling and wiring of its parts. The executable is `main.rs`.
mod answer_delay;
mod answer_head;
mod calls;
mod config;
mod connections;
mod core;
mod discovery;
mod fleet;
mod inbox;
mod list;
mod notices;
mod pool;
mod provisional;
mod server;
mod socket;
mod stall_detector;
mod watch;

pub use config::{ConfigSource, EnvironmentVariables};
pub use nickelshed_config::Operator;

use crate::config::{Config, EndpointSource, ReloadableConfig};
use crate::inbox::Input;
use nickelshed_budget::{max_active_clients, Budget, SocketAllocation};
use nickelshed_config::sidecar::Durability;
use nickelshed_host::{Host, SystemHost};
use nickelshed_journal::{FileHandle, Journal, Options, Storage, SyncTask};
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
const STOP_ACCEPTING_AFTER: Duration = Duration::from_millis(500);
const CLOSE_CLIENTS_BY: Duration = Duration::from_millis(1_200);
const STOP_SENDING_AFTER: Duration = Duration::from_millis(2_600);
const EXIT_AFTER: Duration = Duration::from_millis(3_300);
/// Pause after a failed sync of the journal.
const SYNC_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of inputs queued for the core. When the queue is full, clients get a 503.
const INBOX_CAPACITY: usize = 2_048;

/// Applies a changed configuration file on SIGHUP. An invalid file is logged and ignored: it must neither end
/// the process nor replace a configuration that works.
async fn reload(
    source: ConfigSource,
    mut reloads: mpsc::Receiver<()>,
    discovery: Option<watch::Sender<SocketAddr>>,
    core: mpsc::Sender<Input>,
) {
    while reloads.recv().await.is_some() {
        match (source.read_reloadable(), &discovery) {
            (Ok(ReloadableConfig { discovery: Some(address), .. }), Some(discovery)) => {
                tracing::info!(%address, "the configuration was read again");
                discovery.send(address);
            }
            (Ok(ReloadableConfig { list: Some(list), .. }), None) => {
                tracing::info!(endpoints = list.instances.len(), "the configuration was read again");
                if core.send(Input::EndpointList(list)).await.is_err() {
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
    source: &ConfigSource,
    storage: impl FnOnce(&Path) -> S,
) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the async runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        let signals = Signals::of_process()?;
        serve(source, SystemHost, signals, storage).await
    })
}

/// Starts the thread that runs the journal's syncs, and returns the queue by which the core requests them.
/// The results go back to the core as [`Input::Synced`].
fn sync_thread<F: FileHandle>(
    core: mpsc::Sender<Input>,
) -> Result<std::sync::mpsc::Sender<SyncTask<F>>, String> {
    let (job_tx, job_rx) = std::sync::mpsc::channel::<SyncTask<F>>();
    let (result_tx, mut result_rx) = mpsc::unbounded_channel();
    spawn_local(async move {
        while let Some(synced) = result_rx.recv().await {
            if core.send(Input::Synced(synced)).await.is_err() {
                return;
            }
        }
    });
    let run = move || {
        for sync in job_rx {
            let synced = sync.run();
            if let Some(error) = synced.error() {
                tracing::error!(%error, "cannot sync the journal; its records will be written again");
                std::thread::sleep(SYNC_RETRY_DELAY);
            }
            if result_tx.send(synced).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new()
        .name("sync".into())
        .spawn(run)
        .map_err(|e| format!("cannot start the journal sync thread: {e}"))?;
    Ok(job_tx)
}

/// Passes the verdicts on provisional answers to the core, which may be busy for longer than a connection can
/// wait.
async fn forward_verdicts(
    mut verdicts: mpsc::UnboundedReceiver<Vec<provisional::ResolvedAnswer>>,
    core: mpsc::Sender<Input>,
) {
    while let Some(resolved) = verdicts.recv().await {
        if core.send(Input::AnswersResolved(resolved)).await.is_err() {
            return;
        }
    }
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
        disk_limit_bytes: ((limits.disk_mb * 1e6) as u64).saturating_sub(if config.fleet.is_some() {
            nickelshed_journal::SIDE_FILE_RESERVED_BYTES
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
    let (journal, report) = opened.map_err(|e| format!("state folder {folder}: {e}"))?;
    if let Some(torn) = &report.torn {
        tracing::info!(
            segment = torn.seq,
            kept = torn.valid_bytes,
            cut = torn.cut_bytes,
            "the last write was cut off; nothing in it had been acknowledged"
        );
    }
    if let Some(first) = report.damage.first() {
        let (places, doubted) = (report.damage.len(), report.uncertain);
        let aside = report.quarantined.join(", ");
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
    if report.imported > 0 {
        tracing::info!(messages = report.imported, "imported from the journal of the previous version");
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
        let (reload_tx, reloads) = mpsc::channel(1);
        spawn_local(
            async move { while hangup.recv().await.is_some() && reload_tx.send(()).await.is_ok() {} },
        );
        Ok(Signals { shutdown, reloads })
    }
}

/// Runs one sender on a host until `signals.shutdown` resolves. All its tasks are spawned on the current
/// local set; dropping that set ends the sender as a kill would.
///
/// # Errors
/// Returns the reason if the sender cannot start, or if it ends by a failure.
pub async fn serve<S: Storage + 'static, H: Host>(
    source: &ConfigSource,
    host: H,
    mut signals: Signals,
    storage: impl FnOnce(&Path) -> S,
) -> Result<(), String> {
    let mut config = source.read()?;
    let memory_mb = config.limits.memory_mb;
    let budget = Budget::new(memory_mb);
    let journal = open_journal(&config, host.wall_ms(), storage(&config.state), &budget)?;
    let (core_tx, inbox) = mpsc::channel(INBOX_CAPACITY);
    let sync_jobs = match config.durability {
        Durability::Process => None,
        Durability::Machine => Some(sync_thread(core_tx.clone())?),
    };
    let (notice_tx, notice_rx) = mpsc::unbounded_channel();
    let settings = &config.settings;
    let sockets = SocketAllocation::divide(config.limits.sockets, settings.slots);
    let (verdict_tx, verdicts) = mpsc::unbounded_channel();
    spawn_local(forward_verdicts(verdicts, core_tx.clone()));
    let pool = Rc::new(pool::Pool::new(
        host.clone(),
        settings.dial_timeout,
        settings.idle_timeout,
        sockets.calls,
        provisional::AnswerLedger::new(verdict_tx),
    ));
    spawn_local(pool.clone().run_maintenance());
    let stall_detector = Rc::new(stall_detector::StallDetector::new(host.clone()));
    spawn_local(stall_detector.clone().run());
    let executor = Rc::new(calls::CallExecutor { core: core_tx.clone(), pool, stall_detector });
    let (address_tx, address_rx) = match config.endpoint_source {
        EndpointSource::Discovery(address) => Some(watch::channel(address)).unzip(),
        EndpointSource::Static => (None, None),
    };
    spawn_local(reload(source.clone(), signals.reloads, address_tx, core_tx.clone()));
    let mut schedule =
        discovery::RequestSchedule::new(config.context.discovery_mode, settings.sender_count, config.seed);
    let cached_list = (!config.initial_list.instances.is_empty()).then(|| discovery::CachedList {
        generation: config.initial_list.generation,
        poll_after: schedule.initial_delay(),
    });
    let mut startup_wait = Duration::ZERO;
    if let Some(address_rx) = &address_rx {
        startup_wait = discovery::startup_wait(cached_list.as_ref());
        spawn_local(discovery::follow(
            host.clone(),
            address_rx.clone(),
            cached_list,
            schedule,
            memory_mb,
            core_tx.clone(),
        ));
    }
    let targets = notices::NoticeTargets {
        application: config.application.clone(),
        platform: address_rx,
        sync: config.durability == Durability::Machine,
    };
    spawn_local(notices::run(
        host.clone(),
        std::mem::take(&mut config.notices),
        targets,
        notice_rx,
        core_tx.clone(),
    ));
    let (listen, initial_list) = (config.listen, std::mem::take(&mut config.initial_list));
    let (context, application) = (config.context.clone(), config.application.clone());
    let deadline = |c: &Class| Duration::from_nanos(c.deadline.max(0) as u64);
    let class = |c: &Class| server::Class { effect: c.effect, deadline: deadline(c) };
    let classes = settings.classes.iter().map(class).collect();
    let fleet_config = config
        .fleet
        .take()
        .map(|fleet_config| (fleet_config, fleet::next_start(journal.read_side_file(fleet::START_FILE))));
    let mut core = core::Core::new(host.clone(), config, journal, sync_jobs, executor, inbox, notice_tx);
    let (leave_tx, leave_rx) = tokio::sync::oneshot::channel();
    let member_start = fleet_config.map(|(fleet_config, start)| {
        let headroom = Rc::new(fleet::Headroom::default());
        core.headroom = Some(headroom.clone());
        (fleet_config, start, headroom)
    });
    core.recover(initial_list, startup_wait).await;
    let core = spawn_local(core.run());
    let member_task = member_start.map(|(fleet_config, start, headroom)| {
        spawn_local(fleet::run(host.clone(), fleet_config, start, core_tx.clone(), headroom, leave_rx))
    });

    // The port is opened only after recovery: a sender is used as soon as it answers, and messages from the
    // journal come first.
    let listener = host.listen(listen).await.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    if let Some(application) = application {
        tracing::info!(application, %listen, "ready");
    }
    let (stop_tx, stop_rx) = watch::channel(false);
    let server = Rc::new(server::Server {
        host,
        core: core_tx.clone(),
        context,
        classes,
        budget,
        max_served: sockets.clients,
        request_memory: server::RequestMemory::new(max_active_clients(memory_mb)),
        last_eviction: Default::default(),
        max_rejected: sockets.rejected_clients,
        open_connections: Default::default(),
        clients: Default::default(),
    });
    let accept_task = spawn_local(server.clone().accept(listener, stop_rx));

    tokio::select! {
        biased;
        () = &mut signals.shutdown => {}
        // The core ends without a shutdown request only when it has failed. The next process recovers from
        // the journal.
        ended = core => return Err(format!("the event loop has failed: {ended:?}")),
    }
    let shutdown_began = Instant::now();
    // Announces to the fleet that this member leaves, so that the others take over its share of the limits.
    drop(leave_tx);
    if let Some(member_task) = member_task {
        let _ = timeout(STOP_ACCEPTING_AFTER, member_task).await;
    }
    sleep(STOP_ACCEPTING_AFTER.saturating_sub(shutdown_began.elapsed())).await;
    stop_tx.send(true);
    let _ = accept_task.await;
    let clients_closed = async {
        while server.open_connections.get() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let _ = timeout(CLOSE_CLIENTS_BY - STOP_ACCEPTING_AFTER, clients_closed).await;
    let _ = core_tx.send(Input::Shutdown(shutdown_began + STOP_SENDING_AFTER)).await;
    let _ =
        timeout((shutdown_began + EXIT_AFTER).saturating_duration_since(Instant::now()), core_tx.closed())
            .await;
    Ok(())
}

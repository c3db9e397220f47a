//! nickelshed: one real sender. Start, signals and wiring; the program itself is `main.rs`.
mod calls;
mod config;
mod connections;
mod core;
mod discovery;
mod fleet;
mod inbox;
mod list;
mod notices;
mod pulse;
mod server;
mod watched;
mod wire;

pub use config::{Form, Told};
pub use nickelshed_config::Operator;

use crate::config::{Config, Endpoints, Fresh};
use crate::inbox::Input;
use nickelshed_budget::{Budget, SocketAllocation};
use nickelshed_config::sidecar::Durability;
use nickelshed_host::{Host, SystemHost};
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

/// After SIGTERM: how long new connections are still taken, when nothing new is begun any more, and when the
/// process ends whatever is still out. What is left then is in the journal.
const ACCEPT_ON: Duration = Duration::from_millis(500);
const CLIENTS_GONE: Duration = Duration::from_millis(1_200);
const BEGIN_ON: Duration = Duration::from_millis(2_600);
const END: Duration = Duration::from_millis(3_300);
/// How long a sync that failed is left before the next.
const SYNC_AGAIN: Duration = Duration::from_millis(200);
/// Inputs that wait for the core. Clients are told 503 beyond it.
const INBOX: usize = 2_048;

/// SIGHUP: the file of the configuration was replaced. A bad one is no reason to end, or to lose what works.
async fn reload(
    form: Form,
    mut hangups: mpsc::Receiver<()>,
    discovery: Option<watched::Teller<SocketAddr>>,
    core: mpsc::Sender<Input>,
) {
    while hangups.recv().await.is_some() {
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

/// Runs a sender until it is told to end, on a runtime of one thread.
///
/// # Errors
/// Says what kept it from starting, or that it has failed.
pub fn run<S: Storage + 'static>(form: &Form, storage: impl FnOnce(&Path) -> S) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot make a runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        let signals = Signals::of_process()?;
        serve(form, SystemHost, signals, storage).await
    })
}

/// Syncs, on a thread of their own, for as long as the core asks for them.
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
                tracing::error!(%error, "cannot sync the journal; what waits for it is written once more");
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
        .map_err(|e| format!("cannot start a thread: {e}"))?;
    Ok(syncs)
}

/// Opens the journal and says what was found.
fn open_journal<S: Storage + 'static>(
    config: &Config,
    wall_ms: i64,
    storage: S,
    budget: &Budget,
) -> Result<Journal<S>, String> {
    let limits = &config.limits;
    let options = Options {
        // The start that a member keeps lies in the folder too, and for a moment beside the one before it.
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
            "the last write was cut off; it had been promised to nobody"
        );
    }
    if let Some(first) = found.damage.first() {
        let (places, doubted) = (found.damage.len(), found.doubted);
        let aside = found.set_aside.join(", ");
        tracing::error!(
            segment = first.seq, from = first.from, to = first.to, places, doubted, aside,
            "the journal is damaged; what can be read is kept, and messages whose attempts may be lost count as tried"
        );
    }
    if found.imported > 0 {
        tracing::info!(messages = found.imported, "taken over from the journal of the version before");
    }
    Ok(journal)
}

/// What a process is told from outside while it runs.
pub struct Signals {
    /// Comes to its end when the process is to end.
    pub end: Pin<Box<dyn Future<Output = ()>>>,
    /// Each time the file of the configuration was replaced.
    pub hangups: mpsc::Receiver<()>,
}

impl Signals {
    /// SIGTERM and SIGINT, and SIGHUP.
    fn of_process() -> Result<Signals, String> {
        let listen = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
        let (mut terminate, mut interrupt) =
            (listen(SignalKind::terminate())?, listen(SignalKind::interrupt())?);
        let mut hangup = listen(SignalKind::hangup())?;
        let end = Box::pin(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        });
        let (told, hangups) = mpsc::channel(1);
        spawn_local(async move { while hangup.recv().await.is_some() && told.send(()).await.is_ok() {} });
        Ok(Signals { end, hangups })
    }
}

/// One sender on a host, until it is told to end. Its tasks are those of the local set that this runs in: dropping the
/// set ends the sender like a kill.
///
/// # Errors
/// Says what kept it from starting, or that it has failed.
pub async fn serve<S: Storage + 'static, H: Host>(
    form: &Form,
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
    let sockets = SocketAllocation::divide(config.limits.sockets, settings.slots);
    let pool = Rc::new(connections::Pool::new(
        host.clone(),
        settings.dial_timeout,
        settings.idle_close,
        sockets.calls,
    ));
    spawn_local(pool.clone().keep());
    let pulse = Rc::new(pulse::Pulse::new(host.clone()));
    spawn_local(pulse.clone().keep());
    let client = Rc::new(calls::Client { core: core_in.clone(), pool, pulse });
    let (place, discovery) = match config.endpoints {
        Endpoints::Discovery(address) => Some(watched::channel(address)).unzip(),
        Endpoints::Listed => (None, None),
    };
    spawn_local(reload(form.clone(), signals.hangups, place, core_in.clone()));
    let mut asking = discovery::Asking::new(config.around.discovery_mode, settings.n_instances, config.seed);
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

    // Only now: a sender is used once it answers, and what the journal holds comes first.
    let listener = host.listen(listen).await.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    if let Some(application) = application {
        tracing::info!(application, %listen, "ready");
    }
    let (close, closing) = watched::channel(false);
    let server = Rc::new(server::Server {
        host,
        core: core_in.clone(),
        around,
        classes,
        budget,
        most: sockets.clients,
        turned_away: sockets.rejected_clients,
        open: Default::default(),
        guests: Default::default(),
    });
    let accepting = spawn_local(server.clone().accept(listener, closing));

    tokio::select! {
        biased;
        () = &mut signals.end => {}
        // It only ends by itself when it has failed; a new process takes up the journal.
        ended = core => return Err(format!("the core ended: {ended:?}")),
    }
    let told = Instant::now();
    // The others take up its part once it has said that it ends.
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

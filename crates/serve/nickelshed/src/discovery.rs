//! Follows the list of endpoints at discovery: requests a full list first, then the changes by a watch (long
//! poll) that is repeated as soon as it is answered. `requests` decides which requests are outstanding, and
//! `schedule` how long to pause after a failure.
mod exchange;
mod requests;
mod schedule;
mod transfer;

use crate::connections::Connection;
use crate::inbox::Input;
use crate::list::EndpointList;
use crate::watch;
use exchange::{Exchange, RequestError};
use nickelshed_host::Host;
use requests::{Action, ListSummary, ListUse, Request, RequestId, RequestPlan};
pub use schedule::RequestSchedule;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, Semaphore};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep_until, Instant};

/// The longest time for which discovery may delay the start.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(300);
/// Discovery answers within this time if it already has what is asked for.
const IMMEDIATE_ANSWER_TIME: Duration = Duration::from_millis(50);
/// Where answers are late, requests overlap and use several connections in turn.
const MAX_IDLE_CONNECTIONS: usize = 2;
/// The memory limit of the process divided by this is what the entries of one list may use while they are read.
const LIST_MEMORY_DIVISOR: f64 = 8.0;

/// The generation of the list that the sender has at startup, and when changes since then are first asked
/// for.
pub struct CachedList {
    pub generation: u64,
    /// Delay of the first request after startup.
    pub poll_after: Duration,
}

/// How long the start waits for an update of the cached list, which discovery sends at once if there is one,
/// or for the first list if none is cached. Zero if the update would arrive too late to wait for.
pub fn startup_wait(cached_list: Option<&CachedList>) -> Duration {
    let wait =
        cached_list.map_or(MAX_STARTUP_WAIT, |cached_list| cached_list.poll_after + IMMEDIATE_ANSWER_TIME);
    if wait > MAX_STARTUP_WAIT {
        Duration::ZERO
    } else {
        wait
    }
}

/// What becomes of a request to discovery.
enum Event<H: Host> {
    /// A part of a large list has arrived.
    Progressed(RequestId),
    Finished(RequestId, Box<Result<Answer<H>, RequestError>>),
}

/// A list, and the connection that it came on.
struct Answer<H: Host> {
    list: EndpointList,
    is_on_reused_connection: bool,
    connection: Connection<H>,
}

impl<H: Host> Answer<H> {
    fn summary(&self) -> ListSummary {
        ListSummary {
            generation: self.list.generation,
            is_full: self.list.reset,
            is_empty: self.list.instances.is_empty(),
            is_on_reused_connection: self.is_on_reused_connection,
        }
    }
}

/// Polls discovery; returns only when the core has ended. While discovery fails, the sender keeps using its
/// last list. When the address of discovery changes, the requests to the old address are abandoned at once and
/// the new one is first asked for a full list.
pub async fn follow<H: Host>(
    host: H,
    mut address_rx: watch::Receiver<SocketAddr>,
    cached_list: Option<CachedList>,
    schedule: RequestSchedule,
    memory_mb: f64,
    core: mpsc::Sender<Input>,
) {
    let (event_tx, mut event_rx) = mpsc::unbounded_channel();
    let generation = cached_list.as_ref().map(|cached_list| cached_list.generation);
    let initial_delay = cached_list.map_or(Duration::ZERO, |cached_list| cached_list.poll_after);
    let mut follower = Follower {
        host,
        address: address_rx.latest(),
        plan: RequestPlan::new(Instant::now(), schedule, generation, initial_delay),
        tasks: HashMap::new(),
        idle_connections: Vec::new(),
        is_failing: false,
        max_list_bytes: (memory_mb * 1e6 / LIST_MEMORY_DIVISOR) as usize,
        large_list: Arc::new(Semaphore::new(1)),
        events: event_tx,
    };
    loop {
        follower.act();
        let wake_at = follower.plan.wake_at(Instant::now());
        tokio::select! {
            biased;
            Ok(()) = address_rx.changed() => follower.change_address(address_rx.latest()),
            Some(event) = event_rx.recv() => {
                let Some(list) = follower.handle(event) else { continue };
                if core.send(Input::EndpointList(list)).await.is_err() {
                    return;
                }
            }
            () = sleep_until(wake_at) => {}
        }
    }
}

/// The requests to discovery that are in progress.
struct Follower<H: Host> {
    host: H,
    address: SocketAddr,
    plan: RequestPlan,
    tasks: HashMap<RequestId, RequestTask>,
    /// The connections of earlier requests, for the next ones; the last one was used last.
    idle_connections: Vec<Connection<H>>,
    /// Whether a failure has been reported, and no success since.
    is_failing: bool,
    max_list_bytes: usize,
    /// Taken by the list that may use all of `max_list_bytes`.
    large_list: Arc<Semaphore>,
    events: mpsc::UnboundedSender<Event<H>>,
}

/// The task of one request. Dropping it closes the request's connection.
struct RequestTask(JoinHandle<()>);

impl Drop for RequestTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl<H: Host> Follower<H> {
    /// Does what the plan says.
    fn act(&mut self) {
        let now = Instant::now();
        let mut actions = Vec::new();
        self.plan.poll(now, &mut actions);
        for action in actions {
            match action {
                Action::Send(request) => self.send(request),
                Action::Abandon(id) => drop(self.tasks.remove(&id)),
            }
        }
        if self.plan.is_silent(now) {
            self.report_failure(&RequestError::TimedOut);
        }
    }

    fn send(&mut self, request: Request) {
        let exchange = Exchange {
            host: self.host.clone(),
            address: self.address,
            idle_connection: self.idle_connections.pop(),
            max_list_bytes: self.max_list_bytes,
            large_list: self.large_list.clone(),
            events: self.events.clone(),
        };
        self.tasks.insert(request.id, RequestTask(spawn_local(exchange.run(request))));
    }

    /// Returns the list that the core is to apply, if the event brings one.
    fn handle(&mut self, event: Event<H>) -> Option<EndpointList> {
        let now = Instant::now();
        match event {
            Event::Progressed(id) => {
                self.plan.progressed(now, id);
                None
            }
            Event::Finished(id, result) => {
                // An abandoned request may have finished just before.
                self.tasks.remove(&id)?;
                match *result {
                    Ok(answer) => self.handle_answer(now, id, answer),
                    Err(error) => {
                        self.report_failure(&error);
                        self.plan.failed(now, id, error.failure());
                        None
                    }
                }
            }
        }
    }

    fn handle_answer(&mut self, now: Instant, id: RequestId, answer: Answer<H>) -> Option<EndpointList> {
        let list_use = self.plan.answered(now, id, answer.summary());
        let generation = answer.list.generation;
        match list_use {
            ListUse::IgnoreCopy => {
                tracing::info!(generation, "ignoring what may be a copied answer of discovery");
                return None;
            }
            ListUse::Apply | ListUse::Skip => self.keep_idle(answer.connection),
            ListUse::SkipAndClose => {}
        }
        if std::mem::take(&mut self.is_failing) {
            let late_ms = self.plan.answer_delay().as_millis();
            tracing::info!(late_ms, "discovery answers again");
        }
        (list_use == ListUse::Apply).then_some(answer.list)
    }

    fn keep_idle(&mut self, connection: Connection<H>) {
        if self.idle_connections.len() >= MAX_IDLE_CONNECTIONS {
            self.idle_connections.remove(0);
        }
        self.idle_connections.push(connection);
    }

    fn report_failure(&mut self, error: &RequestError) {
        if !std::mem::replace(&mut self.is_failing, true) {
            tracing::warn!(%error, "discovery fails; going on with the list held");
        }
    }

    fn change_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.idle_connections.clear();
        self.tasks.clear();
        self.plan.discovery_changed(Instant::now());
    }
}

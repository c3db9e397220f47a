//! Follows the list of endpoints at discovery: requests a full list first, then the changes by a watch (long
//! poll) that is repeated as soon as it is answered. `schedule` decides how long to pause after a failure.
mod schedule;
mod transfer;

use crate::connections::{self, Connection};
use crate::inbox::Input;
use crate::list::{EndpointList, ListError, ListReader};
use crate::watch;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use nickelshed_host::Host;
use schedule::Failure;
pub use schedule::RequestSchedule;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout_at, Instant};
use transfer::TransferDeadline;

/// The longest time for which discovery may delay the start.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(300);
/// Discovery answers within this time if it already has what is asked for.
const IMMEDIATE_ANSWER_TIME: Duration = Duration::from_millis(50);
/// The memory limit of the process divided by this is what the entries of one list may use while they are read.
const LIST_MEMORY_DIVISOR: f64 = 8.0;

/// Why a request to discovery did not return a list.
#[derive(Debug)]
enum RequestError {
    Status(u16),
    InvalidList(ListError),
    Unreachable(String),
    TimedOut,
}

impl std::fmt::Display for RequestError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RequestError::Status(status) => write!(f, "answered with status {status}"),
            RequestError::InvalidList(error) => write!(f, "the answer is not a valid list: {error}"),
            RequestError::Unreachable(error) => f.write_str(error),
            RequestError::TimedOut => f.write_str("no answer in time"),
        }
    }
}

impl RequestError {
    fn failure(&self) -> Failure {
        match self {
            RequestError::Status(_) => Failure::Rejected,
            RequestError::InvalidList(ListError::TooLarge(_)) => Failure::ListTooLarge,
            RequestError::InvalidList(_) | RequestError::Unreachable(_) | RequestError::TimedOut => {
                Failure::Unavailable
            }
        }
    }
}

/// Whether a list may be a copy of an earlier answer on its connection, which was of the requested generation or
/// an older one. The real answer of the requested generation comes only at the end of the wait, and has no
/// changes or is a full list.
fn may_be_copy(requested: u64, list: &EndpointList, elapsed: Duration, watch_wait: Duration) -> bool {
    let is_early = elapsed < watch_wait / 2;
    let is_unchanged = !list.reset && list.instances.is_empty();
    list.generation < requested || (list.generation == requested && is_early && !is_unchanged)
}

/// Requests a list, on the previous connection if there is one. Also returns whether that was used. The head of
/// the answer must come before `head_deadline`; the body may take longer while it makes progress.
async fn request_list<H: Host>(
    idle_connection: &mut Option<Connection<H>>,
    host: &H,
    address: SocketAddr,
    path: &str,
    head_deadline: Instant,
    max_list_bytes: usize,
) -> Result<(EndpointList, bool), RequestError> {
    let dial_timeout = Duration::from_secs(1);
    let unreachable = |fault: connections::Fault| RequestError::Unreachable(fault.to_string());
    let answer_head = async {
        // A watch goes on only if the next one follows at once; `may_be_copy` guards it instead of a rest.
        let opened =
            Connection::reuse_or_open(idle_connection, host, address, dial_timeout, Duration::ZERO).await;
        let mut connection = opened.map_err(|e| RequestError::Unreachable(e.to_string()))?;
        let is_reused = connection.idle_time().is_some();
        let request = connections::request("GET", path, address, &[], Default::default());
        let (head, body) = connection.send_and_read_head(request).await.map_err(unreachable)?;
        Ok((connection, is_reused, head, body))
    };
    let (mut connection, is_reused, head, body) =
        timeout_at(head_deadline, answer_head).await.unwrap_or(Err(RequestError::TimedOut))?;
    let status = head.status.as_u16();
    tracing::debug!(path, status, headers = ?head.headers, "discovery answered");
    if status != 200 {
        return Err(RequestError::Status(status));
    }
    let list = read_list(body, TransferDeadline::new(head_deadline, Instant::now()), max_list_bytes).await?;
    connection.finish_exchange().await;
    *idle_connection = Some(connection);
    Ok((list, is_reused))
}

/// Reads the list in the body of an answer.
async fn read_list(
    mut body: Incoming,
    mut transfer: TransferDeadline,
    max_list_bytes: usize,
) -> Result<EndpointList, RequestError> {
    let mut reader = ListReader::new(max_list_bytes);
    loop {
        let frame = timeout_at(transfer.deadline(), body.frame()).await;
        let Some(frame) = frame.map_err(|_| RequestError::TimedOut)? else { break };
        let frame = frame.map_err(|e| RequestError::Unreachable(e.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        transfer.received(Instant::now(), data.len());
        reader.push(&data).map_err(RequestError::InvalidList)?;
    }
    reader.finish().map_err(RequestError::InvalidList)
}

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

/// Polls discovery; returns only when the core has ended. While discovery fails, the sender keeps using its
/// last list. When the address of discovery changes, the request to the old address is abandoned at once and
/// the new one is first asked for a full list.
pub async fn follow<H: Host>(
    host: H,
    mut address_rx: watch::Receiver<SocketAddr>,
    cached_list: Option<CachedList>,
    mut schedule: RequestSchedule,
    memory_mb: f64,
    core: mpsc::Sender<Input>,
) {
    let max_list_bytes = (memory_mb * 1e6 / LIST_MEMORY_DIVISOR) as usize;
    let mut connection = None;
    let mut generation = cached_list.as_ref().map(|cached_list| cached_list.generation);
    let mut is_failing = false;
    let mut next_pause = cached_list.map_or(Duration::ZERO, |cached_list| cached_list.poll_after);
    loop {
        let pause = std::mem::take(&mut next_pause);
        if !pause.is_zero() {
            tokio::select! {
                biased;
                // The pause was due to the old address, so the new one is asked at once.
                Ok(()) = address_rx.changed() => (connection, generation) = (None, None),
                () = sleep(pause) => {}
            }
        }
        let address = address_rx.latest();
        let is_watch = generation.is_some();
        let watch_wait = if is_watch { schedule.watch_wait() } else { Duration::ZERO };
        let path = generation.map_or("/v1/servers".to_string(), |generation| {
            format!("/v1/servers?index={generation}&wait={}", watch_wait.as_millis())
        });
        let started_at = Instant::now();
        let head_deadline = started_at + schedule.answer_timeout(is_watch) + watch_wait;
        let result = tokio::select! {
            biased;
            Ok(()) = address_rx.changed() => None,
            result = request_list(
                &mut connection, &host, address, &path, head_deadline, max_list_bytes,
            ) => Some(result),
        };
        match result {
            None => (connection, generation) = (None, None),
            Some(Ok((list, true)))
                if generation.is_some_and(|g| may_be_copy(g, &list, started_at.elapsed(), watch_wait)) =>
            {
                // Asked again at once, on a new connection.
                tracing::info!(
                    list.generation,
                    ?generation,
                    "ignoring what may be a copied answer of discovery"
                );
                connection = None;
            }
            Some(Ok((list, _))) => {
                if std::mem::take(&mut is_failing) {
                    tracing::info!("discovery answers again");
                }
                schedule.succeeded();
                // Changes can only be applied to a known list, so the first answer must be a full one.
                if list.reset || generation.is_some() {
                    let is_unchanged =
                        !list.reset && list.instances.is_empty() && generation == Some(list.generation);
                    if is_unchanged && started_at.elapsed() < watch_wait / 2 {
                        next_pause = schedule.premature_return();
                        // It may be a copy, and the real answer still to come on this connection.
                        connection = None;
                    }
                    generation = Some(list.generation);
                    let has_changes = list.reset || !list.instances.is_empty();
                    if has_changes && core.send(Input::EndpointList(list)).await.is_err() {
                        return;
                    }
                } else {
                    next_pause = schedule.failed(Failure::Unavailable);
                }
            }
            Some(Err(error)) => {
                if !std::mem::replace(&mut is_failing, true) {
                    tracing::warn!(%error, "discovery fails; going on with the list held");
                }
                // A watch that timed out is treated differently from a rejected request.
                let watch_timed_out = is_watch && matches!(error, RequestError::TimedOut);
                next_pause =
                    if watch_timed_out { schedule.watch_lost() } else { schedule.failed(error.failure()) };
            }
        }
    }
}

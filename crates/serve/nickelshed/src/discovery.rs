//! Follows the list of endpoints at discovery: a full list first, then a watch (long poll) that is repeated
//! as soon as it is answered. `schedule` decides how long to pause after a failure.
mod schedule;

use crate::connections::{self, Connection};
use crate::inbox::Input;
use crate::list::List;
use crate::watch;
use nickelshed_host::Host;
pub use schedule::Asking;
use schedule::Failure;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

/// The longest time for which discovery may delay the start.
const LONGEST_START: Duration = Duration::from_millis(300);
/// Discovery answers within this time if it already has what is asked for.
const AT_ONCE: Duration = Duration::from_millis(50);
const MAX_LIST: usize = 1 << 20;

/// Why a request to discovery did not return a list.
#[derive(Debug)]
enum AskError {
    Status(u16),
    NotAList(serde_json::Error),
    Unreached(String),
    Silent,
}

impl std::fmt::Display for AskError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            AskError::Status(status) => write!(f, "answered with status {status}"),
            AskError::NotAList(error) => write!(f, "the answer is not a valid list: {error}"),
            AskError::Unreached(error) => f.write_str(error),
            AskError::Silent => f.write_str("no answer in time"),
        }
    }
}

impl AskError {
    fn failure(&self) -> Failure {
        match self {
            AskError::Status(_) => Failure::TurnedAway,
            AskError::NotAList(_) | AskError::Unreached(_) | AskError::Silent => Failure::Unreached,
        }
    }
}

async fn get<H: Host>(
    connection: &mut Option<Connection<H>>,
    host: &H,
    at: SocketAddr,
    path: &str,
) -> Result<List, AskError> {
    let kept = Connection::kept_or_new(connection, host, at, Duration::from_secs(1)).await;
    let mut link = kept.map_err(|e| AskError::Unreached(e.to_string()))?;
    let request = connections::request("GET", path, at, &[], Default::default());
    let (status, headers, body) =
        link.exchange(request, MAX_LIST).await.map_err(|e| AskError::Unreached(e.to_string()))?;
    tracing::debug!(path, status, ?headers, bytes = body.len(), "discovery answered");
    if status != 200 {
        return Err(AskError::Status(status));
    }
    let list = serde_json::from_slice(&body).map_err(AskError::NotAList)?;
    *connection = Some(link);
    Ok(list)
}

/// The generation of the list that the sender has at startup, and when changes since then are first asked
/// for.
pub struct Held {
    pub generation: u64,
    pub ask_after: Duration,
}

/// How long the start waits for an update of the cached list, which discovery sends at once if there is one,
/// or for the first list if none is cached. Zero if the update would arrive too late to wait for.
pub fn news_within(held: Option<&Held>) -> Duration {
    let wait = held.map_or(LONGEST_START, |held| held.ask_after + AT_ONCE);
    if wait > LONGEST_START {
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
    mut place: watch::Listener<SocketAddr>,
    held: Option<Held>,
    mut asking: Asking,
    core: mpsc::Sender<Input>,
) {
    let mut connection = None;
    let mut known = held.as_ref().map(|held| held.generation);
    let mut failing = false;
    let mut left_alone = held.map_or(Duration::ZERO, |held| held.ask_after);
    loop {
        let pause = std::mem::take(&mut left_alone);
        if !pause.is_zero() {
            tokio::select! {
                biased;
                // The pause was due to the old address, so the new one is asked at once.
                Ok(()) = place.changed() => (connection, known) = (None, None),
                () = sleep(pause) => {}
            }
        }
        let at = place.latest();
        let watch = known.is_some();
        let wait = if watch { asking.wait() } else { Duration::ZERO };
        let path = known.map_or("/v1/servers".to_string(), |generation| {
            format!("/v1/servers?index={generation}&wait={}", wait.as_millis())
        });
        let allowed = asking.grace(watch) + wait;
        let mut silent = false;
        let began = Instant::now();
        let asked = tokio::select! {
            biased;
            Ok(()) = place.changed() => None,
            asked = timeout(allowed, get(&mut connection, &host, at, &path)) => {
                // A watch that timed out is treated differently from a rejected request.
                silent = watch && asked.is_err();
                Some(asked.unwrap_or(Err(AskError::Silent)))
            }
        };
        match asked {
            None => (connection, known) = (None, None),
            Some(Ok(list)) => {
                if std::mem::take(&mut failing) {
                    tracing::info!("discovery answers again");
                }
                asking.answered();
                // Changes apply to a list that is known, so the first answer must be a full list.
                if list.reset || known.is_some() {
                    let nothing = !list.reset && list.instances.is_empty() && known == Some(list.generation);
                    if nothing && began.elapsed() < wait / 2 {
                        left_alone = asking.early();
                    }
                    known = Some(list.generation);
                    let news = list.reset || !list.instances.is_empty();
                    if news && core.send(Input::List(list)).await.is_err() {
                        return;
                    }
                } else {
                    left_alone = asking.failed(Failure::Unreached);
                }
            }
            Some(Err(error)) => {
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!(%error, "discovery fails; going on with the list held");
                }
                left_alone = if silent { asking.lost() } else { asking.failed(error.failure()) };
            }
        }
    }
}

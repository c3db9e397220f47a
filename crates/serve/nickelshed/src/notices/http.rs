//! A sink that posts notices over HTTP, to the platform or to a receiver of the operator's.
use super::{Notice, Take};
use crate::connections::{self, Connection};
use crate::watch;
use nickelshed_host::Host;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

const MAX_BODY: usize = 60 << 10;
const PATIENCE: Duration = Duration::from_secs(1);
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Where notices are posted, and which answers accept them.
pub struct Receiver {
    pub place: watch::Listener<SocketAddr>,
    pub path: String,
    /// Whether an answer with this status means that the receiver has the notices.
    pub takes: fn(u16) -> bool,
}

async fn post<H: Host>(
    connection: &mut Option<Connection<H>>,
    host: &H,
    at: SocketAddr,
    path: &str,
    body: String,
) -> Result<u16, String> {
    let kept = Connection::kept_or_new(connection, host, at, PATIENCE).await;
    let mut link = kept.map_err(|e| e.to_string())?;
    let request = connections::request("POST", path, at, &[], body.into());
    let (status, ..) = link.exchange(request, MAX_BODY).await.map_err(|e| e.to_string())?;
    *connection = Some(link);
    Ok(status)
}

/// Posts all queued notices in one request, and retries until they are accepted. The journal limits how many
/// notices can be pending, and so the length of the queue. Returns when the queue is closed or the dispatcher
/// has ended.
pub async fn run<H: Host>(
    host: H,
    receiver: Receiver,
    mut queue: mpsc::UnboundedReceiver<Notice>,
    take: Take,
) {
    let Receiver { mut place, path, takes } = receiver;
    let mut connection = None;
    let mut waiting: Vec<Notice> = Vec::new();
    let mut pause = FIRST_PAUSE;
    // After a 400 the same notices are sent one at a time, so that one which the receiver cannot read does
    // not block the others.
    let mut single: usize = 0;
    loop {
        if waiting.is_empty() {
            match queue.recv().await {
                Some(notice) => waiting.push(notice),
                None => return,
            }
        }
        while let Ok(notice) = queue.try_recv() {
            waiting.push(notice);
        }
        let mut body = String::new();
        let mut count = 0;
        for notice in &waiting {
            let line = take.line(notice);
            if count > 0 && (body.len() + line.len() > MAX_BODY || single > 0) {
                break;
            }
            body.push_str(&line);
            count += 1;
        }
        let at = place.latest();
        let result = tokio::select! {
            biased;
            // Notices that the old address has not acknowledged go to the new one at once; a duplicate notice
            // does no harm.
            Ok(()) = place.changed() => {
                connection = None;
                continue;
            }
            result = timeout(PATIENCE, post(&mut connection, &host, at, &path, body)) => result,
        };
        match result.unwrap_or(Err("no answer in time".into())) {
            Ok(400) if count > 1 => single = count,
            Ok(status) if status == 400 || takes(status) => {
                if status == 400 {
                    tracing::error!(message = %waiting[0].trace, "dropping a notice that its receiver cannot read");
                }
                single = single.saturating_sub(count);
                pause = FIRST_PAUSE;
                let done = waiting.drain(..count).map(|n| n.id).collect();
                if !take.taken(done).await {
                    return;
                }
            }
            other => {
                tracing::warn!(?other, "cannot deliver notices; trying again");
                tokio::select! {
                    biased;
                    Ok(()) = place.changed() => connection = None,
                    () = sleep(pause) => pause = (2 * pause).min(LONGEST_PAUSE),
                }
            }
        }
    }
}

//! Notices over HTTP: to the platform, or where an operator wants them.
use super::{Notice, Take};
use crate::connections::{self, Connection};
use crate::watched;
use nickelshed_host::Host;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

const MAX_BODY: usize = 60 << 10;
const PATIENCE: Duration = Duration::from_secs(1);
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Where notices are posted, and who that is.
pub struct Receiver {
    pub place: watched::Listener<SocketAddr>,
    pub path: String,
    /// Whether an answer takes the notices over.
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

/// Sends what comes, all that waits in one request, and again until it is taken. The queue holds no more than the
/// journal does, which bounds it. Ends with its queue, or once `take` is false.
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
    // After a 400 one at a time, so that one notice the platform can't read does not hold up the others.
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
            // What the old address has not answered goes to the new one at once; a second notice does no harm.
            Ok(()) = place.changed() => {
                connection = None;
                continue;
            }
            result = timeout(PATIENCE, post(&mut connection, &host, at, &path, body)) => result,
        };
        match result.unwrap_or(Err("is silent".into())) {
            Ok(400) if count > 1 => single = count,
            Ok(status) if status == 400 || takes(status) => {
                if status == 400 {
                    tracing::error!(message = %waiting[0].trace, "a notice can't be read where it is told");
                }
                single = single.saturating_sub(count);
                pause = FIRST_PAUSE;
                let done = waiting.drain(..count).map(|n| n.id).collect();
                if !take.taken(done).await {
                    return;
                }
            }
            other => {
                tracing::warn!(?other, "notices don't get through");
                tokio::select! {
                    biased;
                    Ok(()) = place.changed() => connection = None,
                    () = sleep(pause) => pause = (2 * pause).min(LONGEST_PAUSE),
                }
            }
        }
    }
}

//! A sink that posts notices over HTTP, to the platform or to a receiver of the operator's.
use super::{Notice, SinkHandle};
use crate::answer_delay::AnswerDelay;
use crate::connections::{self, Connection};
use crate::pool::SETTLE_TIME;
use crate::watch;
use nickelshed_host::Host;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

/// Limit of the bytes in one request, unless a single notice is longer, and in its answer.
const MAX_BODY_BYTES: usize = 60 << 10;
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// An answer is awaited for twice as long as the last ones took, within these bounds.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Where notices are posted, and which answers accept them.
pub struct HttpTarget {
    pub address_rx: watch::Receiver<SocketAddr>,
    pub path: String,
    /// Whether an answer with this status means that the receiver has the notices.
    pub accepts: fn(u16) -> bool,
}

/// The connection of the last exchange with a receiver, and how long its answers take.
struct Poster<H: Host> {
    host: H,
    idle_connection: Option<Connection<H>>,
    answer_delay: AnswerDelay,
}

impl<H: Host> Poster<H> {
    /// Posts a body and returns the status of the answer. A receiver that is merely slow gets its next request
    /// only after a longer wait; otherwise none of its answers would ever be read.
    async fn post(&mut self, address: SocketAddr, path: &str, body: String) -> Result<u16, String> {
        let idle_connection = &mut self.idle_connection;
        let opened =
            Connection::reuse_or_open(idle_connection, &self.host, address, DIAL_TIMEOUT, SETTLE_TIME).await;
        let mut connection = opened.map_err(|e| e.to_string())?;
        let request = connections::request("POST", path, address, &[], body.into());
        let limit = (self.answer_delay.estimate() * 2).clamp(MIN_ANSWER_TIMEOUT, MAX_ANSWER_TIMEOUT);
        let started_at = Instant::now();
        let Ok(result) = timeout(limit, connection.exchange(request, MAX_BODY_BYTES)).await else {
            self.answer_delay.at_least(limit);
            return Err(format!("no answer within {} ms", limit.as_millis()));
        };
        let (status, ..) = result.map_err(|e| e.to_string())?;
        self.answer_delay.measured(started_at.elapsed());
        self.idle_connection = Some(connection);
        Ok(status)
    }

    /// Forgets what it knows of the receiver, because its address has changed.
    fn forget_receiver(&mut self) {
        self.idle_connection = None;
        self.answer_delay = AnswerDelay::default();
    }
}

/// Posts all queued notices in one request, and retries until they are accepted. The journal limits how many
/// notices can be pending, and so the length of the queue. Returns when the queue is closed or the dispatcher
/// has ended.
pub async fn run<H: Host>(
    host: H,
    target: HttpTarget,
    mut queue: mpsc::UnboundedReceiver<Notice>,
    handle: SinkHandle,
) {
    let HttpTarget { mut address_rx, path, accepts } = target;
    let mut poster = Poster { host, idle_connection: None, answer_delay: AnswerDelay::default() };
    let mut pending: Vec<Notice> = Vec::new();
    let mut retry_delay = MIN_RETRY_DELAY;
    // After a 400 the same notices are sent one at a time, so that one which the receiver cannot read does
    // not block the others.
    let mut singles_left: usize = 0;
    loop {
        if pending.is_empty() {
            match queue.recv().await {
                Some(notice) => pending.push(notice),
                None => return,
            }
        }
        while let Ok(notice) = queue.try_recv() {
            pending.push(notice);
        }
        let mut body = String::new();
        let mut count = 0;
        for notice in &pending {
            let line = handle.line(notice);
            if count > 0 && (body.len() + line.len() > MAX_BODY_BYTES || singles_left > 0) {
                break;
            }
            body.push_str(&line);
            count += 1;
        }
        let address = address_rx.latest();
        let result = tokio::select! {
            biased;
            // Notices that the old address has not acknowledged go to the new one at once; a duplicate notice
            // does no harm.
            Ok(()) = address_rx.changed() => None,
            result = poster.post(address, &path, body) => Some(result),
        };
        let Some(result) = result else {
            poster.forget_receiver();
            continue;
        };
        match result {
            Ok(400) if count > 1 => singles_left = count,
            Ok(status) if status == 400 || accepts(status) => {
                if status == 400 {
                    tracing::error!(
                        message = %pending[0].trace, "dropping a notice that its receiver cannot read"
                    );
                }
                singles_left = singles_left.saturating_sub(count);
                retry_delay = MIN_RETRY_DELAY;
                let delivered = pending.drain(..count).map(|n| n.id).collect();
                if !handle.acknowledge(delivered).await {
                    return;
                }
            }
            other => {
                tracing::warn!(?other, "cannot deliver notices; trying again");
                tokio::select! {
                    biased;
                    Ok(()) = address_rx.changed() => poster.forget_receiver(),
                    () = sleep(retry_delay) => retry_delay = (2 * retry_delay).min(MAX_RETRY_DELAY),
                }
            }
        }
    }
}

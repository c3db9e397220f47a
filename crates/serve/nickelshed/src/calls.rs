//! Calls to endpoints: the checks before a request is written, and how each message of a call ended.
mod answer;
mod unanswered;

use crate::answer_head::{bytes_behind_answer, final_head, outcome_of_status, received_status};
use crate::connections::{request, CloseReason, Connection, Fault};
use crate::inbox::Input;
use crate::pool::Pool;
use crate::provisional::AttemptId;
use crate::socket::{Socket, ARRIVED_DATA_TIMEOUT};
use crate::stall_detector::StallDetector;
use answer::{attempt_ends, load_report, retry_after, Answer};
use base64::Engine;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HeaderMap, CONNECTION};
use hyper::Request;
use nickelshed_host::{Host, Stream};
use nickelshed_journal::{AcceptedMessage, MAX_BODY_BYTES};
use nickelshed_policy::api::{AttemptEnd, EndpointId, Ns, Outcome, Report};
use serde_json::{json, Value};
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, sleep_until, timeout, Instant};
use unanswered::UnansweredCall;

/// Time limit for the head of an answer, counted from its first byte. Some endpoints never finish an answer,
/// and without a limit such a call would hold its slot until the messages expire.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for the body of a batch answer, for the same reason. It is the only body that must be read to
/// the end to know the outcome.
const BATCH_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Shared by the core and one call: cancels the whole call when the policy cancels an attempt in it.
#[derive(Default)]
pub struct CancelToken {
    is_cancelled: Cell<bool>,
    notify: Notify,
}

impl CancelToken {
    pub fn cancel(&self) {
        self.is_cancelled.set(true);
        self.notify.notify_one();
    }
    async fn cancelled(&self) {
        while !self.is_cancelled.get() {
            self.notify.notified().await;
        }
    }
}

/// One message in a call.
pub struct CallEntry {
    pub attempt: u32,
    pub message: Rc<AcceptedMessage>,
    /// When the message expires.
    pub deadline: Instant,
    /// When this attempt times out; not later than `deadline`.
    pub attempt_deadline: Instant,
    /// The first byte of the request must be written before this time.
    pub send_by: Instant,
}

/// How a wait before the request of a call ended.
enum Waited<T> {
    Done(T),
    Cancelled,
    /// No message is left in the call.
    AllExpired,
}

/// Makes the calls and probes that the policy decides on, and reports their results to the core.
pub struct CallExecutor<H: Host> {
    pub core: mpsc::Sender<Input>,
    pub pool: Rc<Pool<H>>,
    pub stall_detector: Rc<StallDetector<H>>,
}

impl<H: Host> CallExecutor<H> {
    /// Makes one call of the policy and reports to the core how each of its messages ended.
    pub async fn call(
        self: Rc<Self>,
        endpoint: EndpointId,
        entries: Vec<CallEntry>,
        cancel: Rc<CancelToken>,
    ) {
        let started_at = Instant::now();
        // A batch may be larger than one request body can be; it is then split, and the chunks are sent one
        // after the other.
        let mut pending: VecDeque<Vec<CallEntry>> = split_by_size(entries).into();
        while let Some(chunk) = pending.pop_front() {
            let mut exchange = pin!(self.exchange(endpoint, chunk, &cancel, started_at));
            loop {
                let earliest = pending.iter().flatten().map(|entry| entry.deadline).min();
                tokio::select! {
                    biased;
                    () = &mut exchange => break,
                    () = sleep_until(earliest.unwrap_or(started_at)), if earliest.is_some() => {}
                }
                // The current chunk may take longer than the messages in the next ones have left, so expired
                // ones are reported on time.
                let expired: Vec<_> =
                    pending.iter_mut().flat_map(|chunk| take_expired(chunk, None)).collect();
                pending.retain(|chunk| !chunk.is_empty());
                self.report(
                    expired
                        .iter()
                        .map(|entry| attempt_end(entry, endpoint, Outcome::NotSent, started_at))
                        .collect(),
                )
                .await;
            }
        }
    }

    /// Sends one request with these messages and reports how each of them ended.
    async fn exchange(
        &self,
        endpoint: EndpointId,
        mut entries: Vec<CallEntry>,
        cancel: &CancelToken,
        started_at: Instant,
    ) {
        let attempt_end_of =
            |outcome| move |entry: &CallEntry| attempt_end(entry, endpoint, outcome, started_at);
        // The message with the latest deadline comes first in the request, so that the first message in it
        // never leaves the call before the others. When it did, the platform was observed to ignore what the
        // answer said about the others.
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.deadline));
        // An attempt that times out while its message may still be retried must not stay open on the
        // connection, or the retry would be a second copy of the message. The whole call is closed at that
        // time. A message that expires can leave the call by itself, because it is not retried.
        let earliest_retry = entries
            .iter()
            .filter(|entry| entry.attempt_deadline < entry.deadline)
            .map(|entry| entry.attempt_deadline)
            .min();
        let close_at =
            earliest_retry.or(entries.iter().map(|entry| entry.deadline).max()).unwrap_or(started_at);
        if !self.wait_for_verdicts(endpoint, &mut entries, cancel, close_at).await {
            return;
        }
        let (mut connection, answer) = loop {
            let connecting = self.pool.connect(endpoint);
            let expired_end = attempt_end_of(Outcome::NoConnection);
            let connected =
                match self.wait_unexpired(connecting, &mut entries, cancel, close_at, expired_end).await {
                    Waited::Done(connected) => connected,
                    Waited::Cancelled => Err(Outcome::NotSent),
                    Waited::AllExpired => return,
                };
            let mut connection = match connected {
                Ok(connection) => connection,
                Err(outcome) => {
                    return self.report(entries.iter().map(attempt_end_of(outcome)).collect()).await
                }
            };
            // While the connection was made or the process was stalled, a drain or a retry-after may have
            // arrived, the address may belong to another endpoint or the endpoint to another destination now, or
            // the time until which a message may be sent may have passed.
            self.stall_detector.caught_up().await;
            let now = Instant::now();
            let may_write = self.pool.may_write(endpoint, connection.address);
            let (sendable, unsendable): (Vec<_>, Vec<_>) = entries.into_iter().partition(|entry| {
                let is_in_time = now < entry.send_by && now < entry.deadline.min(close_at);
                may_write && is_in_time && self.pool.serves(endpoint, entry.message.dest)
            });
            entries = sendable;
            self.report(unsendable.iter().map(attempt_end_of(Outcome::NotSent)).collect()).await;
            if entries.is_empty() {
                return self.pool.release(endpoint, connection);
            }
            let request = build_request(&entries, connection.address, close_at - now);
            let is_batch = entries.len() > 1;
            let idle = connection.idle_time();
            tracing::debug!(
                endpoint, connection = connection.number, ?idle, messages = ?trace_ids(&entries), "calling"
            );
            let answer = {
                // Dropped before the connection is closed, since the socket closes with its last owner.
                let socket = connection.socket.clone();
                let mut answer = pin!(self.send_and_read(&mut connection, request, endpoint, is_batch));
                loop {
                    let is_cancelled = tokio::select! {
                        biased;
                        answer = &mut answer => break Ok(answer),
                        () = cancel.cancelled() => true,
                        () = sleep_until(next_deadline(&entries, close_at)) => false,
                    };
                    if socket.has_unread_data() {
                        if let Ok(answer) = timeout(ARRIVED_DATA_TIMEOUT, &mut answer).await {
                            break Ok(answer);
                        }
                    }
                    if is_cancelled {
                        let unfinished = std::mem::take(&mut entries);
                        break Err((unfinished, Outcome::CalledOff, CloseReason::Cancelled));
                    }
                    let expired = take_expired(&mut entries, Some(close_at));
                    if entries.is_empty() {
                        break Err((expired, Outcome::NoAnswer, CloseReason::TimedOut));
                    }
                    self.report(expired.iter().map(attempt_end_of(Outcome::NoAnswer)).collect()).await;
                }
            };
            let unanswered = match answer {
                Ok(Ok(answer)) => break (connection, answer),
                // The reused connection was already closed and nothing was written, so the request can be
                // sent on another one.
                Ok(Err(Fault::ClosedBeforeWrite)) => {
                    self.pool.discard(endpoint, connection, CloseReason::Idle);
                    continue;
                }
                Ok(Err(fault)) => {
                    tracing::info!(
                        endpoint, connection = connection.number, %fault, ?idle,
                        messages = ?trace_ids(&entries), "no readable answer"
                    );
                    UnansweredCall {
                        entries,
                        outcome: fault.outcome(),
                        reason: CloseReason::Faulted,
                        is_batch,
                        idle,
                    }
                }
                Err((entries, outcome, reason)) => {
                    UnansweredCall { entries, outcome, reason, is_batch, idle: None }
                }
            };
            return self.end_unanswered(endpoint, connection, unanswered, started_at).await;
        };
        let ends = attempt_ends(&entries, &answer, endpoint, started_at);
        tracing::debug!(
            endpoint, connection = connection.number, status = answer.status,
            messages = ?trace_ids(&entries), "answered"
        );
        let was_reused = connection.answer_count() > 1;
        self.pool.record_call(endpoint, connection.written_at.elapsed());
        let closes_connection =
            answer.headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        let is_mismatch = answer.leaves_out_messages(&entries);
        let is_drained = connection.drain_answer(answer.remaining).await;
        if is_mismatch {
            tracing::info!(
                endpoint, connection = connection.number, messages = ?trace_ids(&entries),
                "the answer to a batch does not name all of its messages"
            );
            self.pool.close(endpoint, connection, CloseReason::AnswerMismatch).await;
        } else if connection.has_unsolicited_data() {
            // Two answers at once. On a reused connection either may be that to an earlier request.
            if was_reused {
                self.report_provisional(&mut connection, ends).await;
                return self.pool.close(endpoint, connection, CloseReason::AnswerMismatch).await;
            }
            self.pool.close(endpoint, connection, CloseReason::AnswerMismatch).await;
        } else if !is_drained {
            self.pool.close(endpoint, connection, CloseReason::AnswerIncomplete).await;
        } else if closes_connection {
            self.pool.close(endpoint, connection, CloseReason::RequestedByPeer).await;
        } else {
            if was_reused {
                self.report_provisional(&mut connection, ends).await;
            } else {
                self.report(ends).await;
            }
            return self.pool.release(endpoint, connection);
        }
        self.report(ends).await;
    }

    /// Waits until no message of the call has a provisional answer to an earlier attempt. Messages whose answer
    /// is not confirmed leave the call, because the core has to decide on them anew. Returns whether any
    /// message is left.
    async fn wait_for_verdicts(
        &self,
        endpoint: EndpointId,
        entries: &mut Vec<CallEntry>,
        cancel: &CancelToken,
        close_at: Instant,
    ) -> bool {
        let started_at = Instant::now();
        let not_sent = |entry: &CallEntry| attempt_end(entry, endpoint, Outcome::NotSent, started_at);
        let ledger = &self.pool.ledger;
        let messages: Vec<u64> = entries.iter().map(|entry| entry.message.id).collect();
        match self.wait_unexpired(ledger.all_resolved(&messages), entries, cancel, close_at, not_sent).await {
            Waited::Done(()) => {
                let unconfirmed: Vec<CallEntry> =
                    entries.extract_if(.., |entry| ledger.unconfirmed(entry.message.id).is_some()).collect();
                self.report(unconfirmed.iter().map(not_sent).collect()).await;
            }
            Waited::Cancelled => {
                let cancelled = std::mem::take(entries);
                self.report(cancelled.iter().map(not_sent).collect()).await;
            }
            Waited::AllExpired => {}
        }
        !entries.is_empty()
    }

    /// Waits for `future`. Meanwhile the messages that expire leave the call and are reported by `expired_end`,
    /// because the wait may be longer than a message has left.
    async fn wait_unexpired<T>(
        &self,
        future: impl Future<Output = T>,
        entries: &mut Vec<CallEntry>,
        cancel: &CancelToken,
        close_at: Instant,
        expired_end: impl Fn(&CallEntry) -> AttemptEnd,
    ) -> Waited<T> {
        let mut future = pin!(future);
        loop {
            tokio::select! {
                biased;
                () = cancel.cancelled() => return Waited::Cancelled,
                result = &mut future => return Waited::Done(result),
                () = sleep_until(next_deadline(entries, close_at)) => {}
            }
            let expired = take_expired(entries, Some(close_at));
            self.report(expired.iter().map(&expired_end).collect()).await;
            if entries.is_empty() {
                return Waited::AllExpired;
            }
        }
    }

    /// Writes a request and reads its answer as far as the outcome needs: the head, and the body of a batch
    /// answer.
    async fn send_and_read(
        &self,
        connection: &mut Connection<H>,
        request: Request<Full<Bytes>>,
        endpoint: EndpointId,
        is_batch: bool,
    ) -> Result<Answer, Fault> {
        let socket = connection.socket.clone();
        let (head, body) = tokio::select! {
            biased;
            answer = connection.send(request) => answer?.into_parts(),
            () = head_overdue(&socket) => {
                return Err(Fault::Interrupted("the response head did not end in time".into()))
            }
        };
        // Recorded before the body is read, because calls to other endpoints of the destination may be about
        // to be written.
        if let Some(wait) = retry_after(&head.headers) {
            self.pool.apply_retry_after(endpoint, wait);
        }
        let (status, headers) = (head.status.as_u16(), head.headers);
        if status == 200 && is_batch {
            let collected = timeout(BATCH_ANSWER_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await;
            let collected =
                collected.map_err(|_| Fault::Interrupted("the response body did not end in time".into()))?;
            let collected =
                collected.map_err(|e| Fault::Interrupted(format!("cannot read the response body: {e}")))?;
            end_exchange(&socket);
            return Ok(Answer { status, headers, batch_body: Some(collected.to_bytes()), remaining: None });
        }
        end_exchange(&socket);
        Ok(Answer { status, headers, batch_body: None, remaining: Some(body) })
    }

    async fn report(&self, ends: Vec<AttemptEnd>) {
        if !ends.is_empty() {
            let _ = self.core.send(Input::AttemptsEnded { ends, is_provisional: false }).await;
        }
    }

    /// Reports what the last answer on a connection says as provisional. The verdict follows with the next use
    /// or the end of the connection.
    async fn report_provisional(&self, connection: &mut Connection<H>, ends: Vec<AttemptEnd>) {
        if let Some(answers) = connection.answers.as_mut() {
            let attempt = |end: &AttemptEnd| AttemptId { message: end.id, attempt: end.attempt };
            answers
                .add_provisional(ends.iter().map(|end| (attempt(end), end.finished)), connection.written_at);
        }
        let _ = self.core.send(Input::AttemptsEnded { ends, is_provisional: true }).await;
    }

    /// Makes one health check of an endpoint for the policy, and reports the outcome to the core.
    pub async fn probe(self: Rc<Self>, endpoint: EndpointId) {
        let Ok(mut connection) = self.pool.connect(endpoint).await else {
            return self.report_probe(endpoint, Outcome::NoConnection, None).await;
        };
        self.stall_detector.caught_up().await;
        if !self.pool.may_write(endpoint, connection.address) {
            return self.report_probe(endpoint, Outcome::NotSent, None).await;
        }
        let health_check = request("GET", "/healthz", connection.address, &[], Bytes::new());
        let (outcome, report) =
            match timeout(self.pool.dial_timeout, connection.exchange(health_check, MAX_BODY_BYTES)).await {
                Ok(Ok((status, headers, _))) => {
                    let (outcome, ..) = outcome_of_status(status, &headers);
                    self.pool.release(endpoint, connection);
                    (outcome, load_report(&headers))
                }
                Ok(Err(Fault::Interrupted(_))) => (Outcome::ConnectionLost, None),
                Ok(Err(_)) => (Outcome::NoConnection, None),
                Err(_) => match received_status(&connection.socket.take_received()) {
                    Some(status) => (outcome_of_status(status, &HeaderMap::new()).0, None),
                    None => (Outcome::NoAnswer, None),
                },
            };
        self.report_probe(endpoint, outcome, report).await;
    }

    async fn report_probe(&self, endpoint: EndpointId, outcome: Outcome, report: Option<Report>) {
        let _ = self.core.send(Input::Probed { endpoint, outcome, report }).await;
    }
}

/// Ends the exchange, and keeps what has been read behind its answer.
fn end_exchange<S: Stream>(socket: &Socket<S>) {
    let behind = bytes_behind_answer(&socket.received_head()).to_vec();
    socket.end_exchange();
    if !behind.is_empty() {
        socket.keep_unsolicited_data(behind);
    }
}

/// The clients' ids of the messages, for the log.
fn trace_ids(entries: &[CallEntry]) -> Vec<&str> {
    entries.iter().map(|entry| entry.message.trace.as_str()).collect()
}

/// Returns when the next message leaves the call, at the latest when the call is closed.
fn next_deadline(entries: &[CallEntry], close_at: Instant) -> Instant {
    entries.iter().map(|entry| entry.deadline).fold(close_at, Instant::min)
}

/// Removes and returns the expired messages, or all of them once the call is due to be closed.
fn take_expired(entries: &mut Vec<CallEntry>, close_at: Option<Instant>) -> Vec<CallEntry> {
    let now = Instant::now();
    let is_closing = close_at.is_some_and(|at| now >= at);
    entries.extract_if(.., |entry| is_closing || now >= entry.deadline).collect()
}

/// Splits the messages of a call into chunks whose request bodies stay within `MAX_BODY_BYTES`. The size of
/// an entry is an upper bound: the body in base64, the texts with every character escaped, and the JSON
/// around them.
fn split_by_size(entries: Vec<CallEntry>) -> Vec<Vec<CallEntry>> {
    let mut chunks: Vec<Vec<CallEntry>> = Vec::new();
    let mut chunk_size = 0;
    for entry in entries {
        let message = &entry.message;
        let text_len = message.trace.len() + message.key.as_ref().map_or(0, String::len);
        let entry_size = message.body.len().div_ceil(3) * 4 + 2 * text_len + 40;
        match chunks.last_mut().filter(|_| chunk_size + entry_size < MAX_BODY_BYTES) {
            Some(chunk) => chunk.push(entry),
            None => {
                chunks.push(vec![entry]);
                chunk_size = 2;
            }
        }
        chunk_size += entry_size;
    }
    chunks
}

/// Builds the request of a call: a single message as the body itself, several as a JSON array.
fn build_request(entries: &[CallEntry], to: SocketAddr, time_left: Duration) -> Request<Full<Bytes>> {
    let time_left = time_left.as_millis().max(1).to_string();
    let mut headers = vec![("x-expires-in-ms", time_left.as_str())];
    let [only] = entries else {
        let messages: Vec<Value> = entries
            .iter()
            .map(|entry| {
                let body = base64::engine::general_purpose::STANDARD.encode(&entry.message.body);
                match &entry.message.key {
                    Some(key) => json!({"id": entry.message.trace, "key": key, "body": body}),
                    None => json!({"id": entry.message.trace, "body": body}),
                }
            })
            .collect();
        headers.push(("content-type", "application/json"));
        return request("POST", "/v1/messages:batch", to, &headers, Value::from(messages).to_string().into());
    };
    let message = &only.message;
    headers.push(("x-trace-id", &message.trace));
    if let Some(key) = &message.key {
        headers.push(("idempotency-key", key));
    }
    request("POST", "/v1/messages", to, &headers, message.body.clone())
}

/// The end of an attempt without a readable answer. What an answer reports is filled in by `attempt_ends`.
pub fn attempt_end(
    entry: &CallEntry,
    endpoint: EndpointId,
    outcome: Outcome,
    started_at: Instant,
) -> AttemptEnd {
    let is_finished = outcome == Outcome::Served;
    let took = started_at.elapsed().as_nanos() as Ns;
    let (id, attempt) = (entry.message.id, entry.attempt);
    AttemptEnd {
        id,
        attempt,
        endpoint,
        outcome,
        took,
        finished: is_finished,
        retry_after: 0,
        report: None,
        reused_connection: false,
    }
}

/// Returns when a final (not interim) response head has started but not ended within `HEAD_TIMEOUT`.
async fn head_overdue<S: Stream>(socket: &Socket<S>) {
    loop {
        match socket.first_byte_at() {
            None => socket.readable.notified().await,
            Some(first_byte_at) => {
                sleep_until(first_byte_at + HEAD_TIMEOUT).await;
                if socket.has_unread_data() {
                    sleep(ARRIVED_DATA_TIMEOUT).await;
                }
                if !final_head(&socket.received_head()).is_empty() {
                    return;
                }
                socket.clear_first_byte();
            }
        }
    }
}

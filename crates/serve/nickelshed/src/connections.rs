//! HTTP/1.1 connections to endpoints, discovery and the platform.
use crate::provisional::ConnectionAnswers;
use crate::socket::{Socket, SocketIo, MAX_HEADERS, MAX_HEAD_BYTES};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, HOST};
use hyper::http::response;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use nickelshed_host::Host;
use nickelshed_journal::MAX_BODY_BYTES;
use nickelshed_policy::api::Outcome;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{timeout, Instant};

/// How long to wait for the rest of an answer whose outcome is already known before its connection is closed.
const TAIL_TIMEOUT: Duration = Duration::from_millis(100);

/// Why a request got no answer.
pub enum Fault {
    /// The reused connection had already been closed; the HTTP library returned the request unwritten.
    ClosedBeforeWrite,
    /// Nothing was written on a new connection.
    NotWritten(String),
    /// The endpoint may have read the request.
    Interrupted(String),
}

impl Fault {
    /// The outcome of the attempts in the call.
    pub fn outcome(&self) -> Outcome {
        match self {
            Fault::Interrupted(_) => Outcome::ConnectionLost,
            Fault::ClosedBeforeWrite | Fault::NotWritten(_) => Outcome::NoConnection,
        }
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::ClosedBeforeWrite => write!(f, "the connection was already closed"),
            Fault::NotWritten(why) | Fault::Interrupted(why) => write!(f, "{why}"),
        }
    }
}

/// Why this side closed a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The policy cancelled the call.
    Cancelled,
    /// The call or its messages ran out of time.
    TimedOut,
    /// The request was interrupted, or its answer could not be read.
    Faulted,
    /// The answer asked for it.
    RequestedByPeer,
    /// The rest of an answer, whose outcome was already known, did not come in time.
    AnswerIncomplete,
    /// The answer to a batch does not say how all of its messages ended.
    AnswerMismatch,
    /// Idle for too long, or closed by the peer while idle.
    Idle,
    /// The limit of open connections is reached, and this one has been idle longest.
    MakesRoom,
    /// The endpoint is no longer listed as ready at this address, or the policy dropped its connections.
    EndpointChanged,
    /// A connection to the same endpoint was reset after it had been idle.
    OthersReset,
}

impl CloseReason {
    /// Whether the connection may still have owed an answer. Such an end is logged by default.
    pub fn is_abnormal(self) -> bool {
        matches!(
            self,
            CloseReason::TimedOut
                | CloseReason::Faulted
                | CloseReason::AnswerIncomplete
                | CloseReason::AnswerMismatch
        )
    }
}

/// Number of connections opened by this process so far; it numbers them in the log.
static CONNECTIONS_OPENED: AtomicU64 = AtomicU64::new(0);

/// One HTTP/1.1 connection. Dropping it closes the socket immediately, even in the middle of an exchange.
pub struct Connection<H: Host> {
    /// Names it in the log.
    pub number: u64,
    pub address: SocketAddr,
    request_sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    pub socket: Rc<Socket<H::Stream>>,
    pub idle_since: Instant,
    /// Whether it has carried an exchange.
    was_used: bool,
    /// Number of answers read on it.
    answer_count: u64,
    /// Counts it as open, if it belongs to a pool.
    pub open_guard: Option<OpenGuard>,
    /// When the last request was begun.
    pub written_at: Instant,
    /// The answers read on it, if it belongs to a pool.
    pub answers: Option<ConnectionAnswers>,
}

impl<H: Host> Drop for Connection<H> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl<H: Host> Connection<H> {
    /// # Errors
    /// If the connection is refused or not established within `dial_timeout`.
    pub async fn open(host: &H, address: SocketAddr, dial_timeout: Duration) -> io::Result<Connection<H>> {
        let socket = Socket::new(timeout(dial_timeout, host.connect(address)).await??);
        let handshake_result = http1::Builder::new()
            .title_case_headers(true)
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADERS)
            .handshake(TokioIo::new(SocketIo(socket.clone())))
            .await;
        let (request_sender, connection) = handshake_result.map_err(io::Error::other)?;
        let number = CONNECTIONS_OPENED.fetch_add(1, Ordering::Relaxed) + 1;
        let task_socket = socket.clone();
        let task = tokio::task::spawn_local(async move {
            match connection.await {
                Ok(()) => tracing::debug!(connection = number, "a connection ended"),
                Err(error) => {
                    tracing::debug!(connection = number, %error, "a connection failed");
                    if is_unsolicited_data(&error) {
                        task_socket.record_unsolicited_data();
                    }
                }
            }
            // The endpoint learns at once that nothing on this connection is awaited any more.
            let _ = task_socket.shutdown_write();
        });
        tracing::debug!(connection = number, %address, "connected");
        let now = Instant::now();
        Ok(Connection {
            number,
            address,
            request_sender,
            task,
            socket,
            idle_since: now,
            was_used: false,
            answer_count: 0,
            open_guard: None,
            written_at: now,
            answers: None,
        })
    }

    /// Reuses the connection of the previous exchange if it is still open, leads to `address` and has been idle
    /// for at least `min_idle`, or else opens a new one.
    pub async fn reuse_or_open(
        idle_connection: &mut Option<Connection<H>>,
        host: &H,
        address: SocketAddr,
        dial_timeout: Duration,
        min_idle: Duration,
    ) -> io::Result<Connection<H>> {
        let may_reuse = |connection: &Connection<H>| {
            connection.address == address
                && connection.idle_since.elapsed() >= min_idle
                && connection.is_open()
        };
        match idle_connection.take().filter(may_reuse) {
            Some(connection) => Ok(connection),
            None => Connection::open(host, address, dial_timeout).await,
        }
    }

    /// Returns after the socket has been closed.
    pub async fn close(mut self, reason: CloseReason) {
        self.log_close(reason);
        self.task.abort();
        let _ = (&mut self.task).await;
    }

    /// Closes the connection without waiting for it.
    pub fn discard(self, reason: CloseReason) {
        self.log_close(reason);
    }

    fn log_close(&self, reason: CloseReason) {
        let (connection, address) = (self.number, self.address);
        if reason.is_abnormal() {
            tracing::info!(connection, %address, ?reason, "closing a connection");
        } else {
            tracing::debug!(connection, %address, ?reason, "closing a connection");
        }
    }

    /// Number of answers that have been read on it.
    pub fn answer_count(&self) -> u64 {
        self.answer_count
    }

    /// Whether data has come on it that answers no request. What an endpoint sends on a new connection before
    /// it has read anything does not count: it may reject the connection.
    pub fn has_unsolicited_data(&self) -> bool {
        self.answer_count > 0 && self.socket.has_unsolicited_data()
    }

    /// Starts the time between two exchanges, in which any data is unsolicited.
    pub fn begin_idle(&mut self, now: Instant) {
        self.idle_since = now;
        self.socket.begin_idle();
    }

    /// How long it has been idle; None if it has not carried an exchange yet.
    pub fn idle_time(&self) -> Option<Duration> {
        self.was_used.then(|| self.idle_since.elapsed())
    }

    /// Whether a request may be written to it. False if unread bytes are waiting, since they belong to no
    /// request.
    pub fn is_open(&self) -> bool {
        self.request_sender.is_ready() && !self.task.is_finished() && !self.socket.has_unread_data()
    }

    /// Writes a request and waits for the head of its answer, without a time limit.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Fault> {
        let bytes_before = self.socket.bytes_written();
        let was_used = std::mem::replace(&mut self.was_used, true);
        self.written_at = Instant::now();
        self.socket.begin_exchange();
        let sent = self.request_sender.try_send_request(request).await;
        if sent.is_ok() {
            self.answer_count += 1;
            let bytes = self.socket.received_head();
            self.answers.iter_mut().for_each(|answers| answers.record(&bytes));
        }
        sent.map_err(|mut e| match e.take_message() {
            None if self.socket.bytes_written() > bytes_before => {
                Fault::Interrupted(e.into_error().to_string())
            }
            _ if was_used => Fault::ClosedBeforeWrite,
            // A new connection that is closed at once is not retried here; the retries could go on until the
            // call times out.
            Some(_) => Fault::NotWritten("closed as soon as it was opened".into()),
            None => Fault::NotWritten(e.into_error().to_string()),
        })
    }

    /// Sends a request and reads the complete answer, for notices and probes.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        max_body: usize,
    ) -> Result<(u16, HeaderMap, Bytes), Fault> {
        let (head, body) = self.send_and_read_head(request).await?;
        let body =
            Limited::new(body, max_body).collect().await.map_err(|e| Fault::Interrupted(e.to_string()))?;
        self.finish_exchange().await;
        Ok((head.status.as_u16(), head.headers, body.to_bytes()))
    }

    /// Sends a request and reads the head of its answer. After the body has been read to its end,
    /// `finish_exchange` must follow.
    pub async fn send_and_read_head(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(response::Parts, Incoming), Fault> {
        let answer = self.send(request).await?;
        self.socket.end_exchange();
        Ok(answer.into_parts())
    }

    /// Prepares for the next exchange after an answer has been read to its end.
    pub async fn finish_exchange(&mut self) {
        // Without this wait, the next request could find the connection still busy with the end of this
        // answer.
        let _ = timeout(TAIL_TIMEOUT, self.request_sender.ready()).await;
        self.begin_idle(Instant::now());
    }

    /// Reads the remaining body of an answer whose outcome is known. Returns whether the connection can be
    /// reused.
    pub async fn drain_answer(&mut self, remaining: Option<Incoming>) -> bool {
        let read = async {
            let complete = match remaining {
                Some(remaining) => Limited::new(remaining, MAX_BODY_BYTES).collect().await.is_ok(),
                None => true,
            };
            complete && self.request_sender.ready().await.is_ok()
        };
        matches!(timeout(TAIL_TIMEOUT, read).await, Ok(true))
    }
}

/// Whether the HTTP library closed the connection because of data that answers no request. It has no
/// predicate for that error, which is the only one that has neither a predicate nor a source.
fn is_unsolicited_data(error: &hyper::Error) -> bool {
    let is_other = error.is_parse()
        || error.is_user()
        || error.is_canceled()
        || error.is_closed()
        || error.is_incomplete_message()
        || error.is_shutdown()
        || error.is_timeout();
    !is_other && std::error::Error::source(error).is_none()
}

/// Builds a request to `to` and adds its `Host` header.
pub fn request(
    method: &str,
    path: &str,
    to: SocketAddr,
    headers: &[(&'static str, &str)],
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method.parse().unwrap_or_default();
    *request.uri_mut() = path.parse().unwrap_or_default();
    let to = to.to_string();
    for (name, value) in headers.iter().copied().chain([("host", to.as_str())]) {
        // Values are copied from headers that were read, so they are valid.
        if let Ok(value) = HeaderValue::from_str(value) {
            request.headers_mut().insert(HeaderName::from_static(name), value);
        }
    }
    debug_assert!(request.headers().contains_key(HOST));
    request
}

/// Counts one connection to an endpoint, from the connection attempt until it is closed.
pub struct OpenGuard(Rc<Cell<usize>>);

impl OpenGuard {
    pub fn new(open_count: &Rc<Cell<usize>>) -> OpenGuard {
        open_count.set(open_count.get() + 1);
        OpenGuard(open_count.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

//! Connections to endpoints, discovery and the platform: the connection pool, its limits, and which endpoints
//! may currently be written to.
use crate::socket::{Socket, SocketIo, MAX_HEADERS, MAX_HEAD_BYTES};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, HOST};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use nickelshed_host::Host;
use nickelshed_journal::MAX_BODY_BYTES;
use nickelshed_policy::api::{DestId, EndpointId, Ns, Outcome, MS};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
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

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::ClosedBeforeWrite => write!(f, "the connection was already closed"),
            Fault::NotWritten(why) | Fault::Interrupted(why) => write!(f, "{why}"),
        }
    }
}

/// One HTTP/1.1 connection. Dropping it closes the socket immediately, even in the middle of an exchange.
pub struct Connection<H: Host> {
    pub address: SocketAddr,
    request_sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    pub socket: Rc<Socket<H::Stream>>,
    idle_since: Instant,
    /// Whether it has carried an exchange.
    was_used: bool,
    _open_guard: Option<OpenGuard>,
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
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "a connection failed");
            }
        });
        let idle_since = Instant::now();
        Ok(Connection {
            address,
            request_sender,
            task,
            socket,
            idle_since,
            was_used: false,
            _open_guard: None,
        })
    }

    /// Reuses the connection of the previous exchange if it is still open and leads to `address`, or else
    /// opens a new one.
    pub async fn reuse_or_open(
        idle_connection: &mut Option<Connection<H>>,
        host: &H,
        address: SocketAddr,
        dial_timeout: Duration,
    ) -> io::Result<Connection<H>> {
        match idle_connection
            .take()
            .filter(|connection| connection.address == address && connection.is_open())
        {
            Some(connection) => Ok(connection),
            None => Connection::open(host, address, dial_timeout).await,
        }
    }

    /// Returns after the socket has been closed.
    pub async fn close(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
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
        self.socket.begin_exchange();
        self.request_sender.try_send_request(request).await.map_err(|mut e| match e.take_message() {
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

    /// Sends a request and reads the complete answer, for discovery, notices and probes.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        max_body: usize,
    ) -> Result<(u16, HeaderMap, Bytes), Fault> {
        let (head, body) = self.send(request).await?.into_parts();
        self.socket.end_exchange();
        let body =
            Limited::new(body, max_body).collect().await.map_err(|e| Fault::Interrupted(e.to_string()))?;
        // Without this wait, the next request could find the connection still busy with the end of this
        // answer.
        let _ = timeout(TAIL_TIMEOUT, self.request_sender.ready()).await;
        Ok((head.status.as_u16(), head.headers, body.to_bytes()))
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

struct EndpointState {
    address: SocketAddr,
    /// What a retry-after applies to: the destination, or this endpoint alone if it is a route of its own.
    route: (DestId, Option<EndpointId>),
    /// Whether the current list names it as ready.
    is_usable: bool,
    /// Connections idle for at least this time are not reused there, until the given instant.
    short_idle: Option<(Duration, Instant)>,
}

/// How long a shorter idle time is applied to an endpoint. Some endpoints close idle connections earlier than
/// configured, which shows as a reset of the next request.
const SHORT_IDLE_RETENTION: Duration = Duration::from_secs(30);
/// The lowest idle time that is applied. A reset after less idling than this is not taken as a sign of an
/// early close.
const MIN_SHORT_IDLE: Duration = Duration::from_millis(50);

pub struct Pool<H: Host> {
    host: H,
    pub dial_timeout: Duration,
    idle_timeout: Duration,
    /// Limit of open connections to endpoints.
    max_open: usize,
    open_count: Rc<Cell<usize>>,
    /// Ordered, so that connections closed together close in the same order in every run. The endpoints can
    /// see the order.
    idle_connections: RefCell<BTreeMap<EndpointId, Vec<Connection<H>>>>,
    endpoints: RefCell<HashMap<EndpointId, EndpointState>>,
    retry_after_until: RefCell<HashMap<(DestId, Option<EndpointId>), Instant>>,
}

impl<H: Host> Pool<H> {
    pub fn new(host: H, dial_timeout: Ns, idle_timeout: Ns, max_open: usize) -> Pool<H> {
        // Kept shorter than the endpoint's own idle timeout, because a request written on a connection that
        // the endpoint has closed is reset.
        let idle_timeout = Duration::from_nanos((idle_timeout.max(0) as f64 * 0.9) as u64);
        Pool {
            host,
            dial_timeout: Duration::from_nanos(dial_timeout.max(MS) as u64),
            idle_timeout,
            max_open,
            open_count: Rc::default(),
            idle_connections: RefCell::default(),
            endpoints: RefCell::default(),
            retry_after_until: RefCell::default(),
        }
    }

    /// Applies an entry of the endpoint list. An endpoint that is not ready gets no further requests.
    pub fn update_endpoint(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
        dest: DestId,
        separate_routes: bool,
        is_usable: bool,
    ) {
        let mut endpoints = self.endpoints.borrow_mut();
        let short_idle = endpoints.get(&endpoint).filter(|e| e.address == address).and_then(|e| e.short_idle);
        let state = EndpointState {
            address,
            route: (dest, separate_routes.then_some(endpoint)),
            is_usable,
            short_idle,
        };
        let previous = endpoints.insert(endpoint, state);
        if !is_usable || previous.is_some_and(|previous| previous.address != address) {
            self.close_idle(endpoint);
        }
    }

    /// Called before a full list is applied: an endpoint missing from it is unavailable.
    pub fn mark_all_unavailable(&self) {
        self.endpoints.borrow_mut().values_mut().for_each(|e| e.is_usable = false);
    }

    /// Whether nothing more may be written to an endpoint and no retry-after is stored under its id.
    pub fn can_forget(&self, endpoint: EndpointId) -> bool {
        let endpoints = self.endpoints.borrow();
        let Some(state) = endpoints.get(&endpoint) else { return true };
        !state.is_usable
            && (state.route.1.is_none() || !self.retry_after_until.borrow().contains_key(&state.route))
    }

    /// Removes an endpoint that has not been listed for so long that its id is no longer in use.
    pub fn forget(&self, endpoint: EndpointId) {
        self.endpoints.borrow_mut().remove(&endpoint);
        self.close_idle(endpoint);
    }

    pub fn close_idle(&self, endpoint: EndpointId) {
        self.idle_connections.borrow_mut().remove(&endpoint);
    }

    /// Runs forever. Closes connections that were idle too long or closed by the endpoint, and drops expired
    /// retry-after times.
    pub async fn run_maintenance(self: Rc<Self>) {
        let mut ticker = tokio::time::interval(Duration::from_millis(100));
        loop {
            ticker.tick().await;
            let now = Instant::now();
            self.idle_connections.borrow_mut().retain(|_, connections| {
                connections.retain(|c| c.is_open() && now - c.idle_since < self.idle_timeout);
                !connections.is_empty()
            });
            self.retry_after_until.borrow_mut().retain(|_, until| *until > now);
        }
    }

    /// Whether the endpoint is listed as ready and no retry-after applies to it.
    pub fn may_write(&self, endpoint: EndpointId) -> bool {
        let endpoints = self.endpoints.borrow();
        let Some(state) = endpoints.get(&endpoint).filter(|e| e.is_usable) else { return false };
        self.retry_after_until.borrow().get(&state.route).is_none_or(|&until| until <= Instant::now())
    }

    /// Blocks writes to the endpoint's route for `wait`. A later end that is already set stays.
    pub fn apply_retry_after(&self, endpoint: EndpointId, wait: Duration) {
        let endpoints = self.endpoints.borrow();
        let Some(state) = endpoints.get(&endpoint) else { return };
        let until = Instant::now() + wait;
        let mut retry_after_until = self.retry_after_until.borrow_mut();
        let current = retry_after_until.entry(state.route).or_insert(until);
        *current = until.max(*current);
    }

    /// Records that a connection to this endpoint was reset by a request after it had been idle for `idle`.
    /// Closes the idle ones and, for `SHORT_IDLE_RETENTION`, reuses none that was idle for three quarters of
    /// that time.
    pub fn limit_idle_time(&self, endpoint: EndpointId, idle: Duration) {
        self.close_idle(endpoint);
        if let Some(state) = self.endpoints.borrow_mut().get_mut(&endpoint).filter(|_| idle >= MIN_SHORT_IDLE)
        {
            state.short_idle =
                Some(((idle * 3 / 4).max(MIN_SHORT_IDLE), Instant::now() + SHORT_IDLE_RETENTION));
        }
    }

    fn take_idle(&self, endpoint: EndpointId) -> Option<Connection<H>> {
        let now = Instant::now();
        let short_idle = self
            .endpoints
            .borrow()
            .get(&endpoint)
            .and_then(|e| e.short_idle)
            .filter(|(_, until)| now < *until);
        let max_idle = short_idle.map_or(self.idle_timeout, |(idle, _)| idle.min(self.idle_timeout));
        let mut idle_connections = self.idle_connections.borrow_mut();
        let connections = idle_connections.get_mut(&endpoint)?;
        std::iter::from_fn(|| connections.pop()).find(|c| c.is_open() && now - c.idle_since < max_idle)
    }

    /// If the limit is reached, closes the connection that has been idle longest. Returns whether a new one
    /// may be opened.
    fn ensure_capacity(&self) -> bool {
        if self.open_count.get() < self.max_open {
            return true;
        }
        let mut idle_connections = self.idle_connections.borrow_mut();
        let oldest = idle_connections
            .iter()
            .filter_map(|(&e, connections)| Some((connections.first()?.idle_since, e)))
            .min();
        let Some((_, endpoint)) = oldest else { return false };
        idle_connections.get_mut(&endpoint).map(|connections| connections.remove(0)).is_some()
    }

    /// Takes an idle connection to the endpoint, or opens a new one.
    ///
    /// # Errors
    /// `NotSent` if the endpoint is not listed as ready or the connection limit is reached, `NoConnection` if
    /// the endpoint cannot be reached.
    pub async fn connect(&self, endpoint: EndpointId) -> Result<Connection<H>, Outcome> {
        if let Some(connection) = self.take_idle(endpoint) {
            return Ok(connection);
        }
        let address = self.endpoints.borrow().get(&endpoint).filter(|e| e.is_usable).map(|e| e.address);
        let Some(address) = address.filter(|_| self.ensure_capacity()) else {
            return Err(Outcome::NotSent);
        };
        // Counted before it is established, so that many concurrent connection attempts also stay within the
        // limit.
        let open_guard = OpenGuard::new(&self.open_count);
        match Connection::open(&self.host, address, self.dial_timeout).await {
            Ok(mut connection) => {
                connection._open_guard = Some(open_guard);
                Ok(connection)
            }
            Err(error) => {
                tracing::debug!(%address, %error, "cannot connect to the endpoint");
                Err(Outcome::NoConnection)
            }
        }
    }

    /// Returns an idle connection to the pool, or closes it if its endpoint has changed or is not ready.
    pub fn release(&self, endpoint: EndpointId, mut connection: Connection<H>) {
        if self
            .endpoints
            .borrow()
            .get(&endpoint)
            .is_some_and(|e| e.is_usable && e.address == connection.address)
        {
            connection.idle_since = Instant::now();
            self.idle_connections.borrow_mut().entry(endpoint).or_default().push(connection);
        }
    }
}

/// Counts one connection to an endpoint, from the connection attempt until it is closed.
struct OpenGuard(Rc<Cell<usize>>);

impl OpenGuard {
    fn new(open_count: &Rc<Cell<usize>>) -> OpenGuard {
        open_count.set(open_count.get() + 1);
        OpenGuard(open_count.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

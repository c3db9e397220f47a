//! Connections to endpoints, discovery and the platform: the pool, its bounds, and whom nothing may be written.
use crate::wire::{Io, Socket, MAX_HEAD, MAX_HEADERS};
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

/// How long the rest of an answer whose outcome is known may take before its connection is given up.
const TAIL: Duration = Duration::from_millis(100);

/// Why a request got no answer.
pub enum Fault {
    /// The connection had ended before: the library hands the request back unwritten.
    Unsent,
    /// Nothing of it was written.
    NeverRan(String),
    /// It may have been read.
    Broken(String),
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::Unsent => write!(f, "the connection had ended"),
            Fault::NeverRan(why) | Fault::Broken(why) => write!(f, "{why}"),
        }
    }
}

/// One HTTP/1.1 connection. Dropping it closes the socket at once, whatever is under way.
pub struct Connection<H: Host> {
    pub at: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    pub socket: Rc<Socket<H::Stream>>,
    idle_since: Instant,
    /// It has carried an exchange.
    used: bool,
    _counted: Option<Counted>,
}

impl<H: Host> Drop for Connection<H> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl<H: Host> Connection<H> {
    pub async fn open(host: &H, at: SocketAddr, dial: Duration) -> io::Result<Connection<H>> {
        let socket = Socket::new(timeout(dial, host.connect(at)).await??);
        let made = http1::Builder::new()
            .title_case_headers(true)
            .max_buf_size(MAX_HEAD)
            .max_headers(MAX_HEADERS)
            .handshake(TokioIo::new(Io(socket.clone())))
            .await;
        let (sender, connection) = made.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "a connection broke");
            }
        });
        let idle_since = Instant::now();
        Ok(Connection { at, sender, task, socket, idle_since, used: false, _counted: None })
    }

    /// The connection that was kept from the exchange before, if it still stands and leads to that address.
    pub async fn kept_or_new(
        kept: &mut Option<Connection<H>>,
        host: &H,
        at: SocketAddr,
        dial: Duration,
    ) -> io::Result<Connection<H>> {
        match kept.take().filter(|link| link.at == at && link.is_open()) {
            Some(link) => Ok(link),
            None => Connection::open(host, at, dial).await,
        }
    }

    /// Closes the socket before it returns.
    pub async fn close(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }

    /// How long it has been idle, if it has carried an exchange.
    pub fn idle(&self) -> Option<Duration> {
        self.used.then(|| self.idle_since.elapsed())
    }

    /// Whether a request may be written to it; not where bytes wait that belong to no request.
    pub fn is_open(&self) -> bool {
        self.sender.is_ready() && !self.task.is_finished() && !self.socket.has_news()
    }

    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Fault> {
        let before = self.socket.written();
        let used = std::mem::replace(&mut self.used, true);
        self.socket.listen();
        self.sender.try_send_request(request).await.map_err(|mut e| match e.take_message() {
            None if self.socket.written() > before => Fault::Broken(e.into_error().to_string()),
            _ if used => Fault::Unsent,
            // A new one that had ended is no reason to make another: that would go on for as long as the call may take.
            Some(_) => Fault::NeverRan("ended as it was made".into()),
            None => Fault::NeverRan(e.into_error().to_string()),
        })
    }

    /// A whole exchange, for discovery, notices and probes.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        most: usize,
    ) -> Result<(u16, HeaderMap, Bytes), Fault> {
        let (head, body) = self.send(request).await?.into_parts();
        self.socket.rest();
        let body = Limited::new(body, most).collect().await.map_err(|e| Fault::Broken(e.to_string()))?;
        // Else the next request could find the connection still busy with the end of this answer.
        let _ = timeout(TAIL, self.sender.ready()).await;
        Ok((head.status.as_u16(), head.headers, body.to_bytes()))
    }

    /// Reads what is left of an answer whose outcome is known; whether the connection is at rest after it.
    pub async fn finish(&mut self, rest: Option<Incoming>) -> bool {
        let read = async {
            let whole = match rest {
                Some(rest) => Limited::new(rest, MAX_BODY_BYTES).collect().await.is_ok(),
                None => true,
            };
            whole && self.sender.ready().await.is_ok()
        };
        matches!(timeout(TAIL, read).await, Ok(true))
    }
}

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
        // Values come from headers that were read, so they can be written.
        if let Ok(value) = HeaderValue::from_str(value) {
            request.headers_mut().insert(HeaderName::from_static(name), value);
        }
    }
    debug_assert!(request.headers().contains_key(HOST));
    request
}

struct Place {
    address: SocketAddr,
    route: (DestId, Option<EndpointId>),
    usable: bool,
    /// Connections idle for so long are not used there, until then.
    brief: Option<(Duration, Instant)>,
}

/// Some endpoints close idle connections earlier than the settings say, and a request shows it as a reset. What
/// was learned of that holds for so long; a reset after less idle time than this tells nothing of it.
const DISTRUST: Duration = Duration::from_secs(30);
const LEAST_IDLE: Duration = Duration::from_millis(50);

pub struct Pool<H: Host> {
    host: H,
    pub dial: Duration,
    idle: Duration,
    /// Most connections to endpoints at a time.
    most: usize,
    open: Rc<Cell<usize>>,
    /// In an order that is the same each time: closing many at once is seen outside.
    links: RefCell<BTreeMap<EndpointId, Vec<Connection<H>>>>,
    places: RefCell<HashMap<EndpointId, Place>>,
    waits: RefCell<HashMap<(DestId, Option<EndpointId>), Instant>>,
}

impl<H: Host> Pool<H> {
    pub fn new(host: H, dial: Ns, idle: Ns, most: usize) -> Pool<H> {
        // Closed well before the endpoint would: what is written to a connection that it has closed is a reset.
        let idle = Duration::from_nanos((idle.max(0) as f64 * 0.9) as u64);
        Pool {
            host,
            dial: Duration::from_nanos(dial.max(MS) as u64),
            idle,
            most,
            open: Rc::default(),
            links: RefCell::default(),
            places: RefCell::default(),
            waits: RefCell::default(),
        }
    }

    /// Follows the list; what it no longer names as ready gets nothing more, from now on.
    pub fn place(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
        dest: DestId,
        separate: bool,
        usable: bool,
    ) {
        let mut places = self.places.borrow_mut();
        let brief = places.get(&endpoint).filter(|p| p.address == address).and_then(|p| p.brief);
        let place = Place { address, route: (dest, separate.then_some(endpoint)), usable, brief };
        let old = places.insert(endpoint, place);
        if !usable || old.is_some_and(|old| old.address != address) {
            self.close_idle(endpoint);
        }
    }

    /// A whole list replaces the one before: what is not in it is gone.
    pub fn withdraw_all(&self) {
        self.places.borrow_mut().values_mut().for_each(|p| p.usable = false);
    }

    /// Whether nothing more may be written to an endpoint, and no wait is kept under its number.
    pub fn is_done_with(&self, endpoint: EndpointId) -> bool {
        let places = self.places.borrow();
        let Some(place) = places.get(&endpoint) else { return true };
        !place.usable && (place.route.1.is_none() || !self.waits.borrow().contains_key(&place.route))
    }

    /// The list has not named it for so long that its number means nothing any more.
    pub fn forget(&self, endpoint: EndpointId) {
        self.places.borrow_mut().remove(&endpoint);
        self.close_idle(endpoint);
    }

    pub fn close_idle(&self, endpoint: EndpointId) {
        self.links.borrow_mut().remove(&endpoint);
    }

    /// Closes what has stood idle too long or was closed from the other side, and forgets waits that are over.
    pub async fn keep(self: Rc<Self>) {
        let mut every = tokio::time::interval(Duration::from_millis(100));
        loop {
            every.tick().await;
            let now = Instant::now();
            self.links.borrow_mut().retain(|_, links| {
                links.retain(|l| l.is_open() && now - l.idle_since < self.idle);
                !links.is_empty()
            });
            self.waits.borrow_mut().retain(|_, until| *until > now);
        }
    }

    pub fn may_write(&self, endpoint: EndpointId) -> bool {
        let places = self.places.borrow();
        let Some(place) = places.get(&endpoint).filter(|p| p.usable) else { return false };
        self.waits.borrow().get(&place.route).is_none_or(|&until| until <= Instant::now())
    }

    pub fn heed_wait(&self, endpoint: EndpointId, wait: Duration) {
        let places = self.places.borrow();
        let Some(place) = places.get(&endpoint) else { return };
        let until = Instant::now() + wait;
        let mut waits = self.waits.borrow_mut();
        let held = waits.entry(place.route).or_insert(until);
        *held = until.max(*held);
    }

    /// A kept connection there was reset at a request after so long: those idle for longer are no better.
    pub fn distrust(&self, endpoint: EndpointId, idle: Duration) {
        self.close_idle(endpoint);
        if let Some(place) = self.places.borrow_mut().get_mut(&endpoint).filter(|_| idle >= LEAST_IDLE) {
            place.brief = Some(((idle * 3 / 4).max(LEAST_IDLE), Instant::now() + DISTRUST));
        }
    }

    fn take_idle(&self, endpoint: EndpointId) -> Option<Connection<H>> {
        let now = Instant::now();
        let brief =
            self.places.borrow().get(&endpoint).and_then(|p| p.brief).filter(|(_, until)| now < *until);
        let most = brief.map_or(self.idle, |(idle, _)| idle.min(self.idle));
        let mut pool = self.links.borrow_mut();
        let links = pool.get_mut(&endpoint)?;
        std::iter::from_fn(|| links.pop()).find(|l| l.is_open() && now - l.idle_since < most)
    }

    /// Frees the place of the connection that has stood idle longest.
    fn make_place(&self) -> bool {
        if self.open.get() < self.most {
            return true;
        }
        let mut pool = self.links.borrow_mut();
        let oldest = pool.iter().filter_map(|(&e, links)| Some((links.first()?.idle_since, e))).min();
        let Some((_, endpoint)) = oldest else { return false };
        pool.get_mut(&endpoint).map(|links| links.remove(0)).is_some()
    }

    pub async fn connect(&self, endpoint: EndpointId) -> Result<Connection<H>, Outcome> {
        if let Some(link) = self.take_idle(endpoint) {
            return Ok(link);
        }
        let address = self.places.borrow().get(&endpoint).filter(|p| p.usable).map(|p| p.address);
        let Some(address) = address.filter(|_| self.make_place()) else {
            return Err(Outcome::NotSent);
        };
        // Counted from before it is made, so that many at once stay under the limit too.
        let counted = Counted::new(&self.open);
        match Connection::open(&self.host, address, self.dial).await {
            Ok(mut link) => {
                link._counted = Some(counted);
                Ok(link)
            }
            Err(error) => {
                tracing::debug!(%address, %error, "no connection");
                Err(Outcome::NoConnection)
            }
        }
    }

    /// Keeps a connection that is at rest.
    pub fn give_back(&self, endpoint: EndpointId, mut link: Connection<H>) {
        if self.places.borrow().get(&endpoint).is_some_and(|p| p.usable && p.address == link.at) {
            link.idle_since = Instant::now();
            self.links.borrow_mut().entry(endpoint).or_default().push(link);
        }
    }
}

/// One of the connections to endpoints, from before it is made until it is closed.
struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(open: &Rc<Cell<usize>>) -> Counted {
        open.set(open.get() + 1);
        Counted(open.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

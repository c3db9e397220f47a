//! Calls to endpoints: the connection pool, what is checked as a call is written, and how it ended.
use crate::core::Input;
use crate::journal::Taken;
use base64::Engine;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, HOST, RETRY_AFTER};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use leadfold::api::{AttemptEnd, DestId, EndpointId, Ns, Outcome, Report, MS};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout, Instant};

/// Bodies hold at most so much, in either direction.
pub const MAX_BODY: usize = 64 << 10;
/// How long the rest of an answer whose outcome is known may take before its connection is given up.
const TAIL: Duration = Duration::from_millis(100);

/// Counts what is written, as the library does not tell whether a failed request had left.
struct Written {
    stream: TcpStream,
    written: Rc<Cell<u64>>,
}

impl AsyncRead for Written {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Written {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = done {
            self.written.set(self.written.get() + n as u64);
        }
        done
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

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
pub struct Connection {
    at: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    written: Rc<Cell<u64>>,
    idle_since: Instant,
    _counted: Option<Counted>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    pub async fn open(at: SocketAddr, dial: Duration) -> io::Result<Connection> {
        let stream = timeout(dial, TcpStream::connect(at)).await??;
        stream.set_nodelay(true)?;
        let written = Rc::new(Cell::new(0));
        let io = TokioIo::new(Written { stream, written: written.clone() });
        let made = http1::Builder::new().title_case_headers(true).handshake(io).await;
        let (sender, connection) = made.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "a connection broke");
            }
        });
        Ok(Connection { at, sender, task, written, idle_since: Instant::now(), _counted: None })
    }

    /// The connection that was kept from the exchange before, if it still stands and leads to that address.
    pub async fn kept_or_new(
        kept: &mut Option<Connection>,
        at: SocketAddr,
        dial: Duration,
    ) -> io::Result<Connection> {
        match kept.take().filter(|link| link.at == at && link.is_open()) {
            Some(link) => Ok(link),
            None => Connection::open(at, dial).await,
        }
    }

    /// Closes the socket before it returns.
    async fn close(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }

    pub fn is_open(&self) -> bool {
        self.sender.is_ready() && !self.task.is_finished()
    }

    async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Fault> {
        let before = self.written.get();
        self.sender.try_send_request(request).await.map_err(|mut e| match e.take_message() {
            Some(_) => Fault::Unsent,
            None if self.written.get() == before => Fault::NeverRan(e.into_error().to_string()),
            None => Fault::Broken(e.into_error().to_string()),
        })
    }

    /// A whole exchange, for discovery and notices.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        most: usize,
    ) -> Result<(u16, HeaderMap, Bytes), Fault> {
        let (head, body) = self.send(request).await?.into_parts();
        let body = Limited::new(body, most).collect().await.map_err(|e| Fault::Broken(e.to_string()))?;
        // Else the next request could find the connection still busy with the end of this answer.
        let _ = timeout(TAIL, self.sender.ready()).await;
        Ok((head.status.as_u16(), head.headers, body.to_bytes()))
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

/// Set once the module calls an attempt off.
#[derive(Default)]
pub struct Cancel {
    set: Cell<bool>,
    notify: Notify,
}

impl Cancel {
    pub fn set(&self) {
        self.set.set(true);
        self.notify.notify_one();
    }
    async fn wait(&self) {
        while !self.set.get() {
            self.notify.notified().await;
        }
    }
}

/// A message's part in a call.
pub struct Member {
    pub attempt: u32,
    pub taken: Rc<Taken>,
    /// When its time is up.
    pub end: Instant,
    /// When this attempt is given up; not after `end`.
    pub limit: Instant,
    /// Its first byte must be written before this.
    pub by: Instant,
}

struct Place {
    address: SocketAddr,
    route: (DestId, Option<EndpointId>),
    usable: bool,
}

/// What an answer said.
struct Answer {
    status: u16,
    headers: HeaderMap,
    /// Of a call with several messages and 200: the whole answer. Else what is left to read.
    ends: Option<Bytes>,
    rest: Option<Incoming>,
}

pub struct Client {
    core: mpsc::Sender<Input>,
    dial: Duration,
    idle: Duration,
    /// Most connections to endpoints at a time.
    most: usize,
    open: Rc<Cell<usize>>,
    pool: RefCell<HashMap<EndpointId, Vec<Connection>>>,
    places: RefCell<HashMap<EndpointId, Place>>,
    waits: RefCell<HashMap<(DestId, Option<EndpointId>), Instant>>,
}

impl Client {
    pub fn new(core: mpsc::Sender<Input>, dial: Ns, idle: Ns, most: usize) -> Client {
        // Closed well before the endpoint would: what is written to a connection that it has closed is a reset.
        let idle = Duration::from_nanos((idle.max(0) as f64 * 0.9) as u64);
        Client {
            core,
            dial: Duration::from_nanos(dial.max(MS) as u64),
            idle,
            most,
            open: Rc::default(),
            pool: RefCell::default(),
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
        let place = Place { address, route: (dest, separate.then_some(endpoint)), usable };
        let old = self.places.borrow_mut().insert(endpoint, place);
        if !usable || old.is_some_and(|old| old.address != address) {
            self.close_idle(endpoint);
        }
    }

    /// A whole list replaces the one before: what is not in it is gone.
    pub fn withdraw_all(&self) {
        self.places.borrow_mut().values_mut().for_each(|p| p.usable = false);
    }

    pub fn close_idle(&self, endpoint: EndpointId) {
        self.pool.borrow_mut().remove(&endpoint);
    }

    /// Closes what has stood idle too long or was closed from the other side, and forgets waits that are over.
    pub async fn keep_pool(self: Rc<Self>) {
        let mut every = tokio::time::interval(Duration::from_millis(100));
        loop {
            every.tick().await;
            let now = Instant::now();
            self.pool.borrow_mut().retain(|_, links| {
                links.retain(|l| l.is_open() && now - l.idle_since < self.idle);
                !links.is_empty()
            });
            self.waits.borrow_mut().retain(|_, until| *until > now);
        }
    }

    fn may_write(&self, endpoint: EndpointId) -> bool {
        let places = self.places.borrow();
        let Some(place) = places.get(&endpoint).filter(|p| p.usable) else { return false };
        self.waits.borrow().get(&place.route).is_none_or(|&until| until <= Instant::now())
    }

    fn heed_wait(&self, endpoint: EndpointId, wait: Duration) {
        let places = self.places.borrow();
        let Some(place) = places.get(&endpoint) else { return };
        let until = Instant::now() + wait;
        let mut waits = self.waits.borrow_mut();
        let held = waits.entry(place.route).or_insert(until);
        *held = until.max(*held);
    }

    fn take_idle(&self, endpoint: EndpointId) -> Option<Connection> {
        let now = Instant::now();
        let mut pool = self.pool.borrow_mut();
        let links = pool.get_mut(&endpoint)?;
        std::iter::from_fn(|| links.pop()).find(|l| l.is_open() && now - l.idle_since < self.idle)
    }

    /// Frees the place of the connection that has stood idle longest.
    fn make_place(&self) -> bool {
        if self.open.get() < self.most {
            return true;
        }
        let mut pool = self.pool.borrow_mut();
        let oldest = pool.iter().filter_map(|(&e, links)| Some((links.first()?.idle_since, e))).min();
        let Some((_, endpoint)) = oldest else { return false };
        pool.get_mut(&endpoint).map(|links| links.remove(0)).is_some()
    }

    async fn connect(&self, endpoint: EndpointId) -> Result<Connection, Outcome> {
        if let Some(link) = self.take_idle(endpoint) {
            return Ok(link);
        }
        let address = self.places.borrow().get(&endpoint).filter(|p| p.usable).map(|p| p.address);
        let Some(address) = address.filter(|_| self.make_place()) else { return Err(Outcome::NotSent) };
        // Counted from before it is made, so that many at once stay under the limit too.
        let counted = Counted::new(&self.open);
        match Connection::open(address, self.dial).await {
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

    /// Keeps a connection whose answer has been read to its end.
    async fn give_back(&self, endpoint: EndpointId, mut link: Connection) {
        if !matches!(timeout(TAIL, link.sender.ready()).await, Ok(Ok(()))) {
            return;
        }
        if self.places.borrow().get(&endpoint).is_some_and(|p| p.usable) {
            link.idle_since = Instant::now();
            self.pool.borrow_mut().entry(endpoint).or_default().push(link);
        }
    }

    /// Carries out one call of the module and tells how each of its messages ended.
    pub async fn call(self: Rc<Self>, endpoint: EndpointId, members: Vec<Member>, cancel: Rc<Cancel>) {
        let started = Instant::now();
        // What the module puts into one call may be too much for one body; the parts go one by one.
        for part in parts(members) {
            self.exchange(endpoint, part, &cancel, started).await;
        }
    }

    async fn exchange(
        &self,
        endpoint: EndpointId,
        mut members: Vec<Member>,
        cancel: &Cancel,
        started: Instant,
    ) {
        let tell = |outcome| move |m: &Member| end(m, endpoint, outcome, started);
        // A message that could go again is not left out on an open connection, or its next attempt would be a
        // second copy: then the call is closed for all. One whose time is up leaves alone.
        let again = members.iter().filter(|m| m.limit < m.end).map(|m| m.limit).min();
        let close_at = again.or(members.iter().map(|m| m.end).max()).unwrap_or(started);
        let (link, answer) = loop {
            let found = tokio::select! {
                biased;
                () = cancel.wait() => Err(Outcome::NotSent),
                link = self.connect(endpoint) => link,
                () = sleep_until(close_at) => Err(Outcome::NoConnection),
            };
            let mut link = match found {
                Ok(link) => link,
                Err(outcome) => return self.report(members.iter().map(tell(outcome)).collect()).await,
            };
            // A drain, a wait or the end of a window may have come while the connection was being made.
            let now = Instant::now();
            let may = self.may_write(endpoint);
            let (go, stay): (Vec<_>, Vec<_>) =
                members.into_iter().partition(|m| may && now < m.by && now < m.end.min(close_at));
            members = go;
            self.report(stay.iter().map(tell(Outcome::NotSent)).collect()).await;
            let Some(place) = self.places.borrow().get(&endpoint).map(|p| p.address) else { return };
            if members.is_empty() {
                return self.give_back(endpoint, link).await;
            }
            let request = build(&members, place, close_at - now);
            let several = members.len() > 1;
            let answer = {
                let mut answer = pin!(self.answer(&mut link, request, endpoint, several));
                loop {
                    let next = members.iter().map(|m| m.end).min().unwrap_or(close_at).min(close_at);
                    tokio::select! {
                        biased;
                        answer = &mut answer => break Ok(answer),
                        () = cancel.wait() => break Err((std::mem::take(&mut members), Outcome::CalledOff)),
                        () = sleep_until(next) => {}
                    }
                    let now = Instant::now();
                    let (late, rest): (Vec<_>, Vec<_>) =
                        members.into_iter().partition(|m| now >= m.end || now >= close_at);
                    members = rest;
                    if members.is_empty() {
                        break Err((late, Outcome::NoAnswer));
                    }
                    self.report(late.iter().map(tell(Outcome::NoAnswer)).collect()).await;
                }
            };
            let answer = match answer {
                Ok(answer) => answer,
                Err((left, outcome)) => {
                    // Closed before it is told: the next attempt of a message that is still out on an open
                    // connection would be a second copy, and the call would still hold its slot.
                    link.close().await;
                    return self.report(left.iter().map(tell(outcome)).collect()).await;
                }
            };
            match answer {
                // The pooled connection had ended: nothing was written, so another one may carry it.
                Err(Fault::Unsent) => drop(link),
                Err(fault) => {
                    link.close().await;
                    tracing::debug!(%fault, "no answer");
                    let outcome = match fault {
                        Fault::Broken(_) => Outcome::ConnectionLost,
                        _ => Outcome::NoConnection,
                    };
                    return self.report(members.iter().map(tell(outcome)).collect()).await;
                }
                Ok(answer) => break (link, answer),
            }
        };
        let ends = read_ends(&members, &answer, endpoint, started);
        let closes =
            answer.headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        let read = match answer.rest {
            Some(rest) => {
                let rest = timeout(TAIL, Limited::new(rest, MAX_BODY).collect()).await;
                matches!(rest, Ok(Ok(_)))
            }
            None => true,
        };
        if read && !closes {
            self.give_back(endpoint, link).await;
        } else {
            link.close().await;
        }
        self.report(ends).await;
    }

    async fn answer(
        &self,
        link: &mut Connection,
        request: Request<Full<Bytes>>,
        endpoint: EndpointId,
        several: bool,
    ) -> Result<Answer, Fault> {
        let (head, body) = link.send(request).await?.into_parts();
        // At once: calls to other endpoints of the destination may be about to be written.
        if let Some(wait) = wait_told(&head.headers) {
            self.heed_wait(endpoint, wait);
        }
        let (status, headers) = (head.status.as_u16(), head.headers);
        if status == 200 && several {
            let whole = Limited::new(body, 4 * MAX_BODY).collect().await;
            let whole = whole.map_err(|e| Fault::Broken(format!("the answer broke off: {e}")))?;
            return Ok(Answer { status, headers, ends: Some(whole.to_bytes()), rest: None });
        }
        Ok(Answer { status, headers, ends: None, rest: Some(body) })
    }

    async fn report(&self, ends: Vec<AttemptEnd>) {
        if !ends.is_empty() {
            let _ = self.core.send(Input::Ended(ends)).await;
        }
    }

    pub async fn probe(self: Rc<Self>, endpoint: EndpointId) {
        let Ok(mut link) = self.connect(endpoint).await else {
            return self.probed(endpoint, Outcome::NoConnection, None).await;
        };
        let place = self.places.borrow().get(&endpoint).map(|p| p.address);
        let Some(place) = place.filter(|_| self.may_write(endpoint)) else {
            return self.probed(endpoint, Outcome::NotSent, None).await;
        };
        let asked = link.exchange(request("GET", "/healthz", place, &[], Bytes::new()), MAX_BODY);
        let (outcome, report) = match timeout(self.dial, asked).await {
            Ok(Ok((status, headers, _))) => {
                let (outcome, ..) = outcome(status, &headers);
                self.give_back(endpoint, link).await;
                (outcome, load_report(&headers))
            }
            Ok(Err(Fault::Broken(_))) => (Outcome::ConnectionLost, None),
            Ok(Err(_)) => (Outcome::NoConnection, None),
            Err(_) => (Outcome::NoAnswer, None),
        };
        self.probed(endpoint, outcome, report).await;
    }

    async fn probed(&self, endpoint: EndpointId, outcome: Outcome, report: Option<Report>) {
        let _ = self.core.send(Input::Probed { endpoint, outcome, report }).await;
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

fn parts(members: Vec<Member>) -> Vec<Vec<Member>> {
    let mut parts: Vec<Vec<Member>> = Vec::new();
    let mut size = 0;
    for member in members {
        let t = &member.taken;
        let texts = t.trace.len() + t.key.as_ref().map_or(0, String::len);
        let own = t.body.len().div_ceil(3) * 4 + 2 * texts + 40;
        match parts.last_mut().filter(|_| size + own < MAX_BODY) {
            Some(part) => part.push(member),
            None => {
                parts.push(vec![member]);
                size = 2;
            }
        }
        size += own;
    }
    parts
}

fn build(members: &[Member], to: SocketAddr, wait: Duration) -> Request<Full<Bytes>> {
    let wait = wait.as_millis().max(1).to_string();
    let mut headers = vec![("x-expires-in-ms", wait.as_str())];
    let [only] = members else {
        let list: Vec<Value> = members
            .iter()
            .map(|m| {
                let body = base64::engine::general_purpose::STANDARD.encode(&m.taken.body);
                match &m.taken.key {
                    Some(key) => json!({"id": m.taken.trace, "key": key, "body": body}),
                    None => json!({"id": m.taken.trace, "body": body}),
                }
            })
            .collect();
        headers.push(("content-type", "application/json"));
        return request("POST", "/v1/messages:batch", to, &headers, Value::from(list).to_string().into());
    };
    let taken = &only.taken;
    headers.push(("x-trace-id", &taken.trace));
    if let Some(key) = &taken.key {
        headers.push(("idempotency-key", key));
    }
    request("POST", "/v1/messages", to, &headers, taken.body.clone())
}

pub fn end(m: &Member, endpoint: EndpointId, outcome: Outcome, started: Instant) -> AttemptEnd {
    let done = outcome == Outcome::Served;
    let took = started.elapsed().as_nanos() as Ns;
    AttemptEnd { id: m.taken.id, attempt: m.attempt, endpoint, outcome, took, done, wait: 0, report: None }
}

/// The protocol's table: outcome, and whether the message is over. What it does not name may have run.
fn outcome(status: u16, headers: &HeaderMap) -> (Outcome, bool) {
    match status {
        200 => (Outcome::Served, true),
        429 => (Outcome::TurnedAway, false),
        503 if headers.get("x-line-busy").is_some_and(|v| v.as_bytes() == b"1") => (Outcome::NotSent, false),
        503 => (Outcome::TurnedAway, false),
        410 => (Outcome::NotSent, true),
        400 | 413 | 504 => (Outcome::NotSent, false),
        _ => (Outcome::ServerError, false),
    }
}

fn read_ends(members: &[Member], answer: &Answer, endpoint: EndpointId, started: Instant) -> Vec<AttemptEnd> {
    let wait = wait_told(&answer.headers).map_or(0, |w| w.as_nanos() as Ns);
    let report = load_report(&answer.headers);
    let list: Option<Vec<Value>> =
        answer.ends.as_ref().map(|b| serde_json::from_slice(b).unwrap_or_default());
    let text = |v: &Value, key: &str| v.get(key).and_then(Value::as_str).map(str::to_string);
    let states: Option<HashMap<String, String>> =
        list.map(|l| l.iter().filter_map(|v| Some((text(v, "id")?, text(v, "state")?))).collect());
    let state = |m: &Member| {
        let Some(states) = &states else { return outcome(answer.status, &answer.headers) };
        match states.get(&m.taken.trace).map(String::as_str) {
            Some("done") => (Outcome::Served, true),
            Some("busy") => (Outcome::TurnedAway, false),
            Some("void") => (Outcome::NotSent, true),
            Some("used_up") => (Outcome::NotSent, false),
            // `failed`, or an answer that leaves it out: it may have run.
            _ => (Outcome::ServerError, false),
        }
    };
    let tell = |m: &Member| {
        let (outcome, done) = state(m);
        AttemptEnd { done, wait, report, ..end(m, endpoint, outcome, started) }
    };
    members.iter().map(tell).collect()
}

/// `Retry-After` in seconds, whole or with decimals.
fn wait_told(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds > 0.0 && seconds < 86_400.0).then(|| Duration::from_secs_f64(seconds))
}

/// `Endpoint-Load-Metrics: TEXT x0=0.4, x1=25`
fn load_report(headers: &HeaderMap) -> Option<Report> {
    let text = headers.get("endpoint-load-metrics")?.to_str().ok()?;
    let value = |name: &str| {
        let mut pairs = text.split([',', ' ']).filter_map(|p| p.split_once('='));
        pairs.find(|(key, _)| *key == name).and_then(|(_, v)| v.trim().parse::<f64>().ok())
    };
    match (value("x0"), value("x1")) {
        (None, None) => None,
        (left, limit) => Some(Report { left: left.unwrap_or(0.0), limit: limit.unwrap_or(0.0) }),
    }
}

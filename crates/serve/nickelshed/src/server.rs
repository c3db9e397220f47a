//! Clients in: takes requests, checks their form, and hands them to the core.
use crate::inbox::{Input, Reply};
use crate::watched;
use crate::wire::{Io, Socket, MAX_HEAD, MAX_HEADERS};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, ALLOW, CONNECTION, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use nickelshed_budget::Budget;
use nickelshed_host::{Host, Listener, Stream};
use nickelshed_journal::{Taken, MAX_BODY};
use nickelshed_policy::api::Effect;
use nickelshed_settings::DeploymentContext;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

/// How long a request may take to come in, head and body together; on a new connection from its start.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// How long a connection may stand idle: always; where another needs its place; and there without a first
/// request, which a client that means to ask sends at once.
const IDLE: Duration = Duration::from_secs(30);
const IDLE_AT_BOUND: Duration = Duration::from_secs(2);
const SILENT_AT_BOUND: Duration = Duration::from_millis(500);
/// What is still read from a connection that closes, so that its last answer arrives.
const DRAIN: Duration = Duration::from_millis(300);
const DRAIN_BYTES: usize = 1 << 20;
/// How long the request of a client that is turned away is waited for.
const TURN_AWAY: Duration = Duration::from_millis(100);
const MAX_NAME: usize = 256;

/// What the sender needs of a class to take a message on.
pub struct Class {
    pub effect: Effect,
    pub deadline: Duration,
}

pub struct Server<H: Host> {
    pub host: H,
    pub core: mpsc::Sender<Input>,
    pub around: DeploymentContext,
    pub classes: Vec<Class>,
    pub budget: Budget,
    /// Most connections that are served.
    pub most: usize,
    /// Connections over that bound that are told to come again; what comes beyond them is closed.
    pub turned_away: usize,
    pub open: Cell<usize>,
    /// Those that are served, in order of acceptance.
    pub guests: RefCell<BTreeMap<u64, Rc<Guest<H::Stream>>>>,
}

/// A connection that is served.
pub struct Guest<S> {
    socket: Rc<Socket<S>>,
    /// When its last request was answered, or when it came.
    since: Cell<Instant>,
    has_asked: Cell<bool>,
    /// A request's head has come, and its answer is not known yet.
    busy: Cell<bool>,
    leave: Notify,
}

impl<S: Stream> Guest<S> {
    fn is_idle(&self) -> bool {
        !self.busy.get() && self.socket.heard().is_none()
    }

    /// When the request that is coming must be here, or the idle connection has stood long enough.
    fn deadline(&self) -> Instant {
        match self.socket.heard() {
            Some(heard) if self.has_asked.get() => heard + PATIENCE,
            None if self.has_asked.get() => self.since.get() + IDLE,
            _ => self.since.get() + PATIENCE,
        }
    }
}

impl<H: Host> Server<H> {
    /// Accepts until `closing` says so; the connections then end between requests.
    pub async fn accept(self: Rc<Self>, listener: H::Listener, closing: watched::Listener<bool>) {
        let mut until = closing.clone();
        let mut failing = false;
        for number in 0.. {
            let stream = tokio::select! {
                biased;
                () = until.is(true) => return,
                accepted = listener.accept() => match accepted {
                    Ok(stream) => stream,
                    Err(error) => {
                        // Out of descriptors, say: the sender goes on with those that it has.
                        if !std::mem::replace(&mut failing, true) {
                            tracing::warn!(%error, "cannot accept");
                        }
                        sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                },
            };
            failing = false;
            // Never left waiting: a client that is not accepted can't be told anything.
            let full = self.guests.borrow().len() >= self.most && !self.make_place();
            if full && self.open.get() >= self.most + self.turned_away {
                continue;
            }
            self.open.set(self.open.get() + 1);
            let (server, closing) = (self.clone(), closing.clone());
            let socket = Socket::new(stream);
            // Entered at once: many may be accepted before the first of their tasks runs.
            let guest = (!full).then(|| self.enter(number, &socket));
            tokio::task::spawn_local(async move {
                match guest {
                    Some(guest) => {
                        server.serve(guest, closing).await;
                        server.guests.borrow_mut().remove(&number);
                    }
                    None => turn_away(socket).await,
                }
                server.open.set(server.open.get() - 1);
            });
        }
    }

    fn enter(&self, number: u64, socket: &Rc<Socket<H::Stream>>) -> Rc<Guest<H::Stream>> {
        let guest = Rc::new(Guest {
            socket: socket.clone(),
            since: Cell::new(Instant::now()),
            has_asked: Cell::new(false),
            busy: Cell::new(false),
            leave: Notify::new(),
        });
        self.guests.borrow_mut().insert(number, guest.clone());
        guest
    }

    /// Closes the connection that has been without a request longest: some clients ask once and stay for good.
    fn make_place(&self) -> bool {
        let mut guests = self.guests.borrow_mut();
        let stands = |g: &Guest<H::Stream>| {
            let enough = if g.has_asked.get() { IDLE_AT_BOUND } else { SILENT_AT_BOUND };
            g.is_idle() && g.since.get().elapsed() >= enough
        };
        let longest = guests.iter().filter(|(_, g)| stands(g)).min_by_key(|(_, g)| g.since.get());
        let Some((&number, guest)) = longest else { return false };
        if guest.socket.has_news() {
            return false;
        }
        guest.leave.notify_one();
        guests.remove(&number);
        true
    }

    async fn serve(&self, guest: Rc<Guest<H::Stream>>, mut ended: watched::Listener<bool>) {
        let socket = guest.socket.clone();
        let service = service_fn(|request| {
            let guest = guest.clone();
            async move {
                guest.busy.set(true);
                let mut response = self.answer(request, guest.deadline()).await;
                // Clients that come with a new connection for each message would fill all places with idle ones
                // that are too young to be closed.
                if self.guests.borrow().len() > self.most * 3 / 4 {
                    response = closing(response);
                }
                guest.busy.set(false);
                guest.has_asked.set(true);
                guest.since.set(Instant::now());
                guest.socket.rest();
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http().serve_connection(TokioIo::new(Io(socket.clone())), service);
        {
            let mut connection = pin!(connection);
            let mut ending = false;
            loop {
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => break,
                    () = ended.is(true), if !ending => {
                        ending = true;
                        connection.as_mut().graceful_shutdown();
                    }
                    // A request may have come since it was told to leave: that one is answered.
                    () = guest.leave.notified() => if guest.is_idle() && !socket.has_news() { break },
                    () = socket.news.notified() => {}
                    // While it is busy the request's own bound holds.
                    () = sleep_until(guest.deadline()), if !guest.busy.get() => {
                        if Instant::now() >= guest.deadline() && !(guest.is_idle() && socket.has_news()) {
                            break;
                        }
                    }
                }
            }
        }
        let _ = timeout(DRAIN, socket.close(DRAIN_BYTES)).await;
    }

    /// `by`: when the whole request must be here.
    async fn answer(&self, request: Request<Incoming>, by: Instant) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        if path == "/healthz" && matches!(head.method, Method::GET | Method::HEAD) && body.is_end_stream() {
            return plain(StatusCode::OK, "");
        }
        // The library keeps one of two lengths and hides the other, so a request with both can't be told from
        // one that is in chunks throughout: a length is asked for, as RFC 9112 (6.3) allows.
        if head.headers.contains_key(TRANSFER_ENCODING) {
            return bad(StatusCode::LENGTH_REQUIRED, "a Content-Length is needed");
        }
        if path == "/healthz" {
            return wrong_method("GET, HEAD");
        }
        let named = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let Some(class) = self.around.classes.iter().position(|c| c == named && !c.is_empty()) else {
            return bad(StatusCode::NOT_FOUND, "no such class of message");
        };
        if head.method != Method::POST {
            return wrong_method("POST");
        }
        let length = body.size_hint().lower();
        if length > MAX_BODY as u64 {
            return bad(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB");
        }
        let (mut taken, left) = match self.read_head(&head.headers, class) {
            Ok(read) => read,
            Err(why) => return bad(StatusCode::BAD_REQUEST, why),
        };
        // Held until the message's end, or until it is turned away.
        let Some(share) = self.budget.try_reserve(length as usize) else { return closing(refused(None)) };
        taken.share = Some(share);
        let end = Instant::now() + left;
        taken.since = self.host.wall_ms();
        taken.end = taken.since + left.as_millis() as i64;
        taken.body = match timeout_at(by, Limited::new(body, MAX_BODY).collect()).await {
            // Copied: the library's own buffer, of which this is a part, is far larger than most messages.
            Ok(Ok(body)) => Bytes::copy_from_slice(&body.to_bytes()),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                return bad(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB")
            }
            Ok(Err(_)) => return bad(StatusCode::BAD_REQUEST, "the body can't be read"),
            Err(_) => return bad(StatusCode::REQUEST_TIMEOUT, "the body does not come"),
        };
        let (reply, answer) = oneshot::channel();
        if self.core.try_send(Input::Offer { taken, end, reply }).is_err() {
            return refused(None);
        }
        match answer.await {
            Ok(Reply::TakenOn) => plain(StatusCode::ACCEPTED, ""),
            Ok(Reply::Refused(after)) => refused(after),
            Ok(Reply::Failed) => plain(StatusCode::INTERNAL_SERVER_ERROR, "can't be delivered"),
            Ok(Reply::NoDestination) => bad(StatusCode::NOT_FOUND, "no such destination"),
            Ok(Reply::Conflict) => bad(StatusCode::CONFLICT, "another message has this X-Trace-Id"),
            Err(_) => refused(None),
        }
    }

    /// What a message's headers say, with its body still to come.
    fn read_head(&self, headers: &HeaderMap, class: usize) -> Result<(Taken, Duration), &'static str> {
        let text = |name: &str| {
            headers.get(name).map(|v| v.to_str().map(str::trim).ok().filter(|t| t.len() <= MAX_NAME))
        };
        let name = &self.around.classes[class];
        if !matches!(text("x-qos"), None | Some(Some(""))) && text("x-qos") != Some(Some(name.as_str())) {
            return Err("X-Qos is not the class in the path");
        }
        let trace = text("x-trace-id").flatten().filter(|t| !t.is_empty());
        let trace = trace.ok_or("X-Trace-Id is missing or malformed")?;
        let tenant = match text("x-customer") {
            None if self.around.tenants.is_empty() => "",
            Some(Some(t)) if self.around.tenants.is_empty() || self.around.tenants.iter().any(|n| n == t) => {
                t
            }
            _ => return Err("X-Customer is missing or unknown"),
        };
        let left = text("x-expires-in-ms").flatten().and_then(|t| t.parse::<u32>().ok());
        let left = left.ok_or("X-Expires-In-Ms is missing or malformed")?;
        // No message has longer than its class: core, journal and module agree on its end, over restarts too.
        let left = Duration::from_millis(left.into()).min(self.classes[class].deadline);
        let dest = text("x-consignee").flatten().and_then(|t| {
            t.split([',', ';']).find_map(|p| p.trim().strip_prefix("dest=")?.trim().parse::<u64>().ok())
        });
        let dest = dest.ok_or("X-Consignee is missing or malformed")?;
        let key = match text("idempotency-key") {
            None => None,
            Some(Some(key)) if !key.is_empty() => Some(key.to_string()),
            Some(_) => return Err("Idempotency-Key is malformed"),
        };
        // Without it a repeat would take effect twice.
        if key.is_none() && self.classes[class].effect == Effect::Keyed {
            return Err("Idempotency-Key is missing");
        }
        let (class, tenant, trace) = (name.clone(), tenant.to_string(), trace.to_string());
        let taken = Taken {
            id: 0,
            class,
            tenant,
            dest,
            trace,
            key,
            since: 0,
            end: 0,
            body: Bytes::new(),
            share: None,
        };
        Ok((taken, left))
    }
}

/// The library with its bounds on heads.
fn http() -> Builder {
    let mut builder = Builder::new();
    builder.max_buf_size(MAX_HEAD).max_headers(MAX_HEADERS);
    builder
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// An answer to what is refused with its body unread, or can't be trusted to end where it says.
fn bad(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    closing(plain(status, text))
}

fn closing(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn wrong_method(allowed: &'static str) -> Response<Full<Bytes>> {
    let mut response = bad(StatusCode::METHOD_NOT_ALLOWED, "");
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

fn refused(after: Option<Duration>) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "");
    let seconds = after.unwrap_or(Duration::from_secs(1)).as_secs_f64();
    if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Tells a client that there is no place for its connection now, whatever it asks.
async fn turn_away<S: Stream>(socket: Rc<Socket<S>>) {
    let service = service_fn(|_| async { Ok::<_, Infallible>(closing(refused(None))) });
    let connection = http().serve_connection(TokioIo::new(Io(socket.clone())), service);
    let _ = timeout(TURN_AWAY, connection).await;
    let _ = timeout(TURN_AWAY, socket.close(DRAIN_BYTES)).await;
}

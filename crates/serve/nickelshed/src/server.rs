//! The HTTP server for clients: accepts connections, validates requests and submits messages to the core.
mod client;
mod eviction;
mod request_memory;
mod responses;

use crate::inbox::{Input, Reply};
use crate::socket::{Socket, SocketIo, ARRIVED_DATA_TIMEOUT, MAX_HEADERS, MAX_HEAD_BYTES};
use crate::watch;
use bytes::Bytes;
use client::ClientConnection;
use eviction::{evicted_for_memory, evicted_for_slot};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, TRANSFER_ENCODING};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use nickelshed_budget::Budget;
use nickelshed_host::{Host, Listener, Stream};
use nickelshed_journal::{AcceptedMessage, MAX_BODY_BYTES};
use nickelshed_policy::api::Effect;
use nickelshed_settings::DeploymentContext;
pub use request_memory::RequestMemory;
use request_memory::RequestPermit;
use responses::{
    and_close, error_and_close, method_not_allowed, text_response, unavailable, UNREAD_REQUEST_REFUSED,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

/// How often a request that waits for memory looks for a connection that may give it up.
const EVICTION_INTERVAL: Duration = Duration::from_millis(20);
/// Limits, in time and in bytes, of what is still read from a closing connection, so that its last answer
/// arrives.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
const CLOSE_MAX_BYTES: usize = 1 << 20;
/// Time limit to read and answer the request of a rejected client, and the limit to close its connection.
const REJECT_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_HEADER_VALUE_LEN: usize = 256;

/// What the server needs to know of a class to accept a message.
pub struct Class {
    pub effect: Effect,
    pub deadline: Duration,
}

pub struct Server<H: Host> {
    pub host: H,
    pub core: mpsc::Sender<Input>,
    pub context: DeploymentContext,
    /// In the order of `context.classes`.
    pub classes: Vec<Class>,
    pub budget: Budget,
    /// Limit of the connections that are served.
    pub max_served: usize,
    pub request_memory: Rc<RequestMemory>,
    /// When connections were last chosen to give up their memory.
    pub last_eviction: Cell<Option<Instant>>,
    /// Limit of the connections beyond `max_served` that are answered 503. Further ones are closed
    /// immediately.
    pub max_rejected: usize,
    /// Served and rejected connections that are still open.
    pub open_connections: Cell<usize>,
    /// The connections that are served, in the order of acceptance.
    pub clients: RefCell<BTreeMap<u64, Rc<ClientConnection<H::Stream>>>>,
}

/// Why a client connection ends.
enum ConnectionEnd {
    /// Nothing is owed on it any more.
    Finished,
    /// Its client is to be told that its request was not read.
    Refused,
}

impl<H: Host> Server<H> {
    /// Accepts connections until `stop` becomes true. The open ones then close between two requests.
    pub async fn accept(self: Rc<Self>, listener: H::Listener, stop: watch::Receiver<bool>) {
        let mut stopped = stop.clone();
        let mut is_failing = false;
        for connection_id in 0.. {
            let stream = tokio::select! {
                biased;
                () = stopped.wait_for(true) => return,
                accepted = listener.accept() => match accepted {
                    Ok(stream) => stream,
                    Err(error) => {
                        // For example out of file descriptors: the sender goes on with the connections it
                        // has.
                        if !std::mem::replace(&mut is_failing, true) {
                            tracing::warn!(%error, "cannot accept a connection");
                        }
                        sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                },
            };
            is_failing = false;
            // Connections beyond the limit are accepted as well: without that, the client could not be told
            // to retry.
            let at_limit = self.clients.borrow().len() >= self.max_served && !self.evict_idle_client();
            if at_limit && self.open_connections.get() >= self.max_served + self.max_rejected {
                continue;
            }
            self.open_connections.set(self.open_connections.get() + 1);
            let (server, stop) = (self.clone(), stop.clone());
            let socket = Socket::new(stream);
            // Registered here and not in the task, because many connections may be accepted before the first
            // task runs.
            let client = (!at_limit).then(|| self.register(connection_id, &socket));
            tokio::task::spawn_local(async move {
                match client {
                    Some(client) => {
                        server.serve(client, stop).await;
                        server.clients.borrow_mut().remove(&connection_id);
                    }
                    None => reject_connection(socket).await,
                }
                server.open_connections.set(server.open_connections.get() - 1);
            });
        }
    }

    fn register(
        &self,
        connection_id: u64,
        socket: &Rc<Socket<H::Stream>>,
    ) -> Rc<ClientConnection<H::Stream>> {
        let client = Rc::new(ClientConnection::new(socket.clone()));
        self.clients.borrow_mut().insert(connection_id, client.clone());
        client
    }

    /// Asks the connection that has been idle longest to close, if it was idle long enough: some clients send
    /// one request and stay connected. Returns whether its slot is free now.
    fn evict_idle_client(&self) -> bool {
        let mut clients = self.clients.borrow_mut();
        let now = Instant::now();
        let candidates = clients.iter().filter_map(|(id, client)| client.as_candidate(*id, now));
        let Some(connection_id) = evicted_for_slot(candidates) else { return false };
        let Some(client) = clients.get(&connection_id).filter(|c| !c.socket.has_unread_data()) else {
            return false;
        };
        client.close_requested.notify_one();
        clients.remove(&connection_id);
        true
    }

    /// Asks as many connections to give up their memory as wait for it, as far as there are some that may have
    /// to. Looks for them once in each `EVICTION_INTERVAL`.
    fn evict_for_memory(&self) {
        let now = Instant::now();
        if self.last_eviction.get().is_some_and(|at| now < at + EVICTION_INTERVAL) {
            return;
        }
        self.last_eviction.set(Some(now));
        let clients = self.clients.borrow();
        let evicted_count = clients.values().filter(|client| client.is_evicted()).count();
        let candidates = clients.iter().filter_map(|(id, client)| client.as_candidate(*id, now));
        let evicted =
            evicted_for_memory(candidates, self.request_memory.waiting_count().saturating_sub(evicted_count));
        if !evicted.is_empty() {
            tracing::debug!(count = evicted.len(), "client connections give way to others for their memory");
        }
        for client in evicted.iter().filter_map(|connection_id| clients.get(connection_id)) {
            client.evict();
        }
    }

    /// Waits for the memory that a connection needs from its first request until it ends. `None` if others
    /// hold it for too long.
    async fn reserve_memory(&self, client: &ClientConnection<H::Stream>) -> Option<RequestPermit> {
        if let Some(permit) = self.request_memory.try_acquire() {
            return Some(permit);
        }
        client.set_awaiting_memory(true);
        let mut next_permit = self.request_memory.wait();
        let permit = loop {
            self.evict_for_memory();
            tokio::select! {
                biased;
                permit = &mut next_permit => break permit.ok(),
                () = sleep_until(client.deadline()) => break None,
                () = sleep(EVICTION_INTERVAL) => {}
            }
        };
        client.set_awaiting_memory(false);
        permit
    }

    async fn serve(&self, client: Rc<ClientConnection<H::Stream>>, stop: watch::Receiver<bool>) {
        let end = self.serve_requests(&client, stop).await;
        let close = async {
            if matches!(end, ConnectionEnd::Refused) {
                let _ = client.socket.write_all(UNREAD_REQUEST_REFUSED).await;
            }
            client.socket.close(CLOSE_MAX_BYTES).await;
        };
        let _ = timeout(CLOSE_TIMEOUT, close).await;
    }

    async fn serve_requests(
        &self,
        client: &Rc<ClientConnection<H::Stream>>,
        mut stop: watch::Receiver<bool>,
    ) -> ConnectionEnd {
        // The HTTP library allocates its buffers when it first reads; many clients connect and say nothing.
        let has_bytes = tokio::select! {
            biased;
            has_bytes = client.first_bytes() => has_bytes,
            () = stop.wait_for(true) => client.socket.has_unread_bytes(),
        };
        if !has_bytes {
            return ConnectionEnd::Finished;
        }
        let Some(_memory) = self.reserve_memory(client).await else { return ConnectionEnd::Refused };
        let socket = &client.socket;
        let service = service_fn(|request| async move {
            client.begin_request();
            let mut response = self.handle_request(request, client).await;
            // Clients that open a new connection for each message would otherwise fill all slots with idle
            // connections that are too young to be closed.
            if self.clients.borrow().len() > self.max_served * 3 / 4 {
                response = and_close(response);
            }
            client.end_request();
            Ok::<_, Infallible>(response)
        });
        let connection = http_builder().serve_connection(TokioIo::new(SocketIo(socket.clone())), service);
        let mut connection = pin!(connection);
        let mut is_stopping = false;
        loop {
            tokio::select! {
                biased;
                _ = connection.as_mut() => return ConnectionEnd::Finished,
                () = stop.wait_for(true), if !is_stopping => {
                    is_stopping = true;
                    connection.as_mut().graceful_shutdown();
                }
                () = client.close_requested.notified() => {
                    if client.gives_up_head() {
                        return ConnectionEnd::Refused;
                    }
                    // A request that arrived after the connection was chosen for closing is still answered.
                    if client.is_idle() && !socket.has_unread_data() {
                        return ConnectionEnd::Finished;
                    }
                }
                () = socket.readable.notified() => {}
                // While a request is being answered, its own time limit applies.
                () = sleep_until(client.deadline()), if !client.is_busy() => {
                    // What has arrived is read first: a request may be complete with it.
                    if socket.has_unread_data()
                        && timeout(ARRIVED_DATA_TIMEOUT, connection.as_mut()).await.is_ok()
                    {
                        return ConnectionEnd::Finished;
                    }
                    if Instant::now() >= client.deadline() && !client.is_busy() {
                        return ConnectionEnd::Finished;
                    }
                }
            }
        }
    }

    /// Handles one request; all of it must have arrived by the deadline of its connection.
    async fn handle_request(
        &self,
        request: Request<Incoming>,
        client: &ClientConnection<H::Stream>,
    ) -> Response<Full<Bytes>> {
        let receive_by = client.deadline();
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        if path == "/healthz" && matches!(head.method, Method::GET | Method::HEAD) && body.is_end_stream() {
            return text_response(StatusCode::OK, "");
        }
        // Of a request with both Content-Length and Transfer-Encoding the HTTP library shows only one, so it
        // cannot be told from a chunked request. Transfer-Encoding is therefore rejected altogether, and a
        // Content-Length required, as RFC 9112 (6.3) allows.
        if head.headers.contains_key(TRANSFER_ENCODING) {
            return error_and_close(StatusCode::LENGTH_REQUIRED, "a Content-Length is needed");
        }
        if path == "/healthz" {
            return method_not_allowed("GET, HEAD");
        }
        let class_name = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let Some(class) = self.context.classes.iter().position(|c| c == class_name && !c.is_empty()) else {
            return error_and_close(StatusCode::NOT_FOUND, "no such class of message");
        };
        if head.method != Method::POST {
            return method_not_allowed("POST");
        }
        let size = body.size_hint().lower();
        if size > MAX_BODY_BYTES as u64 {
            return error_and_close(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB");
        }
        let (mut message, time_left) = match self.parse_headers(&head.headers, class) {
            Ok(read) => read,
            Err(why) => return error_and_close(StatusCode::BAD_REQUEST, why),
        };
        // The head takes several times the memory of the message that was read from it.
        drop(head);
        // Reserves memory for the body until the message is finished or rejected.
        let Some(share) = self.budget.try_reserve(size as usize) else {
            tracing::debug!(message.trace, size, "no memory for the body");
            return and_close(unavailable(None));
        };
        message.memory_share = Some(share);
        let deadline = Instant::now() + time_left;
        message.accepted_at_ms = self.host.wall_ms();
        message.deadline_ms = message.accepted_at_ms + time_left.as_millis() as i64;
        let received = timeout_at(receive_by, read_body(body, size as usize));
        message.body = match client.receive_body(received).await {
            Some(Ok(Some(body))) => body,
            Some(Ok(None)) => return error_and_close(StatusCode::BAD_REQUEST, "the body can't be read"),
            Some(Err(_)) => return error_and_close(StatusCode::REQUEST_TIMEOUT, "the body does not come"),
            None => {
                tracing::debug!(message.trace, size, "no memory to wait for the body");
                return and_close(unavailable(None));
            }
        };
        if client.has_left() {
            tracing::info!(message.trace, "the client has left before its request was read; not taken on");
            return and_close(unavailable(None));
        }
        let (reply, answer) = oneshot::channel();
        if self.core.try_send(Input::Submit { message, deadline, reply }).is_err() {
            tracing::debug!("the inbox is full");
            return unavailable(None);
        }
        // Ends without an answer if the client leaves; the core then withdraws the message.
        let Some(answer) = client.while_present(answer).await else { return and_close(unavailable(None)) };
        match answer {
            Ok(Reply::Accepted) => text_response(StatusCode::ACCEPTED, ""),
            Ok(Reply::Rejected(retry_after)) => unavailable(retry_after),
            Ok(Reply::Failed) => text_response(StatusCode::INTERNAL_SERVER_ERROR, "can't be delivered"),
            Ok(Reply::UnknownDestination) => error_and_close(StatusCode::NOT_FOUND, "no such destination"),
            Ok(Reply::Conflict) => {
                error_and_close(StatusCode::CONFLICT, "another message has this X-Trace-Id")
            }
            Err(_) => unavailable(None),
        }
    }

    /// Parses the headers of a message whose body has not been read yet. Also returns the time until its
    /// deadline.
    fn parse_headers(
        &self,
        headers: &HeaderMap,
        class: usize,
    ) -> Result<(AcceptedMessage, Duration), &'static str> {
        let text = |name: &str| {
            headers
                .get(name)
                .map(|v| v.to_str().map(str::trim).ok().filter(|t| t.len() <= MAX_HEADER_VALUE_LEN))
        };
        let name = &self.context.classes[class];
        if !matches!(text("x-qos"), None | Some(Some(""))) && text("x-qos") != Some(Some(name.as_str())) {
            return Err("X-Qos is not the class in the path");
        }
        let trace = text("x-trace-id").flatten().filter(|t| !t.is_empty());
        let trace = trace.ok_or("X-Trace-Id is missing or malformed")?;
        let tenant = match text("x-customer") {
            None if self.context.tenants.is_empty() => "",
            Some(Some(t))
                if self.context.tenants.is_empty() || self.context.tenants.iter().any(|n| n == t) =>
            {
                t
            }
            _ => return Err("X-Customer is missing or unknown"),
        };
        let time_left = text("x-expires-in-ms").flatten().and_then(|t| t.parse::<u32>().ok());
        let time_left = time_left.ok_or("X-Expires-In-Ms is missing or malformed")?;
        // Limited to the deadline of the class, so that the core, the journal and the policy agree on the
        // deadline, also after a restart.
        let time_left = Duration::from_millis(time_left.into()).min(self.classes[class].deadline);
        let dest = text("x-consignee").flatten().and_then(|t| {
            t.split([',', ';']).find_map(|p| p.trim().strip_prefix("dest=")?.trim().parse::<u64>().ok())
        });
        let dest = dest.ok_or("X-Consignee is missing or malformed")?;
        let key = match text("idempotency-key") {
            None => None,
            Some(Some(key)) if !key.is_empty() => Some(key.to_string()),
            Some(_) => return Err("Idempotency-Key is malformed"),
        };
        // Without a key, a repeated attempt would take effect twice.
        if key.is_none() && self.classes[class].effect == Effect::Keyed {
            return Err("Idempotency-Key is missing");
        }
        let (class, tenant, trace) = (name.clone(), tenant.to_string(), trace.to_string());
        let message = AcceptedMessage {
            id: 0,
            class,
            tenant,
            dest,
            trace,
            key,
            accepted_at_ms: 0,
            deadline_ms: 0,
            body: Bytes::new(),
            memory_share: None,
        };
        Ok((message, time_left))
    }
}

/// Reads a body of `size` bytes. `None` if it ends early or cannot be read. Its pieces are copied as they arrive,
/// because they are slices of far larger buffers.
async fn read_body(mut body: Incoming, size: usize) -> Option<Bytes> {
    let mut bytes = Vec::with_capacity(size);
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    (bytes.len() == size).then(|| bytes.into())
}

/// An HTTP server with the limits on message heads.
fn http_builder() -> Builder {
    let mut builder = Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES).max_headers(MAX_HEADERS);
    builder
}

/// Answers a connection beyond the limit with a 503 once something has arrived on it.
async fn reject_connection<S: Stream>(socket: Rc<Socket<S>>) {
    let answer = async {
        socket.wait_readable().await;
        let _ = socket.write_all(UNREAD_REQUEST_REFUSED).await;
    };
    let _ = timeout(REJECT_TIMEOUT, answer).await;
    let _ = timeout(REJECT_TIMEOUT, socket.close(CLOSE_MAX_BYTES)).await;
}

//! One client connection that is served, and the state by which it may have to give way to others.
use super::eviction::{Candidate, Phase};
use crate::socket::Socket;
use nickelshed_host::Stream;
use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, Instant};

/// Time limit to receive a request, head and body together. For the first request it counts from when the
/// connection was accepted.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How often it is checked whether a client that waits for an answer is still there.
const PRESENCE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

pub struct ClientConnection<S> {
    pub socket: Rc<Socket<S>>,
    /// When its last request was answered, or when it was accepted.
    idle_since: Cell<Instant>,
    has_sent_request: Cell<bool>,
    /// Its first bytes have arrived and are not read before it gets memory for a request.
    awaits_memory: Cell<bool>,
    /// The head of a request has arrived and its answer is not known yet.
    is_busy: Cell<bool>,
    /// The body of that request is still arriving.
    is_receiving_body: Cell<bool>,
    /// It was chosen to give its memory to another connection.
    is_evicted: Cell<bool>,
    /// Wakes the task of the connection after it was chosen for closing.
    pub close_requested: Notify,
    /// Wakes the task that receives a body.
    body_refused: Notify,
}

impl<S: Stream> ClientConnection<S> {
    pub fn new(socket: Rc<Socket<S>>) -> ClientConnection<S> {
        ClientConnection {
            socket,
            idle_since: Cell::new(Instant::now()),
            has_sent_request: Cell::new(false),
            awaits_memory: Cell::new(false),
            is_busy: Cell::new(false),
            is_receiving_body: Cell::new(false),
            is_evicted: Cell::new(false),
            close_requested: Notify::new(),
            body_refused: Notify::new(),
        }
    }

    pub fn is_busy(&self) -> bool {
        self.is_busy.get()
    }

    pub fn is_idle(&self) -> bool {
        !self.is_busy.get() && self.socket.first_byte_at().is_none()
    }

    /// Whether it gives up a request of which the head has not arrived.
    pub fn gives_up_head(&self) -> bool {
        self.is_evicted.get() && !self.is_busy.get() && self.socket.first_byte_at().is_some()
    }

    /// When the request that is being received must be complete, or when the idle connection is closed.
    pub fn deadline(&self) -> Instant {
        match self.socket.first_byte_at() {
            Some(first_byte_at) if self.has_sent_request.get() => first_byte_at + REQUEST_TIMEOUT,
            None if self.has_sent_request.get() => self.idle_since.get() + IDLE_TIMEOUT,
            _ => self.idle_since.get() + REQUEST_TIMEOUT,
        }
    }

    /// Its state for a decision on who gives way; None if it was chosen already.
    pub fn as_candidate(&self, connection_id: u64, now: Instant) -> Option<Candidate> {
        if self.is_evicted.get() {
            return None;
        }
        let is_answering = self.is_busy.get() && !self.is_receiving_body.get();
        let (phase, since) = match self.socket.first_byte_at() {
            _ if is_answering => (Phase::Answering, self.idle_since.get()),
            Some(first_byte_at) => (Phase::Receiving, first_byte_at),
            None if self.has_sent_request.get() => (Phase::Idle, self.idle_since.get()),
            None if self.awaits_memory.get() => (Phase::Waiting, self.idle_since.get()),
            None => (Phase::Silent, self.idle_since.get()),
        };
        Some(Candidate { connection_id, phase, age: now.saturating_duration_since(since) })
    }

    /// Whether it was chosen to give up its memory and still has it.
    pub fn is_evicted(&self) -> bool {
        self.is_evicted.get()
    }

    /// Makes it close if it is idle, or refuse the request that it receives.
    pub fn evict(&self) {
        self.is_evicted.set(true);
        self.close_requested.notify_one();
        self.body_refused.notify_one();
    }

    /// Waits until the first bytes have arrived. Returns false if the connection is to be closed instead.
    pub async fn first_bytes(&self) -> bool {
        tokio::select! {
            biased;
            () = self.socket.wait_readable() => {}
            () = self.close_requested.notified() => {}
            () = sleep_until(self.deadline()) => {}
        }
        // A request that arrived after the connection was chosen for closing is still answered.
        self.socket.has_unread_bytes()
    }

    pub fn set_awaiting_memory(&self, awaits_memory: bool) {
        self.awaits_memory.set(awaits_memory);
    }

    /// Records that the head of a request has arrived.
    pub fn begin_request(&self) {
        self.is_evicted.set(false);
        self.is_busy.set(true);
    }

    /// Records that the answer to the request is known.
    pub fn end_request(&self) {
        self.is_busy.set(false);
        self.has_sent_request.set(true);
        self.idle_since.set(Instant::now());
        self.socket.end_exchange();
    }

    /// Whether the client has closed the connection, or will send nothing more. It reads no answer then, and may
    /// submit its message elsewhere.
    pub fn has_left(&self) -> bool {
        self.socket.has_peer_ended()
    }

    /// Waits for the answer to a request; returns `None` if the client leaves before. The HTTP library does not
    /// see that while requests behind this one are unread.
    pub async fn while_present<T>(&self, answer: impl Future<Output = T>) -> Option<T> {
        let mut answer = pin!(answer);
        loop {
            if let Ok(answer) = timeout(PRESENCE_CHECK_INTERVAL, answer.as_mut()).await {
                return Some(answer);
            }
            if self.has_left() {
                return None;
            }
        }
    }

    /// Waits for the body of a request; returns `None` if the connection has to give up its memory before.
    pub async fn receive_body<T>(&self, body: impl Future<Output = T>) -> Option<T> {
        self.is_receiving_body.set(true);
        let received = tokio::select! {
            biased;
            received = body => Some(received),
            () = self.refused_body() => None,
        };
        self.is_receiving_body.set(false);
        received
    }

    async fn refused_body(&self) {
        loop {
            self.body_refused.notified().await;
            if self.is_evicted.get() {
                return;
            }
        }
    }
}

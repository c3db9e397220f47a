//! A TCP socket shared between the HTTP library and its owner, who needs to know more than the library
//! reports: bytes written, the time of the first byte, and unread data.
use nickelshed_host::{ReadState, Stream};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Maximum size in bytes of a message head in either direction; twice the smallest that the HTTP library
/// allows.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// How long a connection that is to end waits for the HTTP library to read what has arrived on it: after the
/// process was held up, timers run before the runtime knows of it.
pub const ARRIVED_DATA_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum number of header lines in a head.
pub const MAX_HEADERS: usize = 64;

/// The owner's side of the socket. An exchange is one request with its answer.
pub struct Socket<S> {
    stream: S,
    bytes_written: Cell<u64>,
    /// When the first byte of the current exchange arrived.
    first_byte_at: Cell<Option<Instant>>,
    /// Notified when the first byte of an exchange arrives.
    pub readable: Notify,
    /// What has been received since `begin_exchange`, up to `MAX_HEAD_BYTES` bytes.
    received_head: RefCell<Option<Vec<u8>>>,
    /// Set until the first byte of a request is written: data that is unread by then cannot be its answer.
    must_be_idle: Cell<bool>,
    /// Whether the connection is between two exchanges, on the side that writes requests.
    is_idle: Cell<bool>,
    /// Set once data has come that answers no request.
    has_unsolicited_data: Cell<bool>,
    /// Set once a read has failed, as after a reset.
    has_failed: Cell<bool>,
}

impl<S: Stream> Socket<S> {
    pub fn new(stream: S) -> Rc<Socket<S>> {
        Rc::new(Socket {
            stream,
            bytes_written: Cell::new(0),
            first_byte_at: Cell::new(None),
            readable: Notify::new(),
            received_head: RefCell::new(None),
            must_be_idle: Cell::new(false),
            is_idle: Cell::new(false),
            has_unsolicited_data: Cell::new(false),
            has_failed: Cell::new(false),
        })
    }

    /// Bytes written since the socket was opened.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written.get()
    }

    pub fn first_byte_at(&self) -> Option<Instant> {
        self.first_byte_at.get()
    }

    /// Ends the exchange: forgets what has been received.
    pub fn end_exchange(&self) {
        self.first_byte_at.set(None);
        self.received_head.replace(None);
    }

    /// Restarts the wait for a first byte, after what arrived turned out to be an interim response.
    pub fn clear_first_byte(&self) {
        self.first_byte_at.set(None);
    }

    /// Prepares for a request: records what is received, and fails the first write if unread data is waiting.
    pub fn begin_exchange(&self) {
        self.end_exchange();
        self.received_head.replace(Some(Vec::new()));
        self.must_be_idle.set(true);
        self.is_idle.set(false);
    }

    /// Marks the last answer as complete: what comes before the next `begin_exchange` answers no request.
    pub fn begin_idle(&self) {
        self.is_idle.set(true);
    }

    pub fn record_unsolicited_data(&self) {
        self.has_unsolicited_data.set(true);
    }

    /// Records unsolicited data that was read together with an answer.
    pub fn keep_unsolicited_data(&self, data: Vec<u8>) {
        self.record_unsolicited_data();
        self.received_head.replace(Some(data));
    }

    /// Whether data that answers no request has come, or waits to be read.
    pub fn has_unsolicited_data(&self) -> bool {
        self.has_unsolicited_data.get() || (self.is_idle.get() && self.read_state() == ReadState::Data)
    }

    /// What has been received of the current answer, or as unsolicited data, up to `MAX_HEAD_BYTES` bytes, with
    /// what has arrived and was not read yet. Nothing else may read the connection any more.
    pub fn take_received(&self) -> Vec<u8> {
        let mut data = self.received_head.take().unwrap_or_default();
        let mut buffer = [0; 4096];
        while data.len() < MAX_HEAD_BYTES {
            match self.stream.read_available(&mut buffer) {
                Ok(count @ 1..) => data.extend_from_slice(&buffer[..count]),
                Ok(0) => break,
                Err(error) => {
                    self.has_failed.set(self.has_failed.get() || error.kind() != io::ErrorKind::WouldBlock);
                    break;
                }
            }
        }
        data
    }

    /// Whether a read has failed, as after a reset, or would fail now.
    pub fn has_failed(&self) -> bool {
        self.read_state() == ReadState::Failed || self.has_failed.get()
    }

    /// What a read would find. An error is remembered, because the operating system reports it only once.
    fn read_state(&self) -> ReadState {
        let state = self.stream.read_state();
        if state == ReadState::Failed {
            self.has_failed.set(true);
        }
        state
    }

    /// Waits until unread data, the end of the stream or an error is waiting.
    pub async fn wait_readable(&self) {
        let _ = poll_fn(|cx| self.stream.poll_readable(cx)).await;
    }

    /// Writes bytes without the HTTP library, which must not use the socket any more.
    ///
    /// # Errors
    /// If the connection no longer exists.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let written = poll_fn(|cx| self.stream.poll_write(cx, &[IoSlice::new(bytes)])).await?;
            bytes = &bytes[written..];
        }
        Ok(())
    }

    /// Whether the other side has left: it closed the connection, or will send nothing more. Bytes that it sent
    /// before may be unread.
    pub fn has_peer_ended(&self) -> bool {
        self.stream.has_peer_ended()
    }

    /// Shuts down the sending side; reading remains possible.
    ///
    /// # Errors
    /// If the connection no longer exists.
    pub fn shutdown_write(&self) -> io::Result<()> {
        self.stream.shutdown_write()
    }

    /// What has been received since `begin_exchange`; empty if no exchange is active.
    pub fn received_head(&self) -> Vec<u8> {
        self.received_head.borrow().clone().unwrap_or_default()
    }

    /// Whether unread bytes are waiting. Asks the operating system, because the runtime may not know yet.
    pub fn has_unread_bytes(&self) -> bool {
        self.read_state() == ReadState::Data
    }

    /// Whether unread data or the end of the stream is waiting. Asks the operating system, because the
    /// runtime may not know yet.
    pub fn has_unread_data(&self) -> bool {
        self.read_state() != ReadState::Empty
    }

    /// Shuts down the sending side, then reads and discards data until the other side closes, up to
    /// `max_bytes`. Closing with unread data would reset the connection, and an answer on its way could be
    /// lost.
    pub async fn close(&self, max_bytes: usize) {
        if self.stream.shutdown_write().is_err() {
            return;
        }
        // On the heap, so that a connection that is not closing does not hold it.
        let mut buffer = vec![0; 4096];
        let mut left = max_bytes;
        while left > 0 {
            match poll_fn(|cx| self.stream.poll_read(cx, &mut buffer)).await {
                Ok(0) | Err(_) => return,
                Ok(n) => left = left.saturating_sub(n),
            }
        }
    }
}

/// The side of the socket that the HTTP library uses.
pub struct SocketIo<S>(pub Rc<Socket<S>>);

impl<S: Stream> AsyncRead for SocketIo<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let socket = &self.0;
        let read = ready!(socket.stream.poll_read(cx, buf.initialize_unfilled()));
        if read.is_err() {
            socket.has_failed.set(true);
        }
        let n = read?;
        if n > 0 && socket.is_idle.get() {
            socket.record_unsolicited_data();
            // Kept like the head of an answer, for what it may say about its endpoint.
            socket.received_head.borrow_mut().get_or_insert_default();
        }
        if n > 0 && socket.first_byte_at.get().is_none() {
            socket.first_byte_at.set(Some(Instant::now()));
            socket.readable.notify_one();
        }
        if let Some(received) = socket.received_head.borrow_mut().as_mut() {
            let space = MAX_HEAD_BYTES.saturating_sub(received.len());
            received.extend_from_slice(&buf.initialize_unfilled()[..n.min(space)]);
        }
        buf.advance(n);
        Poll::Ready(Ok(()))
    }
}

impl<S: Stream> SocketIo<S> {
    fn write(&self, cx: &mut Context<'_>, buffers: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        let socket = &self.0;
        let unread = if socket.must_be_idle.replace(false) { socket.read_state() } else { ReadState::Empty };
        if unread == ReadState::Data {
            socket.record_unsolicited_data();
        }
        if unread != ReadState::Empty {
            // The other side closed, or data follows the previous answer. Sending now would let that data
            // pass for the answer to this request.
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::ConnectionAborted,
                "connection no longer idle",
            )));
        }
        let n = ready!(socket.stream.poll_write(cx, buffers))?;
        socket.bytes_written.set(socket.bytes_written.get() + n as u64);
        Poll::Ready(Ok(n))
    }
}

impl<S: Stream> AsyncWrite for SocketIo<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.write(cx, &[IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, bufs)
    }

    /// Lets the library write bodies without copying them into a buffer that each connection would keep.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.0.stream.shutdown_write())
    }
}

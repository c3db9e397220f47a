//! A TCP socket shared between the HTTP library and its owner, who needs to know more than the library
//! reports: bytes written, the time of the first byte, and unread data.
use nickelshed_host::Stream;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Maximum size in bytes of a message head in either direction; twice the smallest that the HTTP library
/// allows.
pub const MAX_HEAD: usize = 16 << 10;
/// Maximum number of header lines in a head.
pub const MAX_HEADERS: usize = 64;

pub struct Socket<S> {
    stream: S,
    written: Cell<u64>,
    /// When the first byte of the current exchange arrived.
    heard: Cell<Option<Instant>>,
    pub news: Notify,
    /// What has been received since `begin_exchange`, up to `MAX_HEAD` bytes.
    head: RefCell<Option<Vec<u8>>>,
    /// Set until the first byte of a request is written: unread data at that time cannot be the answer to it.
    quiet: Cell<bool>,
}

impl<S: Stream> Socket<S> {
    pub fn new(stream: S) -> Rc<Socket<S>> {
        Rc::new(Socket {
            stream,
            written: Cell::new(0),
            heard: Cell::new(None),
            news: Notify::new(),
            head: RefCell::new(None),
            quiet: Cell::new(false),
        })
    }

    pub fn written(&self) -> u64 {
        self.written.get()
    }

    pub fn heard(&self) -> Option<Instant> {
        self.heard.get()
    }

    /// Ends the exchange: forgets what has been received.
    pub fn rest(&self) {
        self.heard.set(None);
        self.head.replace(None);
    }

    /// Restarts the wait for a first byte, after what arrived turned out to be an interim response.
    pub fn hear_on(&self) {
        self.heard.set(None);
    }

    /// Prepares for a request: records what is received, and fails the first write if unread data is waiting.
    pub fn listen(&self) {
        self.rest();
        self.head.replace(Some(Vec::new()));
        self.quiet.set(true);
    }

    /// What has been received since `begin_exchange`; empty if no exchange is active.
    pub fn head(&self) -> Vec<u8> {
        self.head.borrow().clone().unwrap_or_default()
    }

    /// Whether unread data or the end of the stream is waiting. Asks the operating system, because the
    /// runtime may not know yet.
    pub fn has_news(&self) -> bool {
        self.stream.has_news()
    }

    /// Shuts down the sending side, then reads and discards data until the other side closes, up to
    /// `max_bytes`. Closing with unread data would reset the connection, and an answer on its way could be
    /// lost.
    pub async fn close(&self, most: usize) {
        if self.stream.end_sending().is_err() {
            return;
        }
        let mut buffer = [0; 4096];
        let mut left = most;
        while left > 0 {
            match poll_fn(|cx| self.stream.poll_read(cx, &mut buffer)).await {
                Ok(0) | Err(_) => return,
                Ok(n) => left = left.saturating_sub(n),
            }
        }
    }
}

/// The side of the socket that the HTTP library uses.
pub struct Io<S>(pub Rc<Socket<S>>);

impl<S: Stream> AsyncRead for Io<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let socket = &self.0;
        let n = ready!(socket.stream.poll_read(cx, buf.initialize_unfilled()))?;
        if n > 0 && socket.heard.get().is_none() {
            socket.heard.set(Some(Instant::now()));
            socket.news.notify_one();
        }
        if let Some(head) = socket.head.borrow_mut().as_mut() {
            let room = MAX_HEAD.saturating_sub(head.len());
            head.extend_from_slice(&buf.initialize_unfilled()[..n.min(room)]);
        }
        buf.advance(n);
        Poll::Ready(Ok(()))
    }
}

impl<S: Stream> Io<S> {
    fn write(&self, cx: &mut Context<'_>, parts: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        let socket = &self.0;
        if socket.quiet.replace(false) && socket.has_news() {
            // The other side closed, or data follows the previous answer. Sending now would let that data
            // pass for the answer to this request.
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::ConnectionAborted,
                "connection no longer idle",
            )));
        }
        let n = ready!(socket.stream.poll_write(cx, parts))?;
        socket.written.set(socket.written.get() + n as u64);
        Poll::Ready(Ok(n))
    }
}

impl<S: Stream> AsyncWrite for Io<S> {
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
        Poll::Ready(self.0.stream.end_sending())
    }
}

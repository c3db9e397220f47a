//! A TCP socket under the HTTP library, shared with its owner: it tells what the library does not.
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

/// Longest head, in either direction; the least that the library allows is half of it.
pub const MAX_HEAD: usize = 16 << 10;
/// Most lines of a head.
pub const MAX_HEADERS: usize = 64;

pub struct Socket<S> {
    stream: S,
    written: Cell<u64>,
    /// When the first byte came since the last `rest`.
    heard: Cell<Option<Instant>>,
    pub news: Notify,
    /// What has come since `listen`, as far as a head may go.
    head: RefCell<Option<Vec<u8>>>,
    /// Set while nothing may come: what does is no answer to what is written next.
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

    /// An exchange is over.
    pub fn rest(&self) {
        self.heard.set(None);
        self.head.replace(None);
    }

    /// What has come so far was not what is waited for.
    pub fn hear_on(&self) {
        self.heard.set(None);
    }

    /// Before a request: keeps what comes back, and lets its first byte out only if nothing has come yet.
    pub fn listen(&self) {
        self.rest();
        self.head.replace(Some(Vec::new()));
        self.quiet.set(true);
    }

    /// What has come since `listen`, if it is kept.
    pub fn head(&self) -> Vec<u8> {
        self.head.borrow().clone().unwrap_or_default()
    }

    /// Whether bytes wait in the socket, or its end: asked of the system, as the runtime may not know yet.
    pub fn has_news(&self) -> bool {
        self.stream.has_readable_data()
    }

    /// Ends the sending, then reads and drops what comes until the other side has closed, up to a bound: closing
    /// with bytes unread would reset the connection, and an answer on its way could be lost.
    pub async fn close(&self, most: usize) {
        if self.stream.shutdown_write().is_err() {
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

/// The library's end of it.
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
            // The end of the connection, or bytes behind the answer before: they would be read as the answer
            // to this request.
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionAborted, "not idle any more")));
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

    /// So that the library need not copy bodies into a buffer of its own, which every connection would keep.
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

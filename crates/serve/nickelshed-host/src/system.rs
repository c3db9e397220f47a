//! The traits implemented on the operating system: TCP and UDP sockets of Tokio, and the system's clocks.
use crate::{DatagramSocket, Host, Listener, ReadState, Stream};
use socket2::SockRef;
use std::future::Future;
use std::io::{self, IoSlice, Read};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::pin::pin;
use std::task::{ready, Context, Poll, Waker};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::Instant;

/// The machine that this process runs on.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemHost;

/// Disables Nagle's algorithm, so that a small response does not wait for an acknowledgement from the peer.
fn with_nodelay(stream: TcpStream) -> TcpStream {
    let _ = stream.set_nodelay(true);
    stream
}

/// Repeats an operation that a signal interrupts (EINTR), which says nothing about its connection.
fn uninterrupted<T>(mut operation: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match operation() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

impl Host for SystemHost {
    type Stream = TcpStream;
    type Listener = TcpListener;
    type DatagramSocket = UdpSocket;

    async fn connect(&self, to: SocketAddr) -> io::Result<TcpStream> {
        TcpStream::connect(to).await.map(with_nodelay)
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<TcpListener> {
        TcpListener::bind(at).await
    }

    async fn bind_datagrams(&self, at: SocketAddr) -> io::Result<UdpSocket> {
        UdpSocket::bind(at).await
    }

    fn monotonic(&self) -> Instant {
        Instant::now()
    }

    fn wall_ms(&self) -> i64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as i64)
    }
}

impl Listener for TcpListener {
    type Stream = TcpStream;

    async fn accept(&self) -> io::Result<TcpStream> {
        TcpListener::accept(self).await.map(|(stream, _)| with_nodelay(stream))
    }
}

impl DatagramSocket for UdpSocket {
    fn send(&self, bytes: &[u8], to: SocketAddr) {
        let _ = self.try_send_to(bytes, to);
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.recv_from(buffer).await
    }
}

impl Stream for TcpStream {
    fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.poll_read_ready(cx))?;
            match uninterrupted(|| self.try_read(buffer)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.poll_read_ready(cx))?;
            // Asked again, because readiness that the runtime reports may be out of date; `try_io` then clears
            // it.
            let would_block = || Err(io::ErrorKind::WouldBlock.into());
            let readable = self.try_io(Interest::READABLE, || match self.read_state() {
                ReadState::Empty => would_block(),
                ReadState::Data | ReadState::Ended | ReadState::Failed => Ok(()),
            });
            match readable {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn read_available(&self, buffer: &mut [u8]) -> io::Result<usize> {
        uninterrupted(|| (&*SockRef::from(self)).read(buffer))
    }

    fn poll_write(&self, cx: &mut Context<'_>, buffers: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.poll_write_ready(cx))?;
            match uninterrupted(|| self.try_write_vectored(buffers)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn read_state(&self) -> ReadState {
        let mut byte = [MaybeUninit::uninit()];
        match uninterrupted(|| SockRef::from(self).peek(&mut byte)) {
            Ok(1..) => ReadState::Data,
            Ok(0) => ReadState::Ended,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => ReadState::Empty,
            Err(_) => ReadState::Failed,
        }
    }

    fn has_peer_ended(&self) -> bool {
        let mut context = Context::from_waker(Waker::noop());
        let readiness = pin!(self.ready(Interest::READABLE)).poll(&mut context);
        matches!(readiness, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    fn shutdown_write(&self) -> io::Result<()> {
        SockRef::from(self).shutdown(Shutdown::Write)
    }
}

#[cfg(test)]
mod tests;

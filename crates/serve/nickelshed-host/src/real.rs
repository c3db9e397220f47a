//! The traits implemented on the operating system: TCP and UDP sockets of Tokio, and the system's clocks.
use crate::{Datagrams, Host, Listener, Stream};
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::task::{ready, Context, Poll};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::Instant;

#[derive(Clone, Copy, Debug, Default)]
pub struct Machine;

/// Disables Nagle's algorithm, so that a small response does not wait for an acknowledgement from the peer.
fn prompt(stream: TcpStream) -> TcpStream {
    let _ = stream.set_nodelay(true);
    stream
}

impl Host for Machine {
    type Stream = TcpStream;
    type Listener = TcpListener;
    type Datagrams = UdpSocket;

    async fn connect(&self, to: SocketAddr) -> io::Result<TcpStream> {
        TcpStream::connect(to).await.map(prompt)
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<TcpListener> {
        TcpListener::bind(at).await
    }

    async fn datagrams(&self, at: SocketAddr) -> io::Result<UdpSocket> {
        UdpSocket::bind(at).await
    }

    fn monotonic(&self) -> Instant {
        Instant::now()
    }

    fn wall_ms(&self) -> i64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as i64)
    }
}

impl Listener for TcpListener {
    type Stream = TcpStream;

    async fn accept(&self) -> io::Result<TcpStream> {
        TcpListener::accept(self).await.map(|(stream, _)| prompt(stream))
    }
}

impl Datagrams for UdpSocket {
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
            match self.try_read(buffer) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    fn poll_write(&self, cx: &mut Context<'_>, parts: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.poll_write_ready(cx))?;
            match self.try_write_vectored(parts) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    fn has_news(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        !matches!(SockRef::from(self).peek(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    fn end_sending(&self) -> io::Result<()> {
        SockRef::from(self).shutdown(Shutdown::Write)
    }
}

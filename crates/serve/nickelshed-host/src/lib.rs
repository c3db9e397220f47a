//! Network and clocks of the machine that a sender runs on, as traits, so that tests can simulate them. The
//! implementation is a type parameter, so real sockets pay no dynamic dispatch. Timers are Tokio's, which a
//! test can pause and advance; storage has its own trait in the journal.
mod system;

pub use system::SystemHost;

use std::future::Future;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// A machine as seen by the programs that run on it.
pub trait Host: Clone + 'static {
    type Stream: Stream;
    type Listener: Listener<Stream = Self::Stream>;
    type DatagramSocket: DatagramSocket;

    /// Opens a connection.
    ///
    /// # Errors
    /// If the connection is refused. If nothing answers, the future never completes, so the caller needs a
    /// timeout.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Listens for connections at an address.
    ///
    /// # Errors
    /// If the address is in use or does not belong to this machine.
    fn listen(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>>;

    /// Opens a socket that sends and receives datagrams at an address.
    ///
    /// # Errors
    /// If the address is in use or does not belong to this machine, or if the machine does not support
    /// datagrams.
    fn bind_datagrams(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::DatagramSocket>>;

    /// The machine's monotonic clock. It advances even while the process is blocked, for example by a slow
    /// disk. Under simulated time this is the only clock that does; Tokio's stands still until the process
    /// yields.
    fn monotonic(&self) -> Instant;

    /// Unix time in milliseconds. It may jump; use it only for times that must remain valid after a restart.
    fn wall_ms(&self) -> i64;
}

/// A socket that accepts connections.
pub trait Listener: 'static {
    type Stream: Stream;

    /// Accepts the next connection.
    ///
    /// # Errors
    /// If the machine cannot take another connection now; the next call may succeed.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// A datagram socket.
pub trait DatagramSocket: 'static {
    /// Sends a datagram without blocking. It is dropped if the machine's send buffer is full, like a datagram
    /// lost in the network.
    fn send(&self, bytes: &[u8], to: SocketAddr);

    /// Receives the next datagram and its source. Bytes that do not fit into the buffer are discarded.
    ///
    /// # Errors
    /// Transient errors of the machine; the next call may succeed.
    fn receive(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;
}

/// What a read of a connection would find without waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadState {
    /// Nothing has arrived.
    Empty,
    /// Unread bytes.
    Data,
    /// The peer has shut down its sending side.
    Ended,
    /// An error, such as a reset.
    Failed,
}

/// A connection that can be read, written and watched through shared references. Dropping it closes the
/// connection; if received bytes are then unread, the peer sees a reset.
pub trait Stream: 'static {
    /// Reads into `buffer`. `Ready(Ok(0))` means that the peer has shut down its sending side, or that
    /// `buffer` is empty. Only the task that polled last is woken.
    fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>>;

    /// Waits until a read would find bytes, the end of the stream or an error. Only the task that polled last
    /// is woken.
    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>>;

    /// Reads what has arrived, without waiting. Asks the operating system, because the runtime may not know yet.
    /// `Ok(0)` means the same as in `poll_read`.
    ///
    /// # Errors
    /// [`io::ErrorKind::WouldBlock`] if nothing has arrived, otherwise as a read.
    fn read_available(&self, buffer: &mut [u8]) -> io::Result<usize>;

    /// Writes some or all of the bytes, in order, and returns how many. Only the task that polled last is
    /// woken.
    fn poll_write(&self, cx: &mut Context<'_>, buffers: &[IoSlice<'_>]) -> Poll<io::Result<usize>>;

    /// What a read would find now. Asks the operating system, because the runtime may not know yet.
    fn read_state(&self) -> ReadState;

    /// Whether the peer has shut down its sending side or reset the connection, as far as the runtime knows, also
    /// if bytes that came before are unread.
    fn has_peer_ended(&self) -> bool;

    /// Shuts down the sending side; reading remains possible.
    ///
    /// # Errors
    /// If the connection no longer exists.
    fn shutdown_write(&self) -> io::Result<()>;
}

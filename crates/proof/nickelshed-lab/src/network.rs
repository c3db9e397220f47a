//! The network that senders, fake servers and clients use: the simulated one, or real loopback sockets behind
//! the same types.
use crate::process_run::ProcessRun;
use crate::sim_network::{Partition, SimDatagrams, SimHost, SimListener, SimNetwork, SimStream};
use crate::sockets::{ListenerRegistry, SocketHost, SocketListener, SocketStream};
use nickelshed_host::{Host, Listener, ReadState, Stream, SystemHost};
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The network that joins all machines of a run.
pub struct Network {
    simulated: SimNetwork,
    /// Open listeners of a run over real sockets; None in simulated time.
    real_listeners: Option<ListenerRegistry>,
}

impl Network {
    pub fn simulated(simulated: SimNetwork) -> Network {
        Network { simulated, real_listeners: None }
    }

    pub fn real(simulated: SimNetwork) -> Network {
        Network { simulated, real_listeners: Some(ListenerRegistry::default()) }
    }

    /// Returns the network interface of one machine. With a process state, the machine is that sender's.
    pub fn host(&self, process_state: Option<Rc<ProcessRun>>) -> LabHost {
        match &self.real_listeners {
            None => LabHost::Simulated(self.simulated.host(process_state)),
            Some(listeners) => LabHost::Real(SocketHost {
                listeners: listeners.clone(),
                network: self.simulated.clone(),
                process_state,
            }),
        }
    }

    /// Moves all wall clocks forward by `ms` milliseconds.
    pub fn advance_wall_clocks(&self, ms: i64) {
        self.simulated.advance_wall_clocks(ms);
    }

    /// Number of datagrams between senders that were put into a receiver's queue.
    pub fn datagrams_sent(&self) -> u64 {
        self.simulated.datagrams_sent()
    }

    /// Starts a partition, in place of any earlier one. It affects only the simulated network: traffic over
    /// real sockets still passes.
    pub fn set_partition(&self, partition: Partition) {
        self.simulated.set_partition(partition);
    }

    /// Refused connection attempts of senders: time, sender and target address.
    pub fn refused_connections(&self) -> Vec<(tokio::time::Instant, usize, SocketAddr)> {
        self.simulated.refused_connections()
    }

    /// Start of the run.
    pub fn started_at(&self) -> tokio::time::Instant {
        self.simulated.started_at()
    }

    /// Removes the listener at this address.
    pub fn close_listener(&self, at: SocketAddr) {
        match &self.real_listeners {
            None => self.simulated.close_listener(at),
            Some(listeners) => listeners.close_listener(at),
        }
    }
}

/// The network interface of one machine.
#[derive(Clone)]
pub enum LabHost {
    Simulated(SimHost),
    Real(SocketHost),
}

impl LabHost {
    /// Leaves connections to endpoints open when the sender drops them. Has no effect over real sockets.
    pub fn leaking_connections(self) -> LabHost {
        match self {
            LabHost::Simulated(host) => LabHost::Simulated(host.leaking_connections()),
            real @ LabHost::Real(_) => real,
        }
    }
}

impl Host for LabHost {
    type Stream = LabStream;
    type Listener = LabListener;
    type DatagramSocket = SimDatagrams;

    async fn connect(&self, to: SocketAddr) -> io::Result<LabStream> {
        match self {
            LabHost::Simulated(host) => host.connect(to).await.map(LabStream::Simulated),
            LabHost::Real(host) => host.connect(to).await.map(LabStream::Real),
        }
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<LabListener> {
        match self {
            LabHost::Simulated(host) => host.listen(at).await.map(LabListener::Simulated),
            LabHost::Real(host) => host.listen(at).await.map(LabListener::Real),
        }
    }

    /// Supported only in simulated time.
    async fn bind_datagrams(&self, at: SocketAddr) -> io::Result<SimDatagrams> {
        match self {
            LabHost::Simulated(host) => host.bind_datagrams(at).await,
            LabHost::Real(_) => Err(io::ErrorKind::Unsupported.into()),
        }
    }

    fn monotonic(&self) -> tokio::time::Instant {
        match self {
            LabHost::Simulated(host) => host.monotonic(),
            LabHost::Real(_) => SystemHost.monotonic(),
        }
    }

    fn wall_ms(&self) -> i64 {
        match self {
            LabHost::Simulated(host) => host.wall_ms(),
            LabHost::Real(host) => SystemHost.wall_ms() + host.network.wall_clock_offset_ms(),
        }
    }
}

pub enum LabListener {
    Simulated(SimListener),
    Real(SocketListener),
}

impl Listener for LabListener {
    type Stream = LabStream;

    async fn accept(&self) -> io::Result<LabStream> {
        match self {
            LabListener::Simulated(listener) => listener.accept().await.map(LabStream::Simulated),
            LabListener::Real(listener) => listener.accept().await.map(LabStream::Real),
        }
    }
}

pub enum LabStream {
    Simulated(SimStream),
    Real(SocketStream),
}

impl LabStream {
    /// When the peer wrote the bytes that were read last, or ended the stream if that end has been read. Over
    /// real sockets, when they were read.
    pub fn last_sent_at(&self) -> tokio::time::Instant {
        match self {
            LabStream::Simulated(stream) => stream.last_sent_at(),
            LabStream::Real(stream) => stream.last_sent_at(),
        }
    }

    /// When the peer ended or reset the connection. In simulated time it is known before it arrives here,
    /// over real sockets only once it has been read.
    pub fn peer_ended_at(&self) -> Option<tokio::time::Instant> {
        match self {
            LabStream::Simulated(stream) => stream.peer_ended_at(),
            LabStream::Real(stream) => stream.peer_ended_at(),
        }
    }

    /// Whether a partition blocks the connection now.
    pub fn is_partitioned(&self) -> bool {
        match self {
            LabStream::Simulated(stream) => stream.is_partitioned(),
            LabStream::Real(_) => false,
        }
    }

    /// Reads what has arrived; 0 bytes at the end of the stream.
    pub async fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        match self {
            LabStream::Simulated(stream) => stream.read(buffer).await,
            LabStream::Real(stream) => stream.read(buffer).await,
        }
    }

    pub async fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        match self {
            LabStream::Simulated(stream) => stream.write_all(bytes).await,
            LabStream::Real(stream) => stream.write_all(bytes).await,
        }
    }

    /// Resets the connection: at once in simulated time, when this end is dropped over real sockets.
    pub fn reset(&self) {
        match self {
            LabStream::Simulated(stream) => stream.reset(),
            LabStream::Real(stream) => stream.reset(),
        }
    }
}

impl Stream for LabStream {
    fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        match self {
            LabStream::Simulated(stream) => stream.poll_read(cx, buffer),
            LabStream::Real(stream) => stream.poll_read(cx, buffer),
        }
    }

    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self {
            LabStream::Simulated(stream) => stream.poll_readable(cx),
            LabStream::Real(stream) => stream.poll_readable(cx),
        }
    }

    fn read_available(&self, buffer: &mut [u8]) -> io::Result<usize> {
        match self {
            LabStream::Simulated(stream) => stream.read_available(buffer),
            LabStream::Real(stream) => stream.read_available(buffer),
        }
    }

    fn poll_write(&self, cx: &mut Context<'_>, parts: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        match self {
            LabStream::Simulated(stream) => stream.poll_write(cx, parts),
            LabStream::Real(stream) => stream.poll_write(cx, parts),
        }
    }

    fn read_state(&self) -> ReadState {
        match self {
            LabStream::Simulated(stream) => stream.read_state(),
            LabStream::Real(stream) => stream.read_state(),
        }
    }

    fn has_peer_ended(&self) -> bool {
        match self {
            LabStream::Simulated(stream) => stream.has_peer_ended(),
            LabStream::Real(stream) => stream.has_peer_ended(),
        }
    }

    fn shutdown_write(&self) -> io::Result<()> {
        match self {
            LabStream::Simulated(stream) => stream.shutdown_write(),
            LabStream::Real(stream) => stream.shutdown_write(),
        }
    }
}

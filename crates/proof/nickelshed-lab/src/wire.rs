//! The machines of a day as its senders and stand-ins see them: over the simulated network, or over real sockets.
use crate::life::Life;
use crate::net::{Partition, SimDatagrams, SimHost, SimListener, SimNetwork, SimStream};
use crate::sockets::{ListenerRegistry, SocketHost, SocketListener, SocketStream};
use nickelshed_host::{Host, Listener, Machine, Stream};
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};

/// All machines of a day.
pub struct Network {
    network: SimNetwork,
    /// None in simulated time.
    real_listeners: Option<ListenerRegistry>,
}

impl Network {
    pub fn simulated(net: SimNetwork) -> Network {
        Network { network: net, real_listeners: None }
    }

    pub fn real(net: SimNetwork) -> Network {
        Network { network: net, real_listeners: Some(ListenerRegistry::default()) }
    }

    /// One of them; a sender's, if it has a life.
    pub fn host(&self, life: Option<Rc<Life>>) -> LabHost {
        match &self.real_listeners {
            None => LabHost::Simulated(self.network.host(life)),
            Some(ports) => LabHost::Real(SocketHost {
                listeners: ports.clone(),
                network: self.network.clone(),
                process_state: life,
            }),
        }
    }

    /// Moves all wall clocks, by milliseconds.
    pub fn advance_wall_clocks(&self, ms: i64) {
        self.network.advance_wall_clocks(ms);
    }

    /// Datagrams between senders that were sent to somebody.
    pub fn datagrams_sent(&self) -> u64 {
        self.network.datagrams_sent()
    }

    /// Has nothing arrive between some of them for a time. Only in simulated time: real sockets are left whole.
    pub fn set_partition(&self, severed: Partition) {
        self.network.set_partition(severed);
    }

    /// Connections of senders that were refused: when, whose, and where to.
    pub fn refused_connections(&self) -> Vec<(tokio::time::Instant, usize, SocketAddr)> {
        self.network.refused_connections()
    }

    pub fn started_at(&self) -> tokio::time::Instant {
        self.network.started_at()
    }

    /// Nobody listens there any more.
    pub fn close_listener(&self, at: SocketAddr) {
        match &self.real_listeners {
            None => self.network.close_listener(at),
            Some(ports) => ports.close_listener(at),
        }
    }
}

#[derive(Clone)]
pub enum LabHost {
    Simulated(SimHost),
    Real(SocketHost),
}

impl LabHost {
    /// Its connections to endpoints stay open when they are closed here.
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
    type Datagrams = SimDatagrams;

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

    /// Only in simulated time.
    async fn datagrams(&self, at: SocketAddr) -> io::Result<SimDatagrams> {
        match self {
            LabHost::Simulated(host) => host.datagrams(at).await,
            LabHost::Real(_) => Err(io::ErrorKind::Unsupported.into()),
        }
    }

    fn monotonic(&self) -> tokio::time::Instant {
        match self {
            LabHost::Simulated(host) => host.monotonic(),
            LabHost::Real(_) => Machine.monotonic(),
        }
    }

    fn wall_ms(&self) -> i64 {
        match self {
            LabHost::Simulated(host) => host.wall_ms(),
            LabHost::Real(host) => Machine.wall_ms() + host.network.wall_clock_offset_ms(),
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
    /// When the other side wrote what was read last, or ended its sending if that has come.
    pub fn last_sent_at(&self) -> tokio::time::Instant {
        match self {
            LabStream::Simulated(stream) => stream.last_sent_at(),
            LabStream::Real(stream) => stream.last_sent_at(),
        }
    }

    /// When the other side ended its sending: in simulated time whether or not that has come.
    pub fn peer_ended_at(&self) -> Option<tokio::time::Instant> {
        match self {
            LabStream::Simulated(stream) => stream.peer_ended_at(),
            LabStream::Real(stream) => stream.peer_ended_at(),
        }
    }

    /// Whether nothing passes now.
    pub fn is_partitioned(&self) -> bool {
        match self {
            LabStream::Simulated(stream) => stream.is_partitioned(),
            LabStream::Real(_) => false,
        }
    }

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

    /// The other side sees a reset, once this end is dropped at the latest.
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

    fn poll_write(&self, cx: &mut Context<'_>, parts: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        match self {
            LabStream::Simulated(stream) => stream.poll_write(cx, parts),
            LabStream::Real(stream) => stream.poll_write(cx, parts),
        }
    }

    fn has_news(&self) -> bool {
        match self {
            LabStream::Simulated(stream) => stream.has_news(),
            LabStream::Real(stream) => stream.has_news(),
        }
    }

    fn end_sending(&self) -> io::Result<()> {
        match self {
            LabStream::Simulated(stream) => stream.end_sending(),
            LabStream::Real(stream) => stream.end_sending(),
        }
    }
}

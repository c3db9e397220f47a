//! The machines of a day as its senders and stand-ins see them: over the simulated network, or over real sockets.
use crate::net::{Net, Severed, SimDatagrams, SimHost, SimListener, SimStream};
use crate::process_run::ProcessRun;
use crate::sockets::{Ports, SocketHost, SocketListener, SocketStream};
use nickelshed_host::{Host, Listener, Machine, Stream};
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};

/// All machines of a day.
pub struct Machines {
    net: Net,
    /// None in simulated time.
    sockets: Option<Ports>,
}

impl Machines {
    pub fn simulated(net: Net) -> Machines {
        Machines { net, sockets: None }
    }

    pub fn real(net: Net) -> Machines {
        Machines { net, sockets: Some(Ports::default()) }
    }

    /// One of them; a sender's, if it has a life.
    pub fn host(&self, life: Option<Rc<ProcessRun>>) -> LabHost {
        match &self.sockets {
            None => LabHost::Simulated(self.net.host(life)),
            Some(ports) => LabHost::Real(SocketHost { ports: ports.clone(), net: self.net.clone(), life }),
        }
    }

    /// Moves all wall clocks, by milliseconds.
    pub fn jump(&self, ms: i64) {
        self.net.jump(ms);
    }

    /// Datagrams between senders that were sent to somebody.
    pub fn noted(&self) -> u64 {
        self.net.noted()
    }

    /// Has nothing arrive between some of them for a time. Only in simulated time: real sockets are left whole.
    pub fn sever(&self, severed: Severed) {
        self.net.sever(severed);
    }

    /// Connections of senders that were refused: when, whose, and where to.
    pub fn refused(&self) -> Vec<(tokio::time::Instant, usize, SocketAddr)> {
        self.net.refused()
    }

    pub fn start(&self) -> tokio::time::Instant {
        self.net.start()
    }

    /// Nobody listens there any more.
    pub fn close(&self, at: SocketAddr) {
        match &self.sockets {
            None => self.net.close(at),
            Some(ports) => ports.close(at),
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
    pub fn leaking(self) -> LabHost {
        match self {
            LabHost::Simulated(host) => LabHost::Simulated(host.leaking()),
            real @ LabHost::Real(_) => real,
        }
    }
}

impl Host for LabHost {
    type Stream = Wire;
    type Listener = LabListener;
    type Datagrams = SimDatagrams;

    async fn connect(&self, to: SocketAddr) -> io::Result<Wire> {
        match self {
            LabHost::Simulated(host) => host.connect(to).await.map(Wire::Simulated),
            LabHost::Real(host) => host.connect(to).await.map(Wire::Real),
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
            LabHost::Real(host) => Machine.wall_ms() + host.net.jumped(),
        }
    }
}

pub enum LabListener {
    Simulated(SimListener),
    Real(SocketListener),
}

impl Listener for LabListener {
    type Stream = Wire;

    async fn accept(&self) -> io::Result<Wire> {
        match self {
            LabListener::Simulated(listener) => listener.accept().await.map(Wire::Simulated),
            LabListener::Real(listener) => listener.accept().await.map(Wire::Real),
        }
    }
}

pub enum Wire {
    Simulated(SimStream),
    Real(SocketStream),
}

impl Wire {
    /// When the other side wrote what was read last, or ended its sending if that has come.
    pub fn sent(&self) -> tokio::time::Instant {
        match self {
            Wire::Simulated(stream) => stream.sent(),
            Wire::Real(stream) => stream.sent(),
        }
    }

    /// When the other side ended its sending: in simulated time whether or not that has come.
    pub fn other_ended(&self) -> Option<tokio::time::Instant> {
        match self {
            Wire::Simulated(stream) => stream.other_ended(),
            Wire::Real(stream) => stream.other_ended(),
        }
    }

    /// Whether nothing passes now.
    pub fn is_severed(&self) -> bool {
        match self {
            Wire::Simulated(stream) => stream.is_severed(),
            Wire::Real(_) => false,
        }
    }

    pub async fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        match self {
            Wire::Simulated(stream) => stream.read(buffer).await,
            Wire::Real(stream) => stream.read(buffer).await,
        }
    }

    pub async fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        match self {
            Wire::Simulated(stream) => stream.write_all(bytes).await,
            Wire::Real(stream) => stream.write_all(bytes).await,
        }
    }

    /// The other side sees a reset, once this end is dropped at the latest.
    pub fn reset(&self) {
        match self {
            Wire::Simulated(stream) => stream.reset(),
            Wire::Real(stream) => stream.reset(),
        }
    }
}

impl Stream for Wire {
    fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        match self {
            Wire::Simulated(stream) => stream.poll_read(cx, buffer),
            Wire::Real(stream) => stream.poll_read(cx, buffer),
        }
    }

    fn poll_write(&self, cx: &mut Context<'_>, parts: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        match self {
            Wire::Simulated(stream) => stream.poll_write(cx, parts),
            Wire::Real(stream) => stream.poll_write(cx, parts),
        }
    }

    fn has_news(&self) -> bool {
        match self {
            Wire::Simulated(stream) => stream.has_news(),
            Wire::Real(stream) => stream.has_news(),
        }
    }

    fn end_sending(&self) -> io::Result<()> {
        match self {
            Wire::Simulated(stream) => stream.end_sending(),
            Wire::Real(stream) => stream.end_sending(),
        }
    }
}

//! Real loopback sockets behind the addresses of the simulated machines: each simulated address maps to a
//! port that the kernel assigns. The same fake servers and the same sender run over them in real time.
use crate::process_run::ProcessRun;
use crate::sim_network::{is_endpoint_address, SimNetwork};
use nickelshed_host::{Host, ReadState, Stream, SystemHost};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io::{self, ErrorKind, IoSlice};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, Instant};

#[derive(Default)]
struct OpenListener {
    /// Real address that the simulated one maps to.
    bound_address: Option<SocketAddr>,
    is_closed: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// Open listeners by simulated address.
#[derive(Clone, Default)]
pub struct ListenerRegistry(Rc<RefCell<BTreeMap<SocketAddr, Rc<OpenListener>>>>);

impl ListenerRegistry {
    /// Removes the listener at this address.
    pub fn close_listener(&self, at: SocketAddr) {
        if let Some(listener) = self.0.borrow_mut().remove(&at) {
            listener.is_closed.set(true);
            if let Some(waker) = listener.waker.borrow_mut().take() {
                waker.wake();
            }
        }
    }
}

#[derive(Clone)]
pub struct SocketHost {
    pub listeners: ListenerRegistry,
    pub network: SimNetwork,
    pub process_state: Option<Rc<ProcessRun>>,
}

impl SocketHost {
    fn latency(&self, to: SocketAddr) -> Duration {
        if is_endpoint_address(to.ip()) {
            self.network.latency()
        } else {
            Duration::ZERO
        }
    }

    pub async fn connect(&self, to: SocketAddr) -> io::Result<SocketStream> {
        sleep(2 * self.latency(to)).await;
        let bound_address = self.listeners.0.borrow().get(&to).and_then(|listener| listener.bound_address);
        let connected = match bound_address {
            Some(bound_address) => SystemHost.connect(bound_address).await,
            None => Err(ErrorKind::ConnectionRefused.into()),
        };
        if let (Err(_), Some(process)) = (&connected, &self.process_state) {
            self.network.record_refused_connection(process.sender, to);
        }
        // The endpoint's end of the connection delays reads and writes by the latency, so this end adds none.
        connected.map(|tcp| SocketStream::new(tcp, Duration::ZERO))
    }

    pub async fn listen(&self, at: SocketAddr) -> io::Result<SocketListener> {
        if self.listeners.0.borrow().contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let tcp = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let registration =
            Rc::new(OpenListener { bound_address: Some(tcp.local_addr()?), ..OpenListener::default() });
        self.listeners.0.borrow_mut().insert(at, registration.clone());
        Ok(SocketListener {
            listeners: self.listeners.clone(),
            address: at,
            registration,
            tcp,
            latency: self.latency(at),
        })
    }
}

pub struct SocketListener {
    listeners: ListenerRegistry,
    address: SocketAddr,
    registration: Rc<OpenListener>,
    tcp: TcpListener,
    latency: Duration,
}

impl SocketListener {
    pub async fn accept(&self) -> io::Result<SocketStream> {
        poll_fn(|cx| {
            if self.registration.is_closed.get() {
                return Poll::Ready(Err(ErrorKind::NotConnected.into()));
            }
            self.registration.waker.replace(Some(cx.waker().clone()));
            self.tcp.poll_accept(cx).map_ok(|(tcp, _)| {
                let _ = tcp.set_nodelay(true);
                SocketStream::new(tcp, self.latency)
            })
        })
        .await
    }
}

impl Drop for SocketListener {
    fn drop(&mut self) {
        let is_registered = self
            .listeners
            .0
            .borrow()
            .get(&self.address)
            .is_some_and(|listener| Rc::ptr_eq(listener, &self.registration));
        if is_registered {
            self.listeners.close_listener(self.address);
        }
    }
}

pub struct SocketStream {
    tcp: TcpStream,
    /// One-way latency that this end adds; zero except at an endpoint's end.
    latency: Duration,
    last_read_at: Cell<Instant>,
    peer_ended_at: Cell<Option<Instant>>,
}

impl SocketStream {
    fn new(tcp: TcpStream, latency: Duration) -> SocketStream {
        SocketStream { tcp, latency, last_read_at: Cell::new(Instant::now()), peer_ended_at: Cell::new(None) }
    }

    /// Time of the last read, which approximates when the peer sent those bytes.
    pub fn last_sent_at(&self) -> Instant {
        self.last_read_at.get()
    }

    /// When a read first returned the end of the peer's stream or an error; None before that.
    pub fn peer_ended_at(&self) -> Option<Instant> {
        self.peer_ended_at.get()
    }

    pub async fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let read = poll_fn(|cx| self.tcp.poll_read(cx, buffer)).await;
        self.last_read_at.set(Instant::now());
        match &read {
            Ok(n) if *n > 0 => sleep(self.latency).await,
            _ => _ = self.peer_ended_at.get().is_none().then(|| self.peer_ended_at.set(Some(Instant::now()))),
        }
        read
    }

    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        sleep(self.latency).await;
        while !bytes.is_empty() {
            let n = poll_fn(|cx| self.tcp.poll_write(cx, &[IoSlice::new(bytes)])).await?;
            bytes = &bytes[n..];
        }
        Ok(())
    }

    /// Makes the connection end with a reset when this stream is dropped.
    pub fn reset(&self) {
        let _ = self.tcp.set_zero_linger();
    }
}

impl Stream for SocketStream {
    fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        Stream::poll_read(&self.tcp, cx, buffer)
    }

    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Stream::poll_readable(&self.tcp, cx)
    }

    fn read_available(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.tcp.read_available(buffer)
    }

    fn poll_write(&self, cx: &mut Context<'_>, parts: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        Stream::poll_write(&self.tcp, cx, parts)
    }

    fn read_state(&self) -> ReadState {
        self.tcp.read_state()
    }

    fn has_peer_ended(&self) -> bool {
        self.tcp.has_peer_ended()
    }

    fn shutdown_write(&self) -> io::Result<()> {
        Stream::shutdown_write(&self.tcp)
    }
}

//! Real loopback sockets under the names of the simulated machines: each address is a port that the kernel gave. The same
//! stand-ins and the same sender run over them in real time.
use crate::net::{is_far, Net};
use crate::process_run::ProcessRun;
use nickelshed_host::{Host, Machine, Stream};
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
struct Open {
    at: Option<SocketAddr>,
    closed: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// Who listens where.
#[derive(Clone, Default)]
pub struct Ports(Rc<RefCell<BTreeMap<SocketAddr, Rc<Open>>>>);

impl Ports {
    /// Nobody listens there any more.
    pub fn close(&self, at: SocketAddr) {
        if let Some(open) = self.0.borrow_mut().remove(&at) {
            open.closed.set(true);
            if let Some(waker) = open.waker.borrow_mut().take() {
                waker.wake();
            }
        }
    }
}

#[derive(Clone)]
pub struct SocketHost {
    pub ports: Ports,
    pub net: Net,
    pub life: Option<Rc<ProcessRun>>,
}

impl SocketHost {
    fn latency(&self, to: SocketAddr) -> Duration {
        if is_far(to.ip()) {
            self.net.latency()
        } else {
            Duration::ZERO
        }
    }

    pub async fn connect(&self, to: SocketAddr) -> io::Result<SocketStream> {
        sleep(2 * self.latency(to)).await;
        let at = self.ports.0.borrow().get(&to).and_then(|open| open.at);
        let made = match at {
            Some(at) => Machine.connect(at).await,
            None => Err(ErrorKind::ConnectionRefused.into()),
        };
        if let (Err(_), Some(life)) = (&made, &self.life) {
            self.net.note_refused(life.sender, to);
        }
        // The way's time is taken at the endpoint's end.
        made.map(|tcp| SocketStream::new(tcp, Duration::ZERO))
    }

    pub async fn listen(&self, at: SocketAddr) -> io::Result<SocketListener> {
        if self.ports.0.borrow().contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let tcp = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let open = Rc::new(Open { at: Some(tcp.local_addr()?), ..Open::default() });
        self.ports.0.borrow_mut().insert(at, open.clone());
        Ok(SocketListener { ports: self.ports.clone(), at, open, tcp, latency: self.latency(at) })
    }
}

pub struct SocketListener {
    ports: Ports,
    at: SocketAddr,
    open: Rc<Open>,
    tcp: TcpListener,
    latency: Duration,
}

impl SocketListener {
    pub async fn accept(&self) -> io::Result<SocketStream> {
        poll_fn(|cx| {
            if self.open.closed.get() {
                return Poll::Ready(Err(ErrorKind::NotConnected.into()));
            }
            self.open.waker.replace(Some(cx.waker().clone()));
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
        let ours = self.ports.0.borrow().get(&self.at).is_some_and(|open| Rc::ptr_eq(open, &self.open));
        if ours {
            self.ports.close(self.at);
        }
    }
}

pub struct SocketStream {
    tcp: TcpStream,
    /// One way, where this is an endpoint's end.
    latency: Duration,
    read_at: Cell<Instant>,
    ended: Cell<Option<Instant>>,
}

impl SocketStream {
    fn new(tcp: TcpStream, latency: Duration) -> SocketStream {
        SocketStream { tcp, latency, read_at: Cell::new(Instant::now()), ended: Cell::new(None) }
    }

    /// When what was read last came, near enough.
    pub fn sent(&self) -> Instant {
        self.read_at.get()
    }

    /// When the end of the other side was first seen.
    pub fn other_ended(&self) -> Option<Instant> {
        self.ended.get()
    }

    pub async fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let read = poll_fn(|cx| self.tcp.poll_read(cx, buffer)).await;
        self.read_at.set(Instant::now());
        match &read {
            Ok(n) if *n > 0 => sleep(self.latency).await,
            _ => _ = self.ended.get().is_none().then(|| self.ended.set(Some(Instant::now()))),
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

    /// The other side sees a reset once this is dropped.
    pub fn reset(&self) {
        let _ = self.tcp.set_zero_linger();
    }
}

impl Stream for SocketStream {
    fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        Stream::poll_read(&self.tcp, cx, buffer)
    }

    fn poll_write(&self, cx: &mut Context<'_>, parts: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        Stream::poll_write(&self.tcp, cx, parts)
    }

    fn has_news(&self) -> bool {
        self.tcp.has_news()
    }

    fn end_sending(&self) -> io::Result<()> {
        Stream::end_sending(&self.tcp)
    }
}

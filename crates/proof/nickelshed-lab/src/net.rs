//! A network in memory, in Tokio's paused time: connections with latency, windows, ends and resets. Everything happens in
//! one thread and in one order, so the same day is the same bytes.
use crate::process_run::ProcessRun;
use nickelshed_host::{Datagrams, Host, Listener, Stream};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::{poll_fn, Future};
use std::io::{self, ErrorKind, IoSlice};
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant, Sleep};

/// Bytes that are under way in one direction at most.
const WINDOW: usize = 64 << 10;
/// Unix time at the start of every day, in milliseconds.
const EPOCH: i64 = 1_700_000_000_000;

#[derive(Default)]
struct Queue {
    waiting: RefCell<VecDeque<SimStream>>,
    waker: RefCell<Option<Waker>>,
    closed: Cell<bool>,
}

struct Inner {
    start: Instant,
    listeners: RefCell<BTreeMap<SocketAddr, Rc<Queue>>>,
    /// One way to or from an endpoint; all others are on one machine.
    latency: Duration,
    /// So much the wall clocks have jumped, in milliseconds.
    jumped: Cell<i64>,
    /// Connections of senders that were refused: when, whose, and where to.
    refused: RefCell<Vec<(Instant, usize, SocketAddr)>>,
    severed: RefCell<Option<Severed>>,
    ports: RefCell<BTreeMap<SocketAddr, Rc<Port>>>,
    /// Datagrams that were sent to somebody.
    noted: Cell<u64>,
}

/// Between which senders and addresses nothing arrives, and until when.
pub struct Severed {
    pub until: Instant,
    pub between: Box<dyn Fn(usize, SocketAddr) -> bool>,
}

/// Whose connection it is, and where to.
#[derive(Clone)]
struct Way {
    net: Net,
    sender: usize,
    to: SocketAddr,
}

impl Way {
    /// When it is whole again, if nothing passes now.
    fn severed(&self) -> Option<Instant> {
        self.net.severed(self.sender, self.to)
    }
}

/// All machines of a day.
#[derive(Clone)]
pub struct Net(Rc<Inner>);

impl Net {
    pub fn new(latency: Duration) -> Net {
        Net(Rc::new(Inner {
            start: Instant::now(),
            listeners: RefCell::default(),
            latency,
            jumped: Cell::new(0),
            refused: RefCell::default(),
            severed: RefCell::default(),
            ports: RefCell::default(),
            noted: Cell::new(0),
        }))
    }

    /// Datagrams that were sent to somebody.
    pub fn noted(&self) -> u64 {
        self.0.noted.get()
    }

    /// From now on nothing arrives there. What was under way has come.
    pub fn sever(&self, severed: Severed) {
        self.0.severed.replace(Some(severed));
    }

    fn severed(&self, sender: usize, to: SocketAddr) -> Option<Instant> {
        let severed = self.0.severed.borrow();
        let cut = severed.as_ref().filter(|s| s.until > Instant::now() && (s.between)(sender, to))?;
        Some(cut.until)
    }

    pub fn start(&self) -> Instant {
        self.0.start
    }

    /// So much the wall clocks have jumped, in milliseconds.
    pub fn jumped(&self) -> i64 {
        self.0.jumped.get()
    }

    pub fn jump(&self, ms: i64) {
        self.0.jumped.set(self.0.jumped.get() + ms);
    }

    /// One of the machines; a sender's, if it has a life.
    pub fn host(&self, life: Option<Rc<ProcessRun>>) -> SimHost {
        SimHost { net: self.clone(), life, leaks: false }
    }

    /// One way to or from an endpoint.
    pub fn latency(&self) -> Duration {
        self.0.latency
    }

    pub fn note_refused(&self, sender: usize, to: SocketAddr) {
        self.0.refused.borrow_mut().push((Instant::now(), sender, to));
    }

    /// Connections of senders that were refused: when, whose, and where to.
    pub fn refused(&self) -> Vec<(Instant, usize, SocketAddr)> {
        self.0.refused.borrow().clone()
    }

    /// Nobody listens there any more; what waited to be accepted is closed.
    pub fn close(&self, at: SocketAddr) {
        if let Some(queue) = self.0.listeners.borrow_mut().remove(&at) {
            queue.closed.set(true);
            queue.waiting.borrow_mut().clear();
            wake(&queue.waker);
        }
    }
}

fn wake(waker: &RefCell<Option<Waker>>) {
    if let Some(waker) = waker.borrow_mut().take() {
        waker.wake();
    }
}

#[derive(Clone)]
pub struct SimHost {
    net: Net,
    life: Option<Rc<ProcessRun>>,
    /// Its connections to endpoints stay open when they are closed here.
    leaks: bool,
}

/// Endpoints lie in 127.2.0.0/16; the way there has latency.
pub fn is_far(ip: IpAddr) -> bool {
    matches!(ip, IpAddr::V4(v4) if v4.octets()[1] == 2)
}

/// Does something as a step of a process; None if that has ended, also just before. What is nobody's has no steps.
fn at_step<T>(life: Option<&Rc<ProcessRun>>, act: impl FnOnce() -> T) -> Option<T> {
    let Some(life) = life else { return Some(act()) };
    let step = life.begin_step()?;
    let done = act();
    life.end_step(step);
    Some(done)
}

impl SimHost {
    pub fn leaking(self) -> SimHost {
        SimHost { leaks: true, ..self }
    }

    async fn make(&self, to: SocketAddr) -> io::Result<SimStream> {
        let far = is_far(to.ip());
        let latency = if far { self.net.0.latency } else { Duration::ZERO };
        if latency > Duration::ZERO {
            sleep(latency).await;
        }
        let sender = self.life.as_ref().map(|life| life.sender).filter(|_| far);
        let way = sender.map(|sender| Way { net: self.net.clone(), sender, to });
        if let Some(until) = way.as_ref().and_then(Way::severed) {
            sleep_until(until).await;
        }
        let queue = self.net.0.listeners.borrow().get(&to).cloned();
        let made = queue.map(|queue| {
            let (mut here, mut there) = SimStream::pair(latency);
            (here.way, there.way) = (way.clone(), way);
            here.leaks = self.leaks && is_far(to.ip());
            here.life.clone_from(&self.life);
            queue.waiting.borrow_mut().push_back(there);
            wake(&queue.waker);
            here
        });
        if latency > Duration::ZERO {
            sleep(latency).await;
        }
        if let (None, Some(life)) = (&made, &self.life) {
            self.net.note_refused(life.sender, to);
        }
        made.ok_or(ErrorKind::ConnectionRefused.into())
    }
}

impl Host for SimHost {
    type Stream = SimStream;
    type Listener = SimListener;
    type Datagrams = SimDatagrams;

    async fn connect(&self, to: SocketAddr) -> io::Result<SimStream> {
        let Some(life) = &self.life else { return self.make(to).await };
        // None: its process has ended.
        let Some(step) = life.begin_step() else { return std::future::pending().await };
        let made = self.make(to).await;
        life.end_step(step);
        made
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<SimListener> {
        let mut listeners = self.net.0.listeners.borrow_mut();
        if listeners.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let queue = Rc::<Queue>::default();
        listeners.insert(at, queue.clone());
        Ok(SimListener { net: self.net.clone(), life: self.life.clone(), at, queue })
    }

    async fn datagrams(&self, at: SocketAddr) -> io::Result<SimDatagrams> {
        let mut ports = self.net.0.ports.borrow_mut();
        if ports.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let port = Rc::<Port>::default();
        ports.insert(at, port.clone());
        Ok(SimDatagrams { net: self.net.clone(), life: self.life.clone(), at, port })
    }

    fn monotonic(&self) -> Instant {
        self.life.as_ref().map_or_else(Instant::now, |life| life.departure_time())
    }

    fn wall_ms(&self) -> i64 {
        EPOCH + self.net.0.jumped.get() + self.net.0.start.elapsed().as_millis() as i64
    }
}

/// Datagrams that wait at a socket at most; more are lost.
const WAITING: usize = 256;

#[derive(Default)]
struct Port {
    waiting: RefCell<VecDeque<(Instant, SocketAddr, Vec<u8>)>>,
    news: Notify,
}

pub struct SimDatagrams {
    net: Net,
    life: Option<Rc<ProcessRun>>,
    at: SocketAddr,
    port: Rc<Port>,
}

impl Datagrams for SimDatagrams {
    fn send(&self, bytes: &[u8], to: SocketAddr) {
        if let Some(life) = &self.life {
            // One that has ended sends nothing, and what is cut off in the middle of it never leaves.
            if life.on_send(bytes.len()) < bytes.len() || self.net.severed(life.sender, to).is_some() {
                return;
            }
        }
        let Some(port) = self.net.0.ports.borrow().get(&to).cloned() else { return };
        let mut waiting = port.waiting.borrow_mut();
        if waiting.len() < WAITING {
            let sent = self.life.as_ref().map_or_else(Instant::now, |life| life.departure_time());
            waiting.push_back((sent + self.net.0.latency, self.at, bytes.to_vec()));
            self.net.0.noted.set(self.net.0.noted.get() + 1);
            port.news.notify_one();
        }
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        loop {
            let next = self.port.waiting.borrow().front().map(|(arrives, ..)| *arrives);
            match next {
                Some(at) if at <= Instant::now() => {
                    let Some((_, from, bytes)) = self.port.waiting.borrow_mut().pop_front() else { continue };
                    let length = bytes.len().min(buffer.len());
                    buffer[..length].copy_from_slice(&bytes[..length]);
                    return Ok((length, from));
                }
                Some(at) => sleep_until(at).await,
                None => self.port.news.notified().await,
            }
        }
    }
}

impl Drop for SimDatagrams {
    fn drop(&mut self) {
        let mut ports = self.net.0.ports.borrow_mut();
        if ports.get(&self.at).is_some_and(|port| Rc::ptr_eq(port, &self.port)) {
            ports.remove(&self.at);
        }
    }
}

pub struct SimListener {
    net: Net,
    life: Option<Rc<ProcessRun>>,
    at: SocketAddr,
    queue: Rc<Queue>,
}

impl Listener for SimListener {
    type Stream = SimStream;

    async fn accept(&self) -> io::Result<SimStream> {
        poll_fn(|cx| {
            if !self.queue.waiting.borrow().is_empty() {
                let take = || self.queue.waiting.borrow_mut().pop_front();
                let Some(taken) = at_step(self.life.as_ref(), take) else { return Poll::Pending };
                if let Some(mut stream) = taken {
                    stream.life.clone_from(&self.life);
                    return Poll::Ready(Ok(stream));
                }
            }
            if self.queue.closed.get() {
                return Poll::Ready(Err(ErrorKind::NotConnected.into()));
            }
            self.queue.waker.replace(Some(cx.waker().clone()));
            Poll::Pending
        })
        .await
    }
}

impl Drop for SimListener {
    fn drop(&mut self) {
        let ours = self.net.0.listeners.borrow().get(&self.at).is_some_and(|q| Rc::ptr_eq(q, &self.queue));
        if ours {
            self.net.close(self.at);
        }
    }
}

struct Segment {
    sent: Instant,
    arrives: Instant,
    bytes: Vec<u8>,
    read: usize,
}

/// One direction of a connection.
#[derive(Default)]
struct Pipe {
    segments: VecDeque<Segment>,
    under_way: usize,
    /// The end of the sending: when it was made, and when it arrives.
    ended: Option<(Instant, Instant)>,
    reset: Option<Instant>,
    /// Nobody reads any more.
    gone: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
    alarm: Option<Pin<Box<Sleep>>>,
}

impl Pipe {
    fn news(&self) -> Option<Instant> {
        let first = self.segments.front().map(|s| s.arrives).or(self.ended.map(|(_, at)| at));
        [first, self.reset].into_iter().flatten().min()
    }

    fn wake_reader(&mut self) {
        if let Some(waker) = self.reader.take() {
            waker.wake();
        }
    }

    fn wake_writer(&mut self) {
        if let Some(waker) = self.writer.take() {
            waker.wake();
        }
    }
}

pub struct SimStream {
    input: Rc<RefCell<Pipe>>,
    output: Rc<RefCell<Pipe>>,
    latency: Duration,
    /// When the bytes that were read last were written.
    sent: Cell<Instant>,
    /// Of the process that has this end, if that is a sender's.
    life: Option<Rc<ProcessRun>>,
    leaks: bool,
    /// None where nothing can come between.
    way: Option<Way>,
}

impl SimStream {
    fn pair(latency: Duration) -> (SimStream, SimStream) {
        let (a, b) = (Rc::<RefCell<Pipe>>::default(), Rc::<RefCell<Pipe>>::default());
        let stream = |input: &Rc<RefCell<Pipe>>, output: &Rc<RefCell<Pipe>>| SimStream {
            input: input.clone(),
            output: output.clone(),
            latency,
            sent: Cell::new(Instant::now()),
            life: None,
            leaks: false,
            way: None,
        };
        (stream(&a, &b), stream(&b, &a))
    }

    /// When what is sent now leaves the machine.
    fn leaves(&self) -> Instant {
        self.life.as_ref().map_or_else(Instant::now, |life| life.departure_time())
    }

    /// When what is sent then arrives.
    fn arrives(&self, sent: Instant) -> Instant {
        self.way.as_ref().and_then(Way::severed).map_or(sent, |until| until.max(sent)) + self.latency
    }

    /// Whether nothing passes now.
    pub fn is_severed(&self) -> bool {
        self.way.as_ref().is_some_and(|way| way.severed().is_some())
    }

    /// When the other side wrote what was read last, or ended its sending if that has come.
    pub fn sent(&self) -> Instant {
        self.sent.get()
    }

    /// When the other side ended its sending, whether or not that has come: what only the judge may know.
    pub fn other_ended(&self) -> Option<Instant> {
        let pipe = self.input.borrow();
        let reset = pipe.reset.map(|at| at - self.latency);
        [pipe.ended.map(|(sent, _)| sent), reset].into_iter().flatten().min()
    }

    pub async fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        poll_fn(|cx| self.poll_read(cx, buffer)).await
    }

    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let n = poll_fn(|cx| self.poll_write(cx, &[IoSlice::new(bytes)])).await?;
            bytes = &bytes[n..];
        }
        Ok(())
    }

    /// The other side sees a reset, whatever is under way.
    pub fn reset(&self) {
        let mut output = self.output.borrow_mut();
        output.segments.clear();
        output.reset.get_or_insert(self.arrives(Instant::now()));
        output.wake_reader();
    }
}

impl SimStream {
    fn read_now(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut pipe = self.input.borrow_mut();
        let pipe = &mut *pipe;
        loop {
            let now = Instant::now();
            if pipe.reset.is_some_and(|at| at <= now) {
                self.sent.set(now - self.latency);
                return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
            }
            if let Some(segment) = pipe.segments.front_mut().filter(|s| s.arrives <= now) {
                let n = buffer.len().min(segment.bytes.len() - segment.read);
                buffer[..n].copy_from_slice(&segment.bytes[segment.read..segment.read + n]);
                segment.read += n;
                self.sent.set(segment.sent);
                if segment.read == segment.bytes.len() {
                    pipe.segments.pop_front();
                }
                pipe.under_way -= n;
                pipe.wake_writer();
                return Poll::Ready(Ok(n));
            }
            if let Some((sent, _)) = pipe.ended.filter(|(_, at)| pipe.segments.is_empty() && *at <= now) {
                self.sent.set(sent);
                return Poll::Ready(Ok(0));
            }
            pipe.reader = Some(cx.waker().clone());
            let Some(at) = pipe.news() else { return Poll::Pending };
            if pipe.alarm.as_ref().is_none_or(|alarm| alarm.deadline() != at) {
                pipe.alarm = Some(Box::pin(sleep_until(at)));
            }
            match pipe.alarm.as_mut().map(|alarm| alarm.as_mut().poll(cx)) {
                Some(Poll::Ready(())) => pipe.alarm = None,
                _ => return Poll::Pending,
            }
        }
    }

    fn write_now(&self, cx: &mut Context<'_>, parts: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        let now = Instant::now();
        if self.input.borrow().reset.is_some_and(|at| at <= now) {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        let mut pipe = self.output.borrow_mut();
        if pipe.ended.is_some() {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        }
        if pipe.gone {
            // What comes there is answered by a reset.
            let back = self.arrives(now) + self.latency;
            drop(pipe);
            let mut input = self.input.borrow_mut();
            input.reset.get_or_insert(back);
            input.wake_reader();
            return Poll::Ready(Ok(parts.iter().map(|p| p.len()).sum()));
        }
        let room = WINDOW - pipe.under_way.min(WINDOW);
        if room == 0 {
            pipe.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let mut bytes: Vec<u8> = Vec::new();
        for part in parts {
            bytes.extend_from_slice(&part[..part.len().min(room - bytes.len())]);
        }
        let n = self.life.as_ref().map_or(bytes.len(), |life| life.on_send(bytes.len()));
        if n == 0 && !bytes.is_empty() {
            // Its process has ended.
            return Poll::Pending;
        }
        bytes.truncate(n);
        if n > 0 {
            let sent = self.leaves();
            pipe.under_way += n;
            pipe.segments.push_back(Segment { sent, arrives: self.arrives(sent), bytes, read: 0 });
            pipe.wake_reader();
        }
        Poll::Ready(Ok(n))
    }
}

impl Stream for SimStream {
    fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        // Waiting for bytes is no step.
        let life = self.life.as_ref().filter(|_| self.has_news());
        at_step(life, || self.read_now(cx, buffer)).unwrap_or(Poll::Pending)
    }

    fn poll_write(&self, cx: &mut Context<'_>, parts: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        at_step(self.life.as_ref(), || self.write_now(cx, parts)).unwrap_or(Poll::Pending)
    }

    fn has_news(&self) -> bool {
        self.input.borrow().news().is_some_and(|at| at <= Instant::now())
    }

    fn end_sending(&self) -> io::Result<()> {
        let mut pipe = self.output.borrow_mut();
        let sent = self.leaves();
        pipe.ended.get_or_insert((sent, self.arrives(sent)));
        pipe.wake_reader();
        Ok(())
    }
}

impl Drop for SimStream {
    fn drop(&mut self) {
        if self.leaks {
            return;
        }
        let unread = self.has_news() && !self.input.borrow().segments.is_empty();
        let mut input = self.input.borrow_mut();
        input.gone = true;
        input.wake_writer();
        drop(input);
        if unread {
            self.reset();
        }
        let _ = self.end_sending();
    }
}

//! A network in memory, in Tokio's paused time: connections with latency, windows, ends and resets. Everything happens in
//! one thread and in one order, so the same day is the same bytes.
use crate::life::Life;
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
const WINDOW_BYTES: usize = 64 << 10;
/// Unix time at the start of every day, in milliseconds.
const WALL_CLOCK_START_MS: i64 = 1_700_000_000_000;

#[derive(Default)]
struct AcceptQueue {
    pending: RefCell<VecDeque<SimStream>>,
    waker: RefCell<Option<Waker>>,
    is_closed: Cell<bool>,
}

struct Inner {
    started_at: Instant,
    listeners: RefCell<BTreeMap<SocketAddr, Rc<AcceptQueue>>>,
    /// One way to or from an endpoint; all others are on one machine.
    latency: Duration,
    /// So much the wall clocks have jumped, in milliseconds.
    wall_clock_offset_ms: Cell<i64>,
    /// Connections of senders that were refused: when, whose, and where to.
    refused_connections: RefCell<Vec<(Instant, usize, SocketAddr)>>,
    partition: RefCell<Option<Partition>>,
    datagram_queues: RefCell<BTreeMap<SocketAddr, Rc<DatagramQueue>>>,
    /// Datagrams that were sent to somebody.
    datagrams_sent: Cell<u64>,
}

/// Between which senders and addresses nothing arrives, and until when.
pub struct Partition {
    pub until: Instant,
    pub separates: Box<dyn Fn(usize, SocketAddr) -> bool>,
}

/// Whose connection it is, and where to.
#[derive(Clone)]
struct Flow {
    network: SimNetwork,
    sender: usize,
    to: SocketAddr,
}

impl Flow {
    /// When it is whole again, if nothing passes now.
    fn partitioned_until(&self) -> Option<Instant> {
        self.network.partitioned_until(self.sender, self.to)
    }
}

/// All machines of a day.
#[derive(Clone)]
pub struct SimNetwork(Rc<Inner>);

impl SimNetwork {
    pub fn new(latency: Duration) -> SimNetwork {
        SimNetwork(Rc::new(Inner {
            started_at: Instant::now(),
            listeners: RefCell::default(),
            latency,
            wall_clock_offset_ms: Cell::new(0),
            refused_connections: RefCell::default(),
            partition: RefCell::default(),
            datagram_queues: RefCell::default(),
            datagrams_sent: Cell::new(0),
        }))
    }

    /// Datagrams that were sent to somebody.
    pub fn datagrams_sent(&self) -> u64 {
        self.0.datagrams_sent.get()
    }

    /// From now on nothing arrives there. What was under way has come.
    pub fn set_partition(&self, severed: Partition) {
        self.0.partition.replace(Some(severed));
    }

    fn partitioned_until(&self, sender: usize, to: SocketAddr) -> Option<Instant> {
        let severed = self.0.partition.borrow();
        let cut = severed.as_ref().filter(|s| s.until > Instant::now() && (s.separates)(sender, to))?;
        Some(cut.until)
    }

    pub fn started_at(&self) -> Instant {
        self.0.started_at
    }

    /// So much the wall clocks have jumped, in milliseconds.
    pub fn wall_clock_offset_ms(&self) -> i64 {
        self.0.wall_clock_offset_ms.get()
    }

    pub fn advance_wall_clocks(&self, ms: i64) {
        self.0.wall_clock_offset_ms.set(self.0.wall_clock_offset_ms.get() + ms);
    }

    /// One of the machines; a sender's, if it has a life.
    pub fn host(&self, life: Option<Rc<Life>>) -> SimHost {
        SimHost { network: self.clone(), process_state: life, leaks_connections: false }
    }

    /// One way to or from an endpoint.
    pub fn latency(&self) -> Duration {
        self.0.latency
    }

    pub fn record_refused_connection(&self, sender: usize, to: SocketAddr) {
        self.0.refused_connections.borrow_mut().push((Instant::now(), sender, to));
    }

    /// Connections of senders that were refused: when, whose, and where to.
    pub fn refused_connections(&self) -> Vec<(Instant, usize, SocketAddr)> {
        self.0.refused_connections.borrow().clone()
    }

    /// Nobody listens there any more; what waited to be accepted is closed.
    pub fn close_listener(&self, at: SocketAddr) {
        if let Some(queue) = self.0.listeners.borrow_mut().remove(&at) {
            queue.is_closed.set(true);
            queue.pending.borrow_mut().clear();
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
    network: SimNetwork,
    process_state: Option<Rc<Life>>,
    /// Its connections to endpoints stay open when they are closed here.
    leaks_connections: bool,
}

/// Endpoints lie in 127.2.0.0/16; the way there has latency.
pub fn is_endpoint_address(ip: IpAddr) -> bool {
    matches!(ip, IpAddr::V4(v4) if v4.octets()[1] == 2)
}

/// Does something as a step of a process; None if that has ended, also just before. What is nobody's has no steps.
fn as_step<T>(life: Option<&Rc<Life>>, act: impl FnOnce() -> T) -> Option<T> {
    let Some(life) = life else { return Some(act()) };
    let step = life.step()?;
    let done = act();
    life.stepped(step);
    Some(done)
}

impl SimHost {
    pub fn leaking_connections(self) -> SimHost {
        SimHost { leaks_connections: true, ..self }
    }

    async fn open_connection(&self, to: SocketAddr) -> io::Result<SimStream> {
        let far = is_endpoint_address(to.ip());
        let latency = if far { self.network.0.latency } else { Duration::ZERO };
        if latency > Duration::ZERO {
            sleep(latency).await;
        }
        let sender = self.process_state.as_ref().map(|life| life.sender).filter(|_| far);
        let way = sender.map(|sender| Flow { network: self.network.clone(), sender, to });
        if let Some(until) = way.as_ref().and_then(Flow::partitioned_until) {
            sleep_until(until).await;
        }
        let queue = self.network.0.listeners.borrow().get(&to).cloned();
        let made = queue.map(|queue| {
            let (mut here, mut there) = SimStream::pair(latency);
            (here.flow, there.flow) = (way.clone(), way);
            here.is_leaked = self.leaks_connections && is_endpoint_address(to.ip());
            here.process_state.clone_from(&self.process_state);
            queue.pending.borrow_mut().push_back(there);
            wake(&queue.waker);
            here
        });
        if latency > Duration::ZERO {
            sleep(latency).await;
        }
        if let (None, Some(life)) = (&made, &self.process_state) {
            self.network.record_refused_connection(life.sender, to);
        }
        made.ok_or(ErrorKind::ConnectionRefused.into())
    }
}

impl Host for SimHost {
    type Stream = SimStream;
    type Listener = SimListener;
    type Datagrams = SimDatagrams;

    async fn connect(&self, to: SocketAddr) -> io::Result<SimStream> {
        let Some(life) = &self.process_state else { return self.open_connection(to).await };
        // None: its process has ended.
        let Some(step) = life.step() else { return std::future::pending().await };
        let made = self.open_connection(to).await;
        life.stepped(step);
        made
    }

    async fn listen(&self, at: SocketAddr) -> io::Result<SimListener> {
        let mut listeners = self.network.0.listeners.borrow_mut();
        if listeners.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let queue = Rc::<AcceptQueue>::default();
        listeners.insert(at, queue.clone());
        Ok(SimListener {
            network: self.network.clone(),
            process_state: self.process_state.clone(),
            address: at,
            queue,
        })
    }

    async fn datagrams(&self, at: SocketAddr) -> io::Result<SimDatagrams> {
        let mut ports = self.network.0.datagram_queues.borrow_mut();
        if ports.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let port = Rc::<DatagramQueue>::default();
        ports.insert(at, port.clone());
        Ok(SimDatagrams {
            network: self.network.clone(),
            process_state: self.process_state.clone(),
            address: at,
            queue: port,
        })
    }

    fn monotonic(&self) -> Instant {
        self.process_state.as_ref().map_or_else(Instant::now, |life| life.leaves())
    }

    fn wall_ms(&self) -> i64 {
        WALL_CLOCK_START_MS
            + self.network.0.wall_clock_offset_ms.get()
            + self.network.0.started_at.elapsed().as_millis() as i64
    }
}

/// Datagrams that wait at a socket at most; more are lost.
const DATAGRAM_QUEUE_MAX: usize = 256;

#[derive(Default)]
struct DatagramQueue {
    pending: RefCell<VecDeque<(Instant, SocketAddr, Vec<u8>)>>,
    arrival: Notify,
}

pub struct SimDatagrams {
    network: SimNetwork,
    process_state: Option<Rc<Life>>,
    address: SocketAddr,
    queue: Rc<DatagramQueue>,
}

impl Datagrams for SimDatagrams {
    fn send(&self, bytes: &[u8], to: SocketAddr) {
        if let Some(life) = &self.process_state {
            // One that has ended sends nothing, and what is cut off in the middle of it never leaves.
            if life.send(bytes.len()) < bytes.len()
                || self.network.partitioned_until(life.sender, to).is_some()
            {
                return;
            }
        }
        let Some(port) = self.network.0.datagram_queues.borrow().get(&to).cloned() else { return };
        let mut waiting = port.pending.borrow_mut();
        if waiting.len() < DATAGRAM_QUEUE_MAX {
            let sent = self.process_state.as_ref().map_or_else(Instant::now, |life| life.leaves());
            waiting.push_back((sent + self.network.0.latency, self.address, bytes.to_vec()));
            self.network.0.datagrams_sent.set(self.network.0.datagrams_sent.get() + 1);
            port.arrival.notify_one();
        }
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        loop {
            let next = self.queue.pending.borrow().front().map(|(arrives, ..)| *arrives);
            match next {
                Some(at) if at <= Instant::now() => {
                    let Some((_, from, data)) = self.queue.pending.borrow_mut().pop_front() else { continue };
                    let length = data.len().min(buffer.len());
                    buffer[..length].copy_from_slice(&data[..length]);
                    return Ok((length, from));
                }
                Some(at) => sleep_until(at).await,
                None => self.queue.arrival.notified().await,
            }
        }
    }
}

impl Drop for SimDatagrams {
    fn drop(&mut self) {
        let mut ports = self.network.0.datagram_queues.borrow_mut();
        if ports.get(&self.address).is_some_and(|port| Rc::ptr_eq(port, &self.queue)) {
            ports.remove(&self.address);
        }
    }
}

pub struct SimListener {
    network: SimNetwork,
    process_state: Option<Rc<Life>>,
    address: SocketAddr,
    queue: Rc<AcceptQueue>,
}

impl Listener for SimListener {
    type Stream = SimStream;

    async fn accept(&self) -> io::Result<SimStream> {
        poll_fn(|cx| {
            if !self.queue.pending.borrow().is_empty() {
                let pop = || self.queue.pending.borrow_mut().pop_front();
                let Some(next) = as_step(self.process_state.as_ref(), pop) else { return Poll::Pending };
                if let Some(mut stream) = next {
                    stream.process_state.clone_from(&self.process_state);
                    return Poll::Ready(Ok(stream));
                }
            }
            if self.queue.is_closed.get() {
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
        let ours =
            self.network.0.listeners.borrow().get(&self.address).is_some_and(|q| Rc::ptr_eq(q, &self.queue));
        if ours {
            self.network.close_listener(self.address);
        }
    }
}

struct Segment {
    sent_at: Instant,
    arrives_at: Instant,
    bytes: Vec<u8>,
    bytes_read: usize,
}

/// One direction of a connection.
#[derive(Default)]
struct Pipe {
    segments: VecDeque<Segment>,
    bytes_in_flight: usize,
    /// The end of the sending: when it was made, and when it arrives.
    end_of_stream: Option<(Instant, Instant)>,
    reset_at: Option<Instant>,
    /// Nobody reads any more.
    reader_closed: bool,
    reader_waker: Option<Waker>,
    writer_waker: Option<Waker>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Pipe {
    fn next_event_at(&self) -> Option<Instant> {
        let first = self.segments.front().map(|s| s.arrives_at).or(self.end_of_stream.map(|(_, at)| at));
        [first, self.reset_at].into_iter().flatten().min()
    }

    fn wake_reader(&mut self) {
        if let Some(waker) = self.reader_waker.take() {
            waker.wake();
        }
    }

    fn wake_writer(&mut self) {
        if let Some(waker) = self.writer_waker.take() {
            waker.wake();
        }
    }
}

pub struct SimStream {
    input: Rc<RefCell<Pipe>>,
    output: Rc<RefCell<Pipe>>,
    latency: Duration,
    /// When the bytes that were read last were written.
    last_sent_at: Cell<Instant>,
    /// Of the process that has this end, if that is a sender's.
    process_state: Option<Rc<Life>>,
    is_leaked: bool,
    /// None where nothing can come between.
    flow: Option<Flow>,
}

impl SimStream {
    fn pair(latency: Duration) -> (SimStream, SimStream) {
        let (a, b) = (Rc::<RefCell<Pipe>>::default(), Rc::<RefCell<Pipe>>::default());
        let stream = |input: &Rc<RefCell<Pipe>>, output: &Rc<RefCell<Pipe>>| SimStream {
            input: input.clone(),
            output: output.clone(),
            latency,
            last_sent_at: Cell::new(Instant::now()),
            process_state: None,
            is_leaked: false,
            flow: None,
        };
        (stream(&a, &b), stream(&b, &a))
    }

    /// When what is sent now departure_time the machine.
    fn leaves(&self) -> Instant {
        self.process_state.as_ref().map_or_else(Instant::now, |life| life.leaves())
    }

    /// When what is sent then arrives.
    fn arrival_time(&self, sent: Instant) -> Instant {
        self.flow.as_ref().and_then(Flow::partitioned_until).map_or(sent, |until| until.max(sent))
            + self.latency
    }

    /// Whether nothing passes now.
    pub fn is_partitioned(&self) -> bool {
        self.flow.as_ref().is_some_and(|way| way.partitioned_until().is_some())
    }

    /// When the other side wrote what was read last, or ended its sending if that has come.
    pub fn last_sent_at(&self) -> Instant {
        self.last_sent_at.get()
    }

    /// When the other side ended its sending, whether or not that has come: what only the judge may know.
    pub fn peer_ended_at(&self) -> Option<Instant> {
        let pipe = self.input.borrow();
        let reset = pipe.reset_at.map(|at| at - self.latency);
        [pipe.end_of_stream.map(|(sent, _)| sent), reset].into_iter().flatten().min()
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
        output.reset_at.get_or_insert(self.arrival_time(Instant::now()));
        output.wake_reader();
    }
}

impl SimStream {
    fn read_now(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut pipe = self.input.borrow_mut();
        let pipe = &mut *pipe;
        loop {
            let now = Instant::now();
            if pipe.reset_at.is_some_and(|at| at <= now) {
                self.last_sent_at.set(now - self.latency);
                return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
            }
            if let Some(segment) = pipe.segments.front_mut().filter(|s| s.arrives_at <= now) {
                let n = buffer.len().min(segment.bytes.len() - segment.bytes_read);
                buffer[..n].copy_from_slice(&segment.bytes[segment.bytes_read..segment.bytes_read + n]);
                segment.bytes_read += n;
                self.last_sent_at.set(segment.sent_at);
                if segment.bytes_read == segment.bytes.len() {
                    pipe.segments.pop_front();
                }
                pipe.bytes_in_flight -= n;
                pipe.wake_writer();
                return Poll::Ready(Ok(n));
            }
            if let Some((sent, _)) =
                pipe.end_of_stream.filter(|(_, at)| pipe.segments.is_empty() && *at <= now)
            {
                self.last_sent_at.set(sent);
                return Poll::Ready(Ok(0));
            }
            pipe.reader_waker = Some(cx.waker().clone());
            let Some(at) = pipe.next_event_at() else { return Poll::Pending };
            if pipe.timer.as_ref().is_none_or(|alarm| alarm.deadline() != at) {
                pipe.timer = Some(Box::pin(sleep_until(at)));
            }
            match pipe.timer.as_mut().map(|alarm| alarm.as_mut().poll(cx)) {
                Some(Poll::Ready(())) => pipe.timer = None,
                _ => return Poll::Pending,
            }
        }
    }

    fn write_now(&self, cx: &mut Context<'_>, parts: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        let now = Instant::now();
        if self.input.borrow().reset_at.is_some_and(|at| at <= now) {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        let mut pipe = self.output.borrow_mut();
        if pipe.end_of_stream.is_some() {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        }
        if pipe.reader_closed {
            // What comes there is answered by a reset.
            let back = self.arrival_time(now) + self.latency;
            drop(pipe);
            let mut input = self.input.borrow_mut();
            input.reset_at.get_or_insert(back);
            input.wake_reader();
            return Poll::Ready(Ok(parts.iter().map(|p| p.len()).sum()));
        }
        let room = WINDOW_BYTES - pipe.bytes_in_flight.min(WINDOW_BYTES);
        if room == 0 {
            pipe.writer_waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let mut bytes: Vec<u8> = Vec::new();
        for part in parts {
            bytes.extend_from_slice(&part[..part.len().min(room - bytes.len())]);
        }
        let n = self.process_state.as_ref().map_or(bytes.len(), |life| life.send(bytes.len()));
        if n == 0 && !bytes.is_empty() {
            // Its process has ended.
            return Poll::Pending;
        }
        bytes.truncate(n);
        if n > 0 {
            let sent = self.leaves();
            pipe.bytes_in_flight += n;
            pipe.segments.push_back(Segment {
                sent_at: sent,
                arrives_at: self.arrival_time(sent),
                bytes,
                bytes_read: 0,
            });
            pipe.wake_reader();
        }
        Poll::Ready(Ok(n))
    }
}

impl Stream for SimStream {
    fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        // Waiting for bytes is no step.
        let life = self.process_state.as_ref().filter(|_| self.has_news());
        as_step(life, || self.read_now(cx, buffer)).unwrap_or(Poll::Pending)
    }

    fn poll_write(&self, cx: &mut Context<'_>, parts: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        as_step(self.process_state.as_ref(), || self.write_now(cx, parts)).unwrap_or(Poll::Pending)
    }

    fn has_news(&self) -> bool {
        self.input.borrow().next_event_at().is_some_and(|at| at <= Instant::now())
    }

    fn end_sending(&self) -> io::Result<()> {
        let mut pipe = self.output.borrow_mut();
        let sent = self.leaves();
        pipe.end_of_stream.get_or_insert((sent, self.arrival_time(sent)));
        pipe.wake_reader();
        Ok(())
    }
}

impl Drop for SimStream {
    fn drop(&mut self) {
        if self.is_leaked {
            return;
        }
        let unread = self.has_news() && !self.input.borrow().segments.is_empty();
        let mut input = self.input.borrow_mut();
        input.reader_closed = true;
        input.wake_writer();
        drop(input);
        if unread {
            self.reset();
        }
        let _ = self.end_sending();
    }
}

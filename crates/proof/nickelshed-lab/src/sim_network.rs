//! Simulated network in Tokio's paused time: byte streams with latency, a send window, half-close and resets,
//! and datagrams. All events happen on one thread in a fixed order, so the same scenario and seed produce the
//! same bytes.
use crate::process_run::ProcessRun;
use nickelshed_host::{DatagramSocket, Host, Listener, ReadState, Stream};
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

/// Maximum number of bytes in flight in one direction of a connection.
const WINDOW_BYTES: usize = 64 << 10;
/// Unix time at the start of every run, in milliseconds.
const WALL_CLOCK_START_MS: i64 = 1_700_000_000_000;

/// Connections that a listener has not accepted yet.
#[derive(Default)]
struct AcceptQueue {
    pending: RefCell<VecDeque<SimStream>>,
    waker: RefCell<Option<Waker>>,
    is_closed: Cell<bool>,
}

struct Inner {
    started_at: Instant,
    listeners: RefCell<BTreeMap<SocketAddr, Rc<AcceptQueue>>>,
    /// One-way latency of connections to endpoints and of datagrams. Other connections stay on one machine
    /// and have none.
    latency: Duration,
    /// Offset that clock jumps have added to all wall clocks, in milliseconds.
    wall_clock_offset_ms: Cell<i64>,
    /// Refused connection attempts of senders: time, sender and target address.
    refused_connections: RefCell<Vec<(Instant, usize, SocketAddr)>>,
    /// The latest partition; it may have ended.
    partition: RefCell<Option<Partition>>,
    datagram_queues: RefCell<BTreeMap<SocketAddr, Rc<DatagramQueue>>>,
    /// Number of datagrams put into a receiver's queue. Datagrams without a receiver and dropped ones are not
    /// counted.
    datagrams_sent: Cell<u64>,
}

/// A network partition: until `until`, nothing passes between the senders and addresses that `separates`
/// selects.
pub struct Partition {
    pub until: Instant,
    pub separates: Box<dyn Fn(usize, SocketAddr) -> bool>,
}

/// The sender and the endpoint address that a connection joins, by which partitions are looked up.
#[derive(Clone)]
struct Flow {
    network: SimNetwork,
    sender: usize,
    to: SocketAddr,
}

impl Flow {
    /// Returns the end of the partition that blocks this flow now, or None if traffic passes.
    fn partitioned_until(&self) -> Option<Instant> {
        self.network.partitioned_until(self.sender, self.to)
    }
}

/// The simulated network that joins all machines of a run.
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

    /// Number of datagrams put into a receiver's queue. Datagrams without a receiver and dropped ones are not
    /// counted.
    pub fn datagrams_sent(&self) -> u64 {
        self.0.datagrams_sent.get()
    }

    /// Starts a partition, in place of any earlier one. Bytes already in flight still arrive.
    pub fn set_partition(&self, partition: Partition) {
        self.0.partition.replace(Some(partition));
    }

    fn partitioned_until(&self, sender: usize, to: SocketAddr) -> Option<Instant> {
        let partition = self.0.partition.borrow();
        let active = partition.as_ref().filter(|p| p.until > Instant::now() && (p.separates)(sender, to))?;
        Some(active.until)
    }

    pub fn started_at(&self) -> Instant {
        self.0.started_at
    }

    /// Offset that clock jumps have added to all wall clocks, in milliseconds.
    pub fn wall_clock_offset_ms(&self) -> i64 {
        self.0.wall_clock_offset_ms.get()
    }

    pub fn advance_wall_clocks(&self, ms: i64) {
        self.0.wall_clock_offset_ms.set(self.0.wall_clock_offset_ms.get() + ms);
    }

    /// Returns the network interface of one machine. With a process state, the machine is that sender's.
    pub fn host(&self, process_state: Option<Rc<ProcessRun>>) -> SimHost {
        SimHost { network: self.clone(), process_state, leaks_connections: false }
    }

    /// One-way latency to or from an endpoint.
    pub fn latency(&self) -> Duration {
        self.0.latency
    }

    pub fn record_refused_connection(&self, sender: usize, to: SocketAddr) {
        self.0.refused_connections.borrow_mut().push((Instant::now(), sender, to));
    }

    /// Refused connection attempts of senders: time, sender and target address.
    pub fn refused_connections(&self) -> Vec<(Instant, usize, SocketAddr)> {
        self.0.refused_connections.borrow().clone()
    }

    /// Removes the listener at this address and closes the connections that it has not accepted yet.
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
    process_state: Option<Rc<ProcessRun>>,
    /// Whether connections to endpoints stay open at the endpoint after they are dropped here.
    leaks_connections: bool,
}

/// Whether the address belongs to an endpoint (127.2.0.0/16). Connections to endpoints have latency.
pub fn is_endpoint_address(ip: IpAddr) -> bool {
    matches!(ip, IpAddr::V4(v4) if v4.octets()[1] == 2)
}

/// Runs `act` as one numbered step of a sender's process. Returns None without running it if the process has
/// ended or is killed just before this step. Without a process state, `act` runs as no step.
fn as_step<T>(process_state: Option<&Rc<ProcessRun>>, act: impl FnOnce() -> T) -> Option<T> {
    let Some(process_state) = process_state else { return Some(act()) };
    let step = process_state.begin_step()?;
    let result = act();
    process_state.end_step(step);
    Some(result)
}

impl SimHost {
    pub fn leaking_connections(self) -> SimHost {
        SimHost { leaks_connections: true, ..self }
    }

    async fn open_connection(&self, to: SocketAddr) -> io::Result<SimStream> {
        let is_endpoint = is_endpoint_address(to.ip());
        let latency = if is_endpoint { self.network.0.latency } else { Duration::ZERO };
        if latency > Duration::ZERO {
            sleep(latency).await;
        }
        let sender = self.process_state.as_ref().map(|process| process.sender).filter(|_| is_endpoint);
        let flow = sender.map(|sender| Flow { network: self.network.clone(), sender, to });
        if let Some(until) = flow.as_ref().and_then(Flow::partitioned_until) {
            sleep_until(until).await;
        }
        let queue = self.network.0.listeners.borrow().get(&to).cloned();
        let connected = queue.map(|queue| {
            let (mut local, mut remote) = SimStream::pair(latency);
            (local.flow, remote.flow) = (flow.clone(), flow);
            local.is_leaked = self.leaks_connections && is_endpoint_address(to.ip());
            local.process_state.clone_from(&self.process_state);
            queue.pending.borrow_mut().push_back(remote);
            wake(&queue.waker);
            local
        });
        if latency > Duration::ZERO {
            sleep(latency).await;
        }
        if let (None, Some(process)) = (&connected, &self.process_state) {
            self.network.record_refused_connection(process.sender, to);
        }
        connected.ok_or(ErrorKind::ConnectionRefused.into())
    }
}

impl Host for SimHost {
    type Stream = SimStream;
    type Listener = SimListener;
    type DatagramSocket = SimDatagrams;

    async fn connect(&self, to: SocketAddr) -> io::Result<SimStream> {
        let Some(process) = &self.process_state else { return self.open_connection(to).await };
        // The process has ended, so the call never completes.
        let Some(step) = process.begin_step() else { return std::future::pending().await };
        let connected = self.open_connection(to).await;
        process.end_step(step);
        connected
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

    async fn bind_datagrams(&self, at: SocketAddr) -> io::Result<SimDatagrams> {
        let mut queues = self.network.0.datagram_queues.borrow_mut();
        if queues.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        let queue = Rc::<DatagramQueue>::default();
        queues.insert(at, queue.clone());
        Ok(SimDatagrams {
            network: self.network.clone(),
            process_state: self.process_state.clone(),
            address: at,
            queue,
        })
    }

    fn monotonic(&self) -> Instant {
        self.process_state.as_ref().map_or_else(Instant::now, |process| process.departure_time())
    }

    fn wall_ms(&self) -> i64 {
        WALL_CLOCK_START_MS
            + self.network.0.wall_clock_offset_ms.get()
            + self.network.0.started_at.elapsed().as_millis() as i64
    }
}

/// Maximum number of datagrams queued at a socket. Further ones are dropped.
const DATAGRAM_QUEUE_MAX: usize = 256;

#[derive(Default)]
struct DatagramQueue {
    /// Arrival time, source address and bytes of each datagram.
    pending: RefCell<VecDeque<(Instant, SocketAddr, Vec<u8>)>>,
    arrival: Notify,
}

pub struct SimDatagrams {
    network: SimNetwork,
    process_state: Option<Rc<ProcessRun>>,
    address: SocketAddr,
    queue: Rc<DatagramQueue>,
}

impl DatagramSocket for SimDatagrams {
    fn send(&self, bytes: &[u8], to: SocketAddr) {
        if let Some(process) = &self.process_state {
            // A process that has ended sends nothing, and a datagram in the middle of which it is killed is
            // not sent.
            if process.on_send(bytes.len()) < bytes.len()
                || self.network.partitioned_until(process.sender, to).is_some()
            {
                return;
            }
        }
        let Some(queue) = self.network.0.datagram_queues.borrow().get(&to).cloned() else { return };
        let mut pending = queue.pending.borrow_mut();
        if pending.len() < DATAGRAM_QUEUE_MAX {
            let sent_at =
                self.process_state.as_ref().map_or_else(Instant::now, |process| process.departure_time());
            pending.push_back((sent_at + self.network.0.latency, self.address, bytes.to_vec()));
            self.network.0.datagrams_sent.set(self.network.0.datagrams_sent.get() + 1);
            queue.arrival.notify_one();
        }
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        loop {
            let next = self.queue.pending.borrow().front().map(|(arrives_at, ..)| *arrives_at);
            match next {
                Some(arrives_at) if arrives_at <= Instant::now() => {
                    let Some((_, from, data)) = self.queue.pending.borrow_mut().pop_front() else { continue };
                    let length = data.len().min(buffer.len());
                    buffer[..length].copy_from_slice(&data[..length]);
                    return Ok((length, from));
                }
                Some(arrives_at) => sleep_until(arrives_at).await,
                None => self.queue.arrival.notified().await,
            }
        }
    }
}

impl Drop for SimDatagrams {
    fn drop(&mut self) {
        let mut queues = self.network.0.datagram_queues.borrow_mut();
        if queues.get(&self.address).is_some_and(|queue| Rc::ptr_eq(queue, &self.queue)) {
            queues.remove(&self.address);
        }
    }
}

pub struct SimListener {
    network: SimNetwork,
    process_state: Option<Rc<ProcessRun>>,
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
        let is_registered =
            self.network.0.listeners.borrow().get(&self.address).is_some_and(|q| Rc::ptr_eq(q, &self.queue));
        if is_registered {
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
    /// When the writer ended the stream, and when that reaches the reader.
    end_of_stream: Option<(Instant, Instant)>,
    /// When a reset reaches the reader.
    reset_at: Option<Instant>,
    /// Whether the reading end has been dropped.
    reader_closed: bool,
    reader_waker: Option<Waker>,
    writer_waker: Option<Waker>,
    /// Wakes the reader at the next arrival.
    timer: Option<Pin<Box<Sleep>>>,
}

impl Pipe {
    /// When bytes, the end of the stream or a reset reach the reader next; None if none of them is under way.
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
    /// When the peer wrote the bytes that were read last.
    last_sent_at: Cell<Instant>,
    /// State of the process that owns this end, if it is a sender's.
    process_state: Option<Rc<ProcessRun>>,
    /// Whether the connection stays open at the peer after this end is dropped.
    is_leaked: bool,
    /// The sender and endpoint that the connection joins. None for connections that partitions do not affect.
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

    /// Returns when bytes written now leave the machine: later than now while the process is blocked in a
    /// disk operation.
    fn departure_time(&self) -> Instant {
        self.process_state.as_ref().map_or_else(Instant::now, |process| process.departure_time())
    }

    /// Returns when bytes sent at `sent_at` arrive: after the end of any current partition, plus the latency.
    fn arrival_time(&self, sent_at: Instant) -> Instant {
        self.flow.as_ref().and_then(Flow::partitioned_until).map_or(sent_at, |until| until.max(sent_at))
            + self.latency
    }

    /// Whether a partition blocks the connection now.
    pub fn is_partitioned(&self) -> bool {
        self.flow.as_ref().is_some_and(|flow| flow.partitioned_until().is_some())
    }

    /// When the peer wrote the bytes that were read last, or ended the stream if that end has been read.
    pub fn last_sent_at(&self) -> Instant {
        self.last_sent_at.get()
    }

    /// When the peer ended or reset the connection, even if that has not arrived here yet. Only the event
    /// history that the checker reads may use it, because no real endpoint could know it yet.
    pub fn peer_ended_at(&self) -> Option<Instant> {
        let input = self.input.borrow();
        let reset_sent_at = input.reset_at.map(|at| at - self.latency);
        [input.end_of_stream.map(|(sent_at, _)| sent_at), reset_sent_at].into_iter().flatten().min()
    }

    pub async fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        poll_fn(|cx| self.poll_read(cx, buffer)).await
    }

    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let written = poll_fn(|cx| self.poll_write(cx, &[IoSlice::new(bytes)])).await?;
            bytes = &bytes[written..];
        }
        Ok(())
    }

    /// Resets the connection. Bytes in flight to the peer are discarded.
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
            if pipe.reset_at.is_some_and(|event_at| event_at <= now) {
                self.last_sent_at.set(now - self.latency);
                return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
            }
            if let Some(segment) = pipe.segments.front_mut().filter(|s| s.arrives_at <= now) {
                let count = buffer.len().min(segment.bytes.len() - segment.bytes_read);
                buffer[..count]
                    .copy_from_slice(&segment.bytes[segment.bytes_read..segment.bytes_read + count]);
                segment.bytes_read += count;
                self.last_sent_at.set(segment.sent_at);
                if segment.bytes_read == segment.bytes.len() {
                    pipe.segments.pop_front();
                }
                pipe.bytes_in_flight -= count;
                pipe.wake_writer();
                return Poll::Ready(Ok(count));
            }
            if let Some((sent, _)) =
                pipe.end_of_stream.filter(|(_, event_at)| pipe.segments.is_empty() && *event_at <= now)
            {
                self.last_sent_at.set(sent);
                return Poll::Ready(Ok(0));
            }
            pipe.reader_waker = Some(cx.waker().clone());
            let Some(event_at) = pipe.next_event_at() else { return Poll::Pending };
            if pipe.timer.as_ref().is_none_or(|timer| timer.deadline() != event_at) {
                pipe.timer = Some(Box::pin(sleep_until(event_at)));
            }
            match pipe.timer.as_mut().map(|timer| timer.as_mut().poll(cx)) {
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
            // The peer answers data on a closed connection with a reset, which arrives one round trip later.
            let reset_arrives_at = self.arrival_time(now) + self.latency;
            drop(pipe);
            let mut input = self.input.borrow_mut();
            input.reset_at.get_or_insert(reset_arrives_at);
            input.wake_reader();
            return Poll::Ready(Ok(parts.iter().map(|p| p.len()).sum()));
        }
        let capacity = WINDOW_BYTES - pipe.bytes_in_flight.min(WINDOW_BYTES);
        if capacity == 0 {
            pipe.writer_waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let mut bytes: Vec<u8> = Vec::new();
        for part in parts {
            bytes.extend_from_slice(&part[..part.len().min(capacity - bytes.len())]);
        }
        let count = self.process_state.as_ref().map_or(bytes.len(), |process| process.on_send(bytes.len()));
        if count == 0 && !bytes.is_empty() {
            // The process has ended.
            return Poll::Pending;
        }
        bytes.truncate(count);
        if count > 0 {
            let sent_at = self.departure_time();
            pipe.bytes_in_flight += count;
            pipe.segments.push_back(Segment {
                sent_at,
                arrives_at: self.arrival_time(sent_at),
                bytes,
                bytes_read: 0,
            });
            pipe.wake_reader();
        }
        Poll::Ready(Ok(count))
    }
}

impl Stream for SimStream {
    fn poll_read(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        // A read counts as a step only if bytes, the end of the stream or a reset have arrived.
        let process = self.process_state.as_ref().filter(|_| self.read_state() != ReadState::Empty);
        as_step(process, || self.read_now(cx, buffer)).unwrap_or(Poll::Pending)
    }

    fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.read_now(cx, &mut []).map(|_| Ok(()))
    }

    fn read_available(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut context = Context::from_waker(Waker::noop());
        match self.poll_read(&mut context, buffer) {
            Poll::Ready(result) => result,
            Poll::Pending => Err(ErrorKind::WouldBlock.into()),
        }
    }

    fn poll_write(&self, cx: &mut Context<'_>, parts: &[IoSlice<'_>]) -> Poll<io::Result<usize>> {
        as_step(self.process_state.as_ref(), || self.write_now(cx, parts)).unwrap_or(Poll::Pending)
    }

    fn read_state(&self) -> ReadState {
        let (input, now) = (self.input.borrow(), Instant::now());
        match input.next_event_at() {
            Some(at) if at > now => ReadState::Empty,
            None => ReadState::Empty,
            Some(_) if input.reset_at.is_some_and(|at| at <= now) => ReadState::Failed,
            Some(_) if input.segments.is_empty() => ReadState::Ended,
            Some(_) => ReadState::Data,
        }
    }

    fn has_peer_ended(&self) -> bool {
        let (input, now) = (self.input.borrow(), Instant::now());
        let has_ended = input.end_of_stream.is_some_and(|(_, arrives_at)| arrives_at <= now);
        has_ended || input.reset_at.is_some_and(|at| at <= now)
    }

    fn shutdown_write(&self) -> io::Result<()> {
        let mut pipe = self.output.borrow_mut();
        let sent_at = self.departure_time();
        pipe.end_of_stream.get_or_insert((sent_at, self.arrival_time(sent_at)));
        pipe.wake_reader();
        Ok(())
    }
}

impl Drop for SimStream {
    fn drop(&mut self) {
        if self.is_leaked {
            return;
        }
        let has_unread = self.read_state() != ReadState::Empty && !self.input.borrow().segments.is_empty();
        let mut input = self.input.borrow_mut();
        input.reader_closed = true;
        input.wake_writer();
        drop(input);
        if has_unread {
            self.reset();
        }
        let _ = self.shutdown_write();
    }
}

//! Endpoints that answer calls with injected faults, and record each call with its end.
use crate::answer::{status_line_length, Answer};
use crate::history::{History, READ_TIME};
use nickelshed_judge::{CallEnd, EventKind};
use nickelshed_testkit::{read_http_message, AnswerFault, HttpMessage};
use socket2::SockRef;
use std::collections::{HashMap, HashSet};
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long the close of an earlier call may take to arrive behind a later call for the same message.
const CLOSE_ARRIVAL_TIME: Duration = Duration::from_millis(50);
/// A call without an answer is watched for its close this long.
const HANG_TIME: Duration = Duration::from_secs(20);

/// Numbers the calls of all endpoints.
static CALLS: AtomicU64 = AtomicU64::new(0);

/// An endpoint that listens on a free loopback port.
pub struct SoakEndpoint {
    pub dest: u64,
    pub address: SocketAddr,
}

/// What the connections of an endpoint share.
struct Shared {
    dest: u64,
    faulty_answers: f64,
    reports_load: bool,
    random: Mutex<fastrand::Rng>,
    history: History,
    calls: Mutex<Calls>,
    /// Idempotency keys of the messages that have taken effect.
    executed_keys: Mutex<HashSet<String>>,
}

/// A call whose end is not recorded yet.
struct OpenCall {
    call: u64,
    stream: TcpStream,
    began_at: Instant,
    /// A later call for the same message is finding out whether this one had been closed before.
    is_in_question: bool,
    /// The end that was seen while it was in question.
    end: Option<(Instant, CallEnd)>,
}

/// The calls of an endpoint, by the id of their message.
#[derive(Default)]
struct Calls {
    /// Calls without an end.
    open: HashMap<String, Vec<OpenCall>>,
    /// When the last call that ended with the close of its connection was seen to end.
    closed_at: HashMap<String, Instant>,
}

impl Calls {
    fn forget(&mut self, call: u64, id: &str) {
        let Some(open) = self.open.get_mut(id) else { return };
        open.retain(|open_call| open_call.call != call);
        if open.is_empty() {
            self.open.remove(id);
        }
    }
}

impl SoakEndpoint {
    /// `faulty_answers` is the fraction of the answers that are struck by a fault.
    pub fn start(dest: u64, seed: u64, faulty_answers: f64, history: History) -> SoakEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared::new(dest, seed, faulty_answers, history));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(&stream));
            }
        });
        SoakEndpoint { dest, address }
    }
}

impl Shared {
    fn new(dest: u64, seed: u64, faulty_answers: f64, history: History) -> Shared {
        Shared {
            dest,
            faulty_answers,
            reports_load: (seed + dest).is_multiple_of(2),
            random: Mutex::new(fastrand::Rng::with_seed(seed.wrapping_mul(31) + dest)),
            history,
            calls: Mutex::default(),
            executed_keys: Mutex::default(),
        }
    }

    /// Answers the calls on a connection until it ends.
    fn serve(&self, stream: &TcpStream) {
        let Ok(reader) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reader);
        let _ = stream.set_nodelay(true);
        loop {
            let _ = stream.set_read_timeout(None);
            let Some(request) = read_http_message(&mut reader, 0) else { return };
            if !self.answer(stream, &request) {
                return;
            }
        }
    }

    /// Answers one call. Returns whether the connection goes on.
    fn answer(&self, stream: &TcpStream, request: &HttpMessage) -> bool {
        let (call, id) = (CALLS.fetch_add(1, Ordering::SeqCst), request.message_id());
        let answer = {
            let mut random = self.random.lock().unwrap();
            Answer::draw(&mut random, self.faulty_answers, self.reports_load)
        };
        self.begin_call(call, request, stream);
        if is_closed_within(stream, answer.delay.unwrap_or(HANG_TIME)) || answer.delay.is_none() {
            self.end_call(call, id, Instant::now(), CallEnd::Closed);
            return false;
        }
        if answer.executes {
            self.execute(request);
        }
        self.pass_on(stream, call, id, &answer)
    }

    fn begin_call(&self, call: u64, request: &HttpMessage, stream: &TcpStream) {
        let (id, received_at) = (request.message_id(), request.received_at);
        if self.record_if_given_up(call, request, stream) {
            return;
        }
        let (earlier, closed_at) = self.question_open_calls(id);
        // The threads of two connections may see the close of one and the request on the other in either order.
        let closed_meanwhile =
            closed_at.filter(|at| (received_at..received_at + CLOSE_ARRIVAL_TIME).contains(at));
        let at = closed_meanwhile.map_or(received_at, |closed_at| closed_at + Duration::from_micros(1));
        for (earlier_call, earlier_stream) in earlier {
            let was_closed = is_closed_within(&earlier_stream, CLOSE_ARRIVAL_TIME);
            let closed_at = at.checked_sub(Duration::from_micros(1)).unwrap_or(at);
            self.settle_question(earlier_call, id, was_closed.then_some(closed_at));
        }
        self.record_call(call, id, at);
        if let Ok(stream) = stream.try_clone() {
            let open_call = OpenCall { call, stream, began_at: at, is_in_question: false, end: None };
            self.calls.lock().unwrap().open.entry(id.to_string()).or_default().push(open_call);
        }
    }

    /// The thread of a connection may read a request long after it has arrived. If the sender has closed the
    /// connection and made the call elsewhere meanwhile, this one was over before the other began.
    fn record_if_given_up(&self, call: u64, request: &HttpMessage, stream: &TcpStream) -> bool {
        let id = request.message_id();
        let began_at = {
            let calls = self.calls.lock().unwrap();
            calls.open.get(id).and_then(|open| open.iter().map(|other| other.began_at).min())
        };
        let is_recent = |at: &Instant| request.received_at <= *at + CLOSE_ARRIVAL_TIME;
        let Some(other_began_at) = began_at.filter(is_recent) else { return false };
        if !has_been_closed(stream) {
            return false;
        }
        let before =
            |micros| other_began_at.checked_sub(Duration::from_micros(micros)).unwrap_or(other_began_at);
        self.record_call(call, id, before(2));
        self.history.record_at(before(1), EventKind::Over { call, end: CallEnd::Closed });
        true
    }

    fn record_call(&self, call: u64, id: &str, at: Instant) {
        let kind = EventKind::Call {
            call,
            sender: 0,
            endpoint: self.dest as usize,
            dest: self.dest,
            route: None,
            site: 0,
            ids: vec![id.to_string()],
            work: 1.0,
            first_byte: self.history.to_us(at),
        };
        self.history.record_at(at, kind);
    }

    /// Returns the open calls for a message, whose ends are not recorded until `settle_question`, and when the
    /// last call for it was closed.
    fn question_open_calls(&self, id: &str) -> (Vec<(u64, TcpStream)>, Option<Instant>) {
        let mut calls = self.calls.lock().unwrap();
        let closed_at = calls.closed_at.get(id).copied();
        let open = calls.open.get_mut(id).map(|open| open.iter_mut()).into_iter().flatten();
        let question = |open_call: &mut OpenCall| {
            open_call.is_in_question = true;
            Some((open_call.call, open_call.stream.try_clone().ok()?))
        };
        (open.filter_map(question).collect(), closed_at)
    }

    /// Records the end of a call that was in question, if it has ended: its answer, or else the close.
    fn settle_question(&self, call: u64, id: &str, closed_at: Option<Instant>) {
        let mut calls = self.calls.lock().unwrap();
        let open = calls.open.get_mut(id).map(|open| open.iter_mut()).into_iter().flatten();
        let Some(open_call) = open.into_iter().find(|open_call| open_call.call == call) else { return };
        open_call.is_in_question = false;
        let answered = open_call.end.filter(|(_, end)| *end != CallEnd::Closed);
        let closed = closed_at.map(|at| (at, CallEnd::Closed));
        let Some((at, end)) = answered.or(closed).or(open_call.end) else { return };
        calls.forget(call, id);
        self.history.record_at(at, EventKind::Over { call, end });
    }

    /// Records the end of a call, unless a later call for the same message has recorded it or is about to.
    fn end_call(&self, call: u64, id: &str, at: Instant, end: CallEnd) {
        let mut calls = self.calls.lock().unwrap();
        let Some(open) = calls.open.get_mut(id) else { return };
        let Some(open_call) = open.iter_mut().find(|open_call| open_call.call == call) else { return };
        if open_call.is_in_question {
            open_call.end.get_or_insert((at, end));
            return;
        }
        calls.forget(call, id);
        if end == CallEnd::Closed {
            calls.closed_at.insert(id.to_string(), at);
        }
        self.history.record_at(at, EventKind::Over { call, end });
    }

    fn execute(&self, request: &HttpMessage) {
        let id = request.message_id();
        let key = request.headers.get("idempotency-key").cloned().unwrap_or_default();
        // Every client sends a key; only the messages of the keyed class are recognized by it.
        let is_keyed = request.headers.contains_key("idempotency-key") && self.is_keyed(id);
        if !is_keyed || self.executed_keys.lock().unwrap().insert(key) {
            self.history.record(EventKind::Ran { id: id.to_string(), message: 0 });
        }
    }

    fn is_keyed(&self, id: &str) -> bool {
        self.history.is_keyed(id)
    }

    /// Writes the answer with its fault. Returns whether the connection goes on.
    fn pass_on(&self, mut stream: &TcpStream, call: u64, id: &str, answer: &Answer) -> bool {
        let passed = &answer.bytes[..answer.passed_bytes()];
        let status_is_passed = passed.len() >= status_line_length(&answer.bytes);
        if status_is_passed {
            // Recorded first, so that what the sender does next comes later.
            self.end_call(call, id, Instant::now(), self.call_end(answer, passed.len()));
        }
        let copy = matches!(answer.fault, AnswerFault::Copy(Duration::ZERO)).then_some(passed);
        let is_written = stream.write_all(&[passed, copy.unwrap_or_default()].concat()).is_ok();
        if is_written && passed.len() == answer.bytes.len() && stays_open(answer.fault) {
            self.history.expect_answer_read(call);
        }
        match answer.fault {
            AnswerFault::None | AnswerFault::Copy(Duration::ZERO) => return is_written,
            AnswerFault::Copy(delay) => {
                copy_later(stream, answer.bytes.clone(), delay);
                return is_written;
            }
            AnswerFault::Reset(delay) | AnswerFault::CutOff(_, delay) => std::thread::sleep(delay),
            AnswerFault::Stall(_) => _ = is_closed_within(stream, HANG_TIME),
            AnswerFault::Discard => {}
        }
        let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        self.end_call(call, id, Instant::now(), CallEnd::Closed);
        false
    }

    fn call_end(&self, answer: &Answer, passed: usize) -> CallEnd {
        // A wait binds only a sender that has received it.
        let is_received = passed == answer.bytes.len() && stays_open(answer.fault);
        let retry_after = if is_received { answer.retry_after.as_micros() as u64 } else { 0 };
        CallEnd::Answered { status: answer.status, retry_after }
    }
}

/// Whether the connection stays open until its sender has certainly read the answer.
fn stays_open(fault: AnswerFault) -> bool {
    !matches!(fault, AnswerFault::Reset(delay) if delay < READ_TIME)
}

/// Waits for the peer's close, at most for `limit`. Returns whether it has come.
fn is_closed_within(stream: &TcpStream, limit: Duration) -> bool {
    let _ = stream.set_read_timeout(Some(limit.max(Duration::from_millis(1))));
    match stream.peek(&mut [0]) {
        Ok(count) => count == 0,
        Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
    }
}

/// Whether the peer's close has arrived.
fn has_been_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

fn copy_later(stream: &TcpStream, bytes: Vec<u8>, delay: Duration) {
    let Ok(mut stream) = stream.try_clone() else { return };
    std::thread::spawn(move || {
        std::thread::sleep(delay);
        // A connection that has ended takes no copy.
        let _ = stream.write_all(&bytes);
    });
}

#[cfg(test)]
mod tests;

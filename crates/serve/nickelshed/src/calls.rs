//! Calls to endpoints: the checks before a request is written, and how each message of a call ended.
use crate::connections::{request, Connection, Fault, Pool};
use crate::inbox::Input;
use crate::socket::{Socket, MAX_HEADERS};
use crate::stall_detector::Pulse;
use base64::Engine;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONNECTION, RETRY_AFTER};
use hyper::Request;
use nickelshed_host::{Host, Stream};
use nickelshed_journal::{Taken, MAX_BODY};
use nickelshed_policy::api::{AttemptEnd, EndpointId, Ns, Outcome, Report};
use serde_json::{json, Value};
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep_until, timeout, Instant};

/// Time limits for the head of an answer, counted from its first byte, and for the body of a batch answer,
/// which must be read to the end. Some endpoints never finish an answer, and without a limit such a call
/// would hold its slot until the messages expire.
const HEAD: Duration = Duration::from_millis(500);
const WHOLE: Duration = Duration::from_secs(1);
/// Upper bound, in seconds, of a `Retry-After` value; no message lives as long.
const LONGEST_WAIT: f64 = 1e6;

/// Cancels a call when the policy cancels an attempt in it.
#[derive(Default)]
pub struct Cancel {
    set: Cell<bool>,
    notify: Notify,
}

impl Cancel {
    pub fn set(&self) {
        self.set.set(true);
        self.notify.notify_one();
    }
    async fn wait(&self) {
        while !self.set.get() {
            self.notify.notified().await;
        }
    }
}

/// One message in a call.
pub struct Member {
    pub attempt: u32,
    pub taken: Rc<Taken>,
    /// When the message expires.
    pub end: Instant,
    /// When this attempt times out; not later than `deadline`.
    pub limit: Instant,
    /// The first byte of the request must be written before this time.
    pub by: Instant,
}

/// The head of an answer, and its body as far as it has been read.
struct Answer {
    status: u16,
    headers: HeaderMap,
    /// For a batch call answered 200 the complete body is in `batch_body`; otherwise `remaining` is the
    /// unread body.
    ends: Option<Bytes>,
    rest: Option<Incoming>,
}

pub struct Client<H: Host> {
    pub core: mpsc::Sender<Input>,
    pub pool: Rc<Pool<H>>,
    pub pulse: Rc<Pulse<H>>,
}

impl<H: Host> Client<H> {
    /// Makes one call of the policy and reports to the core how each of its messages ended.
    pub async fn call(self: Rc<Self>, endpoint: EndpointId, members: Vec<Member>, cancel: Rc<Cancel>) {
        let started = Instant::now();
        // A batch may be larger than one request body can be; it is then split, and the chunks are sent one
        // after the other.
        let mut waiting: VecDeque<Vec<Member>> = parts(members).into();
        while let Some(part) = waiting.pop_front() {
            let mut exchange = pin!(self.exchange(endpoint, part, &cancel, started));
            loop {
                let next = waiting.iter().flatten().map(|m| m.end).min();
                tokio::select! {
                    biased;
                    () = &mut exchange => break,
                    () = sleep_until(next.unwrap_or(started)), if next.is_some() => {}
                }
                // The current chunk may take longer than the messages in the next ones have left, so expired
                // ones are reported on time.
                let late: Vec<_> = waiting.iter_mut().flat_map(|part| leavers(part, None)).collect();
                waiting.retain(|part| !part.is_empty());
                self.report(late.iter().map(|m| end(m, endpoint, Outcome::NotSent, started)).collect()).await;
            }
        }
    }

    async fn exchange(
        &self,
        endpoint: EndpointId,
        mut members: Vec<Member>,
        cancel: &Cancel,
        started: Instant,
    ) {
        let tell = |outcome| move |m: &Member| end(m, endpoint, outcome, started);
        // The message with the latest deadline comes first in the request, so that the first one never leaves
        // the call early by itself: where it did, the platform was observed to ignore what the answer said
        // about the others.
        members.sort_by_key(|m| std::cmp::Reverse(m.end));
        // An attempt that times out while its message may still be retried must not stay open on the
        // connection, or the retry would be a second copy of the message. The whole call is closed at that
        // time. A message that expires can leave the call by itself, because it is not retried.
        let again = members.iter().filter(|m| m.limit < m.end).map(|m| m.limit).min();
        let close_at = again.or(members.iter().map(|m| m.end).max()).unwrap_or(started);
        let (mut link, answer) = loop {
            let found = {
                let mut made = pin!(self.pool.connect(endpoint));
                loop {
                    tokio::select! {
                        biased;
                        () = cancel.wait() => break Err(Outcome::NotSent),
                        link = &mut made => break link,
                        () = sleep_until(next_end(&members, close_at)) => {}
                    }
                    // Connecting may take longer than a message has left, so expired ones are reported on
                    // time.
                    let late = leavers(&mut members, Some(close_at));
                    self.report(late.iter().map(tell(Outcome::NoConnection)).collect()).await;
                    if members.is_empty() {
                        return;
                    }
                }
            };
            let mut link = match found {
                Ok(link) => link,
                Err(outcome) => return self.report(members.iter().map(tell(outcome)).collect()).await,
            };
            // A drain, a retry-after or the end of a send window may have arrived while the connection was
            // made or while the process was stalled.
            self.pulse.caught_up().await;
            let now = Instant::now();
            let may = self.pool.may_write(endpoint);
            let (go, stay): (Vec<_>, Vec<_>) =
                members.into_iter().partition(|m| may && now < m.by && now < m.end.min(close_at));
            members = go;
            self.report(stay.iter().map(tell(Outcome::NotSent)).collect()).await;
            if members.is_empty() {
                return self.pool.give_back(endpoint, link);
            }
            let request = build(&members, link.at, close_at - now);
            let several = members.len() > 1;
            let idle = link.idle();
            // For a single message, a status line with 200 is proof of success whatever follows it. For a
            // batch, the complete answer is needed.
            let served = |link: &Connection<H>| !several && says_200(&link.socket.head());
            let answer = {
                let mut answer = pin!(self.answer(&mut link, request, endpoint, several));
                loop {
                    tokio::select! {
                        biased;
                        answer = &mut answer => break Ok(answer),
                        () = cancel.wait() => break Err((std::mem::take(&mut members), Outcome::CalledOff)),
                        () = sleep_until(next_end(&members, close_at)) => {}
                    }
                    let late = leavers(&mut members, Some(close_at));
                    if members.is_empty() {
                        break Err((late, Outcome::NoAnswer));
                    }
                    self.report(late.iter().map(tell(Outcome::NoAnswer)).collect()).await;
                }
            };
            let answer = match answer {
                Ok(answer) => answer,
                Err((left, outcome)) => {
                    let outcome = if served(&link) { Outcome::Served } else { outcome };
                    // The connection is closed before the result is reported. Otherwise the next attempt
                    // could start while this request is still open on the connection, as a second copy of the
                    // message, and the call would still occupy its slot.
                    link.close().await;
                    return self.report(left.iter().map(tell(outcome)).collect()).await;
                }
            };
            match answer {
                // The reused connection was already closed and nothing was written, so the request can be
                // sent on another one.
                Err(Fault::Unsent) => drop(link),
                Err(fault) => {
                    let served = served(&link);
                    let kept = idle.filter(|_| link.socket.head().is_empty());
                    link.close().await;
                    tracing::debug!(%fault, served, "no readable answer");
                    let outcome = match fault {
                        _ if served => Outcome::Served,
                        Fault::Broken(_) => Outcome::ConnectionLost,
                        _ => Outcome::NoConnection,
                    };
                    if let Some(idle) = kept.filter(|_| outcome == Outcome::ConnectionLost) {
                        self.pool.distrust(endpoint, idle);
                    }
                    let lost = |m| AttemptEnd { kept: kept.is_some(), ..end(m, endpoint, outcome, started) };
                    return self.report(members.iter().map(lost).collect()).await;
                }
                Ok(answer) => break (link, answer),
            }
        };
        let ends = read_ends(&members, &answer, endpoint, started);
        let closes =
            answer.headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        if link.finish(answer.rest).await && !closes {
            self.pool.give_back(endpoint, link);
        } else {
            link.close().await;
        }
        self.report(ends).await;
    }

    async fn answer(
        &self,
        link: &mut Connection<H>,
        request: Request<Full<Bytes>>,
        endpoint: EndpointId,
        several: bool,
    ) -> Result<Answer, Fault> {
        let socket = link.socket.clone();
        let (head, body) = tokio::select! {
            biased;
            answer = link.send(request) => answer?.into_parts(),
            () = head_is_late(&socket) => return Err(Fault::Broken("the response head did not end in time".into())),
        };
        socket.rest();
        // Recorded before the body is read, because calls to other endpoints of the destination may be about
        // to be written.
        if let Some(wait) = wait_told(&head.headers) {
            self.pool.heed_wait(endpoint, wait);
        }
        let (status, headers) = (head.status.as_u16(), head.headers);
        if status == 200 && several {
            let whole = timeout(WHOLE, Limited::new(body, MAX_BODY).collect()).await;
            let whole = whole.map_err(|_| Fault::Broken("the response body did not end in time".into()))?;
            let whole = whole.map_err(|e| Fault::Broken(format!("cannot read the response body: {e}")))?;
            return Ok(Answer { status, headers, ends: Some(whole.to_bytes()), rest: None });
        }
        Ok(Answer { status, headers, ends: None, rest: Some(body) })
    }

    async fn report(&self, ends: Vec<AttemptEnd>) {
        if !ends.is_empty() {
            let _ = self.core.send(Input::Ended(ends)).await;
        }
    }

    pub async fn probe(self: Rc<Self>, endpoint: EndpointId) {
        let Ok(mut link) = self.pool.connect(endpoint).await else {
            return self.probed(endpoint, Outcome::NoConnection, None).await;
        };
        self.pulse.caught_up().await;
        if !self.pool.may_write(endpoint) {
            return self.probed(endpoint, Outcome::NotSent, None).await;
        }
        let asked = request("GET", "/healthz", link.at, &[], Bytes::new());
        let (outcome, report) = match timeout(self.pool.dial, link.exchange(asked, MAX_BODY)).await {
            Ok(Ok((status, headers, _))) => {
                let (outcome, ..) = outcome(status, &headers);
                self.pool.give_back(endpoint, link);
                (outcome, load_report(&headers))
            }
            Ok(Err(Fault::Broken(_))) => (Outcome::ConnectionLost, None),
            Ok(Err(_)) => (Outcome::NoConnection, None),
            Err(_) => (Outcome::NoAnswer, None),
        };
        self.probed(endpoint, outcome, report).await;
    }

    async fn probed(&self, endpoint: EndpointId, outcome: Outcome, report: Option<Report>) {
        let _ = self.core.send(Input::Probed { endpoint, outcome, report }).await;
    }
}

/// Returns when the next message leaves the call, at the latest when the call is closed.
fn next_end(members: &[Member], close_at: Instant) -> Instant {
    members.iter().map(|m| m.end).fold(close_at, Instant::min)
}

/// Removes and returns the expired messages, or all of them once the call is due to be closed.
fn leavers(members: &mut Vec<Member>, close_at: Option<Instant>) -> Vec<Member> {
    let now = Instant::now();
    let closes = close_at.is_some_and(|at| now >= at);
    members.extract_if(.., |m| closes || now >= m.end).collect()
}

fn parts(members: Vec<Member>) -> Vec<Vec<Member>> {
    let mut parts: Vec<Vec<Member>> = Vec::new();
    let mut size = 0;
    for member in members {
        let t = &member.taken;
        let texts = t.trace.len() + t.key.as_ref().map_or(0, String::len);
        let own = t.body.len().div_ceil(3) * 4 + 2 * texts + 40;
        match parts.last_mut().filter(|_| size + own < MAX_BODY) {
            Some(part) => part.push(member),
            None => {
                parts.push(vec![member]);
                size = 2;
            }
        }
        size += own;
    }
    parts
}

fn build(members: &[Member], to: SocketAddr, wait: Duration) -> Request<Full<Bytes>> {
    let wait = wait.as_millis().max(1).to_string();
    let mut headers = vec![("x-expires-in-ms", wait.as_str())];
    let [only] = members else {
        let list: Vec<Value> = members
            .iter()
            .map(|m| {
                let body = base64::engine::general_purpose::STANDARD.encode(&m.taken.body);
                match &m.taken.key {
                    Some(key) => json!({"id": m.taken.trace, "key": key, "body": body}),
                    None => json!({"id": m.taken.trace, "body": body}),
                }
            })
            .collect();
        headers.push(("content-type", "application/json"));
        return request("POST", "/v1/messages:batch", to, &headers, Value::from(list).to_string().into());
    };
    let taken = &only.taken;
    headers.push(("x-trace-id", &taken.trace));
    if let Some(key) = &taken.key {
        headers.push(("idempotency-key", key));
    }
    request("POST", "/v1/messages", to, &headers, taken.body.clone())
}

pub fn end(m: &Member, endpoint: EndpointId, outcome: Outcome, started: Instant) -> AttemptEnd {
    let done = outcome == Outcome::Served;
    let took = started.elapsed().as_nanos() as Ns;
    let (id, attempt) = (m.taken.id, m.attempt);
    AttemptEnd { id, attempt, endpoint, outcome, took, done, wait: 0, report: None, kept: false }
}

/// Maps a response to the outcome of the attempt and whether the message is finished, as the protocol defines
/// it. After a status that the protocol does not define, the attempt may have run.
fn outcome(status: u16, headers: &HeaderMap) -> (Outcome, bool) {
    match status {
        200 => (Outcome::Served, true),
        429 => (Outcome::TurnedAway, false),
        503 if headers.get("x-line-busy").is_some_and(|v| v.as_bytes() == b"1") => (Outcome::NotSent, false),
        503 => (Outcome::TurnedAway, false),
        410 => (Outcome::NotSent, true),
        400 | 413 | 504 => (Outcome::NotSent, false),
        _ => (Outcome::ServerError, false),
    }
}

fn read_ends(members: &[Member], answer: &Answer, endpoint: EndpointId, started: Instant) -> Vec<AttemptEnd> {
    let wait = wait_told(&answer.headers).map_or(0, |w| w.as_nanos() as Ns);
    let report = load_report(&answer.headers);
    let list: Option<Vec<Value>> =
        answer.ends.as_ref().map(|b| serde_json::from_slice(b).unwrap_or_default());
    let text = |v: &Value, key: &str| v.get(key).and_then(Value::as_str).map(str::to_string);
    let states: Option<HashMap<String, String>> =
        list.map(|l| l.iter().filter_map(|v| Some((text(v, "id")?, text(v, "state")?))).collect());
    let state = |m: &Member| {
        let Some(states) = &states else { return outcome(answer.status, &answer.headers) };
        match states.get(&m.taken.trace).map(String::as_str) {
            Some("done") => (Outcome::Served, true),
            Some("busy") => (Outcome::TurnedAway, false),
            Some("void") => (Outcome::NotSent, true),
            Some("used_up") => (Outcome::NotSent, false),
            // `failed`, or the message is missing from the answer: it may have run.
            _ => (Outcome::ServerError, false),
        }
    };
    let tell = |m: &Member| {
        let (outcome, done) = state(m);
        AttemptEnd { done, wait, report, ..end(m, endpoint, outcome, started) }
    };
    members.iter().map(tell).collect()
}

/// Skips interim (1xx) responses and returns the received bytes after them.
fn final_head(mut bytes: &[u8]) -> &[u8] {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        match head.parse(bytes) {
            Ok(httparse::Status::Complete(n)) if matches!(head.code, Some(100..=199)) => bytes = &bytes[n..],
            _ => return bytes,
        }
    }
}

/// Returns whether a complete status line with code 200 has been received.
fn says_200(bytes: &[u8]) -> bool {
    let head = final_head(bytes);
    let line = head.split(|&b| b == b'\n').next().filter(|line| line.len() < head.len());
    let mut words = line.unwrap_or_default().trim_ascii_end().splitn(3, |&b| b == b' ');
    words.next().is_some_and(|version| version.starts_with(b"HTTP/1.")) && words.next() == Some(b"200")
}

/// Returns when a final (not interim) response head has started but not ended within `HEAD_TIMEOUT`.
async fn head_is_late<S: Stream>(socket: &Socket<S>) {
    loop {
        match socket.heard() {
            None => socket.news.notified().await,
            Some(heard) => {
                sleep_until(heard + HEAD).await;
                if !final_head(&socket.head()).is_empty() {
                    return;
                }
                socket.hear_on();
            }
        }
    }
}

/// Parses `Retry-After` in seconds, with or without a decimal fraction.
fn wait_told(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds > 0.0 && seconds.is_finite()).then(|| Duration::from_secs_f64(seconds.min(LONGEST_WAIT)))
}

/// Parses `Endpoint-Load-Metrics: TEXT x0=0.4, x1=25`. A header with a missing or invalid value is ignored as
/// a whole: half a report would look like an exhausted limit, or like no limit.
fn load_report(headers: &HeaderMap) -> Option<Report> {
    let text = headers.get("endpoint-load-metrics")?.to_str().ok()?;
    let value = |name: &str| {
        let mut pairs = text.split([',', ' ']).filter_map(|p| p.split_once('='));
        let value = pairs.find(|(key, _)| *key == name).and_then(|(_, v)| v.trim().parse::<f64>().ok());
        value.filter(|v| v.is_finite() && *v >= 0.0)
    };
    Some(Report { left: value("x0")?, limit: value("x1")? })
}

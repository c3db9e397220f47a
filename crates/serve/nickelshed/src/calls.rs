//! Calls to endpoints: what is checked as one is written, and how each of its messages ended.
use crate::connections::{request, Connection, Fault, Pool};
use crate::inbox::Input;
use crate::pulse::Pulse;
use crate::wire::{Socket, MAX_HEADERS};
use base64::Engine;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONNECTION, RETRY_AFTER};
use hyper::Request;
use nickelshed_host::{Host, Stream};
use nickelshed_journal::{AcceptedMessage, MAX_BODY_BYTES};
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

/// How long an answer's head may take from its first byte, and the body of one that must be whole. Some never
/// end, and their calls would hold a slot until the time is up.
const HEAD: Duration = Duration::from_millis(500);
const WHOLE: Duration = Duration::from_secs(1);
/// Waits longer than this are kept as this one; no message lives so long.
const LONGEST_WAIT: f64 = 1e6;

/// Set once the module calls an attempt off.
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

/// A message's part in a call.
pub struct Member {
    pub attempt: u32,
    pub taken: Rc<AcceptedMessage>,
    /// When its time is up.
    pub end: Instant,
    /// When this attempt is given up; not after `end`.
    pub limit: Instant,
    /// Its first byte must be written before this.
    pub by: Instant,
}

/// What an answer said.
struct Answer {
    status: u16,
    headers: HeaderMap,
    /// Of a call with several messages and 200: the whole answer. Else what is left to read.
    ends: Option<Bytes>,
    rest: Option<Incoming>,
}

pub struct Client<H: Host> {
    pub core: mpsc::Sender<Input>,
    pub pool: Rc<Pool<H>>,
    pub pulse: Rc<Pulse<H>>,
}

impl<H: Host> Client<H> {
    /// Carries out one call of the module and tells how each of its messages ended.
    pub async fn call(self: Rc<Self>, endpoint: EndpointId, members: Vec<Member>, cancel: Rc<Cancel>) {
        let started = Instant::now();
        // What the module puts into one call may be too much for one body; the parts go one by one.
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
                // The part before may hang for longer than these have: their end is told when it is due.
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
        // The one with the most time is named first, so that it is never one that leaves the call alone: where the
        // first left, the platform was seen not to count what the answer said of the others.
        members.sort_by_key(|m| std::cmp::Reverse(m.end));
        // A message that could go again is not left out on an open connection, or its next attempt would be a
        // second copy: then the call is closed for all. One whose time is up leaves alone.
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
                    // A connection may come up long after a message's time is over; its end is told when it is due.
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
            // A drain, a wait or the end of a window may have come while the connection was being made, or while the
            // process stood still.
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
            // A first line with 200 is true, whatever follows it; for several the whole answer counts.
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
                    // Closed before it is told: the next attempt of a message that is still out on an open
                    // connection would be a second copy, and the call would still hold its slot.
                    link.close().await;
                    return self.report(left.iter().map(tell(outcome)).collect()).await;
                }
            };
            match answer {
                // The pooled connection had ended: nothing was written, so another one may carry it.
                Err(Fault::Unsent) => drop(link),
                Err(fault) => {
                    let served = served(&link);
                    let kept = idle.filter(|_| link.socket.head().is_empty());
                    link.close().await;
                    tracing::debug!(%fault, served, "no answer that can be read");
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
            () = head_is_late(&socket) => return Err(Fault::Broken("the head does not end".into())),
        };
        socket.rest();
        // At once: calls to other endpoints of the destination may be about to be written.
        if let Some(wait) = wait_told(&head.headers) {
            self.pool.heed_wait(endpoint, wait);
        }
        let (status, headers) = (head.status.as_u16(), head.headers);
        if status == 200 && several {
            let whole = timeout(WHOLE, Limited::new(body, MAX_BODY_BYTES).collect()).await;
            let whole = whole.map_err(|_| Fault::Broken("the answer does not end".into()))?;
            let whole = whole.map_err(|e| Fault::Broken(format!("the answer can't be read: {e}")))?;
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
        let (outcome, report) = match timeout(self.pool.dial, link.exchange(asked, MAX_BODY_BYTES)).await {
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

/// When the next of them leaves its call, at the latest as that is closed.
fn next_end(members: &[Member], close_at: Instant) -> Instant {
    members.iter().map(|m| m.end).fold(close_at, Instant::min)
}

/// Takes out those whose time is up, and all of them once their call is to be closed.
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
        match parts.last_mut().filter(|_| size + own < MAX_BODY_BYTES) {
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

/// The protocol's table: outcome, and whether the message is over. What it does not name may have run.
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
            // `failed`, or an answer that leaves it out: it may have run.
            _ => (Outcome::ServerError, false),
        }
    };
    let tell = |m: &Member| {
        let (outcome, done) = state(m);
        AttemptEnd { done, wait, report, ..end(m, endpoint, outcome, started) }
    };
    members.iter().map(tell).collect()
}

/// What has come of an answer behind the interim ones (1xx) before it.
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

/// Whether the first line of an answer has come whole and says 200.
fn says_200(bytes: &[u8]) -> bool {
    let head = final_head(bytes);
    let line = head.split(|&b| b == b'\n').next().filter(|line| line.len() < head.len());
    let mut words = line.unwrap_or_default().trim_ascii_end().splitn(3, |&b| b == b' ');
    words.next().is_some_and(|version| version.starts_with(b"HTTP/1.")) && words.next() == Some(b"200")
}

/// Returns once an answer's head has begun and does not end in time; interim answers are none.
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

/// `Retry-After` in seconds, whole or with decimals.
fn wait_told(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds > 0.0 && seconds.is_finite()).then(|| Duration::from_secs_f64(seconds.min(LONGEST_WAIT)))
}

/// `Endpoint-Load-Metrics: TEXT x0=0.4, x1=25`. What can't be read, or makes no sense, is no report: half of one
/// would pass for a limit that is used up, or for none.
fn load_report(headers: &HeaderMap) -> Option<Report> {
    let text = headers.get("endpoint-load-metrics")?.to_str().ok()?;
    let value = |name: &str| {
        let mut pairs = text.split([',', ' ']).filter_map(|p| p.split_once('='));
        let value = pairs.find(|(key, _)| *key == name).and_then(|(_, v)| v.trim().parse::<f64>().ok());
        value.filter(|v| v.is_finite() && *v >= 0.0)
    };
    Some(Report { left: value("x0")?, limit: value("x1")? })
}

//! The fake servers and clients around the senders: endpoints, clients, and discovery agents, which also
//! receive the senders' notices.
use crate::http::{HttpConnection, HttpMessage};
use crate::mutation::Mutation;
use crate::network::{LabHost, LabListener, LabStream};
use crate::simulation::{ListedEndpoint, Simulation};
use base64::Engine;
use nickelshed_config::sidecar::Effect;
use nickelshed_config::units::Percent;
use nickelshed_host::{Host, Listener};
use nickelshed_judge::{CallEnd, Effect as CheckedEffect, EventKind, Us};
use nickelshed_model::{Arrival, CallMessage, CallOutcome, SimulatedDestination, TrafficClass};
use rand::RngExt;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Time after which a client disconnects if it has no answer. Impatient clients wait a tenth of it.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before a client resubmits a message, if the answer has no `Retry-After`.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Delay before an impatient client resubmits a message, whatever the `Retry-After`.
const IMPATIENT_RETRY_DELAY: Duration = Duration::from_millis(20);
const CORRUPTED_ANSWER: &str = "HTP/1 ??? \u{1}\u{2} nothing that can be read\r\n\r\n";

/// Starts a new endpoint of a destination, at an address of its own or at that of the endpoint that it
/// replaces. Returns its number and its listing.
pub async fn open_endpoint(
    sim: &Rc<Simulation>,
    dest: u64,
    replaced: Option<&ListedEndpoint>,
) -> (usize, ListedEndpoint) {
    let number = sim.next_endpoint.get();
    sim.next_endpoint.set(number + 1);
    let ip = loopback_ip(2, number);
    let address = replaced.map_or(SocketAddr::from((ip, 5000)), |replaced| replaced.address);
    sim.network.close_listener(address);
    let site = replaced.map_or(sim.scenario.site_of(number), |replaced| replaced.site);
    sim.endpoint_sites.borrow_mut().insert(number, site);
    sim.destinations[&dest].model.borrow_mut().add_endpoint(number, site);
    listen(sim, dest, number, address).await;
    (number, ListedEndpoint { name: format!("e-{number}"), address, dest, site, lifecycle: "Ready" })
}

/// Makes an endpoint accept connections.
pub async fn listen(sim: &Rc<Simulation>, dest: u64, number: usize, address: SocketAddr) {
    // Binding succeeds because any earlier listener at the address has been closed.
    if let Ok(listener) = sim.network.host(None).listen(address).await {
        spawn_local(accept_connections(sim.clone(), dest, number, listener));
    }
}

async fn accept_connections(sim: Rc<Simulation>, dest: u64, number: usize, listener: LabListener) {
    while let Ok(stream) = listener.accept().await {
        if sim.now() < sim.new_connections_closed_until.get() {
            continue;
        }
        spawn_local(serve_calls(sim.clone(), dest, number, stream));
    }
}

async fn serve_calls(sim: Rc<Simulation>, dest: u64, endpoint: usize, stream: LabStream) {
    let mut connection = HttpConnection::new(stream);
    let (reset_signal, idle_close_signal) =
        (&sim.destinations[&dest].reset_signal, &sim.destinations[&dest].idle_close_signal);
    // Index of the event that reported the last `Retry-After`, and when that answer reaches the sender.
    let mut reported_wait: Option<(usize, Instant)> = None;
    loop {
        let request = tokio::select! {
            biased;
            () = reset_signal.notified() => return connection.stream.reset(),
            () = idle_close_signal.notified() => return,
            request = connection.read() => match request {
                Some(request) => request,
                None => {
                    // A sender that closed before the answer arrived has not received the `Retry-After`.
                    let closed = connection.stream.peer_ended_at();
                    if let Some((event, _)) = reported_wait.filter(|(_, at)| closed.is_some_and(|c| c < *at)) {
                        sim.clear_reported_wait(event);
                    }
                    return;
                }
            },
        };
        reported_wait = None;
        if request.start_line.first().is_some_and(|m| m == "GET") {
            if !connection.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await {
                return;
            }
            continue;
        }
        let call_id = sim.next_call.get();
        sim.next_call.set(call_id + 1);
        let is_batch = request.start_line.get(1).is_some_and(|path| path.ends_with(":batch"));
        let (messages, sender) =
            if is_batch { batch_messages(&request.body) } else { single_message(&request) };
        let ids: Vec<String> = messages.iter().map(|c| c.id.clone()).collect();
        let route = sim.destinations[&dest].model.borrow().route_of(endpoint);
        sim.record(EventKind::Call {
            call: call_id,
            sender,
            endpoint,
            dest,
            route,
            site: sim.endpoint_sites.borrow().get(&endpoint).copied().unwrap_or(0),
            ids: ids.clone(),
            work: SimulatedDestination::call_cost(messages.len()),
            first_byte: sim.to_us(request.first_byte),
        });
        let call_result = {
            let mut random = sim.random.borrow_mut();
            let mut model = sim.destinations[&dest].model.borrow_mut();
            let had_collapsed = model.has_collapsed(endpoint);
            let call_result = model.handle_call(sim.now(), endpoint, &messages, &mut random);
            if model.has_collapsed(endpoint) && !had_collapsed {
                sim.record(EventKind::FellOver { dest, route });
            }
            call_result
        };
        for (id, execution) in ids.iter().zip(&call_result.executions) {
            let Some((at, true)) = *execution else { continue };
            let (sim, id, message) = (sim.clone(), id.clone(), message_number(id));
            spawn_local(async move {
                sleep_until(sim.to_instant(at)).await;
                sim.record(EventKind::Ran { id, message });
            });
        }
        let ends_at = match call_result.outcome {
            CallOutcome::Answered { at, .. } | CallOutcome::Corrupted { at } | CallOutcome::Reset { at } => {
                sim.to_instant(at)
            }
            CallOutcome::NoAnswer => Instant::now() + Duration::from_secs(3_600),
        };
        // A sender that has closed the connection has cancelled the call, even if the end of the stream has
        // not reached the endpoint yet.
        let record_end = |connection: &HttpConnection, call_end: CallEnd| {
            let closed_at =
                connection.stream.peer_ended_at().map(|at| sim.to_us(at)).filter(|at| *at <= sim.now());
            let (at, call_end) = closed_at.map_or((sim.now(), call_end), |at| (at, CallEnd::Closed));
            sim.record_at(at, EventKind::Over { call: call_id, end: call_end });
        };
        tokio::select! {
            biased;
            () = reset_signal.notified() => {
                record_end(&connection, CallEnd::Closed);
                return connection.stream.reset();
            }
            () = connection.closed_by_peer() => return record_end(&connection, CallEnd::Closed),
            () = sleep_until(ends_at) => {}
        }
        match call_result.outcome {
            CallOutcome::Answered { status, retry_after: requested_wait, .. } => {
                // An answer that a partition blocks reports no wait to the sender.
                let requested_wait = if connection.stream.is_partitioned() { 0 } else { requested_wait };
                record_end(&connection, CallEnd::Answered { status, retry_after: requested_wait });
                reported_wait = (requested_wait > 0)
                    .then(|| (sim.last_event_index(), Instant::now() + sim.scenario.latency.0));
                let report = sim.destinations[&dest].model.borrow_mut().load_report(sim.now(), endpoint);
                let load_report = report.map_or(String::new(), |(x0, x1)| {
                    format!("Endpoint-Load-Metrics: TEXT x0={x0:.3}, x1={x1:.3}\r\n")
                });
                let sends_retry_after = requested_wait > 0 && sim.mutation != Some(Mutation::IgnoresWaits);
                let retry_after = if sends_retry_after {
                    format!("Retry-After: {}\r\n", requested_wait as f64 / 1e6)
                } else {
                    String::new()
                };
                let body = if is_batch && status == 200 { batch_answer(&ids) } else { String::new() };
                let length = body.len();
                let answer = format!(
                    "HTTP/1.1 {status} X\r\n{retry_after}{load_report}Content-Length: {length}\r\n\r\n{body}"
                );
                if !connection.write(&answer).await {
                    return;
                }
                copy_by_chance(&sim, sim.scenario.copied, &connection, answer);
            }
            CallOutcome::Corrupted { .. } => {
                record_end(&connection, CallEnd::Spoilt);
                if !connection.write(CORRUPTED_ANSWER).await {
                    return;
                }
            }
            CallOutcome::Reset { .. } | CallOutcome::NoAnswer => {
                record_end(&connection, CallEnd::Closed);
                return connection.stream.reset();
            }
        }
    }
}

/// Returns the message of a call that carries one, and its sender.
fn single_message(request: &HttpMessage) -> (Vec<CallMessage>, usize) {
    let id = request.header("x-trace-id").unwrap_or_default().to_string();
    let key = request.header("idempotency-key").map(str::to_string);
    (vec![CallMessage { id, key }], sender_of_body(&request.body))
}

/// Returns the messages of a batch call and their sender; no messages if the body is not valid JSON.
fn batch_messages(body: &[u8]) -> (Vec<CallMessage>, usize) {
    let messages: Vec<Value> = serde_json::from_slice(body).unwrap_or_default();
    let field = |message: &Value, name: &str| message.get(name).and_then(Value::as_str).map(str::to_string);
    let parse_message =
        |message: &Value| Some(CallMessage { id: field(message, "id")?, key: field(message, "key") });
    let first_body = messages.first().and_then(|message| field(message, "body")).unwrap_or_default();
    let first_body = base64::engine::general_purpose::STANDARD.decode(first_body).unwrap_or_default();
    (messages.iter().filter_map(parse_message).collect(), sender_of_body(&first_body))
}

fn batch_answer(ids: &[String]) -> String {
    let results: Vec<Value> = ids.iter().map(|id| json!({"id": id, "state": "done"})).collect();
    Value::from(results).to_string()
}

/// Reads the sender's number, with which every message body begins: neither the connection nor a header
/// identifies the sender.
fn sender_of_body(body: &[u8]) -> usize {
    let text = String::from_utf8_lossy(body);
    text.split(' ').next().and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// Parses the message number of an id of the form `m<message>-<submission>`.
fn message_number(id: &str) -> u64 {
    id.trim_start_matches('m').split('-').next().and_then(|n| n.parse().ok()).unwrap_or(u64::MAX)
}

/// Returns the address of machine `number` in 127.`network`.0.0/16. The networks are 1 for senders, 2 for
/// endpoints, 3 for discovery agents and 4 for membership datagrams.
fn loopback_ip(network: u8, number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, network, (number / 250) as u8, (number % 250) as u8 + 1)
}

pub fn discovery_address(sender: usize, port_offset: u16) -> SocketAddr {
    SocketAddr::from((loopback_ip(3, sender), 8500 + port_offset))
}

/// Runs the discovery agent next to a sender, which also receives the sender's notices. It ends when its
/// listener is closed, after a reload has moved the agent to another port.
pub async fn run_discovery_agent(sim: Rc<Simulation>, sender: usize, offset: u16) {
    let Ok(listener) = sim.network.host(None).listen(discovery_address(sender, offset)).await else { return };
    while let Ok(stream) = listener.accept().await {
        spawn_local(serve_discovery(sim.clone(), sender, offset, stream));
    }
}

async fn serve_discovery(sim: Rc<Simulation>, sender: usize, port_offset: u16, stream: LabStream) {
    let mut connection = HttpConnection::new(stream);
    while let Some(request) = connection.read().await {
        let path = request.start_line.get(1).cloned().unwrap_or_default();
        let answer = if path.starts_with("/reports") {
            if sim.mutation != Some(Mutation::SendsNoNotices) {
                record_notices(&sim, sender, &request);
            }
            "HTTP/1.1 204 No Content\r\n\r\n".to_string()
        } else {
            let Some(list) = watch_list(&sim, sender, port_offset, &path, &mut connection).await else {
                return;
            };
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
        };
        if !connection.write(&answer).await {
            return;
        }
        copy_by_chance(&sim, sim.scenario.agent_copied, &connection, answer);
    }
}

/// Writes the answer a second time, after a random delay, with the probability `fraction`.
fn copy_by_chance(sim: &Simulation, fraction: Percent, connection: &HttpConnection, answer: String) {
    if fraction.0 > 0.0 {
        let mut random = sim.copy_random.borrow_mut();
        let is_copied = random.random::<f64>() < fraction.0;
        let delay = sim.scenario.copy_delay.0.mul_f64(random.random());
        if is_copied {
            connection.write_later(answer, delay);
        }
    }
}

fn record_notices(sim: &Simulation, sender: usize, request: &HttpMessage) {
    for line in String::from_utf8_lossy(&request.body).lines() {
        let Ok(notice) = serde_json::from_str::<Value>(line) else { continue };
        let id = notice["message"].as_str().unwrap_or_default().to_string();
        sim.record(EventKind::Notice { sender, id, returned: notice["outcome"] == "handed_back" });
    }
}

/// Answers a watch request. Waits for a version newer than the requested one, at most for the requested time,
/// and returns the changes since the requested version, or the full list if no version is requested. Returns
/// None if the connection ends while waiting.
async fn watch_list(
    sim: &Simulation,
    sender: usize,
    port_offset: u16,
    path: &str,
    connection: &mut HttpConnection,
) -> Option<String> {
    let agent = &sim.agents[sender];
    let parameter =
        |name: &str| path.split(['?', '&']).find_map(|p| p.strip_prefix(name)?.parse::<u64>().ok());
    let (requested_version, wait) =
        (parameter("index="), Duration::from_millis(parameter("wait=").unwrap_or(0)));
    let until = Instant::now() + wait;
    loop {
        let changed = agent.changed.notified();
        let version = agent.changes.borrow().len() as u64;
        // An agent that a reload has replaced no longer answers.
        let may_answer = !agent.is_muted.get() && agent.port_offset.get() == port_offset;
        if may_answer
            && (requested_version.is_none_or(|requested| requested < version) || Instant::now() >= until)
        {
            break;
        }
        tokio::select! {
            biased;
            () = changed => {}
            () = connection.closed_by_peer() => return None,
            () = sleep_until(until), if may_answer => {}
        }
    }
    let generation = agent.changes.borrow().len();
    let is_full_list = requested_version.is_none();
    let since = requested_version.filter(|requested| *requested as usize <= generation).unwrap_or(0) as usize;
    let entries = sim.latest_entries(sender, since..generation, is_full_list);
    for (endpoint, (_, accepts_new_calls)) in &entries {
        sim.record(EventKind::Told { sender, endpoint: *endpoint, accepts_calls: *accepts_new_calls });
    }
    agent.sent_version.set(generation);
    let instances: Vec<Value> = entries.into_values().map(|(entry, _)| entry).collect();
    Some(json!({"generation": generation, "reset": is_full_list, "instances": instances}).to_string())
}

/// Address at which a sender receives membership datagrams.
pub fn membership_address(sender: usize) -> SocketAddr {
    SocketAddr::from((loopback_ip(4, sender), 7946))
}

/// Returns the sender that receives membership datagrams at an address, or None if it is an address of
/// another kind.
pub fn sender_of_membership_address(at: SocketAddr) -> Option<usize> {
    let IpAddr::V4(ip) = at.ip() else { return None };
    let [_, network, high, low] = ip.octets();
    (network == 4).then(|| usize::from(high) * 250 + usize::from(low).saturating_sub(1))
}

pub fn sender_address(sender: usize) -> SocketAddr {
    SocketAddr::from((loopback_ip(1, sender), 5000))
}

/// The clients of all senders, with their idle keep-alive connections by sender.
pub struct Clients {
    pub simulation: Rc<Simulation>,
    pub host: LabHost,
    pub idle_connections: RefCell<Vec<Vec<HttpConnection>>>,
    pub classes: Vec<TrafficClass>,
}

impl Clients {
    /// Submits a message, and resubmits it after rejections and missing answers while it has time left. A
    /// rejected message is resubmitted at most `client_retries` times, and any message at most three times.
    /// Submissions for which the sender accepted no connection do not count.
    pub async fn submit(self: Rc<Self>, arrival: Arrival) {
        let sim = &self.simulation;
        let class = &self.classes[arrival.class];
        let lifetime = class.abandoned_after.0;
        let deadline = Instant::now() + lifetime;
        let mut failed_submissions = 0;
        for submission in 0..1_000u32 {
            let time_left = deadline.saturating_duration_since(Instant::now());
            if time_left < Duration::from_millis(50) {
                return;
            }
            let id = format!("m{}-{submission}", arrival.message);
            match self.submit_once(&arrival, &id, time_left).await {
                // The sender does not accept connections at the moment.
                None => sleep(Duration::from_millis(100)).await,
                Some((202 | 200, _)) => return,
                Some((status @ (0 | 429 | 503), retry_after)) => {
                    failed_submissions += 1;
                    // A message without an answer (status 0) is resubmitted too, under a new id.
                    if failed_submissions > sim.scenario.client_retries && status != 0
                        || failed_submissions > 3
                    {
                        return;
                    }
                    let delay = if sim.are_clients_impatient() {
                        IMPATIENT_RETRY_DELAY
                    } else {
                        retry_after.unwrap_or(RETRY_DELAY)
                    };
                    sleep(delay).await;
                }
                Some(_) => return,
            }
        }
    }

    /// Submits a message once. Returns the status, 0 without an answer, and the `Retry-After` of the answer;
    /// None if the sender accepts no connection.
    async fn submit_once(
        &self,
        arrival: &Arrival,
        id: &str,
        time_left: Duration,
    ) -> Option<(u16, Option<Duration>)> {
        let sim = &self.simulation;
        let class = &self.classes[arrival.class];
        let effect = match class.effect {
            Effect::Safe => CheckedEffect::Safe,
            Effect::Keyed => CheckedEffect::Keyed,
            Effect::Unsafe => CheckedEffect::Unsafe,
        };
        let body = format!("{} {}", arrival.sender, "x".repeat(160));
        let request = format!(
            "POST /{} HTTP/1.1\r\nHost: sender\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: {}\r\nX-Consignee: dest={}\r\n\
             Idempotency-Key: k{}\r\nContent-Length: {}\r\n\r\n{body}",
            class.name,
            time_left.as_millis(),
            arrival.dest,
            arrival.message,
            body.len()
        );
        for reuse in [true, false] {
            let idle = if reuse { self.idle_connections.borrow_mut()[arrival.sender].pop() } else { None };
            let is_reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None if reuse => continue,
                None => HttpConnection::new(self.host.connect(sender_address(arrival.sender)).await.ok()?),
            };
            if !connection.write(&request).await {
                continue;
            }
            sim.record(EventKind::HandedIn {
                sender: arrival.sender,
                id: id.to_string(),
                message: arrival.message,
                class: arrival.class,
                effect,
                dest: arrival.dest,
                lifetime: time_left.as_micros() as Us,
            });
            let answer_timeout =
                if sim.are_clients_impatient() { CLIENT_TIMEOUT / 10 } else { CLIENT_TIMEOUT };
            let answer = tokio::select! {
                biased;
                answer = timeout(answer_timeout, connection.read()) => answer.ok(),
                () = sim.client_disconnect_signal.notified() => None,
            };
            match answer {
                None => {
                    sim.record(EventKind::Left { id: id.to_string() });
                    return Some((0, None));
                }
                // The sender closed the connection while it was idle: the request is sent on a new one.
                Some(None) if is_reused => continue,
                Some(None) => {
                    sim.record(EventKind::Heard { id: id.to_string(), status: 0 });
                    return Some((0, None));
                }
                Some(Some(answer)) => {
                    let status = answer.status();
                    sim.record(EventKind::Heard { id: id.to_string(), status });
                    let retry_after = answer.header("retry-after").and_then(|a| a.parse::<f64>().ok());
                    if answer.header("connection").is_none_or(|c| !c.eq_ignore_ascii_case("close")) {
                        self.idle_connections.borrow_mut()[arrival.sender].push(connection);
                    }
                    return Some((status, retry_after.map(|s| Duration::from_secs_f64(s.clamp(0.0, 3.0)))));
                }
            }
        }
        None
    }
}

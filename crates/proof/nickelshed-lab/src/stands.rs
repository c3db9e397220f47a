//! The stand-ins: endpoints, discovery with the platform's ear, and clients, each over the network of the day.
use crate::http::{HttpConnection, HttpMessage};
use crate::lie::Mutation;
use crate::wire::{LabHost, LabListener, LabStream};
use crate::world::{ListedEndpoint, Simulation};
use base64::Engine;
use nickelshed_config::sidecar::Effect;
use nickelshed_host::{Host, Listener};
use nickelshed_judge::{Effect as Judged, How, Us, What};
use nickelshed_model::{Arrival, Call, Happened, Mix, System};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// How long a client waits for its answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);
const RETRY_DELAY: Duration = Duration::from_millis(500);
const IMPATIENT_RETRY_DELAY: Duration = Duration::from_millis(20);
const CORRUPTED_ANSWER: &str = "HTP/1 ??? \u{1}\u{2} nothing that can be read\r\n\r\n";

/// A new endpoint of a destination: at an address of its own, or in the place of one that has gone.
pub async fn open_endpoint(
    sim: &Rc<Simulation>,
    dest: u64,
    after: Option<&ListedEndpoint>,
) -> (usize, ListedEndpoint) {
    let number = sim.next_endpoint.get();
    sim.next_endpoint.set(number + 1);
    let own = loopback_ip(2, number);
    let address = after.map_or(SocketAddr::from((own, 5000)), |old| old.address);
    sim.network.close_listener(address);
    let room = after.map_or(sim.scenario.room(number), |old| old.site);
    sim.endpoint_sites.borrow_mut().insert(number, room);
    sim.destinations[&dest].system.borrow_mut().add(number, room);
    listen(sim, dest, number, address).await;
    (number, ListedEndpoint { name: format!("e-{number}"), address, dest, site: room, lifecycle: "Ready" })
}

/// Has an endpoint take connections.
pub async fn listen(sim: &Rc<Simulation>, dest: u64, number: usize, address: SocketAddr) {
    // Nobody else has the address: it was closed before.
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
    let mut link = HttpConnection::new(stream);
    let (resets, closes) =
        (&sim.destinations[&dest].reset_signal, &sim.destinations[&dest].idle_close_signal);
    // The event of the last wait that was told, and when it has come.
    let mut told: Option<(usize, Instant)> = None;
    loop {
        let request = tokio::select! {
            biased;
            () = resets.notified() => return link.stream.reset(),
            () = closes.notified() => return,
            request = link.read() => match request {
                Some(request) => request,
                None => {
                    // A sender that had closed before it came was not told.
                    let closed = link.stream.peer_ended_at();
                    if let Some((event, _)) = told.filter(|(_, at)| closed.is_some_and(|c| c < *at)) {
                        sim.clear_reported_wait(event);
                    }
                    return;
                }
            },
        };
        told = None;
        if request.start_line.first().is_some_and(|m| m == "GET") {
            if !link.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await {
                return;
            }
            continue;
        }
        let number = sim.next_call.get();
        sim.next_call.set(number + 1);
        let several = request.start_line.get(1).is_some_and(|path| path.ends_with(":batch"));
        let (calls, sender) = if several { batch_messages(&request.body) } else { single_message(&request) };
        let ids: Vec<String> = calls.iter().map(|c| c.id.clone()).collect();
        let route = sim.destinations[&dest].system.borrow().route_of(endpoint);
        sim.record(What::Call {
            call: number,
            sender,
            endpoint,
            dest,
            route,
            room: sim.endpoint_sites.borrow().get(&endpoint).copied().unwrap_or(0),
            ids: ids.clone(),
            work: System::work(calls.len()),
            first_byte: sim.to_us(request.first_byte),
        });
        let fate = {
            let mut random = sim.random.borrow_mut();
            let mut system = sim.destinations[&dest].system.borrow_mut();
            let fell = system.has_fallen(endpoint);
            let fate = system.call(sim.now(), endpoint, &calls, &mut random);
            if system.has_fallen(endpoint) && !fell {
                sim.record(What::FellOver { dest, route });
            }
            fate
        };
        for (id, ran) in ids.iter().zip(&fate.ran) {
            let Some((at, true)) = *ran else { continue };
            let (sim, id, message) = (sim.clone(), id.clone(), message_number(id));
            spawn_local(async move {
                sleep_until(sim.to_instant(at)).await;
                sim.record(What::Ran { id, message });
            });
        }
        let at = match fate.happened {
            Happened::Answered { at, .. } | Happened::Spoilt { at } | Happened::Reset { at } => {
                sim.to_instant(at)
            }
            Happened::Nothing => Instant::now() + Duration::from_secs(3_600),
        };
        // A sender that has closed already has called it off, though the endpoint has not heard yet.
        let over = |link: &HttpConnection, how: How| {
            let closed = link.stream.peer_ended_at().map(|at| sim.to_us(at)).filter(|at| *at <= sim.now());
            let (at, how) = closed.map_or((sim.now(), how), |at| (at, How::Closed));
            sim.record_at(at, What::Over { call: number, how });
        };
        tokio::select! {
            biased;
            () = resets.notified() => {
                over(&link, How::Closed);
                return link.stream.reset();
            }
            () = link.closed_by_peer() => return over(&link, How::Closed),
            () = sleep_until(at) => {}
        }
        match fate.happened {
            Happened::Answered { status, wait, .. } => {
                // What does not pass is not told.
                let wait = if link.stream.is_partitioned() { 0 } else { wait };
                over(&link, How::Answered { status, wait });
                told = (wait > 0).then(|| (sim.last_event_index(), Instant::now() + sim.scenario.latency.0));
                let report = sim.destinations[&dest].system.borrow_mut().report(sim.now(), endpoint);
                let report = report.map_or(String::new(), |(x0, x1)| {
                    format!("Endpoint-Load-Metrics: TEXT x0={x0:.3}, x1={x1:.3}\r\n")
                });
                let told = wait > 0 && sim.mutation != Some(Mutation::IgnoresWaits);
                let wait =
                    if told { format!("Retry-After: {}\r\n", wait as f64 / 1e6) } else { String::new() };
                let body = if several && status == 200 { batch_answer(&ids) } else { String::new() };
                let length = body.len();
                if !link
                    .write(&format!(
                        "HTTP/1.1 {status} X\r\n{wait}{report}Content-Length: {length}\r\n\r\n{body}"
                    ))
                    .await
                {
                    return;
                }
            }
            Happened::Spoilt { .. } => {
                over(&link, How::Spoilt);
                if !link.write(CORRUPTED_ANSWER).await {
                    return;
                }
            }
            Happened::Reset { .. } | Happened::Nothing => {
                over(&link, How::Closed);
                return link.stream.reset();
            }
        }
    }
}

/// The message of a call that holds one, and its sender.
fn single_message(request: &HttpMessage) -> (Vec<Call>, usize) {
    let id = request.header("x-trace-id").unwrap_or_default().to_string();
    let key = request.header("idempotency-key").map(str::to_string);
    (vec![Call { id, key }], sender_of_body(&request.body))
}

/// The messages of a call that holds several, and their sender; none where it can't be read.
fn batch_messages(body: &[u8]) -> (Vec<Call>, usize) {
    let list: Vec<Value> = serde_json::from_slice(body).unwrap_or_default();
    let text = |v: &Value, key: &str| v.get(key).and_then(Value::as_str).map(str::to_string);
    let call = |v: &Value| Some(Call { id: text(v, "id")?, key: text(v, "key") });
    let first = list.first().and_then(|v| text(v, "body")).unwrap_or_default();
    let first = base64::engine::general_purpose::STANDARD.decode(first).unwrap_or_default();
    (list.iter().filter_map(call).collect(), sender_of_body(&first))
}

fn batch_answer(ids: &[String]) -> String {
    let done: Vec<Value> = ids.iter().map(|id| json!({"id": id, "state": "done"})).collect();
    Value::from(done).to_string()
}

/// Bodies say through whom they went: the wire itself does not.
fn sender_of_body(body: &[u8]) -> usize {
    let text = String::from_utf8_lossy(body);
    text.split(' ').next().and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// Ids are `m` with the message's number, and that of the try.
fn message_number(id: &str) -> u64 {
    id.trim_start_matches('m').split('-').next().and_then(|n| n.parse().ok()).unwrap_or(u64::MAX)
}

/// The address of the machine of this number, a sender's or an endpoint's, in one of the loopback networks.
fn loopback_ip(network: u8, number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, network, (number / 250) as u8, (number % 250) as u8 + 1)
}

pub fn discovery_address(sender: usize, home: u16) -> SocketAddr {
    SocketAddr::from((loopback_ip(3, sender), 8500 + home))
}

/// Discovery's agent beside a sender, which also hears its notices. Ends when another one takes its place.
pub async fn run_discovery_agent(sim: Rc<Simulation>, sender: usize, offset: u16) {
    let Ok(listener) = sim.network.host(None).listen(discovery_address(sender, offset)).await else { return };
    while let Ok(stream) = listener.accept().await {
        spawn_local(serve_discovery(sim.clone(), sender, offset, stream));
    }
}

async fn serve_discovery(sim: Rc<Simulation>, sender: usize, home: u16, stream: LabStream) {
    let mut link = HttpConnection::new(stream);
    while let Some(request) = link.read().await {
        let path = request.start_line.get(1).cloned().unwrap_or_default();
        let answer = if path.starts_with("/reports") {
            if sim.mutation != Some(Mutation::SendsNoNotices) {
                record_notices(&sim, sender, &request);
            }
            "HTTP/1.1 204 No Content\r\n\r\n".to_string()
        } else {
            let Some(list) = watched_list(&sim, sender, home, &path, &link).await else { return };
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
        };
        if !link.write(&answer).await {
            return;
        }
    }
}

fn record_notices(sim: &Simulation, sender: usize, request: &HttpMessage) {
    for line in String::from_utf8_lossy(&request.body).lines() {
        let Ok(notice) = serde_json::from_str::<Value>(line) else { continue };
        let id = notice["message"].as_str().unwrap_or_default().to_string();
        sim.record(What::Notice { sender, id, handed_back: notice["outcome"] == "handed_back" });
    }
}

/// The list, or what is newer than the version that is asked for; None if the connection ends meanwhile.
async fn watched_list(
    sim: &Simulation,
    sender: usize,
    home: u16,
    path: &str,
    link: &HttpConnection,
) -> Option<String> {
    let agent = &sim.agents[sender];
    let value = |name: &str| path.split(['?', '&']).find_map(|p| p.strip_prefix(name)?.parse::<u64>().ok());
    let (index, wait) = (value("index="), Duration::from_millis(value("wait=").unwrap_or(0)));
    let until = Instant::now() + wait;
    loop {
        let news = agent.changed.notified();
        let has = agent.changes.borrow().len() as u64;
        // An agent that was left for another tells nothing new.
        let speaks = !agent.is_muted.get() && agent.port_offset.get() == home;
        if speaks && (index.is_none_or(|i| i < has) || Instant::now() >= until) {
            break;
        }
        tokio::select! {
            biased;
            () = news => {}
            () = link.closed_by_peer() => return None,
            () = sleep_until(until), if speaks => {}
        }
    }
    let generation = agent.changes.borrow().len();
    let whole = index.is_none();
    let from = index.filter(|i| *i as usize <= generation).unwrap_or(0) as usize;
    let last = sim.latest_entries(sender, from..generation, whole);
    for (endpoint, (_, open)) in &last {
        sim.record(What::Told { sender, endpoint: *endpoint, open: *open });
    }
    agent.sent_version.set(generation);
    let instances: Vec<Value> = last.into_values().map(|(entry, _)| entry).collect();
    Some(json!({"generation": generation, "reset": whole, "instances": instances}).to_string())
}

/// Where a sender's notes to the others come in.
pub fn membership_address(sender: usize) -> SocketAddr {
    SocketAddr::from((loopback_ip(4, sender), 7946))
}

/// The sender whose notes come in there.
pub fn sender_of_membership_address(at: SocketAddr) -> Option<usize> {
    let IpAddr::V4(ip) = at.ip() else { return None };
    let [_, network, high, low] = ip.octets();
    (network == 4).then(|| usize::from(high) * 250 + usize::from(low).saturating_sub(1))
}

pub fn sender_address(sender: usize) -> SocketAddr {
    SocketAddr::from((loopback_ip(1, sender), 5000))
}

/// The clients of one sender, with the connections that they keep.
pub struct Clients {
    pub simulation: Rc<Simulation>,
    pub host: LabHost,
    pub idle_connections: RefCell<Vec<Vec<HttpConnection>>>,
    pub classes: Vec<Mix>,
}

impl Clients {
    /// Hands a message in, and again after refusals, as long as it has time.
    pub async fn submit(self: Rc<Self>, arrival: Arrival) {
        let sim = &self.simulation;
        let class = &self.classes[arrival.class];
        let life = class.abandoned_after.0;
        let end = Instant::now() + life;
        let mut tries = 0;
        for number in 0..1_000u32 {
            let left = end.saturating_duration_since(Instant::now());
            if left < Duration::from_millis(50) {
                return;
            }
            let id = format!("m{}-{number}", arrival.message);
            match self.submit_once(&arrival, &id, left).await {
                // Nobody listens there just now.
                None => sleep(Duration::from_millis(100)).await,
                Some((202 | 200, _)) => return,
                Some((status @ (0 | 429 | 503), after)) => {
                    tries += 1;
                    // Without an answer the message comes again too, under a new id.
                    if tries > sim.scenario.retries && status != 0 || tries > 3 {
                        return;
                    }
                    let again = if sim.are_clients_impatient() {
                        IMPATIENT_RETRY_DELAY
                    } else {
                        after.unwrap_or(RETRY_DELAY)
                    };
                    sleep(again).await;
                }
                Some(_) => return,
            }
        }
    }

    async fn submit_once(
        &self,
        arrival: &Arrival,
        id: &str,
        left: Duration,
    ) -> Option<(u16, Option<Duration>)> {
        let sim = &self.simulation;
        let class = &self.classes[arrival.class];
        let effect = match class.effect {
            Effect::Safe => Judged::Safe,
            Effect::Keyed => Judged::Keyed,
            Effect::Unsafe => Judged::Unsafe,
        };
        let body = format!("{} {}", arrival.sender, "x".repeat(160));
        let request = format!(
            "POST /{} HTTP/1.1\r\nHost: sender\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: {}\r\nX-Consignee: dest={}\r\n\
             Idempotency-Key: k{}\r\nContent-Length: {}\r\n\r\n{body}",
            class.name,
            left.as_millis(),
            arrival.dest,
            arrival.message,
            body.len()
        );
        for kept in [true, false] {
            let old = if kept { self.idle_connections.borrow_mut()[arrival.sender].pop() } else { None };
            let used = old.is_some();
            let mut link = match old {
                Some(link) => link,
                None if kept => continue,
                None => HttpConnection::new(self.host.connect(sender_address(arrival.sender)).await.ok()?),
            };
            if !link.write(&request).await {
                continue;
            }
            sim.record(What::HandedIn {
                sender: arrival.sender,
                id: id.to_string(),
                message: arrival.message,
                class: arrival.class,
                effect,
                dest: arrival.dest,
                expires: left.as_micros() as Us,
            });
            let patience = if sim.are_clients_impatient() { CLIENT_TIMEOUT / 10 } else { CLIENT_TIMEOUT };
            let answer = tokio::select! {
                biased;
                answer = timeout(patience, link.read()) => answer.ok(),
                () = sim.client_disconnect_signal.notified() => None,
            };
            match answer {
                None => {
                    sim.record(What::Left { id: id.to_string() });
                    return Some((0, None));
                }
                // It was closed while it stood idle: the request goes on a new one.
                Some(None) if used => continue,
                Some(None) => {
                    sim.record(What::Heard { id: id.to_string(), status: 0 });
                    return Some((0, None));
                }
                Some(Some(answer)) => {
                    let status = answer.status();
                    sim.record(What::Heard { id: id.to_string(), status });
                    let after = answer.header("retry-after").and_then(|a| a.parse::<f64>().ok());
                    if answer.header("connection").is_none_or(|c| !c.eq_ignore_ascii_case("close")) {
                        self.idle_connections.borrow_mut()[arrival.sender].push(link);
                    }
                    return Some((status, after.map(|s| Duration::from_secs_f64(s.clamp(0.0, 3.0)))));
                }
            }
        }
        None
    }
}

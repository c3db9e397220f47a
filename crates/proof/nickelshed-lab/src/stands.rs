//! The stand-ins: endpoints, discovery with the platform's ear, and clients, each over the network of the day.
use crate::http::{Link, Message};
use crate::lie::Lie;
use crate::wire::{LabHost, LabListener, Wire};
use crate::world::{Place, World};
use base64::Engine;
use nickelshed_config::sidecar::Effect;
use nickelshed_host::{Host, Listener};
use nickelshed_judge::{CallEnd, Effect as Judged, EventKind, Us};
use nickelshed_model::{Arrival, CallMessage, CallOutcome, SimulatedDestination, TrafficClass};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// How long a client waits for its answer.
const CLIENT: Duration = Duration::from_millis(400);
const AGAIN: Duration = Duration::from_millis(500);
const AGAIN_AT_ONCE: Duration = Duration::from_millis(20);
const SPOILT: &str = "HTP/1 ??? \u{1}\u{2} nothing that can be read\r\n\r\n";

/// A new endpoint of a destination: at an address of its own, or in the place of one that has gone.
pub async fn open_endpoint(world: &Rc<World>, dest: u64, after: Option<&Place>) -> (usize, Place) {
    let number = world.next_endpoint.get();
    world.next_endpoint.set(number + 1);
    let own = own(2, number);
    let address = after.map_or(SocketAddr::from((own, 5000)), |old| old.address);
    world.net.close(address);
    let room = after.map_or(world.scenario.site_of(number), |old| old.room);
    world.rooms.borrow_mut().insert(number, room);
    world.destinations[&dest].system.borrow_mut().add_endpoint(number, room);
    listen(world, dest, number, address).await;
    (number, Place { name: format!("e-{number}"), address, dest, room, lifecycle: "Ready" })
}

/// Has an endpoint take connections.
pub async fn listen(world: &Rc<World>, dest: u64, number: usize, address: SocketAddr) {
    // Nobody else has the address: it was closed before.
    if let Ok(listener) = world.net.host(None).listen(address).await {
        spawn_local(accept(world.clone(), dest, number, listener));
    }
}

async fn accept(world: Rc<World>, dest: u64, number: usize, listener: LabListener) {
    while let Ok(stream) = listener.accept().await {
        if world.now() < world.ends_new.get() {
            continue;
        }
        spawn_local(serve_calls(world.clone(), dest, number, stream));
    }
}

async fn serve_calls(world: Rc<World>, dest: u64, endpoint: usize, stream: Wire) {
    let mut link = Link::new(stream);
    let (resets, closes) = (&world.destinations[&dest].resets, &world.destinations[&dest].closes);
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
                    let closed = link.stream.other_ended();
                    if let Some((event, _)) = told.filter(|(_, at)| closed.is_some_and(|c| c < *at)) {
                        world.unsay_wait(event);
                    }
                    return;
                }
            },
        };
        told = None;
        if request.first.first().is_some_and(|m| m == "GET") {
            if !link.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await {
                return;
            }
            continue;
        }
        let number = world.next_call.get();
        world.next_call.set(number + 1);
        let several = request.first.get(1).is_some_and(|path| path.ends_with(":batch"));
        let (calls, sender) = if several { members(&request.body) } else { only(&request) };
        let ids: Vec<String> = calls.iter().map(|c| c.id.clone()).collect();
        let route = world.destinations[&dest].system.borrow().route_of(endpoint);
        world.note(EventKind::Call {
            call: number,
            sender,
            endpoint,
            dest,
            route,
            site: world.rooms.borrow().get(&endpoint).copied().unwrap_or(0),
            ids: ids.clone(),
            work: SimulatedDestination::call_cost(calls.len()),
            first_byte: world.us(request.first_byte),
        });
        let fate = {
            let mut random = world.random.borrow_mut();
            let mut system = world.destinations[&dest].system.borrow_mut();
            let fell = system.has_collapsed(endpoint);
            let fate = system.handle_call(world.now(), endpoint, &calls, &mut random);
            if system.has_collapsed(endpoint) && !fell {
                world.note(EventKind::FellOver { dest, route });
            }
            fate
        };
        for (id, ran) in ids.iter().zip(&fate.executions) {
            let Some((at, true)) = *ran else { continue };
            let (world, id, message) = (world.clone(), id.clone(), number_of(id));
            spawn_local(async move {
                sleep_until(world.instant(at)).await;
                world.note(EventKind::Ran { id, message });
            });
        }
        let at = match fate.outcome {
            CallOutcome::Answered { at, .. } | CallOutcome::Corrupted { at } | CallOutcome::Reset { at } => {
                world.instant(at)
            }
            CallOutcome::NoAnswer => Instant::now() + Duration::from_secs(3_600),
        };
        // A sender that has closed already has called it off, though the endpoint has not heard yet.
        let over = |link: &Link, how: CallEnd| {
            let closed = link.stream.other_ended().map(|at| world.us(at)).filter(|at| *at <= world.now());
            let (at, how) = closed.map_or((world.now(), how), |at| (at, CallEnd::Closed));
            world.note_at(at, EventKind::Over { call: number, end: how });
        };
        tokio::select! {
            biased;
            () = resets.notified() => {
                over(&link, CallEnd::Closed);
                return link.stream.reset();
            }
            () = link.ended() => return over(&link, CallEnd::Closed),
            () = sleep_until(at) => {}
        }
        match fate.outcome {
            CallOutcome::Answered { status, retry_after: wait, .. } => {
                // What does not pass is not told.
                let wait = if link.stream.is_severed() { 0 } else { wait };
                over(&link, CallEnd::Answered { status, retry_after: wait });
                told = (wait > 0).then(|| (world.last_event(), Instant::now() + world.scenario.latency.0));
                let report = world.destinations[&dest].system.borrow_mut().load_report(world.now(), endpoint);
                let report = report.map_or(String::new(), |(x0, x1)| {
                    format!("Endpoint-Load-Metrics: TEXT x0={x0:.3}, x1={x1:.3}\r\n")
                });
                let told = wait > 0 && world.lie != Some(Lie::IgnoresWaits);
                let wait =
                    if told { format!("Retry-After: {}\r\n", wait as f64 / 1e6) } else { String::new() };
                let body = if several && status == 200 { all_done(&ids) } else { String::new() };
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
            CallOutcome::Corrupted { .. } => {
                over(&link, CallEnd::Spoilt);
                if !link.write(SPOILT).await {
                    return;
                }
            }
            CallOutcome::Reset { .. } | CallOutcome::NoAnswer => {
                over(&link, CallEnd::Closed);
                return link.stream.reset();
            }
        }
    }
}

/// The message of a call that holds one, and its sender.
fn only(request: &Message) -> (Vec<CallMessage>, usize) {
    let id = request.header("x-trace-id").unwrap_or_default().to_string();
    let key = request.header("idempotency-key").map(str::to_string);
    (vec![CallMessage { id, key }], sender_of(&request.body))
}

/// The messages of a call that holds several, and their sender; none where it can't be read.
fn members(body: &[u8]) -> (Vec<CallMessage>, usize) {
    let list: Vec<Value> = serde_json::from_slice(body).unwrap_or_default();
    let text = |v: &Value, key: &str| v.get(key).and_then(Value::as_str).map(str::to_string);
    let call = |v: &Value| Some(CallMessage { id: text(v, "id")?, key: text(v, "key") });
    let first = list.first().and_then(|v| text(v, "body")).unwrap_or_default();
    let first = base64::engine::general_purpose::STANDARD.decode(first).unwrap_or_default();
    (list.iter().filter_map(call).collect(), sender_of(&first))
}

fn all_done(ids: &[String]) -> String {
    let done: Vec<Value> = ids.iter().map(|id| json!({"id": id, "state": "done"})).collect();
    Value::from(done).to_string()
}

/// Bodies say through whom they went: the wire itself does not.
fn sender_of(body: &[u8]) -> usize {
    let text = String::from_utf8_lossy(body);
    text.split(' ').next().and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// Ids are `m` with the message's number, and that of the try.
fn number_of(id: &str) -> u64 {
    id.trim_start_matches('m').split('-').next().and_then(|n| n.parse().ok()).unwrap_or(u64::MAX)
}

/// The address of the machine of this number, a sender's or an endpoint's, in one of the loopback networks.
fn own(network: u8, number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, network, (number / 250) as u8, (number % 250) as u8 + 1)
}

pub fn agent_address(sender: usize, home: u16) -> SocketAddr {
    SocketAddr::from((own(3, sender), 8500 + home))
}

/// Discovery's agent beside a sender, which also hears its notices. Ends when another one takes its place.
pub async fn agent(world: Rc<World>, sender: usize, home: u16) {
    let Ok(listener) = world.net.host(None).listen(agent_address(sender, home)).await else { return };
    while let Ok(stream) = listener.accept().await {
        spawn_local(serve_agent(world.clone(), sender, home, stream));
    }
}

async fn serve_agent(world: Rc<World>, sender: usize, home: u16, stream: Wire) {
    let mut link = Link::new(stream);
    while let Some(request) = link.read().await {
        let path = request.first.get(1).cloned().unwrap_or_default();
        let answer = if path.starts_with("/reports") {
            if world.lie != Some(Lie::SendsNoNotices) {
                hear(&world, sender, &request);
            }
            "HTTP/1.1 204 No Content\r\n\r\n".to_string()
        } else {
            let Some(list) = watch_list(&world, sender, home, &path, &link).await else { return };
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
        };
        if !link.write(&answer).await {
            return;
        }
    }
}

fn hear(world: &World, sender: usize, request: &Message) {
    for line in String::from_utf8_lossy(&request.body).lines() {
        let Ok(notice) = serde_json::from_str::<Value>(line) else { continue };
        let id = notice["message"].as_str().unwrap_or_default().to_string();
        world.note(EventKind::Notice { sender, id, returned: notice["outcome"] == "handed_back" });
    }
}

/// The list, or what is newer than the version that is asked for; None if the connection ends meanwhile.
async fn watch_list(world: &World, sender: usize, home: u16, path: &str, link: &Link) -> Option<String> {
    let agent = &world.agents[sender];
    let value = |name: &str| path.split(['?', '&']).find_map(|p| p.strip_prefix(name)?.parse::<u64>().ok());
    let (index, wait) = (value("index="), Duration::from_millis(value("wait=").unwrap_or(0)));
    let until = Instant::now() + wait;
    loop {
        let news = agent.news.notified();
        let has = agent.changes.borrow().len() as u64;
        // An agent that was left for another tells nothing new.
        let speaks = !agent.mute.get() && agent.home.get() == home;
        if speaks && (index.is_none_or(|i| i < has) || Instant::now() >= until) {
            break;
        }
        tokio::select! {
            biased;
            () = news => {}
            () = link.ended() => return None,
            () = sleep_until(until), if speaks => {}
        }
    }
    let generation = agent.changes.borrow().len();
    let whole = index.is_none();
    let from = index.filter(|i| *i as usize <= generation).unwrap_or(0) as usize;
    let last = world.entries(sender, from..generation, whole);
    for (endpoint, (_, open)) in &last {
        world.note(EventKind::Told { sender, endpoint: *endpoint, accepts_calls: *open });
    }
    agent.told.set(generation);
    let instances: Vec<Value> = last.into_values().map(|(entry, _)| entry).collect();
    Some(json!({"generation": generation, "reset": whole, "instances": instances}).to_string())
}

/// Where a sender's notes to the others come in.
pub fn notes_address(sender: usize) -> SocketAddr {
    SocketAddr::from((own(4, sender), 7946))
}

/// The sender whose notes come in there.
pub fn sender_of_notes(at: SocketAddr) -> Option<usize> {
    let IpAddr::V4(ip) = at.ip() else { return None };
    let [_, network, high, low] = ip.octets();
    (network == 4).then(|| usize::from(high) * 250 + usize::from(low).saturating_sub(1))
}

pub fn sender_address(sender: usize) -> SocketAddr {
    SocketAddr::from((own(1, sender), 5000))
}

/// The clients of one sender, with the connections that they keep.
pub struct Clients {
    pub world: Rc<World>,
    pub host: LabHost,
    pub kept: RefCell<Vec<Vec<Link>>>,
    pub classes: Vec<TrafficClass>,
}

impl Clients {
    /// Hands a message in, and again after refusals, as long as it has time.
    pub async fn hand_in(self: Rc<Self>, arrival: Arrival) {
        let world = &self.world;
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
            match self.once(&arrival, &id, left).await {
                // Nobody listens there just now.
                None => sleep(Duration::from_millis(100)).await,
                Some((202 | 200, _)) => return,
                Some((status @ (0 | 429 | 503), after)) => {
                    tries += 1;
                    // Without an answer the message comes again too, under a new id.
                    if tries > world.scenario.client_retries && status != 0 || tries > 3 {
                        return;
                    }
                    let again = if world.is_impatient() { AGAIN_AT_ONCE } else { after.unwrap_or(AGAIN) };
                    sleep(again).await;
                }
                Some(_) => return,
            }
        }
    }

    async fn once(&self, arrival: &Arrival, id: &str, left: Duration) -> Option<(u16, Option<Duration>)> {
        let world = &self.world;
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
            let old = if kept { self.kept.borrow_mut()[arrival.sender].pop() } else { None };
            let used = old.is_some();
            let mut link = match old {
                Some(link) => link,
                None if kept => continue,
                None => Link::new(self.host.connect(sender_address(arrival.sender)).await.ok()?),
            };
            if !link.write(&request).await {
                continue;
            }
            world.note(EventKind::HandedIn {
                sender: arrival.sender,
                id: id.to_string(),
                message: arrival.message,
                class: arrival.class,
                effect,
                dest: arrival.dest,
                lifetime: left.as_micros() as Us,
            });
            let patience = if world.is_impatient() { CLIENT / 10 } else { CLIENT };
            let answer = tokio::select! {
                biased;
                answer = timeout(patience, link.read()) => answer.ok(),
                () = world.leave.notified() => None,
            };
            match answer {
                None => {
                    world.note(EventKind::Left { id: id.to_string() });
                    return Some((0, None));
                }
                // It was closed while it stood idle: the request goes on a new one.
                Some(None) if used => continue,
                Some(None) => {
                    world.note(EventKind::Heard { id: id.to_string(), status: 0 });
                    return Some((0, None));
                }
                Some(Some(answer)) => {
                    let status = answer.status();
                    world.note(EventKind::Heard { id: id.to_string(), status });
                    let after = answer.header("retry-after").and_then(|a| a.parse::<f64>().ok());
                    if answer.header("connection").is_none_or(|c| !c.eq_ignore_ascii_case("close")) {
                        self.kept.borrow_mut()[arrival.sender].push(link);
                    }
                    return Some((status, after.map(|s| Duration::from_secs_f64(s.clamp(0.0, 3.0)))));
                }
            }
        }
        None
    }
}

//! One day: senders as processes, the stand-ins around them, the troubles at their times, and the judge at the end.
use crate::crossings::{Crossing, Happening};
use crate::fake_servers::{
    discovery_address, listen, membership_address, open_endpoint, run_discovery_agent, sender_address,
    Clients,
};
use crate::life::Done;
use crate::malformed_clients;
use crate::mutation::Mutation;
use crate::process::{run_machine, ProcessControl, ProcessHandle};
use crate::run_options::RunOptions;
use crate::sim_network::Partition;
use crate::simulation::{ListedEndpoint, Simulation};
use nickelshed::EnvironmentVariables;
use nickelshed_config::sidecar::{Effect, Scope};
use nickelshed_config::units::{Percent, Period};
use nickelshed_judge::{
    account_time, judge, score, DedupScope, Event, EventKind, RuleParameters, ScoreReport, TimeAccount, Us,
    ValueFunction, Violation,
};
use nickelshed_model::{arrivals, oracle, FaultKind, InjectedFault, Scenario, TrafficClass};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};

/// From SIGTERM to SIGKILL.
const TO_KILL: Duration = Duration::from_millis(3_700);
/// An old agent goes so long after a new configuration.
const OLD_AGENT: Duration = Duration::from_millis(1_500);
/// How long a process stands still that is crossed so: longer than a told wait.
const STANDS_STILL: Duration = Duration::from_millis(700);
/// What is owed after the last message's time is up: notices, and what a restart puts off.
const AFTERWARDS: Duration = Duration::from_millis(8_000);

/// What is left of a message's worth, however late it is delivered.
const LATE_WORTH: f64 = 0.3;

/// What a day came to.
#[derive(Clone, Debug)]
pub struct Day {
    pub events: Vec<Event>,
    pub broken: Vec<Violation>,
    pub reckoning: ScoreReport,
    /// Why a sender ended by itself, or a part of it did.
    pub crashes: Vec<String>,
    pub length: Duration,
    /// What each sender did on its disk and sent.
    pub done: Vec<Done>,
    /// Notes between senders.
    pub notes: u64,
}

impl Day {
    pub fn is_clean(&self) -> bool {
        self.broken.is_empty() && self.crashes.is_empty()
    }
}

thread_local! {
    /// Panics of this thread while it plays a day: Tokio catches those of tasks.
    static PANICS: RefCell<Option<Vec<String>>> = const { RefCell::new(None) };
}

/// Has panics of threads that play a day noted, and all others told as before.
fn watch_panics() {
    static ONCE: std::sync::Once = std::sync::Once::new();
    ONCE.call_once(|| {
        let before = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            let noted =
                PANICS.try_with(|p| p.borrow_mut().as_mut().map(|panics| panics.push(info.to_string())));
            if !matches!(noted, Ok(Some(()))) {
                before(info);
            }
        }));
    });
    PANICS.with(|p| *p.borrow_mut() = Some(Vec::new()));
}

/// What a sender is told of a day's deployment, in the platform's form.
fn settings(s: &Scenario, lie: Option<Mutation>, sender: usize) -> Value {
    let ns = |p: nickelshed_config::units::Period| p.ns();
    let figures = RuleParameters::default();
    let multiple = if lie == Some(Mutation::KnowsNoCold) { 1_000.0 } else { figures.overload_multiple };
    let window = if lie == Some(Mutation::ForgetsWindow) { 3_600_000_000_000 } else { ns(s.dedup_window) };
    let scope = match s.dedup_scope {
        _ if lie == Some(Mutation::TrustsAllWithRepeats) => "all",
        Scope::Destination => "all",
        Scope::Zone => "zone",
        Scope::Endpoint => "endpoint",
    };
    let class = |c: &TrafficClass| {
        let effect = match c.effect {
            _ if lie == Some(Mutation::RepeatsUnsafe) => "safe",
            Effect::Safe => "safe",
            Effect::Keyed => "keyed",
            Effect::Unsafe => "unsafe",
        };
        json!({"Name": c.name, "PromiseNs": ns(c.wanted_within), "DeadlineNs": ns(c.abandoned_after),
            "Effect": effect, "DedupScope": scope, "WindowNs": window, "Worth": c.value, "LateWorth": LATE_WORTH})
    };
    let rooms: Vec<String> = (0..s.sites).map(|r| format!("room-{r}")).collect();
    json!({"NInstances": s.senders, "TickNs": 5_000_000, "Kinds": ["plain"], "Localities": rooms,
        "Zone": s.site_of(sender), "Weights": if s.discovery_reports_rates { "rough" } else { "none" },
        "Feedback": {"Source": "piggyback", "Fields": ["x0", "x1"]},
        "FamilyInfo": {"CallsOut": s.slots, "Decay": "halves", "KindBatch": [s.batch], "SeparateRoutes": [s.separate_routes]},
        "Limits": {"Peers": s.membership_enabled, "MaxOpen": s.max_open_messages, "MaxAttempts": 8, "Cancel": true, "IdleCloseNs": 5_000_000_000u64,
            "DialTimeoutNs": 1_000_000_000, "MaxRetryAfterNs": 3_000_000_000u64},
        "Safety": {"StartCapacity": figures.start_capacity, "ColdNs": figures.slow_start * 1_000,
            "FallMultiple": multiple, "OverloadForNs": figures.overload_window * 1_000},
        "Services": s.traffic_classes().iter().map(class).collect::<Vec<_>>()})
}

fn config(scenario: &Scenario, lie: Option<Mutation>, sender: usize, home: u16, seed: u64) -> String {
    // Each has all of them in one order; without leave the list is not looked at.
    let peers: Vec<String> = (0..scenario.senders as usize)
        .filter(|_| scenario.membership_enabled)
        .map(|s| membership_address(s).to_string())
        .collect();
    json!({"name": format!("n{sender}"), "peers": peers, "peer_listen": membership_address(sender).to_string(), "seed": format!("{:x}", seed ^ (sender as u64) << 32),
        "discovery": discovery_address(sender, home).to_string(),
        "limits": {"memory_mb": 64, "sockets": 1_024, "disk_mb": scenario.disk_bytes as f64 / 1e6},
        // At each start of a process it is what its machine had last.
        "known": {"generation": 0, "reset": true, "instances": []},
        "settings": settings(scenario, lie, sender)})
    .to_string()
}

/// The destinations that a trouble meets: those with most traffic first.
fn met(world: &Simulation, trouble: &InjectedFault) -> Vec<u64> {
    (1..=u64::from(trouble.affected_destinations(world.scenario.destinations))).collect()
}

async fn outage(world: Rc<Simulation>, trouble: InjectedFault) {
    let kind = trouble.kind;
    for dest in met(&world, &trouble) {
        let place = &world.destinations[&dest];
        place.system.borrow_mut().start_fault(kind, trouble.magnitude, trouble.end());
        if kind.is_outage() {
            let routes = place.system.borrow().routes();
            routes.into_iter().for_each(|route| world.record(EventKind::OutageBegan { dest, route }));
        }
        if kind == FaultKind::Refused {
            for (_, p) in standing(&world, dest) {
                world.network.close_listener(p.address);
            }
            place.reset_signal.notify_waiters();
        }
    }
    sleep_until(world.to_instant(trouble.end())).await;
    for dest in met(&world, &trouble) {
        let place = &world.destinations[&dest];
        place.system.borrow_mut().end_fault(world.now(), kind);
        if kind.is_outage() {
            let system = place.system.borrow();
            for route in system.routes() {
                world.record(EventKind::OutageEnded { dest, route, capacity: system.capacity(route) });
            }
            drop(system);
            // What hung on its connections is gone with what it was.
            place.reset_signal.notify_waiters();
        }
        if kind == FaultKind::Refused {
            for (number, p) in standing(&world, dest) {
                listen(&world, dest, number, p.address).await;
            }
        }
    }
}

/// The endpoints of a destination that are listed as ready.
fn standing(world: &Simulation, dest: u64) -> Vec<(usize, ListedEndpoint)> {
    let mut last: BTreeMap<usize, ListedEndpoint> = BTreeMap::new();
    for (number, place) in world.listings.borrow().iter().filter(|(_, p)| p.dest == dest) {
        last.insert(*number, place.clone());
    }
    last.into_iter().filter(|(_, p)| p.lifecycle == "Ready").collect()
}

/// Tells all agents of changes, as late as discovery is.
fn tell_late(world: &Rc<Simulation>, changes: Vec<usize>) {
    let world = world.clone();
    spawn_local(async move {
        sleep(world.scenario.discovery_delay.0).await;
        world.publish(&changes);
    });
}

async fn drain(world: Rc<Simulation>, trouble: InjectedFault) {
    for dest in met(&world, &trouble) {
        let Some((number, place)) = standing(&world, dest).into_iter().next() else { continue };
        let old = world.add_listing(number, ListedEndpoint { lifecycle: "Terminating", ..place.clone() });
        // Where only the same endpoint knows a repeat, nobody could tell the new one from it before the list does.
        let takes = trouble.kind == FaultKind::Replace && world.scenario.dedup_scope != Scope::Endpoint;
        let (new, at) = open_endpoint(&world, dest, takes.then_some(&place)).await;
        let new = world.add_listing(new, at);
        tell_late(&world, vec![old, new]);
        let (world, gone) = (world.clone(), ListedEndpoint { lifecycle: "Gone", ..place.clone() });
        spawn_local(async move {
            sleep(Duration::from_secs(3)).await;
            world.destinations[&dest].system.borrow_mut().remove_endpoint(number);
            if !takes {
                world.network.close_listener(gone.address);
            }
            let gone = world.add_listing(number, gone);
            tell_late(&world, vec![gone]);
        });
    }
}

async fn reload(world: Rc<Simulation>, processes: Rc<Vec<ProcessHandle>>, seed: u64) {
    for (sender, process) in processes.iter().enumerate() {
        let home = world.agents[sender].port_offset.get() + 1;
        world.agents[sender].port_offset.set(home);
        world.agents[sender].moved_at.set(Some(world.now()));
        spawn_local(run_discovery_agent(world.clone(), sender, home));
        process.environment.borrow_mut().config = config(&world.scenario, world.mutation, sender, home, seed);
        let _ = process.control.send(ProcessControl::Hangup);
        world.agents[sender].changed.notify_waiters();
        let world = world.clone();
        spawn_local(async move {
            sleep(OLD_AGENT).await;
            world.network.close_listener(discovery_address(sender, home - 1));
        });
    }
}

/// A trouble that begins now.
fn now(world: &Simulation, kind: FaultKind, lasts: u64) -> InjectedFault {
    InjectedFault {
        kind,
        at: Period::ms(world.now() / 1_000),
        duration: Period::ms(lasts),
        destination_fraction: Percent(0.5),
        sender_fraction: Percent(1.0),
        magnitude: 2.0,
    }
}

/// Has happen what a day is crossed by, once the place is reached.
async fn cross(world: Rc<Simulation>, processes: Rc<Vec<ProcessHandle>>, crossing: Crossing, seed: u64) {
    world.process_states[crossing.sender].crossed().await;
    let control = &processes[crossing.sender].control;
    let (kind, lasts) = match crossing.happening {
        // The process has ended already.
        Happening::Kill => return,
        Happening::Terminate => {
            let _ = control.send(ProcessControl::Terminate);
            sleep(TO_KILL).await;
            let _ = control.send(ProcessControl::Kill);
            return;
        }
        Happening::Pause => {
            let _ = control.send(ProcessControl::Pause(STANDS_STILL));
            return;
        }
        Happening::ClientsLeave => return world.client_disconnect_signal.notify_waiters(),
        Happening::Resets => {
            return world.destinations.values().for_each(|d| d.reset_signal.notify_waiters())
        }
        Happening::IdleCloses => {
            return world.destinations.values().for_each(|d| d.idle_close_signal.notify_waiters())
        }
        Happening::EndsNew => return world.new_connections_closed_until.set(world.now() + 1_000_000),
        Happening::Hangup => (FaultKind::Reload, 0),
        Happening::Mute => (FaultKind::Mute, 4_000),
        Happening::Drain => (FaultKind::Drain, 0),
        Happening::Shut => (FaultKind::Shut, 3_000),
        Happening::Silent => (FaultKind::Silent, 3_000),
    };
    let happens = now(&world, kind, lasts);
    trouble(world, processes, happens, seed).await;
}

async fn trouble(
    world: Rc<Simulation>,
    processes: Rc<Vec<ProcessHandle>>,
    trouble: InjectedFault,
    seed: u64,
) {
    sleep_until(world.to_instant(trouble.start())).await;
    let met = |sender: &usize| trouble.affects_sender(*sender, processes.len());
    let tell = |control: ProcessControl| {
        (0..processes.len()).filter(met).for_each(|s| _ = processes[s].control.send(control));
    };
    match trouble.kind {
        kind if kind.affects_destinations() => outage(world, trouble).await,
        FaultKind::Drain | FaultKind::Replace => drain(world, trouble).await,
        FaultKind::Restart => {
            tell(ProcessControl::Terminate);
            sleep(TO_KILL).await;
            tell(ProcessControl::Kill);
        }
        FaultKind::Kill => tell(ProcessControl::Kill),
        FaultKind::Roll => roll(&processes, &trouble).await,
        FaultKind::Cut => {
            let until = world.to_instant(trouble.end());
            let rooms = world.clone();
            let between = Box::new(move |sender, to| rooms.is_partitioned_by_site(sender, to));
            world.network.set_partition(Partition { until, separates: between });
        }
        FaultKind::Impatient => world.clients_impatient_until.set(trouble.end()),
        FaultKind::Pause => tell(ProcessControl::Pause(trouble.duration.0)),
        FaultKind::Reload => reload(world, processes, seed).await,
        FaultKind::Mute => {
            (0..processes.len()).filter(met).for_each(|s| world.agents[s].is_muted.set(true));
            sleep_until(world.to_instant(trouble.end())).await;
            world.unmute_agents();
        }
        FaultKind::Jump => world.network.advance_wall_clocks((trouble.magnitude * 1e3) as i64),
        FaultKind::Stall => {
            let until = world.to_instant(trouble.end());
            (0..processes.len()).filter(met).for_each(|s| world.process_states[s].stall(until));
        }
        FaultKind::Rude => malformed_clients::send_malformed_requests(world, trouble, seed).await,
        // What is left is in the traffic already.
        _ => {}
    }
}

/// Restarts those that it meets a tenth at a time, every second tenth without a warning.
async fn roll(processes: &[ProcessHandle], trouble: &InjectedFault) {
    let met: Vec<&ProcessHandle> = (0..processes.len())
        .filter(|s| trouble.affects_sender(*s, processes.len()))
        .map(|s| &processes[s])
        .collect();
    let mut going: Vec<&ProcessHandle> = Vec::new();
    for (number, tenth) in met.chunks(met.len().div_ceil(10).max(1)).enumerate() {
        going.drain(..).for_each(|p| _ = p.control.send(ProcessControl::Kill));
        let gently = number % 2 == 0;
        tenth.iter().for_each(|p| {
            _ = p.control.send(if gently { ProcessControl::Terminate } else { ProcessControl::Kill })
        });
        if gently {
            going.extend(tenth);
        }
        sleep((trouble.duration.0 / 10).max(TO_KILL)).await;
    }
    going.iter().for_each(|p| _ = p.control.send(ProcessControl::Kill));
}

/// Two outages of a destination that overlap would be one of an unknown kind: only the first is played. So it is with two
/// of a kind that the first one's end would take back.
fn played(scenario: &Scenario) -> Vec<InjectedFault> {
    let mut troubles = scenario.faults.clone();
    troubles.sort_by_key(|t| t.start());
    let mut until: Us = 0;
    let mut processes: Us = 0;
    let cold = RuleParameters::default().slow_start;
    let mut kinds: BTreeMap<FaultKind, Us> = BTreeMap::new();
    troubles.retain(|t| {
        if matches!(t.kind, FaultKind::Cut | FaultKind::Lower | FaultKind::Lossy | FaultKind::Impatient) {
            let until = kinds.entry(t.kind).or_default();
            let free = t.start() >= *until;
            *until = if free { t.end() } else { *until };
            return free;
        }
        if t.kind.is_outage() || t.kind == FaultKind::Slow {
            let free = t.start() >= until;
            until = if free { t.end() + cold } else { until };
            return free;
        }
        if matches!(t.kind, FaultKind::Restart | FaultKind::Kill | FaultKind::Pause | FaultKind::Roll) {
            let free = t.start() >= processes;
            let takes = if t.kind == FaultKind::Roll { 11 * TO_KILL.as_micros() as Us } else { 4_300_000 };
            // Until it runs again, and has done what it owes.
            processes = if free { t.end().max(t.start() + takes) + 2_000_000 } else { processes };
            return free;
        }
        true
    });
    troubles
}

/// What the messages of each class are worth.
fn worths(scenario: &Scenario) -> Vec<ValueFunction> {
    let worth = |c: &TrafficClass| ValueFunction {
        target_latency: c.wanted_within.0.as_micros() as Us,
        full_value: c.value,
        min_value_fraction: LATE_WORTH,
    };
    scenario.traffic_classes().iter().map(worth).collect()
}

/// Where a day's slots and time went, and the worth that one reaches who knows how every destination stands. Apart from
/// the day, as days that are only judged need neither.
pub fn accounted(scenario: &Scenario, seed: u64, day: &Day) -> (TimeAccount, f64) {
    let worths = worths(scenario);
    (
        account_time(&day.events, &worths, RuleParameters::default().slow_start),
        reachable(scenario, seed, &worths),
    )
}

/// The part of the worth asked for that `oracle` delivers.
fn reachable(scenario: &Scenario, seed: u64, worths: &[ValueFunction]) -> f64 {
    let soonest = oracle(scenario, seed);
    let (mut asked, mut got) = (0.0, 0.0);
    for arrival in arrivals(scenario, seed) {
        let worth = worths[arrival.class];
        asked += worth.full_value;
        got += soonest[arrival.message as usize].map_or(0.0, |took| worth.value_after(took));
    }
    got / f64::max(asked, 1e-9)
}

async fn day(scenario: Scenario, seed: u64, manner: RunOptions) -> Day {
    let lie = manner.mutation;
    let world = Simulation::new(&scenario, seed, manner);
    let mut first = Vec::new();
    for dest in 1..=u64::from(scenario.destinations) {
        for _ in 0..scenario.endpoints {
            let (number, place) = open_endpoint(&world, dest, None).await;
            first.push(world.add_listing(number, place));
        }
    }
    world.publish(&first);
    world.agents.iter().for_each(|agent| agent.sent_version.set(first.len()));
    if let Some(crossing) = manner.fault_point {
        world.process_states[crossing.sender].place(crossing.mark());
    }
    let mut processes = Vec::new();
    for sender in 0..scenario.senders as usize {
        spawn_local(run_discovery_agent(world.clone(), sender, 0));
        let told = Rc::new(RefCell::new(EnvironmentVariables {
            listen: Some(sender_address(sender).to_string()),
            discovery: None,
            state: Some("state".into()),
            config: config(&scenario, lie, sender, 0, seed),
            config_path: "config.json".into(),
        }));
        let (control, told_process) = mpsc::unbounded_channel();
        let up = Rc::new(Cell::new(false));
        spawn_local(run_machine(world.clone(), sender, told.clone(), up.clone(), told_process));
        processes.push(ProcessHandle { control, environment: told, is_ready: up });
    }
    let processes = Rc::new(processes);
    let ready = Instant::now() + Duration::from_secs(5);
    while !processes.iter().all(|p| p.is_ready.get()) && Instant::now() < ready {
        sleep(Duration::from_millis(1)).await;
    }
    if let Some(crossing) = manner.fault_point {
        spawn_local(cross(world.clone(), processes.clone(), crossing, seed));
    }
    for t in played(&scenario) {
        spawn_local(trouble(world.clone(), processes.clone(), t, seed));
    }
    let kept = RefCell::new((0..scenario.senders).map(|_| Vec::new()).collect());
    let classes = scenario.traffic_classes();
    let clients = Rc::new(Clients {
        simulation: world.clone(),
        host: world.network.host(None),
        idle_connections: kept,
        classes,
    });
    for arrival in arrivals(&scenario, seed) {
        sleep_until(world.to_instant(arrival.at)).await;
        spawn_local(clients.clone().submit(arrival));
    }
    sleep_until(world.to_instant(scenario.length.0.as_micros() as Us)).await;
    sleep(scenario.max_message_lifetime() + AFTERWARDS).await;
    let addresses: BTreeMap<_, _> =
        world.listings.borrow().iter().map(|(number, p)| (p.address, (*number, p.dest))).collect();
    for (at, sender, to) in world.network.refused_connections() {
        if let Some(&(number, dest)) = addresses.get(&to) {
            let route = world.destinations[&dest].system.borrow().route_of(number);
            world.record_at(world.to_us(at), EventKind::Unreached { sender, dest, route });
        }
    }
    let mut events = world.events.borrow().clone();
    events.sort_by_key(|e| e.at);
    let known = match scenario.dedup_scope {
        Scope::Destination => DedupScope::Everywhere,
        Scope::Zone => DedupScope::InTheRoom,
        Scope::Endpoint => DedupScope::AtTheEndpoint,
    };
    let window = scenario.dedup_window.0.as_micros() as Us;
    let figures = RuleParameters { dedup_window: window, dedup_scope: known, ..RuleParameters::default() };
    let mut crashes = world.crashes.borrow().clone();
    crashes.extend(PANICS.with(|p| p.borrow_mut().take()).unwrap_or_default());
    Day {
        broken: judge(&events, figures),
        reckoning: score(&events, &worths(&scenario)),
        crashes,
        length: world.network.started_at().elapsed(),
        done: world.process_states.iter().map(|life| life.done()).collect(),
        notes: world.network.datagrams_sent(),
        events,
    }
}

/// Plays a day in virtual time, on this thread. The same scenario and seed give the same day.
///
/// # Errors
/// If the scenario can't be played.
pub fn play(scenario: &Scenario, seed: u64) -> Result<Day, String> {
    play_so(scenario, seed, RunOptions::default())
}

/// As [`play`], in a manner of its own. Over sockets a day takes as long as it is, and no two are the same.
///
/// # Errors
/// If the scenario can't be played.
pub fn play_so(scenario: &Scenario, seed: u64, manner: RunOptions) -> Result<Day, String> {
    scenario.validate()?;
    watch_panics();
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = match manner.uses_real_sockets {
        true => runtime.enable_all().build(),
        false => runtime.enable_time().start_paused(true).build(),
    };
    let runtime = runtime.map_err(|e| format!("cannot make a runtime: {e}"))?;
    let tasks = LocalSet::new();
    let day = tasks.block_on(&runtime, day(scenario.clone(), seed, manner));
    // Senders may hold what others own; their ends come before the runtime's.
    drop(tasks);
    Ok(day)
}

//! One day: senders as processes, the stand-ins around them, the troubles at their times, and the judge at the end.
use crate::crossings::{FaultInjection, InjectedFault};
use crate::lie::Lie;
use crate::life::ProcessCounters;
use crate::manner::Manner;
use crate::net::Severed;
use crate::process::{machine, Control, Process};
use crate::rude;
use crate::stands::{agent, agent_address, listen, notes_address, open_endpoint, sender_address, Clients};
use crate::world::{Place, World};
use nickelshed::EnvironmentVariables;
use nickelshed_config::sidecar::{Effect, Scope};
use nickelshed_config::units::{Percent, Period};
use nickelshed_judge::{
    account, judge, reckon, Account, Broken, Event, Figures, Known, Reckoning, Us, What, Worth,
};
use nickelshed_model::{arrivals, soonest, Kind, Mix, Scenario, Trouble};
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
pub struct ScenarioRun {
    pub events: Vec<Event>,
    pub violations: Vec<Broken>,
    pub score: Reckoning,
    /// Why a sender ended by itself, or a part of it did.
    pub crashes: Vec<String>,
    pub length: Duration,
    /// What each sender did on its disk and sent.
    pub counters: Vec<ProcessCounters>,
    /// Notes between senders.
    pub peer_datagrams: u64,
}

impl ScenarioRun {
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty() && self.crashes.is_empty()
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
fn settings(s: &Scenario, lie: Option<Lie>, sender: usize) -> Value {
    let ns = |p: nickelshed_config::units::Period| p.ns();
    let figures = Figures::default();
    let multiple = if lie == Some(Lie::KnowsNoCold) { 1_000.0 } else { figures.fall_multiple };
    let window = if lie == Some(Lie::ForgetsWindow) { 3_600_000_000_000 } else { ns(s.repeat_window) };
    let scope = match s.repeats_known_by {
        _ if lie == Some(Lie::TrustsAllWithRepeats) => "all",
        Scope::Destination => "all",
        Scope::Zone => "zone",
        Scope::Endpoint => "endpoint",
    };
    let class = |c: &Mix| {
        let effect = match c.effect {
            _ if lie == Some(Lie::RepeatsUnsafe) => "safe",
            Effect::Safe => "safe",
            Effect::Keyed => "keyed",
            Effect::Unsafe => "unsafe",
        };
        json!({"Name": c.name, "PromiseNs": ns(c.wanted_within), "DeadlineNs": ns(c.abandoned_after),
            "Effect": effect, "DedupScope": scope, "WindowNs": window, "Worth": c.worth, "LateWorth": LATE_WORTH})
    };
    let rooms: Vec<String> = (0..s.rooms).map(|r| format!("room-{r}")).collect();
    json!({"NInstances": s.senders, "TickNs": 5_000_000, "Kinds": ["plain"], "Localities": rooms,
        "Zone": s.room(sender), "Weights": if s.list_tells_rates { "rough" } else { "none" },
        "Feedback": {"Source": "piggyback", "Fields": ["x0", "x1"]},
        "FamilyInfo": {"CallsOut": s.slots, "Decay": "halves", "KindBatch": [s.batch], "SeparateRoutes": [s.routes_apart]},
        "Limits": {"Peers": s.notes, "MaxOpen": s.held, "MaxAttempts": 8, "Cancel": true, "IdleCloseNs": 5_000_000_000u64,
            "DialTimeoutNs": 1_000_000_000, "MaxRetryAfterNs": 3_000_000_000u64},
        "Safety": {"StartCapacity": figures.start_capacity, "ColdNs": figures.cold * 1_000,
            "FallMultiple": multiple, "OverloadForNs": figures.fall_for * 1_000},
        "Services": s.mix().iter().map(class).collect::<Vec<_>>()})
}

fn config(scenario: &Scenario, lie: Option<Lie>, sender: usize, home: u16, seed: u64) -> String {
    // Each has all of them in one order; without leave the list is not looked at.
    let peers: Vec<String> = (0..scenario.senders as usize)
        .filter(|_| scenario.notes)
        .map(|s| notes_address(s).to_string())
        .collect();
    json!({"name": format!("n{sender}"), "peers": peers, "peer_listen": notes_address(sender).to_string(), "seed": format!("{:x}", seed ^ (sender as u64) << 32),
        "discovery": agent_address(sender, home).to_string(),
        "limits": {"memory_mb": 64, "sockets": 1_024, "disk_mb": scenario.disk as f64 / 1e6},
        // At each start of a process it is what its machine had last.
        "known": {"generation": 0, "reset": true, "instances": []},
        "settings": settings(scenario, lie, sender)})
    .to_string()
}

/// The destinations that a trouble meets: those with most traffic first.
fn met(world: &World, trouble: &Trouble) -> Vec<u64> {
    (1..=u64::from(trouble.of(world.scenario.destinations))).collect()
}

async fn outage(world: Rc<World>, trouble: Trouble) {
    let kind = trouble.kind;
    for dest in met(&world, &trouble) {
        let place = &world.destinations[&dest];
        place.system.borrow_mut().begin(kind, trouble.size, trouble.to());
        if kind.is_outage() {
            let routes = place.system.borrow().routes();
            routes.into_iter().for_each(|route| world.note(What::OutageBegan { dest, route }));
        }
        if kind == Kind::Refused {
            for (_, p) in standing(&world, dest) {
                world.net.close(p.address);
            }
            place.resets.notify_waiters();
        }
    }
    sleep_until(world.instant(trouble.to())).await;
    for dest in met(&world, &trouble) {
        let place = &world.destinations[&dest];
        place.system.borrow_mut().end(world.now(), kind);
        if kind.is_outage() {
            let system = place.system.borrow();
            for route in system.routes() {
                world.note(What::OutageEnded { dest, route, capacity: system.capacity(route) });
            }
            drop(system);
            // What hung on its connections is gone with what it was.
            place.resets.notify_waiters();
        }
        if kind == Kind::Refused {
            for (number, p) in standing(&world, dest) {
                listen(&world, dest, number, p.address).await;
            }
        }
    }
}

/// The endpoints of a destination that are listed as ready.
fn standing(world: &World, dest: u64) -> Vec<(usize, Place)> {
    let mut last: BTreeMap<usize, Place> = BTreeMap::new();
    for (number, place) in world.list.borrow().iter().filter(|(_, p)| p.dest == dest) {
        last.insert(*number, place.clone());
    }
    last.into_iter().filter(|(_, p)| p.lifecycle == "Ready").collect()
}

/// Tells all agents of changes, as late as discovery is.
fn tell_late(world: &Rc<World>, changes: Vec<usize>) {
    let world = world.clone();
    spawn_local(async move {
        sleep(world.scenario.discovery_late.0).await;
        world.tell(&changes);
    });
}

async fn drain(world: Rc<World>, trouble: Trouble) {
    for dest in met(&world, &trouble) {
        let Some((number, place)) = standing(&world, dest).into_iter().next() else { continue };
        let old = world.list(number, Place { lifecycle: "Terminating", ..place.clone() });
        // Where only the same endpoint knows a repeat, nobody could tell the new one from it before the list does.
        let takes = trouble.kind == Kind::Replace && world.scenario.repeats_known_by != Scope::Endpoint;
        let (new, at) = open_endpoint(&world, dest, takes.then_some(&place)).await;
        let new = world.list(new, at);
        tell_late(&world, vec![old, new]);
        let (world, gone) = (world.clone(), Place { lifecycle: "Gone", ..place.clone() });
        spawn_local(async move {
            sleep(Duration::from_secs(3)).await;
            world.destinations[&dest].system.borrow_mut().remove(number);
            if !takes {
                world.net.close(gone.address);
            }
            let gone = world.list(number, gone);
            tell_late(&world, vec![gone]);
        });
    }
}

async fn reload(world: Rc<World>, processes: Rc<Vec<Process>>, seed: u64) {
    for (sender, process) in processes.iter().enumerate() {
        let home = world.agents[sender].home.get() + 1;
        world.agents[sender].home.set(home);
        world.agents[sender].moved.set(Some(world.now()));
        spawn_local(agent(world.clone(), sender, home));
        process.told.borrow_mut().config = config(&world.scenario, world.lie, sender, home, seed);
        let _ = process.control.send(Control::Hangup);
        world.agents[sender].news.notify_waiters();
        let world = world.clone();
        spawn_local(async move {
            sleep(OLD_AGENT).await;
            world.net.close(agent_address(sender, home - 1));
        });
    }
}

/// A trouble that begins now.
fn now(world: &World, kind: Kind, lasts: u64) -> Trouble {
    Trouble {
        kind,
        at: Period::ms(world.now() / 1_000),
        lasts: Period::ms(lasts),
        part: Percent(0.5),
        senders: Percent(1.0),
        size: 2.0,
    }
}

/// Has happen what a day is crossed by, once the place is reached.
async fn cross(world: Rc<World>, processes: Rc<Vec<Process>>, crossing: FaultInjection, seed: u64) {
    world.lives[crossing.sender].fault_point_reached().await;
    let control = &processes[crossing.sender].control;
    let (kind, lasts) = match crossing.fault {
        // The process has ended already.
        InjectedFault::Kill => return,
        InjectedFault::Terminate => {
            let _ = control.send(Control::Terminate);
            sleep(TO_KILL).await;
            let _ = control.send(Control::Kill);
            return;
        }
        InjectedFault::Pause => {
            let _ = control.send(Control::Pause(STANDS_STILL));
            return;
        }
        InjectedFault::ClientsLeave => return world.leave.notify_waiters(),
        InjectedFault::Resets => return world.destinations.values().for_each(|d| d.resets.notify_waiters()),
        InjectedFault::IdleCloses => {
            return world.destinations.values().for_each(|d| d.closes.notify_waiters())
        }
        InjectedFault::EndsNew => return world.ends_new.set(world.now() + 1_000_000),
        InjectedFault::Hangup => (Kind::Reload, 0),
        InjectedFault::Mute => (Kind::Mute, 4_000),
        InjectedFault::Drain => (Kind::Drain, 0),
        InjectedFault::Shut => (Kind::Shut, 3_000),
        InjectedFault::Silent => (Kind::Silent, 3_000),
    };
    let happens = now(&world, kind, lasts);
    trouble(world, processes, happens, seed).await;
}

async fn trouble(world: Rc<World>, processes: Rc<Vec<Process>>, trouble: Trouble, seed: u64) {
    sleep_until(world.instant(trouble.from())).await;
    let met = |sender: &usize| trouble.meets(*sender, processes.len());
    let tell = |control: Control| {
        (0..processes.len()).filter(met).for_each(|s| _ = processes[s].control.send(control));
    };
    match trouble.kind {
        kind if kind.is_of_systems() => outage(world, trouble).await,
        Kind::Drain | Kind::Replace => drain(world, trouble).await,
        Kind::Restart => {
            tell(Control::Terminate);
            sleep(TO_KILL).await;
            tell(Control::Kill);
        }
        Kind::Kill => tell(Control::Kill),
        Kind::Roll => roll(&processes, &trouble).await,
        Kind::Cut => {
            let until = world.instant(trouble.to());
            let rooms = world.clone();
            let between = Box::new(move |sender, to| rooms.are_apart(sender, to));
            world.net.sever(Severed { until, between });
        }
        Kind::Impatient => world.impatient.set(trouble.to()),
        Kind::Pause => tell(Control::Pause(trouble.lasts.0)),
        Kind::Reload => reload(world, processes, seed).await,
        Kind::Mute => {
            (0..processes.len()).filter(met).for_each(|s| world.agents[s].mute.set(true));
            sleep_until(world.instant(trouble.to())).await;
            world.unmute();
        }
        Kind::Jump => world.net.jump((trouble.size * 1e3) as i64),
        Kind::Stall => {
            let until = world.instant(trouble.to());
            (0..processes.len()).filter(met).for_each(|s| world.lives[s].stall_disk(until));
        }
        Kind::Rude => rude::visit(world, trouble, seed).await,
        // What is left is in the traffic already.
        _ => {}
    }
}

/// Restarts those that it meets a tenth at a time, every second tenth without a warning.
async fn roll(processes: &[Process], trouble: &Trouble) {
    let met: Vec<&Process> =
        (0..processes.len()).filter(|s| trouble.meets(*s, processes.len())).map(|s| &processes[s]).collect();
    let mut going: Vec<&Process> = Vec::new();
    for (number, tenth) in met.chunks(met.len().div_ceil(10).max(1)).enumerate() {
        going.drain(..).for_each(|p| _ = p.control.send(Control::Kill));
        let gently = number % 2 == 0;
        tenth
            .iter()
            .for_each(|p| _ = p.control.send(if gently { Control::Terminate } else { Control::Kill }));
        if gently {
            going.extend(tenth);
        }
        sleep((trouble.lasts.0 / 10).max(TO_KILL)).await;
    }
    going.iter().for_each(|p| _ = p.control.send(Control::Kill));
}

/// Two outages of a destination that overlap would be one of an unknown kind: only the first is played. So it is with two
/// of a kind that the first one's end would take back.
fn played(scenario: &Scenario) -> Vec<Trouble> {
    let mut troubles = scenario.troubles.clone();
    troubles.sort_by_key(|t| t.from());
    let mut until: Us = 0;
    let mut processes: Us = 0;
    let cold = Figures::default().cold;
    let mut kinds: BTreeMap<Kind, Us> = BTreeMap::new();
    troubles.retain(|t| {
        if matches!(t.kind, Kind::Cut | Kind::Lower | Kind::Lossy | Kind::Impatient) {
            let until = kinds.entry(t.kind).or_default();
            let free = t.from() >= *until;
            *until = if free { t.to() } else { *until };
            return free;
        }
        if t.kind.is_outage() || t.kind == Kind::Slow {
            let free = t.from() >= until;
            until = if free { t.to() + cold } else { until };
            return free;
        }
        if matches!(t.kind, Kind::Restart | Kind::Kill | Kind::Pause | Kind::Roll) {
            let free = t.from() >= processes;
            let takes = if t.kind == Kind::Roll { 11 * TO_KILL.as_micros() as Us } else { 4_300_000 };
            // Until it runs again, and has done what it owes.
            processes = if free { t.to().max(t.from() + takes) + 2_000_000 } else { processes };
            return free;
        }
        true
    });
    troubles
}

/// What the messages of each class are worth.
fn worths(scenario: &Scenario) -> Vec<Worth> {
    let worth =
        |c: &Mix| Worth { wanted: c.wanted_within.0.as_micros() as Us, whole: c.worth, least: LATE_WORTH };
    scenario.mix().iter().map(worth).collect()
}

/// Where a day's slots and time went, and the worth that one reaches who knows how every destination stands. Apart from
/// the day, as days that are only judged need neither.
pub fn account_with_oracle(scenario: &Scenario, seed: u64, day: &ScenarioRun) -> (Account, f64) {
    let worths = worths(scenario);
    (account(&day.events, &worths, Figures::default().cold), reachable(scenario, seed, &worths))
}

/// The part of the worth asked for that `soonest` delivers.
fn reachable(scenario: &Scenario, seed: u64, worths: &[Worth]) -> f64 {
    let soonest = soonest(scenario, seed);
    let (mut asked, mut got) = (0.0, 0.0);
    for arrival in arrivals(scenario, seed) {
        let worth = worths[arrival.class];
        asked += worth.whole;
        got += soonest[arrival.message as usize].map_or(0.0, |took| worth.after(took));
    }
    got / f64::max(asked, 1e-9)
}

async fn day(scenario: Scenario, seed: u64, manner: Manner) -> ScenarioRun {
    let lie = manner.lie;
    let world = World::new(&scenario, seed, manner);
    let mut first = Vec::new();
    for dest in 1..=u64::from(scenario.destinations) {
        for _ in 0..scenario.endpoints {
            let (number, place) = open_endpoint(&world, dest, None).await;
            first.push(world.list(number, place));
        }
    }
    world.tell(&first);
    world.agents.iter().for_each(|agent| agent.told.set(first.len()));
    if let Some(crossing) = manner.crossing {
        world.lives[crossing.sender].set_fault_point(crossing.fault_point());
    }
    let mut processes = Vec::new();
    for sender in 0..scenario.senders as usize {
        spawn_local(agent(world.clone(), sender, 0));
        let told = Rc::new(RefCell::new(EnvironmentVariables {
            listen: Some(sender_address(sender).to_string()),
            discovery: None,
            state: Some("state".into()),
            config: config(&scenario, lie, sender, 0, seed),
            config_path: "config.json".into(),
        }));
        let (control, told_process) = mpsc::unbounded_channel();
        let up = Rc::new(Cell::new(false));
        spawn_local(machine(world.clone(), sender, told.clone(), up.clone(), told_process));
        processes.push(Process { control, told, up });
    }
    let processes = Rc::new(processes);
    let ready = Instant::now() + Duration::from_secs(5);
    while !processes.iter().all(|p| p.up.get()) && Instant::now() < ready {
        sleep(Duration::from_millis(1)).await;
    }
    if let Some(crossing) = manner.crossing {
        spawn_local(cross(world.clone(), processes.clone(), crossing, seed));
    }
    for t in played(&scenario) {
        spawn_local(trouble(world.clone(), processes.clone(), t, seed));
    }
    let kept = RefCell::new((0..scenario.senders).map(|_| Vec::new()).collect());
    let classes = scenario.mix();
    let clients = Rc::new(Clients { world: world.clone(), host: world.net.host(None), kept, classes });
    for arrival in arrivals(&scenario, seed) {
        sleep_until(world.instant(arrival.at)).await;
        spawn_local(clients.clone().hand_in(arrival));
    }
    sleep_until(world.instant(scenario.length.0.as_micros() as Us)).await;
    sleep(scenario.longest() + AFTERWARDS).await;
    let addresses: BTreeMap<_, _> =
        world.list.borrow().iter().map(|(number, p)| (p.address, (*number, p.dest))).collect();
    for (at, sender, to) in world.net.refused() {
        if let Some(&(number, dest)) = addresses.get(&to) {
            let route = world.destinations[&dest].system.borrow().route_of(number);
            world.note_at(world.us(at), What::Unreached { sender, dest, route });
        }
    }
    let mut events = world.events.borrow().clone();
    events.sort_by_key(|e| e.at);
    let known = match scenario.repeats_known_by {
        Scope::Destination => Known::Everywhere,
        Scope::Zone => Known::InTheRoom,
        Scope::Endpoint => Known::AtTheEndpoint,
    };
    let window = scenario.repeat_window.0.as_micros() as Us;
    let figures = Figures { window, known, ..Figures::default() };
    let mut crashes = world.crashes.borrow().clone();
    crashes.extend(PANICS.with(|p| p.borrow_mut().take()).unwrap_or_default());
    ScenarioRun {
        violations: judge(&events, figures),
        score: reckon(&events, &worths(&scenario)),
        crashes,
        length: world.net.start().elapsed(),
        counters: world.lives.iter().map(|life| life.counters()).collect(),
        peer_datagrams: world.net.noted(),
        events,
    }
}

/// Plays a day in virtual time, on this thread. The same scenario and seed give the same day.
///
/// # Errors
/// If the scenario can't be played.
pub fn run_scenario(scenario: &Scenario, seed: u64) -> Result<ScenarioRun, String> {
    run_scenario_with(scenario, seed, Manner::default())
}

/// As [`run_scenario`], in a manner of its own. Over sockets a day takes as long as it is, and no two are the same.
///
/// # Errors
/// If the scenario can't be played.
pub fn run_scenario_with(scenario: &Scenario, seed: u64, manner: Manner) -> Result<ScenarioRun, String> {
    scenario.sound()?;
    watch_panics();
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = match manner.over_sockets {
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

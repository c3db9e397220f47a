//! Runs one scenario: starts the senders as simulated processes with fake servers and clients around them,
//! injects the faults at their times, and has the recorded events checked and scored at the end.
use crate::fault_points::{FaultInjection, InjectedFault};
use crate::lie::Lie;
use crate::manner::Manner;
use crate::net::Severed;
use crate::process::{machine, Control, Process};
use crate::process_run::ProcessCounters;
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

/// Time from SIGTERM to SIGKILL.
const TERMINATION_GRACE: Duration = Duration::from_millis(3_700);
/// After a configuration that moves discovery, the agent at the old address closes with this delay.
const OLD_AGENT_CLOSE_DELAY: Duration = Duration::from_millis(1_500);
/// Length of the pause that is injected at a fault point; long enough for a retry-after time to expire
/// meanwhile.
const INJECTED_PAUSE: Duration = Duration::from_millis(700);
/// How long a run goes on after the last message has expired, for pending notices and for work delayed by a
/// restart.
const SETTLE_TIME: Duration = Duration::from_millis(8_000);

/// The fraction of a message's value that remains, however late the message is delivered.
const LATE_VALUE_FRACTION: f64 = 0.3;

/// The result of one run of a scenario.
#[derive(Clone, Debug)]
pub struct ScenarioRun {
    pub events: Vec<Event>,
    pub violations: Vec<Broken>,
    pub score: Reckoning,
    /// Errors and panics of senders that ended on their own, wholly or in part.
    pub crashes: Vec<String>,
    pub length: Duration,
    /// What the processes of each sender did on disk and network.
    pub counters: Vec<ProcessCounters>,
    /// Number of datagrams sent between senders.
    pub peer_datagrams: u64,
}

impl ScenarioRun {
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty() && self.crashes.is_empty()
    }
}

thread_local! {
    /// Panics of this thread during a run. Recorded by the panic hook, because Tokio catches the panics of
    /// tasks.
    static PANICS: RefCell<Option<Vec<String>>> = const { RefCell::new(None) };
}

/// Installs a panic hook that records panics of threads with a run in progress and passes all others to the
/// previous hook.
fn capture_panics() {
    static ONCE: std::sync::Once = std::sync::Once::new();
    ONCE.call_once(|| {
        let previous_hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            let recorded =
                PANICS.try_with(|p| p.borrow_mut().as_mut().map(|panics| panics.push(info.to_string())));
            if !matches!(recorded, Ok(Some(()))) {
                previous_hook(info);
            }
        }));
    });
    PANICS.with(|p| *p.borrow_mut() = Some(Vec::new()));
}

/// The deployment settings of a sender, in the format of the platform. A mutation of the sender may falsify
/// some of them.
fn settings(scenario: &Scenario, mutation: Option<Lie>, sender: usize) -> Value {
    let ns = |p: nickelshed_config::units::Period| p.ns();
    let figures = Figures::default();
    let overload_multiple = if mutation == Some(Lie::KnowsNoCold) { 1_000.0 } else { figures.fall_multiple };
    let window_ns =
        if mutation == Some(Lie::ForgetsWindow) { 3_600_000_000_000 } else { ns(scenario.repeat_window) };
    let dedup_scope = match scenario.repeats_known_by {
        _ if mutation == Some(Lie::TrustsAllWithRepeats) => "all",
        Scope::Destination => "all",
        Scope::Zone => "zone",
        Scope::Endpoint => "endpoint",
    };
    let class = |c: &Mix| {
        let effect = match c.effect {
            _ if mutation == Some(Lie::RepeatsUnsafe) => "safe",
            Effect::Safe => "safe",
            Effect::Keyed => "keyed",
            Effect::Unsafe => "unsafe",
        };
        json!({"Name": c.name, "PromiseNs": ns(c.wanted_within), "DeadlineNs": ns(c.abandoned_after),
            "Effect": effect, "DedupScope": dedup_scope, "WindowNs": window_ns, "Worth": c.worth, "LateWorth": LATE_VALUE_FRACTION})
    };
    let sites: Vec<String> = (0..scenario.rooms).map(|r| format!("room-{r}")).collect();
    json!({"NInstances": scenario.senders, "TickNs": 5_000_000, "Kinds": ["plain"], "Localities": sites,
        "Zone": scenario.room(sender), "Weights": if scenario.list_tells_rates { "rough" } else { "none" },
        "Feedback": {"Source": "piggyback", "Fields": ["x0", "x1"]},
        "FamilyInfo": {"CallsOut": scenario.slots, "Decay": "halves", "KindBatch": [scenario.batch], "SeparateRoutes": [scenario.routes_apart]},
        "Limits": {"Peers": scenario.notes, "MaxOpen": scenario.held, "MaxAttempts": 8, "Cancel": true, "IdleCloseNs": 5_000_000_000u64,
            "DialTimeoutNs": 1_000_000_000, "MaxRetryAfterNs": 3_000_000_000u64},
        "Safety": {"StartCapacity": figures.start_capacity, "ColdNs": figures.cold * 1_000,
            "FallMultiple": overload_multiple, "OverloadForNs": figures.fall_for * 1_000},
        "Services": scenario.mix().iter().map(class).collect::<Vec<_>>()})
}

fn config(scenario: &Scenario, mutation: Option<Lie>, sender: usize, home: u16, seed: u64) -> String {
    // All senders list the same peers in the same order. Without `notes` the list is empty and unused.
    let peers: Vec<String> = (0..scenario.senders as usize)
        .filter(|_| scenario.notes)
        .map(|s| notes_address(s).to_string())
        .collect();
    json!({"name": format!("n{sender}"), "peers": peers, "peer_listen": notes_address(sender).to_string(), "seed": format!("{:x}", seed ^ (sender as u64) << 32),
        "discovery": agent_address(sender, home).to_string(),
        "limits": {"memory_mb": 64, "sockets": 1_024, "disk_mb": scenario.disk as f64 / 1e6},
        // Replaced at each process start by the endpoint list that the machine had last.
        "known": {"generation": 0, "reset": true, "instances": []},
        "settings": settings(scenario, mutation, sender)})
    .to_string()
}

/// The destinations that a fault affects, those with the most traffic first.
fn affected_destinations(sim: &World, fault: &Trouble) -> Vec<u64> {
    (1..=u64::from(fault.of(sim.scenario.destinations))).collect()
}

async fn inject_outage(sim: Rc<World>, fault: Trouble) {
    let kind = fault.kind;
    for dest in affected_destinations(&sim, &fault) {
        let destination = &sim.destinations[&dest];
        destination.system.borrow_mut().begin(kind, fault.size, fault.to());
        if kind.is_outage() {
            let routes = destination.system.borrow().routes();
            routes.into_iter().for_each(|route| sim.note(What::OutageBegan { dest, route }));
        }
        if kind == Kind::Refused {
            for (_, p) in ready_endpoints(&sim, dest) {
                sim.net.close(p.address);
            }
            destination.resets.notify_waiters();
        }
    }
    sleep_until(sim.instant(fault.to())).await;
    for dest in affected_destinations(&sim, &fault) {
        let destination = &sim.destinations[&dest];
        destination.system.borrow_mut().end(sim.now(), kind);
        if kind.is_outage() {
            let system = destination.system.borrow();
            for route in system.routes() {
                sim.note(What::OutageEnded { dest, route, capacity: system.capacity(route) });
            }
            drop(system);
            // Calls that hung in the outage are reset with the connections of the failed destination.
            destination.resets.notify_waiters();
        }
        if kind == Kind::Refused {
            for (number, p) in ready_endpoints(&sim, dest) {
                listen(&sim, dest, number, p.address).await;
            }
        }
    }
}

/// The endpoints of a destination that are listed as ready, with their numbers.
fn ready_endpoints(sim: &World, dest: u64) -> Vec<(usize, Place)> {
    let mut latest: BTreeMap<usize, Place> = BTreeMap::new();
    for (number, endpoint) in sim.list.borrow().iter().filter(|(_, p)| p.dest == dest) {
        latest.insert(*number, endpoint.clone());
    }
    latest.into_iter().filter(|(_, p)| p.lifecycle == "Ready").collect()
}

/// Announces changes to all discovery agents, after the scenario's discovery delay.
fn announce_after_delay(sim: &Rc<World>, changes: Vec<usize>) {
    let sim = sim.clone();
    spawn_local(async move {
        sleep(sim.scenario.discovery_late.0).await;
        sim.tell(&changes);
    });
}

async fn drain_endpoints(sim: Rc<World>, fault: Trouble) {
    for dest in affected_destinations(&sim, &fault) {
        let Some((number, endpoint)) = ready_endpoints(&sim, dest).into_iter().next() else { continue };
        let old = sim.list(number, Place { lifecycle: "Terminating", ..endpoint.clone() });
        // The replacement takes over the address, except where only the same endpoint recognises a repeat:
        // before the list changes, a sender could not tell the new endpoint from the old one, and a repeat
        // sent to it would take effect twice.
        let reuses_address = fault.kind == Kind::Replace && sim.scenario.repeats_known_by != Scope::Endpoint;
        let (new, new_endpoint) = open_endpoint(&sim, dest, reuses_address.then_some(&endpoint)).await;
        let new = sim.list(new, new_endpoint);
        announce_after_delay(&sim, vec![old, new]);
        let (sim, removed) = (sim.clone(), Place { lifecycle: "Gone", ..endpoint.clone() });
        spawn_local(async move {
            sleep(Duration::from_secs(3)).await;
            sim.destinations[&dest].system.borrow_mut().remove(number);
            if !reuses_address {
                sim.net.close(removed.address);
            }
            let removed = sim.list(number, removed);
            announce_after_delay(&sim, vec![removed]);
        });
    }
}

async fn move_discovery(sim: Rc<World>, processes: Rc<Vec<Process>>, seed: u64) {
    for (sender, process) in processes.iter().enumerate() {
        let home = sim.agents[sender].home.get() + 1;
        sim.agents[sender].home.set(home);
        sim.agents[sender].moved.set(Some(sim.now()));
        spawn_local(agent(sim.clone(), sender, home));
        process.told.borrow_mut().config = config(&sim.scenario, sim.lie, sender, home, seed);
        let _ = process.control.send(Control::Hangup);
        sim.agents[sender].news.notify_waiters();
        let sim = sim.clone();
        spawn_local(async move {
            sleep(OLD_AGENT_CLOSE_DELAY).await;
            sim.net.close(agent_address(sender, home - 1));
        });
    }
}

/// A fault that starts now and affects half of the destinations and all senders.
fn fault_starting_now(sim: &World, kind: Kind, lasts: u64) -> Trouble {
    Trouble {
        kind,
        at: Period::ms(sim.now() / 1_000),
        lasts: Period::ms(lasts),
        part: Percent(0.5),
        senders: Percent(1.0),
        size: 2.0,
    }
}

/// Waits until the fault point is reached, then injects the fault there.
async fn inject_at_fault_point(
    sim: Rc<World>,
    processes: Rc<Vec<Process>>,
    injection: FaultInjection,
    seed: u64,
) {
    sim.lives[injection.sender].fault_point_reached().await;
    let control = &processes[injection.sender].control;
    let (kind, lasts) = match injection.fault {
        // The fault point itself has killed the process.
        InjectedFault::Kill => return,
        InjectedFault::Terminate => {
            let _ = control.send(Control::Terminate);
            sleep(TERMINATION_GRACE).await;
            let _ = control.send(Control::Kill);
            return;
        }
        InjectedFault::Pause => {
            let _ = control.send(Control::Pause(INJECTED_PAUSE));
            return;
        }
        InjectedFault::ClientsLeave => return sim.leave.notify_waiters(),
        InjectedFault::Resets => return sim.destinations.values().for_each(|d| d.resets.notify_waiters()),
        InjectedFault::IdleCloses => {
            return sim.destinations.values().for_each(|d| d.closes.notify_waiters())
        }
        InjectedFault::EndsNew => return sim.ends_new.set(sim.now() + 1_000_000),
        InjectedFault::Hangup => (Kind::Reload, 0),
        InjectedFault::Mute => (Kind::Mute, 4_000),
        InjectedFault::Drain => (Kind::Drain, 0),
        InjectedFault::Shut => (Kind::Shut, 3_000),
        InjectedFault::Silent => (Kind::Silent, 3_000),
    };
    let fault = fault_starting_now(&sim, kind, lasts);
    inject_fault(sim, processes, fault, seed).await;
}

async fn inject_fault(sim: Rc<World>, processes: Rc<Vec<Process>>, fault: Trouble, seed: u64) {
    sleep_until(sim.instant(fault.from())).await;
    let is_affected = |sender: &usize| fault.meets(*sender, processes.len());
    let send_to_affected = |control: Control| {
        (0..processes.len()).filter(is_affected).for_each(|s| _ = processes[s].control.send(control));
    };
    match fault.kind {
        kind if kind.is_of_systems() => inject_outage(sim, fault).await,
        Kind::Drain | Kind::Replace => drain_endpoints(sim, fault).await,
        Kind::Restart => {
            send_to_affected(Control::Terminate);
            sleep(TERMINATION_GRACE).await;
            send_to_affected(Control::Kill);
        }
        Kind::Kill => send_to_affected(Control::Kill),
        Kind::Roll => rolling_restart(&processes, &fault).await,
        Kind::Cut => {
            let until = sim.instant(fault.to());
            let topology = sim.clone();
            let is_severed = Box::new(move |sender, to| topology.are_apart(sender, to));
            sim.net.sever(Severed { until, between: is_severed });
        }
        Kind::Impatient => sim.impatient.set(fault.to()),
        Kind::Pause => send_to_affected(Control::Pause(fault.lasts.0)),
        Kind::Reload => move_discovery(sim, processes, seed).await,
        Kind::Mute => {
            (0..processes.len()).filter(is_affected).for_each(|s| sim.agents[s].mute.set(true));
            sleep_until(sim.instant(fault.to())).await;
            sim.unmute();
        }
        Kind::Jump => sim.net.jump((fault.size * 1e3) as i64),
        Kind::Stall => {
            let until = sim.instant(fault.to());
            (0..processes.len()).filter(is_affected).for_each(|s| sim.lives[s].stall_disk(until));
        }
        Kind::Rude => rude::visit(sim, fault, seed).await,
        // All other kinds are part of the generated traffic.
        _ => {}
    }
}

/// Restarts the affected senders a tenth at a time, every second tenth by SIGKILL without SIGTERM.
async fn rolling_restart(processes: &[Process], fault: &Trouble) {
    let affected: Vec<&Process> =
        (0..processes.len()).filter(|s| fault.meets(*s, processes.len())).map(|s| &processes[s]).collect();
    let mut terminating: Vec<&Process> = Vec::new();
    for (number, tenth) in affected.chunks(affected.len().div_ceil(10).max(1)).enumerate() {
        terminating.drain(..).for_each(|p| _ = p.control.send(Control::Kill));
        let sends_sigterm = number % 2 == 0;
        tenth
            .iter()
            .for_each(|p| _ = p.control.send(if sends_sigterm { Control::Terminate } else { Control::Kill }));
        if sends_sigterm {
            terminating.extend(tenth);
        }
        sleep((fault.lasts.0 / 10).max(TERMINATION_GRACE)).await;
    }
    terminating.iter().for_each(|p| _ = p.control.send(Control::Kill));
}

/// The faults of a scenario without those that conflict with an earlier one. Overlapping outages of a
/// destination would be one outage of an undefined kind, so only the first is injected. The same holds for
/// process faults, and for overlapping faults of one kind, because the end of the first would undo the
/// second.
fn without_conflicts(scenario: &Scenario) -> Vec<Trouble> {
    let mut faults = scenario.troubles.clone();
    faults.sort_by_key(|fault| fault.from());
    let mut systems_until: Us = 0;
    let mut processes_until: Us = 0;
    let slow_start = Figures::default().cold;
    let mut kinds_until: BTreeMap<Kind, Us> = BTreeMap::new();
    faults.retain(|fault| {
        if matches!(fault.kind, Kind::Cut | Kind::Lower | Kind::Lossy | Kind::Impatient) {
            let kind_until = kinds_until.entry(fault.kind).or_default();
            let is_free = fault.from() >= *kind_until;
            *kind_until = if is_free { fault.to() } else { *kind_until };
            return is_free;
        }
        if fault.kind.is_outage() || fault.kind == Kind::Slow {
            let is_free = fault.from() >= systems_until;
            systems_until = if is_free { fault.to() + slow_start } else { systems_until };
            return is_free;
        }
        if matches!(fault.kind, Kind::Restart | Kind::Kill | Kind::Pause | Kind::Roll) {
            let is_free = fault.from() >= processes_until;
            let duration_us =
                if fault.kind == Kind::Roll { 11 * TERMINATION_GRACE.as_micros() as Us } else { 4_300_000 };
            // Until the process runs again and has caught up with its recovered messages and notices.
            processes_until = if is_free {
                fault.to().max(fault.from() + duration_us) + 2_000_000
            } else {
                processes_until
            };
            return is_free;
        }
        true
    });
    faults
}

/// The value of the messages of each class.
fn class_values(scenario: &Scenario) -> Vec<Worth> {
    let value_of_class = |c: &Mix| Worth {
        wanted: c.wanted_within.0.as_micros() as Us,
        whole: c.worth,
        least: LATE_VALUE_FRACTION,
    };
    scenario.mix().iter().map(value_of_class).collect()
}

/// Returns the account of slots and message time, and the share of the value that the oracle reaches, which
/// knows the state of every destination. Separate from the run, because runs that are only checked need
/// neither.
pub fn account_with_oracle(scenario: &Scenario, seed: u64, run: &ScenarioRun) -> (Account, f64) {
    let class_values = class_values(scenario);
    (
        account(&run.events, &class_values, Figures::default().cold),
        oracle_value(scenario, seed, &class_values),
    )
}

/// The share of the submitted value that the oracle schedule of `soonest` delivers.
fn oracle_value(scenario: &Scenario, seed: u64, class_values: &[Worth]) -> f64 {
    let oracle = soonest(scenario, seed);
    let (mut submitted, mut delivered) = (0.0, 0.0);
    for arrival in arrivals(scenario, seed) {
        let value = class_values[arrival.class];
        submitted += value.whole;
        delivered += oracle[arrival.message as usize].map_or(0.0, |latency| value.after(latency));
    }
    delivered / f64::max(submitted, 1e-9)
}

async fn simulate(scenario: Scenario, seed: u64, manner: Manner) -> ScenarioRun {
    let mutation = manner.lie;
    let sim = World::new(&scenario, seed, manner);
    let mut initial_list = Vec::new();
    for dest in 1..=u64::from(scenario.destinations) {
        for _ in 0..scenario.endpoints {
            let (number, endpoint) = open_endpoint(&sim, dest, None).await;
            initial_list.push(sim.list(number, endpoint));
        }
    }
    sim.tell(&initial_list);
    sim.agents.iter().for_each(|agent| agent.told.set(initial_list.len()));
    if let Some(injection) = manner.crossing {
        sim.lives[injection.sender].set_fault_point(injection.fault_point());
    }
    let mut processes = Vec::new();
    for sender in 0..scenario.senders as usize {
        spawn_local(agent(sim.clone(), sender, 0));
        let environment = Rc::new(RefCell::new(EnvironmentVariables {
            listen: Some(sender_address(sender).to_string()),
            discovery: None,
            state: Some("state".into()),
            config: config(&scenario, mutation, sender, 0, seed),
            config_path: "config.json".into(),
        }));
        let (control, control_receiver) = mpsc::unbounded_channel();
        let up = Rc::new(Cell::new(false));
        spawn_local(machine(sim.clone(), sender, environment.clone(), up.clone(), control_receiver));
        processes.push(Process { control, told: environment, up });
    }
    let processes = Rc::new(processes);
    let ready_deadline = Instant::now() + Duration::from_secs(5);
    while !processes.iter().all(|p| p.up.get()) && Instant::now() < ready_deadline {
        sleep(Duration::from_millis(1)).await;
    }
    if let Some(injection) = manner.crossing {
        spawn_local(inject_at_fault_point(sim.clone(), processes.clone(), injection, seed));
    }
    for fault in without_conflicts(&scenario) {
        spawn_local(inject_fault(sim.clone(), processes.clone(), fault, seed));
    }
    let idle_connections = RefCell::new((0..scenario.senders).map(|_| Vec::new()).collect());
    let classes = scenario.mix();
    let clients =
        Rc::new(Clients { world: sim.clone(), host: sim.net.host(None), kept: idle_connections, classes });
    for arrival in arrivals(&scenario, seed) {
        sleep_until(sim.instant(arrival.at)).await;
        spawn_local(clients.clone().hand_in(arrival));
    }
    sleep_until(sim.instant(scenario.length.0.as_micros() as Us)).await;
    sleep(scenario.longest() + SETTLE_TIME).await;
    let addresses: BTreeMap<_, _> =
        sim.list.borrow().iter().map(|(number, p)| (p.address, (*number, p.dest))).collect();
    for (at, sender, to) in sim.net.refused() {
        if let Some(&(number, dest)) = addresses.get(&to) {
            let route = sim.destinations[&dest].system.borrow().route_of(number);
            sim.note_at(sim.us(at), What::Unreached { sender, dest, route });
        }
    }
    let mut events = sim.events.borrow().clone();
    events.sort_by_key(|e| e.at);
    let dedup_scope = match scenario.repeats_known_by {
        Scope::Destination => Known::Everywhere,
        Scope::Zone => Known::InTheRoom,
        Scope::Endpoint => Known::AtTheEndpoint,
    };
    let window = scenario.repeat_window.0.as_micros() as Us;
    let figures = Figures { window, known: dedup_scope, ..Figures::default() };
    let mut crashes = sim.crashes.borrow().clone();
    crashes.extend(PANICS.with(|p| p.borrow_mut().take()).unwrap_or_default());
    ScenarioRun {
        violations: judge(&events, figures),
        score: reckon(&events, &class_values(&scenario)),
        crashes,
        length: sim.net.start().elapsed(),
        counters: sim.lives.iter().map(|process| process.counters()).collect(),
        peer_datagrams: sim.net.noted(),
        events,
    }
}

/// Runs a scenario in simulated time, on this thread. The same scenario and seed give the same run.
///
/// # Errors
/// If the scenario is invalid.
pub fn run_scenario(scenario: &Scenario, seed: u64) -> Result<ScenarioRun, String> {
    run_scenario_with(scenario, seed, Manner::default())
}

/// Like [`run_scenario`], with the options in `manner`. A run over real sockets takes place in real time and
/// is not deterministic.
///
/// # Errors
/// If the scenario is invalid or the runtime cannot be created.
pub fn run_scenario_with(scenario: &Scenario, seed: u64, manner: Manner) -> Result<ScenarioRun, String> {
    scenario.sound()?;
    capture_panics();
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = match manner.over_sockets {
        true => runtime.enable_all().build(),
        false => runtime.enable_time().start_paused(true).build(),
    };
    let runtime = runtime.map_err(|e| format!("cannot create the runtime: {e}"))?;
    let tasks = LocalSet::new();
    let run = tasks.block_on(&runtime, simulate(scenario.clone(), seed, manner));
    // Tasks may hold handles into one another and into the runtime, so they are dropped before it.
    drop(tasks);
    Ok(run)
}

//! Runs one scenario: starts the senders as simulated processes with fake servers and clients around them,
//! injects the faults at their times, and has the recorded events checked and scored at the end.
use crate::fake_servers::{
    discovery_address, listen, membership_address, open_endpoint, run_discovery_agent, sender_address,
    Clients,
};
use crate::fault_points::{FaultInjection, FaultPointAction};
use crate::malformed_clients;
use crate::mutation::Mutation;
use crate::process::{run_machine, ProcessControl, ProcessHandle};
use crate::process_run::ProcessCounters;
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

/// Time from SIGTERM to the SIGKILL that follows it.
const TERMINATION_GRACE: Duration = Duration::from_millis(3_700);
/// Time from a reload that moves discovery until the agent at the old address stops listening.
const OLD_AGENT_CLOSE_DELAY: Duration = Duration::from_millis(1_500);
/// Length of the pause that is injected at a fault point; long enough for a retry-after wait to end
/// meanwhile.
const INJECTED_PAUSE: Duration = Duration::from_millis(700);
/// How long a run continues after the last message has expired, for pending notices and for work delayed by a
/// restart.
const SETTLE_TIME: Duration = Duration::from_millis(8_000);

/// The fraction of a message's value that remains, however late the message is delivered.
const LATE_VALUE_FRACTION: f64 = 0.3;

/// The result of one run of a scenario.
#[derive(Clone, Debug)]
pub struct ScenarioRun {
    /// In the order of their times.
    pub events: Vec<Event>,
    pub violations: Vec<Violation>,
    pub score: ScoreReport,
    /// Panics, errors with which senders exited on their own, and malformed requests that senders accepted.
    pub crashes: Vec<String>,
    /// Simulated time from the start of the run to its end; real time over real sockets.
    pub length: Duration,
    /// What the processes of each sender did on disk and network.
    pub counters: Vec<ProcessCounters>,
    /// Number of datagrams sent between senders.
    pub peer_datagrams: u64,
}

impl ScenarioRun {
    /// Whether no rule was violated and nothing crashed.
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

/// Returns the deployment settings of a sender, in the format of the platform. A mutation gives the sender
/// wrong values for some of them.
fn settings(scenario: &Scenario, mutation: Option<Mutation>, sender: usize) -> Value {
    let ns = |period: nickelshed_config::units::Period| period.ns();
    let rule_parameters = RuleParameters::default();
    let overload_multiple =
        if mutation == Some(Mutation::KnowsNoCold) { 1_000.0 } else { rule_parameters.overload_multiple };
    let window_ns =
        if mutation == Some(Mutation::ForgetsWindow) { 3_600_000_000_000 } else { ns(scenario.dedup_window) };
    let dedup_scope = match scenario.dedup_scope {
        _ if mutation == Some(Mutation::TrustsAllWithRepeats) => "all",
        Scope::Destination => "all",
        Scope::Zone => "zone",
        Scope::Endpoint => "endpoint",
    };
    let class = |c: &TrafficClass| {
        let effect = match c.effect {
            _ if mutation == Some(Mutation::RepeatsUnsafe) => "safe",
            Effect::Safe => "safe",
            Effect::Keyed => "keyed",
            Effect::Unsafe => "unsafe",
        };
        json!({"Name": c.name, "PromiseNs": ns(c.wanted_within), "DeadlineNs": ns(c.abandoned_after),
            "Effect": effect, "DedupScope": dedup_scope, "WindowNs": window_ns, "Worth": c.value, "LateWorth": LATE_VALUE_FRACTION})
    };
    let sites: Vec<String> = (0..scenario.sites).map(|r| format!("room-{r}")).collect();
    json!({"NInstances": scenario.senders, "TickNs": 5_000_000, "Kinds": ["plain"], "Localities": sites,
        "Zone": scenario.site_of(sender), "Weights": if scenario.discovery_reports_rates { "rough" } else { "none" },
        "Feedback": {"Source": "piggyback", "Fields": ["x0", "x1"]},
        "FamilyInfo": {"CallsOut": scenario.slots, "Decay": "halves", "KindBatch": [scenario.batch], "SeparateRoutes": [scenario.separate_routes]},
        "Limits": {"Peers": scenario.membership_enabled, "MaxOpen": scenario.max_open_messages, "MaxAttempts": 8, "Cancel": true, "IdleCloseNs": 5_000_000_000u64,
            "DialTimeoutNs": 1_000_000_000, "MaxRetryAfterNs": 3_000_000_000u64},
        "Safety": {"StartCapacity": rule_parameters.start_capacity, "ColdNs": rule_parameters.slow_start * 1_000,
            "FallMultiple": overload_multiple, "OverloadForNs": rule_parameters.overload_window * 1_000},
        "Services": scenario.traffic_classes().iter().map(class).collect::<Vec<_>>()})
}

/// Returns the configuration of a sender as JSON. `port_offset` selects the port of its discovery agent.
fn config(
    scenario: &Scenario,
    mutation: Option<Mutation>,
    sender: usize,
    port_offset: u16,
    seed: u64,
) -> String {
    // All senders list the same peers in the same order. Without `notes` the list is empty and unused.
    let peers: Vec<String> = (0..scenario.senders as usize)
        .filter(|_| scenario.membership_enabled)
        .map(|s| membership_address(s).to_string())
        .collect();
    json!({"name": format!("n{sender}"), "peers": peers, "peer_listen": membership_address(sender).to_string(), "seed": format!("{:x}", seed ^ (sender as u64) << 32),
        "discovery": discovery_address(sender, port_offset).to_string(),
        "limits": {"memory_mb": 64, "sockets": 1_024, "disk_mb": scenario.disk_bytes as f64 / 1e6},
        // Replaced at each process start by the endpoint list that the machine had last.
        "known": {"generation": 0, "reset": true, "instances": []},
        "settings": settings(scenario, mutation, sender)})
    .to_string()
}

/// Returns the destinations that a fault affects, those with the most traffic first.
fn affected_destinations(sim: &Simulation, fault: &InjectedFault) -> Vec<u64> {
    (1..=u64::from(fault.affected_destinations(sim.scenario.destinations))).collect()
}

/// Injects a fault that acts on destinations (see `FaultKind::affects_destinations`) and removes it at its
/// end.
async fn inject_destination_fault(sim: Rc<Simulation>, fault: InjectedFault) {
    let kind = fault.kind;
    for dest in affected_destinations(&sim, &fault) {
        let destination = &sim.destinations[&dest];
        destination.model.borrow_mut().start_fault(kind, fault.magnitude, fault.end());
        if kind.is_outage() {
            let routes = destination.model.borrow().routes();
            routes.into_iter().for_each(|route| sim.record(EventKind::OutageBegan { dest, route }));
        }
        if kind == FaultKind::Refused {
            for (_, endpoint) in ready_endpoints(&sim, dest) {
                sim.network.close_listener(endpoint.address);
            }
            destination.reset_signal.notify_waiters();
        }
    }
    sleep_until(sim.to_instant(fault.end())).await;
    for dest in affected_destinations(&sim, &fault) {
        let destination = &sim.destinations[&dest];
        destination.model.borrow_mut().end_fault(sim.now(), kind);
        if kind.is_outage() {
            let model = destination.model.borrow();
            for route in model.routes() {
                sim.record(EventKind::OutageEnded { dest, route, capacity: model.capacity(route) });
            }
            drop(model);
            // Calls that hung in the outage are reset with the connections of the failed destination.
            destination.reset_signal.notify_waiters();
        }
        if kind == FaultKind::Refused {
            for (number, endpoint) in ready_endpoints(&sim, dest) {
                listen(&sim, dest, number, endpoint.address).await;
            }
        }
    }
}

/// Returns the endpoints of a destination that are listed as ready, with their numbers.
fn ready_endpoints(sim: &Simulation, dest: u64) -> Vec<(usize, ListedEndpoint)> {
    let mut latest: BTreeMap<usize, ListedEndpoint> = BTreeMap::new();
    for (number, endpoint) in sim.listings.borrow().iter().filter(|(_, listing)| listing.dest == dest) {
        latest.insert(*number, endpoint.clone());
    }
    latest.into_iter().filter(|(_, listing)| listing.lifecycle == "Ready").collect()
}

/// Announces changes to all discovery agents, after the scenario's discovery delay.
fn announce_after_delay(sim: &Rc<Simulation>, changes: Vec<usize>) {
    let sim = sim.clone();
    spawn_local(async move {
        sleep(sim.scenario.discovery_delay.0).await;
        sim.publish(&changes);
    });
}

/// Drains the first ready endpoint of each affected destination, opens a replacement, and removes the drained
/// endpoint three seconds later.
async fn drain_endpoints(sim: Rc<Simulation>, fault: InjectedFault) {
    for dest in affected_destinations(&sim, &fault) {
        let Some((number, endpoint)) = ready_endpoints(&sim, dest).into_iter().next() else { continue };
        let old = sim.add_listing(number, ListedEndpoint { lifecycle: "Terminating", ..endpoint.clone() });
        // The replacement takes over the address, except where only the same endpoint recognises a repeat:
        // before the list changes, a sender could not tell the new endpoint from the old one, and a repeat
        // sent to it would take effect twice.
        let reuses_address = fault.kind == FaultKind::Replace && sim.scenario.dedup_scope != Scope::Endpoint;
        let (new, new_endpoint) = open_endpoint(&sim, dest, reuses_address.then_some(&endpoint)).await;
        let new = sim.add_listing(new, new_endpoint);
        announce_after_delay(&sim, vec![old, new]);
        let (sim, removed) = (sim.clone(), ListedEndpoint { lifecycle: "Gone", ..endpoint.clone() });
        spawn_local(async move {
            sleep(Duration::from_secs(3)).await;
            sim.destinations[&dest].model.borrow_mut().remove_endpoint(number);
            if !reuses_address {
                sim.network.close_listener(removed.address);
            }
            let removed = sim.add_listing(number, removed);
            announce_after_delay(&sim, vec![removed]);
        });
    }
}

/// Moves each sender's discovery agent to the next port and sends the sender SIGHUP with the new
/// configuration.
async fn move_discovery(sim: Rc<Simulation>, processes: Rc<Vec<ProcessHandle>>, seed: u64) {
    for (sender, process) in processes.iter().enumerate() {
        let port_offset = sim.agents[sender].port_offset.get() + 1;
        sim.agents[sender].port_offset.set(port_offset);
        sim.agents[sender].moved_at.set(Some(sim.now()));
        spawn_local(run_discovery_agent(sim.clone(), sender, port_offset));
        process.environment.borrow_mut().config =
            config(&sim.scenario, sim.mutation, sender, port_offset, seed);
        let _ = process.control.send(ProcessControl::Hangup);
        sim.agents[sender].changed.notify_waiters();
        let sim = sim.clone();
        spawn_local(async move {
            sleep(OLD_AGENT_CLOSE_DELAY).await;
            sim.network.close_listener(discovery_address(sender, port_offset - 1));
        });
    }
}

/// Returns a fault that starts now and affects half of the destinations and all senders.
fn fault_starting_now(sim: &Simulation, kind: FaultKind, duration_ms: u64) -> InjectedFault {
    InjectedFault {
        kind,
        at: Period::ms(sim.now() / 1_000),
        duration: Period::ms(duration_ms),
        destination_fraction: Percent(0.5),
        sender_fraction: Percent(1.0),
        magnitude: 2.0,
    }
}

/// Waits until the fault point is reached, then injects the fault there.
async fn inject_at_fault_point(
    sim: Rc<Simulation>,
    processes: Rc<Vec<ProcessHandle>>,
    injection: FaultInjection,
    seed: u64,
) {
    sim.process_states[injection.sender].fault_point_reached().await;
    let control = &processes[injection.sender].control;
    let (kind, duration_ms) = match injection.fault {
        // The fault point itself has killed the process.
        FaultPointAction::Kill => return,
        FaultPointAction::Terminate => {
            let _ = control.send(ProcessControl::Terminate);
            sleep(TERMINATION_GRACE).await;
            let _ = control.send(ProcessControl::Kill);
            return;
        }
        FaultPointAction::Pause => {
            let _ = control.send(ProcessControl::Pause(INJECTED_PAUSE));
            return;
        }
        FaultPointAction::ClientsLeave => return sim.client_disconnect_signal.notify_waiters(),
        FaultPointAction::Resets => {
            return sim.destinations.values().for_each(|d| d.reset_signal.notify_waiters())
        }
        FaultPointAction::IdleCloses => {
            return sim.destinations.values().for_each(|d| d.idle_close_signal.notify_waiters())
        }
        FaultPointAction::EndsNew => return sim.new_connections_closed_until.set(sim.now() + 1_000_000),
        FaultPointAction::Hangup => (FaultKind::Reload, 0),
        FaultPointAction::Mute => (FaultKind::Mute, 4_000),
        FaultPointAction::Drain => (FaultKind::Drain, 0),
        FaultPointAction::Shut => (FaultKind::Shut, 3_000),
        FaultPointAction::Silent => (FaultKind::Silent, 3_000),
    };
    let fault = fault_starting_now(&sim, kind, duration_ms);
    inject_fault(sim, processes, fault, seed).await;
}

/// Waits until the start of a fault, then injects it.
async fn inject_fault(
    sim: Rc<Simulation>,
    processes: Rc<Vec<ProcessHandle>>,
    fault: InjectedFault,
    seed: u64,
) {
    sleep_until(sim.to_instant(fault.start())).await;
    let is_affected = |sender: &usize| fault.affects_sender(*sender, processes.len());
    let send_to_affected = |control: ProcessControl| {
        (0..processes.len()).filter(is_affected).for_each(|s| _ = processes[s].control.send(control));
    };
    match fault.kind {
        kind if kind.affects_destinations() => inject_destination_fault(sim, fault).await,
        FaultKind::Drain | FaultKind::Replace => drain_endpoints(sim, fault).await,
        FaultKind::Restart => {
            send_to_affected(ProcessControl::Terminate);
            sleep(TERMINATION_GRACE).await;
            send_to_affected(ProcessControl::Kill);
        }
        FaultKind::Kill => send_to_affected(ProcessControl::Kill),
        FaultKind::Roll => rolling_restart(&processes, &fault).await,
        FaultKind::Cut => {
            let until = sim.to_instant(fault.end());
            let topology = sim.clone();
            let is_separated = Box::new(move |sender, to| topology.is_partitioned_by_site(sender, to));
            sim.network.set_partition(Partition { until, separates: is_separated });
        }
        FaultKind::Impatient => sim.clients_impatient_until.set(fault.end()),
        FaultKind::Pause => send_to_affected(ProcessControl::Pause(fault.duration.0)),
        FaultKind::Reload => move_discovery(sim, processes, seed).await,
        FaultKind::Mute => {
            (0..processes.len()).filter(is_affected).for_each(|s| sim.agents[s].is_muted.set(true));
            sleep_until(sim.to_instant(fault.end())).await;
            sim.unmute_agents();
        }
        FaultKind::Jump => sim.network.advance_wall_clocks((fault.magnitude * 1e3) as i64),
        FaultKind::Stall => {
            let until = sim.to_instant(fault.end());
            (0..processes.len()).filter(is_affected).for_each(|s| sim.process_states[s].stall_disk(until));
        }
        FaultKind::Rude => malformed_clients::send_malformed_requests(sim, fault, seed).await,
        // `Burst`, the only kind left, is part of the generated traffic.
        _ => {}
    }
}

/// Restarts the affected senders a tenth at a time, every second tenth by SIGKILL without SIGTERM.
async fn rolling_restart(processes: &[ProcessHandle], fault: &InjectedFault) {
    let affected: Vec<&ProcessHandle> = (0..processes.len())
        .filter(|s| fault.affects_sender(*s, processes.len()))
        .map(|s| &processes[s])
        .collect();
    let mut terminating: Vec<&ProcessHandle> = Vec::new();
    for (number, tenth) in affected.chunks(affected.len().div_ceil(10).max(1)).enumerate() {
        terminating.drain(..).for_each(|p| _ = p.control.send(ProcessControl::Kill));
        let sends_sigterm = number % 2 == 0;
        tenth.iter().for_each(|p| {
            _ = p.control.send(if sends_sigterm { ProcessControl::Terminate } else { ProcessControl::Kill })
        });
        if sends_sigterm {
            terminating.extend(tenth);
        }
        sleep((fault.duration.0 / 10).max(TERMINATION_GRACE)).await;
    }
    terminating.iter().for_each(|p| _ = p.control.send(ProcessControl::Kill));
}

/// Returns the faults of a scenario in the order of their starts, without those that conflict with an earlier
/// one. Overlapping outages of a destination would be one outage of an undefined kind, so only the first is
/// injected. The same applies to restarts, kills and pauses of processes, and to overlapping faults of kinds
/// whose end would undo a second fault of the kind.
fn without_conflicts(scenario: &Scenario) -> Vec<InjectedFault> {
    let mut faults = scenario.faults.clone();
    faults.sort_by_key(|fault| fault.start());
    let mut destinations_until: Us = 0;
    let mut processes_until: Us = 0;
    let slow_start = RuleParameters::default().slow_start;
    let mut kinds_until: BTreeMap<FaultKind, Us> = BTreeMap::new();
    faults.retain(|fault| {
        if matches!(fault.kind, FaultKind::Cut | FaultKind::Lower | FaultKind::Lossy | FaultKind::Impatient) {
            let kind_until = kinds_until.entry(fault.kind).or_default();
            let is_free = fault.start() >= *kind_until;
            *kind_until = if is_free { fault.end() } else { *kind_until };
            return is_free;
        }
        if fault.kind.is_outage() || fault.kind == FaultKind::Slow {
            let is_free = fault.start() >= destinations_until;
            destinations_until = if is_free { fault.end() + slow_start } else { destinations_until };
            return is_free;
        }
        if matches!(fault.kind, FaultKind::Restart | FaultKind::Kill | FaultKind::Pause | FaultKind::Roll) {
            let is_free = fault.start() >= processes_until;
            let duration_us = if fault.kind == FaultKind::Roll {
                11 * TERMINATION_GRACE.as_micros() as Us
            } else {
                4_300_000
            };
            // Until the processes run again and have handled their recovered messages and notices.
            processes_until = if is_free {
                fault.end().max(fault.start() + duration_us) + 2_000_000
            } else {
                processes_until
            };
            return is_free;
        }
        true
    });
    faults
}

/// Returns the value of a message of each class by its latency.
fn class_values(scenario: &Scenario) -> Vec<ValueFunction> {
    let value_of_class = |c: &TrafficClass| ValueFunction {
        target_latency: c.wanted_within.0.as_micros() as Us,
        full_value: c.value,
        min_value_fraction: LATE_VALUE_FRACTION,
    };
    scenario.traffic_classes().iter().map(value_of_class).collect()
}

/// Returns the account of slot time and latency, and the fraction of the submitted value that the oracle
/// schedule delivers. Separate from the run, because runs that are only checked need neither.
pub fn account_with_oracle(scenario: &Scenario, seed: u64, run: &ScenarioRun) -> (TimeAccount, f64) {
    let class_values = class_values(scenario);
    (
        account_time(&run.events, &class_values, RuleParameters::default().slow_start),
        oracle_value(scenario, seed, &class_values),
    )
}

/// Returns the fraction of the submitted value that the oracle schedule delivers.
fn oracle_value(scenario: &Scenario, seed: u64, class_values: &[ValueFunction]) -> f64 {
    let oracle = oracle(scenario, seed);
    let (mut submitted, mut delivered) = (0.0, 0.0);
    for arrival in arrivals(scenario, seed) {
        let value = class_values[arrival.class];
        submitted += value.full_value;
        delivered += oracle[arrival.message as usize].map_or(0.0, |latency| value.value_after(latency));
    }
    delivered / f64::max(submitted, 1e-9)
}

async fn simulate(scenario: Scenario, seed: u64, options: RunOptions) -> ScenarioRun {
    let mutation = options.mutation;
    let sim = Simulation::new(&scenario, seed, options);
    let mut initial_list = Vec::new();
    for dest in 1..=u64::from(scenario.destinations) {
        for _ in 0..scenario.endpoints {
            let (number, endpoint) = open_endpoint(&sim, dest, None).await;
            initial_list.push(sim.add_listing(number, endpoint));
        }
    }
    sim.publish(&initial_list);
    sim.agents.iter().for_each(|agent| agent.sent_version.set(initial_list.len()));
    if let Some(injection) = options.fault_point {
        sim.process_states[injection.sender].set_fault_point(injection.fault_point());
    }
    let mut processes = Vec::new();
    for sender in 0..scenario.senders as usize {
        spawn_local(run_discovery_agent(sim.clone(), sender, 0));
        let environment = Rc::new(RefCell::new(EnvironmentVariables {
            listen: Some(sender_address(sender).to_string()),
            discovery: None,
            state: Some("state".into()),
            config: config(&scenario, mutation, sender, 0, seed),
            config_path: "config.json".into(),
        }));
        let (control, control_receiver) = mpsc::unbounded_channel();
        let ready_flag = Rc::new(Cell::new(false));
        spawn_local(run_machine(
            sim.clone(),
            sender,
            environment.clone(),
            ready_flag.clone(),
            control_receiver,
        ));
        processes.push(ProcessHandle { control, environment, is_ready: ready_flag });
    }
    let processes = Rc::new(processes);
    let ready_deadline = Instant::now() + Duration::from_secs(5);
    while !processes.iter().all(|p| p.is_ready.get()) && Instant::now() < ready_deadline {
        sleep(Duration::from_millis(1)).await;
    }
    if let Some(injection) = options.fault_point {
        spawn_local(inject_at_fault_point(sim.clone(), processes.clone(), injection, seed));
    }
    for fault in without_conflicts(&scenario) {
        spawn_local(inject_fault(sim.clone(), processes.clone(), fault, seed));
    }
    let idle_connections = RefCell::new((0..scenario.senders).map(|_| Vec::new()).collect());
    let classes = scenario.traffic_classes();
    let clients =
        Rc::new(Clients { simulation: sim.clone(), host: sim.network.host(None), idle_connections, classes });
    for arrival in arrivals(&scenario, seed) {
        sleep_until(sim.to_instant(arrival.at)).await;
        spawn_local(clients.clone().submit(arrival));
    }
    sleep_until(sim.to_instant(scenario.length.0.as_micros() as Us)).await;
    sleep(scenario.max_message_lifetime() + SETTLE_TIME).await;
    let addresses: BTreeMap<_, _> = sim
        .listings
        .borrow()
        .iter()
        .map(|(number, listing)| (listing.address, (*number, listing.dest)))
        .collect();
    for (at, sender, to) in sim.network.refused_connections() {
        if let Some(&(number, dest)) = addresses.get(&to) {
            let route = sim.destinations[&dest].model.borrow().route_of(number);
            sim.record_at(sim.to_us(at), EventKind::Unreached { sender, dest, route });
        }
    }
    let mut events = sim.events.borrow().clone();
    events.sort_by_key(|e| e.at);
    let dedup_scope = match scenario.dedup_scope {
        Scope::Destination => DedupScope::Everywhere,
        Scope::Zone => DedupScope::InTheRoom,
        Scope::Endpoint => DedupScope::AtTheEndpoint,
    };
    let window = scenario.dedup_window.0.as_micros() as Us;
    let rule_parameters = RuleParameters { dedup_window: window, dedup_scope, ..RuleParameters::default() };
    let mut crashes = sim.crashes.borrow().clone();
    crashes.extend(PANICS.with(|p| p.borrow_mut().take()).unwrap_or_default());
    ScenarioRun {
        violations: judge(&events, rule_parameters),
        score: score(&events, &class_values(&scenario)),
        crashes,
        length: sim.network.started_at().elapsed(),
        counters: sim.process_states.iter().map(|process| process.counters()).collect(),
        peer_datagrams: sim.network.datagrams_sent(),
        events,
    }
}

/// Runs a scenario in simulated time, on this thread. The same scenario and seed give the same run.
///
/// # Errors
/// If the scenario is invalid.
pub fn run_scenario(scenario: &Scenario, seed: u64) -> Result<ScenarioRun, String> {
    run_scenario_with(scenario, seed, RunOptions::default())
}

/// Like [`run_scenario`], with the options in `options`. A run over real sockets takes place in real time and
/// is not deterministic.
///
/// # Errors
/// If the scenario is invalid or the runtime cannot be created.
pub fn run_scenario_with(scenario: &Scenario, seed: u64, options: RunOptions) -> Result<ScenarioRun, String> {
    scenario.validate()?;
    capture_panics();
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = match options.uses_real_sockets {
        true => runtime.enable_all().build(),
        false => runtime.enable_time().start_paused(true).build(),
    };
    let runtime = runtime.map_err(|e| format!("cannot create the runtime: {e}"))?;
    let tasks = LocalSet::new();
    let run = tasks.block_on(&runtime, simulate(scenario.clone(), seed, options));
    // Tasks may hold handles into one another and into the runtime, so they are dropped before it.
    drop(tasks);
    Ok(run)
}

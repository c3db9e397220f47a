//! Shared state of a run: the clock, the event history, the destinations, and discovery's list of endpoints.
use crate::fake_servers::sender_of_membership_address;
use crate::mutation::Mutation;
use crate::network::Network;
use crate::process_run::ProcessRun;
use crate::run_options::RunOptions;
use crate::sim_network::SimNetwork;
use nickelshed_judge::{CallEnd, Event, EventKind, Us};
use nickelshed_model::{random_stream, traffic_shares, Random, Scenario, SimulatedDestination};
use rand::RngExt;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Changes count as notified to a sender no earlier than this long after its discovery agent moved to another
/// port.
const AGENT_MOVE_DELAY_US: Us = 4_000_000;

/// An endpoint as discovery lists it.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    pub name: String,
    pub address: SocketAddr,
    pub dest: u64,
    pub site: usize,
    /// `Ready`, `Terminating` or `Gone`, as in discovery's format.
    pub lifecycle: &'static str,
}

/// State of the discovery agent next to one sender.
#[derive(Default)]
pub struct DiscoveryAgent {
    /// Changes received so far, as indexes into `Simulation::listings`. Their number is the version of the
    /// agent's list.
    pub changes: RefCell<Vec<usize>>,
    pub changed: Notify,
    pub is_muted: Cell<bool>,
    /// Offset of the port at which the agent answers. A new configuration moves the agent to the next port.
    pub port_offset: Cell<u16>,
    /// When the agent last moved to another port.
    pub moved_at: Cell<Option<Us>>,
    /// Version that the sender was sent last.
    pub sent_version: Cell<usize>,
    /// Version up to which all changes count as notified to the sender.
    notified_version: Cell<usize>,
}

/// A simulated destination, with the signals for the connections of its endpoints.
pub struct Destination {
    pub model: RefCell<SimulatedDestination>,
    /// Estimated rate that the list gives for the destination, or for each of its routes, in messages per
    /// second.
    pub estimated_rate: f64,
    /// Notified when all connections are to be reset. Connections are woken in the order in which they began
    /// to wait.
    pub reset_signal: Notify,
    /// Notified when idle connections are to be closed.
    pub idle_close_signal: Notify,
}

/// The shared state of a run.
pub struct Simulation {
    /// The guard that is removed from the senders, if any.
    pub mutation: Option<Mutation>,
    pub network: Network,
    /// State of each sender's processes, by sender.
    pub process_states: Vec<Rc<ProcessRun>>,
    pub scenario: Scenario,
    pub events: RefCell<Vec<Event>>,
    /// Draws the outcomes of calls.
    pub random: RefCell<Random>,
    /// Draws which answers are copied, so that copies leave the outcomes of calls unchanged.
    pub copy_random: RefCell<Random>,
    /// Destinations by number, from 1.
    pub destinations: BTreeMap<u64, Destination>,
    /// Every listing of every endpoint so far, in order, each with the number of the endpoint.
    pub listings: RefCell<Vec<(usize, ListedEndpoint)>>,
    pub agents: Vec<DiscoveryAgent>,
    pub next_endpoint: Cell<usize>,
    /// Site of each endpoint, including those that have been removed.
    pub endpoint_sites: RefCell<BTreeMap<usize, usize>>,
    pub next_call: Cell<u64>,
    /// Until this time clients use a short timeout and resubmit almost at once.
    pub clients_impatient_until: Cell<Us>,
    /// Until this time endpoints close new connections right after accepting them.
    pub new_connections_closed_until: Cell<Us>,
    /// Notified when all clients that wait for an answer are to disconnect.
    pub client_disconnect_signal: Notify,
    /// Errors with which senders exited on their own, and malformed requests that senders accepted.
    pub crashes: RefCell<Vec<String>>,
}

impl Simulation {
    pub fn new(scenario: &Scenario, seed: u64, options: RunOptions) -> Rc<Simulation> {
        let shares = traffic_shares(scenario);
        let mut random = random_stream(seed, 3);
        let destination = |(i, share): (usize, &f64)| {
            let mut model = SimulatedDestination::new(scenario, scenario.rate * share);
            // Adds as many endpoints as the destination will have, to learn its capacity before they are
            // listed. They are removed again below.
            (0..scenario.endpoints as usize).for_each(|e| model.add_endpoint(usize::MAX - e, 0));
            let capacity: f64 = model.routes().into_iter().map(|r| model.capacity(r)).sum();
            let routes = model.routes().len().max(1) as f64;
            // The rate of each route if endpoints are separate routes, otherwise of the destination.
            let estimated_rate = capacity / routes * random.random_range(0.8..1.25);
            (0..scenario.endpoints as usize).for_each(|e| model.remove_endpoint(usize::MAX - e));
            (
                i as u64 + 1,
                Destination {
                    model: RefCell::new(model),
                    estimated_rate,
                    reset_signal: Notify::new(),
                    idle_close_signal: Notify::new(),
                },
            )
        };
        let network = SimNetwork::new(scenario.latency.0);
        let kill_point = |sender: usize| options.kill.filter(|k| k.sender == sender).map(|k| k.point);
        Rc::new(Simulation {
            mutation: options.mutation,
            network: if options.uses_real_sockets {
                Network::real(network)
            } else {
                Network::simulated(network)
            },
            process_states: (0..scenario.senders as usize)
                .map(|s| Rc::new(ProcessRun::new(s, kill_point(s))))
                .collect(),
            scenario: scenario.clone(),
            events: RefCell::default(),
            random: RefCell::new(random_stream(seed, 2)),
            copy_random: RefCell::new(random_stream(seed, 7)),
            destinations: shares.iter().enumerate().map(destination).collect(),
            listings: RefCell::default(),
            agents: (0..scenario.senders).map(|_| DiscoveryAgent::default()).collect(),
            next_endpoint: Cell::new(0),
            endpoint_sites: RefCell::default(),
            next_call: Cell::new(0),
            clients_impatient_until: Cell::new(0),
            new_connections_closed_until: Cell::new(0),
            client_disconnect_signal: Notify::new(),
            crashes: RefCell::default(),
        })
    }

    pub fn now(&self) -> Us {
        self.to_us(Instant::now())
    }

    pub fn to_us(&self, at: Instant) -> Us {
        at.saturating_duration_since(self.network.started_at()).as_micros() as Us
    }

    pub fn to_instant(&self, at: Us) -> Instant {
        self.network.started_at() + Duration::from_micros(at)
    }

    pub fn record(&self, event_kind: EventKind) {
        self.record_at(self.now(), event_kind);
    }

    pub fn are_clients_impatient(&self) -> bool {
        self.now() < self.clients_impatient_until.get()
    }

    /// Index of the event that was recorded last.
    pub fn last_event_index(&self) -> usize {
        self.events.borrow().len().saturating_sub(1)
    }

    /// Clears the `Retry-After` wait of a recorded answer that did not reach its sender.
    pub fn clear_reported_wait(&self, event: usize) {
        if let Some(EventKind::Over { end: CallEnd::Answered { retry_after: reported_wait, .. }, .. }) =
            self.events.borrow_mut().get_mut(event).map(|e| &mut e.kind)
        {
            *reported_wait = 0;
        }
    }

    /// Records an event at a given time. The history is sorted by time at the end of the run.
    pub fn record_at(&self, at: Us, event_kind: EventKind) {
        self.events.borrow_mut().push(Event { at, kind: event_kind });
    }

    /// Adds a listing of an endpoint. Returns its index, which [`Simulation::publish`] sends to the agents.
    pub fn add_listing(&self, endpoint: usize, listing: ListedEndpoint) -> usize {
        let mut listings = self.listings.borrow_mut();
        listings.push((endpoint, listing));
        listings.len() - 1
    }

    /// Sends changes, given as indices into `listings`, to all agents. They count as notified to the sender
    /// of each agent that is not muted, whether or not the sender asks for them.
    pub fn publish(&self, changes: &[usize]) {
        for (sender, agent) in self.agents.iter().enumerate() {
            agent.changes.borrow_mut().extend(changes);
            if !agent.is_muted.get() {
                self.record_notified(sender, changes);
                agent.notified_version.set(agent.changes.borrow().len());
            }
            agent.changed.notify_waiters();
        }
    }

    /// Lets all agents answer again. Changes that they received while muted count as notified from now on.
    pub fn unmute_agents(&self) {
        for (sender, agent) in self.agents.iter().enumerate() {
            agent.is_muted.set(false);
            let unsent = agent.changes.borrow()[agent.sent_version.get()..].to_vec();
            self.record_notified(sender, &unsent);
            agent.notified_version.set(agent.changes.borrow().len());
            agent.changed.notify_waiters();
        }
    }

    /// Records that a sender was notified of changes: now, or `AGENT_MOVE_DELAY_US` after its agent moved if
    /// that is later.
    fn record_notified(&self, sender: usize, changes: &[usize]) {
        let earliest = self.agents[sender].moved_at.get().map_or(0, |at| at + AGENT_MOVE_DELAY_US);
        for &change in changes {
            let (endpoint, accepts_new_calls) = {
                let listings = self.listings.borrow();
                (listings[change].0, listings[change].1.lifecycle == "Ready")
            };
            self.record_at(
                self.now().max(earliest),
                EventKind::Told { sender, endpoint, accepts_calls: accepts_new_calls },
            );
        }
    }

    /// Returns the latest entry of each endpoint within a range of an agent's versions, and whether the
    /// endpoint accepts new calls. A full list leaves out endpoints that have been removed.
    pub fn latest_entries(
        &self,
        sender: usize,
        versions: Range<usize>,
        is_full_list: bool,
    ) -> BTreeMap<usize, (Value, bool)> {
        let mut latest = BTreeMap::new();
        for change in &self.agents[sender].changes.borrow()[versions] {
            let (endpoint, entry, accepts_new_calls) = self.discovery_entry(*change);
            latest.insert(endpoint, (entry, accepts_new_calls));
        }
        if is_full_list {
            latest.retain(|_, (entry, _)| entry["lifecycle"] != "Gone");
        }
        latest
    }

    /// Whether a partition of the first site separates a sender from the endpoint or the other sender at the
    /// address `to`: exactly one of the two is at the first site.
    pub fn is_partitioned_by_site(&self, sender: usize, to: SocketAddr) -> bool {
        let site = sender_of_membership_address(to).map(|other| self.scenario.site_of(other)).or_else(|| {
            let listings = self.listings.borrow();
            listings.iter().rev().find(|(_, listing)| listing.address == to).map(|(_, listing)| listing.site)
        });
        site.is_some_and(|site| (site == 0) != (self.scenario.site_of(sender) == 0))
    }

    /// Returns the endpoint list with which a sender's next process starts: the version that the sender was
    /// sent last. While the agent is muted, the list has all changes that count as notified, because a
    /// process that was just ending when they came cannot learn them in any other way.
    pub fn known_list(&self, sender: usize) -> Value {
        let agent = &self.agents[sender];
        let version =
            agent.sent_version.get().max(if agent.is_muted.get() { agent.notified_version.get() } else { 0 });
        let instances: Vec<Value> =
            self.latest_entries(sender, 0..version, true).into_values().map(|(e, _)| e).collect();
        json!({"generation": version, "reset": true, "instances": instances})
    }

    /// Returns the endpoint of a listing, its entry in discovery's format, and whether it accepts new calls.
    fn discovery_entry(&self, change: usize) -> (usize, Value, bool) {
        let listings = self.listings.borrow();
        let (endpoint, listing) = &listings[change];
        let lifecycle =
            if self.mutation == Some(Mutation::IgnoresDrains) { "Ready" } else { listing.lifecycle };
        let entry = json!({"instanceId": listing.name, "hostPort": listing.address.to_string(), "zone": format!("room-{}", listing.site),
            "machineType": "plain", "cell": listing.dest, "lifecycle": lifecycle,
            "weight": self.destinations[&listing.dest].estimated_rate, "startedAtMs": 0});
        (*endpoint, entry, listing.lifecycle == "Ready")
    }
}

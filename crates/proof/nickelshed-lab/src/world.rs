//! A day's shared state: its time, its history, its customer systems, and the list of endpoints as discovery has it.
use crate::lie::Lie;
use crate::manner::Manner;
use crate::net::Net;
use crate::process_run::ProcessRun;
use crate::stands::sender_of_notes;
use crate::wire::Machines;
use nickelshed_judge::{Event, How, Us, What};
use nickelshed_model::{shares, stream, Random, Scenario, System};
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

/// What an agent has to tell after it has moved counts as told this much later.
const MOVED: Us = 4_000_000;

/// An endpoint as the list names it.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub address: SocketAddr,
    pub dest: u64,
    pub room: usize,
    pub lifecycle: &'static str,
}

/// What discovery's agent beside one sender has been sent.
#[derive(Default)]
pub struct Agent {
    /// The changes in their order; a change's number is its version.
    pub changes: RefCell<Vec<usize>>,
    pub news: Notify,
    pub mute: Cell<bool>,
    /// Where it answers; moved by a new configuration.
    pub home: Cell<u16>,
    /// When it last moved: what it has to tell counts so much later.
    pub moved: Cell<Option<Us>>,
    /// The version that its sender was told last.
    pub told: Cell<usize>,
    /// The version up to which all counts as told to its sender.
    counted: Cell<usize>,
}

/// A customer system with what its endpoints' connections need to know.
pub struct Destination {
    pub system: RefCell<System>,
    /// What the list says of its rate: a rough figure.
    pub hint: f64,
    /// Told when connections are to be reset; those who wait are woken in the order in which they came.
    pub resets: Notify,
    /// Told when those that stand idle are to be closed.
    pub closes: Notify,
}

pub struct World {
    /// What its senders are lied to about.
    pub lie: Option<Lie>,
    pub net: Machines,
    /// Of each sender's processes.
    pub lives: Vec<Rc<ProcessRun>>,
    pub scenario: Scenario,
    pub events: RefCell<Vec<Event>>,
    pub random: RefCell<Random>,
    /// By number, from 1.
    pub destinations: BTreeMap<u64, Destination>,
    /// Every state that an endpoint was ever listed with, in order.
    pub list: RefCell<Vec<(usize, Place)>>,
    pub agents: Vec<Agent>,
    pub next_endpoint: Cell<usize>,
    /// Where each endpoint that ever was stands.
    pub rooms: RefCell<BTreeMap<usize, usize>>,
    pub next_call: Cell<u64>,
    /// Until then clients have no patience.
    pub impatient: Cell<Us>,
    /// Until then endpoints end new connections as they take them.
    pub ends_new: Cell<Us>,
    /// Told when clients leave that wait for an answer.
    pub leave: Notify,
    /// Why a sender ended by itself.
    pub crashes: RefCell<Vec<String>>,
}

impl World {
    pub fn new(scenario: &Scenario, seed: u64, manner: Manner) -> Rc<World> {
        let shares = shares(scenario);
        let mut random = stream(seed, 3);
        let destination = |(i, share): (usize, &f64)| {
            let mut system = System::new(scenario, scenario.rate * share);
            // As many as it will have, so that its capacity is known before they are listed.
            (0..scenario.endpoints as usize).for_each(|e| system.add(usize::MAX - e, 0));
            let capacity: f64 = system.routes().into_iter().map(|r| system.capacity(r)).sum();
            let routes = system.routes().len().max(1) as f64;
            // Of one route, where they are apart.
            let hint = capacity / routes * random.random_range(0.8..1.25);
            (0..scenario.endpoints as usize).for_each(|e| system.remove(usize::MAX - e));
            (
                i as u64 + 1,
                Destination {
                    system: RefCell::new(system),
                    hint,
                    resets: Notify::new(),
                    closes: Notify::new(),
                },
            )
        };
        let net = Net::new(scenario.latency.0);
        let cut = |sender: usize| manner.kill.filter(|k| k.sender == sender).map(|k| k.cut);
        Rc::new(World {
            lie: manner.lie,
            net: if manner.over_sockets { Machines::real(net) } else { Machines::simulated(net) },
            lives: (0..scenario.senders as usize).map(|s| Rc::new(ProcessRun::new(s, cut(s)))).collect(),
            scenario: scenario.clone(),
            events: RefCell::default(),
            random: RefCell::new(stream(seed, 2)),
            destinations: shares.iter().enumerate().map(destination).collect(),
            list: RefCell::default(),
            agents: (0..scenario.senders).map(|_| Agent::default()).collect(),
            next_endpoint: Cell::new(0),
            rooms: RefCell::default(),
            next_call: Cell::new(0),
            impatient: Cell::new(0),
            ends_new: Cell::new(0),
            leave: Notify::new(),
            crashes: RefCell::default(),
        })
    }

    pub fn now(&self) -> Us {
        self.us(Instant::now())
    }

    pub fn us(&self, at: Instant) -> Us {
        at.saturating_duration_since(self.net.start()).as_micros() as Us
    }

    pub fn instant(&self, at: Us) -> Instant {
        self.net.start() + Duration::from_micros(at)
    }

    pub fn note(&self, what: What) {
        self.note_at(self.now(), what);
    }

    pub fn is_impatient(&self) -> bool {
        self.now() < self.impatient.get()
    }

    pub fn last_event(&self) -> usize {
        self.events.borrow().len().saturating_sub(1)
    }

    /// The wait that an answer told has reached nobody.
    pub fn unsay_wait(&self, event: usize) {
        if let Some(What::Over { how: How::Answered { wait, .. }, .. }) =
            self.events.borrow_mut().get_mut(event).map(|e| &mut e.what)
        {
            *wait = 0;
        }
    }

    /// The history is put in order at the end of the day.
    pub fn note_at(&self, at: Us, what: What) {
        self.events.borrow_mut().push(Event { at, what });
    }

    /// Lists an endpoint anew, for agents that hear of it at once.
    pub fn list(&self, endpoint: usize, place: Place) -> usize {
        let mut list = self.list.borrow_mut();
        list.push((endpoint, place));
        list.len() - 1
    }

    /// Sends changes to all agents. What an agent has counts as told to its sender, whether or not that asks.
    pub fn tell(&self, changes: &[usize]) {
        for (sender, agent) in self.agents.iter().enumerate() {
            agent.changes.borrow_mut().extend(changes);
            if !agent.mute.get() {
                self.count_as_told(sender, changes);
                agent.counted.set(agent.changes.borrow().len());
            }
            agent.news.notify_waiters();
        }
    }

    /// Discovery speaks again: what its agents were sent meanwhile is theirs to tell from now on.
    pub fn unmute(&self) {
        for (sender, agent) in self.agents.iter().enumerate() {
            agent.mute.set(false);
            let untold = agent.changes.borrow()[agent.told.get()..].to_vec();
            self.count_as_told(sender, &untold);
            agent.counted.set(agent.changes.borrow().len());
            agent.news.notify_waiters();
        }
    }

    fn count_as_told(&self, sender: usize, changes: &[usize]) {
        let moved = self.agents[sender].moved.get().map_or(0, |at| at + MOVED);
        for &change in changes {
            let (endpoint, open) = {
                let list = self.list.borrow();
                (list[change].0, list[change].1.lifecycle == "Ready")
            };
            self.note_at(self.now().max(moved), What::Told { sender, endpoint, open });
        }
    }

    /// What endpoints are by a stretch of the versions that an agent has, with whether each takes new work. In a whole
    /// list only what is there now counts.
    pub fn entries(
        &self,
        sender: usize,
        versions: Range<usize>,
        whole: bool,
    ) -> BTreeMap<usize, (Value, bool)> {
        let mut last = BTreeMap::new();
        for change in &self.agents[sender].changes.borrow()[versions] {
            let (endpoint, entry, open) = self.entry(*change);
            last.insert(endpoint, (entry, open));
        }
        if whole {
            last.retain(|_, (entry, _)| entry["lifecycle"] != "Gone");
        }
        last
    }

    /// Whether one of the two, a sender and an endpoint or another sender's notes, stands in the first room and the other one
    /// does not.
    pub fn are_apart(&self, sender: usize, to: SocketAddr) -> bool {
        let room = sender_of_notes(to).map(|other| self.scenario.room(other)).or_else(|| {
            let list = self.list.borrow();
            list.iter().rev().find(|(_, place)| place.address == to).map(|(_, place)| place.room)
        });
        room.is_some_and(|room| (room == 0) != (self.scenario.room(sender) == 0))
    }

    /// The list as a sender last had it, for its next process. While its agent says nothing it holds all that counts as
    /// told: a process that was just ending when that came could not learn it from anybody.
    pub fn known(&self, sender: usize) -> Value {
        let agent = &self.agents[sender];
        let told = agent.told.get().max(if agent.mute.get() { agent.counted.get() } else { 0 });
        let instances: Vec<Value> =
            self.entries(sender, 0..told, true).into_values().map(|(e, _)| e).collect();
        json!({"generation": told, "reset": true, "instances": instances})
    }

    /// An entry of the list in discovery's form.
    fn entry(&self, change: usize) -> (usize, Value, bool) {
        let list = self.list.borrow();
        let (endpoint, place) = &list[change];
        let told = if self.lie == Some(Lie::IgnoresDrains) { "Ready" } else { place.lifecycle };
        let entry = json!({"instanceId": place.name, "hostPort": place.address.to_string(), "zone": format!("room-{}", place.room),
            "machineType": "plain", "cell": place.dest, "lifecycle": told,
            "weight": self.destinations[&place.dest].hint, "startedAtMs": 0});
        (*endpoint, entry, place.lifecycle == "Ready")
    }
}

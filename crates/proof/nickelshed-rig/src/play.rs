//! A script played by members in virtual time: a network that loses, delays, repeats and cuts, and processes that are
//! stopped, killed and started again. The same script and seed give the same day.
use crate::script::{Fault, Kind, Script};
use crate::truth::Truth;
use nickelshed_fleet::parts::Parts;
use nickelshed_fleet::{Change, Config, Counts, Facts, Fleet, Input, Ns, Output, Random, Seal};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

pub const MS: Ns = 1_000_000;
pub const SECOND: Ns = 1_000 * MS;
/// What each may send, in bytes a second.
pub const RATE: u32 = 8_192;
/// Datagrams that wait for a process that stands still.
const SOCKET_BUFFER: usize = 400;
/// How often it is looked whether all views are right.
const LOOK: Ns = 50 * MS;

/// One member's machine.
struct Machine {
    name: String,
    address: SocketAddr,
    site: usize,
    /// The start that its folder holds.
    kept: u32,
    fleet: Option<Fleet>,
    parts: Parts,
    part: f64,
    stopped_until: Ns,
    waiting: Vec<(SocketAddr, Vec<u8>)>,
    wakes: Ns,
    /// Counts of its processes that have ended.
    before: Counts,
    ran_since: Ns,
    ran: Ns,
}

enum What {
    Arrives { from: SocketAddr, to: SocketAddr, bytes: Vec<u8> },
    Wake { machine: usize, at: Ns },
    Continue(usize),
    Begin(usize),
    End(usize),
    Look,
    Flood(usize),
}

/// A change that a member saw in its view.
#[derive(Clone, Debug)]
pub struct Seeing {
    pub at: Ns,
    pub by: usize,
    pub of: String,
    pub change: Change,
    /// Whether the other ran and could be reached then, and had for some seconds.
    pub wrongly: bool,
}

/// What a day came to.
#[derive(Clone, Debug, Default)]
pub struct Day {
    pub seeings: Vec<Seeing>,
    /// For each moment at which something began or ended, how long until all views were right, if they ever were before
    /// the next one.
    pub settled: Vec<(Ns, Option<Ns>)>,
    /// The most that the parts of running members added up to, and when.
    pub most_parts: (f64, Ns),
    /// The sum of parts at each second.
    pub parts: Vec<f64>,
    /// Datagrams and bytes a second that each member sent while it ran.
    pub datagrams: Vec<f64>,
    pub bytes: Vec<f64>,
    pub dropped: u64,
    pub names_taken: usize,
    pub verdicts: u64,
    /// What is still wrong at the end, in words.
    pub wrong: Option<String>,
}

impl Day {
    /// Members that were declared gone though they ran and could be reached.
    #[must_use]
    pub fn wrongly_gone(&self) -> usize {
        self.seeings.iter().filter(|s| s.change == Change::Gone && s.wrongly).count()
    }
}

struct Play<'a> {
    script: &'a Script,
    random: Random,
    now: Ns,
    tie: u64,
    queue: BinaryHeap<Reverse<(Ns, u64, usize)>>,
    whats: BTreeMap<usize, What>,
    next_what: usize,
    machines: Vec<Machine>,
    at: BTreeMap<SocketAddr, usize>,
    truth: Truth,
    day: Day,
    /// Since when something is not settled.
    unsettled: Option<Ns>,
    room: f64,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 5, (number / 250) as u8, (number % 250) as u8 + 1], 7_400))
}

fn seal() -> Seal {
    Seal::new("rig", b"a key for tests only")
}

/// Plays a script to its end.
#[must_use]
pub fn play(script: &Script) -> Day {
    let mut play = Play {
        script,
        random: Random::new(script.seed),
        now: 0,
        tie: 0,
        queue: BinaryHeap::new(),
        whats: BTreeMap::new(),
        next_what: 0,
        machines: Vec::new(),
        at: BTreeMap::new(),
        truth: Truth::default(),
        day: Day::default(),
        unsettled: Some(0),
        room: 0.0,
    };
    play.run();
    play.day
}

impl Play<'_> {
    fn run(&mut self) {
        for number in 0..self.script.members {
            self.machine(format!("n{number}"), address(number), self.script.site(number));
        }
        let late: BTreeSet<usize> = self
            .script
            .faults
            .iter()
            .filter(|f| f.kind == Kind::Join)
            .flat_map(|f| f.who.0.clone())
            .collect();
        for number in (0..self.script.members).filter(|n| !late.contains(n)) {
            self.start(number);
        }
        for (number, fault) in self.script.faults.iter().enumerate() {
            self.later(fault.at.ns(), What::Begin(number));
            if fault.lasts.ns() > 0 {
                self.later(fault.at.ns() + fault.lasts.ns(), What::End(number));
            }
        }
        self.later(LOOK, What::Look);
        let end = self.script.length.ns();
        while let Some(Reverse((at, _, key))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let what = self.whats.remove(&key).expect("each has its place in the queue once");
            self.happen(what);
        }
        self.now = end;
        if let Some(since) = self.unsettled {
            self.day.settled.push((since, None));
            self.day.wrong = self.wrong();
        }
        for number in 0..self.machines.len() {
            self.tally(number);
            let m = &self.machines[number];
            let seconds = (m.ran as f64 / 1e9).max(1e-9);
            self.day.datagrams.push(m.before.sent as f64 / seconds);
            self.day.bytes.push(m.before.sent_bytes as f64 / seconds);
            self.day.dropped += m.before.dropped.values().sum::<u64>();
            self.day.verdicts += m.before.verdicts;
        }
    }

    fn machine(&mut self, name: String, address: SocketAddr, site: usize) -> usize {
        let number = self.machines.len();
        self.machines.push(Machine {
            name,
            address,
            site,
            kept: 0,
            fleet: None,
            parts: Parts::new(1, 0),
            part: 0.0,
            stopped_until: 0,
            waiting: Vec::new(),
            wakes: Ns::MAX,
            before: Counts::default(),
            ran_since: 0,
            ran: 0,
        });
        self.at.insert(address, number);
        number
    }

    fn later(&mut self, at: Ns, what: What) {
        let key = self.next_what;
        self.next_what += 1;
        self.tie += 1;
        self.whats.insert(key, what);
        self.queue.push(Reverse((at, self.tie, key)));
    }

    fn start(&mut self, number: usize) {
        let seed = self.random.draw();
        let seeds = (0..self.script.seeds).map(address).collect();
        let m = &mut self.machines[number];
        m.kept += 1;
        let facts = Facts {
            name: m.name.clone(),
            address: m.address,
            site: format!("site-{}", m.site),
            version: [0, 2, 0],
            settings: 7,
        };
        let config = Config { facts, start: m.kept, seeds, seal: seal(), rate: RATE, seed };
        m.fleet = Some(Fleet::new(config, self.now));
        // The settings of a deployment name as many as are planned.
        m.parts = Parts::new(self.script.members, self.now);
        m.part = 1.0 / m.parts.senders();
        (m.stopped_until, m.ran_since) = (0, self.now);
        m.waiting.clear();
        self.truth.start(number, self.now);
        self.wake(number);
    }

    fn end(&mut self, number: usize) {
        self.tally(number);
        self.machines[number].fleet = None;
        self.machines[number].part = 0.0;
        self.truth.end(number, self.now);
    }

    fn tally(&mut self, number: usize) {
        let now = self.now;
        let m = &mut self.machines[number];
        if let Some(fleet) = &m.fleet {
            let counts = fleet.counts();
            m.before.sent += counts.sent;
            m.before.sent_bytes += counts.sent_bytes;
            m.before.verdicts += counts.verdicts;
            for (why, times) in counts.dropped {
                *m.before.dropped.entry(why).or_default() += times;
            }
            m.ran += now - m.ran_since;
            m.ran_since = now;
        }
    }

    /// Has a machine's timer come when its process asks for it.
    fn wake(&mut self, number: usize) {
        let Some(fleet) = &self.machines[number].fleet else { return };
        let at = fleet.wake_at().max(self.now + MS);
        if at < Ns::MAX && at != self.machines[number].wakes {
            self.machines[number].wakes = at;
            self.later(at, What::Wake { machine: number, at });
        }
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Arrives { from, to, bytes } => {
                let Some(&number) = self.at.get(&to) else { return };
                let m = &mut self.machines[number];
                if m.stopped_until > self.now {
                    if m.waiting.len() < SOCKET_BUFFER {
                        m.waiting.push((from, bytes));
                    }
                    return;
                }
                self.tell(number, Input::Datagram { from, bytes: &bytes });
            }
            What::Wake { machine, at } => {
                if self.machines[machine].wakes == at && self.machines[machine].stopped_until <= self.now {
                    self.machines[machine].wakes = Ns::MAX;
                    self.tell(machine, Input::Timer);
                }
            }
            What::Continue(number) => {
                let m = &mut self.machines[number];
                if m.stopped_until != self.now || m.fleet.is_none() {
                    return;
                }
                let waiting = std::mem::take(&mut m.waiting);
                self.truth.resume(number, self.now);
                // Its timers are due, and its socket is full: which comes first is the runtime's choice.
                self.tell(number, Input::Timer);
                for (from, bytes) in waiting {
                    self.tell(number, Input::Datagram { from, bytes: &bytes });
                }
            }
            What::Begin(fault) => {
                let fault = &self.script.faults[fault];
                self.begin(fault);
                self.unsettle();
            }
            What::End(number) => {
                let fault = &self.script.faults[number];
                self.over(fault);
                self.unsettle();
            }
            What::Look => {
                self.look();
                self.later(self.now + LOOK, What::Look);
            }
            What::Flood(fault) => self.flood(fault),
        }
    }

    fn is_active(&self, fault: &Fault) -> bool {
        let (from, lasts) = (fault.at.ns(), fault.lasts.ns());
        self.now >= from && (lasts == 0 || self.now < from + lasts)
    }

    fn unsettle(&mut self) {
        if let Some(since) = self.unsettled.replace(self.now) {
            self.day.settled.push((since, None));
        }
    }

    fn begin(&mut self, fault: &Fault) {
        for &number in &fault.who.0 {
            match fault.kind {
                Kind::Stop => {
                    let until = self.now + fault.lasts.ns();
                    self.machines[number].stopped_until = until;
                    self.truth.stop(number, self.now);
                    self.later(until, What::Continue(number));
                }
                Kind::Kill => {
                    self.end(number);
                    if fault.folder_lost {
                        self.machines[number].kept = 0;
                    }
                }
                Kind::Leave => {
                    self.tell(number, Input::Leave);
                    self.end(number);
                }
                Kind::Join => self.start(number),
                Kind::Double => {
                    let name = self.machines[number].name.clone();
                    let (site, kept) = (self.machines[number].site, self.machines[number].kept);
                    let double = self.machine(name, address(1_000 + number), site);
                    self.machines[double].kept = kept - 1;
                    self.start(double);
                }
                Kind::Replace => {
                    self.end(number);
                    let (at, site) = (self.machines[number].address, self.machines[number].site);
                    let other = self.machine(format!("other-{number}"), at, site);
                    self.start(other);
                }
                Kind::Flood => {
                    let fault =
                        self.script.faults.iter().position(|f| f == fault).expect("it is one of them");
                    self.later(self.now, What::Flood(fault));
                }
                Kind::Cut | Kind::Lossy | Kind::Slow => {}
            }
        }
        self.cuts();
    }

    fn over(&mut self, fault: &Fault) {
        for &number in &fault.who.0 {
            if matches!(fault.kind, Kind::Kill | Kind::Leave) {
                self.start(number);
            }
        }
        self.cuts();
    }

    /// Tells the truth who can reach whom now.
    fn cuts(&mut self) {
        let all = self.machines.len();
        let faults: Vec<&Fault> =
            self.script.faults.iter().filter(|f| f.kind == Kind::Cut && self.is_active(f)).collect();
        let mut cut = BTreeSet::new();
        for fault in faults {
            for &a in &fault.who.0 {
                let others: Vec<usize> = fault
                    .to
                    .as_ref()
                    .map_or_else(|| (0..all).filter(|n| !fault.who.0.contains(n)).collect(), |w| w.0.clone());
                for b in others {
                    cut.insert((a, b));
                    if !fault.one_way {
                        cut.insert((b, a));
                    }
                }
            }
        }
        self.truth.cut(cut, self.now);
    }

    /// Three kinds of what is none of this fleet's, at two hundred a second.
    fn flood(&mut self, fault: usize) {
        let spec = &self.script.faults[fault];
        if !self.is_active(spec) {
            return;
        }
        let from = address(2_000);
        for &number in &spec.who.0 {
            let own = Facts {
                name: "x".into(),
                address: from,
                site: String::new(),
                version: [9, 9, 9],
                settings: 0,
            };
            let other = match self.random.below(4) {
                0 => Seal::new("another", b"a key for tests only"),
                _ => Seal::new("rig", b"another key"),
            };
            let config = Config {
                facts: own,
                start: 1,
                seeds: vec![address(number)],
                seal: other,
                rate: RATE,
                seed: 1,
            };
            let mut out = Vec::new();
            Fleet::new(config, 0).handle(SECOND / 8, Input::Timer, &mut out);
            for output in out {
                if let Output::Send { mut bytes, .. } = output {
                    match self.random.below(4) {
                        0 => bytes.truncate(self.random.below(40) as usize),
                        1 => bytes[0] = 9,
                        _ => {}
                    }
                    self.later(self.now, What::Arrives { from, to: address(number), bytes });
                }
            }
        }
        self.later(self.now + 5 * MS, What::Flood(fault));
    }

    fn tell(&mut self, number: usize, input: Input<'_>) {
        let mut out = Vec::new();
        let now = self.now;
        if let Some(fleet) = &mut self.machines[number].fleet {
            fleet.handle(now, input, &mut out);
        }
        let mut changed = false;
        for output in out {
            match output {
                Output::Send { to, bytes } => self.send(number, to, bytes),
                Output::Keep { start } => self.machines[number].kept = start,
                Output::Changed { name, change, .. } => {
                    changed = true;
                    let other = self.machines.iter().position(|m| m.name == name && m.fleet.is_some());
                    let wrongly = other.is_some_and(|o| self.truth.has_long_reached(number, o, now));
                    self.day.seeings.push(Seeing { at: now, by: number, of: name, change, wrongly });
                }
                Output::NameTaken { .. } => {
                    self.day.names_taken += 1;
                    // An operator ends it: it says nothing any more.
                    self.end(number);
                }
                Output::StoodStill { .. } => changed = true,
            }
        }
        if changed {
            self.see(number);
        }
        self.wake(number);
    }

    fn see(&mut self, number: usize) {
        let (now, room) = (self.now, self.room);
        let m = &mut self.machines[number];
        let Some(fleet) = &m.fleet else { return };
        let seen = fleet.seen();
        m.parts.room(now, room);
        m.parts.see(now, &seen);
        m.part = 1.0 / m.parts.senders();
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        assert!(bytes.len() <= nickelshed_fleet::MOST, "a datagram of {} bytes", bytes.len());
        let Some(&receiver) = self.at.get(&to) else { return };
        let mut lost = self.script.lost.0;
        let mut by = 0;
        for fault in self.script.faults.iter().filter(|f| self.is_active(f)) {
            let meets = fault.who.0.contains(&from) || fault.who.0.contains(&receiver);
            match fault.kind {
                Kind::Lossy if meets => lost = 1.0 - (1.0 - lost) * (1.0 - fault.part.0),
                Kind::Slow if meets => by += fault.by.ns(),
                _ => {}
            }
        }
        let copies = 1 + usize::from(self.random.chance(self.script.twice.0));
        let [least, most] = self.script.latency.map(|p| p.ns());
        let from_address = self.machines[from].address;
        for _ in 0..copies {
            let late = least + self.random.below(most - least + by + 1);
            if self.random.chance(lost) || self.truth.is_cut(from, receiver) {
                continue;
            }
            self.later(self.now + late, What::Arrives { from: from_address, to, bytes: bytes.clone() });
        }
    }

    /// Whether all views are right, and what parts add up to.
    fn look(&mut self) {
        if self.now % SECOND < LOOK {
            for number in 0..self.machines.len() {
                if self.machines[number].stopped_until <= self.now {
                    self.see(number);
                }
            }
        }
        let sum: f64 = self.machines.iter().filter(|m| m.stopped_until <= self.now).map(|m| m.part).sum();
        self.room = (1.0 - sum).max(0.0);
        if sum > self.day.most_parts.0 {
            self.day.most_parts = (sum, self.now);
        }
        if self.now % SECOND < LOOK {
            self.day.parts.push(sum);
        }
        if let Some(since) = self.unsettled {
            if self.wrong().is_none() {
                self.day.settled.push((since, Some(self.now - since)));
                self.unsettled = None;
            }
        }
    }

    /// The first view that does not hold exactly those that it should.
    fn wrong(&self) -> Option<String> {
        for (number, m) in self.machines.iter().enumerate() {
            let Some(fleet) = &m.fleet else { continue };
            if m.stopped_until > self.now || self.truth.only_hears(number) {
                continue;
            }
            let mut present: Vec<&str> = fleet
                .members()
                .filter(|m| m.claim.state.is_present())
                .map(|m| m.facts.name.as_str())
                .chain([m.name.as_str()])
                .collect();
            let mut should: Vec<&str> =
                self.truth.reached_by(number).map(|n| self.machines[n].name.as_str()).collect();
            present.sort_unstable();
            should.sort_unstable();
            should.dedup();
            if present != should {
                let more: Vec<_> = present.iter().filter(|p| !should.contains(p)).collect();
                let less: Vec<_> = should.iter().filter(|s| !present.contains(s)).collect();
                return Some(format!("{} holds {more:?} too many and lacks {less:?}", m.name));
            }
        }
        None
    }
}

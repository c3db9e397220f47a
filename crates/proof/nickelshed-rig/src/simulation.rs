//! Simulates a script in virtual time: a network that loses, delays, duplicates and blocks datagrams, and
//! processes that are stopped, killed and restarted. The same script and seed give the same run.
use crate::ground_truth::GroundTruth;
use crate::script::{Fault, FaultKind, Script};
use nickelshed_fleet::quota::LimitQuota;
use nickelshed_fleet::{Authenticator, Change, Config, Counts, Fleet, Input, MemberInfo, Ns, Output, Random};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

pub const MS: Ns = 1_000_000;
pub const SECOND: Ns = 1_000 * MS;
/// Limit on what each member sends.
pub const RATE_BYTES_PER_S: u32 = 8_192;
/// Maximum number of datagrams queued at the socket of a stalled process. Further ones are dropped.
const MAX_SOCKET_QUEUE: usize = 400;
/// How often all views are checked.
const CHECK_INTERVAL: Ns = 50 * MS;

/// One member: its state folder, its socket and its process, if it runs.
struct SimulatedMember {
    name: String,
    address: SocketAddr,
    site: usize,
    /// The start number in its state folder.
    persisted_start: u32,
    fleet: Option<Fleet>,
    quota: LimitQuota,
    /// Fraction of each limit that the member may use, from its quota; 0 while it does not run.
    share: f64,
    stalled_until: Ns,
    socket_queue: Vec<(SocketAddr, Vec<u8>)>,
    /// Time of its next timer; `Ns::MAX` if none is scheduled.
    timer_at: Ns,
    /// Counters of its processes that have ended.
    past_counts: Counts,
    running_since: Ns,
    /// Total time for which its processes ran.
    run_time: Ns,
}

enum SimEvent {
    Arrival { from: SocketAddr, to: SocketAddr, bytes: Vec<u8> },
    Timer { member: usize, at: Ns },
    Resume(usize),
    FaultStart(usize),
    FaultEnd(usize),
    Check,
    Flood(usize),
}

/// A change that a member observed in its view.
#[derive(Clone, Debug)]
pub struct Observation {
    pub at: Ns,
    pub observer: usize,
    pub subject: String,
    pub change: Change,
    /// Whether both members had been running and connected for 12 s, so that a declared failure is false.
    pub is_false: bool,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    pub observations: Vec<Observation>,
    /// For the start of the run and each time at which a fault began or ended: how long until all views
    /// matched the ground truth; `None` if they did not before the next such time.
    pub convergence: Vec<(Ns, Option<Ns>)>,
    /// Greatest sum of the shares of the running members, and when.
    pub max_total_share: (f64, Ns),
    /// Sum of the shares at each second.
    pub total_shares: Vec<f64>,
    /// What each member sent per second while it ran.
    pub datagrams_per_s: Vec<f64>,
    pub bytes_per_s: Vec<f64>,
    /// Datagrams that members received and dropped as invalid or not of their fleet.
    pub dropped: u64,
    pub name_conflicts: usize,
    /// Failures that members declared, false ones included.
    pub failures_declared: u64,
    /// The first view that does not match the ground truth at the end, as a message; `None` if all match.
    pub final_mismatch: Option<String>,
}

impl RunReport {
    /// Number of times that a running, reachable member was declared failed.
    #[must_use]
    pub fn false_failures(&self) -> usize {
        self.observations
            .iter()
            .filter(|observation| observation.change == Change::Gone && observation.is_false)
            .count()
    }
}

struct Simulation<'a> {
    script: &'a Script,
    random: Random,
    now: Ns,
    /// Events of the same time happen in the order in which they were scheduled.
    next_tie_break: u64,
    /// Time, tie break and key of each scheduled event.
    queue: BinaryHeap<Reverse<(Ns, u64, usize)>>,
    pending_events: BTreeMap<usize, SimEvent>,
    next_event_key: usize,
    members: Vec<SimulatedMember>,
    member_at: BTreeMap<SocketAddr, usize>,
    ground_truth: GroundTruth,
    report: RunReport,
    /// Time of the last start or end of a fault, if the views have not all matched the ground truth since;
    /// `None` once they have.
    unconverged_since: Option<Ns>,
    /// Fraction of each limit that no member uses.
    headroom: f64,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 5, (number / 250) as u8, (number % 250) as u8 + 1], 7_400))
}

fn authenticator() -> Authenticator {
    Authenticator::new("rig", b"a key for tests only")
}

/// Simulates a script to its end.
#[must_use]
pub fn simulate(script: &Script) -> RunReport {
    let mut simulation = Simulation {
        script,
        random: Random::new(script.seed),
        now: 0,
        next_tie_break: 0,
        queue: BinaryHeap::new(),
        pending_events: BTreeMap::new(),
        next_event_key: 0,
        members: Vec::new(),
        member_at: BTreeMap::new(),
        ground_truth: GroundTruth::default(),
        report: RunReport::default(),
        unconverged_since: Some(0),
        headroom: 0.0,
    };
    simulation.run();
    simulation.report
}

impl Simulation<'_> {
    fn run(&mut self) {
        for number in 0..self.script.members {
            self.add_member(format!("n{number}"), address(number), self.script.site(number));
        }
        let joining_later: BTreeSet<usize> = self
            .script
            .faults
            .iter()
            .filter(|f| f.kind == FaultKind::Join)
            .flat_map(|f| f.targets.0.clone())
            .collect();
        for number in (0..self.script.members).filter(|n| !joining_later.contains(n)) {
            self.start_process(number);
        }
        for (fault_index, fault) in self.script.faults.iter().enumerate() {
            self.schedule(fault.start.ns(), SimEvent::FaultStart(fault_index));
            if fault.duration.ns() > 0 {
                self.schedule(fault.start.ns() + fault.duration.ns(), SimEvent::FaultEnd(fault_index));
            }
        }
        self.schedule(CHECK_INTERVAL, SimEvent::Check);
        let end = self.script.length.ns();
        while let Some(Reverse((at, _, key))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let event = self.pending_events.remove(&key).expect("each event is in the queue once");
            self.handle_event(event);
        }
        self.now = end;
        if let Some(since) = self.unconverged_since {
            self.report.convergence.push((since, None));
            self.report.final_mismatch = self.find_mismatch();
        }
        for number in 0..self.members.len() {
            self.collect_counts(number);
            let member = &self.members[number];
            let seconds = (member.run_time as f64 / 1e9).max(1e-9);
            self.report.datagrams_per_s.push(member.past_counts.sent as f64 / seconds);
            self.report.bytes_per_s.push(member.past_counts.sent_bytes as f64 / seconds);
            self.report.dropped += member.past_counts.dropped.values().sum::<u64>();
            self.report.failures_declared += member.past_counts.failures_declared;
        }
    }

    fn add_member(&mut self, name: String, address: SocketAddr, site: usize) -> usize {
        let number = self.members.len();
        self.members.push(SimulatedMember {
            name,
            address,
            site,
            persisted_start: 0,
            fleet: None,
            quota: LimitQuota::new(1, 0),
            share: 0.0,
            stalled_until: 0,
            socket_queue: Vec::new(),
            timer_at: Ns::MAX,
            past_counts: Counts::default(),
            running_since: 0,
            run_time: 0,
        });
        self.member_at.insert(address, number);
        number
    }

    fn schedule(&mut self, at: Ns, event: SimEvent) {
        let key = self.next_event_key;
        self.next_event_key += 1;
        self.next_tie_break += 1;
        self.pending_events.insert(key, event);
        self.queue.push(Reverse((at, self.next_tie_break, key)));
    }

    fn start_process(&mut self, number: usize) {
        let random_seed = self.random.next_u64();
        let seeds = (0..self.script.seeds).map(address).collect();
        let member = &mut self.members[number];
        member.persisted_start += 1;
        let info = MemberInfo {
            name: member.name.clone(),
            address: member.address,
            site: format!("site-{}", member.site),
            version: [0, 2, 0],
            settings: 7,
        };
        let config = Config {
            info,
            start_number: member.persisted_start,
            seeds,
            authenticator: authenticator(),
            max_bytes_per_s: RATE_BYTES_PER_S,
            random_seed,
        };
        member.fleet = Some(Fleet::new(config, self.now));
        // As in a deployment, the settings give the planned number of senders.
        member.quota = LimitQuota::new(self.script.members, self.now);
        member.share = 1.0 / member.quota.sender_count();
        (member.stalled_until, member.running_since) = (0, self.now);
        member.socket_queue.clear();
        self.ground_truth.start(number, self.now);
        self.schedule_timer(number);
    }

    fn stop_process(&mut self, number: usize) {
        self.collect_counts(number);
        self.members[number].fleet = None;
        self.members[number].share = 0.0;
        self.ground_truth.end(number, self.now);
    }

    /// Adds the counters of a member's current process to those of its past ones.
    fn collect_counts(&mut self, number: usize) {
        let now = self.now;
        let member = &mut self.members[number];
        if let Some(fleet) = &member.fleet {
            let counts = fleet.counts();
            member.past_counts.sent += counts.sent;
            member.past_counts.sent_bytes += counts.sent_bytes;
            member.past_counts.failures_declared += counts.failures_declared;
            for (why, times) in counts.dropped {
                *member.past_counts.dropped.entry(why).or_default() += times;
            }
            member.run_time += now - member.running_since;
            member.running_since = now;
        }
    }

    /// Schedules the next timer that a member's process asks for.
    fn schedule_timer(&mut self, number: usize) {
        let Some(fleet) = &self.members[number].fleet else { return };
        let at = fleet.wake_at().max(self.now + MS);
        if at < Ns::MAX && at != self.members[number].timer_at {
            self.members[number].timer_at = at;
            self.schedule(at, SimEvent::Timer { member: number, at });
        }
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival { from, to, bytes } => {
                let Some(&number) = self.member_at.get(&to) else { return };
                let member = &mut self.members[number];
                if member.stalled_until > self.now {
                    if member.socket_queue.len() < MAX_SOCKET_QUEUE {
                        member.socket_queue.push((from, bytes));
                    }
                    return;
                }
                self.deliver(number, Input::Datagram { from, bytes: &bytes });
            }
            SimEvent::Timer { member, at } => {
                if self.members[member].timer_at == at && self.members[member].stalled_until <= self.now {
                    self.members[member].timer_at = Ns::MAX;
                    self.deliver(member, Input::Timer);
                }
            }
            SimEvent::Resume(number) => {
                let member = &mut self.members[number];
                if member.stalled_until != self.now || member.fleet.is_none() {
                    return;
                }
                let socket_queue = std::mem::take(&mut member.socket_queue);
                self.ground_truth.resume(number, self.now);
                // Its timers are due and datagrams are queued at its socket. Which of them a real process
                // handles first depends on its runtime; here it is the timer.
                self.deliver(number, Input::Timer);
                for (from, bytes) in socket_queue {
                    self.deliver(number, Input::Datagram { from, bytes: &bytes });
                }
            }
            SimEvent::FaultStart(fault_index) => {
                let fault = &self.script.faults[fault_index];
                self.begin_fault(fault);
                self.mark_unconverged();
            }
            SimEvent::FaultEnd(fault_index) => {
                let fault = &self.script.faults[fault_index];
                self.end_fault(fault);
                self.mark_unconverged();
            }
            SimEvent::Check => {
                self.check();
                self.schedule(self.now + CHECK_INTERVAL, SimEvent::Check);
            }
            SimEvent::Flood(fault_index) => self.flood(fault_index),
        }
    }

    fn is_active(&self, fault: &Fault) -> bool {
        let (start, duration) = (fault.start.ns(), fault.duration.ns());
        self.now >= start && (duration == 0 || self.now < start + duration)
    }

    fn mark_unconverged(&mut self) {
        if let Some(since) = self.unconverged_since.replace(self.now) {
            self.report.convergence.push((since, None));
        }
    }

    fn begin_fault(&mut self, fault: &Fault) {
        for &number in &fault.targets.0 {
            match fault.kind {
                FaultKind::Stop => {
                    let until = self.now + fault.duration.ns();
                    self.members[number].stalled_until = until;
                    self.ground_truth.stall(number, self.now);
                    self.schedule(until, SimEvent::Resume(number));
                }
                FaultKind::Kill => {
                    self.stop_process(number);
                    if fault.folder_lost {
                        self.members[number].persisted_start = 0;
                    }
                }
                FaultKind::Leave => {
                    self.deliver(number, Input::Leave);
                    self.stop_process(number);
                }
                FaultKind::Join => self.start_process(number),
                FaultKind::Double => {
                    let name = self.members[number].name.clone();
                    let (site, start_number) =
                        (self.members[number].site, self.members[number].persisted_start);
                    let duplicate = self.add_member(name, address(1_000 + number), site);
                    self.members[duplicate].persisted_start = start_number - 1;
                    self.start_process(duplicate);
                }
                FaultKind::Replace => {
                    self.stop_process(number);
                    let (member_address, site) = (self.members[number].address, self.members[number].site);
                    let replacement = self.add_member(format!("other-{number}"), member_address, site);
                    self.start_process(replacement);
                }
                FaultKind::Flood => {
                    let fault_index = self
                        .script
                        .faults
                        .iter()
                        .position(|f| f == fault)
                        .expect("the fault is from this script");
                    self.schedule(self.now, SimEvent::Flood(fault_index));
                }
                FaultKind::Cut | FaultKind::Lossy | FaultKind::Slow => {}
            }
        }
        self.update_cuts();
    }

    fn end_fault(&mut self, fault: &Fault) {
        for &number in &fault.targets.0 {
            if matches!(fault.kind, FaultKind::Kill | FaultKind::Leave) {
                self.start_process(number);
            }
        }
        self.update_cuts();
    }

    /// Updates in the ground truth which members can reach one another.
    fn update_cuts(&mut self) {
        let all = self.members.len();
        let faults: Vec<&Fault> =
            self.script.faults.iter().filter(|f| f.kind == FaultKind::Cut && self.is_active(f)).collect();
        let mut cuts = BTreeSet::new();
        for fault in faults {
            for &from in &fault.targets.0 {
                let others: Vec<usize> = fault.peers.as_ref().map_or_else(
                    || (0..all).filter(|n| !fault.targets.0.contains(n)).collect(),
                    |set| set.0.clone(),
                );
                for to in others {
                    cuts.insert((from, to));
                    if !fault.one_way {
                        cuts.insert((to, from));
                    }
                }
            }
        }
        self.ground_truth.set_cuts(cuts, self.now);
    }

    /// Sends datagrams that are not of this fleet (another fleet, another key, truncated, of a newer
    /// version), two hundred times per second.
    fn flood(&mut self, fault_index: usize) {
        let fault = &self.script.faults[fault_index];
        if !self.is_active(fault) {
            return;
        }
        let from = address(2_000);
        for &number in &fault.targets.0 {
            let foreign_info = MemberInfo {
                name: "x".into(),
                address: from,
                site: String::new(),
                version: [9, 9, 9],
                settings: 0,
            };
            let foreign = match self.random.below(4) {
                0 => Authenticator::new("another", b"a key for tests only"),
                _ => Authenticator::new("rig", b"another key"),
            };
            let config = Config {
                info: foreign_info,
                start_number: 1,
                seeds: vec![address(number)],
                authenticator: foreign,
                max_bytes_per_s: RATE_BYTES_PER_S,
                random_seed: 1,
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
                    self.schedule(self.now, SimEvent::Arrival { from, to: address(number), bytes });
                }
            }
        }
        self.schedule(self.now + 5 * MS, SimEvent::Flood(fault_index));
    }

    fn deliver(&mut self, number: usize, input: Input<'_>) {
        let mut out = Vec::new();
        let now = self.now;
        if let Some(fleet) = &mut self.members[number].fleet {
            fleet.handle(now, input, &mut out);
        }
        let mut view_changed = false;
        for output in out {
            match output {
                Output::Send { to, bytes } => self.send(number, to, bytes),
                Output::Persist { start_number } => self.members[number].persisted_start = start_number,
                Output::Changed { name, change, .. } => {
                    view_changed = true;
                    let subject_number =
                        self.members.iter().position(|member| member.name == name && member.fleet.is_some());
                    let is_false = subject_number
                        .is_some_and(|subject| self.ground_truth.were_long_connected(number, subject, now));
                    self.report.observations.push(Observation {
                        at: now,
                        observer: number,
                        subject: name,
                        change,
                        is_false,
                    });
                }
                Output::NameConflict { .. } => {
                    self.report.name_conflicts += 1;
                    // An operator would stop this process, so it sends nothing from now on.
                    self.stop_process(number);
                }
                Output::Stalled { .. } => view_changed = true,
            }
        }
        if view_changed {
            self.update_quota(number);
        }
        self.schedule_timer(number);
    }

    fn update_quota(&mut self, number: usize) {
        let (now, headroom) = (self.now, self.headroom);
        let member = &mut self.members[number];
        let Some(fleet) = &member.fleet else { return };
        let summary = fleet.membership_summary();
        member.quota.record_headroom(now, headroom);
        member.quota.update(now, &summary);
        member.share = 1.0 / member.quota.sender_count();
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        assert!(bytes.len() <= nickelshed_fleet::MAX_DATAGRAM_BYTES, "a datagram of {} bytes", bytes.len());
        let Some(&receiver) = self.member_at.get(&to) else { return };
        let mut loss_probability = self.script.loss.0;
        let mut extra_delay = 0;
        for fault in self.script.faults.iter().filter(|f| self.is_active(f)) {
            let applies = fault.targets.0.contains(&from) || fault.targets.0.contains(&receiver);
            match fault.kind {
                FaultKind::Lossy if applies => {
                    loss_probability = 1.0 - (1.0 - loss_probability) * (1.0 - fault.loss.0)
                }
                FaultKind::Slow if applies => extra_delay += fault.extra_delay.ns(),
                _ => {}
            }
        }
        let copies = 1 + usize::from(self.random.chance(self.script.duplicated.0));
        let [min_latency, max_latency] = self.script.latency.map(|latency| latency.ns());
        let from_address = self.members[from].address;
        for _ in 0..copies {
            let latency = min_latency + self.random.below(max_latency - min_latency + extra_delay + 1);
            if self.random.chance(loss_probability) || self.ground_truth.is_cut(from, receiver) {
                continue;
            }
            self.schedule(
                self.now + latency,
                SimEvent::Arrival { from: from_address, to, bytes: bytes.clone() },
            );
        }
    }

    /// Checks whether all views match the ground truth, and sums up the shares.
    fn check(&mut self) {
        if self.now % SECOND < CHECK_INTERVAL {
            for number in 0..self.members.len() {
                if self.members[number].stalled_until <= self.now {
                    self.update_quota(number);
                }
            }
        }
        let sum: f64 = self
            .members
            .iter()
            .filter(|member| member.stalled_until <= self.now)
            .map(|member| member.share)
            .sum();
        self.headroom = (1.0 - sum).max(0.0);
        if sum > self.report.max_total_share.0 {
            self.report.max_total_share = (sum, self.now);
        }
        if self.now % SECOND < CHECK_INTERVAL {
            self.report.total_shares.push(sum);
        }
        if let Some(since) = self.unconverged_since {
            if self.find_mismatch().is_none() {
                self.report.convergence.push((since, Some(self.now - since)));
                self.unconverged_since = None;
            }
        }
    }

    /// Describes the first view that does not list exactly the members that its owner can reach.
    fn find_mismatch(&self) -> Option<String> {
        for (number, member) in self.members.iter().enumerate() {
            let Some(fleet) = &member.fleet else { continue };
            if member.stalled_until > self.now || self.ground_truth.is_receive_only(number) {
                continue;
            }
            let mut present: Vec<&str> = fleet
                .members()
                .filter(|other| other.status.state.is_present())
                .map(|other| other.info.name.as_str())
                .chain([member.name.as_str()])
                .collect();
            let mut expected: Vec<&str> =
                self.ground_truth.reachable_from(number).map(|n| self.members[n].name.as_str()).collect();
            present.sort_unstable();
            expected.sort_unstable();
            expected.dedup();
            if present != expected {
                let extra: Vec<_> = present.iter().filter(|name| !expected.contains(name)).collect();
                let missing: Vec<_> = expected.iter().filter(|name| !present.contains(name)).collect();
                return Some(format!("{} lists {extra:?} wrongly and lacks {missing:?}", member.name));
            }
        }
        None
    }
}

//! The protocol of one member: datagrams and timers in, datagrams and changes of the view out. Probes,
//! suspicion, refutation and gossip follow SWIM and Lifeguard; the exchange of what two views lack is in
//! `sync.rs`.
use crate::budget::{Budget, Priority};
use crate::datagram::{
    parse_datagram, Authenticator, Datagram, DatagramKind, DatagramWriter, DropReason, MemberRecord,
    StatusUpdate,
};
use crate::gossip::GossipQueue;
use crate::health::LocalHealth;
use crate::member::{digest, Incarnation, MemberId, MemberInfo, MemberStatus, State};
use crate::quota::MembershipSummary;
use crate::random::Random;
use crate::suspicion::Suspicion;
use crate::view::{Member, View};
use crate::Ns;
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub(crate) const MS: Ns = 1_000_000;
pub(crate) const SECOND: Ns = 1_000 * MS;

/// Each member probes one other member per interval (SWIM, section 3.1).
pub const PROBE_INTERVAL: Ns = 250 * MS;
/// Without an ack after this time a probe is repeated, by this member and by others on its behalf.
const ACK_TIMEOUT: Ns = 120 * MS;
/// Without any ack after this time a probe has failed.
const PROBE_TIMEOUT: Ns = 400 * MS;
/// Members that are asked for an indirect probe (SWIM, section 3.1: k).
const INDIRECT_PROBES: usize = 3;
/// About this many of the members that learn of a suspicion probe the suspect at once. The suspect learns of
/// the suspicion by these probes, and a live one is cleared by more than one ack.
const SUSPECT_VERIFIERS: f64 = 8.0;
/// Interval at which some failed members or unknown seeds are pinged, so that the end of a partition is
/// noticed.
const RECONNECT_INTERVAL: Ns = SECOND;
/// Maximum number of such pings per interval.
const MAX_RECONNECT_PINGS: usize = 4;
/// How long a member has to be a suspect here before another member's report that it has failed is accepted.
/// A member that was in contact within `RECENT_CONTACT` is probed once more first.
const CONFIRM_FAILURE_TIMEOUT: Ns = 1_200 * MS;
const RECENT_CONTACT: Ns = 3 * SECOND;
/// A failed member is advertised to other members for this long. It is remembered for a while longer, because
/// clocks differ.
const ADVERTISE_FAILED_FOR: Ns = 3_600 * SECOND;
const KEEP_FAILED_FOR: Ns = ADVERTISE_FAILED_FOR + 120 * SECOND;
/// Within this time after its start, a process that learns of a greater incarnation of its name takes the
/// name over with a higher start number. Later on, such an incarnation belongs to another process, which is a
/// name conflict.
const NAME_TAKEOVER_WINDOW: Ns = 10 * SECOND;
/// A timer that fires this late shows that the process was stalled.
const STALL_THRESHOLD: Ns = 250 * MS;
/// Shortest interval between two checks of the suspects.
const SUSPECT_CHECK_INTERVAL: Ns = 50 * MS;
/// After a stall of at least this length the member declares no failures for `STALL_RECOVERY`, because its
/// information is old.
const LONG_STALL: Ns = SECOND;
const STALL_RECOVERY: Ns = 2 * SECOND;
/// A member that finds no other one counts as joined after this time.
const LONE_JOIN_TIMEOUT: Ns = 3 * SECOND;
/// A member that is declared failed again within this time despite its refutation concludes that the others
/// do not receive from it.
const REPEATED_FAILURE_WINDOW: Ns = 10 * SECOND;

/// Configuration of a member at its start.
#[derive(Clone, Debug)]
pub struct Config {
    pub info: MemberInfo,
    /// Greater than at any earlier start of this name, as far as the state folder shows.
    pub start_number: u32,
    /// Members from which the others are learned. Its own address among them is ignored.
    pub seeds: Vec<SocketAddr>,
    pub authenticator: Authenticator,
    pub max_bytes_per_s: u32,
    pub random_seed: u64,
}

#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    Datagram {
        from: SocketAddr,
        bytes: &'a [u8],
    },
    Timer,
    /// Load in 255ths of this member's capacity.
    Load(u8),
    /// The settings were replaced; the value is their digest. Starts an incarnation with the next start
    /// number.
    Settings(u32),
    /// The process ends on purpose, so the others need not probe it.
    Leave,
}

/// Change of a member in the view. Logs write the name of the variant, in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Joined,
    /// Another process run of a known name.
    Returned,
    Suspected,
    /// It has refuted a suspicion or failure.
    Refuted,
    /// Declared failed.
    Gone,
    Left,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// The start number has to be persisted in the state folder: no later process run may start with this
    /// number or a lower one.
    Persist {
        start_number: u32,
    },
    Changed {
        id: MemberId,
        name: String,
        change: Change,
    },
    /// A later process run uses this member's name; this one sends nothing from now on.
    NameConflict {
        by: Incarnation,
    },
    /// The process was stalled for this long.
    Stalled {
        duration: Ns,
    },
}

/// Counters since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub dropped: BTreeMap<DropReason, u64>,
    pub refutations: u64,
    pub failures_declared: u64,
}

/// A probe in flight.
struct Probe {
    target: MemberId,
    address: SocketAddr,
    status: MemberStatus,
    sent_at: Ns,
    pings_sent: u8,
    /// When the ping is repeated or the probe has failed.
    next_at: Ns,
    deadline: Ns,
    /// A member that was asked for an indirect probe has replied that it got no ack either.
    nacked: bool,
}

/// A probe on behalf of another member.
struct RelayedProbe {
    requester: SocketAddr,
    requester_seq: u32,
    target: MemberId,
    deadline: Ns,
}

/// Protocol state of one member of a fleet.
pub struct Fleet {
    pub(crate) authenticator: Authenticator,
    seeds: Vec<SocketAddr>,
    pub(crate) info: MemberInfo,
    pub(crate) status: MemberStatus,
    pub(crate) now: Ns,
    pub(crate) random: Random,
    pub(crate) view: View,
    /// Members still to be probed in this round, in an order that is shuffled for each round (SWIM, section
    /// 4.3).
    probe_order: Vec<MemberId>,
    /// Addresses of failed members and unknown seeds that are still to be pinged before any is pinged again.
    reconnect_order: Vec<SocketAddr>,
    probes: BTreeMap<u32, Probe>,
    relayed_probes: BTreeMap<u32, RelayedProbe>,
    next_seq: u32,
    pub(crate) gossip: GossipQueue,
    health: LocalHealth,
    budget: Budget,
    load: u8,
    probe_at: Ns,
    reconnect_at: Ns,
    pub(crate) sync_at: Ns,
    /// The last member received from whose view digest differed.
    pub(crate) differing_peer: Option<(MemberId, SocketAddr)>,
    /// Members whose view digest was received recently: when, and whether it equals this member's.
    peer_agreement: BTreeMap<MemberId, (Ns, bool)>,
    /// Before this time the member declares no failures, because it was stalled.
    declare_failures_from: Ns,
    suspects_checked_at: Ns,
    started_at: Ns,
    /// It has left or lost its name, and sends nothing any more.
    inactive: bool,
    /// When the member last had to refute that it has failed, and how many times in a row, with at most
    /// `REPEATED_FAILURE_WINDOW` between them.
    declared_failed: (Ns, u32),
    last_ack_at: Ns,
    pub(crate) counts: Counts,
}

impl Fleet {
    #[must_use]
    pub fn new(config: Config, now: Ns) -> Fleet {
        let mut random = Random::new(config.random_seed);
        let incarnation =
            Incarnation { start_number: config.start_number, nonce: random.next_u64() as u32, number: 0 };
        let status =
            MemberStatus { id: MemberId::from_name(&config.info.name), incarnation, state: State::Joining };
        let mut gossip = GossipQueue::default();
        gossip.add(status.id, true);
        Fleet {
            authenticator: config.authenticator,
            seeds: config.seeds.into_iter().filter(|s| *s != config.info.address).collect(),
            info: config.info,
            status,
            now,
            view: View::default(),
            probe_order: Vec::new(),
            reconnect_order: Vec::new(),
            probes: BTreeMap::new(),
            relayed_probes: BTreeMap::new(),
            next_seq: random.next_u64() as u32,
            gossip,
            health: LocalHealth::default(),
            budget: Budget::new(config.max_bytes_per_s, now),
            load: 0,
            probe_at: now + random.below(PROBE_INTERVAL),
            reconnect_at: now,
            sync_at: now + random.below(PROBE_INTERVAL),
            differing_peer: None,
            peer_agreement: BTreeMap::new(),
            declare_failures_from: now,
            suspects_checked_at: now,
            started_at: now,
            inactive: false,
            declared_failed: (now, 0),
            last_ack_at: now,
            counts: Counts::default(),
            random,
        }
    }

    /// Processes one input. Time never goes back, even if `now` does.
    pub fn handle(&mut self, now: Ns, input: Input<'_>, out: &mut Vec<Output>) {
        self.detect_stall(now, out);
        self.now = self.now.max(now);
        match input {
            _ if self.inactive => return,
            Input::Datagram { from, bytes } => match parse_datagram(bytes, &self.authenticator) {
                Ok(datagram) => {
                    self.counts.received += 1;
                    self.handle_datagram(from, datagram, out);
                }
                Err(why) => *self.counts.dropped.entry(why).or_default() += 1,
            },
            Input::Timer => {}
            Input::Load(load) => self.load = load,
            Input::Settings(settings) if settings != self.info.settings => {
                self.info.settings = settings;
                self.start_incarnation(self.status.incarnation.start_number + 1, out);
            }
            Input::Settings(_) => {}
            Input::Leave => return self.leave(out),
        }
        self.tick(out);
    }

    /// Returns when the next `Timer` input is due. It is never far off, because members are probed all the
    /// time; `Ns::MAX` if the member is inactive.
    #[must_use]
    pub fn wake_at(&self) -> Ns {
        if self.inactive {
            return Ns::MAX;
        }
        let probes = self.probes.values().map(|p| p.next_at);
        let relayed_probes = self.relayed_probes.values().map(|r| r.deadline);
        probes
            .chain(relayed_probes)
            .chain([self.probe_at, self.reconnect_at, self.sync_at])
            .min()
            .unwrap_or(self.probe_at)
    }

    /// Status and metadata of this member.
    #[must_use]
    pub fn local_member(&self) -> (&MemberStatus, &MemberInfo) {
        (&self.status, &self.info)
    }

    /// All other known members, failed ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> + '_ {
        self.view.iter()
    }

    /// Number of present members, this one included.
    #[must_use]
    pub fn present_count(&self) -> usize {
        self.view.present_count() + 1
    }

    /// Digest of the whole view; equal views have the same.
    #[must_use]
    pub fn view_digest(&self) -> u64 {
        self.view.digest().wrapping_add(digest(&self.status, 0))
    }

    /// Returns two counts of the members whose view digest arrived recently: those that have the same view as
    /// this one, and all of them.
    #[must_use]
    pub fn agreement(&self) -> (usize, usize) {
        let recent = self.peer_agreement.values().filter(|(at, _)| self.now - at < RECENT_CONTACT);
        recent.fold((0, 0), |(same, all), (_, is_same)| (same + usize::from(*is_same), all + 1))
    }

    /// Summary of the view, from which the division of rate limits is computed.
    #[must_use]
    pub fn membership_summary(&self) -> MembershipSummary {
        let ids_where = |matches_state: fn(State) -> bool| -> Vec<MemberId> {
            self.view.iter().filter(|m| matches_state(m.status.state)).map(|m| m.status.id).collect()
        };
        let (same, contacted) = self.agreement();
        let is_alone = self.view.present_count() == 0;
        MembershipSummary {
            present: ids_where(State::is_present),
            failed: ids_where(|s| s == State::Failed),
            left: ids_where(|s| s == State::Left),
            local_health_degraded: self.is_local_health_degraded(),
            converged: self.status.state == State::Alive
                && (contacted > 0 || is_alone)
                && 2 * same >= contacted,
        }
    }

    /// Returns whether this member should doubt itself rather than the others: it was stalled, is declared
    /// failed repeatedly, got no ack recently, or is inactive.
    #[must_use]
    pub fn is_local_health_degraded(&self) -> bool {
        let (at, count) = self.declared_failed;
        let repeatedly_declared_failed = count > 1 && self.now - at < REPEATED_FAILURE_WINDOW;
        let no_recent_ack = self.view.present_count() > 0 && self.now - self.last_ack_at > RECENT_CONTACT;
        self.now < self.declare_failures_from || repeatedly_declared_failed || no_recent_ack || self.inactive
    }

    /// Returns whether the member has left or lost its name to a later process run. It then sends nothing.
    #[must_use]
    pub fn is_inactive(&self) -> bool {
        self.inactive
    }

    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts.clone()
    }

    /// A process that was stopped resumes with timeouts that have passed and with unread datagrams. Moves
    /// these timeouts by the length of the stall, because a slow member would suspect the others otherwise
    /// (Lifeguard, section II).
    fn detect_stall(&mut self, now: Ns, out: &mut Vec<Output>) {
        let overdue = now.saturating_sub(self.wake_at());
        if self.inactive || overdue < STALL_THRESHOLD {
            return;
        }
        for probe in self.probes.values_mut() {
            probe.next_at += overdue;
            probe.deadline += overdue;
            probe.sent_at += overdue;
        }
        let ids: Vec<MemberId> = self.view.iter().map(|m| m.status.id).collect();
        for id in ids {
            self.view.update(id, |m| {
                m.suspicion.iter_mut().for_each(|s| s.extend(overdue));
            });
        }
        self.relayed_probes.clear();
        self.last_ack_at = self.last_ack_at.max(now - RECENT_CONTACT / 2);
        if overdue >= LONG_STALL {
            self.health.degrade(2);
            self.declare_failures_from = now + STALL_RECOVERY;
            out.push(Output::Stalled { duration: overdue });
        }
    }

    fn start_incarnation(&mut self, start_number: u32, out: &mut Vec<Output>) {
        let incarnation = Incarnation { start_number, number: 0, ..self.status.incarnation };
        self.status = MemberStatus { incarnation, ..self.status };
        out.push(Output::Persist { start_number });
        self.gossip.add(self.status.id, true);
    }

    fn leave(&mut self, out: &mut Vec<Output>) {
        self.status.incarnation.number += 1;
        self.status.state = State::Left;
        self.gossip.add(self.status.id, false);
        for id in self.random_live_members(INDIRECT_PROBES + 2, MemberId::UNSPECIFIED) {
            let mut writer = self.new_datagram(DatagramKind::Sync);
            let update = StatusUpdate { status: self.status, reporters: Vec::new() };
            writer.update(&update);
            self.send(self.view.get(id).map(|m| m.info.address), writer, Priority::Reply, out);
        }
        self.inactive = true;
    }

    pub(crate) fn new_datagram(&self, kind: DatagramKind) -> DatagramWriter {
        let mut writer = DatagramWriter::new(kind);
        writer.sender(&self.status);
        writer
    }

    /// Sends a datagram if the budget allows it and the address is known; returns whether it did.
    pub(crate) fn send(
        &mut self,
        to: Option<SocketAddr>,
        writer: DatagramWriter,
        priority: Priority,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(to) = to else { return false };
        let bytes = writer.finish(&self.authenticator);
        let is_allowed = self.budget.try_spend(self.now, bytes.len(), priority);
        if is_allowed {
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            out.push(Output::Send { to, bytes });
        }
        is_allowed
    }

    /// Adds this member's view digest and load, and any suspicion or failure that the recipient has to
    /// refute.
    fn write_view_state(&self, writer: &mut DatagramWriter, to: MemberId) {
        writer.view_digest(self.view_digest());
        writer.load(self.load);
        if let Some(member) = self.view.get(to).filter(|m| m.status.state > State::Alive) {
            writer.update(&StatusUpdate { status: member.status, reporters: Vec::new() });
        }
    }

    /// Adds as many status updates as fit.
    fn write_gossip(&mut self, mut writer: DatagramWriter, to: MemberId) -> DatagramWriter {
        self.write_view_state(&mut writer, to);
        let member_count = self.present_count();
        // An update that does not fit is passed over for smaller ones, within a few tries.
        let candidates: Vec<(MemberId, bool)> = self.gossip.candidates().take(16).collect();
        for (id, with_info) in candidates {
            let fits = if id == self.status.id {
                if with_info {
                    writer.record(&self.status, &self.info, 0)
                } else {
                    writer.update(&StatusUpdate { status: self.status, reporters: Vec::new() })
                }
            } else {
                match self.view.get(id) {
                    Some(member) if with_info && member.status.state < State::Suspect => {
                        writer.record(&member.status, &member.info, seconds_in_state(member, self.now))
                    }
                    Some(member) => writer.update(&update_for(member)),
                    None => true,
                }
            };
            if fits {
                self.gossip.record_transmission(id, member_count);
            }
        }
        writer
    }

    /// Returns at most `max_count` present members that are not suspects, in random order.
    pub(crate) fn random_live_members(&mut self, max_count: usize, except: MemberId) -> Vec<MemberId> {
        let candidates =
            self.view.iter().filter(|m| m.status.state < State::Suspect && m.status.id != except);
        let mut ids: Vec<MemberId> = candidates.map(|m| m.status.id).collect();
        self.random.shuffle(&mut ids);
        ids.truncate(max_count);
        ids
    }

    fn allocate_seq(&mut self) -> u32 {
        self.next_seq = self.next_seq.wrapping_add(1);
        self.next_seq
    }

    fn tick(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let is_due = |at: Ns| at <= now;
        let due_probes: Vec<u32> =
            self.probes.iter().filter(|(_, p)| is_due(p.next_at)).map(|(&s, _)| s).collect();
        due_probes.into_iter().for_each(|seq| self.continue_probe(seq, out));
        let expired_seqs: Vec<u32> =
            self.relayed_probes.iter().filter(|(_, r)| is_due(r.deadline)).map(|(&s, _)| s).collect();
        for seq in expired_seqs {
            let relay = self.relayed_probes.remove(&seq).expect("it was found above");
            let mut writer = self.new_datagram(DatagramKind::Nack);
            writer.seq(relay.requester_seq);
            writer.target(relay.target);
            self.send(Some(relay.requester), writer, Priority::Request, out);
        }
        if is_due(self.probe_at) {
            self.probe_at = now + self.health.scale(PROBE_INTERVAL);
            self.expire_members();
            self.probe_next_member(out);
            if self.status.state == State::Joining
                && self.view.present_count() == 0
                && now - self.started_at > LONE_JOIN_TIMEOUT
            {
                self.finish_joining();
            }
        }
        if now >= self.suspects_checked_at + SUSPECT_CHECK_INTERVAL {
            self.suspects_checked_at = now;
            self.check_suspects(out);
        }
        if is_due(self.reconnect_at) {
            let is_alone = self.view.present_count() == 0;
            self.reconnect_at = now
                + if is_alone { PROBE_INTERVAL } else { RECONNECT_INTERVAL }
                + self.random.below(PROBE_INTERVAL / 4);
            self.reconnect(out);
        }
        if is_due(self.sync_at) {
            self.start_sync(out);
        }
    }

    /// Becomes alive, because all other members are known or there are none.
    pub(crate) fn finish_joining(&mut self) {
        if self.status.state == State::Joining {
            self.status.state = State::Alive;
            self.gossip.add(self.status.id, false);
        }
    }

    fn probe_next_member(&mut self, out: &mut Vec<Output>) {
        for _ in 0..2 {
            while let Some(id) = self.probe_order.pop() {
                let already_probed = self.probes.values().any(|p| p.target == id);
                if !already_probed && self.view.get(id).is_some_and(|m| m.status.state.is_present()) {
                    return self.probe(id, out);
                }
            }
            self.probe_order =
                self.view.iter().filter(|m| m.status.state.is_present()).map(|m| m.status.id).collect();
            self.random.shuffle(&mut self.probe_order);
        }
    }

    fn probe(&mut self, id: MemberId, out: &mut Vec<Output>) {
        let Some(member) = self.view.get(id) else { return };
        let (address, status) = (member.info.address, member.status);
        let (seq, now) = (self.allocate_seq(), self.now);
        let (next_at, deadline) =
            (now + self.health.scale(ACK_TIMEOUT), now + self.health.scale(PROBE_TIMEOUT));
        // A member that was not pinged, because the budget was used up, cannot have failed to answer.
        if self.ping(seq, id, address, true, out) {
            let probe = Probe {
                target: id,
                address,
                status,
                sent_at: now,
                pings_sent: 1,
                next_at,
                deadline,
                nacked: false,
            };
            self.probes.insert(seq, probe);
        }
    }

    /// Pings a member. Only the first ping of a probe carries gossip: a failed member is pinged often and
    /// receives none of it.
    fn ping(
        &mut self,
        seq: u32,
        target: MemberId,
        address: SocketAddr,
        with_gossip: bool,
        out: &mut Vec<Output>,
    ) -> bool {
        let mut writer = self.new_datagram(DatagramKind::Ping);
        writer.seq(seq);
        writer.target(target);
        let suspect = self.view.get(target).is_some_and(|m| m.status.state == State::Suspect);
        let writer = if with_gossip && !suspect {
            self.write_gossip(writer, target)
        } else {
            self.write_view_state(&mut writer, target);
            writer
        };
        self.send(Some(address), writer, Priority::Request, out)
    }

    /// Continues a probe that got no ack: repeats the ping and asks other members for indirect probes. At its
    /// deadline the probe has failed.
    fn continue_probe(&mut self, seq: u32, out: &mut Vec<Output>) {
        let (now, ack_timeout) = (self.now, self.health.scale(ACK_TIMEOUT));
        let Some(probe) = self.probes.get_mut(&seq) else { return };
        let (target, address, pings_sent) = (probe.target, probe.address, probe.pings_sent);
        if now >= probe.deadline {
            return self.probe_failed(seq, out);
        }
        probe.pings_sent += 1;
        probe.next_at =
            if pings_sent >= 2 { probe.deadline } else { (now + ack_timeout).min(probe.deadline) };
        self.ping(seq, target, address, false, out);
        if pings_sent == 1 {
            for helper in self.random_live_members(INDIRECT_PROBES, target) {
                let mut writer = self.new_datagram(DatagramKind::PingReq);
                writer.seq(seq);
                writer.target(target);
                writer.target_address(address);
                let to = self.view.get(helper).map(|m| m.info.address);
                self.send(to, writer, Priority::Request, out);
            }
        }
    }

    fn probe_failed(&mut self, seq: u32, out: &mut Vec<Output>) {
        let Some(probe) = self.probes.remove(&seq) else { return };
        let Some(member) = self.view.get(probe.target) else { return };
        // The probe does not count against a member that has sent a datagram meanwhile or has a new
        // incarnation.
        let status = member.status;
        let contacted_since = member.last_contact.is_some_and(|at| at >= probe.sent_at);
        if contacted_since || status.incarnation != probe.status.incarnation || !status.state.is_present() {
            return;
        }
        if !probe.nacked {
            self.health.degrade(1);
        }
        let reporter = self.status.id.short_id();
        self.suspect(status, &[reporter], out);
        self.view.update(probe.target, |m| m.suspicion.iter_mut().for_each(|s| s.probed_locally = true));
    }

    /// Declares suspects failed once their suspicion has timed out and this member itself has probed them
    /// without an ack. If another member has reported the failure, no probe is needed, and
    /// `CONFIRM_FAILURE_TIMEOUT` is enough.
    fn check_suspects(&mut self, out: &mut Vec<Output>) {
        let (now, member_count) = (self.now, self.present_count());
        if now < self.declare_failures_from {
            return;
        }
        let is_due = |m: &&Member| {
            let Some(s) = &m.suspicion else { return false };
            s.deadline(member_count) <= now
                || s.failure_reported_at.is_some() && s.started_at() + CONFIRM_FAILURE_TIMEOUT <= now
        };
        let due_suspects: Vec<(MemberStatus, bool)> = self
            .view
            .iter()
            .filter(is_due)
            .map(|m| {
                (
                    m.status,
                    m.suspicion.as_ref().is_some_and(|s| s.probed_locally || s.failure_reported_at.is_some()),
                )
            })
            .collect();
        for (status, probed) in due_suspects {
            if probed {
                self.counts.failures_declared += 1;
                self.set_status(MemberStatus { state: State::Failed, ..status }, out);
            } else if self.random.chance(SUSPECT_VERIFIERS / member_count as f64) {
                // In most cases another member declares the failure first, so not all members need to probe.
                self.probe(status.id, out);
            }
        }
    }

    /// Pings some failed members or unknown seeds, because a partition may have ended. All of them are pinged
    /// once before any is pinged again.
    fn reconnect(&mut self, out: &mut Vec<Output>) {
        let is_present = |m: &&Member| m.status.state.is_present();
        let present_addresses: Vec<SocketAddr> =
            self.view.iter().filter(is_present).map(|m| m.info.address).collect();
        let failed = self.view.iter().filter(|m| m.status.state == State::Failed).map(|m| m.info.address);
        let mut addresses: Vec<SocketAddr> = failed.chain(self.seeds.iter().copied()).collect();
        addresses.retain(|address| !present_addresses.contains(address));
        addresses.sort_unstable();
        addresses.dedup();
        if addresses.is_empty() {
            return;
        }
        // The fewer members are left, the more addresses each of them has to ping.
        let count = (addresses.len() / self.present_count()).clamp(1, MAX_RECONNECT_PINGS);
        for _ in 0..count {
            self.reconnect_order.retain(|address| addresses.contains(address));
            if self.reconnect_order.is_empty() {
                self.reconnect_order.clone_from(&addresses);
                self.random.shuffle(&mut self.reconnect_order);
            }
            let Some(address) = self.reconnect_order.pop() else { return };
            let id = self
                .view
                .iter()
                .find(|m| m.info.address == address)
                .map_or(MemberId::UNSPECIFIED, |m| m.status.id);
            let seq = self.allocate_seq();
            let mut writer = self.new_datagram(DatagramKind::Ping);
            writer.seq(seq);
            // Any member at that address may answer, because the name that was known there may have moved.
            writer.target(MemberId::UNSPECIFIED);
            self.write_view_state(&mut writer, id);
            writer.record(&self.status, &self.info, 0);
            self.send(Some(address), writer, Priority::Request, out);
        }
    }

    /// Stops advertising members that failed or left long ago, and removes them some time later.
    fn expire_members(&mut self) {
        let now = self.now;
        let is_newly_expired = |m: &&Member| {
            !m.status.state.is_present() && now - m.state_since > ADVERTISE_FAILED_FOR && !m.expired
        };
        let newly_expired: Vec<Member> = self.view.iter().filter(is_newly_expired).cloned().collect();
        for member in newly_expired {
            self.gossip.remove(member.status.id);
            self.view.upsert(Member { expired: true, ..member });
        }
        let forgotten: Vec<MemberId> = self
            .view
            .iter()
            .filter(|m| m.expired && now - m.state_since > KEEP_FAILED_FOR)
            .map(|m| m.status.id)
            .collect();
        forgotten.into_iter().for_each(|id| self.view.remove(id));
        self.peer_agreement.retain(|_, (at, _)| self.now - *at < RECENT_CONTACT);
    }

    fn handle_datagram(&mut self, from: SocketAddr, datagram: Datagram, out: &mut Vec<Output>) {
        let mut reply = crate::sync::SyncReply::default();
        // Records first, because a status alone is not enough to add an unknown member.
        for record in &datagram.records {
            self.apply_status(record.status, Some(record), &[], &datagram, &mut reply, out);
        }
        if let Some(status) = datagram.sender_status {
            self.apply_status(status, None, &[], &datagram, &mut reply, out);
            self.record_contact(status, from, &datagram);
        }
        for update in &datagram.updates {
            self.apply_status(update.status, None, &update.reporters, &datagram, &mut reply, out);
        }
        match datagram.kind {
            DatagramKind::Ping => self.answer_ping(from, &datagram, out),
            DatagramKind::Ack => self.handle_ack(&datagram, out),
            DatagramKind::Nack => {
                if let Some(probe) =
                    self.probes.get_mut(&datagram.seq).filter(|p| p.target == datagram.target)
                {
                    probe.nacked = true;
                }
            }
            DatagramKind::PingReq => {
                if let Some(address) = datagram.target_address.filter(|_| datagram.sender_status.is_some()) {
                    let seq = self.allocate_seq();
                    let deadline = self.now + ACK_TIMEOUT;
                    self.relayed_probes.insert(
                        seq,
                        RelayedProbe {
                            requester: from,
                            requester_seq: datagram.seq,
                            target: datagram.target,
                            deadline,
                        },
                    );
                    self.ping(seq, datagram.target, address, false, out);
                }
            }
            DatagramKind::Sync => self.compare_digests(&datagram, &mut reply),
        }
        self.send_reply(from, reply, out);
    }

    /// Records that a member sent this datagram itself, and compares its view digest with that of this
    /// member.
    fn record_contact(&mut self, status: MemberStatus, from: SocketAddr, datagram: &Datagram) {
        let now = self.now;
        let is_same = |m: &Member| m.status.incarnation.is_same_run(status.incarnation);
        if !self.view.get(status.id).is_some_and(is_same) {
            return;
        }
        self.view.update(status.id, |m| {
            m.last_contact = Some(now);
            m.load = datagram.load;
            // The member may not know of the suspicion yet and so has not refuted it. As long as its
            // datagrams arrive here, it is not declared failed here.
            m.suspicion.iter_mut().for_each(|s| s.restart(now));
        });
        let Some(view_digest) = datagram.view_digest else { return };
        let same = view_digest == self.view_digest();
        self.peer_agreement.insert(status.id, (now, same));
        if same {
            self.finish_joining();
        } else {
            self.differing_peer = Some((status.id, from));
            self.schedule_sync();
        }
    }

    fn answer_ping(&mut self, from: SocketAddr, datagram: &Datagram, out: &mut Vec<Output>) {
        let own = self.status.id;
        if datagram.target != own && datagram.target != MemberId::UNSPECIFIED {
            // The ping is for another member that had this address before. It must not get an ack from this
            // one.
            let mut writer = self.new_datagram(DatagramKind::Sync);
            writer.record(&self.status, &self.info, 0);
            self.send(Some(from), writer, Priority::Background, out);
            return;
        }
        let mut writer = self.new_datagram(DatagramKind::Ack);
        writer.seq(datagram.seq);
        writer.target(own);
        if datagram.target == MemberId::UNSPECIFIED {
            writer.record(&self.status, &self.info, 0);
        }
        let writer = match datagram.sender_status {
            Some(prober) => self.write_gossip(writer, prober.id),
            // An observer gets no gossip: updates are transmitted a limited number of times, and those to an
            // observer would reach no member.
            None => {
                self.write_view_state(&mut writer, MemberId::UNSPECIFIED);
                writer
            }
        };
        self.send(Some(from), writer, Priority::Reply, out);
    }

    fn handle_ack(&mut self, datagram: &Datagram, out: &mut Vec<Output>) {
        if let Some(relay) = self.relayed_probes.remove(&datagram.seq) {
            let mut writer = self.new_datagram(DatagramKind::Ack);
            writer.seq(relay.requester_seq);
            writer.target(relay.target);
            if let Some(member) = self.view.get(relay.target) {
                writer.update(&update_for(member));
            }
            self.send(Some(relay.requester), writer, Priority::Reply, out);
            return;
        }
        let now = self.now;
        if datagram.sender_status.is_some() {
            self.last_ack_at = now;
        }
        if self.probes.get(&datagram.seq).is_some_and(|p| p.target == datagram.target) {
            self.probes.remove(&datagram.seq);
            self.health.improve();
            // An earlier probe without an ack no longer counts.
            self.view
                .update(datagram.target, |m| m.suspicion.iter_mut().for_each(|s| s.probed_locally = false));
        }
    }

    /// Processes the status of a member, whoever sent it.
    fn apply_status(
        &mut self,
        status: MemberStatus,
        record: Option<&MemberRecord>,
        reporters: &[u32],
        datagram: &Datagram,
        reply: &mut crate::sync::SyncReply,
        out: &mut Vec<Output>,
    ) {
        if status.id == self.status.id {
            return self.apply_status_of_self(status, out);
        }
        let Some(member) = self.view.get(status.id) else {
            match record {
                Some(record) if status.state != State::Left => self.add_member(record, Change::Joined, out),
                None if status.state != State::Left => reply.request_record(status.id),
                _ => {}
            }
            return;
        };
        let known = member.status;
        let from_itself = datagram.sender_status.is_some_and(|sender| sender.id == status.id);
        if status.incarnation.is_same_run(known.incarnation) {
            match status.cmp(&known) {
                std::cmp::Ordering::Greater => self.apply_newer_status(status, reporters, from_itself, out),
                std::cmp::Ordering::Equal if status.state == State::Suspect => {
                    self.suspect(status, reporters, out)
                }
                std::cmp::Ordering::Equal => {}
                std::cmp::Ordering::Less if datagram.kind == DatagramKind::Sync => {
                    reply.send_record(status.id, false)
                }
                std::cmp::Ordering::Less => {}
            }
        } else if status.incarnation > known.incarnation {
            match record {
                Some(record) => self.add_member(record, Change::Returned, out),
                None => reply.request_record(status.id),
            }
        } else if datagram.kind == DatagramKind::Sync {
            reply.send_record(status.id, true);
        }
    }

    /// Processes a status of this member itself. It can refute its suspicion or failure, but not another
    /// process run of its name.
    fn apply_status_of_self(&mut self, status: MemberStatus, out: &mut Vec<Output>) {
        let own = self.status.incarnation;
        if status.incarnation.is_same_run(own) {
            if status.state > State::Alive && status.incarnation.number >= own.number {
                self.status.incarnation.number = status.incarnation.number.saturating_add(1);
                self.counts.refutations += 1;
                self.health.degrade(1);
                self.gossip.add(self.status.id, false);
                if status.state == State::Failed {
                    let (at, count) = self.declared_failed;
                    let is_repeat = self.now - at < REPEATED_FAILURE_WINDOW;
                    self.declared_failed = (self.now, if is_repeat { count + 1 } else { 1 });
                }
            }
        } else if status.incarnation > own {
            if self.now - self.started_at < NAME_TAKEOVER_WINDOW {
                // The state folder was lost, or another run has written to it. This run is nevertheless the
                // later one.
                self.start_incarnation(status.incarnation.start_number.saturating_add(1), out);
            } else {
                self.inactive = true;
                out.push(Output::NameConflict { by: status.incarnation });
            }
        }
    }

    /// Processes a greater status of a known process run.
    fn apply_newer_status(
        &mut self,
        status: MemberStatus,
        reporters: &[u32],
        from_itself: bool,
        out: &mut Vec<Output>,
    ) {
        let now = self.now;
        match status.state {
            State::Suspect => self.suspect(status, reporters, out),
            State::Failed
                if !from_itself && self.view.get(status.id).is_some_and(|m| m.status.state.is_present()) =>
            {
                // A member that was cut off reports as failed all members that it could not reach. So a
                // member that is present here becomes a suspect for a while first, and some members probe it.
                self.suspect(MemberStatus { state: State::Suspect, ..status }, &[], out);
                let (mut should_probe, chosen) =
                    (false, self.random.chance(SUSPECT_VERIFIERS / self.present_count() as f64));
                self.view.update(status.id, |m| {
                    let contacted_recently = m.last_contact.is_some_and(|at| now - at < RECENT_CONTACT);
                    if let Some(s) = &mut m.suspicion {
                        should_probe = s.failure_reported_at.is_none() && (contacted_recently || chosen);
                        s.failure_reported_at.get_or_insert(now);
                    }
                });
                if should_probe && !self.probes.values().any(|p| p.target == status.id) {
                    self.probe(status.id, out);
                }
            }
            _ => self.set_status(status, out),
        }
    }

    /// Makes a member a suspect and adds its reporters.
    fn suspect(&mut self, status: MemberStatus, reporters: &[u32], out: &mut Vec<Output>) {
        let status = MemberStatus { state: State::Suspect, ..status };
        let is_new = self.view.get(status.id).is_some_and(|m| status > m.status);
        if is_new {
            self.set_status(status, out);
        }
        let mut added = false;
        self.view.update(status.id, |m| {
            if let Some(s) = &mut m.suspicion {
                reporters.iter().for_each(|&reporter| added |= s.add_reporter(reporter));
            }
        });
        if added {
            self.gossip.add(status.id, false);
        }
        let reported_here = reporters.contains(&self.status.id.short_id());
        let already_probed = self.probes.values().any(|p| p.target == status.id);
        if is_new
            && !reported_here
            && !already_probed
            && self.random.chance(SUSPECT_VERIFIERS / self.present_count() as f64)
        {
            self.probe(status.id, out);
        }
    }

    /// Adds a member that was not known, or not in this process run. A failed member that was never seen
    /// present is added without an output and without gossip. It is remembered because its share of the
    /// limits may be in use on the other side of a partition.
    fn add_member(&mut self, record: &MemberRecord, change: Change, out: &mut Vec<Output>) {
        let (status, info) = (record.status, record.info.clone());
        let (id, name, is_present) = (status.id, info.name.clone(), status.state.is_present());
        let state_since = self.now - if is_present { 0 } else { Ns::from(record.seconds_in_state) * SECOND };
        if !is_present && self.now - state_since > ADVERTISE_FAILED_FOR {
            return;
        }
        let suspicion = (status.state == State::Suspect).then(|| Suspicion::new(self.now));
        self.view.upsert(Member {
            status,
            info,
            state_since,
            last_contact: None,
            load: 0,
            suspicion,
            expired: false,
        });
        if !is_present && change == Change::Joined {
            return;
        }
        self.gossip.add(id, true);
        if change == Change::Joined {
            let index = self.random.below(self.probe_order.len() as Ns + 1) as usize;
            self.probe_order.insert(index, id);
        }
        let change = match status.state {
            State::Failed => Change::Gone,
            State::Left => Change::Left,
            _ => change,
        };
        out.push(Output::Changed { id, name, change });
    }

    /// Sets another state or incarnation number of a known process run.
    fn set_status(&mut self, status: MemberStatus, out: &mut Vec<Output>) {
        let Some(member) = self.view.get(status.id) else { return };
        let previous_state = member.status.state;
        let mut member = member.clone();
        let name = member.info.name.clone();
        member.status = status;
        if previous_state != status.state {
            member.state_since = self.now;
        }
        member.suspicion = (status.state == State::Suspect).then(|| Suspicion::new(self.now));
        member.expired = false;
        self.view.upsert(member);
        self.gossip.add(status.id, false);
        let change = match status.state {
            State::Suspect => Change::Suspected,
            State::Failed => Change::Gone,
            State::Left => Change::Left,
            _ if previous_state > State::Alive => Change::Refuted,
            _ => return,
        };
        out.push(Output::Changed { id: status.id, name, change });
    }
}

/// Returns for how many seconds a member has been in its state.
pub(crate) fn seconds_in_state(member: &Member, now: Ns) -> u16 {
    u16::try_from((now - member.state_since) / SECOND).unwrap_or(u16::MAX)
}

pub(crate) fn update_for(member: &Member) -> StatusUpdate {
    let reporters = member.suspicion.as_ref().map_or(&[][..], |s| s.reporters()).to_vec();
    StatusUpdate { status: member.status, reporters }
}

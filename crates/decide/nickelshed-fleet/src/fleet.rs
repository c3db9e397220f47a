//! One member of a fleet: datagrams and time in, datagrams and verdicts out. Probes, suspicion, refutation and gossip
//! after SWIM and Lifeguard; what two views lack of one another is `sync.rs`.
use crate::budget::{Budget, Weight};
use crate::datagram::{read, Datagram, Dropped, Kind, News, Seal, Whole, Writer};
use crate::health::Health;
use crate::member::{mark, Claim, Facts, Id, Incarnation, State};
use crate::parts::Seen;
use crate::random::Random;
use crate::rumours::Rumours;
use crate::suspicion::Suspicion;
use crate::view::{Member, View};
use crate::Ns;
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub(crate) const MS: Ns = 1_000_000;
pub(crate) const SECOND: Ns = 1_000 * MS;

/// One other member is asked in each period (SWIM, section 3.1).
pub const PERIOD: Ns = 250 * MS;
/// An answer is late after this; the member is then asked once more, and helpers ask it too.
const LATE: Ns = 120 * MS;
/// A probe has failed after this, if nobody had an answer.
const FAILED: Ns = 400 * MS;
/// Helpers that are asked to ask (SWIM, section 3.1: k).
const HELPERS: usize = 3;
/// Of those that hear of a suspicion about so many ask the suspect at once, so that it hears of it, and the innocent are
/// cleared by more than one answer.
const ASKERS: f64 = 8.0;
/// One that is gone, or a seed, is asked so often, so that a partition that has healed is found.
const ASK_GONE: Ns = SECOND;
const MOST_ASKED: usize = 4;
/// Before another's word that a member is gone is taken, that has been suspect here for so long; one that was heard
/// itself lately is asked once more.
const VERIFY: Ns = 1_200 * MS;
const VOUCH: Ns = 3 * SECOND;
/// Others are told of one that is gone for so long, and it is remembered for a while longer, as clocks differ.
const TOLD: Ns = 3_600 * SECOND;
const KEEP: Ns = TOLD + 120 * SECOND;
/// A process takes over its name from an earlier life for so long after its start; later on another life of its name
/// is another process.
const CLAIMS_NAME: Ns = 10 * SECOND;
/// A timer that comes so late says that the process stood still.
const STOOD_STILL: Ns = 250 * MS;
/// How often suspects are looked through, at most.
const JUDGE: Ns = 50 * MS;
/// After a standstill of this length its own verdicts wait, as all it knows is old.
const LONG_STILL: Ns = SECOND;
const WAKES: Ns = 2 * SECOND;
/// With nobody to join it counts as joined after this.
const ALONE: Ns = 3 * SECOND;
/// Refutations within this time that did not help say that others do not hear it.
const UNHEARD: Ns = 10 * SECOND;

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    pub facts: Facts,
    /// Greater than at any earlier start of this name, as far as its folder knows.
    pub start: u32,
    /// Members that are asked for the others. Its own address among them is passed over.
    pub seeds: Vec<SocketAddr>,
    pub seal: Seal,
    /// Bytes a second that it may send.
    pub rate: u32,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    Datagram {
        from: SocketAddr,
        bytes: &'a [u8],
    },
    Timer,
    /// In 255ths of what this member can carry.
    Load(u8),
    /// The settings were replaced: this is another life with the next start.
    Settings(u32),
    /// It ends on purpose: others need not look for it.
    Leave,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Joined,
    /// Another life of a name that was known.
    Returned,
    Suspected,
    /// It has said that it is there.
    Refuted,
    Gone,
    Left,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// To be written into the state folder: no later life may start with it or less.
    Keep {
        start: u32,
    },
    Changed {
        id: Id,
        name: String,
        change: Change,
    },
    /// A later life of this member's name is elsewhere: this one is silent from now on.
    NameTaken {
        by: Incarnation,
    },
    /// The process stood still for so long.
    StoodStill {
        time: Ns,
    },
}

/// What was dropped or kept back, since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub dropped: BTreeMap<Dropped, u64>,
    pub refuted: u64,
    pub verdicts: u64,
}

/// A member that is being asked.
struct Probe {
    target: Id,
    address: SocketAddr,
    claim: Claim,
    sent: Ns,
    asks: u8,
    next: Ns,
    ends: Ns,
    nacked: bool,
}

/// A member that is asked for another.
struct Relay {
    to: SocketAddr,
    seq: u32,
    target: Id,
    ends: Ns,
}

pub struct Fleet {
    pub(crate) seal: Seal,
    seeds: Vec<SocketAddr>,
    pub(crate) facts: Facts,
    pub(crate) claim: Claim,
    pub(crate) now: Ns,
    pub(crate) random: Random,
    pub(crate) view: View,
    /// Whom to ask, in an order drawn anew each time round (SWIM, section 4.3).
    order: Vec<Id>,
    /// Addresses where somebody may be again that are still to be asked in this round.
    round: Vec<SocketAddr>,
    probes: BTreeMap<u32, Probe>,
    relays: BTreeMap<u32, Relay>,
    next_seq: u32,
    pub(crate) rumours: Rumours,
    health: Health,
    budget: Budget,
    load: u8,
    probe_at: Ns,
    ask_at: Ns,
    pub(crate) sync_at: Ns,
    /// A member whose mark differed when it was last heard.
    pub(crate) differs: Option<(Id, SocketAddr)>,
    /// Those whose mark was heard lately: whether it was this one's.
    roots: BTreeMap<Id, (Ns, bool)>,
    verdicts_at: Ns,
    judged_at: Ns,
    born: Ns,
    ousted: bool,
    /// When it last had to refute that it is gone, and how often in a row.
    called_gone: (Ns, u32),
    last_answer: Ns,
    pub(crate) counts: Counts,
}

impl Fleet {
    #[must_use]
    pub fn new(config: Config, now: Ns) -> Fleet {
        let mut random = Random::new(config.seed);
        let incarnation = Incarnation { start: config.start, nonce: random.draw() as u32, word: 0 };
        let claim = Claim { id: Id::of(&config.facts.name), incarnation, state: State::Joining };
        let mut rumours = Rumours::default();
        rumours.add(claim.id, true);
        Fleet {
            seal: config.seal,
            seeds: config.seeds.into_iter().filter(|s| *s != config.facts.address).collect(),
            facts: config.facts,
            claim,
            now,
            view: View::default(),
            order: Vec::new(),
            round: Vec::new(),
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            next_seq: random.draw() as u32,
            rumours,
            health: Health::default(),
            budget: Budget::new(config.rate, now),
            load: 0,
            probe_at: now + random.below(PERIOD),
            ask_at: now,
            sync_at: now + random.below(PERIOD),
            differs: None,
            roots: BTreeMap::new(),
            verdicts_at: now,
            judged_at: now,
            born: now,
            ousted: false,
            called_gone: (now, 0),
            last_answer: now,
            counts: Counts::default(),
            random,
        }
    }

    /// Takes one input. Time never goes back.
    pub fn handle(&mut self, now: Ns, input: Input<'_>, out: &mut Vec<Output>) {
        self.notice_standstill(now, out);
        self.now = self.now.max(now);
        match input {
            _ if self.ousted => return,
            Input::Datagram { from, bytes } => match read(bytes, &self.seal) {
                Ok(datagram) => {
                    self.counts.received += 1;
                    self.datagram(from, datagram, out);
                }
                Err(why) => *self.counts.dropped.entry(why).or_default() += 1,
            },
            Input::Timer => {}
            Input::Load(load) => self.load = load,
            Input::Settings(settings) if settings != self.facts.settings => {
                self.facts.settings = settings;
                self.begin_life(self.claim.incarnation.start + 1, out);
            }
            Input::Settings(_) => {}
            Input::Leave => return self.leave(out),
        }
        self.tick(out);
    }

    /// When the next `Timer` is due. It is never far off: who is there is asked all the time.
    #[must_use]
    pub fn wake_at(&self) -> Ns {
        if self.ousted {
            return Ns::MAX;
        }
        let probes = self.probes.values().map(|p| p.next);
        let relays = self.relays.values().map(|r| r.ends);
        probes.chain(relays).chain([self.probe_at, self.ask_at, self.sync_at]).min().unwrap_or(self.probe_at)
    }

    /// This member as it claims to be.
    #[must_use]
    pub fn own(&self) -> (&Claim, &Facts) {
        (&self.claim, &self.facts)
    }

    /// All others that are known, also those that are gone.
    pub fn members(&self) -> impl Iterator<Item = &Member> + '_ {
        self.view.iter()
    }

    /// How many are present, this one counted.
    #[must_use]
    pub fn present(&self) -> usize {
        self.view.present() + 1
    }

    /// The mark of the whole view: two that agree have the same.
    #[must_use]
    pub fn root(&self) -> u64 {
        self.view.root().wrapping_add(mark(&self.claim, 0))
    }

    /// Of the members heard within the last seconds, how many hold the same set as this one, and how many were heard.
    #[must_use]
    pub fn agreement(&self) -> (usize, usize) {
        let lately = self.roots.values().filter(|(at, _)| self.now - at < VOUCH);
        lately.fold((0, 0), |(same, all), (_, s)| (same + usize::from(*s), all + 1))
    }

    /// What parts are reckoned by.
    #[must_use]
    pub fn seen(&self) -> Seen {
        let of = |wanted: fn(State) -> bool| -> Vec<Id> {
            self.view.iter().filter(|m| wanted(m.claim.state)).map(|m| m.claim.id).collect()
        };
        let (same, heard) = self.agreement();
        let alone = self.view.present() == 0;
        Seen {
            present: of(State::is_present),
            gone: of(|s| s == State::Gone),
            left: of(|s| s == State::Left),
            doubts_itself: self.doubts_itself(),
            settled: self.claim.state == State::Alive && (heard > 0 || alone) && 2 * same >= heard,
        }
    }

    /// Whether this member may doubt itself more than the others: it stood still, is told again and again that it is
    /// gone, or has had no answer.
    #[must_use]
    pub fn doubts_itself(&self) -> bool {
        let (at, times) = self.called_gone;
        let unheard = times > 1 && self.now - at < UNHEARD;
        let unanswered = self.view.present() > 0 && self.now - self.last_answer > VOUCH;
        self.now < self.verdicts_at || unheard || unanswered || self.ousted
    }

    #[must_use]
    pub fn is_ousted(&self) -> bool {
        self.ousted
    }

    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts.clone()
    }

    /// A process that was stopped wakes to deadlines that are over, and to datagrams that were not read. What should
    /// have come meanwhile counts from now on (Lifeguard, section II: the slow member blames the others).
    fn notice_standstill(&mut self, now: Ns, out: &mut Vec<Output>) {
        let late = now.saturating_sub(self.wake_at());
        if self.ousted || late < STOOD_STILL {
            return;
        }
        for probe in self.probes.values_mut() {
            probe.next += late;
            probe.ends += late;
            probe.sent += late;
        }
        let ids: Vec<Id> = self.view.iter().map(|m| m.claim.id).collect();
        for id in ids {
            self.view.touch(id, |m| {
                m.suspicion.iter_mut().for_each(|s| s.put_off(late));
            });
        }
        self.relays.clear();
        self.last_answer = self.last_answer.max(now - VOUCH / 2);
        if late >= LONG_STILL {
            self.health.worse(2);
            self.verdicts_at = now + WAKES;
            out.push(Output::StoodStill { time: late });
        }
    }

    fn begin_life(&mut self, start: u32, out: &mut Vec<Output>) {
        let incarnation = Incarnation { start, word: 0, ..self.claim.incarnation };
        self.claim = Claim { incarnation, ..self.claim };
        out.push(Output::Keep { start });
        self.rumours.add(self.claim.id, true);
    }

    fn leave(&mut self, out: &mut Vec<Output>) {
        self.claim.incarnation.word += 1;
        self.claim.state = State::Left;
        self.rumours.add(self.claim.id, false);
        for id in self.some_present(HELPERS + 2, Id::NOBODY) {
            let mut writer = self.writer(Kind::Sync);
            let news = News { claim: self.claim, accusers: Vec::new() };
            writer.news(&news);
            self.send(self.view.get(id).map(|m| m.facts.address), writer, Weight::Answer, out);
        }
        self.ousted = true;
    }

    pub(crate) fn writer(&self, kind: Kind) -> Writer {
        let mut writer = Writer::new(kind);
        writer.from(&self.claim);
        writer
    }

    /// Whether the budget let it go.
    pub(crate) fn send(
        &mut self,
        to: Option<SocketAddr>,
        writer: Writer,
        weight: Weight,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(to) = to else { return false };
        let bytes = writer.end(&self.seal);
        let takes = self.budget.takes(self.now, bytes.len(), weight);
        if takes {
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            out.push(Output::Send { to, bytes });
        }
        takes
    }

    /// Adds this member's mark and load, and what its reader must hear of itself.
    fn head(&self, writer: &mut Writer, to: Id) {
        writer.root(self.root());
        writer.load(self.load);
        if let Some(member) = self.view.get(to).filter(|m| m.claim.state > State::Alive) {
            writer.news(&News { claim: member.claim, accusers: Vec::new() });
        }
    }

    /// Adds as much news as fits.
    fn fill(&mut self, mut writer: Writer, to: Id) -> Writer {
        self.head(&mut writer, to);
        let members = self.present();
        // One that does not fit leaves its place to smaller ones, within a few tries.
        let next: Vec<(Id, bool)> = self.rumours.next().take(16).collect();
        for (id, whole) in next {
            let fits = if id == self.claim.id {
                if whole {
                    writer.whole(&self.claim, &self.facts, 0)
                } else {
                    writer.news(&News { claim: self.claim, accusers: Vec::new() })
                }
            } else {
                match self.view.get(id) {
                    Some(member) if whole && member.claim.state < State::Suspect => {
                        writer.whole(&member.claim, &member.facts, age(member, self.now))
                    }
                    Some(member) => writer.news(&news_of(member)),
                    None => true,
                }
            };
            if fits {
                self.rumours.carried(id, members);
            }
        }
        writer
    }

    /// So many members that are present, drawn at random.
    pub(crate) fn some_present(&mut self, most: usize, but: Id) -> Vec<Id> {
        let present = self.view.iter().filter(|m| m.claim.state < State::Suspect && m.claim.id != but);
        let mut ids: Vec<Id> = present.map(|m| m.claim.id).collect();
        self.random.shuffle(&mut ids);
        ids.truncate(most);
        ids
    }

    fn seq(&mut self) -> u32 {
        self.next_seq = self.next_seq.wrapping_add(1);
        self.next_seq
    }

    fn tick(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let due = |next: Ns| next <= now;
        let probes: Vec<u32> = self.probes.iter().filter(|(_, p)| due(p.next)).map(|(&s, _)| s).collect();
        probes.into_iter().for_each(|seq| self.go_on(seq, out));
        let over: Vec<u32> = self.relays.iter().filter(|(_, r)| due(r.ends)).map(|(&s, _)| s).collect();
        for seq in over {
            let relay = self.relays.remove(&seq).expect("it was found above");
            let mut writer = self.writer(Kind::Nack);
            writer.seq(relay.seq);
            writer.target(relay.target);
            self.send(Some(relay.to), writer, Weight::Question, out);
        }
        if due(self.probe_at) {
            self.probe_at = now + self.health.stretch(PERIOD);
            self.forget();
            self.probe_next(out);
            if self.claim.state == State::Joining && self.view.present() == 0 && now - self.born > ALONE {
                self.joined();
            }
        }
        if now >= self.judged_at + JUDGE {
            self.judged_at = now;
            self.judge_suspects(out);
        }
        if due(self.ask_at) {
            let alone = self.view.present() == 0;
            self.ask_at = now + if alone { PERIOD } else { ASK_GONE } + self.random.below(PERIOD / 4);
            self.ask_gone(out);
        }
        if due(self.sync_at) {
            self.begin_sync(out);
        }
    }

    /// All others are known: it is a member like them.
    pub(crate) fn joined(&mut self) {
        if self.claim.state == State::Joining {
            self.claim.state = State::Alive;
            self.rumours.add(self.claim.id, false);
        }
    }

    fn probe_next(&mut self, out: &mut Vec<Output>) {
        for _ in 0..2 {
            while let Some(id) = self.order.pop() {
                let asked = self.probes.values().any(|p| p.target == id);
                if !asked && self.view.get(id).is_some_and(|m| m.claim.state.is_present()) {
                    return self.probe(id, out);
                }
            }
            self.order =
                self.view.iter().filter(|m| m.claim.state.is_present()).map(|m| m.claim.id).collect();
            self.random.shuffle(&mut self.order);
        }
    }

    fn probe(&mut self, id: Id, out: &mut Vec<Output>) {
        let Some(member) = self.view.get(id) else { return };
        let (address, claim) = (member.facts.address, member.claim);
        let (seq, now) = (self.seq(), self.now);
        let (next, ends) = (now + self.health.stretch(LATE), now + self.health.stretch(FAILED));
        // One that was not asked, for want of budget, can't have failed to answer.
        if self.ping(seq, id, address, true, out) {
            let probe = Probe { target: id, address, claim, sent: now, asks: 1, next, ends, nacked: false };
            self.probes.insert(seq, probe);
        }
    }

    /// Asks a member. Only the first time is `news` carried: one that is gone is asked often, and hears none of it.
    fn ping(&mut self, seq: u32, target: Id, address: SocketAddr, news: bool, out: &mut Vec<Output>) -> bool {
        let mut writer = self.writer(Kind::Ping);
        writer.seq(seq);
        writer.target(target);
        let suspect = self.view.get(target).is_some_and(|m| m.claim.state == State::Suspect);
        let writer = if news && !suspect {
            self.fill(writer, target)
        } else {
            self.head(&mut writer, target);
            writer
        };
        self.send(Some(address), writer, Weight::Question, out)
    }

    /// A probe without an answer so far: it is asked again, by others too, and has failed in the end.
    fn go_on(&mut self, seq: u32, out: &mut Vec<Output>) {
        let (now, late) = (self.now, self.health.stretch(LATE));
        let Some(probe) = self.probes.get_mut(&seq) else { return };
        let (target, address, asks) = (probe.target, probe.address, probe.asks);
        if now >= probe.ends {
            return self.failed(seq, out);
        }
        probe.asks += 1;
        probe.next = if asks >= 2 { probe.ends } else { (now + late).min(probe.ends) };
        self.ping(seq, target, address, false, out);
        if asks == 1 {
            for helper in self.some_present(HELPERS, target) {
                let mut writer = self.writer(Kind::PingFor);
                writer.seq(seq);
                writer.target(target);
                writer.at(address);
                let to = self.view.get(helper).map(|m| m.facts.address);
                self.send(to, writer, Weight::Question, out);
            }
        }
    }

    fn failed(&mut self, seq: u32, out: &mut Vec<Output>) {
        let Some(probe) = self.probes.remove(&seq) else { return };
        let Some(member) = self.view.get(probe.target) else { return };
        // Another life, or one that was heard meanwhile, is not the one that did not answer.
        let claim = member.claim;
        let heard = member.heard.is_some_and(|at| at >= probe.sent);
        if heard || claim.incarnation != probe.claim.incarnation || !claim.state.is_present() {
            return;
        }
        if !probe.nacked {
            self.health.worse(1);
        }
        let accuser = self.claim.id.short();
        self.suspect(claim, &[accuser], out);
        self.view.touch(probe.target, |m| m.suspicion.iter_mut().for_each(|s| s.asked = true));
    }

    /// Whose time to refute is over is gone, if this member has asked it in vain itself.
    fn judge_suspects(&mut self, out: &mut Vec<Output>) {
        let (now, members) = (self.now, self.present());
        if now < self.verdicts_at {
            return;
        }
        let over = |m: &&Member| {
            let Some(s) = &m.suspicion else { return false };
            s.ends(members) <= now || s.said_gone.is_some() && s.since() + VERIFY <= now
        };
        let over: Vec<(Claim, bool)> = self
            .view
            .iter()
            .filter(over)
            .map(|m| (m.claim, m.suspicion.as_ref().is_some_and(|s| s.asked || s.said_gone.is_some())))
            .collect();
        for (claim, asked) in over {
            if asked {
                self.counts.verdicts += 1;
                self.set(Claim { state: State::Gone, ..claim }, out);
            } else if self.random.chance(ASKERS / members as f64) {
                // Mostly another's verdict comes first; not all have to ask one that is gone.
                self.probe(claim.id, out);
            }
        }
    }

    /// Asks some that are gone, or seeds that are not known, as a partition may have healed: each once in a round.
    fn ask_gone(&mut self, out: &mut Vec<Output>) {
        let present = |m: &&Member| m.claim.state.is_present();
        let known: Vec<SocketAddr> = self.view.iter().filter(present).map(|m| m.facts.address).collect();
        let gone = self.view.iter().filter(|m| m.claim.state == State::Gone).map(|m| m.facts.address);
        let mut ask: Vec<SocketAddr> = gone.chain(self.seeds.iter().copied()).collect();
        ask.retain(|at| !known.contains(at));
        ask.sort_unstable();
        ask.dedup();
        if ask.is_empty() {
            return;
        }
        // The fewer are left, the more each of them has to ask.
        let times = (ask.len() / self.present()).clamp(1, MOST_ASKED);
        for _ in 0..times {
            self.round.retain(|at| ask.contains(at));
            if self.round.is_empty() {
                self.round.clone_from(&ask);
                self.random.shuffle(&mut self.round);
            }
            let Some(address) = self.round.pop() else { return };
            let id = self.view.iter().find(|m| m.facts.address == address).map_or(Id::NOBODY, |m| m.claim.id);
            let seq = self.seq();
            let mut writer = self.writer(Kind::Ping);
            writer.seq(seq);
            // Whoever is at that address may answer: its name may have gone elsewhere.
            writer.target(Id::NOBODY);
            self.head(&mut writer, id);
            writer.whole(&self.claim, &self.facts, 0);
            self.send(Some(address), writer, Weight::Question, out);
        }
    }

    fn forget(&mut self) {
        let now = self.now;
        let old = |m: &&Member| !m.claim.state.is_present() && now - m.since > TOLD && !m.faded;
        let old: Vec<Member> = self.view.iter().filter(old).cloned().collect();
        for member in old {
            self.rumours.remove(member.claim.id);
            self.view.put(Member { faded: true, ..member });
        }
        let over: Vec<Id> =
            self.view.iter().filter(|m| m.faded && now - m.since > KEEP).map(|m| m.claim.id).collect();
        over.into_iter().for_each(|id| self.view.remove(id));
        self.roots.retain(|_, (at, _)| self.now - *at < VOUCH);
    }

    fn datagram(&mut self, from: SocketAddr, d: Datagram, out: &mut Vec<Output>) {
        let mut answer = crate::sync::Answer::default();
        // Its facts first: its claim alone says nothing of one that is not known.
        for whole in &d.whole {
            self.hear(whole.claim, Some(whole), &[], &d, &mut answer, out);
        }
        if let Some(claim) = d.from {
            self.hear(claim, None, &[], &d, &mut answer, out);
            self.heard(claim, from, &d);
        }
        for news in &d.news {
            self.hear(news.claim, None, &news.accusers, &d, &mut answer, out);
        }
        match d.kind {
            Kind::Ping => self.answer_ping(from, &d, out),
            Kind::Ack => self.acked(&d, out),
            Kind::Nack => {
                if let Some(probe) = self.probes.get_mut(&d.seq).filter(|p| p.target == d.target) {
                    probe.nacked = true;
                }
            }
            Kind::PingFor => {
                if let Some(at) = d.at.filter(|_| d.from.is_some()) {
                    let seq = self.seq();
                    let ends = self.now + LATE;
                    self.relays.insert(seq, Relay { to: from, seq: d.seq, target: d.target, ends });
                    self.ping(seq, d.target, at, false, out);
                }
            }
            Kind::Sync => self.compare(&d, &mut answer),
        }
        self.reply(from, answer, out);
    }

    /// A datagram of its own says that a member is there, and how its view stands to this one.
    fn heard(&mut self, claim: Claim, from: SocketAddr, d: &Datagram) {
        let now = self.now;
        let is_same = |m: &Member| m.claim.incarnation.is_same_life(claim.incarnation);
        if !self.view.get(claim.id).is_some_and(is_same) {
            return;
        }
        self.view.touch(claim.id, |m| {
            m.heard = Some(now);
            m.load = d.load;
            // It has still to hear that it is doubted, and to say otherwise; but nobody who hears it takes it for gone.
            m.suspicion.iter_mut().for_each(|s| s.begin_anew(now));
        });
        let Some(root) = d.root else { return };
        let same = root == self.root();
        self.roots.insert(claim.id, (now, same));
        if same {
            self.joined();
        } else {
            self.differs = Some((claim.id, from));
            self.sync_soon();
        }
    }

    fn answer_ping(&mut self, from: SocketAddr, d: &Datagram, out: &mut Vec<Output>) {
        let own = self.claim.id;
        if d.target != own && d.target != Id::NOBODY {
            // It looks for another, that had this address: no answer of this member may pass for one of that.
            let mut writer = self.writer(Kind::Sync);
            writer.whole(&self.claim, &self.facts, 0);
            self.send(Some(from), writer, Weight::Spare, out);
            return;
        }
        let mut writer = self.writer(Kind::Ack);
        writer.seq(d.seq);
        writer.target(own);
        if d.target == Id::NOBODY {
            writer.whole(&self.claim, &self.facts, 0);
        }
        let writer = match d.from {
            Some(asker) => self.fill(writer, asker.id),
            // One that only observes takes no news from those that need it.
            None => {
                self.head(&mut writer, Id::NOBODY);
                writer
            }
        };
        self.send(Some(from), writer, Weight::Answer, out);
    }

    fn acked(&mut self, d: &Datagram, out: &mut Vec<Output>) {
        if let Some(relay) = self.relays.remove(&d.seq) {
            let mut writer = self.writer(Kind::Ack);
            writer.seq(relay.seq);
            writer.target(relay.target);
            if let Some(member) = self.view.get(relay.target) {
                writer.news(&news_of(member));
            }
            self.send(Some(relay.to), writer, Weight::Answer, out);
            return;
        }
        let now = self.now;
        if d.from.is_some() {
            self.last_answer = now;
        }
        if self.probes.get(&d.seq).is_some_and(|p| p.target == d.target) {
            self.probes.remove(&d.seq);
            self.health.better();
            // That it was asked in vain before counts for nothing now.
            self.view.touch(d.target, |m| m.suspicion.iter_mut().for_each(|s| s.asked = false));
        }
    }

    /// Takes what is said of a member, by whomever.
    fn hear(
        &mut self,
        claim: Claim,
        whole: Option<&Whole>,
        accusers: &[u32],
        d: &Datagram,
        answer: &mut crate::sync::Answer,
        out: &mut Vec<Output>,
    ) {
        if claim.id == self.claim.id {
            return self.hear_of_itself(claim, out);
        }
        let Some(member) = self.view.get(claim.id) else {
            match whole {
                Some(whole) if claim.state != State::Left => self.meet(whole, Change::Joined, out),
                None if claim.state != State::Left => answer.want(claim.id),
                _ => {}
            }
            return;
        };
        let held = member.claim;
        let by_itself = d.from.is_some_and(|c| c.id == claim.id);
        if claim.incarnation.is_same_life(held.incarnation) {
            match claim.cmp(&held) {
                std::cmp::Ordering::Greater => self.hear_more(claim, accusers, by_itself, out),
                std::cmp::Ordering::Equal if claim.state == State::Suspect => {
                    self.suspect(claim, accusers, out)
                }
                std::cmp::Ordering::Equal => {}
                std::cmp::Ordering::Less if d.kind == Kind::Sync => answer.correct(claim.id, false),
                std::cmp::Ordering::Less => {}
            }
        } else if claim.incarnation > held.incarnation {
            match whole {
                Some(whole) => self.meet(whole, Change::Returned, out),
                None => answer.want(claim.id),
            }
        } else if d.kind == Kind::Sync {
            answer.correct(claim.id, true);
        }
    }

    /// What is said of this member itself: that it is gone it can refute; another life of its name it can't be.
    fn hear_of_itself(&mut self, claim: Claim, out: &mut Vec<Output>) {
        let own = self.claim.incarnation;
        if claim.incarnation.is_same_life(own) {
            if claim.state > State::Alive && claim.incarnation.word >= own.word {
                self.claim.incarnation.word = claim.incarnation.word.saturating_add(1);
                self.counts.refuted += 1;
                self.health.worse(1);
                self.rumours.add(self.claim.id, false);
                if claim.state == State::Gone {
                    let (at, times) = self.called_gone;
                    let again = self.now - at < UNHEARD;
                    self.called_gone = (self.now, if again { times + 1 } else { 1 });
                }
            }
        } else if claim.incarnation > own {
            if self.now - self.born < CLAIMS_NAME {
                // The folder was lost, or written to by another life: this one is later all the same.
                self.begin_life(claim.incarnation.start.saturating_add(1), out);
            } else {
                self.ousted = true;
                out.push(Output::NameTaken { by: claim.incarnation });
            }
        }
    }

    /// A greater claim on the life that is known.
    fn hear_more(&mut self, claim: Claim, accusers: &[u32], by_itself: bool, out: &mut Vec<Output>) {
        let now = self.now;
        match claim.state {
            State::Suspect => self.suspect(claim, accusers, out),
            State::Gone
                if !by_itself && self.view.get(claim.id).is_some_and(|m| m.claim.state.is_present()) =>
            {
                // A view that was cut off says so of all that it could not reach. Whom nobody doubted here is suspect
                // for a time first, and asked by some.
                self.suspect(Claim { state: State::Suspect, ..claim }, &[], out);
                let (mut ask, asked) = (false, self.random.chance(ASKERS / self.present() as f64));
                self.view.touch(claim.id, |m| {
                    let lately = m.heard.is_some_and(|at| now - at < VOUCH);
                    if let Some(s) = &mut m.suspicion {
                        ask = s.said_gone.is_none() && (lately || asked);
                        s.said_gone.get_or_insert(now);
                    }
                });
                if ask && !self.probes.values().any(|p| p.target == claim.id) {
                    self.probe(claim.id, out);
                }
            }
            _ => self.set(claim, out),
        }
    }

    /// Holds a member as suspect, with those that accuse it.
    fn suspect(&mut self, claim: Claim, accusers: &[u32], out: &mut Vec<Output>) {
        let claim = Claim { state: State::Suspect, ..claim };
        let is_new = self.view.get(claim.id).is_some_and(|m| claim > m.claim);
        if is_new {
            self.set(claim, out);
        }
        let mut more = false;
        self.view.touch(claim.id, |m| {
            if let Some(s) = &mut m.suspicion {
                accusers.iter().for_each(|&by| more |= s.accuse(by));
            }
        });
        if more {
            self.rumours.add(claim.id, false);
        }
        let by_this_one = accusers.contains(&self.claim.id.short());
        let asked = self.probes.values().any(|p| p.target == claim.id);
        if is_new && !by_this_one && !asked && self.random.chance(ASKERS / self.present() as f64) {
            self.probe(claim.id, out);
        }
    }

    /// A member that was not known, or not in this life. Of one that was never seen present it is only remembered that it
    /// is gone: its part may be in use on the other side of a cut.
    fn meet(&mut self, whole: &Whole, change: Change, out: &mut Vec<Output>) {
        let (claim, facts) = (whole.claim, whole.facts.clone());
        let (id, name, present) = (claim.id, facts.name.clone(), claim.state.is_present());
        let since = self.now - if present { 0 } else { Ns::from(whole.age) * SECOND };
        if !present && self.now - since > TOLD {
            return;
        }
        let suspicion = (claim.state == State::Suspect).then(|| Suspicion::new(self.now));
        self.view.put(Member { claim, facts, since, heard: None, load: 0, suspicion, faded: false });
        if !present && change == Change::Joined {
            return;
        }
        self.rumours.add(id, true);
        if change == Change::Joined {
            let place = self.random.below(self.order.len() as Ns + 1) as usize;
            self.order.insert(place, id);
        }
        let change = match claim.state {
            State::Gone => Change::Gone,
            State::Left => Change::Left,
            _ => change,
        };
        out.push(Output::Changed { id, name, change });
    }

    /// Another state or word of a life that is known.
    fn set(&mut self, claim: Claim, out: &mut Vec<Output>) {
        let Some(member) = self.view.get(claim.id) else { return };
        let before = member.claim.state;
        let mut member = member.clone();
        let name = member.facts.name.clone();
        member.claim = claim;
        if before != claim.state {
            member.since = self.now;
        }
        member.suspicion = (claim.state == State::Suspect).then(|| Suspicion::new(self.now));
        member.faded = false;
        self.view.put(member);
        self.rumours.add(claim.id, false);
        let change = match claim.state {
            State::Suspect => Change::Suspected,
            State::Gone => Change::Gone,
            State::Left => Change::Left,
            _ if before > State::Alive => Change::Refuted,
            _ => return,
        };
        out.push(Output::Changed { id: claim.id, name, change });
    }
}

/// For how many seconds a member has been in its state.
pub(crate) fn age(member: &Member, now: Ns) -> u16 {
    u16::try_from((now - member.since) / SECOND).unwrap_or(u16::MAX)
}

pub(crate) fn news_of(member: &Member) -> News {
    let accusers = member.suspicion.as_ref().map_or(&[][..], |s| s.accusers()).to_vec();
    News { claim: member.claim, accusers }
}

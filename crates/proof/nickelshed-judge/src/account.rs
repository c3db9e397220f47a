//! Where slots and time went on a day, by how destinations stood: what a change of routing, limits or retries has to move.
use crate::event::{CallEnd, Event, EventKind, Us};
use crate::worth::ValueFunction;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// How a destination stands, and what a sender can know of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DestinationState {
    Well,
    /// Out, and no call of this sender has failed there since.
    Unseen,
    /// Out, and the sender has seen it.
    Sick,
    /// Back, and cold.
    Returning,
}

/// What became of a stretch of a message's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MessagePhase {
    /// Held by its sender before the first attempt.
    Held,
    /// Out in an attempt that did not deliver it.
    OutInVain,
    /// Held between two attempts.
    Between,
    /// Out in the attempt that delivered it.
    Delivered,
    /// Refused, and not handed in again yet.
    Away,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct TimeAccount {
    /// Microseconds of slots, by the state when the call began, whether it was a message's first, and whether it
    /// delivered any.
    pub slot_time: BTreeMap<(DestinationState, bool, bool), Us>,
    /// Messages late or not delivered, by what took most of their time and how their destination stood when that began.
    pub late_causes: BTreeMap<(DestinationState, MessagePhase), usize>,
    /// One in a hundred of the messages for destinations that are well took longer, in milliseconds: while none is out,
    /// and while any is. Infinite where as many were never delivered.
    pub healthy_p99_ms: (f64, f64),
}

impl TimeAccount {
    /// The part of all slot time that delivered nothing; 0 where there was none.
    pub fn wasted_fraction(&self) -> f64 {
        let all: Us = self.slot_time.values().sum();
        let vain: Us = self.slot_time.iter().filter(|((.., useful), _)| !useful).map(|(_, time)| time).sum();
        vain as f64 / all.max(1) as f64
    }
}

#[derive(Default)]
struct Destinations {
    out: BTreeSet<u64>,
    back: BTreeMap<u64, Us>,
    seen: BTreeSet<(usize, u64)>,
}

impl Destinations {
    fn state(&self, sender: usize, dest: u64, at: Us, cold: Us) -> DestinationState {
        match self.back.get(&dest) {
            _ if self.out.contains(&dest) && self.seen.contains(&(sender, dest)) => DestinationState::Sick,
            _ if self.out.contains(&dest) => DestinationState::Unseen,
            Some(back) if at < back + cold => DestinationState::Returning,
            _ => DestinationState::Well,
        }
    }

    fn failed(&mut self, sender: usize, dest: u64) {
        if self.out.contains(&dest) {
            self.seen.insert((sender, dest));
        }
    }
}

struct Message {
    class: usize,
    dest: u64,
    sender: usize,
    first: Us,
    delivered: Option<Us>,
    tried: bool,
    over: bool,
    /// What it is doing, since when, and how its destination stood then.
    doing: (MessagePhase, Us, DestinationState),
    spent: BTreeMap<(DestinationState, MessagePhase), Us>,
    /// Some destination was out when it was handed in.
    amid: bool,
}

impl Message {
    /// Ends what it was doing, as `was` if that is known better now.
    fn turn(&mut self, at: Us, was: Option<MessagePhase>, to: MessagePhase, state: DestinationState) {
        let (doing, since, stood) = self.doing;
        *self.spent.entry((stood, was.unwrap_or(doing))).or_default() += at.saturating_sub(since);
        self.doing = (to, at, state);
    }
}

struct Out<'a> {
    sender: usize,
    dest: u64,
    from: Us,
    state: DestinationState,
    first: bool,
    ids: &'a [String],
}

/// Books a day; `classes` by the numbers that messages were handed in with, `cold`: how long a destination is cold.
pub fn account_time(events: &[Event], classes: &[ValueFunction], cold: Us) -> TimeAccount {
    let mut at_all = Destinations::default();
    let mut messages: BTreeMap<u64, Message> = BTreeMap::new();
    let mut number: BTreeMap<&str, u64> = BTreeMap::new();
    let mut calls: BTreeMap<u64, Out> = BTreeMap::new();
    let mut account = TimeAccount::default();
    for event in events {
        let at = event.at;
        match &event.kind {
            EventKind::OutageBegan { dest, .. } => {
                at_all.out.insert(*dest);
                at_all.seen.retain(|(_, d)| d != dest);
            }
            EventKind::OutageEnded { dest, .. } => {
                at_all.out.remove(dest);
                at_all.back.insert(*dest, at);
            }
            EventKind::Unreached { sender, dest, .. } => at_all.failed(*sender, *dest),
            EventKind::HandedIn { sender, id, message, class, dest, .. } => {
                number.insert(id, *message);
                let state = at_all.state(*sender, *dest, at, cold);
                let amid = !at_all.out.is_empty();
                let m = messages.entry(*message).or_insert_with(|| Message {
                    class: *class,
                    dest: *dest,
                    sender: *sender,
                    first: at,
                    delivered: None,
                    tried: false,
                    over: false,
                    doing: (MessagePhase::Held, at, state),
                    spent: BTreeMap::new(),
                    amid,
                });
                m.turn(at, None, MessagePhase::Held, state);
                (m.sender, m.tried, m.over) = (*sender, false, false);
            }
            EventKind::Heard { id, status } if !matches!(status, 200 | 202) => {
                let Some(m) = number.get(id.as_str()).and_then(|n| messages.get_mut(n)) else { continue };
                let state = at_all.state(m.sender, m.dest, at, cold);
                m.turn(at, None, MessagePhase::Away, state);
            }
            EventKind::Call { call, sender, dest, ids, first_byte, .. } => {
                let state = at_all.state(*sender, *dest, *first_byte, cold);
                let mut first = true;
                for id in ids {
                    let Some(m) = number.get(id.as_str()).and_then(|n| messages.get_mut(n)) else { continue };
                    first &= !std::mem::replace(&mut m.tried, true);
                    m.turn(*first_byte, None, MessagePhase::OutInVain, state);
                }
                calls.insert(
                    *call,
                    Out { sender: *sender, dest: *dest, from: *first_byte, state, first, ids },
                );
            }
            EventKind::Over { call, end: how } => {
                let Some(out) = calls.remove(call) else { continue };
                let useful = matches!(how, CallEnd::Answered { status: 200, .. });
                *account.slot_time.entry((out.state, out.first, useful)).or_default() +=
                    at.saturating_sub(out.from);
                if !useful {
                    at_all.failed(out.sender, out.dest);
                }
                let state = at_all.state(out.sender, out.dest, at, cold);
                for id in out.ids {
                    let Some(m) = number.get(id.as_str()).and_then(|n| messages.get_mut(n)) else { continue };
                    m.turn(at, useful.then_some(MessagePhase::Delivered), MessagePhase::Between, state);
                    if useful {
                        m.delivered.get_or_insert(at);
                        m.over = true;
                    }
                }
            }
            EventKind::Notice { id, .. } => {
                let Some(m) = number.get(id.as_str()).and_then(|n| messages.get_mut(n)) else { continue };
                if !std::mem::replace(&mut m.over, true) {
                    let state = at_all.state(m.sender, m.dest, at, cold);
                    m.turn(at, None, MessagePhase::Away, state);
                }
            }
            _ => {}
        }
    }
    let mut well: [Vec<Us>; 2] = Default::default();
    for m in messages.values() {
        let took = m.delivered.map(|at| at - m.first);
        let wanted = classes.get(m.class).map_or(Us::MAX, |c| c.target_latency);
        if m.spent.keys().all(|(state, _)| *state == DestinationState::Well) {
            well[usize::from(m.amid)].push(took.unwrap_or(Us::MAX));
        }
        if took.is_none_or(|t| t > wanted) {
            let most = m.spent.iter().max_by_key(|(_, time)| **time).map(|(cause, _)| *cause);
            *account
                .late_causes
                .entry(most.unwrap_or((DestinationState::Well, MessagePhase::Away)))
                .or_default() += 1;
        }
    }
    let [calm, amid] = well.map(|mut times| {
        times.sort_unstable();
        let at = (times.len().max(1) - 1) * 99 / 100;
        times.get(at).map_or(0.0, |t| if *t == Us::MAX { f64::INFINITY } else { *t as f64 / 1e3 })
    });
    account.healthy_p99_ms = (calm, amid);
    account
}

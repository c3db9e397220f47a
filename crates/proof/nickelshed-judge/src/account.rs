//! Where slots and time went on a day, by how destinations stood: what a change of routing, limits or retries has to move.
use crate::event::{Event, How, Us, What};
use crate::worth::Worth;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// How a destination stands, and what a sender can know of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
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
pub enum Doing {
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
pub struct Account {
    /// Microseconds of slots, by the state when the call began, whether it was a message's first, and whether it
    /// delivered any.
    pub slots: BTreeMap<(State, bool, bool), Us>,
    /// Messages late or not delivered, by what took most of their time and how their destination stood when that began.
    pub causes: BTreeMap<(State, Doing), usize>,
    /// One in a hundred of the messages for destinations that are well took longer, in milliseconds: while none is out,
    /// and while any is. Infinite where as many were never delivered.
    pub well_p99_ms: (f64, f64),
}

impl Account {
    /// The part of all slot time that delivered nothing; 0 where there was none.
    pub fn in_vain(&self) -> f64 {
        let all: Us = self.slots.values().sum();
        let vain: Us = self.slots.iter().filter(|((.., useful), _)| !useful).map(|(_, time)| time).sum();
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
    fn state(&self, sender: usize, dest: u64, at: Us, cold: Us) -> State {
        match self.back.get(&dest) {
            _ if self.out.contains(&dest) && self.seen.contains(&(sender, dest)) => State::Sick,
            _ if self.out.contains(&dest) => State::Unseen,
            Some(back) if at < back + cold => State::Returning,
            _ => State::Well,
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
    doing: (Doing, Us, State),
    spent: BTreeMap<(State, Doing), Us>,
    /// Some destination was out when it was handed in.
    amid: bool,
}

impl Message {
    /// Ends what it was doing, as `was` if that is known better now.
    fn turn(&mut self, at: Us, was: Option<Doing>, to: Doing, state: State) {
        let (doing, since, stood) = self.doing;
        *self.spent.entry((stood, was.unwrap_or(doing))).or_default() += at.saturating_sub(since);
        self.doing = (to, at, state);
    }
}

struct Out<'a> {
    sender: usize,
    dest: u64,
    from: Us,
    state: State,
    first: bool,
    ids: &'a [String],
}

/// Books a day; `classes` by the numbers that messages were handed in with, `cold`: how long a destination is cold.
pub fn account(events: &[Event], classes: &[Worth], cold: Us) -> Account {
    let mut at_all = Destinations::default();
    let mut messages: BTreeMap<u64, Message> = BTreeMap::new();
    let mut number: BTreeMap<&str, u64> = BTreeMap::new();
    let mut calls: BTreeMap<u64, Out> = BTreeMap::new();
    let mut account = Account::default();
    for event in events {
        let at = event.at;
        match &event.what {
            What::OutageBegan { dest, .. } => {
                at_all.out.insert(*dest);
                at_all.seen.retain(|(_, d)| d != dest);
            }
            What::OutageEnded { dest, .. } => {
                at_all.out.remove(dest);
                at_all.back.insert(*dest, at);
            }
            What::Unreached { sender, dest, .. } => at_all.failed(*sender, *dest),
            What::HandedIn { sender, id, message, class, dest, .. } => {
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
                    doing: (Doing::Held, at, state),
                    spent: BTreeMap::new(),
                    amid,
                });
                m.turn(at, None, Doing::Held, state);
                (m.sender, m.tried, m.over) = (*sender, false, false);
            }
            What::Heard { id, status } if !matches!(status, 200 | 202) => {
                let Some(m) = number.get(id.as_str()).and_then(|n| messages.get_mut(n)) else { continue };
                let state = at_all.state(m.sender, m.dest, at, cold);
                m.turn(at, None, Doing::Away, state);
            }
            What::Call { call, sender, dest, ids, first_byte, .. } => {
                let state = at_all.state(*sender, *dest, *first_byte, cold);
                let mut first = true;
                for id in ids {
                    let Some(m) = number.get(id.as_str()).and_then(|n| messages.get_mut(n)) else { continue };
                    first &= !std::mem::replace(&mut m.tried, true);
                    m.turn(*first_byte, None, Doing::OutInVain, state);
                }
                calls.insert(
                    *call,
                    Out { sender: *sender, dest: *dest, from: *first_byte, state, first, ids },
                );
            }
            What::Over { call, how } => {
                let Some(out) = calls.remove(call) else { continue };
                let useful = matches!(how, How::Answered { status: 200, .. });
                *account.slots.entry((out.state, out.first, useful)).or_default() +=
                    at.saturating_sub(out.from);
                if !useful {
                    at_all.failed(out.sender, out.dest);
                }
                let state = at_all.state(out.sender, out.dest, at, cold);
                for id in out.ids {
                    let Some(m) = number.get(id.as_str()).and_then(|n| messages.get_mut(n)) else { continue };
                    m.turn(at, useful.then_some(Doing::Delivered), Doing::Between, state);
                    if useful {
                        m.delivered.get_or_insert(at);
                        m.over = true;
                    }
                }
            }
            What::Notice { id, .. } => {
                let Some(m) = number.get(id.as_str()).and_then(|n| messages.get_mut(n)) else { continue };
                if !std::mem::replace(&mut m.over, true) {
                    let state = at_all.state(m.sender, m.dest, at, cold);
                    m.turn(at, None, Doing::Away, state);
                }
            }
            _ => {}
        }
    }
    let mut well: [Vec<Us>; 2] = Default::default();
    for m in messages.values() {
        let took = m.delivered.map(|at| at - m.first);
        let wanted = classes.get(m.class).map_or(Us::MAX, |c| c.wanted);
        if m.spent.keys().all(|(state, _)| *state == State::Well) {
            well[usize::from(m.amid)].push(took.unwrap_or(Us::MAX));
        }
        if took.is_none_or(|t| t > wanted) {
            let most = m.spent.iter().max_by_key(|(_, time)| **time).map(|(cause, _)| *cause);
            *account.causes.entry(most.unwrap_or((State::Well, Doing::Away))).or_default() += 1;
        }
    }
    let [calm, amid] = well.map(|mut times| {
        times.sort_unstable();
        let at = (times.len().max(1) - 1) * 99 / 100;
        times.get(at).map_or(0.0, |t| if *t == Us::MAX { f64::INFINITY } else { *t as f64 / 1e3 })
    });
    account.well_p99_ms = (calm, amid);
    account
}

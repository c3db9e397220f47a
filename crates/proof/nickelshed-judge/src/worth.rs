//! What a day was worth, and where its worth was lost.
use crate::event::{Event, How, Us, What};
use serde::Serialize;
use std::collections::BTreeMap;

/// Why a message was not delivered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// Refused at the door, the last time that it was handed in.
    Refused,
    /// The sender held it and made no attempt.
    Held,
    /// It was out in an attempt for most of its time.
    Out,
    /// Most of its time it waited for its next attempt.
    Between,
    /// Turned away by its destination at the last attempt.
    TurnedAway,
    /// Its client heard nothing and left.
    Unheard,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Reckoning {
    pub messages: usize,
    pub in_time: usize,
    pub late: usize,
    pub lost: usize,
    /// Worth delivered over worth asked for.
    pub worth: f64,
    pub calls: usize,
    /// Calls that were answered 429 or 503.
    pub turned_away: usize,
    /// How many were late or lost, by why.
    pub why: BTreeMap<Why, usize>,
    /// Milliseconds to delivery: the median, and one in a hundred.
    pub p50_ms: f64,
    pub p99_ms: f64,
}

#[derive(Default)]
struct Message {
    class: usize,
    first: Us,
    ids: Vec<String>,
    last: Us,
    delivered: Option<Us>,
    out: Us,
    attempts: usize,
    last_turned_away: bool,
    refused: bool,
    heard: bool,
}

/// What a class's messages are worth: whole within `wanted`, half with each further `wanted`, and never under the part
/// `least` for what is delivered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Worth {
    pub wanted: Us,
    pub whole: f64,
    pub least: f64,
}

impl Worth {
    /// Of what was delivered after so long.
    pub fn after(&self, took: Us) -> f64 {
        let late = took.saturating_sub(self.wanted) as f64 / self.wanted.max(1) as f64;
        self.whole * 0.5f64.powf(late).max(self.least)
    }
}

/// Counts a day; `classes` by the numbers that messages were handed in with.
pub fn reckon(events: &[Event], classes: &[Worth]) -> Reckoning {
    let unknown = Worth { wanted: Us::MAX, whole: 0.0, least: 0.0 };
    let of_class = |class: usize| classes.get(class).copied().unwrap_or(unknown);
    let mut messages: BTreeMap<u64, Message> = BTreeMap::new();
    let mut of: BTreeMap<&str, u64> = BTreeMap::new();
    let mut calls: BTreeMap<u64, (Us, &[String])> = BTreeMap::new();
    let mut reckoning = Reckoning::default();
    for event in events {
        match &event.what {
            What::HandedIn { id, message, class, .. } => {
                let m = messages.entry(*message).or_insert_with(|| Message {
                    class: *class,
                    first: event.at,
                    ..Message::default()
                });
                (m.last, m.refused, m.heard) = (event.at, false, false);
                m.ids.push(id.clone());
                of.insert(id, *message);
            }
            What::Heard { id, status } => {
                if let Some(m) = of.get(id.as_str()).and_then(|m| messages.get_mut(m)) {
                    (m.heard, m.refused) = (true, *status != 202 && *status != 200);
                }
            }
            What::Call { call, ids, first_byte, .. } => {
                reckoning.calls += 1;
                calls.insert(*call, (*first_byte, ids));
            }
            What::Over { call, how } => {
                let Some((from, ids)) = calls.remove(call) else { continue };
                let turned_away = matches!(how, How::Answered { status: 429 | 503, .. });
                reckoning.turned_away += usize::from(turned_away);
                for id in ids {
                    let Some(m) = of.get(id.as_str()).and_then(|m| messages.get_mut(m)) else { continue };
                    m.out += event.at.saturating_sub(from);
                    m.attempts += 1;
                    m.last_turned_away = turned_away;
                    if matches!(how, How::Answered { status: 200, .. }) {
                        m.delivered.get_or_insert(event.at);
                    }
                }
            }
            _ => {}
        }
    }
    let mut times = Vec::new();
    let mut asked = 0.0;
    for m in messages.values() {
        reckoning.messages += 1;
        let class = of_class(m.class);
        let wanted = class.wanted;
        asked += class.whole;
        reckoning.worth += m.delivered.map_or(0.0, |at| class.after(at - m.first));
        let took = m.delivered.map(|at| at - m.first);
        match took {
            Some(took) if took <= wanted => {
                reckoning.in_time += 1;
            }
            Some(_) => {
                reckoning.late += 1;
            }
            None => reckoning.lost += 1,
        }
        times.extend(took);
        if took.is_none_or(|t| t > wanted) {
            let whole = m.delivered.map_or(wanted, |at| at - m.first);
            let why = match m {
                _ if m.refused => Why::Refused,
                _ if !m.heard => Why::Unheard,
                _ if m.attempts == 0 => Why::Held,
                _ if m.out * 2 >= whole => Why::Out,
                _ if m.last_turned_away => Why::TurnedAway,
                _ => Why::Between,
            };
            *reckoning.why.entry(why).or_default() += 1;
        }
    }
    reckoning.worth /= f64::max(asked, 1e-9);
    times.sort_unstable();
    let part =
        |p: f64| times.get(((times.len().max(1) - 1) as f64 * p) as usize).map_or(0.0, |t| *t as f64 / 1e3);
    (reckoning.p50_ms, reckoning.p99_ms) = (part(0.5), part(0.99));
    reckoning
}

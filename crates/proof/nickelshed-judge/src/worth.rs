//! What a day was worth, and where its worth was lost.
use crate::event::{CallEnd, Event, EventKind, Us};
use serde::Serialize;
use std::collections::BTreeMap;

/// Why a message was not delivered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LossReason {
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
pub struct ScoreReport {
    pub messages: usize,
    pub in_time: usize,
    pub late: usize,
    pub lost: usize,
    /// Worth delivered over worth asked for.
    #[serde(rename = "worth")]
    pub value: f64,
    pub calls: usize,
    /// Calls that were answered 429 or 503.
    #[serde(rename = "turned_away")]
    pub rejected: usize,
    /// How many were late or lost, by why.
    #[serde(rename = "why")]
    pub loss_reasons: BTreeMap<LossReason, usize>,
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
pub struct ValueFunction {
    pub target_latency: Us,
    pub full_value: f64,
    pub min_value_fraction: f64,
}

impl ValueFunction {
    /// Of what was delivered after so long.
    pub fn value_after(&self, took: Us) -> f64 {
        let late = took.saturating_sub(self.target_latency) as f64 / self.target_latency.max(1) as f64;
        self.full_value * 0.5f64.powf(late).max(self.min_value_fraction)
    }
}

/// Counts a day; `classes` by the numbers that messages were handed in with.
pub fn score(events: &[Event], classes: &[ValueFunction]) -> ScoreReport {
    let unknown = ValueFunction { target_latency: Us::MAX, full_value: 0.0, min_value_fraction: 0.0 };
    let of_class = |class: usize| classes.get(class).copied().unwrap_or(unknown);
    let mut messages: BTreeMap<u64, Message> = BTreeMap::new();
    let mut of: BTreeMap<&str, u64> = BTreeMap::new();
    let mut calls: BTreeMap<u64, (Us, &[String])> = BTreeMap::new();
    let mut reckoning = ScoreReport::default();
    for event in events {
        match &event.kind {
            EventKind::HandedIn { id, message, class, .. } => {
                let m = messages.entry(*message).or_insert_with(|| Message {
                    class: *class,
                    first: event.at,
                    ..Message::default()
                });
                (m.last, m.refused, m.heard) = (event.at, false, false);
                m.ids.push(id.clone());
                of.insert(id, *message);
            }
            EventKind::Heard { id, status } => {
                if let Some(m) = of.get(id.as_str()).and_then(|m| messages.get_mut(m)) {
                    (m.heard, m.refused) = (true, *status != 202 && *status != 200);
                }
            }
            EventKind::Call { call, ids, first_byte, .. } => {
                reckoning.calls += 1;
                calls.insert(*call, (*first_byte, ids));
            }
            EventKind::Over { call, end: how } => {
                let Some((from, ids)) = calls.remove(call) else { continue };
                let turned_away = matches!(how, CallEnd::Answered { status: 429 | 503, .. });
                reckoning.rejected += usize::from(turned_away);
                for id in ids {
                    let Some(m) = of.get(id.as_str()).and_then(|m| messages.get_mut(m)) else { continue };
                    m.out += event.at.saturating_sub(from);
                    m.attempts += 1;
                    m.last_turned_away = turned_away;
                    if matches!(how, CallEnd::Answered { status: 200, .. }) {
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
        let wanted = class.target_latency;
        asked += class.full_value;
        reckoning.value += m.delivered.map_or(0.0, |at| class.value_after(at - m.first));
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
                _ if m.refused => LossReason::Refused,
                _ if !m.heard => LossReason::Unheard,
                _ if m.attempts == 0 => LossReason::Held,
                _ if m.out * 2 >= whole => LossReason::Out,
                _ if m.last_turned_away => LossReason::TurnedAway,
                _ => LossReason::Between,
            };
            *reckoning.loss_reasons.entry(why).or_default() += 1;
        }
    }
    reckoning.value /= f64::max(asked, 1e-9);
    times.sort_unstable();
    let part =
        |p: f64| times.get(((times.len().max(1) - 1) as f64 * p) as usize).map_or(0.0, |t| *t as f64 / 1e3);
    (reckoning.p50_ms, reckoning.p99_ms) = (part(0.5), part(0.99));
    reckoning
}

//! Scores a run: the value delivered, and the reason for each message that was late or lost.
use crate::event::{CallEnd, Event, EventKind, Us};
use serde::Serialize;
use std::collections::BTreeMap;

/// Why a message was late or not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LossReason {
    /// Refused by its sender at the last submission.
    Refused,
    /// Accepted; the sender made no attempt.
    Held,
    /// In flight for at least half of its time.
    Out,
    /// Queued for more than half of its time, and not rejected at the last attempt.
    Between,
    /// Queued for more than half of its time, and rejected by its destination at the last attempt.
    TurnedAway,
    /// The client received no response to its last submission.
    Unheard,
}

/// Score of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ScoreReport {
    pub messages: usize,
    /// Messages delivered within their target latency.
    pub in_time: usize,
    /// Messages delivered after their target latency.
    pub late: usize,
    /// Messages that were never delivered.
    pub lost: usize,
    /// Value delivered, as a fraction of the value if every message met its target latency.
    #[serde(rename = "worth")]
    pub value: f64,
    pub calls: usize,
    /// Calls answered 429 or 503.
    #[serde(rename = "turned_away")]
    pub rejected: usize,
    /// Number of messages late or lost, by reason.
    #[serde(rename = "why")]
    pub loss_reasons: BTreeMap<LossReason, usize>,
    /// Median latency of the delivered messages, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of the delivered messages, in milliseconds.
    pub p99_ms: f64,
}

#[derive(Default)]
struct Message {
    class: usize,
    first_submitted_at: Us,
    ids: Vec<String>,
    last_submitted_at: Us,
    delivered_at: Option<Us>,
    time_in_flight: Us,
    attempts: usize,
    was_last_rejected: bool,
    was_refused: bool,
    was_answered: bool,
}

/// Value of a delivered message of a class by its latency: `full_value` within `target_latency`, halved by
/// each further `target_latency`, and never less than the fraction `min_value_fraction` of `full_value`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ValueFunction {
    pub target_latency: Us,
    pub full_value: f64,
    pub min_value_fraction: f64,
}

impl ValueFunction {
    /// Value of a message delivered `latency` after its first submission.
    pub fn value_after(&self, latency: Us) -> f64 {
        let excess = latency.saturating_sub(self.target_latency) as f64 / self.target_latency.max(1) as f64;
        self.full_value * 0.5f64.powf(excess).max(self.min_value_fraction)
    }
}

/// Scores a run; `classes` is indexed by the class number of the submissions.
pub fn score(events: &[Event], classes: &[ValueFunction]) -> ScoreReport {
    let unknown = ValueFunction { target_latency: Us::MAX, full_value: 0.0, min_value_fraction: 0.0 };
    let of_class = |class: usize| classes.get(class).copied().unwrap_or(unknown);
    let mut messages: BTreeMap<u64, Message> = BTreeMap::new();
    let mut by_id: BTreeMap<&str, u64> = BTreeMap::new();
    let mut calls: BTreeMap<u64, (Us, &[String])> = BTreeMap::new();
    let mut report = ScoreReport::default();
    for event in events {
        match &event.kind {
            EventKind::HandedIn { id, message, class, .. } => {
                let m = messages.entry(*message).or_insert_with(|| Message {
                    class: *class,
                    first_submitted_at: event.at,
                    ..Message::default()
                });
                (m.last_submitted_at, m.was_refused, m.was_answered) = (event.at, false, false);
                m.ids.push(id.clone());
                by_id.insert(id, *message);
            }
            EventKind::Heard { id, status } => {
                if let Some(m) = by_id.get(id.as_str()).and_then(|n| messages.get_mut(n)) {
                    (m.was_answered, m.was_refused) = (true, *status != 202 && *status != 200);
                }
            }
            EventKind::Call { call, ids, first_byte, .. } => {
                report.calls += 1;
                calls.insert(*call, (*first_byte, ids));
            }
            EventKind::Over { call, end } => {
                let Some((started_at, ids)) = calls.remove(call) else { continue };
                let rejected = matches!(end, CallEnd::Answered { status: 429 | 503, .. });
                report.rejected += usize::from(rejected);
                for id in ids {
                    let Some(m) = by_id.get(id.as_str()).and_then(|n| messages.get_mut(n)) else { continue };
                    m.time_in_flight += event.at.saturating_sub(started_at);
                    m.attempts += 1;
                    m.was_last_rejected = rejected;
                    if matches!(end, CallEnd::Answered { status: 200, .. }) {
                        m.delivered_at.get_or_insert(event.at);
                    }
                }
            }
            _ => {}
        }
    }
    let mut latencies = Vec::new();
    let mut possible_value = 0.0;
    for m in messages.values() {
        report.messages += 1;
        let class = of_class(m.class);
        let target_latency = class.target_latency;
        possible_value += class.full_value;
        report.value += m.delivered_at.map_or(0.0, |at| class.value_after(at - m.first_submitted_at));
        let latency = m.delivered_at.map(|at| at - m.first_submitted_at);
        match latency {
            Some(latency) if latency <= target_latency => {
                report.in_time += 1;
            }
            Some(_) => {
                report.late += 1;
            }
            None => report.lost += 1,
        }
        latencies.extend(latency);
        if latency.is_none_or(|t| t > target_latency) {
            let time_considered = m.delivered_at.map_or(target_latency, |at| at - m.first_submitted_at);
            let reason = match m {
                _ if m.was_refused => LossReason::Refused,
                _ if !m.was_answered => LossReason::Unheard,
                _ if m.attempts == 0 => LossReason::Held,
                _ if m.time_in_flight * 2 >= time_considered => LossReason::Out,
                _ if m.was_last_rejected => LossReason::TurnedAway,
                _ => LossReason::Between,
            };
            *report.loss_reasons.entry(reason).or_default() += 1;
        }
    }
    report.value /= f64::max(possible_value, 1e-9);
    latencies.sort_unstable();
    let percentile = |fraction: f64| {
        latencies
            .get(((latencies.len().max(1) - 1) as f64 * fraction) as usize)
            .map_or(0.0, |t| *t as f64 / 1e3)
    };
    (report.p50_ms, report.p99_ms) = (percentile(0.5), percentile(0.99));
    report
}

//! Accounts for slot time and message latency by the state of the destinations. The result shows which losses
//! a change of routing, limits or retries can reduce.
use crate::event::{CallEnd, Event, EventKind, Us};
use crate::score::ValueFunction;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// State of a destination, as far as one sender can know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DestinationState {
    /// Available and warmed up.
    Well,
    /// Unavailable; no call of this sender has failed there since the outage began.
    Unseen,
    /// Unavailable; a call of this sender has failed there.
    Sick,
    /// Available again and in slow start.
    Returning,
}

/// Phase of a message's life, to which a part of its latency is attributed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MessagePhase {
    /// Queued at its sender before the first attempt.
    Held,
    /// In flight in an attempt that did not deliver it.
    OutInVain,
    /// Queued between two attempts.
    Between,
    /// In flight in the attempt that delivered it.
    Delivered,
    /// At the client: refused or ended by its sender, and not submitted again yet.
    Away,
}

/// Where the slot time and the latency of a run went.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TimeAccount {
    /// Slot time in microseconds, by the state of the destination when the call began, whether the call was
    /// the first attempt of all of its messages, and whether it delivered them.
    pub slot_time: BTreeMap<(DestinationState, bool, bool), Us>,
    /// Number of messages that were late or not delivered, by the phase that took most of their time and the
    /// state of the destination when that phase began.
    pub late_causes: BTreeMap<(DestinationState, MessagePhase), usize>,
    /// 99th percentile of the latency in milliseconds, over messages whose destination was available and
    /// warmed up throughout: first of those submitted while no destination was unavailable, then of those
    /// submitted while any was. 0 without such messages; infinite if the percentile falls on a message that
    /// was never delivered.
    pub healthy_p99_ms: (f64, f64),
}

impl TimeAccount {
    /// Fraction of the slot time that delivered nothing; 0 without any slot time.
    pub fn wasted_fraction(&self) -> f64 {
        let all: Us = self.slot_time.values().sum();
        let wasted: Us =
            self.slot_time.iter().filter(|((.., delivered), _)| !delivered).map(|(_, time)| time).sum();
        wasted as f64 / all.max(1) as f64
    }
}

/// Destinations in an outage, the last recovery of each, and the senders that observed the current outage.
#[derive(Default)]
struct OutageTracker {
    in_outage: BTreeSet<u64>,
    recovered_at: BTreeMap<u64, Us>,
    observed_by: BTreeSet<(usize, u64)>,
}

impl OutageTracker {
    fn state(&self, sender: usize, dest: u64, at: Us, slow_start: Us) -> DestinationState {
        match self.recovered_at.get(&dest) {
            _ if self.in_outage.contains(&dest) && self.observed_by.contains(&(sender, dest)) => {
                DestinationState::Sick
            }
            _ if self.in_outage.contains(&dest) => DestinationState::Unseen,
            Some(recovered_at) if at < recovered_at + slow_start => DestinationState::Returning,
            _ => DestinationState::Well,
        }
    }

    /// Records that a call or a connection attempt of a sender failed at a destination.
    fn record_failure(&mut self, sender: usize, dest: u64) {
        if self.in_outage.contains(&dest) {
            self.observed_by.insert((sender, dest));
        }
    }
}

struct Message {
    class: usize,
    dest: u64,
    sender: usize,
    first_submitted_at: Us,
    delivered_at: Option<Us>,
    is_attempted: bool,
    is_finished: bool,
    /// Current phase, when it began, and the state of the destination at that time.
    phase: (MessagePhase, Us, DestinationState),
    time_spent: BTreeMap<(DestinationState, MessagePhase), Us>,
    /// Whether any destination was unavailable when the message was first submitted.
    submitted_in_outage: bool,
}

impl Message {
    /// Ends the current phase and begins `next`. Attributes the time of the ended phase to `actual`, or to
    /// that phase itself if `actual` is None.
    fn change_phase(
        &mut self,
        at: Us,
        actual: Option<MessagePhase>,
        next: MessagePhase,
        state: DestinationState,
    ) {
        let (phase, since, phase_state) = self.phase;
        *self.time_spent.entry((phase_state, actual.unwrap_or(phase))).or_default() +=
            at.saturating_sub(since);
        self.phase = (next, at, state);
    }
}

struct InFlightCall<'a> {
    sender: usize,
    dest: u64,
    started_at: Us,
    state: DestinationState,
    is_first_attempt: bool,
    ids: &'a [String],
}

/// Accounts for a run. The events must be in the order of their times. `classes` is indexed by the class
/// number of the submissions; `slow_start` is the duration of a destination's slow start.
pub fn account_time(events: &[Event], classes: &[ValueFunction], slow_start: Us) -> TimeAccount {
    let mut outages = OutageTracker::default();
    let mut messages: BTreeMap<u64, Message> = BTreeMap::new();
    let mut by_id: BTreeMap<&str, u64> = BTreeMap::new();
    let mut calls: BTreeMap<u64, InFlightCall> = BTreeMap::new();
    let mut account = TimeAccount::default();
    for event in events {
        let at = event.at;
        match &event.kind {
            EventKind::OutageBegan { dest, .. } => {
                outages.in_outage.insert(*dest);
                outages.observed_by.retain(|(_, observed)| observed != dest);
            }
            EventKind::OutageEnded { dest, .. } => {
                outages.in_outage.remove(dest);
                outages.recovered_at.insert(*dest, at);
            }
            EventKind::Unreached { sender, dest, .. } => outages.record_failure(*sender, *dest),
            EventKind::HandedIn { sender, id, message, class, dest, .. } => {
                by_id.insert(id, *message);
                let state = outages.state(*sender, *dest, at, slow_start);
                let during_outages = !outages.in_outage.is_empty();
                let m = messages.entry(*message).or_insert_with(|| Message {
                    class: *class,
                    dest: *dest,
                    sender: *sender,
                    first_submitted_at: at,
                    delivered_at: None,
                    is_attempted: false,
                    is_finished: false,
                    phase: (MessagePhase::Held, at, state),
                    time_spent: BTreeMap::new(),
                    submitted_in_outage: during_outages,
                });
                m.change_phase(at, None, MessagePhase::Held, state);
                (m.sender, m.is_attempted, m.is_finished) = (*sender, false, false);
            }
            EventKind::Heard { id, status } if !matches!(status, 200 | 202) => {
                let Some(m) = by_id.get(id.as_str()).and_then(|n| messages.get_mut(n)) else { continue };
                let state = outages.state(m.sender, m.dest, at, slow_start);
                m.change_phase(at, None, MessagePhase::Away, state);
            }
            EventKind::Call { call, sender, dest, ids, first_byte, .. } => {
                let state = outages.state(*sender, *dest, *first_byte, slow_start);
                let mut first = true;
                for id in ids {
                    let Some(m) = by_id.get(id.as_str()).and_then(|n| messages.get_mut(n)) else { continue };
                    first &= !std::mem::replace(&mut m.is_attempted, true);
                    m.change_phase(*first_byte, None, MessagePhase::OutInVain, state);
                }
                calls.insert(
                    *call,
                    InFlightCall {
                        sender: *sender,
                        dest: *dest,
                        started_at: *first_byte,
                        state,
                        is_first_attempt: first,
                        ids,
                    },
                );
            }
            EventKind::Over { call, end } => {
                let Some(ended) = calls.remove(call) else { continue };
                let delivered = matches!(end, CallEnd::Answered { status: 200, .. });
                *account.slot_time.entry((ended.state, ended.is_first_attempt, delivered)).or_default() +=
                    at.saturating_sub(ended.started_at);
                if !delivered {
                    outages.record_failure(ended.sender, ended.dest);
                }
                let state = outages.state(ended.sender, ended.dest, at, slow_start);
                for id in ended.ids {
                    let Some(m) = by_id.get(id.as_str()).and_then(|n| messages.get_mut(n)) else { continue };
                    m.change_phase(
                        at,
                        delivered.then_some(MessagePhase::Delivered),
                        MessagePhase::Between,
                        state,
                    );
                    if delivered {
                        m.delivered_at.get_or_insert(at);
                        m.is_finished = true;
                    }
                }
            }
            EventKind::Notice { id, .. } => {
                let Some(m) = by_id.get(id.as_str()).and_then(|n| messages.get_mut(n)) else { continue };
                if !std::mem::replace(&mut m.is_finished, true) {
                    let state = outages.state(m.sender, m.dest, at, slow_start);
                    m.change_phase(at, None, MessagePhase::Away, state);
                }
            }
            _ => {}
        }
    }
    let mut latencies: [Vec<Us>; 2] = Default::default();
    for message in messages.values() {
        let latency = message.delivered_at.map(|at| at - message.first_submitted_at);
        let target_latency = classes.get(message.class).map_or(Us::MAX, |c| c.target_latency);
        if message.time_spent.keys().all(|(state, _)| *state == DestinationState::Well) {
            latencies[usize::from(message.submitted_in_outage)].push(latency.unwrap_or(Us::MAX));
        }
        if latency.is_none_or(|t| t > target_latency) {
            let longest = message.time_spent.iter().max_by_key(|(_, time)| **time).map(|(cause, _)| *cause);
            *account
                .late_causes
                .entry(longest.unwrap_or((DestinationState::Well, MessagePhase::Away)))
                .or_default() += 1;
        }
    }
    let [without_outages, during_outages] = latencies.map(|mut sorted| {
        sorted.sort_unstable();
        let index = (sorted.len().max(1) - 1) * 99 / 100;
        sorted.get(index).map_or(0.0, |t| if *t == Us::MAX { f64::INFINITY } else { *t as f64 / 1e3 })
    });
    account.healthy_p99_ms = (without_outages, during_outages);
    account
}

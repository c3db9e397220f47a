//! The records that a sender keeps: plain data. The decisions and their constants are in `rules.rs`.

use crate::api::*;
use crate::stat::DecayingStat;
use std::collections::VecDeque;

pub const LONG_AGO: Ns = Ns::MIN / 2;

pub struct Attempt {
    pub endpoint: EndpointId,
    pub zone: usize,
    pub call: u64,
    pub sent: Ns,
    pub in_flight: bool,
    pub may_have_run: bool,
}

/// A message that has not finished, or has attempts in flight.
pub struct OpenMessage {
    pub message: Message,
    pub arrived: Ns,
    /// When its client first submitted it.
    pub submitted_at: Ns,
    pub expires_at: Ns,
    pub attempts: Vec<Attempt>,
    pub finished: bool,
    /// Recovered from an earlier process, and no call has been made for it yet.
    pub unattempted: bool,
    /// Its client may be told that it is accepted.
    pub accepted: bool,
}

impl OpenMessage {
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.in_flight)
    }
}

#[derive(Default)]
/// One call in flight: all its messages share one slot and one connection.
pub struct Call {
    pub dest: DestId,
    pub endpoint: EndpointId,
    pub route: RouteId,
    pub level: usize,
    pub sent: Ns,
    /// Messages whose attempt has not ended.
    pub pending: usize,
    pub evaluated: bool,
    pub overdue: bool,
    pub probe: bool,
    pub messages: Vec<MsgId>,
    pub cancelled: bool,
}

#[derive(Default)]
pub struct Endpoint {
    pub dest: DestId,
    pub kind: usize,
    pub zone: usize,
    pub usable: bool,
    pub in_flight: usize,
    pub used_at: Ns,
    /// Time without use before the last call.
    pub idle_time: Ns,
    /// Estimate: the most calls seen in flight since connections were last closed as idle.
    pub conns: usize,
    pub served_at: Ns,
    /// When it last refused a connection.
    pub refused_at: Ns,
    pub avoid_until: Ns,
}

/// What shares one limit and one outage: a destination, or one endpoint where routes are separate.
#[derive(Default)]
pub struct Route {
    /// Last reported limit in calls a second; `Some(0.0)` means that there is none.
    pub limit: Option<f64>,
    pub rate_hint: f64,
    /// Fraction of the limit that this sender uses, as of `share_at`; see `share_now`.
    pub limit_share: f64,
    pub share_at: Ns,
    pub tokens: f64,
    pub refilled_at: Ns,
    pub retry_after_until: Ns,
    pub backoff_until: Ns,
    pub failures: u32,
    pub rejections: u32,
    pub failure_ratio: f64,
    pub suspect: bool,
    pub in_slow_start: bool,
    /// Longest time in flight of an overdue call that was cancelled since the route last served.
    pub longest_cancelled: Ns,
    /// The last failure that indicates an outage; in the future if it announced when the outage ends.
    pub last_failure: Ns,
    /// Estimated time of recovery; before `last_failure` until something is served.
    pub recovered_at: Ns,
    /// In slow start by one failure alone, which a prompt success revokes; when one call may check that.
    pub isolated: bool,
    pub recheck_at: Option<Ns>,
    pub next_probe_at: Ns,
    pub served: DecayingStat,
    /// The highest rate, in calls a second, at which it has served this sender.
    pub proven_rate: f64,
    pub proven_at: Ns,
    pub in_flight: usize,
}

#[derive(Default)]
pub struct Dest {
    pub cap: usize,
    pub in_flight: usize,
    pub queue: Vec<MsgId>,
    pub endpoints: Vec<EndpointId>,
    /// When `Sender::agenda` has it evaluated next.
    pub due_at: Ns,
    /// Latency per class and level, arrivals per class, and latency of all calls.
    pub latency_by_level: Vec<DecayingStat>,
    pub arrivals: Vec<DecayingStat>,
    pub latency: DecayingStat,
    /// Messages served: the rate at which queued ones can expect to be served.
    pub served: DecayingStat,
}

#[derive(Default)]
pub struct KeyQueue {
    pub queue: VecDeque<MsgId>,
    pub hold_off_until: Ns,
}

pub type RouteId = (DestId, EndpointId);
/// A call that may be made: destination, endpoint, messages, and value per nanosecond of slot time.
pub type Candidate = (DestId, EndpointId, Vec<MsgId>, f64);

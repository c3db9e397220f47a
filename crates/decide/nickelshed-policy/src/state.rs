//! The records that a sender keeps: plain data. The decisions and their constants are in `rules.rs`.

use crate::api::*;
use crate::stat::DecayingStat;
use std::collections::VecDeque;

/// Before any time of the caller's clock, and far enough from the bounds of `Ns` that differences do not
/// overflow.
pub const LONG_AGO: Ns = Ns::MIN / 2;

/// An attempt to deliver a message, in flight or ended.
pub struct Attempt {
    /// `EndpointId::MAX` if an earlier process made it at an endpoint that is no longer listed.
    pub endpoint: EndpointId,
    /// Zone of the endpoint; `usize::MAX` if it is not known.
    pub zone: usize,
    /// Number of its call in `Sender::calls`; `u64::MAX` if an earlier process made it.
    pub call: u64,
    pub sent: Ns,
    pub in_flight: bool,
    /// Whether it may have had an effect; true while it is in flight.
    pub may_have_run: bool,
    /// `OpenMessage::unattempted` before this attempt.
    pub was_unattempted: bool,
}

/// A message that has not finished, or has attempts in flight.
pub struct OpenMessage {
    pub message: Message,
    /// When this process got it.
    pub arrived: Ns,
    /// When its client first submitted it.
    pub submitted_at: Ns,
    pub expires_at: Ns,
    pub attempts: Vec<Attempt>,
    pub finished: bool,
    /// Recovered from an earlier process, and perhaps no call has been made for it that connected.
    pub unattempted: bool,
    /// Its client may be told that it is accepted.
    pub accepted: bool,
}

impl OpenMessage {
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.in_flight)
    }
}

/// One call in flight: all its messages share one slot and one connection.
#[derive(Default)]
pub struct Call {
    pub dest: DestId,
    pub endpoint: EndpointId,
    pub route: RouteId,
    /// How many calls to the destination were in flight when it was sent, this one included; at most the
    /// greatest cap.
    pub level: usize,
    pub sent: Ns,
    /// Messages whose attempt has not ended.
    pub pending: usize,
    /// Whether one of its attempts has ended; the first one that does is evaluated for the route.
    pub evaluated: bool,
    /// Counted as a failure signal before it ended, see `Sender::detect_overdue`.
    pub overdue: bool,
    /// Sent while the route was suspect.
    pub probe: bool,
    pub messages: Vec<MsgId>,
    pub cancelled: bool,
}

/// An endpoint that the list names, or one with calls in flight.
#[derive(Default)]
pub struct Endpoint {
    pub dest: DestId,
    /// Index into `Settings::kinds`.
    pub kind: usize,
    pub zone: usize,
    /// Whether the list names it as ready.
    pub usable: bool,
    /// Calls in flight.
    pub in_flight: usize,
    /// When a call to it was last sent or ended.
    pub used_at: Ns,
    /// Time without use before the last call.
    pub idle_time: Ns,
    /// Estimated number of open connections: as many as the most calls in flight needed since connections
    /// were last closed as idle.
    pub conns: usize,
    pub served_at: Ns,
    /// When it last refused a connection.
    pub refused_at: Ns,
    /// Until then other endpoints of the destination are preferred.
    pub avoid_until: Ns,
}

/// How far a route has recovered from its last outage.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryState {
    pub in_slow_start: bool,
    pub last_failure: Ns,
    pub recovered_at: Ns,
}

/// Failure signals since a route last served.
#[derive(Clone, Copy, Debug)]
pub struct PossibleOutage {
    /// The outage, if it is one, began after this: the route served here.
    pub served_before: Ns,
    /// When the latest of the calls that failed was sent. A later one that is served shows that the route
    /// serves again.
    pub latest_sent: Ns,
    /// A call failed or was rejected; otherwise calls are only overdue.
    pub is_explicit: bool,
    /// It is no isolated failure: there were several, or the rejection announced the end of an outage.
    pub is_certain: bool,
    /// Restored if there was no outage.
    pub before: RecoveryState,
}

/// What shares one limit and one outage: a destination, or one endpoint where routes are separate.
#[derive(Default)]
pub struct Route {
    /// Limit in calls a second as reported, smoothed; `Some(0.0)` means that there is none.
    pub limit: Option<f64>,
    /// Limit in calls a second by the list, used until one is reported; 0 if the list gives none.
    pub rate_hint: f64,
    /// Fraction of the limit that this sender uses, as of `share_at`; see `share_now`.
    pub limit_share: f64,
    pub share_at: Ns,
    /// Token bucket that paces calls: each call takes one token and waits until there is one.
    pub tokens: f64,
    pub refilled_at: Ns,
    /// Until then the destination asked not to be called.
    pub retry_after_until: Ns,
    /// Until then this sender holds back calls by itself.
    pub backoff_until: Ns,
    /// Failure signals since the last served call.
    pub failures: u32,
    /// Rejections at a limit or in an outage since the last served call.
    pub rejections: u32,
    /// Moving average over calls, 1 for a failure and 0 for a served call.
    pub failure_ratio: f64,
    /// Probably unavailable: gets single probes only, until one is served.
    pub suspect: bool,
    pub in_slow_start: bool,
    /// Longest time in flight among the overdue calls that were cancelled since the route last served.
    pub longest_cancelled: Ns,
    /// The last failure that indicates an outage; in the future if it announced when the outage ends.
    pub last_failure: Ns,
    /// Estimated time of recovery; before `last_failure` until something is served.
    pub recovered_at: Ns,
    /// When it last served a call.
    pub served_at: Ns,
    /// Set from the first failure signal until a call that was sent later is served.
    pub possible_outage: Option<PossibleOutage>,
    pub served: DecayingStat,
    /// The highest rate, in calls a second, at which it has served this sender, as of `proven_at`; see
    /// `proven_rate_now`.
    pub proven_rate: f64,
    pub proven_at: Ns,
    /// Calls in flight.
    pub in_flight: usize,
}

/// A destination.
#[derive(Default)]
pub struct Dest {
    /// Greatest number of calls in flight for now, see `choose_cap`.
    pub cap: usize,
    /// Calls in flight.
    pub in_flight: usize,
    /// Queued messages, in the order of their ids.
    pub queue: Vec<MsgId>,
    pub endpoints: Vec<EndpointId>,
    /// Its time in `Sender::agenda`; `Ns::MAX` if it waits for an event.
    pub due_at: Ns,
    /// Latency in ns for each class and, within a class, for each level from 0 to the greatest cap.
    pub latency_by_level: Vec<DecayingStat>,
    /// Messages submitted, for each class.
    pub arrivals: Vec<DecayingStat>,
    /// Latency in ns of all calls.
    pub latency: DecayingStat,
    /// Messages served: the rate at which queued ones can expect to be served.
    pub served: DecayingStat,
}

/// The messages of one key in classes in order.
#[derive(Default)]
pub struct KeyQueue {
    /// The oldest first. A message stays until it has finished and has no attempt in flight.
    pub queue: VecDeque<MsgId>,
    /// Until then no other message of the key gets its first attempt, as an earlier attempt may still run.
    pub hold_off_until: Ns,
}

/// Destination and endpoint; `EndpointId::MAX` where all endpoints of the destination are one route.
pub type RouteId = (DestId, EndpointId);
/// A call that may be made: destination, endpoint, messages, and value per nanosecond of slot time.
pub type Candidate = (DestId, EndpointId, Vec<MsgId>, f64);

//! Decides whether an idle connection may carry another request. It does no I/O; time is an argument.
//!
//! HTTP/1.1 matches answers to requests by their order alone (RFC 9112, section 9.2). If an endpoint, or anything
//! on the way to it, delivers an answer twice, the second copy looks like the answer to the next request, and
//! nothing in it tells the two apart.
//!
//! Invariant: a request is written only to a new connection, or to one that has been silent since its last answer
//! for `SETTLE_TIME`, or for `DISTRUSTED_SETTLE_TIME` where unsolicited data has come from the endpoint.
use crate::provisional::ConfirmTime;
use nickelshed_policy::api::EndpointId;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long a connection must be silent after an answer before it is reused. A copy that comes within this time
/// reaches an idle connection, where it is noticed.
pub const SETTLE_TIME: Duration = Duration::from_millis(250);
/// The same for connections to an endpoint from which unsolicited data has come.
const DISTRUSTED_SETTLE_TIME: Duration = Duration::from_secs(1);
/// How long an endpoint is distrusted after unsolicited data came from it.
const DISTRUST_TIME: Duration = Duration::from_secs(600);
/// How long an answer on a reused connection stays provisional: as long as the longest recent call to the
/// endpoint took, within these bounds.
const MIN_CONFIRM_TIME: Duration = Duration::from_millis(250);
const MAX_CONFIRM_TIME: Duration = Duration::from_secs(2);
/// The same for an answer that has finished its message, from an endpoint that is distrusted: a call there may
/// also hang.
const DISTRUSTED_CONFIRM_TIME: Duration = Duration::from_secs(5);
/// The longest call to an endpoint is remembered for between one and two of these.
const CALL_TIME_WINDOW: Duration = Duration::from_secs(10);
/// How long a shorter idle time is applied to an endpoint. Some endpoints close idle connections earlier than
/// configured, which shows as a reset of the next request.
const SHORT_IDLE_RETENTION: Duration = Duration::from_secs(30);
/// The lowest idle time that is applied. A reset after less idling than this is not taken as a sign of an
/// early close.
const MIN_SHORT_IDLE: Duration = Duration::from_millis(50);

/// The longest call in the current window and in the one before it.
#[derive(Clone, Copy)]
struct LongestCall {
    window_start: Instant,
    current: Duration,
    previous: Duration,
}

impl LongestCall {
    fn record(&mut self, took: Duration, now: Instant) {
        let windows = (now - self.window_start).as_nanos() / CALL_TIME_WINDOW.as_nanos();
        if windows > 0 {
            self.previous = if windows == 1 { self.current } else { Duration::ZERO };
            (self.current, self.window_start) = (Duration::ZERO, now);
        }
        self.current = self.current.max(took);
    }

    fn longest(self) -> Duration {
        self.current.max(self.previous)
    }
}

/// What is remembered of the connections to one endpoint.
#[derive(Clone, Copy, Default)]
struct EndpointHistory {
    longest_call: Option<LongestCall>,
    /// Connections idle for at least this time are not reused, until the given instant.
    short_idle: Option<(Duration, Instant)>,
    distrusted_until: Option<Instant>,
}

impl EndpointHistory {
    fn is_distrusted(&self, now: Instant) -> bool {
        self.distrusted_until.is_some_and(|until| now < until)
    }
}

/// The rules for reusing the connections of a pool.
pub struct ReusePolicy {
    idle_timeout: Duration,
    endpoints: HashMap<EndpointId, EndpointHistory>,
}

impl ReusePolicy {
    /// `idle_timeout` is the longest time for which any connection may be idle.
    pub fn new(idle_timeout: Duration) -> ReusePolicy {
        ReusePolicy { idle_timeout, endpoints: HashMap::new() }
    }

    /// How long a connection to this endpoint must be silent after an answer before it is reused.
    pub fn settle_time(&self, endpoint: EndpointId, now: Instant) -> Duration {
        match self.endpoints.get(&endpoint) {
            Some(history) if history.is_distrusted(now) => DISTRUSTED_SETTLE_TIME,
            _ => SETTLE_TIME,
        }
    }

    /// The idle time at which a connection to this endpoint is closed instead of reused.
    pub fn max_idle(&self, endpoint: EndpointId, now: Instant) -> Duration {
        let short_idle = self.endpoints.get(&endpoint).and_then(|history| history.short_idle);
        let short_idle = short_idle.filter(|(_, until)| now < *until);
        short_idle.map_or(self.idle_timeout, |(idle, _)| idle.min(self.idle_timeout))
    }

    /// Whether a connection that has been idle for `idle` may carry another request.
    pub fn may_reuse(&self, endpoint: EndpointId, idle: Duration, now: Instant) -> bool {
        (self.settle_time(endpoint, now)..self.max_idle(endpoint, now)).contains(&idle)
    }

    /// How long after its request was written an answer on a reused connection may turn out to be a copy.
    pub fn confirm_time(&self, endpoint: EndpointId, now: Instant) -> ConfirmTime {
        let Some(history) = self.endpoints.get(&endpoint) else {
            return ConfirmTime { awaited: MIN_CONFIRM_TIME, finished: MIN_CONFIRM_TIME };
        };
        let longest = history.longest_call.map_or(Duration::ZERO, LongestCall::longest);
        let awaited = longest.clamp(MIN_CONFIRM_TIME, MAX_CONFIRM_TIME);
        let finished = if history.is_distrusted(now) { DISTRUSTED_CONFIRM_TIME } else { awaited };
        ConfirmTime { awaited, finished }
    }

    /// Records how long an answer of this endpoint took.
    pub fn record_call(&mut self, endpoint: EndpointId, took: Duration, now: Instant) {
        let new = LongestCall { window_start: now, current: Duration::ZERO, previous: Duration::ZERO };
        let history = self.endpoints.entry(endpoint).or_default();
        history.longest_call.get_or_insert(new).record(took, now);
    }

    /// Records that data which answers no request came on a connection to this endpoint. Returns whether the
    /// endpoint was trusted before.
    pub fn record_unsolicited_data(&mut self, endpoint: EndpointId, now: Instant) -> bool {
        let history = self.endpoints.entry(endpoint).or_default();
        let was_trusted = !history.is_distrusted(now);
        history.distrusted_until = Some(now + DISTRUST_TIME);
        was_trusted
    }

    /// Records that a connection to this endpoint was reset by a request after it had been idle for `idle`.
    /// For `SHORT_IDLE_RETENTION` none is reused that was idle for three quarters of that time.
    pub fn record_reset(&mut self, endpoint: EndpointId, idle: Duration, now: Instant) {
        if idle >= MIN_SHORT_IDLE {
            let short_idle = ((idle * 3 / 4).max(MIN_SHORT_IDLE), now + SHORT_IDLE_RETENTION);
            self.endpoints.entry(endpoint).or_default().short_idle = Some(short_idle);
        }
    }

    /// Forgets an endpoint that is no longer in use, or that has moved to another address.
    pub fn forget(&mut self, endpoint: EndpointId) {
        self.endpoints.remove(&endpoint);
    }
}

#[cfg(test)]
mod tests;

//! Reads the answers of endpoints: what an answer says of each message in its call. It does no I/O.
use super::{attempt_end, CallEntry};
use crate::answer_head::{complete_body, outcome_of_status, parse_retry_after, received_status};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, RETRY_AFTER};
use nickelshed_policy::api::{AttemptEnd, EndpointId, Ns, Outcome, Report};
use serde_json::Value;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// The state of each message that the answer to a batch names, by trace id.
type BatchStates = HashMap<String, String>;

/// The head of an answer, and its body as far as it has been read.
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    /// For a batch call answered 200 the complete body is in `batch_body`; otherwise `remaining` is the
    /// unread body.
    pub batch_body: Option<Bytes>,
    pub remaining: Option<Incoming>,
}

impl Answer {
    /// None if the status alone says how all messages ended.
    fn batch_states(&self) -> Option<BatchStates> {
        self.batch_body.as_deref().map(parse_batch_states)
    }

    /// Whether the answer to a batch does not say how one of the messages ended. It may then be the answer to
    /// an earlier call, and this call may still be in progress on its connection.
    pub fn leaves_out_messages(&self, entries: &[CallEntry]) -> bool {
        self.batch_states()
            .is_some_and(|states| entries.iter().any(|entry| !states.contains_key(&entry.message.trace)))
    }
}

/// Returns no states if the body is not such a list.
fn parse_batch_states(body: &[u8]) -> BatchStates {
    let results: Vec<Value> = serde_json::from_slice(body).unwrap_or_default();
    let text = |v: &Value, key: &str| v.get(key).and_then(Value::as_str).map(str::to_string);
    results.iter().filter_map(|v| Some((text(v, "id")?, text(v, "state")?))).collect()
}

/// Maps what the answer to a batch says of one message to the outcome of the attempt and whether the message
/// is finished.
fn outcome_of_state(state: Option<&str>) -> (Outcome, bool) {
    match state {
        Some("done") => (Outcome::Served, true),
        Some("busy") => (Outcome::TurnedAway, false),
        Some("void") => (Outcome::NotSent, true),
        Some("used_up") => (Outcome::NotSent, false),
        // `failed`, or the message is missing from the answer: it may have run.
        _ => (Outcome::ServerError, false),
    }
}

/// Maps an answer to the end of each attempt in the call.
pub fn attempt_ends(
    entries: &[CallEntry],
    answer: &Answer,
    endpoint: EndpointId,
    started_at: Instant,
) -> Vec<AttemptEnd> {
    let retry_after_ns = retry_after(&answer.headers).map_or(0, |w| w.as_nanos() as Ns);
    let report = load_report(&answer.headers);
    let states = answer.batch_states();
    let outcome_of = |entry: &CallEntry| {
        let Some(states) = &states else { return outcome_of_status(answer.status, &answer.headers) };
        outcome_of_state(states.get(&entry.message.trace).map(String::as_str))
    };
    let to_end = |entry: &CallEntry| {
        let (outcome, is_finished) = outcome_of(entry);
        AttemptEnd {
            finished: is_finished,
            retry_after: retry_after_ns,
            report,
            ..attempt_end(entry, endpoint, outcome, started_at)
        }
    };
    entries.iter().map(to_end).collect()
}

/// What the received part of an answer says of the messages that it finishes. For all others the answer counts
/// as not read.
pub enum PartialAnswer {
    /// It finishes no message.
    Unknown,
    /// Its status finishes all of them.
    Status(Outcome),
    Batch(BatchStates),
}

impl PartialAnswer {
    /// For a single message the status line is enough, whatever follows it. For a batch answered 200 the
    /// complete answer is needed.
    pub fn new(received: &[u8], is_batch: bool) -> PartialAnswer {
        match received_status(received) {
            Some(200) if is_batch => complete_body(received)
                .map_or(PartialAnswer::Unknown, |body| PartialAnswer::Batch(parse_batch_states(body))),
            Some(status) => match outcome_of_status(status, &HeaderMap::new()) {
                (outcome, true) => PartialAnswer::Status(outcome),
                _ => PartialAnswer::Unknown,
            },
            None => PartialAnswer::Unknown,
        }
    }

    /// The outcome of the attempt, if the answer finishes the message with this trace id.
    pub fn final_outcome(&self, trace: &str) -> Option<Outcome> {
        match self {
            PartialAnswer::Unknown => None,
            PartialAnswer::Status(outcome) => Some(*outcome),
            PartialAnswer::Batch(states) => {
                let (outcome, is_finished) = outcome_of_state(states.get(trace).map(String::as_str));
                is_finished.then_some(outcome)
            }
        }
    }
}

/// Parses `Retry-After` in seconds, with or without a decimal fraction.
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    parse_retry_after(headers.get(RETRY_AFTER)?.to_str().ok()?)
}

/// Parses `Endpoint-Load-Metrics: TEXT x0=0.4, x1=25`. A header with a missing or invalid value is ignored as
/// a whole: half a report would look like an exhausted limit, or like no limit.
pub fn load_report(headers: &HeaderMap) -> Option<Report> {
    let text = headers.get("endpoint-load-metrics")?.to_str().ok()?;
    let value = |name: &str| {
        let mut pairs = text.split([',', ' ']).filter_map(|p| p.split_once('='));
        let value = pairs.find(|(key, _)| *key == name).and_then(|(_, v)| v.trim().parse::<f64>().ok());
        value.filter(|v| v.is_finite() && *v >= 0.0)
    };
    Some(Report { remaining: value("x0")?, limit: value("x1")? })
}

#[cfg(test)]
mod tests;

//! The end of calls without a readable answer: cancelled, timed out or interrupted.
use super::answer::PartialAnswer;
use super::{attempt_end, trace_ids, CallEntry, CallExecutor};
use crate::connections::{CloseReason, Connection};
use nickelshed_host::Host;
use nickelshed_policy::api::{AttemptEnd, EndpointId, Outcome};
use std::time::Duration;
use tokio::time::Instant;

/// A call that was written and got no readable answer.
pub(super) struct UnansweredCall {
    pub(super) entries: Vec<CallEntry>,
    /// The outcome of the messages that the received part of the answer does not finish.
    pub(super) outcome: Outcome,
    pub(super) reason: CloseReason,
    pub(super) is_batch: bool,
    /// How long the connection had been idle before the call; None if it was new or this side ended the call.
    pub(super) idle: Option<Duration>,
}

impl<H: Host> CallExecutor<H> {
    /// Closes the connection of a call and reports how its messages ended. An answer that finishes a message
    /// counts also if the rest of it is missing, or if it has arrived and was not read in time.
    pub(super) async fn end_unanswered(
        &self,
        endpoint: EndpointId,
        mut connection: Connection<H>,
        call: UnansweredCall,
        started_at: Instant,
    ) {
        let received = connection.socket.take_received();
        let answer = PartialAnswer::new(&received, call.is_batch);
        let (finished, unfinished): (Vec<CallEntry>, Vec<CallEntry>) =
            call.entries.into_iter().partition(|entry| answer.final_outcome(&entry.message.trace).is_some());
        let finished_ends = finished_ends(&finished, &answer, endpoint, started_at);
        if !finished.is_empty() {
            let (connection, messages) = (connection.number, trace_ids(&finished));
            tracing::info!(endpoint, connection, ?messages, "a partial answer finishes its messages");
        }
        // On a reused connection the answer may be a copy of an earlier one.
        let reported_later = if connection.answer_count() > 0 && !finished_ends.is_empty() {
            connection.answers.iter_mut().for_each(|answers| answers.record(&received));
            self.report_provisional(&mut connection, finished_ends).await;
            Vec::new()
        } else {
            finished_ends
        };
        // The connection is closed before other results are reported. Otherwise the next attempt could start
        // while this request is still open on the connection, as a second copy of the message, and the call
        // would still occupy its slot.
        self.pool.close(endpoint, connection, call.reason).await;
        let reused_idle = call.idle.filter(|_| received.is_empty());
        if let Some(idle) = reused_idle.filter(|_| call.outcome == Outcome::ConnectionLost) {
            self.pool.limit_idle_time(endpoint, idle);
        }
        let unfinished_end = |entry: &CallEntry| AttemptEnd {
            reused_connection: reused_idle.is_some(),
            ..attempt_end(entry, endpoint, call.outcome, started_at)
        };
        let unfinished_ends = unfinished.iter().map(unfinished_end);
        self.report(reported_later.into_iter().chain(unfinished_ends).collect()).await;
    }
}

/// The ends of the attempts whose messages a partial answer finishes.
fn finished_ends(
    finished: &[CallEntry],
    answer: &PartialAnswer,
    endpoint: EndpointId,
    started_at: Instant,
) -> Vec<AttemptEnd> {
    let to_end = |entry: &CallEntry| {
        let outcome = answer.final_outcome(&entry.message.trace)?;
        Some(AttemptEnd { finished: true, ..attempt_end(entry, endpoint, outcome, started_at) })
    };
    finished.iter().filter_map(to_end).collect()
}

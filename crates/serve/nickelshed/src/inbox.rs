//! Inputs to the core from the other parts of the sender, and the core's replies to clients.
use crate::list::EndpointList;
use crate::provisional::ResolvedAnswer;
use nickelshed_journal::{AcceptedMessage, SyncResult};
use nickelshed_policy::api::{AttemptEnd, EndpointId, Outcome, Report};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The reply to a submitted message.
#[derive(Clone, Copy, Debug)]
pub enum Reply {
    Accepted,
    /// Submitting it again is harmless, after the given time if it is known.
    Rejected(Option<Duration>),
    /// An attempt may have taken effect, so submitting the message again could repeat it.
    Failed,
    /// No endpoint list has named the destination.
    UnknownDestination,
    /// An open message with different content has the same id.
    Conflict,
}

pub enum Input {
    /// A submitted message; the core assigns `message.id`.
    Submit {
        message: AcceptedMessage,
        deadline: Instant,
        reply: oneshot::Sender<Reply>,
    },
    EndpointList(EndpointList),
    AttemptsEnded {
        ends: Vec<AttemptEnd>,
        /// Whether the answer is provisional; `AnswersResolved` follows for each of these attempts.
        is_provisional: bool,
    },
    AnswersResolved(Vec<ResolvedAnswer>),
    /// The result of a health check.
    Probed {
        endpoint: EndpointId,
        outcome: Outcome,
        report: Option<Report>,
    },
    /// Every sink has received these notices.
    NoticesDelivered(Vec<u64>),
    /// The result of a journal sync.
    Synced(SyncResult),
    /// How many senders share each limit, by the membership view of the fleet.
    SenderCount(usize),
    /// The start number of this fleet member, to be persisted for the next process run.
    StartNumber(u32),
    /// Clients can no longer connect: exit once nothing is left to do, and start no call after this time.
    Shutdown(Instant),
}

//! What the parts of the sender say to its core, and what the core answers a client.
use crate::list::List;
use nickelshed_journal::{AcceptedMessage, SyncResult};
use nickelshed_policy::api::{AttemptEnd, EndpointId, Outcome, Report};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// What a client is answered.
#[derive(Clone, Copy, Debug)]
pub enum Reply {
    TakenOn,
    /// Handing it in again is harmless; after how long, if that is known.
    Refused(Option<Duration>),
    Failed,
    /// No list has named its destination.
    NoDestination,
    /// Its id is that of another message that is held.
    Conflict,
}

pub enum Input {
    /// A message handed in; `taken.id` is given by the core.
    Offer {
        taken: AcceptedMessage,
        end: Instant,
        reply: oneshot::Sender<Reply>,
    },
    List(List),
    Ended(Vec<AttemptEnd>),
    Probed {
        endpoint: EndpointId,
        outcome: Outcome,
        report: Option<Report>,
    },
    /// The platform has answered for these notices.
    Noticed(Vec<u64>),
    /// How a sync of the journal has ended.
    Synced(SyncResult),
    /// So many senders share each limit, by the view of the fleet.
    Senders(usize),
    /// The start of this member of the fleet, to be kept for its next process.
    Start(u32),
    /// No client can come any more: end once nothing is left to do, and start nothing new after this time.
    Wind(Instant),
}

//! The judge: from what was seen on the wire it decides which of the six rules were broken, when and by which events,
//! and what the day was worth. It knows nothing of the sender and does no I/O.
mod account;
mod event;
mod rules;
mod worth;

pub use account::{account_time, DestinationState, MessagePhase, TimeAccount};
pub use event::{CallEnd, DedupScope, Effect, Event, EventKind, Us};
pub use rules::{judge, Rule, RuleParameters, Violation};
pub use worth::{score, LossReason, ScoreReport, ValueFunction};

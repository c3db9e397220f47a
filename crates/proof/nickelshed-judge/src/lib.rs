//! Checks a history of observed events against the six delivery rules, scores the value that a run delivered
//! and accounts for slot time and message latency. Independent of the sender's code; does no I/O.
mod account;
mod event;
mod rules;
mod score;

pub use account::{account_time, DestinationState, MessagePhase, TimeAccount};
pub use event::{CallEnd, DedupScope, Effect, Event, EventKind, Us};
pub use rules::{judge, Rule, RuleParameters, Violation};
pub use score::{score, LossReason, ScoreReport, ValueFunction};

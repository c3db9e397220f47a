//! Mutations: senders with one guard removed. The guard is disabled from outside, by giving the unchanged
//! sender other inputs than the checker sees. Each mutation shows that random scenarios reach the situation
//! that the guard is for, and that the checker detects the violation.
use nickelshed_judge::Rule;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The sender's folder is empty at each start, as if it had written no journal.
    ForgetsJournal,
    /// The endpoint list shows draining and removed endpoints as ready, as if the sender ignored drains.
    IgnoresDrains,
    /// Answers omit `Retry-After`, as if the sender did not read it.
    IgnoresWaits,
    /// The settings say that a destination in slow start handles 1,000 times its capacity, as if the sender
    /// had no slow start.
    KnowsNoCold,
    /// The settings say that destinations remember keys for an hour, as if the sender did not track how long
    /// they do.
    ForgetsWindow,
    /// The settings declare all messages safe to repeat, including those that must not run twice.
    RepeatsUnsafe,
    /// Notices are discarded on receipt, as if the sender did not send them.
    SendsNoNotices,
    /// The sender's file of destination outages is deleted at each start.
    ForgetsOutages,
    /// The settings say that every endpoint of a destination recognizes a repeat, where only one endpoint or
    /// one site does.
    TrustsAllWithRepeats,
    /// Connections to endpoints stay open when the sender closes them, as if it continued without cancelling
    /// the calls.
    LeavesCallsOpen,
}

impl Mutation {
    pub const ALL: [Mutation; 10] = [
        Mutation::ForgetsJournal,
        Mutation::IgnoresDrains,
        Mutation::IgnoresWaits,
        Mutation::KnowsNoCold,
        Mutation::ForgetsWindow,
        Mutation::RepeatsUnsafe,
        Mutation::SendsNoNotices,
        Mutation::ForgetsOutages,
        Mutation::TrustsAllWithRepeats,
        Mutation::LeavesCallsOpen,
    ];

    /// Returns the rule that is violated when the guard is missing.
    pub fn violated_rule(self) -> Rule {
        match self {
            Mutation::ForgetsJournal | Mutation::SendsNoNotices => Rule::Lost,
            Mutation::IgnoresDrains => Rule::Drain,
            Mutation::IgnoresWaits => Rule::Wait,
            Mutation::KnowsNoCold | Mutation::ForgetsOutages => Rule::Pushed,
            Mutation::ForgetsWindow | Mutation::RepeatsUnsafe | Mutation::TrustsAllWithRepeats => Rule::Twice,
            Mutation::LeavesCallsOpen => Rule::AtOnce,
        }
    }
}

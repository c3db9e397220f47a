//! Senders that lack a guard, made of the real one by lying to it: what it is told differs from what the judge sees. They
//! show that the days meet what each guard is for, and that the judge hears of it.
use nickelshed_judge::Rule;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Its folder is empty at each start, as if nothing had been written down.
    ForgetsJournal,
    /// Its list says that what drains or is gone is ready, as if it did not follow it.
    IgnoresDrains,
    /// Waits are left out of answers, as if it did not read them.
    IgnoresWaits,
    /// It is told that cold destinations stand a thousand times as much, as if it had no ramp.
    KnowsNoCold,
    /// It is told that keys are held for an hour, as if it did not count their time.
    ForgetsWindow,
    /// It is told that messages may run twice which may not.
    RepeatsUnsafe,
    /// Nobody hears its notices, as if it did not send them.
    SendsNoNotices,
    /// What it kept of destinations that are out is gone at each start.
    ForgetsOutages,
    /// It is told that every endpoint of a destination knows a repeat, where only one or one room does.
    TrustsAllWithRepeats,
    /// Its connections to endpoints stay open when it closes them, as if it went on without closing.
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

    /// The rule that the guard keeps.
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

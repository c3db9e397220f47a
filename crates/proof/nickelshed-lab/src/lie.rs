//! Senders that lack a guard, made of the real one by lying to it: what it is told differs from what the judge sees. They
//! show that the days meet what each guard is for, and that the judge hears of it.
use nickelshed_judge::Rule;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lie {
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

impl Lie {
    pub const ALL: [Lie; 10] = [
        Lie::ForgetsJournal,
        Lie::IgnoresDrains,
        Lie::IgnoresWaits,
        Lie::KnowsNoCold,
        Lie::ForgetsWindow,
        Lie::RepeatsUnsafe,
        Lie::SendsNoNotices,
        Lie::ForgetsOutages,
        Lie::TrustsAllWithRepeats,
        Lie::LeavesCallsOpen,
    ];

    /// The rule that the guard keeps.
    pub fn breaks(self) -> Rule {
        match self {
            Lie::ForgetsJournal | Lie::SendsNoNotices => Rule::Lost,
            Lie::IgnoresDrains => Rule::Drain,
            Lie::IgnoresWaits => Rule::Wait,
            Lie::KnowsNoCold | Lie::ForgetsOutages => Rule::Pushed,
            Lie::ForgetsWindow | Lie::RepeatsUnsafe | Lie::TrustsAllWithRepeats => Rule::Twice,
            Lie::LeavesCallsOpen => Rule::AtOnce,
        }
    }
}

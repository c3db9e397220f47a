//! What part of a limit is this sender's, by its view of the fleet.
//!
//! **Invariant.** However members join, crash, stall and are cut from one another, the parts of all that run add up to no
//! more than [`most_sum`] while answers tell of no room: what falls silent keeps its part, but for a tenth of all that is
//! taken up unseen, and what begins takes a small part.
//!
//! One that falls silent may be dead, or may go on sending on the other side of a cut, and nobody can tell which. If its
//! part lies idle, some of a limit is lost; if both use it, customers are pushed over. The second does more harm, so the
//! part is kept, and only what answers tell of room is taken up, by small steps that are given back as fast as it ends.
use crate::member::MemberId;
use crate::Ns;
use std::collections::BTreeMap;

const SECOND: Ns = 1_000_000_000;
/// Of all parts so much may be taken up from the silent without a sign of room.
pub const UNCONDITIONAL_RECLAIM: f64 = 0.1;
/// What is not present keeps its part for so long, whatever answers tell: it may be back, or say otherwise.
const SILENCE_CONFIRMED_AFTER: Ns = 10 * SECOND;
/// One that left on purpose may still end what it has out.
const LEAVE_GRACE: Ns = 4 * SECOND;
/// One that begins, or wakes, takes this fraction of a part.
pub const JOINING_SHARE: f64 = 0.25;
/// For so long at least, so that all others reckon with it by then.
const MIN_JOINING_TIME: Ns = 5 * SECOND;
/// From one step to the next, and how much of what is left to take up one is.
const RECLAIM_INTERVAL: Ns = 2 * SECOND;
const RECLAIM_STEP: f64 = 0.15;
/// Answers that leave this much of a limit tell of room; those that leave less than the second one, of none.
const AMPLE_HEADROOM: f64 = 0.4;
const LOW_HEADROOM: f64 = 0.15;
/// A word on room that is older says nothing.
const HEADROOM_EXPIRY: Ns = 5 * SECOND;

/// The most that the parts of `n` senders add up to while `joining` more are not known to all.
#[must_use]
pub fn max_total_share(senders: usize, joining: usize) -> f64 {
    1.0 / (1.0 - UNCONDITIONAL_RECLAIM) + JOINING_SHARE * joining as f64 / senders.max(1) as f64
}

/// What the view says of the others.
#[derive(Clone, Debug, Default)]
pub struct MembershipSummary {
    /// Those that are present, suspects too.
    pub present: Vec<MemberId>,
    /// Those that are gone; this one may never have met them.
    pub failed: Vec<MemberId>,
    /// Those that said that they end.
    pub left: Vec<MemberId>,
    /// This member stood still, or others may not hear it.
    pub local_health_degraded: bool,
    /// Its view is that of the others that it heard lately, or there are none.
    pub converged: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Presence {
    Present,
    /// Not present any more, since then.
    Silent(Ns),
    Left(Ns),
}

#[derive(Clone, Debug)]
pub struct LimitQuota {
    now: Ns,
    /// How many the settings name. It is all that one knows that has heard nobody yet.
    configured: usize,
    others: BTreeMap<MemberId, Presence>,
    /// The most that it ever reckoned with at once, itself counted.
    max_known: usize,
    /// Since when it takes a small part, until it has settled.
    joining_since: Option<Ns>,
    /// The settings name all there can be: whoever begins comes back to a part that the others have kept for it.
    is_fixed: bool,
    created_at: Ns,
    /// How many of the silent ones' parts are taken up because answers told of room.
    reclaimed: f64,
    last_step_at: Ns,
    headroom: Option<(Ns, f64)>,
}

impl LimitQuota {
    /// `configured`: how many senders the settings name, this one counted.
    #[must_use]
    pub fn new(configured: usize, now: Ns) -> LimitQuota {
        LimitQuota {
            now,
            configured: configured.max(1),
            others: BTreeMap::new(),
            max_known: 1,
            joining_since: Some(now),
            is_fixed: false,
            created_at: now,
            reclaimed: 0.0,
            last_step_at: now,
            headroom: None,
        }
    }

    /// Of a fleet to which nobody can be added: `configured` are all there can be. One that begins has its whole part at once,
    /// as it would without a view; only after it stood still for as long as silence takes to be sure does it begin small.
    /// Until the others have seen it again, its part and what they took up of it may both be used.
    #[must_use]
    pub fn fixed(configured: usize, now: Ns) -> LimitQuota {
        LimitQuota { joining_since: None, is_fixed: true, ..LimitQuota::new(configured, now) }
    }

    /// An answer told how much of a limit is left, 0 to 1; the least that is told within a step counts.
    pub fn record_headroom(&mut self, now: Ns, remaining: f64) {
        if !remaining.is_finite() {
            return;
        }
        let remaining = remaining.clamp(0.0, 1.0);
        self.headroom = Some(match self.headroom {
            Some((at, minimum)) if now - at < RECLAIM_INTERVAL => (at, minimum.min(remaining)),
            _ => (now, remaining),
        });
    }

    /// Takes the view as it is now. To be called when it changes, and once a second.
    pub fn update(&mut self, now: Ns, summary: &MembershipSummary) {
        let stalled = now - self.now >= SILENCE_CONFIRMED_AFTER;
        self.now = self.now.max(now);
        let now = self.now;
        for presence in self.others.values_mut().filter(|s| **s == Presence::Present) {
            *presence = Presence::Silent(now);
        }
        for &id in &summary.present {
            // It may have been silent a moment ago, and has its whole part again at once.
            self.others.insert(id, Presence::Present);
        }
        for &id in &summary.failed {
            self.others.entry(id).or_insert(Presence::Silent(now));
        }
        self.max_known = self.max_known.max(self.others.len() + 1);
        for id in &summary.left {
            if let Some(presence) = self.others.get_mut(id).filter(|s| !matches!(s, Presence::Left(_))) {
                *presence = Presence::Left(now);
            }
        }
        self.others.retain(|_, s| !matches!(s, Presence::Left(at) if now - *at > LEAVE_GRACE));
        let rejoins = if self.is_fixed { stalled } else { summary.local_health_degraded };
        if rejoins {
            self.joining_since = Some(now);
        }
        if let Some(since) = self.joining_since {
            // While many are silent nobody knows with whom they reckon: who begins then stays small, but for room.
            let many_silent = self.silent_count() as f64 - self.reclaimed > 2.0 * self.max_unconditional();
            if summary.converged && now - since >= MIN_JOINING_TIME && !many_silent {
                // A whole part is a large step by itself: what the silent ones leave is for those after it.
                (self.joining_since, self.reclaimed, self.last_step_at) = (None, 0.0, now);
            }
        }
        self.adjust_reclaimed(summary);
    }

    /// Those that the settings name and that were never met: they may all be on the other side of a cut.
    fn never_seen(&self) -> usize {
        self.configured.saturating_sub(self.max_known)
    }

    fn silent_count(&self) -> usize {
        self.never_seen() + self.others.values().filter(|s| matches!(s, Presence::Silent(_))).count()
    }

    /// Those whose parts may be taken up.
    fn confirmed_silent_count(&self) -> usize {
        let is_confirmed =
            |s: &&Presence| matches!(s, Presence::Silent(at) if self.now - *at >= SILENCE_CONFIRMED_AFTER);
        // In a closed fleet they may only be slower to begin.
        let never_seen = if self.is_fixed && self.now - self.created_at < SILENCE_CONFIRMED_AFTER {
            0
        } else {
            self.never_seen()
        };
        never_seen + self.others.values().filter(is_confirmed).count()
    }

    fn total_senders(&self) -> f64 {
        (self.others.len() + 1 + self.never_seen()) as f64
    }

    /// So many may be taken up unseen. What joins while others are silent is no reason to take up more of them.
    fn max_unconditional(&self) -> f64 {
        UNCONDITIONAL_RECLAIM * self.total_senders().min(self.configured as f64)
    }

    fn unconditionally_reclaimed(&self) -> f64 {
        (self.confirmed_silent_count() as f64).min(self.max_unconditional())
    }

    /// Parts of the silent that only answers can free.
    fn conditionally_reclaimable(&self) -> f64 {
        self.confirmed_silent_count() as f64 - self.unconditionally_reclaimed()
    }

    fn adjust_reclaimed(&mut self, summary: &MembershipSummary) {
        let now = self.now;
        let reclaimable = self.conditionally_reclaimable();
        self.reclaimed = self.reclaimed.min(reclaimable);
        if now - self.last_step_at < RECLAIM_INTERVAL {
            return;
        }
        self.last_step_at = now;
        match self.headroom {
            Some((at, remaining)) if now - at < HEADROOM_EXPIRY && remaining < LOW_HEADROOM => {
                self.reclaimed /= 2.0
            }
            Some((at, remaining))
                if now - at < HEADROOM_EXPIRY
                    && remaining > AMPLE_HEADROOM
                    && !summary.local_health_degraded =>
            {
                self.reclaimed += RECLAIM_STEP * (reclaimable - self.reclaimed);
            }
            _ => {}
        }
    }

    /// How many senders share each limit, as this one has to reckon: its part is one of so many.
    #[must_use]
    pub fn sender_count(&self) -> f64 {
        let total = self.total_senders();
        let sharing = total - self.unconditionally_reclaimed() - self.reclaimed;
        match self.joining_since {
            // It may not know all others yet, and none of them reckons with it.
            Some(_) => total.max(self.configured as f64) / JOINING_SHARE,
            None => sharing,
        }
    }

    /// Whether it takes a small part for now.
    #[must_use]
    pub fn is_joining(&self) -> bool {
        self.joining_since.is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn in_a_fixed_fleet_a_start_takes_a_full_share_and_a_long_stall_a_joining_share() {
        let mut quota = LimitQuota::fixed(4, 0);
        assert_eq!((quota.sender_count(), quota.is_joining()), (4.0, false));
        quota.update(SECOND, &summary(0..1));
        assert_eq!(quota.sender_count(), 4.0, "others may be slower to begin");
        quota.update(2 * SECOND, &summary(0..3));
        assert_eq!(quota.sender_count(), 4.0);
        quota.update(3 * SECOND, &MembershipSummary { local_health_degraded: true, ..summary(0..3) });
        assert_eq!(quota.sender_count(), 4.0, "the others have kept its part");
        quota.update(13 * SECOND, &summary(0..3));
        assert_eq!((quota.sender_count(), quota.is_joining()), (4.0 / JOINING_SHARE, true));
        quota.update(19 * SECOND, &summary(0..3));
        assert_eq!(quota.sender_count(), 4.0);
        // What is silent keeps its part for as long as in any fleet.
        quota.update(20 * SECOND, &summary(0..2));
        quota.update(29 * SECOND, &summary(0..2));
        assert_eq!(quota.sender_count(), 4.0);
        quota.update(30 * SECOND, &summary(0..2));
        assert!(quota.sender_count() < 4.0 && quota.sender_count() >= 3.6);
    }

    fn summary(ids: std::ops::Range<u64>) -> MembershipSummary {
        MembershipSummary {
            present: ids.map(MemberId).collect(),
            converged: true,
            ..MembershipSummary::default()
        }
    }

    fn converged_quota(others: u64) -> LimitQuota {
        let mut quota = LimitQuota::new(others as usize + 1, 0);
        for second in 0..8 {
            quota.update(second * SECOND, &summary(1..others + 1));
        }
        quota
    }

    #[test]
    fn joining_member_takes_a_small_share_of_the_configured_count() {
        let mut quota = LimitQuota::new(10, 0);
        assert!((quota.sender_count() - 40.0).abs() < 1e-9);
        quota.update(SECOND, &summary(1..20));
        assert!((quota.sender_count() - 80.0).abs() < 1e-9);
        quota.update(6 * SECOND, &summary(1..20));
        assert!((quota.sender_count() - 20.0).abs() < 1e-9);
    }

    #[test]
    fn silent_half_keeps_all_but_a_tenth_until_headroom_is_reported() {
        let mut quota = converged_quota(19);
        let half = summary(1..10);
        for second in 8..60 {
            quota.update(second * SECOND, &half);
        }
        assert!((quota.sender_count() - 18.0).abs() < 1e-9, "{}", quota.sender_count());
        for second in 60..120 {
            quota.record_headroom(second * SECOND, 0.5);
            quota.update(second * SECOND, &half);
        }
        assert!(quota.sender_count() < 10.5, "{}", quota.sender_count());
        // Where the other half still sends, there is no room, and all is given back.
        for second in 120..160 {
            quota.record_headroom(second * SECOND, 0.05);
            quota.update(second * SECOND, &half);
        }
        assert!(quota.sender_count() > 17.9, "{}", quota.sender_count());
        // Healed: at once.
        quota.update(160 * SECOND, &summary(1..20));
        assert!((quota.sender_count() - 20.0).abs() < 1e-9);
    }

    #[test]
    fn share_of_a_member_that_left_is_reclaimed_and_a_resumed_member_takes_a_joining_share() {
        let mut quota = converged_quota(9);
        let mut view = summary(1..9);
        view.left = vec![MemberId(9)];
        for second in 8..14 {
            quota.update(second * SECOND, &view);
        }
        assert!((quota.sender_count() - 9.0).abs() < 1e-9, "{}", quota.sender_count());
        view.local_health_degraded = true;
        quota.update(14 * SECOND, &view);
        assert!((quota.sender_count() - 40.0).abs() < 1e-9, "{}", quota.sender_count());
    }

    #[test]
    fn lone_member_takes_no_more_than_its_configured_share_until_headroom_is_reported() {
        let mut quota = LimitQuota::new(10, 0);
        for second in 0..60 {
            quota.update(second * SECOND, &summary(1..1));
        }
        assert!((quota.sender_count() - 40.0).abs() < 1e-9, "{}", quota.sender_count());
        for second in 60..200 {
            quota.record_headroom(second * SECOND, 0.9);
            quota.update(second * SECOND, &summary(1..1));
        }
        assert!(quota.sender_count() < 1.1, "{}", quota.sender_count());
    }

    #[test]
    fn invalid_or_expired_headroom_changes_nothing() {
        let mut quota = converged_quota(9);
        for second in 8..40 {
            quota.record_headroom(8 * SECOND, f64::NAN);
            quota.record_headroom(8 * SECOND, 1.0);
            quota.update(second * SECOND, &summary(1..5));
        }
        assert!((quota.sender_count() - 9.0).abs() < 1e-9, "{}", quota.sender_count());
    }
}

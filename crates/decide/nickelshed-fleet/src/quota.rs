//! Computes the share of a rate limit that this sender may use, from its view of the fleet. A full share is
//! the fair share: the limit divided by the number of senders.
//!
//! **Invariant.** However members join, crash, stall and are partitioned, the shares of all running senders
//! add up to no more than [`max_total_share`] while answers report no headroom: a silent member keeps its
//! share, except for a tenth of all shares that is reclaimed unconditionally, and a joining member takes a
//! small share.
//!
//! A silent member may have crashed, or may still send on the other side of a partition, and nobody can tell
//! which. If its share stays idle, some of a limit is lost; if both sides use it, destinations are
//! overloaded. The latter does more harm. So the share is kept, and beyond that tenth only as much is
//! reclaimed as reported headroom allows, in small steps that are undone fast when the headroom ends.
use crate::member::MemberId;
use crate::Ns;
use std::collections::BTreeMap;

const SECOND: Ns = 1_000_000_000;
/// This fraction of all shares may be reclaimed from silent members without any headroom reported.
pub const UNCONDITIONAL_RECLAIM: f64 = 0.1;
/// A member that is not present keeps its share for at least this long, whatever headroom answers report: it
/// may return, or refute its failure.
const SILENCE_CONFIRMED_AFTER: Ns = 10 * SECOND;
/// A member that left on purpose may still finish its calls in flight for this long.
const LEAVE_GRACE: Ns = 4 * SECOND;
/// A member that joins, or resumes after a stall, takes this fraction of a full share.
pub const JOINING_SHARE: f64 = 0.25;
/// Shortest time for which a joining member takes that fraction. After this time all others count the member.
const MIN_JOINING_TIME: Ns = 5 * SECOND;
/// Time between two steps of reclaiming, and the fraction of the remaining reclaimable shares that one step
/// takes.
const RECLAIM_INTERVAL: Ns = 2 * SECOND;
const RECLAIM_STEP: f64 = 0.15;
/// Headroom, as a fraction of a limit, above which a step reclaims more, and below which it returns half of
/// what was reclaimed.
const AMPLE_HEADROOM: f64 = 0.4;
const LOW_HEADROOM: f64 = 0.15;
/// Reported headroom older than this is ignored.
const HEADROOM_EXPIRY: Ns = 5 * SECOND;

/// Upper bound on the sum of the shares of `senders` while `joining` more are not known to all.
#[must_use]
pub fn max_total_share(senders: usize, joining: usize) -> f64 {
    1.0 / (1.0 - UNCONDITIONAL_RECLAIM) + JOINING_SHARE * joining as f64 / senders.max(1) as f64
}

/// What a view says of the other members.
#[derive(Clone, Debug, Default)]
pub struct MembershipSummary {
    /// Present members, suspects included.
    pub present: Vec<MemberId>,
    /// Failed members; this one may never have received from them.
    pub failed: Vec<MemberId>,
    /// Members that announced that they leave.
    pub left: Vec<MemberId>,
    /// This member was stalled, or the others may not receive from it.
    pub local_health_degraded: bool,
    /// The view equals those of the members received from recently, or there are none.
    pub converged: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Presence {
    Present,
    /// Not present any more, since this time.
    Silent(Ns),
    Left(Ns),
}

/// Computes by how many senders this member divides each limit.
#[derive(Clone, Debug)]
pub struct LimitQuota {
    now: Ns,
    /// Number of senders in the settings: all that a member knows before it receives from any other.
    configured: usize,
    others: BTreeMap<MemberId, Presence>,
    /// Greatest number of members known at one time, this one included.
    max_known: usize,
    /// When this member began to take the small share of a joining member; `None` once it has a full share.
    joining_since: Option<Ns>,
    /// The settings name all senders that there can be, so the others keep a share for each sender that is
    /// not present.
    is_fixed: bool,
    created_at: Ns,
    /// How many silent members' shares are reclaimed because answers reported headroom.
    reclaimed: f64,
    last_step_at: Ns,
    headroom: Option<(Ns, f64)>,
}

impl LimitQuota {
    /// `configured`: number of senders in the settings, this one included.
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

    /// For a fleet that cannot grow: `configured` is the greatest number of senders. A member that starts has
    /// its full share at once, as it would without a view. It takes the share of a joining member only after
    /// a stall as long as the silence after which others reclaim: until they have seen it again, its share
    /// and what they reclaimed of it may both be in use.
    #[must_use]
    pub fn fixed(configured: usize, now: Ns) -> LimitQuota {
        LimitQuota { joining_since: None, is_fixed: true, ..LimitQuota::new(configured, now) }
    }

    /// Records the fraction of a limit, 0 to 1, that an answer reported as remaining. The smallest one within
    /// a step counts.
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

    /// Processes the current view. To be called when the view changes, and once per second.
    pub fn update(&mut self, now: Ns, summary: &MembershipSummary) {
        let stalled = now - self.now >= SILENCE_CONFIRMED_AFTER;
        self.now = self.now.max(now);
        let now = self.now;
        for presence in self.others.values_mut().filter(|p| **p == Presence::Present) {
            *presence = Presence::Silent(now);
        }
        for &id in &summary.present {
            // A member that was silent a moment ago has its full share again at once.
            self.others.insert(id, Presence::Present);
        }
        for &id in &summary.failed {
            self.others.entry(id).or_insert(Presence::Silent(now));
        }
        self.max_known = self.max_known.max(self.others.len() + 1);
        for id in &summary.left {
            if let Some(presence) = self.others.get_mut(id).filter(|p| !matches!(p, Presence::Left(_))) {
                *presence = Presence::Left(now);
            }
        }
        self.others.retain(|_, p| !matches!(p, Presence::Left(at) if now - *at > LEAVE_GRACE));
        let rejoins = if self.is_fixed { stalled } else { summary.local_health_degraded };
        if rejoins {
            self.joining_since = Some(now);
        }
        if let Some(since) = self.joining_since {
            // While many members are silent, it is unknown how many senders those divide the limits by. A
            // joining member then keeps its small share until headroom is reported.
            let many_silent = self.silent_count() as f64 - self.reclaimed > 2.0 * self.max_unconditional();
            if summary.converged && now - since >= MIN_JOINING_TIME && !many_silent {
                // Taking a full share is a large step by itself, so shares of silent members are reclaimed
                // only in later steps.
                (self.joining_since, self.reclaimed, self.last_step_at) = (None, 0.0, now);
            }
        }
        self.adjust_reclaimed(summary);
    }

    /// Returns how many members the settings count that were never seen. They may all be on the other side of
    /// a partition.
    fn never_seen(&self) -> usize {
        self.configured.saturating_sub(self.max_known)
    }

    /// Returns how many members are not present and have not left, those never seen included.
    fn silent_count(&self) -> usize {
        self.never_seen() + self.others.values().filter(|p| matches!(p, Presence::Silent(_))).count()
    }

    /// Returns how many members have been silent for so long that their shares may be reclaimed.
    fn confirmed_silent_count(&self) -> usize {
        let is_confirmed =
            |p: &&Presence| matches!(p, Presence::Silent(at) if self.now - *at >= SILENCE_CONFIRMED_AFTER);
        // In a fixed fleet, members that were never seen may only be slower to start.
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

    /// Returns how many shares may be reclaimed without headroom. Members that join while others are silent
    /// do not raise this number.
    fn max_unconditional(&self) -> f64 {
        UNCONDITIONAL_RECLAIM * self.total_senders().min(self.configured as f64)
    }

    fn unconditionally_reclaimed(&self) -> f64 {
        (self.confirmed_silent_count() as f64).min(self.max_unconditional())
    }

    /// Returns how many shares of silent members only reported headroom can free.
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

    /// Returns by how many senders each limit is divided: this member's share is one divided by it.
    #[must_use]
    pub fn sender_count(&self) -> f64 {
        let total = self.total_senders();
        let sharing = total - self.unconditionally_reclaimed() - self.reclaimed;
        match self.joining_since {
            // This member may not know all others yet, and none of them may count it yet.
            Some(_) => total.max(self.configured as f64) / JOINING_SHARE,
            None => sharing,
        }
    }

    /// Returns whether this member takes the small share of a joining member for now.
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
        assert_eq!(quota.sender_count(), 4.0, "others may be slower to start");
        quota.update(2 * SECOND, &summary(0..3));
        assert_eq!(quota.sender_count(), 4.0);
        quota.update(3 * SECOND, &MembershipSummary { local_health_degraded: true, ..summary(0..3) });
        assert_eq!(quota.sender_count(), 4.0, "the others have kept its share");
        quota.update(13 * SECOND, &summary(0..3));
        assert_eq!((quota.sender_count(), quota.is_joining()), (4.0 / JOINING_SHARE, true));
        quota.update(19 * SECOND, &summary(0..3));
        assert_eq!(quota.sender_count(), 4.0);
        // A silent member keeps its share for as long as in a fleet that can grow.
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
        // Where the other half still sends there is no headroom, and all that was reclaimed is returned.
        for second in 120..160 {
            quota.record_headroom(second * SECOND, 0.05);
            quota.update(second * SECOND, &half);
        }
        assert!(quota.sender_count() > 17.9, "{}", quota.sender_count());
        // After the partition all shares count again at once.
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

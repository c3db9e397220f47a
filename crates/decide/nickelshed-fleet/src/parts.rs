//! What part of a limit is this sender's, by its view of the fleet.
//!
//! **Invariant.** However members join, crash, stall and are cut from one another, the parts of all that run add up to no
//! more than [`most_sum`] while answers tell of no room: what falls silent keeps its part, but for a tenth of all that is
//! taken up unseen, and what begins takes a small part.
//!
//! One that falls silent may be dead, or may go on sending on the other side of a cut, and nobody can tell which. If its
//! part lies idle, some of a limit is lost; if both use it, customers are pushed over. The second does more harm, so the
//! part is kept, and only what answers tell of room is taken up, by small steps that are given back as fast as it ends.
use crate::member::Id;
use crate::Ns;
use std::collections::BTreeMap;

const SECOND: Ns = 1_000_000_000;
/// Of all parts so much may be taken up from the silent without a sign of room.
pub const UNSEEN: f64 = 0.1;
/// What is not present keeps its part for so long, whatever answers tell: it may be back, or say otherwise.
const SURE: Ns = 10 * SECOND;
/// One that left on purpose may still end what it has out.
const WINDING_UP: Ns = 4 * SECOND;
/// One that begins, or wakes, takes this fraction of a part.
pub const SMALL: f64 = 0.25;
/// For so long at least, so that all others reckon with it by then.
const BEGINS: Ns = 5 * SECOND;
/// From one step to the next, and how much of what is left to take up one is.
const STEP: Ns = 2 * SECOND;
const STEP_PART: f64 = 0.15;
/// Answers that leave this much of a limit tell of room; those that leave less than the second one, of none.
const ROOM: f64 = 0.4;
const NO_ROOM: f64 = 0.15;
/// A word on room that is older says nothing.
const STALE: Ns = 5 * SECOND;

/// The most that the parts of `n` senders add up to while `joining` more are not known to all.
#[must_use]
pub fn most_sum(n: usize, joining: usize) -> f64 {
    1.0 / (1.0 - UNSEEN) + SMALL * joining as f64 / n.max(1) as f64
}

/// What the view says of the others.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Those that are present, suspects too.
    pub present: Vec<Id>,
    /// Those that are gone; this one may never have met them.
    pub gone: Vec<Id>,
    /// Those that said that they end.
    pub left: Vec<Id>,
    /// This member stood still, or others may not hear it.
    pub doubts_itself: bool,
    /// Its view is that of the others that it heard lately, or there are none.
    pub settled: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stand {
    Present,
    /// Not present any more, since then.
    Silent(Ns),
    Left(Ns),
}

#[derive(Clone, Debug)]
pub struct Parts {
    now: Ns,
    /// How many the settings name. It is all that one knows that has heard nobody yet.
    configured: usize,
    others: BTreeMap<Id, Stand>,
    /// The most that it ever reckoned with at once, itself counted.
    most: usize,
    /// Since when it takes a small part, until it has settled.
    begins: Option<Ns>,
    /// The settings name all there can be: whoever begins comes back to a part that the others have kept for it.
    closed: bool,
    began: Ns,
    /// How many of the silent ones' parts are taken up because answers told of room.
    taken: f64,
    stepped: Ns,
    room: Option<(Ns, f64)>,
}

impl Parts {
    /// `configured`: how many senders the settings name, this one counted.
    #[must_use]
    pub fn new(configured: usize, now: Ns) -> Parts {
        Parts {
            now,
            configured: configured.max(1),
            others: BTreeMap::new(),
            most: 1,
            begins: Some(now),
            closed: false,
            began: now,
            taken: 0.0,
            stepped: now,
            room: None,
        }
    }

    /// Of a fleet to which nobody can be added: `configured` are all there can be. One that begins has its whole part at once,
    /// as it would without a view; only after it stood still for as long as silence takes to be sure does it begin small.
    /// Until the others have seen it again, its part and what they took up of it may both be used.
    #[must_use]
    pub fn closed(configured: usize, now: Ns) -> Parts {
        Parts { begins: None, closed: true, ..Parts::new(configured, now) }
    }

    /// An answer told how much of a limit is left, 0 to 1; the least that is told within a step counts.
    pub fn room(&mut self, now: Ns, left: f64) {
        if !left.is_finite() {
            return;
        }
        let left = left.clamp(0.0, 1.0);
        self.room = Some(match self.room {
            Some((at, least)) if now - at < STEP => (at, least.min(left)),
            _ => (now, left),
        });
    }

    /// Takes the view as it is now. To be called when it changes, and once a second.
    pub fn see(&mut self, now: Ns, seen: &Seen) {
        let stood_still = now - self.now >= SURE;
        self.now = self.now.max(now);
        let now = self.now;
        for stand in self.others.values_mut().filter(|s| **s == Stand::Present) {
            *stand = Stand::Silent(now);
        }
        for &id in &seen.present {
            // It may have been silent a moment ago, and has its whole part again at once.
            self.others.insert(id, Stand::Present);
        }
        for &id in &seen.gone {
            self.others.entry(id).or_insert(Stand::Silent(now));
        }
        self.most = self.most.max(self.others.len() + 1);
        for id in &seen.left {
            if let Some(stand) = self.others.get_mut(id).filter(|s| !matches!(s, Stand::Left(_))) {
                *stand = Stand::Left(now);
            }
        }
        self.others.retain(|_, s| !matches!(s, Stand::Left(at) if now - *at > WINDING_UP));
        let begins_anew = if self.closed { stood_still } else { seen.doubts_itself };
        if begins_anew {
            self.begins = Some(now);
        }
        if let Some(since) = self.begins {
            // While many are silent nobody knows with whom they reckon: who begins then stays small, but for room.
            let silent = self.silent() as f64 - self.taken > 2.0 * self.few();
            if seen.settled && now - since >= BEGINS && !silent {
                // A whole part is a large step by itself: what the silent ones leave is for those after it.
                (self.begins, self.taken, self.stepped) = (None, 0.0, now);
            }
        }
        self.step(seen);
    }

    /// Those that the settings name and that were never met: they may all be on the other side of a cut.
    fn never_met(&self) -> usize {
        self.configured.saturating_sub(self.most)
    }

    fn silent(&self) -> usize {
        self.never_met() + self.others.values().filter(|s| matches!(s, Stand::Silent(_))).count()
    }

    /// Those whose parts may be taken up.
    fn surely_silent(&self) -> usize {
        let silent = |s: &&Stand| matches!(s, Stand::Silent(at) if self.now - *at >= SURE);
        // In a closed fleet they may only be slower to begin.
        let never_met = if self.closed && self.now - self.began < SURE { 0 } else { self.never_met() };
        never_met + self.others.values().filter(silent).count()
    }

    fn all(&self) -> f64 {
        (self.others.len() + 1 + self.never_met()) as f64
    }

    /// So many may be taken up unseen. What joins while others are silent is no reason to take up more of them.
    fn few(&self) -> f64 {
        UNSEEN * self.all().min(self.configured as f64)
    }

    fn unseen(&self) -> f64 {
        (self.surely_silent() as f64).min(self.few())
    }

    /// Parts of the silent that only answers can free.
    fn held(&self) -> f64 {
        self.surely_silent() as f64 - self.unseen()
    }

    fn step(&mut self, seen: &Seen) {
        let now = self.now;
        let held = self.held();
        self.taken = self.taken.min(held);
        if now - self.stepped < STEP {
            return;
        }
        self.stepped = now;
        match self.room {
            Some((at, left)) if now - at < STALE && left < NO_ROOM => self.taken /= 2.0,
            Some((at, left)) if now - at < STALE && left > ROOM && !seen.doubts_itself => {
                self.taken += STEP_PART * (held - self.taken);
            }
            _ => {}
        }
    }

    /// How many senders share each limit, as this one has to reckon: its part is one of so many.
    #[must_use]
    pub fn senders(&self) -> f64 {
        let all = self.all();
        let sharing = all - self.unseen() - self.taken;
        match self.begins {
            // It may not know all others yet, and none of them reckons with it.
            Some(_) => all.max(self.configured as f64) / SMALL,
            None => sharing,
        }
    }

    /// Whether it takes a small part for now.
    #[must_use]
    pub fn is_beginning(&self) -> bool {
        self.begins.is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn in_a_closed_fleet_one_that_begins_has_its_part_and_one_that_stood_still_for_long_begins_small() {
        let mut parts = Parts::closed(4, 0);
        assert_eq!((parts.senders(), parts.is_beginning()), (4.0, false));
        parts.see(SECOND, &seen(0..1));
        assert_eq!(parts.senders(), 4.0, "others may be slower to begin");
        parts.see(2 * SECOND, &seen(0..3));
        assert_eq!(parts.senders(), 4.0);
        parts.see(3 * SECOND, &Seen { doubts_itself: true, ..seen(0..3) });
        assert_eq!(parts.senders(), 4.0, "the others have kept its part");
        parts.see(13 * SECOND, &seen(0..3));
        assert_eq!((parts.senders(), parts.is_beginning()), (4.0 / SMALL, true));
        parts.see(19 * SECOND, &seen(0..3));
        assert_eq!(parts.senders(), 4.0);
        // What is silent keeps its part for as long as in any fleet.
        parts.see(20 * SECOND, &seen(0..2));
        parts.see(29 * SECOND, &seen(0..2));
        assert_eq!(parts.senders(), 4.0);
        parts.see(30 * SECOND, &seen(0..2));
        assert!(parts.senders() < 4.0 && parts.senders() >= 3.6);
    }

    fn seen(ids: std::ops::Range<u64>) -> Seen {
        Seen { present: ids.map(Id).collect(), settled: true, ..Seen::default() }
    }

    fn settled(others: u64) -> Parts {
        let mut parts = Parts::new(others as usize + 1, 0);
        for second in 0..8 {
            parts.see(second * SECOND, &seen(1..others + 1));
        }
        parts
    }

    #[test]
    fn one_that_begins_takes_a_small_part_of_what_the_settings_name() {
        let mut parts = Parts::new(10, 0);
        assert!((parts.senders() - 40.0).abs() < 1e-9);
        parts.see(SECOND, &seen(1..20));
        assert!((parts.senders() - 80.0).abs() < 1e-9);
        parts.see(6 * SECOND, &seen(1..20));
        assert!((parts.senders() - 20.0).abs() < 1e-9);
    }

    #[test]
    fn a_half_that_falls_silent_keeps_all_but_a_tenth_until_answers_tell_of_room() {
        let mut parts = settled(19);
        let half = seen(1..10);
        for second in 8..60 {
            parts.see(second * SECOND, &half);
        }
        assert!((parts.senders() - 18.0).abs() < 1e-9, "{}", parts.senders());
        for second in 60..120 {
            parts.room(second * SECOND, 0.5);
            parts.see(second * SECOND, &half);
        }
        assert!(parts.senders() < 10.5, "{}", parts.senders());
        // Where the other half still sends, there is no room, and all is given back.
        for second in 120..160 {
            parts.room(second * SECOND, 0.05);
            parts.see(second * SECOND, &half);
        }
        assert!(parts.senders() > 17.9, "{}", parts.senders());
        // Healed: at once.
        parts.see(160 * SECOND, &seen(1..20));
        assert!((parts.senders() - 20.0).abs() < 1e-9);
    }

    #[test]
    fn what_left_on_purpose_is_taken_up_and_what_wakes_has_a_small_part() {
        let mut parts = settled(9);
        let mut view = seen(1..9);
        view.left = vec![Id(9)];
        for second in 8..14 {
            parts.see(second * SECOND, &view);
        }
        assert!((parts.senders() - 9.0).abs() < 1e-9, "{}", parts.senders());
        view.doubts_itself = true;
        parts.see(14 * SECOND, &view);
        assert!((parts.senders() - 40.0).abs() < 1e-9, "{}", parts.senders());
    }

    #[test]
    fn one_that_meets_nobody_takes_no_more_than_the_settings_give_it() {
        let mut parts = Parts::new(10, 0);
        for second in 0..60 {
            parts.see(second * SECOND, &seen(1..1));
        }
        assert!((parts.senders() - 40.0).abs() < 1e-9, "{}", parts.senders());
        for second in 60..200 {
            parts.room(second * SECOND, 0.9);
            parts.see(second * SECOND, &seen(1..1));
        }
        assert!(parts.senders() < 1.1, "{}", parts.senders());
    }

    #[test]
    fn a_word_on_room_that_is_no_number_or_old_changes_nothing() {
        let mut parts = settled(9);
        for second in 8..40 {
            parts.room(8 * SECOND, f64::NAN);
            parts.room(8 * SECOND, 1.0);
            parts.see(second * SECOND, &seen(1..5));
        }
        assert!((parts.senders() - 9.0).abs() < 1e-9, "{}", parts.senders());
    }
}

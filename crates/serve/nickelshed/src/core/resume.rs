//! The start: what an earlier process of this sender has left in the journal.
use super::*;

impl<S: Storage, H: Host> Core<S, H> {
    /// Takes up what the journal holds. Where `known` may be old, news of it is waited for as long as told.
    pub async fn resume(&mut self, known: List, news_within: Duration) {
        let mut events = vec![self.list(known, true)];
        let first = match news_within {
            Duration::ZERO => None,
            wait => timeout(wait, self.inbox.recv()).await.ok().flatten(),
        };
        if let Some(Input::List(list)) = first {
            let whole = list.reset;
            events.push(self.list(list, whole));
        }
        let (now, wall) = (self.clock(Instant::now()), self.host.wall_ms());
        events.extend(self.recalled(now, wall));
        let (mut lost, mut resumed) = (Vec::new(), Vec::new());
        for (&id, live) in self.journal.live() {
            let taken = live.message.clone();
            if let Some(ending) = live.ending {
                lost.push((id, taken, ending, false));
                continue;
            }
            let mut past: Vec<PastAttempt> = live
                .attempts
                .iter()
                .map(|a| PastAttempt {
                    endpoint: self.names.get(&a.endpoint).copied(),
                    sent: now - (wall - a.started_at_ms).max(0).saturating_mul(MS).min(CLOCK_START),
                    may_have_run: !a.never_ran,
                })
                .collect();
            // Numbers have a gap where an attempt could not be written down, and so was not made. The module counts
            // on from how many there are, and no number may be given twice.
            let gap = PastAttempt { endpoint: None, sent: now, may_have_run: false };
            past.resize(past.len().max(live.next_attempt_number() as usize), gap);
            let attempts = past.len() as u32;
            let Some(class) = position(&self.around.classes, &taken.class) else {
                // The settings no longer have its class, so the module can't be asked.
                let ran = past.iter().any(|p| p.may_have_run);
                let ending = if ran { Ending::GivenUp } else { Ending::HandedBack(None) };
                lost.push((id, taken, ending, true));
                continue;
            };
            let left = (taken.deadline_ms - wall).saturating_mul(MS);
            resumed.push((taken, class, left, attempts, past));
        }
        for (taken, class, left, attempts, past) in resumed {
            if past.is_empty() {
                self.untried.found(taken.id, left <= 0);
            }
            let message = self.hold(taken, class, left, now + left, attempts);
            events.push(Event::Resumed { message, past });
        }
        if !self.journal.live().is_empty() {
            tracing::info!(
                messages = self.held.len(),
                untried = self.untried.waiting(),
                notices = lost.len(),
                "resumed from the journal"
            );
        }
        let mut records = Vec::new();
        let mut effects = Effects::default();
        for (id, taken, ending, decide) in lost {
            if decide {
                records.push(Record::EndingDecided(id, ending));
            }
            effects.notices.push(self.notice(&taken, ending));
        }
        // Should it fail, the next process finds the message with its time up, and comes to the same end.
        self.write_owed(&records);
        self.once_kept(effects);
        self.round(Vec::new(), events);
    }
}

//! Startup: recovers the messages that an earlier process run of this sender left in the journal.
use super::*;

impl<S: Storage, H: Host> Core<S, H> {
    /// Recovers all messages from the journal. `initial_list` may be outdated, so an update is awaited for up
    /// to `startup_wait`.
    pub async fn recover(&mut self, initial_list: EndpointList, startup_wait: Duration) {
        let mut events = vec![self.apply_list(initial_list, true)];
        let first_input = match startup_wait {
            Duration::ZERO => None,
            wait => timeout(wait, self.inbox.recv()).await.ok().flatten(),
        };
        if let Some(Input::EndpointList(list)) = first_input {
            let is_full = list.reset;
            events.push(self.apply_list(list, is_full));
        }
        let (now, wall_ms) = (self.to_ns(Instant::now()), self.host.wall_ms());
        events.extend(self.recovered_outages(now, wall_ms));
        let (mut finished, mut recovered) = (Vec::new(), Vec::new());
        for (&id, live) in self.journal.live() {
            let accepted = live.message.clone();
            if let Some(ending) = live.ending {
                finished.push((id, accepted, ending, false));
                continue;
            }
            let mut past: Vec<PastAttempt> = live
                .attempts
                .iter()
                .map(|a| PastAttempt {
                    endpoint: self.endpoint_ids.get(&a.endpoint).copied(),
                    sent: now - (wall_ms - a.started_at_ms).max(0).saturating_mul(MS).min(CLOCK_ORIGIN),
                    may_have_run: !a.never_ran,
                })
                .collect();
            // Attempts whose record could not be written, and which were not made for that reason, leave gaps
            // in the numbering. The policy continues from the number of attempts, and no number may be used
            // twice, so the gaps are filled up.
            let gap = PastAttempt { endpoint: None, sent: now, may_have_run: false };
            past.resize(past.len().max(live.next_attempt_number() as usize), gap);
            let Some(class) = position(&self.context.classes, &accepted.class) else {
                // The settings no longer contain the message's class, so the policy cannot decide on it.
                let may_have_run = past.iter().any(|p| p.may_have_run);
                let ending = if may_have_run { Ending::GivenUp } else { Ending::HandedBack(None) };
                finished.push((id, accepted, ending, true));
                continue;
            };
            let time_left = (accepted.deadline_ms - wall_ms).saturating_mul(MS);
            recovered.push((accepted, class, time_left, past));
        }
        for (accepted, class, time_left, past) in recovered {
            if past.is_empty() {
                self.unattempted.add(accepted.id, time_left <= 0);
            }
            let open = OpenMessage { message: accepted, deadline: now + time_left, attempts: past.clone() };
            let message = self.register_message(open, class, time_left);
            events.push(Event::Recovered { message, past });
        }
        if !self.journal.live().is_empty() {
            tracing::info!(
                messages = self.open_messages.len(),
                untried = self.unattempted.pending(),
                notices = finished.len(),
                "resumed from the journal"
            );
        }
        let mut records = Vec::new();
        let mut effects = Effects::default();
        for (id, accepted, ending, needs_record) in finished {
            if needs_record {
                records.push(Record::EndingDecided(id, ending));
            }
            let notice = self.make_notice(&accepted, ending);
            effects.notices.push(DueNotice { notice, deadline: now, unrecorded_ending: ending });
        }
        // If this write fails, the next process run finds the message expired and finishes it in the same
        // way.
        self.append_reserved(&records);
        self.run_once_durable(effects);
        self.run_iteration(Vec::new(), events);
    }
}

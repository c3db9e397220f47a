//! What the core keeps of messages whose last answer is provisional, and what it does once the verdict on that
//! answer is known.
//!
//! The journal records a provisional answer like any other, so that a restart repeats no more calls than were in
//! flight. An answer that is not confirmed is recorded as a further attempt that may have run, of the same message
//! or, if that was finished, of a copy of it.
use super::*;

/// An ending that relies on a provisional answer is decided at once if less time than this is left, because its
/// notice is due soon after the deadline.
const MIN_TIME_FOR_VERDICT: Ns = 3 * SECOND;

/// Messages that are no longer open, while the answer that has ended them is provisional.
#[derive(Default)]
pub(super) struct ProvisionalMessages {
    /// Finished by the answer.
    pub(super) finished: BTreeMap<u64, OpenMessage>,
    /// Returned by the policy because the answer says that no attempt has run. Their endings are held back.
    returned: BTreeMap<u64, (OpenMessage, Ending)>,
    /// Verdicts on open messages that wait for the end of an attempt that has not been written.
    unsettled: BTreeMap<u64, Verdict>,
}

impl ProvisionalMessages {
    /// Whether endings are held back.
    pub(super) fn has_endings(&self) -> bool {
        !self.returned.is_empty()
    }

    /// Whether the ending of the message that its client named so is held back.
    pub(super) fn is_ending_held(&self, trace: &str) -> bool {
        self.returned.values().any(|(open, _)| open.message.trace == trace)
    }
}

/// A copy of a message under another id. The copy takes over the reserved memory if nothing else refers to the
/// message.
fn with_id(message: Rc<AcceptedMessage>, id: u64) -> AcceptedMessage {
    Rc::try_unwrap(message).map_or_else(
        |shared| AcceptedMessage {
            id,
            class: shared.class.clone(),
            tenant: shared.tenant.clone(),
            dest: shared.dest,
            trace: shared.trace.clone(),
            key: shared.key.clone(),
            accepted_at_ms: shared.accepted_at_ms,
            deadline_ms: shared.deadline_ms,
            body: shared.body.clone(),
            memory_share: None,
        },
        |message| AcceptedMessage { id, ..message },
    )
}

impl<S: Storage, H: Host> Core<S, H> {
    /// Acts on the verdicts on provisional answers. Endings that waited for them are added to `endings`.
    pub(super) fn apply_verdicts(
        &mut self,
        resolved: &[ResolvedAnswer],
        iteration: &mut Iteration,
        records: &mut Vec<Record>,
        endings: &mut Vec<(u64, Ending)>,
    ) {
        for &ResolvedAnswer { attempt, verdict } in resolved {
            match verdict {
                Verdict::Confirmed => self.confirm(attempt.message, endings),
                Verdict::Retracted | Verdict::InDoubt => {
                    self.withdraw_answer(attempt, verdict, iteration, records, endings);
                }
            }
        }
    }

    fn confirm(&mut self, id: u64, endings: &mut Vec<(u64, Ending)>) {
        self.provisional.finished.remove(&id);
        endings.extend(self.provisional.returned.get(&id).map(|(_, ending)| (id, *ending)));
    }

    /// Takes back an answer that may have been the answer to another request. A message that it has finished or
    /// that may have ended gets a notice, unless the verdict allows another attempt.
    fn withdraw_answer(
        &mut self,
        AttemptId { message: id, attempt }: AttemptId,
        verdict: Verdict,
        iteration: &mut Iteration,
        records: &mut Vec<Record>,
        endings: &mut Vec<(u64, Ending)>,
    ) {
        if let Some(finished) = self.provisional.finished.remove(&id) {
            self.executor.pool.ledger.settle(id);
            let trace = &finished.message.trace;
            tracing::info!(
                id,
                trace,
                attempt,
                ?verdict,
                "the answer that finished a message is not confirmed"
            );
            let Some((id, message)) = self.register_copy(finished, attempt, iteration, records) else {
                return;
            };
            match verdict {
                Verdict::InDoubt => endings.push((id, self.ending_in_doubt(id))),
                _ => self.recover_in_policy(id, message, iteration),
            }
        } else if self.provisional.returned.contains_key(&id) {
            self.executor.pool.ledger.settle(id);
            endings.push((id, Ending::GivenUp));
        } else if let Some(open) = self.open_messages.get_mut(&id) {
            let trace = &open.message.trace;
            tracing::info!(id, trace, attempt, ?verdict, "the answer to an attempt is not confirmed");
            // Its record says that it never ran, so the attempt is recorded once more.
            let unconfirmed = PastAttempt { may_have_run: true, ..open.attempts[attempt as usize] };
            open.attempts.push(unconfirmed);
            let number = open.attempts.len() as u32 - 1;
            records.push(self.attempt_record(id, number, unconfirmed, iteration.started_at));
            self.provisional.unsettled.insert(id, verdict);
            self.settle_unconfirmed(id, iteration, endings);
        } else {
            // It has ended by its deadline.
            self.executor.pool.ledger.settle(id);
        }
    }

    /// Opens a finished message again, under a new id: the journal never uses one twice. Returns the id and the
    /// policy's description of the message; None if its client has submitted it again or its class is unknown.
    fn register_copy(
        &mut self,
        finished: OpenMessage,
        attempt: u32,
        iteration: &mut Iteration,
        records: &mut Vec<Record>,
    ) -> Option<(u64, Message)> {
        let class = position(&self.context.classes, &finished.message.class)?;
        if self.ids_by_trace.contains_key(&finished.message.trace) {
            return None;
        }
        let id = self.next_id;
        self.next_id += 1;
        let OpenMessage { message, deadline, mut attempts } = finished;
        let message = Rc::new(with_id(message, id));
        attempts[attempt as usize].may_have_run = true;
        if self.journal.reserve(&message, &mut iteration.reservation, self.host.wall_ms()) {
            records.push(Record::Accepted(message.clone()));
            for (number, &past) in attempts.iter().enumerate() {
                records.push(self.attempt_record(id, number as u32, past, iteration.started_at));
            }
        }
        let time_left = deadline - self.to_ns(iteration.started_at);
        Some((id, self.register_message(OpenMessage { message, deadline, attempts }, class, time_left)))
    }

    /// Lets the policy decide on a message as if an earlier process had made its attempts.
    fn recover_in_policy(&self, id: u64, message: Message, iteration: &mut Iteration) {
        let past = self.open_messages.get(&id).map_or_else(Vec::new, |open| open.attempts.clone());
        iteration.events.push(Event::Recovered { message, past });
    }

    fn attempt_record(&self, id: u64, number: u32, past: PastAttempt, now: Instant) -> Record {
        let age_ms = (self.to_ns(now) - past.sent) / MS;
        let endpoint = past.endpoint.and_then(|endpoint| self.endpoints.get(&endpoint));
        Record::AttemptStarted(
            id,
            AttemptRecord {
                number,
                started_at_ms: self.host.wall_ms() - age_ms,
                endpoint: endpoint.map_or_else(String::new, |endpoint| endpoint.name.clone()),
                never_ran: !past.may_have_run,
            },
        )
    }

    /// Decides on an open message whose last answer was not confirmed, unless an attempt that has not been
    /// written yet is still to be reported: the policy decides anew, or the message ends. Does nothing before
    /// the verdict has been recorded, even if the attempt that waited for it has been reported already.
    pub(super) fn settle_unconfirmed(
        &mut self,
        id: u64,
        iteration: &mut Iteration,
        endings: &mut Vec<(u64, Ending)>,
    ) {
        let is_in_flight = self.attempts_in_flight.keys().any(|(message, _)| *message == id);
        if is_in_flight {
            return;
        }
        let Some(verdict) = self.provisional.unsettled.remove(&id) else { return };
        self.executor.pool.ledger.settle(id);
        if !self.open_messages.contains_key(&id) {
            return;
        }
        iteration.events.push(Event::Withdrawn { id });
        if verdict == Verdict::InDoubt {
            return endings.push((id, self.ending_in_doubt(id)));
        }
        let Some(open) = self.open_messages.remove(&id) else { return };
        let Some(class) = position(&self.context.classes, &open.message.class) else { return };
        let time_left = open.deadline - self.to_ns(iteration.started_at);
        let message = self.register_message(open, class, time_left);
        self.recover_in_policy(id, message, iteration);
    }

    /// Whether a message may be returned only if no attempt of it can have run.
    pub(super) fn needs_proof_to_return(&self, open: &OpenMessage) -> bool {
        let class = position(&self.context.classes, &open.message.class);
        class.is_none_or(|class| self.settings.classes[class].needs_proof_to_return())
    }

    /// How an open message ends that may have run, or may be over, and must not be sent again.
    fn ending_in_doubt(&self, id: u64) -> Ending {
        match self.open_messages.get(&id).is_none_or(|open| self.needs_proof_to_return(open)) {
            true => Ending::GivenUp,
            false => Ending::HandedBack(None),
        }
    }

    /// Holds back an ending that is right only if the message's provisional answer is. Returns whether it is
    /// held back.
    pub(super) fn hold_ending(&mut self, id: u64, ending: Ending, now: Ns) -> bool {
        let relies_on_answer =
            matches!(ending, Ending::HandedBack(_)) && self.executor.pool.ledger.is_provisional(id);
        let needs_verdict = |open: &&OpenMessage| relies_on_answer && self.needs_proof_to_return(open);
        let Some(open) = self.open_messages.get(&id).filter(needs_verdict) else { return false };
        if open.deadline < now + MIN_TIME_FOR_VERDICT {
            return false;
        }
        let open = self.remove_message(id);
        self.provisional.returned.extend(open.map(|open| (id, (open, ending))));
        true
    }

    /// Removes a message that has ended, also one whose ending was held back.
    pub(super) fn remove_ended(&mut self, id: u64) -> Option<OpenMessage> {
        match self.provisional.returned.remove(&id) {
            Some((open, _)) => Some(open),
            None => self.remove_message(id),
        }
    }
}

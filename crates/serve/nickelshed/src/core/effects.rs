//! The effects of an iteration, carried out once its journal records are durable. Where records need no sync,
//! that is as soon as they are written.
use super::*;

/// Retry-after for a client whose message cannot be accepted because the disk is full.
pub(super) const DISK_FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call to be made: the endpoint, its messages, and the token that cancels it.
type Call = (EndpointId, Vec<CallEntry>, Rc<CancelToken>);

/// What an iteration has decided, to be carried out once its records are durable.
#[derive(Default)]
pub(super) struct Effects {
    pub(super) accepted: BTreeMap<u64, Submission>,
    pub(super) notices: Vec<DueNotice>,
    pub(super) calls: Vec<Call>,
}

impl<S: Storage, H: Host> Core<S, H> {
    /// Handles a failed write of the iteration's records. No submission is accepted. Attempts of open
    /// messages go ahead if the journal's reserved space can hold their records. If not, no attempt is
    /// started, since an unrecorded attempt could be repeated after a restart, and only the records of ended
    /// attempts and messages are written, as soon as the disk takes them.
    pub(super) fn handle_write_failure(
        &mut self,
        submissions: BTreeMap<u64, Submission>,
        mut records: Vec<Record>,
        attempt_records: Vec<Record>,
        effects: &mut Effects,
    ) {
        let end_record_count = records.len();
        let is_new = |id: &u64| submissions.contains_key(id);
        records.extend(
            attempt_records.into_iter().filter(|r| !matches!(r, Record::AttemptStarted(id, _) if is_new(id))),
        );
        let has_earlier = self.unwritten.first_record().is_some();
        let written = !has_earlier && self.append_reserved(&records);
        if !written {
            records.truncate(end_record_count);
            if has_earlier || !self.append_reserved(&records) {
                self.unwritten.keep(records, std::mem::take(&mut effects.notices));
            }
        }
        self.retain_calls(&mut effects.calls, |entry| written && !is_new(&entry.message.id));
        for (id, submission) in submissions {
            self.remove_message(id);
            self.next_events.push(Event::Withdrawn { id });
            submission.answer(Reply::Rejected(Some(DISK_FULL_RETRY_AFTER)));
        }
    }

    /// Writes the records that an earlier iteration could not write, each by itself, so that they need no more
    /// space at once than before. Returns whether none is left.
    pub(super) fn write_unwritten(&mut self) -> bool {
        while let Some(record) = self.unwritten.first_record().cloned() {
            if !self.append_reserved(&[record]) {
                return false;
            }
            self.unwritten.remove_first_record();
        }
        true
    }

    /// Keeps only those messages of the policy's calls for which `may_send` is true; reports the others to
    /// the policy as not sent.
    fn retain_calls(&mut self, calls: &mut Vec<Call>, may_send: impl Fn(&CallEntry) -> bool) {
        let now = Instant::now();
        calls.retain_mut(|(endpoint, entries, _)| {
            for entry in entries.extract_if(.., |entry| !may_send(entry)) {
                self.attempts_in_flight.remove(&(entry.message.id, entry.attempt));
                let end = calls::attempt_end(&entry, *endpoint, Outcome::NotSent, now);
                self.next_events.push(Event::AttemptEnd(end));
            }
            !entries.is_empty()
        });
    }

    /// Carries out the effects of an iteration now, or once the journal has made its records durable.
    pub(super) fn run_once_durable(&mut self, effects: Effects) {
        let commit_seq = self.journal.last_commit();
        self.uncommitted.push_back((commit_seq, effects));
        self.run_durable_effects();
    }

    pub(super) fn run_durable_effects(&mut self) {
        let durable = self.journal.durable_commit();
        while let Some((_, effects)) = self.uncommitted.pop_front_if(|(commit_seq, _)| *commit_seq <= durable)
        {
            self.run_effects(effects);
        }
    }

    fn run_effects(&mut self, mut effects: Effects) {
        let mut unanswered = HashSet::new();
        for (id, submission) in effects.accepted {
            if !submission.answer(Reply::Accepted) {
                // The client disconnected without its reply and may submit the message elsewhere; a call
                // decided in this iteration would then run it twice.
                unanswered.insert(id);
                self.next_events.push(Event::Withdrawn { id });
                self.remove_message(id);
                if !self.append_reserved(&[Record::Finished(id)]) {
                    self.unwritten.keep(vec![Record::Finished(id)], Vec::new());
                }
            }
        }
        for due in effects.notices {
            let _ = self.notices.send(due.notice);
        }
        self.retain_calls(&mut effects.calls, |entry| !unanswered.contains(&entry.message.id));
        for (endpoint, entries, cancel) in effects.calls {
            tokio::task::spawn_local(self.executor.clone().call(endpoint, entries, cancel));
        }
    }

    /// Hands the next sync to the sync thread, if records need to be synced.
    pub(super) fn start_sync(&mut self) {
        let Some(sync_jobs) = &self.sync_jobs else { return };
        if let Some(sync) = self.journal.start_sync() {
            // The send fails only if the sync thread has ended, and it ends only with this thread.
            let _ = sync_jobs.send(sync);
        }
    }

    pub(super) fn append(&mut self, records: &[Record]) -> bool {
        let result = self.journal.append(records, self.host.wall_ms());
        self.check_write(result)
    }

    /// Writes records for open messages; may use the journal's reserved space when new messages no longer
    /// fit.
    pub(super) fn append_reserved(&mut self, records: &[Record]) -> bool {
        let result = self.journal.append_reserved(records, self.host.wall_ms());
        self.check_write(result)
    }

    /// Tracks whether writes fail, logs when that changes, and returns whether this one succeeded.
    fn check_write(&mut self, result: std::io::Result<CommitSeq>) -> bool {
        match &result {
            Err(error) if !self.is_write_failing => {
                tracing::error!(%error, "cannot write the journal; nothing new is taken on")
            }
            Ok(_) if self.is_write_failing && !self.journal.is_ballast_missing() => {
                tracing::info!("the journal is written again")
            }
            _ => {}
        }
        self.is_write_failing =
            result.is_err() || (self.is_write_failing && self.journal.is_ballast_missing());
        result.is_ok()
    }
}

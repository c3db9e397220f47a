//! The effects of an iteration: written to the journal, then carried out immediately or once the records are
//! durable.
use super::*;

/// Retry-after for a client whose message cannot be accepted because the disk is full.
pub(super) const FULL: Duration = Duration::from_secs(1);

/// A call to be made: the endpoint, its messages, and the token that cancels it.
type Call = (EndpointId, Vec<Member>, Rc<Cancel>);

/// What an iteration has decided, to be carried out once its records are durable.
#[derive(Default)]
pub(super) struct Effects {
    pub(super) taken_on: BTreeMap<u64, Offered>,
    pub(super) notices: Vec<Notice>,
    pub(super) calls: Vec<Call>,
}

impl<S: Storage, H: Host> Core<S, H> {
    /// Handles a failed write of the iteration's records. No submission is accepted. Attempts of open
    /// messages go ahead if the journal's reserved space can hold their records. If not, no attempt is
    /// started, since an unrecorded attempt could be repeated after a restart, and only the finished messages
    /// are recorded.
    pub(super) fn go_on_without(
        &mut self,
        offered: BTreeMap<u64, Offered>,
        mut records: Vec<Record>,
        begun: Vec<Record>,
        effects: &mut Effects,
    ) {
        let settled = records.len();
        let is_new = |id: &u64| offered.contains_key(id);
        records.extend(begun.into_iter().filter(|r| !matches!(r, Record::Begun(id, _) if is_new(id))));
        let kept = self.write_owed(&records);
        if !kept {
            records.truncate(settled);
            self.write_owed(&records);
        }
        self.leave_out(&mut effects.calls, |m| kept && !is_new(&m.taken.id));
        for (id, o) in offered {
            self.forget(id);
            self.next.push(Event::Expired { id });
            o.answer(Reply::Refused(Some(FULL)));
        }
    }

    /// Keeps only those messages of the policy's calls for which `may_send` is true; reports the others to
    /// the policy as not sent.
    fn leave_out(&mut self, calls: &mut Vec<Call>, goes: impl Fn(&Member) -> bool) {
        let now = Instant::now();
        calls.retain_mut(|(endpoint, members, _)| {
            for m in members.extract_if(.., |m| !goes(m)) {
                self.calls.remove(&(m.taken.id, m.attempt));
                let end = calls::end(&m, *endpoint, Outcome::NotSent, now);
                self.next.push(Event::AttemptEnd(end));
            }
            !members.is_empty()
        });
    }

    /// Carries out the effects of an iteration now, or once the journal has made its records durable.
    pub(super) fn once_kept(&mut self, effects: Effects) {
        let mark = self.journal.last();
        self.waiting.push_back((mark, effects));
        self.carry_out_kept();
    }

    pub(super) fn carry_out_kept(&mut self) {
        let kept = self.journal.kept();
        while let Some((_, effects)) = self.waiting.pop_front_if(|(mark, _)| *mark <= kept) {
            self.carry_out(effects);
        }
    }

    fn carry_out(&mut self, mut effects: Effects) {
        let mut unheard = HashSet::new();
        for (id, o) in effects.taken_on {
            if !o.answer(Reply::TakenOn) {
                // The client disconnected without its reply and may submit the message elsewhere; a call
                // decided in this iteration would then run it twice.
                unheard.insert(id);
                self.next.push(Event::Expired { id });
                self.forget(id);
                self.write_owed(&[Record::Ended(id)]);
            }
        }
        for notice in effects.notices {
            let _ = self.notices.send(notice);
        }
        self.leave_out(&mut effects.calls, |m| !unheard.contains(&m.taken.id));
        for (endpoint, members, cancel) in effects.calls {
            tokio::task::spawn_local(self.client.clone().call(endpoint, members, cancel));
        }
    }

    /// Hands the next sync to the sync thread, if records need to be synced.
    pub(super) fn sync(&mut self) {
        let Some(syncs) = &self.syncs else { return };
        if let Some(sync) = self.journal.sync() {
            // The sync thread ends only with this one.
            let _ = syncs.send(sync);
        }
    }

    pub(super) fn write(&mut self, records: &[Record]) -> bool {
        let result = self.journal.append(records, self.host.wall_ms());
        self.wrote(result)
    }

    /// Writes records for open messages; may use the journal's reserved space when new messages no longer
    /// fit.
    pub(super) fn write_owed(&mut self, records: &[Record]) -> bool {
        let result = self.journal.append_owed(records, self.host.wall_ms());
        self.wrote(result)
    }

    fn wrote(&mut self, result: std::io::Result<Mark>) -> bool {
        match &result {
            Err(error) if !self.write_failed => {
                tracing::error!(%error, "cannot write the journal; nothing new is taken on")
            }
            Ok(_) if self.write_failed && !self.journal.is_short() => {
                tracing::info!("the journal is written again")
            }
            _ => {}
        }
        self.write_failed = result.is_err() || (self.write_failed && self.journal.is_short());
        result.is_ok()
    }
}

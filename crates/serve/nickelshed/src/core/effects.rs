//! What a round has decided, written down and then done: at once, or when the journal has it for good.
use super::*;

/// When a client is to come again that could not be taken on for want of disk.
pub(super) const FULL: Duration = Duration::from_secs(1);

/// A call that is to be made.
type Call = (EndpointId, Vec<Member>, Rc<Cancel>);

/// What a round has decided and may do once its records are kept.
#[derive(Default)]
pub(super) struct Effects {
    pub(super) taken_on: BTreeMap<u64, Offered>,
    pub(super) notices: Vec<Notice>,
    pub(super) calls: Vec<Call>,
}

impl<S: Storage, H: Host> Core<S, H> {
    /// The round could not be written down: nothing is taken on. What is held goes on if the journal has room held
    /// back for it; else nothing new is begun, since without its record it could run twice, and what ended is tried
    /// by itself.
    pub(super) fn go_on_without(
        &mut self,
        offered: BTreeMap<u64, Offered>,
        mut records: Vec<Record>,
        begun: Vec<Record>,
        effects: &mut Effects,
    ) {
        let settled = records.len();
        let is_new = |id: &u64| offered.contains_key(id);
        records
            .extend(begun.into_iter().filter(|r| !matches!(r, Record::AttemptStarted(id, _) if is_new(id))));
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

    /// Of calls that the module has decided on, makes only those parts that may go; the others were not sent.
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

    /// Does what a round has decided, now or when the journal has it for good.
    pub(super) fn once_kept(&mut self, effects: Effects) {
        let mark = self.journal.last_commit();
        self.waiting.push_back((mark, effects));
        self.carry_out_kept();
    }

    pub(super) fn carry_out_kept(&mut self) {
        let kept = self.journal.durable_commit();
        while let Some((_, effects)) = self.waiting.pop_front_if(|(mark, _)| *mark <= kept) {
            self.carry_out(effects);
        }
    }

    fn carry_out(&mut self, mut effects: Effects) {
        let mut unheard = HashSet::new();
        for (id, o) in effects.taken_on {
            if !o.answer(Reply::TakenOn) {
                // The client has left without its answer: it may hand the message in again elsewhere, and a call that
                // this round decided on would run it twice.
                unheard.insert(id);
                self.next.push(Event::Expired { id });
                self.forget(id);
                self.write_owed(&[Record::Finished(id)]);
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

    /// Has the next sync run, where rounds wait for one.
    pub(super) fn sync(&mut self) {
        let Some(syncs) = &self.syncs else { return };
        if let Some(sync) = self.journal.start_sync() {
            // Its thread ends with this one.
            let _ = syncs.send(sync);
        }
    }

    pub(super) fn write(&mut self, records: &[Record]) -> bool {
        let result = self.journal.append(records, self.host.wall_ms());
        self.wrote(result)
    }

    /// For messages that are held, also where nothing new has room.
    pub(super) fn write_owed(&mut self, records: &[Record]) -> bool {
        let result = self.journal.append_reserved(records, self.host.wall_ms());
        self.wrote(result)
    }

    fn wrote(&mut self, result: std::io::Result<Mark>) -> bool {
        match &result {
            Err(error) if !self.write_failed => {
                tracing::error!(%error, "cannot write the journal; nothing new is taken on")
            }
            Ok(_) if self.write_failed && !self.journal.is_ballast_missing() => {
                tracing::info!("the journal is written again")
            }
            _ => {}
        }
        self.write_failed = result.is_err() || (self.write_failed && self.journal.is_ballast_missing());
        result.is_ok()
    }
}

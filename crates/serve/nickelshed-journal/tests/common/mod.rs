//! A random workload of commits like those of a sender, and a simple model of the expected state after each
//! commit.
#![allow(dead_code)]
use bytes::Bytes;
use nickelshed_budget::Budget;
use nickelshed_journal::*;
use nickelshed_testkit::Disk;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

pub const DISK_LIMIT_BYTES: u64 = 160 << 10;

pub fn options(durability: Durability) -> Options {
    Options { disk_limit_bytes: DISK_LIMIT_BYTES, max_attempts: 8, durability }
}

pub fn try_open(disk: &Disk, options: Options) -> Result<(Journal<Disk>, RecoveryReport), OpenError> {
    Journal::open(disk.clone(), options, &Budget::new(64.0), 1_000)
}

pub fn open(disk: &Disk, options: Options) -> (Journal<Disk>, RecoveryReport) {
    try_open(disk, options).unwrap_or_else(|e| panic!("{e}; files: {:?}", disk.file_names()))
}

pub fn message(id: u64, body_bytes: usize) -> AcceptedMessage {
    AcceptedMessage {
        id,
        class: "alert".into(),
        tenant: "acme".into(),
        dest: id % 5,
        trace: format!("trace-{id}"),
        key: Some(format!("key-{id}")),
        accepted_at_ms: 1_000,
        deadline_ms: 10_000 + (id % 1_000) as i64,
        body: Bytes::from(vec![id as u8; body_bytes]),
        memory_share: None,
    }
}

pub fn attempt_record(number: u32) -> AttemptRecord {
    AttemptRecord {
        number,
        started_at_ms: 5_000 + i64::from(number),
        endpoint: format!("endpoint-{number}"),
        never_ran: false,
    }
}

/// Expected state of a live message. `attempts` maps the attempt number to whether it is known not to have
/// run.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpectedMessage {
    pub body_bytes: usize,
    pub attempts: BTreeMap<u32, bool>,
    pub ending: Option<Ending>,
}

pub type Model = BTreeMap<u64, ExpectedMessage>;

pub fn apply_record(model: &mut Model, record: &Record) {
    match record {
        Record::Accepted(message) => {
            model.insert(
                message.id,
                ExpectedMessage { body_bytes: message.body.len(), attempts: BTreeMap::new(), ending: None },
            );
        }
        Record::AttemptStarted(id, attempt) => {
            _ = model.get_mut(id).unwrap().attempts.insert(attempt.number, false)
        }
        Record::AttemptNeverRan(id, number) => _ = model.get_mut(id).unwrap().attempts.insert(*number, true),
        Record::EndingDecided(id, ending) => model.get_mut(id).unwrap().ending = Some(*ending),
        Record::Finished(id) => _ = model.remove(id),
    }
}

/// Returns the live messages of the journal as a model. Assumed attempts have the number `u32::MAX`.
pub fn read_model(journal: &Journal<Disk>) -> Model {
    let expected = |live: &LiveMessage| {
        assert_eq!(live.message.trace, format!("trace-{}", live.message.id));
        assert!(live.message.body.iter().all(|byte| *byte == live.message.id as u8));
        let attempts = live.attempts.iter().map(|attempt| (attempt.number, attempt.never_ran)).collect();
        ExpectedMessage { body_bytes: live.message.body.len(), attempts, ending: live.ending }
    };
    journal.live().iter().map(|(id, live)| (*id, expected(live))).collect()
}

/// A workload on a journal, with the expected state after each commit.
pub struct Workload {
    pub journal: Journal<Disk>,
    pub random: fastrand::Rng,
    /// The expected state after the last successful commit.
    pub model: Model,
    /// The model after each commit, including those that are not durable yet.
    pub model_after_commit: BTreeMap<CommitSeq, Model>,
    pub next_id: u64,
    /// The records of the last commit, also if it failed.
    pub last_records: Vec<Record>,
    /// Number of messages for which no space was reserved.
    pub rejected: usize,
    /// Unix time in milliseconds.
    pub clock_ms: i64,
    /// Percentage of messages that stay live for long.
    pub long_lived_percent: u8,
    pub max_body_bytes: usize,
}

impl Workload {
    pub fn new(journal: Journal<Disk>, seed: u64) -> Workload {
        let (model, next_id) = (read_model(&journal), journal.next_id());
        let model_after_commit = BTreeMap::from([(0, model.clone())]);
        let random = fastrand::Rng::with_seed(seed);
        Workload {
            journal,
            random,
            model,
            model_after_commit,
            next_id,
            last_records: Vec::new(),
            rejected: 0,
            clock_ms: 2_000,
            long_lived_percent: 30,
            max_body_bytes: 900,
        }
    }

    /// Returns the records of one commit: updates of live messages, and up to two new messages.
    pub fn next_records(&mut self) -> Vec<Record> {
        let mut records = Vec::new();
        let ids: Vec<u64> = self.model.keys().copied().collect();
        for id in ids {
            let (expected, random) = (&self.model[&id], &mut self.random);
            let is_long_lived = id % 100 < u64::from(self.long_lived_percent);
            let last_attempt =
                expected.attempts.last_key_value().map(|(number, never_ran)| (*number, *never_ran));
            let attempt_count = expected.attempts.len() as u32;
            match random.u8(..if is_long_lived { 60 } else { 12 }) {
                0 | 1 if expected.ending.is_some() => records.push(Record::Finished(id)),
                0 if last_attempt.is_some() => records.push(Record::Finished(id)),
                1 if last_attempt.is_some_and(|(number, never_ran)| number != u32::MAX && !never_ran) => {
                    records.push(Record::AttemptNeverRan(id, last_attempt.unwrap().0))
                }
                2 if expected.ending.is_none() && attempt_count < 8 => {
                    records.push(Record::AttemptStarted(id, attempt_record(attempt_count)))
                }
                3 if expected.ending.is_none() && attempt_count > 2 => {
                    records.push(Record::EndingDecided(id, Ending::HandedBack(Some(5))))
                }
                _ => {}
            }
        }
        for _ in 0..self.random.usize(..3) {
            let body_bytes = self.random.usize(..self.max_body_bytes);
            let message = message(self.next_id, body_bytes);
            self.next_id += 1;
            records.push(Record::Accepted(Rc::new(message)));
        }
        records
    }

    /// Runs one commit like a sender: messages without reserved space are left out.
    pub fn commit(&mut self) -> io::Result<()> {
        self.last_records.clear();
        self.clock_ms += 100;
        let clock_ms = self.clock_ms;
        let mut reservation = Reservation::default();
        let mut records = self.next_records();
        let journal = &mut self.journal;
        let submitted_count = records.len();
        records.retain(|record| {
            !matches!(
                record,
                Record::Accepted(message) if !journal.reserve(message, &mut reservation, clock_ms)
            )
        });
        self.rejected += submitted_count - records.len();
        self.last_records.clone_from(&records);
        let commit_seq = self.journal.append(&records, clock_ms)?;
        records.iter().for_each(|record| apply_record(&mut self.model, record));
        self.model_after_commit.insert(commit_seq, self.model.clone());
        Ok(())
    }

    /// Returns the model as if the last commit had been written.
    pub fn model_with_last_commit(&self) -> Model {
        let mut model = self.model.clone();
        self.last_records.iter().for_each(|record| apply_record(&mut model, record));
        model
    }

    /// Runs a sync if one is due. Returns whether it failed.
    pub fn sync(&mut self) -> bool {
        let Some(sync_task) = self.journal.start_sync() else { return false };
        let sync_result = sync_task.run();
        let failed = sync_result.error().is_some();
        self.journal.finish_sync(sync_result, self.clock_ms);
        failed
    }

    /// Returns the model after the last durable commit.
    pub fn durable_model(&self) -> &Model {
        self.model_after_commit.range(..=self.journal.durable_commit()).next_back().unwrap().1
    }
}

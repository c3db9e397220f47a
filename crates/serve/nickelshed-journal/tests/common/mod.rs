//! A workload of rounds as a sender makes them, and the plain model of what they promised.
#![allow(dead_code)]
use bytes::Bytes;
use nickelshed_budget::Budget;
use nickelshed_journal::*;
use nickelshed_testkit::Disk;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

pub const DISK: u64 = 160 << 10;

pub fn options(durability: Durability) -> Options {
    Options { disk: DISK, max_attempts: 8, durability }
}

pub fn try_open(disk: &Disk, options: Options) -> Result<(Journal<Disk>, Found), OpenError> {
    Journal::open(disk.clone(), options, &Budget::new(64.0), 1_000)
}

pub fn open(disk: &Disk, options: Options) -> (Journal<Disk>, Found) {
    try_open(disk, options).unwrap_or_else(|e| panic!("{e}; files: {:?}", disk.file_names()))
}

pub fn taken(id: u64, body: usize) -> Taken {
    Taken {
        id,
        class: "alert".into(),
        tenant: "acme".into(),
        dest: id % 5,
        trace: format!("trace-{id}"),
        key: Some(format!("key-{id}")),
        since: 1_000,
        end: 10_000 + (id % 1_000) as i64,
        body: Bytes::from(vec![id as u8; body]),
        share: None,
    }
}

pub fn begun(number: u32) -> Begun {
    Begun { number, at: 5_000 + i64::from(number), endpoint: format!("endpoint-{number}"), never_ran: false }
}

/// What is known of a message that has not ended: its attempts with whether they never ran, and its ending.
#[derive(Clone, Debug, PartialEq)]
pub struct Kept {
    pub body: usize,
    pub attempts: BTreeMap<u32, bool>,
    pub ending: Option<Ending>,
}

pub type Model = BTreeMap<u64, Kept>;

pub fn note(model: &mut Model, record: &Record) {
    match record {
        Record::Taken(t) => {
            model.insert(t.id, Kept { body: t.body.len(), attempts: BTreeMap::new(), ending: None });
        }
        Record::Begun(id, b) => _ = model.get_mut(id).unwrap().attempts.insert(b.number, false),
        Record::NeverRan(id, n) => _ = model.get_mut(id).unwrap().attempts.insert(*n, true),
        Record::Decided(id, ending) => model.get_mut(id).unwrap().ending = Some(*ending),
        Record::Ended(id) => _ = model.remove(id),
    }
}

/// What the journal says lives, in the model's terms; supposed attempts have the number `u32::MAX`.
pub fn says(journal: &Journal<Disk>) -> Model {
    let kept = |l: &Live| {
        assert_eq!(l.taken.trace, format!("trace-{}", l.taken.id));
        assert!(l.taken.body.iter().all(|b| *b == l.taken.id as u8));
        let attempts = l.attempts.iter().map(|a| (a.number, a.never_ran)).collect();
        Kept { body: l.taken.body.len(), attempts, ending: l.ending }
    };
    journal.live().iter().map(|(id, l)| (*id, kept(l))).collect()
}

/// A sender's rounds over a journal, with what was promised after each.
pub struct Work {
    pub journal: Journal<Disk>,
    pub random: fastrand::Rng,
    pub now: Model,
    /// The model after each round that is not kept yet, by the journal's round.
    pub after: BTreeMap<Round, Model>,
    pub next: u64,
    /// What the last round would have written, if it came so far.
    pub last: Vec<Record>,
    pub refused: usize,
    pub clock: i64,
    /// Part of the messages, in percent, that live long.
    pub lasting: u8,
    pub body: usize,
}

impl Work {
    pub fn new(journal: Journal<Disk>, seed: u64) -> Work {
        let (now, next) = (says(&journal), journal.next_id());
        let after = BTreeMap::from([(0, now.clone())]);
        let random = fastrand::Rng::with_seed(seed);
        Work {
            journal,
            random,
            now,
            after,
            next,
            last: Vec::new(),
            refused: 0,
            clock: 2_000,
            lasting: 30,
            body: 900,
        }
    }

    /// The records of one round: news of messages that are held, and perhaps a new one.
    pub fn records(&mut self) -> Vec<Record> {
        let mut records = Vec::new();
        let ids: Vec<u64> = self.now.keys().copied().collect();
        for id in ids {
            let (kept, random) = (&self.now[&id], &mut self.random);
            let lasting = id % 100 < u64::from(self.lasting);
            let last = kept.attempts.last_key_value().map(|(n, r)| (*n, *r));
            let attempts = kept.attempts.len() as u32;
            match random.u8(..if lasting { 60 } else { 12 }) {
                0 | 1 if kept.ending.is_some() => records.push(Record::Ended(id)),
                0 if last.is_some() => records.push(Record::Ended(id)),
                1 if last.is_some_and(|(n, never)| n != u32::MAX && !never) => {
                    records.push(Record::NeverRan(id, last.unwrap().0))
                }
                2 if kept.ending.is_none() && attempts < 8 => {
                    records.push(Record::Begun(id, begun(attempts)))
                }
                3 if kept.ending.is_none() && attempts > 2 => {
                    records.push(Record::Decided(id, Ending::HandedBack(Some(5))))
                }
                _ => {}
            }
        }
        for _ in 0..self.random.usize(..3) {
            let size = self.random.usize(..self.body);
            let taken = taken(self.next, size);
            self.next += 1;
            records.push(Record::Taken(Rc::new(taken)));
        }
        records
    }

    /// One round, as the sender makes it: only what has room is taken on.
    pub fn round(&mut self) -> io::Result<()> {
        self.last.clear();
        self.clock += 100;
        let clock = self.clock;
        let mut claim = Claim::default();
        let mut records = self.records();
        let journal = &mut self.journal;
        let before = records.len();
        records.retain(|r| !matches!(r, Record::Taken(t) if !journal.claim(t, &mut claim, clock)));
        self.refused += before - records.len();
        self.last.clone_from(&records);
        let round = self.journal.append(&records, clock)?;
        records.iter().for_each(|r| note(&mut self.now, r));
        self.after.insert(round, self.now.clone());
        Ok(())
    }

    /// The model, had the last round been written.
    pub fn with_last(&self) -> Model {
        let mut with = self.now.clone();
        self.last.iter().for_each(|r| note(&mut with, r));
        with
    }

    /// Runs a sync if one is due.
    pub fn sync(&mut self) -> bool {
        let Some(sync) = self.journal.sync() else { return false };
        let synced = sync.run();
        let failed = synced.error().is_some();
        self.journal.synced(synced, self.clock);
        failed
    }

    /// What had been promised last.
    pub fn promised(&self) -> &Model {
        self.after.range(..=self.journal.kept()).next_back().unwrap().1
    }
}

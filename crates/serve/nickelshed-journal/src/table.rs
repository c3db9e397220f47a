//! What lives, as the records say: applied one by one, at run time and when a folder is read. No I/O.
use crate::format::{bound, Entry};
use crate::record::{Begun, Live, Record, Taken, UNKNOWN};
use std::collections::BTreeMap;
use std::rc::Rc;

#[derive(Default, Clone, Debug)]
pub struct Table {
    live: BTreeMap<u64, Live>,
    /// Upper bound of what copying all of it would write, in bytes.
    bytes: u64,
    next_id: u64,
}

fn size(live: &Live) -> u64 {
    bound::taken(&live.taken) + live.attempts.iter().map(bound::attempt).sum::<u64>()
}

impl Table {
    pub fn live(&self) -> &BTreeMap<u64, Live> {
        &self.live
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// What copying one message would write, in bytes; 0 if it does not live.
    pub fn bytes_of(&self, id: u64) -> u64 {
        self.live.get(&id).map_or(0, size)
    }

    pub fn insert(&mut self, taken: Rc<Taken>, seq: u64) {
        self.put(Live { taken, attempts: Vec::new(), ending: None, base: seq });
    }

    /// A number that no record has.
    pub fn next_id(&self) -> u64 {
        self.next_id
    }

    fn put(&mut self, live: Live) {
        self.next_id = self.next_id.max(live.taken.id.saturating_add(1));
        self.bytes += size(&live);
        if let Some(old) = self.live.insert(live.taken.id, live) {
            self.bytes -= size(&old);
        }
    }

    pub fn apply(&mut self, record: &Record, seq: u64) {
        match record {
            Record::Taken(taken) => self.insert(taken.clone(), seq),
            Record::Begun(id, begun) => {
                if let Some(live) = self.live.get_mut(id) {
                    self.bytes += bound::attempt(begun);
                    live.attempts.push(begun.clone());
                }
            }
            Record::NeverRan(id, number) => {
                if let Some(live) = self.live.get_mut(id) {
                    live.attempts.iter_mut().filter(|a| a.number == *number).for_each(|a| a.never_ran = true);
                }
            }
            Record::Decided(id, ending) => {
                if let Some(live) = self.live.get_mut(id) {
                    live.ending = Some(*ending);
                }
            }
            Record::Ended(id) => {
                if let Some(live) = self.live.remove(id) {
                    self.bytes -= size(&live);
                }
            }
        }
    }

    /// As it was read from segment `seq`.
    pub fn read(&mut self, entry: Entry, seq: u64) {
        match entry {
            Entry::Plain(record) => self.apply(&record, seq),
            Entry::Whole(taken, attempts, ending) => self.put(Live { taken, attempts, ending, base: seq }),
            // What lived there then had been copied: what is still based there has ended in a segment that is gone.
            Entry::Floor(floor) => {
                let stale: Vec<u64> =
                    self.live.values().filter(|l| l.base < floor).map(|l| l.taken.id).collect();
                stale.into_iter().for_each(|id| self.apply(&Record::Ended(id), seq));
            }
        }
    }

    pub(crate) fn live_mut(&mut self) -> impl Iterator<Item = &mut Live> {
        self.live.values_mut()
    }

    /// Its whole record now stands in segment `seq`.
    pub fn moved(&mut self, id: u64, seq: u64) {
        if let Some(live) = self.live.get_mut(&id) {
            live.base = seq;
        }
    }

    pub(crate) fn into_live(self) -> Vec<Live> {
        self.live.into_values().collect()
    }

    /// Records were lost here, written at `since` or later: an attempt of any message that was taken on before may
    /// be among them. Each is supposed to have one that may have run, so that its class decides what is allowed.
    pub fn doubt(&mut self, since: i64) -> usize {
        let mut doubted = 0;
        for live in self.live.values_mut() {
            if live.attempts.iter().any(|a| a.number == UNKNOWN) {
                continue;
            }
            let supposed = Begun { number: UNKNOWN, at: since, endpoint: String::new(), never_ran: false };
            self.bytes += bound::attempt(&supposed);
            live.attempts.push(supposed);
            doubted += 1;
        }
        doubted
    }
}

//! What makes two views equal whatever was lost: marks of their parts are compared, and where they differ the records
//! are sent, in pieces of one datagram.
//!
//! Gossip alone may miss somebody, and says nothing to one who comes later. The mark of a whole view stands in each
//! probe; where two differ, one of them sends the marks of its sixteen parts, the other answers with the marks of a part's
//! parts, or, where few are left, with all that it holds there. Each exchange has a salt of its own, and one is begun
//! now and then without a cause, so that not even equal marks of unequal views last.
use crate::budget::Weight;
use crate::datagram::{Datagram, Kind, News, Part, Writer, CHILDREN, DEEPEST};
use crate::fleet::{age, news_of, Fleet, Output, MS, PERIOD, SECOND};
use crate::member::{Claim, Id, State};
use crate::Ns;
use std::net::SocketAddr;

/// How soon after one exchange the next is begun where views differ, and how often without a cause.
const AGAIN: Ns = 500 * MS;
const ANYWAY: Ns = 20 * SECOND;
/// Datagrams in answer to one.
const MOST_REPLIES: usize = 4;
/// A part with so few is listed rather than parted again; they fit into one datagram.
const FEW: usize = 6;

/// What a datagram makes its reader send back.
#[derive(Debug, Default)]
pub struct Answer {
    wants: Vec<Id>,
    /// With their facts or without.
    records: Vec<(Id, bool)>,
    marks: Vec<(Part, u32)>,
    listed: Vec<Part>,
}

impl Answer {
    pub fn want(&mut self, id: Id) {
        if !self.wants.contains(&id) {
            self.wants.push(id);
        }
    }

    pub fn correct(&mut self, id: Id, whole: bool) {
        self.records.push((id, whole));
    }
}

impl Fleet {
    /// Views differ: an exchange is due.
    pub(crate) fn sync_soon(&mut self) {
        let within = if self.claim.state == State::Joining { PERIOD / 2 } else { AGAIN };
        let at = self.now + self.random.below(within);
        self.sync_at = self.sync_at.min(at);
    }

    pub(crate) fn begin_sync(&mut self, out: &mut Vec<Output>) {
        let to = match self.differs.take() {
            Some((_, address)) => Some(address),
            None => {
                let id = self.some_present(1, Id::NOBODY).first().copied();
                id.and_then(|id| self.view.get(id)).map(|m| m.facts.address)
            }
        };
        self.sync_at = self.now + ANYWAY / 2 + self.random.below(ANYWAY);
        let salt = self.random.draw() as u32;
        let mut writer = self.writer(Kind::Sync);
        writer.marks(&self.view.marks(Part::default(), salt, Some(&self.claim)));
        self.send(to, writer, Weight::Spare, out);
    }

    /// Finds what the other side of an exchange lacks, and what this one does.
    pub(crate) fn compare(&mut self, d: &Datagram, answer: &mut Answer) {
        for &id in &d.want {
            answer.records.push((id, true));
        }
        for theirs in &d.marks {
            let own = self.view.marks(theirs.part, theirs.salt, Some(&self.claim));
            // Another part first each time, as not all may fit into the answer.
            let first = self.random.below(CHILDREN as Ns) as usize;
            for child in (0..CHILDREN).map(|c| (c + first) % CHILDREN) {
                if theirs.of[child] == own.of[child] {
                    continue;
                }
                let part = theirs.part.child(child);
                let here = self.told_in(part);
                if theirs.of[child] == 0 {
                    answer.records.extend(here.into_iter().map(|c| (c.id, true)));
                } else if here.len() <= FEW || part.depth >= DEEPEST {
                    answer.listed.push(part);
                } else {
                    answer.marks.push((part, theirs.salt));
                }
            }
        }
        for &part in &d.listed {
            let listed =
                |id: Id| d.news.iter().any(|n| n.claim.id == id) || d.whole.iter().any(|w| w.claim.id == id);
            let missing = self.told_in(part).into_iter().filter(|c| !listed(c.id));
            answer.records.extend(missing.map(|c| (c.id, true)));
        }
    }

    fn told_in(&self, part: Part) -> Vec<Claim> {
        let own = Some(self.claim).filter(|c| part.holds(c.id));
        self.view.in_part(part).map(|m| m.claim).chain(own).collect()
    }

    /// Sends an answer, in a bounded number of datagrams: what is left over comes up again in the next exchange.
    pub(crate) fn reply(&mut self, to: SocketAddr, answer: Answer, out: &mut Vec<Output>) {
        let mut pages = Pages { done: Vec::new(), at_hand: self.writer(Kind::Sync), used: false };
        let (own, now) = (self.claim, self.now);
        for id in answer.wants {
            pages.add(self, |w| w.want(id));
        }
        for (part, salt) in answer.marks {
            let marks = self.view.marks(part, salt, Some(&own));
            pages.add(self, |w| w.marks(&marks));
        }
        for part in answer.listed {
            let news: Vec<News> = self.view.in_part(part).map(news_of).collect();
            let own = News { claim: own, accusers: Vec::new() };
            // Together or not at all: a list that lacks somebody would be taken for a view that does.
            pages.add(self, |w| {
                let mut all = w.listed(part);
                if part.holds(own.claim.id) {
                    all &= w.news(&own);
                }
                news.iter().fold(all, |all, n| all & w.news(&News { claim: n.claim, accusers: Vec::new() }))
            });
        }
        let mut records = answer.records;
        if !records.is_empty() {
            let first = self.random.below(records.len() as Ns) as usize;
            records.rotate_left(first);
        }
        for (id, whole) in records {
            if id == own.id {
                let facts = self.facts.clone();
                pages.add(self, |w| w.whole(&own, &facts, 0));
            } else if let Some(member) = self.view.get(id).cloned() {
                pages.add(self, |w| {
                    if whole {
                        w.whole(&member.claim, &member.facts, age(&member, now))
                    } else {
                        w.news(&news_of(&member))
                    }
                });
            }
        }
        for writer in pages.end() {
            self.send(Some(to), writer, Weight::Spare, out);
        }
    }
}

/// Datagrams that are filled one after another.
struct Pages {
    done: Vec<Writer>,
    at_hand: Writer,
    used: bool,
}

impl Pages {
    /// Writes one piece, on a new page if this one has no room for it.
    fn add(&mut self, fleet: &Fleet, write: impl Fn(&mut Writer) -> bool) {
        if self.done.len() >= MOST_REPLIES {
            return;
        }
        let before = self.at_hand.len();
        if write(&mut self.at_hand) {
            self.used = true;
            return;
        }
        self.at_hand.cut(before);
        if !self.used {
            return;
        }
        self.done.push(std::mem::replace(&mut self.at_hand, fleet.writer(Kind::Sync)));
        self.used = false;
        if self.done.len() < MOST_REPLIES {
            let before = self.at_hand.len();
            self.used = write(&mut self.at_hand);
            if !self.used {
                self.at_hand.cut(before);
            }
        }
    }

    fn end(mut self) -> Vec<Writer> {
        if self.used && self.done.len() < MOST_REPLIES {
            self.done.push(self.at_hand);
        }
        self.done
    }
}

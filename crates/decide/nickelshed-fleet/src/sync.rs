//! Anti-entropy: makes two views equal, whatever datagrams were lost. Digests of id prefixes are compared,
//! and where they differ the records are sent, in pieces of one datagram.
//!
//! Gossip alone may miss a member, and one that joins later does not get it. Each ping and ack carries the
//! digest of the sender's whole view. Where two digests differ, one of the members sends the digests of the
//! sixteen children of the id space. The other answers with the digests of the children of a differing
//! prefix, or, where few members are left, with a list of all that it knows there. Each exchange has its own
//! salt, and some are started without a known difference, so that views which differ in spite of equal
//! digests become equal too.
use crate::budget::Priority;
use crate::datagram::{
    Datagram, DatagramKind, DatagramWriter, IdPrefix, StatusUpdate, CHILDREN_PER_PREFIX, MAX_PREFIX_DEPTH,
};
use crate::fleet::{seconds_in_state, update_for, Fleet, Output, MS, PROBE_INTERVAL, SECOND};
use crate::member::{MemberId, MemberStatus, State};
use crate::Ns;
use std::net::SocketAddr;

/// How soon after a difference was seen an exchange is started at the latest, and how often one is started
/// without a difference.
const MAX_SYNC_DELAY: Ns = 500 * MS;
const MEAN_SYNC_INTERVAL: Ns = 20 * SECOND;
/// Maximum number of datagrams in reply to one.
const MAX_REPLY_DATAGRAMS: usize = 4;
/// A prefix with at most this many members is listed instead of split; such a list fits into one datagram.
const MAX_LISTED_MEMBERS: usize = 6;

/// What to send back for one datagram.
#[derive(Debug, Default)]
pub struct SyncReply {
    requested: Vec<MemberId>,
    /// Members whose status to send, and whether with their metadata.
    records: Vec<(MemberId, bool)>,
    digested_prefixes: Vec<(IdPrefix, u32)>,
    listed_prefixes: Vec<IdPrefix>,
}

impl SyncReply {
    pub fn request_record(&mut self, id: MemberId) {
        if !self.requested.contains(&id) {
            self.requested.push(id);
        }
    }

    pub fn send_record(&mut self, id: MemberId, with_info: bool) {
        self.records.push((id, with_info));
    }
}

impl Fleet {
    /// Schedules an exchange soon, because views differ.
    pub(crate) fn schedule_sync(&mut self) {
        let max_delay = if self.status.state == State::Joining { PROBE_INTERVAL / 2 } else { MAX_SYNC_DELAY };
        let at = self.now + self.random.below(max_delay);
        self.sync_at = self.sync_at.min(at);
    }

    pub(crate) fn start_sync(&mut self, out: &mut Vec<Output>) {
        let to = match self.differing_peer.take() {
            Some((_, address)) => Some(address),
            None => {
                let id = self.random_live_members(1, MemberId::UNSPECIFIED).first().copied();
                id.and_then(|id| self.view.get(id)).map(|m| m.info.address)
            }
        };
        self.sync_at = self.now + MEAN_SYNC_INTERVAL / 2 + self.random.below(MEAN_SYNC_INTERVAL);
        let salt = self.random.next_u64() as u32;
        let mut writer = self.new_datagram(DatagramKind::Sync);
        writer.child_digests(&self.view.child_digests(IdPrefix::default(), salt, Some(&self.status)));
        self.send(to, writer, Priority::Background, out);
    }

    /// Collects into `reply` what the other member lacks, and what this one does.
    pub(crate) fn compare_digests(&mut self, datagram: &Datagram, reply: &mut SyncReply) {
        for &id in &datagram.wanted_records {
            reply.records.push((id, true));
        }
        for remote in &datagram.digests {
            let own = self.view.child_digests(remote.prefix, remote.salt, Some(&self.status));
            // Starts at another child each time, because not all may fit into the reply.
            let offset = self.random.below(CHILDREN_PER_PREFIX as Ns) as usize;
            for child in (0..CHILDREN_PER_PREFIX).map(|c| (c + offset) % CHILDREN_PER_PREFIX) {
                if remote.digests[child] == own.digests[child] {
                    continue;
                }
                let prefix = remote.prefix.child(child);
                let local = self.statuses_in(prefix);
                if remote.digests[child] == 0 {
                    reply.records.extend(local.into_iter().map(|status| (status.id, true)));
                } else if local.len() <= MAX_LISTED_MEMBERS || prefix.depth >= MAX_PREFIX_DEPTH {
                    reply.listed_prefixes.push(prefix);
                } else {
                    reply.digested_prefixes.push((prefix, remote.salt));
                }
            }
        }
        for &prefix in &datagram.listed_prefixes {
            let is_listed = |id: MemberId| {
                datagram.updates.iter().any(|update| update.status.id == id)
                    || datagram.records.iter().any(|record| record.status.id == id)
            };
            let missing = self.statuses_in(prefix).into_iter().filter(|status| !is_listed(status.id));
            reply.records.extend(missing.map(|status| (status.id, true)));
        }
    }

    fn statuses_in(&self, prefix: IdPrefix) -> Vec<MemberStatus> {
        let own = Some(self.status).filter(|status| prefix.contains(status.id));
        self.view.advertised_in(prefix).map(|m| m.status).chain(own).collect()
    }

    /// Sends a reply, in a bounded number of datagrams. Differences that do not fit are found again in the
    /// next exchange.
    pub(crate) fn send_reply(&mut self, to: SocketAddr, reply: SyncReply, out: &mut Vec<Output>) {
        let mut pages = ReplyPages {
            full: Vec::new(),
            current: self.new_datagram(DatagramKind::Sync),
            has_content: false,
        };
        let (own, now) = (self.status, self.now);
        for id in reply.requested {
            pages.add(self, |w| w.record_request(id));
        }
        for (prefix, salt) in reply.digested_prefixes {
            let digests = self.view.child_digests(prefix, salt, Some(&own));
            pages.add(self, |writer| writer.child_digests(&digests));
        }
        for prefix in reply.listed_prefixes {
            let updates: Vec<StatusUpdate> = self.view.advertised_in(prefix).map(update_for).collect();
            let own = StatusUpdate { status: own, reporters: Vec::new() };
            // The list is written completely or not at all: without one of the members it would look like a
            // view that lacks this member.
            pages.add(self, |writer| {
                let mut all_written = writer.listed_prefix(prefix);
                if prefix.contains(own.status.id) {
                    all_written &= writer.update(&own);
                }
                updates.iter().fold(all_written, |all_written, update| {
                    all_written
                        & writer.update(&StatusUpdate { status: update.status, reporters: Vec::new() })
                })
            });
        }
        let mut records = reply.records;
        if !records.is_empty() {
            let first = self.random.below(records.len() as Ns) as usize;
            records.rotate_left(first);
        }
        for (id, with_info) in records {
            if id == own.id {
                let info = self.info.clone();
                pages.add(self, |writer| writer.record(&own, &info, 0));
            } else if let Some(member) = self.view.get(id).cloned() {
                pages.add(self, |writer| {
                    if with_info {
                        writer.record(&member.status, &member.info, seconds_in_state(&member, now))
                    } else {
                        writer.update(&update_for(&member))
                    }
                });
            }
        }
        for writer in pages.finish() {
            self.send(Some(to), writer, Priority::Background, out);
        }
    }
}

/// Datagrams of a reply, filled one after another.
struct ReplyPages {
    full: Vec<DatagramWriter>,
    current: DatagramWriter,
    has_content: bool,
}

impl ReplyPages {
    /// Writes one piece, into a new datagram if it does not fit into the current one.
    fn add(&mut self, fleet: &Fleet, write: impl Fn(&mut DatagramWriter) -> bool) {
        if self.full.len() >= MAX_REPLY_DATAGRAMS {
            return;
        }
        let length_before = self.current.len();
        if write(&mut self.current) {
            self.has_content = true;
            return;
        }
        self.current.truncate(length_before);
        if !self.has_content {
            return;
        }
        self.full.push(std::mem::replace(&mut self.current, fleet.new_datagram(DatagramKind::Sync)));
        self.has_content = false;
        if self.full.len() < MAX_REPLY_DATAGRAMS {
            let length_before = self.current.len();
            self.has_content = write(&mut self.current);
            if !self.has_content {
                self.current.truncate(length_before);
            }
        }
    }

    fn finish(mut self) -> Vec<DatagramWriter> {
        if self.has_content && self.full.len() < MAX_REPLY_DATAGRAMS {
            self.full.push(self.current);
        }
        self.full
    }
}

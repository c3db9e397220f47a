//! Reads the view of a member from outside the fleet, piece by piece. An observer sends no status of its own,
//! so no member counts it.
use crate::datagram::{parse_datagram, Authenticator, DatagramKind, DatagramWriter, DropReason, IdPrefix};
use crate::member::{MemberId, MemberInfo, MemberStatus};
use crate::random::Random;
use crate::view::{Member, View};

/// The view of one member, as far as it has been received.
pub struct Observer {
    authenticator: Authenticator,
    view: View,
    random: Random,
    /// Digest of the member's whole view when it last answered.
    view_digest: Option<u64>,
}

/// A member as the observed member reports it.
#[derive(Clone, Debug)]
pub struct ReportedMember {
    pub status: MemberStatus,
    pub info: MemberInfo,
    /// How many seconds it has been in its state, in the observed view.
    pub seconds_in_state: u16,
}

impl Observer {
    #[must_use]
    pub fn new(authenticator: Authenticator, seed: u64) -> Observer {
        Observer { authenticator, view: View::default(), random: Random::new(seed), view_digest: None }
    }

    /// Returns two datagrams to send to the member: a ping, whose ack carries the view digest, and the
    /// digests of what was received so far, by which the member finds what is missing here.
    pub fn requests(&mut self) -> [Vec<u8>; 2] {
        let mut ping = DatagramWriter::new(DatagramKind::Ping);
        ping.target(MemberId::UNSPECIFIED);
        let mut digests = DatagramWriter::new(DatagramKind::Sync);
        digests.child_digests(&self.view.child_digests(
            IdPrefix::default(),
            self.random.next_u64() as u32,
            None,
        ));
        [ping.finish(&self.authenticator), digests.finish(&self.authenticator)]
    }

    /// Processes a datagram from the member and returns what to send back: requests for unknown records, and
    /// digests of the prefixes for which the member sent its own. Sending these at once, not with the next
    /// `requests`, fetches more of a large view per round trip.
    ///
    /// # Errors
    /// Returns why the datagram is not one of this fleet.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<Vec<Vec<u8>>, DropReason> {
        let datagram = parse_datagram(bytes, &self.authenticator)?;
        for record in &datagram.records {
            let is_known =
                self.view.get(record.status.id).is_some_and(|member| member.status >= record.status);
            if !is_known {
                let (status, info) = (record.status, record.info.clone());
                let state_since = -i64::from(record.seconds_in_state);
                let (last_contact, load) = (None, 0);
                self.view.upsert(Member {
                    status,
                    info,
                    state_since,
                    last_contact,
                    load,
                    suspicion: None,
                    expired: false,
                });
            }
        }
        let mut reply = DatagramWriter::new(DatagramKind::Sync);
        let mut has_reply = false;
        for update in &datagram.updates {
            match self.view.get(update.status.id).cloned() {
                Some(m) if m.status.incarnation.is_same_run(update.status.incarnation) => {
                    if update.status > m.status {
                        self.view.upsert(Member { status: update.status, ..m });
                    }
                }
                _ => has_reply |= reply.record_request(update.status.id),
            }
        }
        // The member has split a prefix into its children; the digests of these are compared as between
        // members.
        for remote in &datagram.digests {
            has_reply |= reply.child_digests(&self.view.child_digests(remote.prefix, remote.salt, None));
        }
        self.view_digest = datagram.view_digest.or(self.view_digest);
        Ok(if has_reply { vec![reply.finish(&self.authenticator)] } else { Vec::new() })
    }

    /// Returns whether the member's whole view has been received.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.view_digest == Some(self.view.digest())
    }

    /// Digest of the member's whole view; `None` until it has answered.
    #[must_use]
    pub fn view_digest(&self) -> Option<u64> {
        self.view_digest
    }

    /// Returns all members received so far, sorted by name.
    #[must_use]
    pub fn members(&self) -> Vec<ReportedMember> {
        let reported = |m: &Member| ReportedMember {
            status: m.status,
            info: m.info.clone(),
            seconds_in_state: (-m.state_since) as u16,
        };
        let mut all: Vec<ReportedMember> = self.view.iter().map(reported).collect();
        all.sort_by(|a, b| a.info.name.cmp(&b.info.name));
        all
    }
}

//! One that looks at a fleet and counts nowhere in it: it asks a member for its view, piece by piece, and says nothing of
//! itself.
use crate::datagram::{parse_datagram, Authenticator, DatagramKind, DatagramWriter, DropReason, IdPrefix};
use crate::member::{MemberId, MemberInfo, MemberStatus};
use crate::random::Random;
use crate::view::{Member, View};

/// The view of one member, as far as it has been told.
pub struct Observer {
    authenticator: Authenticator,
    view: View,
    random: Random,
    /// The mark of the member's whole view when it last answered.
    view_digest: Option<u64>,
}

/// What was told of one member.
#[derive(Clone, Debug)]
pub struct ReportedMember {
    pub status: MemberStatus,
    pub info: MemberInfo,
    /// For how many seconds it has been in its state, in the view that was asked for.
    pub seconds_in_state: u16,
}

impl Observer {
    #[must_use]
    pub fn new(authenticator: Authenticator, seed: u64) -> Observer {
        Observer { authenticator, view: View::default(), random: Random::new(seed), view_digest: None }
    }

    /// Two datagrams: who answers there, and what is still missing of its view.
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

    /// Takes an answer. A member that asks back for the marks of a part is answered by the next `ask`'s; so much of a large
    /// view is told at once.
    ///
    /// # Errors
    /// Why it is none of this fleet's.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<Vec<Vec<u8>>, DropReason> {
        let datagram = parse_datagram(bytes, &self.authenticator)?;
        for record in &datagram.records {
            let known = self.view.get(record.status.id).is_some_and(|member| member.status >= record.status);
            if !known {
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
        // It has parted a part: its children are compared as a member would.
        for remote in &datagram.digests {
            has_reply |= reply.child_digests(&self.view.child_digests(remote.prefix, remote.salt, None));
        }
        self.view_digest = datagram.view_digest.or(self.view_digest);
        Ok(if has_reply { vec![reply.finish(&self.authenticator)] } else { Vec::new() })
    }

    /// Whether all of the member's view has been told.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.view_digest == Some(self.view.digest())
    }

    /// The mark of the member's whole view, once it has answered.
    #[must_use]
    pub fn view_digest(&self) -> Option<u64> {
        self.view_digest
    }

    /// All that was told, by name.
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

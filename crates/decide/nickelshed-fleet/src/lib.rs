//! Gossip membership of a fleet of senders: the view that each member has of the others, as a state machine
//! without sockets, clock or disk.
//!
//! **Invariant.** For each member name a view holds the greatest [`MemberStatus`] received so far, in one
//! total order that all members use. Views that received the same statuses are therefore equal, in whatever
//! order these arrived, and an old datagram cannot bring back an earlier state or process run.
//!
//! **Guarantee.** After the last fault, let `n` be the number of members that can reach one another, and `p`
//! the fraction of their datagrams that is lost. Within T(n, p) the view of each of them lists exactly these
//! members as present. T is the sum of three times: until a probe goes unanswered (a few probe intervals);
//! until the suspicion times out (a multiple of log n); and until the update has reached all members (a
//! multiple of log n; it always ends, because digests are exchanged for as long as two views differ).
//! Measured values of T are in `docs/design/membership.md`.
//!
//! A view can be wrong on either side of a partition. [`quota`] decides how rate limits are divided in that
//! case, and prefers the error that does less harm.
mod budget;
mod datagram;
mod fleet;
mod gossip;
mod health;
mod member;
mod observer;
pub mod quota;
mod random;
mod suspicion;
mod sync;
mod view;

/// Nanoseconds of the monotonic clock; the caller passes the time in.
pub type Ns = i64;

pub use budget::{Budget, Priority};
pub use datagram::{
    parse_datagram, Authenticator, Datagram, DatagramKind, DatagramWriter, DropReason, MemberRecord,
    StatusUpdate, MAX_DATAGRAM_BYTES,
};
pub use fleet::{Change, Config, Counts, Fleet, Input, Output, PROBE_INTERVAL};
pub use member::{Incarnation, MemberId, MemberInfo, MemberStatus, State, MAX_NAME_BYTES, MAX_SITE_BYTES};
pub use observer::{Observer, ReportedMember};
pub use random::Random;
pub use view::Member;

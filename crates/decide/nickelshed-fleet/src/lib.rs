//! Who is there: the view of a fleet that each of its members keeps, as a machine without sockets, clock or disk.
//!
//! **Invariant.** What a view holds of a name is the greatest claim that it has heard of it, in one order for all
//! ([`Claim`]); so two views that have heard the same hold the same, in whatever order they heard it, and nothing old can
//! bring back what is over.
//!
//! **What is promised.** From the last fault on, let all members that can reach one another be `n`, with a part `p` of
//! their datagrams lost. Within T(n, p) each of them holds exactly these as present. T has three terms: until somebody has
//! asked in vain (a few periods), until a suspect's time is over (a multiple of log n), and until the news has reached all
//! (a multiple of log n, and never without an end, as the exchange of marks goes on for as long as two differ). The
//! measured T stands in `docs/design/membership.md`.
//!
//! A view is a belief. What may be wrong on either side of a partition is decided in [`parts`], for the side that does
//! less harm.
mod budget;
mod datagram;
mod fleet;
mod health;
mod member;
mod observer;
pub mod parts;
mod random;
mod rumours;
mod suspicion;
mod sync;
mod view;

/// Nanoseconds of the monotonic clock that the machine is handed.
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

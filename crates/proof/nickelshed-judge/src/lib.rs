//! The judge: from what was seen on the wire it decides which of the six rules were broken, when and by which events,
//! and what the day was worth. It knows nothing of the sender and does no I/O.
mod account;
mod event;
mod rules;
mod worth;

pub use account::{account, Account, Doing, State};
pub use event::{Effect, Event, How, Known, Us, What};
pub use rules::{judge, Broken, Figures, Rule};
pub use worth::{reckon, Reckoning, Why, Worth};

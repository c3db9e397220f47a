//! The decision module of a sender: it decides which endpoint gets which message and when, what is retried,
//! and what is refused.
//!
//! `api` is its data-only interface, `rules` holds the decisions, `recovery` those on outages and slow start,
//! `state` the records that they keep, and `stat` the statistics that they read. The module does no I/O, gets
//! the time with every call, and has no dependencies.
pub mod api;
mod recovery;
pub mod rules;
mod stat;
mod state;

//! The one decision module: which endpoint gets which message and when, whether again, and what is turned away.
//!
//! `api` is its data-only interface, `rules` the decisions, `state` their records. It does no I/O, is told the
//! time with every call, and has no dependencies.
pub mod api;
pub mod rules;
mod state;

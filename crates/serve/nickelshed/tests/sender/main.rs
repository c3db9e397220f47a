//! End-to-end tests of one sender process with fake servers over loopback. Every check waits for an event,
//! none for a fixed time.
mod admission;
mod answers;
mod batches;
mod clients;
mod common;
mod connecting;
mod delivery;
mod discovery;
mod journal;
mod recovery;
mod shutdown;

//! Fleets of several members under scripted faults. `script` defines the faults, `play` simulates them in
//! virtual time, `truth` knows who can reach whom, which the views of the members are checked against, and
//! `measure` computes tables over many runs. `relay` is put between processes of the delivered program.
pub mod measure;
pub mod play;
pub mod relay;
pub mod script;
mod truth;

pub use play::{simulate, RunReport};
pub use relay::Relay;
pub use script::Script;

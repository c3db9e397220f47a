//! Fleets of several members under scripted faults. `script` defines the faults, `simulation` runs them in
//! virtual time, `ground_truth` knows who can reach whom, which the views of the members are checked against,
//! and `measure` computes tables over many runs. `relay` is put between processes of the delivered program.
mod ground_truth;
pub mod measure;
pub mod relay;
pub mod script;
pub mod simulation;

pub use relay::Relay;
pub use script::Script;
pub use simulation::{simulate, RunReport};

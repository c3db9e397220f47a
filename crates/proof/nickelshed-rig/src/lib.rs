//! Fleets of several members under scripted faults. `script` defines the faults, `simulation` runs them in
//! virtual time and checks the views of the members against `ground_truth`, which knows who can reach whom,
//! and `measure` computes tables over many runs. `relay` injects faults between real sender processes.
mod ground_truth;
pub mod measure;
pub mod relay;
pub mod script;
pub mod simulation;

pub use relay::Relay;
pub use script::Script;
pub use simulation::{simulate, RunReport};

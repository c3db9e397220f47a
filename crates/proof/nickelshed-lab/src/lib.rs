//! Runs whole senders in simulated time, over a simulated network and disk, against a model of the systems
//! that they call, and has the checker verify each run.
mod compare;
mod crossings;
mod everywhere;
mod explore;
pub mod files;
mod folder;
mod http;
mod kills;
mod lie;
mod life;
mod manner;
pub mod memory;
mod net;
mod play;
mod process;
pub mod report;
mod rude;
mod sockets;
mod stands;
mod wire;
mod world;

pub use compare::{difference, Difference};
pub use crossings::{run_fault_points, FaultInjection, FaultPointReport, InjectedFault};
pub use everywhere::parallel_map;
pub use explore::{explore, failures, minimize, Exploration, FailingCase, Failure, ScenarioGenerator};
pub use kills::{run_kill_points, KillReport, Stride};
pub use lie::Lie;
pub use life::{KillPoint, ProcessCounters};
pub use manner::{Kill, Manner};
pub use play::{account_with_oracle, run_scenario, run_scenario_with, ScenarioRun};

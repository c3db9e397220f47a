//! Runs whole senders in simulated time, over a simulated network and disk, against a model of the systems
//! that they call, and has the checker verify each run.
mod compare;
mod explore;
mod fault_points;
pub mod files;
mod http;
mod kill_points;
mod lie;
mod manner;
pub mod memory;
mod net;
mod parallel_runs;
mod process;
mod process_run;
pub mod report;
mod rude;
mod scenario_run;
mod sockets;
mod stands;
mod state_folder;
mod wire;
mod world;

pub use compare::{difference, Difference};
pub use explore::{explore, failures, minimize, Exploration, FailingCase, Failure, ScenarioGenerator};
pub use fault_points::{run_fault_points, FaultInjection, FaultPointReport, InjectedFault};
pub use kill_points::{run_kill_points, KillReport, Stride};
pub use lie::Lie;
pub use manner::{Kill, Manner};
pub use parallel_runs::parallel_map;
pub use process_run::{KillPoint, ProcessCounters};
pub use scenario_run::{account_with_oracle, run_scenario, run_scenario_with, ScenarioRun};

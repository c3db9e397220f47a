//! Runs complete senders in simulated time, over a simulated network and disk, against a model of the
//! destinations that they call, and checks each run against the delivery rules.
mod compare;
mod explore;
mod fake_servers;
mod fault_points;
pub mod files;
mod http;
mod kill_points;
mod malformed_clients;
pub mod memory;
mod mutation;
mod network;
mod parallel_runs;
mod process;
mod process_run;
pub mod report;
mod run_options;
mod scenario_run;
mod sim_network;
mod simulation;
mod sockets;
mod state_folder;

pub use compare::{difference, Difference};
pub use explore::{explore, failures, minimize, Exploration, FailingCase, Failure, ScenarioGenerator};
pub use fault_points::{run_fault_points, FaultInjection, FaultPointAction, FaultPointReport};
pub use kill_points::{run_kill_points, KillReport, Stride};
pub use mutation::Mutation;
pub use parallel_runs::parallel_map;
pub use process_run::{KillPoint, ProcessCounters};
pub use run_options::{Kill, RunOptions};
pub use scenario_run::{account_with_oracle, run_scenario, run_scenario_with, ScenarioRun};

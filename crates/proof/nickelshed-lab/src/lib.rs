//! The lab: the whole sender in virtual time, over a simulated network and disk, against the model of the systems that it
//! serves, under the judge.
mod compare;
mod crossings;
mod everywhere;
mod explore;
mod fake_servers;
pub mod files;
mod folder;
mod http;
mod kills;
mod life;
mod malformed_clients;
pub mod memory;
mod mutation;
mod network;
mod play;
mod process;
pub mod report;
mod run_options;
mod sim_network;
mod simulation;
mod sockets;

pub use compare::{difference, Difference};
pub use crossings::{crossings, Crossed, Crossing, Happening};
pub use everywhere::each;
pub use explore::{cut, explore, faults, Draw, Explored, Fault, Find};
pub use kills::{kills, Every, Killed};
pub use life::{Cut, Done};
pub use mutation::Mutation;
pub use play::{accounted, play, play_so, Day};
pub use run_options::{Kill, RunOptions};

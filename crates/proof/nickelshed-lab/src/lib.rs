//! The lab: the whole sender in virtual time, over a simulated network and disk, against the model of the systems that it
//! serves, under the judge.
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
pub use crossings::{crossings, Crossed, Crossing, Happening};
pub use everywhere::each;
pub use explore::{cut, explore, faults, Draw, Explored, Fault, Find};
pub use kills::{kills, Every, Killed};
pub use lie::Mutation;
pub use life::{Cut, Done};
pub use manner::{Kill, RunOptions};
pub use play::{accounted, play, play_so, Day};

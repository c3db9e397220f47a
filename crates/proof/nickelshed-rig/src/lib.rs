//! Several members of a fleet, and the faults between them: `script` is what befalls them, `play` does so in virtual
//! time, `truth` knows who can reach whom, and what members believe is held against it; `measure`
//! makes tables of many days. `relay` stands between processes of the delivered program.
pub mod measure;
pub mod play;
pub mod relay;
pub mod script;
mod truth;

pub use play::{simulate, RunReport};
pub use relay::Relay;
pub use script::Script;

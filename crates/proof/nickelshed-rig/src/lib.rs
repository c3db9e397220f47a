//! Several members of a fleet, and the faults between them: `script` is what befalls them, `play` does so in virtual
//! time, `truth` knows who can reach whom, and what members believe is held against it; `measure`
//! makes tables of many days.
pub mod measure;
pub mod play;
pub mod script;
mod truth;

pub use play::{play, Day};
pub use script::Script;

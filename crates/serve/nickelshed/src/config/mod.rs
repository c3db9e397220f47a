//! What a sender is told at its start, in either of two forms, and what of it may change while it runs.
mod platform;
mod sidecar;

pub use platform::Told;

use crate::list::List;
use nickelshed_config::sidecar::Durability;
use nickelshed_config::Operator;
use nickelshed_policy::api::Settings;
use nickelshed_settings::DeploymentContext;
use serde::Deserialize;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// The form in which a sender is told what it needs.
#[derive(Clone, Debug)]
pub enum Form {
    /// The platform's environment and config.json, and what the operator decides beside them.
    Platform(Operator),
    /// The same without a process of its own: what it is told may be changed before a hang-up.
    Told(Operator, Rc<RefCell<Told>>),
    /// One file of the operator's.
    Sidecar(PathBuf),
}

#[derive(Deserialize)]
pub struct Limits {
    pub memory_mb: f64,
    pub sockets: usize,
    pub disk_mb: f64,
}

/// Where the list of endpoints comes from.
#[derive(Clone, Copy, Debug)]
pub enum Endpoints {
    Discovery(SocketAddr),
    /// From the configuration itself.
    Listed,
}

/// Who is told how messages ended that were taken on and not delivered.
#[derive(Clone, Debug)]
pub enum Sink {
    /// The platform, where discovery is.
    Platform,
    Http {
        address: SocketAddr,
        path: String,
    },
    File(PathBuf),
}

pub struct Config {
    /// The application that a sidecar stands beside.
    pub application: Option<String>,
    pub listen: SocketAddr,
    pub endpoints: Endpoints,
    pub notices: Vec<Sink>,
    pub state: PathBuf,
    pub seed: u64,
    pub limits: Limits,
    pub durability: Durability,
    pub known: List,
    pub settings: Settings,
    pub around: DeploymentContext,
    /// The fleet that it is a member of.
    pub fleet: Option<crate::fleet::Fellowship>,
}

/// What takes effect while a sender runs.
pub struct Fresh {
    pub discovery: Option<SocketAddr>,
    pub list: Option<List>,
}

impl Form {
    /// # Errors
    /// Says all that keeps the sender from starting.
    pub(crate) fn read(&self) -> Result<Config, String> {
        match self {
            Form::Platform(operator) => Told::by_environment()?.read(operator),
            Form::Told(operator, told) => told.borrow().read(operator),
            Form::Sidecar(path) => sidecar::read(path),
        }
    }

    /// The file was replaced: what of it takes effect at once.
    ///
    /// # Errors
    /// Says what is wrong with it; then nothing of it does.
    pub(crate) fn reread(&self) -> Result<Fresh, String> {
        match self {
            Form::Platform(_) => Told::by_environment()?.reread(),
            Form::Told(_, told) => told.borrow().reread(),
            Form::Sidecar(path) => sidecar::reread(path),
        }
    }
}

//! The configuration of a sender, read from either of two sources at startup, and the part of it that can be
//! reloaded.
mod platform;
mod sidecar;

pub use platform::EnvironmentVariables;

use crate::list::List;
use nickelshed_config::sidecar::Durability;
use nickelshed_config::Operator;
use nickelshed_policy::api::Settings;
use nickelshed_settings::Around;
use serde::Deserialize;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// Where a sender reads its configuration.
#[derive(Clone, Debug)]
pub enum ConfigSource {
    /// The platform's environment variables and config.json, with the operator's own settings.
    Platform(Operator),
    /// Like `Platform`, for a sender that is not a process of its own. The variables may be changed before a
    /// reload.
    InMemory(Operator, Rc<RefCell<EnvironmentVariables>>),
    /// One TOML file written by the operator.
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
    /// The configuration file lists the endpoints.
    Listed,
}

/// A receiver of notices: how accepted messages ended that were not delivered.
#[derive(Clone, Debug)]
pub enum Sink {
    /// The platform, at the address of discovery.
    Platform,
    Http {
        address: SocketAddr,
        path: String,
    },
    File(PathBuf),
}

pub struct Config {
    /// The application that this sidecar serves; None on the platform.
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
    pub around: Around,
    /// None if the sender is not a member of a fleet.
    pub fleet: Option<crate::fleet::Fellowship>,
}

/// The part of a configuration that takes effect without a restart.
pub struct Fresh {
    pub discovery: Option<SocketAddr>,
    pub list: Option<List>,
}

impl ConfigSource {
    /// # Errors
    /// Returns every reason why the sender cannot start with this configuration.
    pub(crate) fn read(&self) -> Result<Config, String> {
        match self {
            ConfigSource::Platform(operator) => EnvironmentVariables::by_environment()?.read(operator),
            ConfigSource::InMemory(operator, told) => told.borrow().read(operator),
            ConfigSource::Sidecar(path) => sidecar::read(path),
        }
    }

    /// Reads the configuration again after its file was replaced, for the part that takes effect without a
    /// restart.
    ///
    /// # Errors
    /// Returns what is wrong with the file; the caller then applies nothing of it.
    pub(crate) fn reread(&self) -> Result<Fresh, String> {
        match self {
            ConfigSource::Platform(_) => EnvironmentVariables::by_environment()?.reread(),
            ConfigSource::InMemory(_, told) => told.borrow().reread(),
            ConfigSource::Sidecar(path) => sidecar::reread(path),
        }
    }
}

//! The configuration of a sender, read from either of two sources at startup, and the part of it that can be
//! reloaded.
mod platform;
mod settings_digest;
mod sidecar;

pub use platform::EnvironmentVariables;

use crate::list::EndpointList;
use nickelshed_config::sidecar::Durability;
use nickelshed_config::Operator;
use nickelshed_policy::api::Settings;
use nickelshed_settings::DeploymentContext;
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

/// Resource limits of the process, in megabytes of 10^6 bytes and in file descriptors.
#[derive(Deserialize)]
pub struct Limits {
    pub memory_mb: f64,
    pub sockets: usize,
    pub disk_mb: f64,
}

/// Where the list of endpoints comes from.
#[derive(Clone, Copy, Debug)]
pub enum EndpointSource {
    Discovery(SocketAddr),
    /// The configuration file lists the endpoints.
    Static,
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

/// The complete configuration of a sender, from either source.
pub struct Config {
    /// The application that this sidecar serves; None on the platform.
    pub application: Option<String>,
    pub listen: SocketAddr,
    pub endpoint_source: EndpointSource,
    pub notices: Vec<Sink>,
    /// The folder for the journal and other persisted state.
    pub state: PathBuf,
    /// Seed of the random draws of the policy, discovery and the fleet.
    pub seed: u64,
    pub limits: Limits,
    pub durability: Durability,
    /// The endpoints known at startup, before discovery answers; may be empty.
    pub initial_list: EndpointList,
    pub settings: Settings,
    pub context: DeploymentContext,
    /// None if the sender is not a member of a fleet.
    pub fleet: Option<crate::fleet::FleetConfig>,
}

/// The part of a configuration that takes effect without a restart.
pub struct ReloadableConfig {
    /// The address of discovery; None if the configuration lists the endpoints.
    pub discovery: Option<SocketAddr>,
    /// The listed endpoints; None if they come from discovery.
    pub list: Option<EndpointList>,
}

impl ConfigSource {
    /// # Errors
    /// Returns every reason why the sender cannot start with this configuration.
    pub(crate) fn read(&self) -> Result<Config, String> {
        match self {
            ConfigSource::Platform(operator) => EnvironmentVariables::from_environment()?.read(operator),
            ConfigSource::InMemory(operator, variables) => variables.borrow().read(operator),
            ConfigSource::Sidecar(path) => sidecar::read(path),
        }
    }

    /// Reads the configuration again after its file was replaced, for the part that takes effect without a
    /// restart.
    ///
    /// # Errors
    /// Returns what is wrong with the file; the caller then applies nothing of it.
    pub(crate) fn read_reloadable(&self) -> Result<ReloadableConfig, String> {
        match self {
            ConfigSource::Platform(_) => EnvironmentVariables::from_environment()?.read_reloadable(),
            ConfigSource::InMemory(_, variables) => variables.borrow().read_reloadable(),
            ConfigSource::Sidecar(path) => sidecar::read_reloadable(path),
        }
    }
}

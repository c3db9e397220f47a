//! The platform's configuration: environment variables and config.json, read at startup; on SIGHUP only the
//! file is read again.
use super::{Config, EndpointSource, Limits, ReloadableConfig, Sink};
use crate::fleet::{FleetConfig, PlatformPeers};
use crate::list::EndpointList;
use nickelshed_config::Operator;
use nickelshed_settings as settings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

#[derive(Deserialize)]
struct ConfigFile {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<Value>,
    limits: Limits,
    #[serde(default)]
    known: EndpointList,
    settings: Value,
    /// The addresses of the other senders and the one to listen on for their datagrams. They are kept as raw
    /// JSON so that an unexpected form does not prevent the start; the sender then runs without a fleet.
    #[serde(default)]
    peers: Value,
    #[serde(default)]
    peer_listen: Value,
}

impl ConfigFile {
    fn platform_peers(&self) -> Option<PlatformPeers> {
        let address = |v: &Value| v.as_str()?.parse::<SocketAddr>().ok();
        let addresses = self.peers.as_array()?.iter().map(address).collect::<Option<Vec<_>>>()?;
        Some(PlatformPeers { addresses, listen: address(&self.peer_listen)? })
    }
}

/// What the platform sets for a process, taken from its environment or supplied by the caller.
#[derive(Clone, Debug, Default)]
pub struct EnvironmentVariables {
    pub listen: Option<String>,
    pub discovery: Option<String>,
    pub state: Option<String>,
    /// The text of the configuration file, and the file's name for error messages.
    pub config: String,
    pub config_path: String,
}

impl EnvironmentVariables {
    /// Reads the environment of this process, and the file that EDGE_CONFIG names.
    pub(super) fn from_environment() -> Result<EnvironmentVariables, String> {
        let var = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let config_path = var("EDGE_CONFIG")
            .ok_or("EDGE_CONFIG is not set; to run without a platform give --config FILE")?;
        let config =
            std::fs::read_to_string(&config_path).map_err(|e| format!("cannot read {config_path}: {e}"))?;
        let (listen, discovery) = (var("EDGE_LISTEN"), var("EDGE_DISCOVERY"));
        Ok(EnvironmentVariables { listen, discovery, state: var("EDGE_STATE"), config, config_path })
    }

    fn parse_file(&self) -> Result<ConfigFile, String> {
        serde_json::from_str(&self.config).map_err(|e| format!("{}: {e}", self.config_path))
    }

    /// The address of discovery. The file takes precedence over the environment: the file can be replaced
    /// while the sender runs and the environment cannot, so a restarted process would otherwise use an
    /// address that is no longer served.
    fn discovery(&self, file: Option<String>) -> Result<SocketAddr, String> {
        address("EDGE_DISCOVERY", file, self.discovery.clone())
    }

    /// Returns the address of discovery in the current file. Changes to all other keys need a restart.
    pub(super) fn read_reloadable(&self) -> Result<ReloadableConfig, String> {
        Ok(ReloadableConfig { discovery: Some(self.discovery(self.parse_file()?.discovery)?), list: None })
    }

    pub(super) fn read(&self, operator: &Operator) -> Result<Config, String> {
        let file = self.parse_file()?;
        let settings = settings::read(&file.settings);
        let (settings, context) = settings.map_err(|e| format!("{}: settings: {e}", self.config_path))?;
        let state: std::path::PathBuf = self.state.as_ref().ok_or("EDGE_STATE is not set")?.into();
        let seed = file.seed.as_ref().map_or(0, parse_seed);
        let fleet_config = |peers| {
            let site = context.zones.get(settings.zone).map_or("", String::as_str);
            let settings_digest = crc32fast::hash(file.settings.to_string().as_bytes());
            let name = file.name.as_deref()?;
            FleetConfig::from_platform(name, site, peers, seed, settings.sender_count, settings_digest)
        };
        let fleet = file.platform_peers().filter(|_| context.peer_datagrams).and_then(fleet_config);
        Ok(Config {
            fleet,
            application: None,
            listen: address("EDGE_LISTEN", self.listen.clone(), file.listen)?,
            endpoint_source: EndpointSource::Discovery(self.discovery(file.discovery)?),
            notices: vec![Sink::Platform],
            state,
            seed,
            limits: file.limits,
            durability: operator.journal.durability,
            initial_list: file.known,
            settings,
            context,
        })
    }
}

/// Parses `first`, or `second` if `first` is None.
fn address(name: &str, first: Option<String>, second: Option<String>) -> Result<SocketAddr, String> {
    let text = first.or(second).ok_or(format!("{name} is not set"))?;
    text.parse().map_err(|e| format!("{name} is not an address: {text}: {e}"))
}

/// Reads the seed, a hexadecimal string. A value in any other form is hashed, so that different values still
/// give different seeds.
fn parse_seed(value: &Value) -> u64 {
    let text = value.as_str().map_or_else(|| value.to_string(), str::to_string);
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| crc32fast::hash(text.as_bytes()).into())
}

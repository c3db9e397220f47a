//! The platform's configuration: environment variables and config.json, read at startup; on SIGHUP only the
//! file is read again.
use super::{Config, Endpoints, Fresh, Limits, Sink};
use crate::fleet::{Fellowship, Notes};
use crate::list::List;
use nickelshed_config::Operator;
use nickelshed_settings as settings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<Value>,
    limits: Limits,
    #[serde(default)]
    known: List,
    settings: Value,
    /// The addresses of the other senders and the one to listen on for their datagrams. They are kept as raw
    /// JSON so that an unexpected form does not prevent the start; the sender then runs without a fleet.
    #[serde(default)]
    peers: Value,
    #[serde(default)]
    peer_listen: Value,
}

impl File {
    fn notes(&self) -> Option<Notes> {
        let address = |v: &Value| v.as_str()?.parse::<SocketAddr>().ok();
        let peers = self.peers.as_array()?.iter().map(address).collect::<Option<Vec<_>>>()?;
        Some(Notes { peers, listen: address(&self.peer_listen)? })
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
    pub(super) fn by_environment() -> Result<EnvironmentVariables, String> {
        let var = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let config_path = var("EDGE_CONFIG")
            .ok_or("EDGE_CONFIG is not set; to run without a platform give --config FILE")?;
        let config =
            std::fs::read_to_string(&config_path).map_err(|e| format!("cannot read {config_path}: {e}"))?;
        let (listen, discovery) = (var("EDGE_LISTEN"), var("EDGE_DISCOVERY"));
        Ok(EnvironmentVariables { listen, discovery, state: var("EDGE_STATE"), config, config_path })
    }

    fn file(&self) -> Result<File, String> {
        serde_json::from_str(&self.config).map_err(|e| format!("{}: {e}", self.config_path))
    }

    /// The address of discovery. The file takes precedence over the environment: the file can be replaced
    /// while the sender runs and the environment cannot, so a restarted process would otherwise use an
    /// address that is no longer served.
    fn discovery(&self, file: Option<String>) -> Result<SocketAddr, String> {
        address("EDGE_DISCOVERY", file, self.discovery.clone())
    }

    /// Returns the address of discovery in the current file. Changes to all other keys need a restart.
    pub(super) fn reread(&self) -> Result<Fresh, String> {
        Ok(Fresh { discovery: Some(self.discovery(self.file()?.discovery)?), list: None })
    }

    pub(super) fn read(&self, operator: &Operator) -> Result<Config, String> {
        let file = self.file()?;
        let settings = settings::read(&file.settings);
        let (settings, around) = settings.map_err(|e| format!("{}: settings: {e}", self.config_path))?;
        let state: std::path::PathBuf = self.state.as_ref().ok_or("EDGE_STATE is not set")?.into();
        let number = file.seed.as_ref().map_or(0, seed);
        let member = |notes| {
            let site = around.zones.get(settings.zone).map_or("", String::as_str);
            let digest = crc32fast::hash(file.settings.to_string().as_bytes());
            let name = file.name.as_deref()?;
            Fellowship::on_platform(name, site, notes, number, settings.n_instances, digest)
        };
        let fleet = file.notes().filter(|_| around.notes).and_then(member);
        Ok(Config {
            fleet,
            application: None,
            listen: address("EDGE_LISTEN", self.listen.clone(), file.listen)?,
            endpoints: Endpoints::Discovery(self.discovery(file.discovery)?),
            notices: vec![Sink::Platform],
            state,
            seed: number,
            limits: file.limits,
            durability: operator.journal.durability,
            known: file.known,
            settings,
            around,
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
fn seed(value: &Value) -> u64 {
    let text = value.as_str().map_or_else(|| value.to_string(), str::to_string);
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| crc32fast::hash(text.as_bytes()).into())
}

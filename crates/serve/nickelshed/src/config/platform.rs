//! The platform's form: the environment and config.json, read at the start, and the file once more on SIGHUP.
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
    /// Where notes to the other senders go, and where theirs come; a strange form is no reason not to start.
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

/// What the platform tells a process, from wherever it is read.
#[derive(Clone, Debug, Default)]
pub struct Told {
    pub listen: Option<String>,
    pub discovery: Option<String>,
    pub state: Option<String>,
    /// The text of the configuration, and what it is called in messages.
    pub config: String,
    pub name: String,
}

impl Told {
    /// From the environment of this process, and the file that it names.
    pub(super) fn by_environment() -> Result<Told, String> {
        let var = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        let name = var("EDGE_CONFIG")
            .ok_or("EDGE_CONFIG is not set; to run without a platform give --config FILE")?;
        let config = std::fs::read_to_string(&name).map_err(|e| format!("cannot read {name}: {e}"))?;
        let (listen, discovery) = (var("EDGE_LISTEN"), var("EDGE_DISCOVERY"));
        Ok(Told { listen, discovery, state: var("EDGE_STATE"), config, name })
    }

    fn file(&self) -> Result<File, String> {
        serde_json::from_str(&self.config).map_err(|e| format!("{}: {e}", self.name))
    }

    /// The file may be replaced while the sender runs, its environment can't be: a process that is started again
    /// after that would go back to an address that is served no more, so the file's word comes first.
    fn discovery(&self, file: Option<String>) -> Result<SocketAddr, String> {
        address("EDGE_DISCOVERY", file, self.discovery.clone())
    }

    /// Discovery's address as the file has it now; its other keys take effect at the next start.
    pub(super) fn reread(&self) -> Result<Fresh, String> {
        Ok(Fresh { discovery: Some(self.discovery(self.file()?.discovery)?), list: None })
    }

    pub(super) fn read(&self, operator: &Operator) -> Result<Config, String> {
        let file = self.file()?;
        let settings = settings::read(&file.settings);
        let (settings, around) = settings.map_err(|e| format!("{}: settings: {e}", self.name))?;
        let state: std::path::PathBuf = self.state.as_ref().ok_or("EDGE_STATE is not set")?.into();
        let number = file.seed.as_ref().map_or(0, seed);
        let member = |notes| {
            let site = around.zones.get(settings.zone).map_or("", String::as_str);
            let digest = crc32fast::hash(file.settings.to_string().as_bytes());
            let name = file.name.as_deref()?;
            Fellowship::on_platform(name, site, notes, number, settings.n_instances, digest)
        };
        let fleet = file.notes().filter(|_| around.peer_datagrams).and_then(member);
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

/// `first` if it is there, else `second`.
fn address(name: &str, first: Option<String>, second: Option<String>) -> Result<SocketAddr, String> {
    let text = first.or(second).ok_or(format!("{name} is not set"))?;
    text.parse().map_err(|e| format!("{name} is no address: {text}: {e}"))
}

/// The seed is a text in hex; any other form still gives a number of its own.
fn seed(value: &Value) -> u64 {
    let text = value.as_str().map_or_else(|| value.to_string(), str::to_string);
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| crc32fast::hash(text.as_bytes()).into())
}

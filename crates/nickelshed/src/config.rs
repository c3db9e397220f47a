//! The environment and config.json: read at the start, and the file once more on SIGHUP.
use crate::list::List;
use nickelshed_policy::api::Settings;
use nickelshed_settings::{self as settings, Around};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Deserialize)]
pub struct Limits {
    pub memory_mb: f64,
    pub sockets: usize,
    pub disk_mb: f64,
}

#[derive(Deserialize)]
struct File {
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<Value>,
    limits: Limits,
    #[serde(default)]
    known: List,
    settings: Value,
}

pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub state: PathBuf,
    pub seed: u64,
    pub limits: Limits,
    pub known: List,
    pub settings: Settings,
    pub around: Around,
}

fn var(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

fn file() -> Result<(String, File), String> {
    let path = var("EDGE_CONFIG").ok_or("EDGE_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
    let file = serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
    Ok((path, file))
}

/// `first` if it is there, else `second`.
fn address(name: &str, first: Option<String>, second: Option<String>) -> Result<SocketAddr, String> {
    let text = first.or(second).ok_or(format!("{name} is not set"))?;
    text.parse().map_err(|e| format!("{name} is no address: {text}: {e}"))
}

/// The file may be replaced while the sender runs, its environment can't be: a process that is started again
/// after that would go back to an address that is served no more, so the file's word comes first.
fn discovery(file: Option<String>) -> Result<SocketAddr, String> {
    address("EDGE_DISCOVERY", file, var("EDGE_DISCOVERY"))
}

/// Discovery's address as the file has it now; its other keys take effect at the next start.
pub fn reread() -> Result<SocketAddr, String> {
    discovery(file()?.1.discovery)
}

pub fn read() -> Result<Config, String> {
    let (path, file) = file()?;
    let (settings, around) = settings::read(&file.settings).map_err(|e| format!("{path}: settings: {e}"))?;
    Ok(Config {
        listen: address("EDGE_LISTEN", var("EDGE_LISTEN"), file.listen)?,
        discovery: discovery(file.discovery)?,
        state: var("EDGE_STATE").ok_or("EDGE_STATE is not set")?.into(),
        seed: file.seed.as_ref().map_or(0, seed),
        limits: file.limits,
        known: file.known,
        settings,
        around,
    })
}

/// The seed is a text in hex; any other form still gives a number of its own.
fn seed(value: &Value) -> u64 {
    let text = value.as_str().map_or_else(|| value.to_string(), str::to_string);
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| crc32fast::hash(text.as_bytes()).into())
}

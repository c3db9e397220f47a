//! The sidecar's configuration: one TOML file, in which paths are relative to the folder of the file.
use super::{Config, EndpointSource, Limits, ReloadableConfig, Sink};
use crate::list::{EndpointList, Instance};
use nickelshed_config::sidecar::{Sidecar, MAX_FILE_BYTES};
use nickelshed_config::{compile, url, Finding};
use std::hash::{BuildHasher, Hasher};
use std::io::Read;
use std::path::Path;

/// # Errors
/// Returns all errors in the file, one per line.
fn load(path: &Path) -> Result<Sidecar, String> {
    let mut bytes = Vec::new();
    // The read is limited because the path may lead to a file of any size or to a device.
    let read =
        std::fs::File::open(path).and_then(|f| f.take(MAX_FILE_BYTES as u64 + 1).read_to_end(&mut bytes));
    read.map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    nickelshed_config::load(&bytes).into_valid().map_err(|findings| {
        let text = String::from_utf8_lossy(&bytes);
        let lines =
            findings.iter().filter(|f| f.is_error()).map(|f: &Finding| f.to_log_line(path.display(), &text));
        lines.collect::<Vec<_>>().join("\n")
    })
}

fn list(sidecar: &Sidecar) -> EndpointList {
    let instance = |listed: compile::ListedEndpoint| Instance {
        name: listed.name,
        address: listed.address,
        zone: listed.zone,
        kind: listed.kind,
        dest: listed.dest,
        lifecycle: if listed.draining { "Terminating" } else { "Ready" }.to_string(),
        weight: listed.rate,
    };
    EndpointList::full(compile::listed_endpoints(sidecar).into_iter().map(instance).collect())
}

/// Returns the part of the file that takes effect without a restart: the endpoints, or the address of
/// discovery.
pub(super) fn read_reloadable(path: &Path) -> Result<ReloadableConfig, String> {
    let sidecar = load(path)?;
    Ok(match sidecar.discovery {
        Some(discovery) => ReloadableConfig { discovery: Some(discovery.address), list: None },
        None => ReloadableConfig { discovery: None, list: Some(list(&sidecar)) },
    })
}

pub(super) fn read(path: &Path) -> Result<Config, String> {
    let sidecar = load(path)?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let (settings, context) = compile::settings(&sidecar);
    let state = folder.join(&sidecar.state);
    std::fs::create_dir_all(&state)
        .map_err(|e| format!("cannot create the state folder {}: {e}", state.display()))?;
    let http = sidecar
        .notices
        .http
        .as_deref()
        .map(url::parse)
        .transpose()
        .map_err(|e| format!("notices.http {e}"))?;
    let http = http.map(|url| Sink::Http { address: url.address, path: url.path });
    let file = sidecar.notices.file.as_ref().map(|file| Sink::File(folder.join(file)));
    let seed = std::collections::hash_map::RandomState::new().build_hasher().finish();
    let settings_digest = super::settings_digest::settings_digest(&settings);
    let fleet_config = |membership| {
        let (application, configured_senders) = (&sidecar.application, settings.sender_count);
        crate::fleet::FleetConfig::from_sidecar(
            membership,
            application,
            folder,
            seed,
            configured_senders,
            settings_digest,
        )
    };
    let fleet = sidecar.fleet.as_ref().map(fleet_config).transpose()?;
    Ok(Config {
        fleet,
        application: Some(sidecar.application.clone()),
        listen: sidecar.listen,
        endpoint_source: sidecar
            .discovery
            .as_ref()
            .map_or(EndpointSource::Static, |d| EndpointSource::Discovery(d.address)),
        notices: http.into_iter().chain(file).collect(),
        state,
        seed,
        limits: Limits {
            memory_mb: sidecar.limits.memory.0 as f64 / 1e6,
            sockets: sidecar.limits.sockets as usize,
            disk_mb: sidecar.limits.disk.0 as f64 / 1e6,
        },
        durability: sidecar.journal.durability,
        initial_list: list(&sidecar),
        settings,
        context,
    })
}

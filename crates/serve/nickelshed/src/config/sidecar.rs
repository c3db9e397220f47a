//! The operator's form: one file in TOML, with paths relative to its folder.
use super::{Config, Endpoints, Fresh, Limits, Sink};
use crate::list::{Instance, List};
use nickelshed_config::sidecar::{Sidecar, MAX_FILE_BYTES};
use nickelshed_config::{compile, url, Finding};
use std::hash::{BuildHasher, Hasher};
use std::io::Read;
use std::path::Path;

/// # Errors
/// Everything that is wrong with the file, a line each.
fn load(path: &Path) -> Result<Sidecar, String> {
    let mut bytes = Vec::new();
    // No more of it than would be read: a path may lead anywhere.
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

fn list(sidecar: &Sidecar) -> List {
    let instance = |listed: compile::ListedEndpoint| Instance {
        name: listed.name,
        address: listed.address,
        zone: listed.zone,
        kind: listed.kind,
        dest: listed.dest,
        lifecycle: if listed.draining { "Terminating" } else { "Ready" }.to_string(),
        weight: listed.rate,
    };
    List::whole(compile::listed_endpoints(sidecar).into_iter().map(instance).collect())
}

/// What of the file takes effect while the sender runs: its endpoints, or where they are asked for.
pub(super) fn reread(path: &Path) -> Result<Fresh, String> {
    let sidecar = load(path)?;
    Ok(match sidecar.discovery {
        Some(discovery) => Fresh { discovery: Some(discovery.address), list: None },
        None => Fresh { discovery: None, list: Some(list(&sidecar)) },
    })
}

pub(super) fn read(path: &Path) -> Result<Config, String> {
    let sidecar = load(path)?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let (settings, around) = compile::settings(&sidecar);
    let state = folder.join(&sidecar.state);
    std::fs::create_dir_all(&state)
        .map_err(|e| format!("cannot make the state folder {}: {e}", state.display()))?;
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
    let digest = crc32fast::hash(format!("{settings:?}").as_bytes());
    let member = |m| {
        let (application, planned) = (&sidecar.application, settings.n_instances);
        crate::fleet::Fellowship::read(m, application, folder, seed, planned, digest)
    };
    let fleet = sidecar.fleet.as_ref().map(member).transpose()?;
    Ok(Config {
        fleet,
        application: Some(sidecar.application.clone()),
        listen: sidecar.listen,
        endpoints: sidecar.discovery.as_ref().map_or(Endpoints::Listed, |d| Endpoints::Discovery(d.address)),
        notices: http.into_iter().chain(file).collect(),
        state,
        seed,
        limits: Limits {
            memory_mb: sidecar.limits.memory.0 as f64 / 1e6,
            sockets: sidecar.limits.sockets as usize,
            disk_mb: sidecar.limits.disk.0 as f64 / 1e6,
        },
        durability: sidecar.journal.durability,
        known: list(&sidecar),
        settings,
        around,
    })
}

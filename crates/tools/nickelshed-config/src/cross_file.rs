//! Checks for conflicts between configuration files whose sidecars may run on the same machine. Takes a
//! single pass over the files.
use crate::check::allows;
use crate::code::Code;
use crate::finding::{FileId, Finding, Related, Span};
use crate::sidecar::Sidecar;
use crate::source::{PathStep, Source};
use std::collections::HashMap;
use std::hash::Hash;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

/// A file with the right syntax and types, and its paths as resolved on the checking machine: relative paths
/// start at its own folder, and links are followed as far as they exist.
pub struct ConfigFile<'a> {
    pub file: FileId,
    pub sidecar: &'a Sidecar,
    pub source: &'a Source,
    pub state: PathBuf,
    pub notices: Option<PathBuf>,
}

/// The first user of a resource for each key. A resource is a port, with IP addresses as keys, or a file or
/// name, with hosts as keys. A use without a key covers every key: an unspecified IP address, or a file that
/// names no host.
struct ResourceUsers<'a, K> {
    /// The first user that covers every key.
    every_key: Option<&'a ConfigFile<'a>>,
    /// The first user for any key.
    any_key: Option<&'a ConfigFile<'a>>,
    by_key: HashMap<K, &'a ConfigFile<'a>>,
}

impl<K> Default for ResourceUsers<'_, K> {
    fn default() -> Self {
        ResourceUsers { every_key: None, any_key: None, by_key: HashMap::new() }
    }
}

impl<'a, K: Hash + Eq> ResourceUsers<'a, K> {
    /// Returns the first user that conflicts with a use for this key; `None` stands for every key.
    fn conflicting_user(&self, key: Option<&K>) -> Option<&'a ConfigFile<'a>> {
        match key {
            None => self.any_key,
            Some(key) => self.every_key.or(self.by_key.get(key).copied()),
        }
    }

    /// Adds a use for this key, and returns the first earlier user that conflicts with it.
    fn register(&mut self, key: Option<K>, config: &'a ConfigFile<'a>) -> Option<&'a ConfigFile<'a>> {
        let previous = self.conflicting_user(key.as_ref());
        match key {
            None => _ = self.every_key.get_or_insert(config),
            Some(key) => _ = self.by_key.entry(key).or_insert(config),
        }
        self.any_key.get_or_insert(config);
        previous
    }
}

/// The users of a port, by host. A file that names no host may run on any of them.
#[derive(Default)]
struct PortUsers<'a> {
    without_host: ResourceUsers<'a, IpAddr>,
    any_host: ResourceUsers<'a, IpAddr>,
    by_host: HashMap<&'a str, ResourceUsers<'a, IpAddr>>,
}

impl<'a> PortUsers<'a> {
    /// Adds the listener of a file, and returns the first earlier file whose listener conflicts with it.
    fn register(&mut self, config: &'a ConfigFile<'a>) -> Option<&'a ConfigFile<'a>> {
        let ip = config.sidecar.listen.ip().to_canonical();
        let key = (!ip.is_unspecified()).then_some(ip);
        let previous_anywhere = self.any_host.register(key, config);
        match &config.sidecar.host {
            None => {
                self.without_host.register(key, config);
                previous_anywhere
            }
            Some(host) => {
                let previous_on_host = self.by_host.entry(host).or_default().register(key, config);
                previous_on_host.or(self.without_host.conflicting_user(key.as_ref()))
            }
        }
    }
}

/// The users, by host, of resources that only one sidecar of a host may use.
type ExclusiveResource<'a, K> = HashMap<K, ResourceUsers<'a, &'a str>>;

/// Reports conflicts between the files.
pub fn check<'a>(configs: &'a [ConfigFile<'a>]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut ports: HashMap<u16, PortUsers> = HashMap::new();
    let (mut state_folders, mut notice_files, mut applications): (
        ExclusiveResource<&Path>,
        ExclusiveResource<&Path>,
        ExclusiveResource<&str>,
    ) = Default::default();
    let mut fleet_addresses: ExclusiveResource<SocketAddr> = HashMap::new();
    let mut fleet_members: HashMap<(&str, &str), &ConfigFile> = HashMap::new();
    for config in configs {
        let sidecar = config.sidecar;
        let host = sidecar.host.as_deref();
        let mut report_conflict =
            |code: Code,
             previous: Option<&ConfigFile>,
             path: &[PathStep],
             message: &dyn Fn(&ConfigFile) -> String| {
                let Some(previous) =
                    previous.filter(|_| code.level() == crate::code::Level::Error || !allows(sidecar, code))
                else {
                    return;
                };
                let span: Span = config.source.span(path);
                let related = Related {
                    file: previous.file,
                    span: previous.source.span(path),
                    message: "first used here".into(),
                };
                findings.push(Finding {
                    code,
                    file: config.file,
                    span,
                    message: message(previous),
                    help: code.info().fix.into(),
                    related: vec![related],
                });
            };
        let application = &sidecar.application;
        let previous = ports.entry(sidecar.listen.port()).or_default().register(config);
        report_conflict(Code::PortConflict, previous, &["listen".into()], &|other| {
            let other_application = &other.sidecar.application;
            let (address, other_address) = (sidecar.listen, other.sidecar.listen);
            let host_text = host.map_or("one host".to_string(), |h| format!("host `{h}`"));
            format!(
                "applications `{other_application}` and `{application}` both use port {} on {host_text}: {other_address} and {address}",
                address.port()
            )
        });
        let previous = state_folders.entry(config.state.as_path()).or_default().register(host, config);
        report_conflict(Code::StateFolderConflict, previous, &["state".into()], &|other| {
            format!(
                "applications `{}` and `{application}` both use the state folder {}",
                other.sidecar.application,
                config.state.display()
            )
        });
        if let Some(file) = &config.notices {
            let previous = notice_files.entry(file.as_path()).or_default().register(host, config);
            report_conflict(
                Code::NoticeFileConflict,
                previous,
                &["notices".into(), "file".into()],
                &|other| {
                    format!(
                        "applications `{}` and `{application}` both write their notices to {}",
                        other.sidecar.application,
                        file.display()
                    )
                },
            );
        }
        if let Some(fleet) = &sidecar.fleet {
            let previous = fleet_addresses.entry(fleet.listen).or_default().register(host, config);
            report_conflict(
                Code::FleetAddressConflict,
                previous,
                &["fleet".into(), "listen".into()],
                &|other| {
                    let other_application = &other.sidecar.application;
                    format!(
                        "applications `{other_application}` and `{application}` both receive datagrams at {}",
                        fleet.listen
                    )
                },
            );
            // A member's name must be unique in the fleet, not only on its host.
            let name = fleet.member.as_deref().unwrap_or(application);
            let previous = fleet_members.get(&(fleet.name.as_str(), name)).copied();
            fleet_members.entry((&fleet.name, name)).or_insert(config);
            report_conflict(Code::DuplicateMember, previous, &["fleet".into(), "name".into()], &|_| {
                format!("there are two members named `{name}` in the fleet `{}`", fleet.name)
            });
        }
        let previous = applications.entry(application.as_str()).or_default().register(host, config);
        report_conflict(Code::DuplicateApplication, previous, &["application".into()], &|_| {
            format!("there are two sidecars of the application `{application}` on one host")
        });
    }
    findings
}

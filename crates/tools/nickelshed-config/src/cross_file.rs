//! Checks for conflicts between configuration files whose sidecars may run on the same machine. Takes a single pass over
//! the files.
use crate::check::allows;
use crate::code::Code;
use crate::finding::{FileId, Finding, Related, Span};
use crate::sidecar::Sidecar;
use crate::source::{PathStep, Source};
use std::collections::HashMap;
use std::hash::Hash;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

/// A file that was read without errors of form, with its paths as resolved on the checking machine: relative paths
/// start at its own folder, and links are followed as far as they exist.
pub struct ConfigFile<'a> {
    pub file: FileId,
    pub sidecar: &'a Sidecar,
    pub source: &'a Source,
    pub state: PathBuf,
    pub notices: Option<PathBuf>,
}

/// The first user of a resource for each key. A resource is a port, with IP addresses as keys, or a file or name, with
/// hosts as keys. A use without a key covers every key: an unspecified IP address, or a file that names no host.
struct Claims<'a, K> {
    /// The first user that covers every key.
    all: Option<&'a ConfigFile<'a>>,
    /// The first user for any key.
    any: Option<&'a ConfigFile<'a>>,
    at: HashMap<K, &'a ConfigFile<'a>>,
}

impl<K> Default for Claims<'_, K> {
    fn default() -> Self {
        Claims { all: None, any: None, at: HashMap::new() }
    }
}

impl<'a, K: Hash + Eq> Claims<'a, K> {
    /// Returns the first user that conflicts with a use for this key; `None` stands for every key.
    fn holder(&self, key: Option<&K>) -> Option<&'a ConfigFile<'a>> {
        match key {
            None => self.any,
            Some(key) => self.all.or(self.at.get(key).copied()),
        }
    }

    fn claim(&mut self, key: Option<K>, member: &'a ConfigFile<'a>) -> Option<&'a ConfigFile<'a>> {
        let before = self.holder(key.as_ref());
        match key {
            None => _ = self.all.get_or_insert(member),
            Some(key) => _ = self.at.entry(key).or_insert(member),
        }
        self.any.get_or_insert(member);
        before
    }
}

/// The users of a port, by host. A file that names no host may run on any of them.
#[derive(Default)]
struct Port<'a> {
    unnamed: Claims<'a, IpAddr>,
    any: Claims<'a, IpAddr>,
    hosts: HashMap<&'a str, Claims<'a, IpAddr>>,
}

impl<'a> Port<'a> {
    fn claim(&mut self, member: &'a ConfigFile<'a>) -> Option<&'a ConfigFile<'a>> {
        let ip = member.sidecar.listen.ip().to_canonical();
        let key = (!ip.is_unspecified()).then_some(ip);
        let everywhere = self.any.claim(key, member);
        match &member.sidecar.host {
            None => {
                self.unnamed.claim(key, member);
                everywhere
            }
            Some(host) => {
                let here = self.hosts.entry(host).or_default().claim(key, member);
                here.or(self.unnamed.holder(key.as_ref()))
            }
        }
    }
}

/// Resources that only one sidecar of a host may use.
type Owned<'a, K> = HashMap<K, Claims<'a, &'a str>>;

/// Reports conflicts between the files.
pub fn check<'a>(members: &'a [ConfigFile<'a>]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut ports: HashMap<u16, Port> = HashMap::new();
    let (mut folders, mut sinks, mut names): (Owned<&Path>, Owned<&Path>, Owned<&str>) = Default::default();
    let mut datagrams: Owned<SocketAddr> = HashMap::new();
    let mut fleets: HashMap<(&str, &str), &ConfigFile> = HashMap::new();
    for member in members {
        let s = member.sidecar;
        let host = s.host.as_deref();
        let mut clash = |code: Code,
                         before: Option<&ConfigFile>,
                         path: &[PathStep],
                         message: &dyn Fn(&ConfigFile) -> String| {
            let Some(before) =
                before.filter(|_| code.level() == crate::code::Level::Error || !allows(s, code))
            else {
                return;
            };
            let span: Span = member.source.span(path);
            let related = Related {
                file: before.file,
                span: before.source.span(path),
                message: "first used here".into(),
            };
            findings.push(Finding {
                code,
                file: member.file,
                span,
                message: message(before),
                help: code.info().fix.into(),
                related: vec![related],
            });
        };
        let app = &s.application;
        let before = ports.entry(s.listen.port()).or_default().claim(member);
        clash(Code::PortConflict, before, &["listen".into()], &|b| {
            let other = &b.sidecar.application;
            let (here, there) = (s.listen, b.sidecar.listen);
            let where_ = host.map_or("one host".to_string(), |h| format!("host `{h}`"));
            format!(
                "applications `{other}` and `{app}` both use port {} on {where_}: {there} and {here}",
                here.port()
            )
        });
        let before = folders.entry(member.state.as_path()).or_default().claim(host, member);
        clash(Code::StateFolderConflict, before, &["state".into()], &|b| {
            format!(
                "applications `{}` and `{app}` both use the state folder {}",
                b.sidecar.application,
                member.state.display()
            )
        });
        if let Some(file) = &member.notices {
            let before = sinks.entry(file.as_path()).or_default().claim(host, member);
            clash(Code::NoticeFileConflict, before, &["notices".into(), "file".into()], &|b| {
                format!(
                    "applications `{}` and `{app}` both write their notices to {}",
                    b.sidecar.application,
                    file.display()
                )
            });
        }
        if let Some(fleet) = &s.fleet {
            let before = datagrams.entry(fleet.listen).or_default().claim(host, member);
            clash(Code::FleetAddressConflict, before, &["fleet".into(), "listen".into()], &|b| {
                let other = &b.sidecar.application;
                format!("applications `{other}` and `{app}` both receive datagrams at {}", fleet.listen)
            });
            // A member's name must be unique in the fleet, not only on its host.
            let name = fleet.member.as_deref().unwrap_or(app);
            let before = fleets.get(&(fleet.name.as_str(), name)).copied();
            fleets.entry((&fleet.name, name)).or_insert(member);
            clash(Code::DuplicateMember, before, &["fleet".into(), "name".into()], &|_| {
                format!("there are two members named `{name}` in the fleet `{}`", fleet.name)
            });
        }
        let before = names.entry(app.as_str()).or_default().claim(host, member);
        clash(Code::DuplicateApplication, before, &["application".into()], &|_| {
            format!("there are two sidecars of the application `{app}` on one host")
        });
    }
    findings
}

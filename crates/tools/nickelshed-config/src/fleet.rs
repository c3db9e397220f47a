//! The fleet file: settings that the sidecars of one host have in common, and the applications that each get
//! a sidecar. Derives one sidecar configuration per application.
use crate::code::Code;
use crate::finding::Finding;
use crate::sidecar::*;
use crate::source::{closest_name, PathStep, Source};
use crate::units::Size;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// Settings that the sidecars of one host have in common, and the applications that each get a sidecar.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Name of the machine that the sidecars run on.
    #[serde(default)]
    pub host: Option<String>,
    /// IP address that the sidecars listen at.
    #[serde(default = "loopback")]
    pub listen_at: IpAddr,
    /// First and last port of the range that is assigned to applications without a `port`.
    pub ports: [u16; 2],
    /// Folder that contains the state folder of each sidecar, which is named after its application.
    pub state: PathBuf,
    /// Folder that contains the notice file of each sidecar, which is named after its application.
    #[serde(default)]
    pub notices: Option<PathBuf>,
    /// URL that all sidecars post notices to.
    #[serde(default)]
    pub notices_http: Option<String>,
    /// Whether every address must be a loopback address.
    #[serde(default)]
    pub loopback_only: bool,
    /// Number of sidecars that deliver to the same destinations; defaults to the number of applications.
    #[serde(default)]
    pub senders: Option<u32>,
    /// Codes of warnings that were reviewed and accepted.
    #[serde(default)]
    pub allow: Vec<String>,
    /// As in a sidecar's file, for all sidecars.
    #[serde(default)]
    pub limits: Limits,
    /// As in a sidecar's file.
    #[serde(default)]
    pub journal: Journal,
    /// As in a sidecar's file.
    #[serde(default)]
    pub discovery: Option<Discovery>,
    /// As in a sidecar's file.
    #[serde(default)]
    pub rules: Rules,
    /// As in a sidecar's file.
    #[serde(default)]
    pub connections: Connections,
    /// As in a sidecar's file.
    #[serde(default)]
    pub traffic: Traffic,
    /// As in a sidecar's file.
    #[serde(default)]
    pub prices: Prices,
    /// Classes that applications may use.
    #[serde(rename = "class", default)]
    pub classes: Vec<Class>,
    /// Tenants that applications may use.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Tenant>,
    /// As in a sidecar's file.
    #[serde(rename = "kind", default)]
    pub kinds: Vec<Kind>,
    /// As in a sidecar's file.
    #[serde(rename = "zone", default)]
    pub zones: Vec<Zone>,
    /// Destinations that applications may deliver to.
    #[serde(rename = "destination", default)]
    pub destinations: Vec<Destination>,
    /// The applications, each of which gets a sidecar.
    #[serde(rename = "application", default)]
    pub applications: Vec<Application>,
}

/// An application of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Application {
    /// Name of the application.
    pub name: String,
    /// Port of its sidecar; defaults to the first free port of `ports`.
    #[serde(default)]
    pub port: Option<u16>,
    /// Zone that its sidecar runs in.
    #[serde(default)]
    pub own_zone: Option<String>,
    /// Names of its classes; defaults to all classes.
    #[serde(default)]
    pub classes: Option<Vec<String>>,
    /// Names of its tenants; defaults to all tenants.
    #[serde(default)]
    pub tenants: Option<Vec<String>>,
    /// Names of its destinations; defaults to all destinations.
    #[serde(default)]
    pub destinations: Option<Vec<String>>,
    /// Limits that differ from those of the fleet.
    #[serde(default)]
    pub limits: LimitsOver,
}

/// Limits that differ from those of the fleet; an absent value is taken from the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsOver {
    pub memory: Option<Size>,
    pub sockets: Option<u32>,
    pub disk: Option<Size>,
    pub slots: Option<u32>,
    pub held: Option<u32>,
    pub attempts: Option<u32>,
    pub usual_body: Option<Size>,
}

impl LimitsOver {
    fn apply_to(&self, limits: &Limits) -> Limits {
        Limits {
            memory: self.memory.unwrap_or(limits.memory),
            sockets: self.sockets.unwrap_or(limits.sockets),
            disk: self.disk.unwrap_or(limits.disk),
            slots: self.slots.unwrap_or(limits.slots),
            held: self.held.unwrap_or(limits.held),
            attempts: self.attempts.unwrap_or(limits.attempts),
            usual_body: self.usual_body.unwrap_or(limits.usual_body),
        }
    }
}

fn loopback() -> IpAddr {
    IpAddr::V4(Ipv4Addr::LOCALHOST)
}

/// Derives the sidecar configuration of each application, in the order of the fleet file. A port is not
/// assigned if another application has it or if `is_free` returns false for it.
///
/// # Errors
/// Mistakes in the fleet file itself. The caller checks the resulting configurations like any others.
pub fn sidecars(
    fleet: &Fleet,
    source: &Source,
    is_free: impl Fn(u16) -> bool,
) -> Result<Vec<Sidecar>, Vec<Finding>> {
    let mut findings = Vec::new();
    let mut used_ports: HashSet<u16> = fleet.applications.iter().filter_map(|a| a.port).collect();
    let mut candidates = (fleet.ports[0]..=fleet.ports[1]).filter(|port| *port > 0);
    let mut configs = Vec::new();
    for (i, app) in fleet.applications.iter().enumerate() {
        let port = app.port.or_else(|| candidates.find(|port| !used_ports.contains(port) && is_free(*port)));
        let Some(port) = port else {
            let [first, last] = fleet.ports;
            let message = format!("no port from {first} to {last} is free for application `{}`", app.name);
            let span = source.span(&["ports".into()]);
            findings.push(Finding::new(Code::PortConflict, span, message, "Widen `ports`"));
            break;
        };
        used_ports.insert(port);
        let mut indices_of = |key: &'static str,
                              requested: &Option<Vec<String>>,
                              defined: Vec<&str>|
         -> Vec<usize> {
            let Some(requested) = requested else { return (0..defined.len()).collect() };
            let mut indices = Vec::new();
            for (j, name) in requested.iter().enumerate() {
                match defined.iter().position(|k| k == name) {
                    Some(index) => indices.push(index),
                    None => {
                        let span =
                            source.span(&[PathStep::Key("application"), i.into(), key.into(), j.into()]);
                        let message = format!(
                            "application `{}` lists `{name}` in `{key}`, which the fleet file does not define",
                            app.name
                        );
                        let suggestion = closest_name(name, defined.iter().copied());
                        let help = suggestion.map_or("Add it to the fleet file".into(), |known| {
                            format!("Did you mean `{known}`?")
                        });
                        findings.push(Finding::new(Code::UnknownName, span, message, help));
                    }
                }
            }
            indices
        };
        let classes =
            indices_of("classes", &app.classes, fleet.classes.iter().map(|c| c.name.as_str()).collect());
        let tenants =
            indices_of("tenants", &app.tenants, fleet.tenants.iter().map(|t| t.name.as_str()).collect());
        let destinations = indices_of(
            "destinations",
            &app.destinations,
            fleet.destinations.iter().map(|d| d.name.as_str()).collect(),
        );
        configs.push(Sidecar {
            application: app.name.clone(),
            host: fleet.host.clone(),
            listen: SocketAddr::new(fleet.listen_at, port),
            state: fleet.state.join(&app.name),
            loopback_only: fleet.loopback_only,
            senders: fleet.senders.unwrap_or(fleet.applications.len() as u32),
            own_zone: app.own_zone.clone(),
            allow: fleet.allow.clone(),
            limits: app.limits.apply_to(&fleet.limits),
            journal: fleet.journal,
            notices: Notices {
                http: fleet.notices_http.clone(),
                file: fleet.notices.as_ref().map(|folder| folder.join(format!("{}.jsonl", app.name))),
            },
            discovery: fleet.discovery.clone(),
            fleet: None,
            rules: fleet.rules.clone(),
            connections: fleet.connections.clone(),
            traffic: fleet.traffic.clone(),
            prices: fleet.prices.clone(),
            classes: classes.into_iter().map(|c| fleet.classes[c].clone()).collect(),
            tenants: tenants.into_iter().map(|t| fleet.tenants[t].clone()).collect(),
            kinds: fleet.kinds.clone(),
            zones: fleet.zones.clone(),
            destinations: destinations.into_iter().map(|d| fleet.destinations[d].clone()).collect(),
        });
    }
    if fleet.applications.is_empty() {
        let message = "there is no `[[application]]`, so no sidecar configuration can be written";
        findings.push(Finding::new(
            Code::MissingKey,
            0..0,
            message,
            "Add an `[[application]]` with its `name`",
        ));
    }
    if findings.is_empty() {
        Ok(configs)
    } else {
        Err(findings)
    }
}

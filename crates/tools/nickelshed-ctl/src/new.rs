//! Creates configurations: a single one from flags, or one for each application of a fleet file.
use crate::files::{self, CheckedFiles, FileContent};
use clap::Args;
use nickelshed_config::fleet::{self, Fleet};
use nickelshed_config::sidecar::*;
use nickelshed_config::units::Period;
use nickelshed_config::{source, write, Finding, Sidecar};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

/// Ports to choose from if `--listen` is not given.
const PORT_RANGE: std::ops::RangeInclusive<u16> = 7400..=7999;

#[derive(Args)]
pub struct New {
    /// Application to create a sidecar configuration for; with --fleet, only this application of the fleet
    #[arg(required_unless_present = "fleet")]
    application: Option<String>,
    /// Create the configurations of all applications in this fleet file
    #[arg(long, value_name = "FILE", conflicts_with_all = ["listen", "state", "class", "destination", "discovery", "notices_file", "notices_http", "loopback_only"])]
    fleet: Option<PathBuf>,
    /// Folder to write to; each file is named after its application
    #[arg(long, value_name = "FOLDER", default_value = ".")]
    out: PathBuf,
    /// Overwrite existing files
    #[arg(long)]
    force: bool,
    /// Omit the comments that describe each key
    #[arg(long)]
    bare: bool,
    /// IP address and port to listen on [default: a port of 127.0.0.1 that is free and not used by another
    /// file in the folder]
    #[arg(long, value_name = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// Folder for the journal of accepted messages [default: state/APPLICATION]
    #[arg(long, value_name = "FOLDER")]
    state: Option<PathBuf>,
    /// A class, NAME:WANTED:ABANDONED:EFFECT, for example alert:3s:16s:keyed; keyed classes may add :WINDOW,
    /// which is ABANDONED if omitted
    #[arg(long, value_name = "CLASS", value_parser = parse_class)]
    class: Vec<Class>,
    /// A destination, NAME:NUMBER=ADDRESS,ADDRESS, for example gmina-lipno:7=127.0.0.1:7501
    #[arg(long, value_name = "DESTINATION", value_parser = parse_destination)]
    destination: Vec<Destination>,
    /// Address of the discovery agent that lists the endpoints, instead of destinations
    #[arg(long, value_name = "ADDRESS")]
    discovery: Option<SocketAddr>,
    /// File for notices of messages that were not delivered [default: APPLICATION.notices.jsonl]
    #[arg(long, value_name = "FILE")]
    notices_file: Option<PathBuf>,
    /// URL that notices are posted to, in addition to the file if that is given
    #[arg(long, value_name = "URL")]
    notices_http: Option<String>,
    /// Allow only loopback addresses
    #[arg(long)]
    loopback_only: bool,
}

fn parse_class(text: &str) -> Result<Class, String> {
    let fields: Vec<&str> = text.split(':').collect();
    let [name, wanted_within, abandoned_text, effect, optional @ ..] = fields.as_slice() else {
        return Err("expected NAME:WANTED:ABANDONED:EFFECT, for example alert:3s:16s:keyed".into());
    };
    let effect = match *effect {
        "safe" => Effect::Safe,
        "keyed" => Effect::Keyed,
        "unsafe" => Effect::Unsafe,
        other => return Err(format!("effect `{other}` must be one of safe, keyed, unsafe")),
    };
    let abandoned_after: Period = abandoned_text.parse()?;
    let window = match optional {
        [] => (effect == Effect::Keyed).then_some(abandoned_after),
        [window] => Some(window.parse()?),
        _ => return Err("unexpected text after the window".into()),
    };
    Ok(Class {
        name: name.to_string(),
        wanted_within: wanted_within.parse()?,
        abandoned_after,
        effect,
        repeat_window: window,
        repeat_scope: Scope::default(),
        worth: 1.0,
        late_worth: Default::default(),
        wanted_stretch: 0.0,
        in_order: false,
    })
}

fn parse_destination(text: &str) -> Result<Destination, String> {
    let usage =
        || "expected NAME:NUMBER=ADDRESS,ADDRESS, for example gmina-lipno:7=127.0.0.1:7501".to_string();
    let (name_and_number, endpoints) = text.split_once('=').ok_or_else(usage)?;
    let (name, number) = name_and_number.split_once(':').ok_or_else(usage)?;
    let number = number.parse().map_err(|_| format!("`{number}` is not a number"))?;
    let address = |text: &str| {
        text.parse()
            .map(EndpointForm::Address)
            .map_err(|_| format!("`{text}` is not an IP address with a port"))
    };
    let endpoints = endpoints.split(',').map(address).collect::<Result<_, _>>()?;
    Ok(Destination { name: name.to_string(), number, kind: None, rate: None, endpoints })
}

fn is_free(ip: IpAddr, port: u16) -> bool {
    TcpListener::bind((ip, port)).is_ok()
}

/// Returns the listen ports of all valid configurations in a folder.
fn configured_ports(folder: &Path) -> Vec<u16> {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten().map(|f| f.path());
    let files = files.filter(|p| p.extension().is_some_and(|e| e == "toml"));
    let sidecar = |path: PathBuf| nickelshed_config::load(&files::read(&path).0.bytes).file;
    files.filter_map(sidecar).map(|(sidecar, _)| sidecar.listen.port()).collect()
}

impl New {
    fn sidecar_from_flags(&self, application: &str) -> Result<Sidecar, String> {
        if self.destination.is_empty() && self.discovery.is_none() {
            return Err("--destination or --discovery is required; see `nickelshed-ctl new --help`".into());
        }
        let loopback = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let listen = match self.listen {
            Some(listen) => listen,
            None => {
                let ports_in_use = configured_ports(&self.out);
                let mut ports = PORT_RANGE.filter(|p| !ports_in_use.contains(p) && is_free(loopback, *p));
                SocketAddr::new(
                    loopback,
                    ports.next().ok_or("no port from 7400 to 7999 is free; set --listen")?,
                )
            }
        };
        let default_classes = || parse_class("alert:3s:16s:keyed").into_iter().collect();
        let notices_file = self.notices_file.clone();
        let notices_file = notices_file
            .or_else(|| self.notices_http.is_none().then(|| format!("{application}.notices.jsonl").into()));
        Ok(Sidecar {
            application: application.to_string(),
            host: None,
            listen,
            state: self.state.clone().unwrap_or_else(|| Path::new("state").join(application)),
            loopback_only: self.loopback_only,
            senders: 1,
            own_zone: None,
            allow: Vec::new(),
            limits: Limits::default(),
            journal: Journal::default(),
            notices: Notices { http: self.notices_http.clone(), file: notices_file },
            discovery: self.discovery.map(|address| Discovery { address }),
            fleet: None,
            rules: Rules::default(),
            connections: Connections::default(),
            traffic: Traffic::default(),
            prices: Prices::default(),
            classes: if self.class.is_empty() { default_classes() } else { self.class.clone() },
            tenants: Vec::new(),
            kinds: Vec::new(),
            zones: Vec::new(),
            destinations: self.destination.clone(),
        })
    }

    /// Returns the sidecars of the fleet file, or only that of the named application. The inner `Err` holds
    /// the findings of an invalid file.
    ///
    /// # Errors
    /// If the fleet has no application of that name.
    fn sidecars_from_fleet_file(&self, path: &Path) -> Result<Result<Vec<Sidecar>, CheckedFiles>, String> {
        let failure = |content: FileContent, findings: Vec<Finding>| {
            let mut checked = CheckedFiles::default();
            (checked.contents, checked.findings) = (vec![content], findings);
            checked
        };
        let (content, error) = files::read(path);
        if let Some(finding) = error {
            return Ok(Err(failure(content, vec![finding])));
        }
        let parsed = match source::text(&content.bytes) {
            Ok(text) => source::read::<Fleet>(text),
            Err(finding) => return Ok(Err(failure(content, vec![*finding]))),
        };
        let (Some(fleet), Some(source), true) = (&parsed.value, &parsed.source, parsed.findings.is_empty())
        else {
            return Ok(Err(failure(content, parsed.findings)));
        };
        let sidecars = match fleet::sidecars(fleet, source, |port| is_free(fleet.listen_at, port)) {
            Ok(sidecars) => sidecars,
            Err(findings) => return Ok(Err(failure(content, findings))),
        };
        match &self.application {
            None => Ok(Ok(sidecars)),
            Some(name) => match sidecars.into_iter().find(|s| s.application == *name) {
                Some(sidecar) => Ok(Ok(vec![sidecar])),
                None => Err(format!("{} has no application `{name}`", path.display())),
            },
        }
    }

    /// Writes the files and returns their paths. Writes none of them if one would have errors, or if one
    /// exists and `--force` is not given. The inner `Err` holds the findings.
    ///
    /// # Errors
    /// If flags are missing, the fleet has no such application, a file exists and `--force` is not given, or
    /// a file cannot be written.
    pub fn run(&self) -> Result<Result<Vec<PathBuf>, CheckedFiles>, String> {
        let sidecars = match (&self.fleet, &self.application) {
            (Some(fleet), _) => match self.sidecars_from_fleet_file(fleet)? {
                Ok(sidecars) => sidecars,
                Err(checked) => return Ok(Err(checked)),
            },
            (None, Some(application)) => vec![self.sidecar_from_flags(application)?],
            (None, None) => return Err("an application name or --fleet is required".into()),
        };
        let mut checked = CheckedFiles::default();
        for sidecar in &sidecars {
            let bytes = write::to_toml(sidecar, !self.bare)?.into_bytes();
            checked.add(
                FileContent { path: self.out.join(format!("{}.toml", sidecar.application)), bytes },
                None,
            );
        }
        checked.check_conflicts();
        if checked.error_count() > 0 {
            return Ok(Err(checked));
        }
        if let Some(existing) = checked.contents.iter().find(|content| !self.force && content.path.exists()) {
            return Err(format!("{} already exists; use --force to overwrite it", existing.path.display()));
        }
        for content in &checked.contents {
            let result = files::write(&content.path, content.as_str(), self.force);
            result.map_err(|e| format!("cannot write {}: {e}", content.path.display()))?;
        }
        Ok(Ok(checked.contents.into_iter().map(|content| content.path).collect()))
    }
}

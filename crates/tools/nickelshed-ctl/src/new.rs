//! New configurations: one from flags, or those of a fleet's applications.
use crate::files::{self, Checked, Text};
use clap::Args;
use nickelshed_config::fleet::{self, Fleet};
use nickelshed_config::sidecar::*;
use nickelshed_config::units::Period;
use nickelshed_config::{source, write, Finding, Sidecar};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

/// Where a port is looked for unless it is given.
const PORTS: std::ops::RangeInclusive<u16> = 7400..=7999;

#[derive(Args)]
pub struct New {
    /// The application that gets a sidecar; with --fleet only this one of the fleet's
    #[arg(required_unless_present = "fleet")]
    application: Option<String>,
    /// Take everything from this file, for all its applications
    #[arg(long, value_name = "FILE", conflicts_with_all = ["listen", "state", "class", "destination", "discovery", "notices_file", "notices_http", "loopback_only"])]
    fleet: Option<PathBuf>,
    /// The folder that files are written to; each is named for its application
    #[arg(long, value_name = "FOLDER", default_value = ".")]
    out: PathBuf,
    /// Write over files that are there
    #[arg(long)]
    force: bool,
    /// Leave out what each key means
    #[arg(long)]
    bare: bool,
    /// IP address and port; else a port of 127.0.0.1 that is free and in no other file of the folder
    #[arg(long, value_name = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// The folder for what was taken on [default: state/APPLICATION]
    #[arg(long, value_name = "FOLDER")]
    state: Option<PathBuf>,
    /// A class: NAME:WANTED:ABANDONED:EFFECT, as in alert:3s:16s:keyed; keyed ones may add :WINDOW
    #[arg(long, value_name = "CLASS", value_parser = class)]
    class: Vec<Class>,
    /// A destination: NAME:NUMBER=ADDRESS,ADDRESS as in gmina-lipno:7=127.0.0.1:7501
    #[arg(long, value_name = "DESTINATION", value_parser = destination)]
    destination: Vec<Destination>,
    /// The agent that tells the endpoints, in place of destinations
    #[arg(long, value_name = "ADDRESS")]
    discovery: Option<SocketAddr>,
    /// The file that tells of messages that were not delivered [default: APPLICATION.notices.jsonl]
    #[arg(long, value_name = "FILE")]
    notices_file: Option<PathBuf>,
    /// Where it is posted, beside the file if that is given
    #[arg(long, value_name = "URL")]
    notices_http: Option<String>,
    /// All addresses must be loopback ones
    #[arg(long)]
    loopback_only: bool,
}

fn class(text: &str) -> Result<Class, String> {
    let parts: Vec<&str> = text.split(':').collect();
    let [name, wanted, abandoned, effect, rest @ ..] = parts.as_slice() else {
        return Err("write NAME:WANTED:ABANDONED:EFFECT, as in alert:3s:16s:keyed".into());
    };
    let effect = match *effect {
        "safe" => Effect::Safe,
        "keyed" => Effect::Keyed,
        "unsafe" => Effect::Unsafe,
        other => return Err(format!("`{other}` is none of safe, keyed, unsafe")),
    };
    let abandoned_after: Period = abandoned.parse()?;
    let window = match rest {
        [] => (effect == Effect::Keyed).then_some(abandoned_after),
        [window] => Some(window.parse()?),
        _ => return Err("there is more behind the window".into()),
    };
    Ok(Class {
        name: name.to_string(),
        wanted_within: wanted.parse()?,
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

fn destination(text: &str) -> Result<Destination, String> {
    let form = || "write NAME:NUMBER=ADDRESS,ADDRESS, as in gmina-lipno:7=127.0.0.1:7501".to_string();
    let (head, endpoints) = text.split_once('=').ok_or_else(form)?;
    let (name, number) = head.split_once(':').ok_or_else(form)?;
    let number = number.parse().map_err(|_| format!("`{number}` is no number"))?;
    let address = |a: &str| {
        a.parse().map(EndpointForm::Address).map_err(|_| format!("`{a}` is no IP address with a port"))
    };
    let endpoints = endpoints.split(',').map(address).collect::<Result<_, _>>()?;
    Ok(Destination { name: name.to_string(), number, kind: None, rate: None, endpoints })
}

fn is_free(ip: IpAddr, port: u16) -> bool {
    TcpListener::bind((ip, port)).is_ok()
}

/// Ports that other configurations in a folder claim.
fn claimed(folder: &Path) -> Vec<u16> {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten().map(|f| f.path());
    let files = files.filter(|p| p.extension().is_some_and(|e| e == "toml"));
    let sidecar = |path: PathBuf| nickelshed_config::load(&files::read(&path).0.bytes).file;
    files.filter_map(sidecar).map(|(sidecar, _)| sidecar.listen.port()).collect()
}

impl New {
    fn one(&self, application: &str) -> Result<Sidecar, String> {
        if self.destination.is_empty() && self.discovery.is_none() {
            return Err("give a --destination, or --discovery; see `nickelshed-ctl new --help`".into());
        }
        let local = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let listen = match self.listen {
            Some(listen) => listen,
            None => {
                let claimed = claimed(&self.out);
                let mut ports = PORTS.filter(|p| !claimed.contains(p) && is_free(local, *p));
                SocketAddr::new(
                    local,
                    ports.next().ok_or("no port from 7400 to 7999 is free; give --listen")?,
                )
            }
        };
        let usual = || class("alert:3s:16s:keyed").into_iter().collect();
        let file = self.notices_file.clone();
        let file = file
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
            notices: Notices { http: self.notices_http.clone(), file },
            discovery: self.discovery.map(|address| Discovery { address }),
            fleet: None,
            rules: Rules::default(),
            connections: Connections::default(),
            traffic: Traffic::default(),
            prices: Prices::default(),
            classes: if self.class.is_empty() { usual() } else { self.class.clone() },
            tenants: Vec::new(),
            kinds: Vec::new(),
            zones: Vec::new(),
            destinations: self.destination.clone(),
        })
    }

    fn several(&self, path: &Path) -> Result<Result<Vec<Sidecar>, Checked>, String> {
        let failed = |text: Text, findings: Vec<Finding>| {
            let mut checked = Checked::default();
            (checked.texts, checked.findings) = (vec![text], findings);
            checked
        };
        let (text, error) = files::read(path);
        if let Some(finding) = error {
            return Ok(Err(failed(text, vec![finding])));
        }
        let read = match source::text(&text.bytes) {
            Ok(words) => source::read::<Fleet>(words),
            Err(finding) => return Ok(Err(failed(text, vec![*finding]))),
        };
        let (Some(fleet), Some(place), true) = (&read.value, &read.source, read.findings.is_empty()) else {
            return Ok(Err(failed(text, read.findings)));
        };
        let made = match fleet::sidecars(fleet, place, |port| is_free(fleet.listen_at, port)) {
            Ok(made) => made,
            Err(findings) => return Ok(Err(failed(text, findings))),
        };
        match &self.application {
            None => Ok(Ok(made)),
            Some(name) => match made.into_iter().find(|s| s.application == *name) {
                Some(one) => Ok(Ok(vec![one])),
                None => Err(format!("{} has no application `{name}`", path.display())),
            },
        }
    }

    /// Writes the files, all of them or, if one would be wrong or is there, none. Their paths, or what is wrong.
    ///
    /// # Errors
    /// If the flags don't say enough, or a file can't be written.
    pub fn run(&self) -> Result<Result<Vec<PathBuf>, Checked>, String> {
        let made = match (&self.fleet, &self.application) {
            (Some(fleet), _) => match self.several(fleet)? {
                Ok(made) => made,
                Err(checked) => return Ok(Err(checked)),
            },
            (None, Some(application)) => vec![self.one(application)?],
            (None, None) => return Err("name an application, or give --fleet".into()),
        };
        let mut checked = Checked::default();
        for sidecar in &made {
            let bytes = write::to_toml(sidecar, !self.bare)?.into_bytes();
            checked.add(Text { path: self.out.join(format!("{}.toml", sidecar.application)), bytes }, None);
        }
        checked.together();
        if checked.errors() > 0 {
            return Ok(Err(checked));
        }
        if let Some(there) = checked.texts.iter().find(|t| !self.force && t.path.exists()) {
            return Err(format!("{} is there already; --force writes over it", there.path.display()));
        }
        for text in &checked.texts {
            let written = files::write(&text.path, text.str(), self.force);
            written.map_err(|e| format!("cannot write {}: {e}", text.path.display()))?;
        }
        Ok(Ok(checked.texts.into_iter().map(|t| t.path).collect()))
    }
}

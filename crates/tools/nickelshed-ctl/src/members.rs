//! Queries the members of a fleet for their membership view. The tool takes part as an observer, which no
//! member adds to its own view.
use nickelshed_config::Sidecar;
use nickelshed_fleet::{Authenticator, Observer, ReportedMember, State};
use serde_json::{json, Value};
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

/// If a member sends nothing for this time, it counts as unreachable, or its view as incomplete if a part has
/// been received.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two requests to one member. A large view takes several requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetHealth {
    /// All present members have the same view, without suspect or failed members.
    Healthy,
    NotConverged,
    /// No member answered.
    Unreachable,
}

/// The state of a fleet as reported by the first member that answered.
pub struct FleetReport {
    pub health: FleetHealth,
    /// Address of the member that answered; `None` if none did.
    pub queried: Option<SocketAddr>,
    pub members: Vec<ReportedMember>,
    /// Names of present members that have a different view or did not answer.
    pub differing: Vec<String>,
}

/// Returns the authenticator for the datagrams of the configured fleet. Without a key file the key is empty.
///
/// # Errors
/// If the file has no `[fleet]`, or its key file cannot be read.
fn authenticator(sidecar: &Sidecar, folder: &Path) -> Result<Authenticator, String> {
    let fleet =
        sidecar.fleet.as_ref().ok_or("the file has no [fleet], so its sidecar is not a member of a fleet")?;
    let key = match &fleet.key_file {
        None => Vec::new(),
        Some(file) => {
            let path = folder.join(file);
            std::fs::read(&path)
                .map_err(|e| format!("cannot read the key file of the fleet {}: {e}", path.display()))?
        }
    };
    Ok(Authenticator::new(&fleet.name, &key))
}

/// Requests the view of one member until it is complete or nothing more is received. If `full` is false,
/// returns as soon as the digest of the view is known. Returns `None` if no digest was received.
fn fetch_view(
    authenticator: &Authenticator,
    member_address: SocketAddr,
    full: bool,
) -> Result<Option<Observer>, String> {
    let unspecified = if member_address.is_ipv4() { IpAddr::from([0; 4]) } else { IpAddr::from([0u16; 8]) };
    let local_address = SocketAddr::new(unspecified, 0);
    let socket = UdpSocket::bind(local_address).map_err(|e| format!("cannot open a socket: {e}"))?;
    socket.set_read_timeout(Some(Duration::from_millis(50))).map_err(|e| e.to_string())?;
    let mut observer = Observer::new(authenticator.clone(), u64::from(std::process::id()));
    let (mut last_received_at, mut last_request_at) = (Instant::now(), None::<Instant>);
    let mut buffer = [0; nickelshed_fleet::MAX_DATAGRAM_BYTES + 1];
    while last_received_at.elapsed() < RECEIVE_TIMEOUT {
        if last_request_at.is_none_or(|sent_at| sent_at.elapsed() > REQUEST_INTERVAL) {
            last_request_at = Some(Instant::now());
            for bytes in observer.requests() {
                let _ = socket.send_to(&bytes, member_address);
            }
        }
        let Ok((length, _)) = socket.recv_from(&mut buffer) else { continue };
        let Ok(replies) = observer.receive(&buffer[..length]) else { continue };
        last_received_at = Instant::now();
        replies.iter().for_each(|bytes| _ = socket.send_to(bytes, member_address));
        if observer.is_complete() || !full && observer.view_digest().is_some() {
            return Ok(Some(observer));
        }
    }
    Ok(observer.view_digest().is_some().then_some(observer))
}

/// Reports the state of the fleet that a sidecar belongs to. Queries the member of the sidecar itself first,
/// then its seeds, until one answers; then compares the view digests of all present members. A
/// relative path of the key file is resolved against `folder`.
///
/// # Errors
/// If the configuration has no usable `[fleet]`, or no socket can be opened.
pub fn inspect_fleet(sidecar: &Sidecar, folder: &Path) -> Result<FleetReport, String> {
    let authenticator = authenticator(sidecar, folder)?;
    let fleet = sidecar.fleet.as_ref().ok_or("the file has no [fleet]")?;
    for &member_address in [fleet.listen].iter().chain(&fleet.seeds) {
        let Some(observer) = fetch_view(&authenticator, member_address, true)? else { continue };
        let members = observer.members();
        let mut differing = Vec::new();
        for member in members.iter().filter(|member| member.status.state.is_present()) {
            let their_digest =
                fetch_view(&authenticator, member.info.address, false)?.and_then(|o| o.view_digest());
            if their_digest != observer.view_digest() {
                differing.push(member.info.name.clone());
            }
        }
        let has_suspect_or_failed =
            members.iter().any(|member| matches!(member.status.state, State::Suspect | State::Failed));
        let is_converged = observer.is_complete() && differing.is_empty() && !has_suspect_or_failed;
        let health = if is_converged { FleetHealth::Healthy } else { FleetHealth::NotConverged };
        return Ok(FleetReport { health, queried: Some(member_address), members, differing });
    }
    Ok(FleetReport {
        health: FleetHealth::Unreachable,
        queried: None,
        members: Vec::new(),
        differing: Vec::new(),
    })
}

impl FleetReport {
    fn health_text(&self) -> &'static str {
        match self.health {
            FleetHealth::Healthy => "all well",
            FleetHealth::NotConverged => "not settled",
            FleetHealth::Unreachable => "not reachable",
        }
    }

    #[must_use]
    pub fn text(&self) -> String {
        let mut out = match self.queried {
            Some(at) => format!("asked {at}: {}\n", self.health_text()),
            None => format!("{}: no member answered\n", self.health_text()),
        };
        for member in &self.members {
            let [major, minor, patch] = member.info.version;
            out += &format!(
                "  {:<32}  {:<8}  for {:>5} s  {:<21}  {:<16}  {major}.{minor}.{patch}  settings {:08x}  start {}\n",
                member.info.name,
                member.status.state.as_str(),
                member.seconds_in_state,
                member.info.address.to_string(),
                member.info.site,
                member.info.settings,
                member.status.incarnation.start_number
            );
        }
        if !self.differing.is_empty() {
            out += &format!("  have a different view, or did not answer: {}\n", self.differing.join(", "));
        }
        out
    }

    #[must_use]
    pub fn json(&self) -> Value {
        let member_json = |m: &ReportedMember| {
            json!({"name": m.info.name, "state": m.status.state.as_str(), "seconds": m.seconds_in_state,
                "address": m.info.address.to_string(), "site": m.info.site, "version": m.info.version,
                "settings": format!("{:08x}", m.info.settings), "start": m.status.incarnation.start_number})
        };
        json!({"stand": self.health_text(), "asked": self.queried.map(|a| a.to_string()),
            "differ": self.differing, "members": self.members.iter().map(member_json).collect::<Vec<_>>()})
    }

    /// Returns the exit code of `fleet members` and `fleet watch`.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self.health {
            FleetHealth::Healthy => 0,
            FleetHealth::NotConverged => 1,
            FleetHealth::Unreachable => 3,
        }
    }
}

//! Who is in a fleet, as its members see it: asked as an observer that counts nowhere.
use nickelshed_config::Sidecar;
use nickelshed_fleet::{Authenticator, Observer, ReportedMember, State};
use serde_json::{json, Value};
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

/// A member that says nothing for so long is not reached.
const PATIENCE: Duration = Duration::from_secs(2);
/// From one ask of a member to the next; a large view is told in several.
const AGAIN: Duration = Duration::from_millis(250);

/// How a fleet stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stand {
    /// All that are present hold the same view, and nobody in it is suspect or gone.
    Well,
    NotSettled,
    /// No member answers.
    NotReachable,
}

/// What was found out.
pub struct Look {
    pub stand: Stand,
    pub asked: Option<SocketAddr>,
    pub members: Vec<ReportedMember>,
    /// Present members that hold another view, or did not answer.
    pub differ: Vec<String>,
}

/// Reads the key, and makes the seal of the file's fleet.
///
/// # Errors
/// If the file has no `[fleet]`, or its key can't be read.
fn seal(sidecar: &Sidecar, folder: &Path) -> Result<Authenticator, String> {
    let fleet =
        sidecar.fleet.as_ref().ok_or("the file has no [fleet], so its sidecar is no member of one")?;
    let key = match &fleet.key_file {
        None => Vec::new(),
        Some(file) => {
            let path = folder.join(file);
            std::fs::read(&path)
                .map_err(|e| format!("cannot read the fleet's key {}: {e}", path.display()))?
        }
    };
    Ok(Authenticator::new(&fleet.name, &key))
}

/// Asks one member for its view until all of it is told, or nothing more comes.
fn view(seal: &Authenticator, at: SocketAddr, whole: bool) -> Result<Option<Observer>, String> {
    let any = if at.is_ipv4() { IpAddr::from([0; 4]) } else { IpAddr::from([0u16; 8]) };
    let local = SocketAddr::new(any, 0);
    let socket = UdpSocket::bind(local).map_err(|e| format!("cannot open a socket: {e}"))?;
    socket.set_read_timeout(Some(Duration::from_millis(50))).map_err(|e| e.to_string())?;
    let mut observer = Observer::new(seal.clone(), u64::from(std::process::id()));
    let (mut heard, mut asked) = (Instant::now(), None::<Instant>);
    let mut buffer = [0; nickelshed_fleet::MAX_DATAGRAM_BYTES + 1];
    while heard.elapsed() < PATIENCE {
        if asked.is_none_or(|a| a.elapsed() > AGAIN) {
            asked = Some(Instant::now());
            for bytes in observer.requests() {
                let _ = socket.send_to(&bytes, at);
            }
        }
        let Ok((length, _)) = socket.recv_from(&mut buffer) else { continue };
        let Ok(back) = observer.receive(&buffer[..length]) else { continue };
        heard = Instant::now();
        back.iter().for_each(|bytes| _ = socket.send_to(bytes, at));
        if observer.is_complete() || !whole && observer.view_digest().is_some() {
            return Ok(Some(observer));
        }
    }
    Ok(observer.view_digest().is_some().then_some(observer))
}

/// Looks at the fleet of a sidecar's file: its own member first, then the seeds.
///
/// # Errors
/// What keeps it from looking at all.
pub fn look(sidecar: &Sidecar, folder: &Path) -> Result<Look, String> {
    let seal = seal(sidecar, folder)?;
    let fleet = sidecar.fleet.as_ref().ok_or("the file has no [fleet]")?;
    for &at in [fleet.listen].iter().chain(&fleet.seeds) {
        let Some(observer) = view(&seal, at, true)? else { continue };
        let members = observer.members();
        let mut differ = Vec::new();
        for member in members.iter().filter(|m| m.status.state.is_present()) {
            let theirs = view(&seal, member.info.address, false)?.and_then(|o| o.view_digest());
            if theirs != observer.view_digest() {
                differ.push(member.info.name.clone());
            }
        }
        let doubted = members.iter().any(|m| matches!(m.status.state, State::Suspect | State::Failed));
        let settled = observer.is_complete() && differ.is_empty() && !doubted;
        let stand = if settled { Stand::Well } else { Stand::NotSettled };
        return Ok(Look { stand, asked: Some(at), members, differ });
    }
    Ok(Look { stand: Stand::NotReachable, asked: None, members: Vec::new(), differ: Vec::new() })
}

impl Look {
    fn words(&self) -> &'static str {
        match self.stand {
            Stand::Well => "all well",
            Stand::NotSettled => "not settled",
            Stand::NotReachable => "not reachable",
        }
    }

    #[must_use]
    pub fn text(&self) -> String {
        let mut out = match self.asked {
            Some(at) => format!("asked {at}: {}\n", self.words()),
            None => format!("{}: no member answered\n", self.words()),
        };
        for m in &self.members {
            let [major, minor, patch] = m.info.version;
            out += &format!(
                "  {:<32}  {:<8}  for {:>5} s  {:<21}  {:<16}  {major}.{minor}.{patch}  settings {:08x}  start {}\n",
                m.info.name,
                m.status.state.as_str(),
                m.seconds_in_state,
                m.info.address.to_string(),
                m.info.site,
                m.info.settings,
                m.status.incarnation.start_number
            );
        }
        if !self.differ.is_empty() {
            out += &format!("  hold another view, or did not answer: {}\n", self.differ.join(", "));
        }
        out
    }

    #[must_use]
    pub fn json(&self) -> Value {
        let member = |m: &ReportedMember| {
            json!({"name": m.info.name, "state": m.status.state.as_str(), "seconds": m.seconds_in_state,
                "address": m.info.address.to_string(), "site": m.info.site, "version": m.info.version,
                "settings": format!("{:08x}", m.info.settings), "start": m.status.incarnation.start_number})
        };
        json!({"stand": self.words(), "asked": self.asked.map(|a| a.to_string()), "differ": self.differ,
            "members": self.members.iter().map(member).collect::<Vec<_>>()})
    }

    /// What the process ends with.
    #[must_use]
    pub fn code(&self) -> u8 {
        match self.stand {
            Stand::Well => 0,
            Stand::NotSettled => 1,
            Stand::NotReachable => 3,
        }
    }
}

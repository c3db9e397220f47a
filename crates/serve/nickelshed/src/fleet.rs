//! The fleet member of this process: connects the membership state machine to its socket, its clock and its
//! state file, and tells the core how many senders share each limit.
mod peer_addresses;

use crate::inbox::Input;
use nickelshed_config::sidecar::Membership;
use nickelshed_fleet::quota::LimitQuota;
use nickelshed_fleet::{
    Authenticator, Config, Fleet, Input as FleetInput, MemberInfo, Ns, Output, MAX_DATAGRAM_BYTES,
};
use nickelshed_host::{DatagramSocket, Host};
use peer_addresses::PeerAddresses;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, sleep_until, Instant};

/// Maximum bytes per second that a member sends.
const MAX_SEND_BYTES_PER_S: u32 = 8_192;
/// How often the limit quota is updated if the membership view does not change.
const QUOTA_UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Bounds of the delay after a failed attempt to bind the member's socket, which doubles each time.
const MIN_BIND_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_BIND_RETRY_DELAY: Duration = Duration::from_secs(5);
/// The file in the state folder that holds the last start number.
pub const START_FILE: &str = "fleet-start";

/// The lowest headroom of a limit that endpoints reported since the last call of `take`.
#[derive(Default)]
pub struct Headroom(Cell<Option<f64>>);

impl Headroom {
    /// Records the fraction of a limit that remains, as an answer reports it.
    pub fn record(&self, left: f64) {
        if left.is_finite() {
            self.0.set(Some(self.0.get().map_or(left, |lowest| lowest.min(left))));
        }
    }

    fn take(&self) -> Option<f64> {
        self.0.take()
    }
}

/// What a member needs to know of its fleet.
pub struct FleetConfig {
    member_info: MemberInfo,
    seeds: Vec<SocketAddr>,
    listen: SocketAddr,
    peer_addresses: PeerAddresses,
    authenticator: Authenticator,
    seed: u64,
    /// The number of senders in the settings.
    configured_senders: usize,
}

/// Returns the start number that follows the persisted one. An unreadable file counts as no earlier start;
/// members that remember a later start number report it.
pub fn next_start(persisted: Option<Vec<u8>>) -> u32 {
    let text = persisted.and_then(|bytes| String::from_utf8(bytes).ok());
    text.and_then(|t| t.trim().parse::<u32>().ok()).unwrap_or(0).saturating_add(1)
}

/// The version of this build: major, minor and patch number.
fn version() -> [u16; 3] {
    let mut parts = env!("CARGO_PKG_VERSION").split('.').map(|p| p.parse().unwrap_or(0));
    std::array::from_fn(|_| parts.next().unwrap_or(0))
}

impl FleetConfig {
    /// # Errors
    /// Returns an error if the key file cannot be read. Without its key the member could communicate with
    /// no other member, or with any process.
    pub fn from_sidecar(
        membership: &Membership,
        application: &str,
        folder: &Path,
        seed: u64,
        configured_senders: usize,
        settings_digest: u32,
    ) -> Result<FleetConfig, String> {
        let key = match &membership.key_file {
            None => Vec::new(),
            Some(file) => {
                let path = folder.join(file);
                std::fs::read(&path)
                    .map_err(|e| format!("cannot read the fleet's key {}: {e}", path.display()))?
            }
        };
        Ok(FleetConfig {
            member_info: MemberInfo {
                name: membership.member.clone().unwrap_or_else(|| application.to_string()),
                address: membership.advertised_address(),
                site: membership.site.clone(),
                version: version(),
                settings: settings_digest,
            },
            seeds: membership.seeds.clone(),
            listen: membership.listen,
            peer_addresses: PeerAddresses::Direct,
            authenticator: Authenticator::new(&membership.name, &key),
            seed,
            configured_senders,
        })
    }

    /// Builds the configuration of a member on the platform. The number at the end of a sender's name is its
    /// index in the list of peers. Returns None if that list cannot describe this sender's fleet: it has no
    /// other member, or no entry at this sender's index.
    pub fn from_platform(
        name: &str,
        site: &str,
        peers: PlatformPeers,
        seed: u64,
        configured_senders: usize,
        settings_digest: u32,
    ) -> Option<FleetConfig> {
        let digits = name.trim_start_matches(|c: char| !c.is_ascii_digit());
        let index: usize = digits.parse().ok()?;
        if index >= peers.addresses.len() || peers.addresses.len() < 2 {
            return None;
        }
        let other_indices = (0..peers.addresses.len()).filter(|n| *n != index);
        Some(FleetConfig {
            member_info: MemberInfo {
                name: name.to_string(),
                address: PeerAddresses::placeholder(index)?,
                site: site.to_string(),
                version: version(),
                settings: settings_digest,
            },
            seeds: other_indices.filter_map(PeerAddresses::placeholder).collect(),
            listen: peers.listen,
            peer_addresses: PeerAddresses::Mapped(peers.addresses),
            // No other process can reach that socket, so the authentication only has to detect corrupted
            // datagrams.
            authenticator: Authenticator::new("platform", &[]),
            seed,
            configured_senders,
        })
    }
}

/// Where the other senders receive datagrams, and where this one does, as the platform sets it.
#[derive(Clone, Debug)]
pub struct PlatformPeers {
    pub addresses: Vec<SocketAddr>,
    pub listen: SocketAddr,
}

struct FleetMember<D> {
    socket: D,
    peer_addresses: PeerAddresses,
    fleet: Fleet,
    quota: LimitQuota,
    core: mpsc::Sender<Input>,
    headroom: Rc<Headroom>,
    started_at: Instant,
    sender_count: usize,
}

/// Binds the member's socket. Its address may be in use, or the machine short of resources, for a while only.
async fn bind_until_successful<H: Host>(host: &H, listen: SocketAddr) -> H::DatagramSocket {
    let mut retry_delay = MIN_BIND_RETRY_DELAY;
    loop {
        match host.bind_datagrams(listen).await {
            Ok(socket) => return socket,
            Err(error) if retry_delay == MIN_BIND_RETRY_DELAY => {
                tracing::error!(%listen, %error, "cannot take the fleet's datagrams yet; running alone until then");
            }
            Err(error) => tracing::debug!(%listen, %error, "cannot take the fleet's datagrams yet"),
        }
        sleep(retry_delay).await;
        retry_delay = (retry_delay * 2).min(MAX_BIND_RETRY_DELAY);
    }
}

/// Runs the member until the sender of `end` is dropped, then announces that it leaves. `start` counts the
/// process runs of this member.
pub async fn run<H: Host>(
    host: H,
    fleet_config: FleetConfig,
    start: u32,
    core: mpsc::Sender<Input>,
    headroom: Rc<Headroom>,
    mut end: oneshot::Receiver<()>,
) {
    // Without the fleet the sender uses its share by the settings, so it can deliver meanwhile.
    let socket = tokio::select! {
        biased;
        _ = &mut end => return,
        socket = bind_until_successful(&host, fleet_config.listen) => socket,
    };
    // The start number is handed to the core before any other member learns of it. If the process is killed
    // before the core has persisted it, the next process run uses the same number, and members that have seen
    // it already report that.
    if core.send(Input::StartNumber(start)).await.is_err() {
        return;
    }
    let member = fleet_config.member_info.name.clone();
    tracing::info!(member, start, listen = %fleet_config.listen, "a member of the fleet");
    let config = Config {
        info: fleet_config.member_info,
        start_number: start,
        seeds: fleet_config.seeds,
        authenticator: fleet_config.authenticator,
        max_bytes_per_s: MAX_SEND_BYTES_PER_S,
        random_seed: fleet_config.seed,
    };
    let mut fleet_member = FleetMember {
        socket,
        fleet: Fleet::new(config, 0),
        quota: if matches!(fleet_config.peer_addresses, PeerAddresses::Mapped(_)) {
            LimitQuota::fixed(fleet_config.configured_senders, 0)
        } else {
            LimitQuota::new(fleet_config.configured_senders, 0)
        },
        peer_addresses: fleet_config.peer_addresses,
        core,
        headroom,
        started_at: Instant::now(),
        sender_count: fleet_config.configured_senders,
    };
    fleet_member.update_quota();
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    let mut next_quota_update = Instant::now() + QUOTA_UPDATE_INTERVAL;
    loop {
        let wake = fleet_member.to_instant(fleet_member.fleet.wake_at()).min(next_quota_update);
        let received = tokio::select! {
            biased;
            _ = &mut end => {
                fleet_member.handle_input(FleetInput::Leave);
                return;
            }
            // Timers first: after a stall, the process must notice it before it reads the datagrams that
            // arrived meanwhile.
            () = sleep_until(wake) => None,
            received = fleet_member.socket.receive(&mut buffer) => {
                let Ok((length, from)) = received else { continue };
                // Datagrams from addresses outside the fleet are dropped unread.
                let Some(from) = fleet_member.peer_addresses.member_at(from) else { continue };
                Some((length, from))
            }
        };
        match received {
            Some((length, from)) => {
                fleet_member.handle_input(FleetInput::Datagram { from, bytes: &buffer[..length] })
            }
            None => fleet_member.handle_input(FleetInput::Timer),
        }
        if Instant::now() >= next_quota_update {
            next_quota_update = Instant::now() + QUOTA_UPDATE_INTERVAL;
            fleet_member.update_quota();
        }
    }
}

impl<D: DatagramSocket> FleetMember<D> {
    fn now(&self) -> Ns {
        self.started_at.elapsed().as_nanos() as Ns
    }

    fn to_instant(&self, at: Ns) -> Instant {
        // A member that has stopped taking part in the fleet has no next timer; its quota is still updated
        // once a second.
        self.started_at + Duration::from_nanos(at.clamp(0, self.now() + 1_000_000_000) as u64)
    }

    fn handle_input(&mut self, input: FleetInput<'_>) {
        let mut outputs = Vec::new();
        self.fleet.handle(self.now(), input, &mut outputs);
        let mut view_changed = false;
        for output in outputs {
            match output {
                Output::Send { to, bytes } => {
                    if let Some(to) = self.peer_addresses.address_of(to) {
                        self.socket.send(&bytes, to);
                    }
                }
                Output::Persist { start_number: start } => {
                    // If the core's queue is full, the number is not persisted; the next process run learns
                    // it from the other members again.
                    let _ = self.core.try_send(Input::StartNumber(start));
                }
                Output::Changed { name, change, .. } => {
                    let change = format!("{change:?}").to_lowercase();
                    tracing::info!(
                        member = name,
                        change,
                        present = self.fleet.present_count(),
                        "the view of the fleet has changed"
                    );
                    view_changed = true;
                }
                Output::NameConflict { by } => {
                    tracing::error!(
                        start = by.start_number,
                        "another process has this member's name; this one stops taking part in the fleet"
                    );
                    view_changed = true;
                }
                Output::Stalled { duration: time } => {
                    tracing::warn!(
                        ms = time / 1_000_000,
                        "stood still; its membership view is outdated, its limit share reduced for now"
                    );
                    view_changed = true;
                }
            }
        }
        if view_changed {
            self.update_quota();
        }
    }

    /// Updates the limit quota, and tells the core the sender count by which limits are divided if it has
    /// changed.
    fn update_quota(&mut self) {
        let now = self.now();
        if let Some(left) = self.headroom.take() {
            self.quota.record_headroom(now, left);
        }
        let summary = self.fleet.membership_summary();
        self.quota.update(now, &summary);
        // Rounded up, so that the share is never larger than the quota allows; 1e-9 absorbs floating-point
        // errors.
        let senders = (self.quota.sender_count() - 1e-9).ceil().max(1.0) as usize;
        // Not awaited: a member that waits for the core would answer other members late. The next update
        // tries again.
        if senders != self.sender_count && self.core.try_send(Input::SenderCount(senders)).is_ok() {
            self.sender_count = senders;
            tracing::info!(senders, present = self.fleet.present_count(), "each limit is shared among");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_start_number_is_higher_and_a_corrupted_file_counts_as_none() {
        let persisted = |text: &[u8]| next_start(Some(text.to_vec()));
        assert_eq!((next_start(None), persisted(b"1\n"), persisted(b"41")), (1, 2, 42));
        assert_eq!((persisted(b"4\0x"), persisted(b"\xff"), persisted(b"4294967295")), (1, 1, u32::MAX));
    }
}

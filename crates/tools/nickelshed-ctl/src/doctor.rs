//! What only the host can tell of a configuration: ports, folders, disk, descriptors, and who answers.
use nickelshed_config::{url, Code, Finding, Sidecar, Source};
use rustix::process::{getrlimit, Resource};
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::time::Duration;

/// How long an address has to take a connection.
const PATIENCE: Duration = Duration::from_secs(1);
/// Addresses that are tried at once.
const AT_ONCE: usize = 32;

fn finding(code: Code, source: &Source, path: &[&str], what: String) -> Finding {
    let steps: Vec<_> = path.iter().map(|p| (*p).into()).collect();
    Finding::new(code, source.span(&steps), what, code.info().fix)
}

/// Everything on this host that stands in the way of a sidecar. `folder` is where its file lies.
pub fn examine(sidecar: &Sidecar, source: &Source, folder: &Path) -> Vec<Finding> {
    let mut found = Vec::new();
    if let Err(error) = TcpListener::bind(sidecar.listen) {
        let what = format!("cannot listen at {}: {error}", sidecar.listen);
        found.push(finding(Code::ListenAddressInUse, source, &["listen"], what));
    }
    let state = folder.join(&sidecar.state);
    if let Err(error) = try_folder(&state) {
        let what = format!("the state folder {} can't be written: {error}", state.display());
        found.push(finding(Code::FolderUnwritable, source, &["state"], what));
    }
    if let Some(file) = &sidecar.notices.file {
        let path = folder.join(file);
        if let Err(error) = try_file(&path) {
            let what = format!("the notices' file {} can't be written: {error}", path.display());
            found.push(finding(Code::FolderUnwritable, source, &["notices", "file"], what));
        }
    }
    let files = fs::read_dir(&state).into_iter().flatten().flatten();
    let room = Room {
        disk: free_disk(&state),
        held: files.filter_map(|f| Some(f.metadata().ok()?.len())).sum(),
        descriptors: getrlimit(Resource::Nofile).current,
        memory: free_memory(),
    };
    found.extend(short(sidecar, source, &room));
    found.extend(unreachable(sidecar, source));
    found
}

/// What a host has, where that can be told.
struct Room {
    /// Bytes free where the state folder lies.
    disk: Option<u64>,
    /// Bytes that the folder's files take already.
    held: u64,
    /// Descriptors that a process may hold.
    descriptors: Option<u64>,
    /// Bytes of memory.
    memory: Option<u64>,
}

/// What a sidecar may use and the host has not.
fn short(sidecar: &Sidecar, source: &Source, room: &Room) -> Vec<Finding> {
    let mut found = Vec::new();
    let wanted = sidecar.limits.disk.0.saturating_sub(room.held);
    if let Some(free) = room.disk.filter(|free| *free < wanted) {
        let what = format!("the journal may take {wanted} bytes more, and {free} are free there");
        found.push(finding(Code::LowDiskSpace, source, &["limits", "disk"], what));
    }
    let sockets = sidecar.limits.sockets;
    if let Some(limit) = room.descriptors.filter(|limit| *limit < u64::from(sockets)) {
        let what = format!("a process may hold {limit} descriptors here, and {sockets} are configured");
        found.push(finding(Code::LowDescriptorLimit, source, &["limits", "sockets"], what));
    }
    if let Some(free) = room.memory.filter(|free| *free < sidecar.limits.memory.0) {
        let what =
            format!("{free} bytes of memory are free, and the sidecar may use {}", sidecar.limits.memory);
        found.push(finding(Code::LowMemory, source, &["limits", "memory"], what));
    }
    found
}

/// The folder, or the nearest one above it that is there, takes a file.
fn try_folder(folder: &Path) -> io::Result<()> {
    let there = folder.ancestors().find(|f| f.exists()).unwrap_or(Path::new("."));
    let there = if there.as_os_str().is_empty() { Path::new(".") } else { there };
    let probe = there.join(format!(".nickelshed-doctor.{}", std::process::id()));
    fs::OpenOptions::new().write(true).create_new(true).open(&probe)?;
    fs::remove_file(probe)
}

fn try_file(path: &Path) -> io::Result<()> {
    if path.exists() {
        fs::OpenOptions::new().append(true).open(path).map(|_| ())
    } else {
        // It is not made by the sidecar, so it must be there.
        let folder = path.parent().filter(|f| !f.as_os_str().is_empty()).unwrap_or(Path::new("."));
        fs::metadata(folder)?;
        try_folder(folder)
    }
}

fn free_disk(folder: &Path) -> Option<u64> {
    let there = folder.ancestors().find(|f| f.exists())?;
    let there = if there.as_os_str().is_empty() { Path::new(".") } else { there };
    let disk = rustix::fs::statvfs(there).ok()?;
    Some(disk.f_bavail.saturating_mul(disk.f_frsize))
}

fn free_memory() -> Option<u64> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix("MemAvailable:"))?;
    line.split_whitespace().next()?.parse::<u64>().ok()?.checked_mul(1024)
}

fn unreachable(sidecar: &Sidecar, source: &Source) -> Vec<Finding> {
    let mut places: Vec<(String, SocketAddr, Vec<nickelshed_config::source::PathStep>)> = Vec::new();
    for (i, destination) in sidecar.destinations.iter().enumerate() {
        for (n, endpoint) in destination.endpoints.iter().enumerate() {
            let what = format!("the endpoint of {}", destination.name);
            let path = vec!["destination".into(), i.into(), "endpoints".into(), n.into()];
            places.push((what, endpoint.endpoint().address, path));
        }
    }
    if let Some(discovery) = &sidecar.discovery {
        places.push(("discovery".into(), discovery.address, vec!["discovery".into(), "address".into()]));
    }
    if let Some(Ok(url)) = sidecar.notices.http.as_deref().map(url::parse) {
        places.push(("the receiver of notices".into(), url.address, vec!["notices".into(), "http".into()]));
    }
    let mut found = Vec::new();
    for some in places.chunks(AT_ONCE) {
        let tried: Vec<_> = std::thread::scope(|scope| {
            let dial = |at: SocketAddr| scope.spawn(move || TcpStream::connect_timeout(&at, PATIENCE).err());
            let dials: Vec<_> = some.iter().map(|(_, at, _)| dial(*at)).collect();
            dials.into_iter().map(|d| d.join().unwrap_or(None)).collect()
        });
        for ((what, at, path), error) in some.iter().zip(tried) {
            let Some(error) = error else { continue };
            let what = format!("{what} takes no connection at {at}: {error}");
            found.push(Finding::new(
                Code::ConnectionFailed,
                source.span(path),
                what,
                Code::ConnectionFailed.info().fix,
            ));
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The example wants 3 MB of disk, 256 descriptors and 64 MB of memory.
    #[test]
    fn a_host_is_short_of_a_thing_by_one_and_not_by_none() {
        let example = include_bytes!("../../../../deploy/sidecar.toml");
        let (sidecar, source) = nickelshed_config::load(example).file.unwrap();
        let codes = |disk, held, descriptors, memory| {
            let room = Room { disk: Some(disk), held, descriptors: Some(descriptors), memory: Some(memory) };
            short(&sidecar, &source, &room).iter().map(|f| f.code).collect::<Vec<_>>()
        };
        assert_eq!(codes(2_000_000, 1_000_000, 256, 64_000_000), []);
        assert_eq!(codes(1_999_999, 1_000_000, 256, 64_000_000), [Code::LowDiskSpace]);
        assert_eq!(codes(2_000_000, 1_000_000, 255, 64_000_000), [Code::LowDescriptorLimit]);
        assert_eq!(codes(2_000_000, 1_000_000, 256, 63_999_999), [Code::LowMemory]);
        let unknown = Room { disk: None, held: 0, descriptors: None, memory: None };
        assert_eq!(short(&sidecar, &source, &unknown), []);
    }
}

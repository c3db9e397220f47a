//! Checks a configuration against the host: ports, folders, disk space, descriptors, memory, and whether the
//! configured addresses accept connections.
use nickelshed_config::{url, Code, Finding, Sidecar, Source};
use rustix::process::{getrlimit, Resource};
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::time::Duration;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_CONCURRENT_CONNECTS: usize = 32;

fn finding(code: Code, source: &Source, path: &[&str], message: String) -> Finding {
    let steps: Vec<_> = path.iter().map(|p| (*p).into()).collect();
    Finding::new(code, source.span(&steps), message, code.info().fix)
}

/// Returns a finding for each condition of this host that would prevent the sidecar from starting or working.
/// Resolves relative paths of the configuration against `folder`, the folder of its file.
pub fn examine(sidecar: &Sidecar, source: &Source, folder: &Path) -> Vec<Finding> {
    let mut findings = Vec::new();
    if let Err(error) = TcpListener::bind(sidecar.listen) {
        let message = format!("cannot listen at {}: {error}", sidecar.listen);
        findings.push(finding(Code::ListenAddressInUse, source, &["listen"], message));
    }
    let state_folder = folder.join(&sidecar.state);
    if let Err(error) = check_folder_writable(&state_folder) {
        let message = format!("the state folder {} is not writable: {error}", state_folder.display());
        findings.push(finding(Code::FolderUnwritable, source, &["state"], message));
    }
    if let Some(file) = &sidecar.notices.file {
        let path = folder.join(file);
        if let Err(error) = check_file_writable(&path) {
            let message = format!("the notices file {} is not writable: {error}", path.display());
            findings.push(finding(Code::FolderUnwritable, source, &["notices", "file"], message));
        }
    }
    let files = fs::read_dir(&state_folder).into_iter().flatten().flatten();
    let capacity = HostCapacity {
        free_disk_bytes: free_disk_bytes(&state_folder),
        state_folder_bytes: files.filter_map(|f| Some(f.metadata().ok()?.len())).sum(),
        max_descriptors: getrlimit(Resource::Nofile).current,
        available_memory_bytes: available_memory_bytes(),
    };
    findings.extend(capacity_findings(sidecar, source, &capacity));
    findings.extend(connection_findings(sidecar, source));
    findings
}

/// Resources of a host. `None` if the amount is unknown or unlimited.
struct HostCapacity {
    /// Free space of the file system with the state folder.
    free_disk_bytes: Option<u64>,
    /// Size of the files already in the state folder, which count towards the configured limit.
    state_folder_bytes: u64,
    /// Soft limit of open descriptors for a process.
    max_descriptors: Option<u64>,
    available_memory_bytes: Option<u64>,
}

/// Returns a finding for each resource of which the sidecar may use more than the host has.
fn capacity_findings(sidecar: &Sidecar, source: &Source, capacity: &HostCapacity) -> Vec<Finding> {
    let mut findings = Vec::new();
    let additional_bytes = sidecar.limits.disk.0.saturating_sub(capacity.state_folder_bytes);
    if let Some(free) = capacity.free_disk_bytes.filter(|free| *free < additional_bytes) {
        let message = format!(
            "the journal may use {additional_bytes} more bytes, but only {free} are free on its disk"
        );
        findings.push(finding(Code::LowDiskSpace, source, &["limits", "disk"], message));
    }
    let sockets = sidecar.limits.sockets;
    if let Some(limit) = capacity.max_descriptors.filter(|limit| *limit < u64::from(sockets)) {
        let message =
            format!("a process may open {limit} descriptors on this host, but `limits.sockets` is {sockets}");
        findings.push(finding(Code::LowDescriptorLimit, source, &["limits", "sockets"], message));
    }
    if let Some(free) = capacity.available_memory_bytes.filter(|free| *free < sidecar.limits.memory.0) {
        let message = format!(
            "only {free} bytes of memory are available, but the sidecar may use {}",
            sidecar.limits.memory
        );
        findings.push(finding(Code::LowMemory, source, &["limits", "memory"], message));
    }
    findings
}

/// Creates and removes a test file in the folder or, if the folder does not exist, in its nearest existing
/// ancestor. The folder itself is not created.
fn check_folder_writable(folder: &Path) -> io::Result<()> {
    let existing = folder.ancestors().find(|f| f.exists()).unwrap_or(Path::new("."));
    let existing = if existing.as_os_str().is_empty() { Path::new(".") } else { existing };
    let test_file = existing.join(format!(".nickelshed-doctor.{}", std::process::id()));
    fs::OpenOptions::new().write(true).create_new(true).open(&test_file)?;
    fs::remove_file(test_file)
}

/// Opens the file for appending or, if it does not exist, checks that it could be created.
fn check_file_writable(path: &Path) -> io::Result<()> {
    if path.exists() {
        fs::OpenOptions::new().append(true).open(path).map(|_| ())
    } else {
        // The sidecar does not create the folder of the notices file, so the folder must exist.
        let folder = path.parent().filter(|f| !f.as_os_str().is_empty()).unwrap_or(Path::new("."));
        fs::metadata(folder)?;
        check_folder_writable(folder)
    }
}

fn free_disk_bytes(folder: &Path) -> Option<u64> {
    let existing = folder.ancestors().find(|f| f.exists())?;
    let existing = if existing.as_os_str().is_empty() { Path::new(".") } else { existing };
    let file_system = rustix::fs::statvfs(existing).ok()?;
    Some(file_system.f_bavail.saturating_mul(file_system.f_frsize))
}

fn available_memory_bytes() -> Option<u64> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix("MemAvailable:"))?;
    line.split_whitespace().next()?.parse::<u64>().ok()?.checked_mul(1024)
}

fn connection_findings(sidecar: &Sidecar, source: &Source) -> Vec<Finding> {
    let mut targets: Vec<(String, SocketAddr, Vec<nickelshed_config::source::PathStep>)> = Vec::new();
    for (i, destination) in sidecar.destinations.iter().enumerate() {
        for (n, endpoint) in destination.endpoints.iter().enumerate() {
            let target_name = format!("the endpoint of {}", destination.name);
            let path = vec!["destination".into(), i.into(), "endpoints".into(), n.into()];
            targets.push((target_name, endpoint.endpoint().address, path));
        }
    }
    if let Some(discovery) = &sidecar.discovery {
        targets.push(("discovery".into(), discovery.address, vec!["discovery".into(), "address".into()]));
    }
    if let Some(Ok(url)) = sidecar.notices.http.as_deref().map(url::parse) {
        targets.push(("the notice receiver".into(), url.address, vec!["notices".into(), "http".into()]));
    }
    let mut findings = Vec::new();
    for chunk in targets.chunks(MAX_CONCURRENT_CONNECTS) {
        let errors: Vec<_> = std::thread::scope(|scope| {
            let connect = |address: SocketAddr| {
                scope.spawn(move || TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).err())
            };
            let threads: Vec<_> = chunk.iter().map(|(_, address, _)| connect(*address)).collect();
            threads.into_iter().map(|thread| thread.join().unwrap_or(None)).collect()
        });
        for ((target_name, address, path), error) in chunk.iter().zip(errors) {
            let Some(error) = error else { continue };
            let message = format!("cannot connect to {target_name} at {address}: {error}");
            findings.push(Finding::new(
                Code::ConnectionFailed,
                source.span(path),
                message,
                Code::ConnectionFailed.info().fix,
            ));
        }
    }
    findings
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The example file configures 3 MB of disk, 256 sockets and 64 MB of memory.
    #[test]
    fn a_resource_is_reported_if_the_host_has_one_unit_too_little_and_not_if_it_has_enough() {
        let example = include_bytes!("../../../../deploy/sidecar.toml");
        let (sidecar, source) = nickelshed_config::load(example).file.unwrap();
        let codes = |free_disk_bytes, state_folder_bytes, max_descriptors, available_memory_bytes| {
            let capacity = HostCapacity {
                free_disk_bytes: Some(free_disk_bytes),
                state_folder_bytes,
                max_descriptors: Some(max_descriptors),
                available_memory_bytes: Some(available_memory_bytes),
            };
            capacity_findings(&sidecar, &source, &capacity).iter().map(|f| f.code).collect::<Vec<_>>()
        };
        assert_eq!(codes(2_000_000, 1_000_000, 256, 64_000_000), []);
        assert_eq!(codes(1_999_999, 1_000_000, 256, 64_000_000), [Code::LowDiskSpace]);
        assert_eq!(codes(2_000_000, 1_000_000, 255, 64_000_000), [Code::LowDescriptorLimit]);
        assert_eq!(codes(2_000_000, 1_000_000, 256, 63_999_999), [Code::LowMemory]);
        let unknown = HostCapacity {
            free_disk_bytes: None,
            state_folder_bytes: 0,
            max_descriptors: None,
            available_memory_bytes: None,
        };
        assert_eq!(capacity_findings(&sidecar, &source, &unknown), []);
    }
}

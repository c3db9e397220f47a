//! A relay on each link between processes: every member is reached at a front of the relay's, so each ordered pair can be
//! cut, thinned and counted. Faults are set by the test beside the load.
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

#[derive(Default)]
struct Faults {
    cut_links: BTreeSet<(usize, usize)>,
    /// Of a hundred datagrams so many are lost, by their number.
    lost_percent: u64,
    duplicate: bool,
}

struct Shared {
    sockets: Vec<UdpSocket>,
    /// Where the members themselves are.
    members: Vec<SocketAddr>,
    faults: Mutex<Faults>,
    relayed: AtomicU64,
    is_stopping: AtomicBool,
}

/// Ends its threads when it is dropped.
pub struct Relay {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Relay {
    /// Fronts for so many members, on ports that the kernel gives; the members get free ports of their own.
    ///
    /// # Errors
    /// If no port is to be had.
    pub fn new(members: usize) -> io::Result<Relay> {
        let bind = || UdpSocket::bind("127.0.0.1:0");
        let sockets = (0..members).map(|_| bind()).collect::<io::Result<Vec<_>>>()?;
        let reserved = (0..members).map(|_| bind()).collect::<io::Result<Vec<_>>>()?;
        let members = reserved.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
        drop(reserved);
        for socket in &sockets {
            socket.set_read_timeout(Some(Duration::from_millis(50)))?;
        }
        let (faults, relayed, is_stopping) = (Mutex::default(), AtomicU64::new(0), AtomicBool::new(false));
        let shared = Arc::new(Shared { sockets, members, faults, relayed, is_stopping });
        let thread = |receiver: usize| {
            let shared = shared.clone();
            std::thread::spawn(move || shared.relay_datagrams(receiver))
        };
        let threads = (0..shared.sockets.len()).map(thread).collect();
        Ok(Relay { shared, threads })
    }

    /// Where a member listens itself.
    #[must_use]
    pub fn member_address(&self, number: usize) -> SocketAddr {
        self.shared.members[number]
    }

    /// Where the others reach it.
    ///
    /// # Panics
    /// If the machine has lost the socket.
    #[must_use]
    pub fn relay_address(&self, number: usize) -> SocketAddr {
        self.shared.sockets[number].local_addr().expect("a bound socket has an address")
    }

    fn with_faults(&self, apply: impl FnOnce(&mut Faults)) {
        apply(&mut self.shared.faults.lock().expect("no holder panics"));
    }

    /// What one of the first sends one of the second is lost, and the other way round unless `one_way`.
    pub fn cut(&self, senders: &[usize], receivers: &[usize], one_way: bool) {
        self.with_faults(|faults| {
            for &sender in senders {
                for &receiver in receivers.iter().filter(|receiver| **receiver != sender) {
                    faults.cut_links.insert((sender, receiver));
                    if !one_way {
                        faults.cut_links.insert((receiver, sender));
                    }
                }
            }
        });
    }

    pub fn heal(&self) {
        self.with_faults(|faults| faults.cut_links.clear());
    }

    /// Of a hundred datagrams so many are lost, and all others come twice if so.
    pub fn impair(&self, lost_percent: u64, duplicate: bool) {
        self.with_faults(|faults| (faults.lost_percent, faults.duplicate) = (lost_percent, duplicate));
    }

    /// Datagrams that were carried so far.
    #[must_use]
    pub fn relayed_count(&self) -> u64 {
        self.shared.relayed.load(Ordering::Relaxed)
    }
}

impl Shared {
    /// Carries what comes for one member, under the front of whoever sent it.
    fn relay_datagrams(&self, receiver: usize) {
        let mut buffer = [0; 2_048];
        while !self.is_stopping.load(Ordering::Relaxed) {
            let Ok((length, source)) = self.sockets[receiver].recv_from(&mut buffer) else { continue };
            let Some(sender) = self.members.iter().position(|member_address| *member_address == source)
            else {
                self.relay_from_outside(receiver, source, &buffer[..length]);
                continue;
            };
            let (is_cut, copies) = {
                let faults = self.faults.lock().expect("no holder panics");
                let sequence = self.relayed.load(Ordering::Relaxed).wrapping_mul(61);
                let is_lost = sequence % 100 < faults.lost_percent;
                (faults.cut_links.contains(&(sender, receiver)) || is_lost, 1 + usize::from(faults.duplicate))
            };
            self.relayed.fetch_add(1, Ordering::Relaxed);
            for _ in 0..if is_cut { 0 } else { copies } {
                let _ = self.sockets[sender].send_to(&buffer[..length], self.members[receiver]);
            }
        }
    }
}

impl Shared {
    /// One that is no member asks: the answer goes back under the front that it asked.
    fn relay_from_outside(&self, receiver: usize, source: SocketAddr, bytes: &[u8]) {
        let (Ok(relay_socket), Ok(socket)) =
            (self.sockets[receiver].try_clone(), UdpSocket::bind("127.0.0.1:0"))
        else {
            return;
        };
        let (member, bytes) = (self.members[receiver], bytes.to_vec());
        std::thread::spawn(move || {
            let _ = socket.set_read_timeout(Some(Duration::from_millis(500)));
            let _ = socket.send_to(&bytes, member);
            let mut buffer = [0; 2_048];
            // An answer has some datagrams at most, and the thread ends with the last.
            while let Ok((length, _)) = socket.recv_from(&mut buffer) {
                let _ = relay_socket.send_to(&buffer[..length], source);
            }
        });
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

//! A UDP relay on each link between processes. Each member is reached at a socket of the relay, so that
//! datagrams of each ordered pair can be dropped, duplicated and counted. Tests set the faults while load is
//! running.
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
    /// Percentage of datagrams to drop, picked by their sequence number.
    lost_percent: u64,
    duplicate: bool,
}

struct Shared {
    /// Sockets of the relay, one for each member.
    sockets: Vec<UdpSocket>,
    /// Addresses at which the members themselves listen.
    member_addresses: Vec<SocketAddr>,
    faults: Mutex<Faults>,
    received: AtomicU64,
    is_stopping: AtomicBool,
}

/// Stops its threads when it is dropped.
pub struct Relay {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Relay {
    /// Opens a socket for each member, on ports that the kernel picks. The members themselves are to listen at
    /// `member_addresses`, which nothing else may use meanwhile.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub fn new(member_addresses: Vec<SocketAddr>) -> io::Result<Relay> {
        let bind = |_: &SocketAddr| UdpSocket::bind("127.0.0.1:0");
        let sockets = member_addresses.iter().map(bind).collect::<io::Result<Vec<_>>>()?;
        for socket in &sockets {
            socket.set_read_timeout(Some(Duration::from_millis(50)))?;
        }
        let (faults, received, is_stopping) = (Mutex::default(), AtomicU64::new(0), AtomicBool::new(false));
        let shared = Arc::new(Shared { sockets, member_addresses, faults, received, is_stopping });
        let thread = |receiver: usize| {
            let shared = shared.clone();
            std::thread::spawn(move || shared.relay_datagrams(receiver))
        };
        let threads = (0..shared.sockets.len()).map(thread).collect();
        Ok(Relay { shared, threads })
    }

    /// Address at which a member itself listens.
    #[must_use]
    pub fn member_address(&self, number: usize) -> SocketAddr {
        self.shared.member_addresses[number]
    }

    /// Address at which other members reach a member.
    ///
    /// # Panics
    /// Panics if the socket has no address.
    #[must_use]
    pub fn relay_address(&self, number: usize) -> SocketAddr {
        self.shared.sockets[number].local_addr().expect("a bound socket has an address")
    }

    fn with_faults(&self, apply: impl FnOnce(&mut Faults)) {
        apply(&mut self.shared.faults.lock().expect("no thread panics while it holds the lock"));
    }

    /// Drops what `senders` send to `receivers`, and the other direction too unless `one_way`.
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

    /// Ends all cuts.
    pub fn heal(&self) {
        self.with_faults(|faults| faults.cut_links.clear());
    }

    /// Drops this percentage of datagrams, and sends all others twice if `duplicate`.
    pub fn impair(&self, lost_percent: u64, duplicate: bool) {
        self.with_faults(|faults| (faults.lost_percent, faults.duplicate) = (lost_percent, duplicate));
    }

    /// Number of datagrams that members have sent so far, dropped ones included.
    #[must_use]
    pub fn received_count(&self) -> u64 {
        self.shared.received.load(Ordering::Relaxed)
    }
}

impl Shared {
    /// Relays the datagrams for one member, each through the relay socket of its sender, so that the receiver
    /// sees the address at which it reaches the sender.
    fn relay_datagrams(&self, receiver: usize) {
        let mut buffer = [0; 2_048];
        while !self.is_stopping.load(Ordering::Relaxed) {
            let Ok((length, source)) = self.sockets[receiver].recv_from(&mut buffer) else { continue };
            let Some(sender) =
                self.member_addresses.iter().position(|member_address| *member_address == source)
            else {
                self.relay_from_outside(receiver, source, &buffer[..length]);
                continue;
            };
            let (is_dropped, copies) = {
                let faults = self.faults.lock().expect("no thread panics while it holds the lock");
                let sequence = self.received.load(Ordering::Relaxed).wrapping_mul(61);
                let is_lost = sequence % 100 < faults.lost_percent;
                (faults.cut_links.contains(&(sender, receiver)) || is_lost, 1 + usize::from(faults.duplicate))
            };
            self.received.fetch_add(1, Ordering::Relaxed);
            for _ in 0..if is_dropped { 0 } else { copies } {
                let _ = self.sockets[sender].send_to(&buffer[..length], self.member_addresses[receiver]);
            }
        }
    }
}

impl Shared {
    /// Relays a request from outside the fleet. The answer goes back from the relay socket that received the
    /// request.
    fn relay_from_outside(&self, receiver: usize, source: SocketAddr, bytes: &[u8]) {
        let (Ok(relay_socket), Ok(socket)) =
            (self.sockets[receiver].try_clone(), UdpSocket::bind("127.0.0.1:0"))
        else {
            return;
        };
        let (member, bytes) = (self.member_addresses[receiver], bytes.to_vec());
        std::thread::spawn(move || {
            let _ = socket.set_read_timeout(Some(Duration::from_millis(500)));
            let _ = socket.send_to(&bytes, member);
            let mut buffer = [0; 2_048];
            // An answer is a few datagrams at most; the thread ends 500 ms after the last one.
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

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
    cut: BTreeSet<(usize, usize)>,
    /// Of a hundred datagrams so many are lost, by their number.
    lost: u64,
    twice: bool,
}

struct Shared {
    fronts: Vec<UdpSocket>,
    /// Where the members themselves are.
    members: Vec<SocketAddr>,
    faults: Mutex<Faults>,
    passed: AtomicU64,
    ends: AtomicBool,
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
        let fronts = (0..members).map(|_| bind()).collect::<io::Result<Vec<_>>>()?;
        let held = (0..members).map(|_| bind()).collect::<io::Result<Vec<_>>>()?;
        let members = held.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
        drop(held);
        for front in &fronts {
            front.set_read_timeout(Some(Duration::from_millis(50)))?;
        }
        let (faults, passed, ends) = (Mutex::default(), AtomicU64::new(0), AtomicBool::new(false));
        let shared = Arc::new(Shared { fronts, members, faults, passed, ends });
        let thread = |to: usize| {
            let shared = shared.clone();
            std::thread::spawn(move || shared.carry(to))
        };
        let threads = (0..shared.fronts.len()).map(thread).collect();
        Ok(Relay { shared, threads })
    }

    /// Where a member listens itself.
    #[must_use]
    pub fn member(&self, number: usize) -> SocketAddr {
        self.shared.members[number]
    }

    /// Where the others reach it.
    ///
    /// # Panics
    /// If the machine has lost the socket.
    #[must_use]
    pub fn front(&self, number: usize) -> SocketAddr {
        self.shared.fronts[number].local_addr().expect("a bound socket has an address")
    }

    fn change(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.lock().expect("no holder panics"));
    }

    /// What one of the first sends one of the second is lost, and the other way round unless `one_way`.
    pub fn cut(&self, from: &[usize], to: &[usize], one_way: bool) {
        self.change(|f| {
            for &a in from {
                for &b in to.iter().filter(|b| **b != a) {
                    f.cut.insert((a, b));
                    if !one_way {
                        f.cut.insert((b, a));
                    }
                }
            }
        });
    }

    pub fn heal(&self) {
        self.change(|f| f.cut.clear());
    }

    /// Of a hundred datagrams so many are lost, and all others come twice if so.
    pub fn spoil(&self, lost: u64, twice: bool) {
        self.change(|f| (f.lost, f.twice) = (lost, twice));
    }

    /// Datagrams that were carried so far.
    #[must_use]
    pub fn passed(&self) -> u64 {
        self.shared.passed.load(Ordering::Relaxed)
    }
}

impl Shared {
    /// Carries what comes for one member, under the front of whoever sent it.
    fn carry(&self, to: usize) {
        let mut buffer = [0; 2_048];
        while !self.ends.load(Ordering::Relaxed) {
            let Ok((length, source)) = self.fronts[to].recv_from(&mut buffer) else { continue };
            let Some(from) = self.members.iter().position(|m| *m == source) else {
                self.carry_stranger(to, source, &buffer[..length]);
                continue;
            };
            let (cut, copies) = {
                let faults = self.faults.lock().expect("no holder panics");
                let number = self.passed.load(Ordering::Relaxed).wrapping_mul(61);
                let lost = number % 100 < faults.lost;
                (faults.cut.contains(&(from, to)) || lost, 1 + usize::from(faults.twice))
            };
            self.passed.fetch_add(1, Ordering::Relaxed);
            for _ in 0..if cut { 0 } else { copies } {
                let _ = self.fronts[from].send_to(&buffer[..length], self.members[to]);
            }
        }
    }
}

impl Shared {
    /// One that is no member asks: the answer goes back under the front that it asked.
    fn carry_stranger(&self, to: usize, source: SocketAddr, bytes: &[u8]) {
        let (Ok(front), Ok(own)) = (self.fronts[to].try_clone(), UdpSocket::bind("127.0.0.1:0")) else {
            return;
        };
        let (member, bytes) = (self.members[to], bytes.to_vec());
        std::thread::spawn(move || {
            let _ = own.set_read_timeout(Some(Duration::from_millis(500)));
            let _ = own.send_to(&bytes, member);
            let mut buffer = [0; 2_048];
            // An answer has some datagrams at most, and the thread ends with the last.
            while let Ok((length, _)) = own.recv_from(&mut buffer) {
                let _ = front.send_to(&buffer[..length], source);
            }
        });
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.ends.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

//! The front towards the other members of the fleet: its socket, its clock and its file, around the machine that keeps the
//! view. What the view says of parts goes to the core as a number of senders.
mod book;

use crate::inbox::Input;
use book::Book;
use nickelshed_config::sidecar::Membership;
use nickelshed_fleet::parts::Parts;
use nickelshed_fleet::{Config, Facts, Fleet, Input as Told, Ns, Output, Seal, MOST};
use nickelshed_host::{DatagramSocket, Host};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, Instant};

/// Bytes a second that a member may send.
const RATE: u32 = 8_192;
/// How often parts are looked at without a change in the view.
const LOOK: Duration = Duration::from_secs(1);
/// The file in the state folder that holds the last start.
pub const START: &str = "fleet-start";

/// How much answers left of a limit, the least of late.
#[derive(Default)]
pub struct Room(Cell<Option<f64>>);

impl Room {
    pub fn told(&self, left: f64) {
        if left.is_finite() {
            self.0.set(Some(self.0.get().map_or(left, |least| least.min(left))));
        }
    }

    fn take(&self) -> Option<f64> {
        self.0.take()
    }
}

/// What a member is told of its fleet.
pub struct Fellowship {
    facts: Facts,
    seeds: Vec<SocketAddr>,
    listen: SocketAddr,
    book: Book,
    seal: Seal,
    seed: u64,
    /// How many senders the settings name.
    planned: usize,
}

/// The start after the one that was kept. One that can't be read counts as none: others that remember a later one say so.
pub fn start_after(kept: Option<Vec<u8>>) -> u32 {
    let text = kept.and_then(|bytes| String::from_utf8(bytes).ok());
    text.and_then(|t| t.trim().parse::<u32>().ok()).unwrap_or(0).saturating_add(1)
}

fn version() -> [u16; 3] {
    let mut parts = env!("CARGO_PKG_VERSION").split('.').map(|p| p.parse().unwrap_or(0));
    std::array::from_fn(|_| parts.next().unwrap_or(0))
}

impl Fellowship {
    /// # Errors
    /// If the key can't be read: without it the member would talk to nobody, or to whoever comes.
    pub fn read(
        membership: &Membership,
        application: &str,
        folder: &Path,
        seed: u64,
        planned: usize,
        settings: u32,
    ) -> Result<Fellowship, String> {
        let key = match &membership.key_file {
            None => Vec::new(),
            Some(file) => {
                let path = folder.join(file);
                std::fs::read(&path)
                    .map_err(|e| format!("cannot read the fleet's key {}: {e}", path.display()))?
            }
        };
        Ok(Fellowship {
            facts: Facts {
                name: membership.member.clone().unwrap_or_else(|| application.to_string()),
                address: membership.advertised_address(),
                site: membership.site.clone(),
                version: version(),
                settings,
            },
            seeds: membership.seeds.clone(),
            listen: membership.listen,
            book: Book::Plain,
            seal: Seal::new(&membership.name, &key),
            seed,
            planned,
        })
    }

    /// A member by what the platform tells it; None where its list can't be one of this sender's fleet: it has nobody but
    /// this one, or no place for it. Places go by the number at the end of a sender's name.
    pub fn on_platform(
        name: &str,
        site: &str,
        notes: Notes,
        seed: u64,
        planned: usize,
        settings: u32,
    ) -> Option<Fellowship> {
        let digits = name.trim_start_matches(|c: char| !c.is_ascii_digit());
        let number: usize = digits.parse().ok()?;
        if number >= notes.peers.len() || notes.peers.len() < 2 {
            return None;
        }
        let places = (0..notes.peers.len()).filter(|n| *n != number);
        Some(Fellowship {
            facts: Facts {
                name: name.to_string(),
                address: Book::place(number)?,
                site: site.to_string(),
                version: version(),
                settings,
            },
            seeds: places.filter_map(Book::place).collect(),
            listen: notes.listen,
            book: Book::Led(notes.peers),
            // Nobody else can reach that socket; the check is against what is spoilt.
            seal: Seal::new("platform", &[]),
            seed,
            planned,
        })
    }
}

/// Where notes between senders go and come in, as the platform tells a sender.
#[derive(Clone, Debug)]
pub struct Notes {
    pub peers: Vec<SocketAddr>,
    pub listen: SocketAddr,
}

struct Front<D> {
    socket: D,
    book: Book,
    fleet: Fleet,
    parts: Parts,
    core: mpsc::Sender<Input>,
    room: Rc<Room>,
    began: Instant,
    senders: usize,
}

/// Is a member until `end` comes, and then says that it leaves. `start` counts the processes of this member.
pub async fn run<H: Host>(
    host: H,
    told: Fellowship,
    start: u32,
    core: mpsc::Sender<Input>,
    room: Rc<Room>,
    mut end: oneshot::Receiver<()>,
) {
    let socket = match host.bind_datagrams(told.listen).await {
        Ok(socket) => socket,
        // Alone it takes what the settings give it: no reason not to deliver.
        Err(error) => {
            tracing::error!(listen = %told.listen, %error, "cannot take the fleet's datagrams; going on without a view of it");
            return;
        }
    };
    // Before anybody hears of it: one that is killed before the core has kept it comes back under the same start, which those
    // that heard of it then say.
    if core.send(Input::Start(start)).await.is_err() {
        return;
    }
    let member = told.facts.name.clone();
    tracing::info!(member, start, listen = %told.listen, "a member of the fleet");
    let config =
        Config { facts: told.facts, start, seeds: told.seeds, seal: told.seal, rate: RATE, seed: told.seed };
    let mut front = Front {
        socket,
        fleet: Fleet::new(config, 0),
        parts: if matches!(told.book, Book::Led(_)) {
            Parts::closed(told.planned, 0)
        } else {
            Parts::new(told.planned, 0)
        },
        book: told.book,
        core,
        room,
        began: Instant::now(),
        senders: told.planned,
    };
    front.look();
    let mut buffer = [0; MOST + 1];
    let mut look = Instant::now() + LOOK;
    loop {
        let wake = front.instant(front.fleet.wake_at()).min(look);
        let came = tokio::select! {
            biased;
            _ = &mut end => {
                front.tell(Told::Leave);
                return;
            }
            // Timers first: a process that stood still must know that before it reads what waited for it.
            () = sleep_until(wake) => None,
            came = front.socket.receive(&mut buffer) => {
                let Ok((length, from)) = came else { continue };
                // What is nobody's of the fleet is not even looked at.
                let Some(from) = front.book.from(from) else { continue };
                Some((length, from))
            }
        };
        match came {
            Some((length, from)) => front.tell(Told::Datagram { from, bytes: &buffer[..length] }),
            None => front.tell(Told::Timer),
        }
        if Instant::now() >= look {
            look = Instant::now() + LOOK;
            front.look();
        }
    }
}

impl<D: DatagramSocket> Front<D> {
    fn now(&self) -> Ns {
        self.began.elapsed().as_nanos() as Ns
    }

    fn instant(&self, at: Ns) -> Instant {
        // One that has fallen silent has no next time; its parts are looked at all the same.
        self.began + Duration::from_nanos(at.clamp(0, self.now() + 1_000_000_000) as u64)
    }

    fn tell(&mut self, input: Told<'_>) {
        let mut out = Vec::new();
        self.fleet.handle(self.now(), input, &mut out);
        let mut changed = false;
        for output in out {
            match output {
                Output::Send { to, bytes } => {
                    if let Some(to) = self.book.to(to) {
                        self.socket.send(&bytes, to);
                    }
                }
                Output::Keep { start } => {
                    // A core with no room for it: the next process learns from the others again.
                    let _ = self.core.try_send(Input::Start(start));
                }
                Output::Changed { name, change, .. } => {
                    let change = format!("{change:?}").to_lowercase();
                    tracing::info!(
                        member = name,
                        change,
                        present = self.fleet.present(),
                        "the view of the fleet has changed"
                    );
                    changed = true;
                }
                Output::NameTaken { by } => {
                    tracing::error!(
                        start = by.start,
                        "another process has this member's name; this one is silent from now on"
                    );
                    changed = true;
                }
                Output::StoodStill { time } => {
                    tracing::warn!(
                        ms = time / 1_000_000,
                        "stood still; its view is old, and its part of each limit small until it is not"
                    );
                    changed = true;
                }
            }
        }
        if changed {
            self.look();
        }
    }

    /// Tells the core by how many limits are divided, if that has changed.
    fn look(&mut self) {
        let now = self.now();
        if let Some(left) = self.room.take() {
            self.parts.room(now, left);
        }
        let seen = self.fleet.seen();
        self.parts.see(now, &seen);
        // Rounded up: a part is never more than the view allows.
        let senders = (self.parts.senders() - 1e-9).ceil().max(1.0) as usize;
        // Not waited for: a member that waits for its core is late with its own answers. The next look tries again.
        if senders != self.senders && self.core.try_send(Input::Senders(senders)).is_ok() {
            self.senders = senders;
            tracing::info!(senders, present = self.fleet.present(), "each limit is shared among");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_start_is_later_than_the_one_before_and_a_spoilt_file_is_a_first_one() {
        let kept = |text: &[u8]| start_after(Some(text.to_vec()));
        assert_eq!((start_after(None), kept(b"1\n"), kept(b"41")), (1, 2, 42));
        assert_eq!((kept(b"4\0x"), kept(b"\xff"), kept(b"4294967295")), (1, 1, u32::MAX));
    }
}

//! Persists the known outages of destinations for the next process run of this sender. Without them, a
//! restarted sender would overload destinations that are just recovering.
use super::*;
use serde::{Deserialize, Serialize};

/// A process that is killed may lose what it learned within this time.
const EVERY: Duration = Duration::from_millis(200);
/// An outage read back at this age is taken to be over.
const OLD_MS: i64 = 3_600_000;
/// The last failure of a suspect route is stored as at most this old, since the route has not recovered yet.
const DOUBT: Ns = 60 * SECOND;

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub(super) struct Kept {
    dest: DestId,
    /// The endpoint's name if it is a route of its own.
    endpoint: Option<String>,
    doubt: bool,
    /// Unix time in tenths of a second. At a finer resolution the drift between the monotonic and the wall
    /// clock would change the value, and cause a write, at every check.
    last_failure: i64,
    /// Calls per ten seconds that the route was seen to serve.
    proved: u32,
}

/// What was written last, and when the outages were last checked for changes.
#[derive(Default)]
pub(super) struct Keeper {
    last: Vec<Kept>,
    looked: Option<Instant>,
}

/// Returns the outages with the newest failures whose encoding fits into `capacity` bytes. Their number and
/// the length of the names are set by the platform, so they may not all fit.
fn that_fit(mut all: Vec<Kept>, room: usize) -> Vec<Kept> {
    all.sort_by_key(|k| (std::cmp::Reverse(k.last_failure), k.dest));
    // Reserved for the count that precedes the entries.
    let mut room = room.saturating_sub(8);
    all.into_iter()
        .map_while(|k| {
            room = room.checked_sub(postcard::to_stdvec(&k).map_or(room + 1, |bytes| bytes.len()))?;
            Some(k)
        })
        .collect()
}

fn written(kept: &[Kept]) -> Vec<u8> {
    postcard::to_stdvec(kept).unwrap_or_default()
}

fn read(bytes: &[u8]) -> Vec<Kept> {
    postcard::from_bytes(bytes).unwrap_or_default()
}

impl<S: Storage, H: Host> Core<S, H> {
    /// Persists the known outages if they have changed.
    pub(super) fn keep_outages(&mut self, now: Ns, wall: i64) {
        let at = Instant::now();
        if self.keeper.looked.is_some_and(|looked| at < looked + EVERY) {
            return;
        }
        self.keeper.looked = Some(at);
        let all = self.sender.outages().filter_map(|o| self.kept(&o, now, wall)).collect();
        let all = that_fit(all, self.journal.most_note());
        if all == self.keeper.last {
            return;
        }
        for k in
            all.iter().filter(|k| !self.keeper.last.iter().any(|l| (l.dest, l.doubt) == (k.dest, k.doubt)))
        {
            tracing::debug!(dest = k.dest, endpoint = k.endpoint, doubt = k.doubt, "out");
        }
        // If the write fails, the next process run only has to learn the outages again, like a sender on a
        // new machine.
        match self.journal.keep_note(&written(&all)) {
            Ok(()) => self.keeper.last = all,
            Err(error) => tracing::debug!(%error, "cannot persist the known outages"),
        }
    }

    fn kept(&self, o: &Outage, now: Ns, wall: i64) -> Option<Kept> {
        let name = |e| self.endpoints.get(&e).map(|known| known.name.clone());
        let endpoint = match o.endpoint {
            Some(e) => Some(name(e)?),
            None => None,
        };
        let ago = (now - o.last_failure).clamp(0, if o.doubt { DOUBT } else { Ns::MAX });
        let last_failure = (wall - ago / MS) / 100;
        let proved = (o.proved.clamp(0.0, 1e6) * 10.0) as u32;
        Some(Kept { dest: o.dest, endpoint, doubt: o.doubt, last_failure, proved })
    }

    /// Returns the outages that an earlier process run persisted, as events for the policy. The endpoint list
    /// must have been applied before, because it maps names to endpoints.
    pub(super) fn recalled(&self, now: Ns, wall: i64) -> Vec<Event> {
        let kept = self.journal.note().map(|bytes| read(&bytes)).unwrap_or_default();
        let event = |k: Kept| {
            let ago = wall.saturating_sub(k.last_failure.saturating_mul(100)).max(0);
            let endpoint = match &k.endpoint {
                Some(name) => Some(*self.names.get(name)?),
                None => None,
            };
            let last_failure = now - ago.saturating_mul(MS).min(CLOCK_START);
            let proved = f64::from(k.proved) / 10.0;
            let outage = Outage { dest: k.dest, endpoint, doubt: k.doubt, last_failure, proved };
            (ago < OLD_MS).then_some(Event::Outage(outage))
        };
        kept.into_iter().filter_map(event).collect()
    }
}

#[cfg(test)]
mod tests;

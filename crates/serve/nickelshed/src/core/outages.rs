//! What is known of destinations that are out, kept for the next process of this sender: without it, one that starts
//! again would push over what is just coming back.
use super::*;
use serde::{Deserialize, Serialize};

/// It is written at most so often: a kill may cost what was learned since.
const EVERY: Duration = Duration::from_millis(200);
/// What is older when it is read is no outage any more.
const OLD_MS: i64 = 3_600_000;
/// What is in doubt has failed so lately, at least.
const DOUBT: Ns = 60 * SECOND;

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub(super) struct Kept {
    dest: DestId,
    /// The endpoint's name, where it is a route by itself.
    endpoint: Option<String>,
    doubt: bool,
    /// Unix time in tenths of a second: no finer, as the two clocks' difference would change it at each look.
    last_failure: i64,
    /// Calls in ten seconds.
    proved: u32,
}

/// What was kept last, and when that was looked at.
#[derive(Default)]
pub(super) struct Keeper {
    last: Vec<Kept>,
    looked: Option<Instant>,
}

/// Those with the newest failures that find room in so many bytes: their number and names are others' choice.
fn that_fit(mut all: Vec<Kept>, room: usize) -> Vec<Kept> {
    all.sort_by_key(|k| (std::cmp::Reverse(k.last_failure), k.dest));
    // Their number goes before them.
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
    /// Writes down who is out, if that has changed.
    pub(super) fn keep_outages(&mut self, now: Ns, wall: i64) {
        let at = Instant::now();
        if self.keeper.looked.is_some_and(|looked| at < looked + EVERY) {
            return;
        }
        self.keeper.looked = Some(at);
        let all = self.sender.outages().filter_map(|o| self.kept(&o, now, wall)).collect();
        let all = that_fit(all, self.journal.max_outage_snapshot_bytes());
        if all == self.keeper.last {
            return;
        }
        for k in
            all.iter().filter(|k| !self.keeper.last.iter().any(|l| (l.dest, l.doubt) == (k.dest, k.doubt)))
        {
            tracing::debug!(dest = k.dest, endpoint = k.endpoint, doubt = k.doubt, "out");
        }
        // Without it the next process learns anew who is out, as one on a new machine does.
        match self.journal.write_outage_snapshot(&written(&all)) {
            Ok(()) => self.keeper.last = all,
            Err(error) => tracing::debug!(%error, "cannot keep who is out"),
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

    /// What an earlier process has kept, as the module is told it: after the list, which names the endpoints.
    pub(super) fn recalled(&self, now: Ns, wall: i64) -> Vec<Event> {
        let kept = self.journal.read_outage_snapshot().map(|bytes| read(&bytes)).unwrap_or_default();
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

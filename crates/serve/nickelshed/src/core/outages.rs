//! Persists the known outages of destinations for the next process run of this sender. Without them, a
//! restarted sender would overload destinations that are just recovering.
use super::*;
use serde::{Deserialize, Serialize};

/// Changes that a next process run can do without, such as the end of an outage, are written at most this
/// often. A failed write is repeated after the same time.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// A recovery read back at this age is complete. An outage without a recovery is kept at any age: the wall
/// clock may have been stepped.
const MAX_RECOVERY_AGE_MS: i64 = 3_600_000;
/// The last failure of a suspect route is stored as at most this old: the route has not recovered yet.
const MAX_SUSPECT_FAILURE_AGE: Ns = 60 * SECOND;

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub(super) struct PersistedOutage {
    dest: DestId,
    /// The endpoint's name if the route is a single endpoint; None if it is the whole destination.
    endpoint: Option<String>,
    suspect: bool,
    /// Unix time in tenths of a second. At a finer resolution the drift between the monotonic and the wall
    /// clock would change the value, and cause a write, at every check.
    last_failure_ds: i64,
    /// Calls per ten seconds that the route was seen to serve.
    proven_per_10s: u32,
}

/// What was written last, and when the outages are next checked for changes.
#[derive(Default)]
pub(super) struct OutageStore {
    last_written: Vec<PersistedOutage>,
    /// `Sender::outage_revision` as of the last successful write.
    written_revision: u64,
    /// Changes that are not urgent are not looked for before this time.
    next_check: Option<Instant>,
    /// Changes may be waiting for `next_check`.
    has_deferred_check: bool,
    is_write_failing: bool,
    /// Outages of an earlier process at endpoints that no list has named yet.
    unlisted: Vec<PersistedOutage>,
    /// When those that are still not listed are forgotten; None before the first list that came from discovery.
    forget_unlisted_at: Option<Instant>,
}

impl OutageStore {
    /// When the event loop has to run for a deferred check; None if there is none.
    pub(super) fn wake_at(&self) -> Option<Instant> {
        self.next_check.filter(|_| self.has_deferred_check)
    }
}

/// Returns the outages with the newest failures whose encoding fits into `capacity` bytes. Their number and
/// the length of the names are set by the platform, so they may not all fit.
fn newest_that_fit(mut all: Vec<PersistedOutage>, capacity: usize) -> Vec<PersistedOutage> {
    all.sort_by_key(|outage| (std::cmp::Reverse(outage.last_failure_ds), outage.dest));
    // Reserved for the count that precedes the entries.
    let mut capacity = capacity.saturating_sub(8);
    all.into_iter()
        .map_while(|outage| {
            capacity = capacity
                .checked_sub(postcard::to_stdvec(&outage).map_or(capacity + 1, |bytes| bytes.len()))?;
            Some(outage)
        })
        .collect()
}

fn encode(outages: &[PersistedOutage]) -> Vec<u8> {
    postcard::to_stdvec(outages).unwrap_or_default()
}

fn decode(bytes: &[u8]) -> Vec<PersistedOutage> {
    postcard::from_bytes(bytes).unwrap_or_default()
}

impl<S: Storage, H: Host> Core<S, H> {
    /// Persists the known outages if they have changed: at once if an outage is new, otherwise at most once
    /// per `MIN_WRITE_INTERVAL`.
    pub(super) fn persist_outages(&mut self, now: Ns, wall_ms: i64) {
        let at = Instant::now();
        let revision = self.policy.outage_revision();
        let is_urgent = revision != self.outage_store.written_revision;
        let is_early = self.outage_store.next_check.is_some_and(|next_check| at < next_check);
        // After a failed write the disk is left alone until the next check, whatever is urgent.
        let is_retry_early = is_early && self.outage_store.is_write_failing;
        if is_retry_early || (is_early && !is_urgent) {
            let has_outages = !self.outage_store.last_written.is_empty();
            self.outage_store.has_deferred_check = is_urgent || has_outages;
            return;
        }
        self.outage_store.next_check = Some(at + MIN_WRITE_INTERVAL);
        self.outage_store.has_deferred_check = false;
        if self.outage_store.forget_unlisted_at.is_some_and(|forget_at| forget_at <= at) {
            self.outage_store.unlisted.clear();
        }
        let known = self.policy.outages().filter_map(|outage| self.to_persisted(&outage, now, wall_ms));
        let all = known.chain(self.outage_store.unlisted.iter().cloned()).collect();
        let all = newest_that_fit(all, self.journal.max_outage_snapshot_bytes());
        if all == self.outage_store.last_written {
            self.outage_store.written_revision = revision;
            return;
        }
        for outage in all.iter().filter(|new| {
            !self
                .outage_store
                .last_written
                .iter()
                .any(|old| (old.dest, old.suspect) == (new.dest, new.suspect))
        }) {
            tracing::debug!(dest = outage.dest, endpoint = outage.endpoint, doubt = outage.suspect, "out");
        }
        let written = self.journal.write_outage_snapshot(&encode(&all));
        self.outage_store.is_write_failing = written.is_err();
        match written {
            Ok(()) => {
                self.outage_store.last_written = all;
                self.outage_store.written_revision = revision;
            }
            Err(error) => {
                self.outage_store.has_deferred_check = true;
                tracing::debug!(%error, "cannot persist the known outages, trying again");
            }
        }
    }

    /// Converts an outage to wall-clock time. None if the route is an endpoint that is no longer known.
    fn to_persisted(&self, outage: &Outage, now: Ns, wall_ms: i64) -> Option<PersistedOutage> {
        let name_of = |id| self.endpoints.get(&id).map(|known_endpoint| known_endpoint.name.clone());
        let endpoint = match outage.endpoint {
            Some(id) => Some(name_of(id)?),
            None => None,
        };
        let age = (now - outage.last_failure)
            .clamp(0, if outage.suspect { MAX_SUSPECT_FAILURE_AGE } else { Ns::MAX });
        let last_failure_ds = (wall_ms - age / MS) / 100;
        let proven_per_10s = (outage.proven_rate.clamp(0.0, 1e6) * 10.0) as u32;
        Some(PersistedOutage {
            dest: outage.dest,
            endpoint,
            suspect: outage.suspect,
            last_failure_ds,
            proven_per_10s,
        })
    }

    /// Returns the outages that an earlier process run persisted, as events for the policy. The endpoint list
    /// must have been applied before, because it maps names to endpoints; those of endpoints that it does not
    /// name follow with the list that does.
    pub(super) fn recovered_outages(&mut self, now: Ns, wall_ms: i64) -> Vec<Event> {
        let persisted = self.journal.read_outage_snapshot().map(|bytes| decode(&bytes)).unwrap_or_default();
        self.outage_store.unlisted = persisted;
        self.take_listed_outages(now, wall_ms)
    }

    /// Returns those of the outages of an earlier process whose endpoints are listed now.
    pub(super) fn outages_of_new_list(&mut self, now: Ns, wall_ms: i64) -> Vec<Event> {
        let forget_at = Instant::now() + ENDPOINT_RETENTION;
        self.outage_store.forget_unlisted_at.get_or_insert(forget_at);
        self.take_listed_outages(now, wall_ms)
    }

    fn take_listed_outages(&mut self, now: Ns, wall_ms: i64) -> Vec<Event> {
        let mut events = Vec::new();
        for stored in std::mem::take(&mut self.outage_store.unlisted) {
            let endpoint = stored.endpoint.as_ref().map(|name| self.endpoint_ids.get(name).copied());
            match endpoint {
                Some(None) => self.outage_store.unlisted.push(stored),
                listed => events.extend(restored_outage(&stored, listed.flatten(), now, wall_ms)),
            }
        }
        events
    }
}

/// Converts an outage to an event for the policy; None if its recovery is long complete.
fn restored_outage(
    stored: &PersistedOutage,
    endpoint: Option<EndpointId>,
    now: Ns,
    wall_ms: i64,
) -> Option<Event> {
    let age = wall_ms.saturating_sub(stored.last_failure_ds.saturating_mul(100)).max(0);
    let outage = Outage {
        dest: stored.dest,
        endpoint,
        suspect: stored.suspect,
        last_failure: now - age.saturating_mul(MS).min(CLOCK_ORIGIN),
        proven_rate: f64::from(stored.proven_per_10s) / 10.0,
    };
    (outage.suspect || age < MAX_RECOVERY_AGE_MS).then_some(Event::Outage(outage))
}

#[cfg(test)]
mod tests;

//! Drops state that is no longer needed, and hands known outages from one process to the next.

use super::*;
use crate::recovery::SUSPECT_FAILURES;

/// A route that the list no longer names is kept for this long, or as long as slow start if that is longer,
/// after its last failure, probe or retry-after.
const UNLISTED_RETENTION: Ns = 60 * SECOND;

impl Sender {
    /// Drops what the list no longer names and no call in flight, retry-after or recent outage depends on.
    pub(super) fn prune(&mut self) {
        let now = self.now;
        self.endpoints.retain(|_, e| e.usable || e.in_flight > 0);
        let endpoints = &self.endpoints;
        let listed: BTreeSet<RouteId> = endpoints.keys().map(|&e| self.route_of(e)).collect();
        self.routes.retain(|id, r| {
            let last_needed = r.last_failure.max(r.next_probe_at).max(r.retry_after_until);
            listed.contains(id)
                || r.in_flight > 0
                || now < last_needed.saturating_add(UNLISTED_RETENTION.max(self.cfg.slow_start_duration))
        });
        let active = &self.active;
        self.dests.retain(|id, dest| {
            dest.endpoints.retain(|e| endpoints.get(e).is_some_and(|e| e.dest == *id));
            !dest.endpoints.is_empty() || active.contains(id)
        });
        // A destination can lose its last queued message after it became due, and is then dropped above.
        let dests = &self.dests;
        self.agenda.retain(|(_, id)| dests.contains_key(id));
        self.keys.retain(|_, key_queue| !key_queue.queue.is_empty() || key_queue.hold_off_until > now);
        self.pruned_at = now;
    }

    /// Returns the routes that are suspect or in slow start, to be persisted for the next process.
    pub fn outages(&self) -> impl Iterator<Item = Outage> + '_ {
        self.routes.iter().filter(|(_, r)| r.suspect || r.in_slow_start).map(|(&(dest, endpoint), r)| {
            Outage {
                dest,
                endpoint: (endpoint != EndpointId::MAX).then_some(endpoint),
                suspect: r.suspect || !r.has_recovered(),
                last_failure: r.last_failure.max(r.recovered_at),
                proven_rate: r.proven_rate_now(self.now),
            }
        })
    }

    /// Returns a number that rises whenever a route begins to be listed by `outages`, or fails again after it
    /// had recovered: what a next process would not know of without a new write.
    pub fn outage_revision(&self) -> u64 {
        self.outage_revision
    }

    /// Restores an outage that an earlier process of this sender saw. The outage may have ended unseen, so
    /// slow start can only count from when that process last saw it.
    pub(super) fn restore_outage(&mut self, o: &Outage) {
        let now = self.now;
        let route = self.route((o.dest, o.endpoint.unwrap_or(EndpointId::MAX)));
        (route.suspect, route.in_slow_start) = (o.suspect, true);
        route.failures = if o.suspect { SUSPECT_FAILURES } else { 0 };
        route.last_failure = o.last_failure.min(now);
        route.recovered_at = if o.suspect { LONG_AGO } else { route.last_failure };
        (route.proven_rate, route.proven_at) = (o.proven_rate, now);
    }
}

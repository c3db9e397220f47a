//! Drops state that is no longer needed, and hands known outages from one process to the next.

use super::*;

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
            let last_needed = r.last_failure.max(r.retry_after_until);
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

    /// Returns the routes that are suspect, may be in an outage or are in slow start, to be persisted for the
    /// next process.
    pub fn outages(&self) -> impl Iterator<Item = Outage> + '_ {
        self.routes.iter().filter_map(|(&(dest, endpoint), route)| {
            let recovery = route.known_recovery()?;
            Some(Outage {
                dest,
                endpoint: (endpoint != EndpointId::MAX).then_some(endpoint),
                suspect: recovery > self.now,
                last_failure: route.last_failure.max(route.recovered_at),
                proven_rate: route.proven_rate_now(self.now),
            })
        })
    }

    /// Returns a number that rises whenever a route begins to be listed by `outages`, or fails again after it
    /// had recovered: what a next process would not know of without a new write.
    pub fn outage_revision(&self) -> u64 {
        self.outage_revision
    }

    /// Restores an outage that an earlier process of this sender saw.
    pub(super) fn restore_outage(&mut self, outage: &Outage) {
        let draw = self.random();
        let id = (outage.dest, outage.endpoint.unwrap_or(EndpointId::MAX));
        self.route(id);
        if let Some(route) = self.routes.get_mut(&id) {
            route.restore_outage(&self.cfg, self.now, outage, draw);
        }
    }
}

//! What a sender forgets, and what it hands to the process after it.

use super::*;
use crate::recovery::DOUBT_RUN;

/// What is gone from the list is remembered for so long after its last failure.
const KEEP: Ns = 60 * SECOND;

impl Sender {
    /// Drops what the list no longer names and nothing depends on: calls out, a told wait, an outage seen.
    pub(super) fn forget(&mut self) {
        let now = self.now;
        self.endpoints.retain(|_, e| e.usable || e.in_flight > 0);
        let endpoints = &self.endpoints;
        let named: BTreeSet<RouteId> = endpoints.keys().map(|&e| self.route_of(e)).collect();
        self.routes.retain(|id, r| {
            let seen = r.last_failure.max(r.next_probe).max(r.wait_until);
            named.contains(id)
                || r.in_flight > 0
                || now < seen.saturating_add(KEEP.max(self.cfg.slow_start_duration))
        });
        let active = &self.active;
        self.dests.retain(|id, dest| {
            dest.places.retain(|e| endpoints.get(e).is_some_and(|e| e.dest == *id));
            !dest.places.is_empty() || active.contains(id)
        });
        // What was held may have ended since its destination became due: nothing is left to look at there.
        let dests = &self.dests;
        self.agenda.retain(|(_, id)| dests.contains_key(id));
        self.keys.retain(|_, turn| !turn.queue.is_empty() || turn.rest_until > now);
        self.forgot_at = now;
    }

    /// Routes that are out, or not warm again yet.
    pub fn outages(&self) -> impl Iterator<Item = Outage> + '_ {
        self.routes.iter().filter(|(_, r)| r.doubt || r.cold).map(|(&(dest, endpoint), r)| Outage {
            dest,
            endpoint: (endpoint != EndpointId::MAX).then_some(endpoint),
            suspect: r.doubt || !r.known_back(),
            last_failure: r.last_failure.max(r.returned_at),
            proven_rate: r.proved_now(self.now),
        })
    }

    /// Goes on where an earlier process of this sender was. It may have missed the end of the outage, so its
    /// last sight of it is all that its slow start can count from.
    pub(super) fn recall(&mut self, o: &Outage) {
        let now = self.now;
        let route = self.route((o.dest, o.endpoint.unwrap_or(EndpointId::MAX)));
        (route.doubt, route.cold) = (o.suspect, true);
        route.failures = if o.suspect { DOUBT_RUN } else { 0 };
        route.last_failure = o.last_failure.min(now);
        route.returned_at = if o.suspect { LONG_AGO } else { route.last_failure };
        (route.proved, route.proved_at) = (o.proven_rate, now);
    }
}

//! Translates the operator's file into the settings of the policy and a list of endpoints. Expects a file without
//! errors.
use crate::sidecar::{Class, Effect, Late, Scope, Sidecar};
use nickelshed_policy::api;
use nickelshed_settings::{DeploymentContext, DiscoveryMode};
use std::net::SocketAddr;

/// An endpoint from the file, with the data of an entry of a discovery list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Derived from destination number and address, so an endpoint keeps its name while both stay the same.
    pub name: String,
    pub address: SocketAddr,
    pub dest: u64,
    pub kind: String,
    pub zone: String,
    pub draining: bool,
    /// Calls per second that its destination accepts from all sidecars; 0 if unknown.
    pub rate: f64,
}

/// Name of the kind and zone of endpoints without one.
const PLAIN: &str = "plain";

/// Returns the settings of the policy, and the names of classes, tenants, kinds and zones by index.
pub fn settings(s: &Sidecar) -> (api::Settings, DeploymentContext) {
    let kinds: Vec<(&str, api::Kind)> = s
        .kinds
        .iter()
        .map(|k| (k.name.as_str(), api::Kind { batch: k.batch as usize, separate_routes: k.separate_routes }))
        .collect();
    let plain = (PLAIN, api::Kind { batch: 1, separate_routes: false });
    // Endpoints without a kind get the kind `PLAIN`, which must therefore exist.
    let kinds: Vec<_> = if kinds.iter().any(|(name, _)| *name == PLAIN) {
        kinds
    } else {
        kinds.into_iter().chain([plain]).collect()
    };
    let mut zones: Vec<String> = s.zones.iter().map(|z| z.name.clone()).collect();
    let mut fees: Vec<f64> = s.zones.iter().map(|z| z.fee).collect();
    if zones.is_empty() {
        zones.push(PLAIN.to_string());
    }
    if fees.iter().all(|f| *f == 0.0) {
        fees.clear();
    }
    let zone = s.own_zone.as_ref().and_then(|own| zones.iter().position(|z| z == own)).unwrap_or(0);
    let hints = s.discovery.is_some() || s.destinations.iter().any(|d| d.rate.is_some());
    let settings = api::Settings {
        classes: s.classes.iter().map(class).collect(),
        kinds: kinds.iter().map(|(_, kind)| *kind).collect(),
        tenants: s
            .tenants
            .iter()
            .map(|t| api::Tenant { quota_per_s: quota(s.traffic.rate, t.share.0) })
            .collect(),
        over_share_worth: s.traffic.over_share_worth.0,
        halves: s.traffic.late == Late::Exponential,
        n_instances: s.senders as usize,
        zone,
        tick: s.rules.tick.ns(),
        slots: s.limits.slots as usize,
        max_open: s.limits.held as usize,
        max_attempts: s.limits.attempts,
        max_retry_after: s.rules.longest_return.ns(),
        // The file has no key that allows two attempts of a message at the same time.
        may_duplicate: false,
        may_probe: s.rules.probes,
        may_cancel: s.rules.cancel,
        // HTTP/1.1 allows one call at a time per connection.
        streams_per_conn: 1,
        idle_close: s.connections.idle.ns(),
        dial_timeout: s.connections.dial.ns(),
        reports: false,
        hints,
        rough_hints: hints,
        start_capacity: s.rules.start_capacity.0,
        cold: s.rules.cold.ns(),
        fall_multiple: s.rules.overload_multiple,
        overload_for: s.rules.overload_for.ns(),
        key_rest: s.rules.key_rest.ns(),
        price_handshake: s.prices.handshake,
        price_cross_zone: s.prices.cross_zone,
        price_refused: s.prices.refused,
        price_waste: s.prices.waste,
        route_fee: fees,
    };
    let around = DeploymentContext {
        // A sidecar's fleet is configured in its own section `[fleet]`.
        peer_datagrams: false,
        discovery_mode: DiscoveryMode::Agent,
        x0_column: None,
        x1_column: None,
        classes: s.classes.iter().map(|c| c.name.clone()).collect(),
        tenants: s.tenants.iter().map(|t| t.name.clone()).collect(),
        kinds: kinds.iter().map(|(name, _)| name.to_string()).collect(),
        zones,
    };
    (settings, around)
}

/// Without a rate, shares are not enforced; this equals a missing quota in the platform's settings.
fn quota(rate: f64, share: f64) -> f64 {
    if rate == 0.0 {
        f64::MAX
    } else {
        rate * share
    }
}

fn class(c: &Class) -> api::Class {
    api::Class {
        aim: c.wanted_within.ns(),
        aim_stretch: c.wanted_stretch,
        deadline: c.abandoned_after.ns(),
        effect: match c.effect {
            Effect::Safe => api::Effect::Safe,
            Effect::Keyed => api::Effect::Keyed,
            Effect::Unsafe => api::Effect::Unsafe,
        },
        scope: match c.repeat_scope {
            Scope::Destination => api::DedupScope::All,
            Scope::Zone => api::DedupScope::Zone,
            Scope::Endpoint => api::DedupScope::Endpoint,
        },
        window: c.repeat_window.unwrap_or_default().ns(),
        worth: c.worth,
        late_worth: c.late_worth.0,
        in_order: c.in_order,
    }
}

/// Returns the endpoints that the file lists.
pub fn listed_endpoints(s: &Sidecar) -> Vec<ListedEndpoint> {
    let first_zone = s.zones.first().map_or(PLAIN, |z| z.name.as_str());
    let each = s.destinations.iter().flat_map(|d| d.endpoints.iter().map(move |e| (d, e.endpoint())));
    each.map(|(d, e)| ListedEndpoint {
        name: format!("{}/{}", d.number, e.address),
        address: e.address,
        dest: d.number,
        kind: d.kind.clone().unwrap_or_else(|| PLAIN.to_string()),
        zone: e.zone.unwrap_or_else(|| first_zone.to_string()),
        draining: e.draining,
        rate: d.rate.unwrap_or(0.0),
    })
    .collect()
}

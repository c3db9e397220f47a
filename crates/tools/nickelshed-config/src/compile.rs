//! Translates the operator's file into the settings of the policy and a list of endpoints. Expects a file
//! without errors.
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

/// Name of the kind of endpoints without one, and of the only zone if the file has no `[[zone]]`.
const DEFAULT_NAME: &str = "plain";

/// Returns the settings of the policy, and the names of classes, tenants, kinds and zones by index.
pub fn settings(sidecar: &Sidecar) -> (api::Settings, DeploymentContext) {
    let kinds: Vec<(&str, api::Kind)> = sidecar
        .kinds
        .iter()
        .map(|k| (k.name.as_str(), api::Kind { batch: k.batch as usize, separate_routes: k.separate_routes }))
        .collect();
    let default_kind = (DEFAULT_NAME, api::Kind { batch: 1, separate_routes: false });
    // Endpoints without a kind get the kind `DEFAULT_NAME`, which must therefore exist.
    let kinds: Vec<_> = if kinds.iter().any(|(name, _)| *name == DEFAULT_NAME) {
        kinds
    } else {
        kinds.into_iter().chain([default_kind]).collect()
    };
    let mut zones: Vec<String> = sidecar.zones.iter().map(|z| z.name.clone()).collect();
    let mut route_fees: Vec<f64> = sidecar.zones.iter().map(|z| z.fee).collect();
    if zones.is_empty() {
        zones.push(DEFAULT_NAME.to_string());
    }
    if route_fees.iter().all(|f| *f == 0.0) {
        route_fees.clear();
    }
    let zone = sidecar.own_zone.as_ref().and_then(|own| zones.iter().position(|z| z == own)).unwrap_or(0);
    let has_rates = sidecar.discovery.is_some() || sidecar.destinations.iter().any(|d| d.rate.is_some());
    let settings = api::Settings {
        classes: sidecar.classes.iter().map(class_settings).collect(),
        kinds: kinds.iter().map(|(_, kind)| *kind).collect(),
        tenants: sidecar
            .tenants
            .iter()
            .map(|t| api::Tenant { quota_per_s: tenant_quota(sidecar.traffic.rate, t.share.0) })
            .collect(),
        over_quota_value: sidecar.traffic.over_share_worth.0,
        exponential_decay: sidecar.traffic.late == Late::Halves,
        sender_count: sidecar.senders as usize,
        zone,
        tick: sidecar.rules.tick.ns(),
        slots: sidecar.limits.slots as usize,
        max_open: sidecar.limits.held as usize,
        max_attempts: sidecar.limits.attempts,
        max_retry_after: sidecar.rules.longest_return.ns(),
        // The file has no key that allows two attempts of a message at the same time.
        may_duplicate: false,
        may_probe: sidecar.rules.probes,
        may_cancel: sidecar.rules.cancel,
        // HTTP/1.1 allows one call at a time per connection.
        streams_per_conn: 1,
        idle_timeout: sidecar.connections.idle.ns(),
        dial_timeout: sidecar.connections.dial.ns(),
        limit_reports: false,
        rate_hints: has_rates,
        estimated_hints: has_rates,
        start_capacity: sidecar.rules.start_capacity.0,
        slow_start_duration: sidecar.rules.cold.ns(),
        overload_multiple: sidecar.rules.overload_multiple,
        overload_window: sidecar.rules.overload_for.ns(),
        key_hold_off: sidecar.rules.key_rest.ns(),
        price_handshake: sidecar.prices.handshake,
        price_cross_zone: sidecar.prices.cross_zone,
        price_refused: sidecar.prices.refused,
        price_waste: sidecar.prices.waste,
        route_fee: route_fees,
    };
    let context = DeploymentContext {
        // A sidecar's fleet is configured in its own section `[fleet]`.
        peer_datagrams: false,
        discovery_mode: DiscoveryMode::Agent,
        x0_column: None,
        x1_column: None,
        classes: sidecar.classes.iter().map(|c| c.name.clone()).collect(),
        tenants: sidecar.tenants.iter().map(|t| t.name.clone()).collect(),
        kinds: kinds.iter().map(|(name, _)| name.to_string()).collect(),
        zones,
    };
    (settings, context)
}

/// Returns the quota of a tenant in messages per second. Without a rate, shares are not enforced; the result
/// then equals that of a missing quota in the platform's settings.
fn tenant_quota(rate: f64, share: f64) -> f64 {
    if rate == 0.0 {
        f64::MAX
    } else {
        rate * share
    }
}

fn class_settings(class: &Class) -> api::Class {
    api::Class {
        target: class.wanted_within.ns(),
        target_stretch: class.wanted_stretch,
        deadline: class.abandoned_after.ns(),
        effect: match class.effect {
            Effect::Safe => api::Effect::Safe,
            Effect::Keyed => api::Effect::Keyed,
            Effect::Unsafe => api::Effect::Unsafe,
        },
        dedup_scope: match class.repeat_scope {
            Scope::Destination => api::DedupScope::All,
            Scope::Zone => api::DedupScope::Zone,
            Scope::Endpoint => api::DedupScope::Endpoint,
        },
        dedup_window: class.repeat_window.unwrap_or_default().ns(),
        value: class.worth,
        late_value: class.late_worth.0,
        in_order: class.in_order,
    }
}

/// Returns the endpoints that the file lists. Those without a zone get the first `[[zone]]`.
pub fn listed_endpoints(sidecar: &Sidecar) -> Vec<ListedEndpoint> {
    let first_zone = sidecar.zones.first().map_or(DEFAULT_NAME, |z| z.name.as_str());
    let pairs = sidecar.destinations.iter().flat_map(|d| d.endpoints.iter().map(move |e| (d, e.endpoint())));
    pairs
        .map(|(d, e)| ListedEndpoint {
            name: format!("{}/{}", d.number, e.address),
            address: e.address,
            dest: d.number,
            kind: d.kind.clone().unwrap_or_else(|| DEFAULT_NAME.to_string()),
            zone: e.zone.unwrap_or_else(|| first_zone.to_string()),
            draining: e.draining,
            rate: d.rate.unwrap_or(0.0),
        })
        .collect()
}

//! Draws random scenarios from the whole parameter space, to find failures that no hand-written scenario
//! covers.
use crate::scenario::{FaultKind, InjectedFault, Scenario, TrafficClass};
use crate::{random_stream, Random};
use nickelshed_config::sidecar::{Effect, Scope};
use nickelshed_config::units::{Percent, Period};
use rand::RngExt;

fn uniform(random: &mut Random, min: f64, max: f64) -> f64 {
    min + (max - min) * random.random::<f64>()
}

fn random_ms(random: &mut Random, min: u64, max: u64) -> Period {
    Period::ms(random.random_range(min..=max))
}

/// Returns the random scenario of a seed.
pub fn random_scenario(seed: u64) -> Scenario {
    let random = &mut random_stream(seed, 0);
    let length_ms = random.random_range(8_000..=30_000u64);
    let effects = [Effect::Keyed, Effect::Keyed, Effect::Unsafe, Effect::Safe];
    let abandoned_after_ms = random.random_range(2_000..=16_000u64);
    let mut scenario = Scenario {
        seed: Some(seed),
        length: Period::ms(length_ms),
        senders: random.random_range(1..=3),
        rate: uniform(random, 5.0, 120.0),
        clumps: Percent(uniform(random, 0.0, 0.3)),
        client_retries: random.random_range(0..=2),
        effect: effects[random.random_range(0..effects.len())],
        wanted_within: Period::ms(abandoned_after_ms / 5),
        abandoned_after: Period::ms(abandoned_after_ms),
        dedup_window: random_ms(random, 1_000, 20_000),
        slots: random.random_range(3..=64),
        max_open_messages: random.random_range(8..=600),
        disk_bytes: random.random_range(200_000..=3_000_000),
        destinations: random.random_range(1..=20),
        endpoints: random.random_range(1..=4),
        skew: uniform(random, 0.0, 1.2),
        service_time: random_ms(random, 5, 400),
        service_time_sigma: uniform(random, 0.1, 1.0),
        servers: random.random_range(1..=8),
        queue_capacity: random.random_range(0..=32),
        limit_multiple: if random.random::<bool>() { uniform(random, 0.8, 3.0) } else { 0.0 },
        retry_after: if random.random::<bool>() { random_ms(random, 100, 2_000) } else { Period::ms(0) },
        corrupted: Percent(if random.random::<f64>() < 0.2 { uniform(random, 0.0, 0.2) } else { 0.0 }),
        latency: random_ms(random, 0, 40),
        discovery_delay: random_ms(random, 0, 3_000),
        ..Scenario::default()
    };
    for _ in 0..random.random_range(0..=4) {
        let kind = FaultKind::DRAWN_FIRST[random.random_range(0..FaultKind::DRAWN_FIRST.len())];
        scenario.faults.push(InjectedFault {
            kind,
            at: random_ms(random, 500, length_ms),
            duration: random_ms(random, 200, 8_000),
            destination_fraction: Percent(uniform(random, 0.05, 1.0)),
            sender_fraction: Percent(1.0),
            magnitude: uniform(random, 1.2, 4.0),
        });
    }
    // Half of the scenarios vary sites, routes, batches or classes as well.
    if random.random::<bool>() {
        scenario.sites = random.random_range(1..=2);
        scenario.separate_routes = random.random::<f64>() < 0.4;
        scenario.batch = if random.random::<f64>() < 0.4 { random.random_range(2..=10) } else { 1 };
        scenario.discovery_reports_rates = random.random::<bool>();
        let scopes = [Scope::Destination, Scope::Zone, Scope::Endpoint];
        scenario.dedup_scope = scopes[random.random_range(0..scopes.len())];
        for i in 0..random.random_range(0..=3) {
            let abandoned_after_ms = random.random_range(2_000..=16_000u64);
            scenario.classes.push(TrafficClass {
                name: format!("class-{i}"),
                traffic_share: Percent(uniform(random, 0.1, 1.0)),
                effect: effects[random.random_range(0..effects.len())],
                wanted_within: Period::ms(abandoned_after_ms / 5),
                abandoned_after: Period::ms(abandoned_after_ms),
                value: uniform(random, 0.5, 4.0),
            });
        }
    }
    for kind in [FaultKind::Stall, FaultKind::Rude] {
        if random.random::<f64>() < 0.15 {
            scenario.faults.push(InjectedFault {
                kind,
                at: random_ms(random, 500, length_ms),
                duration: random_ms(random, 200, 4_000),
                destination_fraction: Percent(1.0),
                sender_fraction: Percent(1.0),
                magnitude: uniform(random, 1.0, 6.0),
            });
        }
    }
    scenario
}

/// Main faults of large scenarios. The seed modulo their number selects one.
const LARGE_FLEET_FAULTS: [&str; 6] = ["herd", "region", "split", "lowered", "lossy", "roll"];

/// Returns the random large scenario of a seed: 60 to 300 senders that share no state, one large fault that
/// affects many of them, and one more of a random kind.
pub fn random_large_scenario(seed: u64) -> Scenario {
    let random = &mut random_stream(seed, 6);
    let length_ms = random.random_range(9_000..=15_000u64);
    let senders = random.random_range(60..=300u32);
    let abandoned_after_ms = random.random_range(4_000..=10_000u64);
    let effects = [Effect::Keyed, Effect::Keyed, Effect::Unsafe, Effect::Safe];
    let scopes = [Scope::Destination, Scope::Destination, Scope::Zone, Scope::Endpoint];
    let mut scenario = Scenario {
        seed: Some(seed),
        length: Period::ms(length_ms),
        senders,
        rate: f64::from(senders) * uniform(random, 0.5, 2.0),
        clumps: Percent(uniform(random, 0.0, 0.1)),
        client_retries: random.random_range(0..=2),
        effect: effects[random.random_range(0..effects.len())],
        wanted_within: Period::ms(abandoned_after_ms / 4),
        abandoned_after: Period::ms(abandoned_after_ms),
        dedup_window: random_ms(random, 3_000, 15_000),
        dedup_scope: scopes[random.random_range(0..scopes.len())],
        slots: random.random_range(4..=10),
        max_open_messages: random.random_range(20..=120),
        destinations: random.random_range(8..=16),
        endpoints: 2,
        sites: random.random_range(2..=4),
        separate_routes: random.random::<f64>() < 0.25,
        discovery_reports_rates: random.random::<f64>() < 0.75,
        skew: uniform(random, 0.2, 1.0),
        service_time: random_ms(random, 20, 250),
        servers: random.random_range(8..=32),
        queue_capacity: random.random_range(8..=64),
        limit_multiple: if random.random::<f64>() < 0.75 { uniform(random, 0.8, 2.5) } else { 0.0 },
        retry_after: if random.random::<bool>() { random_ms(random, 200, 1_500) } else { Period::ms(0) },
        latency: random_ms(random, 1, 25),
        discovery_delay: random_ms(random, 50, 1_000),
        ..Scenario::default()
    };
    let fault =
        |kind, at: u64, duration: u64, destination_fraction: f64, sender_fraction: f64, magnitude: f64| {
            InjectedFault {
                kind,
                at: Period::ms(at),
                duration: Period::ms(duration),
                destination_fraction: Percent(destination_fraction),
                sender_fraction: Percent(sender_fraction),
                magnitude,
            }
        };
    let at = random.random_range(1_500..=3_500u64);
    scenario.faults = match LARGE_FLEET_FAULTS[seed as usize % LARGE_FLEET_FAULTS.len()] {
        "herd" => vec![
            fault(FaultKind::Kill, at, 0, 1.0, 0.7, 2.0),
            fault(
                FaultKind::Lower,
                at + 500,
                6_000,
                uniform(random, 0.2, 0.8),
                1.0,
                uniform(random, 1.5, 4.0),
            ),
            fault(FaultKind::Kill, at + 6_500, 0, 1.0, 0.3, 2.0),
        ],
        "region" => {
            let outages =
                [FaultKind::Silent, FaultKind::Refused, FaultKind::Hung, FaultKind::Reset, FaultKind::Shut];
            vec![
                fault(outages[random.random_range(0..outages.len())], at, 5_000, 0.4, 1.0, 2.0),
                fault(FaultKind::Burst, at + 5_000, 2_000, 1.0, 1.0, 1.5),
            ]
        }
        "split" => vec![
            fault(FaultKind::Cut, at, 6_000, 1.0, 1.0, 2.0),
            fault(FaultKind::Mute, at, 4_000, 1.0, uniform(random, 0.3, 1.0), 2.0),
            fault(FaultKind::Drain, at + 1_000, 0, 0.3, 1.0, 2.0),
            fault(FaultKind::Lossy, at + 2_000, 4_000, 0.5, 1.0, uniform(random, 8.0, 30.0)),
        ],
        "lowered" => vec![
            fault(FaultKind::Lower, at, 5_000, 0.8, 1.0, uniform(random, 1.5, 6.0)),
            fault(FaultKind::Impatient, at, 4_000, 1.0, 1.0, 2.0),
        ],
        "lossy" => {
            scenario.corrupted = Percent(uniform(random, 0.005, 0.05));
            vec![fault(FaultKind::Lossy, at, 6_000, 1.0, 1.0, uniform(random, 6.0, 30.0))]
        }
        _ => vec![
            fault(FaultKind::Roll, 500, length_ms, 1.0, uniform(random, 0.3, 1.0), 2.0),
            fault(FaultKind::Drain, at, 0, 0.6, 1.0, 2.0),
            fault(FaultKind::Drain, at + 2_500, 0, 0.6, 1.0, 2.0),
        ],
    };
    let further_kinds = [
        FaultKind::Silent,
        FaultKind::Refused,
        FaultKind::Errors,
        FaultKind::Slow,
        FaultKind::Drain,
        FaultKind::Replace,
        FaultKind::Pause,
        FaultKind::Reload,
        FaultKind::Mute,
        FaultKind::Jump,
        FaultKind::Burst,
        FaultKind::Stall,
        FaultKind::Lower,
        FaultKind::Impatient,
    ];
    scenario.faults.push(InjectedFault {
        kind: further_kinds[random.random_range(0..further_kinds.len())],
        at: random_ms(random, 500, length_ms),
        duration: random_ms(random, 300, 5_000),
        destination_fraction: Percent(uniform(random, 0.05, 0.6)),
        sender_fraction: Percent(uniform(random, 0.05, 1.0)),
        magnitude: uniform(random, 1.3, 4.0),
    });
    // Drawn last, so that the other values of a seed do not depend on it.
    scenario.membership_enabled = random.random::<f64>() < 0.3;
    scenario
}

//! Days drawn from the whole space of the model, for looking for what nobody thought of.
use crate::scenario::{FaultKind, InjectedFault, Scenario, TrafficClass};
use crate::{random_stream, Random};
use nickelshed_config::sidecar::{Effect, Scope};
use nickelshed_config::units::{Percent, Period};
use rand::RngExt;

fn between(random: &mut Random, least: f64, most: f64) -> f64 {
    least + (most - least) * random.random::<f64>()
}

fn ms(random: &mut Random, least: u64, most: u64) -> Period {
    Period::ms(random.random_range(least..=most))
}

/// The day of a seed.
pub fn random_scenario(seed: u64) -> Scenario {
    let random = &mut random_stream(seed, 0);
    let length = random.random_range(8_000..=30_000u64);
    let effects = [Effect::Keyed, Effect::Keyed, Effect::Unsafe, Effect::Safe];
    let abandoned = random.random_range(2_000..=16_000u64);
    let mut scenario = Scenario {
        seed: Some(seed),
        length: Period::ms(length),
        senders: random.random_range(1..=3),
        rate: between(random, 5.0, 120.0),
        clumps: Percent(between(random, 0.0, 0.3)),
        client_retries: random.random_range(0..=2),
        effect: effects[random.random_range(0..effects.len())],
        wanted_within: Period::ms(abandoned / 5),
        abandoned_after: Period::ms(abandoned),
        dedup_window: ms(random, 1_000, 20_000),
        slots: random.random_range(3..=64),
        max_open_messages: random.random_range(8..=600),
        disk_bytes: random.random_range(200_000..=3_000_000),
        destinations: random.random_range(1..=20),
        endpoints: random.random_range(1..=4),
        skew: between(random, 0.0, 1.2),
        service_time: ms(random, 5, 400),
        service_time_sigma: between(random, 0.1, 1.0),
        servers: random.random_range(1..=8),
        queue_capacity: random.random_range(0..=32),
        limit_multiple: if random.random::<bool>() { between(random, 0.8, 3.0) } else { 0.0 },
        retry_after: if random.random::<bool>() { ms(random, 100, 2_000) } else { Period::ms(0) },
        corrupted: Percent(if random.random::<f64>() < 0.2 { between(random, 0.0, 0.2) } else { 0.0 }),
        latency: ms(random, 0, 40),
        discovery_delay: ms(random, 0, 3_000),
        ..Scenario::default()
    };
    for _ in 0..random.random_range(0..=4) {
        let kind = FaultKind::DRAWN_FIRST[random.random_range(0..FaultKind::DRAWN_FIRST.len())];
        scenario.faults.push(InjectedFault {
            kind,
            at: ms(random, 500, length),
            duration: ms(random, 200, 8_000),
            destination_fraction: Percent(between(random, 0.05, 1.0)),
            sender_fraction: Percent(1.0),
            magnitude: between(random, 1.2, 4.0),
        });
    }
    // Half of the days are of a deployment with rooms, routes apart, batches or several classes.
    if random.random::<bool>() {
        scenario.sites = random.random_range(1..=2);
        scenario.separate_routes = random.random::<f64>() < 0.4;
        scenario.batch = if random.random::<f64>() < 0.4 { random.random_range(2..=10) } else { 1 };
        scenario.discovery_reports_rates = random.random::<bool>();
        let scopes = [Scope::Destination, Scope::Zone, Scope::Endpoint];
        scenario.dedup_scope = scopes[random.random_range(0..scopes.len())];
        for i in 0..random.random_range(0..=3) {
            let abandoned = random.random_range(2_000..=16_000u64);
            scenario.classes.push(TrafficClass {
                name: format!("class-{i}"),
                traffic_share: Percent(between(random, 0.1, 1.0)),
                effect: effects[random.random_range(0..effects.len())],
                wanted_within: Period::ms(abandoned / 5),
                abandoned_after: Period::ms(abandoned),
                value: between(random, 0.5, 4.0),
            });
        }
    }
    for kind in [FaultKind::Stall, FaultKind::Rude] {
        if random.random::<f64>() < 0.15 {
            scenario.faults.push(InjectedFault {
                kind,
                at: ms(random, 500, length),
                duration: ms(random, 200, 4_000),
                destination_fraction: Percent(1.0),
                sender_fraction: Percent(1.0),
                magnitude: between(random, 1.0, 6.0),
            });
        }
    }
    scenario
}

/// What the days of a large fleet are of, by turns of the seed.
const LARGE: [&str; 6] = ["herd", "region", "split", "lowered", "lossy", "roll"];

/// The day of a seed with hundreds of senders that share nothing: one large trouble that meets many of them, and one more
/// of any kind.
pub fn random_large_scenario(seed: u64) -> Scenario {
    let random = &mut random_stream(seed, 6);
    let length = random.random_range(9_000..=15_000u64);
    let senders = random.random_range(60..=300u32);
    let abandoned = random.random_range(4_000..=10_000u64);
    let effects = [Effect::Keyed, Effect::Keyed, Effect::Unsafe, Effect::Safe];
    let scopes = [Scope::Destination, Scope::Destination, Scope::Zone, Scope::Endpoint];
    let mut scenario = Scenario {
        seed: Some(seed),
        length: Period::ms(length),
        senders,
        rate: f64::from(senders) * between(random, 0.5, 2.0),
        clumps: Percent(between(random, 0.0, 0.1)),
        client_retries: random.random_range(0..=2),
        effect: effects[random.random_range(0..effects.len())],
        wanted_within: Period::ms(abandoned / 4),
        abandoned_after: Period::ms(abandoned),
        dedup_window: ms(random, 3_000, 15_000),
        dedup_scope: scopes[random.random_range(0..scopes.len())],
        slots: random.random_range(4..=10),
        max_open_messages: random.random_range(20..=120),
        destinations: random.random_range(8..=16),
        endpoints: 2,
        sites: random.random_range(2..=4),
        separate_routes: random.random::<f64>() < 0.25,
        discovery_reports_rates: random.random::<f64>() < 0.75,
        skew: between(random, 0.2, 1.0),
        service_time: ms(random, 20, 250),
        servers: random.random_range(8..=32),
        queue_capacity: random.random_range(8..=64),
        limit_multiple: if random.random::<f64>() < 0.75 { between(random, 0.8, 2.5) } else { 0.0 },
        retry_after: if random.random::<bool>() { ms(random, 200, 1_500) } else { Period::ms(0) },
        latency: ms(random, 1, 25),
        discovery_delay: ms(random, 50, 1_000),
        ..Scenario::default()
    };
    let trouble = |kind, at: u64, lasts: u64, part: f64, senders: f64, size: f64| InjectedFault {
        kind,
        at: Period::ms(at),
        duration: Period::ms(lasts),
        destination_fraction: Percent(part),
        sender_fraction: Percent(senders),
        magnitude: size,
    };
    let at = random.random_range(1_500..=3_500u64);
    scenario.faults = match LARGE[seed as usize % LARGE.len()] {
        "herd" => vec![
            trouble(FaultKind::Kill, at, 0, 1.0, 0.7, 2.0),
            trouble(
                FaultKind::Lower,
                at + 500,
                6_000,
                between(random, 0.2, 0.8),
                1.0,
                between(random, 1.5, 4.0),
            ),
            trouble(FaultKind::Kill, at + 6_500, 0, 1.0, 0.3, 2.0),
        ],
        "region" => {
            let kinds =
                [FaultKind::Silent, FaultKind::Refused, FaultKind::Hung, FaultKind::Reset, FaultKind::Shut];
            vec![
                trouble(kinds[random.random_range(0..kinds.len())], at, 5_000, 0.4, 1.0, 2.0),
                trouble(FaultKind::Burst, at + 5_000, 2_000, 1.0, 1.0, 1.5),
            ]
        }
        "split" => vec![
            trouble(FaultKind::Cut, at, 6_000, 1.0, 1.0, 2.0),
            trouble(FaultKind::Mute, at, 4_000, 1.0, between(random, 0.3, 1.0), 2.0),
            trouble(FaultKind::Drain, at + 1_000, 0, 0.3, 1.0, 2.0),
            trouble(FaultKind::Lossy, at + 2_000, 4_000, 0.5, 1.0, between(random, 8.0, 30.0)),
        ],
        "lowered" => vec![
            trouble(FaultKind::Lower, at, 5_000, 0.8, 1.0, between(random, 1.5, 6.0)),
            trouble(FaultKind::Impatient, at, 4_000, 1.0, 1.0, 2.0),
        ],
        "lossy" => {
            scenario.corrupted = Percent(between(random, 0.005, 0.05));
            vec![trouble(FaultKind::Lossy, at, 6_000, 1.0, 1.0, between(random, 6.0, 30.0))]
        }
        _ => vec![
            trouble(FaultKind::Roll, 500, length, 1.0, between(random, 0.3, 1.0), 2.0),
            trouble(FaultKind::Drain, at, 0, 0.6, 1.0, 2.0),
            trouble(FaultKind::Drain, at + 2_500, 0, 0.6, 1.0, 2.0),
        ],
    };
    let further = [
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
        kind: further[random.random_range(0..further.len())],
        at: ms(random, 500, length),
        duration: ms(random, 300, 5_000),
        destination_fraction: Percent(between(random, 0.05, 0.6)),
        sender_fraction: Percent(between(random, 0.05, 1.0)),
        magnitude: between(random, 1.3, 4.0),
    });
    // Drawn last, so that a seed's day stays but for this.
    scenario.membership_enabled = random.random::<f64>() < 0.3;
    scenario
}

//! Days drawn from the whole space of the model, for looking for what nobody thought of.
use crate::scenario::{Kind, Mix, Scenario, Trouble};
use crate::{stream, Random};
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
pub fn draw(seed: u64) -> Scenario {
    let random = &mut stream(seed, 0);
    let length = random.random_range(8_000..=30_000u64);
    let effects = [Effect::Keyed, Effect::Keyed, Effect::Unsafe, Effect::Safe];
    let abandoned = random.random_range(2_000..=16_000u64);
    let mut scenario = Scenario {
        seed: Some(seed),
        length: Period::ms(length),
        senders: random.random_range(1..=3),
        rate: between(random, 5.0, 120.0),
        clumps: Percent(between(random, 0.0, 0.3)),
        retries: random.random_range(0..=2),
        effect: effects[random.random_range(0..effects.len())],
        wanted_within: Period::ms(abandoned / 5),
        abandoned_after: Period::ms(abandoned),
        repeat_window: ms(random, 1_000, 20_000),
        slots: random.random_range(3..=64),
        held: random.random_range(8..=600),
        disk: random.random_range(200_000..=3_000_000),
        destinations: random.random_range(1..=20),
        endpoints: random.random_range(1..=4),
        skew: between(random, 0.0, 1.2),
        service: ms(random, 5, 400),
        spread: between(random, 0.1, 1.0),
        servers: random.random_range(1..=8),
        queue: random.random_range(0..=32),
        limit: if random.random::<bool>() { between(random, 0.8, 3.0) } else { 0.0 },
        told_wait: if random.random::<bool>() { ms(random, 100, 2_000) } else { Period::ms(0) },
        spoilt: Percent(if random.random::<f64>() < 0.2 { between(random, 0.0, 0.2) } else { 0.0 }),
        latency: ms(random, 0, 40),
        discovery_late: ms(random, 0, 3_000),
        ..Scenario::default()
    };
    for _ in 0..random.random_range(0..=4) {
        let kind = Kind::FIRST[random.random_range(0..Kind::FIRST.len())];
        scenario.troubles.push(Trouble {
            kind,
            at: ms(random, 500, length),
            lasts: ms(random, 200, 8_000),
            part: Percent(between(random, 0.05, 1.0)),
            senders: Percent(1.0),
            size: between(random, 1.2, 4.0),
        });
    }
    // Half of the days are of a deployment with rooms, routes apart, batches or several classes.
    if random.random::<bool>() {
        scenario.rooms = random.random_range(1..=2);
        scenario.routes_apart = random.random::<f64>() < 0.4;
        scenario.batch = if random.random::<f64>() < 0.4 { random.random_range(2..=10) } else { 1 };
        scenario.list_tells_rates = random.random::<bool>();
        let scopes = [Scope::Destination, Scope::Zone, Scope::Endpoint];
        scenario.repeats_known_by = scopes[random.random_range(0..scopes.len())];
        for i in 0..random.random_range(0..=3) {
            let abandoned = random.random_range(2_000..=16_000u64);
            scenario.classes.push(Mix {
                name: format!("class-{i}"),
                part: Percent(between(random, 0.1, 1.0)),
                effect: effects[random.random_range(0..effects.len())],
                wanted_within: Period::ms(abandoned / 5),
                abandoned_after: Period::ms(abandoned),
                worth: between(random, 0.5, 4.0),
            });
        }
    }
    for kind in [Kind::Stall, Kind::Rude] {
        if random.random::<f64>() < 0.15 {
            scenario.troubles.push(Trouble {
                kind,
                at: ms(random, 500, length),
                lasts: ms(random, 200, 4_000),
                part: Percent(1.0),
                senders: Percent(1.0),
                size: between(random, 1.0, 6.0),
            });
        }
    }
    scenario
}

/// What the days of a large fleet are of, by turns of the seed.
const LARGE: [&str; 6] = ["herd", "region", "split", "lowered", "lossy", "roll"];

/// The day of a seed with hundreds of senders that share nothing: one large trouble that meets many of them, and one more
/// of any kind.
pub fn draw_large(seed: u64) -> Scenario {
    let random = &mut stream(seed, 6);
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
        retries: random.random_range(0..=2),
        effect: effects[random.random_range(0..effects.len())],
        wanted_within: Period::ms(abandoned / 4),
        abandoned_after: Period::ms(abandoned),
        repeat_window: ms(random, 3_000, 15_000),
        repeats_known_by: scopes[random.random_range(0..scopes.len())],
        slots: random.random_range(4..=10),
        held: random.random_range(20..=120),
        destinations: random.random_range(8..=16),
        endpoints: 2,
        rooms: random.random_range(2..=4),
        routes_apart: random.random::<f64>() < 0.25,
        list_tells_rates: random.random::<f64>() < 0.75,
        skew: between(random, 0.2, 1.0),
        service: ms(random, 20, 250),
        servers: random.random_range(8..=32),
        queue: random.random_range(8..=64),
        limit: if random.random::<f64>() < 0.75 { between(random, 0.8, 2.5) } else { 0.0 },
        told_wait: if random.random::<bool>() { ms(random, 200, 1_500) } else { Period::ms(0) },
        latency: ms(random, 1, 25),
        discovery_late: ms(random, 50, 1_000),
        ..Scenario::default()
    };
    let trouble = |kind, at: u64, lasts: u64, part: f64, senders: f64, size: f64| Trouble {
        kind,
        at: Period::ms(at),
        lasts: Period::ms(lasts),
        part: Percent(part),
        senders: Percent(senders),
        size,
    };
    let at = random.random_range(1_500..=3_500u64);
    scenario.troubles = match LARGE[seed as usize % LARGE.len()] {
        "herd" => vec![
            trouble(Kind::Kill, at, 0, 1.0, 0.7, 2.0),
            trouble(Kind::Lower, at + 500, 6_000, between(random, 0.2, 0.8), 1.0, between(random, 1.5, 4.0)),
            trouble(Kind::Kill, at + 6_500, 0, 1.0, 0.3, 2.0),
        ],
        "region" => {
            let kinds = [Kind::Silent, Kind::Refused, Kind::Hung, Kind::Reset, Kind::Shut];
            vec![
                trouble(kinds[random.random_range(0..kinds.len())], at, 5_000, 0.4, 1.0, 2.0),
                trouble(Kind::Burst, at + 5_000, 2_000, 1.0, 1.0, 1.5),
            ]
        }
        "split" => vec![
            trouble(Kind::Cut, at, 6_000, 1.0, 1.0, 2.0),
            trouble(Kind::Mute, at, 4_000, 1.0, between(random, 0.3, 1.0), 2.0),
            trouble(Kind::Drain, at + 1_000, 0, 0.3, 1.0, 2.0),
            trouble(Kind::Lossy, at + 2_000, 4_000, 0.5, 1.0, between(random, 8.0, 30.0)),
        ],
        "lowered" => vec![
            trouble(Kind::Lower, at, 5_000, 0.8, 1.0, between(random, 1.5, 6.0)),
            trouble(Kind::Impatient, at, 4_000, 1.0, 1.0, 2.0),
        ],
        "lossy" => {
            scenario.spoilt = Percent(between(random, 0.005, 0.05));
            vec![trouble(Kind::Lossy, at, 6_000, 1.0, 1.0, between(random, 6.0, 30.0))]
        }
        _ => vec![
            trouble(Kind::Roll, 500, length, 1.0, between(random, 0.3, 1.0), 2.0),
            trouble(Kind::Drain, at, 0, 0.6, 1.0, 2.0),
            trouble(Kind::Drain, at + 2_500, 0, 0.6, 1.0, 2.0),
        ],
    };
    let further = [
        Kind::Silent,
        Kind::Refused,
        Kind::Errors,
        Kind::Slow,
        Kind::Drain,
        Kind::Replace,
        Kind::Pause,
        Kind::Reload,
        Kind::Mute,
        Kind::Jump,
        Kind::Burst,
        Kind::Stall,
        Kind::Lower,
        Kind::Impatient,
    ];
    scenario.troubles.push(Trouble {
        kind: further[random.random_range(0..further.len())],
        at: ms(random, 500, length),
        lasts: ms(random, 300, 5_000),
        part: Percent(between(random, 0.05, 0.6)),
        senders: Percent(between(random, 0.05, 1.0)),
        size: between(random, 1.3, 4.0),
    });
    // Drawn last, so that a seed's day stays but for this.
    scenario.notes = random.random::<f64>() < 0.3;
    scenario
}

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
                size: between(random, 1.0, 6.0),
            });
        }
    }
    scenario
}

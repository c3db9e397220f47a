//! What clients hand in: when, for whom, in clumps and bursts. Drawn ahead, so that it does not depend on answers.
use crate::scenario::{FaultKind, Scenario};
use crate::{random_stream, Us};
use rand::RngExt;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    pub at: Us,
    pub message: u64,
    pub sender: usize,
    /// Counts from 1.
    pub dest: u64,
    /// By `Scenario::mix`.
    pub class: usize,
}

/// The share of the traffic that each destination has, the largest first; they add up to 1.
pub fn traffic_shares(scenario: &Scenario) -> Vec<f64> {
    let raw: Vec<f64> = (1..=scenario.destinations).map(|i| f64::from(i).powf(-scenario.skew)).collect();
    let all: f64 = raw.iter().sum();
    raw.into_iter().map(|r| r / all).collect()
}

/// All messages of a day in the order of their times.
pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut random = random_stream(seed, 1);
    let shares = traffic_shares(scenario);
    let pick = |random: &mut crate::Random| {
        let mut left: f64 = random.random();
        let at = shares.iter().position(|share| {
            left -= share;
            left < 0.0
        });
        at.unwrap_or(shares.len() - 1) as u64 + 1
    };
    let end = scenario.length.0.as_micros() as Us;
    let mut out: Vec<Arrival> = Vec::new();
    let mut now = 0.0f64;
    while (now as Us) < end {
        let burst = scenario.faults.iter().filter(|t| t.kind == FaultKind::Burst);
        let times: f64 =
            burst.filter(|t| (t.start()..t.end()).contains(&(now as Us))).map(|t| t.magnitude).product();
        // Clumps bring their messages beside those that come one by one.
        let rate = (scenario.rate * times * (1.0 - scenario.clumps.0)).max(0.01);
        now += -(1.0 - random.random::<f64>()).ln() / rate * 1e6;
        let sender = random.random_range(0..scenario.senders as usize);
        let dest = pick(&mut random);
        out.push(Arrival { at: now as Us, message: 0, sender, dest, class: 0 });
        // A clump is about as much as its destination takes in two seconds.
        let size = (2.0 * scenario.rate * shares[dest as usize - 1]).max(2.0);
        let part = scenario.clumps.0 / (1.0 - scenario.clumps.0).max(0.01) / size;
        if random.random::<f64>() < part {
            out.extend((0..size as u64).map(|i| Arrival {
                at: now as Us + i * 2_000,
                message: 0,
                sender,
                dest,
                class: 0,
            }));
        }
    }
    out.retain(|a| a.at < end);
    out.sort_by_key(|a| (a.at, a.sender, a.dest));
    // From a stream of their own: what classes there are changes nothing for times and destinations.
    let mut random = random_stream(seed, 4);
    let parts: Vec<f64> = scenario.traffic_classes().iter().map(|c| c.traffic_share.0).collect();
    for (message, arrival) in out.iter_mut().enumerate() {
        arrival.message = message as u64;
        let mut left = random.random::<f64>() * parts.iter().sum::<f64>();
        let class = parts.iter().position(|part| {
            left -= part;
            left < 0.0
        });
        arrival.class = class.unwrap_or(parts.len() - 1);
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn as_many_come_as_the_rate_says_and_the_same_each_time() {
        let scenario =
            Scenario { length: nickelshed_config::units::Period::ms(200_000), ..Scenario::default() };
        let first = arrivals(&scenario, 7);
        assert_eq!(first, arrivals(&scenario, 7));
        assert_ne!(first, arrivals(&scenario, 8));
        let expected = 200.0 * scenario.rate;
        assert!((first.len() as f64 / expected - 1.0).abs() < 0.1, "{} of {expected}", first.len());
    }
}

//! The messages that clients submit, with clumps and bursts. They are drawn before the run, so that they do
//! not depend on the responses.
use crate::scenario::{FaultKind, Scenario};
use crate::{random_stream, Us};
use rand::RngExt;

/// The first submission of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    pub at: Us,
    /// Number of the message, in the order of arrival from 0.
    pub message: u64,
    /// Index of the sender that the message is submitted to.
    pub sender: usize,
    /// Number of the destination, from 1.
    pub dest: u64,
    /// Index into `Scenario::traffic_classes`.
    pub class: usize,
}

/// Returns the fraction of the traffic that each destination gets, the largest first. The fractions add up to
/// 1.
pub fn traffic_shares(scenario: &Scenario) -> Vec<f64> {
    let weights: Vec<f64> = (1..=scenario.destinations).map(|i| f64::from(i).powf(-scenario.skew)).collect();
    let total: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| weight / total).collect()
}

/// Returns all messages of a run in the order of their times.
pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut random = random_stream(seed, 1);
    let shares = traffic_shares(scenario);
    let random_destination = |random: &mut crate::Random| {
        let mut remaining: f64 = random.random();
        let index = shares.iter().position(|share| {
            remaining -= share;
            remaining < 0.0
        });
        index.unwrap_or(shares.len() - 1) as u64 + 1
    };
    let end = scenario.length.0.as_micros() as Us;
    let mut messages: Vec<Arrival> = Vec::new();
    let mut now = 0.0f64;
    while (now as Us) < end {
        let burst = scenario.faults.iter().filter(|fault| fault.kind == FaultKind::Burst);
        let rate_factor: f64 = burst
            .filter(|fault| (fault.start()..fault.end()).contains(&(now as Us)))
            .map(|fault| fault.magnitude)
            .product();
        // Messages in clumps are added to the single arrivals, so the rate of single arrivals is lower by
        // their fraction.
        let rate = (scenario.rate * rate_factor * (1.0 - scenario.clumps.0)).max(0.01);
        now += -(1.0 - random.random::<f64>()).ln() / rate * 1e6;
        let sender = random.random_range(0..scenario.senders as usize);
        let dest = random_destination(&mut random);
        messages.push(Arrival { at: now as Us, message: 0, sender, dest, class: 0 });
        // A clump has about as many messages as its destination gets in two seconds on average, 2 ms apart.
        let clump_size = (2.0 * scenario.rate * shares[dest as usize - 1]).max(2.0);
        let clump_probability = scenario.clumps.0 / (1.0 - scenario.clumps.0).max(0.01) / clump_size;
        if random.random::<f64>() < clump_probability {
            messages.extend((0..clump_size as u64).map(|i| Arrival {
                at: now as Us + i * 2_000,
                message: 0,
                sender,
                dest,
                class: 0,
            }));
        }
    }
    messages.retain(|a| a.at < end);
    messages.sort_by_key(|a| (a.at, a.sender, a.dest));
    // Classes have their own random stream, so that they do not change times and destinations.
    let mut random = random_stream(seed, 4);
    let class_shares: Vec<f64> = scenario.traffic_classes().iter().map(|c| c.traffic_share.0).collect();
    for (message, arrival) in messages.iter_mut().enumerate() {
        arrival.message = message as u64;
        let mut remaining = random.random::<f64>() * class_shares.iter().sum::<f64>();
        let class = class_shares.iter().position(|share| {
            remaining -= share;
            remaining < 0.0
        });
        arrival.class = class.unwrap_or(class_shares.len() - 1);
    }
    messages
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn arrivals_match_the_rate_and_are_reproducible_by_seed() {
        let scenario =
            Scenario { length: nickelshed_config::units::Period::ms(200_000), ..Scenario::default() };
        let first = arrivals(&scenario, 7);
        assert_eq!(first, arrivals(&scenario, 7));
        assert_ne!(first, arrivals(&scenario, 8));
        let expected = 200.0 * scenario.rate;
        assert!((first.len() as f64 / expected - 1.0).abs() < 0.1, "{} of {expected}", first.len());
    }
}

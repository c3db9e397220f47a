//! A reference schedule: how soon each message could be delivered by an oracle that knows the state of every
//! destination and is limited only by their capacity, without slots, suspicion or probes. It never exceeds
//! the capacity of a destination in slow start, and orders messages greedily. It is therefore a reference
//! figure and no upper bound: a sender that uses more of the load that a destination in slow start tolerates
//! can exceed it by a few hundredths.
use crate::destination::{SimulatedDestination, SLOW_START_DURATION, START_CAPACITY};
use crate::scenario::{FaultKind, Scenario};
use crate::traffic::{arrivals, traffic_shares, Arrival};
use crate::Us;

/// The scenario's faults as they affect one destination.
struct FaultTimeline<'a> {
    scenario: &'a Scenario,
    dest: u64,
}

impl FaultTimeline<'_> {
    fn active_faults(&self, at: Us) -> impl Iterator<Item = &crate::InjectedFault> {
        let is_active = move |fault: &&crate::InjectedFault| {
            self.dest <= u64::from(fault.affected_destinations(self.scenario.destinations))
                && (fault.start()..fault.end()).contains(&at)
        };
        self.scenario.faults.iter().filter(is_active)
    }

    /// Returns when the current outage ends, or None if there is none.
    fn outage_end(&self, at: Us) -> Option<Us> {
        self.active_faults(at).filter(|fault| fault.kind.is_outage()).map(|fault| fault.end()).max()
    }

    /// Capacity at a time at which there is no outage, as a fraction of the full capacity.
    fn capacity_fraction(&self, at: Us) -> f64 {
        let service_time_factor: f64 = self
            .active_faults(at)
            .filter(|fault| fault.kind == FaultKind::Slow)
            .map(|fault| fault.magnitude.max(0.01))
            .product();
        let is_past_outage = |fault: &&crate::InjectedFault| {
            fault.kind.is_outage()
                && self.dest <= u64::from(fault.affected_destinations(self.scenario.destinations))
                && fault.end() <= at
        };
        let recovered_at = self.scenario.faults.iter().filter(is_past_outage).map(|fault| fault.end()).max();
        let slow_start_progress = recovered_at
            .map_or(1.0, |recovered_at| ((at - recovered_at) as f64 / SLOW_START_DURATION as f64).min(1.0));
        (START_CAPACITY + (1.0 - START_CAPACITY) * slow_start_progress) / service_time_factor
    }
}

/// Returns, for each message by number, the time from submission to delivery, or None if it expires first.
/// Messages that can still meet their target latency go first, the earliest target first; then the late ones,
/// the most recently submitted first.
pub fn oracle(scenario: &Scenario, seed: u64) -> Vec<Option<Us>> {
    let messages = arrivals(scenario, seed);
    let mut latencies = vec![None; messages.len()];
    let classes: Vec<(Us, Us)> = scenario
        .traffic_classes()
        .iter()
        .map(|c| (c.wanted_within.0.as_micros() as Us, c.abandoned_after.0.as_micros() as Us))
        .collect();
    let (service_time, one_way_latency) =
        (scenario.service_time.0.as_micros() as Us, scenario.latency.0.as_micros() as Us);
    for (i, share) in traffic_shares(scenario).iter().enumerate() {
        let dest = i as u64 + 1;
        let faults = FaultTimeline { scenario, dest };
        let mut destination = SimulatedDestination::new(scenario, scenario.rate * share);
        (0..scenario.endpoints as usize).for_each(|e| destination.add_endpoint(e, 0));
        let capacity: f64 = destination.routes().into_iter().map(|r| destination.capacity(r)).sum();
        let mut pending_arrivals = messages.iter().filter(|a| a.dest == dest).peekable();
        let mut queue: Vec<&Arrival> = Vec::new();
        let mut now: Us = 0;
        loop {
            while let Some(arrival) = pending_arrivals.next_if(|a| a.at <= now) {
                queue.push(arrival);
            }
            if queue.is_empty() {
                let Some(next) = pending_arrivals.peek() else { break };
                now = now.max(next.at);
                continue;
            }
            if let Some(until) = faults.outage_end(now) {
                now = until;
                continue;
            }
            let capacity_fraction = faults.capacity_fraction(now).max(1e-6);
            let delivered_at = now + one_way_latency * 2 + (service_time as f64 / capacity_fraction) as Us;
            queue.retain(|a| delivered_at <= a.at + classes[a.class].1);
            let urgency = |a: &&Arrival| {
                let target = a.at + classes[a.class].0;
                // Messages in time sort by their target, late ones by their age with the youngest first.
                (
                    delivered_at > target,
                    if delivered_at > target { Us::MAX - a.at } else { target },
                    a.message,
                )
            };
            let Some(next_index) = (0..queue.len()).min_by_key(|&i| urgency(&queue[i])) else { continue };
            let arrival = queue.swap_remove(next_index);
            latencies[arrival.message as usize] = Some(delivered_at - arrival.at);
            now += (1e6 / (capacity * capacity_fraction).max(1e-6)) as Us;
        }
    }
    latencies
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::InjectedFault;
    use nickelshed_config::units::{Percent, Period};

    fn scenario_with(faults: Vec<InjectedFault>) -> Scenario {
        Scenario { length: Period::ms(20_000), destinations: 4, faults, ..Scenario::default() }
    }

    #[test]
    fn without_contention_most_messages_take_only_the_service_time() {
        // Without clumps, which arrive faster than any destination can serve them.
        let latencies =
            oracle(&Scenario { limit_multiple: 0.0, clumps: Percent(0.0), ..scenario_with(Vec::new()) }, 1);
        let immediate = latencies.iter().flatten().filter(|t| **t == 180_000).count();
        assert!(immediate * 2 > latencies.len(), "{immediate} of {}", latencies.len());
        assert!(latencies.iter().all(|t| t.is_some_and(|t| t >= 180_000)));
    }

    #[test]
    fn nothing_is_delivered_in_an_outage_and_slow_start_limits_the_rate_after_it() {
        let fault = InjectedFault {
            kind: FaultKind::Silent,
            at: Period::ms(2_000),
            duration: Period::ms(6_000),
            destination_fraction: Percent(1.0),
            sender_fraction: Percent(1.0),
            magnitude: 1.0,
        };
        let scenario = scenario_with(vec![fault]);
        let latencies = oracle(&scenario, 1);
        let messages = arrivals(&scenario, 1);
        let delivered_at: Vec<Us> =
            messages.iter().filter_map(|a| Some(a.at + latencies[a.message as usize]?)).collect();
        let service = 20_000 + 160_000;
        assert!(delivered_at.iter().all(|t| !(2_000_000 + service..8_000_000 + service).contains(t)));
        // The full capacity of the four destinations together is 1.5 times the message rate. In the first
        // second after the outage they have about a quarter of it.
        let first_second = delivered_at.iter().filter(|t| (8_000_000..9_000_000).contains(*t)).count();
        assert!(first_second <= 30, "{first_second}");
        assert!(latencies.iter().any(Option::is_none) || latencies.iter().flatten().any(|t| *t > 3_000_000));
    }
}

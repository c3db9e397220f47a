//! How soon each message could be delivered by one who knows how every destination stands and whom only the destinations'
//! own pace binds: no slots, no doubt, no trials. It goes no faster than what a cold destination can do, and chooses its
//! order greedily, so that it is a mark to compare with and no bound: a sender that uses more of what a cold one stands
//! can come a few hundredths past it.
use crate::scenario::{FaultKind, Scenario};
use crate::system::{SimulatedDestination, SLOW_START_DURATION, START_CAPACITY};
use crate::traffic::{arrivals, traffic_shares, Arrival};
use crate::Us;

/// A destination's outages and slow times, as far as it is met.
struct Times<'a> {
    scenario: &'a Scenario,
    dest: u64,
}

impl Times<'_> {
    fn meeting(&self, at: Us) -> impl Iterator<Item = &crate::InjectedFault> {
        let met = move |t: &&crate::InjectedFault| {
            self.dest <= u64::from(t.affected_destinations(self.scenario.destinations))
                && (t.start()..t.end()).contains(&at)
        };
        self.scenario.faults.iter().filter(met)
    }

    /// When an outage that is under way then ends.
    fn out_until(&self, at: Us) -> Option<Us> {
        self.meeting(at).filter(|t| t.kind.is_outage()).map(|t| t.end()).max()
    }

    /// The part of its capacity that it has then, while it is not out.
    fn able(&self, at: Us) -> f64 {
        let slow: f64 =
            self.meeting(at).filter(|t| t.kind == FaultKind::Slow).map(|t| t.magnitude.max(0.01)).product();
        let met = |t: &&crate::InjectedFault| {
            t.kind.is_outage()
                && self.dest <= u64::from(t.affected_destinations(self.scenario.destinations))
                && t.end() <= at
        };
        let back = self.scenario.faults.iter().filter(met).map(|t| t.end()).max();
        let warm = back.map_or(1.0, |back| ((at - back) as f64 / SLOW_START_DURATION as f64).min(1.0));
        (START_CAPACITY + (1.0 - START_CAPACITY) * warm) / slow
    }
}

/// For each message of the day, by its number, the time from when it is handed in; None where its time is up before.
/// What still is in time goes first, the most urgent before the others; then what is late, the freshest first.
pub fn oracle(scenario: &Scenario, seed: u64) -> Vec<Option<Us>> {
    let all = arrivals(scenario, seed);
    let mut out = vec![None; all.len()];
    let classes: Vec<(Us, Us)> = scenario
        .traffic_classes()
        .iter()
        .map(|c| (c.wanted_within.0.as_micros() as Us, c.abandoned_after.0.as_micros() as Us))
        .collect();
    let (service, way) = (scenario.service_time.0.as_micros() as Us, scenario.latency.0.as_micros() as Us);
    for (i, share) in traffic_shares(scenario).iter().enumerate() {
        let dest = i as u64 + 1;
        let times = Times { scenario, dest };
        let mut system = SimulatedDestination::new(scenario, scenario.rate * share);
        (0..scenario.endpoints as usize).for_each(|e| system.add_endpoint(e, 0));
        let capacity: f64 = system.routes().into_iter().map(|r| system.capacity(r)).sum();
        let mut coming = all.iter().filter(|a| a.dest == dest).peekable();
        let mut waiting: Vec<&Arrival> = Vec::new();
        let mut now: Us = 0;
        loop {
            while let Some(arrival) = coming.next_if(|a| a.at <= now) {
                waiting.push(arrival);
            }
            if waiting.is_empty() {
                let Some(next) = coming.peek() else { break };
                now = now.max(next.at);
                continue;
            }
            if let Some(until) = times.out_until(now) {
                now = until;
                continue;
            }
            let able = times.able(now).max(1e-6);
            let done = now + way * 2 + (service as f64 / able) as Us;
            waiting.retain(|a| done <= a.at + classes[a.class].1);
            let urgency = |a: &&Arrival| {
                let wanted = a.at + classes[a.class].0;
                // Those in time by their end, then the others by their age.
                (done > wanted, if done > wanted { Us::MAX - a.at } else { wanted }, a.message)
            };
            let Some(best) = (0..waiting.len()).min_by_key(|&i| urgency(&waiting[i])) else { continue };
            let arrival = waiting.swap_remove(best);
            out[arrival.message as usize] = Some(done - arrival.at);
            now += (1e6 / (capacity * able).max(1e-6)) as Us;
        }
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::InjectedFault;
    use nickelshed_config::units::{Percent, Period};

    fn day(troubles: Vec<InjectedFault>) -> Scenario {
        Scenario { length: Period::ms(20_000), destinations: 4, faults: troubles, ..Scenario::default() }
    }

    #[test]
    fn where_nothing_is_short_nearly_all_is_as_soon_as_the_service() {
        // Clumps come faster than any destination works.
        let found = oracle(&Scenario { limit_multiple: 0.0, clumps: Percent(0.0), ..day(Vec::new()) }, 1);
        let at_once = found.iter().flatten().filter(|t| **t == 180_000).count();
        assert!(at_once * 2 > found.len(), "{at_once} of {}", found.len());
        assert!(found.iter().all(|t| t.is_some_and(|t| t >= 180_000)));
    }

    #[test]
    fn nothing_is_delivered_in_an_outage_and_after_it_no_more_than_the_destination_can_do() {
        let trouble = InjectedFault {
            kind: FaultKind::Silent,
            at: Period::ms(2_000),
            duration: Period::ms(6_000),
            destination_fraction: Percent(1.0),
            sender_fraction: Percent(1.0),
            magnitude: 1.0,
        };
        let scenario = day(vec![trouble]);
        let found = oracle(&scenario, 1);
        let all = arrivals(&scenario, 1);
        let done: Vec<Us> = all.iter().filter_map(|a| Some(a.at + found[a.message as usize]?)).collect();
        let service = 20_000 + 160_000;
        assert!(done.iter().all(|t| !(2_000_000 + service..8_000_000 + service).contains(t)));
        // All four together have 1.5 times the rate, and a quarter of that in the first second after.
        let first = done.iter().filter(|t| (8_000_000..9_000_000).contains(*t)).count();
        assert!(first <= 30, "{first}");
        assert!(found.iter().any(Option::is_none) || found.iter().flatten().any(|t| *t > 3_000_000));
    }
}

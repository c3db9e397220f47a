//! A simulated destination: its endpoints, their capacity, and the result of each call.
use crate::scenario::{FaultKind, Scenario};
use crate::{Random, Us};
use nickelshed_config::sidecar::Scope;
use rand::RngExt;
use rand_distr::{Distribution, LogNormal};
use std::collections::{BTreeMap, VecDeque};

// The constants of slow start and overload have the values that the delivery rules state.
/// Capacity at the start of slow start, as a fraction of the full capacity.
pub const START_CAPACITY: f64 = 0.26;
/// Time in which the capacity rises linearly to the full capacity after a recovery.
pub const SLOW_START_DURATION: Us = 9_500_000;
/// A destination in slow start is allowed this multiple of its current capacity over `OVERLOAD_WINDOW`.
const OVERLOAD_MULTIPLE: f64 = 1.5;
const OVERLOAD_WINDOW: Us = 2_000_000;

/// Returns the amount of work within the overload window above which a destination in slow start collapses,
/// if it is allowed the amount `allowed`. The margin above `allowed` is twice the standard deviation of a
/// Poisson-distributed sum, plus two, so that random bunching of arrivals alone rarely causes a collapse.
pub fn collapse_threshold(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// Cost of each message of a call after the first, relative to the first.
const FURTHER_MESSAGE_COST: f64 = 0.1;

/// A message in a call: its id, and the key by which the destination recognises a repeat, if it has one.
#[derive(Clone, Debug)]
pub struct CallMessage {
    pub id: String,
    pub key: Option<String>,
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallResult {
    /// For each message in the order of the call, when it completes and whether it takes effect (false for a
    /// dropped repeat); None if it is not executed.
    pub executions: Vec<Option<(Us, bool)>>,
    pub outcome: CallOutcome,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A response at time `at`; `retry_after` is the wait that it requests, or 0.
    Answered { at: Us, status: u16, retry_after: Us },
    /// A response that cannot be parsed, after execution.
    Corrupted { at: Us },
    /// The connection is reset.
    Reset { at: Us },
    /// No response ever arrives.
    NoAnswer,
}

struct Endpoint {
    site: usize,
    /// Time at which each server becomes free.
    server_free_at: Vec<Us>,
}

/// Endpoints that share one limit and one outage state: all of a destination, or one if endpoints are
/// separate routes.
struct Route {
    /// Calls per second that it accepts; 0 for no limit.
    limit: f64,
    /// Calls that it accepts at once, as of `refilled_at`.
    tokens: f64,
    refilled_at: Us,
    outage: Option<FaultKind>,
    /// Time at which the outage ends.
    outage_end: Us,
    /// Fraction of its rejections that report the end of the outage as a retry-after wait, during a `Shut`
    /// outage.
    retry_after_probability: f64,
    service_time_factor: f64,
    /// Fraction of its calls that are lost.
    loss_probability: f64,
    /// Divisor of the limit.
    limit_divisor: f64,
    /// End of the last outage; None before the first.
    recovered_at: Option<Us>,
    /// Time and cost of the calls since the recovery, within the overload window.
    recent_work: VecDeque<(Us, f64)>,
    /// Whether it was overloaded in slow start. It then answers no call until the end of the run.
    has_collapsed: bool,
}

impl Route {
    fn new(limit: f64) -> Route {
        let recent_work = VecDeque::new();
        Route {
            limit,
            tokens: limit,
            refilled_at: 0,
            outage: None,
            outage_end: 0,
            retry_after_probability: 0.0,
            service_time_factor: 1.0,
            loss_probability: 0.0,
            limit_divisor: 1.0,
            recovered_at: None,
            recent_work,
            has_collapsed: false,
        }
    }

    /// Current capacity as a fraction of the full capacity.
    fn capacity_fraction(&self, now: Us) -> f64 {
        match self.recovered_at {
            Some(recovered_at) if now < recovered_at + SLOW_START_DURATION => {
                START_CAPACITY
                    + (1.0 - START_CAPACITY) * (now - recovered_at) as f64 / SLOW_START_DURATION as f64
            }
            _ => 1.0,
        }
    }

    /// Records the cost of a call to a route in slow start. The route collapses if the cost of its calls
    /// within the overload window exceeds the collapse threshold. `capacity` is its full capacity in messages
    /// per second.
    fn record_work(&mut self, now: Us, work: f64, capacity: f64) {
        let Some(since) = self.recovered_at.filter(|t| now < t + SLOW_START_DURATION) else { return };
        self.recent_work.push_back((now, work));
        while self.recent_work.front().is_some_and(|(t, _)| t + OVERLOAD_WINDOW < now) {
            self.recent_work.pop_front();
        }
        let window_start = now.saturating_sub(OVERLOAD_WINDOW).max(since);
        let capacity_fraction = (self.capacity_fraction(window_start) + self.capacity_fraction(now)) / 2.0;
        let allowed = OVERLOAD_MULTIPLE * capacity * capacity_fraction * OVERLOAD_WINDOW as f64 / 1e6;
        if self.recent_work.iter().map(|(_, work)| work).sum::<f64>() > collapse_threshold(allowed) {
            self.has_collapsed = true;
        }
    }

    /// Refills the token bucket, which holds at most the calls of one second.
    fn refill(&mut self, now: Us) {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        let limit = self.current_limit();
        self.tokens = (self.tokens + elapsed * limit).min(limit.max(1.0));
        self.refilled_at = now;
    }

    /// Current limit in calls per second.
    fn current_limit(&self) -> f64 {
        self.limit / self.limit_divisor
    }

    /// Takes the token for a call. Returns false if the call is above the limit.
    fn take_token(&mut self, now: Us) -> bool {
        if self.limit == 0.0 {
            return true;
        }
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// A simulated destination with its endpoints, its routes and the keys that it remembers.
pub struct SimulatedDestination {
    scenario: Scenario,
    limit: f64,
    endpoints: BTreeMap<usize, Endpoint>,
    /// By endpoint if endpoints are separate routes; otherwise a single entry under None.
    routes: BTreeMap<Option<usize>, Route>,
    /// Arrival time of the call that last executed each key, by dedup domain and key. The dedup domain is 0,
    /// the site or the endpoint, according to the dedup scope.
    executed_keys: BTreeMap<(usize, String), Us>,
}

impl SimulatedDestination {
    /// `rate` is the mean number of messages per second for this destination.
    pub fn new(scenario: &Scenario, rate: f64) -> SimulatedDestination {
        let routes = if scenario.separate_routes { f64::from(scenario.endpoints.max(1)) } else { 1.0 };
        let limit = scenario.limit_multiple * rate / routes;
        // A destination with little traffic still accepts at least two calls per second.
        let limit = if scenario.limit_multiple > 0.0 { limit.max(2.0) } else { 0.0 };
        let mut destination = SimulatedDestination {
            scenario: scenario.clone(),
            limit,
            endpoints: BTreeMap::new(),
            routes: BTreeMap::new(),
            executed_keys: BTreeMap::new(),
        };
        if !scenario.separate_routes {
            destination.routes.insert(None, Route::new(limit));
        }
        destination
    }

    /// Cost of a call with this many messages, in units of a single-message call.
    pub fn call_cost(messages: usize) -> f64 {
        1.0 + FURTHER_MESSAGE_COST * (messages.max(1) as f64 - 1.0)
    }

    /// Returns the route of an endpoint, or None if all endpoints share one.
    pub fn route_of(&self, endpoint: usize) -> Option<usize> {
        self.scenario.separate_routes.then_some(endpoint)
    }

    pub fn routes(&self) -> Vec<Option<usize>> {
        self.routes.keys().copied().collect()
    }

    pub fn add_endpoint(&mut self, endpoint: usize, site: usize) {
        let server_free_at = vec![0; self.scenario.servers as usize];
        self.endpoints.insert(endpoint, Endpoint { site, server_free_at });
        self.routes.entry(self.route_of(endpoint)).or_insert_with(|| Route::new(self.limit));
    }

    pub fn remove_endpoint(&mut self, endpoint: usize) {
        self.endpoints.remove(&endpoint);
        if self.scenario.separate_routes {
            self.routes.remove(&Some(endpoint));
        }
    }

    /// Messages per second that a route serves once warmed up.
    pub fn capacity(&self, route: Option<usize>) -> f64 {
        let per_endpoint =
            f64::from(self.scenario.servers) / self.scenario.service_time.0.as_secs_f64().max(1e-3);
        let endpoints = if route.is_some() { 1 } else { self.endpoints.len().max(1) };
        let total = per_endpoint * endpoints as f64;
        if self.limit > 0.0 {
            total.min(self.limit)
        } else {
            total
        }
    }

    /// Starts a fault that lasts until `until`. If the scenario sets a retry-after wait, a fraction
    /// 1/`magnitude` of the rejections of a `Shut` destination report when it ends.
    pub fn start_fault(&mut self, kind: FaultKind, magnitude: f64, until: Us) {
        let retry_after_probability =
            if self.scenario.retry_after.0.is_zero() { 0.0 } else { 1.0 / magnitude.max(1.0) };
        for route in self.routes.values_mut() {
            match kind {
                FaultKind::Slow => route.service_time_factor = magnitude.max(0.01),
                FaultKind::Lossy => route.loss_probability = 1.0 / magnitude.max(1.0),
                FaultKind::Lower => route.limit_divisor = magnitude.max(1.0),
                _ => {
                    (route.outage, route.outage_end, route.retry_after_probability) =
                        (Some(kind), until, retry_after_probability)
                }
            }
        }
    }

    /// Ends a fault. After an outage the routes are in slow start.
    pub fn end_fault(&mut self, now: Us, kind: FaultKind) {
        for route in self.routes.values_mut() {
            match kind {
                FaultKind::Slow => route.service_time_factor = 1.0,
                FaultKind::Lossy => route.loss_probability = 0.0,
                FaultKind::Lower => route.limit_divisor = 1.0,
                _ => {
                    route.outage = None;
                    route.recovered_at = Some(now);
                    route.recent_work.clear();
                }
            }
        }
    }

    /// Returns the load report that the responses of an endpoint carry: the remaining fraction of its limit,
    /// and the limit in calls per second. None if the endpoint has no limit or has been removed.
    pub fn load_report(&mut self, now: Us, endpoint: usize) -> Option<(f64, f64)> {
        let route_id = self.route_of(endpoint);
        let route = self.routes.get_mut(&route_id)?;
        route.refill(now);
        let limit = route.current_limit();
        (limit > 0.0).then(|| ((route.tokens / limit.max(1.0)).clamp(0.0, 1.0), limit))
    }

    /// Whether the route of an endpoint has collapsed under overload in slow start.
    pub fn has_collapsed(&self, endpoint: usize) -> bool {
        self.routes.get(&self.route_of(endpoint)).is_some_and(|r| r.has_collapsed)
    }

    /// Handles a call whose last byte arrived at an endpoint, and returns the result.
    pub fn handle_call(
        &mut self,
        now: Us,
        endpoint: usize,
        messages: &[CallMessage],
        random: &mut Random,
    ) -> CallResult {
        let not_executed = vec![None; messages.len()];
        let rejected = |at, status, retry_after| CallResult {
            executions: vec![None; messages.len()],
            outcome: CallOutcome::Answered { at, status, retry_after },
        };
        let rejection_time = now + 1_000;
        let route_id = self.route_of(endpoint);
        let capacity = self.capacity(route_id);
        let Some(route) = self.routes.get_mut(&route_id) else { return rejected(rejection_time, 503, 0) };
        if !route.has_collapsed {
            route.record_work(now, SimulatedDestination::call_cost(messages.len()), capacity);
        }
        if route.has_collapsed {
            return CallResult { executions: not_executed, outcome: CallOutcome::NoAnswer };
        }
        match route.outage {
            Some(FaultKind::Silent | FaultKind::Refused) => {
                return CallResult { executions: not_executed, outcome: CallOutcome::NoAnswer }
            }
            Some(FaultKind::Hung) => {
                return CallResult {
                    executions: self.execute(now, endpoint, messages, random),
                    outcome: CallOutcome::NoAnswer,
                };
            }
            Some(FaultKind::Reset) => {
                let executions = if random.random::<bool>() {
                    self.execute(now, endpoint, messages, random)
                } else {
                    not_executed
                };
                return CallResult { executions, outcome: CallOutcome::Reset { at: now + 20_000 } };
            }
            Some(FaultKind::Shut) => {
                let reports_end = route.retry_after_probability > 0.0
                    && random.random::<f64>() < route.retry_after_probability;
                let retry_after =
                    if reports_end { route.outage_end.saturating_sub(rejection_time) } else { 0 };
                return rejected(rejection_time, if retry_after > 0 { 429 } else { 503 }, retry_after);
            }
            Some(FaultKind::Errors) if random.random::<f64>() < 0.9 => {
                let executions = if random.random::<bool>() {
                    self.execute(now, endpoint, messages, random)
                } else {
                    not_executed
                };
                return CallResult {
                    executions,
                    outcome: CallOutcome::Answered { at: now + 20_000, status: 500, retry_after: 0 },
                };
            }
            _ => {}
        }
        if !route.take_token(now) {
            let retry_after = self.scenario.retry_after.0.as_micros() as Us;
            return rejected(rejection_time, if retry_after > 0 { 429 } else { 503 }, retry_after);
        }
        let loss_probability = route.loss_probability;
        let Some(state) = self.endpoints.get(&endpoint) else { return rejected(rejection_time, 503, 0) };
        let busy_servers = state.server_free_at.iter().filter(|free_at| **free_at > now).count();
        let backlog = state.server_free_at.iter().map(|free_at| free_at.saturating_sub(now)).sum::<Us>();
        let median_service_time = (self.scenario.service_time.0.as_micros() as Us).max(1);
        if busy_servers == state.server_free_at.len()
            && backlog / median_service_time > Us::from(self.scenario.queue_capacity) + busy_servers as Us
        {
            return rejected(rejection_time, 503, 0);
        }
        if loss_probability > 0.0 && random.random::<f64>() < loss_probability {
            return match random.random_range(0..3) {
                0 => {
                    CallResult { executions: not_executed, outcome: CallOutcome::Reset { at: now + 20_000 } }
                }
                1 => CallResult {
                    executions: self.execute(now, endpoint, messages, random),
                    outcome: CallOutcome::Reset { at: now + 20_000 },
                },
                _ => CallResult {
                    executions: self.execute(now, endpoint, messages, random),
                    outcome: CallOutcome::NoAnswer,
                },
            };
        }
        let executions = self.execute(now, endpoint, messages, random);
        let at = executions.iter().flatten().map(|(at, _)| *at).max().unwrap_or(rejection_time);
        let corrupted = random.random::<f64>() < self.scenario.corrupted.0;
        let outcome = if corrupted {
            CallOutcome::Corrupted { at }
        } else {
            CallOutcome::Answered { at, status: 200, retry_after: 0 }
        };
        CallResult { executions, outcome }
    }

    /// Executes the messages of a call as one unit of work. Returns when each message completes and whether
    /// it takes effect.
    fn execute(
        &mut self,
        now: Us,
        endpoint: usize,
        messages: &[CallMessage],
        random: &mut Random,
    ) -> Vec<Option<(Us, bool)>> {
        let not_executed = vec![None; messages.len()];
        let Some(route) = self.routes.get(&self.route_of(endpoint)) else { return not_executed };
        let median = self.scenario.service_time.0.as_micros().max(1) as f64 * route.service_time_factor
            / route.capacity_fraction(now);
        // The median of a log-normal distribution is the exponential of its mean.
        let service_time = LogNormal::new(median.ln(), self.scenario.service_time_sigma)
            .map_or(median, |d| d.sample(random));
        let Some(state) = self.endpoints.get_mut(&endpoint) else { return not_executed };
        let Some(server) = state.server_free_at.iter_mut().min() else { return not_executed };
        let call_time = service_time * SimulatedDestination::call_cost(messages.len());
        let at = (*server).max(now) + (call_time as Us).clamp(1, 600_000_000);
        *server = at;
        let window = self.scenario.dedup_window.0.as_micros() as Us;
        let dedup_domain = match self.scenario.dedup_scope {
            Scope::Destination => 0,
            Scope::Zone => state.site,
            Scope::Endpoint => endpoint,
        };
        let mut execute_once = |message: &CallMessage| {
            let Some(key) = &message.key else { return Some((at, true)) };
            // A key is known from the start of its execution, so that a repeat that overtakes the original is
            // dropped.
            match self.executed_keys.get(&(dedup_domain, key.clone())) {
                Some(since) if now < since + window => Some((at, false)),
                _ => {
                    self.executed_keys.insert((dedup_domain, key.clone()), now);
                    Some((at, true))
                }
            }
        };
        messages.iter().map(&mut execute_once).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn call(id: &str) -> CallMessage {
        CallMessage { id: id.into(), key: Some(id.into()) }
    }

    fn destination(scenario: &Scenario) -> SimulatedDestination {
        let mut destination = SimulatedDestination::new(scenario, 10.0);
        destination.add_endpoint(0, 0);
        destination
    }

    #[test]
    fn a_repeat_is_dropped_within_the_dedup_window_and_executed_after_it() {
        let mut destination = destination(&Scenario { limit_multiple: 0.0, ..Scenario::default() });
        let mut random = crate::random_stream(1, 1);
        assert!(destination.handle_call(0, 0, &[call("a")], &mut random).executions[0].unwrap().1);
        assert!(!destination.handle_call(14_999_999, 0, &[call("a")], &mut random).executions[0].unwrap().1);
        assert!(destination.handle_call(15_000_000, 0, &[call("a")], &mut random).executions[0].unwrap().1);
    }

    #[test]
    fn a_destination_in_slow_start_collapses_only_above_the_threshold() {
        let scenario = Scenario { limit_multiple: 1.0, ..Scenario::default() };
        let threshold =
            collapse_threshold(10.0 * OVERLOAD_MULTIPLE * OVERLOAD_WINDOW as f64 / 1e6 * START_CAPACITY);
        for (calls, collapses) in [(threshold as usize, false), (threshold as usize + 2, true)] {
            let mut destination = destination(&scenario);
            destination.start_fault(FaultKind::Silent, 1.0, Us::MAX);
            destination.end_fault(1_000_000, FaultKind::Silent);
            for i in 0..calls {
                destination.handle_call(
                    1_000_000,
                    0,
                    &[call(&i.to_string())],
                    &mut crate::random_stream(1, 1),
                );
            }
            assert_eq!(destination.has_collapsed(0), collapses, "{calls}");
        }
    }

    #[test]
    fn calls_above_the_limit_and_with_a_full_queue_are_rejected() {
        let scenario = Scenario {
            retry_after: nickelshed_config::units::Period::ms(700),
            limit_multiple: 1.0,
            ..Scenario::default()
        };
        let mut limited = destination(&scenario);
        let mut random = crate::random_stream(1, 1);
        let results: Vec<CallResult> =
            (0..12).map(|i| limited.handle_call(0, 0, &[call(&i.to_string())], &mut random)).collect();
        let rejected = CallOutcome::Answered { at: 1_000, status: 429, retry_after: 700_000 };
        assert_eq!(results.iter().filter(|r| r.outcome == rejected && r.executions == [None]).count(), 2);
        let mut full = destination(&Scenario {
            limit_multiple: 0.0,
            queue_capacity: 2,
            servers: 1,
            ..Scenario::default()
        });
        let results: Vec<CallResult> =
            (0..20).map(|i| full.handle_call(0, 0, &[call(&i.to_string())], &mut random)).collect();
        assert!(results.iter().any(|r| matches!(r.outcome, CallOutcome::Answered { status: 503, .. })));
    }

    #[test]
    fn a_repeat_is_dropped_only_within_its_dedup_scope() {
        let executes_again = |scope, first: usize, second: usize| {
            let scenario =
                Scenario { limit_multiple: 0.0, dedup_scope: scope, sites: 2, ..Scenario::default() };
            let mut destination = SimulatedDestination::new(&scenario, 10.0);
            (0..4).for_each(|e| destination.add_endpoint(e, scenario.site_of(e)));
            let mut random = crate::random_stream(1, 1);
            destination.handle_call(0, first, &[call("a")], &mut random);
            destination.handle_call(10, second, &[call("a")], &mut random).executions[0].unwrap().1
        };
        assert!(!executes_again(Scope::Destination, 0, 1));
        assert!(executes_again(Scope::Zone, 0, 1) && !executes_again(Scope::Zone, 0, 2));
        assert!(executes_again(Scope::Endpoint, 0, 2) && !executes_again(Scope::Endpoint, 1, 1));
    }

    #[test]
    fn separate_routes_have_separate_limits_and_collapse_separately() {
        let scenario =
            Scenario { limit_multiple: 1.0, separate_routes: true, endpoints: 2, ..Scenario::default() };
        let mut destination = SimulatedDestination::new(&scenario, 10.0);
        (0..2).for_each(|e| destination.add_endpoint(e, 0));
        let mut random = crate::random_stream(1, 1);
        // Each route accepts five calls per second; exhausting one leaves the limit of the other unchanged.
        let mut status = |destination: &mut SimulatedDestination, endpoint| match destination
            .handle_call(0, endpoint, &[call("x")], &mut random)
            .outcome
        {
            CallOutcome::Answered { status, .. } => status,
            _ => 0,
        };
        let first: Vec<u16> = (0..6).map(|_| status(&mut destination, 0)).collect();
        assert_eq!(first, [200, 200, 200, 200, 200, 503]);
        assert_eq!(status(&mut destination, 1), 200);
        destination.start_fault(FaultKind::Silent, 1.0, Us::MAX);
        destination.end_fault(1_000_000, FaultKind::Silent);
        for i in 0..40 {
            destination.handle_call(1_000_000, 0, &[call(&i.to_string())], &mut crate::random_stream(1, 1));
        }
        assert!(destination.has_collapsed(0) && !destination.has_collapsed(1));
    }
}

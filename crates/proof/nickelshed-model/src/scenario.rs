//! The description of a run, read from a TOML file.
use crate::Us;
use nickelshed_config::sidecar::{Effect, Scope};
use nickelshed_config::units::{Percent, Period};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A run: the traffic that clients submit, the destinations, and the faults to inject.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Seed of the run, unless the caller gives another.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
    /// How long clients submit messages. The run then continues until all accepted messages have finished.
    pub length: Period,
    /// Number of senders, which share no state.
    pub senders: u32,
    /// Messages per second over all senders.
    pub rate: f64,
    /// Fraction of the messages that arrive in clumps for one destination.
    pub clumps: Percent,
    /// How often a client submits a refused message again.
    #[serde(rename = "retries")]
    pub client_retries: u32,
    /// Whether messages may take effect twice, and whether they have a key by which destinations drop
    /// repeats.
    pub effect: Effect,
    /// Target latency of a message.
    pub wanted_within: Period,
    /// Time after which a message expires.
    pub abandoned_after: Period,
    /// How long destinations remember keys and drop repeats.
    #[serde(rename = "repeat_window")]
    pub dedup_window: Period,
    /// The endpoints of a destination that share remembered keys: all of them, those of one site, or each by
    /// itself.
    #[serde(rename = "repeats_known_by")]
    pub dedup_scope: Scope,
    /// Calls that a sender may have in flight.
    pub slots: u32,
    /// Accepted messages that a sender may have open.
    #[serde(rename = "held")]
    pub max_open_messages: u32,
    /// Disk space of a sender, in bytes.
    #[serde(rename = "disk")]
    pub disk_bytes: u64,
    /// Number of destinations.
    pub destinations: u32,
    /// Number of endpoints of each destination.
    pub endpoints: u32,
    /// Number of sites. Endpoints and senders are assigned to them round-robin.
    #[serde(rename = "rooms")]
    pub sites: u32,
    /// Whether each endpoint is a route of its own, with its own limit, retry-after waits and outages.
    #[serde(rename = "routes_apart")]
    pub separate_routes: bool,
    /// Largest number of messages in a call.
    pub batch: u32,
    /// Whether discovery lists an estimated rate for each destination.
    #[serde(rename = "list_tells_rates")]
    pub discovery_reports_rates: bool,
    /// Exponent of the Zipf distribution of the traffic over destinations: 0 spreads it evenly, 1
    /// concentrates it on a few.
    pub skew: f64,
    /// Median service time of an endpoint for a message.
    #[serde(rename = "service")]
    pub service_time: Period,
    /// Standard deviation of the logarithm of the service time.
    #[serde(rename = "spread")]
    pub service_time_sigma: f64,
    /// Calls that an endpoint serves concurrently.
    pub servers: u32,
    /// Calls that may wait for a server at an endpoint; above that, calls are answered 503. The number of
    /// waiting calls is estimated as the endpoint's backlog divided by the median service time.
    #[serde(rename = "queue")]
    pub queue_capacity: u32,
    /// Rate limit of a destination as a multiple of its share of the traffic; 0 for no limit. Above it, the
    /// destination answers 503, or 429 with a retry-after wait.
    #[serde(rename = "limit")]
    pub limit_multiple: f64,
    /// Retry-after wait in responses above the limit; 0 for none.
    #[serde(rename = "told_wait")]
    pub retry_after: Period,
    /// Fraction of the responses that are corrupted.
    #[serde(rename = "spoilt")]
    pub corrupted: Percent,
    /// Fraction of the endpoints' answers that are written twice.
    pub copied: Percent,
    /// Fraction of the discovery agents' answers, to watches and to notices, that are written twice.
    pub agent_copied: Percent,
    /// Longest time from an answer to its copy; each copy's delay is drawn evenly up to it.
    pub copy_delay: Period,
    /// One-way network latency between senders and endpoints.
    pub latency: Period,
    /// Delay of updates from discovery.
    #[serde(rename = "discovery_late")]
    pub discovery_delay: Period,
    /// Whether the senders run a membership protocol among themselves.
    #[serde(rename = "notes")]
    pub membership_enabled: bool,
    /// Classes of the traffic. If empty, there is one class with `effect`, `wanted_within` and
    /// `abandoned_after`.
    #[serde(rename = "class", skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<TrafficClass>,
    /// Faults to inject.
    #[serde(rename = "trouble")]
    pub faults: Vec<InjectedFault>,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            seed: None,
            length: Period::ms(20_000),
            senders: 1,
            rate: 50.0,
            clumps: Percent(0.1),
            client_retries: 1,
            effect: Effect::Keyed,
            wanted_within: Period::ms(3_000),
            abandoned_after: Period::ms(16_000),
            dedup_window: Period::ms(15_000),
            dedup_scope: Scope::Destination,
            slots: 32,
            max_open_messages: 300,
            disk_bytes: 3_000_000,
            destinations: 10,
            endpoints: 2,
            sites: 1,
            separate_routes: false,
            batch: 1,
            discovery_reports_rates: true,
            skew: 0.8,
            service_time: Period::ms(160),
            service_time_sigma: 0.4,
            servers: 4,
            queue_capacity: 16,
            limit_multiple: 1.5,
            retry_after: Period::ms(0),
            corrupted: Percent(0.0),
            copied: Percent(0.0),
            agent_copied: Percent(0.0),
            copy_delay: Period::ms(15),
            latency: Period::ms(10),
            discovery_delay: Period::ms(500),
            membership_enabled: false,
            classes: Vec::new(),
            faults: Vec::new(),
        }
    }
}

/// A class of messages and its share of the traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TrafficClass {
    pub name: String,
    /// Weight of the class in the traffic, relative to the sum over all classes.
    #[serde(rename = "part")]
    pub traffic_share: Percent,
    pub effect: Effect,
    pub wanted_within: Period,
    pub abandoned_after: Period,
    /// Value of a message that is delivered in time.
    #[serde(default = "one", rename = "worth")]
    pub value: f64,
}

fn one() -> f64 {
    1.0
}

/// A fault to inject: its kind, time, extent and magnitude.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct InjectedFault {
    pub kind: FaultKind,
    /// Start of the fault.
    pub at: Period,
    /// Duration, for kinds that have one.
    #[serde(default, rename = "lasts")]
    pub duration: Period,
    /// Fraction of the destinations affected, those with the most traffic first; at least one.
    #[serde(default = "half", rename = "part")]
    pub destination_fraction: Percent,
    /// Fraction of the senders affected, spread evenly over them; at least one.
    #[serde(default = "one_whole", rename = "senders")]
    pub sender_fraction: Percent,
    /// Strength of the fault. For `burst`, the factor on the rate; for `slow`, the factor on the service
    /// time; for `jump`, the seconds; for `lower`, the divisor of the limit; for `lossy`, one call in this
    /// many is lost; for `rude`, the connections per tenth of a second. For `shut`, one rejection in this
    /// many carries a retry-after wait until the end of the outage, if `told_wait` is set.
    #[serde(default = "two", rename = "size")]
    pub magnitude: f64,
}

fn one_whole() -> Percent {
    Percent(1.0)
}

fn half() -> Percent {
    Percent(0.5)
}

fn two() -> f64 {
    2.0
}

/// Kind of an injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Endpoints accept calls and neither execute nor answer them. They recover in slow start.
    Silent,
    /// Endpoints execute calls and never answer. They recover in slow start.
    Hung,
    /// Connections are refused and established ones reset. The destinations recover in slow start.
    Refused,
    /// Connections are reset after a call arrived; half of the calls have executed. The destinations recover
    /// in slow start.
    Reset,
    /// All calls are answered 503. The destinations recover in slow start.
    Shut,
    /// Nine calls in ten are answered 500; half of these have executed. The destinations recover in slow
    /// start.
    Errors,
    /// Service takes `size` times as long.
    Slow,
    /// The first endpoint of each destination is drained and replaced by one at a new address.
    Drain,
    /// As `drain`, but the new endpoint has the old address. Where `repeats_known_by` is `endpoint` it gets a
    /// new address, because at the old one senders could not tell it from the old endpoint before discovery
    /// lists the change.
    Replace,
    /// Senders get SIGTERM, then SIGKILL, and start again.
    Restart,
    /// Senders get SIGKILL and start again.
    Kill,
    /// Senders are suspended, as by SIGSTOP.
    Pause,
    /// Discovery moves to another address, and senders get SIGHUP.
    Reload,
    /// Discovery sends nothing to the affected senders.
    Mute,
    /// The wall clock of the senders jumps forward.
    Jump,
    /// The message rate rises.
    Burst,
    /// The disks of the senders stall: an operation that begins during the fault completes at its end and
    /// blocks its process until then.
    Stall,
    /// Malformed clients send unreadable, incomplete or slow requests, on `size` connections per tenth of a
    /// second.
    Rude,
    /// Rolling restart: a tenth of the senders at a time, spread evenly over `lasts`, by SIGTERM and then
    /// SIGKILL; every second tenth gets SIGKILL at once.
    Roll,
    /// The first site is partitioned: no data passes between its senders and the endpoints of other sites,
    /// nor between other senders and its endpoints. Data sent during the partition arrives at its end, as TCP
    /// retransmits it.
    Cut,
    /// The limits of the destinations are divided by `size`.
    Lower,
    /// One call in `size` is lost: its response never arrives, or its connection is reset before or after it
    /// executed.
    Lossy,
    /// Clients time out after a tenth of their normal wait and submit again at once, without regard to
    /// retry-after waits.
    Impatient,
}

impl FaultKind {
    /// Kinds that `random_scenario` draws first. Later kinds are drawn separately, after these, so that
    /// adding one leaves the rest of the scenario of a seed unchanged.
    pub const DRAWN_FIRST: [FaultKind; 16] = [
        FaultKind::Silent,
        FaultKind::Hung,
        FaultKind::Refused,
        FaultKind::Reset,
        FaultKind::Shut,
        FaultKind::Errors,
        FaultKind::Slow,
        FaultKind::Drain,
        FaultKind::Replace,
        FaultKind::Restart,
        FaultKind::Kill,
        FaultKind::Pause,
        FaultKind::Reload,
        FaultKind::Mute,
        FaultKind::Jump,
        FaultKind::Burst,
    ];

    /// Whether the fault makes destinations unavailable, so that they recover in slow start.
    pub fn is_outage(self) -> bool {
        use FaultKind::*;
        matches!(self, Silent | Hung | Refused | Reset | Shut | Errors)
    }

    /// Whether the fault acts on destinations and is removed from them at its end.
    pub fn affects_destinations(self) -> bool {
        self.is_outage() || matches!(self, FaultKind::Slow | FaultKind::Lower | FaultKind::Lossy)
    }
}

impl InjectedFault {
    pub fn start(&self) -> Us {
        self.at.0.as_micros() as Us
    }

    pub fn end(&self) -> Us {
        self.start() + self.duration.0.as_micros() as Us
    }

    /// Returns how many of the `destinations` are affected.
    pub fn affected_destinations(&self, destinations: u32) -> u32 {
        ((f64::from(destinations) * self.destination_fraction.0).round() as u32).clamp(1, destinations.max(1))
    }

    /// Whether the fault affects the sender with index `sender`. Affected senders are spread evenly over the
    /// indices, so that every site has its share.
    pub fn affects_sender(&self, sender: usize, senders: usize) -> bool {
        let fraction = self.sender_fraction.0.max(1.0 / senders.max(1) as f64);
        ((sender + 1) as f64 * fraction + 1e-9).floor() > (sender as f64 * fraction + 1e-9).floor()
    }
}

impl Scenario {
    /// Returns the classes by number; a single class `alert` if the scenario has none.
    pub fn traffic_classes(&self) -> Vec<TrafficClass> {
        if !self.classes.is_empty() {
            return self.classes.clone();
        }
        vec![TrafficClass {
            name: "alert".into(),
            traffic_share: Percent(1.0),
            effect: self.effect,
            wanted_within: self.wanted_within,
            abandoned_after: self.abandoned_after,
            value: 1.0,
        }]
    }

    /// Returns the longest time after which a message of any class expires.
    pub fn max_message_lifetime(&self) -> std::time::Duration {
        self.traffic_classes()
            .iter()
            .map(|class| class.abandoned_after.0)
            .max()
            .unwrap_or(self.abandoned_after.0)
    }

    /// Returns the site of the endpoint or sender with this number.
    pub fn site_of(&self, number: usize) -> usize {
        number % self.sites.max(1) as usize
    }

    /// Checks that the numeric values are in their ranges.
    ///
    /// # Errors
    /// Returns a message that names the first key whose value is out of range.
    pub fn validate(&self) -> Result<(), String> {
        let range = |name: &str, value: f64, min: f64, max: f64| {
            (min..=max)
                .contains(&value)
                .then_some(())
                .ok_or(format!("`{name}` is {value}, but must be from {min} to {max}"))
        };
        range("length", self.length.0.as_secs_f64(), 0.1, 3_600.0)?;
        range("senders", self.senders.into(), 1.0, 1_000.0)?;
        range("rate", self.rate, 0.1, 10_000.0)?;
        range("clumps", self.clumps.0, 0.0, 1.0)?;
        range("spoilt", self.corrupted.0, 0.0, 1.0)?;
        range("copied", self.copied.0, 0.0, 1.0)?;
        range("agent_copied", self.agent_copied.0, 0.0, 1.0)?;
        range("copy_delay", self.copy_delay.0.as_secs_f64(), 0.0, 60.0)?;
        range("destinations", self.destinations.into(), 1.0, 10_000.0)?;
        range("endpoints", self.endpoints.into(), 1.0, 16.0)?;
        range("rooms", self.sites.into(), 1.0, 8.0)?;
        range("batch", self.batch.into(), 1.0, 100.0)?;
        range("servers", self.servers.into(), 1.0, 1_000.0)?;
        range("slots", self.slots.into(), 2.0, 65_536.0)?;
        range("skew", self.skew, 0.0, 3.0)?;
        range("spread", self.service_time_sigma, 0.0, 3.0)?;
        range("limit", self.limit_multiple, 0.0, 1_000.0)?;
        range("retries", self.client_retries.into(), 0.0, 10.0)?;
        range("wanted_within", self.wanted_within.0.as_secs_f64(), 0.001, 3_600.0)?;
        range("abandoned_after", self.abandoned_after.0.as_secs_f64(), 0.01, 3_600.0)?;
        for class in &self.classes {
            range("part", class.traffic_share.0, 0.001, 1.0)?;
            range("worth", class.value, 0.001, 1_000.0)?;
            range("wanted_within", class.wanted_within.0.as_secs_f64(), 0.001, 3_600.0)?;
            range("abandoned_after", class.abandoned_after.0.as_secs_f64(), 0.01, 3_600.0)?;
        }
        for fault in &self.faults {
            range("part", fault.destination_fraction.0, 0.0, 1.0)?;
            range("senders", fault.sender_fraction.0, 0.0, 1.0)?;
            range("size", fault.magnitude, 0.0, 1_000.0)?;
        }
        Ok(())
    }
}

//! A day's description, as a file in TOML.
use crate::Us;
use nickelshed_config::sidecar::{Effect, Scope};
use nickelshed_config::units::{Percent, Period};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A day: who hands in how much, what they deliver to, and what goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// The seed that it is played with, unless another is given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
    /// How long clients hand in. The day then runs on until all that was taken on is over.
    pub length: Period,
    /// Senders beside one another; they share nothing.
    pub senders: u32,
    /// Messages a second, over all senders.
    pub rate: f64,
    /// The part of the messages that come in clumps for one destination.
    pub clumps: Percent,
    /// How often a client hands in again what was refused.
    #[serde(rename = "retries")]
    pub client_retries: u32,
    /// What a second run of a message does.
    pub effect: Effect,
    /// A message is wanted within this.
    pub wanted_within: Period,
    /// A message is given up after this.
    pub abandoned_after: Period,
    /// How long destinations drop repeats.
    #[serde(rename = "repeat_window")]
    pub dedup_window: Period,
    /// Which endpoints of a destination know a repeat: all, those of one room, or only the same one.
    #[serde(rename = "repeats_known_by")]
    pub dedup_scope: Scope,
    /// Calls that a sender may have out.
    pub slots: u32,
    /// Messages that a sender may hold.
    #[serde(rename = "held")]
    pub max_open_messages: u32,
    /// Bytes of disk that a sender has.
    #[serde(rename = "disk")]
    pub disk_bytes: u64,
    /// Customer systems.
    pub destinations: u32,
    /// Endpoints of each.
    pub endpoints: u32,
    /// Rooms in which endpoints and senders stand, by turns.
    #[serde(rename = "rooms")]
    pub sites: u32,
    /// Each endpoint is a route of its own, with its own limit, waits and outages.
    #[serde(rename = "routes_apart")]
    pub separate_routes: bool,
    /// Messages that a call may hold at most.
    pub batch: u32,
    /// The list names a rough rate for each destination.
    #[serde(rename = "list_tells_rates")]
    pub discovery_reports_rates: bool,
    /// How unevenly destinations are used: 0 is evenly, 1 much for few.
    pub skew: f64,
    /// What an endpoint takes for a message: the median.
    #[serde(rename = "service")]
    pub service_time: Period,
    /// How much that spreads: the sigma of its logarithm.
    #[serde(rename = "spread")]
    pub service_time_sigma: f64,
    /// Messages that an endpoint works on at once.
    pub servers: u32,
    /// Messages that wait at an endpoint at most; more are answered 503.
    #[serde(rename = "queue")]
    pub queue_capacity: u32,
    /// A destination's limit as a multiple of its share of the traffic; 0 for none. Above it, it answers 503, or 429
    /// with a wait.
    #[serde(rename = "limit")]
    pub limit_multiple: f64,
    /// The wait that is told above the limit; 0 for none.
    #[serde(rename = "told_wait")]
    pub retry_after: Period,
    /// The part of the answers that come spoilt.
    #[serde(rename = "spoilt")]
    pub corrupted: Percent,
    /// One way between senders and endpoints.
    pub latency: Period,
    /// How late discovery's changes come.
    #[serde(rename = "discovery_late")]
    pub discovery_delay: Period,
    /// Senders may send one another notes, and so keep a view of who is there.
    #[serde(rename = "notes")]
    pub membership_enabled: bool,
    /// Classes that share the traffic. Without any there is one, by `effect`, `wanted_within` and `abandoned_after`.
    #[serde(rename = "class", skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<TrafficClass>,
    /// What goes wrong.
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
            latency: Period::ms(10),
            discovery_delay: Period::ms(500),
            membership_enabled: false,
            classes: Vec::new(),
            faults: Vec::new(),
        }
    }
}

/// A class of messages and its part of the traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TrafficClass {
    pub name: String,
    /// Its part of the messages; the parts of all add up to one, or are taken in proportion.
    #[serde(rename = "part")]
    pub traffic_share: Percent,
    pub effect: Effect,
    pub wanted_within: Period,
    pub abandoned_after: Period,
    /// What a message is worth that is delivered in time.
    #[serde(default = "one", rename = "worth")]
    pub value: f64,
}

fn one() -> f64 {
    1.0
}

/// What goes wrong, when and with how much.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct InjectedFault {
    pub kind: FaultKind,
    /// From when on.
    pub at: Period,
    /// For how long, where that has a meaning.
    #[serde(default, rename = "lasts")]
    pub duration: Period,
    /// The part of the destinations that it meets, those with most traffic first; at least one.
    #[serde(default = "half", rename = "part")]
    pub destination_fraction: Percent,
    /// The part of the senders that it meets, spread evenly over them; at least one.
    #[serde(default = "one_whole", rename = "senders")]
    pub sender_fraction: Percent,
    /// How much: of a burst the multiple of the rate, of slowness that of the service time, of a clock's jump the
    /// seconds, of a lowered limit what it is divided by, of loss every which call it meets.
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Endpoints take calls and say nothing; nothing runs. They come back cold.
    Silent,
    /// Endpoints run what they get and never answer. They come back cold.
    Hung,
    /// Connections are refused, and those that stood are reset. They come back cold.
    Refused,
    /// Calls are reset after they came; half of them have run. They come back cold.
    Reset,
    /// All is answered 503. They come back cold.
    Shut,
    /// Nine calls of ten are answered 500; half of those have run. They come back cold.
    Errors,
    /// Service takes `size` times as long.
    Slow,
    /// The first endpoint of each is drained and replaced by a new one at another address.
    Drain,
    /// As `drain`, and the new one takes the old address; not where `repeats_known_by` is `endpoint`.
    Replace,
    /// Senders get SIGTERM, then SIGKILL, and start again.
    Restart,
    /// Senders are killed and start again.
    Kill,
    /// Senders stand still, as under SIGSTOP.
    Pause,
    /// Discovery moves to another address; senders get SIGHUP.
    Reload,
    /// Discovery says nothing.
    Mute,
    /// The senders' wall clock jumps forward.
    Jump,
    /// More messages come.
    Burst,
    /// The senders' disks say nothing: an operation that begins meanwhile ends with it, and its process stands still.
    Stall,
    /// Clients that send what can't be read, or half of it, or slowly: `size` connections each tenth of a second.
    Rude,
    /// Senders are restarted a tenth at a time, evenly over `lasts`: SIGTERM, then SIGKILL, and every second tenth at once
    /// SIGKILL.
    Roll,
    /// The first room is cut off: between its senders and the endpoints of other rooms, and between those senders and its
    /// endpoints, nothing arrives before it is over. What was sent meanwhile comes then, as TCP sends it again.
    Cut,
    /// The destinations' limits are divided by `size`.
    Lower,
    /// Of the calls every `size`th is lost: its answer never comes, or its connection is reset before or after it ran.
    Lossy,
    /// Clients wait for a tenth of their time, and come again at once, whatever wait they were told.
    Impatient,
}

impl FaultKind {
    /// Those that random days are drawn from first; what came later is drawn after them, so that a seed's day stays.
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

    /// Whether destinations are out while it lasts, and come back cold.
    pub fn is_outage(self) -> bool {
        use FaultKind::*;
        matches!(self, Silent | Hung | Refused | Reset | Shut | Errors)
    }

    /// Whether it does something to customer systems, and is taken back from them at its end.
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

    /// How many of so many destinations it meets.
    pub fn affected_destinations(&self, destinations: u32) -> u32 {
        ((f64::from(destinations) * self.destination_fraction.0).round() as u32).clamp(1, destinations.max(1))
    }

    /// Whether it meets a sender of so many: every so-manieth, so that all rooms have their part.
    pub fn affects_sender(&self, sender: usize, senders: usize) -> bool {
        let part = self.sender_fraction.0.max(1.0 / senders.max(1) as f64);
        ((sender + 1) as f64 * part + 1e-9).floor() > (sender as f64 * part + 1e-9).floor()
    }
}

impl Scenario {
    /// Its classes, by their numbers: one where the file names none.
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

    /// The longest that a message may live.
    pub fn max_message_lifetime(&self) -> std::time::Duration {
        self.traffic_classes().iter().map(|c| c.abandoned_after.0).max().unwrap_or(self.abandoned_after.0)
    }

    /// The room of the endpoint or sender with that number.
    pub fn site_of(&self, number: usize) -> usize {
        number % self.sites.max(1) as usize
    }

    /// What keeps it from being played, in a sentence.
    ///
    /// # Errors
    /// If a figure is out of its range.
    pub fn validate(&self) -> Result<(), String> {
        let range = |name: &str, n: f64, least: f64, most: f64| {
            (least..=most)
                .contains(&n)
                .then_some(())
                .ok_or(format!("`{name}` is {n}, and goes from {least} to {most}"))
        };
        range("length", self.length.0.as_secs_f64(), 0.1, 3_600.0)?;
        range("senders", self.senders.into(), 1.0, 1_000.0)?;
        range("rate", self.rate, 0.1, 10_000.0)?;
        range("clumps", self.clumps.0, 0.0, 1.0)?;
        range("spoilt", self.corrupted.0, 0.0, 1.0)?;
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
        for trouble in &self.faults {
            range("part", trouble.destination_fraction.0, 0.0, 1.0)?;
            range("senders", trouble.sender_fraction.0, 0.0, 1.0)?;
            range("size", trouble.magnitude, 0.0, 1_000.0)?;
        }
        Ok(())
    }
}

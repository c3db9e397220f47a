//! Types of the operator's configuration file. Their doc comments are the descriptions in the reference page,
//! in the JSON schema and in files written by `nickelshed-ctl new`.
use crate::units::{Percent, Period, Size};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Largest configuration file that is read, in bytes. 8 MiB hold some 50,000 endpoints.
pub const MAX_FILE_BYTES: usize = 8 << 20;

/// The configuration of one sidecar: the sender that runs beside one application.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Sidecar {
    /// Name of the application that this sidecar serves. It identifies the sidecar in logs and notices.
    pub application: String,
    /// Name of the machine that the sidecar runs on. Files that name different machines never conflict over
    /// ports and folders.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// IP address and port at which the application submits its messages.
    pub listen: SocketAddr,
    /// Folder for accepted messages that have not finished; it is kept across restarts. Relative to the
    /// folder of this file. Created if it does not exist.
    pub state: PathBuf,
    /// Whether every address in this file must be a loopback address.
    #[serde(default)]
    pub loopback_only: bool,
    /// Number of sidecars that deliver to the same destinations. The rate of a destination is shared among
    /// them.
    #[serde(default = "one")]
    pub senders: u32,
    /// Zone that the sidecar runs in, one of `[[zone]]`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub own_zone: Option<String>,
    /// Codes of warnings that were reviewed and accepted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub allow: Vec<String>,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub journal: Journal,
    /// Where notices about accepted messages that were not delivered are sent.
    pub notices: Notices,
    /// Source of the list of endpoints, if it does not come from `[[destination]]`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub discovery: Option<Discovery>,
    /// The fleet that the sidecar is a member of: sidecars that share the limits of the same destinations and
    /// determine their number among themselves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<Membership>,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub connections: Connections,
    #[serde(default)]
    pub traffic: Traffic,
    #[serde(default)]
    pub prices: Prices,
    /// Classes of message. A message is submitted with `POST /NAME`.
    #[serde(rename = "class", default)]
    pub classes: Vec<Class>,
    /// Tenants, each with its share of the traffic. If there are none, messages need no `X-Customer`.
    #[serde(rename = "tenant", default, skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<Tenant>,
    /// Kinds of endpoint, if the endpoints differ in batch size or in how they form routes.
    #[serde(rename = "kind", default, skip_serializing_if = "Vec::is_empty")]
    pub kinds: Vec<Kind>,
    /// Zones, if the endpoints are in more than one.
    #[serde(rename = "zone", default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<Zone>,
    /// The systems that messages are delivered to, with their endpoints.
    #[serde(rename = "destination", default, skip_serializing_if = "Vec::is_empty")]
    pub destinations: Vec<Destination>,
}

/// Resources of the machine that the sidecar may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Memory of the process. A fifth of it is for open messages.
    pub memory: Size,
    /// File descriptors of the process.
    pub sockets: u32,
    /// Disk space that the state folder may use.
    pub disk: Size,
    /// Maximum number of calls in flight. One destination gets at most three quarters of them.
    pub slots: u32,
    /// Maximum number of open messages, whether in flight or queued; further submissions are rejected.
    pub held: u32,
    /// Maximum number of attempts for one message.
    pub attempts: u32,
    /// Usual size of a message body, which the checks compute with; the largest accepted body is 64 KiB.
    pub usual_body: Size,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            memory: Size(64_000_000),
            sockets: 256,
            disk: Size(3_000_000),
            slots: 16,
            held: 200,
            attempts: 8,
            usual_body: Size(1 << 10),
        }
    }
}

/// How messages are kept across restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Journal {
    /// Which failure a message survives once its submission was answered with 202.
    pub durability: Durability,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// The end of the process, whatever signal ends it.
    #[default]
    Process,
    /// Loss of power as well: the 202 waits for a sync of the disk, which several messages share.
    Machine,
}

/// Where notices about accepted messages that were not delivered are sent. A notice stays pending until each
/// configured sink has it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Notices {
    /// URL that notices are posted to, one JSON object per line: `http://ADDRESS:PORT/PATH`. Any response
    /// from 200 to 299 confirms them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub http: Option<String>,
    /// File that notices are appended to, one JSON object per line. Relative to the folder of this file.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub file: Option<PathBuf>,
}

/// The discovery agent, which serves the list of endpoints and its changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// IP address and port of the agent.
    pub address: SocketAddr,
}

/// The fleet that a sidecar is a member of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    /// Name of the fleet, the same for all members; datagrams of other fleets are dropped.
    pub name: String,
    /// Name of this member, unique in the fleet; defaults to the name of the application. At most 32 bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub member: Option<String>,
    /// IP address and UDP port at which this member receives datagrams of other members.
    pub listen: SocketAddr,
    /// Address at which other members reach this one, if it differs from `listen`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// Addresses of members that this one contacts at its start to find the others.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seeds: Vec<SocketAddr>,
    /// Name of the site that this member is in. At most 16 bytes.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub site: String,
    /// File with the key that authenticates every datagram; only members may be able to read it. Relative to
    /// the folder of this file.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_file: Option<PathBuf>,
}

impl Membership {
    /// Address at which other members reach this one.
    #[must_use]
    pub fn advertised_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }
}

/// Parameters of the six rules of delivery, and what the sidecar may do besides sending.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Longest time that anyone waits for a message; no class may have a longer `abandoned_after`.
    pub abandonment: Period,
    /// Share of its capacity that a destination has immediately after an outage.
    pub start_capacity: Percent,
    /// Slow start: time that a destination takes after an outage to reach its full capacity again.
    pub cold: Period,
    /// A destination in slow start collapses if it is sent this multiple of its current capacity for
    /// `overload_for`.
    pub overload_multiple: f64,
    /// Duration of overload after which a destination in slow start collapses; see `overload_multiple`.
    pub overload_for: Period,
    /// Hold-off of a key after an attempt with unknown outcome, for classes with `in_order`.
    pub key_rest: Period,
    /// Longest time after which a rejected client is asked to retry.
    pub longest_return: Period,
    /// Whether the sidecar may probe endpoints (`GET /healthz`) when nothing else shows their health.
    pub probes: bool,
    /// Whether a call may be cancelled before its message expires.
    pub cancel: bool,
    /// Resolution of the sidecar's clock.
    pub tick: Period,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            abandonment: Period::ms(16_000),
            start_capacity: Percent(0.26),
            cold: Period::ms(9_500),
            overload_multiple: 1.5,
            overload_for: Period::ms(2_000),
            key_rest: Period::ms(0),
            longest_return: Period::ms(3_000),
            probes: false,
            cancel: true,
            tick: Period::ms(5),
        }
    }
}

/// Connections to endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// Time without a call after which endpoints close a connection; the sidecar closes it slightly earlier.
    pub idle: Period,
    /// Time-out for establishing a connection.
    pub dial: Period,
}

impl Default for Connections {
    fn default() -> Connections {
        Connections { idle: Period::ms(5_000), dial: Period::ms(1_000) }
    }
}

/// The traffic that tenants have shares of, and the value of late messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Messages per second over all sidecars, of which tenants have shares. With 0, shares are not enforced.
    pub rate: f64,
    /// Share of its value that a message beyond the share of its tenant has.
    pub over_share_worth: Percent,
    /// How the value of a late message decreases.
    pub late: Late,
}

impl Default for Traffic {
    fn default() -> Traffic {
        Traffic { rate: 0.0, over_share_worth: Percent(1.0), late: Late::Halves }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Late {
    /// Exponentially: by half with each further `wanted_within`.
    Halves,
    /// Linearly, down to `late_worth` at `abandoned_after`.
    Line,
}

/// Costs, in points of service per message, which the policy weighs against one another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// Cost of a new connection.
    pub handshake: f64,
    /// Cost of a call to another zone.
    pub cross_zone: f64,
    /// Cost of a call that a destination rejects because it exceeds a limit.
    pub refused: f64,
    /// Cost of work that is wasted.
    pub waste: f64,
}

/// A class of message: its target latency, its expiry, and whether it may be executed twice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class, as in the request path and in `X-Qos`.
    pub name: String,
    /// Target latency: a message that is delivered within this time has its full value.
    pub wanted_within: Period,
    /// Time after which a message expires and is abandoned.
    pub abandoned_after: Period,
    /// Effect of executing the same message a second time.
    pub effect: Effect,
    /// For `keyed`: how long a destination drops repeats, counted from the first attempt that may have been
    /// executed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat_window: Option<Period>,
    /// For `keyed`: which endpoints drop a repeat of a message that another endpoint has executed.
    #[serde(default)]
    pub repeat_scope: Scope,
    /// Value of a message that is delivered within `wanted_within`.
    #[serde(default = "default_worth")]
    pub worth: f64,
    /// Lowest share of its value that a late message has until `abandoned_after`.
    #[serde(default)]
    pub late_worth: Percent,
    /// Extends `wanted_within` by this multiple of the expected work of the message.
    #[serde(default)]
    pub wanted_stretch: f64,
    /// Whether messages with the same key are sent one at a time, in the order of their submission.
    #[serde(default)]
    pub in_order: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// A second execution is harmless: the message may be sent again at any time.
    Safe,
    /// Each message has a key, and a destination drops repeats with that key for `repeat_window`.
    Keyed,
    /// A second execution is harmful: the message is sent again only if no earlier attempt can have been
    /// executed.
    Unsafe,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// All endpoints of the destination drop it.
    #[default]
    Destination,
    /// The endpoints in the same zone drop it.
    Zone,
    /// Only the endpoint that executed it drops it.
    Endpoint,
}

/// A tenant, whose messages are counted together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant, as in `X-Customer`.
    pub name: String,
    /// Share of `traffic.rate`. Messages beyond it have only the share `traffic.over_share_worth` of their
    /// value.
    pub share: Percent,
}

/// A kind of endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name of the kind, as destinations and discovery refer to it.
    pub name: String,
    /// Maximum number of messages in one call.
    #[serde(default = "one")]
    pub batch: u32,
    /// Whether each endpoint is a separate route, with its own limit, pacing and outages.
    #[serde(default)]
    pub separate_routes: bool,
}

/// A zone that contains endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name of the zone, as endpoints refer to it.
    pub name: String,
    /// Points of service for each message that a separate route in this zone accepts.
    #[serde(default)]
    pub fee: f64,
}

/// A system that messages are delivered to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Destination {
    /// Name of the destination, for people.
    pub name: String,
    /// Number by which messages refer to the destination: `X-Consignee: dest=NUMBER`.
    pub number: u64,
    /// Kind of its endpoints, one of `[[kind]]`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Approximate number of calls per second that the destination accepts from all sidecars together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// Endpoints of the destination: addresses, or tables with an address and further keys.
    #[serde(default)]
    pub endpoints: Vec<EndpointForm>,
}

/// An endpoint as it is written: `"127.0.0.1:7501"`, or `{ address = "127.0.0.1:7501", zone = "a" }`.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
#[serde(untagged)]
pub enum EndpointForm {
    /// IP address and port.
    Address(SocketAddr),
    /// A table with the address and further keys.
    Full(Endpoint),
}

/// An endpoint of a destination.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// IP address and port of the endpoint.
    pub address: SocketAddr,
    /// Zone that the endpoint is in, one of `[[zone]]`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether the endpoint is draining: it finishes the calls in flight and gets no new ones.
    #[serde(default)]
    pub draining: bool,
}

impl EndpointForm {
    pub fn endpoint(&self) -> Endpoint {
        match self {
            EndpointForm::Address(address) => Endpoint { address: *address, zone: None, draining: false },
            EndpointForm::Full(endpoint) => endpoint.clone(),
        }
    }
}

/// Implemented by hand, because a derived implementation for an untagged enum reports every mistake inside
/// only as "no variant matches".
impl<'de> Deserialize<'de> for EndpointForm {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<EndpointForm, D::Error> {
        struct EndpointVisitor;

        impl<'de> serde::de::Visitor<'de> for EndpointVisitor {
            type Value = EndpointForm;

            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "an address such as \"127.0.0.1:7501\", or a table with an `address`")
            }

            fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<EndpointForm, E> {
                text.parse()
                    .map(EndpointForm::Address)
                    .map_err(|_| E::invalid_value(serde::de::Unexpected::Str(text), &self))
            }

            fn visit_map<A: serde::de::MapAccess<'de>>(self, map: A) -> Result<EndpointForm, A::Error> {
                Endpoint::deserialize(serde::de::value::MapAccessDeserializer::new(map))
                    .map(EndpointForm::Full)
            }
        }

        from.deserialize_any(EndpointVisitor)
    }
}

fn one() -> u32 {
    1
}

fn default_worth() -> f64 {
    1.0
}

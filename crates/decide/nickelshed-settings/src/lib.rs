//! Reads the platform's JSON settings object into the policy's `api::Settings`, for the sender and for the
//! simulator host. Unknown keys are ignored.
use nickelshed_policy::api::*;
use serde_json::Value;

/// About three years, in nanoseconds.
const MAX_TIME_NS: f64 = 1e17;

/// A value of the settings object with its path, which error messages name. An absent value is `Null`.
struct Node<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> Node<'a> {
    fn get(&self, key: &str) -> Node<'a> {
        static NULL: Value = Value::Null;
        let path = if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) };
        Node { value: self.value.get(key).unwrap_or(&NULL), path }
    }

    fn error<T>(&self, problem: &str) -> Result<T, String> {
        Err(format!("{} {problem}", self.path))
    }

    /// A required number that is at least `min` and, as a time in nanoseconds, fits into an `i64`.
    fn number(&self, min: f64) -> Result<f64, String> {
        match self.value.as_f64() {
            Some(n) if n >= min && n < 9e18 => Ok(n),
            Some(n) => self.error(&format!("is out of range: {n}")),
            None if self.value.is_null() => self.error("is missing"),
            None => self.error("is not a number"),
        }
    }

    /// A time in nanoseconds, capped at about three years so that sums of several times do not overflow a
    /// clock value.
    fn time(&self, min: f64) -> Result<Ns, String> {
        Ok(self.number(min)?.min(MAX_TIME_NS) as Ns)
    }

    /// Like `time`, with 0 for an absent value.
    fn time_or_zero(&self) -> Result<Ns, String> {
        Ok(self.number_or(0.0, 0.0)?.min(MAX_TIME_NS) as Ns)
    }

    /// Like `number`, with a default for an absent value.
    fn number_or(&self, min: f64, default: f64) -> Result<f64, String> {
        if self.value.is_null() {
            Ok(default)
        } else {
            self.number(min)
        }
    }

    /// A boolean, false if absent.
    fn flag(&self) -> Result<bool, String> {
        match self.value {
            Value::Null => Ok(false),
            Value::Bool(b) => Ok(*b),
            _ => self.error("is not true or false"),
        }
    }

    fn string(&self) -> Result<&'a str, String> {
        match self.value {
            Value::String(s) => Ok(s),
            Value::Null => self.error("is missing"),
            _ => self.error("is not a string"),
        }
    }

    /// The items of an array, none if absent.
    fn list(&self) -> Result<Vec<Node<'a>>, String> {
        match self.value {
            Value::Null => Ok(Vec::new()),
            Value::Array(items) => Ok(items
                .iter()
                .enumerate()
                .map(|(i, value)| Node { value, path: format!("{}[{i}]", self.path) })
                .collect()),
            _ => self.error("is not a list"),
        }
    }
}

/// Kind of service that answers a sender's requests for the list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// An agent of the sender's own, which answers immediately and at no cost. The sender counts as notified
    /// of a change once its agent has been sent it.
    Agent,
    /// A discovery service shared by all senders, for which each request costs work. A sender that has not
    /// asked counts as notified of a change only much later.
    Shared,
}

/// What a program needs to know about its deployment besides the policy's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentContext {
    pub discovery_mode: DiscoveryMode,
    /// Whether senders may exchange datagrams.
    pub peer_datagrams: bool,
    /// Positions of the fields `x0` (remaining fraction of the limit) and `x1` (the limit) in a load report;
    /// `None` if the report lacks them.
    pub x0_column: Option<usize>,
    pub x1_column: Option<usize>,
    /// Names by the index that the policy uses: of the classes, and below of tenants, kinds and zones.
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
}

/// Returns the names of a list's items: the items themselves, or their value for `key`. A name that is not a
/// string is read as empty.
fn names(items: Vec<Node>, key: Option<&str>) -> Vec<String> {
    let name =
        |item: &Node| key.map_or(item.value, |k| item.get(k).value).as_str().unwrap_or_default().to_string();
    items.iter().map(name).collect()
}

/// Reads the settings object.
///
/// # Errors
/// The path of the first missing or invalid value, and what is wrong with it.
pub fn read(value: &Value) -> Result<(Settings, DeploymentContext), String> {
    let root = Node { value, path: String::new() };
    if !value.is_object() {
        return Err("not an object".to_string());
    }
    let limits = root.get("Limits");
    let safety = root.get("Safety");
    let prices = root.get("Prices");
    let family_info = root.get("FamilyInfo");
    let mut classes = Vec::new();
    for class in root.get("Services").list()? {
        let effect = match class.get("Effect").string()? {
            "safe" => Effect::Safe,
            "keyed" => Effect::Keyed,
            "unsafe" => Effect::Unsafe,
            _ => return class.get("Effect").error("is not one of safe, keyed, unsafe"),
        };
        let scope = match class.get("DedupScope").string().unwrap_or("all") {
            "all" | "" => DedupScope::All,
            "zone" => DedupScope::Zone,
            _ => DedupScope::Endpoint,
        };
        let window = class.get("WindowNs");
        classes.push(Class {
            target: class.get("PromiseNs").time(1.0)?,
            target_stretch: class.get("AimStretch").number_or(0.0, 0.0)?,
            deadline: class.get("DeadlineNs").time(1.0)?,
            effect,
            dedup_scope: scope,
            dedup_window: if effect == Effect::Keyed { window.time(0.0)? } else { window.time_or_zero()? },
            value: class.get("Worth").number_or(0.0, 1.0)?,
            late_value: class.get("LateWorth").number_or(0.0, 0.0)?,
            in_order: class.get("SerialByKey").flag()?,
        });
    }
    if classes.is_empty() {
        return root.get("Services").error("is missing or empty");
    }
    let batches = family_info.get("KindBatch").list()?;
    let separate_routes_flags = family_info.get("SeparateRoutes").list()?;
    let kinds = batches.len().max(separate_routes_flags.len()).max(root.get("Kinds").list()?.len());
    let kinds = (0..kinds)
        .map(|i| {
            Ok(Kind {
                batch: batches.get(i).map_or(Ok(1.0), |b| b.number(0.0))?.max(1.0) as usize,
                separate_routes: separate_routes_flags.get(i).map_or(Ok(false), |s| s.flag())?,
            })
        })
        .collect::<Result<Vec<_>, String>>()?;
    let tenants = root.get("Realms").list()?;
    let tenants = tenants
        .iter()
        .map(|t| Ok(Tenant { quota_per_s: t.get("QuotaPerS").number_or(0.0, f64::MAX)? }))
        .collect::<Result<Vec<_>, String>>()?;
    let weights = root.get("Weights").string().unwrap_or("silent");
    let fields = root.get("Feedback").get("Fields").list()?;
    let column = |name: &str| fields.iter().position(|f| f.value.as_str() == Some(name));
    let fees = family_info.get("RouteFee").list()?;
    let settings = Settings {
        classes,
        kinds,
        tenants,
        over_quota_value: root.get("OverShareWorth").number_or(0.0, 1.0)?,
        exponential_decay: family_info.get("Decay").string().unwrap_or("line") == "halves",
        // The count includes this sender, so 0 is read as 1.
        sender_count: root.get("NInstances").number(0.0)?.max(1.0) as usize,
        zone: root.get("Zone").number_or(0.0, 0.0)? as usize,
        tick: root.get("TickNs").time(0.0)?,
        slots: family_info.get("CallsOut").number(0.0)? as usize,
        max_open: limits.get("MaxOpen").number(0.0)? as usize,
        max_attempts: limits.get("MaxAttempts").number(1.0)? as u32,
        max_retry_after: limits.get("MaxRetryAfterNs").time_or_zero()?,
        may_duplicate: limits.get("MayDuplicate").flag()?,
        may_probe: limits.get("Probes").flag()?,
        may_cancel: limits.get("Cancel").flag()?,
        streams_per_conn: limits.get("StreamsPerConn").number_or(0.0, 1.0)?.max(1.0) as usize,
        idle_timeout: limits.get("IdleCloseNs").time_or_zero()?,
        dial_timeout: limits.get("DialTimeoutNs").time_or_zero()?,
        limit_reports: root.get("Feedback").get("Source").string().is_ok_and(|source| source == "piggyback"),
        rate_hints: matches!(weights, "nominal" | "rough"),
        estimated_hints: weights == "rough",
        start_capacity: safety.get("StartCapacity").number(0.0)?,
        slow_start_duration: safety.get("ColdNs").time(0.0)?,
        overload_multiple: safety.get("FallMultiple").number(0.0)?,
        overload_window: safety.get("OverloadForNs").time(0.0)?,
        key_hold_off: safety.get("KeyRestNs").time_or_zero()?,
        price_handshake: prices.get("Handshake").number_or(0.0, 0.0)?,
        price_cross_zone: prices.get("CrossZone").number_or(0.0, 0.0)?,
        price_refused: family_info.get("RefusalCost").number_or(0.0, 0.0)?,
        price_waste: prices.get("Waste").number_or(0.0, 0.0)?,
        route_fee: fees.iter().map(|f| f.number(0.0)).collect::<Result<Vec<_>, String>>()?,
    };
    let context = DeploymentContext {
        discovery_mode: match root.get("Discovery").string() {
            Ok("subscribe") => DiscoveryMode::Shared,
            _ => DiscoveryMode::Agent,
        },
        peer_datagrams: limits.get("Peers").value.as_bool().unwrap_or(false),
        x0_column: column("x0"),
        x1_column: column("x1"),
        classes: names(root.get("Services").list()?, Some("Name")),
        tenants: names(root.get("Realms").list()?, Some("Name")),
        kinds: names(root.get("Kinds").list()?, None),
        zones: names(root.get("Localities").list()?, None),
    };
    Ok((settings, context))
}

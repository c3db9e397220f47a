//! Reads the platform's JSON settings object into the policy's `api::Settings`, for the sender and for the simulator
//! host. Unknown keys are ignored.
use nickelshed_policy::api::*;
use serde_json::Value;

/// About three years, in nanoseconds.
const LONGEST: f64 = 1e17;

struct At<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> At<'a> {
    fn get(&self, key: &str) -> At<'a> {
        static NULL: Value = Value::Null;
        let path = if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) };
        At { value: self.value.get(key).unwrap_or(&NULL), path }
    }

    fn fail<T>(&self, what: &str) -> Result<T, String> {
        Err(format!("{} {what}", self.path))
    }

    fn number(&self, low: f64) -> Result<f64, String> {
        match self.value.as_f64() {
            Some(n) if n >= low && n < 9e18 => Ok(n),
            Some(n) => self.fail(&format!("is out of range: {n}")),
            None if self.value.is_null() => self.fail("is missing"),
            None => self.fail("is not a number"),
        }
    }

    /// A time in nanoseconds, capped at about three years so that sums of several times do not overflow a clock value.
    fn time(&self, low: f64) -> Result<Ns, String> {
        Ok(self.number(low)?.min(LONGEST) as Ns)
    }

    fn time_or_none(&self) -> Result<Ns, String> {
        Ok(self.number_or(0.0, 0.0)?.min(LONGEST) as Ns)
    }

    fn number_or(&self, low: f64, default: f64) -> Result<f64, String> {
        if self.value.is_null() {
            Ok(default)
        } else {
            self.number(low)
        }
    }

    fn flag(&self) -> Result<bool, String> {
        match self.value {
            Value::Null => Ok(false),
            Value::Bool(b) => Ok(*b),
            _ => self.fail("is not true or false"),
        }
    }

    fn word(&self) -> Result<&'a str, String> {
        match self.value {
            Value::String(s) => Ok(s),
            Value::Null => self.fail("is missing"),
            _ => self.fail("is not a string"),
        }
    }

    fn list(&self) -> Result<Vec<At<'a>>, String> {
        match self.value {
            Value::Null => Ok(Vec::new()),
            Value::Array(items) => Ok(items
                .iter()
                .enumerate()
                .map(|(i, value)| At { value, path: format!("{}[{i}]", self.path) })
                .collect()),
            _ => self.fail("is not a list"),
        }
    }
}

/// Kind of service that answers a sender's requests for the list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lister {
    /// An agent of the sender's own, which answers immediately and at no cost. The sender counts as notified of a change
    /// once its agent has been sent it.
    Agent,
    /// A discovery service shared by all senders, for which each request costs work. A sender that has not asked counts
    /// as notified of a change only much later.
    Shared,
}

/// What a program needs to know about its deployment besides the policy's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Around {
    pub lister: Lister,
    /// Whether senders may exchange datagrams.
    pub notes: bool,
    /// Positions of the fields `x0` and `x1` in a load report; `None` if the report lacks them.
    pub x0: Option<usize>,
    pub x1: Option<usize>,
    /// Names of the classes, by the index that the policy uses; the lists below alike.
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
}

fn names(items: Vec<At>, key: Option<&str>) -> Vec<String> {
    let name = |i: &At| key.map_or(i.value, |k| i.get(k).value).as_str().unwrap_or_default().to_string();
    items.iter().map(name).collect()
}

pub fn read(value: &Value) -> Result<(Settings, Around), String> {
    let root = At { value, path: String::new() };
    if !value.is_object() {
        return Err("not an object".to_string());
    }
    let limits = root.get("Limits");
    let safety = root.get("Safety");
    let prices = root.get("Prices");
    let family = root.get("FamilyInfo");
    let mut classes = Vec::new();
    for c in root.get("Services").list()? {
        let effect = match c.get("Effect").word()? {
            "safe" => Effect::Safe,
            "keyed" => Effect::Keyed,
            "unsafe" => Effect::Unsafe,
            _ => return c.get("Effect").fail("is not one of safe, keyed, unsafe"),
        };
        let scope = match c.get("DedupScope").word().unwrap_or("all") {
            "all" | "" => DedupScope::All,
            "zone" => DedupScope::Zone,
            _ => DedupScope::Endpoint,
        };
        let window = c.get("WindowNs");
        classes.push(Class {
            aim: c.get("PromiseNs").time(1.0)?,
            aim_stretch: c.get("AimStretch").number_or(0.0, 0.0)?,
            deadline: c.get("DeadlineNs").time(1.0)?,
            effect,
            scope,
            window: if effect == Effect::Keyed { window.time(0.0)? } else { window.time_or_none()? },
            worth: c.get("Worth").number_or(0.0, 1.0)?,
            late_worth: c.get("LateWorth").number_or(0.0, 0.0)?,
            in_order: c.get("SerialByKey").flag()?,
        });
    }
    if classes.is_empty() {
        return root.get("Services").fail("is missing or empty");
    }
    let batches = family.get("KindBatch").list()?;
    let separate = family.get("SeparateRoutes").list()?;
    let kinds = batches.len().max(separate.len()).max(root.get("Kinds").list()?.len());
    let kinds = (0..kinds)
        .map(|i| {
            Ok(Kind {
                batch: batches.get(i).map_or(Ok(1.0), |b| b.number(0.0))?.max(1.0) as usize,
                separate_routes: separate.get(i).map_or(Ok(false), |s| s.flag())?,
            })
        })
        .collect::<Result<Vec<_>, String>>()?;
    let tenants = root.get("Realms").list()?;
    let tenants = tenants
        .iter()
        .map(|t| Ok(Tenant { quota_per_s: t.get("QuotaPerS").number_or(0.0, f64::MAX)? }))
        .collect::<Result<Vec<_>, String>>()?;
    let weights = root.get("Weights").word().unwrap_or("silent");
    let fields = root.get("Feedback").get("Fields").list()?;
    let column = |name: &str| fields.iter().position(|f| f.value.as_str() == Some(name));
    let fees = family.get("RouteFee").list()?;
    let settings = Settings {
        classes,
        kinds,
        tenants,
        over_share_worth: root.get("OverShareWorth").number_or(0.0, 1.0)?,
        halves: family.get("Decay").word().unwrap_or("line") == "halves",
        // The count includes this sender, so 0 is read as 1.
        n_instances: root.get("NInstances").number(0.0)?.max(1.0) as usize,
        zone: root.get("Zone").number_or(0.0, 0.0)? as usize,
        tick: root.get("TickNs").time(0.0)?,
        slots: family.get("CallsOut").number(0.0)? as usize,
        max_open: limits.get("MaxOpen").number(0.0)? as usize,
        max_attempts: limits.get("MaxAttempts").number(1.0)? as u32,
        max_retry_after: limits.get("MaxRetryAfterNs").time_or_none()?,
        may_duplicate: limits.get("MayDuplicate").flag()?,
        may_probe: limits.get("Probes").flag()?,
        may_cancel: limits.get("Cancel").flag()?,
        streams_per_conn: limits.get("StreamsPerConn").number_or(0.0, 1.0)?.max(1.0) as usize,
        idle_close: limits.get("IdleCloseNs").time_or_none()?,
        dial_timeout: limits.get("DialTimeoutNs").time_or_none()?,
        reports: root.get("Feedback").get("Source").word().is_ok_and(|source| source == "piggyback"),
        hints: matches!(weights, "nominal" | "rough"),
        rough_hints: weights == "rough",
        start_capacity: safety.get("StartCapacity").number(0.0)?,
        cold: safety.get("ColdNs").time(0.0)?,
        fall_multiple: safety.get("FallMultiple").number(0.0)?,
        overload_for: safety.get("OverloadForNs").time(0.0)?,
        key_rest: safety.get("KeyRestNs").time_or_none()?,
        price_handshake: prices.get("Handshake").number_or(0.0, 0.0)?,
        price_cross_zone: prices.get("CrossZone").number_or(0.0, 0.0)?,
        price_refused: family.get("RefusalCost").number_or(0.0, 0.0)?,
        price_waste: prices.get("Waste").number_or(0.0, 0.0)?,
        route_fee: fees.iter().map(|f| f.number(0.0)).collect::<Result<Vec<_>, String>>()?,
    };
    let around = Around {
        lister: match root.get("Discovery").word() {
            Ok("subscribe") => Lister::Shared,
            _ => Lister::Agent,
        },
        notes: limits.get("Peers").value.as_bool().unwrap_or(false),
        x0: column("x0"),
        x1: column("x1"),
        classes: names(root.get("Services").list()?, Some("Name")),
        tenants: names(root.get("Realms").list()?, Some("Name")),
        kinds: names(root.get("Kinds").list()?, None),
        zones: names(root.get("Localities").list()?, None),
    };
    Ok((settings, around))
}

//! A list of endpoints in the form in which discovery and the configuration give it.
use nickelshed_journal::MAX_ENDPOINT_NAME_BYTES;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::collections::HashSet;
use std::net::SocketAddr;

#[derive(Clone, Debug)]
pub struct Instance {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub dest: u64,
    pub lifecycle: String,
    pub weight: f64,
}

#[derive(Deserialize, Clone, Debug, Default)]
pub struct List {
    #[serde(default)]
    pub generation: u64,
    #[serde(default)]
    pub reset: bool,
    #[serde(default, deserialize_with = "readable")]
    pub instances: Vec<Instance>,
}

impl List {
    /// The names of what it says of somewhere that it takes nothing new. Of two words on one endpoint that one counts:
    /// new work breaks a drain, and work that waits for the next list breaks nothing.
    pub fn shut(&self) -> HashSet<String> {
        self.instances.iter().filter(|i| i.lifecycle != "Ready").map(|i| i.name.clone()).collect()
    }

    /// A list that is all there is.
    pub fn whole(instances: Vec<Instance>) -> List {
        List { generation: 0, reset: true, instances }
    }
}

/// The entries that can be read; one that can't be does not cost the others.
fn readable<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Instance>, D::Error> {
    let values = Vec::<Value>::deserialize(from)?;
    let read = |v: &Value| {
        let read = instance(v);
        if read.is_none() {
            tracing::warn!(entry = %v, "a list entry can't be read");
        }
        read
    };
    Ok(values.iter().filter_map(read).collect())
}

fn instance(v: &Value) -> Option<Instance> {
    let text = |key: &str| v.get(key).and_then(Value::as_str);
    let name = text("instanceId").filter(|n| n.len() <= MAX_ENDPOINT_NAME_BYTES)?;
    Some(Instance {
        name: name.to_string(),
        address: text("hostPort")?.parse().ok()?,
        zone: text("zone").unwrap_or_default().to_string(),
        kind: text("machineType").unwrap_or_default().to_string(),
        dest: v.get("cell")?.as_u64()?,
        lifecycle: text("lifecycle")?.to_string(),
        weight: v.get("weight").and_then(Value::as_f64).unwrap_or(0.0),
    })
}

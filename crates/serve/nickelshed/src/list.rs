//! A list of endpoints as discovery and the configuration provide it.
use nickelshed_journal::MAX_NAME;
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
    /// The names of listed instances that are not ready. If a list names an instance both as ready and as not
    /// ready, the second counts: new work would violate a drain, while waiting for the next list does no
    /// harm.
    pub fn shut(&self) -> HashSet<String> {
        self.instances.iter().filter(|i| i.lifecycle != "Ready").map(|i| i.name.clone()).collect()
    }

    /// A full list: instances missing from it are unavailable.
    pub fn whole(instances: Vec<Instance>) -> List {
        List { generation: 0, reset: true, instances }
    }
}

/// Reads the valid entries. An invalid entry is logged and skipped without rejecting the others.
fn readable<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Instance>, D::Error> {
    let values = Vec::<Value>::deserialize(from)?;
    let read = |v: &Value| {
        let read = instance(v);
        if read.is_none() {
            tracing::warn!(entry = %v, "ignoring an invalid entry of the endpoint list");
        }
        read
    };
    Ok(values.iter().filter_map(read).collect())
}

fn instance(v: &Value) -> Option<Instance> {
    let text = |key: &str| v.get(key).and_then(Value::as_str);
    let name = text("instanceId").filter(|n| n.len() <= MAX_NAME)?;
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

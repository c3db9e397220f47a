//! A list of endpoints as discovery and the configuration provide it.
mod reader;

pub use reader::{ListError, ListReader};

use nickelshed_journal::MAX_ENDPOINT_NAME_BYTES;
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;

/// One endpoint, as a list names it.
#[derive(Clone, Debug)]
pub struct Instance {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub dest: u64,
    pub lifecycle: String,
    /// Rate hint in calls per second, where the settings say so; 0 if absent.
    pub weight: f64,
}

impl Instance {
    /// Memory that it uses, in bytes.
    fn memory_bytes(&self) -> usize {
        let texts = [&self.name, &self.zone, &self.kind, &self.lifecycle];
        size_of::<Instance>() + texts.iter().map(|text| text.capacity()).sum::<usize>()
    }
}

#[derive(Deserialize, Clone, Debug, Default)]
pub struct EndpointList {
    /// Version of the list, which a watch names to get the changes since then.
    #[serde(default)]
    pub generation: u64,
    /// Whether this is a full list; otherwise it has only the changes since the requested generation.
    #[serde(default)]
    pub reset: bool,
    #[serde(default, deserialize_with = "readable_instances")]
    pub instances: Vec<Instance>,
}

impl EndpointList {
    /// The names of the listed instances that are not ready. If a list names an instance both as ready and as
    /// not ready, the instance counts as not ready: new work would violate a drain, while waiting for the
    /// next list does no harm.
    pub fn not_ready_names(&self) -> HashSet<String> {
        self.instances.iter().filter(|i| i.lifecycle != "Ready").map(|i| i.name.clone()).collect()
    }

    /// A full list: instances missing from it are unavailable.
    pub fn full(instances: Vec<Instance>) -> EndpointList {
        EndpointList { generation: 0, reset: true, instances }
    }
}

/// Reads the valid entries, one at a time: a tree of all of them would take several times their memory.
fn readable_instances<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Instance>, D::Error> {
    struct Entries;
    impl<'de> Visitor<'de> for Entries {
        type Value = Vec<Instance>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("an array of endpoints")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Vec<Instance>, A::Error> {
            let mut instances = Vec::new();
            while let Some(value) = entries.next_element::<Value>()? {
                instances.extend(parse_instance(&value));
            }
            Ok(instances)
        }
    }
    deserializer.deserialize_seq(Entries)
}

/// Reads an entry. An invalid one is logged and skipped without rejecting the others.
fn parse_instance(value: &Value) -> Option<Instance> {
    let instance = valid_instance(value);
    if instance.is_none() {
        tracing::warn!(entry = %value, "ignoring an invalid entry of the endpoint list");
    }
    instance
}

fn valid_instance(value: &Value) -> Option<Instance> {
    let text = |key: &str| value.get(key).and_then(Value::as_str);
    let name = text("instanceId").filter(|n| n.len() <= MAX_ENDPOINT_NAME_BYTES)?;
    Some(Instance {
        name: name.to_string(),
        address: text("hostPort")?.parse().ok()?,
        zone: text("zone").unwrap_or_default().to_string(),
        kind: text("machineType").unwrap_or_default().to_string(),
        dest: value.get("cell")?.as_u64()?,
        lifecycle: text("lifecycle")?.to_string(),
        weight: value.get("weight").and_then(Value::as_f64).unwrap_or(0.0),
    })
}

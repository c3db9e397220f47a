//! Describes the differences between two configurations in words.
use crate::compile;
use crate::sidecar::Sidecar;
use serde_json::{Map, Value as Json};
use std::collections::{BTreeMap, BTreeSet};

/// When a change takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TakesEffect {
    /// On SIGHUP, while the sidecar is running.
    OnReload,
    /// At the next start.
    AfterRestart,
}

/// A difference, described in one sentence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub description: String,
    pub takes_effect: TakesEffect,
}

/// Descriptions of changed keys, as (section, key, template). Other keys get a generic sentence.
const KEY_TEMPLATES: &[(&str, &str, &str)] = &[
    ("class", "wanted_within", "{name} has a target latency of {new}, was {old}"),
    ("class", "abandoned_after", "{name} is abandoned at {new}, was {old}"),
    ("class", "effect", "the effect of a repeat of {name} is {new}, was {old}"),
    ("class", "repeat_window", "repeats of {name} are dropped for {new}, was {old}"),
    ("class", "worth", "the value of {name} is {new}, was {old}"),
    ("tenant", "share", "{name} has a share of {new}, was {old}"),
    ("destination", "rate", "{name} accepts {new} calls per second, was {old}"),
    ("destination", "number", "{name} has the number {new}, was {old}"),
    ("", "listen", "messages are submitted at {new}, was {old}"),
    ("", "application", "the application is named {new}, was {old}"),
    (
        "",
        "state",
        "accepted messages are kept in {new}, was {old}; the messages in the old folder must be delivered first",
    ),
    ("limits", "slots", "at most {new} calls are in flight at once, was {old}"),
    ("limits", "held", "at most {new} messages are open at once, was {old}"),
    ("limits", "attempts", "a message is attempted at most {new} times, was {old}"),
    ("journal", "durability", "an accepted message survives a failure of the {new}, was of the {old}"),
    ("notices", "http", "notices are posted to {new}, was {old}"),
    ("notices", "file", "notices are written to {new}, was {old}"),
];

/// Descriptions of an added and of a removed item of a list, as (section, added, removed).
const ITEM_TEMPLATES: &[(&str, &str, &str)] = &[
    (
        "class",
        "the class {name} is new",
        "the class {name} is removed: submissions under it are answered 404, and its open messages are ended",
    ),
    ("tenant", "the tenant {name} is new", "the tenant {name} is removed: its messages are answered 400"),
    ("kind", "the kind {name} is new", "the kind {name} is removed"),
    ("zone", "the zone {name} is new", "the zone {name} is removed"),
];

/// Returns every difference from `old` to `new`; none if both are equivalent.
pub fn diff(old: &Sidecar, new: &Sidecar) -> Vec<Change> {
    let mut changes = endpoint_changes(old, new);
    let after_restart = |description: String| Change { description, takes_effect: TakesEffect::AfterRestart };
    let (old_map, new_map) = (to_json_map(old), to_json_map(new));
    let keys: BTreeSet<&String> = old_map.keys().chain(new_map.keys()).collect();
    for key in keys {
        let (old_value, new_value) =
            (old_map.get(key).unwrap_or(&Json::Null), new_map.get(key).unwrap_or(&Json::Null));
        match (old_value, new_value) {
            _ if old_value == new_value => {}
            (Json::Object(old_value), Json::Object(new_value)) => {
                changes.extend(key_changes(key, "", old_value, new_value).into_iter().map(after_restart))
            }
            _ if is_list(old_value) || is_list(new_value) => {
                changes.extend(item_changes(key, old_value, new_value).into_iter().map(after_restart))
            }
            _ => changes.push(after_restart(describe_change("", "", key, old_value, new_value))),
        }
    }
    // The address of discovery may change on SIGHUP, but adding or removing discovery needs a restart.
    for change in &mut changes {
        if old.discovery.is_some() && new.discovery.is_some() && change.description.starts_with("discovery") {
            change.takes_effect = TakesEffect::OnReload;
        }
    }
    changes.sort_by_key(|c| c.takes_effect);
    changes
}

fn to_json_map(sidecar: &Sidecar) -> Map<String, Json> {
    match serde_json::to_value(sidecar) {
        Ok(Json::Object(map)) => map,
        _ => Map::new(),
    }
}

/// Whether the value is a list of sections, such as `[[class]]`.
fn is_list(value: &Json) -> bool {
    value.as_array().is_some_and(|items| items.iter().any(Json::is_object))
}

/// Describes the changed keys of a section, or of the item `name` of a list of sections.
fn key_changes(section: &str, name: &str, old: &Map<String, Json>, new: &Map<String, Json>) -> Vec<String> {
    let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    // Endpoints are described by `endpoint_changes`.
    let keys = keys.into_iter().filter(|key| *key != "endpoints" && *key != "name");
    let old_and_new =
        |key: &String| (old.get(key).cloned().unwrap_or_default(), new.get(key).cloned().unwrap_or_default());
    keys.filter_map(|key| {
        let (old_value, new_value) = old_and_new(key);
        (old_value != new_value).then(|| describe_change(section, name, key, &old_value, &new_value))
    })
    .collect()
}

/// Describes the added, removed and changed items of a list of sections.
fn item_changes(section: &str, old: &Json, new: &Json) -> Vec<String> {
    let by_name = |list: &Json| -> BTreeMap<String, Map<String, Json>> {
        let items = list.as_array().into_iter().flatten().filter_map(Json::as_object);
        items
            .map(|item| {
                (item.get("name").and_then(Json::as_str).unwrap_or_default().to_string(), item.clone())
            })
            .collect()
    };
    let (old, new) = (by_name(old), by_name(new));
    let templates = ITEM_TEMPLATES.iter().find(|(s, ..)| *s == section);
    let mut changes = Vec::new();
    for name in old.keys().chain(new.keys()).collect::<BTreeSet<_>>() {
        match (old.get(name), new.get(name)) {
            (Some(old_item), Some(new_item)) => {
                changes.extend(key_changes(section, name, old_item, new_item))
            }
            (None, Some(_)) => changes.extend(templates.map(|(_, added, _)| added.replace("{name}", name))),
            (Some(_), None) => changes.extend(templates.map(|(.., removed)| removed.replace("{name}", name))),
            (None, None) => {}
        }
    }
    changes
}

fn describe_change(section: &str, name: &str, key: &str, old: &Json, new: &Json) -> String {
    let own_template = KEY_TEMPLATES.iter().find(|(s, k, _)| *s == section && *k == key);
    let subject = match (section, name) {
        ("", _) => key.to_string(),
        (_, "") => format!("{section}.{key}"),
        _ => format!("{key} of the {section} {name}"),
    };
    let template = own_template.map_or(format!("{subject} is {{new}}, was {{old}}"), |(.., t)| t.to_string());
    template.replace("{name}", name).replace("{new}", &format_value(new)).replace("{old}", &format_value(old))
}

/// Formats a value for a sentence.
fn format_value(value: &Json) -> String {
    match value {
        Json::Null => "not set".to_string(),
        Json::String(text) => space_units(text),
        other => other.to_string(),
    }
}

/// Formats `9s 500ms` as `9 s 500 ms`; returns any text that is not a list of numbers with units unchanged.
fn space_units(text: &str) -> String {
    let with_space = |part: &str| -> Option<String> {
        let unit = part.find(|c: char| !c.is_ascii_digit()).filter(|at| *at > 0)?;
        let (number, unit) = part.split_at(unit);
        unit.chars().all(|c| c.is_ascii_alphabetic()).then(|| format!("{number} {unit}"))
    };
    let parts: Option<Vec<String>> = text.split(' ').map(with_space).collect();
    parts.map_or(text.to_string(), |spaced| spaced.join(" "))
}

/// Describes changes of destinations and endpoints, which a running sidecar applies on SIGHUP.
fn endpoint_changes(old: &Sidecar, new: &Sidecar) -> Vec<Change> {
    let on_reload = |description: String| Change { description, takes_effect: TakesEffect::OnReload };
    let mut changes = Vec::new();
    let names =
        |s: &Sidecar| s.destinations.iter().map(|d| (d.number, d.name.clone())).collect::<BTreeMap<_, _>>();
    let (old_names, new_names) = (names(old), names(new));
    for (number, name) in &new_names {
        if !old_names.contains_key(number) {
            changes.push(on_reload(format!("the destination {name} is new, with the number {number}")));
        }
    }
    for (number, name) in &old_names {
        match new_names.get(number) {
            None => changes.push(on_reload(format!(
                "the destination {name} is removed: its open messages are returned"
            ))),
            Some(now) if now != name => {
                changes.push(on_reload(format!("the destination {number} is named {now}, was {name}")))
            }
            Some(_) => {}
        }
    }
    let by_name = |s: &Sidecar| {
        compile::listed_endpoints(s)
            .into_iter()
            .map(|endpoint| (endpoint.name.clone(), endpoint))
            .collect::<BTreeMap<_, _>>()
    };
    let (old_endpoints, new_endpoints) = (by_name(old), by_name(new));
    for (name, endpoint) in &new_endpoints {
        let dest = &new_names[&endpoint.dest];
        match old_endpoints.get(name) {
            None => changes.push(on_reload(format!("{dest} gets the endpoint {}", endpoint.address))),
            Some(old_endpoint) if old_endpoint.draining != endpoint.draining => {
                let state =
                    if endpoint.draining { "drains: it gets no new calls" } else { "no longer drains" };
                changes.push(on_reload(format!("the endpoint {} of {dest} {state}", endpoint.address)));
            }
            Some(old_endpoint) if old_endpoint != endpoint => changes.push(on_reload(format!(
                "the endpoint {} of {dest} has a different kind, zone or rate",
                endpoint.address
            ))),
            Some(_) => {}
        }
    }
    for (name, endpoint) in &old_endpoints {
        if !new_endpoints.contains_key(name) && new_names.contains_key(&endpoint.dest) {
            changes.push(on_reload(format!(
                "{} loses the endpoint {}: it gets no new calls",
                old_names[&endpoint.dest], endpoint.address
            )));
        }
    }
    changes
}

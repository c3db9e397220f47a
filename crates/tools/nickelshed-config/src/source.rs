//! Reads the text of a file into its type and reports every mistake of syntax or type with its position.
//! Never panics, whatever the bytes are.
use crate::code::Code;
use crate::finding::{Finding, Span};
use crate::schema::{object_schema, TypeSchema};
use crate::sidecar::MAX_FILE_BYTES;
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value as Json;
use std::collections::{HashMap, HashSet};
use std::ops::Range;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Maximum number of mistakes of syntax or type that are reported for one file. More would not help.
const MAX_FINDINGS: usize = 40;
/// Maximum nesting of tables and lists; the types need four levels.
const MAX_DEPTH: usize = 32;

/// The positions of all values in a TOML file.
pub struct Source {
    root: Node,
}

struct Node {
    span: Span,
    kind: NodeKind,
}

enum NodeKind {
    Table(HashMap<String, Node>),
    Array(Vec<Node>),
    Leaf,
}

impl Node {
    fn new(span: Span, value: &DeValue) -> Node {
        let node = |v: &Spanned<DeValue>| Node::new(v.span(), v.get_ref());
        let kind = match value {
            DeValue::Table(table) => NodeKind::Table(child_nodes(table)),
            DeValue::Array(items) => NodeKind::Array(items.iter().map(node).collect()),
            _ => NodeKind::Leaf,
        };
        Node { span, kind }
    }
}

fn child_nodes(table: &DeTable) -> HashMap<String, Node> {
    let nodes = table.iter().map(|(k, v)| (k.get_ref().to_string(), Node::new(v.span(), v.get_ref())));
    nodes.collect()
}

/// The result of reading a file.
pub struct ReadResult<T> {
    /// `None` if the file is not valid TOML.
    pub source: Option<Source>,
    /// The value, without unknown keys. `None` if there is any other mistake.
    pub value: Option<T>,
    pub findings: Vec<Finding>,
}

impl<T> ReadResult<T> {
    fn failed(finding: Finding) -> ReadResult<T> {
        ReadResult { source: None, value: None, findings: vec![finding] }
    }
}

/// Returns the bytes of a file as text.
///
/// # Errors
/// If there are too many bytes or they are not UTF-8.
pub fn text(bytes: &[u8]) -> Result<&str, Box<Finding>> {
    if bytes.len() > MAX_FILE_BYTES {
        let message = format!("the file has {} bytes, but the maximum is {MAX_FILE_BYTES}", bytes.len());
        return Err(Box::new(Finding::new(Code::TooLarge, 0..0, message, Code::TooLarge.info().fix)));
    }
    std::str::from_utf8(bytes).map_err(|e| {
        let message = format!("byte {} of the file is not UTF-8", e.valid_up_to() + 1);
        Box::new(Finding::new(Code::NotText, 0..0, message, Code::NotText.info().fix))
    })
}

/// Reads a text into a type. Reports every unknown key with the most similar known one, and as many other
/// mistakes as can be distinguished.
pub fn read<T: DeserializeOwned + JsonSchema>(text: &str) -> ReadResult<T> {
    read_with_schema(text, &TypeSchema::of::<T>())
}

/// Like [`read`], with a prepared schema of the type, for reading many files.
pub fn read_with_schema<T: DeserializeOwned>(text: &str, type_schema: &TypeSchema) -> ReadResult<T> {
    if let Some(offset) = find_excessive_nesting(text) {
        let message = format!("tables or lists are nested more than {MAX_DEPTH} levels deep");
        return ReadResult::failed(Finding::new(
            Code::Syntax,
            offset..offset + 1,
            message,
            "No key needs more than four levels",
        ));
    }
    let (tree, errors) = DeTable::parse_recoverable(text);
    let findings: Vec<Finding> = errors.iter().take(MAX_FINDINGS).map(|e| syntax_finding(e, text)).collect();
    if !findings.is_empty() {
        return ReadResult { source: None, value: None, findings };
    }
    let root = Node { span: tree.span(), kind: NodeKind::Table(child_nodes(tree.get_ref())) };
    let schema = type_schema.json();
    let mut findings = Vec::new();
    let mut known_tree = tree;
    remove_unknown_keys(known_tree.get_mut(), schema, schema, "", &mut findings);
    let value = deserialize_with_all_findings(known_tree, text, &mut findings);
    findings.sort_by_key(|f| f.span.start);
    findings.truncate(MAX_FINDINGS);
    ReadResult { source: Some(Source { root }), value, findings }
}

fn syntax_finding(error: &toml::de::Error, text: &str) -> Finding {
    let span = error.span().unwrap_or(0..text.len().min(1));
    let message = format!("invalid TOML: {}", error.message());
    Finding::new(Code::Syntax, span, message, Code::Syntax.info().fix)
}

/// Returns the offset at which brackets are nested more than `MAX_DEPTH` levels deep. Skips strings and
/// comments, but only within a line. The parser has its own limit, but this check does not depend on it.
fn find_excessive_nesting(text: &str) -> Option<usize> {
    let mut depth = 0usize;
    let mut quote = None;
    for (offset, byte) in text.bytes().enumerate() {
        match (quote, byte) {
            (_, b'\n') => quote = None,
            (Some(b'#'), _) => {}
            (Some(open_quote), current) if open_quote == current => quote = None,
            (Some(_), _) => {}
            (None, b'"' | b'\'' | b'#') => quote = Some(byte),
            (None, b'[' | b'{') => depth += 1,
            (None, b']' | b'}') => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Some(offset);
        }
    }
    None
}

/// Removes unknown keys from a table and reports them.
fn remove_unknown_keys(
    table: &mut DeTable,
    schema: &Json,
    root: &Json,
    path: &str,
    findings: &mut Vec<Finding>,
) {
    let Some(properties) = object_schema(schema, root).and_then(|o| o.get("properties")?.as_object()) else {
        return;
    };
    let mut unknown = Vec::new();
    for (key, value) in table.iter_mut() {
        let name: &str = key.get_ref();
        let Some(key_schema) = properties.get(name) else {
            let location = if path.is_empty() { "at the top level".into() } else { format!("in `{path}`") };
            let message = format!("there is no key `{name}` {location}");
            let help = match closest_name(name, properties.keys().map(String::as_str)) {
                Some(known) => format!("Did you mean `{known}`?"),
                None => {
                    let known: Vec<&str> = properties.keys().map(String::as_str).collect();
                    format!("Known keys: {}", known.join(", "))
                }
            };
            findings.push(Finding::new(Code::UnknownKey, key.span(), message, help));
            unknown.push(key.clone());
            continue;
        };
        let path = if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        match value.get_mut() {
            DeValue::Table(table) => remove_unknown_keys(table, key_schema, root, &path, findings),
            DeValue::Array(items) => {
                let Some(item_schema) = key_schema.get("items") else { continue };
                for item in items.iter_mut() {
                    if let DeValue::Table(table) = item.get_mut() {
                        remove_unknown_keys(table, item_schema, root, &path, findings);
                    }
                }
            }
            _ => {}
        }
    }
    for key in unknown {
        table.remove(&key);
    }
}

/// Returns the known name most similar to `name`, if it is similar enough to be a misspelling.
pub fn closest_name<'n>(name: &str, known: impl Iterator<Item = &'n str>) -> Option<&'n str> {
    let name = name.to_lowercase();
    let distance_to =
        |candidate: &'n str| (strsim::damerau_levenshtein(&name, &candidate.to_lowercase()), candidate);
    let (distance, closest) = known.map(distance_to).min()?;
    (distance <= 1 + name.chars().count() / 3 && distance < closest.chars().count()).then_some(closest)
}

/// Deserializes a table and reports all mistakes at once: after a mistake it removes the value and tries
/// again. A key that is reported missing only because its value was removed is not a finding; its table is
/// then removed in turn.
fn deserialize_with_all_findings<T: DeserializeOwned>(
    mut tree: Spanned<DeTable>,
    text: &str,
    findings: &mut Vec<Finding>,
) -> Option<T> {
    let findings_before = findings.len();
    let root = tree.span();
    let mut containers_of_removed: HashSet<Span> = HashSet::new();
    loop {
        let error = match T::deserialize(toml::Deserializer::from(tree.clone())) {
            Ok(value) => return Some(value).filter(|_| findings.len() == findings_before),
            Err(error) => error,
        };
        let span = error.span().unwrap_or(root.clone());
        let error_text = error.message();
        let is_missing_key = error_text.starts_with("missing field");
        let caused_by_removal = is_missing_key && containers_of_removed.contains(&span);
        if !caused_by_removal {
            findings.push(value_finding(
                error_text,
                span.clone(),
                text,
                is_missing_key.then_some(span == root),
            ));
        }
        let containers = remove_value(tree.get_mut(), &span).filter(|_| findings.len() < MAX_FINDINGS)?;
        containers_of_removed.extend(containers);
    }
}

/// Builds the finding for an error of the deserializer. `missing_at_top_level` is set if the error is a
/// missing key: true if the key belongs at the top level of the file, false if it belongs in a section.
fn value_finding(error_text: &str, span: Span, text: &str, missing_at_top_level: Option<bool>) -> Finding {
    let quoted = |message: &str| message.split('`').nth(1).unwrap_or_default().to_string();
    if let Some(at_top_level) = missing_at_top_level {
        let key = quoted(error_text);
        let section = text[span.clone()].lines().next().unwrap_or_default();
        let (subject, span) = match at_top_level || section.is_empty() {
            true => ("the file".to_string(), 0..0),
            false => (format!("`{section}`"), span),
        };
        let message = format!("{subject} lacks the required key `{key}`");
        return Finding::new(Code::MissingKey, span, message, format!("Add `{key}`"));
    }
    if let Some(variants_text) = error_text.strip_prefix("unknown variant ") {
        let mut quoted_names = variants_text.split('`').skip(1).step_by(2);
        let unknown = quoted_names.next().unwrap_or_default();
        let variants: Vec<&str> = quoted_names.collect();
        let message = format!("`{unknown}` is not one of {}", variants.join(", "));
        let help = match closest_name(unknown, variants.iter().copied()) {
            Some(closest) => format!("Did you mean `{closest}`?"),
            None => "Write one of these values".to_string(),
        };
        return Finding::new(Code::WrongValue, span, message, help);
    }
    let help = match error_text {
        message if message.contains("IP") || message.contains("socket address") => {
            "Write an IP address and a port, such as `127.0.0.1:7400`; host names are not resolved"
        }
        _ => Code::WrongValue.info().fix,
    };
    Finding::new(Code::WrongValue, span, error_text.to_string(), help)
}

/// Removes the value at this position. Returns the positions of the values that contained it, innermost
/// first, or `None` if there is no such value.
fn remove_value(table: &mut DeTable, span: &Range<usize>) -> Option<Vec<Span>> {
    let key = table.iter().find(|(k, v)| v.span() == *span || k.span() == *span).map(|(k, _)| k.clone());
    if let Some(key) = key {
        return table.remove(&key).map(|_| Vec::new());
    }
    table.iter_mut().find_map(|(_, value)| remove_nested_value(value, span))
}

fn remove_nested_value(value: &mut Spanned<DeValue>, span: &Range<usize>) -> Option<Vec<Span>> {
    let value_span = value.span();
    let mut containers = match value.get_mut() {
        DeValue::Table(table) => remove_value(table, span)?,
        DeValue::Array(items) => match items.iter().position(|i| i.span() == *span) {
            Some(index) => {
                let remaining = items.iter().enumerate().filter(|(i, _)| *i != index).map(|(_, v)| v.clone());
                *items = remaining.collect();
                Vec::new()
            }
            None => items.iter_mut().find_map(|i| remove_nested_value(i, span))?,
        },
        _ => return None,
    };
    containers.push(value_span);
    Some(containers)
}

/// One step of the path to a value in a file: a key of a table, or an index of a list.
#[derive(Clone, Copy, Debug)]
pub enum PathStep<'a> {
    Key(&'a str),
    Index(usize),
}

impl<'a> From<&'a str> for PathStep<'a> {
    fn from(key: &'a str) -> PathStep<'a> {
        PathStep::Key(key)
    }
}

impl From<usize> for PathStep<'_> {
    fn from(index: usize) -> Self {
        PathStep::Index(index)
    }
}

impl Source {
    /// Returns the position of the value at a path. If the file does not contain it, returns the position of
    /// the nearest enclosing section, or else the start of the file.
    pub fn span(&self, path: &[PathStep]) -> Span {
        let mut node = &self.root;
        for step in path {
            let child = match (step, &node.kind) {
                (PathStep::Key(key), NodeKind::Table(table)) => table.get(*key),
                (PathStep::Index(index), NodeKind::Array(items)) => items.get(*index),
                _ => None,
            };
            match child {
                Some(child) => node = child,
                None => break,
            }
        }
        if std::ptr::eq(node, &self.root) {
            return 0..0;
        }
        node.span.clone()
    }
}

//! Reads the text of a file into its type and reports every mistake of syntax or type with its position. Never panics,
//! whatever the bytes are.
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
const MOST: usize = 40;
/// Maximum nesting of tables and lists; the types need four levels.
const DEEPEST: usize = 32;

/// The positions of all values in a TOML file.
pub struct Source {
    root: Node,
}

struct Node {
    span: Span,
    inner: Inner,
}

enum Inner {
    Table(HashMap<String, Node>),
    Array(Vec<Node>),
    Leaf,
}

impl Node {
    fn new(span: Span, value: &DeValue) -> Node {
        let node = |v: &Spanned<DeValue>| Node::new(v.span(), v.get_ref());
        let inner = match value {
            DeValue::Table(table) => Inner::Table(keyed(table)),
            DeValue::Array(items) => Inner::Array(items.iter().map(node).collect()),
            _ => Inner::Leaf,
        };
        Node { span, inner }
    }
}

fn keyed(table: &DeTable) -> HashMap<String, Node> {
    let each = table.iter().map(|(k, v)| (k.get_ref().to_string(), Node::new(v.span(), v.get_ref())));
    each.collect()
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

/// Reads a text into a type. Reports every unknown key with the most similar known one, and as many other mistakes as
/// can be distinguished.
pub fn read<T: DeserializeOwned + JsonSchema>(text: &str) -> ReadResult<T> {
    read_with_schema(text, &TypeSchema::of::<T>())
}

/// Like [`read`], with a prepared schema of the type, for reading many files.
pub fn read_with_schema<T: DeserializeOwned>(text: &str, type_schema: &TypeSchema) -> ReadResult<T> {
    if let Some(at) = too_deep(text) {
        let message = format!("tables or lists are nested more than {DEEPEST} levels deep");
        return ReadResult::failed(Finding::new(
            Code::Syntax,
            at..at + 1,
            message,
            "No key needs more than four levels",
        ));
    }
    let (tree, errors) = DeTable::parse_recoverable(text);
    let findings: Vec<Finding> = errors.iter().take(MOST).map(|e| syntax(e, text)).collect();
    if !findings.is_empty() {
        return ReadResult { source: None, value: None, findings };
    }
    let root = Node { span: tree.span(), inner: Inner::Table(keyed(tree.get_ref())) };
    let schema = type_schema.json();
    let mut findings = Vec::new();
    let mut known = tree;
    drop_unknown(known.get_mut(), schema, schema, "", &mut findings);
    let value = read_known(known, text, &mut findings);
    findings.sort_by_key(|f| f.span.start);
    findings.truncate(MOST);
    ReadResult { source: Some(Source { root }), value, findings }
}

fn syntax(error: &toml::de::Error, text: &str) -> Finding {
    let span = error.span().unwrap_or(0..text.len().min(1));
    let message = format!("invalid TOML: {}", error.message());
    Finding::new(Code::Syntax, span, message, Code::Syntax.info().fix)
}

/// Returns the offset at which brackets are nested more than `DEEPEST` levels deep. Skips strings and comments, but only
/// within a line. The parser has its own limit, but this check does not depend on it.
fn too_deep(text: &str) -> Option<usize> {
    let mut depth = 0usize;
    let mut quote = None;
    for (at, byte) in text.bytes().enumerate() {
        match (quote, byte) {
            (_, b'\n') => quote = None,
            (Some(b'#'), _) => {}
            (Some(q), b) if q == b => quote = None,
            (Some(_), _) => {}
            (None, b'"' | b'\'' | b'#') => quote = Some(byte),
            (None, b'[' | b'{') => depth += 1,
            (None, b']' | b'}') => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > DEEPEST {
            return Some(at);
        }
    }
    None
}

/// Removes unknown keys from a table and reports them.
fn drop_unknown(table: &mut DeTable, schema: &Json, root: &Json, at: &str, findings: &mut Vec<Finding>) {
    let Some(properties) = object_schema(schema, root).and_then(|o| o.get("properties")?.as_object()) else {
        return;
    };
    let mut unknown = Vec::new();
    for (key, value) in table.iter_mut() {
        let name: &str = key.get_ref();
        let Some(inner) = properties.get(name) else {
            let location = if at.is_empty() { "at the top level".into() } else { format!("in `{at}`") };
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
        let at = if at.is_empty() { name.to_string() } else { format!("{at}.{name}") };
        match value.get_mut() {
            DeValue::Table(table) => drop_unknown(table, inner, root, &at, findings),
            DeValue::Array(items) => {
                let Some(inner) = inner.get("items") else { continue };
                for item in items.iter_mut() {
                    if let DeValue::Table(table) = item.get_mut() {
                        drop_unknown(table, inner, root, &at, findings);
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
    let near = |k: &'n str| (strsim::damerau_levenshtein(&name, &k.to_lowercase()), k);
    let (distance, best) = known.map(near).min()?;
    (distance <= 1 + name.chars().count() / 3 && distance < best.chars().count()).then_some(best)
}

/// Deserializes a table and reports all mistakes at once: after a mistake it removes the value and tries again. A key
/// that is reported missing only because its value was removed is not a finding; its table is then removed in turn.
fn read_known<T: DeserializeOwned>(
    mut tree: Spanned<DeTable>,
    text: &str,
    findings: &mut Vec<Finding>,
) -> Option<T> {
    let before = findings.len();
    let root = tree.span();
    let mut above_left_out: HashSet<Span> = HashSet::new();
    loop {
        let error = match T::deserialize(toml::Deserializer::from(tree.clone())) {
            Ok(value) => return Some(value).filter(|_| findings.len() == before),
            Err(error) => error,
        };
        let span = error.span().unwrap_or(root.clone());
        let error_text = error.message();
        let missing = error_text.starts_with("missing field");
        let by_us = missing && above_left_out.contains(&span);
        if !by_us {
            findings.push(value_finding(error_text, span.clone(), text, missing.then_some(span == root)));
        }
        let above = remove(tree.get_mut(), &span).filter(|_| findings.len() < MOST)?;
        above_left_out.extend(above);
    }
}

/// Builds the finding for an error of the deserializer. `missing` is set if a key is missing: true if it belongs at the
/// top level of the file, false if it belongs in a section.
fn value_finding(error_text: &str, span: Span, text: &str, missing: Option<bool>) -> Finding {
    let quoted = |m: &str| m.split('`').nth(1).unwrap_or_default().to_string();
    if let Some(of_file) = missing {
        let key = quoted(error_text);
        let section = text[span.clone()].lines().next().unwrap_or_default();
        let (of, span) = match of_file || section.is_empty() {
            true => ("the file".to_string(), 0..0),
            false => (format!("`{section}`"), span),
        };
        let message = format!("{of} lacks the required key `{key}`");
        return Finding::new(Code::MissingKey, span, message, format!("Add `{key}`"));
    }
    if let Some(rest) = error_text.strip_prefix("unknown variant ") {
        let mut words = rest.split('`').skip(1).step_by(2);
        let wrong = words.next().unwrap_or_default();
        let known: Vec<&str> = words.collect();
        let message = format!("`{wrong}` is not one of {}", known.join(", "));
        let help = match closest_name(wrong, known.iter().copied()) {
            Some(near) => format!("Did you mean `{near}`?"),
            None => "Write one of these values".to_string(),
        };
        return Finding::new(Code::WrongValue, span, message, help);
    }
    let help = match error_text {
        m if m.contains("IP") || m.contains("socket address") => {
            "Write an IP address and a port, such as `127.0.0.1:7400`; host names are not resolved"
        }
        _ => Code::WrongValue.info().fix,
    };
    Finding::new(Code::WrongValue, span, error_text.to_string(), help)
}

/// Removes the value at this position. Returns the positions of the values that contained it, innermost first, or `None`
/// if there is no such value.
fn remove(table: &mut DeTable, span: &Range<usize>) -> Option<Vec<Span>> {
    let key = table.iter().find(|(k, v)| v.span() == *span || k.span() == *span).map(|(k, _)| k.clone());
    if let Some(key) = key {
        return table.remove(&key).map(|_| Vec::new());
    }
    table.iter_mut().find_map(|(_, value)| remove_inside(value, span))
}

fn remove_inside(value: &mut Spanned<DeValue>, span: &Range<usize>) -> Option<Vec<Span>> {
    let here = value.span();
    let mut above = match value.get_mut() {
        DeValue::Table(table) => remove(table, span)?,
        DeValue::Array(items) => match items.iter().position(|i| i.span() == *span) {
            Some(at) => {
                let kept = items.iter().enumerate().filter(|(i, _)| *i != at).map(|(_, v)| v.clone());
                *items = kept.collect();
                Vec::new()
            }
            None => items.iter_mut().find_map(|i| remove_inside(i, span))?,
        },
        _ => return None,
    };
    above.push(here);
    Some(above)
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
    fn from(item: usize) -> Self {
        PathStep::Index(item)
    }
}

impl Source {
    /// Returns the position of the value at a path. If the file does not contain it, returns the position of the nearest
    /// enclosing section, or else the start of the file.
    pub fn span(&self, path: &[PathStep]) -> Span {
        let mut node = &self.root;
        for step in path {
            let inner = match (step, &node.inner) {
                (PathStep::Key(key), Inner::Table(table)) => table.get(*key),
                (PathStep::Index(at), Inner::Array(items)) => items.get(*at),
                _ => None,
            };
            match inner {
                Some(inner) => node = inner,
                None => break,
            }
        }
        if std::ptr::eq(node, &self.root) {
            return 0..0;
        }
        node.span.clone()
    }
}

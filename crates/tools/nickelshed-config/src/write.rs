//! Writes a configuration as a TOML file, with the description of each key as a comment above it, and formats existing
//! files.
use crate::schema::{Key, TypeSchema};
use crate::sidecar::Sidecar;
use toml_edit::{Decor, DocumentMut, Item, KeyMut, RawString, Table, Value};

/// Maximum length of a comment line, in bytes.
const WIDTH: usize = 100;

/// Writes a file that reads back as the same configuration. `explained` adds the description of each key above it.
///
/// # Errors
/// If a value can't be represented in TOML, such as a path that is not UTF-8.
pub fn to_toml(sidecar: &Sidecar, explained: bool) -> Result<String, String> {
    let text = toml::to_string(sidecar).map_err(|e| format!("can't be written as TOML: {e}"))?;
    let mut document: DocumentMut = text.parse().map_err(|e| format!("can't be written as TOML: {e}"))?;
    if explained {
        explain(&mut document);
    }
    let head = format!(
        "# The sidecar of {}: `nickelshed --config FILE`. Check it with `nickelshed-ctl check FILE`.\n",
        sidecar.application
    );
    Ok(head + document.to_string().trim_start())
}

fn explain(document: &mut DocumentMut) {
    let schema = TypeSchema::of::<Sidecar>();
    for key in schema.keys() {
        let nested_keys = schema.nested_keys(&key);
        match document.get_mut(key.name) {
            Some(Item::Table(table)) => {
                table.decor_mut().set_prefix(format!("\n{}", comment(&key.description)));
                explain_keys(table, &nested_keys);
            }
            Some(Item::ArrayOfTables(tables)) => {
                for (i, table) in tables.iter_mut().enumerate() {
                    // Only the first table of a list is described.
                    let above = if i == 0 { comment(&key.description) } else { String::new() };
                    table.decor_mut().set_prefix(format!("\n{above}"));
                    if i == 0 {
                        explain_keys(table, &nested_keys);
                    }
                }
            }
            _ => explain_keys(document.as_table_mut(), std::slice::from_ref(&key)),
        }
    }
}

fn explain_keys(table: &mut Table, keys: &[Key]) {
    for key in keys {
        if let Some(mut written) = table.key_mut(key.name) {
            written.leaf_decor_mut().set_prefix(comment(&key.description));
        }
    }
}

/// Wraps a text into comment lines, each with its line end.
fn comment(text: &str) -> String {
    let mut lines = vec![String::from("#")];
    for word in text.split_whitespace() {
        match lines.last_mut() {
            Some(line) if line.len() + 1 + word.len() <= WIDTH => {
                line.push(' ');
                line.push_str(word);
            }
            _ => lines.push(format!("# {word}")),
        }
    }
    lines.join("\n") + "\n"
}

/// Formats a file: one space around each `=`, one empty line before each section, none at the start and end. Keeps
/// comments, the order of keys and all values.
///
/// # Errors
/// If the text is not valid TOML.
pub fn format_text(text: &str) -> Result<String, String> {
    let mut document: DocumentMut = text.parse().map_err(|e| format!("{e}"))?;
    let trailing = above(document.trailing()).trim_end_matches('\n').to_string();
    let trailing = if trailing.is_empty() { trailing } else { trailing + "\n" };
    tidy_table(document.as_table_mut());
    document.set_trailing(trailing);
    let text = document.to_string();
    Ok(text.trim_start_matches('\n').to_string())
}

fn tidy_table(table: &mut Table) {
    let implicit = table.is_implicit();
    let before = table.decor().prefix().map(above).unwrap_or_default();
    let behind = table.decor().suffix().map(beside).unwrap_or_default();
    if !implicit {
        *table.decor_mut() = Decor::new(format!("\n{}", before.trim_start_matches('\n')), behind);
    }
    for (mut key, item) in table.iter_mut() {
        match item {
            Item::Table(inner) => tidy_table(inner),
            Item::ArrayOfTables(tables) => tables.iter_mut().for_each(tidy_table),
            Item::Value(value) => {
                tidy_key(&mut key);
                tidy_value(value);
            }
            Item::None => {}
        }
    }
}

fn tidy_key(key: &mut KeyMut) {
    let before = key.leaf_decor().prefix().map(above).unwrap_or_default();
    *key.leaf_decor_mut() = Decor::new(before, " ");
}

fn tidy_value(value: &mut Value) {
    let behind = value.decor().suffix().map(beside).unwrap_or_default();
    let spread = |text: String| text.contains('\n') || text.contains('#');
    match value {
        // A list or inline table that spans several lines, or has a comment, keeps its layout.
        Value::Array(array) if !spread(array.to_string()) => {
            array.iter_mut().for_each(tidy_value);
            array.fmt();
        }
        Value::InlineTable(table) if !spread(table.to_string()) => table.fmt(),
        _ => {}
    }
    *value.decor_mut() = Decor::new(" ", behind);
}

/// Returns the comment lines above a key or section. Several empty lines in a row become one.
fn above(raw: &RawString) -> String {
    let mut out = String::new();
    let text = raw.as_str().unwrap_or_default();
    // The text after the last line end is the indentation of the key itself, not a line.
    let lines = text.rsplit_once('\n').map_or("", |(lines, _)| lines);
    for line in lines.split('\n').map(str::trim).skip(usize::from(!text.contains('\n'))) {
        if line.starts_with('#') {
            out += line;
            out.push('\n');
        } else if !out.ends_with("\n\n") && out != "\n" {
            out.push('\n');
        }
    }
    out
}

/// Returns the comment that follows a value or header on the same line, with one space before it.
fn beside(raw: &RawString) -> String {
    let text = raw.as_str().unwrap_or_default().trim();
    if text.is_empty() {
        String::new()
    } else {
        format!(" {text}")
    }
}

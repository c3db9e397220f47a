//! Writes a configuration as a TOML file, with the description of each key as a comment above it, and formats
//! existing files.
use crate::schema::{Key, TypeSchema};
use crate::sidecar::Sidecar;
use toml_edit::{Decor, DocumentMut, Item, KeyMut, RawString, Table, Value};

/// Maximum length of a comment line, in bytes.
const MAX_LINE_BYTES: usize = 100;

/// Writes a file that reads back as the same configuration. `with_descriptions` adds the description of each
/// key above it.
///
/// # Errors
/// If a value can't be represented in TOML, such as a path that is not UTF-8.
pub fn to_toml(sidecar: &Sidecar, with_descriptions: bool) -> Result<String, String> {
    let text = toml::to_string(sidecar).map_err(|e| format!("can't be written as TOML: {e}"))?;
    let mut document: DocumentMut = text.parse().map_err(|e| format!("can't be written as TOML: {e}"))?;
    if with_descriptions {
        add_descriptions(&mut document);
    }
    let header = format!(
        "# The sidecar of {}: `nickelshed --config FILE`. Check it with `nickelshed-ctl check FILE`.\n",
        sidecar.application
    );
    Ok(header + document.to_string().trim_start())
}

fn add_descriptions(document: &mut DocumentMut) {
    let schema = TypeSchema::of::<Sidecar>();
    for key in schema.keys() {
        let nested_keys = schema.nested_keys(&key);
        match document.get_mut(key.name) {
            Some(Item::Table(table)) => {
                table.decor_mut().set_prefix(format!("\n{}", comment(&key.description)));
                add_key_descriptions(table, &nested_keys);
            }
            Some(Item::ArrayOfTables(tables)) => {
                for (i, table) in tables.iter_mut().enumerate() {
                    // Only the first table of a list is described.
                    let table_comment = if i == 0 { comment(&key.description) } else { String::new() };
                    table.decor_mut().set_prefix(format!("\n{table_comment}"));
                    if i == 0 {
                        add_key_descriptions(table, &nested_keys);
                    }
                }
            }
            _ => add_key_descriptions(document.as_table_mut(), std::slice::from_ref(&key)),
        }
    }
}

fn add_key_descriptions(table: &mut Table, keys: &[Key]) {
    for key in keys {
        if let Some(mut key_mut) = table.key_mut(key.name) {
            key_mut.leaf_decor_mut().set_prefix(comment(&key.description));
        }
    }
}

/// Wraps a text into comment lines, each with its line end.
fn comment(text: &str) -> String {
    let mut lines = vec![String::from("#")];
    for word in text.split_whitespace() {
        match lines.last_mut() {
            Some(line) if line.len() + 1 + word.len() <= MAX_LINE_BYTES => {
                line.push(' ');
                line.push_str(word);
            }
            _ => lines.push(format!("# {word}")),
        }
    }
    lines.join("\n") + "\n"
}

/// Formats a file: one space around each `=`, one empty line before each section, none at the start and end.
/// Keeps comments, the order of keys and all values.
///
/// # Errors
/// If the text is not valid TOML.
pub fn format_text(text: &str) -> Result<String, String> {
    let mut document: DocumentMut = text.parse().map_err(|e| format!("{e}"))?;
    let trailing_comments = leading_comments(document.trailing()).trim_end_matches('\n').to_string();
    let trailing_comments =
        if trailing_comments.is_empty() { trailing_comments } else { trailing_comments + "\n" };
    format_table(document.as_table_mut());
    document.set_trailing(trailing_comments);
    let text = document.to_string();
    Ok(text.trim_start_matches('\n').to_string())
}

fn format_table(table: &mut Table) {
    let is_implicit = table.is_implicit();
    let prefix = table.decor().prefix().map(leading_comments).unwrap_or_default();
    let suffix = table.decor().suffix().map(trailing_comment).unwrap_or_default();
    if !is_implicit {
        *table.decor_mut() = Decor::new(format!("\n{}", prefix.trim_start_matches('\n')), suffix);
    }
    for (mut key, item) in table.iter_mut() {
        match item {
            Item::Table(nested) => format_table(nested),
            Item::ArrayOfTables(tables) => tables.iter_mut().for_each(format_table),
            Item::Value(value) => {
                format_key(&mut key);
                format_value(value);
            }
            Item::None => {}
        }
    }
}

fn format_key(key: &mut KeyMut) {
    let prefix = key.leaf_decor().prefix().map(leading_comments).unwrap_or_default();
    *key.leaf_decor_mut() = Decor::new(prefix, " ");
}

fn format_value(value: &mut Value) {
    let suffix = value.decor().suffix().map(trailing_comment).unwrap_or_default();
    let spans_lines = |text: String| text.contains('\n') || text.contains('#');
    match value {
        // A list or inline table that spans several lines, or has a comment, keeps its layout.
        Value::Array(array) if !spans_lines(array.to_string()) => {
            array.iter_mut().for_each(format_value);
            array.fmt();
        }
        Value::InlineTable(table) if !spans_lines(table.to_string()) => table.fmt(),
        _ => {}
    }
    *value.decor_mut() = Decor::new(" ", suffix);
}

/// Returns the comment lines above a key or section. Several empty lines in a row become one.
fn leading_comments(raw: &RawString) -> String {
    let mut comments = String::new();
    let text = raw.as_str().unwrap_or_default();
    // The text after the last line end is the indentation of the key itself, not a line.
    let lines = text.rsplit_once('\n').map_or("", |(lines, _)| lines);
    for line in lines.split('\n').map(str::trim).skip(usize::from(!text.contains('\n'))) {
        if line.starts_with('#') {
            comments += line;
            comments.push('\n');
        } else if !comments.ends_with("\n\n") && comments != "\n" {
            comments.push('\n');
        }
    }
    comments
}

/// Returns the comment that follows a value or header on the same line, with one space before it.
fn trailing_comment(raw: &RawString) -> String {
    let text = raw.as_str().unwrap_or_default().trim();
    if text.is_empty() {
        String::new()
    } else {
        format!(" {text}")
    }
}

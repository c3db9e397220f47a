//! A configuration written as a file, each key with what it means above it; and files laid out anew.
use crate::shape::{Key, Shape};
use crate::sidecar::Sidecar;
use toml_edit::{Decor, DocumentMut, Item, KeyMut, RawString, Table, Value};

/// The widest line of a comment.
const WIDTH: usize = 100;

/// A file that reads back as the same configuration. `explained`: with the meaning of each key above it.
///
/// # Errors
/// If a value has no form in TOML, as a path that is no text.
pub fn file(sidecar: &Sidecar, explained: bool) -> Result<String, String> {
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
    let shape = Shape::of::<Sidecar>();
    for key in shape.keys() {
        let inside = shape.inside(&key);
        match document.get_mut(key.name) {
            Some(Item::Table(table)) => {
                table.decor_mut().set_prefix(format!("\n{}", comment(&key.about)));
                explain_keys(table, &inside);
            }
            Some(Item::ArrayOfTables(tables)) => {
                for (i, table) in tables.iter_mut().enumerate() {
                    // Once is enough.
                    let above = if i == 0 { comment(&key.about) } else { String::new() };
                    table.decor_mut().set_prefix(format!("\n{above}"));
                    if i == 0 {
                        explain_keys(table, &inside);
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
            written.leaf_decor_mut().set_prefix(comment(&key.about));
        }
    }
}

/// Lines of a comment, each with its end.
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

/// A file laid out anew: one space around each `=`, one empty line before each section, none at the ends; comments,
/// the order of keys and all values stay.
///
/// # Errors
/// If it is no TOML.
pub fn tidy(text: &str) -> Result<String, String> {
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
        // Those that somebody has spread over lines stay so.
        Value::Array(array) if !spread(array.to_string()) => {
            array.iter_mut().for_each(tidy_value);
            array.fmt();
        }
        Value::InlineTable(table) if !spread(table.to_string()) => table.fmt(),
        _ => {}
    }
    *value.decor_mut() = Decor::new(" ", behind);
}

/// What stands above something: comments, a line each, and one empty line where there were some.
fn above(raw: &RawString) -> String {
    let mut out = String::new();
    let text = raw.as_str().unwrap_or_default();
    // Behind the last line's end is what the key itself stands on, which is no line.
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

/// A comment behind something on its line.
fn beside(raw: &RawString) -> String {
    let text = raw.as_str().unwrap_or_default().trim();
    if text.is_empty() {
        String::new()
    } else {
        format!(" {text}")
    }
}

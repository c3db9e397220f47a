//! Generates the reference page, which lists every key and code, from the types.
use crate::code::Code;
use crate::code::Level;
use crate::schema::{Key, TypeSchema};
use crate::sidecar::Sidecar;
use std::fmt::Write;

const HEAD: &str = "# Every key of a sidecar's configuration

Generated from the types by `nickelshed-ctl reference`; a test checks that this page is current. How to run a sidecar is
described in [sidecar.md](sidecar.md); `deploy/sidecar.toml` is a complete example.
";

/// Returns the page in Markdown.
pub fn page() -> String {
    let schema = TypeSchema::of::<Sidecar>();
    let mut out = HEAD.to_string();
    let (sections, plain): (Vec<Key>, Vec<Key>) =
        schema.keys().into_iter().partition(|k| !schema.nested_keys(k).is_empty());
    out.push_str("\n## At the top of the file\n\n");
    table(&mut out, &plain);
    for section in &sections {
        let heading = if TypeSchema::is_list(section) {
            format!("[[{}]]", section.name)
        } else {
            format!("[{}]", section.name)
        };
        let must = if section.required { " Required." } else { "" };
        _ = write!(out, "\n## `{heading}`\n\n{}{must}\n\n", section.description);
        let keys = schema.nested_keys(section);
        table(&mut out, &keys);
        for key in &keys {
            let inner = schema.nested_keys(key);
            if !inner.is_empty() {
                _ = write!(out, "\nA table in `{}.{}` has:\n\n", section.name, key.name);
                table(&mut out, &inner);
            }
        }
    }
    out.push_str("\n## Codes\n\nErrors stop a sidecar from starting, warnings do not. `nickelshed-ctl explain CODE` explains a code.\n\n");
    out.push_str("| code | level | meaning |\n| --- | --- | --- |\n");
    for code in Code::ALL {
        let level = if code.level() == Level::Error { "error" } else { "warning" };
        _ = writeln!(out, "| {code} | {level} | {} |", code.info().title);
    }
    out
}

fn table(out: &mut String, keys: &[Key]) {
    out.push_str("| key | format | default | meaning |\n| --- | --- | --- | --- |\n");
    for key in keys {
        let default = match key.default {
            Some(default) => format!("`{}`", default.to_string().replace('|', "\\|")),
            None if key.required => "required".to_string(),
            None => "none".to_string(),
        };
        _ = writeln!(
            out,
            "| `{}` | {} | {default} | {} |",
            key.name,
            key.value_format,
            key.description.replace('|', "\\|")
        );
    }
}

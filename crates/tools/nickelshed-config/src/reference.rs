//! Generates the reference page, which lists every key and code, from the types.
use crate::code::Code;
use crate::code::Level;
use crate::schema::{Key, TypeSchema};
use crate::sidecar::Sidecar;
use std::fmt::Write;

const HEADER: &str = "# Every key of a sidecar's configuration

Generated from the types by `nickelshed-ctl reference`; a test checks that this page is current. How to run a
sidecar is described in [sidecar.md](sidecar.md); `deploy/sidecar.toml` is a complete example.
";

/// Returns the page in Markdown.
pub fn page() -> String {
    let schema = TypeSchema::of::<Sidecar>();
    let mut page = HEADER.to_string();
    let (sections, top_level_keys): (Vec<Key>, Vec<Key>) =
        schema.keys().into_iter().partition(|k| !schema.nested_keys(k).is_empty());
    page.push_str("\n## At the top of the file\n\n");
    write_table(&mut page, &top_level_keys);
    for section in &sections {
        let heading = if TypeSchema::is_list(section) {
            format!("[[{}]]", section.name)
        } else {
            format!("[{}]", section.name)
        };
        let requirement = if section.required { " Required." } else { "" };
        _ = write!(page, "\n## `{heading}`\n\n{}{requirement}\n\n", section.description);
        let keys = schema.nested_keys(section);
        write_table(&mut page, &keys);
        for key in &keys {
            let nested = schema.nested_keys(key);
            if !nested.is_empty() {
                _ = write!(page, "\nA table in `{}.{}` has:\n\n", section.name, key.name);
                write_table(&mut page, &nested);
            }
        }
    }
    page.push_str("\n## Codes\n\nErrors stop a sidecar from starting, warnings do not. `nickelshed-ctl explain CODE` explains a code.\n\n");
    page.push_str("| code | level | meaning |\n| --- | --- | --- |\n");
    for code in Code::ALL {
        let level = if code.level() == Level::Error { "error" } else { "warning" };
        _ = writeln!(page, "| {code} | {level} | {} |", code.info().title);
    }
    page
}

fn write_table(page: &mut String, keys: &[Key]) {
    page.push_str("| key | format | default | meaning |\n| --- | --- | --- | --- |\n");
    for key in keys {
        let default = match key.default {
            Some(default) => format!("`{}`", default.to_string().replace('|', "\\|")),
            None if key.required => "required".to_string(),
            None => "none".to_string(),
        };
        _ = writeln!(
            page,
            "| `{}` | {} | {default} | {} |",
            key.name,
            key.value_format,
            key.description.replace('|', "\\|")
        );
    }
}

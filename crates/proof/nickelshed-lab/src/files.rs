//! Reads scenario files, reporting the position of every mistake, and writes them.
use nickelshed_config::finding::position;
use nickelshed_config::source;
use nickelshed_model::Scenario;
use std::path::Path;

/// Reads and validates a scenario file.
///
/// # Errors
/// All mistakes in the file, one per line.
pub fn read(path: &Path) -> Result<Scenario, String> {
    let bytes = std::fs::read(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    let text = source::text(&bytes).map_err(|f| format!("{}: {}", path.display(), f.message))?;
    parse(text, path)
}

/// Parses and validates the text of a scenario file; `path` is used in messages only.
///
/// # Errors
/// All mistakes in the text, one per line.
pub fn parse(text: &str, path: &Path) -> Result<Scenario, String> {
    let parsed = source::read::<Scenario>(text);
    let lines: Vec<String> = parsed.findings.iter().map(|f| f.to_log_line(path.display(), text)).collect();
    let scenario = parsed.value.filter(|_| lines.is_empty()).ok_or(lines.join("\n"))?;
    let validated = scenario.validate().map_err(|reason| {
        // The message quotes the offending key first, which gives the position.
        let key = reason.split('`').nth(1).unwrap_or_default();
        let (line, column) = position(text, text.find(key).unwrap_or(0));
        format!("{}:{line}:{column}: {reason}", path.display())
    });
    validated.map(|()| scenario)
}

/// Writes a scenario file, with `about` as a comment at the top.
///
/// # Errors
/// If the scenario cannot be expressed in TOML or the file cannot be written.
pub fn write(path: &Path, scenario: &Scenario, about: &str) -> Result<(), String> {
    let text = toml::to_string(scenario).map_err(|e| e.to_string())?;
    let comment: String = about.lines().map(|l| format!("# {l}\n")).collect();
    std::fs::write(path, comment + &text).map_err(|e| format!("cannot write {}: {e}", path.display()))
}

//! Scenario files: read with the place of every mistake, written with the seed that they are played with.
use nickelshed_config::finding::position;
use nickelshed_config::source;
use nickelshed_model::Scenario;
use std::path::Path;

/// # Errors
/// Everything that is wrong with the file, a line each.
pub fn read(path: &Path) -> Result<Scenario, String> {
    let bytes = std::fs::read(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    let text = source::text(&bytes).map_err(|f| format!("{}: {}", path.display(), f.message))?;
    parse(text, path)
}

/// # Errors
/// Everything that is wrong with the text, a line each.
pub fn parse(text: &str, path: &Path) -> Result<Scenario, String> {
    let read = source::read::<Scenario>(text);
    let lines: Vec<String> = read.findings.iter().map(|f| f.to_log_line(path.display(), text)).collect();
    let scenario = read.value.filter(|_| lines.is_empty()).ok_or(lines.join("\n"))?;
    let sound = scenario.validate().map_err(|why| {
        // The figure is named first, so it can be found again.
        let key = why.split('`').nth(1).unwrap_or_default();
        let (line, column) = position(text, text.find(key).unwrap_or(0));
        format!("{}:{line}:{column}: {why}", path.display())
    });
    sound.map(|()| scenario)
}

/// A file that is played as it is; `about` stands above it as a comment.
///
/// # Errors
/// If it has no form in TOML, or can't be written.
pub fn write(path: &Path, scenario: &Scenario, about: &str) -> Result<(), String> {
    let text = toml::to_string(scenario).map_err(|e| e.to_string())?;
    let comment: String = about.lines().map(|l| format!("# {l}\n")).collect();
    std::fs::write(path, comment + &text).map_err(|e| format!("cannot write {}: {e}", path.display()))
}

//! Renders one HTML page about a run: the verdict of the checker, the score, plots and the history of each
//! message. The page loads nothing over the network.
mod plots;
pub mod series;

use crate::ScenarioRun;
use nickelshed_judge::{Us, Violation};
use nickelshed_model::Scenario;
use series::{time_series, MessageHistory};
use std::fmt::Write;

const PAGE_TEMPLATE: &str = include_str!("page.html");
/// Maximum number of message histories on a page, the slowest first; each takes about 500 bytes.
const MAX_HISTORIES: usize = 20_000;
/// Maximum number of violations that are listed one by one.
const MAX_VIOLATIONS: usize = 50;
/// Approximate number of buckets in a plot; a short run has fewer, each of `MIN_BUCKET_US`.
const TARGET_BUCKETS: Us = 300;
const MIN_BUCKET_US: Us = 100_000;

/// Renders the page of a run as HTML.
///
/// # Errors
/// If a plot cannot be drawn.
pub fn page(name: &str, scenario: &Scenario, seed: u64, run: &ScenarioRun) -> Result<String, String> {
    let end = run.events.last().map_or(0, |e| e.at);
    let series = time_series(&run.events, (end / TARGET_BUCKETS).max(MIN_BUCKET_US));
    let mut plots = String::new();
    for plot in [plots::load, plots::calls_in_flight, plots::queued, plots::call_outcomes] {
        plots.push_str(&plot(&series)?);
    }
    if let Some((svg, left_out)) = plots::intervals(&series)? {
        plots.push_str(&svg);
        if left_out > 0 {
            let _ = write!(plots, "<p>{left_out} more are not shown.</p>");
        }
    }
    let title = escape_html(&format!("{name}, seed {seed}"));
    let histories = histories_json(scenario, series.histories);
    let replacements = [
        ("{{title}}", title),
        ("{{verdict}}", verdict(run)),
        ("{{table}}", summary_table(run)),
        ("{{plots}}", plots),
        ("{{histories}}", histories),
    ];
    Ok(fill_template(PAGE_TEMPLATE, &replacements))
}

/// Replaces the placeholders in one pass over the template, so that inserted text is never read as a
/// placeholder.
fn fill_template(template: &str, replacements: &[(&str, String)]) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some((at, placeholder, text)) = replacements
        .iter()
        .filter_map(|(placeholder, text)| Some((rest.find(placeholder)?, *placeholder, text)))
        .min_by_key(|f| f.0)
    {
        out.push_str(&rest[..at]);
        out.push_str(text);
        rest = &rest[at + placeholder.len()..];
    }
    out.push_str(rest);
    out
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn verdict(run: &ScenarioRun) -> String {
    if run.is_clean() {
        return "<p class=\"kept\">All six rules were kept, and nothing crashed.</p>".into();
    }
    let mut out = String::from("<ul class=\"broken\">");
    let line = |violation: &Violation| {
        format!("{:?} at {} ms: {}", violation.rule, violation.at / 1_000, violation.description)
    };
    let shown = run.violations.iter().take(MAX_VIOLATIONS).map(line);
    for line in shown.chain(run.crashes.iter().map(|c| format!("crash: {c}"))) {
        let _ = write!(out, "<li>{}</li>", escape_html(&line));
    }
    if run.violations.len() > MAX_VIOLATIONS {
        let _ = write!(out, "<li>and {} more</li>", run.violations.len() - MAX_VIOLATIONS);
    }
    out + "</ul>"
}

fn summary_table(run: &ScenarioRun) -> String {
    let score = &run.score;
    let mut rows = vec![
        ("share of the submitted worth that was delivered".to_string(), format!("{:.4}", score.value)),
        ("messages".into(), score.messages.to_string()),
        ("in time".into(), score.in_time.to_string()),
        ("late".into(), score.late.to_string()),
        ("not delivered".into(), score.lost.to_string()),
        ("median time to delivery".into(), format!("{:.0} ms", score.p50_ms)),
        ("99th percentile of time to delivery".into(), format!("{:.0} ms", score.p99_ms)),
        ("calls".into(), score.calls.to_string()),
        ("calls rejected".into(), score.rejected.to_string()),
    ];
    for (reason, count) in &score.loss_reasons {
        let reason = format!("{reason:?}").to_lowercase();
        rows.push((format!("late or not delivered, main cause {reason}"), count.to_string()));
    }
    let row = |(name, value): (String, String)| {
        format!("<tr><td>{}</td><td class=\"n\">{}</td></tr>", escape_html(&name), escape_html(&value))
    };
    format!("<table>{}</table>", rows.into_iter().map(row).collect::<String>())
}

/// Encodes the message histories as the script of the page reads them: undelivered messages first, then the
/// slowest.
fn histories_json(scenario: &Scenario, mut histories: Vec<MessageHistory>) -> String {
    histories.sort_by_key(|h| (h.latency.is_some(), std::cmp::Reverse(h.latency), h.message));
    histories.truncate(MAX_HISTORIES);
    let classes = scenario.traffic_classes();
    let class = |n: usize| classes.get(n).map_or("unknown", |c| c.name.as_str());
    let history = |h: &MessageHistory| {
        let steps: Vec<_> = h.steps.iter().map(|s| (s.at, s.until, s.description.as_str())).collect();
        (h.message, h.dest, class(h.class), h.latency, serde_json::json!(steps))
    };
    let text = serde_json::to_string(&histories.iter().map(history).collect::<Vec<_>>()).unwrap_or_default();
    // A text containing `</script>` would otherwise end the script element.
    text.replace('<', "\\u003c")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn inserted_text_is_neither_a_placeholder_nor_the_end_of_the_script() {
        let replacements = [("{{a}}", "{{b}}".to_string()), ("{{b}}", "x".to_string())];
        assert_eq!(fill_template("1 {{a}} 2 {{b}} 3", &replacements), "1 {{b}} 2 x 3");
        assert_eq!(escape_html("<a href=\"x\">&"), "&lt;a href=&quot;x&quot;&gt;&amp;");
        let history = MessageHistory {
            message: 1,
            steps: vec![series::HistoryStep { at: 1, until: None, description: "</script>".into() }],
            ..MessageHistory::default()
        };
        let text = histories_json(&Scenario::default(), vec![history]);
        assert!(!text.contains('<') && text.contains("\\u003c/script>"));
    }
}

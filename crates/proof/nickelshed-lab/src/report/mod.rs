//! One page of a day: the verdict, where worth was lost, plots, and the life of any message. It needs no network.
mod plots;
pub mod series;

use crate::ScenarioRun;
use nickelshed_judge::{Broken, Us};
use nickelshed_model::Scenario;
use series::{series, Life};
use std::fmt::Write;

const PAGE: &str = include_str!("page.html");
/// Lives that a page holds at most, the worst first; at some 500 bytes each.
const LIVES: usize = 20_000;
/// Broken rules that are told one by one.
const BROKEN: usize = 50;
/// A plot has about so many buckets, of a tenth of a second at least.
const BUCKETS: Us = 300;
const LEAST_BUCKET: Us = 100_000;

/// The page of a day, as HTML.
///
/// # Errors
/// If a plot can't be drawn.
pub fn page(name: &str, scenario: &Scenario, seed: u64, day: &ScenarioRun) -> Result<String, String> {
    let end = day.events.last().map_or(0, |e| e.at);
    let series = series(&day.events, (end / BUCKETS).max(LEAST_BUCKET));
    let mut plots = String::new();
    for plot in [plots::load, plots::calls_out, plots::held, plots::answers] {
        plots.push_str(&plot(&series)?);
    }
    if let Some((picture, left_out)) = plots::stretches(&series)? {
        plots.push_str(&picture);
        if left_out > 0 {
            let _ = write!(plots, "<p>{left_out} more are not shown.</p>");
        }
    }
    let title = escaped(&format!("{name}, seed {seed}"));
    let lives = lives(scenario, series.lives);
    let parts = [
        ("{{title}}", title),
        ("{{verdict}}", verdict(day)),
        ("{{table}}", table(day)),
        ("{{plots}}", plots),
        ("{{lives}}", lives),
    ];
    Ok(filled(PAGE, &parts))
}

/// Each mark is looked for once and in its order, so that what is filled in is never taken for one.
fn filled(page: &str, parts: &[(&str, String)]) -> String {
    let mut out = String::new();
    let mut rest = page;
    while let Some((at, mark, text)) =
        parts.iter().filter_map(|(mark, text)| Some((rest.find(mark)?, *mark, text))).min_by_key(|f| f.0)
    {
        out.push_str(&rest[..at]);
        out.push_str(text);
        rest = &rest[at + mark.len()..];
    }
    out.push_str(rest);
    out
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn verdict(day: &ScenarioRun) -> String {
    if day.is_clean() {
        return "<p class=\"kept\">All six rules were kept, and nothing crashed.</p>".into();
    }
    let mut out = String::from("<ul class=\"broken\">");
    let word = |b: &Broken| format!("{:?} at {} ms: {}", b.rule, b.at / 1_000, b.words);
    let broken = day.violations.iter().take(BROKEN).map(word);
    for line in broken.chain(day.crashes.iter().map(|c| format!("crash: {c}"))) {
        let _ = write!(out, "<li>{}</li>", escaped(&line));
    }
    if day.violations.len() > BROKEN {
        let _ = write!(out, "<li>and {} more</li>", day.violations.len() - BROKEN);
    }
    out + "</ul>"
}

fn table(day: &ScenarioRun) -> String {
    let r = &day.score;
    let mut rows = vec![
        ("worth delivered of what was asked for".to_string(), format!("{:.4}", r.worth)),
        ("messages".into(), r.messages.to_string()),
        ("in time".into(), r.in_time.to_string()),
        ("late".into(), r.late.to_string()),
        ("not delivered".into(), r.lost.to_string()),
        ("median to delivery".into(), format!("{:.0} ms", r.p50_ms)),
        ("99 of 100 within".into(), format!("{:.0} ms", r.p99_ms)),
        ("calls".into(), r.calls.to_string()),
        ("turned away".into(), r.turned_away.to_string()),
    ];
    for (why, count) in &r.why {
        let why = format!("{why:?}").to_lowercase();
        rows.push((format!("late or not delivered, mostly {why}"), count.to_string()));
    }
    let row = |(name, value): (String, String)| {
        format!("<tr><td>{}</td><td class=\"n\">{}</td></tr>", escaped(&name), escaped(&value))
    };
    format!("<table>{}</table>", rows.into_iter().map(row).collect::<String>())
}

/// The lives as the page's script reads them, the worst first.
fn lives(scenario: &Scenario, mut lives: Vec<Life>) -> String {
    lives.sort_by_key(|l| (l.took.is_some(), std::cmp::Reverse(l.took), l.message));
    lives.truncate(LIVES);
    let classes = scenario.mix();
    let class = |n: usize| classes.get(n).map_or("unknown", |c| c.name.as_str());
    let life = |l: &Life| {
        let steps: Vec<_> = l.steps.iter().map(|s| (s.at, s.to, s.words.as_str())).collect();
        (l.message, l.dest, class(l.class), l.took, serde_json::json!(steps))
    };
    let text = serde_json::to_string(&lives.iter().map(life).collect::<Vec<_>>()).unwrap_or_default();
    // A text in it could else end the script.
    text.replace('<', "\\u003c")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_filled_in_is_taken_for_no_mark_and_ends_no_script() {
        let parts = [("{{a}}", "{{b}}".to_string()), ("{{b}}", "x".to_string())];
        assert_eq!(filled("1 {{a}} 2 {{b}} 3", &parts), "1 {{b}} 2 x 3");
        assert_eq!(escaped("<a href=\"x\">&"), "&lt;a href=&quot;x&quot;&gt;&amp;");
        let life = Life {
            message: 1,
            steps: vec![series::Step { at: 1, to: None, words: "</script>".into() }],
            ..Life::default()
        };
        let text = lives(&Scenario::default(), vec![life]);
        assert!(!text.contains('<') && text.contains("\\u003c/script>"));
    }
}

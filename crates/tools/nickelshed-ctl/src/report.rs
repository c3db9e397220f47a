//! Findings as a person reads them, like a compiler's errors, and as a program does.
use crate::files::Text;
use annotate_snippets::renderer::DecorStyle;
use annotate_snippets::{AnnotationKind, Group, Level as Tone, Renderer, Snippet};
use nickelshed_config::finding::{position, Span};
use nickelshed_config::{Finding, Level};
use serde_json::{json, Value};
use std::io::IsTerminal;

/// Lines of a place that are shown at most.
const LINES: usize = 3;
/// Bytes of a line that are shown at most: a file may be one line.
const LINE: usize = 400;

/// The lines that a place stands in: where they start in the text, and the number of the first.
fn lines(text: &str, place: &Span) -> (usize, usize, usize) {
    let mut start = place.start.min(text.len());
    while !text.is_char_boundary(start) {
        start -= 1;
    }
    let begin = text[..start].rfind('\n').map_or(0, |n| n + 1);
    let mut end = begin;
    for line in text[begin..].split_inclusive('\n').take(LINES) {
        end += line.len();
        if end >= place.end {
            break;
        }
    }
    (begin, end, position(text, start).0)
}

fn snippet<'a>(
    text: &'a Text,
    place: &Span,
    kind: AnnotationKind,
    label: &'a str,
) -> Snippet<'a, annotate_snippets::Annotation<'a>> {
    let source = text.str();
    let (begin, end, number) = lines(source, place);
    let mut shown = &source[begin..end];
    if shown.len() > LINE {
        let mut cut = LINE;
        while !shown.is_char_boundary(cut) {
            cut -= 1;
        }
        shown = &shown[..cut];
    }
    let from = (place.start.max(begin) - begin).min(shown.len());
    let to = (place.end.max(place.start) - begin).clamp(from, shown.len());
    let to = if shown.is_char_boundary(to) { to } else { shown.len() };
    let from = if shown.is_char_boundary(from) { from } else { 0 };
    let annotation = kind.span(from..to).label(label);
    Snippet::source(shown).line_start(number).path(text.path.display().to_string()).annotation(annotation)
}

/// One finding with the lines that it is about.
fn shown(finding: &Finding, texts: &[Text], renderer: &Renderer) -> String {
    let tone = if finding.is_error() { Tone::ERROR } else { Tone::WARNING };
    let title = tone.primary_title(&finding.message).id(finding.code.info().code);
    let mut group: Group = Group::with_title(title);
    let text = &texts[finding.file];
    if !text.str().is_empty() {
        group = group.element(snippet(text, &finding.span, AnnotationKind::Primary, ""));
    }
    for related in &finding.related {
        let text = &texts[related.file];
        group = group.element(snippet(text, &related.span, AnnotationKind::Context, &related.message));
    }
    group = group.element(Tone::NOTE.message(finding.code.info().why));
    group = group.element(Tone::HELP.message(&finding.help));
    renderer.render(&[group])
}

/// All findings for a person, with a last line that counts them.
pub fn text(findings: &[Finding], texts: &[Text]) -> String {
    let colour = std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none();
    let renderer = if colour { Renderer::styled() } else { Renderer::plain() };
    let renderer = renderer.decor_style(DecorStyle::Ascii);
    let mut out: String = findings.iter().map(|f| shown(f, texts, &renderer) + "\n\n").collect();
    let (errors, warnings) = count(findings);
    let files = texts.len();
    let plural = |n: usize, what: &str| format!("{n} {what}{}", if n == 1 { "" } else { "s" });
    out +=
        &format!("{}: {}, {}\n", plural(files, "file"), plural(errors, "error"), plural(warnings, "warning"));
    out
}

fn count(findings: &[Finding]) -> (usize, usize) {
    let errors = findings.iter().filter(|f| f.is_error()).count();
    (errors, findings.len() - errors)
}

/// All findings for a program.
pub fn json(findings: &[Finding], texts: &[Text]) -> Value {
    let place = |file: usize, place: &Span| {
        let text = &texts[file];
        let (line, column) = position(text.str(), place.start);
        let (end_line, end_column) = position(text.str(), place.end);
        json!({"file": text.path, "line": line, "column": column, "end_line": end_line, "end_column": end_column})
    };
    let one = |f: &Finding| {
        let related = f.related.iter().map(|r| {
            let mut value = place(r.file, &r.span);
            value["what"] = json!(r.message);
            value
        });
        let mut value = place(f.file, &f.span);
        value["code"] = json!(f.code.info().code);
        value["level"] = json!(if f.level() == Level::Error { "error" } else { "warning" });
        value["what"] = json!(f.message);
        value["why"] = json!(f.code.info().why);
        value["help"] = json!(f.help);
        value["related"] = related.collect();
        value
    };
    let (errors, warnings) = count(findings);
    let findings: Vec<Value> = findings.iter().map(one).collect();
    json!({"files": texts.len(), "errors": errors, "warnings": warnings, "findings": findings})
}

//! Formats findings as text in the style of compiler errors, and as JSON.
use crate::files::FileContent;
use annotate_snippets::renderer::DecorStyle;
use annotate_snippets::{AnnotationKind, Group, Level as ReportLevel, Renderer, Snippet};
use nickelshed_config::finding::{position, Span};
use nickelshed_config::{Finding, Level};
use serde_json::{json, Value};
use std::io::IsTerminal;

/// Maximum number of lines in an excerpt.
const MAX_EXCERPT_LINES: usize = 3;
/// Maximum length of an excerpt: a whole file may be a single line.
const MAX_EXCERPT_BYTES: usize = 400;

/// Returns the start and end offset of the lines that contain the span, `MAX_EXCERPT_LINES` at most, and the
/// number of the first line.
fn excerpt_lines(text: &str, span: &Span) -> (usize, usize, usize) {
    let mut span_start = span.start.min(text.len());
    while !text.is_char_boundary(span_start) {
        span_start -= 1;
    }
    let first_line_start = text[..span_start].rfind('\n').map_or(0, |newline| newline + 1);
    let mut lines_end = first_line_start;
    for line in text[first_line_start..].split_inclusive('\n').take(MAX_EXCERPT_LINES) {
        lines_end += line.len();
        if lines_end >= span.end {
            break;
        }
    }
    (first_line_start, lines_end, position(text, span_start).0)
}

/// Returns an excerpt of the file with the span marked and labelled.
fn snippet<'a>(
    content: &'a FileContent,
    span: &Span,
    kind: AnnotationKind,
    label: &'a str,
) -> Snippet<'a, annotate_snippets::Annotation<'a>> {
    let source = content.as_str();
    let (lines_start, lines_end, line_number) = excerpt_lines(source, span);
    let mut excerpt = &source[lines_start..lines_end];
    if excerpt.len() > MAX_EXCERPT_BYTES {
        let mut length = MAX_EXCERPT_BYTES;
        while !excerpt.is_char_boundary(length) {
            length -= 1;
        }
        excerpt = &excerpt[..length];
    }
    let mark_start = (span.start.max(lines_start) - lines_start).min(excerpt.len());
    let mark_end = (span.end.max(span.start) - lines_start).clamp(mark_start, excerpt.len());
    let mark_end = if excerpt.is_char_boundary(mark_end) { mark_end } else { excerpt.len() };
    let mark_start = if excerpt.is_char_boundary(mark_start) { mark_start } else { 0 };
    let annotation = kind.span(mark_start..mark_end).label(label);
    Snippet::source(excerpt)
        .line_start(line_number)
        .path(content.path.display().to_string())
        .annotation(annotation)
}

/// Renders one finding with the lines that it refers to.
fn render(finding: &Finding, contents: &[FileContent], renderer: &Renderer) -> String {
    let level = if finding.is_error() { ReportLevel::ERROR } else { ReportLevel::WARNING };
    let title = level.primary_title(&finding.message).id(finding.code.info().code);
    let mut group: Group = Group::with_title(title);
    let content = &contents[finding.file];
    if !content.as_str().is_empty() {
        group = group.element(snippet(content, &finding.span, AnnotationKind::Primary, ""));
    }
    for related in &finding.related {
        let content = &contents[related.file];
        group = group.element(snippet(content, &related.span, AnnotationKind::Context, &related.message));
    }
    group = group.element(ReportLevel::NOTE.message(finding.code.info().why));
    group = group.element(ReportLevel::HELP.message(&finding.help));
    renderer.render(&[group])
}

/// Formats all findings as text, with the numbers of files, errors and warnings in the last line. Uses
/// colours on a terminal unless `NO_COLOR` is set.
pub fn format_text(findings: &[Finding], contents: &[FileContent]) -> String {
    let use_colour = std::io::stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none();
    let renderer = if use_colour { Renderer::styled() } else { Renderer::plain() };
    let renderer = renderer.decor_style(DecorStyle::Ascii);
    let mut output: String = findings.iter().map(|f| render(f, contents, &renderer) + "\n\n").collect();
    let (errors, warnings) = count(findings);
    let files = contents.len();
    let plural = |n: usize, noun: &str| format!("{n} {noun}{}", if n == 1 { "" } else { "s" });
    output +=
        &format!("{}: {}, {}\n", plural(files, "file"), plural(errors, "error"), plural(warnings, "warning"));
    output
}

/// Returns the numbers of errors and warnings.
fn count(findings: &[Finding]) -> (usize, usize) {
    let errors = findings.iter().filter(|f| f.is_error()).count();
    (errors, findings.len() - errors)
}

/// Formats all findings as JSON, with the numbers of files, errors and warnings.
pub fn format_json(findings: &[Finding], contents: &[FileContent]) -> Value {
    let location = |file: usize, span: &Span| {
        let content = &contents[file];
        let (line, column) = position(content.as_str(), span.start);
        let (end_line, end_column) = position(content.as_str(), span.end);
        json!({"file": content.path, "line": line, "column": column,
            "end_line": end_line, "end_column": end_column})
    };
    let finding_json = |f: &Finding| {
        let related = f.related.iter().map(|r| {
            let mut value = location(r.file, &r.span);
            value["what"] = json!(r.message);
            value
        });
        let mut value = location(f.file, &f.span);
        value["code"] = json!(f.code.info().code);
        value["level"] = json!(if f.level() == Level::Error { "error" } else { "warning" });
        value["what"] = json!(f.message);
        value["why"] = json!(f.code.info().why);
        value["help"] = json!(f.help);
        value["related"] = related.collect();
        value
    };
    let (errors, warnings) = count(findings);
    let findings: Vec<Value> = findings.iter().map(finding_json).collect();
    json!({"files": contents.len(), "errors": errors, "warnings": warnings, "findings": findings})
}

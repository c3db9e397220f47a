//! Findings of the checks: a code, the position in a file, a message and a suggested fix.
use crate::code::{Code, Level};
use std::fmt;
use std::ops::Range;

/// A byte range in the text of a file.
pub type Span = Range<usize>;

/// Index of a file among those that are checked together.
pub type FileId = usize;

/// Another position that a finding refers to.
#[derive(Clone, Debug, PartialEq)]
pub struct Related {
    pub file: FileId,
    pub span: Span,
    pub message: String,
}

/// A mistake or a warning about a configuration file.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    pub code: Code,
    pub file: FileId,
    pub span: Span,
    /// Describes the mistake in one sentence, with names and values from the file.
    pub message: String,
    /// Suggests how to fix it.
    pub help: String,
    pub related: Vec<Related>,
}

impl Finding {
    pub fn new(code: Code, span: Span, message: impl Into<String>, help: impl Into<String>) -> Finding {
        Finding { code, file: 0, span, message: message.into(), help: help.into(), related: Vec::new() }
    }

    pub fn level(&self) -> Level {
        self.code.level()
    }

    pub fn is_error(&self) -> bool {
        self.level() == Level::Error
    }

    /// Formats the finding as one line for a log. `text` is the text of `file`.
    pub fn to_log_line(&self, file: impl fmt::Display, text: &str) -> String {
        let (line, column) = position(text, self.span.start);
        let level = if self.is_error() { "error" } else { "warning" };
        format!("{file}:{line}:{column}: {level}[{}]: {}. {}", self.code, self.message, self.help)
    }
}

/// Returns line and column of a byte offset, both counted from 1, the column in characters. An offset past
/// the end counts as the end.
pub fn position(text: &str, offset: usize) -> (usize, usize) {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    let before = &text[..offset];
    let line_start = before.rfind('\n').map_or(0, |n| n + 1);
    (before.matches('\n').count() + 1, before[line_start..].chars().count() + 1)
}

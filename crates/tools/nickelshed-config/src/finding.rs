//! What a check finds: a code, where, what is wrong, and how to mend it.
use crate::code::{Code, Level};
use std::fmt;
use std::ops::Range;

/// A place in a file, in bytes of its text.
pub type Place = Range<usize>;

/// The number of a file among those that are checked together.
pub type FileId = usize;

/// Another place that has to do with a finding.
#[derive(Clone, Debug, PartialEq)]
pub struct Related {
    pub file: FileId,
    pub place: Place,
    pub what: String,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    pub code: Code,
    pub file: FileId,
    pub place: Place,
    /// What is wrong, in one sentence, with the names and figures of the file.
    pub what: String,
    /// What to do about it.
    pub help: String,
    pub related: Vec<Related>,
}

impl Finding {
    pub fn new(code: Code, place: Place, what: impl Into<String>, help: impl Into<String>) -> Finding {
        Finding { code, file: 0, place, what: what.into(), help: help.into(), related: Vec::new() }
    }

    pub fn level(&self) -> Level {
        self.code.level()
    }

    pub fn is_error(&self) -> bool {
        self.level() == Level::Error
    }

    /// On one line, for a log.
    pub fn line(&self, file: impl fmt::Display, text: &str) -> String {
        let (line, column) = position(text, self.place.start);
        let level = if self.is_error() { "error" } else { "warning" };
        format!("{file}:{line}:{column}: {level}[{}]: {}. {}", self.code, self.what, self.help)
    }
}

/// Line and column, both from 1, the column in characters. A place past the end is the end.
pub fn position(text: &str, at: usize) -> (usize, usize) {
    let mut at = at.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    let before = &text[..at];
    let line_start = before.rfind('\n').map_or(0, |n| n + 1);
    (before.matches('\n').count() + 1, before[line_start..].chars().count() + 1)
}

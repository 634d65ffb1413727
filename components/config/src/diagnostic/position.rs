//! Positions in a file.

use std::fmt;

use serde::Serialize;

/// A line and a column in a file, both counted from 1. The column counts characters.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Position {
    /// Line.
    pub line: usize,
    /// Column.
    pub column: usize,
}

impl Position {
    /// Returns the position of the byte `offset` of `source`. An offset within a character counts
    /// as the character's start, one beyond the end as the end.
    pub fn at(source: &str, offset: usize) -> Self {
        let mut end = offset.min(source.len());
        while !source.is_char_boundary(end) {
            end -= 1;
        }
        let before = &source[..end];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Position {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

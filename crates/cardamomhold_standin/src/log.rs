//! Replicated log of a member.

use cardamomhold_core::position;

/// A statement in the log, with its parameters.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Statement {
    /// SQL text.
    pub sql: String,
    /// The parameters.
    pub params: Vec<Value>,
}

/// A parameter of a statement or a value of a row.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Value {
    /// SQL `NULL`.
    Null,
    /// An integer.
    Int(i64),
    /// A floating-point number.
    Real(f64),
    /// Text.
    Text(String),
}

/// A log entry: one committed transaction.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Term of the primary that wrote the entry.
    pub term: position::Term,
    /// Statements of the transaction.
    pub statements: Vec<Statement>,
}

/// A log; the position of an entry is its index, counted from one.
#[derive(Debug, Clone, Default)]
pub struct Log {
    entries: Vec<Entry>,
}

/// A run of consecutive entries of one term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// The term.
    pub term: position::Term,
    /// Position of the last entry of the segment.
    pub end: position::LogPosition,
}

impl Log {
    /// Returns the position of the last entry, or zero for an empty log.
    pub fn end(&self) -> position::LogPosition {
        position::LogPosition(self.entries.len() as u64)
    }

    /// Appends an entry.
    pub fn append(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// Returns the entries after a position.
    pub fn after(&self, from: position::LogPosition) -> &[Entry] {
        self.entries.get(from.0 as usize..).unwrap_or_default()
    }

    /// Removes the entries after a position.
    pub fn truncate(&mut self, end: position::LogPosition) {
        self.entries.truncate(end.0 as usize);
    }

    /// Returns the segments of the log, oldest first.
    pub fn segments(&self) -> Vec<Segment> {
        let mut segments: Vec<Segment> = Vec::new();
        for (i, entry) in self.entries.iter().enumerate() {
            let end = position::LogPosition(i as u64 + 1);
            match segments.last_mut() {
                Some(last) if last.term == entry.term => last.end = end,
                _ => segments.push(Segment {
                    term: entry.term,
                    end,
                }),
            }
        }
        segments
    }
}

/// Returns the last position up to which two logs are equal.
pub fn common_end(ours: &[Segment], theirs: &[Segment]) -> position::LogPosition {
    let mut common = position::LogPosition(0);
    for (a, b) in ours.iter().zip(theirs) {
        if a.term != b.term {
            break;
        }
        common = a.end.min(b.end);
        if a.end != b.end {
            break;
        }
    }
    common
}

/// Returns the position of the last entry that is older than a term.
pub fn end_before(segments: &[Segment], term: position::Term) -> position::LogPosition {
    let older = segments.iter().filter(|s| s.term < term);
    older.map(|s| s.end).max().unwrap_or_default()
}

/// Formats segments as `term:end,term:end`, or as `-` for an empty log.
pub fn format_segments(segments: &[Segment]) -> String {
    if segments.is_empty() {
        return "-".to_owned();
    }
    let parts: Vec<String> = segments
        .iter()
        .map(|s| format!("{}:{}", s.term, s.end))
        .collect();
    parts.join(",")
}

/// Parses the output of [`format_segments`]; skips malformed segments.
pub fn parse_segments(text: &str) -> Vec<Segment> {
    let parse = |part: &str| {
        let (term, end) = part.split_once(':')?;
        let term = position::Term(term.parse().ok()?);
        let end = position::LogPosition(end.parse().ok()?);
        Some(Segment { term, end })
    };
    text.split(',').filter_map(parse).collect()
}

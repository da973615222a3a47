//! The replicated log of a member.

use cardamomhold_core::position;

/// A statement with its parameters, as the log carries it.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Statement {
    /// The text.
    pub sql: String,
    /// The parameters.
    pub params: Vec<Value>,
}

/// A value of a statement or a row.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Value {
    /// No value.
    Null,
    /// A whole number.
    Int(i64),
    /// A floating-point number.
    Real(f64),
    /// Text.
    Text(String),
}

/// One committed transaction.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Term of the primary that wrote it.
    pub term: position::Term,
    /// What it ran.
    pub statements: Vec<Statement>,
}

/// A log; the position of an entry is its place, counted from one.
#[derive(Debug, Clone, Default)]
pub struct Log {
    entries: Vec<Entry>,
}

/// The end of one term's part of a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// The term.
    pub term: position::Term,
    /// Position of its last entry.
    pub end: position::LogPosition,
}

impl Log {
    /// Position of the last entry.
    pub fn end(&self) -> position::LogPosition {
        position::LogPosition(self.entries.len() as u64)
    }

    /// Appends an entry.
    pub fn append(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// The entries after a position.
    pub fn after(&self, from: position::LogPosition) -> &[Entry] {
        self.entries.get(from.0 as usize..).unwrap_or_default()
    }

    /// Cuts everything after a position.
    pub fn truncate(&mut self, end: position::LogPosition) {
        self.entries.truncate(end.0 as usize);
    }

    /// The log's terms and where each ends.
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

/// The last position up to which two logs are the same.
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

/// The end of what was written before a term.
pub fn end_before(segments: &[Segment], term: position::Term) -> position::LogPosition {
    let older = segments.iter().filter(|s| s.term < term);
    older.map(|s| s.end).max().unwrap_or_default()
}

/// Writes segments as `term:end,term:end`; `-` stands for an empty log.
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

/// Reads what [`format_segments`] wrote; parts that can't be read are left out.
pub fn parse_segments(text: &str) -> Vec<Segment> {
    let parse = |part: &str| {
        let (term, end) = part.split_once(':')?;
        let term = position::Term(term.parse().ok()?);
        let end = position::LogPosition(end.parse().ok()?);
        Some(Segment { term, end })
    };
    text.split(',').filter_map(parse).collect()
}

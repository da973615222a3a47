//! Figures with their bounds, as a table or JSON.

use std::fmt::Write as _;

/// What a figure must keep.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// At least this.
    Least(f64),
    /// At most this.
    Most(f64),
    /// Nothing; shown for comparison.
    None,
}

/// One measure of this version and of the baseline.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Figure {
    /// The user.
    pub user: &'static str,
    /// What was measured, with its unit.
    pub measure: String,
    /// This version's figure.
    pub ours: f64,
    /// The baseline's figure.
    pub baseline: f64,
    /// What this version's figure must keep.
    pub bound: Bound,
}

impl Figure {
    /// Whether the bound is kept.
    pub fn is_kept(&self) -> bool {
        match self.bound {
            Bound::Least(least) => self.ours >= least,
            Bound::Most(most) => self.ours <= most,
            Bound::None => true,
        }
    }
}

/// The figures as a table.
pub fn table(figures: &[Figure]) -> String {
    let mut text = String::from("| user | measure | this version | baseline | target |\n");
    text.push_str("| --- | --- | --- | --- | --- |\n");
    for figure in figures {
        let bound = match figure.bound {
            Bound::Least(least) => format!("at least {least}"),
            Bound::Most(most) => format!("at most {most}"),
            Bound::None => "none".to_owned(),
        };
        let missed = if figure.is_kept() { "" } else { " MISSED" };
        // Writing to a string never fails.
        let _ = writeln!(
            text,
            "| {} | {} | {:.2}{missed} | {:.2} | {bound} |",
            figure.user, figure.measure, figure.ours, figure.baseline
        );
    }
    text
}

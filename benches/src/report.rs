//! Benchmark figures with their bounds, printed as a table or as JSON.

use std::fmt::Write as _;

/// Bound of a figure.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// Minimum.
    Least(f64),
    /// Maximum.
    Most(f64),
    /// No bound; the figure is shown for comparison only.
    None,
}

/// A measured value of this version and of the baseline.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Figure {
    /// Name of the user.
    pub user: &'static str,
    /// Name of the measure, with its unit.
    pub measure: String,
    /// Value for this version.
    pub ours: f64,
    /// Value for the baseline.
    pub baseline: f64,
    /// Bound for this version's value.
    pub bound: Bound,
}

impl Figure {
    /// Returns whether this version's value is within the bound.
    pub fn is_met(&self) -> bool {
        match self.bound {
            Bound::Least(least) => self.ours >= least,
            Bound::Most(most) => self.ours <= most,
            Bound::None => true,
        }
    }
}

/// Formats the figures as a Markdown table.
pub fn table(figures: &[Figure]) -> String {
    let mut text = String::from("| user | measure | this version | baseline | target |\n");
    text.push_str("| --- | --- | --- | --- | --- |\n");
    for figure in figures {
        let bound = match figure.bound {
            Bound::Least(least) => format!("at least {least}"),
            Bound::Most(most) => format!("at most {most}"),
            Bound::None => "none".to_owned(),
        };
        let missed = if figure.is_met() { "" } else { " MISSED" };
        // Writing to a `String` can't fail.
        let _ = writeln!(
            text,
            "| {} | {} | {:.2}{missed} | {:.2} | {bound} |",
            figure.user, figure.measure, figure.ours, figure.baseline
        );
    }
    text
}

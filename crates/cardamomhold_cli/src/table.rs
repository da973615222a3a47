//! Formats tables: each column is as wide as its widest cell.

/// Space between two columns.
const COLUMN_GAP: &str = "  ";

/// Formats a header and rows; without rows, only the header.
pub fn render<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = header.map(|cell| cell.chars().count());
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = line(&header.map(str::to_owned), &widths);
    for row in rows {
        text += &line(row, &widths);
    }
    text
}

fn line<const N: usize>(row: &[String; N], widths: &[usize; N]) -> String {
    let mut cells = Vec::new();
    for (cell, width) in row.iter().zip(widths) {
        cells.push(format!("{cell:<width$}"));
    }
    let joined = cells.join(COLUMN_GAP);
    format!("{}\n", joined.trim_end())
}

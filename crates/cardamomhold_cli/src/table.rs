//! Tables for people: columns as wide as their widest cell.

/// Space between two columns.
const GAP: &str = "  ";

/// Lays rows out below a head; without rows there is only the head.
pub fn render<const N: usize>(head: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = head.map(|cell| cell.chars().count());
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = line(&head.map(str::to_owned), &widths);
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
    let joined = cells.join(GAP);
    format!("{}\n", joined.trim_end())
}

//! Text tables.

use compact_str::CompactString;

/// Separator of two columns.
const COLUMN_GAP: &str = "  ";

/// A table with a heading for each column.
pub(crate) struct Table {
    rows: Vec<Vec<CompactString>>,
}

impl Table {
    pub(crate) fn new(headings: &[&str]) -> Self {
        Self {
            rows: vec![headings.iter().map(|heading| (*heading).into()).collect()],
        }
    }

    pub(crate) fn add_row(&mut self, cells: Vec<CompactString>) {
        self.rows.push(cells);
    }

    pub(crate) fn print(&self) {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let line: Vec<String> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            println!("{}", line.join(COLUMN_GAP).trim_end());
        }
    }
}

//! Text tables for the terminal.

const COLUMN_SEPARATOR: &str = "  ";

/// Holds a heading and rows; each column is as wide as its widest cell.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(heading: &[&str]) -> Self {
        let heading = heading.iter().map(|cell| (*cell).to_owned()).collect();
        Self {
            rows: vec![heading],
        }
    }

    pub(crate) fn add(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    pub(crate) fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let cells: Vec<String> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            text.push_str(cells.join(COLUMN_SEPARATOR).trim_end());
            text.push('\n');
        }
        text
    }
}

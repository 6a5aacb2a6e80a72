//! Text tables with aligned columns.

use std::fmt;

/// Number of spaces between two columns.
const COLUMN_GAP: usize = 2;

/// Rows of cells under a header.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub(crate) fn new<const N: usize>(header: [&str; N]) -> Self {
        Self { rows: vec![header.map(str::to_owned).into()] }
    }

    /// Adds a row below the header.
    pub(crate) fn add_row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// Returns whether there are no rows below the header.
    pub(crate) fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    /// Returns the width of each column, in characters.
    fn column_widths(&self) -> Vec<usize> {
        let columns = self.rows[0].len();
        let width = |column: usize| self.rows.iter().map(|row| row[column].chars().count()).max();
        (0..columns).map(|column| width(column).unwrap_or_default()).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.column_widths();
        for (index, row) in self.rows.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            let cells = row.iter().zip(&widths);
            let text: String =
                cells.map(|(cell, width)| format!("{cell:w$}", w = width + COLUMN_GAP)).collect();
            formatter.write_str(text.trim_end())?;
        }
        Ok(())
    }
}

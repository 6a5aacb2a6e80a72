//! Tables of text with aligned columns.

use std::fmt;

/// Spaces between two columns.
const GAP: usize = 2;

/// Rows of cells under a header.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Makes a table without rows.
    pub(crate) fn new<const N: usize>(header: [&str; N]) -> Self {
        Self { rows: vec![header.map(str::to_owned).into()] }
    }

    /// Adds a row.
    pub(crate) fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// Tells whether there is nothing under the header.
    pub(crate) fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows[0].len();
        let width = |column: usize| self.rows.iter().map(|row| row[column].chars().count()).max();
        (0..columns).map(|column| width(column).unwrap_or_default()).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for (number, row) in self.rows.iter().enumerate() {
            if number > 0 {
                writeln!(formatter)?;
            }
            let cells = row.iter().zip(&widths);
            let line: String =
                cells.map(|(cell, width)| format!("{cell:w$}", w = width + GAP)).collect();
            formatter.write_str(line.trim_end())?;
        }
        Ok(())
    }
}

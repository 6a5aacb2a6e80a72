//! Reads files given on the command line.

use crate::error::CommandError;
use std::path::Path;

/// Reads a text file.
///
/// # Errors
///
/// Fails with the path of the file if it cannot be read as UTF-8.
pub(crate) fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|source| CommandError::File { path: path.to_owned(), source })
}

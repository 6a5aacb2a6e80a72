//! Errors of terms.

/// A term with a value that can't be meant.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{field}: {value} is not between {min} and {max}")]
pub struct TermsError {
    /// Name of the field in the settings.
    pub field: &'static str,
    /// The value.
    pub value: f64,
    /// Smallest valid value.
    pub min: f64,
    /// Largest valid value.
    pub max: f64,
}

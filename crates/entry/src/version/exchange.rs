//! How one instance asks another for what it lacks.

use crate::border::SUBJECTS;

/// Path at which other instances ask for what this one knows.
pub const KNOWLEDGE_PATH: &str = "/v1/knowledge";

/// Revisions up to which an instance knows the subjects, as a query.
pub fn query(as_of: [u64; SUBJECTS]) -> String {
    as_of.map(|revision| revision.to_string()).join(",")
}

/// Reads [`query`]; anything else asks for everything.
pub fn read_query(text: Option<&str>) -> [u64; SUBJECTS] {
    let mut numbers = text.unwrap_or_default().split(',').map(|number| number.parse().ok());
    std::array::from_fn(|_| numbers.next().flatten().unwrap_or(0))
}

//! The HTTP request by which an instance fetches state from another one.

use crate::border::SUBJECTS;

/// Path at which an instance serves its state to other instances.
pub const KNOWLEDGE_PATH: &str = "/v1/knowledge";

/// Encodes the revisions up to which an instance has the subjects as a query string.
pub fn query(as_of: [u64; SUBJECTS]) -> String {
    as_of.map(|revision| revision.to_string()).join(",")
}

/// Decodes [`query`]; a missing or invalid revision is read as 0, which requests the whole subject.
pub fn read_query(text: Option<&str>) -> [u64; SUBJECTS] {
    let mut numbers = text.unwrap_or_default().split(',').map(|number| number.parse().ok());
    std::array::from_fn(|_| numbers.next().flatten().unwrap_or(0))
}

//! The HTTP request by which an instance fetches state from another one.

use crate::platform_api::SUBJECTS;

/// Path at which an instance serves its state to other instances.
pub const UPDATE_PATH: &str = "/v1/knowledge";

/// Encodes the revisions up to which an instance has the subjects as a query string.
pub fn encode_revisions(as_of: [u64; SUBJECTS]) -> String {
    as_of.map(|revision| revision.to_string()).join(",")
}

/// Decodes [`encode_revisions`]; a missing or invalid revision is read as 0, which requests the whole subject.
pub fn decode_revisions(text: Option<&str>) -> [u64; SUBJECTS] {
    let mut numbers = text.unwrap_or_default().split(',').map(|number| number.parse().ok());
    std::array::from_fn(|_| numbers.next().flatten().unwrap_or(0))
}

//! Requests under which backend servers end.

mod fingerprint;

pub use fingerprint::Fingerprint;

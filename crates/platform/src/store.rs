//! Interface to the platform's object API.

use crate::StoreError;
use async_trait::async_trait;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// Version of an object: the revision of the store at the object's last change. Revisions increase
/// across all objects.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Version(pub u64);

/// An object in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Key of the object.
    pub key: Arc<str>,
    /// Version of the object with this value.
    pub version: Version,
    /// Value of at most 1 MB.
    pub value: Bytes,
}

/// Precondition of a conditional update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expected {
    /// There is no object with the key.
    Absent,
    /// The object has this version.
    Version(Version),
}

/// Changes returned by a watch, or all objects returned by a list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WatchBatch {
    /// Revision up to which all changes are included; pass it to the next watch.
    pub revision: Version,
    /// Objects that changed after the given revision, in their latest state.
    pub changed: Vec<Object>,
    /// Keys of objects deleted after the given revision.
    pub deleted: Vec<Arc<str>>,
}

/// The platform's object API.
#[async_trait]
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads one object.
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError>;

    /// Reads all objects whose key starts with `prefix`.
    async fn list(&self, prefix: &str) -> Result<WatchBatch, StoreError>;

    /// Writes one object if it satisfies `expected`, and returns its new version.
    ///
    /// [`StoreError::OutcomeUnknown`] means that it is unknown whether the write took effect.
    async fn put(&self, key: &str, value: Bytes, expected: Expected)
    -> Result<Version, StoreError>;

    /// Deletes one object if it has the version `expected`.
    async fn delete(&self, key: &str, expected: Version) -> Result<(), StoreError>;

    /// Waits up to `wait` for a change under `prefix` after revision `after`; returns an empty batch
    /// when there is none.
    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError>;
}

//! The border to the platform's object API.

use crate::StoreError;
use async_trait::async_trait;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// Version of an object: the store's revision at its last change, growing over all objects.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Version(pub u64);

/// An object as the store holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Key of the object.
    pub key: Arc<str>,
    /// Version of `value`.
    pub version: Version,
    /// The value, at most 1 MB.
    pub value: Bytes,
}

/// What a conditional update requires of the object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expected {
    /// There is no object with the key.
    Absent,
    /// The object has this version.
    Version(Version),
}

/// What a watch saw.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WatchBatch {
    /// Revision up to which the watch has seen every change; pass it to the next watch.
    pub revision: Version,
    /// Objects that changed after the revision given, in their newest state.
    pub changed: Vec<Object>,
    /// Keys of objects that were deleted.
    pub deleted: Vec<Arc<str>>,
}

/// The platform's object API.
#[async_trait]
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads one object.
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError>;

    /// Reads all objects whose key starts with `prefix`.
    async fn list(&self, prefix: &str) -> Result<WatchBatch, StoreError>;

    /// Writes one object if it is as `expected`, and returns its new version.
    ///
    /// [`StoreError::Unsure`] means that the write may or may not have taken effect.
    async fn put(&self, key: &str, value: Bytes, expected: Expected)
    -> Result<Version, StoreError>;

    /// Deletes one object if it has the version.
    async fn delete(&self, key: &str, expected: Version) -> Result<(), StoreError>;

    /// Waits up to `wait` for a change after `after` under `prefix`; an empty batch when none came.
    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError>;
}

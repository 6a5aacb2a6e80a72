//! The platform as the instances of one availability zone reach it.

use crate::dialer::Network;
use crate::mock_platform::MockPlatform;
use ::platform::{
    Expected, InstanceDirectory, InstanceEntry, Object, ObjectStore, StoreError, UnavailableCause,
    Version, WatchBatch,
};
use async_trait::async_trait;
use bytes::Bytes;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Name under which the platform can be cut off from an availability zone.
pub(crate) const PLATFORM: &str = "platform";

/// Longest wait for a connection to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// What a read that was cut off ends with.
const LOST_READ: StoreError = StoreError::Unavailable(UnavailableCause::Timeout);

/// Calls the platform unless the availability zone is cut off from it.
pub(crate) struct ZonePlatform {
    pub(crate) platform: Arc<MockPlatform>,
    pub(crate) network: Arc<Network>,
    pub(crate) zone: Arc<str>,
}

impl ZonePlatform {
    /// Runs a call; a cut that comes while it waits ends it with `interrupted`.
    async fn reach<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
        interrupted: StoreError,
    ) -> Result<T, StoreError> {
        let platform = PLATFORM.into();
        let joined = self.network.joined(&self.zone, &platform);
        if !matches!(tokio::time::timeout(CONNECT_TIMEOUT, joined).await, Ok(Ok(()))) {
            return Err(StoreError::Unavailable(UnavailableCause::Connect));
        }
        tokio::select! {
            answer = call => answer,
            () = self.network.cut(&self.zone, &platform) => Err(interrupted),
        }
    }
}

#[async_trait]
impl ObjectStore for ZonePlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.reach(self.platform.get(key), LOST_READ).await
    }

    async fn list(&self, prefix: &str) -> Result<WatchBatch, StoreError> {
        self.reach(self.platform.list(prefix), LOST_READ).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expected: Expected,
    ) -> Result<Version, StoreError> {
        self.reach(self.platform.put(key, value, expected), StoreError::Unsure).await
    }

    async fn delete(&self, key: &str, expected: Version) -> Result<(), StoreError> {
        self.reach(self.platform.delete(key, expected), StoreError::Unsure).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        self.reach(self.platform.watch(prefix, after, wait), LOST_READ).await
    }
}

#[async_trait]
impl InstanceDirectory for ZonePlatform {
    async fn entry_instances(&self) -> Result<Vec<InstanceEntry>, StoreError> {
        self.reach(self.platform.entry_instances(), LOST_READ).await
    }

    async fn leaving_backend_servers(&self) -> Result<Vec<SocketAddr>, StoreError> {
        self.reach(self.platform.leaving_backend_servers(), LOST_READ).await
    }
}

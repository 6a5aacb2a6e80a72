//! Access to the mock platform from one availability zone, subject to network partitions.

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

/// Name of the platform in partitions.
pub(crate) const PLATFORM: &str = "platform";

/// Timeout for a connection to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Error of a read that a partition interrupts.
const INTERRUPTED_READ: StoreError = StoreError::Unavailable(UnavailableCause::Timeout);

/// Calls the platform unless a partition separates it from the availability zone.
pub(crate) struct ZonePlatform {
    pub(crate) platform: Arc<MockPlatform>,
    pub(crate) network: Arc<Network>,
    pub(crate) zone: Arc<str>,
}

impl ZonePlatform {
    /// Runs a call. A partition that begins during the call ends it with the error `interrupted`.
    async fn call_platform<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
        interrupted: StoreError,
    ) -> Result<T, StoreError> {
        let platform = PLATFORM.into();
        let connected = self.network.wait_until_connected(&self.zone, &platform);
        if !matches!(tokio::time::timeout(CONNECT_TIMEOUT, connected).await, Ok(Ok(()))) {
            return Err(StoreError::Unavailable(UnavailableCause::Connect));
        }
        tokio::select! {
            response = call => response,
            () = self.network.wait_until_partitioned(&self.zone, &platform) => Err(interrupted),
        }
    }
}

#[async_trait]
impl ObjectStore for ZonePlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.call_platform(self.platform.get(key), INTERRUPTED_READ).await
    }

    async fn list(&self, prefix: &str) -> Result<WatchBatch, StoreError> {
        self.call_platform(self.platform.list(prefix), INTERRUPTED_READ).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expected: Expected,
    ) -> Result<Version, StoreError> {
        self.call_platform(self.platform.put(key, value, expected), StoreError::OutcomeUnknown)
            .await
    }

    async fn delete(&self, key: &str, expected: Version) -> Result<(), StoreError> {
        self.call_platform(self.platform.delete(key, expected), StoreError::OutcomeUnknown).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        self.call_platform(self.platform.watch(prefix, after, wait), INTERRUPTED_READ).await
    }
}

#[async_trait]
impl InstanceDirectory for ZonePlatform {
    async fn entry_instances(&self) -> Result<Vec<InstanceEntry>, StoreError> {
        self.call_platform(self.platform.entry_instances(), INTERRUPTED_READ).await
    }

    async fn leaving_backend_servers(&self) -> Result<Vec<SocketAddr>, StoreError> {
        self.call_platform(self.platform.leaving_backend_servers(), INTERRUPTED_READ).await
    }
}

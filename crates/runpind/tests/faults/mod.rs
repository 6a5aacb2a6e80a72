//! A store that injects faults between a proposer and the mock platform, from a seed.

use async_trait::async_trait;
use bytes::Bytes;
use lab::MockPlatform;
use parking_lot::Mutex;
use platform::{Expected, Object, ObjectStore, StoreError, UnavailableCause, Version, WatchBatch};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;

const MAX_DELAY_MS: u64 = 200;

/// The injected fault of one write.
enum WriteFault {
    /// The write takes effect and its response arrives.
    NoFault,
    /// The write takes effect and its response is lost.
    ResponseLost,
    /// The response is lost at once and the write takes effect later.
    Delayed,
    /// The write has no effect.
    Rejected,
}

/// A store that loses responses of writes, delays calls and fails some reads.
pub(crate) struct FaultyStore {
    platform: Arc<MockPlatform>,
    random: Mutex<StdRng>,
}

impl FaultyStore {
    pub(crate) fn new(platform: Arc<MockPlatform>, seed: u64) -> Self {
        Self { platform, random: Mutex::new(StdRng::seed_from_u64(seed)) }
    }

    async fn delay(&self) {
        let delay_ms = self.random.lock().random_range(0..MAX_DELAY_MS);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }

    fn draw_write_fault(&self) -> WriteFault {
        match self.random.lock().random_range(0..100) {
            0..20 => WriteFault::ResponseLost,
            20..35 => WriteFault::Delayed,
            35..40 => WriteFault::Rejected,
            _ => WriteFault::NoFault,
        }
    }

    async fn maybe_fail_read(&self) -> Result<(), StoreError> {
        self.delay().await;
        match self.random.lock().random_bool(0.1) {
            true => Err(StoreError::Unavailable(UnavailableCause::Timeout)),
            false => Ok(()),
        }
    }
}

#[async_trait]
impl ObjectStore for FaultyStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.maybe_fail_read().await?;
        let object = self.platform.get(key).await;
        self.delay().await;
        object
    }

    async fn list(&self, prefix: &str) -> Result<WatchBatch, StoreError> {
        self.platform.list(prefix).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expected: Expected,
    ) -> Result<Version, StoreError> {
        self.delay().await;
        match self.draw_write_fault() {
            WriteFault::Rejected => Err(StoreError::Unavailable(UnavailableCause::Connect)),
            WriteFault::Delayed => {
                let (platform, key) = (self.platform.clone(), key.to_owned());
                let delay_ms = self.random.lock().random_range(0..2 * MAX_DELAY_MS);
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                    platform.put(&key, value, expected).await
                });
                Err(StoreError::OutcomeUnknown)
            }
            WriteFault::ResponseLost => {
                // The proposer has to find out whether the write took effect.
                let _ = self.platform.put(key, value, expected).await;
                self.delay().await;
                Err(StoreError::OutcomeUnknown)
            }
            WriteFault::NoFault => {
                let version = self.platform.put(key, value, expected).await;
                self.delay().await;
                version
            }
        }
    }

    async fn delete(&self, key: &str, expected: Version) -> Result<(), StoreError> {
        self.delay().await;
        self.platform.delete(key, expected).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        self.platform.watch(prefix, after, wait).await
    }
}

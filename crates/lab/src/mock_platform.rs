//! In-memory mock of the platform: versioned objects with conditional updates and watches, a list
//! of instances, and injected faults.

use ::platform::{
    Expected, InstanceDirectory, InstanceEntry, InstanceList, Object, ObjectStore, StoreError,
    UnavailableCause, Version, WatchBatch,
};
use async_trait::async_trait;
use bytes::Bytes;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Error of every call during an outage.
const OUTAGE_ERROR: StoreError = StoreError::Unavailable(UnavailableCause::Status(503));

/// Faults that can be injected into the mock platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlatformFaults {
    /// Every call fails and has no effect.
    pub outage: bool,
    /// Delay added to every call, in milliseconds.
    pub slow_ms: u64,
    /// Every write takes effect, but its response is lost.
    pub lose_write_answers: bool,
}

/// An in-memory object store and instance directory.
#[derive(Debug)]
pub struct MockPlatform {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    faults: watch::Sender<PlatformFaults>,
    calls: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<Arc<str>, Object>,
    deleted: BTreeMap<Arc<str>, Version>,
    entry_instances: Vec<InstanceEntry>,
    leaving_backend_servers: Vec<SocketAddr>,
}

impl Default for MockPlatform {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            faults: watch::Sender::default(),
            calls: AtomicU64::new(0),
        }
    }
}

impl MockPlatform {
    /// Sets the injected faults; an outage also ends waiting watches with an error.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.faults.send_replace(faults);
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> PlatformFaults {
        *self.faults.borrow()
    }

    /// Returns the number of calls so far; a watch counts once.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Replaces the list of entry instances.
    pub fn set_entry_instances(&self, entries: Vec<InstanceEntry>) {
        self.state.lock().entry_instances = entries;
    }

    /// Changes the list of entry instances in place.
    pub fn change_entry_instances(&self, change: impl FnOnce(&mut Vec<InstanceEntry>)) {
        change(&mut self.state.lock().entry_instances);
    }

    /// Replaces the list of leaving backend servers.
    pub fn set_leaving_backend_servers(&self, leaving: Vec<SocketAddr>) {
        self.state.lock().leaving_backend_servers = leaving;
    }

    pub(crate) fn leaving_servers(&self) -> Vec<SocketAddr> {
        self.state.lock().leaving_backend_servers.clone()
    }

    async fn begin_call(&self) -> Result<PlatformFaults, StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let slow_ms = self.faults().slow_ms;
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        let faults = self.faults();
        if faults.outage {
            return Err(OUTAGE_ERROR);
        }
        Ok(faults)
    }

    fn changes_after(&self, prefix: &str, after: Version) -> WatchBatch {
        let state = self.state.lock();
        let has_prefix = |key: &Arc<str>| key.starts_with(prefix);
        WatchBatch {
            revision: Version(state.revision),
            changed: state
                .objects
                .values()
                .filter(|object| has_prefix(&object.key) && object.version > after)
                .cloned()
                .collect(),
            deleted: state
                .deleted
                .iter()
                .filter(|(key, version)| has_prefix(key) && **version > after)
                .map(|(key, _)| key.clone())
                .collect(),
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: Bytes, expected: Expected) -> Result<Version, StoreError> {
        let current = self.objects.get(key).map(|object| object.version);
        let expected_version = match expected {
            Expected::Absent => None,
            Expected::Version(version) => Some(version),
        };
        if current != expected_version {
            return Err(StoreError::Conflict { current });
        }
        self.revision += 1;
        let version = Version(self.revision);
        let key: Arc<str> = key.into();
        self.deleted.remove(&key);
        self.objects.insert(key.clone(), Object { key, version, value });
        Ok(version)
    }

    fn delete(&mut self, key: &str, expected: Version) -> Result<(), StoreError> {
        let current = self.objects.get(key).map(|object| object.version);
        if current != Some(expected) {
            return Err(StoreError::Conflict { current });
        }
        self.revision += 1;
        self.objects.remove(key);
        self.deleted.insert(key.into(), Version(self.revision));
        Ok(())
    }
}

#[async_trait]
impl ObjectStore for MockPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.begin_call().await?;
        Ok(self.state.lock().objects.get(key).cloned())
    }

    async fn list(&self, prefix: &str) -> Result<WatchBatch, StoreError> {
        self.begin_call().await?;
        Ok(self.changes_after(prefix, Version(0)))
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expected: Expected,
    ) -> Result<Version, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge { bytes: value.len(), limit: MAX_VALUE_BYTES });
        }
        let faults = self.begin_call().await?;
        let version = self.state.lock().put(key, value, expected)?;
        self.changed.send_replace(version.0);
        if faults.lose_write_answers { Err(StoreError::OutcomeUnknown) } else { Ok(version) }
    }

    async fn delete(&self, key: &str, expected: Version) -> Result<(), StoreError> {
        let faults = self.begin_call().await?;
        self.state.lock().delete(key, expected)?;
        self.changed.send_modify(|_| {});
        if faults.lose_write_answers { Err(StoreError::OutcomeUnknown) } else { Ok(()) }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        self.begin_call().await?;
        let mut changed = self.changed.subscribe();
        let first_changes = async {
            loop {
                changed.mark_unchanged();
                let batch = self.changes_after(prefix, after);
                if !batch.changed.is_empty() || !batch.deleted.is_empty() {
                    return batch;
                }
                // An error is impossible: `self` owns the sender.
                let _ = changed.changed().await;
            }
        };
        let mut faults = self.faults.subscribe();
        tokio::select! {
            batch = first_changes => Ok(batch),
            _ = faults.wait_for(|faults| faults.outage) => Err(OUTAGE_ERROR),
            () = tokio::time::sleep(wait) => Ok(self.changes_after(prefix, after)),
        }
    }
}

#[async_trait]
impl InstanceDirectory for MockPlatform {
    async fn instances(&self) -> Result<InstanceList, StoreError> {
        self.begin_call().await?;
        let state = self.state.lock();
        Ok(InstanceList {
            entry: state.entry_instances.clone(),
            leaving_backend_servers: state.leaving_backend_servers.clone(),
        })
    }

    async fn entry_instances(&self) -> Result<Vec<InstanceEntry>, StoreError> {
        self.begin_call().await?;
        Ok(self.state.lock().entry_instances.clone())
    }

    async fn leaving_backend_servers(&self) -> Result<Vec<SocketAddr>, StoreError> {
        self.begin_call().await?;
        Ok(self.leaving_servers())
    }
}

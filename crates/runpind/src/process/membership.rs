//! The entry instances and leaving backend servers, as the platform lists them.

use super::Process;
use platform::{InstanceDirectory, InstanceEntry, InstanceState};
use std::sync::Arc;
use std::time::Duration;

/// Time between two reads of the list.
const REFRESH_PERIOD: Duration = Duration::from_secs(1);

/// Entry instances known to this instance.
#[derive(Debug, Default)]
pub struct Members {
    /// All that the platform lists, our own included.
    pub entries: Vec<InstanceEntry>,
}

impl Members {
    /// Returns the instances that callers may be sent to.
    pub fn usable(&self) -> impl Iterator<Item = &InstanceEntry> {
        self.entries.iter().filter(|entry| entry.state == InstanceState::Live)
    }
}

/// Reads the list again and again; a failed read leaves the last one in use.
pub async fn refresh(process: Arc<Process>, directory: Arc<dyn InstanceDirectory>) {
    loop {
        if let Ok(entries) = directory.entry_instances().await {
            process.members.store(Some(Arc::new(Members { entries })));
        }
        if let Ok(leaving) = directory.leaving_backend_servers().await {
            process.servers.lock().set_leaving(&leaving);
        }
        tokio::time::sleep(REFRESH_PERIOD).await;
    }
}

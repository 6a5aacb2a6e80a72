//! Interface to the platform's list of instances.

use crate::StoreError;
use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// An entry in the platform's list of instances, which is updated with a delay.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceEntry {
    /// Name that the platform gave the instance; a replacement gets another one.
    pub name: Arc<str>,
    /// Availability zone of the instance.
    pub availability_zone: Arc<str>,
    /// Address for callers of an entry instance, or for requests to a backend server.
    pub caller_address: SocketAddr,
    /// Address for other instances; the same as `caller_address` on a backend server instance.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to remove the instance.
    pub state: InstanceState,
}

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// It is to keep running.
    Live,
    /// It is about to be removed.
    Leaving,
}

/// The complete list of instances.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct InstanceList {
    /// Entry instances.
    pub entry: Vec<InstanceEntry>,
    /// Addresses of backend servers that are leaving.
    pub leaving_backend_servers: Vec<SocketAddr>,
}

/// The platform's list of entry instances and backend server instances.
#[async_trait]
pub trait InstanceDirectory: Send + Sync + 'static {
    /// Returns the complete list; implementations should do so in one call, where possible.
    async fn instances(&self) -> Result<InstanceList, StoreError> {
        Ok(InstanceList {
            entry: self.entry_instances().await?,
            leaving_backend_servers: self.leaving_backend_servers().await?,
        })
    }

    /// Returns the entry instances.
    async fn entry_instances(&self) -> Result<Vec<InstanceEntry>, StoreError>;

    /// Returns the backend server instances that are leaving, by caller address.
    async fn leaving_backend_servers(&self) -> Result<Vec<SocketAddr>, StoreError>;
}

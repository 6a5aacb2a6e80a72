//! The platform's HTTP/JSON protocol.
//!
//! | call | answer |
//! |---|---|
//! | `GET /objects/KEY` | 200 with [`ObjectBody`], 404 |
//! | `GET /objects?prefix=P` | 200 with [`BatchBody`] |
//! | `GET /objects?prefix=P&after=REVISION&wait_ms=N` | the same, once something changed |
//! | `PUT /objects/KEY?if_version=V` (0: absent), body = value | 200 with [`VersionBody`]; 409 with [`ConflictBody`]; 413 |
//! | `DELETE /objects/KEY?if_version=V` | 200, 409 |
//! | `GET /instances` | 200 with [`InstancesBody`] |
//!
//! During an outage every call answers 503.  Values are UTF-8 text.

use crate::InstanceEntry;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Path under which objects live.
pub const OBJECTS_PATH: &str = "/objects";

/// Path of the list of instances.
pub const INSTANCES_PATH: &str = "/instances";

/// An object.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ObjectBody {
    /// Key of the object.
    pub key: Arc<str>,
    /// Its version.
    pub version: u64,
    /// Its value.
    pub value: Arc<str>,
}

/// Objects under a prefix.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BatchBody {
    /// The store's revision.
    pub revision: u64,
    /// Objects, or those that changed.
    pub objects: Vec<ObjectBody>,
    /// Keys deleted after the revision asked for.
    pub deleted: Vec<Arc<str>>,
}

/// Answer to a write.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionBody {
    /// The object's new version.
    pub version: u64,
}

/// Answer to a write that found another version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConflictBody {
    /// The object's version; `None` when it is absent.
    pub current: Option<u64>,
}

/// Answer to the list of instances.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct InstancesBody {
    /// Entry instances.
    pub entry: Vec<InstanceEntry>,
    /// Addresses of backend servers that are leaving.
    pub leaving_backend_servers: Vec<SocketAddr>,
}

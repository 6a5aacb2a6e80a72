//! Traits and types through which the daemon uses the platform, independent of the platform's formats.

use crate::error::StoreError;
use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, StatusCode, Uri};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use steering::deployment::{
    BackendServer, Deployment, KeyDigest, Policies, Rollout, RolloutOrder, RolloutOutcome,
};
use steering::placement::Condition;
use steering::placement::load::LoadReport;
use steering::rollout::RolloutProgress;

/// A kind of object that can be listed and watched in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Subject {
    /// The configuration in force.
    Configuration,
    /// The backend servers.
    BackendServers,
    /// The evacuated availability zones.
    Evacuations,
    /// The steering policies.
    Policies,
    /// The roll-outs of service versions.
    Rollouts,
}

/// Number of subjects.
pub const SUBJECTS: usize = steering::placement::peer::SUBJECTS;

impl Subject {
    /// All subjects, in the order of [`Subject::index`].
    pub const ALL: [Self; SUBJECTS] = [
        Self::Configuration,
        Self::BackendServers,
        Self::Evacuations,
        Self::Policies,
        Self::Rollouts,
    ];

    /// Position in arrays with one element per subject.
    pub fn index(self) -> usize {
        match self {
            Self::Configuration => 0,
            Self::BackendServers => 1,
            Self::Evacuations => 2,
            Self::Policies => 3,
            Self::Rollouts => 4,
        }
    }

    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::BackendServers => "backend-servers",
            Self::Evacuations => "evacuations",
            Self::Policies => "policies",
            Self::Rollouts => "rollouts",
        }
    }
}

/// The present state of one object of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum ObjectState {
    /// This configuration is in force.
    Configuration(Deployment),
    /// A backend server, by its identity, has this record.
    BackendServer(Arc<str>, BackendServer),
    /// A backend server was removed, or its object does not describe one.
    BackendServerRemoved {
        /// Its identity.
        id: Arc<str>,
        /// Revision of the last write to its object, as far as known.
        revision: u64,
    },
    /// An availability zone is evacuated.
    Evacuated(Arc<str>),
    /// The evacuation of an availability zone has ended.
    EvacuationEnded(Arc<str>),
    /// These policies are in force.
    Policies(Policies),
    /// No policies are in force.
    PoliciesRemoved,
    /// A roll-out of a version of a service is ordered, or has ended.
    Rollout(Rollout),
    /// There is no roll-out for this service, or its object can't be read.
    RolloutRemoved(Arc<str>),
}

/// A response of the store to a list or a watch.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreResponse {
    /// State of the objects; in the response to a list, no other objects exist.
    pub states: Vec<ObjectState>,
    /// Revision of the store up to which the response holds.
    pub as_of: u64,
    /// Highest revision among the objects themselves.
    pub changed_at: u64,
}

/// The registration of an instance in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registration {
    /// Its name.
    pub name: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Its UDP address for gossip.
    pub gossip_address: SocketAddr,
}

/// The progress of a roll-out as the store holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredProgress {
    /// The progress; none if there is none of this order.
    pub progress: Option<RolloutProgress>,
    /// Revision of the object, which may hold the progress of an earlier order; none if there is no
    /// object.
    pub revision: Option<u64>,
}

/// The platform's store.
#[async_trait(?Send)]
pub trait Store {
    /// Lists all objects of a subject.
    ///
    /// # Errors
    ///
    /// Fails if the store gave no valid response.
    async fn list(&self, subject: Subject) -> Result<StoreResponse, StoreError>;

    /// Lists all objects of a subject; the list may be a few seconds old and costs the store a tenth
    /// of [`Store::list`].
    ///
    /// # Errors
    ///
    /// Fails if the store gave no valid response.
    async fn list_recent(&self, subject: Subject) -> Result<StoreResponse, StoreError>;

    /// Waits up to `wait` for changes of a subject after a revision; there may be none.
    ///
    /// # Errors
    ///
    /// After [`StoreError::Compacted`] the subject has to be listed again; any other error means that
    /// the store gave no valid response.
    async fn watch(
        &self,
        subject: Subject,
        after: u64,
        wait: Duration,
    ) -> Result<StoreResponse, StoreError>;

    /// Registers this instance, replacing an earlier registration with the same name.
    ///
    /// # Errors
    ///
    /// Fails if the store did not confirm it; after a timeout it may be registered all the same.
    async fn register(&self, own: &Registration) -> Result<(), StoreError>;

    /// Writes the outcome of a roll-out unless the store already has one; returns the stored outcome,
    /// or none if the order no longer exists.
    ///
    /// # Errors
    ///
    /// Fails if the store did not confirm it; the outcome may have been written all the same.
    async fn write_rollout_outcome(
        &self,
        order: &RolloutOrder,
        outcome: RolloutOutcome,
    ) -> Result<Option<RolloutOutcome>, StoreError>;

    /// Reads the progress of a roll-out.
    ///
    /// # Errors
    ///
    /// Fails if the store gave no valid response.
    async fn read_rollout_progress(
        &self,
        order: &RolloutOrder,
    ) -> Result<StoredProgress, StoreError>;

    /// Replaces the progress of a roll-out, unless its object has another revision by now; without a
    /// revision, unless there is an object by now.
    ///
    /// # Errors
    ///
    /// Fails if the store did not confirm it; the progress may have been written all the same.
    async fn write_rollout_progress(
        &self,
        progress: &RolloutProgress,
        revision: Option<u64>,
    ) -> Result<(), StoreError>;

    /// Lists the registered instances; the list may be a few seconds old and include stopped ones.
    ///
    /// # Errors
    ///
    /// Fails if the store gave no valid response.
    async fn list_registrations(&self) -> Result<Vec<Registration>, StoreError>;
}

/// A caller's request for the instances that it should use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LookUp {
    /// The caller's availability zone.
    pub availability_zone: String,
    /// The caller's region.
    pub region: String,
}

/// The headers of a caller's request, decoded.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerHead {
    /// Identity of the request.
    pub request_id: Option<String>,
    /// Time that the caller waits for the response.
    pub deadline: Option<Duration>,
    /// Digest of the API key that identifies the customer; none unless there is exactly one key.
    pub key: Option<KeyDigest>,
    /// Identity of the object that the request concerns.
    pub affinity_key: Option<String>,
}

/// The headers of a backend server's response, decoded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerHead {
    /// Whether it is the response to the request that was sent.
    pub is_for_request: bool,
    /// Whether it carries the signature of a backend server.
    pub is_signed: bool,
    /// Whether the backend server reports that it did not run the request.
    pub not_run: bool,
    /// Whether another backend server now has the address.
    pub replaced: bool,
    /// Reported load, if any.
    pub load: Option<LoadReport>,
    /// Reported condition of the backend server.
    pub condition: Condition,
}

/// The response to a health check, decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Health {
    /// Identity of the backend server that answered.
    pub server: Option<String>,
    /// Remaining time of its cold start.
    pub cold_remaining: Duration,
}

/// Encoding and decoding of the platform's HTTP messages of callers and backend servers.
pub trait Wire {
    /// Decodes a look-up; none if the request is not one or is incomplete.
    fn decode_look_up(&self, target: &Uri) -> Option<LookUp>;

    /// Encodes the response to a look-up as JSON.
    fn encode_look_up_response(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;

    /// Returns whether a path is that of the readiness check.
    fn is_readiness(&self, path: &str) -> bool;

    /// Decodes the headers of a caller's request.
    fn decode_caller_head(&self, headers: &HeaderMap) -> CallerHead;

    /// Removes the API key and customer headers that a caller sent.
    fn remove_customer_headers(&self, headers: &mut HeaderMap);

    /// Adds the headers that a backend server needs; `customer` is the name of the customer whose
    /// request it is.
    fn add_server_headers(
        &self,
        headers: &mut HeaderMap,
        deadline: Duration,
        server: &str,
        customer: Option<&str>,
    );

    /// Decodes the headers of the response to the request with this identity.
    fn decode_server_head(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        request_id: Option<&str>,
    ) -> ServerHead;

    /// Decodes the headers of the response to a health check.
    fn decode_health(&self, headers: &HeaderMap) -> Health;
}

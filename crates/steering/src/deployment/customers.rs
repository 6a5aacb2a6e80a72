//! Customers: authentication by API key, and quotas.

use super::Deployment;
use super::regions::AllowedRegions;
use crate::placement::rank::name_hash;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{HashMap, HashSet};
use std::fmt::{self, Debug, Formatter};
use std::sync::Arc;

/// Length of a key's digest: among the keys of ten thousand customers two collide once in 2^100.
const DIGEST_BYTES: usize = 16;

/// Digest of an API key.  Only digests are stored, sent and compared, so that keys do not leak
/// through memory, messages or logs.
#[derive(Clone, Copy, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn new(key: &str) -> Self {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&Sha256::digest(key.as_bytes())[..DIGEST_BYTES]);
        Self(digest)
    }
}

impl Debug for KeyDigest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// Limit on the requests of a customer, over all instances.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Quota {
    /// Requests per second; above zero.
    pub rate_per_s: f64,
    /// Additional requests that may run at once.
    pub burst: f64,
}

/// Why a rate and a burst are not a valid quota.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum QuotaError {
    /// The rate is negative or not a finite number.
    #[error("rate of {0} requests per second is not a finite number of at least 0")]
    Rate(f64),
    /// The burst is negative or not a finite number.
    #[error("burst of {0} requests is not a finite number of at least 0")]
    Burst(f64),
}

impl Quota {
    /// Validates a rate and a burst; without a rate, or with a rate of zero, there is no quota.
    ///
    /// # Errors
    ///
    /// Returns which of them is invalid.
    pub fn new(rate_per_s: Option<f64>, burst: Option<f64>) -> Result<Option<Self>, QuotaError> {
        let is_valid = |value: f64| value.is_finite() && value >= 0.0;
        let rate_per_s = rate_per_s.unwrap_or(0.0);
        let burst = burst.unwrap_or(0.0);
        if !is_valid(rate_per_s) {
            return Err(QuotaError::Rate(rate_per_s));
        }
        if !is_valid(burst) {
            return Err(QuotaError::Burst(burst));
        }
        Ok((rate_per_s > 0.0).then_some(Self { rate_per_s, burst }))
    }
}

/// A customer, identified by API keys.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Customer {
    /// Its name, which is forwarded to backend servers.
    pub name: Arc<str>,
    /// Its API keys; a request with any of them is the customer's.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests; none if the route's priority applies.
    pub priority: Option<u8>,
    /// Quota of its requests; none if they are unlimited.
    pub quota: Option<Quota>,
    /// Regions that may serve its requests.
    pub allowed_regions: AllowedRegions,
}

impl Customer {
    /// Returns the identifier of the customer in gossip.
    pub fn id(&self) -> CustomerId {
        CustomerId::from_name(&self.name)
    }
}

/// Identifier of a customer in gossip: four bytes of its name's hash.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CustomerId([u8; 4]);

impl CustomerId {
    /// Returns the identifier of the customer with a name.
    pub fn from_name(name: &str) -> Self {
        Self((name_hash(name) as u32).to_le_bytes())
    }

    /// Returns the hash that assigns the customer to instances.
    pub fn hash(self) -> u64 {
        u64::from(u32::from_le_bytes(self.0))
    }
}

/// Number of customers with their own metrics: those with the largest quotas.  Each has 14 time
/// series; `runpin entry customer` shows the figures of the others.
const MAX_CUSTOMERS_WITH_METRICS: usize = 32;

/// The customers of a configuration, by key.
#[derive(Debug, Default)]
pub struct CustomerTable {
    /// None if the configuration has no customers, so that no request needs a key.
    by_key: Option<HashMap<KeyDigest, Arc<Customer>>>,
    /// Customers by name.
    by_name: HashMap<Arc<str>, Arc<Customer>>,
    /// Names of the customers with the largest quotas.
    largest: HashSet<Arc<str>>,
}

/// Result of the authentication of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Authentication {
    /// No key is needed: the route is public, or the configuration has no customers.
    NotRequired,
    /// The key is this customer's.
    Customer(Arc<Customer>),
    /// The key is missing or unknown.
    Failed,
}

impl CustomerTable {
    /// Builds the table of a configuration.
    ///
    /// A key of two customers belongs to the one that comes first in the configuration: both may
    /// use it, and rejecting it would fail valid requests.
    pub fn new(deployment: &Deployment) -> Self {
        let Some(customers) = &deployment.customers else { return Self::default() };
        let customers: Vec<Arc<Customer>> = customers.iter().cloned().map(Arc::new).collect();
        let mut by_key = HashMap::new();
        for customer in &customers {
            for key in &customer.keys {
                by_key.entry(*key).or_insert_with(|| customer.clone());
            }
        }
        let rate = |customer: &Customer| customer.quota.map_or(f64::MAX, |quota| quota.rate_per_s);
        let mut by_rate: Vec<&Arc<Customer>> = customers.iter().collect();
        by_rate.sort_by(|a, b| rate(b).total_cmp(&rate(a)));
        let largest = by_rate
            .iter()
            .take(MAX_CUSTOMERS_WITH_METRICS)
            .map(|customer| customer.name.clone())
            .collect();
        let by_name =
            customers.iter().map(|customer| (customer.name.clone(), customer.clone())).collect();
        Self { by_key: Some(by_key), by_name, largest }
    }

    /// Finds a customer by its name.
    pub fn find(&self, name: &str) -> Option<&Arc<Customer>> {
        self.by_name.get(name)
    }

    /// Returns whether a customer is among those with the largest quotas.
    pub fn is_large(&self, name: &str) -> bool {
        self.largest.contains(name)
    }

    /// Authenticates a request by its key, if it has one, on a public or other route.
    pub fn authenticate(&self, key: Option<KeyDigest>, is_public: bool) -> Authentication {
        let Some(by_key) = self.by_key.as_ref().filter(|_| !is_public) else {
            return Authentication::NotRequired;
        };
        let found = key.and_then(|key| by_key.get(&key));
        found.map_or(Authentication::Failed, |customer| Authentication::Customer(customer.clone()))
    }
}

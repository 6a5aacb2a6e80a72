//! The experiment file format (TOML).

use crate::LabError;
use crate::dialer::Partition;
use configuration::Class;
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// An experiment: a configuration, the daemons to run with it, the load and the faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name, which the report repeats.
    pub name: String,
    /// Configuration file, relative to the experiment's file.
    pub configuration: PathBuf,
    /// Duration of the load, in seconds.
    pub duration_s: u64,
    /// Entry instances in each availability zone.
    pub instances_per_zone: usize,
    /// Delay until a change shows in the platform's list of instances, in milliseconds.
    #[serde(default)]
    pub instance_list_lag_ms: u64,
    /// Requests that the callers send.
    #[serde(rename = "load")]
    pub loads: Vec<Load>,
    /// Service times of the backend servers.
    #[serde(rename = "service_time")]
    pub service_times: Vec<ServiceTime>,
    /// Faults to inject, with their times.
    #[serde(rename = "fault", default)]
    pub faults: Vec<TimedFault>,
}

/// A stream of requests from the callers in each availability zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Name of the called service.
    pub service: String,
    /// HTTP method of the requests.
    pub method: String,
    /// Path of the requests.
    pub path: String,
    /// Request class that the configuration assigns to them.
    pub class: Class,
    /// Mean requests per second in each availability zone; arrivals are a Poisson process.
    pub rate_per_s: f64,
    /// Size of each request body, in bytes.
    #[serde(default)]
    pub body_bytes: usize,
    /// Availability zones of the callers; all if absent.
    pub availability_zones: Option<Vec<String>>,
    /// Value of the tenant header; the header is not sent if absent.
    pub tenant: Option<String>,
}

/// Service time and queueing of the backend servers of a service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTime {
    /// Name of the service.
    pub service: String,
    /// Mean of the exponentially distributed service time, in milliseconds.
    pub mean_ms: f64,
    /// Number of requests after its start that are slower because a backend server is cold.
    #[serde(default)]
    pub cold_requests: u32,
    /// Factor on the service time of the first cold request.
    #[serde(default)]
    pub cold_factor: f64,
    /// Requests that may wait at a backend server; further ones are shed. No limit if absent.
    pub queue_limit: Option<u32>,
}

/// A fault with its start and duration.
#[derive(Clone, Debug, Deserialize)]
pub struct TimedFault {
    /// Time at which it begins, in seconds from the start of the load.
    pub at_s: f64,
    /// Duration in seconds, after which stopped instances are replaced and servers restart. With 0,
    /// a drained or killed backend server stays so until the end of the run.
    #[serde(default)]
    pub for_s: f64,
    /// The fault.
    #[serde(flatten)]
    pub fault: Fault,
}

/// An injected fault or an operator action.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// Every call to the platform fails.
    PlatformOutage,
    /// Every call to the platform is delayed.
    PlatformSlow {
        /// Delay of each call, in milliseconds.
        slow_ms: u64,
    },
    /// Writes to the platform take effect, but their responses are lost.
    LoseWriteAnswers,
    /// A planned stop of an instance; a new instance replaces it.
    StopInstance {
        /// Its availability zone.
        availability_zone: String,
    },
    /// A crash of an instance; a new instance replaces it.
    KillInstance {
        /// Its availability zone.
        availability_zone: String,
    },
    /// A rolling replacement: a planned stop of each instance in turn, replaced by a new one.
    ReplaceInstances,
    /// A backend server drains and later accepts requests again.
    DrainBackendServer(ServerChoice),
    /// A backend server crashes and restarts cold.
    KillBackendServer(ServerChoice),
    /// A network partition between two availability zones, or between one and `platform`.
    Cut {
        /// The two sides.
        between: [String; 2],
        /// Kind of partition.
        how: Partition,
    },
    /// All instances and backend servers of an availability zone crash and later restart.
    LoseZone {
        /// The availability zone.
        availability_zone: String,
    },
    /// An operator changes a field of the configuration.
    ChangeConfiguration {
        /// Path to the field: names of tables and fields; in arrays of tables, the entry's `name`.
        path: Vec<String>,
        /// New value.
        value: toml::Value,
    },
    /// An operator assigns another policy to an arm.
    SwapPolicy {
        /// Name of the arm.
        arm: String,
        /// Name of the policy.
        policy: String,
    },
}

/// Selects one backend server.
#[derive(Clone, Debug, Deserialize)]
pub struct ServerChoice {
    /// Service of the backend server.
    pub service: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Zero-based position among the site's backend servers.
    #[serde(default)]
    pub position: usize,
}

impl Experiment {
    /// Reads an experiment file and resolves its configuration path against the file's folder.
    pub fn read(path: &Path) -> Result<Self, LabError> {
        let text = read_file(path)?;
        let mut experiment: Self = toml::from_str(&text).map_err(|error| LabError::Experiment {
            path: path.to_owned(),
            message: error.to_string(),
        })?;
        let folder = path.parent().unwrap_or(Path::new("."));
        experiment.configuration = folder.join(&experiment.configuration);
        Ok(experiment)
    }
}

/// Reads a UTF-8 text file.
pub(crate) fn read_file(path: &Path) -> Result<String, LabError> {
    std::fs::read_to_string(path).map_err(|source| LabError::File { path: path.to_owned(), source })
}

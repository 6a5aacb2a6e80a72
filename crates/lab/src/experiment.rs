//! The file that describes an experiment.

use crate::LabError;
use crate::dialer::Cut;
use configuration::Class;
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// An experiment: a configuration, its daemons and its load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name, as in the report.
    pub name: String,
    /// Configuration file, relative to the experiment's file.
    pub configuration: PathBuf,
    /// Length of the run, in seconds.
    pub duration_s: u64,
    /// Entry instances in each availability zone.
    pub instances_per_zone: usize,
    /// How far the platform's list of instances lags behind, in milliseconds.
    #[serde(default)]
    pub instance_list_lag_ms: u64,
    /// What the callers send.
    #[serde(rename = "load")]
    pub loads: Vec<Load>,
    /// How long backend servers take.
    #[serde(rename = "service_time")]
    pub service_times: Vec<ServiceTime>,
    /// What goes wrong, and when.
    #[serde(rename = "fault", default)]
    pub faults: Vec<TimedFault>,
}

/// A stream of requests from every availability zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Service that is called.
    pub service: String,
    /// Method of the requests.
    pub method: String,
    /// Path of the requests.
    pub path: String,
    /// Class that the configuration gives them.
    pub class: Class,
    /// Requests each second in each availability zone.
    pub rate_per_s: f64,
    /// Bytes of each request's body.
    #[serde(default)]
    pub body_bytes: usize,
    /// Availability zones that its callers are in; all when absent.
    pub availability_zones: Option<Vec<String>>,
    /// Value of the header that names the tenant.
    pub tenant: Option<String>,
}

/// How long the backend servers of a service take for a request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTime {
    /// The service.
    pub service: String,
    /// Mean of the exponential distribution, in milliseconds.
    pub mean_ms: f64,
    /// Number of requests for which a backend server is cold after its start.
    #[serde(default)]
    pub cold_requests: u32,
    /// How many times slower it is for the first of them.
    #[serde(default)]
    pub cold_factor: f64,
    /// Requests that may wait at a backend server; further ones are shed.
    pub queue_limit: Option<u32>,
}

/// A fault with its time.
#[derive(Clone, Debug, Deserialize)]
pub struct TimedFault {
    /// When it begins, in seconds from the start of the load.
    pub at_s: f64,
    /// How long it lasts, in seconds; what was stopped comes back at its end.
    #[serde(default)]
    pub for_s: f64,
    /// What it is.
    #[serde(flatten)]
    pub fault: Fault,
}

/// Something that goes wrong, or that operators do.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// Every call to the platform fails.
    PlatformOutage,
    /// Every call to the platform takes longer.
    PlatformSlow {
        /// By how much, in milliseconds.
        slow_ms: u64,
    },
    /// Writes to the platform take effect, but their answers are lost.
    LoseWriteAnswers,
    /// A planned stop of an instance; a new one replaces it.
    StopInstance {
        /// Its availability zone.
        availability_zone: String,
    },
    /// An instance dies; a new one replaces it.
    KillInstance {
        /// Its availability zone.
        availability_zone: String,
    },
    /// A planned stop of each instance in turn; a new one replaces each.
    ReplaceInstances,
    /// A backend server means to leave, and comes back.
    DrainBackendServer(ServerChoice),
    /// A backend server dies, and comes back cold.
    KillBackendServer(ServerChoice),
    /// Two availability zones, or one and `platform`, are cut off from each other.
    Cut {
        /// The two.
        between: [String; 2],
        /// How the cut shows.
        how: Cut,
    },
    /// Everything in an availability zone dies, and comes back.
    LoseZone {
        /// The availability zone.
        availability_zone: String,
    },
    /// An operator changes the configuration.
    ChangeConfiguration {
        /// Field: names of tables, and in lists of tables the entry's `name`.
        path: Vec<String>,
        /// New value.
        value: toml::Value,
    },
    /// An operator gives an arm another policy.
    SwapPolicy {
        /// Name of the arm.
        arm: String,
        /// Name of the policy.
        policy: String,
    },
}

/// One backend server.
#[derive(Clone, Debug, Deserialize)]
pub struct ServerChoice {
    /// Its service.
    pub service: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Its position in the site's list, from 0.
    #[serde(default)]
    pub position: usize,
}

impl Experiment {
    /// Reads an experiment's file.
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

/// Reads a text file.
pub(crate) fn read_file(path: &Path) -> Result<String, LabError> {
    std::fs::read_to_string(path).map_err(|source| LabError::File { path: path.to_owned(), source })
}

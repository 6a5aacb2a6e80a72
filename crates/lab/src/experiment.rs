//! The file that describes an experiment.

use crate::LabError;
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
    /// What the callers send.
    #[serde(rename = "load")]
    pub loads: Vec<Load>,
    /// How long backend servers take.
    #[serde(rename = "service_time")]
    pub service_times: Vec<ServiceTime>,
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
}

/// How long the backend servers of a service take for a request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTime {
    /// The service.
    pub service: String,
    /// Mean of the exponential distribution, in milliseconds.
    pub mean_ms: f64,
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

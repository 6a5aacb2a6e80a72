//! Reloads the settings that can change while the process runs: the seeds.
//!
//! The file is reloaded on SIGHUP and when it has changed. Addresses, names, limits and terms stay until
//! the next start, as connections and budgets depend on them.

use super::instance::Instance;
use super::terms;
use crate::settings::Settings;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The settings file and its modification time when it was last read.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    modified: Option<SystemTime>,
}

impl SettingsFile {
    /// Creates a record of a file that has just been read.
    pub fn new(path: &Path) -> Self {
        Self { path: path.to_owned(), modified: modified(path) }
    }

    /// Reads the file again if it has changed or if that was requested by a signal.
    pub fn reload(&mut self, instance: &Instance, by_signal: bool) {
        let modified = modified(&self.path);
        if !by_signal && modified == self.modified {
            return;
        }
        self.modified = modified;
        match Settings::read(&self.path) {
            Ok(settings) => {
                let seeds = settings.seeds.len();
                instance.seeds.replace(settings.seeds);
                if settings.terms != instance.settings.terms {
                    log::info!(target: "terms", asked = by_signal; "changed; in force from the next start");
                    terms::log_conflicts(&settings.terms);
                }
                log::info!(target: "process", asked = by_signal, seeds; "settings reloaded");
            }
            Err(error) => {
                log::warn!(target: "process", asked = by_signal, error:%; "failed to reload the settings");
            }
        }
    }
}

/// Modification time of the file; none if it can't be read, which counts as no change.
fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

//! Taking over settings that change while the process runs: the seeds.
//!
//! The file may change with a signal or without one.  Addresses, names and bounds stay until the
//! next start, as connections and budgets rest on them.

use super::instance::Instance;
use crate::settings::Settings;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The settings file and when it was read.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    modified: Option<SystemTime>,
}

impl SettingsFile {
    /// A file that was read just now.
    pub fn new(path: &Path) -> Self {
        Self { path: path.to_owned(), modified: modified(path) }
    }

    /// Reads the file again if it changed, or if it was asked for.
    pub fn reload(&mut self, instance: &Instance, asked: bool) {
        let modified = modified(&self.path);
        if !asked && modified == self.modified {
            return;
        }
        self.modified = modified;
        match Settings::read(&self.path) {
            Ok(settings) => {
                let seeds = settings.seeds.len();
                instance.seeds.replace(settings.seeds);
                log::info!(target: "process", asked, seeds; "reloaded");
            }
            Err(error) => {
                log::warn!(target: "process", asked, error:%; "settings stay as they were");
            }
        }
    }
}

/// When the file changed last; none if that can't be told, which counts as no change.
fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

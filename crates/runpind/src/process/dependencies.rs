//! External dependencies of a daemon.

use super::clock::{BootClock, Clock};
use crate::connection::dialer::{Dialer, TcpDialer};
use crate::settings::Settings;
use platform::{InstanceDirectory, ObjectStore};
use std::sync::Arc;
use users_platform::PlatformClient;

/// External dependencies of a daemon, which tests replace by fakes.
pub struct Dependencies {
    /// The platform's object API.
    pub store: Arc<dyn ObjectStore>,
    /// The platform's list of instances.
    pub directory: Arc<dyn InstanceDirectory>,
    /// Opens connections to backend servers and peers.
    pub dialer: Arc<dyn Dialer>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
}

impl Dependencies {
    /// Returns the dependencies used in production.
    pub fn for_settings(settings: &Settings) -> Self {
        let platform = Arc::new(PlatformClient::new(settings.platform_address));
        Self {
            store: platform.clone(),
            directory: platform,
            dialer: Arc::new(TcpDialer),
            clock: Arc::new(BootClock),
        }
    }
}

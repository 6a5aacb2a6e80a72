//! Health checks of backend servers whose state is not known.

use super::attempt::millis;
use crate::connection::ask;
use crate::connection::dial::DIAL_TIMEOUT;
use crate::process::conditions;
use crate::process::instance::Instance;
use http::StatusCode;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use steering::placement::Incarnation;

/// Time for one health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);

/// Checks a backend server once, in a task of its own.
pub(crate) fn spawn(instance: &Rc<Instance>, server: Incarnation, address: SocketAddr) {
    let instance = instance.clone();
    tokio::task::spawn_local(async move {
        let servers = instance.replica.borrow().servers.content.clone();
        let Some(path) = servers
            .get(&server.id)
            .and_then(|record| instance.service(&record.service))
            .map(|service| service.health_path)
        else {
            return;
        };
        let asked =
            tokio::time::timeout(CHECK_TIMEOUT, ask::get_whole(address, &path, DIAL_TIMEOUT)).await;
        let Ok(Some((status, headers, _))) = asked else {
            log::info!(target: "backend-server", id = &*server.id; "health check failed");
            return;
        };
        let health = instance.wire.decode_health(&headers);
        if health.server.as_deref() != Some(&*server.id) {
            return;
        }
        // A check is answered as a request is, also by one that turns it away.
        let said = instance.wire.decode_server_head(status, &headers, None).condition;
        conditions::record_condition(&instance, &server, said, None);
        if status != StatusCode::OK {
            log::info!(
                target: "backend-server", id = &*server.id, status = status.as_str();
                "health check failed"
            );
            return;
        }
        let cold_ms = millis(health.cold);
        log::info!(target: "backend-server", id = &*server.id, cold_ms; "health check passed");
        instance.roster.borrow_mut().checked(&server, health.cold, Instant::now());
    });
}

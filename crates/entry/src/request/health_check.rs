//! Health checks of backend servers whose state is unknown.

use crate::connection::dial::DIAL_TIMEOUT;
use crate::connection::http_client;
use crate::process::conditions;
use crate::process::instance::Instance;
use crate::process::millis::millis;
use http::StatusCode;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use steering::placement::Incarnation;

/// Timeout of one health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);

/// Checks a backend server once, in a new task.
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
        let result = tokio::time::timeout(
            CHECK_TIMEOUT,
            http_client::check(address, &path, DIAL_TIMEOUT, instance.timings.connections),
        )
        .await;
        let (status, headers) = match result {
            Ok(Ok(head)) => head,
            Ok(Err(why)) => {
                log::info!(target: "backend-server", id = &*server.id, why:%; "health check failed");
                return;
            }
            Err(_) => {
                log::info!(
                    target: "backend-server", id = &*server.id, why = "timeout";
                    "health check failed"
                );
                return;
            }
        };
        let health = instance.wire.decode_health(&headers);
        if health.server.as_deref() != Some(&*server.id) {
            return;
        }
        // A response to a health check reports the condition even if the status is an error.
        let condition = instance.wire.decode_server_head(status, &headers, None).condition;
        conditions::record_condition(&instance, &server, condition, None);
        if status != StatusCode::OK {
            log::info!(
                target: "backend-server", id = &*server.id, status = status.as_str();
                "health check failed"
            );
            return;
        }
        let cold_ms = millis(health.cold_remaining);
        log::info!(target: "backend-server", id = &*server.id, cold_ms; "health check passed");
        instance.roster.borrow_mut().record_health_check(
            &server,
            health.cold_remaining,
            Instant::now(),
        );
    });
}

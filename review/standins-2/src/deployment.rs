//! A small deployment: the store, servers of one service, and entry instances.

use crate::fleet::{self, Instance};
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A running deployment; its processes end when it is dropped.
pub struct Deployment {
    pub record: Record,
    pub servers: Vec<Server>,
    pub instances: Vec<Instance>,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.instances.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        self.record.flush();
    }
}

/// A configuration with these routes: name, type, prefix, time-out in seconds.
pub fn configuration(version: u32, routes: &[(&str, &str, &str, f64)]) -> Value {
    let rows: Vec<Value> = routes
        .iter()
        .map(|(name, kind, prefix, timeout_s)| {
            json!([
                name,
                "a.example",
                prefix,
                kind,
                timeout_s,
                0.5,
                1,
                "dossier",
                2,
                false,
                [],
                null
            ])
        })
        .collect();
    json!({
        "version": format!("{version:08x}"),
        "routes": {
            "columns": ["name", "hostname", "path_prefix", "type", "timeout_s", "target_latency_s",
                "priority", "service", "max_attempts", "session_affinity", "allowed_regions", "backends"],
            "rows": rows,
        },
        "services": {
            "columns": ["name", "health_path", "max_connections", "protocol", "tls", "cold_start_s", "cold_per_s"],
            "rows": [["dossier", "/health", 390, "h1", false, 3.0, 11.0]],
        },
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 67_108_864, "header_timeout_s": 3, "idle_timeout_s": 15
        },
        "base_version": "00000000",
    })
}

/// Starts servers and instances, so many for each zone of the list, and waits until all are ready.
pub fn start(
    case: &Path,
    zones: &[(&str, &str)],
    instances_per_zone: &[usize],
    servers_per_zone: usize,
    configuration: Value,
    link_mbps: u32,
) -> Option<Deployment> {
    let record = Record::begin(case);
    let binary = std::env::current_dir().ok()?.join("target/release/runpind");
    if !binary.exists() {
        record.say("target/release/runpind is missing");
        return None;
    }
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).ok()?;
    let store = Store::default();
    let count: usize = instances_per_zone.iter().sum();
    let hosts = fleet::hosts(count + 2);
    let (store_host, server_host) = (&hosts[count], &hosts[count + 1]);
    store.put("config", "main", configuration);
    let mut servers = Vec::new();
    for (zone, _) in zones {
        for number in 0..servers_per_zone {
            let id = format!("i-{zone}-{number}");
            let server = Server::start(server_host, &id, "dossier", zone, &record);
            store.put("servers", &id, server.spec());
            servers.push(server);
        }
    }
    let mut instances: Vec<Instance> = Vec::new();
    for ((zone, _), of_zone) in zones.iter().zip(instances_per_zone) {
        for number in 0..*of_zone {
            let index = instances.len();
            let address = store.listen(&format!("{store_host}:0"));
            let seeds = &hosts[..count.min(3)];
            let name = format!("edge-{zone}-{}", number + 1);
            instances.push(fleet::prepare(
                &folder,
                &binary,
                &name,
                &hosts[index],
                zone,
                zones,
                seeds,
                address,
                link_mbps,
            ));
        }
    }
    let mut deployment = Deployment { record, servers, instances, folder };
    deployment.instances.iter_mut().for_each(Instance::start);
    let ready = fleet::wait_until(Duration::from_secs(20), || {
        deployment.instances.iter().all(Instance::is_ready)
    });
    if !ready {
        deployment.record.say("not all instances became ready");
        return None;
    }
    deployment.record.say("all instances are ready");
    Some(deployment)
}

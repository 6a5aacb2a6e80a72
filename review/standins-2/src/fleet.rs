//! Entry instances as processes of their own, started with the command of the deploy file.

use serde_json::{Map, Value, json};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::Signal;

const FRONT: u16 = 8381;
const CONTROL: u16 = 8382;
const DIRECTORY: u16 = 8383;
const READY: u16 = 8388;
const FIRST_PORT: u16 = 7200;

/// An entry instance.
pub struct Instance {
    host: String,
    settings: PathBuf,
    log: PathBuf,
    binary: PathBuf,
    child: Option<Child>,
}

impl Instance {
    /// Address for clients.
    pub fn front(&self) -> SocketAddr {
        format!("{}:{FRONT}", self.host).parse().expect("an address")
    }

    /// Starts its process.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let mut command = Command::new(&self.binary);
        // SAFETY: the call is a single system call, which may be made between fork and exec.
        unsafe {
            command.pre_exec(|| {
                // It ends with this process, however that ends.
                rustix::process::set_parent_process_death_signal(Some(Signal::KILL))?;
                Ok(())
            });
        }
        let child = command
            .env_clear()
            .env("RUNPIN_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("runpind starts");
        self.child = Some(child);
    }

    /// Kills its process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether it answers the platform's readiness check with 200.
    pub fn is_ready(&self) -> bool {
        let address: SocketAddr = format!("{}:{READY}", self.host).parse().expect("an address");
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let request = "GET /api/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        let mut answer = String::new();
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_to_string(&mut answer).is_ok()
            && answer.starts_with("HTTP/1.1 200")
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The hosts of a run: addresses of the loopback network on which all ports are free.
pub fn hosts(count: usize) -> Vec<String> {
    for net in 0..200u32 {
        let seed = std::process::id().wrapping_add(net * 7919);
        let (a, b) = (1 + seed % 250, 1 + (seed / 250) % 250);
        let hosts: Vec<String> =
            (0..count).map(|host| format!("127.{a}.{b}.{}", host + 1)).collect();
        let ports = [FRONT, CONTROL, DIRECTORY, READY, FIRST_PORT, FIRST_PORT + 1];
        let is_free = |host: &String| {
            ports.iter().all(|port| TcpListener::bind((host.as_str(), *port)).is_ok())
        };
        if hosts.iter().all(is_free) {
            return hosts;
        }
    }
    panic!("no free loopback addresses");
}

/// The terms of the small site `rcre-repair`, as the template of the settings renders them.
fn terms(link_mbps: u32) -> Value {
    json!({
        "reconnection_s": 4, "configuration_s": 2.5, "server_drain_s": 2.5, "evacuation_s": 5,
        "outage_extension_s": 6, "regression_s": 0.25, "recovery_s": 15, "address_reuse_s": 2,
        "cold_overage": 1.5, "cold_slack": 5, "max_region_shift": 0.15,
        "tolerance": { "instances": 2, "zones": 1, "regions": 1 },
        "machine": { "cores": 0.2, "descriptors": 4100, "link_mbps": link_mbps, "memory_mb": 260 },
        "store": {
            "writes_per_s": 400, "reads_per_s": 2000, "max_value_bytes": 1_048_576,
            "registration_interval_s": 1.5, "history_s": 20
        }
    })
}

#[expect(clippy::too_many_arguments, reason = "each is a part of the settings")]
/// Prepares an instance in a zone; `regions` has the region of each zone.
pub fn prepare(
    folder: &Path,
    binary: &Path,
    name: &str,
    host: &str,
    zone: &str,
    regions: &[(&str, &str)],
    seeds: &[String],
    store: SocketAddr,
    link_mbps: u32,
) -> Instance {
    let regions: Map<String, Value> =
        regions.iter().map(|(zone, region)| ((*zone).to_owned(), json!(region))).collect();
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("{seed}:{CONTROL}")).collect();
    let settings = json!({
        "name": name, "availability_zone": zone, "regions": regions,
        "caller_address": format!("{host}:{FRONT}"),
        "readiness_address": format!("{host}:{READY}"),
        "look_up_address": format!("{host}:{DIRECTORY}"),
        "peer_address": format!("{host}:{CONTROL}"),
        "seeds": seeds, "first_port": FIRST_PORT, "store_address": store.to_string(),
        "retry_ratio": 0.2, "retry_extra": 64, "retry_window_s": 10,
        "max_ttl_s": 5, "stop_grace_s": 6, "terms": terms(link_mbps),
    });
    let path = folder.join(format!("{name}.json"));
    std::fs::write(&path, settings.to_string()).expect("a settings file");
    Instance {
        host: host.to_owned(),
        settings: path,
        log: folder.join(format!("{name}.log")),
        binary: binary.to_owned(),
        child: None,
    }
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

//! The configuration changes just after the instances that watch the store have lost power, for five seconds.

use crate::client::{self, Answer, Call};
use crate::fleet::{self, Instance, ZONES};
use crate::record::Record;
use crate::server::{Kind, Server};
use crate::store::Store;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HISTORY: Duration = Duration::from_secs(20);
const APPLY: Duration = Duration::from_millis(2500);
/// Time for which the machines are without power.
const DARK: Duration = Duration::from_millis(5000);
/// Pause between two requests of the callers of one availability zone.
const PACE: Duration = Duration::from_millis(60);
const DEADLINE: Duration = Duration::from_millis(4000);
const HOST: &str = "hulo84.example";
/// The service of the route before the change, and after it.
const SERVICES: [&str; 2] = ["atelier", "agenda"];

/// A request as its caller knows it.
struct Sent {
    request_id: String,
    instance: String,
    at: Instant,
    answer: Answer,
}

fn configuration(version: u32, service: &str) -> Value {
    json!({
        "version": format!("{version:08x}"),
        "routes": {
            "columns": ["name", "hostname", "path_prefix", "type", "timeout_s", "target_latency_s",
                "priority", "service", "max_attempts", "session_affinity", "allowed_regions", "backends"],
            "rows": [["r-booking", HOST, "/xapu221/", "non_idempotent", 2.5, 0.6, 1, service, 2,
                false, [], null]],
        },
        "services": {
            "columns": ["name", "health_path", "max_connections", "protocol", "tls", "cold_start_s",
                "cold_per_s"],
            "rows": SERVICES.map(|service| json!([service, "/health", 390, "h1", false, 3.0, 11.0])),
        },
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 67_108_864, "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
    })
}

fn entry(server: &Server, service: &str) -> Value {
    json!({
        "service": service, "address": server.address.to_string(), "zone": server.zone, "version": "v1",
        "capacity": server.slots(), "state": "ready", "cold_remaining_s": 0, "sequence": 4,
    })
}

pub fn run(dir: &Path, record: &Record, has_trouble: bool) -> io::Result<i32> {
    let block = fleet::free_block();
    let store = Store::start(&format!("127.{block}.200.1:8384"), HISTORY)?;
    let kind = Kind { slots: 6, queue: 18, work: Duration::from_millis(400), answer_bytes: 400 };
    store.put("config", "main", configuration(1, SERVICES[0]));
    let mut servers = Vec::new();
    for (zone_number, (zone, _, _)) in ZONES.iter().enumerate() {
        for (number, service) in SERVICES.iter().enumerate() {
            let address = format!("127.{block}.{}.{}:8080", 100 + zone_number, number + 1);
            let server = Server::start(&format!("i-{service}-{zone}"), &address, zone, kind)?;
            store.put("servers", &server.id, entry(&server, service));
            servers.push((server, *service));
        }
    }
    let seeds: Vec<String> =
        (0..3).map(|zone| format!("{}:8382", Instance::ip(block, zone, 1))).collect();
    let mut instances = Vec::new();
    for (zone_number, (zone, _, count)) in ZONES.iter().enumerate() {
        for number in 1..=*count {
            let place = (zone_number, number, *zone);
            instances.push(Instance::new(dir, place, block, &ZONES, &seeds, store.address)?);
        }
    }
    if !fleet::start_all(&mut instances, record)? {
        return Ok(2);
    }
    let callers = Callers::start(&instances);
    // The first watches of the start have ended by then.
    thread::sleep(Duration::from_secs(12));
    let before: Vec<f64> = instances.iter().map(|one| one.store_calls("backend-servers")).collect();
    thread::sleep(Duration::from_secs(9));
    let watches = |one: &Instance, before: f64| one.store_calls("backend-servers") > before;
    let watchers: Vec<usize> =
        (0..instances.len()).filter(|&one| watches(&instances[one], before[one])).collect();
    let names: Vec<&str> = watchers.iter().map(|&one| instances[one].name.as_str()).collect();
    record.say(&format!("{} instances watch the store: {}", names.len(), names.join(" ")));
    if names.is_empty() || names.len() * 100 > instances.len() * 55 {
        record.say("not a share of at most 0.55 of the instances");
        return Ok(2);
    }
    let names: HashSet<String> = names.into_iter().map(str::to_owned).collect();
    if has_trouble {
        for &watcher in &watchers {
            instances[watcher].kill();
        }
        record.say("these lost power (SIGKILL)");
        callers.set_down(&names);
        thread::sleep(Duration::from_millis(100));
    }
    let (rev, acknowledged) = store.put("config", "main", configuration(2, SERVICES[1]));
    record.say(&format!("configuration 2 acknowledged, revision {rev}"));
    if has_trouble {
        thread::sleep(DARK.saturating_sub(Duration::from_millis(100)));
        for &watcher in &watchers {
            instances[watcher].start()?;
        }
        record.say("they started again");
    }
    thread::sleep(Duration::from_secs(8));
    let sent = callers.stop();
    let in_touch: HashSet<String> = instances
        .iter()
        .map(|one| one.name.clone())
        .filter(|name| !has_trouble || !names.contains(name))
        .collect();
    Ok(judge(record, &servers, &sent, &in_touch, acknowledged))
}

fn judge(
    record: &Record,
    servers: &[(Arc<Server>, &str)],
    sent: &[Sent],
    in_touch: &HashSet<String>,
    acknowledged: Instant,
) -> i32 {
    let by_id: HashMap<&str, &Sent> =
        sent.iter().map(|one| (one.request_id.as_str(), one)).collect();
    for one in sent {
        let at = record.at(one.at);
        record.log(&format!(
            "sent {at:.3} {} to {}: {}",
            one.request_id,
            one.instance,
            one.answer.name()
        ));
    }
    let mut late = 0;
    let mut last = acknowledged;
    let mut senders: BTreeMap<&str, u32> = BTreeMap::new();
    for (server, service) in servers {
        for arrival in server.arrivals.lock().unwrap().iter() {
            let (at, id) = (record.at(arrival.at), &arrival.request_id);
            record.log(&format!("run {at:.3} {id} at {}: {}", server.id, arrival.verdict));
            let Some(sent) = by_id.get(id.as_str()) else { continue };
            let is_old = arrival.verdict == "run" && *service == SERVICES[0];
            if is_old && in_touch.contains(&sent.instance) && sent.at > acknowledged + APPLY {
                late += 1;
                last = last.max(sent.at);
                *senders.entry(&sent.instance).or_default() += 1;
            }
        }
    }
    record.say(&format!("callers sent {} requests", sent.len()));
    record.say(&format!(
        "CONFIG: the old service ran {late} requests that were sent more than 2.5 s after the change was \
         acknowledged, the last one {:.2} s after it, by instances in touch {senders:?}",
        last.duration_since(acknowledged).as_secs_f64()
    ));
    i32::from(late > 0)
}

/// The callers: in each availability zone, one request after another on new connections to the instances
/// there, those of the region if all are down.
struct Callers {
    ends: Arc<AtomicBool>,
    down: Arc<Mutex<HashSet<String>>>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Callers {
    fn start(instances: &[Instance]) -> Self {
        let ends = Arc::new(AtomicBool::new(false));
        let down: Arc<Mutex<HashSet<String>>> = Arc::default();
        let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
        let numbers = Arc::new(AtomicU64::new(1));
        let mut threads = Vec::new();
        for (zone, _, _) in ZONES {
            let of_zone = instances.iter().filter(|one| one.zone == zone);
            let targets: Vec<_> =
                of_zone.map(|one| (one.name.clone(), one.address(8381))).collect();
            let (ends, down, sent, numbers) =
                (ends.clone(), down.clone(), sent.clone(), numbers.clone());
            threads.push(thread::spawn(move || {
                let mut calls = Vec::new();
                while !ends.load(Ordering::SeqCst) {
                    thread::sleep(PACE);
                    let number = numbers.fetch_add(1, Ordering::SeqCst);
                    let up: Vec<_> = {
                        let down = down.lock().unwrap();
                        targets.iter().filter(|(name, _)| !down.contains(name)).cloned().collect()
                    };
                    let Some((name, address)) = up.get(number as usize % up.len().max(1)).cloned()
                    else {
                        continue;
                    };
                    let sent = sent.clone();
                    calls.push(thread::spawn(move || {
                        let request_id = format!("{number:016x}");
                        let at = Instant::now();
                        let request = Call {
                            method: "POST",
                            host: HOST,
                            path: &format!("/xapu221/{number}"),
                            request_id: &request_id,
                            deadline: DEADLINE,
                            body: b"slot=1",
                        };
                        let answer = client::call(address, &request);
                        sent.lock().unwrap().push(Sent { request_id, instance: name, at, answer });
                    }));
                }
                for call in calls {
                    let _ = call.join();
                }
            }));
        }
        Self { ends, down, sent, threads }
    }

    fn set_down(&self, names: &HashSet<String>) {
        *self.down.lock().unwrap() = names.clone();
    }

    fn stop(self) -> Vec<Sent> {
        self.ends.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let mut sent = std::mem::take(&mut *self.sent.lock().unwrap());
        sent.sort_by_key(|one| one.at);
        sent
    }
}

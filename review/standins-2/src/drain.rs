//! A server leaves while the instances that watch the store are down.

use crate::Verdict;
use crate::client::{Connection, request};
use crate::deployment::{ZONES, configuration, start};
use crate::fleet::wait_until;
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Instances of each zone.
const INSTANCES_PER_ZONE: [usize; 6] = [3; 6];

const DRAIN_S: f64 = 2.5;

/// Time for which a leaving server keeps serving beyond `drain_s`.
const SERVES_ON: Duration = Duration::from_secs(6);

/// Time for which the killed processes are down.
const DOWN: Duration = Duration::from_secs(2);

/// Clients of each instance that stays.
const CLIENTS_PER_INSTANCE: usize = 3;

pub fn run(folder: &Path, with_trouble: bool) -> Verdict {
    let routes = [("book", "non_idempotent", "/book/", 2.5)];
    let Some(mut deployment) =
        start(folder, &ZONES, &INSTANCES_PER_ZONE, 2, configuration(1, &routes), 1_000)
    else {
        return Verdict::NotRun;
    };
    let record = deployment.record.clone();
    deployment.servers.iter().for_each(|server| server.set_work(300));
    // An ordinary change, and more than the history of the store (20 s) without any.
    std::thread::sleep(Duration::from_secs(34));
    deployment.store.put("config", "main", configuration(2, &routes));
    record.say("configuration 2");
    std::thread::sleep(Duration::from_secs(23));
    let mut watchers = BTreeSet::new();
    wait_until(Duration::from_secs(2), || {
        watchers.extend(deployment.store.watchers("servers"));
        false
    });
    let names: Vec<&str> =
        watchers.iter().map(|index| deployment.instances[*index].name.as_str()).collect();
    record.say(&format!(
        "{} of {} instances watch the servers: {}",
        watchers.len(),
        deployment.instances.len(),
        names.join(", ")
    ));
    // The leaving server is in a zone of an instance that stays.
    let Some(staying) = (0..deployment.instances.len()).find(|index| !watchers.contains(index))
    else {
        return Verdict::NotRun;
    };
    let zone = deployment.instances[staying].zone.clone();
    let Some(leaving) =
        deployment.servers.iter().find(|server| server.id().contains(&zone)).cloned()
    else {
        return Verdict::NotRun;
    };
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (index, instance) in deployment.instances.iter().enumerate() {
        if watchers.contains(&index) {
            continue;
        }
        for number in 0..CLIENTS_PER_INSTANCE {
            let (front, name) = (instance.front(), instance.name.clone());
            let (is_over, record) = (is_over.clone(), record.clone());
            clients.push(std::thread::spawn(move || {
                let mut lost = 0;
                let mut connection = None;
                for count in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    let id = format!("{name}.{number}.{count}");
                    let mut open = match connection.take() {
                        Some(open) => open,
                        None => match Connection::open(front) {
                            Ok(open) => open,
                            Err(_) => continue,
                        },
                    };
                    record.line(&format!("sent id={id}"));
                    if open.send(&request("POST", "/book/2f", &id, 4000, 100)).is_err() {
                        continue;
                    }
                    let ending = open.read(Duration::from_secs(5), |_| ());
                    record.line(&format!("answered id={id} {}", ending.text()));
                    lost += usize::from(ending.status() != 200);
                    if ending.status() == 200 {
                        connection = Some(open);
                    }
                    std::thread::sleep(Duration::from_millis(50));
                }
                lost
            }));
        }
    }
    std::thread::sleep(Duration::from_secs(3));
    if with_trouble {
        for index in &watchers {
            deployment.instances[*index].kill();
        }
        record.say(&format!("{} processes killed", watchers.len()));
    }
    let killed_at = Instant::now();
    std::thread::sleep(Duration::from_millis(300));
    deployment.store.remove("servers", leaving.id());
    leaving.begin_leaving();
    let removed_at = record.now();
    record.say(&format!("{} leaves: its entry is removed", leaving.id()));
    std::thread::sleep(DOWN.saturating_sub(killed_at.elapsed()));
    if with_trouble {
        for index in &watchers {
            deployment.instances[*index].start();
        }
        record.say("the killed processes are started again");
    }
    let ends_at = removed_at + DRAIN_S + SERVES_ON.as_secs_f64();
    std::thread::sleep(Duration::from_secs_f64((ends_at - record.now()).max(0.0)));
    let cut = leaving.end();
    record.say(&format!("{} ends, with {cut} requests at work", leaving.id()));
    std::thread::sleep(Duration::from_secs(5));
    is_over.store(true, Ordering::SeqCst);
    let lost: usize = clients.into_iter().filter_map(|client| client.join().ok()).sum();
    let arrivals = leaving.arrivals();
    let late: Vec<_> =
        arrivals.iter().filter(|arrival| arrival.at > removed_at + DRAIN_S).collect();
    for arrival in &late {
        record.line(&format!(
            "LATE id={} {:.2} s after the removal",
            arrival.id,
            arrival.at - removed_at
        ));
    }
    let through: BTreeSet<&str> =
        late.iter().filter_map(|late| late.id.split('.').next()).collect();
    record.say(&format!(
        "{} of {} requests reached {} more than {DRAIN_S} s after its removal, through {through:?}; {lost} of all got no 200",
        late.len(), arrivals.len(), leaving.id()
    ));
    match late.len() {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

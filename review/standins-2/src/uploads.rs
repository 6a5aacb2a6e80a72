//! More users come while uploads wait for their clients.

use crate::Verdict;
use crate::client::{Connection, Ending, request};
use crate::deployment::{configuration, start};
use std::path::Path;
use std::time::{Duration, Instant};

/// Uploads that are under way when the others come; the servers have as many slots.
const UPLOADS: usize = 24;

/// Bytes of an upload.
const UPLOAD_BYTES: usize = 360_000;

/// Time for which each client pauses in the middle of its upload; `idle_timeout_s` is 15.
const PAUSE: Duration = Duration::from_secs(2);

/// Uploads that come at once beside them: 40 instead of 24 is 1.67 times the traffic.
const BURST: usize = 16;

/// Time from the begin of the pause to the burst.
const BURST_AFTER: Duration = Duration::from_millis(1300);

/// Time that a server works on a request, as for the uploads of the small sites.
const WORK_MS: u64 = 760;

/// Requests on each connection before its upload.
const EARLIER: u32 = 3;

pub fn run(folder: &Path, with_trouble: bool) -> Verdict {
    let routes = [("put", "upload", "/put/", 6.0), ("book", "non_idempotent", "/book/", 6.0)];
    let zones = [("namur-jambes", "namur")];
    let Some(deployment) = start(folder, &zones, &[1], 8, configuration(1, &routes), 1_000) else {
        return Verdict::NotRun;
    };
    let record = deployment.record.clone();
    std::thread::sleep(Duration::from_secs(6));
    deployment.servers.iter().for_each(|server| server.set_work(WORK_MS));
    let front = deployment.instances[0].front();
    let clients: Vec<_> = (0..UPLOADS)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || {
                let id = format!("upload-{number}");
                let ending = upload(front, &id, &record);
                record.line(&format!("answered id={id} {}", ending.text()));
                (id, ending)
            })
        })
        .collect();
    let begun = Instant::now();
    let earlier = Duration::from_millis(WORK_MS) * EARLIER;
    std::thread::sleep((earlier + BURST_AFTER).saturating_sub(begun.elapsed()));
    let mut others = Vec::new();
    if with_trouble {
        record.say(&format!("{BURST} more requests come"));
        for number in 0..BURST {
            let record = record.clone();
            others.push(std::thread::spawn(move || {
                let id = format!("burst-{number}");
                record.line(&format!("sent id={id}"));
                let Ok(mut connection) = Connection::open(front) else { return };
                if connection.send(&request("POST", "/put/2f", &id, 4000, 60_000)).is_ok() {
                    let ending = connection.read(Duration::from_secs(5), |_| ());
                    record.line(&format!("answered id={id} {}", ending.text()));
                }
            }));
        }
    }
    let mut lost = 0;
    for client in clients {
        let Ok((id, ending)) = client.join() else { return Verdict::NotRun };
        if matches!(ending, Ending::None(_) | Ending::Cut(..)) {
            lost += 1;
            record.say(&format!("LOST id={id}: {}", ending.text()));
        }
    }
    others.into_iter().for_each(|other| drop(other.join()));
    record.say(&format!(
        "{lost} of {UPLOADS} uploads on kept connections were handed on and never answered"
    ));
    match lost {
        0..=3 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Sends a request on a connection that has carried one, with a pause before the last third of its body.
fn upload(front: std::net::SocketAddr, id: &str, record: &crate::record::Record) -> Ending {
    let opened = Connection::open(front);
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(error) => return Ending::None(error),
    };
    for number in 0..EARLIER {
        let text = request("POST", "/book/2f", &format!("{id}-earlier-{number}"), 4000, 100);
        if let Err(error) = connection.send(&text) {
            return Ending::None(error);
        }
        let ending = connection.read(Duration::from_secs(5), |_| ());
        if ending.status() != 200 {
            return ending;
        }
    }
    let text = request("POST", "/put/2f", id, 6000, UPLOAD_BYTES);
    let (begin, rest) = text.split_at(text.len() - UPLOAD_BYTES / 3);
    record.line(&format!("sent id={id}, two thirds of its body"));
    if let Err(error) = connection.send(begin) {
        return Ending::None(error);
    }
    std::thread::sleep(PAUSE);
    let sent = connection.send(rest);
    record.line(&format!("the rest of id={id}: {sent:?}"));
    // There may be an answer even if the connection takes no more.
    connection.read(Duration::from_secs(7), |_| ())
}

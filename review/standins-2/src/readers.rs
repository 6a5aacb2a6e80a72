//! Clients whose links are slow, or stand still for a while, read answers of a moderate length.

use crate::Verdict;
use crate::client::{Connection, Ending, request};
use crate::deployment::{configuration, start};
use crate::record::Record;
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Clients that read steadily at the pace of a slow link, and those whose link stands still once.
const STEADY: usize = 8;
const STALLED: usize = 8;

/// Bytes of an answer.
const ANSWER_BYTES: usize = 500_000;

/// Bytes that a slow link carries in a second.
const SLOW_BYTES_PER_S: f64 = 60_000.0;

/// Bytes that a client reads before its link stands still, and for how long that does; `idle_timeout_s` is 15.
const READ_BEFORE_STALL: usize = 20_000;
const STALL: Duration = Duration::from_secs(4);

/// Segment size and receive buffer of a client: those of an ordinary network and a small window.
const SEGMENT_BYTES: u32 = 1448;
const WINDOW_BYTES: usize = 32 * 1024;

/// How a client reads.
#[derive(Clone, Copy, Debug)]
enum Pace {
    AtOnce,
    Steady,
    Stalled,
}

pub fn run(folder: &Path, with_trouble: bool) -> Verdict {
    let routes = [("book", "non_idempotent", "/book/", 12.0)];
    let zones = [("namur-jambes", "namur")];
    let Some(deployment) = start(folder, &zones, &[2], 6, configuration(1, &routes), 1_000) else {
        return Verdict::NotRun;
    };
    let record = deployment.record.clone();
    std::thread::sleep(Duration::from_secs(6));
    let front = deployment.instances[0].front();
    let clients: Vec<_> = (0..STEADY + STALLED)
        .map(|number| {
            let record = record.clone();
            let pace = match number {
                _ if !with_trouble => Pace::AtOnce,
                number if number < STEADY => Pace::Steady,
                _ => Pace::Stalled,
            };
            std::thread::spawn(move || (pace, exchange(front, number, pace, &record)))
        })
        .collect();
    let (mut steady, mut stalled, mut others) = (0, 0, 0);
    for client in clients {
        match client.join() {
            Ok((_, Ok(Ending::Answer(head, _)))) if head.status() == 200 => {}
            Ok((Pace::Steady, Ok(Ending::Cut(..) | Ending::None(_)))) => steady += 1,
            Ok((Pace::Stalled, Ok(Ending::Cut(..) | Ending::None(_)))) => stalled += 1,
            _ => others += 1,
        }
    }
    let runs: usize = deployment.servers.iter().map(|server| server.runs()).sum();
    record.say(&format!(
        "{runs} runs; connections closed without a complete answer: {steady} of {STEADY} with a slow link, {stalled} of {STALLED} with one that stood still; {others} other failures"
    ));
    if others > 0 {
        return Verdict::NotRun;
    }
    match steady + stalled {
        0..=3 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Sends a request on a connection that has carried one, and reads its answer.
fn exchange(
    front: SocketAddr,
    number: usize,
    pace: Pace,
    record: &Record,
) -> std::io::Result<Ending> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(WINDOW_BYTES)?;
    socket.set_tcp_mss(SEGMENT_BYTES)?;
    socket.connect(&front.into())?;
    let mut connection = Connection::over(socket.into())?;
    connection.send(&request("POST", "/book/400", &format!("earlier-{number}"), 4_000, 100))?;
    let earlier = connection.read(Duration::from_secs(5), |_| ());
    if earlier.status() != 200 {
        return Ok(earlier);
    }
    let id = format!("reader-{number}");
    record.line(&format!("sent id={id}"));
    connection.send(&request("POST", &format!("/book/{ANSWER_BYTES}"), &id, 12_000, 100))?;
    let begun = Instant::now();
    let (mut read, mut has_stalled) = (0, false);
    let ending = connection.read(Duration::from_secs(11), |bytes| {
        read += bytes;
        match pace {
            Pace::AtOnce => {}
            Pace::Steady => {
                let due = Duration::from_secs_f64(read as f64 / SLOW_BYTES_PER_S);
                std::thread::sleep(due.saturating_sub(begun.elapsed()));
            }
            Pace::Stalled if read >= READ_BEFORE_STALL && !has_stalled => {
                has_stalled = true;
                std::thread::sleep(STALL);
            }
            Pace::Stalled => {}
        }
    });
    record.line(&format!(
        "answered id={id} {pace:?} {} after {:.2} s",
        ending.text(),
        begun.elapsed().as_secs_f64()
    ));
    Ok(ending)
}

//! Logging as JSON lines on standard output, rate-limited and non-blocking.
//!
//! Lines pass through a bounded queue to a writer thread. Lines over the rate limit or the queue's
//! capacity are dropped and counted; the next line that is written carries the count.

use super::clock::Clock;
use crate::error::EntryError;
use log::kv::{Error as KeyValueError, Key, Value, VisitSource};
use serde_json::{Map, Value as Json};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Capacity of the queue to the writer thread.
const QUEUE_LINES: usize = 512;

/// Most lines per second about requests; a line costs about 0.02 ms of CPU time.
const LINES_PER_S: u64 = 60;

/// Stack size of the writer thread, which only writes.
const STACK_BYTES: usize = 64 * 1024;

/// Starts logging.
///
/// # Errors
///
/// Fails if the writer thread can't be started or a logger is already set.
pub fn start() -> Result<(), EntryError> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    std::thread::Builder::new()
        .name("log-writer".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || write_lines(&receiver))
        .map_err(|error| EntryError::Logging(error.to_string()))?;
    fern::Dispatch::new()
        .level(log::LevelFilter::Info)
        .chain(Box::new(JsonLogger::new(sender)) as Box<dyn log::Log>)
        .apply()
        .map_err(|error| EntryError::Logging(error.to_string()))
}

fn write_lines(receiver: &Receiver<String>) {
    let mut out = std::io::stdout();
    while let Ok(mut line) = receiver.recv() {
        line.push('\n');
        // With standard output closed there is nowhere to report the error.
        let _ = out.write_all(line.as_bytes());
    }
}

struct JsonLogger {
    sender: SyncSender<String>,
    second: AtomicU64,
    lines: AtomicU64,
    dropped: AtomicU64,
}

impl JsonLogger {
    fn new(sender: SyncSender<String>) -> Self {
        let zero = || AtomicU64::new(0);
        Self { sender, second: zero(), lines: zero(), dropped: zero() }
    }

    /// Counts a line and returns whether it is within the rate limit.
    fn admit(&self, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        self.lines.fetch_add(1, Ordering::Relaxed) < LINES_PER_S
    }
}

impl log::Log for JsonLogger {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let now_ms = Clock::unix_ms();
        // Changes of state are rare and are always logged.
        if record.target() == "request" && !self.admit(now_ms) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let mut fields = Fields(Map::new());
        fields.0.insert("at_ms".to_owned(), now_ms.into());
        fields.0.insert("about".to_owned(), record.target().into());
        fields.0.insert("event".to_owned(), record.args().to_string().into());
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            fields.0.insert("lines_dropped".to_owned(), dropped.into());
        }
        // The visitor never fails.
        let _ = record.key_values().visit(&mut fields);
        if self.sender.try_send(Json::Object(fields.0).to_string()).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KeyValueError> {
        let json = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (_, Some(number), _) => number.into(),
            (_, _, Some(flag)) => flag.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

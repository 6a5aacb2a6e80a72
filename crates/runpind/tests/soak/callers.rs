//! Callers that keep connections, pipeline requests, and disconnect before they get responses.

use crate::checks;
use crate::common::caller::{read_next_response, request_text};
use crate::fleet::Fleet;
use crate::history::{Class, History, Outcome, Request};
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time after which a caller disconnects; the requests carry a deadline of three seconds.
const PATIENCE: Duration = Duration::from_millis(3_500);

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

pub(crate) const CLASSES: [Class; 8] = [
    Class { route: "idempotent", customer: "large" },
    Class { route: "idempotent", customer: "small" },
    Class { route: "idempotent", customer: "southern" },
    Class { route: "non_idempotent", customer: "large" },
    Class { route: "non_idempotent", customer: "small" },
    Class { route: "non_idempotent", customer: "southern" },
    Class { route: "upload", customer: "large" },
    Class { route: "extra", customer: "large" },
];

/// Requests that may run more than once, of both services.
pub(crate) const IDEMPOTENT_CLASSES: [Class; 2] = [
    Class { route: "idempotent", customer: "large" },
    Class { route: "second", customer: "large" },
];

/// Requests of the second service.
pub(crate) const SECOND_CLASSES: [Class; 1] = [IDEMPOTENT_CLASSES[1]];

/// Size of the body of an upload.
const UPLOAD_BYTES: usize = 6_000;

/// Number of objects that requests concern, enough to reach all backend servers.
const OBJECTS: u32 = 60;

/// What a caller does with its connection.
pub(crate) enum Behavior {
    /// Sends a request and waits for the response.
    Wait,
    /// Pipelines this many requests.
    SendAhead(usize),
    /// Disconnects after a time.
    Leave(Duration),
}

/// Sends requests until the time is over.
pub(crate) async fn run(
    fleet: Rc<Fleet>,
    history: Rc<History>,
    mut rng: StdRng,
    until: Instant,
    pause_ms: u64,
    classes: &'static [Class],
) {
    while Instant::now() < until {
        let instance = rng.random_range(0..fleet.nodes.len());
        let is_direct = rng.random_bool(0.7);
        let opening = Connection::open(&fleet, &history, (instance, is_direct), classes);
        let Some(mut connection) = opening.await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        while Instant::now() < until {
            let behavior = match rng.random_range(0..10) {
                0 => Behavior::SendAhead(rng.random_range(2..5)),
                1 => Behavior::Leave(Duration::from_millis(rng.random_range(0..80))),
                _ => Behavior::Wait,
            };
            if !connection.exchange(&behavior, &mut rng).await {
                break;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..=pause_ms))).await;
        }
    }
}

/// A connection of a caller.
pub(crate) struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    history: Rc<History>,
    instance: usize,
    is_direct: bool,
    classes: &'static [Class],
}

impl Connection {
    /// Connects to an instance; `None` if that takes too long.
    pub(crate) async fn open(
        fleet: &Fleet,
        history: &Rc<History>,
        (instance, is_direct): (usize, bool),
        classes: &'static [Class],
    ) -> Option<Self> {
        let address = fleet.nodes[instance].address_for_callers(is_direct);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        let history = history.clone();
        Some(Self { stream, buffer: Vec::new(), history, instance, is_direct, classes })
    }

    /// The instance at the other end.
    pub(crate) fn instance(&self) -> usize {
        self.instance
    }

    /// Sends requests and reads their responses; returns whether the connection can be used again.
    pub(crate) async fn exchange(&mut self, behavior: &Behavior, rng: &mut StdRng) -> bool {
        let classes: Vec<Class> = match behavior {
            Behavior::SendAhead(count) => vec![self.classes[0]; *count],
            _ => vec![*self.classes.choose(rng).expect("there are classes")],
        };
        let mut ids = Vec::new();
        let mut text = String::new();
        for class in classes {
            let id = self.history.new_id();
            text.push_str(&text_of(class, &id, rng.random_range(0..OBJECTS)));
            self.history.record_request(&id, self.request(class, !ids.is_empty()));
            ids.push(id);
        }
        let is_sent =
            matches!(timeout(PATIENCE, self.stream.write_all(text.as_bytes())).await, Ok(Ok(())));
        if !is_sent {
            ids.iter().for_each(|id| self.history.record_end(id, Outcome::Left));
            return false;
        }
        ids.iter().for_each(|id| self.history.record_sent(id));
        let patience = if let Behavior::Leave(after) = behavior { *after } else { PATIENCE };
        let reading = self.read_responses(&ids);
        match timeout(patience, reading).await {
            Ok(is_open) => is_open,
            Err(_) => {
                // Makes the drop of the connection a reset; if that fails, it is a close.
                if rng.random() {
                    let _ = self.stream.set_zero_linger();
                }
                ids.iter().for_each(|id| self.history.record_end(id, Outcome::Left));
                false
            }
        }
    }

    async fn read_responses(&mut self, ids: &[String]) -> bool {
        for (number, id) in ids.iter().enumerate() {
            let response = read_next_response(&mut self.stream, &mut self.buffer).await;
            checks::response(&self.history, id, &response);
            let closes = response.header("connection").is_some_and(|value| value == "close");
            if !response.is_complete || closes {
                self.history.record_end(id, Outcome::Closed);
                // What was sent behind a response that ends the connection counts as not read.
                let outcome = if closes { Outcome::Left } else { Outcome::Closed };
                ids[number..].iter().for_each(|id| self.history.record_end(id, outcome));
                return false;
            }
        }
        true
    }

    fn request(&self, class: Class, is_ahead: bool) -> Request {
        Request {
            class,
            instance: self.instance,
            is_direct: self.is_direct,
            is_ahead,
            sent_at: Instant::now(),
            ended: None,
            visits: Vec::new(),
        }
    }
}

fn text_of(class: Class, id: &str, object: u32) -> String {
    let key = format!("X-Key: key-of-{}\r\n", class.customer);
    let text = match class.route {
        "upload" => {
            let headers = format!("{key}Content-Length: {UPLOAD_BYTES}\r\n");
            request_text(class.route, id, &headers, &"u".repeat(UPLOAD_BYTES))
        }
        route => request_text(route, id, &key, ""),
    };
    text.replace("X-Affinity-Key=17", &format!("X-Affinity-Key={object}"))
}

//! The platform's store: objects by kind, lists, watches, and a history of `history_s`.

use crate::http::{read_body, read_head};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// History of the small sites.
const HISTORY: Duration = Duration::from_secs(20);

/// Objects of one page.
const PAGE: usize = 500;

struct Change {
    at: Instant,
    rev: u64,
    kind: String,
    event: Value,
}

#[derive(Default)]
struct State {
    rev: u64,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    objects: BTreeMap<(String, String), Value>,
    history: VecDeque<Change>,
}

/// The store; clones share it.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Serves the store at an address.
    pub fn listen(&self, address: &str) -> SocketAddr {
        let listener = TcpListener::bind(address).expect("an address for the store");
        let bound = listener.local_addr().expect("the address of the store");
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        bound
    }

    /// Creates or replaces an object, as the operator or a server does; returns when that is acknowledged.
    pub fn put(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let mut state = self.0.0.lock().expect("the store");
        let rev = write(&mut state, kind, name, spec, None);
        self.0.1.notify_all();
        rev
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head) else { return };
            let (method, target) = head.target();
            let (status, answer) = self.answer(method, target, &body);
            let text = answer.to_string();
            let message = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if writer.write_all(message.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, Value) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let Some(path) = path.strip_prefix("/api/objects/") else { return (404, Value::Null) };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let mut state = self.0.0.lock().expect("the store");
        if method == "GET" && name.is_empty() {
            if let Some(after) = query.get("watch").and_then(|rev| rev.parse().ok()) {
                let wait = query.get("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                drop(state);
                return self.watch(kind, after, Duration::from_millis(wait));
            }
            let after = query.get("after").copied().unwrap_or("");
            let found: Vec<&Value> = state
                .objects
                .iter()
                .filter(|((of, name), _)| of == kind && name.as_str() > after)
                .map(|(_, object)| object)
                .collect();
            let more = found.len() > PAGE;
            let items = &found[..found.len().min(PAGE)];
            return (200, json!({ "items": items, "more_pages": more, "as_of": state.rev }));
        }
        let (name, is_status) = match name.strip_suffix("/status") {
            Some(name) => (name.to_owned(), true),
            None => (name.to_owned(), false),
        };
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let name = match name.is_empty() {
            true => body["metadata"]["name"].as_str().unwrap_or("").to_owned(),
            false => name,
        };
        let present = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        let expected = body["metadata"]["rev"].as_u64().or_else(|| query.get("rev")?.parse().ok());
        let fits = |object: &Value| expected.is_none_or(|rev| object["metadata"]["rev"] == rev);
        let answer = match (method, present) {
            ("GET", Some(object)) => (200, object),
            ("POST", Some(object)) => (409, object),
            ("PUT" | "DELETE", Some(object)) if !fits(&object) => (409, object),
            ("DELETE", Some(object)) => {
                delete(&mut state, kind, &name);
                (200, object)
            }
            ("POST", None) => {
                write(&mut state, kind, &name, body["spec"].clone(), None);
                (200, state.objects[&(kind.to_owned(), name)].clone())
            }
            ("PUT", Some(object)) => {
                let (spec, status) = match is_status {
                    true => (object["spec"].clone(), Some(body["status"].clone())),
                    false => (body["spec"].clone(), None),
                };
                write(&mut state, kind, &name, spec, status);
                (200, state.objects[&(kind.to_owned(), name)].clone())
            }
            _ => (404, Value::Null),
        };
        self.0.1.notify_all();
        answer
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, Value) {
        let deadline = Instant::now() + wait;
        let mut state = self.0.0.lock().expect("the store");
        forget(&mut state);
        if after < state.forgotten {
            return (410, Value::Null);
        }
        let events = loop {
            let events: Vec<Value> = state
                .history
                .iter()
                .filter(|change| change.rev > after && change.kind == kind)
                .map(|change| change.event.clone())
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                break events;
            }
            state = self.0.1.wait_timeout(state, left).expect("the store").0;
        };
        (200, json!({ "events": events, "as_of": state.rev }))
    }
}

/// Forgets the history that is older than `history_s`.
fn forget(state: &mut State) {
    while state.history.front().is_some_and(|change| change.at.elapsed() > HISTORY) {
        if let Some(change) = state.history.pop_front() {
            state.forgotten = change.rev;
        }
    }
}

fn write(state: &mut State, kind: &str, name: &str, spec: Value, status: Option<Value>) -> u64 {
    let key = (kind.to_owned(), name.to_owned());
    let present = state.objects.get(&key);
    let status = status.or_else(|| Some(present?["status"].clone())).unwrap_or(Value::Null);
    if present.is_some_and(|present| present["spec"] == spec && present["status"] == status) {
        return state.rev;
    }
    let rev = state.rev + 1;
    let created = present.map_or(json!(rev), |present| present["metadata"]["created"].clone());
    let metadata = json!({
        "name": name, "rev": rev, "created": created, "finalizers": [], "deleting": false
    });
    let object = json!({ "metadata": metadata, "spec": spec, "status": status });
    state.rev = rev;
    state.objects.insert(key, object.clone());
    let event = json!({ "removed": false, "object": object });
    state.history.push_back(Change { at: Instant::now(), rev, kind: kind.to_owned(), event });
    rev
}

fn delete(state: &mut State, kind: &str, name: &str) {
    let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else { return };
    state.rev += 1;
    let event = json!({ "removed": true, "object": object });
    let (rev, kind) = (state.rev, kind.to_owned());
    state.history.push_back(Change { at: Instant::now(), rev, kind, event });
}

//! Stand-in of the platform's store: objects by kind and name, one revision counter, lists, watches and a
//! history of `history_s`.

use crate::http;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

struct Change {
    rev: u64,
    kind: String,
    object: Value,
    removed: bool,
    at: Instant,
}

#[derive(Default)]
struct State {
    rev: u64,
    objects: BTreeMap<(String, String), Value>,
    history: Vec<Change>,
    /// Revision of the last change that is no longer in the history.
    floor: u64,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    history: Duration,
}

impl Store {
    pub fn start(address: &str, history: Duration) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            state: Mutex::new(State { rev: 1, ..State::default() }),
            changed: Condvar::new(),
            history,
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        Ok(store)
    }

    /// Creates or replaces an object; returns the revision and the time of the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: Value) -> (u64, Instant) {
        let mut state = self.state.lock().unwrap();
        let status = state.status(kind, name);
        state.replace(kind, name, spec, status);
        self.changed.notify_all();
        (state.rev, Instant::now())
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) -> (u64, Instant) {
        let mut state = self.state.lock().unwrap();
        state.remove(kind, name);
        self.changed.notify_all();
        (state.rev, Instant::now())
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head)?;
            let (status, answer) = self.answer(&head, &body);
            let start = format!("HTTP/1.1 {status} -");
            let kind = [("Content-Type", "application/json".to_owned())];
            http::write(&mut writer, &start, &kind, answer.to_string().as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, head: &http::Head, body: &[u8]) -> (u16, Value) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let Some(path) = path.strip_prefix("/api/objects/") else { return (404, Value::Null) };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        match (head.word(0), name) {
            ("GET", "") => match query.get("watch").and_then(|after| after.parse().ok()) {
                Some(after) => {
                    let wait = query.get("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                    self.watch(kind, after, Duration::from_millis(wait))
                }
                None => self.state.lock().unwrap().list(kind, query.get("after").unwrap_or(&"")),
            },
            ("GET", name) => {
                let state = self.state.lock().unwrap();
                let found = state.objects.get(&(kind.to_owned(), name.to_owned()));
                found.map_or((404, Value::Null), |object| (200, object.clone()))
            }
            (method, name) => {
                let answer = self.state.lock().unwrap().write(method, kind, name, body, &query);
                self.changed.notify_all();
                answer
            }
        }
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, Value) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            state.forget(self.history);
            if after < state.floor {
                return (410, Value::Null);
            }
            let events: Vec<Value> = state
                .history
                .iter()
                .filter(|change| change.kind == kind && change.rev > after)
                .map(|change| json!({ "object": change.object, "removed": change.removed }))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({ "events": events, "as_of": state.rev }));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn status(&self, kind: &str, name: &str) -> Value {
        let found = self.objects.get(&(kind.to_owned(), name.to_owned()));
        found.map_or(Value::Null, |object| object["status"].clone())
    }

    fn forget(&mut self, history: Duration) {
        while let Some(first) = self.history.first()
            && first.at.elapsed() > history
        {
            self.floor = self.history.remove(0).rev;
        }
    }

    fn record(&mut self, kind: &str, object: Value, removed: bool) {
        let (rev, kind) = (self.rev, kind.to_owned());
        self.history.push(Change { rev, kind, object, removed, at: Instant::now() });
    }

    fn replace(&mut self, kind: &str, name: &str, spec: Value, status: Value) {
        let key = (kind.to_owned(), name.to_owned());
        let present = self.objects.get(&key);
        // A write that changes nothing has no revision and no event.
        if present.is_some_and(|object| object["spec"] == spec && object["status"] == status) {
            return;
        }
        self.rev += 1;
        let created =
            present.map_or(json!(self.rev), |object| object["metadata"]["created"].clone());
        let metadata = json!({
            "name": name, "rev": self.rev, "created": created, "finalizers": [], "deleting": false
        });
        let object = json!({ "metadata": metadata, "spec": spec, "status": status });
        self.objects.insert(key, object.clone());
        self.record(kind, object, false);
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else { return };
        self.rev += 1;
        self.record(kind, object, true);
    }

    fn list(&self, kind: &str, after: &str) -> (u16, Value) {
        let of_kind = self.objects.iter().filter(|((object_kind, _), _)| object_kind == kind);
        let items: Vec<&Value> = of_kind
            .filter(|((_, name), _)| name.as_str() > after)
            .map(|(_, object)| object)
            .collect();
        (200, json!({ "items": items, "more_pages": false, "as_of": self.rev }))
    }

    fn write(
        &mut self,
        method: &str,
        kind: &str,
        name: &str,
        body: &[u8],
        query: &BTreeMap<&str, &str>,
    ) -> (u16, Value) {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let (name, is_status) = match name.strip_suffix("/status") {
            Some(name) => (name, true),
            None => (name, false),
        };
        let name = match name {
            "" => body["metadata"]["name"].as_str().unwrap_or_default().to_owned(),
            name => name.to_owned(),
        };
        let key = (kind.to_owned(), name.clone());
        let present = self.objects.get(&key).cloned();
        let expected = body["metadata"]["rev"]
            .as_u64()
            .or_else(|| query.get("rev").and_then(|rev| rev.parse().ok()));
        let is_conflict = |object: &Value| {
            expected.is_some_and(|rev| object["metadata"]["rev"].as_u64() != Some(rev))
        };
        match (method, present) {
            ("POST", Some(object)) => return (409, object),
            ("POST", None) => self.replace(kind, &name, body["spec"].clone(), Value::Null),
            (_, None) => return (404, Value::Null),
            (_, Some(object)) if is_conflict(&object) => return (409, object),
            ("PUT", Some(object)) if is_status => {
                self.replace(kind, &name, object["spec"].clone(), body["status"].clone());
            }
            ("PUT", Some(object)) => {
                self.replace(kind, &name, body["spec"].clone(), object["status"].clone());
            }
            ("DELETE", Some(object)) => {
                self.remove(kind, &name);
                return (200, object);
            }
            _ => return (405, Value::Null),
        }
        (200, self.objects[&key].clone())
    }
}

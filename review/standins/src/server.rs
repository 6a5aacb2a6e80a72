//! Stand-in of a backend server: slots and a queue, `X-Expect-Instance`, health, load and a stamp.

use crate::http;
use std::collections::HashMap;
use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What a server did with a request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub request_id: String,
    pub at: Instant,
    /// `run`, `421` or `503`.
    pub verdict: &'static str,
    /// When its whole answer was written.
    pub answered: Option<Instant>,
}

/// What the servers of a run are like.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    pub answer_bytes: usize,
}

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    kind: Kind,
    busy: Mutex<usize>,
    freed: Condvar,
    waiting: AtomicUsize,
    has_ended: AtomicBool,
    next_connection: AtomicU64,
    connections: Mutex<HashMap<u64, TcpStream>>,
    pub arrivals: Mutex<Vec<Arrival>>,
}

impl Server {
    pub fn start(id: &str, address: &str, zone: &str, kind: Kind) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let server = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            zone: zone.to_owned(),
            kind,
            busy: Mutex::new(0),
            freed: Condvar::new(),
            waiting: AtomicUsize::new(0),
            has_ended: AtomicBool::new(false),
            next_connection: AtomicU64::new(0),
            connections: Mutex::new(HashMap::new()),
            arrivals: Mutex::new(Vec::new()),
        });
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if serving.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let server = serving.clone();
                thread::spawn(move || server.hold(stream));
            }
        });
        Ok(server)
    }

    pub fn slots(&self) -> usize {
        self.kind.slots
    }

    /// Whether a request runs now.
    pub fn is_working(&self) -> bool {
        *self.busy.lock().unwrap() > 0
    }

    /// Ends the server: no new connections, and the open ones close at once.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which drops the listener.
        let _ = TcpStream::connect(self.address);
        for stream in self.connections.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn hold(&self, stream: TcpStream) {
        let number = self.next_connection.fetch_add(1, Ordering::SeqCst);
        if let Ok(clone) = stream.try_clone() {
            self.connections.lock().unwrap().insert(number, clone);
        }
        if !self.has_ended.load(Ordering::SeqCst) {
            let _ = self.serve(&stream);
        }
        let _ = stream.shutdown(Shutdown::Both);
        self.connections.lock().unwrap().remove(&number);
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream.try_clone()?;
        loop {
            // Idle connections are closed after the time that `Keep-Alive` gives.
            stream.set_read_timeout(Some(Duration::from_secs(10)))?;
            let Some(head) = http::read_head(&mut reader)? else { return Ok(()) };
            http::read_body(&mut reader, &head)?;
            if self.has_ended.load(Ordering::SeqCst) {
                return Ok(());
            }
            if head.word(0) == "GET" && head.word(1) == "/health" {
                let headers = [("X-Instance-Id", self.id.clone()), ("X-Server-Load", self.load())];
                http::write(&mut writer, "HTTP/1.1 200 OK", &headers, b"")?;
                continue;
            }
            self.answer(&head, &mut writer)?;
        }
    }

    fn load(&self) -> String {
        let running = *self.busy.lock().unwrap();
        format!("{running},{},{}", self.waiting.load(Ordering::SeqCst), self.kind.slots)
    }

    fn answer(&self, head: &http::Head, writer: &mut TcpStream) -> io::Result<()> {
        let request_id = head.get("X-Request-Id").unwrap_or_default().to_owned();
        let mut headers = vec![
            ("X-Request-Id", request_id.clone()),
            ("X-Server-Load", self.load()),
            ("Keep-Alive", "timeout=10".to_owned()),
        ];
        if head.get("X-Expect-Instance").is_some_and(|id| id != self.id) {
            self.record(&request_id, "421");
            headers.push(("X-Instance-Id", self.id.clone()));
            return http::write(writer, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        if !self.take_slot() {
            self.record(&request_id, "503");
            headers.push(("X-Not-Executed", "1".to_owned()));
            return http::write(writer, "HTTP/1.1 503 Service Unavailable", &headers, b"");
        }
        let number = self.record(&request_id, "run");
        thread::sleep(self.kind.work);
        *self.busy.lock().unwrap() -= 1;
        self.freed.notify_one();
        if self.has_ended.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        headers.push(("X-Server-Stamp", format!("{}.{request_id}", self.id)));
        headers.push(("Content-Type", "application/octet-stream".to_owned()));
        let body = body_of(&request_id, self.kind.answer_bytes);
        http::write(writer, "HTTP/1.1 200 OK", &headers, &body)?;
        self.arrivals.lock().unwrap()[number].answered = Some(Instant::now());
        Ok(())
    }

    fn take_slot(&self) -> bool {
        let mut busy = self.busy.lock().unwrap();
        if *busy >= self.kind.slots {
            if self.waiting.load(Ordering::SeqCst) >= self.kind.queue {
                return false;
            }
            self.waiting.fetch_add(1, Ordering::SeqCst);
            while *busy >= self.kind.slots {
                busy = self.freed.wait(busy).unwrap();
            }
            self.waiting.fetch_sub(1, Ordering::SeqCst);
        }
        *busy += 1;
        true
    }

    fn record(&self, request_id: &str, verdict: &'static str) -> usize {
        let mut arrivals = self.arrivals.lock().unwrap();
        let arrival = Arrival {
            request_id: request_id.to_owned(),
            at: Instant::now(),
            verdict,
            answered: None,
        };
        arrivals.push(arrival);
        arrivals.len() - 1
    }
}

/// The body of the answer to a request: its identity again and again.
pub fn body_of(request_id: &str, bytes: usize) -> Vec<u8> {
    request_id.bytes().chain(*b"\n").cycle().take(bytes).collect()
}

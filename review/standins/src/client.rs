//! Stand-in of a caller: one request on a new connection.

use crate::http;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub request_id: &'a str,
    pub deadline: Duration,
    pub body: &'a [u8],
}

/// What a caller got.
#[derive(Clone, Debug)]
pub enum Answer {
    Whole {
        status: u16,
        body: Vec<u8>,
    },
    /// The head and a part of the body arrived.
    Cut {
        status: u16,
        why: String,
    },
    /// The connection ended without an answer, or there was none in time.
    Nothing(String),
    /// There was no connection.
    NotConnected(String),
}

impl Answer {
    pub fn name(&self) -> String {
        match self {
            Self::Whole { status, .. } => status.to_string(),
            Self::Cut { status, why } => format!("{status} cut short ({why})"),
            Self::Nothing(why) => format!("no answer ({why})"),
            Self::NotConnected(why) => format!("no connection ({why})"),
        }
    }
}

/// Sends a request on a new connection and waits for the answer until its deadline.
pub fn call(address: SocketAddr, call: &Call<'_>) -> Answer {
    match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        Ok(stream) => call_over(&stream, call),
        Err(error) => Answer::NotConnected(error.to_string()),
    }
}

/// As [`call`], on a connection.
pub fn call_over(stream: &TcpStream, call: &Call<'_>) -> Answer {
    let nothing = |error: io::Error| Answer::Nothing(error.to_string());
    let mut writer = match stream.try_clone() {
        Ok(writer) => writer,
        Err(error) => return nothing(error),
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(call.deadline + Duration::from_millis(500)));
    let start = format!("{} {} HTTP/1.1", call.method, call.path);
    let headers = [
        ("Host", call.host.to_owned()),
        ("X-Request-Id", call.request_id.to_owned()),
        ("X-Deadline-Ms", call.deadline.as_millis().to_string()),
    ];
    if let Err(error) = http::write(&mut writer, &start, &headers, call.body) {
        return nothing(error);
    }
    let mut reader = BufReader::new(stream);
    let head = match http::read_head(&mut reader) {
        Ok(Some(head)) => head,
        Ok(None) => return Answer::Nothing("connection closed".to_owned()),
        Err(error) => return nothing(error),
    };
    let status = head.status();
    match http::read_body(&mut reader, &head) {
        Ok(body) => Answer::Whole { status, body },
        Err(error) => Answer::Cut { status, why: error.to_string() },
    }
}

/// Status and body of a GET request; `None` without a whole answer.
pub fn get(address: SocketAddr, path: &str) -> Option<(u16, Vec<u8>)> {
    let get = Call {
        method: "GET",
        host: "instance",
        path,
        request_id: "0",
        deadline: Duration::from_millis(800),
        body: b"",
    };
    match call(address, &get) {
        Answer::Whole { status, body, .. } => Some((status, body)),
        _ => None,
    }
}

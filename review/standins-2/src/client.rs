//! A client: sends requests and reads their answers.

use crate::http::{Head, read_head};
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What a client has received for a request.
#[derive(Debug)]
pub enum Ending {
    /// A complete answer.
    Answer(Head, usize),
    /// An answer that was cut short, after this many bytes of its body.
    Cut(Head, usize),
    /// No answer; the connection ended, or nothing came in time.
    None(io::Error),
}

impl Ending {
    /// The ending in a few words.
    pub fn text(&self) -> String {
        match self {
            Self::Answer(head, bytes) => format!("{} whole, {bytes} bytes", head.status()),
            Self::Cut(head, bytes) => format!("{} cut after {bytes} bytes", head.status()),
            Self::None(error) => format!("no answer: {error}"),
        }
    }

    /// Status of a complete answer, else 0.
    pub fn status(&self) -> u16 {
        match self {
            Self::Answer(head, _) => head.status(),
            _ => 0,
        }
    }
}

/// A connection of a client.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection; a new one gets a second to come up.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        Self::over(TcpStream::connect_timeout(&address, Duration::from_secs(1))?)
    }

    /// Uses an open connection.
    pub fn over(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::with_capacity(4096, stream) })
    }

    /// Sends a request.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.reader.get_mut().write_all(text.as_bytes())
    }

    /// Reads the answer; `pace` is called with the number of bytes that each read took.
    pub fn read(&mut self, timeout: Duration, mut pace: impl FnMut(usize)) -> Ending {
        let _ = self.reader.get_ref().set_read_timeout(Some(timeout));
        let head = match read_head(&mut self.reader) {
            Ok(Some(head)) => head,
            Ok(None) => return Ending::None(io::ErrorKind::UnexpectedEof.into()),
            Err(error) => return Ending::None(error),
        };
        let length: usize =
            head.field("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        let mut read = 0;
        let mut piece = [0; 4096];
        while read < length {
            let room = piece.len().min(length - read);
            match self.reader.read(&mut piece[..room]) {
                Ok(0) | Err(_) => return Ending::Cut(head, read),
                Ok(count) => {
                    read += count;
                    pace(count);
                }
            }
        }
        Ending::Answer(head, read)
    }
}

/// Text of a request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: usize) -> String {
    let length =
        if method == "GET" { String::new() } else { format!("Content-Length: {body}\r\n") };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n{length}\r\n{}",
        "u".repeat(body)
    )
}

//! A minimal blocking HTTP/1.1: heads, bodies with a length or in chunks.

use std::io::{self, BufRead, Write};

/// The head of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Word `index` of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    if reader.read_until(b'\n', &mut bytes)? == 0 {
        return Ok(None);
    }
    if bytes.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(String::from_utf8_lossy(&bytes).trim_end().to_owned()))
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let Some(start) = line(reader)? else { return Ok(None) };
    let mut head = Head { start, headers: Vec::new() };
    loop {
        let text = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if text.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = text.split_once(':') {
            head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length or in chunks; an incomplete one is an error.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if head.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        let mut body = Vec::new();
        loop {
            let size = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            body.extend_from_slice(&chunk);
            line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let length = head.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0usize);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Writes a message with a body of known length.
pub fn write(
    stream: &mut impl Write,
    start: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("{start}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    stream.flush()
}

//! HTTP/1.1 as the stand-ins speak it: heads, and bodies with a length or in chunks.

use std::io::{self, BufRead};

/// A request or response head.
#[derive(Debug, Default)]
pub struct Head {
    /// The request line or status line.
    pub start: String,
    /// Names in lower case, with their values.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// The value of the first field with this name.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The status of a response, 0 if it is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(stream: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return match head.start.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if head.start.is_empty() {
            head.start = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.fields.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that a head announces.
pub fn read_body(stream: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if head.field("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            stream.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
            let start = body.len();
            body.resize(start + size, 0);
            stream.read_exact(&mut body[start..])?;
            let mut end = String::new();
            stream.read_line(&mut end)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let length = head.field("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(body)
}

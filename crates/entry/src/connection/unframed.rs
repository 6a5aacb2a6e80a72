//! Bodies that end with their connection: whether they hold the framing that their head does not state.

use super::response::{ResponseError, resembles_framing};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// Longest part of a body that is searched for fields of the head, or line of a chunk that is read.
const MAX_LINES_BYTES: usize = 8 * 1024;

/// Looks through a body without a stated length as it arrives.
#[derive(Debug, Default)]
pub(crate) struct UnframedBody {
    fields: FieldSearch,
    chunks: ChunkSearch,
}

impl UnframedBody {
    /// Looks through the next bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body begins with fields that state its framing.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), ResponseError> {
        self.chunks.push(bytes);
        self.fields.push(bytes)
    }

    /// Ends the body with the connection.
    ///
    /// # Errors
    ///
    /// Fails if all of it is chunks, complete or cut short.
    pub(crate) fn end(&self) -> Result<(), ResponseError> {
        match self.chunks.has_only_chunks() {
            true => Err(ResponseError::UndeclaredChunks),
            false => Ok(()),
        }
    }
}

/// Searches the beginning of a body for fields, as an empty line in a head makes the rest of it a part of the body.
#[derive(Debug, Default)]
struct FieldSearch {
    /// What has arrived; no longer used once the search is over.
    begin: Vec<u8>,
    is_over: bool,
}

impl FieldSearch {
    fn push(&mut self, bytes: &[u8]) -> Result<(), ResponseError> {
        if self.is_over {
            return Ok(());
        }
        let room = MAX_LINES_BYTES - self.begin.len();
        self.begin.extend_from_slice(&bytes[..bytes.len().min(room)]);
        let begin = String::from_utf8_lossy(&self.begin);
        let is_empty = |line: &&str| line.trim_ascii().is_empty();
        let complete = begin.split_inclusive('\n').filter(|line| line.ends_with('\n'));
        let lines = complete.skip_while(is_empty);
        let ends = lines.clone().any(|line| is_empty(&line));
        let states_framing = ends && lines.take_while(|line| !is_empty(line)).any(states_framing);
        if ends || self.begin.len() == MAX_LINES_BYTES {
            *self = Self { begin: Vec::new(), is_over: true };
        }
        match states_framing {
            true => Err(ResponseError::HeadInBody),
            false => Ok(()),
        }
    }
}

/// Returns whether a line is a field that states the framing of a body, or was one before it was spoilt.
fn states_framing(line: &str) -> bool {
    match line.split_once(':') {
        Some((name, _)) => resembles_framing(name.trim_ascii()),
        None => [CONTENT_LENGTH, TRANSFER_ENCODING]
            .iter()
            .any(|framing| line.get(..framing.as_str().len()).is_some_and(resembles_framing)),
    }
}

/// Follows the chunks of a body for as long as it consists of them.
#[derive(Debug, Default)]
struct ChunkSearch {
    state: ChunkState,
    /// Bytes of a line that is not complete yet.
    line: Vec<u8>,
    /// Whether there was a complete chunk.
    has_chunk: bool,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum ChunkState {
    /// In the line with the size of a chunk.
    #[default]
    Size,
    /// In a chunk of which this many bytes are left, its line end included.
    Data(u64),
    /// In the line after the last chunk, or in a trailer.
    Trailer,
    /// After the end.
    Complete,
    /// The body is not chunked.
    NotChunked,
}

/// Length of the line end after a chunk.
const LINE_END_BYTES: u64 = 2;

impl ChunkSearch {
    fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.state != ChunkState::NotChunked {
            bytes = match self.state {
                ChunkState::Data(left) => self.skip_data(left, bytes),
                ChunkState::Size | ChunkState::Trailer => self.read_line(bytes),
                ChunkState::Complete | ChunkState::NotChunked => {
                    self.state = ChunkState::NotChunked;
                    return;
                }
            };
        }
    }

    /// Skips bytes of a chunk; returns those after it.
    fn skip_data<'a>(&mut self, left: u64, bytes: &'a [u8]) -> &'a [u8] {
        let count = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
        let (skipped, rest) = bytes.split_at(count);
        let left_after = left - count as u64;
        // The bytes of the line end among those that were skipped.
        let mut in_line_end = skipped.iter().rev().zip(left_after + 1..=LINE_END_BYTES);
        let is_chunk = in_line_end.all(|(byte, from_end)| match from_end {
            1 => *byte == b'\n',
            _ => *byte == b'\r',
        });
        self.has_chunk |= is_chunk && left_after == 0;
        self.state = match (is_chunk, left_after) {
            (false, _) => ChunkState::NotChunked,
            (true, 0) => ChunkState::Size,
            (true, left) => ChunkState::Data(left),
        };
        rest
    }

    /// Reads up to the end of a line; returns the bytes after it.
    fn read_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|byte| *byte == b'\n').map_or(bytes.len(), |end| end + 1);
        let (part, rest) = bytes.split_at(end);
        self.line.extend_from_slice(part);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            self.state = self.state_after(&line);
        } else if self.line.len() > MAX_LINES_BYTES {
            self.line = Vec::new();
            self.state = ChunkState::NotChunked;
        }
        rest
    }

    /// The state after a line with its end.
    fn state_after(&self, line: &[u8]) -> ChunkState {
        if self.state == ChunkState::Trailer {
            return if line == b"\r\n" { ChunkState::Complete } else { ChunkState::Trailer };
        }
        match httparse::parse_chunk_size(line) {
            Ok(httparse::Status::Complete((_, 0))) => ChunkState::Trailer,
            Ok(httparse::Status::Complete((_, size))) => {
                ChunkState::Data(size.saturating_add(LINE_END_BYTES))
            }
            Ok(httparse::Status::Partial) | Err(_) => ChunkState::NotChunked,
        }
    }

    fn has_only_chunks(&self) -> bool {
        match self.state {
            ChunkState::Complete => true,
            ChunkState::NotChunked => false,
            ChunkState::Size | ChunkState::Data(_) | ChunkState::Trailer => self.has_chunk,
        }
    }
}

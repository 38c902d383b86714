//! Bodies of HTTP/1.1 messages, decoded piece by piece.

use thiserror::Error;

use super::head::Framing;

/// Longest line with a chunk size or a trailer field.
const MAX_LINE_BYTES: usize = 1024;

/// The chunked coding is broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the chunked coding is malformed")]
pub struct ChunkError;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
    Done,
}

/// Decodes one body.
#[derive(Debug)]
pub enum BodyDecoder {
    /// So many bytes are still to come.
    Length(u64),
    /// Chunked transfer coding.
    Chunked(ChunkDecoder),
    /// The body ends with the connection.
    UntilClose,
}

/// Decodes the chunked transfer coding; extensions and trailers are dropped.
#[derive(Debug)]
pub struct ChunkDecoder {
    state: ChunkState,
    line: Vec<u8>,
}

impl BodyDecoder {
    /// A decoder for a body with this framing.
    pub fn new(framing: Framing) -> Self {
        match framing {
            Framing::Length(bytes) => Self::Length(bytes),
            Framing::Chunked => Self::Chunked(ChunkDecoder {
                state: ChunkState::Size,
                line: Vec::new(),
            }),
            Framing::UntilClose => Self::UntilClose,
        }
    }

    /// Appends the content in `input` to `out` and returns the bytes consumed.
    ///
    /// Fewer than all bytes are consumed only if the body ends within `input`.
    pub fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, ChunkError> {
        match self {
            Self::Length(left) => {
                let take = usize::try_from(*left)
                    .unwrap_or(usize::MAX)
                    .min(input.len());
                out.extend_from_slice(&input[..take]);
                *left -= take as u64;
                Ok(take)
            }
            Self::Chunked(decoder) => decoder.decode(input, out),
            Self::UntilClose => {
                out.extend_from_slice(input);
                Ok(input.len())
            }
        }
    }

    /// Whether the whole body has been decoded.
    pub fn is_done(&self) -> bool {
        match self {
            Self::Length(left) => *left == 0,
            Self::Chunked(decoder) => decoder.state == ChunkState::Done,
            Self::UntilClose => false,
        }
    }
}

impl ChunkDecoder {
    fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, ChunkError> {
        let mut at = 0;
        while at < input.len() && self.state != ChunkState::Done {
            if let ChunkState::Data(left) = self.state {
                let rest = input.len() - at;
                let take = usize::try_from(left).unwrap_or(usize::MAX).min(rest);
                out.extend_from_slice(&input[at..at + take]);
                at += take;
                self.state = match left - take as u64 {
                    0 => ChunkState::DataEnd,
                    left => ChunkState::Data(left),
                };
                continue;
            }
            let byte = input[at];
            at += 1;
            if byte != b'\n' {
                self.line.push(byte);
                if self.line.len() > MAX_LINE_BYTES {
                    return Err(ChunkError);
                }
                continue;
            }
            if self.line.pop() != Some(b'\r') || self.line.contains(&b'\r') {
                return Err(ChunkError);
            }
            self.finish_line()?;
        }
        Ok(at)
    }

    fn finish_line(&mut self) -> Result<(), ChunkError> {
        let line = std::mem::take(&mut self.line);
        self.state = match self.state {
            ChunkState::Size => match chunk_size(&line)? {
                0 => ChunkState::Trailer,
                size => ChunkState::Data(size),
            },
            ChunkState::DataEnd if line.is_empty() => ChunkState::Size,
            ChunkState::Trailer if line.is_empty() => ChunkState::Done,
            ChunkState::Trailer => ChunkState::Trailer,
            _ => return Err(ChunkError),
        };
        Ok(())
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, ChunkError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).map_err(|_| ChunkError)?;
    if !is_hex {
        return Err(ChunkError);
    }
    u64::from_str_radix(text, 16).map_err(|_| ChunkError)
}

/// Appends `content` as one chunk.
pub fn write_chunk(content: &[u8], out: &mut Vec<u8>) {
    if content.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", content.len()).as_bytes());
    out.extend_from_slice(content);
    out.extend_from_slice(b"\r\n");
}

/// Ends a chunked body.
pub fn write_last_chunk(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}

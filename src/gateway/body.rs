//! Incremental decoding of HTTP/1.1 message bodies.

use thiserror::Error;

use super::head::Framing;

/// Maximum length of a chunk-size line or trailer line.
const MAX_LINE_BYTES: usize = 1024;

/// Maximum length of all trailer lines, which are dropped.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// Error in the chunked transfer coding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("chunked transfer coding is malformed")]
pub struct ChunkError;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
    Done,
}

/// Decoder of one message body.
#[derive(Debug)]
pub enum BodyDecoder {
    /// Body of known length, with the number of bytes that are missing.
    Length(u64),
    /// Chunked transfer coding.
    Chunked(ChunkDecoder),
    /// Body that ends when the connection is closed.
    UntilClose,
}

/// Decoder of the chunked transfer coding; drops extensions and trailers.
#[derive(Debug)]
pub struct ChunkDecoder {
    state: ChunkState,
    line: Vec<u8>,
    trailer_bytes: usize,
}

impl BodyDecoder {
    /// Returns a decoder for a body with this framing.
    pub fn new(framing: Framing) -> Self {
        match framing {
            Framing::Length(bytes) => Self::Length(bytes),
            Framing::Chunked => Self::Chunked(ChunkDecoder {
                state: ChunkState::Size,
                line: Vec::new(),
                trailer_bytes: 0,
            }),
            Framing::UntilClose => Self::UntilClose,
        }
    }

    /// Appends decoded content of `input` to `out` and returns the number of
    /// bytes consumed.
    ///
    /// Bytes are left over only if the body ends within `input`.
    ///
    /// # Errors
    ///
    /// Fails if the chunked coding is malformed.
    pub fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, ChunkError> {
        match self {
            Self::Length(remaining) => {
                let take = usize::try_from(*remaining)
                    .unwrap_or(usize::MAX)
                    .min(input.len());
                out.extend_from_slice(&input[..take]);
                *remaining -= take as u64;
                Ok(take)
            }
            Self::Chunked(decoder) => decoder.decode(input, out),
            Self::UntilClose => {
                out.extend_from_slice(input);
                Ok(input.len())
            }
        }
    }

    /// Returns whether the body has been decoded completely.
    pub fn is_done(&self) -> bool {
        match self {
            Self::Length(remaining) => *remaining == 0,
            Self::Chunked(decoder) => decoder.state == ChunkState::Done,
            Self::UntilClose => false,
        }
    }
}

impl ChunkDecoder {
    fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, ChunkError> {
        let mut at = 0;
        while at < input.len() && self.state != ChunkState::Done {
            if let ChunkState::Data(remaining) = self.state {
                let rest = input.len() - at;
                let take = usize::try_from(remaining).unwrap_or(usize::MAX).min(rest);
                out.extend_from_slice(&input[at..at + take]);
                at += take;
                self.state = match remaining - take as u64 {
                    0 => ChunkState::DataEnd,
                    remaining => ChunkState::Data(remaining),
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
            ChunkState::Trailer => {
                self.trailer_bytes += line.len();
                if self.trailer_bytes > MAX_TRAILER_BYTES {
                    return Err(ChunkError);
                }
                ChunkState::Trailer
            }
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

/// Appends `content` to `out` as one chunk; does nothing if it is empty.
pub fn write_chunk(content: &[u8], out: &mut Vec<u8>) {
    if content.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", content.len()).as_bytes());
    out.extend_from_slice(content);
    out.extend_from_slice(b"\r\n");
}

/// Appends the last chunk, which ends a chunked body.
pub fn write_last_chunk(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}

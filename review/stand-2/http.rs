//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    time::Duration,
};

/// A connection with the bytes that were read and not yet used.
pub struct Wire {
    pub stream: TcpStream,
    input: Vec<u8>,
}

/// Head of a message, with its fields in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// How a body ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// With its last byte by its framing, or with an orderly close if it has none.
    Complete,
    /// With the connection, before its last byte, or with an error.
    Cut(String),
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            input: Vec::new(),
        }
    }

    /// Reads more; false at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0_u8; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        self.input.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }

    /// Reads a head; none if the stream ends before it begins.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.input, b"\r\n\r\n") {
                let bytes: Vec<u8> = self.input.drain(..end + 4).collect();
                return Ok(Some(parse(&String::from_utf8_lossy(&bytes))));
            }
            if !self.fill()? {
                return match self.input.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads a body; `pause` is called after each piece.
    pub fn read_body<F>(&mut self, head: &Head, is_answer: bool, mut pause: F) -> (Vec<u8>, End)
    where
        F: FnMut(usize),
    {
        let mut body = Vec::new();
        if let Some(length) = head.field("content-length").and_then(|t| t.parse().ok()) {
            let length: usize = length;
            loop {
                let take = (length - body.len()).min(self.input.len());
                body.extend(self.input.drain(..take));
                if body.len() == length {
                    return (body, End::Complete);
                }
                pause(body.len());
                match self.fill() {
                    Ok(true) => {}
                    Ok(false) => return (body, End::Cut("closed".into())),
                    Err(error) => return (body, End::Cut(error.kind().to_string())),
                }
            }
        }
        if head.field("transfer-encoding") == Some("chunked") {
            loop {
                let line = loop {
                    if let Some(end) = find(&self.input, b"\r\n") {
                        let line: Vec<u8> = self.input.drain(..end + 2).collect();
                        break String::from_utf8_lossy(&line[..end]).into_owned();
                    }
                    match self.fill() {
                        Ok(true) => {}
                        Ok(false) => return (body, End::Cut("closed".into())),
                        Err(error) => return (body, End::Cut(error.kind().to_string())),
                    }
                };
                let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
                let mut left = size + 2;
                while left > 0 {
                    let take = left.min(self.input.len());
                    body.extend(self.input.drain(..take));
                    left -= take;
                    if left == 0 {
                        break;
                    }
                    pause(body.len());
                    match self.fill() {
                        Ok(true) => {}
                        Ok(false) => return (body, End::Cut("closed".into())),
                        Err(error) => return (body, End::Cut(error.kind().to_string())),
                    }
                }
                body.truncate(body.len() - 2);
                if size == 0 {
                    return (body, End::Complete);
                }
            }
        }
        if !is_answer || matches!(head.status(), 204 | 304) {
            return (body, End::Complete);
        }
        loop {
            body.append(&mut self.input);
            pause(body.len());
            match self.fill() {
                Ok(true) => {}
                Ok(false) => return (body, End::Complete),
                Err(error) => return (body, End::Cut(error.kind().to_string())),
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn set_limit(&self, limit: Duration) {
        let _ = self.stream.set_read_timeout(Some(limit));
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|part| part == what)
}

fn parse(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or("").to_owned();
    let fields = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.to_ascii_lowercase(), value.trim().to_owned()))
    });
    Head {
        line,
        fields: fields.collect(),
    }
}

//! Requests of callers.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::gateway::{
    body::BodyDecoder,
    head::{
        Framing,
        parse_response, //
    }, //
};
use socket2::{
    Domain,
    Socket,
    Type, //
};

/// Host of all routes.
pub const SITE_HOST: &str = "shop.example";
/// Segment size of an Ethernet path.
const SEGMENT_BYTES: u32 = 1_448;
/// Receive buffer of a caller on a slow link.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Interval at which such a caller reads.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct Call {
    method: &'static str,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// What a caller got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// Status; none if the channel ended before the head.
    pub status: Option<u16>,
    /// Head as text.
    pub head: String,
    /// Bytes of the body.
    pub body: Vec<u8>,
    /// The end of the body has arrived.
    pub is_complete: bool,
    /// Time from the last byte of the request to the end of the answer or channel.
    pub took: Duration,
    /// The caller stopped waiting.
    pub is_timed_out: bool,
}

impl Call {
    /// Returns a GET request.
    pub fn get(path: &str) -> Self {
        Self {
            method: "GET",
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Returns a POST request.
    pub fn post(path: &str, body: &[u8]) -> Self {
        Self {
            method: "POST",
            body: body.to_vec(),
            ..Self::get(path)
        }
    }

    /// Sets the id of the client attempt and its time limit.
    pub fn with_attempt(self, id: &str, limit_ms: u64) -> Self {
        self.with_header("X-Attempt-Id", id)
            .with_header("X-Deadline-Ms", &limit_ms.to_string())
    }

    /// Adds a header field.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Returns the request as it is sent.
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {SITE_HOST}\r\n",
            self.method, self.path
        );
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method == "POST" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends the request on a new channel and reads the answer.
    pub fn send(&self, address: SocketAddr, limit: Duration) -> Answer {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
            return Answer::default();
        };
        match stream.write_all(&self.bytes()) {
            Ok(()) => read_answer(&mut stream, limit, None),
            Err(_) => Answer::default(),
        }
    }

    /// Sends the request over a link on which the answer arrives at this rate.
    pub fn send_slowly(&self, address: SocketAddr, bytes_per_s: usize, limit: Duration) -> Answer {
        let open = || -> std::io::Result<TcpStream> {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
            socket.set_tcp_mss(SEGMENT_BYTES)?;
            socket.connect(&address.into())?;
            Ok(socket.into())
        };
        let Ok(mut stream) = open() else {
            return Answer::default();
        };
        match stream.write_all(&self.bytes()) {
            Ok(()) => read_answer(&mut stream, limit, Some(bytes_per_s)),
            Err(_) => Answer::default(),
        }
    }
}

/// Reads one answer; `bytes_per_s` limits the rate at which it's read.
pub fn read_answer(stream: &mut TcpStream, limit: Duration, bytes_per_s: Option<usize>) -> Answer {
    let started = Instant::now();
    let deadline = started + limit;
    let piece = bytes_per_s.map_or(64 * 1024, |rate| {
        (rate as f64 * READ_INTERVAL.as_secs_f64()) as usize
    });
    let mut buffer = vec![0; piece];
    let mut input = Vec::new();
    let mut answer = Answer::default();
    let mut decoder: Option<(BodyDecoder, Framing)> = None;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            answer.is_timed_out = true;
            break;
        }
        stream.set_read_timeout(Some(left)).expect("a time limit");
        let count = match stream.read(&mut buffer) {
            Ok(0) => {
                answer.is_complete = matches!(decoder, Some((_, Framing::UntilClose)));
                break;
            }
            Ok(count) => count,
            Err(error) => {
                answer.is_timed_out = matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                );
                break;
            }
        };
        input.extend_from_slice(&buffer[..count]);
        if decoder.is_none() {
            match parse_response(&input, false) {
                Ok(Some((head, length))) => {
                    answer.status = Some(head.status);
                    answer.head = String::from_utf8_lossy(&input[..length]).into_owned();
                    input.drain(..length);
                    decoder = Some((BodyDecoder::new(head.framing), head.framing));
                }
                Ok(None) => {}
                Err(_) => break,
            }
        }
        if let Some((decoder, _)) = &mut decoder {
            let Ok(used) = decoder.decode(&input, &mut answer.body) else {
                break;
            };
            input.drain(..used);
            if decoder.is_done() {
                answer.is_complete = true;
                break;
            }
        }
        if bytes_per_s.is_some() {
            thread::sleep(READ_INTERVAL);
        }
    }
    answer.took = started.elapsed();
    answer
}

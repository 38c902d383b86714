//! A server that works for a fixed time on each request, and drops one whose channel closes.

use std::{
    io::{
        ErrorKind,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        Mutex, //
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
        RequestHead,
        parse_request, //
    }, //
};

/// Interval at which the server looks whether the channel is open.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    /// Id of the client attempt.
    pub attempt: String,
    /// When the server stopped to work on it.
    pub ended: Instant,
}

/// A server that runs until the program ends.
pub struct WorkingServer {
    address: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl WorkingServer {
    /// Starts a server with this id.
    pub fn start(id: &'static str, work: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let runs = Arc::new(Mutex::new(Vec::new()));
        let server = Self {
            address,
            runs: Arc::clone(&runs),
        };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let noted = Arc::clone(&runs);
                thread::spawn(move || serve(stream, id, work, &noted));
            }
        });
        server
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs that have ended.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no server panics").clone()
    }
}

/// Serves the requests of one channel, one after the other.
fn serve(mut stream: TcpStream, id: &str, work: Duration, runs: &Mutex<Vec<Run>>) {
    let mut input = Vec::new();
    while let Some(head) = read_request(&mut stream, &mut input) {
        let attempt = head.header("x-attempt-id").unwrap_or_default().to_owned();
        let expected = head.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\n\
                 X-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let is_open = work_on(&stream, work);
        runs.lock().expect("no server panics").push(Run {
            attempt: attempt.clone(),
            ended: Instant::now(),
        });
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal-{id}\r\n\
             Content-Length: 5\r\n\r\nfound"
        );
        if !is_open || stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<RequestHead> {
    let mut buffer = [0; 16 * 1024];
    let (head, length) = loop {
        match parse_request(input, MAX_HEAD_BYTES) {
            Ok(Some(parsed)) => break parsed,
            Ok(None) => {}
            Err(_) => return None,
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => input.extend_from_slice(&buffer[..count]),
        }
    };
    input.drain(..length);
    let mut decoder = BodyDecoder::new(head.framing);
    loop {
        let used = decoder.decode(input, &mut Vec::new()).ok()?;
        input.drain(..used);
        if decoder.is_done() {
            return Some(head);
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => input.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Works for a time; returns false if the channel was closed meanwhile.
fn work_on(stream: &TcpStream, work: Duration) -> bool {
    let ends = Instant::now() + work;
    while Instant::now() < ends {
        thread::sleep(LOOK_INTERVAL);
        stream.set_nonblocking(true).expect("the mode can be set");
        let seen = stream.peek(&mut [0; 1]);
        stream.set_nonblocking(false).expect("the mode can be set");
        match seen {
            Ok(0) => return false,
            Err(error) if error.kind() != ErrorKind::WouldBlock => return false,
            _ => {}
        }
    }
    true
}

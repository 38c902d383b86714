//! Answers without a length that end before the request was sent completely.

mod gatewayenv;

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        }, //
    },
    thread,
    time::Duration, //
};

use cardamombridge::standin::{
    listener::STANDIN_IP,
    metadata_store::MetadataStore, //
};
use gatewayenv::{
    Host,
    HostOptions,
    Request,
    Response,
    configuration,
    event_texts,
    hosts_of_two_regions,
    read_response,
    wait_until, //
};
use serde_json::json;
use socket2::{
    Domain,
    SockRef,
    Socket,
    Type, //
};

const LIMIT_MS: u64 = 4_000;
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Upload that the kernel can hold, one that it may hold, and one that it can't.
const UPLOAD_BYTES: [usize; 3] = [60_000, 300_000, 3_000_000];
/// Receive buffer of an endpoint, so that large uploads stay with the host until they are read.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Answer that a host passes on before it has ended.
const LARGE_ANSWER_BYTES: usize = 1024 * 1024;
/// Time in which a host reads what an endpoint has written.
const READ_TIME: Duration = Duration::from_millis(50);
/// Time for which an endpoint leaves a connection open after the end of its answer.
const HOLD_TIME: Duration = Duration::from_millis(500);
/// Answer to a health check.
const SOUND: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const EVENTS: &str = "text/event-stream";
const TEXT: &str = "text/plain";

/// How much of an upload an endpoint reads before its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    None,
    Half,
    All,
}

/// How an endpoint ends the connection of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Resets it once the host has read the answer.
    Reset,
    /// Closes it at once, which resets it if a part of the upload was not read.
    Close,
    /// Closes its own direction, and the other one later without reading further.
    Finish,
    /// Closes its own direction, and reads the rest of the upload.
    FinishAndRead,
}

/// What an endpoint does with a request.
#[derive(Debug, Clone)]
struct Script {
    part: Part,
    end: End,
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
    has_length: bool,
}

impl Script {
    fn new(part: Part, end: End) -> Self {
        Self {
            part,
            end,
            status: 200,
            content_type: TEXT,
            body: b"found".to_vec(),
            has_length: false,
        }
    }

    fn with_body(mut self, content_type: &'static str, body: &[u8]) -> Self {
        self.content_type = content_type;
        self.body = body.to_vec();
        self
    }

    fn with_status(mut self, status: u16) -> Self {
        self.status = status;
        self
    }

    fn with_length(mut self) -> Self {
        self.has_length = true;
        self
    }
}

/// An endpoint that answers before it has read its request completely.
struct EarlyEndpoint {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
    is_stopping: Arc<AtomicBool>,
}

impl EarlyEndpoint {
    /// Starts an endpoint that does with the n-th request, from 0, what `script` says.
    fn start<S>(script: S) -> Self
    where
        S: Fn(usize) -> Script + Send + Sync + 'static,
    {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .expect("a small buffer");
        let any_port = SocketAddr::from((STANDIN_IP, 0));
        socket.bind(&any_port.into()).expect("a free port");
        socket.listen(64).expect("the socket listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let requests = Arc::new(AtomicUsize::new(0));
        let is_stopping = Arc::new(AtomicBool::new(false));
        let (count, has_stopped) = (Arc::clone(&requests), Arc::clone(&is_stopping));
        let script = Arc::new(script);
        thread::spawn(move || {
            for stream in listener.incoming() {
                if has_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let (count, script) = (Arc::clone(&count), Arc::clone(&script));
                // The connection may end at any point.
                thread::spawn(move || serve(stream.ok()?, &count, &*script));
            }
        });
        Self {
            address,
            requests,
            is_stopping,
        }
    }

    fn announce(&self, store: &MetadataStore, id: &str, region: &str) {
        let entry = json!({
            "backend": "desk", "addr": self.address, "zone": format!("{region}-a"),
            "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
        });
        store.put(&format!("servers/{id}"), &entry);
    }

    fn request_count(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }
}

impl Drop for EarlyEndpoint {
    fn drop(&mut self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        // Wakes the listener, which may have ended.
        let _ = TcpStream::connect(self.address);
    }
}

fn serve<S>(mut stream: TcpStream, count: &AtomicUsize, script: &S) -> Option<()>
where
    S: Fn(usize) -> Script,
{
    let mut head = read_head(&mut stream)?;
    // Hosts check an endpoint that has broken an answer off.
    while head.starts_with("GET ") {
        stream.write_all(SOUND).ok()?;
        head = read_head(&mut stream)?;
    }
    let script = script(count.fetch_add(1, Ordering::Relaxed));
    let upload_bytes: usize = field(&head, "content-length").parse().unwrap_or(0);
    let wanted_bytes = match script.part {
        Part::None => 0,
        Part::Half => upload_bytes / 2,
        Part::All => upload_bytes,
    };
    let mut buffer = [0; 16 * 1024];
    let mut read_bytes = 0;
    while read_bytes < wanted_bytes {
        let most = buffer.len().min(wanted_bytes - read_bytes);
        match stream.read(&mut buffer[..most]).ok()? {
            0 => return None,
            count => read_bytes += count,
        }
    }
    let mut answer = format!(
        "HTTP/1.1 {} Text\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s\r\nContent-Type: {}\r\n",
        script.status,
        field(&head, "x-attempt-id"),
        script.content_type
    );
    if script.has_length {
        let length = script.body.len();
        answer.push_str(&format!(
            "Content-Length: {length}\r\nConnection: close\r\n"
        ));
    }
    answer.push_str("\r\n");
    let answer = [answer.as_bytes(), &script.body].concat();
    stream.write_all(&answer).ok()?;
    match script.end {
        End::Close => {}
        End::Reset => {
            thread::sleep(READ_TIME);
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .ok()?;
        }
        End::Finish => {
            stream.shutdown(Shutdown::Write).ok()?;
            thread::sleep(HOLD_TIME);
        }
        End::FinishAndRead => {
            stream.shutdown(Shutdown::Write).ok()?;
            thread::sleep(READ_TIME);
            while stream.read(&mut buffer).ok()? > 0 {}
        }
    }
    Some(())
}

/// Reads the head of a request, byte by byte so that all of the body is left.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

fn field<'a>(head: &'a str, name: &str) -> &'a str {
    let found = head.lines().find_map(|line| {
        let (field, value) = line.split_once(':')?;
        field.eq_ignore_ascii_case(name).then(|| value.trim())
    });
    found.unwrap_or_default()
}

fn store_for_uploads() -> MetadataStore {
    let store = MetadataStore::start().expect("the store starts");
    let mut known = configuration(7);
    known["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
    store.put("op/config", &known);
    store
}

/// Hosts and endpoints of a test; each endpoint gets at most one request, so that none is
/// avoided because of its failures.
struct Site {
    _store: MetadataStore,
    hosts: Vec<Host>,
    endpoints: Vec<EarlyEndpoint>,
}

impl Site {
    /// Starts a host with `count` endpoints in its region.
    fn start<S>(count: usize, script: S) -> Self
    where
        S: Fn(usize) -> Script + Clone + Send + Sync + 'static,
    {
        let (store, endpoints) = announced(count, "north", script);
        let host = Host::start(&store, &HostOptions::default());
        wait_announced(&host, count);
        Self {
            _store: store,
            hosts: vec![host],
            endpoints,
        }
    }

    /// Starts a host whose endpoints are in another region, with a host there.
    fn start_forwarding<S>(count: usize, script: S) -> Self
    where
        S: Fn(usize) -> Script + Clone + Send + Sync + 'static,
    {
        let (store, endpoints) = announced(count, "south", script);
        let (north, south) = hosts_of_two_regions(&store);
        wait_announced(&south, count);
        Self {
            _store: store,
            hosts: vec![north, south],
            endpoints,
        }
    }

    fn caller_address(&self) -> SocketAddr {
        self.hosts[0].caller_address
    }

    fn request_count(&self) -> usize {
        self.endpoints
            .iter()
            .map(EarlyEndpoint::request_count)
            .sum()
    }
}

fn announced<S>(count: usize, region: &str, script: S) -> (MetadataStore, Vec<EarlyEndpoint>)
where
    S: Fn(usize) -> Script + Clone + Send + Sync + 'static,
{
    let store = store_for_uploads();
    let endpoints = (0..count).map(|index| {
        let endpoint = EarlyEndpoint::start(script.clone());
        endpoint.announce(&store, &format!("e-{index}"), region);
        endpoint
    });
    let endpoints = endpoints.collect();
    (store, endpoints)
}

fn wait_announced(host: &Host, count: usize) {
    wait_until("all endpoints are known", || {
        host.log().matches("endpoint announced").count() >= count
    });
}

fn upload(path: &str, number: usize, bytes: usize) -> Request {
    Request::post(path, &vec![b'x'; bytes]).with_attempt(&format!("a-{number}"), LIMIT_MS)
}

fn is_passed_on_as_complete(response: &Response) -> bool {
    (200..300).contains(&response.status) && response.is_complete
}

/// Uploads of all sizes, several times each, none of which may be answered with a complete
/// success; each has to reach an endpoint.
fn assert_none_is_complete(site: &Site, path: &str, tries: usize) {
    for (index, bytes) in UPLOAD_BYTES.iter().enumerate() {
        for number in 0..tries {
            let number = index * tries + number;
            let response = upload(path, number, *bytes).send(site.caller_address());

            println!(
                "{path} {bytes} bytes: {} {}",
                response.status, response.is_complete
            );
            assert!(
                !is_passed_on_as_complete(&response),
                "{bytes} bytes: {}",
                response.head
            );
            assert_eq!(site.request_count(), number + 1, "requests at endpoints");
        }
    }
}

/// How endpoints reset a connection during an upload.
const RESETS: [(Part, End); 4] = [
    (Part::None, End::Reset),
    (Part::None, End::Close),
    (Part::Half, End::Reset),
    (Part::Half, End::Close),
];
const TRIES: usize = 4;
const ENDPOINT_COUNT: usize = TRIES * UPLOAD_BYTES.len();

/// Guards against an answer that is complete for the caller although its connection was reset
/// during the upload.
#[test]
fn answer_that_is_reset_during_the_upload_is_not_complete() {
    for (part, end) in RESETS {
        let script = Script::new(part, end);
        let site = Site::start(ENDPOINT_COUNT, move |_| script.clone());

        assert_none_is_complete(&site, "/book/1", TRIES);
    }
}

/// Guards against the same if another host has sent the request to the endpoint.
#[test]
fn forwarded_answer_that_is_reset_during_the_upload_is_not_complete() {
    for (part, end) in RESETS {
        let script = Script::new(part, end);
        let site = Site::start_forwarding(ENDPOINT_COUNT, move |_| script.clone());

        assert_none_is_complete(&site, "/book/1", TRIES);
    }
}

/// Guards against a stream of whole events that is complete although its connection was reset
/// during the upload.
#[test]
fn stream_that_is_reset_during_the_upload_is_not_complete() {
    for (part, end) in RESETS {
        let script = Script::new(part, end).with_body(EVENTS, event_texts(0, 3).as_bytes());
        let other = script.clone();
        let sites = [
            Site::start(ENDPOINT_COUNT, move |_| script.clone()),
            Site::start_forwarding(ENDPOINT_COUNT, move |_| other.clone()),
        ];
        for site in &sites {
            assert_none_is_complete(site, "/draft/1", TRIES);
        }
    }
}

/// Guards against an answer that a host passes on before its end, and that is complete for the
/// caller although its connection was reset during the upload.
#[test]
fn large_answer_that_is_reset_during_the_upload_is_not_complete() {
    for (part, end) in RESETS {
        let script = Script::new(part, end).with_body(TEXT, &vec![b'y'; LARGE_ANSWER_BYTES]);
        let other = script.clone();
        let sites = [
            Site::start(ENDPOINT_COUNT, move |_| script.clone()),
            Site::start_forwarding(ENDPOINT_COUNT, move |_| other.clone()),
        ];
        for site in &sites {
            assert_none_is_complete(site, "/book/1", TRIES);
        }
    }
}

/// Guards against the same for a request whose body comes in chunks.
#[test]
fn answer_that_is_reset_during_a_chunked_upload_is_not_complete() {
    let script = Script::new(Part::Half, End::Reset);
    let site = Site::start(ENDPOINT_COUNT, move |_| script.clone());
    for (number, bytes) in UPLOAD_BYTES.iter().enumerate() {
        let mut stream = TcpStream::connect(site.caller_address()).expect("a connection");
        let head = format!(
            "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a-{number}\r\n\
             X-Deadline-Ms: {LIMIT_MS}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).expect("a written head");
        for chunk in vec![b'x'; *bytes].chunks(8_000) {
            let size = format!("{:x}\r\n", chunk.len());
            let bytes = [size.as_bytes(), chunk, b"\r\n"].concat();
            stream.write_all(&bytes).expect("a written chunk");
        }
        stream.write_all(b"0\r\n\r\n").expect("a written end");

        let response = read_response(&mut stream).expect("a response");

        assert_eq!(response.status, 502, "{bytes} bytes");
        assert_eq!(site.request_count(), number + 1);
    }
}

/// Guards against a request that may be repeated and ends with such an answer.
#[test]
fn request_whose_answer_is_reset_during_the_upload_is_repeated() {
    let whole = Script::new(Part::All, End::Finish);
    let count = Arc::new(AtomicUsize::new(0));
    let site = Site::start(3, move |_| match count.fetch_add(1, Ordering::Relaxed) {
        0 => Script::new(Part::Half, End::Reset),
        _ => whole.clone(),
    });
    site.hosts[0].earn_repeats(3);

    let response = upload("/read/1", 0, UPLOAD_BYTES[1]).send(site.caller_address());

    assert_eq!((response.status, &*response.text()), (200, "found"));
    assert_eq!(site.request_count(), 2);
}

/// Guards against an answer that ends in order, before the host has sent the whole request, and
/// is taken for a complete success.
#[test]
fn answer_that_ends_during_the_upload_is_not_complete() {
    for end in [End::Finish, End::FinishAndRead] {
        for (path, content_type, body) in [
            ("/book/1", TEXT, "found".to_owned()),
            ("/draft/1", EVENTS, event_texts(0, 3)),
        ] {
            let script = Script::new(Part::None, end).with_body(content_type, body.as_bytes());
            let other = script.clone();
            let sites = [
                Site::start(TRIES, move |_| script.clone()),
                Site::start_forwarding(TRIES, move |_| other.clone()),
            ];
            for site in &sites {
                for number in 0..TRIES {
                    // What fits into buffers of the kernel counts as sent.
                    let bytes = UPLOAD_BYTES[1 + number % 2];
                    let request = upload(path, number, bytes);
                    let response = request.send(site.caller_address());

                    println!(
                        "{path} {end:?} {bytes} bytes: {} {}",
                        response.status, response.is_complete
                    );
                    assert!(
                        !is_passed_on_as_complete(&response),
                        "{path}: {}",
                        response.head
                    );
                    assert_eq!(site.request_count(), number + 1);
                }
            }
        }
    }
}

/// Guards against answers that are withheld although they are complete: the request was sent
/// completely, the answer states its length, or it is a failure that ends the upload early.
#[test]
fn complete_answers_are_passed_on() {
    let cases = [
        (Script::new(Part::All, End::Finish), 200, "found"),
        (Script::new(Part::All, End::Close), 200, "found"),
        (
            Script::new(Part::None, End::Finish).with_length(),
            200,
            "found",
        ),
        (
            Script::new(Part::Half, End::Reset).with_length(),
            200,
            "found",
        ),
        (
            Script::new(Part::Half, End::Finish).with_status(413),
            413,
            "found",
        ),
    ];
    for (script, status, text) in cases {
        let name = format!("{script:?}");
        let site = Site::start(UPLOAD_BYTES.len(), move |_| script.clone());
        for (number, bytes) in UPLOAD_BYTES.iter().enumerate() {
            let response = upload("/book/1", number, *bytes).send(site.caller_address());

            assert_eq!(
                (response.status, &*response.text()),
                (status, text),
                "{name}, {bytes} bytes"
            );
            assert!(response.is_complete, "{name}, {bytes} bytes");
        }
    }
}

/// Guards against a host that sends a request on before it has read it completely, so that an
/// answer could end while the caller still uploads.
#[test]
fn request_is_sent_once_it_has_arrived_completely() {
    let script = Script::new(Part::All, End::Finish);
    let site = Site::start(1, move |_| script.clone());
    let bytes = upload("/book/1", 0, UPLOAD_BYTES[1]).bytes();
    let (first, rest) = bytes.split_at(bytes.len() - 1);
    let mut stream = TcpStream::connect(site.caller_address()).expect("a connection");

    stream.write_all(first).expect("a written part");
    thread::sleep(HOLD_TIME);
    let early_count = site.request_count();
    stream.write_all(rest).expect("a written rest");
    let response = read_response(&mut stream).expect("a response");

    assert_eq!(early_count, 0, "requests sent before");
    assert_eq!((response.status, &*response.text()), (200, "found"));
}

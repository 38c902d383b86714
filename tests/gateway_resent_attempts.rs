//! Attempts that come to an endpoint again, where a new connection or a request without a body
//! matters.

mod gatewayenv;

use std::{
    collections::HashSet,
    io::{
        self,
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
        Mutex,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    thread,
    time::Duration, //
};

use cardamombridge::{
    gateway::{
        body::BodyDecoder,
        head::parse_response, //
    },
    standin::{
        listener::STANDIN_IP,
        metadata_store::MetadataStore, //
    }, //
};
use gatewayenv::{
    Host,
    HostOptions,
    SITE_HOST,
    store_with_configuration, //
};
use serde_json::json;
use socket2::SockRef;

const PAIRS: usize = 12;
/// Time in which an endpoint notices that a connection has ended.
const SETTLE_TIME: Duration = Duration::from_millis(100);
const ANSWER_BODY: &str = "a body of an answer";

/// What an endpoint does beside refusing each attempt that begins with `r` once.
#[derive(Clone, Copy)]
struct Behaviour {
    /// Connections beyond this number are reset.
    most_connections: usize,
    /// A refusal is sent once more before the next answer on its connection.
    repeats_refusals: bool,
}

fn start_endpoint(behaviour: Behaviour) -> SocketAddr {
    let listener = TcpListener::bind((STANDIN_IP, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let refused = Arc::new(Mutex::new(HashSet::new()));
    let open_count = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if open_count.load(Ordering::SeqCst) >= behaviour.most_connections {
                let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                linger.expect("a reset instead of a close");
                continue;
            }
            open_count.fetch_add(1, Ordering::SeqCst);
            let (refused, open_count) = (Arc::clone(&refused), Arc::clone(&open_count));
            thread::spawn(move || {
                // An error means that the host has closed the connection.
                let _ = serve(stream, behaviour, &refused);
                open_count.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    address
}

fn serve(
    mut stream: TcpStream,
    behaviour: Behaviour,
    refused: &Mutex<HashSet<String>>,
) -> io::Result<()> {
    let mut input = Vec::new();
    let mut copy: Option<Vec<u8>> = None;
    while let Some(head) = read_request(&mut stream, &mut input)? {
        if let Some(copy) = copy.take() {
            stream.write_all(&copy)?;
        }
        let attempt = field(&head, "x-attempt-id");
        let is_refused = attempt.starts_with('r')
            && refused.lock().expect("no panic").insert(attempt.to_owned());
        let (status, statement) = match is_refused {
            true => ("503 Full", "X-Not-Run: 1"),
            false => ("200 OK", "X-Server-Seal: seal"),
        };
        let body = match head.starts_with("HEAD") {
            true => "",
            false => ANSWER_BODY,
        };
        let answer = format!(
            "HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\n{statement}\r\n\
             Keep-Alive: timeout=20\r\nContent-Length: {}\r\n\r\n{body}",
            ANSWER_BODY.len()
        );
        stream.write_all(answer.as_bytes())?;
        copy = (is_refused && behaviour.repeats_refusals).then(|| answer.into_bytes());
    }
    Ok(())
}

/// Reads a request and its body; returns its head, and none at the end of the connection.
fn read_request(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        let text = String::from_utf8_lossy(input).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length: usize = field(head, "content-length").parse().unwrap_or(0);
            if body.len() >= length {
                input.drain(..head.len() + 4 + length);
                return Ok(Some(head.to_owned()));
            }
        }
        let mut bytes = [0; 4096];
        let count = stream.read(&mut bytes)?;
        if count == 0 {
            return Ok(None);
        }
        input.extend_from_slice(&bytes[..count]);
    }
}

fn field<'a>(head: &'a str, name: &str) -> &'a str {
    let value = head.lines().find_map(|line| {
        let (field, value) = line.split_once(':')?;
        field.eq_ignore_ascii_case(name).then(|| value.trim())
    });
    value.unwrap_or_default()
}

fn host_of(address: SocketAddr) -> (MetadataStore, Host) {
    let store = store_with_configuration();
    let entry = json!({
        "backend": "desk", "addr": address, "zone": "north-a", "version": "v1",
        "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
    });
    store.put("servers/e-new", &entry);
    let host = Host::start(&store, &HostOptions::default());
    host.wait_log("endpoint announced");
    host.earn_repeats(7);
    (store, host)
}

/// Sends a request and returns the status of its answer.
fn call(host: &Host, method: &str, path: &str, attempt: &str) -> u16 {
    let body = match method {
        "POST" => "Content-Length: 6\r\n\r\nparcel",
        _ => "\r\n",
    };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {SITE_HOST}\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: 3000\r\nConnection: close\r\n{body}"
    );
    let mut stream = TcpStream::connect(host.caller_address).expect("the host accepts");
    stream.write_all(request.as_bytes()).expect("it is sent");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("an answer");
    let parsed = parse_response(&bytes, method == "HEAD").expect("a valid head");
    let (head, length) = parsed.expect("a whole head");
    let mut content = Vec::new();
    let mut decoder = BodyDecoder::new(head.framing);
    let used = decoder.decode(&bytes[length..], &mut content);
    assert_eq!(used.expect("a valid body"), bytes.len() - length);
    head.status
}

/// Guards against an attempt that fails because the connection in place of one that had carried
/// it is one too many for the endpoint.
#[test]
fn resent_attempt_is_served_at_an_endpoint_with_one_connection() {
    let address = start_endpoint(Behaviour {
        most_connections: 1,
        repeats_refusals: false,
    });
    let (_store, host) = host_of(address);

    let statuses = (0..PAIRS).map(|number| {
        let attempt = format!("r-{number}");
        let refused = call(&host, "POST", "/book/1", &attempt);
        thread::sleep(SETTLE_TIME);
        (refused, call(&host, "POST", "/book/1", &attempt))
    });
    let statuses: Vec<(u16, u16)> = statuses.collect();

    assert_eq!(statuses, [(503, 200); PAIRS]);
}

/// Guards against a copy whose body is taken for the answer to a request for a head, and the
/// reverse.
#[test]
fn copy_is_framed_by_its_own_request() {
    for (first, second) in [("POST", "HEAD"), ("HEAD", "POST")] {
        let address = start_endpoint(Behaviour {
            most_connections: 100,
            repeats_refusals: true,
        });
        let (_store, host) = host_of(address);
        let refused = call(&host, first, "/book/1", "r-1");

        let status = call(&host, second, "/book/1", "b-1");

        assert_eq!((refused, status), (503, 200), "{first}, then {second}");
    }
}

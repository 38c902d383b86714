//! Guards against stand-ins that do not behave as they say, which would make
//! every test built on them worthless.

use std::{
    net::{
        SocketAddr,
        TcpListener,
        TcpStream,
        UdpSocket, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::{
    http::{
        client::{
            self,
            HttpRequest,
            HttpResponse, //
        },
        message::{
            Headers,
            MessageError, //
        }, //
    },
    standin::{
        answer::{
            ChatMessage,
            expected_answer, //
        },
        engine::{
            EngineFault,
            EngineOptions,
            EngineStandin, //
        },
        model::ModelOptions,
        scripted::{
            Script,
            ScriptedEndpoint,
            event_text, //
        },
        service::{
            ServiceOptions,
            ServiceStandin, //
        },
        wire::{
            DatagramFaults,
            Direction,
            Flow,
            Wire, //
        }, //
    },
    types::{
        Bytes,
        Tokens, //
    }, //
};
use serde_json::{
    Value,
    json, //
};

const LIMIT: Duration = Duration::from_secs(10);

fn deadline() -> Instant {
    Instant::now() + LIMIT
}

fn open(address: SocketAddr, method: &str, path: &str, body: &Value) -> HttpResponse {
    let call = HttpRequest {
        method: method.into(),
        path: path.into(),
        headers: Headers::new().with_field("x-request-id", "r1"),
        body: if body.is_null() {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        },
    };
    let mut connection = client::connect(address, LIMIT).expect("stand-in listens");
    client::send(&mut connection, &call, deadline()).expect("request is sent");
    client::receive(connection, deadline()).expect("head of the answer")
}

fn read(answer: &mut HttpResponse) -> Result<String, MessageError> {
    let connection = &mut answer.connection;
    let bytes = answer.body.read_to_end(connection, 1 << 22, deadline())?;
    Ok(String::from_utf8(bytes).expect("answer is UTF-8"))
}

fn get(address: SocketAddr, path: &str) -> (u16, String) {
    let mut answer = open(address, "GET", path, &Value::Null);
    (answer.head.status, read(&mut answer).expect("whole answer"))
}

fn chat(address: SocketAddr, body: &Value) -> HttpResponse {
    open(address, "POST", "/v1/chat/completions", body)
}

fn question() -> Vec<ChatMessage> {
    vec![
        ChatMessage::new("system", &"house rules ".repeat(100)),
        ChatMessage::new("user", "which stain matches?"),
    ]
}

fn stream_tokens(text: &str) -> Vec<String> {
    text.split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .filter_map(|chunk| {
            let content = chunk["choices"][0]["delta"]["content"].as_str()?;
            (!content.is_empty()).then(|| content.to_owned())
        })
        .collect()
}

fn engine() -> EngineStandin {
    EngineStandin::start(EngineOptions::new("stain")).expect("engine starts")
}

fn slow_engine(slots: u32, max_waiting: u32) -> EngineStandin {
    let speed = ModelOptions {
        slots,
        max_waiting,
        step: Duration::from_millis(20),
        ..ModelOptions::default()
    };
    EngineStandin::start(EngineOptions::new("stain").with_speed(speed)).expect("engine starts")
}

fn wait_until<F>(what: &str, mut is_true: F)
where
    F: FnMut() -> bool,
{
    let end = deadline();
    while !is_true() {
        assert!(Instant::now() < end, "{what} did not happen in {LIMIT:?}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Guards against an answer that a test cannot predict byte by byte.
#[test]
fn plain_and_streamed_answers_are_the_expected_ones() {
    let engine = engine();
    let body = json!({ "messages": question(), "max_tokens": 20 });
    let mut streamed = body.clone();
    streamed["stream"] = json!(true);
    streamed["stream_options"] = json!({ "include_usage": true });

    let plain = read(&mut chat(engine.address(), &body)).expect("whole answer");
    let stream = read(&mut chat(engine.address(), &streamed)).expect("whole answer");

    let expected = expected_answer(&question(), 20);
    let plain = serde_json::from_str::<Value>(&plain).expect("JSON");
    assert_eq!(expected.len(), 20);
    assert_eq!(
        plain["choices"][0]["message"]["content"],
        json!(expected.concat())
    );
    assert_eq!(plain["choices"][0]["finish_reason"], json!("length"));
    assert_eq!(plain["usage"]["completion_tokens"], json!(20));
    assert_eq!(stream_tokens(&stream), expected);
    assert!(stream.ends_with("data: [DONE]\n\n"), "{stream}");
    // The second request finds the shared prefix of the first one.
    let cached = &engine.seen()[1].cached;
    assert!(*cached > Tokens(0));
    assert!(stream.contains(&format!("\"cached_tokens\":{}", cached.0)));
}

/// Guards against a continuation that repeats or loses a byte, also when the
/// partial answer ends inside a token.
#[test]
fn a_continued_answer_is_exactly_the_missing_part() {
    let engine = engine();
    let whole = expected_answer(&question(), 30).concat();
    let cuts = whole.char_indices().map(|(at, _)| at).take(60);

    for cut in cuts.step_by(7) {
        let mut messages = question();
        messages.push(ChatMessage::new("assistant", &whole[..cut]));
        let body = json!({
            "messages": messages, "max_tokens": 400, "stream": true,
            "continue_final_message": true, "add_generation_prompt": false,
        });
        let text = read(&mut chat(engine.address(), &body)).expect("whole answer");

        let all = expected_answer(&question(), usize::MAX).concat();
        assert_eq!(
            format!("{}{}", &whole[..cut], stream_tokens(&text).concat()),
            all
        );
    }
}

/// Guards against faults that a gateway could not notice.
#[test]
fn truncated_streams_break_in_the_way_they_say() {
    let engine = engine();
    let body = json!({ "messages": question(), "max_tokens": 20, "stream": true });
    let expected = expected_answer(&question(), 20);

    for fault in [
        EngineFault::CutAfter(5),
        EngineFault::TruncatedChunk(5),
        EngineFault::WrongLength,
    ] {
        engine.fail_next(fault);
        let mut answer = chat(engine.address(), &body);
        assert!(read(&mut answer).is_err(), "{fault:?} ended properly");
        assert!(!answer.body.is_complete());
    }
    engine.fail_next(EngineFault::NoDone);
    let text = read(&mut chat(engine.address(), &body)).expect("framing is whole");
    assert_eq!(stream_tokens(&text), expected);
    assert!(!text.contains("[DONE]"));

    engine.fail_next(EngineFault::Status(500));
    assert_eq!(chat(engine.address(), &body).head.status, 500);
    // The list of single faults is used up.
    let text = read(&mut chat(engine.address(), &body)).expect("whole answer");
    assert_eq!(stream_tokens(&text), expected);
}

/// Guards against a plain answer whose break goes unnoticed.
#[test]
fn a_plain_answer_with_a_wrong_length_is_incomplete() {
    let engine = engine();
    let body = json!({ "messages": question(), "max_tokens": 20 });

    engine.fail_next(EngineFault::WrongLength);
    let mut answer = chat(engine.address(), &body);

    assert!(matches!(read(&mut answer), Err(MessageError::Closed)));
}

/// Guards against a stall that ends by itself or sends more than announced.
#[test]
fn a_stalled_stream_sends_nothing_more() {
    let engine = engine();
    let body = json!({ "messages": question(), "max_tokens": 20, "stream": true });

    engine.fail_next(EngineFault::StallAfter(3));
    let mut answer = chat(engine.address(), &body);
    let mut bytes = Vec::new();
    let quiet = Instant::now() + Duration::from_millis(400);
    let end = loop {
        let connection = &mut answer.connection;
        if let Err(error) = answer.body.read_piece(connection, &mut bytes, quiet) {
            break error;
        }
    };

    assert!(matches!(end, MessageError::TimedOut), "{end}");
    let text = String::from_utf8(bytes).expect("UTF-8");
    assert_eq!(stream_tokens(&text), expected_answer(&question(), 3));
}

/// Guards against a slot that a closed caller keeps.
#[test]
fn a_closed_caller_frees_its_slot() {
    let engine = slow_engine(1, 4);
    let long = json!({ "messages": question(), "max_tokens": 400, "stream": true });
    let short = json!({ "messages": question(), "max_tokens": 1 });

    drop(chat(engine.address(), &long));
    let started = Instant::now();
    read(&mut chat(engine.address(), &short)).expect("whole answer");

    // The long answer alone takes at least 24 steps of 20 ms.
    assert!(started.elapsed() < Duration::from_millis(400));
    let seen = engine.seen();
    assert!(seen[0].is_cancelled && !seen[1].is_cancelled);
    assert!(seen[0].generated < Tokens(24));
}

/// Guards against a refused request that ran nevertheless.
#[test]
fn a_full_or_leaving_engine_refuses_before_it_runs() {
    let engine = slow_engine(1, 0);
    let body = json!({ "messages": question(), "max_tokens": 400, "stream": true });

    let kept = chat(engine.address(), &body);
    let full = chat(engine.address(), &body);
    drop(kept);
    wait_until("freed slot", || engine.load().running == 0);
    engine.set_leaving(true);
    let leaving = chat(engine.address(), &body);

    for answer in [full, leaving] {
        assert_eq!(answer.head.status, 503);
        assert_eq!(answer.head.headers.get("retry-after"), Some("1"));
    }
    let has_run = engine.seen().iter().map(|s| s.has_run).collect::<Vec<_>>();
    assert_eq!(has_run, [true, false, false]);
    assert_eq!(get(engine.address(), "/health").0, 503);
}

/// Guards against a low-priority request that overtakes.
#[test]
fn a_lower_priority_number_runs_first() {
    let engine = slow_engine(1, 4);
    let address = engine.address();
    let request = |priority: i32, count: u32| json!({ "messages": question(), "max_tokens": count, "priority": priority });
    let first = chat(
        address,
        &json!({
            "messages": question(), "max_tokens": 8, "stream": true
        }),
    );
    let send = |priority| {
        let body = request(priority, 4);
        thread::spawn(move || {
            read(&mut chat(address, &body)).expect("whole answer");
            Instant::now()
        })
    };

    let late = send(5);
    wait_until("first waiting request", || engine.load().waiting == 1);
    let early = send(1);
    wait_until("second waiting request", || engine.load().waiting == 2);
    let (late, early) = (late.join().expect("late"), early.join().expect("early"));

    assert!(early < late);
    drop(first);
}

/// Guards against a load report that is fresher than the engine claims.
#[test]
fn the_reported_load_is_late() {
    let engine = slow_engine(2, 4);
    let running = "vllm:num_requests_running{model_name=\"stain\"}";
    let reported = || get(engine.address(), "/metrics").1;
    engine.set_load_lag(Duration::from_millis(200));

    let started = Instant::now();
    let kept = chat(
        engine.address(),
        &json!({ "messages": question(), "max_tokens": 400, "stream": true }),
    );
    assert_eq!(engine.load().running, 1);
    wait_until("reported load", || {
        reported().contains(&format!("{running} 1"))
    });

    assert!(started.elapsed() >= Duration::from_millis(190));
    drop(kept);
    let text = reported();
    for name in [
        "vllm:num_requests_waiting",
        "vllm:kv_cache_usage_perc",
        "cardamombridge_standin_incarnation",
    ] {
        assert!(text.contains(name), "{name} is missing in {text}");
    }
}

/// Guards against a stop that leaves the port or a connection open.
#[test]
fn a_stopped_engine_breaks_its_connections() {
    let mut engine = slow_engine(1, 4);
    let body = json!({ "messages": question(), "max_tokens": 400, "stream": true });
    let mut answer = chat(engine.address(), &body);

    engine.stop();

    assert!(read(&mut answer).is_err());
    assert!(client::connect(engine.address(), LIMIT).is_err());
}

/// Guards against a service that runs a call without counting it.
#[test]
fn a_dropped_call_has_run_once() {
    let service = ServiceStandin::start(ServiceOptions::new("dispatch")).expect("starts");
    let body = json!({ "key": "box-7" });
    let call = HttpRequest {
        method: "POST".into(),
        path: "/dispatch".into(),
        headers: Headers::new(),
        body: body.to_string().into_bytes(),
    };

    service.drop_after_running(1);
    let mut connection = client::connect(service.address(), LIMIT).expect("listens");
    client::send(&mut connection, &call, deadline()).expect("sent");
    let dropped = client::receive(connection, deadline());

    assert!(dropped.is_err());
    assert_eq!(service.runs("box-7"), 1);
    let mut answer = open(service.address(), "POST", "/dispatch", &body);
    assert_eq!(
        read(&mut answer).expect("whole"),
        "{\"key\":\"box-7\",\"runs\":2}"
    );
    let stock = get(service.address(), "/stock/box");
    assert_eq!(stock, get(service.address(), "/stock/box"));
    assert_eq!(service.all_runs().len(), 1);
    service.set_leaving(true);
    assert_eq!(
        open(service.address(), "POST", "/dispatch", &body)
            .head
            .status,
        503
    );
    assert_eq!(service.runs("box-7"), 2);
}

/// Guards against an endpoint that reads or writes while it is silent, or loses what
/// was in progress.
#[test]
fn a_silent_endpoint_goes_on_where_it_was() {
    let endpoint = ScriptedEndpoint::start("e-1", |_, arrival| match arrival.path.as_str() {
        "/events" => Script::Events {
            first: 0,
            end: 10,
            pause: Duration::from_millis(20),
            is_whole: true,
        },
        _ => Script::Answer(200, b"ok".to_vec()),
    })
    .expect("the endpoint starts");
    let address = endpoint.address();
    let silence = Duration::from_millis(400);
    let mut stream = open(address, "GET", "/events", &Value::Null);

    endpoint.fall_silent(silence);
    let fell_silent = Instant::now();
    let other = thread::spawn(move || (get(address, "/plain"), Instant::now()));
    let mut events = Vec::new();
    let mut silent_pieces = 0;
    let connection = &mut stream.connection;
    while stream
        .body
        .read_piece(connection, &mut events, deadline())
        .expect("a piece")
        > 0
    {
        // The endpoint may be within a write when it falls silent.
        let after = fell_silent.elapsed();
        silent_pieces += u32::from(after > silence / 4 && after < silence * 3 / 4);
    }
    let (answer, answered) = other.join().expect("the caller ends");

    assert!(fell_silent.elapsed() > silence);
    assert_eq!(silent_pieces, 0);
    assert_eq!(
        events,
        (0..10).map(event_text).collect::<String>().as_bytes()
    );
    assert_eq!(answer, (200, "ok".into()));
    assert!(answered >= fell_silent + silence * 3 / 4);
}

fn stock_over(wire: &Wire) -> Result<u16, MessageError> {
    let call = HttpRequest {
        method: "GET".into(),
        path: "/stock/box".into(),
        headers: Headers::new(),
        body: Vec::new(),
    };
    let soon = Instant::now() + Duration::from_millis(300);
    let mut connection = client::connect(wire.address(), LIMIT)?;
    client::send(&mut connection, &call, soon)?;
    Ok(client::receive(connection, soon)?.head.status)
}

fn wire_to_service() -> (ServiceStandin, Wire) {
    let service = ServiceStandin::start(ServiceOptions::new("stock")).expect("starts");
    let wire = Wire::start(service.address(), 1).expect("wire starts");
    (service, wire)
}

/// Guards against tests that run out of file descriptors because of the wires between their
/// processes.
#[test]
fn a_connection_through_a_wire_takes_few_file_descriptors() {
    const CONNECTIONS: usize = 64;
    let target = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let wire = Wire::start(target.local_addr().expect("address"), 1).expect("wire starts");
    let open = || {
        let entries = std::fs::read_dir("/proc/self/fd").expect("descriptors are listed");
        entries.count()
    };

    let before = open();
    let connections: Vec<(TcpStream, TcpStream)> = (0..CONNECTIONS)
        .map(|_| {
            let caller = TcpStream::connect(wire.address()).expect("the wire accepts");
            (caller, target.accept().expect("the wire connects").0)
        })
        .collect();

    // The wire and this test have two ends of each; other tests may open as many meanwhile.
    let opened = open().saturating_sub(before);
    assert!(
        opened <= 8 * connections.len(),
        "{opened} descriptors for {CONNECTIONS} connections"
    );
}

/// Guards against a fault that stays after it was switched off, or never acts.
#[test]
fn a_wire_cuts_holds_and_delays_only_while_told() {
    let (service, wire) = wire_to_service();

    assert!(matches!(stock_over(&wire), Ok(200)));
    assert!(wire.passed(Direction::ToTarget) > Bytes(0));
    assert!(wire.passed(Direction::ToCaller) > Bytes(0));

    wire.set_cut(true);
    assert!(matches!(stock_over(&wire), Err(MessageError::Closed)));
    wire.set_cut(false);
    assert!(matches!(stock_over(&wire), Ok(200)));

    wire.set_frozen(true);
    assert!(matches!(stock_over(&wire), Err(MessageError::TimedOut)));
    wire.set_frozen(false);

    wire.set_delay(Duration::from_millis(60));
    let started = Instant::now();
    assert!(matches!(stock_over(&wire), Ok(200)));
    assert!(started.elapsed() >= Duration::from_millis(120));
    assert!(!service.seen().is_empty());
}

/// Guards against a one-way fault that also stops the other way, and against a
/// lost answer whose request was lost as well.
#[test]
fn a_one_way_fault_lets_the_request_through() {
    let (service, wire) = wire_to_service();

    wire.set_flow(Direction::ToTarget, Flow::Hold);
    assert!(matches!(stock_over(&wire), Err(MessageError::TimedOut)));
    assert_eq!(service.seen().len(), 0);
    wire.set_flow(Direction::ToTarget, Flow::Pass);
    wait_until("held request", || service.seen().len() == 1);

    wire.set_flow(Direction::ToCaller, Flow::Hold);
    assert!(matches!(stock_over(&wire), Err(MessageError::TimedOut)));
    assert_eq!(service.seen().len(), 2);
    wire.set_flow(Direction::ToCaller, Flow::Pass);

    // Held answers of earlier connections pass now and must not count.
    let wire = Wire::start(service.address(), 1).expect("wire starts");
    wire.drop_answers(1);
    assert!(matches!(stock_over(&wire), Err(MessageError::Closed)));
    assert_eq!(service.seen().len(), 3);
    assert_eq!(wire.passed(Direction::ToCaller), Bytes(0));
    assert!(matches!(stock_over(&wire), Ok(200)));
}

/// Guards against datagram faults that do not act, and against answers that go
/// to the wrong sender.
#[test]
fn a_wire_loses_duplicates_and_reorders_datagrams() {
    let target = UdpSocket::bind("127.0.0.1:0").expect("target socket");
    let sender = UdpSocket::bind("127.0.0.1:0").expect("sender socket");
    target
        .set_read_timeout(Some(Duration::from_millis(200)))
        .expect("timeout");
    sender.set_read_timeout(Some(LIMIT)).expect("timeout");
    let wire = Wire::start(target.local_addr().expect("address"), 7).expect("wire starts");
    let exchange = |faults| {
        wire.set_datagram_faults(faults);
        for number in 0..100_u8 {
            sender.send_to(&[number], wire.address()).expect("sent");
            // Keeps datagrams apart, so that an undisturbed wire keeps order.
            thread::sleep(Duration::from_micros(500));
        }
        let mut received = Vec::new();
        let mut buffer = [0; 8];
        while let Ok((_, from)) = target.recv_from(&mut buffer) {
            received.push((buffer[0], from));
        }
        received
    };
    let some = |lost_permille, duplicated_permille, reordered_permille| DatagramFaults {
        lost_permille,
        duplicated_permille,
        reordered_permille,
    };

    let plain = exchange(some(0, 0, 0));
    let lost = exchange(some(300, 0, 0)).len();
    let duplicated = exchange(some(0, 300, 0)).len();
    let reordered = exchange(some(0, 0, 300));

    let numbers = |received: &[(u8, SocketAddr)]| received.iter().map(|r| r.0).collect::<Vec<_>>();
    assert_eq!(numbers(&plain), (0..100).collect::<Vec<_>>());
    assert!((50..90).contains(&lost), "{lost} arrived");
    assert!((110..150).contains(&duplicated), "{duplicated} arrived");
    assert_eq!(reordered.len(), 100);
    assert!(!numbers(&reordered).is_sorted());

    target.send_to(b"answer", plain[0].1).expect("answered");
    let mut buffer = [0; 8];
    let (count, from) = sender.recv_from(&mut buffer).expect("answer arrives");
    assert_eq!((&buffer[..count], from), (&b"answer"[..], wire.address()));

    wire.set_flow(Direction::ToTarget, Flow::Hold);
    assert_eq!(exchange(some(0, 0, 0)).len(), 0);
}

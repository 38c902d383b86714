//! Guards against a request that is reported as not sent although it ran, a response
//! that reaches the wrong exchange, and a connection without the cluster key.

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
            AtomicUsize,
            Ordering, //
        },
        mpsc, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use cardamombridge::{
    decision::residency::AllowedRegions,
    outcome::Unsent,
    peer::{
        client::{
            PeerClient,
            SendError, //
        },
        frame::{
            Field,
            ForwardHead,
            Frame,
            Message, //
        },
        link::{
            Link,
            LinkError,
            PeerIdentity, //
        },
        server::{
            PeerServer,
            ServerExchange, //
        },
        wire::ClusterKey, //
    },
    types::{
        Bytes,
        Incarnation,
        Millis,
        RequestId,
        Revision,
        Tier,
        Tokens, //
    }, //
};

const BODY_BYTES: usize = 2_500_000;

fn key() -> ClusterKey {
    ClusterKey::new(b"cluster secret")
}

fn identity(name: &str) -> PeerIdentity {
    PeerIdentity {
        host: name.parse().expect("valid host"),
        incarnation: Incarnation(7),
    }
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(3)
}

fn client() -> PeerClient {
    PeerClient::new(key(), identity("client"))
}

fn handover() -> Frame {
    Frame::TicketHandover {
        body_bytes: Bytes(BODY_BYTES as u64),
    }
}

fn end() -> Frame {
    Frame::ResponseEnd {
        output_tokens: Tokens(2),
        cached_tokens: Tokens(1),
    }
}

/// A server on loopback that is stopped when dropped.
struct Fixture {
    server: Arc<PeerServer>,
    address: SocketAddr,
}

impl Fixture {
    fn start<H>(server: PeerServer, handler: H) -> Self
    where
        H: Fn(&mut ServerExchange<'_>) -> Result<(), LinkError> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("bound");
        let server = Arc::new(server);
        let running = Arc::clone(&server);
        thread::spawn(move || running.run(&listener, handler));
        Self { server, address }
    }

    fn wait_for<F>(&self, is_reached: F) -> bool
    where
        F: Fn(&PeerServer) -> bool,
    {
        let deadline = soon();
        while !is_reached(&self.server) && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(5));
        }
        is_reached(&self.server)
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.server.stop(self.address);
    }
}

fn server() -> PeerServer {
    PeerServer::new(key(), identity("server"))
}

/// Reads the body and responds with its length, in two body frames between head and
/// end.
fn echo_length(exchange: &mut ServerExchange<'_>) -> Result<(), LinkError> {
    let body = exchange.read_body(soon())?;
    let head = Frame::ResponseHead {
        status: 200,
        headers: Vec::new(),
    };
    exchange.send(&head, &[], soon())?;
    exchange.send(
        &Frame::ResponseBody,
        body.len().to_string().as_bytes(),
        soon(),
    )?;
    exchange.send(&Frame::ResponseBody, b" bytes", soon())?;
    exchange.finish(&end(), &[], soon())
}

fn call(client: &PeerClient, address: SocketAddr) -> Result<Message, LinkError> {
    let ready = client.acquire(None, address, soon())?;
    let body = vec![3; BODY_BYTES];
    let started = ready.send(Unsent::new(), &handover(), &body, soon());
    let mut exchange = started.map_err(|error| match error {
        SendError::NotSent { error, .. } | SendError::PartlySent { error, .. } => error,
    })?;
    exchange.collect(100, soon())
}

#[test]
fn exchanges_with_long_bodies_share_one_connection() {
    let fixture = Fixture::start(server(), echo_length);
    let client = client();

    for _ in 0..3 {
        let response = call(&client, fixture.address).expect("answered");
        assert_eq!(response.frame, end());
        assert_eq!(response.payload, b"2500000 bytes");
    }

    assert_eq!(client.idle_connections(fixture.address), 1);
    assert!(fixture.wait_for(|server| server.counts().completed_exchanges == 3));
    assert_eq!(fixture.server.counts().open_connections, 1);
}

#[test]
fn long_final_responses_arrive_complete() {
    let fixture = Fixture::start(server(), |exchange| {
        exchange.finish(&Frame::Changes, &vec![9; BODY_BYTES], soon())
    });
    let ready = client().acquire(None, fixture.address, soon());
    let request = Frame::GetChanges {
        revision: Revision(4),
    };

    let started = ready
        .expect("ready")
        .send(Unsent::new(), &request, &[], soon());
    let response = started.expect("sent").collect(BODY_BYTES, soon());

    let response = response.expect("answered");
    assert_eq!(response.frame, Frame::Changes);
    assert_eq!(response.payload, vec![9; BODY_BYTES]);
}

/// Fault that a relay injects into a connection.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// Closes both sides after this many frames from the client.
    CutAfterClientFrames(usize),
    /// Closes both sides after this many frames from the server.
    CutAfterServerFrames(usize),
    /// Flips one bit in this frame from the server.
    ChangeServerFrame(usize),
}

/// Relays one connection to `server` frame by frame, with a fault.
fn relay(server: SocketAddr, fault: Fault) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (client, _) = listener.accept().expect("accepted");
        let server = TcpStream::connect(server).expect("connected");
        let (client_limit, server_limit, changed) = match fault {
            Fault::CutAfterClientFrames(frames) => (frames, usize::MAX, usize::MAX),
            Fault::CutAfterServerFrames(frames) => (usize::MAX, frames, usize::MAX),
            Fault::ChangeServerFrame(frame) => (usize::MAX, usize::MAX, frame),
        };
        let ends = (
            client.try_clone().expect("clone"),
            server.try_clone().expect("clone"),
        );
        let up = thread::spawn(move || pass_frames(&ends.0, &ends.1, client_limit, usize::MAX));
        pass_frames(&server, &client, server_limit, changed);
        up.join().expect("relayed");
    });
    address
}

fn pass_frames(mut from: &TcpStream, mut to: &TcpStream, limit: usize, changed: usize) {
    for number in 0..limit {
        let mut length = [0; 4];
        if from.read_exact(&mut length).is_err() {
            break;
        }
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        if from.read_exact(&mut frame).is_err() {
            break;
        }
        if number == changed {
            frame[0] ^= 1;
        }
        if to.write_all(&length).is_err() || to.write_all(&frame).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

#[test]
fn a_cut_after_each_client_frame_reports_correctly_whether_the_request_was_sent() {
    // Frames: hello, proof, request and three frames of the body.
    for frames in 0..=6 {
        let ran = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&ran);
        let fixture = Fixture::start(server(), move |exchange| {
            counter.fetch_add(1, Ordering::SeqCst);
            echo_length(exchange)
        });
        let address = relay(fixture.address, Fault::CutAfterClientFrames(frames));

        let is_sent = match client().acquire(None, address, soon()) {
            Err(_) => false,
            Ok(ready) => {
                if frames == 2 {
                    // The relay cuts the client's side before the server's.
                    assert!(fixture.wait_for(|server| server.counts().open_connections == 0));
                }
                let body = vec![3; BODY_BYTES];
                match ready.send(Unsent::new(), &handover(), &body, soon()) {
                    Err(SendError::NotSent { .. }) => false,
                    Err(SendError::PartlySent { .. }) => true,
                    Ok(mut exchange) => {
                        // After the last body frame, the response may arrive
                        // before the cut.
                        let response = exchange.collect(100, soon());
                        assert!(response.is_err() || frames == 6, "after {frames}");
                        true
                    }
                }
            }
        };

        assert_eq!(is_sent, frames >= 3, "after {frames}");
        assert!(fixture.wait_for(|server| server.counts().open_connections == 0));
        let has_run = ran.load(Ordering::SeqCst) > 0;
        assert_eq!(has_run, frames >= 3, "after {frames}");
        assert!(
            is_sent || !has_run,
            "ran although reported as not sent, after {frames}"
        );
    }
}

#[test]
fn a_cut_after_each_server_frame_never_gives_a_complete_response() {
    // Frames: welcome, head, two frames of the body and end.
    for frames in 0..5 {
        let fixture = Fixture::start(server(), echo_length);
        let address = relay(fixture.address, Fault::CutAfterServerFrames(frames));
        let client = client();

        let result = call(&client, address);

        assert!(result.is_err(), "after {frames} frames");
        assert_eq!(client.idle_connections(address), 0);
    }
}

#[test]
fn a_flipped_bit_is_detected() {
    for frame in 0..5 {
        let fixture = Fixture::start(server(), echo_length);
        let address = relay(fixture.address, Fault::ChangeServerFrame(frame));

        let result = call(&client(), address);

        match frame {
            0 => assert!(matches!(result, Err(LinkError::BadVersion { .. }))),
            _ => assert!(matches!(result, Err(LinkError::BadTag)), "{result:?}"),
        }
    }
}

#[test]
fn a_response_to_another_exchange_closes_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (stream, _) = listener.accept().expect("accepted");
        let mut link = Link::accept(stream, &key(), &identity("server"), soon()).expect("linked");
        let (exchange, _) = link.read_exchange_frame(soon()).expect("request");
        link.write_exchange_frame(exchange + 1, &Frame::Ack, &[], soon())
            .expect("written");
        let _ = link.read_exchange_frame(soon());
    });
    let client = client();

    let ready = client.acquire(None, address, soon()).expect("ready");
    let started = ready.send(Unsent::new(), &Frame::Ping, &[], soon());
    let result = started.expect("sent").next_message(soon());

    let is_wrong_exchange = matches!(
        result,
        Err(LinkError::WrongExchange {
            expected: 1,
            found: 2
        })
    );
    assert!(is_wrong_exchange, "{result:?}");
    assert_eq!(client.idle_connections(address), 0);
}

#[test]
fn a_request_with_another_exchange_number_closes_the_connection() {
    let fixture = Fixture::start(server(), echo_length);
    let stream = TcpStream::connect(fixture.address).expect("connected");
    let mut link = Link::connect(stream, &key(), &identity("client"), soon()).expect("linked");

    link.write_exchange_frame(5, &Frame::Ping, &[], soon())
        .expect("written");

    assert!(matches!(
        link.read_exchange_frame(soon()),
        Err(LinkError::Closed)
    ));
    assert!(fixture.wait_for(|server| server.counts().failed_connections == 1));
}

#[test]
fn a_client_refuses_a_server_with_another_key() {
    let other = PeerServer::new(ClusterKey::new(b"other"), identity("server"));
    let fixture = Fixture::start(other, echo_length);

    let result = client().acquire(None, fixture.address, soon());

    assert!(matches!(result, Err(LinkError::WrongKey)));
    assert!(fixture.wait_for(|server| server.counts().failed_handshakes == 1));
}

#[test]
fn a_server_refuses_a_client_that_cannot_prove_the_key() {
    let fixture = Fixture::start(server(), |_| panic!("must not run"));
    let mut stream = TcpStream::connect(fixture.address).expect("connected");
    let mut hello = vec![1, 1, b'x', 7];
    hello.extend_from_slice(&[0; 32]);
    let mut bytes = (hello.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&hello);
    bytes.extend_from_slice(&16u32.to_be_bytes());
    bytes.extend_from_slice(&[0; 16]);
    stream.write_all(&bytes).expect("written");

    assert!(fixture.wait_for(|server| server.counts().failed_handshakes == 1));
    assert!(fixture.wait_for(|server| server.counts().open_connections == 0));
}

#[test]
fn another_host_at_the_address_is_refused_before_anything_is_sent() {
    let fixture = Fixture::start(server(), echo_length);
    let expected = identity("other").host;

    let result = client().acquire(Some(&expected), fixture.address, soon());

    assert!(matches!(result, Err(LinkError::WrongHost { .. })));
}

#[test]
fn the_handler_detects_a_cancelled_exchange() {
    let (sender, detected) = mpsc::channel();
    let fixture = Fixture::start(server(), move |exchange| {
        exchange.read_body(soon())?;
        let deadline = soon();
        while !exchange.is_cancelled() && Instant::now() < deadline {
            exchange.send(&Frame::ResponseBody, b"token", soon())?;
            thread::sleep(Duration::from_millis(5));
        }
        let _ = sender.send(exchange.is_cancelled());
        Ok(())
    });
    let ready = client().acquire(None, fixture.address, soon());
    let body = vec![3; BODY_BYTES];
    let started = ready
        .expect("ready")
        .send(Unsent::new(), &handover(), &body, soon());
    let mut exchange = started.expect("sent");
    exchange.next_message(soon()).expect("first body frame");

    let _ = exchange.cancel();

    assert_eq!(detected.recv_timeout(Duration::from_secs(3)), Ok(true));
}

#[test]
fn a_handler_without_a_final_frame_gives_no_response() {
    let fixture = Fixture::start(server(), |_| Ok(()));

    let result = call(&client(), fixture.address);

    assert!(result.is_err(), "{result:?}");
    assert!(fixture.wait_for(|server| server.counts().failed_connections == 1));
}

#[test]
fn connections_per_host_are_limited_on_both_sides() {
    let fixture = Fixture::start(server().with_max_connections_per_host(1), echo_length);
    let client = client().with_max_connections(1);
    // The client completes the handshake before the server counts the connection;
    // a complete exchange ensures that the server has counted it.
    assert!(call(&client, fixture.address).is_ok());

    let first = client
        .acquire(None, fixture.address, soon())
        .expect("ready");
    let second = client.acquire(None, fixture.address, soon());
    // A server over its limit closes the connection after the handshake.
    let other = PeerClient::new(key(), identity("client"));
    let third = call(&other, fixture.address);

    assert!(matches!(
        second,
        Err(LinkError::TooManyConnections { limit: 1 })
    ));
    assert!(third.is_err());
    assert_eq!(first.peer(), &identity("server"));
    assert!(fixture.wait_for(|server| server.counts().refused_connections == 1));
}

fn forward_from(origin: &str) -> Frame {
    let allowed: AllowedRegions =
        serde_json::from_str(r#"["stred", "zapad"]"#).expect("valid regions");
    Frame::Forward(ForwardHead {
        request: RequestId(12),
        caller: "drevoton".parse().expect("valid caller"),
        target: "model/stain-advice".parse().expect("valid target"),
        tier: Tier::Priority,
        prompt_tokens: Tokens(2_000),
        max_output_tokens: Tokens(400),
        prefix_hashes: vec![1; 128],
        deadline_ms: Millis(1_700_000_000_000),
        is_repeatable: true,
        origin_region: "stred".parse().expect("valid region"),
        origin_host: origin.parse().expect("valid host"),
        allowed,
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        headers: vec![Field {
            name: "content-type".into(),
            value: "application/json".into(),
        }],
        is_stream: true,
        body_bytes: Bytes(3),
    })
}

#[test]
fn a_forwarded_request_is_served_only_if_its_origin_is_the_sender() {
    let (sender, requests) = mpsc::channel();
    let fixture = Fixture::start(server(), move |exchange| {
        let _ = sender.send(exchange.request().clone());
        echo_length(exchange)
    });
    let forward = |origin| {
        let ready = client().acquire(None, fixture.address, soon());
        let request = forward_from(origin);
        let started = ready
            .expect("ready")
            .send(Unsent::new(), &request, b"{} ", soon());
        started.expect("sent").collect(100, soon())
    };

    let relayed = forward("third");
    let own = forward("client").expect("answered");

    assert!(matches!(relayed, Err(LinkError::Closed)), "{relayed:?}");
    assert_eq!(own.payload, b"3 bytes");
    assert_eq!(requests.try_recv(), Ok(forward_from("client")));
    assert!(requests.try_recv().is_err());
}

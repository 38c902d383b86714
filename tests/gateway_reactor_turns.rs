//! Turns of the reactor between requests and updates: a reactor in this process whose queue of
//! updates is filled before it runs.

mod gatewayenv;

use std::{
    io::{
        self,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    path::Path,
    thread,
    time::Duration, //
};

use cardamombridge::{
    gateway::{
        commands::{
            Command,
            CommandSender, //
        },
        endpoint::{
            Announcement,
            AnnouncementOrder,
            Stage, //
        },
        reactor::{
            Reactor,
            ReactorExit, //
        },
        settings::GatewaySettings,
        store_replica::Update,
        telemetry::Telemetry, //
    },
    types::ParseError, //
};
use compact_str::format_compact;
use crossbeam::channel::{
    Receiver,
    Sender,
    bounded,
    unbounded, //
};
use gatewayenv::{
    Request,
    free_addresses,
    read_response, //
};

/// Endpoints that the reactor knows.
const ENDPOINTS: u64 = 2_000;
/// Updates of which each concerns all endpoints.
const EVACUATIONS: u64 = 20_000;
/// Time limit for what does not wait for the reactor.
const WAIT_LIMIT: Duration = Duration::from_secs(5);
/// Time for which a host runs after it was told to stop, at least.
const MIN_SHUTDOWN: Duration = Duration::from_millis(4_200);

fn settings(addresses: &[SocketAddr]) -> GatewaySettings {
    let text = format!(
        "[host]\nname = host-1\nregion = north\ndata_centre = north-a\ncapacity = 1\n\
         caller_address = {}\nready_address = {}\ndirectory_address = {}\npeer_address = {}\n\
         [store]\naddress = {}\nmin_lease_ms = 1000\n[data_centres]\nnorth-a = north\n\
         [limits]\nshutdown_s = 8\ncold_factor = 1.5\ncold_slack = 3\nretry_ratio = 0.2\n\
         retry_slack = 56\nretry_window_s = 10\n[logs]\nfilter = info\n",
        addresses[0], addresses[1], addresses[2], addresses[3], addresses[4],
    );
    GatewaySettings::parse(Path::new("settings.ini"), &text).expect("valid settings")
}

fn announcement(address: SocketAddr) -> Result<Announcement, ParseError> {
    Ok(Announcement {
        service: "model".into(),
        address,
        data_centre: "north-a".into(),
        software_version: "v1".parse()?,
        slots: 8,
        stage: Stage::Ready,
        cold_left_ms: 0,
        remaining_ms: None,
        order: AnnouncementOrder::default(),
    })
}

/// Sends the announcements of all endpoints, and evacuations that begin and end.
fn send_updates(sender: &Sender<Update>, address: SocketAddr) {
    let announcement = announcement(address).expect("a valid version");
    let endpoints = (0..ENDPOINTS)
        .map(|number| Update::Endpoint(format_compact!("e-{number}"), announcement.clone()));
    let evacuations =
        (0..EVACUATIONS).map(|number| Update::Evacuated("north-a".into(), number % 2 == 0));
    for update in endpoints.chain(evacuations) {
        sender.send(update).expect("the queue has room");
    }
}

/// A reactor in a thread of its own.
struct Prepared {
    commands: CommandSender,
    exit: Receiver<ReactorExit>,
}

/// Opens the sockets of a reactor, which runs once `begins` has a message.
fn prepare_reactor(
    settings: GatewaySettings,
    updates: Receiver<Update>,
    begins: Receiver<()>,
) -> Prepared {
    let (opened, is_opened) = bounded(1);
    let (ended, exit) = bounded(1);
    // A reactor that is not stopped ends with the process.
    thread::spawn(move || -> io::Result<()> {
        let mut reactor = Reactor::new(settings, updates, Telemetry::new())?;
        let commands = CommandSender::new(reactor.commands(), reactor.waker()?);
        opened.send(commands).expect("the test runs");
        begins.recv().expect("the test runs");
        let exit = reactor.run()?;
        // A test that is over does not wait for the end.
        let _ = ended.send(exit);
        Ok(())
    });
    Prepared {
        commands: is_opened.recv().expect("the sockets are opened"),
        exit,
    }
}

/// Guards against requests that wait until no update is left.
#[test]
fn requests_are_answered_between_updates() {
    let addresses = free_addresses(5);
    let (sender, updates) = unbounded();
    let (begin, begins) = bounded(1);
    let _reactor = prepare_reactor(settings(&addresses), updates, begins);
    send_updates(&sender, addresses[4]);
    let mut stream = TcpStream::connect(addresses[1]).expect("the reactor listens");
    let request = Request::get("/cardamombridge/readyz").bytes();
    stream.write_all(&request).expect("the request is sent");

    begin.send(()).expect("the reactor waits");
    let response = read_response(&mut stream);
    let left = sender.len();

    assert_eq!(response.map(|response| response.status), Some(503));
    assert!(left > 0, "all updates were applied before the answer");
}

/// Guards against a signal that waits for room in a full queue of updates, so that neither the host
/// nor its lease ends meanwhile.
#[test]
fn stop_does_not_wait_for_queued_updates() {
    let addresses = free_addresses(5);
    let (sender, updates) = bounded(1);
    let (begin, begins) = bounded(1);
    let reactor = prepare_reactor(settings(&addresses), updates, begins);
    sender.send(Update::StoreReachable(true)).expect("room");

    let (done, is_done) = bounded(1);
    let commands = reactor.commands;
    thread::spawn(move || {
        commands.send(Command::Stop);
        done.send(())
    });
    let is_done = is_done.recv_timeout(WAIT_LIMIT);
    begin.send(()).expect("the reactor waits");
    let exit = reactor.exit.recv_timeout(MIN_SHUTDOWN + WAIT_LIMIT);

    assert!(is_done.is_ok(), "the signal waits for the reactor");
    assert_eq!(exit, Ok(ReactorExit { cut_off_count: 0 }));
}

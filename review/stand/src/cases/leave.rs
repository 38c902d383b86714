//! Callers leave right after they have sent a request.

use std::{
    io::Write,
    net::TcpStream,
    path::Path,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    Verdict,
    call::Call,
    host::Host,
    record::Record,
    server::WorkingServer,
    site::{
        announce_at,
        start_store, //
    }, //
};

const LIMIT_MS: u64 = 8_000;
const GOAL_MS: u64 = 4_000;
const WORK: Duration = Duration::from_millis(900);
const REQUESTS: usize = 100;
const INTERVAL: Duration = Duration::from_millis(250);
/// Three in ten callers leave, as on the small sites.
const LEAVERS_OF_TEN: usize = 3;
/// Time after the close from which a server counts as still at work.
const SLACK: Duration = Duration::from_millis(500);

pub fn play(directory: &Path, has_trouble: bool, record: &Record) -> Verdict {
    let store = start_store(LIMIT_MS, GOAL_MS);
    let server = WorkingServer::start("i-desk-1", WORK);
    announce_at(&store, "i-desk-1", server.address(), "north");
    let host = Host::start(directory, store.address(), "edge-north-a-1", "north");
    if !host.wait_ready() {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(1));
    let address = host.caller_address;
    let mut callers = Vec::new();
    let mut left: Vec<(String, Instant)> = Vec::new();
    for number in 0..REQUESTS {
        thread::sleep(INTERVAL);
        let id = format!("attempt-{number}");
        let call = Call::get("/read/list").with_attempt(&id, LIMIT_MS);
        if !has_trouble || number % 10 >= LEAVERS_OF_TEN {
            record.line(&format!("{id} sent"));
            callers.push(thread::spawn(move || {
                let answer = call.send(address, Duration::from_millis(LIMIT_MS));
                (id, answer)
            }));
            continue;
        }
        let sent =
            TcpStream::connect(address).and_then(|mut stream| stream.write_all(&call.bytes()));
        if sent.is_err() {
            return Verdict::NotRun;
        }
        record.line(&format!("{id} sent, and its channel closed"));
        left.push((id, Instant::now()));
    }
    let mut served_count = 0;
    let stayed_count = callers.len();
    for caller in callers {
        let (id, answer) = caller.join().expect("no caller panics");
        record.line(&format!("{id}: status {:?}", answer.status));
        served_count += usize::from(answer.status == Some(200));
    }
    thread::sleep(WORK);
    let runs = server.runs();
    let mut late_count = 0;
    for (id, closed) in &left {
        let Some(run) = runs.iter().find(|run| run.attempt == *id) else {
            record.line(&format!("{id} didn't reach the server"));
            continue;
        };
        let after = run.ended.saturating_duration_since(*closed);
        record.line(&format!(
            "{id}: the server worked until {} ms after the close",
            after.as_millis()
        ));
        late_count += usize::from(after > SLACK);
    }
    record.line(&format!(
        "{served_count} of {stayed_count} callers who stayed were served; {} left, the server \
         still worked for {late_count} of them half a second later",
        left.len()
    ));
    if served_count * 10 < stayed_count * 9 {
        return Verdict::NotRun;
    }
    match late_count * 4 > left.len() {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

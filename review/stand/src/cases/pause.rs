//! Callers read nothing for a few seconds in the middle of an answer.

use std::{
    io::Write,
    net::{
        SocketAddr,
        TcpStream, //
    },
    path::Path,
    thread,
    time::Duration, //
};

use cardamombridge::standin::scripted::{
    Script,
    ScriptedEndpoint, //
};

use crate::{
    Verdict,
    call::{
        Answer,
        Call,
        read_answer, //
    },
    host::Host,
    record::Record,
    site::{
        announce,
        start_store, //
    }, //
};

const CALLERS: usize = 8;
const ANSWER_BYTES: usize = 450_000;
const LIMIT_MS: u64 = 15_000;
const GOAL_MS: u64 = 800;
const PAUSE: Duration = Duration::from_secs(3);
/// More answers than this may not be missing.
const MOST_LOST: usize = 3;

pub fn play(directory: &Path, has_trouble: bool, record: &Record) -> Verdict {
    let store = start_store(LIMIT_MS, GOAL_MS);
    let endpoint = ScriptedEndpoint::start("i-desk-1", |_, arrival| {
        let size = match arrival.path.ends_with("/plan") {
            true => ANSWER_BYTES,
            false => 800,
        };
        Script::Answer(200, vec![b'x'; size])
    });
    let Ok(endpoint) = endpoint else {
        return Verdict::NotRun;
    };
    announce(&store, &endpoint, "north");
    let host = Host::start(directory, store.address(), "edge-north-a-1", "north");
    if !host.wait_ready() {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(1));
    let address = host.caller_address;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            thread::sleep(Duration::from_millis(100));
            record.line(&format!(
                "caller {number} sends two requests on one channel"
            ));
            thread::spawn(move || (number, call_twice(address, number, has_trouble)))
        })
        .collect();
    let mut lost_count = 0;
    for caller in callers {
        let (number, answers) = caller.join().expect("no caller panics");
        let Some((first, second)) = answers else {
            return Verdict::NotRun;
        };
        if !first.is_complete {
            return Verdict::NotRun;
        }
        record.line(&format!(
            "caller {number}: status {:?}, {} of {ANSWER_BYTES} bytes, complete {}, after {:.1} s",
            second.status,
            second.body.len(),
            second.is_complete,
            second.took.as_secs_f64()
        ));
        lost_count += usize::from(!second.is_complete);
    }
    record.line(&format!(
        "{} requests have run; {lost_count} of {CALLERS} long answers were cut",
        endpoint.runs().len()
    ));
    match lost_count > MOST_LOST {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Sends a short request, and then one with a long answer that is read after a pause.
fn call_twice(address: SocketAddr, number: usize, pauses: bool) -> Option<(Answer, Answer)> {
    let limit = Duration::from_millis(LIMIT_MS);
    let mut stream = TcpStream::connect(address).ok()?;
    let short = Call::get("/read/list").with_attempt(&format!("short-{number}"), LIMIT_MS);
    stream.write_all(&short.bytes()).ok()?;
    let first = read_answer(&mut stream, limit, None);
    let long = Call::get("/read/plan").with_attempt(&format!("long-{number}"), LIMIT_MS);
    stream.write_all(&long.bytes()).ok()?;
    if pauses {
        thread::sleep(PAUSE);
    }
    let second = read_answer(&mut stream, limit, None);
    Some((first, second))
}

//! Streams of events that can be resumed.

use std::{
    io::{self, Write},
    net::TcpStream,
};

use crate::bench::{ReplicaState, Request, lock, sleep_ms, unix_ms};

/// Returns the work of a replica that sends `count` events, each after a pause, and goes on after
/// the event that `Last-Event-Id` names.
pub fn stream_work(
    count: u64,
    pause_ms: u64,
) -> impl Fn(&Request, &mut TcpStream, &ReplicaState) -> io::Result<()> + Send + Sync {
    work(count, move || sleep_ms(pause_ms))
}

/// Like [`stream_work`], for an engine that makes an event of all its streams in each step.
pub fn batched_work(
    count: u64,
    step_ms: u64,
) -> impl Fn(&Request, &mut TcpStream, &ReplicaState) -> io::Result<()> + Send + Sync {
    work(count, move || sleep_ms(step_ms - unix_ms() % step_ms))
}

fn work<P>(
    count: u64,
    pause: P,
) -> impl Fn(&Request, &mut TcpStream, &ReplicaState) -> io::Result<()> + Send + Sync
where
    P: Fn() + Send + Sync,
{
    move |request, channel, state| {
        let version = lock(&state.version).clone();
        let after: u64 = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {0}\r\nX-Server-Seal: seal-{0}\r\n\
             X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            request.attempt()
        );
        channel.write_all(head.as_bytes())?;
        for number in after + 1..=count {
            pause();
            let event = format!("id: {number}\ndata: {version} {number}\n\n");
            channel.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        channel.write_all(b"0\r\n\r\n")
    }
}

/// Returns the ids of the complete events of a stream.
pub fn event_ids(body: &[u8]) -> Vec<u64> {
    complete_events(body).iter().filter_map(|event| field(event, "id: ")?.parse().ok()).collect()
}

/// Returns the software versions that wrote the complete events of a stream.
pub fn versions(body: &[u8]) -> Vec<String> {
    let mut all: Vec<String> = complete_events(body)
        .iter()
        .filter_map(|event| Some(field(event, "data: ")?.split(' ').next()?.to_string()))
        .collect();
    all.dedup();
    all
}

fn complete_events(body: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(body).into_owned();
    let complete = text.rfind("\n\n").map_or("", |end| &text[..end]);
    complete.split("\n\n").map(str::to_string).collect()
}

fn field<'a>(event: &'a str, name: &str) -> Option<&'a str> {
    event.lines().find_map(|line| line.strip_prefix(name))
}

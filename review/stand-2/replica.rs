//! Replicas: sound servers that answer as a function says.

use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
};

use crate::{
    http::{Head, Wire},
    json,
};

/// A request that arrived whole at a replica, and the connection for its answer.
pub struct Arrived<'a> {
    pub head: Head,
    pub wire: &'a mut Wire,
}

impl Arrived<'_> {
    pub fn attempt(&self) -> String {
        self.head.field("x-attempt-id").unwrap_or("").to_owned()
    }

    /// Answers with a body of known length; false if the connection is to be closed.
    pub fn answer(&mut self, status: u16, fields: &str, body: &[u8]) -> bool {
        let attempt = self.attempt();
        let id = match attempt.is_empty() {
            true => String::new(),
            false => format!("X-Attempt-Id: {attempt}\r\n"),
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\n{id}{fields}Content-Length: {}\r\n\r\n",
            body.len()
        );
        self.wire.write(head.as_bytes()).is_ok() && self.wire.write(body).is_ok()
    }
}

pub const SEAL: &str = "X-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";

/// Starts a replica; `run` answers a request and returns whether the connection stays.
pub fn start<F>(id: &str, address: SocketAddr, run: F) -> SocketAddr
where
    F: Fn(&mut Arrived<'_>) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).expect("a port for a replica");
    let address = listener.local_addr().expect("an address");
    let (run, id) = (Arc::new(run), id.to_owned());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (run, id) = (Arc::clone(&run), id.clone());
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Ok(Some(head)) = wire.read_head() {
                    wire.read_body(&head, false, |_| {});
                    let mut arrived = Arrived {
                        head,
                        wire: &mut wire,
                    };
                    let is_kept = match arrived.head.target() {
                        "/healthz" => arrived.answer(200, &format!("X-Instance-Id: {id}\r\n"), b""),
                        "/cardamombridge/report" => {
                            let report = format!("{{\"born\":{BORN},\"active\":0,\"queued\":0}}");
                            arrived.answer(200, "", report.as_bytes())
                        }
                        _ if arrived.head.field("x-expect-instance") != Some(&id) => arrived
                            .answer(
                                421,
                                &format!("X-Instance-Id: {id}\r\nX-Not-Run: 1\r\n"),
                                b"",
                            ),
                        _ => run(&mut arrived),
                    };
                    if !is_kept {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Unix time of the start of each replica, in milliseconds.
pub const BORN: u64 = 1_790_000_000_000;

/// Item under which a replica registers.
pub fn item(
    id: &str,
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
) -> (String, String) {
    let value = format!(
        "{{\"backend\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":[],\
         \"seq\":1,\"born\":{BORN}}}"
    );
    (format!("servers/{id}"), value)
}

/// A route in the operator's configuration.
pub fn route(
    prefix: &str,
    kind: &str,
    service: &str,
    timeout_ms: u64,
    goal_ms: u64,
    attempts: u32,
) -> String {
    format!(
        "{{\"name\":\"r-{service}-{kind}\",\"host\":\"shop.example\",\"prefix\":\"{prefix}\",\
         \"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"goal_ms\":{goal_ms},\"prio\":2,\
         \"backend\":\"{service}\",\"max_attempts\":{attempts},\"home_regions\":[]}}"
    )
}

/// The operator's configuration, with the limits of the small sites.
pub fn configuration(version: u64, routes: &[String], services: &[&str], more: &str) -> String {
    let services = services.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":110,\"proto\":\"h1\",\
             \"tls\":false,\"cold_s\":0.0,\"cold_per_s\":0.0}}"
        )
    });
    let services: Vec<String> = services.collect();
    let text = format!(
        "{{\"version\":{version},\"routes\":[{}],\"backends\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}{more}}}",
        routes.join(","),
        services.join(",")
    );
    assert!(
        json::Json::parse(&text).is_some(),
        "the configuration is JSON"
    );
    text
}

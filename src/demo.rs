//! The `demo` command: a fixed script against three regions in one process.
//!
//! Each step prints one line with what was observed. The command succeeds only
//! if every step held.

use std::{
    io::Write,
    net::SocketAddr,
    process::ExitCode,
    sync::atomic::{
        AtomicUsize,
        Ordering, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use anyhow::{
    Context,
    ensure, //
};
use clap::Args;
use serde_json::{
    Value,
    json, //
};

use crate::{
    admin::{
        Confirmed,
        RegionOutcome, //
    },
    admin_client::AdminClient,
    host::Host,
    http::{
        client::{
            self,
            HttpRequest,
            HttpResponse, //
        },
        message::Headers, //
    },
    openai::{
        EventSplitter,
        StreamEvent, //
    },
    standin::{
        answer::{
            ChatMessage,
            expected_answer, //
        },
        model::ModelOptions,
        testbed::{
            CALLER_KEY,
            MODEL,
            OPERATOR_KEY,
            SERVICE,
            Testbed,
            TestbedOptions, //
        }, //
    },
    types::Revision, //
};

const START_TIMEOUT: Duration = Duration::from_secs(10);
const CALL_TIMEOUT: Duration = Duration::from_secs(12);
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(4);
const POLL: Duration = Duration::from_millis(20);
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const ENGINE_SLOTS: u32 = 2;
/// Twice what the engines of one region run at the same time.
const BURST_REQUESTS: usize = 8;

/// Options of the demonstration.
#[derive(Debug, Args)]
#[command(after_help = "Examples:\n  \
    cardamombridge demo\n  \
    cardamombridge demo --hold    # stays up for a client of yours")]
pub struct DemoArgs {
    /// Stay up after the script and print where a client can connect.
    #[arg(long)]
    hold: bool,
}

/// Runs the script.
pub fn run(args: &DemoArgs) -> anyhow::Result<ExitCode> {
    let mut demo = Demo::start()?;
    let mut failed = 0;
    let steps: [(&str, Step); 6] = [
        ("plain answer", Demo::plain_answer),
        ("stream", Demo::stream),
        ("overflow", Demo::overflow),
        ("region cut off", Demo::region_cut_off),
        ("non-repeatable call", Demo::ticketed_call),
        ("configuration change", Demo::configuration_change),
    ];
    for (name, step) in steps {
        match step(&mut demo) {
            Ok(observed) => println!("ok      {name}: {observed}"),
            Err(error) => {
                failed += 1;
                println!("failed  {name}: {error:#}");
            }
        }
    }
    if args.hold {
        demo.hold()?;
    }
    Ok(match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    })
}

type Step = fn(&mut Demo) -> anyhow::Result<String>;

struct Demo {
    testbed: Testbed,
    hosts: Vec<Host>,
}

impl Demo {
    fn start() -> anyhow::Result<Self> {
        let speed = ModelOptions {
            slots: ENGINE_SLOTS,
            ..ModelOptions::default()
        };
        let options = TestbedOptions::new().with_speed(speed);
        let testbed = Testbed::start(&options)?;
        testbed.accept(&Testbed::intent_text(&options))?;
        let mut hosts = Vec::new();
        for seat in &testbed.seats {
            hosts.push(Host::start(seat.config.clone(), &Testbed::keys())?);
        }
        let demo = Self { testbed, hosts };
        demo.wait_until("all hosts know all regions", START_TIMEOUT, |demo| {
            demo.regions_known().is_some_and(|known| known == 3)
        })?;
        Ok(demo)
    }

    /// Regions whose entry hosts the first host knows.
    fn regions_known(&self) -> Option<usize> {
        let answer = get(self.host("stred"), "/v1/entry").ok()?;
        Some(answer.json["hosts"].as_array()?.len())
    }

    fn plain_answer(&mut self) -> anyhow::Result<String> {
        let started = Instant::now();
        let answer = post(
            self.host("stred"),
            &chat("oak floor, 1970s", 24, false),
            None,
        )?;
        ensure!(answer.status == 200, "status {}", answer.status);
        let text = answer.json["choices"][0]["message"]["content"].as_str();
        ensure!(
            text == Some(&expected("oak floor, 1970s", 24)),
            "the answer differs from what the engine derives"
        );
        Ok(format!(
            "24 tokens, every byte as expected, in {} ms",
            started.elapsed().as_millis()
        ))
    }

    fn stream(&mut self) -> anyhow::Result<String> {
        let stream = stream(self.host("zapad"), "birch stairs", 24)?;
        ensure!(
            stream.text == expected("birch stairs", 24),
            "the answer differs"
        );
        ensure!(stream.has_done, "the stream has no [DONE]");
        ensure!(
            stream.last > stream.first + Duration::from_millis(20),
            "all tokens came together"
        );
        Ok(format!(
            "first token after {} ms, last after {} ms, ended by [DONE]",
            stream.first.as_millis(),
            stream.last.as_millis()
        ))
    }

    fn overflow(&mut self) -> anyhow::Result<String> {
        let before = self.requests_outside("stred");
        let host = self.host("stred");
        let whole = AtomicUsize::new(0);
        thread::scope(|scope| {
            for number in 0..BURST_REQUESTS {
                let whole = &whole;
                scope.spawn(move || {
                    let prompt = format!("match number {number}");
                    let answer = stream(host, &prompt, 400);
                    if answer.is_ok_and(|answer| answer.text == expected(&prompt, 400)) {
                        whole.fetch_add(1, Ordering::Relaxed);
                    }
                });
            }
        });
        let away = self.requests_outside("stred") - before;
        let whole = whole.into_inner();
        ensure!(
            whole == BURST_REQUESTS,
            "{whole} of {BURST_REQUESTS} answers were whole"
        );
        ensure!(away > 0, "no request went to another region");
        Ok(format!(
            "{BURST_REQUESTS} requests at stred, {away} answered by other regions, all whole"
        ))
    }

    fn region_cut_off(&mut self) -> anyhow::Result<String> {
        self.set_cut("sever", true);
        let during = post(self.host("sever"), &chat("larch door", 16, false), None)?;
        ensure!(
            during.status == 200,
            "cut off, status {} for its own caller",
            during.status
        );
        let confirmed = self.confirm(&budget_intent(2_000_000_000))?;
        let sever = outcome_of(&confirmed, "sever")?;
        ensure!(
            !matches!(sever, RegionOutcome::InForce { .. }),
            "the change is said to be in force in the region that is cut off"
        );
        self.set_cut("sever", false);
        let started = Instant::now();
        self.wait_in_force("sever", confirmed.accepted.revision)?;
        Ok(format!(
            "sever served its own caller; the change was reported {}; in force {} ms after the cut ended",
            describe(sever),
            started.elapsed().as_millis()
        ))
    }

    fn ticketed_call(&mut self) -> anyhow::Result<String> {
        let body = json!({"key": "parcel-17"}).to_string().into_bytes();
        let call = |ticket: Option<&str>| Request {
            method: "POST",
            path: format!("/v1/services/{SERVICE}/dispatch"),
            body: body.clone(),
            ticket: ticket.map(str::to_string),
        };
        let refused = send(self.host("stred"), &call(None))?;
        ensure!(
            refused.status == 428,
            "status {} without a ticket",
            refused.status
        );
        let ticket = refused.json["ticket"].as_str().unwrap_or_default();
        let first = send(self.host("stred"), &call(Some(ticket)))?;
        let second = send(self.host("zapad"), &call(Some(ticket)))?;
        let runs: u32 = self
            .testbed
            .services
            .iter()
            .map(|service| service.standin.all_runs().values().sum::<u32>())
            .sum();
        ensure!(
            first.status == 200 && second.status == 200,
            "status {} and {}",
            first.status,
            second.status
        );
        ensure!(runs == 1, "the call ran {runs} times");
        ensure!(first.body == second.body, "the answers differ");
        Ok("sent at stred and again at zapad with one ticket: ran once, same answer twice".into())
    }

    fn configuration_change(&mut self) -> anyhow::Result<String> {
        let confirmed = self.confirm(&budget_intent(3_000_000_000))?;
        let mut slowest_ms = 0;
        for result in &confirmed.regions {
            match &result.outcome {
                RegionOutcome::InForce { after_ms } => slowest_ms = slowest_ms.max(after_ms.0),
                other => anyhow::bail!("region {}: {}", result.region, describe(other)),
            }
        }
        ensure!(
            Duration::from_millis(slowest_ms) <= IN_FORCE_TIMEOUT,
            "in force only after {slowest_ms} ms"
        );
        Ok(format!(
            "planned, confirmed as revision {}, in force in {} regions within {slowest_ms} ms",
            confirmed.accepted.revision,
            confirmed.regions.len()
        ))
    }

    fn confirm(&self, intent: &str) -> anyhow::Result<Confirmed> {
        let seat = self.testbed.seats_in("stred").next();
        let address = seat.context("stred has no host")?.config.admin_address;
        let client = AdminClient::new(address, OPERATOR_KEY.into());
        let planned = client.plan(intent)?;
        Ok(client.confirm(&planned.plan)?)
    }

    fn set_cut(&mut self, region: &str, is_cut: bool) {
        for other in ["stred", "zapad", "sever"] {
            if other != region {
                self.testbed.set_cut_between(region, other, is_cut);
            }
        }
        self.testbed.set_platform_cut(region, is_cut);
    }

    fn wait_in_force(&self, region: &str, revision: Revision) -> anyhow::Result<()> {
        let what = format!("revision {revision} is in force in {region}");
        self.wait_until(&what, IN_FORCE_TIMEOUT, |demo| {
            let ready = get(demo.host(region), "/readyz");
            ready.is_ok_and(|answer| answer.json["revision"].as_u64() >= Some(revision.0))
        })
    }

    fn wait_until<F>(&self, what: &str, timeout: Duration, is_true: F) -> anyhow::Result<()>
    where
        F: Fn(&Self) -> bool,
    {
        let deadline = Instant::now() + timeout;
        while !is_true(self) {
            ensure!(Instant::now() < deadline, "timed out: {what}");
            thread::sleep(POLL);
        }
        Ok(())
    }

    fn host(&self, region: &str) -> SocketAddr {
        let seats = self.testbed.seats.iter().zip(&self.hosts);
        let mut here = seats.filter(|(seat, _)| seat.config.region.as_str() == region);
        here.next().map_or_else(
            || SocketAddr::from(([127, 0, 0, 1], 0)),
            |(_, host)| host.caller_address(),
        )
    }

    /// Requests that engines outside a region have seen.
    fn requests_outside(&self, region: &str) -> usize {
        self.testbed
            .engines
            .iter()
            .filter(|engine| engine.info.region.as_str() != region)
            .map(|engine| engine.standin.seen().len())
            .sum()
    }

    fn hold(&self) -> anyhow::Result<()> {
        println!("base_url=http://{}/v1", self.host("stred"));
        println!("api_key={CALLER_KEY}");
        println!("model={MODEL}");
        for engine in self.testbed.engines.iter().take(1) {
            println!("engine={}", engine.info.address);
        }
        std::io::stdout().flush()?;
        loop {
            thread::park();
        }
    }
}

fn outcome_of<'a>(confirmed: &'a Confirmed, region: &str) -> anyhow::Result<&'a RegionOutcome> {
    let mut results = confirmed.regions.iter();
    let found = results.find(|result| result.region.as_str() == region);
    Ok(&found.context("the region is not reported")?.outcome)
}

fn describe(outcome: &RegionOutcome) -> String {
    match outcome {
        RegionOutcome::InForce { after_ms } => format!("in force after {after_ms}"),
        RegionOutcome::Behind { revision } => format!("behind at revision {revision}"),
        RegionOutcome::Unreachable => "unreachable".into(),
    }
}

fn budget_intent(budget_micros: u64) -> String {
    let text = Testbed::intent_text(&TestbedOptions::new());
    text.replacen(
        "budget_micros = 1000000000u",
        &format!("budget_micros = {budget_micros}u"),
        1,
    )
}

fn expected(prompt: &str, max_tokens: usize) -> String {
    expected_answer(&[ChatMessage::new("user", prompt)], max_tokens).concat()
}

struct Request {
    method: &'static str,
    path: String,
    body: Vec<u8>,
    ticket: Option<String>,
}

fn chat(prompt: &str, max_tokens: u64, is_stream: bool) -> Vec<u8> {
    json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": is_stream,
    })
    .to_string()
    .into_bytes()
}

struct JsonAnswer {
    status: u16,
    body: Vec<u8>,
    json: Value,
}

fn get(host: SocketAddr, path: &str) -> anyhow::Result<JsonAnswer> {
    let request = Request {
        method: "GET",
        path: path.into(),
        body: Vec::new(),
        ticket: None,
    };
    send(host, &request)
}

fn post(host: SocketAddr, body: &[u8], ticket: Option<&str>) -> anyhow::Result<JsonAnswer> {
    let request = Request {
        method: "POST",
        path: "/v1/chat/completions".into(),
        body: body.to_vec(),
        ticket: ticket.map(str::to_string),
    };
    send(host, &request)
}

fn send(host: SocketAddr, request: &Request) -> anyhow::Result<JsonAnswer> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let mut answer = open(host, request, deadline)?;
    let body = answer
        .body
        .read_to_end(&mut answer.connection, MAX_BODY_BYTES, deadline)?;
    Ok(JsonAnswer {
        status: answer.head.status,
        json: serde_json::from_slice(&body).unwrap_or_default(),
        body,
    })
}

fn open(host: SocketAddr, request: &Request, deadline: Instant) -> anyhow::Result<HttpResponse> {
    let mut headers = Headers::new().with_field("authorization", &format!("Bearer {CALLER_KEY}"));
    if let Some(ticket) = &request.ticket {
        headers.push("idempotency-key", ticket);
    }
    let call = HttpRequest {
        method: request.method.into(),
        path: request.path.as_str().into(),
        headers,
        body: request.body.clone(),
    };
    let mut connection = client::connect(host, CALL_TIMEOUT)?;
    client::send(&mut connection, &call, deadline)?;
    Ok(client::receive(connection, deadline)?)
}

struct Stream {
    text: String,
    first: Duration,
    last: Duration,
    has_done: bool,
}

fn stream(host: SocketAddr, prompt: &str, max_tokens: u64) -> anyhow::Result<Stream> {
    let started = Instant::now();
    let deadline = started + CALL_TIMEOUT;
    let request = Request {
        method: "POST",
        path: "/v1/chat/completions".into(),
        body: chat(prompt, max_tokens, true),
        ticket: None,
    };
    let mut answer = open(host, &request, deadline)?;
    ensure!(answer.head.status == 200, "status {}", answer.head.status);
    let mut stream = Stream {
        text: String::new(),
        first: Duration::ZERO,
        last: Duration::ZERO,
        has_done: false,
    };
    let mut splitter = EventSplitter::new();
    let mut piece = Vec::new();
    while answer
        .body
        .read_piece(&mut answer.connection, &mut piece, deadline)?
        > 0
    {
        splitter.push(&piece);
        piece.clear();
        while let Some(event) = splitter.next_event() {
            match StreamEvent::parse(std::str::from_utf8(&event)?)? {
                StreamEvent::Delta { content, .. } => {
                    if stream.text.is_empty() {
                        stream.first = started.elapsed();
                    }
                    stream.text.push_str(&content);
                    stream.last = started.elapsed();
                }
                StreamEvent::Done => stream.has_done = true,
                StreamEvent::Other => {}
                StreamEvent::Error => anyhow::bail!("the stream reports an error"),
            }
        }
    }
    Ok(stream)
}

//! Metrics of this host, sent as statsd datagrams by `cadence`.
//!
//! All metrics are in one list with their kind and unit. They pass through a
//! bounded queue and a buffer, so that recording one never waits for the
//! network; a full queue drops and counts.

use std::{
    io,
    net::{
        Ipv4Addr,
        Ipv6Addr,
        SocketAddr,
        UdpSocket, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use cadence::{
    BufferedUdpMetricSink,
    Counted,
    Gauged,
    MetricError,
    MetricSink,
    NopMetricSink,
    QueuingMetricSink,
    StatsdClient,
    Timed, //
};
use thiserror::Error;

use crate::types::{
    HostId,
    RegionId, //
};

const PREFIX: &str = "cardamombridge";
/// Metrics that wait to be sent.
const QUEUE: usize = 4_096;

/// Why metrics cannot be sent.
#[derive(Debug, Error)]
pub enum MetricsSetupError {
    /// No socket could be opened.
    #[error("could not open a socket for metrics: {0}")]
    Socket(#[from] io::Error),
    /// The address was refused.
    #[error("could not send metrics to {address}: {error}")]
    Address {
        /// The address.
        address: SocketAddr,
        /// Why.
        #[source]
        error: MetricError,
    },
}

/// How a metric is aggregated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Adds up.
    Counter,
    /// The latest value holds.
    Gauge,
    /// A distribution of durations.
    Timer,
}

/// What a value means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// A number of things.
    One,
    /// Bytes.
    Bytes,
    /// Milliseconds.
    Millis,
    /// Model tokens.
    Tokens,
    /// Millionths of the currency unit.
    CostMicros,
}

macro_rules! metrics {
    ($($(#[$doc:meta])* $variant:ident => $name:literal, $kind:ident, $unit:ident;)*) => {
        /// A metric of this host.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Metric {
            $($(#[$doc])* $variant,)*
        }

        impl Metric {
            /// All metrics.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Name after the common prefix.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }

            /// How it is aggregated.
            pub fn kind(self) -> Kind {
                match self {
                    $(Self::$variant => Kind::$kind,)*
                }
            }

            /// What its values mean.
            pub fn unit(self) -> Unit {
                match self {
                    $(Self::$variant => Unit::$unit,)*
                }
            }
        }
    };
}

metrics! {
    /// Requests that callers sent.
    Requests => "requests", Counter, One;
    /// Requests that got a whole answer.
    RequestsComplete => "requests.complete", Counter, One;
    /// Requests that were refused and did not run.
    RequestsNotRun => "requests.not_run", Counter, One;
    /// Requests that may have run but have no whole answer.
    RequestsUnknown => "requests.unknown", Counter, One;
    /// Requests whose answer broke off.
    RequestsPartial => "requests.partial", Counter, One;
    /// Requests sent to another region.
    RequestsForwarded => "requests.forwarded", Counter, One;
    /// Requests taken from another host.
    RequestsReceived => "requests.received", Counter, One;
    /// Attempts after the first.
    Retries => "retries", Counter, One;
    /// Requests in progress.
    OpenRequests => "requests.open", Gauge, One;
    /// Requests that wait for an endpoint.
    QueuedRequests => "requests.queued", Gauge, One;
    /// Time to the first token.
    FirstToken => "first_token", Timer, Millis;
    /// Time to the whole answer.
    WholeAnswer => "whole_answer", Timer, Millis;
    /// Time that the gateway added to an answer.
    AddedLatency => "added_latency", Timer, Millis;
    /// Tokens that reached callers.
    OutputTokens => "tokens.output", Counter, Tokens;
    /// Prompt tokens that endpoints had cached.
    CachedTokens => "tokens.cached", Counter, Tokens;
    /// Tokens that were generated for nothing.
    WastedTokens => "tokens.wasted", Counter, Tokens;
    /// Amount spent.
    Spent => "spent", Counter, CostMicros;
    /// Gossip bytes sent, with IP and UDP headers.
    GossipSent => "gossip.sent", Counter, Bytes;
    /// Gossip bytes received, with IP and UDP headers.
    GossipReceived => "gossip.received", Counter, Bytes;
    /// Datagrams that were refused.
    GossipRefused => "gossip.refused", Counter, One;
    /// Datagrams and facts that were dropped because a ring was full.
    GossipDropped => "gossip.dropped", Counter, One;
    /// Exchanges with other hosts that broke.
    PeerBroken => "peer.broken", Counter, One;
    /// Events that were dropped because a ring was full.
    EventsDropped => "events.dropped", Counter, One;
    /// Polls of endpoints that failed.
    PollFailures => "poll.failures", Counter, One;
    /// Revision in force.
    Revision => "revision", Gauge, One;
    /// Calls of the platform's service.
    PlatformCalls => "platform.calls", Counter, One;
}

/// Records metrics of this host.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    dropped: Arc<AtomicU64>,
}

impl Metrics {
    /// Records nothing.
    pub fn none() -> Self {
        Self::from_client(StatsdClient::from_sink(PREFIX, NopMetricSink))
    }

    /// Sends to a statsd server over UDP.
    pub fn udp(
        address: SocketAddr,
        region: &RegionId,
        host: &HostId,
    ) -> Result<Self, MetricsSetupError> {
        let any: SocketAddr = match address {
            SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
            SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
        };
        let socket = UdpSocket::bind(any)?;
        // A datagram that cannot be sent at once is dropped.
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket)
            .map_err(|error| MetricsSetupError::Address { address, error })?;
        Ok(Self::with_sink(sink, region, host))
    }

    /// Sends through any sink, behind the bounded queue.
    pub fn with_sink<S>(sink: S, region: &RegionId, host: &HostId) -> Self
    where
        S: MetricSink + Send + Sync + std::panic::RefUnwindSafe + 'static,
    {
        let queue = QueuingMetricSink::with_capacity(sink, QUEUE);
        let client = StatsdClient::builder(PREFIX, queue)
            .with_tag("region", region.as_str())
            .with_tag("host", host.as_str())
            .build();
        Self::from_client(client)
    }

    fn from_client(client: StatsdClient) -> Self {
        Self {
            client: Arc::new(client),
            dropped: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Values that were dropped because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Adds to a counter.
    pub fn count(&self, metric: Metric, amount: u64) {
        debug_assert_eq!(metric.kind(), Kind::Counter);
        let sent = self.client.count(metric.name(), amount);
        self.note(sent.is_ok());
    }

    /// Sets a gauge.
    pub fn gauge(&self, metric: Metric, value: u64) {
        debug_assert_eq!(metric.kind(), Kind::Gauge);
        let sent = self.client.gauge(metric.name(), value);
        self.note(sent.is_ok());
    }

    /// Records a duration.
    pub fn time(&self, metric: Metric, duration: Duration) {
        debug_assert_eq!(metric.kind(), Kind::Timer);
        let sent = self.client.time(metric.name(), duration);
        self.note(sent.is_ok());
    }

    fn note(&self, is_sent: bool) {
        if !is_sent {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sends what is buffered; the recorder calls this about once a second.
    ///
    /// Values that are still in the queue go out with the next call.
    pub fn flush(&self) {
        if let Err(error) = self.client.flush() {
            tracing::debug!(%error, "could not flush metrics");
        }
    }
}

//! Starts the components of a host.

use std::{
    net::{
        SocketAddr,
        TcpListener,
        UdpSocket, //
    },
    sync::Arc,
    thread::JoinHandle, //
};

use super::{
    HostKeys,
    StartError, //
};
use crate::{
    burn::Burn,
    catch_up::SourceRing,
    clock,
    config::Config,
    decider::DeciderHandle,
    decision::event::{
        Event,
        Refusal,
        RefusalReason, //
    },
    http::connection::Connection,
    metrics::Metrics,
    openai::ErrorAnswer,
    outcome::{
        RunState,
        Unsent, //
    },
    peer::{
        gossip::{
            GossipConfig,
            GossipEvent, //
        },
        socket::{
            GossipSocket,
            LocalUpdate, //
        },
        wire::ClusterKey, //
    },
    poller::{
        Poller,
        PollerConfig, //
    },
    recorder::{
        self,
        RecorderHandle, //
    },
    relay::RelayContext,
    sample::Sampler,
    sink::ResponseSink,
    ticket::{
        table::TicketTable,
        token::{
            HostInstance,
            TicketOwner,
            TicketSigner, //
        }, //
    },
    ticket_thread::TicketTableHandle,
    ticketed_calls::TicketContext,
    types::{
        Incarnation,
        Millis,
        RequestId, //
    }, //
};

/// `Retry-After` of a connection over the limit.
const OVERLOAD_RETRY_AFTER_MS: Millis = Millis(1_000);

/// Starts the poller. Its reports go to gossip, which passes those that change
/// the known state on to the decider.
pub(super) fn start_poller(gossip: &Arc<GossipSocket>) -> Result<Poller, StartError> {
    let gossip = Arc::clone(gossip);
    Poller::start(PollerConfig::new(), move |report| {
        gossip.publish(LocalUpdate::Report(report));
    })
    .map_err(|source| StartError::Thread {
        name: "poller",
        source,
    })
}

pub(super) fn start_recorder(
    config: &Config,
    mut sampler: Sampler,
) -> Result<(RecorderHandle, JoinHandle<()>), StartError> {
    let metrics = match config.statsd_address {
        Some(address) => Metrics::udp(address, &config.region, &config.host)?,
        None => Metrics::none(),
    };
    let burn = Burn::new(config.host.clone());
    recorder::start(burn, metrics, move |metrics| sampler.sample(metrics)).map_err(|source| {
        StartError::Thread {
            name: "recorder",
            source,
        }
    })
}

pub(super) fn start_tickets(
    config: &Config,
    incarnation: Incarnation,
    keys: &HostKeys,
    relay: RelayContext,
) -> Result<(TicketContext, JoinHandle<()>), StartError> {
    let this_host = TicketOwner {
        instance: HostInstance {
            host: config.host.clone(),
            incarnation,
        },
        region: config.region.clone(),
        peer_address: config.peer_address_for_others(),
    };
    let signer = TicketSigner::new(&keys.cluster_key)?;
    let started_ms = clock::now();
    let table = TicketTable::new(this_host.clone(), started_ms);
    let (table, thread) = TicketTableHandle::start(table).map_err(|source| StartError::Thread {
        name: "tickets",
        source,
    })?;
    let context = TicketContext {
        table,
        signer,
        this_host,
        started_ms,
        relay,
    };
    Ok((context, thread))
}

pub(super) fn start_gossip(
    config: &Config,
    incarnation: Incarnation,
    keys: &HostKeys,
    decider: &DeciderHandle,
    sources: SourceRing,
) -> Result<GossipSocket, StartError> {
    let listen_error = |source| StartError::Listen {
        address: config.peer_address,
        purpose: "gossip",
        source,
    };
    let socket = UdpSocket::bind(config.peer_address).map_err(listen_error)?;
    let gossip = GossipConfig::new(config.host.clone(), incarnation, config.region.clone())
        .with_seeds(config.seeds.clone());
    let decider = decider.clone();
    let on_event = move |event| {
        let event = match event {
            GossipEvent::Heartbeat(heartbeat) => Event::Heartbeat(heartbeat),
            GossipEvent::Report(report) => Event::Report(report),
            GossipEvent::Summary(summary) => Event::Summary(summary),
            GossipEvent::HigherRevision(source) => return sources.note(source),
        };
        // Gossip repeats its records, so a full ring may drop an event.
        let _ = decider.report(event);
    };
    GossipSocket::start(
        socket,
        gossip,
        &ClusterKey::new(&keys.cluster_key),
        on_event,
    )
    .map_err(listen_error)
}

pub(super) fn listen(
    address: SocketAddr,
    purpose: &'static str,
) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|source| StartError::Listen {
        address,
        purpose,
        source,
    })
}

/// Sends an error response on a connection over the limit.
pub(super) fn refuse_connection(connection: Connection) {
    let state = RunState::NotRun(Unsent::new().give_up());
    let refusal = Refusal::new(RefusalReason::Overloaded).with_retry_after(OVERLOAD_RETRY_AFTER_MS);
    let response = ErrorAnswer::from_refusal(refusal, state);
    ResponseSink::new(connection, RequestId::default())
        .with_closing(true)
        .write_error(&response);
}

//! The `gateway` command: starts the threads of a host and waits for shutdown.

use std::{
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
    thread,
    time::Duration, //
};

use anyhow::Context;
use crossbeam::channel::{
    Receiver,
    bounded, //
};
use signal_hook::{
    consts::{
        SIGHUP,
        SIGINT,
        SIGTERM, //
    },
    iterator::Signals, //
};

use super::{
    commands::{
        Command,
        CommandSender, //
    },
    copy_checks::check_copy,
    follower::{
        StoreFollower,
        fetch_from_peers, //
    },
    origin_exchange::fetch_origins,
    reactor::Reactor,
    registration::Registration,
    settings::GatewaySettings,
    spread::Spread,
    store_replica::{
        StoreReplica,
        UpdateSender, //
    },
    stored_verdicts::write_items,
    telemetry::Telemetry, //
};
use crate::logs;

/// Capacity of the reactor's queue of updates. The threads that change the replica wait while it
/// is full.
const UPDATE_QUEUE_LEN: usize = 1_024;
/// Capacity of the queue of suspects to be written to the store.
const VERDICT_QUEUE_LEN: usize = 64;
/// Exit code if requests were cut off at shutdown.
const EXIT_CUT_OFF: u8 = 3;
/// Interval at which the settings file is checked for changes. It may change
/// without a signal, and the platform sets no limit on the delay.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum wait for the end of the host's lease at shutdown.
const DEREGISTER_LIMIT: Duration = Duration::from_millis(300);

/// Runs a host with the settings in `path` until it receives a stop signal.
///
/// # Errors
///
/// Fails if the settings are invalid, a socket or thread cannot be created, or
/// the reactor fails.
pub fn run(path: &Path) -> anyhow::Result<ExitCode> {
    let settings = GatewaySettings::load(path)?;
    let (_log_thread, dropped_lines) = logs::init_json(&settings.log_filter)?;
    let telemetry = Telemetry::new().with_log_drop_counter(dropped_lines);
    let (sender, updates) = bounded(UPDATE_QUEUE_LEN);
    let reread: PathBuf = path.to_path_buf();
    let mut reactor = Reactor::new(settings.clone(), updates, telemetry)
        .context("could not open the listening sockets")?
        .with_reload(Box::new(move || reload(&reread)));
    let waker = reactor.waker()?;
    let commands = CommandSender::new(reactor.commands(), Arc::clone(&waker));
    let update_sender = UpdateSender::new(sender, waker);
    let (origin_requests, origin_receiver) = bounded(1);
    reactor.set_origin_requests(origin_requests);
    let origin_updates = update_sender.clone();
    let replica = StoreReplica::new(update_sender);
    let (resync_requests, resync_receiver) = bounded(1);
    reactor.set_replica(replica.reader(), resync_requests);
    let (copy_questions, copy_receiver) = bounded(1);
    reactor.set_copy_questions(copy_questions);
    let (verdict_writes, verdict_receiver) = bounded(VERDICT_QUEUE_LEN);
    reactor.set_verdict_writes(verdict_writes);
    let store_address = settings.store_address;
    thread::Builder::new()
        .name("verdicts".into())
        .spawn(move || write_items(store_address, &verdict_receiver))?;
    thread::Builder::new()
        .name("origins".into())
        .spawn(move || fetch_origins(&origin_updates, &origin_receiver))?;
    let checked = replica.clone();
    thread::Builder::new()
        .name("copy-checks".into())
        .spawn(move || check_copy(store_address, &checked, &copy_receiver))?;
    let is_stopping = Arc::new(AtomicBool::new(false));
    tracing::info!(
        host = %settings.host.name,
        region = %settings.host.region,
        data_centre = %settings.host.data_centre,
        callers = %settings.host.caller_address,
        store = %settings.store_address,
        version = env!("CARGO_PKG_VERSION"),
        "started"
    );

    let (stop, stopped) = bounded::<()>(1);
    let host_count = reactor.host_count();
    let deregistered = spawn_registration(
        &settings,
        Arc::clone(&host_count),
        commands.clone(),
        stopped,
    )?;
    spawn_followers(
        &settings,
        replica,
        resync_receiver,
        Arc::clone(&is_stopping),
        host_count,
    )?;
    spawn_settings_watch(path, commands.clone())?;
    spawn_signals(commands, stop)?;
    let ended = reactor.run().context("the reactor failed")?;

    is_stopping.store(true, Ordering::Relaxed);
    if deregistered.recv_timeout(DEREGISTER_LIMIT).is_err() {
        tracing::warn!("lease of the host was not ended in time; it expires by itself");
    }
    tracing::info!(
        host = %settings.host.name,
        cut_off = ended.cut_off_count,
        "stopped"
    );
    match ended.cut_off_count {
        0 => Ok(ExitCode::SUCCESS),
        _ => Ok(ExitCode::from(EXIT_CUT_OFF)),
    }
}

fn reload(path: &Path) -> Option<GatewaySettings> {
    match GatewaySettings::load(path) {
        Ok(settings) => Some(settings),
        Err(error) => {
            tracing::error!(%error, "settings were not reloaded; the previous ones stay in effect");
            None
        }
    }
}

fn spawn_registration(
    settings: &GatewaySettings,
    host_count: Arc<AtomicU64>,
    commands: CommandSender,
    stopped: Receiver<()>,
) -> anyhow::Result<Receiver<()>> {
    let mut registration = Registration::new(
        settings.store_address,
        settings.host.clone(),
        settings.min_lease_ms,
        Spread::new(&settings.host.name, host_count),
        commands,
    );
    let (done, deregistered) = bounded(1);
    thread::Builder::new()
        .name("registration".into())
        .spawn(move || {
            registration.run(&stopped);
            // The main thread may have stopped waiting.
            let _ = done.send(());
        })?;
    Ok(deregistered)
}

fn spawn_followers(
    settings: &GatewaySettings,
    replica: StoreReplica,
    resync_receiver: Receiver<SocketAddr>,
    is_stopping: Arc<AtomicBool>,
    host_count: Arc<AtomicU64>,
) -> anyhow::Result<()> {
    let spread = Spread::new(&settings.host.name, Arc::clone(&host_count));
    let mut follower = StoreFollower::new(settings.store_address, replica.clone(), spread);
    thread::Builder::new()
        .name("peer-news".into())
        .spawn(move || fetch_from_peers(&replica, &resync_receiver))?;
    thread::Builder::new()
        .name("store".into())
        .spawn(move || follower.run(&is_stopping, &host_count))?;
    Ok(())
}

/// Starts the thread that requests a reload when the settings file has changed.
fn spawn_settings_watch(path: &Path, commands: CommandSender) -> anyhow::Result<()> {
    let path = path.to_path_buf();
    let mut known = std::fs::read(&path)?;
    thread::Builder::new()
        .name("settings".into())
        .spawn(move || {
            loop {
                thread::sleep(SETTINGS_INTERVAL);
                let content = match std::fs::read(&path) {
                    Ok(content) => content,
                    Err(error) => {
                        tracing::warn!(%error, "could not read the settings file; the previous settings stay in effect");
                        continue;
                    }
                };
                if content == known {
                    continue;
                }
                known = content;
                commands.send(Command::Reload);
            }
        })?;
    Ok(())
}

fn spawn_signals(
    commands: CommandSender,
    stop: crossbeam::channel::Sender<()>,
) -> anyhow::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            for signal in signals.forever() {
                if signal == SIGHUP {
                    commands.send(Command::Reload);
                    continue;
                }
                commands.send(Command::Stop);
                // After a second signal, the message is already queued.
                let _ = stop.try_send(());
            }
        })?;
    Ok(())
}

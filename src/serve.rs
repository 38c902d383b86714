//! The `serve` command: runs one host until a signal ends it.

use std::{
    path::Path,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    thread,
    time::Duration, //
};

use anyhow::Context;
use signal_hook::{
    consts::{
        SIGINT,
        SIGTERM, //
    },
    iterator::Signals, //
};

use crate::{
    config::Config,
    host::{
        Host,
        HostKeys, //
    },
    logs, //
};

const SIGNAL_POLL: Duration = Duration::from_millis(20);
/// Exit code when requests were cut off at the end.
const EXIT_CUT_OFF: u8 = 3;

/// Runs a host with the settings in `path`.
pub fn run(path: &Path) -> anyhow::Result<ExitCode> {
    let config = Config::load(path)?;
    let keys = HostKeys::load(&config)?;
    logs::init(config.log_format, &config.log_filter)?;
    let signals = count_signals().context("could not install the signal handlers")?;
    let name = config.host.clone();
    let host = Host::start(config, &keys)?;
    tracing::info!(host = %name, address = %host.caller_address(), "serving callers");

    while signals.load(Ordering::Relaxed) == 0 {
        thread::sleep(SIGNAL_POLL);
    }
    tracing::info!(host = %name, "leaving; a second signal ends the process at once");
    host.begin_shutdown();
    let left = host.drain(|| signals.load(Ordering::Relaxed) > 1);
    if left > 0 {
        tracing::warn!(host = %name, requests = left, "requests were cut off");
        return Ok(ExitCode::from(EXIT_CUT_OFF));
    }
    host.stop();
    tracing::info!(host = %name, "stopped");
    Ok(ExitCode::SUCCESS)
}

fn count_signals() -> std::io::Result<Arc<AtomicUsize>> {
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            for _ in signals.forever() {
                counted.fetch_add(1, Ordering::Relaxed);
            }
        })?;
    Ok(count)
}

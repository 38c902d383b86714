//! Commands to the reactor, beside the queue of updates.
//!
//! A thread that gives a command does not wait for the reactor, and a command does not wait for
//! queued updates. Commands have no order; one that is given again before the reactor has taken it
//! counts once.

use std::sync::{
    Arc,
    atomic::{
        AtomicBool,
        Ordering, //
    }, //
};

use mio::Waker;

use super::reactor::wake;

/// A command to the reactor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Record that the host's lease could not be renewed.
    RecordFailedRenewal,
    /// Read the settings again.
    Reload,
    /// Shut down.
    Stop,
}

/// All commands, in the order in which those that are given together are carried out.
const COMMANDS: [Command; 3] = [Command::RecordFailedRenewal, Command::Reload, Command::Stop];

/// Commands that the reactor has not taken yet.
#[derive(Debug, Default)]
pub struct PendingCommands {
    record_failed_renewal: AtomicBool,
    reload: AtomicBool,
    stop: AtomicBool,
}

impl PendingCommands {
    /// Takes the commands that were given since the last call.
    pub fn take(&self) -> impl Iterator<Item = Command> {
        let is_given = |command: &Command| self.flag(*command).swap(false, Ordering::AcqRel);
        COMMANDS.into_iter().filter(is_given)
    }

    fn flag(&self, command: Command) -> &AtomicBool {
        match command {
            Command::RecordFailedRenewal => &self.record_failed_renewal,
            Command::Reload => &self.reload,
            Command::Stop => &self.stop,
        }
    }
}

/// Gives commands to the reactor and wakes it.
#[derive(Clone)]
pub struct CommandSender {
    pending: Arc<PendingCommands>,
    waker: Arc<Waker>,
}

impl CommandSender {
    /// Creates a sender for the reactor that takes `pending` and that `waker` wakes.
    pub fn new(pending: Arc<PendingCommands>, waker: Arc<Waker>) -> Self {
        Self { pending, waker }
    }

    /// Gives a command, without waiting.
    pub fn send(&self, command: Command) {
        self.pending.flag(command).store(true, Ordering::Release);
        wake(&self.waker);
    }
}

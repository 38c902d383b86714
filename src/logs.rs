//! Log output through `tracing`.

use std::{
    fmt,
    io,
    str::FromStr, //
};

use thiserror::Error;
use tracing_appender::non_blocking::{
    ErrorCounter,
    NonBlockingBuilder,
    WorkerGuard, //
};
use tracing_subscriber::{
    EnvFilter,
    fmt::format::FmtSpan, //
};

use crate::types::ParseError;

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// One line of text for each event.
    #[default]
    Text,
    /// One JSON object for each event.
    Json,
}

impl fmt::Display for LogFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Text => "text",
            Self::Json => "json",
        })
    }
}

impl FromStr for LogFormat {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(ParseError::new("log format", text, "text or json")),
        }
    }
}

/// Whether [`init`] accepts a filter.
pub fn is_valid_filter(filter: &str) -> bool {
    EnvFilter::try_new(filter).is_ok()
}

/// Why logs could not be set up.
#[derive(Debug, Error)]
pub enum LogError {
    /// The filter is invalid.
    #[error("log filter {filter:?} is invalid: {error}")]
    Filter {
        /// The filter.
        filter: String,
        /// What is wrong.
        #[source]
        error: tracing_subscriber::filter::ParseError,
    },
    /// Logs were set up before.
    #[error("logs are already set up")]
    AlreadySet,
}

/// Lines that wait for the log thread; the oldest are written first, and new
/// ones are dropped when it is full.
const LOG_RING_LINES: usize = 1_024;

/// Writes logs to standard output, a JSON object a line, from a thread of its own.
///
/// A line that finds the ring full is dropped and counted. The thread ends,
/// after the lines that wait, when the guard is dropped.
pub fn init_json(filter: &str) -> Result<(WorkerGuard, ErrorCounter), LogError> {
    let parsed = EnvFilter::try_new(filter).map_err(|error| LogError::Filter {
        filter: filter.into(),
        error,
    })?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(LOG_RING_LINES)
        .lossy(true)
        .finish(io::stdout());
    let counter = writer.error_counter();
    tracing_subscriber::fmt()
        .with_env_filter(parsed)
        .with_writer(writer)
        .json()
        .flatten_event(true)
        .try_init()
        .map_err(|_| LogError::AlreadySet)?;
    Ok((guard, counter))
}

/// Writes logs of this process to standard error.
///
/// `filter` has the syntax of `tracing-subscriber`, such as `info` or
/// `warn,cardamombridge::peer=debug`.
pub fn init(format: LogFormat, filter: &str) -> Result<(), LogError> {
    let parsed = EnvFilter::try_new(filter).map_err(|error| LogError::Filter {
        filter: filter.into(),
        error,
    })?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(parsed)
        .with_writer(io::stderr)
        .with_span_events(FmtSpan::NONE);
    let result = match format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    result.map_err(|_| LogError::AlreadySet)
}

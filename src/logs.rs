//! Sets up the program's structured log on standard error, as text or JSON lines. A separate thread
//! writes it ([`writer`]).

pub mod writer;

use std::str::FromStr;

use thiserror::Error;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::writer::BoxMakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use writer::{LogGuard, LogWriter};

/// The filter if `RUST_LOG` is missing or invalid.
const DEFAULT_FILTER: &str = "info";

/// The log's format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line, which includes a request's span and its fields.
    Json,
}

/// The text is not the name of a log format.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0:?} is neither text nor json")]
pub struct UnknownLogFormat(String);

impl FromStr for LogFormat {
    type Err = UnknownLogFormat;

    fn from_str(text: &str) -> Result<LogFormat, UnknownLogFormat> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            other => Err(UnknownLogFormat(other.to_string())),
        }
    }
}

/// Starts the log. `filter` has the syntax of `RUST_LOG` (`info`, `stilespan=debug`); an invalid
/// one is ignored. If the writer thread can't be started, the threads that log write their own
/// lines.
pub fn start(format: LogFormat, filter: Option<&str>) -> LogGuard {
    let registry = tracing_subscriber::registry().with(targets(filter));
    let writer = LogWriter::start(std::io::stderr()).ok();
    let make_writer = match writer.clone() {
        Some(writer) => BoxMakeWriter::new(writer),
        None => BoxMakeWriter::new(std::io::stderr),
    };
    let layer = tracing_subscriber::fmt::layer()
        .with_writer(make_writer)
        .with_ansi(false);
    // a second call, as in a test, fails here and leaves the first subscriber in effect
    let _ = match format {
        LogFormat::Text => registry.with(layer).try_init(),
        LogFormat::Json => registry.with(layer.json().flatten_event(true)).try_init(),
    };
    writer::log_panics();
    LogGuard { writer }
}

fn targets(filter: Option<&str>) -> Targets {
    let parse = |text: &str| text.parse::<Targets>().ok();
    filter
        .filter(|text| !text.is_empty())
        .and_then(parse)
        .or_else(|| parse(DEFAULT_FILTER))
        .unwrap_or_default()
}

#[cfg(test)]
mod tests;

//! Writes the log's lines on a separate thread, so that a log whose reader has stopped or whose
//! disk hangs doesn't block the threads that log.
//!
//! Owns the queue of lines, the count of lines that are omitted because the queue is full, and the
//! flush at the end of the process.

use std::io::{self, ErrorKind, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};
use std::{panic, thread};

use tracing::{error, warn};
use tracing_subscriber::fmt::MakeWriter;

use crate::log_limit::LogLimit;

/// The maximum number of queued lines. A busy router logs that many in a few seconds at the default
/// level.
const MAX_QUEUED_LINES: usize = 1024;
/// The maximum length of a line, in bytes; longer lines are truncated. Bounds the queue's memory.
const MAX_LINE_BYTES: usize = 4 << 10;
/// How long the process waits at its end until the last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before the next write if a non-blocking log or the queue is full.
const FULL_LOG_DELAY: Duration = Duration::from_millis(10);

/// The number of lines omitted since the start of the process.
static OMITTED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines omitted since the start of the process because the queue was full.
pub fn omitted_lines() -> u64 {
    OMITTED_LINES.load(Ordering::Relaxed)
}

/// A message to the log's writer thread.
enum Message {
    Line(Vec<u8>),
    /// Acknowledged once all lines queued before it are written.
    Flush(SyncSender<()>),
}

/// Queues lines for the writer thread without blocking.
#[derive(Clone, Debug)]
pub(super) struct LogWriter {
    queue: SyncSender<Message>,
}

impl LogWriter {
    /// Starts the thread that writes to `log`.
    pub(super) fn start(log: impl Write + Send + 'static) -> io::Result<LogWriter> {
        let (queue, messages) = sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_messages(&messages, log))?;
        Ok(LogWriter { queue })
    }

    /// Queues a line, or counts it as omitted if the queue is full.
    fn queue_line(&self, line: &[u8]) {
        let mut bytes = line[..line.len().min(MAX_LINE_BYTES)].to_vec();
        if bytes.len() < line.len() {
            bytes.push(b'\n');
        }
        if self.queue.try_send(Message::Line(bytes)).is_err() {
            OMITTED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all queued lines are written, or until [`FLUSH_TIMEOUT`] has passed.
    fn flush(&self) {
        let (done_sender, done) = sync_channel(1);
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut message = Message::Flush(done_sender);
        while let Err(error) = self.queue.try_send(message) {
            let std::sync::mpsc::TrySendError::Full(unsent) = error else {
                return;
            };
            if Instant::now() >= deadline {
                return;
            }
            message = unsent;
            thread::sleep(FULL_LOG_DELAY);
        }
        let _ = done.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

impl Write for &LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.queue_line(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogWriter {
    type Writer = &'a LogWriter;

    fn make_writer(&'a self) -> &'a LogWriter {
        self
    }
}

/// Flushes the log when dropped. The wait is bounded, so that a blocked log can't stop the process
/// from ending.
#[must_use = "the log is flushed when this guard is dropped"]
#[derive(Debug)]
pub struct LogGuard {
    pub(super) writer: Option<LogWriter>,
}

impl LogGuard {
    /// Prints a message to standard error after the lines logged so far.
    pub fn print(&self, message: &str) {
        match &self.writer {
            Some(writer) => writer.queue_line(format!("{message}\n").as_bytes()),
            None => eprintln!("{message}"),
        }
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        if let Some(writer) = &self.writer {
            writer.flush();
        }
    }
}

/// Logs panics through the writer thread. The standard panic hook would write to standard error in
/// the thread that panicked.
pub(super) fn log_panics() {
    panic::set_hook(Box::new(|info| error!("{info}")));
}

fn write_messages(messages: &Receiver<Message>, mut log: impl Write) {
    let limit = LogLimit::new();
    let mut reported = 0;
    while let Ok(message) = messages.recv() {
        match message {
            Message::Line(line) => write_line(&mut log, &line),
            Message::Flush(done) => {
                let _ = done.try_send(());
            }
        }
        let omitted = omitted_lines();
        if omitted > reported && limit.admit(Instant::now()).is_some() {
            warn!(
                "the log was full: {} lines were omitted",
                omitted - reported
            );
            reported = omitted;
        }
    }
}

/// Writes a line. Retries if the log is full or the call was interrupted; after any other error the
/// line is dropped, as the error can't be logged.
fn write_line(log: &mut impl Write, mut line: &[u8]) {
    while !line.is_empty() {
        match log.write(line) {
            Ok(0) => return,
            Ok(written) => line = &line[written..],
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(FULL_LOG_DELAY),
            Err(_) => return,
        }
    }
}

#[cfg(test)]
mod tests;

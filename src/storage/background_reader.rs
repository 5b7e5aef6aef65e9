//! Reads files on separate threads: a read that hangs, for example on a network disk that doesn't
//! respond, delays only the task that waits for it.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use thiserror::Error;
use tokio::sync::{Semaphore, oneshot};
use tokio::time::timeout;

/// The maximum number of concurrent reads, including abandoned reads that still hang. Each read has
/// its own thread.
const MAX_READS: usize = 16;

/// Why a read has no result.
#[derive(Debug, Error)]
pub enum ReadAbandoned {
    /// The read didn't end within the limit. It may end later or never.
    #[error("the read did not end within {} s", .0.as_secs_f64())]
    TimedOut(Duration),
    /// The maximum number of reads is in progress.
    #[error("{MAX_READS} earlier reads have not ended yet")]
    TooMany,
    /// The system could not start a thread for the read.
    #[error("could not start a thread for the read: {0}")]
    NoThread(#[source] io::Error),
    /// The read panicked.
    #[error("the read panicked")]
    Panicked,
}

/// Runs reads on separate threads.
#[derive(Clone, Debug)]
pub struct BackgroundReader {
    slots: Arc<Semaphore>,
}

impl Default for BackgroundReader {
    fn default() -> BackgroundReader {
        BackgroundReader {
            slots: Arc::new(Semaphore::new(MAX_READS)),
        }
    }
}

impl BackgroundReader {
    /// Runs a read and waits at most `limit` for its result. After that, or if this future is
    /// dropped, the read is abandoned.
    pub async fn read<T: Send + 'static>(
        &self,
        limit: Duration,
        read: impl FnOnce() -> T + Send + 'static,
    ) -> Result<T, ReadAbandoned> {
        let slot = self.slots.clone().try_acquire_owned();
        let slot = slot.map_err(|_| ReadAbandoned::TooMany)?;
        let (sender, result) = oneshot::channel();
        // not the runtime's threads for blocking calls, because the process waits for those at exit
        thread::Builder::new()
            .name("file-read".into())
            .spawn(move || {
                let _ = sender.send(read());
                drop(slot);
            })
            .map_err(ReadAbandoned::NoThread)?;
        timeout(limit, result)
            .await
            .map_err(|_| ReadAbandoned::TimedOut(limit))?
            .map_err(|_| ReadAbandoned::Panicked)
    }
}

#[cfg(test)]
mod tests;

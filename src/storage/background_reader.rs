//! Reads files on threads of their own: a file that hangs, as on a network disk that doesn't
//! answer, delays nothing but its reader.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use thiserror::Error;
use tokio::sync::{Semaphore, oneshot};
use tokio::time::timeout;

/// Reads at a time at most, those that hang and were given up included. Each has a thread.
const MAX_READS: usize = 16;

/// Why a read has no result.
#[derive(Debug, Error)]
pub enum ReadAbandoned {
    /// It has not ended in time. It may end later, or never.
    #[error("not read within {} s", .0.as_secs_f64())]
    TimedOut(Duration),
    /// Earlier reads have not ended.
    #[error("{MAX_READS} earlier reads have not ended")]
    TooMany,
    /// The system has no thread for it.
    #[error("no thread for the read: {0}")]
    NoThread(#[source] io::Error),
    /// The read has panicked.
    #[error("the read has failed")]
    Panicked,
}

/// Runs reads on threads of their own.
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
    /// Runs a read and waits for its result for at most `limit`. Dropping the future gives the read
    /// up as well.
    pub async fn read<T: Send + 'static>(
        &self,
        limit: Duration,
        read: impl FnOnce() -> T + Send + 'static,
    ) -> Result<T, ReadAbandoned> {
        let slot = self.slots.clone().try_acquire_owned();
        let slot = slot.map_err(|_| ReadAbandoned::TooMany)?;
        let (sender, result) = oneshot::channel();
        // not the runtime's threads for blocking calls: the end of the process waits for those
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

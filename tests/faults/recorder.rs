//! Collects what the peers of a run observe, from their threads.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use super::record::{Attempt, AttemptEnd, Delivery, Outage, OutageKind, Record};

/// Collects what the peers observe.
pub struct Recorder {
    start: Instant,
    record: Mutex<Record>,
    watches: Mutex<Vec<JoinHandle<()>>>,
}

/// Locks a mutex, also where a thread that held it has panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Recorder {
    /// A recorder whose clock starts now.
    pub fn new() -> Recorder {
        Recorder {
            start: Instant::now(),
            record: Mutex::default(),
            watches: Mutex::default(),
        }
    }

    /// Time since the start of the run.
    pub fn at(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.start)
    }

    pub fn deliver(&self, delivery: Delivery) {
        lock(&self.record).deliveries.push(delivery);
    }

    /// Records an attempt that begins; its index.
    pub fn begin(&self, attempt: Attempt) -> usize {
        let mut record = lock(&self.record);
        record.attempts.push(attempt);
        record.attempts.len() - 1
    }

    pub fn end(&self, attempt: usize, end: AttemptEnd, at: Instant) {
        let attempt = &mut lock(&self.record).attempts[attempt];
        (attempt.end, attempt.ended) = (end, self.at(at));
    }

    /// Adds a thread that still has something to record.
    pub fn watch(&self, thread: JoinHandle<()>) {
        lock(&self.watches).push(thread);
    }

    /// Records an outage that ends now.
    pub fn record_outage(&self, router: usize, kind: OutageKind, from: Instant) {
        let outage = Outage {
            router,
            kind,
            from: self.at(from),
            until: self.at(Instant::now()),
        };
        lock(&self.record).outages.push(outage);
    }

    /// The threads that still have something to record.
    pub fn take_watches(&self) -> Vec<JoinHandle<()>> {
        std::mem::take(&mut *lock(&self.watches))
    }

    /// What has been recorded so far.
    pub fn record(&self) -> Record {
        lock(&self.record).clone()
    }
}

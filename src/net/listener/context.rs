//! What all listeners of a process share: the limit on clients' connections, and the state of its
//! graceful shutdown, its replacement and its drain.
//!
//! Reads that state and waits for it; the signal handler, the handover and the operators' commands
//! change it.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::time_limits::MAX_SCHEDULING_DELAY;
use super::{Heartbeat, ReadSchedule};
use crate::lifecycle::DrainingSince;
use crate::net::connection_limit::ConnectionLimit;
use crate::ops::metrics::Metrics;

/// When the shutdown signal came, as exactly as this process can tell.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSignal {
    /// When this process observed it.
    pub observed_at: Instant,
    /// The earliest instant at which it may have come: the process may not have been scheduled
    /// until it observed it.
    pub earliest: Instant,
}

impl ShutdownSignal {
    fn observed(now: Instant, heartbeat: &Heartbeat) -> ShutdownSignal {
        let longest_delay = now.checked_sub(MAX_SCHEDULING_DELAY).unwrap_or(now);
        ShutdownSignal {
            observed_at: now,
            earliest: heartbeat.earliest_arrival(now).max(longest_delay),
        }
    }
}

/// State that all listeners of a process share.
#[derive(Clone)]
pub struct ListenerContext {
    /// The limit on clients' connections.
    pub connection_limit: ConnectionLimit,
    /// Whether the process shuts down.
    pub shutting_down: watch::Receiver<bool>,
    /// When the shutdown signal came; set by the first listener that needs to know.
    pub shutdown_signal: Arc<OnceLock<ShutdownSignal>>,
    /// Whether another process has taken over the listening sockets.
    pub replaced: watch::Receiver<bool>,
    /// Since when the router is drained, if it is.
    pub drained: watch::Receiver<DrainingSince>,
    /// Notices when the process was not scheduled.
    pub heartbeat: Arc<Heartbeat>,
    /// The share of the time for messages that take long to read.
    pub read_schedule: Arc<ReadSchedule>,
    /// Counts connections and late answers.
    pub metrics: Arc<Metrics>,
}

impl ListenerContext {
    /// Whether the process shuts down.
    pub(super) fn is_shutting_down(&self) -> bool {
        *self.shutting_down.borrow()
    }

    /// Whether the router is drained.
    pub(super) fn is_drained(&self) -> bool {
        self.drained.borrow().is_some()
    }

    /// When the shutdown signal came, the same for every connection.
    fn shutdown_signal(&self) -> ShutdownSignal {
        *self
            .shutdown_signal
            .get_or_init(|| ShutdownSignal::observed(Instant::now(), &self.heartbeat))
    }

    /// Waits for the shutdown signal, and then until `delay` after it.
    pub(super) async fn wait_after_shutdown_signal(&mut self, delay: Duration) {
        wait_until_set(&mut self.shutting_down).await;
        let deadline = self.shutdown_signal().earliest + delay;
        tokio::time::sleep_until(deadline.into()).await;
    }

    /// Waits for the shutdown signal, and then until `delay` after this process observed it.
    pub(super) async fn wait_after_shutdown_observed(&mut self, delay: Duration) {
        wait_until_set(&mut self.shutting_down).await;
        let deadline = self.shutdown_signal().observed_at + delay;
        tokio::time::sleep_until(deadline.into()).await;
    }

    /// Waits for the shutdown signal; for ever if no other process accepts the connections then.
    pub(super) async fn wait_for_replacement(&mut self) {
        wait_until_set(&mut self.shutting_down).await;
        self.shutdown_signal();
        if !*self.replaced.borrow() {
            std::future::pending::<()>().await;
        }
    }

    /// Whether the process shuts down and another one accepts the connections.
    pub(super) fn is_replaced(&self) -> bool {
        self.is_shutting_down() && *self.replaced.borrow()
    }

    /// Whether `delay` has passed since the shutdown signal.
    pub(super) fn is_past_shutdown(&self, delay: Duration) -> bool {
        self.is_shutting_down() && self.shutdown_signal().earliest.elapsed() >= delay
    }

    /// Waits until the router has been drained for `delay`, and as long has passed since the
    /// connection was opened, if that is given.
    pub(super) async fn wait_after_drain(&mut self, opened_at: Option<Instant>, delay: Duration) {
        loop {
            let drained_at = self
                .drained
                .wait_for(Option::is_some)
                .await
                .ok()
                .and_then(|drained| *drained);
            // the sender is gone: no drain can begin any more
            let Some(drained_at) = drained_at else {
                return std::future::pending().await;
            };
            let start = opened_at.map_or(drained_at, |opened_at| opened_at.max(drained_at));
            tokio::select! {
                () = tokio::time::sleep_until((start + delay).into()) => return,
                _ = self.drained.wait_for(Option::is_none) => {}
            }
        }
    }
}

/// Waits until a flag is true, or nobody can set it any more.
pub async fn wait_until_set(flag: &mut watch::Receiver<bool>) {
    let _ = flag.wait_for(|&set| set).await;
}

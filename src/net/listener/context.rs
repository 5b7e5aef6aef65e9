//! State that all listeners of a process share: the limit on clients' connections, and the state of
//! the graceful shutdown, the replacement and the drain.
//!
//! This module reads that state and waits for changes. The signal handler, the handover and the
//! operators' commands change it.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::Heartbeat;
use super::time_limits::MAX_SCHEDULING_DELAY;
use crate::lifecycle::DrainingSince;
use crate::net::connection_limit::ConnectionLimit;
use crate::net::read_pacing::ReadSchedule;
use crate::ops::metrics::Metrics;

/// When the shutdown signal came, as precisely as this process can determine it.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSignal {
    /// When this process observed the signal.
    pub observed_at: Instant,
    /// The earliest instant at which the signal may have come: the process may not have been
    /// scheduled between then and `observed_at`.
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
    /// Whether the process is shutting down.
    pub shutting_down: watch::Receiver<bool>,
    /// When the shutdown signal came; set by the first listener that needs to know.
    pub shutdown_signal: Arc<OnceLock<ShutdownSignal>>,
    /// Whether another process has taken over the listening sockets.
    pub replaced: watch::Receiver<bool>,
    /// Since when the router is drained; `None` if it is not drained.
    pub drained: watch::Receiver<DrainingSince>,
    /// Detects when the process was not scheduled.
    pub heartbeat: Arc<Heartbeat>,
    /// Schedules the turns of messages that take long to read.
    pub read_schedule: Arc<ReadSchedule>,
    /// The metrics that count connections and late answers.
    pub metrics: Arc<Metrics>,
}

impl ListenerContext {
    /// Whether the process is shutting down.
    pub(super) fn is_shutting_down(&self) -> bool {
        *self.shutting_down.borrow()
    }

    /// Whether the router is drained.
    pub(super) fn is_drained(&self) -> bool {
        self.drained.borrow().is_some()
    }

    /// When the shutdown signal came. The value is the same for all connections.
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

    /// Waits for the shutdown signal. Never returns if no other process accepts the connections by
    /// then.
    pub(super) async fn wait_for_replacement(&mut self) {
        wait_until_set(&mut self.shutting_down).await;
        self.shutdown_signal();
        if !*self.replaced.borrow() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until another process accepts the connections in place of this one, although this one
    /// is not shutting down.
    pub(super) async fn wait_until_succeeded(&mut self) {
        wait_until_set(&mut self.replaced).await;
        if self.is_shutting_down() || !*self.replaced.borrow() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits while another process accepts the connections: until that process has ended, or this
    /// one shuts down.
    pub(super) async fn wait_while_succeeded(&mut self) {
        tokio::select! {
            _ = self.replaced.wait_for(|&replaced| !replaced) => {}
            () = wait_until_set(&mut self.shutting_down) => {}
        }
    }

    /// Whether the process is shutting down and another process accepts the connections.
    pub(super) fn is_replaced(&self) -> bool {
        self.is_shutting_down() && *self.replaced.borrow()
    }

    /// Whether `delay` has passed since the shutdown signal.
    pub(super) fn is_past_shutdown(&self, delay: Duration) -> bool {
        self.is_shutting_down() && self.shutdown_signal().earliest.elapsed() >= delay
    }

    /// Waits until the router has been drained for `delay`. If `opened_at` is given, `delay` must
    /// also have passed since then.
    pub(super) async fn wait_after_drain(&mut self, opened_at: Option<Instant>, delay: Duration) {
        loop {
            let drained_at = self
                .drained
                .wait_for(Option::is_some)
                .await
                .ok()
                .and_then(|drained| *drained);
            // the sender has been dropped: no drain can begin any more
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

/// Waits until a flag is true or its sender has been dropped.
pub async fn wait_until_set(flag: &mut watch::Receiver<bool>) {
    let _ = flag.wait_for(|&set| set).await;
}

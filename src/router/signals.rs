//! The signals that a process handles: SIGTERM and SIGINT start the graceful shutdown, SIGHUP
//! reloads the configuration.
//!
//! A handler only sets a flag, which is polled every [`MAX_SIGNAL_DELAY`]. Tokio's signal handling
//! is not used: it reports a signal by a byte in a socket pair, so a failed write loses the signal,
//! and a failed read ends the process.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use tokio::time::{MissedTickBehavior, interval};

use crate::net::listener::MAX_SIGNAL_DELAY;

/// Flags of the signals that have arrived and have not been processed yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Signals {
    shutdown: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the signal handlers; without a handler a signal would end the process.
    pub(super) fn register() -> io::Result<Signals> {
        let signals = Signals::default();
        flag::register(SIGTERM, signals.shutdown.clone())?;
        flag::register(SIGINT, signals.shutdown.clone())?;
        flag::register(SIGHUP, signals.reload.clone())?;
        Ok(signals)
    }

    /// Waits for a shutdown signal.
    pub(super) async fn wait_for_shutdown(&self) {
        wait_for(&self.shutdown).await;
    }

    /// Waits for a reload signal. Several signals that arrive before the flag is polled count as
    /// one.
    pub(super) async fn wait_for_reload(&self) {
        wait_for(&self.reload).await;
    }
}

/// Polls a flag until it is set, and clears it. Cancel safe.
async fn wait_for(flag: &AtomicBool) {
    let mut checks = interval(MAX_SIGNAL_DELAY);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !flag.swap(false, Ordering::Relaxed) {
        checks.tick().await;
    }
}

//! The signals that a process handles: SIGTERM and SIGINT start the graceful shutdown, SIGHUP reads
//! the configuration anew.
//!
//! A handler only sets a flag, which is looked at all the time. The runtime's own signals are
//! reported by a byte in a socket pair: one that can't be written loses the signal, and one that
//! can't be read ends the process.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use tokio::time::{MissedTickBehavior, interval};

use crate::net::listener::MAX_SIGNAL_DELAY;

/// Signals that have come and were not taken yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Signals {
    shutdown: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Handles the signals from now on: without a handler they would end the process.
    pub(super) fn register() -> io::Result<Signals> {
        let signals = Signals::default();
        flag::register(SIGTERM, signals.shutdown.clone())?;
        flag::register(SIGINT, signals.shutdown.clone())?;
        flag::register(SIGHUP, signals.reload.clone())?;
        Ok(signals)
    }

    /// Waits for a signal to shut down.
    pub(super) async fn wait_for_shutdown(&self) {
        wait_for(&self.shutdown).await;
    }

    /// Waits for a signal to reload. Several that come together count as one.
    pub(super) async fn wait_for_reload(&self) {
        wait_for(&self.reload).await;
    }
}

/// Waits until a flag is set, and clears it. Cancel safe.
async fn wait_for(flag: &AtomicBool) {
    let mut checks = interval(MAX_SIGNAL_DELAY);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !flag.swap(false, Ordering::Relaxed) {
        checks.tick().await;
    }
}

//! Runs a router as a process, with its runtime and its signal handling.

use std::time::Duration;

use tokio::sync::watch;
use tracing::info;

use super::signals::Signals;
use super::{Reloader, RouterOptions, open};
use crate::error::RunError;

/// How long the process waits at its end for blocking calls, such as the resolution of a host name.
const BLOCKING_CALLS_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs a router until a shutdown signal has arrived and all accepted requests are answered.
pub fn run(options: RouterOptions) -> Result<(), RunError> {
    let signals = Signals::register().map_err(RunError::System)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::System)?;
    let result = runtime.block_on(run_until_shutdown(options, signals));
    // all requests are answered, and a call on one of the runtime's threads may hang
    runtime.shutdown_timeout(BLOCKING_CALLS_TIMEOUT);
    result
}

async fn run_until_shutdown(options: RouterOptions, signals: Signals) -> Result<(), RunError> {
    let (shutdown_sender, shutdown) = watch::channel(false);
    tokio::spawn(announce_shutdown(signals.clone(), shutdown_sender));
    let router = open(options, shutdown).await?;
    tokio::spawn(reload_on_signal(signals, router.reloader()));
    router.serve().await;
    info!("all accepted requests are answered");
    Ok(())
}

/// Sets the watched flag at the first shutdown signal. Never returns, so that the flag's receivers
/// stay connected.
async fn announce_shutdown(signals: Signals, shutdown: watch::Sender<bool>) {
    signals.wait_for_shutdown().await;
    let _ = shutdown.send(true);
    std::future::pending::<()>().await;
}

/// Reloads at each reload signal. A further signal during a reload restarts it: the files may have
/// changed in the meantime, or reading them may hang.
async fn reload_on_signal(signals: Signals, reloader: Reloader) {
    signals.wait_for_reload().await;
    loop {
        tokio::select! {
            biased;
            () = signals.wait_for_reload() => {}
            () = reloader.reload() => signals.wait_for_reload().await,
        }
    }
}

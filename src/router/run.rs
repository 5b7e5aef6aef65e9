//! Runs a router as a process: the runtime, and what its signals start.

use std::time::Duration;

use tokio::sync::watch;
use tracing::info;

use super::signals::Signals;
use super::{Reloader, RouterOptions, open};
use crate::error::RunError;

/// How long the end of the process waits for blocking calls, such as the look-up of a name.
const BLOCKING_CALLS_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs a router until SIGTERM, and until all accepted requests are answered.
pub fn run(options: RouterOptions) -> Result<(), RunError> {
    let signals = Signals::register().map_err(RunError::System)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::System)?;
    let result = runtime.block_on(run_until_shutdown(options, signals));
    // nothing that is owed is on its threads any more, and a call there may hang
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

/// Sets the flag at the first signal to shut down. Never returns, so that the flag's receivers stay
/// connected.
async fn announce_shutdown(signals: Signals, shutdown: watch::Sender<bool>) {
    signals.wait_for_shutdown().await;
    let _ = shutdown.send(true);
    std::future::pending::<()>().await;
}

/// Reloads at each signal. A further one while the files are read begins anew: they may have changed
/// since, or what was there may hang.
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

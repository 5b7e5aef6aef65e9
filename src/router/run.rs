//! Runs a router as a process: the runtime and the signals. SIGTERM and SIGINT start the graceful
//! shutdown, SIGHUP reads the configuration anew.

use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tracing::info;

use super::{Reloader, RouterOptions, open};
use crate::error::RunError;

/// How long the end of the process waits for blocking calls, such as the look-up of a name.
const BLOCKING_CALLS_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs a router until SIGTERM, and until all accepted requests are answered.
pub fn run(options: RouterOptions) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::System)?;
    let result = runtime.block_on(run_until_shutdown(options));
    // nothing that is owed is on its threads any more, and a call there may hang
    runtime.shutdown_timeout(BLOCKING_CALLS_TIMEOUT);
    result
}

async fn run_until_shutdown(options: RouterOptions) -> Result<(), RunError> {
    let terminate = signal(SignalKind::terminate()).map_err(RunError::System)?;
    let interrupt = signal(SignalKind::interrupt()).map_err(RunError::System)?;
    // handled from the start: a SIGHUP without a handler would end the process
    let hangup = signal(SignalKind::hangup()).map_err(RunError::System)?;
    let (shutdown_sender, shutdown) = watch::channel(false);
    tokio::spawn(announce_shutdown(terminate, interrupt, shutdown_sender));
    let router = open(options, shutdown).await?;
    tokio::spawn(reload_on_hangup(hangup, router.reloader()));
    router.serve().await;
    info!("all accepted requests are answered");
    Ok(())
}

/// Sets the flag at the first signal to shut down. Never returns, so that the flag's receivers stay
/// connected.
async fn announce_shutdown(
    mut terminate: Signal,
    mut interrupt: Signal,
    shutdown: watch::Sender<bool>,
) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let _ = shutdown.send(true);
    std::future::pending::<()>().await;
}

/// Reloads at each signal. A further one while the files are read begins anew: they may have changed
/// since, or what was there may hang.
async fn reload_on_hangup(mut hangup: Signal, reloader: Reloader) {
    let mut is_due = hangup.recv().await.is_some();
    while is_due {
        is_due = tokio::select! {
            biased;
            signal = hangup.recv() => signal.is_some(),
            () = reloader.reload() => hangup.recv().await.is_some(),
        };
    }
}

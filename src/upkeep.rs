//! Operators' calls carried out, whichever way they come: the core's bans, the router's drain, the figures' text.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::watch;
use tracing::info;

use crate::core::Handle;
use crate::wire::replica_id;

/// Since when the router is drained; none while it takes clients.
pub type Drained = Option<Instant>;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Ready,
    /// The figures.
    Metrics,
    /// Leave a model server out.
    Disable(String),
    /// Put a model server back.
    Enable(String),
    /// Empty the router.
    Drain,
    /// Take clients again.
    Undrain,
}

/// Why a call gets a no.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum No {
    /// The process can't serve yet.
    NotReady,
    /// No list has ever named the model server.
    Unlisted,
    /// The router is ending.
    Ending,
}

/// Carries calls out.
pub struct Upkeep {
    core: Handle,
    drained: watch::Sender<Drained>,
}

impl Upkeep {
    /// With the core and the flag that the fronts watch.
    pub fn new(core: Handle, drained: watch::Sender<Drained>) -> Arc<Upkeep> {
        Arc::new(Upkeep { core, drained })
    }

    /// Carries a call out; what there is to say of it.
    pub async fn call(&self, call: Call) -> Result<String, No> {
        match call {
            Call::Ready if self.core.load().ready() => Ok("ready\n".into()),
            Call::Ready => Err(No::NotReady),
            Call::Metrics => Ok(self.core.figures().text()),
            Call::Disable(name) => self.maintain(&name, true).await,
            Call::Enable(name) => self.maintain(&name, false).await,
            Call::Drain => Ok(self.drain(true)),
            Call::Undrain => Ok(self.drain(false)),
        }
    }

    async fn maintain(&self, name: &str, leave_out: bool) -> Result<String, No> {
        let done = self.core.maintain(replica_id(name), name, leave_out, false).await;
        done.map_err(|_| No::Ending)?.ok_or(No::Unlisted)?;
        Ok(format!("{name} is {}\n", if leave_out { "left out" } else { "put back" }))
    }

    fn drain(&self, on: bool) -> String {
        self.drained.send_if_modified(|drained| {
            let changes = drained.is_some() != on;
            if changes {
                *drained = on.then(Instant::now);
            }
            changes
        });
        self.core.figures().drained(on);
        info!("{}", if on { "drained" } else { "not drained" });
        (if on { "drained\n" } else { "taking clients\n" }).into()
    }
}

//! The router: assembles the core, discovery, the handover and the fronts (`open`), serves until
//! the process shuts down, and reloads its configuration (`reload`).

mod open;
mod reload;
mod run;
mod signals;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use tokio::net::TcpListener;

use crate::batch;
use crate::config::Config;
use crate::lifecycle::Lifecycle;
use crate::net::admin;
use crate::net::downstream::{self, DownstreamContext};
use crate::net::handover::{Handover, PredecessorLink};
use crate::net::listener::{self, ListenerContext};

pub use open::open;
pub use reload::Reloader;
pub use run::run;

/// The options of a router.
pub struct RouterOptions {
    /// The router's configuration.
    pub config: Config,
    /// The options of the batch front; `None` if it is disabled.
    pub batch: Option<batch::Options>,
    /// The edge's configuration file: models, budgets and keys; `None` if the edge is disabled.
    pub edge: Option<PathBuf>,
    /// An inventory file of model servers, used in place of discovery.
    pub inventory: Option<PathBuf>,
    /// The file from which the configuration was read; it is reloaded on SIGHUP.
    pub config_file: Option<PathBuf>,
    /// The clients' listening socket, if the platform passes it to the process.
    pub inherited: Option<InheritedListener>,
}

/// The clients' listening socket as the platform passes it to a process. Such a process may replace
/// a predecessor and be replaced by a successor.
pub struct InheritedListener {
    /// The listening socket.
    pub listener: std::net::TcpListener,
    /// The router's folder, through which the processes of one router find each other; `None` if
    /// they cannot.
    pub folder: Option<PathBuf>,
}

/// A router whose listening sockets are open.
pub struct Router {
    admin: Option<AdminFront>,
    handover: Option<HandoverStart>,
    platform: Option<PlatformFront>,
    batch: Option<batch::BatchService>,
    listener_context: ListenerContext,
    reloader: Reloader,
}

/// The operators' listening socket, and the lifecycle that executes their commands.
struct AdminFront {
    lifecycle: Arc<Lifecycle>,
    listener: TcpListener,
}

impl AdminFront {
    fn new(lifecycle: Arc<Lifecycle>, listener: TcpListener) -> AdminFront {
        AdminFront {
            lifecycle,
            listener,
        }
    }
}

/// The front for the platform's clients, and its listening socket.
struct PlatformFront {
    front: Arc<DownstreamContext>,
    listener: TcpListener,
}

/// This process's side of handovers, and its predecessor, if there is one.
struct HandoverStart {
    handover: Arc<Handover>,
    predecessor: Option<PredecessorLink>,
}

impl Router {
    /// Returns the reloader, which executes the reload that SIGHUP requests.
    pub fn reloader(&self) -> Reloader {
        self.reloader.clone()
    }

    /// Returns the address for the platform's clients.
    pub fn platform_address(&self) -> Option<SocketAddr> {
        let platform = self.platform.as_ref()?;
        platform.listener.local_addr().ok()
    }

    /// Returns the address of the batch front.
    pub fn batch_address(&self) -> Option<SocketAddr> {
        self.batch.as_ref()?.address().ok()
    }

    /// Returns the operators' address.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.as_ref()?.listener.local_addr().ok()
    }

    /// Serves until the process shuts down and all accepted requests are answered.
    pub async fn serve(self) {
        let fronts = async {
            tokio::join!(
                serve_platform(self.platform, self.handover, self.listener_context),
                serve_batch(self.batch)
            )
        };
        tokio::select! {
            _ = fronts => {}
            () = serve_admin(self.admin) => {}
        }
    }
}

/// Accepts the platform's clients. If there is a predecessor, first waits until this process has an
/// endpoint list and a share of the predecessor's limits, or until the predecessor has exited.
async fn serve_platform(
    platform: Option<PlatformFront>,
    handover: Option<HandoverStart>,
    listener_context: ListenerContext,
) {
    if let Some(start) = handover {
        start.handover.start(start.predecessor).await;
    }
    if let Some(PlatformFront { front, listener }) = platform {
        let handler = listener::handler(front, downstream::run);
        listener::serve(
            listener_context,
            downstream::CLIENT_TIMEOUTS,
            listener,
            handler,
        )
        .await;
    }
}

async fn serve_batch(batch: Option<batch::BatchService>) {
    if let Some(batch) = batch {
        batch.serve().await;
    }
}

async fn serve_admin(admin: Option<AdminFront>) {
    match admin {
        Some(admin) => admin::serve(admin.listener, admin.lifecycle).await,
        None => std::future::pending().await,
    }
}

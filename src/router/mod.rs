//! The router: puts the core, discovery, the handover and the fronts together (`open`), serves
//! until the process shuts down (here), and reads its configuration anew (`reload`).

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
    /// The batch front; `None` where it is off.
    pub batch: Option<batch::Options>,
    /// The edge's file: models, budgets and keys; `None` where the edge is off.
    pub edge: Option<PathBuf>,
    /// An inventory of model servers, in place of discovery.
    pub inventory: Option<PathBuf>,
    /// The file that the configuration came from, read anew on SIGHUP.
    pub config_file: Option<PathBuf>,
    /// The clients' listening socket, where the platform passes it to the process.
    pub inherited: Option<InheritedListener>,
}

/// The clients' listening socket as the platform passes it to a process, which may then replace
/// another one, and be replaced.
pub struct InheritedListener {
    /// The socket.
    pub listener: std::net::TcpListener,
    /// The router's folder; without it, processes of one router don't know of each other.
    pub folder: Option<PathBuf>,
}

/// A router whose addresses are open.
pub struct Router {
    admin: Option<AdminFront>,
    handover: Option<HandoverStart>,
    platform: Option<PlatformFront>,
    batch: Option<batch::BatchService>,
    listener_context: ListenerContext,
    reloader: Reloader,
}

/// The operators' address, and what carries their commands out.
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

/// The front of the platform's clients, and its address.
struct PlatformFront {
    front: Arc<DownstreamContext>,
    listener: TcpListener,
}

/// This process's side of replacements, and the predecessor that it replaces.
struct HandoverStart {
    handover: Arc<Handover>,
    predecessor: Option<PredecessorLink>,
}

impl Router {
    /// Carries out what SIGHUP asks for.
    pub fn reloader(&self) -> Reloader {
        self.reloader.clone()
    }

    /// The address of the platform's clients.
    pub fn platform_address(&self) -> Option<SocketAddr> {
        let platform = self.platform.as_ref()?;
        platform.listener.local_addr().ok()
    }

    /// The address of the batch front.
    pub fn batch_address(&self) -> Option<SocketAddr> {
        self.batch.as_ref()?.address().ok()
    }

    /// The operators' address.
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

/// Accepts the platform's clients, once a predecessor has transferred a share of the limits.
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

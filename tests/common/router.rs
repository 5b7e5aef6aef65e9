//! A router in the test's own thread.
#![allow(dead_code)]

use std::path::Path;
use std::time::Duration;

use stilespan::batch;
use stilespan::config::Config;
use stilespan::router::{self, RouterOptions};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// A router under test.
pub struct Router {
    /// Where clients of the platform's protocol call it; the others likewise, empty where it does
    /// not listen.
    pub platform: String,
    pub batch: String,
    pub admin: String,
    /// Takes the shutdown signal.
    pub end: watch::Sender<bool>,
    pub reloader: router::Reloader,
    /// Ends with the router.
    pub done: JoinHandle<()>,
}

impl Router {
    /// Fails unless the router ends within this time.
    pub async fn wait_until_stopped(self, limit: Duration) {
        timeout(limit, self.done).await.expect("ends").unwrap();
    }
}

/// Starts a router in the current runtime.
pub async fn start(options: RouterOptions) -> Router {
    let (end, ending) = watch::channel(false);
    let router = router::open(options, ending).await.unwrap();
    let (platform, batch) = (router.platform_address(), router.batch_address());
    let text = |a: Option<std::net::SocketAddr>| a.map_or_else(String::new, |a| a.to_string());
    let (reloader, admin) = (router.reloader(), text(router.admin_address()));
    Router {
        admin,
        platform: text(platform),
        batch: text(batch),
        end,
        reloader,
        done: tokio::spawn(router.serve()),
    }
}

/// The options of a router with this configuration and nothing else.
pub fn router_options(config: Config) -> RouterOptions {
    RouterOptions {
        config,
        batch: None,
        edge: None,
        inventory: None,
        config_file: None,
        inherited: None,
    }
}

/// A router with this configuration and nothing else.
pub async fn route(config: Config) -> Router {
    start(router_options(config)).await
}

/// Batch options with a spool in this folder.
pub fn batch_options(spool: &Path) -> batch::Options {
    batch::Options {
        listen: "127.0.0.1:0".into(),
        spool: spool.to_path_buf(),
        inventory: None,
        class: "batch-mark".into(),
        endpoints: vec!["/v1/chat/completions".into()],
        window: 16,
        limits: batch::Limits::default(),
    }
}

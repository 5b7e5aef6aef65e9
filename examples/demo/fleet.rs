//! The fake model servers of the demo.

use std::time::Duration;

use fake_servers::{ModelServer, RequestLog, ServerOptions};

use crate::DemoError;

/// How long the demo waits for the router to list the models of all servers.
const INVENTORY_DELAY: Duration = Duration::from_millis(500);

/// One server with one model, and one server with two models.
pub struct Fleet {
    fast: ModelServer,
    old: ModelServer,
}

impl Fleet {
    /// Starts the servers.
    pub async fn start() -> Result<Fleet, DemoError> {
        let log = RequestLog::default();
        let fast = server_options("fast-1", &["hint"]);
        let old = server_options("old-1", &["hint", "marker"]);
        Ok(Fleet {
            fast: ModelServer::start(fast, log.clone()).await?,
            old: ModelServer::start(old, log).await?,
        })
    }

    /// Returns the CSV inventory of the servers.
    pub fn inventory(&self) -> String {
        format!(
            "name,address,models\nfast-1,{},hint\nold-1,{},hint marker\n",
            self.fast.address, self.old.address
        )
    }
}

/// Waits long enough for the router to list the models of the servers.
pub async fn wait_for_inventory() {
    tokio::time::sleep(INVENTORY_DELAY).await;
}

fn server_options(name: &str, models: &[&str]) -> ServerOptions {
    ServerOptions {
        name: name.into(),
        models: models.iter().map(ToString::to_string).collect(),
        first_token_delay: Duration::from_millis(40),
        token_interval: Duration::from_millis(10),
        answer_tokens: 12,
        ..ServerOptions::default()
    }
}

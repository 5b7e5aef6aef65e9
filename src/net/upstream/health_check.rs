//! Health checks, and the load reports in their responses. The decision module decides when a
//! server is checked and how the outcome is used.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::timeout;
use tracing::trace;

use super::Upstream;
use super::connection::FramedHead;
use super::load_report::parse_load_report;
use crate::core::CoreMessage;
use crate::interface::{HealthCheckEnded, LoadReport, Outcome, Span};

/// The maximum duration of a health check, including the time to connect.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

struct HealthCheckResult {
    outcome: Outcome,
    load_report: Option<LoadReport>,
}

impl From<Outcome> for HealthCheckResult {
    fn from(outcome: Outcome) -> HealthCheckResult {
        HealthCheckResult {
            outcome,
            load_report: None,
        }
    }
}

impl Upstream {
    /// Checks the server once and reports the result to the core.
    pub(super) async fn run_health_check(self: Arc<Self>) {
        let start = Instant::now();
        let check = self.check_health(start + HEALTH_CHECK_TIMEOUT);
        let result = timeout(HEALTH_CHECK_TIMEOUT, check)
            .await
            .unwrap_or_else(|_| Outcome::Timeout.into());
        let end = HealthCheckEnded {
            replica: self.replica,
            outcome: result.outcome,
            elapsed: Span::from(start.elapsed()),
            load_report: result.load_report,
        };
        let _ = self.messages.send(CoreMessage::HealthCheckEnded(end)).await;
    }

    async fn check_health(&self, deadline: Instant) -> HealthCheckResult {
        let Some(mut connection) = self.acquire_connection(deadline).await else {
            return Outcome::ConnectFailed.into();
        };
        let path = if self.options.load_report_names.is_empty() {
            "/ping"
        } else {
            "/_load"
        };
        let request = format!("GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
        let written = connection.stream.write_all(request.as_bytes()).await;
        if written.is_err() {
            return Outcome::ConnectFailed.into();
        }
        let Ok(FramedHead { head, framing }) = connection.read_head().await else {
            return Outcome::ConnectionReset.into();
        };
        let body = self.drain_body(connection, &head, framing).await;
        let text = body
            .as_deref()
            .and_then(|body| std::str::from_utf8(body).ok());
        trace!("{}: load report {text:?}", self.address);
        HealthCheckResult {
            outcome: if head.status == 200 {
                Outcome::Completed
            } else {
                Outcome::Error
            },
            load_report: text
                .and_then(|text| parse_load_report(text, &self.options.load_report_names)),
        }
    }
}

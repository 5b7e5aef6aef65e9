//! The clients: they send requests over reused connections and record each request's outcome.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, Response};
use tokio::time::{Instant, timeout};

use crate::record::{RequestOutcome, RequestRecord};

/// Time after a client's timeout at which a request without a response counts as timed out.
const TIMEOUT_GRACE: Duration = Duration::from_millis(600);
/// Maximum time from a response's head to its end.
const STREAM_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time after which a client closes a connection. The router keeps idle connections open for
/// longer, so that it never closes one on which a request is being sent.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// The body of each request.
const BODY: &str = r#"{"model":"hint","stream":true,"messages":[{"role":"user","content":"How do I add two fractions?"}]}"#;
/// The end of a complete stream.
const END_OF_STREAM: &[u8] = b"data: [DONE]\n\n";

/// The clients of all routers.
#[derive(Clone)]
pub(crate) struct Clients {
    client: Client,
    /// How long a client waits for the first token.
    timeout: Duration,
    run_start: Instant,
}

impl Clients {
    /// Creates the clients of a run that began at `run_start`. They wait for the first token for
    /// the duration of `timeout`.
    pub(crate) fn new(timeout: Duration, run_start: Instant) -> std::io::Result<Clients> {
        let client = Client::builder()
            .no_proxy()
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .build()
            .map_err(std::io::Error::other)?;
        Ok(Clients {
            client,
            timeout,
            run_start,
        })
    }

    /// Sends one request to the router at this address and waits until it has ended.
    pub(crate) async fn send(
        self,
        address: SocketAddr,
        router: usize,
        trace_id: String,
    ) -> RequestRecord {
        let sent_at = Instant::now();
        let request = self
            .client
            .post(format!("http://{address}/v1/chat/completions"))
            .header("X-Trace-Id", &trace_id)
            .header("X-Qos", "hint")
            .header("X-Expires-In-Ms", self.timeout.as_millis().to_string())
            .header("X-Props", "prompt_len=12,max_out=10")
            .body(BODY);
        let response = timeout(self.timeout + TIMEOUT_GRACE, request.send()).await;
        let elapsed = sent_at.elapsed();
        let outcome = match response {
            Err(_) => RequestOutcome::TimedOut,
            Ok(Err(_)) => RequestOutcome::ConnectionLost,
            Ok(Ok(response)) => read_outcome(response).await,
        };
        RequestRecord {
            trace_id,
            router,
            sent_at_ms: milliseconds(sent_at - self.run_start),
            outcome,
            elapsed_ms: milliseconds(elapsed),
        }
    }
}

/// Reads a response to its end.
async fn read_outcome(response: Response) -> RequestOutcome {
    let status = response.status().as_u16();
    let body = timeout(STREAM_TIMEOUT, response.bytes()).await;
    match (status, body) {
        (200, Ok(Ok(body))) if body.ends_with(END_OF_STREAM) => RequestOutcome::Completed,
        (200, _) => RequestOutcome::StreamBroken,
        (_, Err(_) | Ok(Err(_))) => RequestOutcome::ConnectionLost,
        (429 | 503, _) => RequestOutcome::Rejected,
        _ => RequestOutcome::Failed,
    }
}

/// Converts a duration to whole milliseconds.
pub(crate) fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// The trace id of a request; contains the router's index.
pub(crate) fn trace_id(router: usize, number: u64) -> String {
    format!("{router:04x}{number:012x}")
}

/// The index of the router that a trace id contains.
pub(crate) fn router_of(trace_id: &str) -> Option<usize> {
    usize::from_str_radix(trace_id.get(..4)?, 16).ok()
}

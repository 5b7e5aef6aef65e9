//! Serves the platform's clients over HTTP.
//!
//! Translates HTTP requests into requests to the core, and the core's answers into HTTP answers. It
//! makes no decisions: the core and its policy choose the model server, whether to retry and what
//! to reject.

mod answer_timing;
mod forwarding;
mod reply;
mod request_head;

use std::sync::Arc;
use std::time::Duration;

use tracing::debug;

use super::http::{Body, Framing, Head, HttpError, MAX_BODY_BYTES};
use super::listener::{ClientConnection, ClientTimeouts, NextRequest, UnreadRemainder};
use crate::core::CoreHandle;
use crate::memory::MemoryBudget;
use crate::request_ids::RequestIds;
use reply::Reply;

/// Time limits for the platform's clients. They are short because these clients have their requests
/// ready when they connect.
pub const CLIENT_TIMEOUTS: ClientTimeouts = ClientTimeouts {
    idle: Duration::from_secs(2),
    request: Duration::from_millis(2500),
};

/// State that all connections of the platform's clients share.
pub struct DownstreamContext {
    /// Submits requests to the core.
    pub core: CoreHandle,
    /// Memory for bodies.
    pub memory: MemoryBudget,
    /// The names of the classes.
    pub classes: Vec<String>,
    /// The deadlines of the classes, in the same order.
    pub deadlines: Vec<Duration>,
    /// The names of the tenants.
    pub tenants: Vec<String>,
    /// The request ids in use.
    pub request_ids: RequestIds,
}

/// Serves one client's connection until it ends.
pub async fn run(context: Arc<DownstreamContext>, connection: ClientConnection) {
    let mut handler = ConnectionHandler {
        context,
        connection,
    };
    let rejection = loop {
        match handler.serve_request().await {
            Ok(NextStep::KeepAlive) => {}
            Ok(NextStep::Close) => {
                return handler.connection.close(UnreadRemainder::Nothing).await;
            }
            Ok(NextStep::Drop) => return,
            Err(RequestError::Rejected(rejection)) => break rejection,
            Err(RequestError::Http(e)) => {
                debug!(
                    "a client's request could not be read or answered: {e}; closing the connection"
                );
                let Some(status) = e.status() else {
                    return;
                };
                break Rejection {
                    reply: Reply::new(status.code, status.reason, status.reason),
                    remainder: UnreadRemainder::Unframed,
                };
            }
        }
    };
    if handler
        .reply(&rejection.reply, Persistence::Close)
        .await
        .is_ok()
    {
        handler.connection.close(rejection.remainder).await;
    }
}

/// Serves one client's connection.
struct ConnectionHandler {
    context: Arc<DownstreamContext>,
    connection: ClientConnection,
}

/// Whether a connection stays open after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Persistence {
    KeepAlive,
    Close,
}

impl Persistence {
    /// Whether the client requests that the connection stays open.
    fn requested(head: &Head) -> Persistence {
        if head.closes() {
            Persistence::Close
        } else {
            Persistence::KeepAlive
        }
    }
}

/// The next step of a connection after a request.
enum NextStep {
    /// Wait for the next request.
    KeepAlive,
    /// Close the connection.
    Close,
    /// Drop the connection, because its client has disconnected.
    Drop,
}

impl From<Persistence> for NextStep {
    fn from(persistence: Persistence) -> NextStep {
        match persistence {
            Persistence::KeepAlive => NextStep::KeepAlive,
            Persistence::Close => NextStep::Close,
        }
    }
}

/// Why a request was not answered.
enum RequestError {
    /// The request was rejected before it was read completely.
    Rejected(Rejection),
    /// The request could not be read, or its answer could not be written.
    Http(HttpError),
}

/// The answer to a rejected request. The connection is closed after it.
struct Rejection {
    reply: Reply,
    /// The rest of the request, which the client may still be sending.
    remainder: UnreadRemainder,
}

impl RequestError {
    /// Rejects a request. `body` marks the position up to which the body has been read.
    fn rejected(reply: Reply, body: Body) -> RequestError {
        RequestError::Rejected(Rejection {
            reply,
            remainder: UnreadRemainder::Body(body),
        })
    }
}

impl From<HttpError> for RequestError {
    fn from(e: HttpError) -> RequestError {
        RequestError::Http(e)
    }
}

impl ConnectionHandler {
    /// Waits for a request and answers it.
    async fn serve_request(&mut self) -> Result<NextStep, RequestError> {
        match self.connection.next_request().await {
            NextRequest::Received(head) => self.handle_request(&head).await,
            NextRequest::Invalid(HttpError::Timeout) => Err(RequestError::Rejected(Rejection {
                reply: Reply::request_timeout(),
                remainder: UnreadRemainder::Nothing,
            })),
            NextRequest::Invalid(e) => Err(e.into()),
            NextRequest::Close => Ok(NextStep::Close),
            NextRequest::Drop => Ok(NextStep::Drop),
        }
    }

    /// Answers a request. The complete head is checked before the body is read, so that no memory
    /// is reserved for requests that can't be served.
    async fn handle_request(&mut self, head: &Head) -> Result<NextStep, RequestError> {
        let framing = head.request_framing()?;
        let mut body = Body::new(framing);
        if matches!(framing, Framing::Length(length) if length > MAX_BODY_BYTES as u64) {
            return Err(RequestError::rejected(Reply::content_too_large(), body));
        }
        if head.path() == "/_health" {
            return self
                .answer_health_check(&mut body, Persistence::requested(head))
                .await;
        }
        if head.method != "POST" {
            let reply = Reply::new(404, "Not Found", "no such thing");
            return Err(RequestError::rejected(reply, body));
        }
        self.forward_request(head, body).await
    }

    async fn answer_health_check(
        &mut self,
        body: &mut Body,
        persistence: Persistence,
    ) -> Result<NextStep, RequestError> {
        let memory = self.context.memory.clone();
        self.connection
            .receive_body(body, MAX_BODY_BYTES, &memory, None)
            .await?;
        self.connection.request_received();
        // the platform's front sends clients as soon as the status is 200
        let ready = self.context.core.load().is_ready() && !self.connection.is_draining();
        let reply = if ready {
            Reply::new(200, "OK", "ready")
        } else {
            Reply::new(503, "Service Unavailable", "not ready")
        };
        self.reply(&reply, persistence).await
    }
}

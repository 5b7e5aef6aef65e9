//! Finds the handler of a request by its path and method.

use serde_json::json;

use super::errors::RequestError;
use super::response::Response;
use super::session::Session;
use crate::api::{ApiError, Reply};
use crate::edge::Caller;
use crate::net::http::{Body, Head};

impl Session {
    /// Handles a request.
    pub(super) async fn route(
        &mut self,
        head: &Head,
        body: &mut Body,
    ) -> Result<Response, RequestError> {
        let path: Vec<&str> = head.path().trim_matches('/').split('/').collect();
        let ["v1", path @ ..] = path.as_slice() else {
            if head.path() == "/_health" {
                return Ok(Reply::json(json!({"status": "ready"})).into());
            }
            return Err(no_such_path().into());
        };
        // before the body is read, and before anything could be found out without a key
        self.caller = match &self.context.edge {
            Some(edge) => edge.edge.authenticate(head.get("authorization"))?,
            None => Caller::default(),
        };
        match path {
            ["files", path @ ..] => self.route_files(head, body, path).await,
            ["uploads", path @ ..] => self.route_uploads(head, body, path).await,
            ["batches", path @ ..] => self.route_batches(head, body, path).await,
            path => match self.context.edge.clone() {
                Some(edge) => self.route_edge(&edge, head, body, path).await,
                None => Err(no_such_path().into()),
            },
        }
    }
}

/// The error for a path that the API does not have.
pub(super) fn no_such_path() -> ApiError {
    ApiError::new(404, None, "no such path")
}

/// The error for a method that a path does not have.
pub(super) fn no_such_method() -> ApiError {
    ApiError::new(405, None, "no such method on this path")
}

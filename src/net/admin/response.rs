//! Responses to operators: maps errors to statuses and encodes responses as HTTP.

use super::request::RequestError;
use crate::lifecycle::AdminError;
use crate::net::http::HttpError;

/// A response to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Response {
    /// The status code and reason phrase.
    status: &'static str,
    /// The method that the path allows, if the request had a different one.
    allowed_method: Option<&'static str>,
    text: String,
}

impl Response {
    fn error(status: &'static str, error: &dyn std::error::Error) -> Response {
        Response {
            status,
            allowed_method: None,
            text: format!("{error}\n"),
        }
    }

    /// The response to a successful command.
    pub(super) fn ok(text: String) -> Response {
        Response {
            status: "200 OK",
            allowed_method: None,
            text,
        }
    }

    /// The response to a request that couldn't be read. `None` if the connection is closed.
    pub(super) fn for_unreadable_request(error: &HttpError) -> Option<Response> {
        let status = match error {
            HttpError::Io(_) | HttpError::ConnectionClosed => return None,
            HttpError::Malformed(_) => "400 Bad Request",
            HttpError::HeadTooLarge => "431 Request Header Fields Too Large",
            HttpError::BodyTooLarge => "413 Content Too Large",
            HttpError::Timeout => "408 Request Timeout",
            HttpError::NoCapacity => "503 Service Unavailable",
        };
        Some(Response::error(status, error))
    }

    /// Encodes the response as HTTP.
    pub(super) fn encode(&self) -> Vec<u8> {
        let allow = self
            .allowed_method
            .map_or(String::new(), |method| format!("Allow: {method}\r\n"));
        format!(
            "HTTP/1.1 {}\r\nContent-Type: text/plain; version=0.0.4\r\n{allow}Content-Length: {}\r\n\
             Connection: close\r\n\r\n{}",
            self.status,
            self.text.len(),
            self.text
        )
        .into_bytes()
    }
}

impl From<RequestError> for Response {
    fn from(error: RequestError) -> Response {
        match error {
            RequestError::UnknownPath => Response::error("404 Not Found", &error),
            RequestError::MethodNotAllowed { allowed } => Response {
                allowed_method: Some(allowed),
                ..Response::error("405 Method Not Allowed", &error)
            },
            RequestError::InvalidQuery | RequestError::SeveralNames | RequestError::NoName => {
                Response::error("400 Bad Request", &error)
            }
        }
    }
}

impl From<AdminError> for Response {
    fn from(error: AdminError) -> Response {
        let status = match error {
            AdminError::UnknownServer => "404 Not Found",
            AdminError::NotReady
            | AdminError::ShuttingDown
            | AdminError::NotPersisted(_)
            | AdminError::PeerUnreachable => "503 Service Unavailable",
        };
        Response::error(status, &error)
    }
}

#[cfg(test)]
mod tests;

//! Replies and errors of the router's public API, in the form of the OpenAI API. They don't depend
//! on the transport that sends them.

use std::time::Duration;

use serde_json::{Value, json};

/// An error reply of the API.
#[derive(Clone, Debug, PartialEq)]
pub struct ApiError {
    /// The HTTP status.
    pub status: u16,
    /// The parameter or header of the request that is invalid.
    pub param: Option<&'static str>,
    /// The machine-readable kind of error.
    pub code: Option<&'static str>,
    /// The human-readable message.
    pub message: String,
    /// Headers of the reply.
    pub headers: Vec<(&'static str, String)>,
}

impl ApiError {
    /// Creates an error without a code or headers.
    pub fn new(
        status: u16,
        param: impl Into<Option<&'static str>>,
        message: impl Into<String>,
    ) -> ApiError {
        ApiError {
            status,
            param: param.into(),
            code: None,
            message: message.into(),
            headers: Vec::new(),
        }
    }

    /// Sets the code.
    pub fn code(self, code: &'static str) -> ApiError {
        ApiError {
            code: Some(code),
            ..self
        }
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> ApiError {
        self.headers.push((name, value.into()));
        self
    }

    /// Adds a `Retry-After` header if `wait` is set: in whole seconds, rounded up, as RFC 9110
    /// (section 10.2.3) requires, and at least 1.
    pub fn retry_in(self, wait: Option<Duration>) -> ApiError {
        match wait {
            Some(wait) => self.with(
                "Retry-After",
                wait.as_secs_f64().ceil().max(1.0).to_string(),
            ),
            None => self,
        }
    }

    /// Returns the JSON object of the reply's body.
    pub fn object(&self) -> Value {
        let kind = match self.status {
            401 => "authentication_error",
            403 => "permission_error",
            429 => "rate_limit_error",
            500.. => "server_error",
            _ => "invalid_request_error",
        };
        let error =
            json!({"message": self.message, "type": kind, "param": self.param, "code": self.code});
        json!({ "error": error })
    }
}

/// A reply of the API.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// Headers other than those that describe the body.
    pub headers: Vec<(&'static str, String)>,
    /// The JSON body, if there is one.
    pub body: Option<Value>,
}

impl Reply {
    /// Creates a reply with status 200 and a JSON body.
    pub fn json(body: Value) -> Reply {
        Reply {
            status: 200,
            headers: Vec::new(),
            body: Some(body),
        }
    }

    /// Creates a reply without a body.
    pub fn empty(status: u16, headers: Vec<(&'static str, String)>) -> Reply {
        Reply {
            status,
            headers,
            body: None,
        }
    }
}

impl From<&ApiError> for Reply {
    fn from(e: &ApiError) -> Reply {
        Reply {
            status: e.status,
            headers: e.headers.clone(),
            body: Some(e.object()),
        }
    }
}

/// Returns the reason phrase of a status.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        206 => "Partial Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        416 => "Range Not Satisfiable",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        507 => "Insufficient Storage",
        _ => "Internal Server Error",
    }
}

//! The outcome of a line and its encoding in the result file.

use serde_json::{Value, json};

use super::error::LineError;

/// The outcome of a line: one line of the result file.
#[derive(Clone, Debug)]
pub struct LineOutcome {
    /// The line's number in the input file, from 1.
    pub number: u64,
    /// The client's id for the line, if it could be read.
    pub custom_id: Option<String>,
    /// The trace id that was sent to model servers.
    pub trace_id: String,
    /// The completion, or the error that prevented it.
    pub result: Result<Value, LineError>,
}

impl LineOutcome {
    /// Encodes the outcome as a line of the result file, with its line break.
    pub fn encode(&self) -> String {
        let (response, error) = match &self.result {
            Ok(body) => (
                json!({"status_code": 200, "request_id": self.trace_id, "body": body}),
                Value::Null,
            ),
            Err(e) => (
                Value::Null,
                json!({"code": e.code(), "message": e.to_string()}),
            ),
        };
        let line = json!({
            "id": format!("batch_req_{}", self.trace_id),
            "line": self.number,
            "custom_id": self.custom_id,
            "response": response,
            "error": error,
        });
        format!("{line}\n")
    }
}

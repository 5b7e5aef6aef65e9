//! Converts the errors of requests into API errors.

use std::io::ErrorKind;
use std::time::Duration;

use crate::api::ApiError;
use crate::batch::jobs::JobError;
use crate::batch::store::StoreError;
use crate::net::http::HttpError;

/// The `Retry-After` value if the spool is full or fails. Clients can delete files in this time,
/// and a short failure may be over after it.
const SPOOL_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Why a request failed.
pub(super) enum RequestError {
    /// The request is rejected with this error.
    Api(ApiError),
    /// The request could not be read.
    Http(HttpError),
}

impl From<HttpError> for RequestError {
    fn from(e: HttpError) -> RequestError {
        RequestError::Http(e)
    }
}

impl<E: Into<ApiError>> From<E> for RequestError {
    fn from(e: E) -> RequestError {
        RequestError::Api(e.into())
    }
}

impl From<StoreError> for ApiError {
    fn from(error: StoreError) -> ApiError {
        let status = store_status(&error);
        let retry_after = matches!(status, 503 | 507).then_some(SPOOL_RETRY_AFTER);
        let api_error = ApiError::new(status, None, error.to_string()).retry_in(retry_after);
        match error {
            StoreError::WrongOffset { end } => api_error.with("Upload-Offset", end.to_string()),
            _ => api_error,
        }
    }
}

fn store_status(error: &StoreError) -> u16 {
    match error {
        StoreError::Unknown => 404,
        StoreError::Busy | StoreError::Incomplete | StoreError::WrongOffset { .. } => 409,
        StoreError::TooLarge { .. } => 413,
        StoreError::Full => 507,
        StoreError::Io(e) => match e.kind() {
            ErrorKind::StorageFull | ErrorKind::QuotaExceeded => 507,
            _ => 503,
        },
    }
}

impl From<JobError> for ApiError {
    fn from(error: JobError) -> ApiError {
        let message = error.to_string();
        match error {
            JobError::Unknown => ApiError::new(404, None, message),
            JobError::Ended => ApiError::new(409, None, message),
            JobError::Full => ApiError::new(429, None, message),
            JobError::File(StoreError::Unknown) => ApiError::new(404, "input_file_id", message),
            JobError::File(e @ StoreError::Io(_)) | JobError::Result(e) => e.into(),
            JobError::File(_) => ApiError::new(400, "input_file_id", message),
        }
    }
}

#[cfg(test)]
mod tests;

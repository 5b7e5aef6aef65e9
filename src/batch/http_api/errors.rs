//! What goes wrong in files and batches, in the public form.

use std::io::ErrorKind;
use std::time::Duration;

use crate::api::ApiError;
use crate::batch::jobs::JobError;
use crate::batch::store::StoreError;
use crate::net::http::HttpError;

/// When a client may come back to a store that is full or fails.
const STORE_RETRY: Duration = Duration::from_secs(5);

impl From<StoreError> for ApiError {
    fn from(e: StoreError) -> ApiError {
        let status = match e {
            StoreError::Unknown => 404,
            StoreError::Busy | StoreError::Incomplete | StoreError::WrongOffset { .. } => 409,
            StoreError::TooLarge { .. } => 413,
            StoreError::Full => 507,
            StoreError::Io(ref e)
                if matches!(e.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded) =>
            {
                507
            }
            StoreError::Io(_) => 503,
        };
        let error = ApiError::new(status, None, e.to_string());
        let error = error.retry_in(matches!(status, 503 | 507).then_some(STORE_RETRY));
        if let StoreError::WrongOffset { end: at } = e {
            error.with("Upload-Offset", at.to_string())
        } else {
            error
        }
    }
}

impl From<JobError> for ApiError {
    fn from(e: JobError) -> ApiError {
        match e {
            JobError::Unknown => ApiError::new(404, None, e.to_string()),
            JobError::Ended => ApiError::new(409, None, e.to_string()),
            JobError::Full => ApiError::new(429, None, e.to_string()),
            JobError::File(StoreError::Unknown) => {
                ApiError::new(404, "input_file_id", e.to_string())
            }
            JobError::File(e @ StoreError::Io(_)) => e.into(),
            JobError::File(_) => ApiError::new(400, "input_file_id", e.to_string()),
        }
    }
}

/// What goes wrong on a request: the client is told, or the connection is over.
pub(in crate::batch) enum RequestError {
    Api(ApiError),
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

#[cfg(test)]
mod tests;

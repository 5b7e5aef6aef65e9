//! Parsing of request and response heads from the buffer. Reads nothing from a connection.

use super::{Buffer, Head, HttpError, MAX_HEAD_BYTES, MAX_HEADERS, MAX_INTERIM_RESPONSES};

/// Removes a request head from the buffer and returns it. `None` while it is incomplete.
pub fn take_request_head(buffer: &mut Buffer) -> Result<Option<Head>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let status = request.parse(buffer.bytes()).map_err(parse_error)?;
    let Some(length) = head_length(status, buffer)? else {
        return Ok(None);
    };
    let head = Head {
        method: request.method.unwrap_or_default().to_string(),
        target: request.path.unwrap_or_default().to_string(),
        status: 0,
        headers: request_headers(request.headers)?,
        is_http_1_0: request.version == Some(0),
    };
    buffer.skip(length);
    Ok(Some(head))
}

/// How many bytes of `next`, which follows the bytes in the buffer, belong to the request head that
/// is being received. All of them, if the head is incomplete or malformed: its end is unknown then.
pub fn request_head_length(buffer: &Buffer, next: &[u8]) -> usize {
    let mut both = buffer.followed_by(next);
    match take_request_head(&mut both) {
        Ok(Some(_)) => next.len().saturating_sub(both.bytes().len()),
        Ok(None) | Err(_) => next.len(),
    }
}

/// Removes a response head from the buffer and returns it. `None` while it is incomplete. Interim
/// responses (1xx) are skipped and counted.
pub(super) fn take_response_head(
    buffer: &mut Buffer,
    interim_responses: &mut usize,
) -> Result<Option<Head>, HttpError> {
    loop {
        let Some(head) = take_any_response_head(buffer)? else {
            return Ok(None);
        };
        // 101 is no interim response: it switches the protocol, which the router never requests
        if !(100..200).contains(&head.status) || head.status == 101 {
            return Ok(Some(head));
        }
        *interim_responses += 1;
        if *interim_responses > MAX_INTERIM_RESPONSES {
            return Err(HttpError::Malformed("interim answers without end"));
        }
    }
}

fn take_any_response_head(buffer: &mut Buffer) -> Result<Option<Head>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let status = response.parse(buffer.bytes()).map_err(parse_error)?;
    let Some(length) = head_length(status, buffer)? else {
        return Ok(None);
    };
    let head = Head {
        status: response.code.unwrap_or_default(),
        headers: response.headers.iter().map(response_header).collect(),
        is_http_1_0: response.version == Some(0),
        ..Head::default()
    };
    buffer.skip(length);
    Ok(Some(head))
}

/// The length of a complete head; `None` while it is incomplete. Fails if it exceeds its limit.
fn head_length(
    status: httparse::Status<usize>,
    buffer: &Buffer,
) -> Result<Option<usize>, HttpError> {
    match status {
        httparse::Status::Complete(length) if length <= MAX_HEAD_BYTES => Ok(Some(length)),
        httparse::Status::Partial if buffer.bytes().len() <= MAX_HEAD_BYTES => Ok(None),
        _ => Err(HttpError::HeadTooLarge),
    }
}

fn request_headers(headers: &[httparse::Header<'_>]) -> Result<Vec<(String, String)>, HttpError> {
    let header = |header: &httparse::Header<'_>| {
        let value = std::str::from_utf8(header.value)
            .map_err(|_| HttpError::Malformed("a header's value"))?;
        Ok((header.name.to_ascii_lowercase(), value.trim().to_string()))
    };
    headers.iter().map(header).collect()
}

/// Converts a response header. Invalid UTF-8 in its value is replaced instead of rejected, so that
/// an unreadable load report doesn't fail an intact stream.
fn response_header(header: &httparse::Header<'_>) -> (String, String) {
    let value = String::from_utf8_lossy(header.value);
    (header.name.to_ascii_lowercase(), value.trim().to_string())
}

fn parse_error(error: httparse::Error) -> HttpError {
    match error {
        httparse::Error::TooManyHeaders => HttpError::HeadTooLarge,
        _ => HttpError::Malformed("the head"),
    }
}

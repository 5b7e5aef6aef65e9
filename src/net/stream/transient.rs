//! Transient failures of socket calls, which do not affect the connection.

use std::io;
use std::time::Duration;

use rustix::io::Errno;

use crate::system_call::retry_on_interrupt;

/// How many times a call is retried immediately while the system lacks memory or buffers for it.
const MAX_IMMEDIATE_RETRIES: u32 = 16;
/// The delay before each further retry, for callers that can wait.
pub(super) const SHORTAGE_DELAY: Duration = Duration::from_millis(1);

/// Whether a call failed because the system lacked memory or buffers.
pub(super) fn is_shortage(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(Errno::NOMEM | Errno::NOBUFS)
    )
}

/// Retries a call while it is interrupted, and up to [`MAX_IMMEDIATE_RETRIES`] times while the
/// system lacks memory or buffers for it.
pub(super) fn retry_transient<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..MAX_IMMEDIATE_RETRIES {
        match retry_on_interrupt(&mut call) {
            Err(error) if is_shortage(&error) => {}
            result => return result,
        }
    }
    retry_on_interrupt(call)
}

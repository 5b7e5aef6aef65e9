//! Failures of a socket call that say nothing of its connection.

use std::io;
use std::time::Duration;

use rustix::io::Errno;

use crate::system_call::retry_on_interrupt;

/// How often a call that the system lacks memory or buffers for is repeated at once.
const MAX_IMMEDIATE_RETRIES: u32 = 16;
/// Time between further calls, where the caller can wait.
pub(super) const SHORTAGE_DELAY: Duration = Duration::from_millis(1);

/// Whether the system lacked memory or buffers for a call.
pub(super) fn is_shortage(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(Errno::NOMEM | Errno::NOBUFS)
    )
}

/// Repeats a call that was interrupted, or that the system lacked memory or buffers for, so often.
pub(super) fn retry_transient<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..MAX_IMMEDIATE_RETRIES {
        match retry_on_interrupt(&mut call) {
            Err(error) if is_shortage(&error) => {}
            result => return result,
        }
    }
    retry_on_interrupt(call)
}

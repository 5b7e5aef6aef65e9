//! Retry of system calls that a signal interrupted. Shared by sockets ([`crate::net::stream`]) and
//! files ([`crate::storage`]).

use std::io;

/// Repeats a call as long as signals interrupt it (`EINTR`): nothing was done, and nothing has
/// failed. Any other result is the caller's.
pub(crate) fn retry_on_interrupt<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

//! Retries system calls that a signal interrupted, for sockets ([`crate::net::stream`]) and files
//! ([`crate::storage`]).

use std::io;

/// Repeats a call as long as signals interrupt it (`EINTR`), because an interrupted call has
/// neither done anything nor failed. Returns any other result.
pub(crate) fn retry_on_interrupt<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

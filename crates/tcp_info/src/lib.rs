//! What the system knows of a TCP connection. No socket crate that the program uses reads
//! `TCP_INFO`, so one `unsafe` block asks the C library for it.
#![warn(missing_docs)]
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used))]

use std::mem::{MaybeUninit, size_of};
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

/// The time since the connection's last data arrived, read or unread, to some milliseconds; since
/// the connection was opened where none has. `None` where the system does not tell.
pub fn time_since_last_data(socket: &impl AsFd) -> Option<Duration> {
    let info = read(socket)?;
    Some(Duration::from_millis(info.tcpi_last_data_recv.into()))
}

#[allow(unsafe_code)]
fn read(socket: &impl AsFd) -> Option<libc::tcp_info> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = libc::socklen_t::try_from(size_of::<libc::tcp_info>()).ok()?;
    // SAFETY: the descriptor is open while it is borrowed. The system writes at most `length` bytes
    // to `info`, which are so many, and reports how many it has written.
    let result = unsafe {
        libc::getsockopt(
            socket.as_fd().as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        )
    };
    let needed = std::mem::offset_of!(libc::tcp_info, tcpi_last_data_recv) + size_of::<u32>();
    if result != 0 || (length as usize) < needed {
        return None;
    }
    // SAFETY: all fields are integers, zeroed where the system has not written them.
    Some(unsafe { info.assume_init() })
}

#[cfg(test)]
mod tests;

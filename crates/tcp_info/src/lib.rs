//! Reads the kernel's information about a TCP connection. No socket crate that the program uses
//! reads `TCP_INFO`, so this crate calls the C library in an `unsafe` block.
#![warn(missing_docs)]
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used))]

use std::mem::{MaybeUninit, size_of};
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

/// The time since the connection last received data, accurate to a few milliseconds.
///
/// Data counts whether or not it has been read. If no data has arrived, this is the time since the
/// connection was opened. Returns `None` if the kernel does not report the time.
pub fn time_since_last_data(socket: &impl AsFd) -> Option<Duration> {
    let info = read(socket)?;
    Some(Duration::from_millis(info.tcpi_last_data_recv.into()))
}

/// How many segments of the connection have been sent again. Returns `None` if the kernel does not
/// report the number.
pub fn retransmitted_segments(socket: &impl AsFd) -> Option<u32> {
    Some(read(socket)?.tcpi_total_retrans)
}

#[allow(unsafe_code)]
fn read(socket: &impl AsFd) -> Option<libc::tcp_info> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = libc::socklen_t::try_from(size_of::<libc::tcp_info>()).ok()?;
    // SAFETY: the descriptor is open while it is borrowed. The kernel writes at most `length` bytes
    // to `info`, which is the size of `info`, and stores the number of bytes written in `length`.
    let result = unsafe {
        libc::getsockopt(
            socket.as_fd().as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        )
    };
    let needed = std::mem::offset_of!(libc::tcp_info, tcpi_total_retrans) + size_of::<u32>();
    if result != 0 || (length as usize) < needed {
        return None;
    }
    // SAFETY: all fields are integers, and the bytes that the kernel has not written are zero.
    Some(unsafe { info.assume_init() })
}

#[cfg(test)]
mod tests;

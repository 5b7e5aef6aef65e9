//! Takes over a listening socket that the process inherited, identified by the number of its file
//! descriptor.
//!
//! This crate and `tcp_info` contain the only `unsafe` blocks of the program. The block in this
//! crate converts a number into an owned descriptor. The crate `listenfd` can't replace this crate,
//! because it reads systemd's environment variables and doesn't check the socket.
#![warn(missing_docs)]
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used))]

use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};

use socket2::{Socket, Type};

/// The highest of the standard descriptors (input, output, error), which are never handed over.
const LAST_STANDARD_FD: RawFd = 2;

/// Why a descriptor can't be taken over.
#[derive(Debug, thiserror::Error)]
pub enum ListenerError {
    /// The text isn't a descriptor number above 2, the only numbers that can be handed over.
    #[error("{0:?} is no number of a descriptor above 2")]
    InvalidNumber(String),
    /// This process has already taken over a descriptor.
    #[error("this process has already taken over a descriptor")]
    AlreadyTaken,
    /// The process has no such descriptor.
    #[error("descriptor {0} is not open")]
    NotOpen(RawFd),
    /// The descriptor is open, but not a socket.
    #[error("descriptor {0} is no socket")]
    NotSocket(RawFd),
    /// The descriptor is a socket, but not one that accepts connections of a stream protocol.
    #[error("descriptor {0} is no listening stream socket")]
    NotListening(RawFd),
    /// The socket's flags can't be set.
    #[error("descriptor {0}: setting the socket flags failed: {1}")]
    System(RawFd, std::io::Error),
}

/// Takes over the listening stream socket of the descriptor with the given number, and marks the
/// socket close-on-exec and non-blocking. `number` is the text of an environment variable.
///
/// Must be called before anything else opens descriptors. Otherwise, a number that was not handed
/// over may be that of a descriptor with another owner in this process.
pub fn take(number: &str) -> Result<TcpListener, ListenerError> {
    static TAKEN: AtomicBool = AtomicBool::new(false);
    let fd = parse_descriptor(number)?;
    check_is_socket(fd)?;
    if TAKEN.swap(true, Ordering::SeqCst) {
        return Err(ListenerError::AlreadyTaken);
    }
    // SAFETY: the descriptor is open, because its link in /proc exists. It has no other owner in
    // this process: its number is above the standard descriptors, the caller takes it over before
    // anything else opens descriptors, and `TAKEN` allows only one takeover.
    #[allow(unsafe_code)]
    let socket = Socket::from(unsafe { OwnedFd::from_raw_fd(fd) });
    if !is_listening(&socket) {
        return Err(ListenerError::NotListening(fd));
    }
    socket
        .set_cloexec(true)
        .and_then(|()| socket.set_nonblocking(true))
        .map_err(|source| ListenerError::System(fd, source))?;
    Ok(socket.into())
}

fn parse_descriptor(number: &str) -> Result<RawFd, ListenerError> {
    number
        .parse::<RawFd>()
        .ok()
        .filter(|fd| *fd > LAST_STANDARD_FD)
        .ok_or_else(|| ListenerError::InvalidNumber(number.to_string()))
}

fn check_is_socket(fd: RawFd) -> Result<(), ListenerError> {
    let link = std::fs::read_link(format!("/proc/self/fd/{fd}"))
        .map_err(|_| ListenerError::NotOpen(fd))?;
    if link.to_string_lossy().starts_with("socket:") {
        Ok(())
    } else {
        Err(ListenerError::NotSocket(fd))
    }
}

/// Whether the socket is a stream socket that listens on an IP address.
fn is_listening(socket: &Socket) -> bool {
    let is_stream = socket.r#type().is_ok_and(|kind| kind == Type::STREAM);
    let accepts = socket.is_listener().unwrap_or(false);
    let has_internet_address = socket
        .local_addr()
        .is_ok_and(|address| address.as_socket().is_some());
    is_stream && accepts && has_internet_address
}

//! The state of a connected socket as the system has it at this moment.
//!
//! The runtime's own view of a socket is as old as its last wait for events: a process that was stopped or kept busy may hold
//! sockets whose peers closed long ago. These functions ask the system instead, and take nothing off the socket.

use std::io::ErrorKind;
use std::mem::MaybeUninit;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;
use tokio::net::TcpStream;

/// What a read of the socket would find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketState {
    /// Nothing has come.
    Quiet,
    /// There are bytes to read.
    Readable,
    /// The peer has closed or reset the connection, and nothing is left to read.
    Closed,
}

/// What a read of the socket would find.
pub fn socket_state(stream: &TcpStream) -> SocketState {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut byte) {
        Ok(0) => SocketState::Closed,
        Ok(_) => SocketState::Readable,
        Err(e) if e.kind() == ErrorKind::WouldBlock => SocketState::Quiet,
        Err(_) => SocketState::Closed,
    }
}

/// Whether the peer has closed or reset the connection, also where unread bytes come before the close.
pub fn peer_has_closed(stream: &TcpStream) -> bool {
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    let mut watched = [PollFd::new(stream, PollFlags::RDHUP)];
    match poll(&mut watched, Some(&at_once)) {
        Ok(0) => false,
        Ok(_) => watched[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR),
        // the system can't tell: the close shows once the bytes before it have been read
        Err(_) => socket_state(stream) == SocketState::Closed,
    }
}

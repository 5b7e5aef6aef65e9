//! A look at a socket as the system has it at this moment, whatever the runtime has been told of it so far: its readiness
//! is as old as its last wait.

use std::io::ErrorKind;
use std::mem::MaybeUninit;

use socket2::SockRef;
use tokio::net::TcpStream;

/// What a look shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sight {
    /// Nothing has come.
    Quiet,
    /// Something waits to be read.
    Bytes,
    /// The other side has closed or reset it.
    Ended,
}

/// Looks, and takes nothing off the socket.
pub fn look(stream: &TcpStream) -> Sight {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut byte) {
        Ok(0) => Sight::Ended,
        Ok(_) => Sight::Bytes,
        Err(e) if e.kind() == ErrorKind::WouldBlock => Sight::Quiet,
        Err(_) => Sight::Ended,
    }
}

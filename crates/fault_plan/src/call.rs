//! The system calls that can be made to fail.

/// A system call that can be made to fail. Each variant has its own rules and its own counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Call {
    /// `accept4`.
    Accept4,
    /// `connect`.
    Connect,
    /// `socket`.
    Socket,
    /// `recv` without `MSG_PEEK`.
    Recv,
    /// `recv` with `MSG_PEEK`.
    Peek,
    /// `send`.
    Send,
    /// `read` on a socket.
    Read,
    /// `write` on a socket.
    Write,
    /// `readv` on a socket.
    Readv,
    /// `writev` on a socket.
    Writev,
    /// `poll` and `ppoll`.
    Poll,
    /// `epoll_wait`.
    EpollWait,
    /// `open` and `open64`.
    Open,
    /// `rename`.
    Rename,
    /// `read` on a regular file.
    FileRead,
    /// `write` on a regular file.
    FileWrite,
    /// `fsync` and `fdatasync`.
    Fsync,
    /// `clock_gettime` of the wall clock. No rules apply to it; a call is counted if it was shifted
    /// by the offset in the state file.
    ClockGettime,
}

impl Call {
    /// All calls, in the order of their counters.
    pub const ALL: [Call; 18] = [
        Call::Accept4,
        Call::Connect,
        Call::Socket,
        Call::Recv,
        Call::Peek,
        Call::Send,
        Call::Read,
        Call::Write,
        Call::Readv,
        Call::Writev,
        Call::Poll,
        Call::EpollWait,
        Call::Open,
        Call::Rename,
        Call::FileRead,
        Call::FileWrite,
        Call::Fsync,
        Call::ClockGettime,
    ];

    /// The call's name in rules.
    pub fn name(self) -> &'static str {
        match self {
            Call::Accept4 => "accept4",
            Call::Connect => "connect",
            Call::Socket => "socket",
            Call::Recv => "recv",
            Call::Peek => "peek",
            Call::Send => "send",
            Call::Read => "read",
            Call::Write => "write",
            Call::Readv => "readv",
            Call::Writev => "writev",
            Call::Poll => "poll",
            Call::EpollWait => "epoll_wait",
            Call::Open => "open",
            Call::Rename => "rename",
            Call::FileRead => "file_read",
            Call::FileWrite => "file_write",
            Call::Fsync => "fsync",
            Call::ClockGettime => "clock_gettime",
        }
    }

    /// The call with this name.
    pub fn by_name(name: &str) -> Option<Call> {
        Call::ALL.into_iter().find(|call| call.name() == name)
    }

    /// The call's index in [`Call::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }
}

//! What a file descriptor refers to.

use std::ffi::c_int;
use std::mem::MaybeUninit;

use libc::{sa_family_t, sockaddr, sockaddr_storage, socklen_t};

/// What a file descriptor refers to, as far as faults depend on it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum DescriptorKind {
    /// A socket, except a pair without addresses.
    Socket,
    /// A regular file.
    File,
    /// Anything else, and a socket pair without addresses.
    Other,
}

impl DescriptorKind {
    /// The kind of an open descriptor; `Other` where the system can't tell.
    pub fn of(descriptor: c_int) -> DescriptorKind {
        let mut status = MaybeUninit::<libc::stat>::uninit();
        // SAFETY: `status` may be written as a whole.
        if unsafe { libc::fstat(descriptor, status.as_mut_ptr()) } != 0 {
            return DescriptorKind::Other;
        }
        // SAFETY: the call succeeded, so it was filled in.
        match unsafe { status.assume_init() }.st_mode & libc::S_IFMT {
            libc::S_IFSOCK if is_unnamed_pair(descriptor) => DescriptorKind::Other,
            libc::S_IFSOCK => DescriptorKind::Socket,
            libc::S_IFREG => DescriptorKind::File,
            _ => DescriptorKind::Other,
        }
    }
}

/// Whether neither end of a socket has an address, as with those of `socketpair`.
fn is_unnamed_pair(socket: c_int) -> bool {
    is_unnamed(socket, libc::getsockname) && is_unnamed(socket, libc::getpeername)
}

type GetName = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t) -> c_int;

/// Whether the address is unnamed: a Unix socket's family without a path.
fn is_unnamed(socket: c_int, get_name: GetName) -> bool {
    let mut address = MaybeUninit::<sockaddr_storage>::zeroed();
    let mut length = size_of::<sockaddr_storage>() as socklen_t;
    // SAFETY: the address may be written up to this length.
    let result = unsafe { get_name(socket, address.as_mut_ptr().cast(), &raw mut length) };
    result == 0 && length as usize <= size_of::<sa_family_t>()
}

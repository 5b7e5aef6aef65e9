//! The kinds of file descriptors.

use std::ffi::c_int;
use std::mem::MaybeUninit;

/// The kind of a file descriptor, as far as faults depend on it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum DescriptorKind {
    /// A socket.
    Socket,
    /// A regular file.
    File,
    /// Any other kind.
    Other,
}

impl DescriptorKind {
    /// The kind of an open descriptor; `Other` if `fstat` fails.
    pub fn of(descriptor: c_int) -> DescriptorKind {
        let mut status = MaybeUninit::<libc::stat>::uninit();
        // SAFETY: `status` is valid for a write of a whole `stat`.
        if unsafe { libc::fstat(descriptor, status.as_mut_ptr()) } != 0 {
            return DescriptorKind::Other;
        }
        // SAFETY: the call succeeded, so it has initialised `status`.
        match unsafe { status.assume_init() }.st_mode & libc::S_IFMT {
            libc::S_IFSOCK => DescriptorKind::Socket,
            libc::S_IFREG => DescriptorKind::File,
            _ => DescriptorKind::Other,
        }
    }
}

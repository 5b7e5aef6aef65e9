//! What a file descriptor refers to.

use std::ffi::c_int;
use std::mem::MaybeUninit;

/// What a file descriptor refers to, as far as faults depend on it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum DescriptorKind {
    /// A socket.
    Socket,
    /// A regular file.
    File,
    /// Anything else.
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
            libc::S_IFSOCK => DescriptorKind::Socket,
            libc::S_IFREG => DescriptorKind::File,
            _ => DescriptorKind::Other,
        }
    }
}

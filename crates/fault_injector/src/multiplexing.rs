//! Calls that wait for events on file descriptors.

use std::ffi::c_int;

use fault_plan::Call;
use libc::{epoll_event, nfds_t, pollfd, sigset_t, timespec};

use crate::injector::{fail, failure};
use crate::next::NextFunction;

type Poll = unsafe extern "C" fn(*mut pollfd, nfds_t, c_int) -> c_int;
type Ppoll = unsafe extern "C" fn(*mut pollfd, nfds_t, *const timespec, *const sigset_t) -> c_int;
type EpollWait = unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;

// SAFETY: the C library's function has this type.
static POLL: NextFunction<Poll> = unsafe { NextFunction::new(c"poll") };
// SAFETY: the C library's function has this type.
static PPOLL: NextFunction<Ppoll> = unsafe { NextFunction::new(c"ppoll") };
// SAFETY: the C library's function has this type.
static EPOLL_WAIT: NextFunction<EpollWait> = unsafe { NextFunction::new(c"epoll_wait") };

/// # Safety
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn poll(descriptors: *mut pollfd, count: nfds_t, timeout: c_int) -> c_int {
    match failure(Call::Poll) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's arguments are passed on unchanged.
        None => unsafe { POLL.get()(descriptors, count, timeout) },
    }
}

/// # Safety
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn ppoll(
    descriptors: *mut pollfd,
    count: nfds_t,
    timeout: *const timespec,
    signals: *const sigset_t,
) -> c_int {
    match failure(Call::Poll) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's arguments are passed on unchanged.
        None => unsafe { PPOLL.get()(descriptors, count, timeout, signals) },
    }
}

/// # Safety
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    match failure(Call::EpollWait) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's arguments are passed on unchanged.
        None => unsafe { EPOLL_WAIT.get()(epoll, events, max_events, timeout) },
    }
}

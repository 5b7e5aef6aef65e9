//! Calls that create and connect sockets.

use std::ffi::c_int;

use fault_plan::Call;
use libc::{sockaddr, socklen_t};

use crate::injector::{fail, failure};
use crate::next::NextFunction;

type Accept4 = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;

// SAFETY: the C library's function has this type.
static ACCEPT4: NextFunction<Accept4> = unsafe { NextFunction::new(c"accept4") };
// SAFETY: the C library's function has this type.
static CONNECT: NextFunction<Connect> = unsafe { NextFunction::new(c"connect") };
// SAFETY: the C library's function has this type.
static SOCKET: NextFunction<Socket> = unsafe { NextFunction::new(c"socket") };

/// # Safety
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    listener: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    match failure(Call::Accept4) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's arguments are passed on unchanged.
        None => unsafe { ACCEPT4.get()(listener, address, length, flags) },
    }
}

/// # Safety
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(
    socket: c_int,
    address: *const sockaddr,
    length: socklen_t,
) -> c_int {
    match failure(Call::Connect) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's arguments are passed on unchanged.
        None => unsafe { CONNECT.get()(socket, address, length) },
    }
}

/// # Safety
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    match failure(Call::Socket) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's arguments are passed on unchanged.
        None => unsafe { SOCKET.get()(domain, kind, protocol) },
    }
}

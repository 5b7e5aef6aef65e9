//! Reads and writes. Only calls on sockets and regular files fail, because the runtime uses reads
//! and writes on an `eventfd` to wake its threads.

use std::ffi::{c_int, c_void};

use fault_plan::{Call, Fault};
use libc::{iovec, off64_t, size_t, ssize_t};

use crate::descriptor::DescriptorKind;
use crate::injector::{count, draw, fail};
use crate::next::NextFunction;

type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
type Read = unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t;
type Write = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
type WriteAt = unsafe extern "C" fn(c_int, *const c_void, size_t, off64_t) -> ssize_t;
type Vectored = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;

// SAFETY: the C library's function has this type.
static RECV: NextFunction<Recv> = unsafe { NextFunction::new(c"recv") };
// SAFETY: the C library's function has this type.
static SEND: NextFunction<Send> = unsafe { NextFunction::new(c"send") };
// SAFETY: the C library's function has this type.
static READ: NextFunction<Read> = unsafe { NextFunction::new(c"read") };
// SAFETY: the C library's function has this type.
static WRITE: NextFunction<Write> = unsafe { NextFunction::new(c"write") };
// SAFETY: the C library's function has this type.
static PWRITE64: NextFunction<WriteAt> = unsafe { NextFunction::new(c"pwrite64") };
// SAFETY: the C library's function has this type.
static READV: NextFunction<Vectored> = unsafe { NextFunction::new(c"readv") };
// SAFETY: the C library's function has this type.
static WRITEV: NextFunction<Vectored> = unsafe { NextFunction::new(c"writev") };

/// Number of bytes in a short transfer on a socket.
const SHORT_TRANSFER_BYTES: size_t = 1;

/// The number of requested bytes that a call transfers, or the `errno` that it fails with.
fn transfer_length(
    call: Call,
    kind: DescriptorKind,
    descriptor: c_int,
    requested: size_t,
) -> Result<size_t, c_int> {
    let Some(fault) = draw(call) else {
        return Ok(requested);
    };
    if DescriptorKind::of(descriptor) != kind {
        return Ok(requested);
    }
    let short = if kind == DescriptorKind::File {
        requested / 2
    } else {
        SHORT_TRANSFER_BYTES
    };
    match fault {
        Fault::Short if short == 0 || short >= requested => Ok(requested),
        Fault::Short => {
            count(call);
            Ok(short)
        }
        Fault::Errno(errno) => {
            count(call);
            Err(errno)
        }
    }
}

/// Like [`transfer_length`], for calls that have separate rules for sockets and for files.
fn transfer_length_by_kind(
    socket: Call,
    file: Call,
    descriptor: c_int,
    requested: size_t,
) -> Result<size_t, c_int> {
    match transfer_length(socket, DescriptorKind::Socket, descriptor, requested)? {
        length if length == requested => {
            transfer_length(file, DescriptorKind::File, descriptor, requested)
        }
        length => Ok(length),
    }
}

fn fail_transfer(errno: c_int) -> ssize_t {
    fail(errno) as ssize_t
}

/// # Safety
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(
    socket: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let call = if flags & libc::MSG_PEEK == 0 {
        Call::Recv
    } else {
        Call::Peek
    };
    match transfer_length(call, DescriptorKind::Socket, socket, length) {
        Err(errno) => fail_transfer(errno),
        // SAFETY: the caller's arguments are passed on, with a length that is not increased.
        Ok(length) => unsafe { RECV.get()(socket, buffer, length, flags) },
    }
}

/// # Safety
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    socket: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    match transfer_length(Call::Send, DescriptorKind::Socket, socket, length) {
        Err(errno) => fail_transfer(errno),
        // SAFETY: the caller's arguments are passed on, with a length that is not increased.
        Ok(length) => unsafe { SEND.get()(socket, buffer, length, flags) },
    }
}

/// # Safety
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(descriptor: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    match transfer_length_by_kind(Call::Read, Call::FileRead, descriptor, length) {
        Err(errno) => fail_transfer(errno),
        // SAFETY: the caller's arguments are passed on, with a length that is not increased.
        Ok(length) => unsafe { READ.get()(descriptor, buffer, length) },
    }
}

/// # Safety
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
) -> ssize_t {
    match transfer_length_by_kind(Call::Write, Call::FileWrite, descriptor, length) {
        Err(errno) => fail_transfer(errno),
        // SAFETY: the caller's arguments are passed on, with a length that is not increased.
        Ok(length) => unsafe { WRITE.get()(descriptor, buffer, length) },
    }
}

/// # Safety
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn pwrite64(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
    offset: off64_t,
) -> ssize_t {
    match transfer_length(Call::FileWrite, DescriptorKind::File, descriptor, length) {
        Err(errno) => fail_transfer(errno),
        // SAFETY: the caller's arguments are passed on, with a length that is not increased.
        Ok(length) => unsafe { PWRITE64.get()(descriptor, buffer, length, offset) },
    }
}

/// # Safety
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn readv(socket: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { vectored(Call::Readv, &READV, socket, parts, count) }
}

/// # Safety
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(socket: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { vectored(Call::Writev, &WRITEV, socket, parts, count) }
}

/// # Safety
/// `parts` must point to `count` parts, as for `readv` and `writev`.
unsafe fn vectored(
    call: Call,
    next: &NextFunction<Vectored>,
    socket: c_int,
    parts: *const iovec,
    count: c_int,
) -> ssize_t {
    let all_parts = match usize::try_from(count) {
        Ok(count) if count > 0 => {
            // SAFETY: the caller guarantees that `parts` points to `count` parts.
            unsafe { std::slice::from_raw_parts(parts, count) }
        }
        _ => &[],
    };
    let requested = all_parts.iter().map(|part| part.iov_len).sum();
    let first = all_parts.iter().find(|part| part.iov_len > 0);
    match (
        transfer_length(call, DescriptorKind::Socket, socket, requested),
        first,
    ) {
        (Err(errno), _) => fail_transfer(errno),
        (Ok(length), Some(first)) if length < requested => {
            let short = iovec {
                iov_base: first.iov_base,
                iov_len: length.min(first.iov_len),
            };
            // SAFETY: the only part is the beginning of one of the caller's parts.
            unsafe { next.get()(socket, &raw const short, 1) }
        }
        // SAFETY: the caller's arguments are passed on unchanged.
        _ => unsafe { next.get()(socket, parts, count) },
    }
}

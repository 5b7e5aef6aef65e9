//! Calls on files and directories.

use std::ffi::{c_char, c_int};

use fault_plan::Call;
use libc::mode_t;

use crate::injector::{fail, failure};
use crate::next::NextFunction;

/// The type of `open` and `open64`. The C library takes `mode` as a variadic argument. On the
/// platforms that run the tests (Linux on x86-64 and AArch64) it is passed like a fixed argument.
type Open = unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int;
type Rename = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;
type Sync = unsafe extern "C" fn(c_int) -> c_int;

// SAFETY: the C library's function can be called with this type, as explained at `Open`.
static OPEN: NextFunction<Open> = unsafe { NextFunction::new(c"open") };
// SAFETY: the C library's function can be called with this type, as explained at `Open`.
static OPEN64: NextFunction<Open> = unsafe { NextFunction::new(c"open64") };
// SAFETY: the C library's function has this type.
static RENAME: NextFunction<Rename> = unsafe { NextFunction::new(c"rename") };
// SAFETY: the C library's function has this type.
static FSYNC: NextFunction<Sync> = unsafe { NextFunction::new(c"fsync") };
// SAFETY: the C library's function has this type.
static FDATASYNC: NextFunction<Sync> = unsafe { NextFunction::new(c"fdatasync") };

/// # Safety
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    match failure(Call::Open) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's arguments are passed on unchanged.
        None => unsafe { OPEN.get()(path, flags, mode) },
    }
}

/// # Safety
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    match failure(Call::Open) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's arguments are passed on unchanged.
        None => unsafe { OPEN64.get()(path, flags, mode) },
    }
}

/// # Safety
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    match failure(Call::Rename) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's arguments are passed on unchanged.
        None => unsafe { RENAME.get()(from, to) },
    }
}

/// # Safety
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    match failure(Call::Fsync) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's arguments are passed on unchanged.
        None => unsafe { FSYNC.get()(file) },
    }
}

/// # Safety
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    match failure(Call::Fsync) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's arguments are passed on unchanged.
        None => unsafe { FDATASYNC.get()(file) },
    }
}

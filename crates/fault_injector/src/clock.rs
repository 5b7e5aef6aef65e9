//! The wall clock, shifted by the offset in the state file. The monotonic clock is not shifted.

use std::ffi::c_int;

use fault_plan::Call;
use libc::{clockid_t, timespec};

use crate::injector::{clock_offset, count};
use crate::next::NextFunction;

type ClockGettime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;

const MS_PER_SECOND: i64 = 1_000;
const NS_PER_MS: i64 = 1_000_000;
const NS_PER_SECOND: i64 = 1_000_000_000;

// SAFETY: the C library's function has this type.
static CLOCK_GETTIME: NextFunction<ClockGettime> = unsafe { NextFunction::new(c"clock_gettime") };

/// # Safety
/// The caller must meet the requirements of the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller's arguments are passed on unchanged.
    let result = unsafe { CLOCK_GETTIME.get()(clock, time) };
    let offset = clock_offset();
    let is_wall_clock = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE);
    if result == 0 && is_wall_clock && offset != 0 {
        // SAFETY: the call succeeded, so `time` points to a valid value that it has written.
        shift(unsafe { &mut *time }, offset);
        count(Call::ClockGettime);
    }
    result
}

fn shift(time: &mut timespec, offset_ms: i64) {
    let nanoseconds = time.tv_nsec + offset_ms % MS_PER_SECOND * NS_PER_MS;
    time.tv_sec += offset_ms / MS_PER_SECOND + nanoseconds.div_euclid(NS_PER_SECOND);
    time.tv_nsec = nanoseconds.rem_euclid(NS_PER_SECOND);
}

//! The wall clock, shifted by the state file's offset. The monotonic clock is unaffected.

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
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller's arguments, forwarded.
    let result = unsafe { CLOCK_GETTIME.get()(clock, time) };
    let offset = clock_offset();
    let is_wall_clock = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE);
    if result == 0 && is_wall_clock && offset != 0 {
        // SAFETY: the call has just filled it in, so it is valid.
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

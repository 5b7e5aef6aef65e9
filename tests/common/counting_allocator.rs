//! An allocator that counts what the calling thread allocates: the counts are the same on every
//! run, however busy the machine. A test file makes it the global one.
#![allow(dead_code)]

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    static LIVE: Cell<isize> = const { Cell::new(0) };
    static BYTES: Cell<usize> = const { Cell::new(0) };
}

/// The system's allocator, counted.
pub struct CountingAllocator;

// SAFETY: every call goes on to the system's allocator unchanged; the counters neither allocate nor
// have a destructor.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE.set(LIVE.get() + layout.size() as isize);
        BYTES.set(BYTES.get() + layout.size());
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, memory: *mut u8, layout: Layout) {
        LIVE.set(LIVE.get() - layout.size() as isize);
        unsafe { System.dealloc(memory, layout) }
    }
}

/// Bytes that this thread has allocated and not freed.
pub fn live_bytes() -> isize {
    LIVE.get()
}

/// Bytes that this thread has ever allocated.
pub fn allocated_bytes() -> usize {
    BYTES.get()
}

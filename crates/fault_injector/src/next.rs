//! Access to the C library's functions that this library replaces.

use std::ffi::{CStr, c_void};
use std::marker::PhantomData;
use std::ptr;
use std::sync::atomic::{AtomicPtr, Ordering};

/// The next definition of a function after this library's own in the symbol search order, usually
/// that of the C library. `F` is its type, a function pointer.
pub struct NextFunction<F> {
    name: &'static CStr,
    address: AtomicPtr<c_void>,
    function: PhantomData<F>,
}

impl<F: Copy> NextFunction<F> {
    /// Creates a reference to the function of this name, which is not looked up yet.
    ///
    /// # Safety
    /// `F` must be the type of the C library's function of this name.
    pub const unsafe fn new(name: &'static CStr) -> NextFunction<F> {
        assert!(size_of::<F>() == size_of::<*mut c_void>());
        NextFunction {
            name,
            address: AtomicPtr::new(ptr::null_mut()),
            function: PhantomData,
        }
    }

    /// Returns the function, which is looked up on first use. Concurrent lookups in several threads
    /// give the same result.
    pub fn get(&self) -> F {
        let mut address = self.address.load(Ordering::Relaxed);
        if address.is_null() {
            // SAFETY: the name is a C string.
            address = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
            if address.is_null() {
                std::process::abort();
            }
            self.address.store(address, Ordering::Relaxed);
        }
        // SAFETY: `F` is a function pointer of the symbol's type, as `new` requires, and the symbol
        // was found.
        unsafe { std::mem::transmute_copy(&address) }
    }
}

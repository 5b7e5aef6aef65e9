//! Makes system calls of the program under test fail. The library is loaded with `LD_PRELOAD`, so
//! that its functions take precedence over those of the C library. Which calls fail, how and how
//! often is read from the environment when the process starts (see `fault_plan`); without a plan
//! every call is forwarded to the C library.
//!
//! All `unsafe` code of the tests is in this crate, which is no part of the program.
#![warn(missing_docs)]

mod clock;
mod descriptor;
mod files;
mod injector;
mod multiplexing;
mod next;
mod sockets;
mod transfers;

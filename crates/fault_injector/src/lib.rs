//! Makes system calls of the program under test fail. The library is loaded with `LD_PRELOAD`, so
//! that its functions take precedence over those of the C library. When the process starts, the
//! library reads from the environment which calls fail, how and how often (see `fault_plan`).
//! Without a plan, every call is forwarded to the C library.
//!
//! All `unsafe` code of the tests is in this crate, which is not part of the program.
#![warn(missing_docs)]

mod clock;
mod descriptor;
mod files;
mod injector;
mod multiplexing;
mod next;
mod sockets;
mod transfers;

//! The plan of the fault injector: rules in an environment variable, and a state file. The crate is
//! used by the injector, which runs inside the program under test, and by the tests that start that
//! program.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod call;
mod rule;
pub mod state;

pub use call::Call;
pub use rule::{Fault, PlanError, Rule, parse_plan, write_plan};

/// The environment variable that contains the rules.
pub const PLAN_VARIABLE: &str = "FAULT_INJECTOR_PLAN";
/// The environment variable that contains the seed, a decimal number.
pub const SEED_VARIABLE: &str = "FAULT_INJECTOR_SEED";
/// The environment variable that contains the path of the state file.
pub const STATE_VARIABLE: &str = "FAULT_INJECTOR_STATE";

/// Error numbers for [`Fault::Errno`].
pub mod errno {
    pub use libc::{
        EADDRNOTAVAIL, ECONNABORTED, EINTR, EIO, EMFILE, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM,
        ENOSPC, ETIMEDOUT,
    };
}

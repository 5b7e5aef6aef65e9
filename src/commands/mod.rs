//! The commands of the program other than `serve` and `version`, and the loading of their
//! configuration files. `main.rs` parses the command line and runs the commands.

mod budgets;
mod check;
mod error;
mod files;
mod keys;

pub use budgets::budgets;
pub use check::check;
pub use error::{BudgetsError, CommandError};
pub use files::ConfigFiles;
pub use keys::{hash_key, new_key};

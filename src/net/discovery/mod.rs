//! The platform's discovery: its list of model servers, called for and watched.

mod catalog;
pub mod list;
pub mod resolver;

//! Routing: validation of catalogs, routes along fallback chains, and random routes beside what
//! must always hold.

mod catalogs;
mod fallbacks;
mod fixtures;
mod random_routes;

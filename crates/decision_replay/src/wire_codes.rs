//! The protocol's codes for the outcome of an attempt or a health check (field `result`).

/// The answer is complete.
pub const COMPLETED: u32 = 0;
/// The router cancelled the attempt.
pub const CANCELLED: u32 = 1;
/// The attempt exceeded its timeout or the request's deadline.
pub const TIMEOUT: u32 = 4;
/// The replica rejected the request before it ran.
pub const REJECTED: u32 = 8;
/// The connection was reset.
pub const CONNECTION_RESET: u32 = 10;
/// The replica answered with an error.
pub const ERROR: u32 = 13;
/// No connection could be established.
pub const CONNECT_FAILED: u32 = 14;

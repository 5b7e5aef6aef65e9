//! Two events of an attempt in either order, at the core: a scripted connector holds attempts
//! before their first byte, and the test decides what comes first. Each row of
//! `docs/design/crossings.md` that needs no socket has its test here.

#[path = "../common/mod.rs"]
mod common;

mod endpoints;
mod harness;
mod outcomes;

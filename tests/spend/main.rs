//! The ledger: beside a slow and obvious reference, and the guarantees of reservations, reloads and
//! snapshots one by one.

mod against_reference;
mod fixtures;
mod reference_ledger;
mod reloads;
mod reservations;
mod snapshots;

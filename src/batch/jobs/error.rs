//! Errors when a batch is created, looked up or cancelled.

use thiserror::Error;

use crate::batch::store::StoreError;

/// Why a batch can't be created, found or cancelled.
#[derive(Debug, Error)]
pub enum JobError {
    /// No batch has this id.
    #[error("no such batch")]
    Unknown,
    /// The batch has already ended.
    #[error("the batch has ended")]
    Ended,
    /// Too many batches are in progress.
    #[error("too many batches are under way")]
    Full,
    /// The batch's input file can't be read.
    #[error("the input file: {0}")]
    File(#[source] StoreError),
    /// The batch's result file has no place in the store.
    #[error("the result file: {0}")]
    Result(#[source] StoreError),
}

//! Why a batch can't be created, found or cancelled.

use thiserror::Error;

use crate::batch::store::StoreError;

/// Why a batch can't be created, found or cancelled.
#[derive(Debug, Error)]
pub enum JobError {
    /// No batch has this id.
    #[error("no such batch")]
    Unknown,
    /// It has ended already.
    #[error("the batch has ended")]
    Ended,
    /// Too many batches are in progress.
    #[error("too many batches are under way")]
    Full,
    /// Its input file can't be read.
    #[error("the input file: {0}")]
    File(#[source] StoreError),
}

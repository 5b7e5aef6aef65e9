//! Types for creating, describing and reading stored files.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::fs::File;

use crate::edge::Caller;

/// How large a file may become.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileSize {
    /// Exactly this number of bytes, which the upload announced.
    Announced(u64),
    /// Up to the limit for the size of one file.
    Limited,
    /// Up to the space of the store. The size of a result depends on the answers, which the client
    /// of the batch does not control.
    Unlimited,
}

impl FileSize {
    /// The announced number of bytes.
    pub fn announced(self) -> Option<u64> {
        match self {
            FileSize::Announced(bytes) => Some(bytes),
            FileSize::Limited | FileSize::Unlimited => None,
        }
    }
}

/// A file to be created.
#[derive(Clone, Copy, Debug)]
pub struct NewFile<'a> {
    /// The client's name for the file.
    pub name: &'a str,
    /// The purpose in the API's file object.
    pub purpose: &'a str,
    /// How large the file may become.
    pub size: FileSize,
    /// The caller that creates the file.
    pub owner: &'a Caller,
}

/// A file that is open for reading.
#[derive(Debug)]
pub struct StoredFile {
    /// The file in the spool. Bytes that a failed write left may follow the content.
    pub file: File,
    /// The file's description. Its size is the length of the content.
    pub info: FileInfo,
}

/// The description of a stored file.
#[derive(Clone, Debug)]
pub struct FileInfo {
    /// The file's id.
    pub id: String,
    /// The file's position in the order of creation.
    pub number: u64,
    /// The client's name for the file.
    pub name: String,
    /// The purpose in the API's file object.
    pub purpose: String,
    /// The file's size in bytes.
    pub bytes: u64,
    /// The total length in bytes, if the upload announced it.
    pub total_bytes: Option<u64>,
    /// The maximum size in bytes.
    pub(super) max_bytes: u64,
    /// Whether the file has been written completely.
    pub is_complete: bool,
    /// The time of creation: Unix time in seconds.
    pub created_at: u64,
    /// The caller that created the file.
    pub owner: Caller,
    /// Whether the file has a writer.
    pub(super) is_leased: bool,
    /// When the file was created or last had a writer.
    pub(super) last_active: Instant,
}

/// An incomplete file may be deleted after this time without a writer.
const ABANDONED_AFTER: Duration = Duration::from_secs(3600);

impl FileInfo {
    /// Whether the file is incomplete, and its upload has probably been given up.
    pub(super) fn is_abandoned(&self, now: Instant) -> bool {
        !self.is_complete && !self.is_leased && now >= self.last_active + ABANDONED_AFTER
    }

    /// The API's file object.
    pub fn object(&self) -> Value {
        let status = if self.is_complete {
            "processed"
        } else {
            "uploaded"
        };
        json!({
            "id": self.id,
            "object": "file",
            "bytes": self.bytes,
            "created_at": self.created_at,
            "filename": self.name,
            "purpose": self.purpose,
            "status": status,
        })
    }
}

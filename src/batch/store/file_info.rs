//! Files as they are created, described and read.

use serde_json::{Value, json};
use tokio::fs::File;

use crate::edge::Caller;

/// A file to be created.
#[derive(Clone, Copy, Debug)]
pub struct NewFile<'a> {
    /// The client's name for it.
    pub name: &'a str,
    /// Its purpose in the API's object.
    pub purpose: &'a str,
    /// The length of an upload that announced it.
    pub total_bytes: Option<u64>,
    /// Who creates it.
    pub owner: &'a Caller,
}

/// A file that is open for reading.
#[derive(Debug)]
pub struct StoredFile {
    /// The file in the spool. What a failed write left may lie behind its content.
    pub file: File,
    /// Its description; its size is the length of the content.
    pub info: FileInfo,
}

/// The description of a stored file.
#[derive(Clone, Debug)]
pub struct FileInfo {
    /// Its id.
    pub id: String,
    /// Its position in the order of creation.
    pub number: u64,
    /// The client's name for it.
    pub name: String,
    /// Its purpose in the API's object.
    pub purpose: String,
    /// Its size.
    pub bytes: u64,
    /// The length of an upload that announced it.
    pub total_bytes: Option<u64>,
    /// Whether it has been written completely.
    pub is_complete: bool,
    /// When it was created, in seconds of Unix time.
    pub created_at: u64,
    /// Who created it.
    pub owner: Caller,
    /// Whether it has a writer.
    pub(super) is_leased: bool,
}

impl FileInfo {
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

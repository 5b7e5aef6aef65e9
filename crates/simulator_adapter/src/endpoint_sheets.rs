//! Stores the endpoint lists of the protocol on numbered sheets. Endpoint updates refer to a list
//! by its sheet number.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use stilespan::config::quote;
use stilespan::interface::{EndpointState, ReplicaEntry, ReplicaId, Timestamp};

use crate::error::MessageError;
use crate::field::Fields;

/// Number of sheets. Sheet numbers are below this.
const SHEET_COUNT: usize = 16;
/// Maximum number of entries for which memory is reserved before they are read.
const MAX_RESERVED_ENTRIES: usize = 1 << 16;
/// Weight of a replica whose entry has no `rating` field.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The sheets, and the names of all replicas listed on any sheet so far.
#[derive(Debug, Default)]
pub(crate) struct EndpointSheets {
    sheets: [Option<Arc<[ReplicaEntry]>>; SHEET_COUNT],
    incomplete: Option<IncompleteSheet>,
    names: ReplicaNames,
}

/// A sheet whose entries are still being read.
#[derive(Debug)]
struct IncompleteSheet {
    sheet: usize,
    missing_entries: usize,
    entries: Vec<ReplicaEntry>,
}

/// The names of replicas by their ids.
#[derive(Debug, Default)]
pub(crate) struct ReplicaNames(FxHashMap<ReplicaId, String>);

impl ReplicaNames {
    /// The name of a replica, or `?` if the replica was never listed.
    pub(crate) fn name(&self, replica: ReplicaId) -> &str {
        self.0.get(&replica).map_or("?", String::as_str)
    }

    fn insert(&mut self, replica: ReplicaId, name: &str) -> Result<(), MessageError> {
        let known = self.0.entry(replica).or_insert_with(|| name.to_string());
        if known == name {
            return Ok(());
        }
        Err(MessageError::IdCollision(quote(name), quote(known)))
    }
}

impl EndpointSheets {
    /// The names of all replicas listed so far.
    pub(crate) fn names(&self) -> &ReplicaNames {
        &self.names
    }

    /// How many entries the sheet that is being read still lacks. `None` if no sheet is being read.
    pub(crate) fn missing_entries(&self) -> Option<usize> {
        let incomplete = self.incomplete.as_ref()?;
        Some(incomplete.missing_entries)
    }

    /// The entries of a sheet.
    pub(crate) fn entries(&self, sheet: usize) -> Result<Arc<[ReplicaEntry]>, MessageError> {
        let entries = self.sheets.get(sheet).cloned().flatten();
        entries.ok_or(MessageError::UnknownSheet(sheet))
    }

    /// Starts a new sheet (message `DIRECTORY`).
    pub(crate) fn begin(&mut self, fields: &Fields<'_>) -> Result<(), MessageError> {
        let sheet: usize = fields.integer("sheet")?;
        let entry_count: usize = fields.integer("members-list")?;
        if sheet >= SHEET_COUNT {
            return Err(MessageError::OutOfRange {
                field: "sheet",
                value: sheet,
                limit: SHEET_COUNT,
            });
        }
        if entry_count == 0 {
            self.sheets[sheet] = Some(Arc::from([]));
            return Ok(());
        }
        self.incomplete = Some(IncompleteSheet {
            sheet,
            missing_entries: entry_count,
            entries: Vec::with_capacity(entry_count.min(MAX_RESERVED_ENTRIES)),
        });
        Ok(())
    }

    /// Adds an entry to the sheet that is being read (message `REPLICA`).
    pub(crate) fn add(&mut self, fields: &Fields<'_>) -> Result<(), MessageError> {
        let name = fields.require("replica")?;
        let entry = parse_entry(name, fields)?;
        let Some(mut incomplete) = self.incomplete.take() else {
            return Err(MessageError::NoDirectory);
        };
        self.names.insert(entry.replica, name)?;
        incomplete.entries.push(entry);
        incomplete.missing_entries -= 1;
        if incomplete.missing_entries == 0 {
            self.sheets[incomplete.sheet] = Some(incomplete.entries.into());
        } else {
            self.incomplete = Some(incomplete);
        }
        Ok(())
    }
}

fn parse_entry(name: &str, fields: &Fields<'_>) -> Result<ReplicaEntry, MessageError> {
    Ok(ReplicaEntry {
        replica: ReplicaId::from_name(name),
        zone: fields.optional_integer("az")?.unwrap_or(0),
        cell: fields.optional_integer("pod")?.unwrap_or(0),
        state: parse_state(fields.require("lifecycle")?)?,
        started_at: fields
            .optional_micros("launched")?
            .map_or(Timestamp::ZERO, Timestamp::from_micros),
        weight: fields.optional_number("rating")?.unwrap_or(DEFAULT_WEIGHT),
        machine_kind: fields.optional_integer("model")?.unwrap_or(0),
        ..ReplicaEntry::default()
    })
}

fn parse_state(text: &str) -> Result<EndpointState, MessageError> {
    match text {
        "in_service" => Ok(EndpointState::InService),
        "terminating" => Ok(EndpointState::Draining),
        "terminated" => Ok(EndpointState::Removed),
        other => Err(MessageError::UnknownValue {
            field: "lifecycle",
            value: quote(other),
        }),
    }
}

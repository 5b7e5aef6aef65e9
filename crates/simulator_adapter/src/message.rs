//! Parses the messages of the protocol, one per input line.

use rustc_hash::FxHashMap;
use stilespan::config::{parse_settings, quote};
use stilespan::interface::{Event, LoadReportField, Settings, Timestamp};

use crate::endpoint_sheets::{EndpointSheets, ReplicaNames};
use crate::error::{LineError, MessageError};
use crate::event::parse_event;
use crate::field::Fields;

/// Instance numbers are below this limit. More instances in one process are an error in the input.
const INSTANCE_LIMIT: usize = 1 << 20;

/// A message of the protocol.
#[derive(Debug)]
pub enum Message {
    /// A batch begins.
    BatchStarted {
        /// The current time, which is the same for the whole batch.
        now: Timestamp,
        /// The batch's number, which its reply repeats.
        sequence: u64,
    },
    /// The batch is complete.
    BatchCompleted,
    /// An instance starts.
    InstanceStarted {
        /// The instance's number.
        instance: usize,
        /// The seed of its random numbers.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance is killed.
    InstanceKilled {
        /// The instance's number.
        instance: usize,
    },
    /// An instance gets an event.
    Event {
        /// The instance's number.
        instance: usize,
        /// The event.
        event: Event,
    },
    /// A line of an endpoint list. The reader stores the list, and later updates refer to it.
    EndpointList,
}

/// Parses messages line by line.
///
/// Stores the data that later lines refer to: endpoint lists, replica names, and the load report
/// fields of each instance.
#[derive(Debug, Default)]
pub struct MessageReader {
    sheets: EndpointSheets,
    load_report_fields: FxHashMap<usize, Vec<LoadReportField>>,
    in_batch: bool,
}

impl MessageReader {
    /// Parses one line, which is given without its line terminator.
    pub fn parse(&mut self, line: &str) -> Result<Message, LineError> {
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        if let Some(missing) = self.sheets.missing_entries()
            && name != "REPLICA"
        {
            return Err(LineError::ReplicaExpected {
                message: quote(name),
                missing,
            });
        }
        if (name == "CLOCK") == self.in_batch {
            return Err(LineError::UnexpectedMessage(quote(name)));
        }
        self.parse_message(name, rest)
            .map_err(|source| LineError::Malformed {
                message: quote(name),
                source,
            })
    }

    /// Whether a batch has begun and is not complete. The input must not end in this state.
    pub fn is_in_batch(&self) -> bool {
        self.in_batch
    }

    /// The names of all replicas listed so far.
    pub(crate) fn replica_names(&self) -> &ReplicaNames {
        self.sheets.names()
    }

    fn parse_message(&mut self, name: &str, rest: &str) -> Result<Message, MessageError> {
        let fields = Fields::parse(rest)?;
        match name {
            "CLOCK" => self.start_batch(&fields),
            "EOF_BATCH" => {
                self.in_batch = false;
                Ok(Message::BatchCompleted)
            }
            "DIRECTORY" => self.sheets.begin(&fields).map(|()| Message::EndpointList),
            "REPLICA" => self.sheets.add(&fields).map(|()| Message::EndpointList),
            "INIT" => self.start_instance(&fields),
            "HALT" => Ok(Message::InstanceKilled {
                instance: parse_instance(&fields)?,
            }),
            _ => self.parse_event(name, &fields),
        }
    }

    fn start_batch(&mut self, fields: &Fields<'_>) -> Result<Message, MessageError> {
        self.in_batch = true;
        Ok(Message::BatchStarted {
            now: Timestamp::from_micros(fields.micros("now")?),
            sequence: fields.integer("seq")?,
        })
    }

    fn start_instance(&mut self, fields: &Fields<'_>) -> Result<Message, MessageError> {
        let settings = Box::new(parse_settings(fields.require("config")?)?);
        let instance = parse_instance(fields)?;
        let seed = fields.integer("init-seed")?;
        self.load_report_fields
            .insert(instance, settings.load_report_fields.clone());
        Ok(Message::InstanceStarted {
            instance,
            seed,
            settings,
        })
    }

    fn parse_event(&self, name: &str, fields: &Fields<'_>) -> Result<Message, MessageError> {
        // if both the event and the instance number are invalid, the event's error is reported
        let instance = parse_instance(fields);
        let load_report_fields = instance
            .as_ref()
            .ok()
            .and_then(|instance| self.load_report_fields.get(instance));
        let load_report_fields = load_report_fields.map_or(&[][..], Vec::as_slice);
        let event = parse_event(name, fields, &self.sheets, load_report_fields)?;
        Ok(Message::Event {
            instance: instance?,
            event,
        })
    }
}

fn parse_instance(fields: &Fields<'_>) -> Result<usize, MessageError> {
    let instance: usize = fields.integer("i")?;
    if instance < INSTANCE_LIMIT {
        return Ok(instance);
    }
    Err(MessageError::OutOfRange {
        field: "i",
        value: instance,
        limit: INSTANCE_LIMIT,
    })
}

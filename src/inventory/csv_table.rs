//! Reads an inventory in CSV with a header. Each record is a host, and each column is a variable.
//!
//! The columns `name` and `address` are required. The port is part of the address, or comes from
//! the column `port`, or is the default port. The columns `zone`, `cell`, `state`, `size`,
//! `up_since_ms` and `models` are optional. Other columns and lines that begin with `#` are
//! ignored.

use csv::{ReaderBuilder, StringRecord, Trim};

use super::InventoryError;
use super::error::LineError;
use super::host::Host;
use super::host_list::HostList;
use super::variables::{Variable, Variables};
use crate::core::Endpoint;

const NAME_COLUMNS: [&str; 4] = ["name", "host", "hostname", "id"];
const ADDRESS_COLUMNS: [&str; 2] = ["address", "ansible_host"];
const BYTE_ORDER_MARK: char = '\u{feff}';
/// The line that is reported for an error if the CSV reader gives no position.
const FIRST_LINE: usize = 1;

/// The column names in lower case, and the index of the column with the host name.
struct Header {
    columns: Vec<String>,
    name_index: usize,
}

/// Reads an inventory in CSV. `localities` are the configured zone names, in the order of their
/// numbers.
pub fn parse(text: &str, localities: &[String]) -> Result<Vec<Endpoint>, InventoryError> {
    let mut reader = ReaderBuilder::new()
        .trim(Trim::All)
        .comment(Some(b'#'))
        .from_reader(text.as_bytes());
    let header = Header::new(reader.headers().map_err(invalid_csv)?)?;
    let mut hosts = HostList::default();
    for record in reader.records() {
        let record = record.map_err(invalid_csv)?;
        let line = line_of(record.position());
        let host = Host {
            name: header.name(&record, line)?,
            line,
            variables: &header.variables(&record, line),
        };
        hosts
            .add(host.to_endpoint(localities)?)
            .map_err(|error| error.at(line))?;
    }
    Ok(hosts.into_endpoints())
}

impl Header {
    fn new(record: &StringRecord) -> Result<Header, InventoryError> {
        let columns: Vec<String> = record
            .iter()
            .map(|column| column.trim_start_matches(BYTE_ORDER_MARK))
            .map(str::to_ascii_lowercase)
            .collect();
        let find = |names: &[&str]| {
            columns
                .iter()
                .position(|column| names.contains(&column.as_str()))
        };
        let name_index =
            find(&NAME_COLUMNS).ok_or(LineError::MissingColumn("name").at(FIRST_LINE))?;
        find(&ADDRESS_COLUMNS).ok_or(LineError::MissingColumn("address").at(FIRST_LINE))?;
        Ok(Header {
            columns,
            name_index,
        })
    }

    fn name<'a>(&self, record: &'a StringRecord, line: usize) -> Result<&'a str, InventoryError> {
        record
            .get(self.name_index)
            .filter(|name| !name.is_empty())
            .ok_or(LineError::MissingName.at(line))
    }

    fn variables(&self, record: &StringRecord, line: usize) -> Variables {
        let values = record.iter().map(|value| Variable {
            text: value.to_string(),
            line,
        });
        self.columns.iter().cloned().zip(values).collect()
    }
}

fn invalid_csv(error: csv::Error) -> InventoryError {
    let line = line_of(error.position());
    LineError::Csv(error).at(line)
}

fn line_of(position: Option<&csv::Position>) -> usize {
    position.map_or(FIRST_LINE, |position| position.line() as usize)
}

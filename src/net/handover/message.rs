//! The messages between two processes of one router. A process may be of another version than its
//! peer, so the JSON names stay whatever the Rust names are. How messages travel is the business of
//! `message_stream`, what they cause that of `session` and `exchange`.

use serde::{Deserialize, Serialize};

use super::resource_amounts::ResourceAmounts;
use crate::lifecycle::AdminCommand;
use crate::net::discovery::endpoint_list::EndpointList;
use crate::ops::maintenance_state::MaintenanceState;

/// A message between two processes of one router.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum PeerMessage {
    /// The successor's first message.
    #[serde(rename = "hello")]
    Hello {
        /// The version of the messages' form, [`super::PROTOCOL_VERSION`].
        version: u32,
    },
    /// The predecessor's answer to the hello.
    #[serde(rename = "met")]
    HelloAcknowledged {
        /// The maintenance state in force.
        #[serde(rename = "orders")]
        maintenance: MaintenanceState,
        /// The endpoint list as the predecessor has it.
        #[serde(rename = "list")]
        endpoints: Option<EndpointList>,
    },
    /// From the predecessor: its endpoint list has changed to this.
    #[serde(rename = "list")]
    EndpointsUpdated(EndpointList),
    /// From the predecessor: these amounts of the limits belong to the successor from now on.
    #[serde(rename = "share")]
    LimitsTransferred(ResourceAmounts),
    /// From the successor: it serves clients.
    #[serde(rename = "ready")]
    SuccessorServing,
    /// The predecessor's answer to [`PeerMessage::SuccessorServing`].
    #[serde(rename = "taken")]
    TakeoverAcknowledged,
    /// An operator's command that both processes have to carry out.
    #[serde(rename = "call")]
    AdminCommand {
        /// A number that the result repeats.
        id: u64,
        /// The command.
        #[serde(rename = "call")]
        command: AdminCommand,
    },
    /// The answer to [`PeerMessage::AdminCommand`].
    #[serde(rename = "done")]
    AdminCommandResult {
        /// The command's number.
        id: u64,
        /// Whether the command was carried out.
        #[serde(rename = "done")]
        succeeded: bool,
    },
}

#[cfg(test)]
mod tests;
